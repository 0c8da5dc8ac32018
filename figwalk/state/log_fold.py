"""Base of the folds over log streams."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from typing import TYPE_CHECKING, Generic, TypeVar

from figwalk.protocol.records import MalformedRecordError, Record, decode_record

if TYPE_CHECKING:
    from figwalk.coordination.log_client import StoredRecord

Result = TypeVar("Result")


class RecentIds:
    """Remembers the offset at which each record id appeared first, for a time window.

    The window counts the log's own record times, so that all readers forget the same ids, and
    starts again with each repeat, so that a record repeated many times stays known.

    Args:
        window_ms: Milliseconds of record time that an id is remembered.
    """

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._offsets: dict[str, int] = {}
        self._newest_ms: dict[str, int] = {}
        self._order: deque[tuple[int, str]] = deque()

    def add(self, record_id: str, offset: int, time_ms: int) -> bool:
        """Remember an id; return False if it is already known."""
        self._forget_before(time_ms - self._window_ms)
        known = record_id in self._offsets
        if not known:
            self._offsets[record_id] = offset
        self._newest_ms[record_id] = time_ms
        self._order.append((time_ms, record_id))
        return not known

    def offset_of(self, record_id: str) -> int | None:
        """Return the first offset of an id, or None if it is not known."""
        return self._offsets.get(record_id)

    def __contains__(self, record_id: str) -> bool:
        return record_id in self._offsets

    def _forget_before(self, time_ms: int) -> None:
        while self._order and self._order[0][0] < time_ms:
            _, record_id = self._order.popleft()
            if self._newest_ms.get(record_id, time_ms) < time_ms:
                del self._offsets[record_id]
                del self._newest_ms[record_id]


class LogFold(ABC, Generic[Result]):
    """State computed from the records of one stream, in log order.

    A record that was applied already is skipped, by offset and by record id: an append whose
    answer was lost may be in the log twice. A jump in the offsets is a gap.

    Args:
        window_ms: Milliseconds of record time that record ids are remembered.
    """

    def __init__(self, window_ms: int) -> None:
        self._next_offset = 0
        self._recent = RecentIds(window_ms)

    @property
    def next_offset(self) -> int:
        """Offset after the newest applied record."""
        return self._next_offset

    def offset_of(self, record_id: str) -> int | None:
        """Return the first offset of a recently applied record, or None."""
        return self._recent.offset_of(record_id)

    def apply(self, record: StoredRecord) -> Result | None:
        """Apply the next record; records that are not of a known form change nothing."""
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
        return self._fold(record, content)

    def skip_to(self, offset: int) -> None:
        """Continue at a later offset, because the log dropped what is before it."""
        if offset > self._next_offset:
            self._next_offset = offset
            self._enter_gap(offset)

    def _observe(self, record: StoredRecord) -> None:
        """See every record, also repeated and malformed ones."""

    @abstractmethod
    def _enter_gap(self, offset: int) -> None:
        """Handle that the records before an offset are not known."""

    @abstractmethod
    def _fold(self, record: StoredRecord, content: Record) -> Result | None:
        """Apply a record that is seen for the first time."""
