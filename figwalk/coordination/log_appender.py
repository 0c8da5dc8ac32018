"""Writer to one log stream, which appends one record at a time and resolves lost responses."""

from __future__ import annotations

import trio

from figwalk.coordination.backoff import Backoff
from figwalk.coordination.log_client import LogClient
from figwalk.coordination.log_follower import LogFollower
from figwalk.errors import LogAnswerLostError, LogUnavailableError
from figwalk.protocol.records import Record, encode_record
from figwalk.state.replayed_state import ReplayedState


class LogAppender:
    """The only writer of a process to a stream.

    If an append got no response, the appender looks the record up by its id before it appends
    anything else. A record that it doesn't find may still reach the log, so it sends the same
    record again; each `ReplayedState` applies only the first copy.

    Args:
        client: The log.
        follower: Follower of the stream.
        state: State that the follower applies the records to.
        resend_abandoned: Whether a record whose append was abandoned is sent again before the
            next one. If not, it is only looked up.
        backoff: Delays between attempts.
    """

    def __init__(
        self,
        client: LogClient,
        follower: LogFollower,
        state: ReplayedState,
        *,
        resend_abandoned: bool = True,
        backoff: Backoff | None = None,
    ) -> None:
        self._client = client
        self._follower = follower
        self._state = state
        self._resend_abandoned = resend_abandoned
        self._backoff = backoff or Backoff()
        self._lock = trio.Lock()
        self._pending: Record | None = None

    @property
    def has_pending(self) -> bool:
        """Whether it is unknown if the last record is in the log."""
        return self._pending is not None

    async def append(self, record: Record) -> int:
        """Append a record, read it back from the log and return its first offset.

        Raises:
            LogUnavailableError: The record is not in the log and will not be appended later.
            LogAnswerLostError: The record may be in the log or may be appended later. The same
                holds if the call is cancelled.
        """
        async with self._lock:
            await self._resolve_abandoned()
            self._pending = record
            try:
                offset = await self._client.append(
                    self._follower.stream, record.record_id, encode_record(record)
                )
            except LogUnavailableError:
                self._pending = None
                raise
            except LogAnswerLostError:
                return await self._resolve_pending()
            return await self._read_back(record, offset)

    async def resolve(self) -> int | None:
        """Ensure that the last record is in the log and return its offset.

        Returns None if the result of the last append is already known.

        Raises:
            LogAnswerLostError: The log does not respond; it may contain the record.
        """
        async with self._lock:
            return await self._resolve_pending() if self._pending is not None else None

    async def _resolve_abandoned(self) -> None:
        if self._pending is None:
            return
        try:
            if self._resend_abandoned:
                await self._resolve_pending()
            else:
                await self._follower.read_to_head()
                self._pending = None
        except (LogAnswerLostError, LogUnavailableError) as error:
            raise LogUnavailableError(
                f"not appended, the result of an earlier append is not known: {error.message}"
            ) from error

    async def _resolve_pending(self) -> int:
        record = self._pending
        while True:
            try:
                offset = await self._look_up(record)
                if offset is None:
                    offset = await self._resend(record)
            except LogUnavailableError as error:
                raise LogAnswerLostError(
                    f"record {record.record_id!r} may be in the log: {error.message}",
                    remedy="look the record up by its id before anything else",
                ) from error
            except LogAnswerLostError:
                await trio.sleep(self._backoff.next_delay())
            else:
                self._backoff.reset()
                self._pending = None
                return offset

    async def _look_up(self, record: Record) -> int | None:
        await self._follower.read_to_head()
        return self._state.offset_of(record.record_id)

    async def _resend(self, record: Record) -> int:
        offset = await self._client.append(
            self._follower.stream, record.record_id, encode_record(record)
        )
        return await self._read_back(record, offset)

    async def _read_back(self, record: Record, offset: int) -> int:
        """Wait until the follower has applied a record; return the offset of its first copy."""
        await self._follower.wait_for(offset)
        self._pending = None
        first_offset = self._state.offset_of(record.record_id)
        return offset if first_offset is None else first_offset
