"""HTTP/1.1 server with one task for each connection, which handles its requests in order."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from enum import Enum
from http import HTTPStatus

import h11
import trio

from figwalk.errors import CallerError, CallOutcome, ConnectionLostError
from figwalk.events import Event, EventLog
from figwalk.transport.byte_budget import ByteBudget, ByteCharge
from figwalk.transport.byte_stream import RECEIVE_BYTES, ByteStream
from figwalk.transport.http_types import HttpLimits, HttpRequest, render_error
from figwalk.transport.listening import accept_connections, open_listeners
from figwalk.transport.request_reader import NoRoomError, RequestReader, refuse_header
from figwalk.transport.responder import CLOSE_HEADER, ClientDisconnectedError, Responder

LISTEN_BACKLOG = 1024
# During a drain, a request in transit may still arrive on an open connection. The value is well
# above the one-way latency of 12 ms between regions.
DRAIN_IDLE_S = 0.2
# A client may still be sending when its request is refused. Closing a socket with unread bytes
# resets the connection, and the client then often loses the response.
LINGER_S = 2.0
MAX_REJECTED_CONNECTIONS = 64
BACKLOG_POLL_S = 0.005
# Start of the bytes that h11 quotes in a message; they may hold a key of the client.
_QUOTED_BYTES = re.compile(r""":? (?:bytearray\()?b['"]""")


class SlowSenderError(CallerError):
    """A client did not send its complete request in time."""


HttpHandler = Callable[[HttpRequest, Responder], Awaitable[None]]
HttpScreen = Callable[[HttpRequest, Responder], Awaitable[bool]]


class HttpServer:
    """Serves HTTP on one address.

    A handler raises `CallerError` for a 4xx response with an error code. Any other exception leads
    to a 500 response and a `TASK_FAILED` event, and the server continues.

    Args:
        handler: Coroutine function called with each complete request and its responder.
        events: Event log.
        limits: Limits for requests and connections.
        budget: Bound of the bytes that requests and their answers hold, or None for no bound.
        screen: Called with the head of a request before more of its body is awaited; returns
            whether it has sent a refusal, after which the connection is closed. May raise
            `CallerError`, too.
    """

    def __init__(
        self,
        handler: HttpHandler,
        events: EventLog,
        *,
        limits: HttpLimits | None = None,
        budget: ByteBudget | None = None,
        screen: HttpScreen | None = None,
    ) -> None:
        self._handler = handler
        self._screen = screen
        self._events = events
        self._limits = limits or HttpLimits()
        self._budget = budget or ByteBudget()
        self._connections = 0
        self._rejected_connections = 0
        self._active_requests = 0
        self._draining = False
        self._idle: set[trio.CancelScope] = set()
        self._listeners: list[trio.SocketListener] = []
        self._serve_ended: list[trio.Event] = []

    @property
    def active_requests(self) -> int:
        """Number of requests that handlers are processing."""
        return self._active_requests

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen and serve until cancelled or drained; report the bound port when started.

        Raises:
            ListenError: The system refuses the address.
        """
        listeners = await open_listeners(host, port, backlog=LISTEN_BACKLOG)
        self._listeners += listeners
        self._serve_ended.append(serve_ended := trio.Event())
        bound_port = listeners[0].socket.getsockname()[1]
        # A drain ends the accepting task while connections still have requests in progress.
        async with trio.open_nursery() as connections:
            try:
                async with trio.open_nursery() as accepting:
                    for listener in listeners:
                        accepting.start_soon(
                            accept_connections,
                            self._serve_connection,
                            listener,
                            connections,
                            self._budget.wait_below_limit,
                        )
                    task_status.started(bound_port)
            except* trio.ClosedResourceError:
                if not self._draining:
                    raise
        serve_ended.set()

    def set_limits(self, limits: HttpLimits) -> None:
        """Replace the limits; open connections keep their maximum header size."""
        self._limits = limits

    async def drain(self, *, accept_for_s: float = 0.0) -> None:
        """Stop accepting, respond to every request, and return when all connections are closed.

        Responses to requests that have arrived, or that arrive within `DRAIN_IDLE_S` on open
        connections, have ``Connection: close``.

        Args:
            accept_for_s: Seconds to continue accepting, for clients that still regard this server
                as ready.
        """
        self._draining = True
        await trio.sleep(accept_for_s)
        await self._close_listeners()
        deadline = trio.current_time() + DRAIN_IDLE_S
        for scope in self._idle:
            scope.deadline = min(scope.deadline, deadline)
        for serve_ended in self._serve_ended:
            await serve_ended.wait()

    async def _close_listeners(self) -> None:
        """Accept the connections that the kernel has established, then refuse further ones.

        When the socket is closed, the kernel resets connections that have not been accepted.
        """
        for listener in self._listeners:
            while listener.socket.is_readable():
                await trio.sleep(BACKLOG_POLL_S)
            # There is no checkpoint between the check and the close, so that no other task runs
            # in between.
            listener.socket.close()
        self._listeners.clear()

    async def _serve_connection(self, stream: trio.SocketStream, accepted_at: float) -> None:
        if self._connections >= self._limits.max_connections:
            self._events.record(Event.HTTP_TOO_MANY_CONNECTIONS, limit=self._connections)
            await self._reject_connection(stream)
            return
        self._connections += 1
        try:
            await self._serve_requests(stream, accepted_at)
        except (ConnectionLostError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except h11.LocalProtocolError as error:
            # A response that is not valid HTTP must not end the connections of other clients.
            self._events.record(Event.TASK_FAILED, task="http answer", error=repr(error))
        finally:
            self._connections -= 1
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
                await trio.aclose_forcefully(stream)

    async def _reject_connection(self, stream: trio.SocketStream) -> None:
        """Respond with 503 without reading the request.

        `MAX_REJECTED_CONNECTIONS` limits the file descriptors of such connections.
        """
        self._rejected_connections += 1
        try:
            if self._rejected_connections <= MAX_REJECTED_CONNECTIONS:
                with trio.move_on_after(LINGER_S):
                    await Responder(h11.Connection(h11.SERVER), ByteStream(stream)).send_json(
                        503, _TOO_MANY_CONNECTIONS, [CLOSE_HEADER, _RETRY_AFTER]
                    )
                    await _linger(stream)
        except (ConnectionLostError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._rejected_connections -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_requests(self, stream: trio.SocketStream, accepted_at: float) -> None:
        byte_stream = ByteStream(stream)
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )
        # A busy process may have accepted the connection long before it reads the first request.
        waiting_since = accepted_at if stream.socket.is_readable() else None
        after = _AfterRequest.NEXT
        while after is _AfterRequest.NEXT:
            after = await self._serve_request(connection, byte_stream, waiting_since)
            waiting_since = None
        if after is _AfterRequest.LINGER:
            await _linger(stream)

    async def _serve_request(
        self, connection: h11.Connection, stream: ByteStream, waiting_since: float | None
    ) -> _AfterRequest:
        """Receive one request and send its response.

        Args:
            connection: State of the HTTP connection.
            stream: The client's connection.
            waiting_since: Time of trio's clock since which the request has waited to be read, or
                None if it has not arrived yet.
        """
        with self._budget.open_charge() as held:
            try:
                request = await self._receive_request(connection, stream, waiting_since, held)
            except h11.RemoteProtocolError as error:
                await self._refuse(connection, stream, self._explain(error))
                return _AfterRequest.LINGER
            except CallerError as error:
                await self._refuse(connection, stream, error)
                return _AfterRequest.LINGER
            except NoRoomError as error:
                held.close()
                await self._refuse_for_room(connection, stream, error)
                return _AfterRequest.LINGER
            if isinstance(request, _AfterRequest):
                return request
            responder = Responder(
                connection,
                stream,
                lambda: self._draining,
                head_only=request.method == "HEAD",
                held=held,
            )
            self._active_requests += 1
            try:
                await self._answer(request, responder)
            finally:
                self._active_requests -= 1
        if responder.started and not responder.finished and responder.ends_with_connection:
            return _AfterRequest.CLOSE  # Resets the connection; an orderly end would look complete.
        if not responder.finished or connection.our_state is h11.MUST_CLOSE:
            return _AfterRequest.LINGER
        # A response that started before a drain has no `Connection: close`, so that the client may
        # send another request.
        connection.start_next_cycle()
        return _AfterRequest.NEXT

    def _explain(self, error: h11.RemoteProtocolError) -> CallerError:
        # h11 checks the size of a head only while it is incomplete.
        if error.error_status_hint == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
            return refuse_header(self._limits.max_header_bytes)
        detail = _QUOTED_BYTES.split(str(error))[0]
        return CallerError(error.error_status_hint, "malformed_request", detail)

    async def _receive_request(
        self,
        connection: h11.Connection,
        stream: ByteStream,
        waiting_since: float | None,
        held: ByteCharge,
    ) -> HttpRequest | _AfterRequest:
        """Return the next request, or what to do with the connection without one."""
        if not connection.trailing_data[0] and not await self._wait_for_request(connection, stream):
            return _AfterRequest.CLOSE
        started_at = trio.current_time() if waiting_since is None else waiting_since
        reader = RequestReader(connection, self._limits, held, started_at)
        request = reader.parse()
        if request is not h11.NEED_DATA:
            # Most requests arrive in one piece; parsing these without a timeout saves a cancel
            # scope.
            return request or _AfterRequest.CLOSE
        screened = self._screen is None
        with trio.move_on_after(self._limits.receive_timeout_s):
            while request is h11.NEED_DATA:
                if not screened and (head := reader.build_head()) is not None:
                    if await self._screen_head(head, Responder(connection, stream, lambda: True)):
                        return _AfterRequest.LINGER
                    screened = True
                await reader.receive(stream)
                request = reader.parse()
            return request or _AfterRequest.CLOSE
        raise SlowSenderError(
            408, "request_timeout", "the request was not complete in time; send it faster"
        )

    async def _wait_for_request(self, connection: h11.Connection, stream: ByteStream) -> bool:
        """Receive the first bytes of the next request; return whether they arrived in time.

        `drain` shortens the deadline.
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
            # Bytes had arrived when the deadline of the drain cancelled the read.
            connection.receive_data(await stream.receive_some(RECEIVE_BYTES))
            return True
        return False

    async def _answer(self, request: HttpRequest, responder: Responder) -> None:
        try:
            _refuse_connect(request)
            await self._handler(request, responder)
        except CallerError as error:
            self._events.record(Event.HTTP_BAD_REQUEST, status=error.status, code=error.code)
            if responder.can_start:
                await responder.send_json(
                    error.status, render_error("invalid_request_error", error.code, error.message)
                )
        except ClientDisconnectedError:
            raise
        except Exception as error:
            await self._send_failure(request, responder, error)

    async def _screen_head(self, head: HttpRequest, responder: Responder) -> bool:
        """Return whether a request was refused before its body arrived."""
        try:
            return await self._screen(head, responder)
        except (CallerError, ClientDisconnectedError):
            raise
        except Exception as error:
            await self._send_failure(head, responder, error)
            return True

    async def _send_failure(
        self, request: HttpRequest, responder: Responder, error: Exception
    ) -> None:
        self._events.record(Event.TASK_FAILED, task=request.path, error=repr(error))
        if responder.can_start:
            body = render_error("server_error", "internal_error", "internal error; see the log")
            await responder.send_json(500, body)

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

    async def _refuse_for_room(
        self, connection: h11.Connection, stream: ByteStream, error: NoRoomError
    ) -> None:
        self._events.record(Event.HTTP_BODY_REFUSED, held=self._budget.held, detail=error.message)
        body = _render_not_run("too_many_bytes", f"{error.message}; retry after 1 s")
        await Responder(connection, stream).send_json(503, body, [CLOSE_HEADER, _RETRY_AFTER])


async def _linger(stream: trio.SocketStream) -> None:
    """Shut down sending and discard received bytes until the client closes the connection."""
    with trio.move_on_after(LINGER_S):
        await stream.send_eof()
        while await stream.receive_some(RECEIVE_BYTES):
            pass


def _refuse_connect(request: HttpRequest) -> None:
    # h11 treats a 2xx response to CONNECT as the start of a tunnel and refuses its body.
    if request.method == "CONNECT":
        raise CallerError(405, "method_not_allowed", "this server is not a proxy")


class _AfterRequest(Enum):
    """What the server does with a connection after a request."""

    NEXT = "next"
    CLOSE = "close"
    LINGER = "linger"


def _render_not_run(code: str, message: str) -> dict[str, object]:
    outcome = CallOutcome.NOT_RUN.value
    return render_error("server_error", code, message, outcome=outcome, attempt=outcome)


_RETRY_AFTER = (b"retry-after", b"1")
_TOO_MANY_CONNECTIONS = _render_not_run(
    "too_many_connections", "the server has too many open connections; retry after 1 s"
)
