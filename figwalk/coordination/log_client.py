"""Access to the platform's append-only log."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs


@attrs.frozen
class StoredRecord:
    """A record as the log keeps it.

    Attributes:
        offset: Position in the stream, from 0.
        time_ms: Wall-clock milliseconds of the log service when it was appended.
        record_id: Id given by the appender.
        data: Content.
    """

    offset: int
    time_ms: int
    record_id: str
    data: bytes


@attrs.frozen
class LogPage:
    """Answer to a read.

    Attributes:
        oldest: First offset that the log still keeps.
        head: Offset after the newest record.
        records: Records from the offset asked for, in order.
    """

    oldest: int
    head: int
    records: tuple[StoredRecord, ...]


class LogClient(ABC):
    """Appends to and reads from the streams of a log."""

    @abstractmethod
    async def append(self, stream: str, record_id: str, data: bytes) -> int:
        """Append a record and return its offset.

        Raises:
            LogUnavailableError: The log refused it or was not reached; it is not in the log.
            LogAnswerLostError: No answer came; it may be in the log or get there later.
        """

    @abstractmethod
    async def read(
        self, stream: str, offset: int, *, max_records: int = 500, wait_ms: int = 0
    ) -> LogPage:
        """Read records from an offset, waiting up to `wait_ms` milliseconds for one.

        Raises:
            LogUnavailableError: The log did not answer.
            LogTruncatedError: The log dropped the record at the offset.
        """
