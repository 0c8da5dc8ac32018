"""Base class of states that are replayed from a log stream."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from typing import TYPE_CHECKING, Generic, TypeVar

from figwalk.protocol.records import MalformedRecordError, Record, decode_record

if TYPE_CHECKING:
    from figwalk.coordination.log_client import StoredRecord

Result = TypeVar("Result")


class RecentIds:
    """Remembers for a time window the offset of the first record with each id.

    The window is measured in the log's record times, so that all readers forget the same ids. It
    restarts with each repeated record, so that a record that is repeated many times stays known.

    Args:
        window_ms: Milliseconds of record time for which an id is remembered.
    """

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._offsets: dict[str, int] = {}
        self._last_seen_ms: dict[str, int] = {}
        self._appearances: deque[tuple[int, str]] = deque()

    def add(self, record_id: str, offset: int, time_ms: int) -> bool:
        """Remember an id; return False if it is already known."""
        self._forget_before(time_ms - self._window_ms)
        known = record_id in self._offsets
        if not known:
            self._offsets[record_id] = offset
        self._last_seen_ms[record_id] = time_ms
        self._appearances.append((time_ms, record_id))
        return not known

    def offset_of(self, record_id: str) -> int | None:
        """Return the offset of the first record with an id, or None if the id is not known."""
        return self._offsets.get(record_id)

    def __contains__(self, record_id: str) -> bool:
        return record_id in self._offsets

    def _forget_before(self, time_ms: int) -> None:
        while self._appearances and self._appearances[0][0] < time_ms:
            _, record_id = self._appearances.popleft()
            if self._last_seen_ms.get(record_id, time_ms) < time_ms:
                del self._offsets[record_id]
                del self._last_seen_ms[record_id]


class ReplayedState(ABC, Generic[Result]):
    """State that is computed by applying the records of one stream in log order.

    A record that was already applied is skipped, by its offset and by its id: an append whose
    response was lost may be in the log twice. A jump in the offsets is a gap.

    Args:
        window_ms: Milliseconds of record time for which record ids are remembered.
    """

    def __init__(self, window_ms: int) -> None:
        self._next_offset = 0
        self._recent = RecentIds(window_ms)

    @property
    def next_offset(self) -> int:
        """Offset after the newest applied record."""
        return self._next_offset

    def offset_of(self, record_id: str) -> int | None:
        """Return the first offset of a recently applied record, or None if it is not known."""
        return self._recent.offset_of(record_id)

    def apply(self, record: StoredRecord) -> Result | None:
        """Apply the next record; a record that can't be decoded changes nothing."""
        if record.offset < self._next_offset:
            return None
        self.skip_to(record.offset)
        self._next_offset = record.offset + 1
        self._observe(record)
        if not self._recent.add(record.record_id, record.offset, record.time_ms):
            return None
        try:
            content = decode_record(record.data)
        except MalformedRecordError:
            return None
        return self._apply_content(record, content)

    def skip_to(self, offset: int) -> None:
        """Continue at a later offset because the log dropped the records before it."""
        if offset > self._next_offset:
            self._next_offset = offset
            self._enter_gap(offset)

    def _observe(self, record: StoredRecord) -> None:
        """Handle any record, including repeated and malformed ones, before it is decoded."""

    @abstractmethod
    def _enter_gap(self, offset: int) -> None:
        """Handle that the records before an offset were not read."""

    @abstractmethod
    def _apply_content(self, record: StoredRecord, content: Record) -> Result | None:
        """Apply a record whose id was not read before."""
