"""Decides the usage reports of all gateways and sends them, while this process holds the lease."""

from __future__ import annotations

from collections.abc import Mapping

import trio

from figwalk.coordination.backoff import Backoff
from figwalk.coordination.compacted_log import CompactedLogWriter, KeyedRecord
from figwalk.duties.counts_reader import CountsListener, CountsReader
from figwalk.duties.duty import Authority, CallResult, Duty, DutyClient
from figwalk.duties.usage_ledger import UsageLedger
from figwalk.duties.usage_records import (
    DECISION_PREFIX,
    KEPT_WINDOWS,
    SENT_KEY,
    SentWindows,
    UsageCounts,
    UsageDecision,
    UsageRecordError,
)
from figwalk.duties.window_clock import WindowClock
from figwalk.errors import LogError
from figwalk.events import Event, EventLog
from figwalk.state.gateway_settings import DutySettings

TICK_S = 0.25
# Shares of the time from the end of a window until its report is late: when the counts are read
# first, when the report is decided without those that are missing, how long gateways have to write
# their counts after the log was away, and until when a report is kept back for that.
READ_SHARE = 0.37
DECIDE_SHARE = 0.85
RECOVERY_SHARE = 0.3
LAST_SHARE = 0.94
# Part of the platform's limit on calls that reports may use.
RATE_SHARE = 0.5
# A holder whose calls get no answer for this long lets another process try.
STEP_ASIDE_S = 4.0
FIRST_RETRY_S = 0.25
MAX_RETRY_S = 1.0
MAX_PAUSE_S = 3.0  # A wrong Retry-After must not keep reports back for good.
_UNANSWERED = frozenset({CallResult.UNREACHABLE, CallResult.UNKNOWN})


