"""Keeps prompts with parts that crash engines away from the engines.

A part is quarantined as soon as the crashes that all gateways report implicate it; see
`crash_evidence`. Prompts with it are refused at once. Since the evidence may be wrong, one prompt
at a time is sent as a test after a while: its complete answer ends the quarantine, another crash
prolongs it.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Sequence
from hashlib import blake2b

from figwalk.coordination.crash_evidence import (
    MIN_CRASHES,
    CrashEvidence,
    CrashId,
    CrashReport,
    DeadlyPart,
)
from figwalk.coordination.subject_affinity import hash_pair
from figwalk.errors import RefusalError
from figwalk.events import Event, EventLog
from figwalk.timer import MS_PER_S, Timer

# A part that was answered less than this before a crash did not cause it. A part may begin to crash
# engines though it was answered before, so the time is short.
SOUND_BEFORE_CRASH_S = 2.0
# Time without any prompt with a quarantined part, doubled with each crash above `MIN_CRASHES`. An
# engine is away for seconds after a crash.
FIRST_HOLD_S = 30.0
MAX_HOLD_S = 300.0
# Gateways test a part one after the other, so that a crash is known to all before the next test.
HOLD_SHARE_BETWEEN_GATEWAYS = 0.25
# Three times the longest hold, so that several gateways test a part before the evidence expires.
EVIDENCE_RETENTION_S = 900.0
# A report from another process that is younger than this by its wall clock counts as new. Wall
# clocks of VMs differ by seconds.
CLOCK_TOLERANCE_S = 10.0
# That a part is sound is reported when one more crash could make it look deadly.
WORTH_A_REPORT = MIN_CRASHES - 1
# About 2 MB.
MAX_KNOWN_PARTS = 20_000
# Bounds the size of a report: ids that are longer are replaced by a hash.
MAX_PART_ID_LENGTH = 32
MAX_PARTS_OF_PROMPT = 32
MAX_PROMPTS_OF_REPORT = 64


class PromptQuarantine:
    """Decides which prompts are not sent to engines, from the crashes of all gateways.

    Args:
        process: Name of this gateway.
        events: Event log.
        timer: Source of time.
        on_report: Called when there are unpublished reports.
    """

    def __init__(
        self,
        process: str,
        events: EventLog,
        timer: Timer,
        *,
        on_report: Callable[[], None] = lambda: None,
    ) -> None:
        self._process = process
        self._on_report = on_report
        self._events = events
        self._timer = timer
        self._evidence = CrashEvidence()
        self._deadly: dict[str, DeadlyPart] = {}
        self._sound_at: OrderedDict[str, float] = OrderedDict()
        self._tested_at: dict[str, float] = {}
        self._unpublished: dict[CrashId, None] = {}
        self._changed = False

    @property
    def parts(self) -> frozenset[str]:
        """The quarantined parts."""
        return frozenset(self._deadly)

    @property
    def unpublished(self) -> list[CrashReport]:
        """Reports of this gateway that are not in the log in their newest form."""
        reports = [self._evidence.find(crash, self._process) for crash in self._unpublished]
        return [report for report in reports if report is not None]

    def admit(self, part_ids: Sequence[str]) -> bool:
        """Decide on a prompt that has just arrived; return whether it tests a quarantined part.

        Args:
            part_ids: Ids of the prompt's parts in order; the last one is its own.

        Raises:
            RefusalError: The prompt has a quarantined part.
        """
        found = self._find_deadly(part_ids)
        for part in found:
            if self._held_for_s(part) > 0:
                raise self._make_refusal(part)
        for part in found:
            self._tested_at[part] = self._timer.now()
            self._events.record(Event.PART_TESTED, part=part, crashes=self._deadly[part].crashes)
        return bool(found)

    def check(self, part_ids: Sequence[str]) -> None:
        """Check a prompt just before it is sent to an engine, possibly once more.

        Raises:
            RefusalError: The prompt has a part that was quarantined meanwhile.
        """
        found = self._find_deadly(part_ids)
        if found:
            raise self._make_refusal(found[0])

    def record_answered(self, part_ids: Sequence[str], began_at: float) -> None:
        """Record that a prompt was answered completely.

        Args:
            part_ids: Ids of its parts in order.
            began_at: Timer time at which its answer began.
        """
        for part in _shared_parts(part_ids):
            self._sound_at[part] = max(began_at, self._sound_at.get(part, -math.inf))
            self._sound_at.move_to_end(part)
            if self._evidence.crash_count(part) >= WORTH_A_REPORT and self._report_sound(part):
                self._update_deadly()
        while len(self._sound_at) > MAX_KNOWN_PARTS:
            self._sound_at.popitem(last=False)

    def record_crash(self, crash: CrashId, prompts: Sequence[Sequence[str]]) -> None:
        """Record that an engine crashed before it completed the first events of some answers.

        Args:
            crash: The crash.
            prompts: Ids of the parts, in order, of the prompts that this gateway had sent to it.
        """
        now = self._timer.now()
        suspects = (
            tuple(part for part in _shared_parts(ids) if not self._is_sound(part, now))
            for ids in prompts
        )
        found = frozenset(parts for parts in suspects if parts)
        if not found:
            return
        report = CrashReport(
            self._process,
            crash,
            self._timer.wall_ms(),
            frozenset(sorted(found)[:MAX_PROMPTS_OF_REPORT]),
        )
        if self._add(report, now):
            self._publish(crash)
            self._update_deadly()

    def apply(self, report: CrashReport) -> bool:
        """Apply a report from the log; return whether it is recent enough to matter.

        It takes effect with the next `refresh`: after crashes of many engines, reports come by the
        hundred.
        """
        age_s = (self._timer.wall_ms() - report.at_ms) / MS_PER_S
        if age_s > EVIDENCE_RETENTION_S:
            return False
        if age_s < CLOCK_TOLERANCE_S:
            age_s = 0.0
        self._changed |= self._add(report, self._timer.now() - age_s)
        if report.reporter == self._process:
            self._publish_unless_equal(report)
        return True

    def refresh(self) -> None:
        """Judge the parts by the reports that were applied."""
        if self._changed:
            self._update_deadly()

    def mark_published(self, reports: Sequence[CrashReport]) -> None:
        """Record that the log has these reports; newer forms of them stay unpublished."""
        for report in reports:
            if self._evidence.find(report.crash, self._process) == report:
                self._unpublished.pop(report.crash, None)

    def publish_all(self) -> None:
        """Publish all reports of this gateway again: the log may have lost them."""
        for report in self._evidence.reports_by(self._process):
            self._publish(report.crash)

    def expire(self) -> list[CrashReport]:
        """Forget old crashes; return the reports of this gateway on them."""
        dropped = self._evidence.drop_before(self._timer.now() - EVIDENCE_RETENTION_S)
        if dropped:
            self._update_deadly()
        return [report for report in dropped if report.reporter == self._process]

    def _publish_unless_equal(self, stored: CrashReport) -> None:
        """Publish a report again if the log has an older form of it, from a delayed append."""
        known = self._evidence.find(stored.crash, self._process)
        if known != stored:
            self._publish(stored.crash)

    def _publish(self, crash: CrashId) -> None:
        self._unpublished[crash] = None
        self._on_report()

    def _add(self, report: CrashReport, noticed_at: float) -> bool:
        if not self._evidence.add(report, noticed_at):
            return False
        for part in {part for prompt in report.prompts for part in prompt}:
            if self._evidence.crash_count(part) >= WORTH_A_REPORT:
                self._report_sound(part)
        return True

    def _is_sound(self, part: str, crashed_at: float) -> bool:
        return self._sound_at.get(part, -math.inf) >= crashed_at - SOUND_BEFORE_CRASH_S

    def _report_sound(self, part: str) -> bool:
        """Report the crashes that a part did not cause; return whether there are any new ones."""
        changed = False
        for crash, noticed_at in self._evidence.crashes_with(part):
            if self._is_sound(part, noticed_at):
                sound = frozenset((part,))
                report = CrashReport(self._process, crash, self._timer.wall_ms(), sound=sound)
                if self._evidence.add(report, noticed_at):
                    self._publish(crash)
                    changed = True
        return changed

    def _update_deadly(self) -> None:
        self._changed = False
        previous, self._deadly = self._deadly, self._evidence.find_deadly()
        for part, deadly in self._deadly.items():
            if part not in previous or previous[part].crashes != deadly.crashes:
                self._events.record(
                    Event.PART_QUARANTINED,
                    part=part,
                    crashes=deadly.crashes,
                    hold_s=_hold_s(deadly),
                    reporters=len(self._evidence.reporters),
                )
        for part in previous.keys() - self._deadly.keys():
            self._tested_at.pop(part, None)
            self._events.record(Event.PART_RELEASED, part=part, crashes=previous[part].crashes)

    def _find_deadly(self, part_ids: Sequence[str]) -> list[str]:
        if not self._deadly:
            return []
        return [part for part in _shared_parts(part_ids) if part in self._deadly]

    def _held_for_s(self, part: str) -> float:
        """Return the seconds until this gateway may test a quarantined part.

        Only gateways that have reported crashes do, since all gateways know their names and order.
        """
        deadly = self._deadly[part]
        names = sorted(self._evidence.reporters, key=lambda name: hash_pair(part, name))
        if self._process not in names:
            return self._timer.left_s(deadly.last_at + EVIDENCE_RETENTION_S)
        share = 1 + HOLD_SHARE_BETWEEN_GATEWAYS * names.index(self._process)
        held_until = deadly.last_at + share * _hold_s(deadly)
        if part in self._tested_at:
            held_until = max(held_until, self._tested_at[part] + share * _hold_s(deadly))
        return self._timer.left_s(held_until)

    def _make_refusal(self, part: str) -> RefusalError:
        deadly = self._deadly[part]
        return RefusalError(
            "deadly_prompt",
            f"engines crashed {deadly.crashes} times on part {part!r} of the prompt",
            retry_after_ms=math.ceil(self._held_for_s(part) * MS_PER_S),
        )


def _hold_s(deadly: DeadlyPart) -> float:
    return min(MAX_HOLD_S, FIRST_HOLD_S * 2 ** (deadly.crashes - MIN_CRASHES))


def _shared_parts(part_ids: Sequence[str]) -> list[str]:
    """Return the ids of the parts that other prompts may share, in bounded length."""
    return [
        part
        if len(part) <= MAX_PART_ID_LENGTH
        else blake2b(part.encode(), digest_size=MAX_PART_ID_LENGTH // 2).hexdigest()
        for part in part_ids[:-1][-MAX_PARTS_OF_PROMPT:]
    ]
