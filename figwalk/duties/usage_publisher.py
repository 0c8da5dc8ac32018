"""Writes the usage counts of one gateway to the log."""

from __future__ import annotations

import secrets
from hashlib import blake2b

import trio

from figwalk.coordination.backoff import Backoff
from figwalk.coordination.compacted_log import CompactedLogWriter
from figwalk.duties.demand_meter import DemandMeter
from figwalk.duties.usage_counter import UsageCounter
from figwalk.duties.usage_records import KEPT_WINDOWS, UsageCounts
from figwalk.duties.window_clock import SAMPLE_PERIOD_S, WindowClock
from figwalk.errors import LogError
from figwalk.events import Event, EventLog
from figwalk.state.gateway_settings import DutySettings

# A plain call is counted when its answer arrives or its time ends, which is up to some seconds
# after it began. As shares of the time until a report is late: the time from the end of a window
# until its counts are written, and the time over which all gateways together spread that.
WRITE_DELAY_SHARE = 0.3
WRITE_SPREAD_SHARE = 0.05
# Written windows are written again with the next ones, in case the log loses its newest records.
REPEATED_WINDOWS = 5
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0
INSTANCE_BYTES = 4


class UsagePublisher:
    """Writes one record a window under a key of its own.

    Each record holds the counts of the last windows, so that a lost one does no harm. A window's
    counts never change once they were part of a record.

    Args:
        log: Writes to the topic.
        topic: Name of the topic.
        counter: The counts.
        clock: Tells the windows.
        events: Event log.
        settings: Times of the reports.
        process: Name of this gateway.
        zone: Its availability zone.
        meter: Measures its demand, or None.
    """

    def __init__(
        self,
        log: CompactedLogWriter,
        topic: str,
        counter: UsageCounter,
        clock: WindowClock,
        events: EventLog,
        settings: DutySettings,
        *,
        process: str,
        zone: str = "",
        meter: DemandMeter | None = None,
    ) -> None:
        self._log = log
        self._topic = topic
        self._counter = counter
        self._clock = clock
        self._events = events
        self._process = process
        self._zone = zone
        self._meter = meter
        self._demand: dict[str, float] = {}
        # After a restart, the counts of the former process must not be overwritten.
        self._key = f"{process}/{secrets.token_hex(INSTANCE_BYTES)}"
        digest = blake2b(process.encode(), digest_size=2).digest()
        spread = WRITE_SPREAD_SHARE * int.from_bytes(digest, "big") / 0xFFFF
        self._delay_s = (WRITE_DELAY_SHARE + spread) * settings.usage_late_s
        self._first = clock.window_at(clock.now())
        self._through = self._first - 1
        self._written_through = self._first - 1
        self._windows: dict[int, dict[str, int]] = {}
        self._reported_late = 0
        self._stopping = False
        self._backoff = Backoff(first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S)

    @property
    def unwritten(self) -> int:
        """Ended windows whose counts are not in the log."""
        return self._through - self._written_through

    async def run(self) -> None:
        """Write the counts of each window after its end, until cancelled."""
        while not self._stopping:
            self._clock.sample()
            ended = self._clock.window_at(self._clock.now() - self._delay_s) - 1
            self._freeze(ended)
            if self._written_through < self._through:
                if not await self._write(stopped=False):
                    await trio.sleep(self._backoff.next_delay())
                continue
            due_s = self._clock.end_of(ended + 1) + self._delay_s - self._clock.now()
            await trio.sleep(min(SAMPLE_PERIOD_S, max(0.0, due_s)))

    async def stop(self) -> None:
        """Write all counts, also those of the present window, as the last ones of this process."""
        self._stopping = True
        self._freeze(self._clock.window_at(self._clock.now()))
        while not await self._write(stopped=True):
            await trio.sleep(self._backoff.next_delay())

    def _freeze(self, window: int) -> None:
        if window <= self._through:
            return
        self._windows |= self._counter.freeze(window)
        self._demand = self._meter.take() if self._meter is not None else {}
        self._through = window
        if self._counter.late > self._reported_late:
            calls = self._counter.late - self._reported_late
            self._reported_late = self._counter.late
            self._events.record(
                Event.USAGE_COUNTS_LATE, source=self._process, calls=calls, window=window
            )

    async def _write(self, *, stopped: bool) -> bool:
        """Return whether the counts were written."""
        through = self._through
        kept_from = max(
            through - KEPT_WINDOWS, min(through - REPEATED_WINDOWS, self._written_through)
        )
        self._windows = {k: v for k, v in self._windows.items() if k > kept_from}
        record = UsageCounts(
            self._process,
            self._first,
            through,
            stopped,
            self._windows,
            self._counter.partial(through + 1),
            self._zone,
            self._demand,
        )
        try:
            await self._log.append(self._topic, {self._key: record.encode()})
        except LogError as error:
            self._events.record(
                Event.USAGE_UNWRITTEN,
                windows=through - self._written_through,
                through=through,
                detail=error.message,
            )
            return False
        self._written_through = through
        self._backoff.reset()
        return True
