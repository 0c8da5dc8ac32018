"""HTTP/1.1 server: one task for each connection, requests one after the other."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from enum import Enum

import h11
import trio

from figwalk.errors import CallerError, CallOutcome, ConnectionLostError
from figwalk.events import Event, EventLog
from figwalk.transport.byte_stream import RECEIVE_BYTES, ByteStream
from figwalk.transport.http_types import Headers, HttpLimits, HttpRequest, find_header
from figwalk.transport.listening import accept_connections, open_listeners

LISTEN_BACKLOG = 1024
# A client that sends on while it waits for an answer is read no further than this.
MAX_PIPELINED_BYTES = 64 * 1024
# At a drain an open connection may still bring a request that is under way, for which this leaves
# well above the one-way latency of 12 ms between regions.
DRAIN_IDLE_S = 0.2
# A client may still be sending when it is refused. Closing a socket with unread bytes resets the
# connection, and the client then often loses the answer.
LINGER_S = 2.0
MAX_TURNED_AWAY = 64
BACKLOG_POLL_S = 0.005

JSON_HEADER = (b"content-type", b"application/json")
CLOSE_HEADER = (b"connection", b"close")
_END_OF_MESSAGE = h11.EndOfMessage()


class Responder:
    """Sends the answer to one request.

    Attributes are private; handlers call `send` for a whole answer, or `start`, `send_chunk` and
    `finish` for a streamed one.
    """

    def __init__(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        closing: Callable[[], bool] = lambda: False,
        *,
        head_only: bool = False,
    ) -> None:
        self._connection = connection
        self._stream = stream
        self._closing = closing
        self._head_only = head_only
        self._started = False
        self._finished = False
        # Set while a write is under way; stays set if a cancellation cuts it off.
        self._cut = False

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""
        return self._started

    @property
    def startable(self) -> bool:
        """Whether an answer can still be started; not so after an attempt that was not valid."""
        return not self._started and self._connection.our_state in {h11.IDLE, h11.SEND_RESPONSE}

    @property
    def finished(self) -> bool:
        """Whether the whole answer has been sent."""
        return self._finished

    async def send(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a whole answer."""
        headers = [*headers, (b"content-length", str(len(body)).encode()), *self._closing_header()]
        data = self._connection.send(h11.Response(status_code=status, headers=headers)) or b""
        data += self._render_body(body)
        data += self._connection.send(_END_OF_MESSAGE) or b""
        self._started = True
        await self._write(data)
        self._finished = True

    async def send_json(self, status: int, content: object, headers: Headers | None = None) -> None:
        """Send a whole answer with a JSON body."""
        body = json.dumps(content).encode()
        await self.send(status, [JSON_HEADER, *(headers or [])], body)

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers of a streamed answer."""
        self._started = True
        headers = [*headers, *self._closing_header()]
        await self._write(
            self._connection.send(h11.Response(status_code=status, headers=headers)) or b""
        )

    async def send_chunk(self, data: bytes) -> None:
        """Send a piece of a streamed answer's body."""
        await self._write(self._render_body(data))

    async def finish(self) -> None:
        """End a streamed answer; the client sees from this that it was whole."""
        await self._write(self._connection.send(_END_OF_MESSAGE) or b"")
        self._finished = True

    async def wait_client_gone(self) -> None:
        """Return when the client has closed its connection before the end of its answer.

        A request that it sends meanwhile is kept for later. To be cancelled when the answer has
        been sent.
        """
        received = 0
        while received < MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            received += len(data)
            self._connection.receive_data(data)
        await trio.sleep_forever()

    def _render_body(self, data: bytes) -> bytes:
        # The answer to HEAD has no body, and h11 refuses to send one.
        if not data or self._head_only:
            return b""
        return self._connection.send(h11.Data(data=data)) or b""

    def _closing_header(self) -> Headers:
        return [CLOSE_HEADER] if self._closing() else []

    async def _write(self, data: bytes) -> None:
        if self._cut:
            raise ClientGoneError("an earlier write to the client was cut off")
        self._cut = True
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ClientGoneError("the client closed its connection") from error
        self._cut = False


class ClientGoneError(ConnectionLostError):
    """The client of the HTTP server went away before the end of its answer."""


class SlowSenderError(CallerError):
    """A client did not send its request in time."""


HttpHandler = Callable[[HttpRequest, Responder], Awaitable[None]]


