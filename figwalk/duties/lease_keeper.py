"""Reads, claims and renews the lease of the duties in the log, and runs the duties."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Sequence

import trio

from figwalk.coordination.compacted_log import ConditionalLog, KeyedRecord
from figwalk.duties.duty import Authority, Duty
from figwalk.duties.lease import LEASE_KEY, DutyLease, LeaseStep
from figwalk.errors import LogConflictError, LogError, LogTruncatedError
from figwalk.events import Event, EventLog
from figwalk.state.gateway_settings import LeaseSettings
from figwalk.timer import Timer

# No call begins so shortly before the end of the lease that it could arrive after it.
CALL_MARGIN_SHARE = 0.1
# Duties tell when they become wanted; a duty whose need only passes is noticed within this time.
RECHECK_S = 1.0
INSTANCE_BYTES = 6


class LeaseKeeper(Authority):
    """The process part of the lease; see `DutyLease` for its rules.

    Args:
        log: The log.
        topic: Topic of the lease and of the duties' decisions.
        duties: The duties.
        events: Event log.
        timer: Source of time.
        holder: Name of this process's VM.
        settings: Duration of the lease.
        candidates: Returns how many processes may check the lease.
        wall_ms: Returns wall-clock milliseconds.
    """

    def __init__(
        self,
        log: ConditionalLog,
        topic: str,
        duties: Sequence[Duty],
        events: EventLog,
        timer: Timer,
        *,
        holder: str,
        settings: LeaseSettings,
        candidates: Callable[[], int],
        wall_ms: Callable[[], int],
    ) -> None:
        self._log = log
        self._topic = topic
        self._duties = tuple(duties)
        self._events = events
        self._timer = timer
        self._candidates = candidates
        self._wall_ms = wall_ms
        self._lease = DutyLease(holder, secrets.token_hex(INSTANCE_BYTES), settings)
        self._margin_s = CALL_MARGIN_SHARE * settings.duration_ms / 1000
        self._woken = trio.Event()
        self._reported_fence: int | None = None

    def fence(self) -> int | None:
        """Return the fencing token for a call that begins now; see `Authority.fence`."""
        now = self._timer.boot_now()
        return self._lease.fence(now) if self._lease.left_s(now) > self._margin_s else None

    def left_s(self) -> float:
        """Return the seconds for which the process still holds the lease."""
        return self._lease.left_s(self._timer.boot_now())

    def record_refused(self, fence: int) -> None:
        """Give up the lease; see `Authority.record_refused`."""
        now = self._timer.boot_now()
        if self._lease.fence(now) == fence:
            self._lease.record_refused(now)
            self.notify()

    def step_aside(self) -> None:
        """Let another process take over; see `Authority.step_aside`."""
        self._lease.step_aside(self._timer.boot_now())
        self.notify()

    def notify(self) -> None:
        """Plan anew at once; see `Authority.notify`."""
        self._woken.set()

    def resign(self) -> None:
        """Neither claim nor renew the lease any more."""
        self._lease.resign()
        self.notify()

    async def run(self) -> None:
        """Keep the lease and run the duties until cancelled."""
        async with trio.open_nursery() as nursery:
            for duty in self._duties:
                nursery.start_soon(duty.run, self)
            while True:
                await self.step()

    async def step(self) -> None:
        """Wait for the next step of the lease, or until something changes, and carry it out."""
        now = self._timer.boot_now()
        self._report(now)
        wanted = any(duty.is_wanted() for duty in self._duties)
        urgent = any(duty.has_urgent_records() for duty in self._duties)
        action = self._lease.plan(
            now, wanted=wanted, urgent=urgent, candidates=max(1, self._candidates())
        )
        if action.at > now:
            with trio.move_on_after(min(action.at - now, RECHECK_S)):
                await self._woken.wait()
            self._woken = trio.Event()
            return
        if action.step is LeaseStep.READ:
            await self._read()
        else:
            await self._append(action.step, action.reason)

    def _collect(self) -> dict[str, bytes]:
        return {key: value for duty in self._duties for key, value in duty.records().items()}

    async def _read(self) -> None:
        start, era = self._lease.read_from, self._lease.era
        try:
            if start is None:
                page = await self._log.read_newest(self._topic)
            else:
                page = await self._log.read(self._topic, start)
        except LogTruncatedError:
            self._lease.record_truncated()
            return
        except LogError as error:
            self._fail("read", error)
            self._lease.record_read_failed(self._timer.boot_now())
            return
        usable = self._lease.apply_page(page, self._timer.boot_now(), self._wall_ms())
        self._note_era(era)
        if usable:
            if era is None and self._lease.was_restored:
                self._handle_restore()
            for record in page.records:
                self._apply(record)
            for duty in self._duties:
                duty.handle_listing(complete=start is None)

    async def _append(self, step: LeaseStep, reason: str) -> None:
        era = self._lease.era
        append = self._lease.make_append(step, self._timer.boot_now(), self._wall_ms())
        # The lease comes first, so that its offset is the one at which the log ended.
        records = {LEASE_KEY: append.record.encode()}
        if step is LeaseStep.RENEW:
            records |= self._collect()
        try:
            result = await self._log.append_if_end(self._topic, append.end, records)
        except LogConflictError:
            self._lease.record_conflict(append)
            return
        except LogError as error:
            self._fail(f"{step.value} ({reason})", error)
            self._lease.record_unknown(self._timer.boot_now())
            return
        self._lease.record_appended(append, result, self._timer.boot_now())
        self._note_era(era)
        if (result.era or 0) == era:
            for index, (key, value) in enumerate(records.items()):
                self._apply(KeyedRecord(result.offset + index, key, value))

    def _apply(self, record: KeyedRecord) -> None:
        if record.key != LEASE_KEY:
            for duty in self._duties:
                duty.apply(record)

    def _note_era(self, known: int | None) -> None:
        era = self._lease.era
        if known is None or era == known:
            return
        self._events.record(Event.LOG_RESTORED, topic=self._topic, era=era, known_era=known)
        self._handle_restore()

    def _handle_restore(self) -> None:
        for duty in self._duties:
            duty.handle_restore()

    def _fail(self, step: str, error: LogError) -> None:
        self._events.record(
            Event.DUTY_LOG_FAILED,
            step=step,
            left_s=round(self.left_s(), 3),
            detail=error.message,
        )

    def _report(self, now: float) -> None:
        fence = self._lease.fence(now)
        if fence == self._reported_fence:
            return
        if self._reported_fence is not None and fence is None:
            self._events.record(
                Event.DUTIES_LOST, fence=self._reported_fence, holder=self._lease.holder
            )
        elif fence is not None:
            self._events.record(Event.DUTIES_TAKEN, fence=fence)
        self._reported_fence = fence
