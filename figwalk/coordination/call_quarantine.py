"""Keeps calls that crash backend servers away from them.

A request, or a part of prompts, is quarantined as soon as the crashes that all gateways report
implicate it; see `crash_evidence`. The request, or prompts with the part, are refused at once.
Since the evidence may be wrong, one call at a time is sent as a test after a while: its complete
answer ends the quarantine, another crash prolongs it.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence

import attrs

from figwalk.coordination.call_identity import CallIdentity
from figwalk.coordination.crash_evidence import (
    MIN_CRASHES,
    REQUEST_PREFIX,
    CrashCause,
    CrashEvidence,
    CrashId,
    CrashReport,
    is_request,
)
from figwalk.coordination.subject_affinity import hash_pair
from figwalk.errors import RefusalError
from figwalk.events import Event, EventLog
from figwalk.timer import MS_PER_S, Timer

# What was answered less than this before a crash did not cause it. A part may begin to crash
# engines though it was answered before, so the time is short.
SOUND_BEFORE_CRASH_S = 2.0
# Time without any call that is quarantined, doubled with each crash above `MIN_CRASHES`. A backend
# server is away for seconds after a crash.
FIRST_HOLD_S = 30.0
MAX_HOLD_S = 300.0
# Gateways test a cause one after the other, so that a crash is known to all before the next test.
HOLD_SHARE_BETWEEN_GATEWAYS = 0.25
# Three times the longest hold, so that several gateways test a part before the evidence expires.
EVIDENCE_RETENTION_S = 900.0
# A report from another process that is younger than this by its wall clock counts as new. Wall
# clocks of VMs differ by seconds.
CLOCK_TOLERANCE_S = 10.0
# That a call is sound is reported when one more crash could make it look like the cause.
WORTH_A_REPORT = MIN_CRASHES - 1
# Parts and requests; about 3 MB.
MAX_KNOWN_SOUND = 20_000
# Bounds the size of a report to about 80 KB; a part counts once for each prompt that has it.
MAX_PARTS_OF_REPORT = 2048
# More calls than one gateway has in progress at one backend server.
MAX_REQUESTS_OF_REPORT = 512


class CallQuarantine:
    """Decides which calls are not sent to backend servers, from the crashes of all gateways.

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
        self._causes: dict[str, CrashCause] = {}
        self._sound_at: OrderedDict[str, float] = OrderedDict()
        self._tested_at: dict[str, float] = {}
        self._unpublished: dict[CrashId, None] = {}
        self._changed = False

    @property
    def parts(self) -> frozenset[str]:
        """The quarantined parts of prompts."""
        return frozenset(cause for cause in self._causes if not is_request(cause))

    @property
    def requests(self) -> frozenset[str]:
        """The quarantined requests."""
        return frozenset(filter(is_request, self._causes))

    @property
    def unpublished(self) -> list[CrashReport]:
        """Reports of this gateway that are not in the log in their newest form."""
        reports = [self._evidence.find(crash, self._process) for crash in self._unpublished]
        return [report for report in reports if report is not None]

    def admit(self, call: CallIdentity) -> bool:
        """Decide on a call that has just arrived; return whether it tests a quarantined cause.

        Raises:
            RefusalError: The request, or a part of its prompt, is quarantined.
        """
        found = self._find_causes(call)
        for cause in found:
            if self._held_for_s(cause) > 0:
                raise self._make_refusal(cause)
        for cause in found:
            self._tested_at[cause] = self._timer.now()
            self._record(Event.PART_TESTED, cause, crashes=self._causes[cause].crashes)
        return bool(found)

    def check(self, call: CallIdentity) -> None:
        """Check a call just before it is sent to a backend server, possibly once more.

        Raises:
            RefusalError: The request, or a part of its prompt, was quarantined meanwhile.
        """
        found = self._find_causes(call)
        if found:
            raise self._make_refusal(found[0])

    def record_answered(self, call: CallIdentity, began_at: float) -> None:
        """Record that a call was answered completely.

        Args:
            call: The call.
            began_at: Timer time at which its answer began.
        """
        for suspect in call.suspects:
            self._sound_at[suspect] = max(began_at, self._sound_at.get(suspect, -math.inf))
            self._sound_at.move_to_end(suspect)
            may_matter = self._evidence.crash_count(suspect) >= WORTH_A_REPORT
            if may_matter and self._report_sound(suspect):
                self._update_causes()
        while len(self._sound_at) > MAX_KNOWN_SOUND:
            self._sound_at.popitem(last=False)

    def record_crash(
        self, crash: CrashId, calls: Sequence[CallIdentity], crashed_at: float | None = None
    ) -> None:
        """Record that a backend server crashed before the first events of some answers.

        Args:
            crash: The crash.
            calls: The calls that this gateway had sent to it.
            crashed_at: Timer time of the crash, or None if it was noticed at once.
        """
        now = self._timer.now() if crashed_at is None else crashed_at
        # The checks of a part are done once, though many prompts share it.
        unproven = frozenset().union(*(call.suspect_set for call in calls))
        unproven = {suspect for suspect in unproven if not self._is_sound(suspect, now)}
        ranked = sorted(unproven, key=lambda suspect: self._rank(suspect, crash))
        prompts = _bound_prompts([call.shared_parts for call in calls], ranked)
        requests = list(filter(is_request, ranked))[:MAX_REQUESTS_OF_REPORT]
        if not prompts and not requests:
            return
        report = CrashReport(
            self._process,
            crash,
            self._timer.wall_ms() - round((self._timer.now() - now) * MS_PER_S),
            prompts=prompts,
            requests=frozenset(requests),
        )
        if self._add(report, now):
            self._publish(crash)
            self._update_causes()

    def withdraw_crash(self, crash: CrashId) -> None:
        """Record that a backend server did not crash: what it held is no suspect."""
        known = self._evidence.find(crash, self._process)
        if known is None:
            return
        sound = known.requests.union(*known.prompts)
        if self._evidence.add(attrs.evolve(known, sound=known.sound | sound), self._timer.now()):
            self._publish(crash)
            self._update_causes()

    def apply(self, report: CrashReport) -> bool:
        """Apply a report from the log; return whether it is recent enough to matter.

        It takes effect with the next `refresh`: after crashes of many servers, reports come by the
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
        """Judge the crashes by the reports that were applied."""
        if self._changed:
            self._update_causes()

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
            self._update_causes()
        own = [report for report in dropped if report.reporter == self._process]
        for report in own:
            self._unpublished.pop(report.crash, None)
        return own

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
        for suspect in {part for prompt in report.prompts for part in prompt} | report.requests:
            if self._evidence.crash_count(suspect) >= WORTH_A_REPORT:
                self._report_sound(suspect)
        return True

    def _rank(self, suspect: str, crash: CrashId) -> tuple[int, bool, bytes]:
        """Return a sort key: the strongest suspects of a crash first.

        Those with the most crashes come first, then those that were never answered. Equal ones
        come in another order at each crash, so that none is left out of all reports.
        """
        return (
            -self._evidence.crash_count(suspect),
            suspect in self._sound_at,
            hash_pair(suspect, f"{crash.backend}/{crash.born_ms}"),
        )

    def _is_sound(self, suspect: str, crashed_at: float) -> bool:
        return self._sound_at.get(suspect, -math.inf) >= crashed_at - SOUND_BEFORE_CRASH_S

    def _report_sound(self, suspect: str) -> bool:
        """Report the crashes that a suspect did not cause; return whether any are new."""
        changed = False
        if suspect not in self._sound_at:
            return False  # Most suspects; looking for their crashes would take long.
        for crash, noticed_at in self._evidence.crashes_with(suspect):
            if self._is_sound(suspect, noticed_at):
                sound = frozenset((suspect,))
                report = CrashReport(self._process, crash, self._timer.wall_ms(), sound=sound)
                if self._evidence.add(report, noticed_at):
                    self._publish(crash)
                    changed = True
        return changed

    def _update_causes(self) -> None:
        self._changed = False
        previous, self._causes = self._causes, self._evidence.find_causes()
        for name, cause in self._causes.items():
            if name not in previous or previous[name].crashes != cause.crashes:
                self._record(
                    Event.PART_QUARANTINED,
                    name,
                    crashes=cause.crashes,
                    hold_s=_hold_s(cause),
                    reporters=len(self._evidence.reporters),
                )
        for name in previous.keys() - self._causes.keys():
            self._tested_at.pop(name, None)
            self._record(Event.PART_RELEASED, name, crashes=previous[name].crashes)

    def _record(self, event: Event, cause: str, **fields: object) -> None:
        """Record an event on a part, or the one on a request that corresponds to it."""
        if is_request(cause):
            request = cause.removeprefix(REQUEST_PREFIX)
            self._events.record(_REQUEST_EVENTS[event], request=request, **fields)
        else:
            self._events.record(event, part=cause, **fields)

    def _find_causes(self, call: CallIdentity) -> list[str]:
        if self._causes.keys().isdisjoint(call.suspect_set):
            return []
        return [suspect for suspect in call.suspects if suspect in self._causes]

    def _held_for_s(self, name: str) -> float:
        """Return the seconds until this gateway may test a quarantined request or part.

        Only gateways that have reported crashes do, since all gateways know their names and order.
        """
        cause = self._causes[name]
        testers = sorted(self._evidence.reporters, key=lambda tester: hash_pair(name, tester))
        if self._process not in testers:
            return self._timer.left_s(cause.last_at + EVIDENCE_RETENTION_S)
        share = 1 + HOLD_SHARE_BETWEEN_GATEWAYS * testers.index(self._process)
        held_since = max(cause.last_at, self._tested_at.get(name, -math.inf))
        return self._timer.left_s(held_since + share * _hold_s(cause))

    def _make_refusal(self, name: str) -> RefusalError:
        crashes = self._causes[name].crashes
        code, message = "deadly_prompt", f"engines crashed {crashes} times on part {name!r}"
        if is_request(name):
            code, message = "deadly_request", f"backend servers crashed {crashes} times on it"
        return RefusalError(
            code, message, retry_after_ms=math.ceil(self._held_for_s(name) * MS_PER_S)
        )


_REQUEST_EVENTS = {
    Event.PART_QUARANTINED: Event.REQUEST_QUARANTINED,
    Event.PART_TESTED: Event.REQUEST_TESTED,
    Event.PART_RELEASED: Event.REQUEST_RELEASED,
}


def _bound_prompts(
    prompts: Sequence[Sequence[str]], ranked: Sequence[str]
) -> frozenset[tuple[str, ...]]:
    """Return the prompts with as many of the ranked parts as a report may have."""
    distinct = set(prompts)
    counts = Counter(part for prompt in distinct for part in prompt)
    kept: set[str] = set()
    size = 0
    for part in ranked:
        if part in counts and size + counts[part] <= MAX_PARTS_OF_REPORT:
            kept.add(part)
            size += counts[part]
    found = (tuple(part for part in prompt if part in kept) for prompt in distinct)
    return frozenset(filter(None, found))


def _hold_s(cause: CrashCause) -> float:
    return min(MAX_HOLD_S, FIRST_HOLD_S * 2 ** (cause.crashes - MIN_CRASHES))
