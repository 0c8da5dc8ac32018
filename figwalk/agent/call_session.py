"""One call connection of an entry, which carries one call at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from figwalk.agent.attempt import Attempt
from figwalk.agent.call_connection import CallConnection
from figwalk.errors import (
    ConnectionLostError,
    FrameTooLargeError,
    MalformedFrameError,
)
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import Answer, Call, Cancel, End, Hello, Message, Refusal
from figwalk.protocol.peer_connection import AnswerData

if TYPE_CHECKING:
    from figwalk.agent.call_server import CallServer


class CallSession:
    """Receives calls and cancellations on one connection and sends the answers."""

    def __init__(
        self, server: CallServer, connection: CallConnection, entry: Hello, events: EventLog
    ) -> None:
        self._server = server
        self._connection = connection
        self._events = events
        self._nursery: trio.Nursery | None = None
        self._send_attempt, self._receive_attempt = trio.open_memory_channel[Attempt](1)
        self._attempt: Attempt | None = None
        self._lost = False
        self.entry = entry

    @property
    def lost(self) -> bool:
        """Whether no further message can be sent."""
        return self._lost or self._connection.write_incomplete

    def mark_lost(self) -> None:
        """Record that the connection to the entry is lost."""
        self._lost = True

    def cancel_if_unwanted(self, attempt: Attempt) -> None:
        """Cancel a call if the entry has meanwhile closed the connection or sent a `Cancel`.

        In a busy agent, the task that receives it may run only after the call was sent.
        """
        if not attempt.scope.cancel_called and not self._connection.alive:
            attempt.cancel()

    async def run(self) -> None:
        """Serve calls until the connection is lost and the last call has ended."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._receive_messages)
            async for attempt in self._receive_attempt:
                await self._server.run_call(attempt, self)
                if self.lost:
                    break
            nursery.cancel_scope.cancel()

    def start_soon(self, function: object, *arguments: object) -> None:
        """Start a task in the nursery of the connection, which ends only after the task."""
        self._nursery.start_soon(function, *arguments)

    async def send_last(self, message: End | Refusal) -> None:
        """Send the last message of a call, after which the entry may send its next call."""
        self._attempt = None
        self._connection.collect(message)
        await self._connection.flush()

    def collect_answer(self, attempt: Attempt, answer: Answer) -> None:
        """Collect the head of an answer, to be sent with the data that follow it."""
        if not attempt.detached:
            self._connection.collect(answer)
            attempt.answered = True

    async def send_data(self, attempt: Attempt, data: bytes, *, more: bool) -> None:
        """Send body bytes of an answer; the last ones are sent together with its end."""
        if attempt.detached:
            return
        try:
            self._connection.collect_data(attempt.call.call_id, data)
            attempt.byte_count += len(data)
            if more:
                await self._connection.flush()
        except ConnectionLostError:
            self.mark_lost()
            if not attempt.keyed:
                raise
            attempt.detached = True

    async def _receive_messages(self) -> None:
        try:
            while True:
                self._handle(await self._connection.receive())
        except ConnectionLostError:
            pass
        except (MalformedFrameError, FrameTooLargeError) as error:
            self._events.record(
                Event.PEER_FRAME_REJECTED, peer=self.entry.process, error=error.message
            )
        finally:
            self._end()
        await self._connection.aclose()

    def _handle(self, message: Message | AnswerData) -> None:
        if isinstance(message, Call) and self._attempt is None:
            self._attempt = self._server.open_attempt(message)
            self._send_attempt.send_nowait(self._attempt)
        elif isinstance(message, Cancel):
            self._cancel(message.call_id)
        else:
            name = type(message).__name__
            raise MalformedFrameError(f"{name} is out of place on a call connection")

    def _end(self) -> None:
        self.mark_lost()
        self._send_attempt.close()
        if self._attempt is not None:
            self._attempt.cancel()

    def _cancel(self, call_id: int) -> None:
        if self._attempt is not None and self._attempt.call.call_id == call_id:
            self._attempt.cancel()
