"""Pool of call connections to one agent; each connection carries one call at a time."""

from __future__ import annotations

from collections.abc import AsyncIterator
from types import TracebackType

from figwalk.entry.agent_link import AgentLink, LinkOwner
from figwalk.errors import (
    CallOutcome,
    ConnectionLostError,
    MalformedFrameError,
    RefusalError,
    TransportError,
)
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import Answer, Call, ConnectionKind, End, Refusal
from figwalk.protocol.peer_connection import AnswerData, PeerConnection
from figwalk.state.settings import Address
from figwalk.transport import ByteCharge

MAX_IDLE_CONNECTIONS = 128
# So much of an answer is kept even without room: most answers are smaller, and end soon.
SMALL_ANSWER_BYTES = 64 * 1024


class AgentRefusalError(RefusalError):
    """The agent refused the call; carries the code and the detail that the agent sent."""

    @classmethod
    def from_refusal(cls, refusal: Refusal) -> AgentRefusalError:
        """Build the error from the agent's `Refusal` message."""
        status = 429 if refusal.code in {"overloaded", "deadline"} else 503
        return cls(
            refusal.code,
            refusal.detail or f"the backend server refused the call: {refusal.code}",
            status=status,
            outcome=refusal.outcome,
            retry_after_ms=refusal.retry_after_ms,
        )


class Reply:
    """An agent's answer to one call, read as it arrives."""

    def __init__(self, connection: PeerConnection, call: Call, events: EventLog) -> None:
        self._connection = connection
        self._call = call
        self._events = events
        self._received_bytes = 0
        self._end: End | None = None

    @property
    def connection(self) -> PeerConnection:
        """Connection that carries the answer."""
        return self._connection

    @property
    def finished(self) -> bool:
        """Whether the agent sent its last frame of this call, which frees the connection."""
        return self._end is not None

    @property
    def complete(self) -> bool:
        """Whether the whole answer has been received."""
        return self._end is not None and self._end.complete

    @property
    def end(self) -> End | None:
        """The `End` message of the answer, or None until it is received."""
        return self._end

    async def head(self) -> Answer:
        """Receive the status and the headers.

        Raises:
            AgentRefusalError: The agent refused the call.
            TransportError: The connection was lost or carries frames of another call.
        """
        message = await self._receive()
        if isinstance(message, Refusal):
            self._end = End(message.call_id, 0, False, message.load, message.clock)
            raise AgentRefusalError.from_refusal(message)
        if not isinstance(message, Answer):
            raise MalformedFrameError(f"expected Answer, received {type(message).__name__}")
        return message

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            ConnectionLostError: The answer is incomplete.
            TransportError: The connection carries frames of another call.
        """
        while True:
            message = await self._receive()
            if isinstance(message, AnswerData):
                self._received_bytes += len(message.data)
                yield message.data
            elif isinstance(message, End):
                self._check_complete(message)
                return
            else:
                raise MalformedFrameError(f"unexpected {type(message).__name__} in an answer")

    async def read(self, held: ByteCharge) -> bytes:
        """Receive the whole body.

        Args:
            held: Counts the body, until the request that it belongs to ends.

        Raises:
            ConnectionLostError: The answer is incomplete, or the process holds too many bytes.
            TransportError: The connection carries frames of another call.
        """
        parts = []
        try:
            async for data in self.chunks():
                if self._received_bytes <= SMALL_ANSWER_BYTES:
                    held.add(len(data))
                elif not held.try_add(len(data)):
                    raise self._no_room_error()
                parts.append(data)
            return b"".join(parts)
        except TransportError:
            held.remove(sum(map(len, parts)))
            raise
        finally:
            # The traceback of an error keeps this frame, often until the next garbage collection.
            parts.clear()

    def _no_room_error(self) -> ConnectionLostError:
        # Waiting for room instead would let answers that don't end block each other, and all
        # others behind them, until their deadlines.
        self._events.record(
            Event.ANSWER_WITHOUT_ROOM,
            request_id=self._call.request_id,
            received_bytes=self._received_bytes,
        )
        return ConnectionLostError("the answer is too large for what this process holds already")

    def _check_complete(self, end: End) -> None:
        if end.byte_count != self._received_bytes:
            # `_end` stays unset, so that the connection is not reused: it may have lost frames or
            # carry frames of another call.
            raise ConnectionLostError(
                f"received {self._received_bytes} of {end.byte_count} bytes of the answer"
            )
        self._end = end
        if not end.complete:
            raise ConnectionLostError("the backend server's answer ended before its end")

    async def _receive(self) -> Answer | AnswerData | End | Refusal:
        message = await self._connection.receive()
        if not isinstance(message, Answer | AnswerData | End | Refusal):
            raise MalformedFrameError(f"unexpected {type(message).__name__} on a call connection")
        if message.call_id != self._call.call_id:
            self._events.record(
                Event.ANSWER_MISMATCH,
                request_id=self._call.request_id,
                expected=self._call.call_id,
                received=message.call_id,
            )
            raise MalformedFrameError("answer frame of another call")
        if not isinstance(message, AnswerData):
            self._events.clock.observe(message.clock)
        return message


class CallPool:
    """Opens calls to one agent and keeps idle connections for later calls."""

    def __init__(self, link: AgentLink, owner: LinkOwner, events: EventLog) -> None:
        self._link = link
        self._owner = owner
        self._events = events
        self._idle: list[PeerConnection] = []

    def open(self, call: Call) -> ActiveCall:
        """Return an async context manager that sends a call and returns its `Reply`.

        Leaving it before the end of the answer cancels the call. Entering raises:
            NotSentError: The agent could not be reached, so the call did not run.

        Leaving raises:
            ConnectionLostError: The connection or the agent was lost after the call was sent.
        """
        return ActiveCall(self, call)

    async def start(self, call: Call) -> Reply:
        """Send a call on a connection that the link closes if the agent is lost."""
        connection = await self._checkout(call)
        self._link.register_call(connection)
        reply = Reply(connection, call, self._events)
        try:
            await connection.send(call)
        except BaseException:
            self.end(reply)
            raise
        return reply

    def end(self, reply: Reply) -> bool:
        """Return the connection to the pool if its answer was read to the end, or close it.

        Returns:
            Whether the agent was lost during the call.
        """
        connection = reply.connection
        self._link.unregister_call(connection)
        agent_lost = connection.closed
        if reply.finished and not agent_lost:
            self._idle.append(connection)
        else:
            connection.close()
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.pop(0).close()
        return agent_lost

    @property
    def address(self) -> Address:
        """Address that the agent listens on."""
        return self._link.address

    def discard_idle(self) -> None:
        """Close all idle connections, after the agent was lost."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    async def _checkout(self, call: Call) -> PeerConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.alive:
                return connection
            connection.close()
        try:
            connection, _hello = await PeerConnection.connect(
                self._link.address.host,
                self._link.address.port,
                self._owner.hello(ConnectionKind.CALL),
            )
        except (OSError, TransportError) as error:
            raise NotSentError(call, str(error)) from error
        return connection


