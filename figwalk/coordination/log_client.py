"""Interface to the platform's append-only log."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs


@attrs.frozen
class StoredRecord:
    """A record stored in the log.

    Attributes:
        offset: Position in the stream, from 0.
        time_ms: Wall-clock milliseconds of the log service when it appended the record.
        record_id: Id assigned by the writer.
        data: Content.
    """

    offset: int
    time_ms: int
    record_id: str
    data: bytes


@attrs.frozen
class LogPage:
    """Response to a read.

    Attributes:
        oldest: Lowest offset that the log retains.
        head: Offset after the newest record.
        records: Records from the requested offset, in order.
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
            LogUnavailableError: The log refused the record or could not be reached; the record
                is not in the log.
            LogAnswerLostError: The client received no response; the record may be in the log, or
                the log may still append it later.
        """

    @abstractmethod
    async def read(
        self, stream: str, offset: int, *, max_records: int = 500, wait_ms: int = 0
    ) -> LogPage:
        """Read records from an offset, waiting up to `wait_ms` milliseconds for the first one.

        Raises:
            LogUnavailableError: The log did not respond.
            LogTruncatedError: The log has dropped the record at the offset.
        """
