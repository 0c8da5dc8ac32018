"""State of the lease whose holder carries out the duties; runs without a network."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from enum import Enum

import attrs
import cattrs

from figwalk.coordination.compacted_log import AppendedRecords, KeyedPage
from figwalk.state.gateway_settings import LeaseSettings
from figwalk.timer import MS_PER_S

LEASE_KEY = "lease"
# A log never reaches this offset, so that fencing tokens of a later era are always higher.
OFFSETS_PER_ERA = 10**12
RENEWALS_PER_LEASE = 3
# The clocks of two VMs may run at slightly different rates.
CLOCK_RATE_MARGIN = 1.05
# A lease record that states an earlier time than this many renewal periods ago was probably the
# holder's last one.
STALE_RENEWALS = 2.0
RETRY_S = 0.2
# Enough for the present lease to end and for others to notice that.
STEP_ASIDE_LEASES = 3.0
# Reads of the lease a second by all candidates together.
CANDIDATE_READS_PER_S = 3.0


class LeaseRecordError(ValueError):
    """A record of the lease can't be decoded."""


@attrs.frozen
class LeaseRecord:
    """A claim of the lease or its renewal, as the log holds it.

    Attributes:
        holder: Name of the holder's VM.
        instance: Id of the process, which is different after a restart.
        append_id: Id of the append that wrote the record.
        era: Era of the log in which the lease was claimed.
        claim: Offset of the claim.
        wall_ms: Holder's wall-clock time in milliseconds; only a hint for candidates.
    """

    holder: str
    instance: str
    append_id: str
    era: int
    claim: int
    wall_ms: int

    @property
    def fence(self) -> int:
        """Fencing token of the holder's calls."""
        return self.era * OFFSETS_PER_ERA + self.claim + 1

    def encode(self) -> bytes:
        """Return the value of the record."""
        return json.dumps(attrs.asdict(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> LeaseRecord:
        """Return the record with a value.

        Raises:
            LeaseRecordError: The value is not a lease record.
        """
        try:
            return cattrs.structure(json.loads(value), cls)
        except (ValueError, RecursionError, cattrs.BaseValidationError) as error:
            raise LeaseRecordError(f"not a lease record: {error!r}") from error


class LeaseStep(Enum):
    """What the process part does next."""

    READ = "read"
    CLAIM = "claim"
    RENEW = "renew"
    WAIT = "wait"


@attrs.frozen
class LeaseAction:
    """The next step.

    Attributes:
        step: What to do.
        at: Time, in seconds of the clock that also counts suspension, at which to do it.
        reason: Reason in a few words, for logs.
    """

    step: LeaseStep
    at: float
    reason: str


@attrs.frozen
class LeaseAppend:
    """A claim or renewal to append.

    Attributes:
        end: Offset at which the log has to end.
        record: The record.
        sent_at: Time from which the lease is counted if the append succeeds.
    """

    end: int
    record: LeaseRecord
    sent_at: float


@attrs.frozen
class _Term:
    era: int
    claim: int
    fence: int
    renewed_at: float
    valid_until: float


class DutyLease:
    """Decides when a process reads, claims and renews the lease, and whether it holds it.

    It serves deployments of up to some dozens of processes, one renewal a second and about three
    reads a second by all candidates together. All times are seconds of a clock that counts
    suspension too (`Timer.boot_now`) and are never compared between VMs.

    Safety rests on four rules. A claim and a renewal are appended only at the end of the log that
    the process has read. They count from before they were sent, and only in the era of the log that
    they state. A candidate claims only a lease that did not change for a whole lease duration since
    the candidate itself first saw its present state, or that this very process held last; a restore
    of the log is a change. A holder that sees a higher fencing token has lost the lease.

    Args:
        holder: Name of this process's VM.
        instance: Id of this process, unique for each start.
        settings: Duration of the lease.
    """

    def __init__(self, holder: str, instance: str, settings: LeaseSettings) -> None:
        self._holder = holder
        self._instance = instance
        self._duration_s = settings.duration_ms / MS_PER_S
        self._renewal_s = self._duration_s / RENEWALS_PER_LEASE
        self._era: int | None = None
        self._end: int | None = None
        self._newest: tuple[int, LeaseRecord | None] = (-1, None)
        self._seen_at = -math.inf
        self._confirmed_at = -math.inf
        self._looks_stale = False
        self._must_read = False
        self._not_before = -math.inf
        self._blocked_until = -math.inf
        self._next_check_at: float | None = None
        self._resigned = False
        self._term: _Term | None = None
        self._pending: dict[str, LeaseAppend] = {}
        self._appends = 0

    @property
    def era(self) -> int | None:
        """Newest known era of the log, or None before the first read."""
        return self._era

    @property
    def read_from(self) -> int | None:
        """Offset from which the next read starts, or None if the whole topic has to be read."""
        return self._end

    @property
    def holder(self) -> str:
        """Name of the VM that the newest lease record names, or empty."""
        record = self._newest[1]
        return record.holder if record is not None else ""

    @property
    def was_restored(self) -> bool:
        """Whether the newest lease record is from before a restore of the log."""
        record = self._newest[1]
        return record is not None and self._era is not None and record.era < self._era

    def fence(self, now: float) -> int | None:
        """Return the fencing token if this process holds the lease, else None."""
        return self._term.fence if self._term is not None and now < self._term.valid_until else None

    def left_s(self, now: float) -> float:
        """Return the seconds for which this process still holds the lease."""
        return max(0.0, self._term.valid_until - now) if self._term is not None else 0.0

    def plan(
        self, now: float, *, wanted: bool, urgent: bool = False, candidates: int = 1
    ) -> LeaseAction:
        """Return the next step.

        Args:
            now: Present time.
            wanted: Whether there is something to do for a holder.
            urgent: Whether the holder has records to append with the next renewal.
            candidates: Number of processes that check the lease.
        """
        held = self.fence(now) is not None
        if self._resigned or not (wanted or held):
            return LeaseAction(LeaseStep.WAIT, math.inf, "resigned" if self._resigned else "idle")
        retry_at = max(now, self._not_before)
        if self._must_read:
            return LeaseAction(LeaseStep.READ, retry_at, "lookup")
        if self._term is not None and held:
            if self._term.era != self._era:
                return LeaseAction(LeaseStep.CLAIM, retry_at, "log_restored")
            if not wanted or now < self._blocked_until:
                return LeaseAction(LeaseStep.WAIT, self._term.valid_until, "not_renewed")
            due = now if urgent else self._term.renewed_at + self._renewal_s
            return LeaseAction(LeaseStep.RENEW, max(due, retry_at), "renewal")
        return self._plan_candidate(now, retry_at, candidates)

    def _plan_candidate(self, now: float, retry_at: float, candidates: int) -> LeaseAction:
        period_s = max(self._renewal_s, candidates / CANDIDATE_READS_PER_S)
        if self._end is None:
            return LeaseAction(LeaseStep.READ, retry_at, "first_read")
        free_at = self._free_at()
        if self._confirmed_at >= free_at or self._looks_stale or self._is_own_record:
            return LeaseAction(LeaseStep.CLAIM, max(free_at, retry_at), "lease_free")
        if self._next_check_at is None:
            self._next_check_at = now + period_s
        return LeaseAction(LeaseStep.READ, max(self._next_check_at, retry_at), "check")

    @property
    def _is_own_record(self) -> bool:
        record = self._newest[1]
        is_own = record is not None and record.instance == self._instance
        return is_own and record.era == self._era

    def _free_at(self) -> float:
        """Return the time from which the lease may be claimed in the state last seen."""
        if self._is_own_record:  # Nobody else can have acted since, and this process does not.
            return self._blocked_until
        free_at = self._seen_at + CLOCK_RATE_MARGIN * self._duration_s
        return max(self._blocked_until, free_at)

    def make_append(self, step: LeaseStep, now: float, wall_ms: int) -> LeaseAppend:
        """Return the claim or renewal to append now; the outcome has to be reported afterwards."""
        assert self._end is not None and self._era is not None
        self._appends += 1
        era, claim = self._era, self._end
        if step is LeaseStep.RENEW:
            assert self._term is not None
            era, claim = self._term.era, self._term.claim
        record = LeaseRecord(
            self._holder, self._instance, f"{self._instance}-{self._appends}", era, claim, wall_ms
        )
        append = LeaseAppend(self._end, record, now)
        self._pending[record.append_id] = append
        return append

    def record_appended(self, append: LeaseAppend, result: AppendedRecords, now: float) -> None:
        """Record that the log holds the records of an append."""
        self._pending.pop(append.record.append_id, None)
        era = result.era or 0
        if era != append.record.era:
            # Written to a log that was restored meanwhile: it proves nothing there.
            self._note_era(era, now)
            return
        if era != self._era:
            self._must_read = True
            return
        self._end = result.end
        self._set_newest(result.offset, append.record, now)
        self._confirm(append)

    def record_conflict(self, append: LeaseAppend) -> None:
        """Record that an append was refused, since the log has another end."""
        self._pending.pop(append.record.append_id, None)
        self._must_read = True

    def record_unknown(self, now: float) -> None:
        """Record that an append got no answer; it may take effect now, later or never."""
        self._must_read = True
        self._not_before = now + RETRY_S

    def record_read_failed(self, now: float) -> None:
        """Record that a read got no answer."""
        self._not_before = now + RETRY_S

    def record_truncated(self) -> None:
        """Record that the log no longer has the offset from which the process reads."""
        self._end = None
        self._must_read = True

    def record_refused(self, now: float) -> None:
        """Record that a receiver has seen a higher fencing token; ends this process's term."""
        self._term = None
        self._blocked_until = now + CLOCK_RATE_MARGIN * self._duration_s
        self._must_read = True

    def step_aside(self, now: float) -> None:
        """Let others claim the lease: neither renew nor claim it for some lease durations."""
        self._blocked_until = now + STEP_ASIDE_LEASES * self._duration_s

    def resign(self) -> None:
        """Neither claim nor renew the lease any more; the present term ends by the clock."""
        self._resigned = True

    def apply_page(self, page: KeyedPage, now: float, wall_ms: int) -> bool:
        """Apply an answer to a read that started at `read_from`.

        Args:
            page: The answer.
            now: Time at which it arrived.
            wall_ms: This VM's wall-clock time in milliseconds.

        Returns:
            Whether the records may be used: the answer is not from before a restore of the log, and
            doesn't show a restore that requires another read.
        """
        era = page.era or 0
        if self._era is not None and era < self._era:
            # Sent before the log was restored.
            self._not_before = now + RETRY_S
            return False
        was_listing = self._end is None
        if era != self._era:
            self._note_era(era, now)
            if not was_listing:
                return False
        self._must_read = False
        self._end = page.next_offset
        self._next_check_at = None
        self._apply_records(page, now)
        self._confirmed_at = now
        record = self._newest[1]
        age_ms = wall_ms - record.wall_ms if record is not None and record.era == era else math.inf
        self._looks_stale = age_ms > STALE_RENEWALS * self._renewal_s * MS_PER_S
        return True

    def _note_era(self, era: int, now: float) -> None:
        """Handle a log that was restored from an older copy, or is read for the first time."""
        if self._era is not None and era <= self._era:
            return
        self._era = era
        self._end = None
        self._must_read = True
        # The copy may lack the newest claim, whose holder may act for a whole lease duration more.
        self._newest = (-1, None)
        self._seen_at = now

    def _apply_records(self, page: KeyedPage, now: float) -> None:
        for offset, record in _decode_records(page):
            self._set_newest(offset, record, now)
            if record is None:
                continue
            append = self._pending.pop(record.append_id, None)
            if append is not None and record.era == self._era:
                self._confirm(append)
            self._check_lost(record)
        for append_id, append in list(self._pending.items()):
            if now > append.sent_at + self._duration_s:
                del self._pending[append_id]

    def _set_newest(self, offset: int, record: LeaseRecord | None, now: float) -> None:
        if (offset, record) != self._newest:
            self._newest = (offset, record)
            self._seen_at = now
            self._looks_stale = False

    def _check_lost(self, record: LeaseRecord) -> None:
        term = self._term
        if term is not None and record.instance != self._instance and record.fence > term.fence:
            self._term = None

    def _confirm(self, append: LeaseAppend) -> None:
        """Count the lease from before a successful append was sent."""
        record = append.record
        valid_until = append.sent_at + self._duration_s
        term = self._term
        if term is not None and term.fence == record.fence:
            valid_until = max(valid_until, term.valid_until)
        elif term is not None and term.fence > record.fence:
            return  # A late answer for an earlier term.
        elif record.claim != append.end:
            return  # A renewal of a term that was lost meanwhile.
        self._term = _Term(record.era, record.claim, record.fence, append.sent_at, valid_until)


def _decode_records(page: KeyedPage) -> Iterable[tuple[int, LeaseRecord | None]]:
    """Yield offset and content of the lease records of a page; None for a strange one."""
    for item in page.records:
        if item.key != LEASE_KEY:
            continue
        try:
            yield item.offset, LeaseRecord.decode(item.value or b"")
        except LeaseRecordError:
            yield item.offset, None
