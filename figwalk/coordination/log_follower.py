"""Follower of one log stream, which applies every record in order."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

import trio

from figwalk.coordination.backoff import Backoff
from figwalk.coordination.log_client import LogClient, LogPage, StoredRecord
from figwalk.errors import LogError, LogTruncatedError, LogUnavailableError
from figwalk.events import Event, EventLog
from figwalk.state.notifier import Notifier
from figwalk.timer import Timer

# The follower detects an unresponsive log after this time plus the client's timeout.
LONG_POLL_MS = 2000


class LogFollower:
    """Reads a stream from its start and applies every record once, in order.

    `run` is the follower's task. `read_to_head` may read concurrently; a record that both read
    is applied once.

    Args:
        client: The log.
        stream: Name of the stream.
        apply: Called with each record; it must not raise.
        events: Event log.
        timer: Source of time.
        on_truncated: Called with the oldest retained offset if the log dropped records that the
            follower had not read, for example `ReplayedState.skip_to`.
        backoff: Delays after a failed read.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        apply: Callable[[StoredRecord], Any],
        events: EventLog,
        timer: Timer,
        *,
        on_truncated: Callable[[int], None] | None = None,
        backoff: Backoff | None = None,
    ) -> None:
        self._client = client
        self._stream = stream
        self._apply = apply
        self._events = events
        self._timer = timer
        self._on_truncated = on_truncated
        self._backoff = backoff or Backoff()
        self._offset = 0
        self._available = False
        self._unavailable_reported = False
        self._changed = Notifier()
        self._head_lock = trio.Lock()
        self._sequence = itertools.count(1)
        self._last_head_read = 0
        self._head_read_error: LogError | None = None

    @property
    def stream(self) -> str:
        """Name of the stream."""
        return self._stream

    @property
    def offset(self) -> int:
        """Offset of the next record to apply."""
        return self._offset

    @property
    def available(self) -> bool:
        """Whether the log responded to the last read; False before the first one."""
        return self._available

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            # The first read, and the one after a failure, don't wait for records, so that
            # `available` is set as soon as the log responds.
            wait_ms = LONG_POLL_MS if self._available else 0
            try:
                await self._read_page(wait_ms)
            except LogError:
                await trio.sleep(self._backoff.next_delay())
            else:
                self._backoff.reset()

    async def read_to_head(self) -> None:
        """Apply all records that are in the log when this method is called.

        The read starts after the call. Concurrent callers that wait for it share one read.

        Raises:
            LogUnavailableError: The log did not respond.
        """
        call_number = next(self._sequence)
        async with self._head_lock:
            if self._last_head_read < call_number:
                await self._run_head_read()
            if self._head_read_error is not None:
                raise LogUnavailableError(
                    f"stream {self._stream!r} can't be read: {self._head_read_error.message}"
                ) from self._head_read_error

    async def wait_for(self, offset: int) -> None:
        """Wait until the follower has applied the record at an offset, or skipped it as dropped."""
        while self._offset <= offset:
            await self._changed.wait()

    async def wait_changed(self) -> None:
        """Wait until another record has been applied."""
        await self._changed.wait()

    async def _run_head_read(self) -> None:
        read_number = next(self._sequence)
        try:
            await self._catch_up()
        except LogError as error:
            self._head_read_error = error
        else:
            self._head_read_error = None
        self._last_head_read = read_number

    async def _catch_up(self) -> None:
        page = await self._read_page(0)
        head = page.head
        while self._offset < head:
            previous_offset = self._offset
            await self._read_page(0)
            if self._offset == previous_offset:
                raise LogUnavailableError(
                    f"log sent no record from {previous_offset}, but its head is {head}"
                )

    async def _read_page(self, wait_ms: int) -> LogPage:
        """Read and apply the next page; if the log was truncated, continue at its oldest record."""
        while True:
            offset = self._offset
            try:
                page = await self._client.read(self._stream, offset, wait_ms=wait_ms)
            except LogTruncatedError as error:
                if error.oldest <= offset:
                    raise LogUnavailableError(
                        f"log reports record {offset} as dropped, but retains it"
                    ) from error
                self._set_available()
                self._skip_to(error.oldest)
            except LogError as error:
                self._set_unavailable(error)
                raise
            else:
                self._set_available()
                self._apply_page(page)
                return page

    def _apply_page(self, page: LogPage) -> None:
        previous_offset = self._offset
        for record in page.records:
            if record.offset < self._offset:
                continue
            self._apply(record)
            self._offset = record.offset + 1
        if self._offset != previous_offset:
            self._notify()

    def _skip_to(self, oldest: int) -> None:
        if oldest <= self._offset:
            return
        self._events.record(
            Event.LOG_TRUNCATED, stream=self._stream, offset=self._offset, oldest=oldest
        )
        if self._on_truncated is not None:
            self._on_truncated(oldest)
        self._offset = oldest
        self._notify()

    def _notify(self) -> None:
        self._changed.notify()

    def _set_available(self) -> None:
        if not self._available:
            self._available = True
            self._events.record(Event.LOG_AVAILABLE, stream=self._stream, offset=self._offset)

    def _set_unavailable(self, error: LogError) -> None:
        if self._available or not self._unavailable_reported:
            self._events.record(
                Event.LOG_UNAVAILABLE, stream=self._stream, offset=self._offset, error=error.message
            )
        self._available = False
        self._unavailable_reported = True