class ActiveCall:
    """Context manager of one call, from sending it to the end of its answer.

    It is a class because a generator-based context manager costs as much as decoding a message.
    """

    def __init__(self, pool: CallPool, call: Call) -> None:
        self._pool = pool
        self._call = call
        self._reply: Reply | None = None

    @property
    def call(self) -> Call:
        """The call that is sent."""
        return self._call

    @property
    def reply(self) -> Reply | None:
        """The answer, or None until the call has been sent."""
        return self._reply

    async def __aenter__(self) -> Reply:
        """Send the call."""
        self._reply = await self._pool.start(self._call)
        return self._reply

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Return the connection to the pool or close it."""
        agent_lost = self._pool.end(self._reply)
        if agent_lost and isinstance(error, ConnectionLostError):
            raise self._agent_lost_error() from error

    def _agent_lost_error(self) -> ConnectionLostError:
        return ConnectionLostError(f"agent at {self._pool.address} was lost during the call")


class NotSentError(AgentRefusalError):
    """A call could not be sent to its agent, so the agent has not received it."""

    def __init__(self, call: Call, reason: str) -> None:
        super().__init__(
            "agent_unreachable",
            f"call {call.call_id:x} was not sent: {reason}",
            outcome=CallOutcome.NOT_RUN,
            retry_after_ms=500,
        )
