"""Topics of the platform's log that keep the newest record of each key, and how to follow one."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

import attrs
import trio

from figwalk.coordination.backoff import Backoff
from figwalk.errors import LogError, LogTruncatedError, LogUnavailableError
from figwalk.events import Event, EventLog
from figwalk.timer import Timer

# A machine whose store is back must have the newest configuration within seconds, so that the
# delay between failed reads stays far below that.
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
    value: bytes | None


@attrs.frozen
class KeyedPage:
    """Answer to a read.

    Attributes:
        next_offset: Where the next read starts.
        records: Records in order.
        era: Rises when the log comes back from an older copy, or None if the log does not say.
    """

    next_offset: int
    records: tuple[KeyedRecord, ...]
    era: int | None = None


class KeyedLog(ABC):
    """Reads topics with keys."""

    @abstractmethod
    async def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key; later changes follow from `next_offset`.

        Raises:
            LogUnavailableError: The log did not answer.
        """

    @abstractmethod
    async def read(self, topic: str, offset: int, *, wait_s: float = 0.0) -> KeyedPage:
        """Return the records from an offset, waiting up to `wait_s` seconds for one.

        Raises:
            LogUnavailableError: The log did not answer.
            LogTruncatedError: The log dropped records after the offset.
        """


class TopicReader(ABC):
    """Takes what a follower reads."""

    @abstractmethod
    def apply(self, record: KeyedRecord) -> None:
        """Take over one record; it must not raise for a record that can't be read."""

    @abstractmethod
    def apply_complete(self, keys: frozenset[str]) -> None:
        """Note that a reading of the whole topic has these keys and no others."""

    @abstractmethod
    def note_available(self, *, available: bool) -> None:
        """Note whether the log answers."""

    @abstractmethod
    def note_restored(self) -> None:
        """Note that the log came back from an older copy, before that is read as a whole."""


class TopicFollower:
    """Keeps a reader up to date with a topic.

    Args:
        log: The log.
        topic: Name of the topic.
        reader: Takes the records.
        events: Event log.
        timer: Source of time.
        wait_s: Seconds that one read waits for records. A log that went silent is noticed after
            this time and the client's timeout.
        period_s: Least seconds between two reads, which bounds the calls for a busy topic.
        on_progress: Called after each answered read.
    """

    def __init__(
        self,
        log: KeyedLog,
        topic: str,
        reader: TopicReader,
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
        self._read_at = timer.now()
        self._backoff = Backoff(first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S)

    @property
    def offset(self) -> int | None:
        """Offset of the next record, or None before the first answer."""
        return self._offset

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            started = self._timer.now()
            try:
                await self._step()
            except LogTruncatedError as error:
                self._events.record(
                    Event.LOG_TRUNCATED, topic=self._topic, offset=self._offset, oldest=error.oldest
                )
                self._offset = None
            except LogError as error:
                self._note_available(available=False, detail=str(error))
                await trio.sleep(self._backoff.next_delay())
            else:
                self._note_available(available=True)
                self._backoff.reset()
                self._read_at = self._timer.now()
                self._on_progress()
                await trio.sleep(self._timer.left_s(started + self._period_s))

    async def _step(self) -> None:
        if self._offset is None:
            page = await self._log.newest(self._topic)
            # Before the records are applied: what they remove was lost while the log was away.
            self._note_available(available=True)
            self._note_era(page)
            self._apply(page)
            self._reader.apply_complete(frozenset(record.key for record in page.records))
        else:
            wait_s = self._wait_s if self._available else 0.0
            page = await self._log.read(self._topic, self._offset, wait_s=wait_s)
            self._note_available(available=True)
            if self._note_era(page):
                # Offsets were given out again, so that these records may be others than those
                # that follow what was read.
                self._offset = None
                return
            self._apply(page)
        self._offset = page.next_offset

    def _note_era(self, page: KeyedPage) -> bool:
        """Return whether the log came back from an older copy since the last page.

        Raises:
            LogUnavailableError: The page is a late one of before that.
        """
        known = self._era
        if page.era is None or page.era == known:
            return False
        if known is not None and page.era < known:
            raise LogUnavailableError(f"an answer of era {page.era} came after one of era {known}")
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
        self._reader.note_restored()
        return True

    def _apply(self, page: KeyedPage) -> None:
        for record in page.records:
            self._reader.apply(record)

    def _note_available(self, *, available: bool, detail: str = "") -> None:
        if available == self._available:
            return
        self._available = available
        age_s = self._timer.now() - self._read_at
        event = Event.LOG_AVAILABLE if available else Event.LOG_UNAVAILABLE
        self._events.record(
            event, topic=self._topic, offset=self._offset, age_s=round(age_s, 3), detail=detail
        )
        self._reader.note_available(available=available)
