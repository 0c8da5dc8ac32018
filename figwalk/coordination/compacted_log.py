"""Interface to compacted topics, which retain the newest record of each key, and a follower."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping

import attrs
import trio

from figwalk.coordination.backoff import Backoff
from figwalk.errors import LogError, LogTruncatedError, LogUnavailableError
from figwalk.events import Event, EventLog
from figwalk.timer import Timer

# A VM must have the newest configuration within seconds after the store is available again, so
# the delay between failed reads stays far below that.
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.4


@attrs.frozen
class KeyedRecord:
    """One record of a topic.

    Attributes:
        offset: Position in the topic.
        key: Key of the record.
        value: Content, or None if the key was removed.
    """

    offset: int
    key: str
    value: bytes | None = attrs.field(repr=False)


@attrs.frozen
class KeyedPage:
    """Response to a read.

    Attributes:
        next_offset: Offset at which the next read starts.
        records: Records in order.
        era: Number that increases whenever the log is restored from an older copy, or None if the
            log does not report it.
        age_s: Seconds by which the log was read before the request for this page was sent; 0 unless
            another process has read it.
    """

    next_offset: int
    records: tuple[KeyedRecord, ...]
    era: int | None = None
    age_s: float = 0.0


class CompactedLog(ABC):
    """Reads compacted topics."""

    @abstractmethod
    async def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key; later records start at `next_offset`.

        Raises:
            LogUnavailableError: The log did not respond.
        """

    @abstractmethod
    async def read(self, topic: str, offset: int, *, wait_s: float = 0.0) -> KeyedPage:
        """Return the records from an offset, waiting up to `wait_s` seconds for the first one.

        Raises:
            LogUnavailableError: The log did not respond.
            LogTruncatedError: The log dropped records after the offset.
        """


class CompactedLogWriter(ABC):
    """Appends to compacted topics."""

    @abstractmethod
    async def append(self, topic: str, records: Mapping[str, bytes | None]) -> None:
        """Append a record for each key, all or none of them.

        Args:
            topic: Name of the topic.
            records: Value of each key, or None to remove the key.

        Raises:
            LogUnavailableError: The log did not respond or refused the records. They may have been
                appended, or may be appended later.
        """


@attrs.frozen
class AppendedRecords:
    """Result of a conditional append.

    Attributes:
        offset: Offset of the first record.
        end: Offset after the last one.
        era: Number that increases whenever the log is restored from an older copy, or None if the
            log does not report it.
    """

    offset: int
    end: int
    era: int | None = None


class ConditionalLog(CompactedLog, CompactedLogWriter):
    """Compacted topics with appends that depend on what the log contains."""

    @abstractmethod
    async def append_if_end(
        self, topic: str, end: int, records: Mapping[str, bytes | None]
    ) -> AppendedRecords:
        """Append a record for each key, all or none, if the topic ends at an offset.

        Args:
            topic: Name of the topic.
            end: Offset after its newest record, as the caller knows it.
            records: Value of each key, or None to remove the key.

        Raises:
            LogConflictError: The topic has another end; nothing was appended.
            LogUnavailableError: The log did not respond or refused the records. They may have been
                appended, or may be appended later if the topic then still has this end.
        """


class TopicHandler(ABC):
    """Receives the records and the state of a topic from its follower."""

    @abstractmethod
    def apply(self, record: KeyedRecord) -> None:
        """Apply one record; must not raise for a record that can't be decoded."""

    @abstractmethod
    def apply_key_set(self, keys: frozenset[str]) -> None:
        """Handle that a read of the whole topic returned these keys and no others."""

    @abstractmethod
    def set_available(self, *, available: bool) -> None:
        """Handle that the log has become available or unavailable."""

    @abstractmethod
    def handle_restore(self) -> None:
        """Handle that the log was restored from an older copy; called before that copy is read."""


class TopicFollower:
    """Keeps a handler up to date with a topic.

    Args:
        log: The log.
        topic: Name of the topic.
        reader: Receives the records.
        events: Event log.
        timer: Source of time.
        wait_s: Seconds that one read waits for records. The follower detects an unresponsive log
            after this time plus the client's timeout.
        period_s: Minimum seconds between two reads, which limits the reads of a busy topic.
        on_progress: Called after each successful read.
    """

    def __init__(
        self,
        log: CompactedLog,
        topic: str,
        reader: TopicHandler,
        events: EventLog,
        timer: Timer,
        *,
        wait_s: float = 0.0,
        period_s: float = 0.0,
        on_progress: Callable[[], None] = lambda: None,
    ) -> None:
        self._log = log
        self._topic = topic
        self._reader = reader
        self._events = events
        self._timer = timer
        self._wait_s = wait_s
        self._period_s = period_s
        self._on_progress = on_progress
        self._offset: int | None = None
        self._era: int | None = None
        self._available: bool | None = None
        self._last_read_at = timer.now()
        self._backoff = Backoff(first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S)

    @property
    def offset(self) -> int | None:
        """Offset of the next record, or None until the whole topic has been read."""
        return self._offset

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            started = self._timer.now()
            try:
                await self._read_next()
            except LogTruncatedError as error:
                self._events.record(
                    Event.LOG_TRUNCATED, topic=self._topic, offset=self._offset, oldest=error.oldest
                )
                self._offset = None
            except LogError as error:
                self._set_available(available=False, detail=str(error))
                await trio.sleep(self._backoff.next_delay())
            else:
                self._set_available(available=True)
                self._backoff.reset()
                self._last_read_at = self._timer.now()
                self._on_progress()
                await trio.sleep(self._timer.left_s(started + self._period_s))

    async def _read_next(self) -> None:
        if self._offset is None:
            page = await self._log.read_newest(self._topic)
            # Reported before the records are applied, since keys that they remove disappeared
            # while the log was unavailable.
            self._set_available(available=True)
            self._update_era(page)
            self._apply(page)
            self._reader.apply_key_set(frozenset(record.key for record in page.records))
        else:
            wait_s = self._wait_s if self._available else 0.0
            page = await self._log.read(self._topic, self._offset, wait_s=wait_s)
            self._set_available(available=True)
            if self._update_era(page):
                # The restored log reuses offsets, so these records don't necessarily follow those
                # that were read before.
                self._offset = None
                return
            self._apply(page)
        self._offset = page.next_offset

    def _update_era(self, page: KeyedPage) -> bool:
        """Return whether the log was restored from an older copy since the last page.

        Raises:
            LogUnavailableError: The page was sent before the log was restored and arrived late.
        """
        known = self._era
        if page.era is None or page.era == known:
            return False
        if known is not None and page.era < known:
            raise LogUnavailableError(
                f"an answer of era {page.era} arrived after one of era {known}"
            )
        self._era = page.era
        if known is None:
            return False
        self._events.record(
            Event.LOG_RESTORED,
            topic=self._topic,
            era=page.era,
            known_era=known,
            offset=self._offset,
        )
        self._reader.handle_restore()
        return True

    def _apply(self, page: KeyedPage) -> None:
        for record in page.records:
            self._reader.apply(record)

    def _set_available(self, *, available: bool, detail: str = "") -> None:
        if available == self._available:
            return
        self._available = available
        age_s = self._timer.now() - self._last_read_at
        event = Event.LOG_AVAILABLE if available else Event.LOG_UNAVAILABLE
        self._events.record(
            event, topic=self._topic, offset=self._offset, age_s=round(age_s, 3), detail=detail
        )
        self._reader.set_available(available=available)