class UsageDuty(Duty, CountsListener):
    """The reports of usage.

    A report is decided once all gateways have written their counts, or when it would otherwise be
    late. It is appended together with a renewal of the lease, which proves that no other process
    has taken over, and sent only when it is in the log. So a successor sends the same. After a
    restore of the log, decisions that this process knows are appended again; windows whose decision
    may have been lost are decided only with the counts of all gateways, which gives the same sums.

    Args:
        log: Writes to the log.
        topic: Topic of the gateways' counts.
        reader: Reads those counts.
        client: Makes the calls to the platform.
        clock: Tells the windows.
        events: Event log.
        settings: Times and rate of the reports.
    """

    def __init__(
        self,
        log: CompactedLogWriter,
        topic: str,
        reader: CountsReader,
        client: DutyClient,
        clock: WindowClock,
        events: EventLog,
        settings: DutySettings,
    ) -> None:
        self._log = log
        self._topic = topic
        self._reader = reader
        self._client = client
        self._clock = clock
        self._events = events
        self._settings = settings
        self._ledger = UsageLedger()
        self._decided: dict[int, UsageDecision] = {}
        self._decided_here: set[int] = set()
        self._logged: set[int] = set()
        self._sent: set[int] = set()
        self._sent_logged: set[int] = set()
        self._restored_through = -1
        self._expired_at = -1
        self._backoff = Backoff(first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S)
        self._unanswered_since: float | None = None
        reader.subscribe(self)

    @property
    def unsent(self) -> int:
        """Decided reports that were not taken."""
        return len(self._decided.keys() - self._sent)

    def is_wanted(self) -> bool:
        """Return True: there is always a next window."""
        return True

    def has_urgent_records(self) -> bool:
        """Return whether a decided report is not in the log yet."""
        return any(window not in self._logged for window in self._decided)

    def records(self) -> Mapping[str, bytes]:
        """Return the decided reports that are not in the log, and which reports were sent."""
        records = {
            decision.key: decision.encode()
            for window, decision in sorted(self._decided.items())
            if window not in self._logged
        }
        if self._sent != self._sent_logged:
            records[SENT_KEY] = SentWindows(sorted(self._sent)).encode()
        return records

    def apply(self, record: KeyedRecord) -> None:
        """Apply a decided report, or a record of those that were sent."""
        if record.value is None:
            return
        try:
            if record.key == SENT_KEY:
                windows = set(SentWindows.decode(record.value).windows)
                self._sent_logged = windows
                self._sent |= windows
            elif record.key.startswith(DECISION_PREFIX):
                self._adopt(UsageDecision.decode(record.value))
        except UsageRecordError as error:
            self._skip(record, error)

    def handle_restore(self) -> None:
        """Have all known decisions appended again, and decide no window twice."""
        self._logged.clear()
        self._sent_logged = set()
        # The counts of a window can't have been read before its end.
        self._restored_through = self._clock.window_at(self._clock.now()) - 1

    def handle_listing(self, *, complete: bool) -> None:
        """Forget decisions that are too old to be sent."""
        if complete:
            self._expire_decisions()

    async def run(self, authority: Authority) -> None:
        """Decide and send reports while the lease is held, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_all, authority)
            while True:
                if authority.fence() is not None:
                    await self._decide_all(authority)
                await trio.sleep(TICK_S)

    async def _decide_all(self, authority: Authority) -> None:
        window = self._next_window()
        now = self._clock.now()
        if now < self._clock.end_of(window) + READ_SHARE * self._settings.usage_late_s:
            return
        if not await self._reader.refresh():
            return
        first = self._ledger.first_window
        if first is None or authority.fence() is None:
            return
        window = max(self._next_window(), first)
        decided = []
        while (decision := self._decide(window)) is not None:
            self._decided[window] = decision
            self._decided_here.add(window)
            decided.append(decision)
            window += 1
        if decided:
            authority.notify()
        for decision in decided:
            self._events.record(
                Event.USAGE_DECIDED,
                window=decision.window,
                calls=sum(decision.counts.values()),
                organisations=len(decision.counts),
                missing=" ".join(decision.missing),
                age_s=round(self._clock.now() - self._clock.end_of(decision.window), 3),
            )
        await self._remove_expired()

    def _decide(self, window: int) -> UsageDecision | None:
        now, late_s = self._clock.now(), self._settings.usage_late_s
        end = self._clock.end_of(window)
        if now < end + READ_SHARE * late_s:
            return None
        # Gateways need some time to write what they could not write while the log was away.
        complete_at = self._reader.answers_since + RECOVERY_SHARE * late_s
        if self._reader.answers_since < end + late_s:
            complete_at = min(complete_at, end + LAST_SHARE * late_s)
        complete_at = max(complete_at, end + DECIDE_SHARE * late_s)
        may_be_known = window <= self._restored_through
        return self._ledger.decide(window, overdue=now >= complete_at and not may_be_known)

    def _next_window(self) -> int:
        oldest = self._clock.window_at(self._clock.now()) - KEPT_WINDOWS
        return max(max(self._decided, default=-1) + 1, oldest)

    def apply_counts(self, key: str, counts: UsageCounts) -> None:
        """Add a gateway's counts, and log those that a decided report lacks."""
        for window, values in self._ledger.apply(key, counts).items():
            decision = self._decided.get(window)
            if decision is None or not values:
                continue
            if window in self._decided_here or counts.process in decision.missing:
                self._events.record(
                    Event.USAGE_COUNTS_LATE,
                    source=counts.process,
                    window=window,
                    calls=sum(values.values()),
                )

    async def _remove_expired(self) -> None:
        present = self._clock.window_at(self._clock.now())
        if present < self._expired_at + KEPT_WINDOWS:
            return
        self._expired_at = present
        gone = self._ledger.expire(present)
        if not gone:
            return
        try:
            await self._log.append(self._topic, dict.fromkeys(gone))
        except LogError as error:
            # The records stay in the log; nothing is counted twice by that.
            self._events.record(Event.DUTY_LOG_FAILED, step="remove usage", detail=error.message)

    async def _send_all(self, authority: Authority) -> None:
        pause_s = 1 / (RATE_SHARE * self._settings.calls_per_s)
        while True:
            decision = self._next_to_send()
            if decision is None or authority.fence() is None:
                self._unanswered_since = None
                await trio.sleep(TICK_S)
                continue
            await trio.sleep(max(pause_s, await self._send(decision, authority)))

    def _next_to_send(self) -> UsageDecision | None:
        windows = [k for k in self._decided if k in self._logged and k not in self._sent]
        return self._decided[min(windows)] if windows else None

    async def _send(self, decision: UsageDecision, authority: Authority) -> float:
        """Send a report once; return the seconds to wait before the next call."""
        fence = authority.fence()
        outcome = await self._client.report_usage(decision.window, decision.counts, authority)
        age_s = round(self._clock.now() - self._clock.end_of(decision.window), 3)
        if outcome.result is CallResult.DONE:
            self._sent.add(decision.window)
            self._backoff.reset()
            self._unanswered_since = None
            self._events.record(Event.USAGE_SENT, window=decision.window, fence=fence, age_s=age_s)
            self._expire_decisions()
            return 0.0
        self._events.record(
            Event.DUTY_CALL_FAILED,
            call="usage",
            window=decision.window,
            fence=fence,
            result=outcome.result.value,
            detail=outcome.detail,
            age_s=age_s,
        )
        if outcome.result is CallResult.FENCED and fence is not None:
            authority.record_refused(fence)
        self._note_unanswered(authority, unanswered=outcome.result in _UNANSWERED)
        return max(min(outcome.retry_after_s, MAX_PAUSE_S), self._backoff.next_delay())

    def _note_unanswered(self, authority: Authority, *, unanswered: bool) -> None:
        now = self._clock.now()
        if not unanswered:
            self._unanswered_since = None
        elif self._unanswered_since is None:
            self._unanswered_since = now
        elif now - self._unanswered_since >= STEP_ASIDE_S:
            self._unanswered_since = None
            authority.step_aside()

    def _adopt(self, decision: UsageDecision) -> None:
        """Adopt a decision that is in the log; the first one of a window holds."""
        known = self._decided.get(decision.window)
        if known is not None and known.counts != decision.counts:
            self._events.record(
                Event.USAGE_COUNTS_LATE,
                source="earlier decision",
                window=decision.window,
                calls=sum(known.counts.values()) - sum(decision.counts.values()),
            )
        self._decided[decision.window] = decision
        self._logged.add(decision.window)

    def _expire_decisions(self) -> None:
        oldest = max(self._decided, default=0) - KEPT_WINDOWS + 1
        self._decided = {k: v for k, v in self._decided.items() if k >= oldest}
        self._decided_here = {k for k in self._decided_here if k >= oldest}
        self._logged = {k for k in self._logged if k >= oldest}
        self._sent = {k for k in self._sent if k >= oldest}

    def _skip(self, record: KeyedRecord, error: UsageRecordError) -> None:
        self._events.record(
            Event.USAGE_RECORD_SKIPPED,
            key=record.key,
            offset=record.offset,
            detail=str(error),
        )
