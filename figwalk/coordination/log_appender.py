"""Appends to one stream, one record at a time, and settles lost answers."""

from __future__ import annotations

import trio

from figwalk.coordination.backoff import Backoff
from figwalk.coordination.log_client import LogClient
from figwalk.coordination.log_follower import LogFollower
from figwalk.errors import LogAnswerLostError, LogUnavailableError
from figwalk.protocol.records import Record, encode_record
from figwalk.state.log_fold import LogFold


class LogAppender:
    """The only writer of a process to a stream.

    A record whose append got no answer is looked up by its record id before anything else is
    appended. A record that is not found may still reach the log, so the same record is sent
    again; the folds apply it once.

    Args:
        client: The log.
        follower: Follower of the stream.
        fold: Fold that the follower applies records to.
        resend_abandoned: Whether a record whose append was given up is sent again before the
            next one. If not, it is only looked up.
        backoff: Delays between attempts.
    """

    def __init__(
        self,
        client: LogClient,
        follower: LogFollower,
        fold: LogFold,
        *,
        resend_abandoned: bool = True,
        backoff: Backoff | None = None,
    ) -> None:
        self._client = client
        self._follower = follower
        self._fold = fold
        self._resend_abandoned = resend_abandoned
        self._backoff = backoff or Backoff()
        self._lock = trio.Lock()
        self._unsettled: Record | None = None

    @property
    def unsettled(self) -> bool:
        """Whether it is not known if the last record is in the log."""
        return self._unsettled is not None

    async def append(self, record: Record) -> int:
        """Append a record and return its first offset once it was read back from the log.

        Raises:
            LogUnavailableError: The record is not in the log and will not be.
            LogAnswerLostError: The record may be in the log or get there later. Cancelling
                the call leaves the same state.
        """
        async with self._lock:
            await self._settle_abandoned()
            self._unsettled = record
            try:
                offset = await self._client.append(
                    self._follower.stream, record.record_id, encode_record(record)
                )
            except LogUnavailableError:
                self._unsettled = None
                raise
            except LogAnswerLostError:
                return await self._settle()
            return await self._read_back(record, offset)

    async def settle(self) -> int | None:
        """Make sure that the last record is in the log and return its offset.

        Returns None if there is nothing to settle.

        Raises:
            LogAnswerLostError: The log does not answer; the record may be in it.
        """
        async with self._lock:
            return await self._settle() if self._unsettled is not None else None

    async def _settle_abandoned(self) -> None:
        if self._unsettled is None:
            return
        try:
            if self._resend_abandoned:
                await self._settle()
            else:
                await self._follower.read_to_head()
                self._unsettled = None
        except (LogAnswerLostError, LogUnavailableError) as error:
            raise LogUnavailableError(
                f"not appended, an earlier record is not settled: {error.message}"
            ) from error

    async def _settle(self) -> int:
        record = self._unsettled
        while True:
            try:
                offset = await self._look_up(record)
                if offset is None:
                    offset = await self._send_again(record)
            except LogUnavailableError as error:
                raise LogAnswerLostError(
                    f"record {record.record_id!r} may be in the log: {error.message}",
                    remedy="look the record up by its id before anything else",
                ) from error
            except LogAnswerLostError:
                await trio.sleep(self._backoff.next_delay())
            else:
                self._backoff.reset()
                self._unsettled = None
                return offset

    async def _look_up(self, record: Record) -> int | None:
        await self._follower.read_to_head()
        return self._fold.offset_of(record.record_id)

    async def _send_again(self, record: Record) -> int:
        offset = await self._client.append(
            self._follower.stream, record.record_id, encode_record(record)
        )
        return await self._read_back(record, offset)

    async def _read_back(self, record: Record, offset: int) -> int:
        """Wait until the follower has applied a record; its first copy may be an earlier one."""
        await self._follower.wait_for(offset)
        self._unsettled = None
        first = self._fold.offset_of(record.record_id)
        return offset if first is None else first
