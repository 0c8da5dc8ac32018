"""Reads the records that gateways write once a window, for the duties of the holder."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

import trio

from figwalk.coordination.compacted_log import CompactedLog, KeyedRecord
from figwalk.duties.usage_records import UsageCounts, UsageRecordError
from figwalk.duties.window_clock import WindowClock
from figwalk.errors import LogError, LogTruncatedError
from figwalk.events import Event, EventLog

READ_PERIOD_S = 0.75


class CountsListener(ABC):
    """Receives the records of gateways."""

    @abstractmethod
    def apply_counts(self, key: str, counts: UsageCounts) -> None:
        """Apply a record; one that was applied before may come again."""


class CountsReader:
    """Reads the topic at most once a period for all duties together.

    Args:
        log: The log.
        topic: Topic of the gateways' records.
        clock: Source of time.
        events: Event log.
    """

    def __init__(self, log: CompactedLog, topic: str, clock: WindowClock, events: EventLog) -> None:
        self._log = log
        self._topic = topic
        self._clock = clock
        self._events = events
        self._listeners: list[CountsListener] = []
        self._offset: int | None = None
        self._era: int | None = None
        self._read_at = -math.inf
        self._answers_since = math.inf

    @property
    def answers_since(self) -> float:
        """Time since which all reads were answered; infinite if the last one was not."""
        return self._answers_since

    def subscribe(self, listener: CountsListener) -> None:
        """Pass the records to a listener too."""
        self._listeners.append(listener)

    async def refresh(self) -> bool:
        """Read what is new; return whether the listeners have seen the present records.

        Returns False, too, if the last read was less than a period ago.
        """
        if self._clock.now() - self._read_at < READ_PERIOD_S:
            return False
        try:
            if self._offset is None:
                page = await self._log.read_newest(self._topic)
            else:
                page = await self._log.read(self._topic, self._offset)
        except LogTruncatedError:
            self._offset = None
            return False
        except LogError as error:
            self._answers_since = math.inf
            self._events.record(Event.DUTY_LOG_FAILED, step="read usage", detail=error.message)
            return False
        finally:
            self._read_at = self._clock.now()
        is_restored = self._era is not None and page.era != self._era
        self._era = page.era
        if is_restored and self._offset is not None:
            self._offset = None
            return False
        self._answers_since = min(self._answers_since, self._clock.now())
        self._offset = page.next_offset
        for record in page.records:
            self._apply(record)
            # Decoding takes most of a millisecond for each record; calls go on in between.
            await trio.lowlevel.checkpoint()
        return True

    def _apply(self, record: KeyedRecord) -> None:
        if record.value is None:
            return
        try:
            counts = UsageCounts.decode(record.value)
        except UsageRecordError as error:
            self._events.record(
                Event.USAGE_RECORD_SKIPPED,
                key=record.key,
                offset=record.offset,
                detail=str(error),
            )
            return
        for listener in self._listeners:
            listener.apply_counts(record.key, counts)