class HttpServer:
    """Serves HTTP on one address.

    A handler raises `CallerError` for a typed 4xx answer. Any other exception gives a 500 answer
    and a `TASK_FAILED` event, and the server goes on.

    Args:
        handler: Coroutine function called with each whole request and its responder.
        events: Event log.
        limits: Limits for requests and connections.
    """

    def __init__(
        self, handler: HttpHandler, events: EventLog, *, limits: HttpLimits | None = None
    ) -> None:
        self._handler = handler
        self._events = events
        self._limits = limits or HttpLimits()
        self._connections = 0
        self._turned_away = 0
        self._active_requests = 0
        self._draining = False
        self._idle: set[trio.CancelScope] = set()
        self._listeners: list[trio.SocketListener] = []
        self._served: list[trio.Event] = []

    @property
    def active_requests(self) -> int:
        """Requests being answered now."""
        return self._active_requests

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen and serve until cancelled; reports the bound port when started.

        Raises:
            ListenError: The system refuses the address.
        """
        listeners = await open_listeners(host, port, backlog=LISTEN_BACKLOG)
        self._listeners += listeners
        self._served.append(served := trio.Event())
        bound_port = listeners[0].socket.getsockname()[1]
        # The accepting task ends at a drain; the connections then still have requests to answer.
        async with trio.open_nursery() as connections:
            try:
                async with trio.open_nursery() as accepting:
                    for listener in listeners:
                        accepting.start_soon(
                            accept_connections, self._serve_connection, listener, connections
                        )
                    task_status.started(bound_port)
            except* trio.ClosedResourceError:
                if not self._draining:
                    raise
        served.set()

    def set_limits(self, limits: HttpLimits) -> None:
        """Take over other limits; the header size of open connections stays as it was."""
        self._limits = limits

    async def drain(self, *, accept_s: float = 0.0) -> None:
        """Accept no new connection, answer every request, and return when all are closed.

        Requests that have arrived, or arrive soon on open connections, are answered with
        ``Connection: close``.

        Args:
            accept_s: Seconds to go on accepting, for clients that still think this server ready.
        """
        self._draining = True
        await trio.sleep(accept_s)
        await self._close_listeners()
        deadline = trio.current_time() + DRAIN_IDLE_S
        for scope in self._idle:
            scope.deadline = min(scope.deadline, deadline)
        for served in self._served:
            await served.wait()

    async def _close_listeners(self) -> None:
        """Accept the connections that the kernel has made, then refuse further ones.

        The kernel resets those that are not accepted when the socket is closed.
        """
        for listener in self._listeners:
            while listener.socket.is_readable():
                await trio.sleep(BACKLOG_POLL_S)
            # No checkpoint between the check and this, so that nothing else is made meanwhile.
            listener.socket.close()
        self._listeners.clear()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        if self._connections >= self._limits.max_connections:
            self._events.record(Event.HTTP_TOO_MANY_CONNECTIONS, limit=self._connections)
            await self._turn_away(stream)
            return
        self._connections += 1
        try:
            await self._serve_requests(stream)
        except (ConnectionLostError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except h11.LocalProtocolError as error:
            # An answer that is not valid HTTP must not end the connections of other clients.
            self._events.record(Event.TASK_FAILED, task="http answer", error=repr(error))
        finally:
            self._connections -= 1
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
                await trio.aclose_forcefully(stream)

    async def _turn_away(self, stream: trio.SocketStream) -> None:
        """Answer 503 without reading; the limit on these keeps file descriptors bounded."""
        self._turned_away += 1
        try:
            if self._turned_away <= MAX_TURNED_AWAY:
                with trio.move_on_after(LINGER_S):
                    await Responder(h11.Connection(h11.SERVER), stream).send_json(
                        503, _TOO_MANY_CONNECTIONS, [CLOSE_HEADER, (b"retry-after", b"1")]
                    )
                    await _linger(stream)
        except (ConnectionLostError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._turned_away -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_requests(self, stream: trio.SocketStream) -> None:
        byte_stream = ByteStream(stream)
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )
        after = _After.NEXT
        while after is _After.NEXT:
            after = await self._serve_request(connection, byte_stream)
        if after is _After.LINGER:
            await _linger(stream)

    async def _serve_request(self, connection: h11.Connection, stream: ByteStream) -> _After:
        """Receive and answer one request."""
        try:
            request = await self._receive_request(connection, stream)
        except h11.RemoteProtocolError as error:
            refusal = CallerError(error.error_status_hint, "malformed_request", str(error))
            await self._refuse(connection, stream, refusal)
            return _After.LINGER
        except CallerError as error:
            await self._refuse(connection, stream, error)
            return _After.LINGER
        if request is None:
            return _After.CLOSE
        responder = Responder(
            connection, stream, lambda: self._draining, head_only=request.method == "HEAD"
        )
        self._active_requests += 1
        try:
            await self._answer(request, responder)
        finally:
            self._active_requests -= 1
        if not responder.finished or connection.our_state is h11.MUST_CLOSE:
            return _After.LINGER
        # An answer that began before a drain has not told the client to send no further request.
        connection.start_next_cycle()
        return _After.NEXT

    async def _receive_request(
        self, connection: h11.Connection, stream: ByteStream
    ) -> HttpRequest | None:
        """Return the next request, or None when the connection is to be closed."""
        if not connection.trailing_data[0] and not await self._wait_for_request(connection, stream):
            return None
        reader = _RequestReader(connection, self._limits.max_body_bytes, trio.current_time())
        request = reader.parse()
        if request is not h11.NEED_DATA:
            # Most requests arrive in one piece and need no timeout, which costs a cancel scope.
            return request
        with trio.move_on_after(self._limits.receive_timeout_s):
            while request is h11.NEED_DATA:
                await reader.receive(stream)
                request = reader.parse()
            return request
        raise SlowSenderError(
            408, "request_timeout", "the request was not complete in time; send it faster"
        )

    async def _wait_for_request(self, connection: h11.Connection, stream: ByteStream) -> bool:
        """Receive the first bytes of the next request; return whether they came in time.

        `drain` brings the deadline forward.
        """
        idle_s = DRAIN_IDLE_S if self._draining else self._limits.idle_timeout_s
        with trio.CancelScope(deadline=trio.current_time() + idle_s) as scope:
            self._idle.add(scope)
            try:
                connection.receive_data(await stream.receive_some(RECEIVE_BYTES))
            finally:
                self._idle.discard(scope)
        if not scope.cancelled_caught:
            return True
        if self._draining and stream.socket.is_readable():
            # The deadline of the drain overtook bytes that had arrived.
            connection.receive_data(await stream.receive_some(RECEIVE_BYTES))
            return True
        return False

    async def _answer(self, request: HttpRequest, responder: Responder) -> None:
        try:
            _refuse_connect(request)
            await self._handler(request, responder)
        except CallerError as error:
            self._events.record(Event.HTTP_BAD_REQUEST, status=error.status, code=error.code)
            if responder.startable:
                await responder.send_json(
                    error.status, render_error("invalid_request_error", error.code, error.message)
                )
        except ClientGoneError:
            raise
        except Exception as error:
            self._events.record(Event.TASK_FAILED, task=request.path, error=repr(error))
            if responder.startable:
                await responder.send_json(
                    500,
                    render_error("server_error", "internal_error", "internal error; see the log"),
                )

    async def _refuse(
        self,
        connection: h11.Connection,
        stream: ByteStream,
        error: CallerError,
    ) -> None:
        slow = isinstance(error, SlowSenderError)
        event = Event.HTTP_SLOW_SENDER if slow else Event.HTTP_BAD_REQUEST
        self._events.record(event, status=error.status, code=error.code, detail=error.message)
        if connection.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        responder = Responder(connection, stream)
        body = render_error("invalid_request_error", error.code, error.message)
        await responder.send_json(error.status, body, [CLOSE_HEADER])


async def _linger(stream: trio.SocketStream) -> None:
    """End the sending side and drop what still arrives, until the client closes too."""
    with trio.move_on_after(LINGER_S):
        await stream.send_eof()
        while await stream.receive_some(RECEIVE_BYTES):
            pass


def _refuse_connect(request: HttpRequest) -> None:
    # h11 takes a 2xx answer to CONNECT as the start of a tunnel and refuses its body.
    if request.method == "CONNECT":
        raise CallerError(405, "method_not_allowed", "this server is not a proxy")


class _After(Enum):
    """What follows a request on its connection."""

    NEXT = "next"
    CLOSE = "close"
    LINGER = "linger"


class _RequestReader:
    """Reads one request from its events.

    Args:
        connection: The client's connection.
        max_body_bytes: Limit of the body.
        started_at: Time of trio's clock at which the first bytes were read.
    """

    def __init__(
        self, connection: h11.Connection, max_body_bytes: int, started_at: float = 0.0
    ) -> None:
        self._started_at = started_at
        self._connection = connection
        self._max_body_bytes = max_body_bytes
        self._head: h11.Request | None = None
        self._headers: Headers = []
        self._body = bytearray()

    def parse(self) -> HttpRequest | type[h11.NEED_DATA] | None:
        """Return the request if it has arrived, or None when the connection is to be closed.

        Raises:
            CallerError: The body is above the limit.
        """
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                return h11.NEED_DATA
            if isinstance(event, h11.Request):
                self._head = event
                self._headers = list(event.headers)
                # h11 has checked the header; a client that waits for 100 never sends the body.
                self._check_body_size(int(find_header(self._headers, b"content-length", "0")))
            elif isinstance(event, h11.Data):
                self._body += event.data
                self._check_body_size(len(self._body))
            elif isinstance(event, h11.EndOfMessage) and self._head is not None:
                return self._build()
            else:
                return None

    async def receive(self, stream: ByteStream) -> None:
        """Receive more of the request."""
        if self._connection.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(self._connection.send(go_on) or b"")
        self._connection.receive_data(await stream.receive_some(RECEIVE_BYTES))

    def _check_body_size(self, size: int) -> None:
        if size > self._max_body_bytes:
            raise CallerError(
                413,
                "body_too_large",
                f"the body is above the limit of {self._max_body_bytes} bytes",
            )

    def _build(self) -> HttpRequest:
        return HttpRequest(
            self._head.method.decode("ascii"),
            self._head.target.decode("latin-1"),
            self._headers,
            bytes(self._body),
            self._started_at,
        )


def render_error(kind: str, code: str, message: str, **fields: object) -> dict[str, object]:
    """Return an error body in the shape that OpenAI clients read."""
    return {"error": {"type": kind, "code": code, "message": message, **fields}}


_TOO_MANY_CONNECTIONS = render_error(
    "server_error",
    "too_many_connections",
    "the server has too many open connections; retry after 1 s",
    outcome=CallOutcome.NOT_RUN.value,
    attempt=CallOutcome.NOT_RUN.value,
)
