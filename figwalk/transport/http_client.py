"""HTTP/1.1 client with persistent connections to one server."""

from __future__ import annotations

import errno
import re
import socket
from collections.abc import AsyncIterator, Callable, Iterable
from types import TracebackType

import h11
import trio

from figwalk.errors import HttpError
from figwalk.transport._response_checks import check_response_head, check_trailer
from figwalk.transport.byte_budget import ByteCharge
from figwalk.transport.byte_stream import RECEIVE_BYTES, ByteStream
from figwalk.transport.connection_pool import (
    ConnectionOptions,
    ConnectionPool,
    HttpConnectError,
)
from figwalk.transport.http_types import Headers, HttpRequest, find_header

# A server closes connections that were idle for the time in its header `Keep-Alive`. They are used
# up to the first share of it; up to the second for requests that must not meet a closing one.
KEEP_ALIVE_SHARE = 0.8
CAUTIOUS_KEEP_ALIVE_SHARE = 0.5
# Larger requests are sent while the response is received, since a server may respond before it has
# read the body.
INLINE_REQUEST_BYTES = 16 * 1024
# Without a limit, a server that keeps sending responses to other requests would hold a call until
# its deadline.
MAX_FOREIGN_RESPONSES = 4
# A response to another request above either limit is not read further; the connection is closed.
MAX_SKIPPED_BYTES = 256 * 1024
SKIP_TIMEOUT_S = 1.0
# Servers send at most a few, such as 100 and 103.
MAX_INFORMATIONAL_RESPONSES = 8
# Above the largest page and configuration in the platform's store, about 1 MiB in base64 and JSON.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
KEEP_ALIVE_TIMEOUT = re.compile(r"(?:^|[\s,;])timeout\s*=\s*(\d{1,6}(?:\.\d{1,3})?)", re.IGNORECASE)
_END_OF_MESSAGE = h11.EndOfMessage()

ResponseCheck = Callable[[Headers], bool]
SendHook = Callable[[], None]


class HttpResponse:
    """A response whose body is read in pieces."""

    def __init__(self, connection: _Connection, head: h11.Response) -> None:
        self._connection = connection
        self._status = head.status_code
        self._headers = list(head.headers)
        self._complete = False
        self._sent_at = connection.sent_at

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self._status

    @property
    def headers(self) -> Headers:
        """Pairs of lower-case name and value."""
        return self._headers

    @property
    def sent_at(self) -> float:
        """Time of trio's clock at which the request was sent, after the connection was opened."""
        return self._sent_at

    @property
    def complete(self) -> bool:
        """Whether the whole body has been read."""
        return self._complete

    def header(self, name: bytes, default: str = "") -> str:
        """Return the first header with the given lower-case name as text, or the default."""
        return find_header(self._headers, name, default)

    async def chunks(self, max_bytes: int | None = None) -> AsyncIterator[bytes]:
        """Yield the body; bytes received together are yielded in one piece.

        Args:
            max_bytes: Maximum size of the body, or None for no limit.

        Raises:
            HttpError: The connection ended before the end of the body, or the body is above the
                limit.
        """
        size = 0
        while not self._complete:
            data, self._complete = await self._connection.receive_body()
            size += len(data)
            if max_bytes is not None and size > max_bytes:
                raise HttpError(f"the answer is above {max_bytes} bytes")
            if data:
                yield data

    async def read(
        self, max_bytes: int = MAX_RESPONSE_BYTES, held: ByteCharge | None = None
    ) -> bytes:
        """Return the rest of the body.

        Args:
            max_bytes: Maximum size of the rest of the body.
            held: Counts the body, also one that is cut; without room, it is read no further.

        Raises:
            HttpError: The connection ended before the end of the body, or the body is above the
                limit.
        """
        parts = []
        size = charged = 0
        length = self.header(b"content-length")
        if held is not None and length.isdecimal():
            charged = min(int(length), max_bytes)
            await held.add_when_free(charged)
        try:
            async for data in self.chunks(max_bytes):
                parts.append(data)
                size += len(data)
                if held is not None and size > charged:
                    await held.add_when_free(size - charged)
                    charged = size
            return b"".join(parts)
        finally:
            # The traceback of an error keeps this frame, often until the next garbage collection.
            parts.clear()


class HttpClient:
    """Sends requests to one server and reuses connections.

    Args:
        host: IP address of the server.
        port: TCP port of the server.
        options: How connections are opened and reused.
    """

    def __init__(self, host: str, port: int, *, options: ConnectionOptions | None = None) -> None:
        self._host = host
        self._port = port
        self._options = options or ConnectionOptions()
        self._pool: ConnectionPool[_Connection] = ConnectionPool(
            self._connect, self.address, self._options
        )

    @property
    def address(self) -> str:
        """Host and port as text."""
        return f"{self._host}:{self._port}"

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self._pool.opened

    @property
    def has_idle(self) -> bool:
        """Whether a request would probably find an idle connection."""
        return self._pool.has_idle

    def open(
        self,
        request: HttpRequest,
        *,
        is_own_response: ResponseCheck | None = None,
        idle_limit_s: float | None = None,
        before_send: SendHook | None = None,
    ) -> HttpExchange:
        """Return an async context manager that sends a request and returns its response.

        Leaving it before the end of the response closes the connection. Entering raises:
            HttpError: The server could not be reached or the exchange failed.
                `HttpConnectError` if no byte of the request left this process.

        Args:
            request: Request to send; its header ``host``, if any, replaces the server's address.
            is_own_response: Returns, from the headers of a response, whether it belongs to the
                request. Other responses, such as a late second one to the previous request, are
                discarded.
            idle_limit_s: Idle limit for this request, which must not meet a connection that the
                server is about to close; the lower of it and that of the options applies, or half
                of the time that the server states.
            before_send: Called when a connection is open, just before the first byte is sent. If it
                raises an error, nothing is sent.
        """
        return HttpExchange(self, request, is_own_response, idle_limit_s, before_send)

    async def fetch(
        self,
        method: str,
        target: str,
        *,
        headers: Headers | None = None,
        body: bytes = b"",
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> tuple[HttpResponse, bytes]:
        """Send a request and return the response with its complete body.

        Raises:
            HttpError: As for `open`, or the body is incomplete or above `max_bytes`.
        """
        async with self.open(HttpRequest(method, target, headers or [], body)) as response:
            return response, await response.read(max_bytes)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    async def check_out(self, idle_limit_s: float | None = None) -> _Connection:
        """Return an open connection; see `ConnectionPool.check_out`."""
        return await self._pool.check_out(idle_limit_s)

    def check_in(self, connection: _Connection) -> None:
        """Return a connection to the idle ones, unused or after the end of its response."""
        self._pool.check_in(connection)

    async def _connect(self) -> _Connection:
        try:
            stream = await trio.open_tcp_stream(self._host, self._port)
        except OSError as error:
            raise HttpConnectError(f"cannot connect to {self.address}: {error}") from error
        self._limit_unacknowledged(stream)
        return _Connection(ByteStream(stream), self.address)

    def _limit_unacknowledged(self, stream: trio.SocketStream) -> None:
        timeout_s = self._options.unacknowledged_timeout_s
        if timeout_s is None:
            return
        try:
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1000))
        except OSError as error:
            # A system without this option is no error: calls then end by their own timeouts.
            if error.errno != errno.ENOPROTOOPT:
                raise HttpConnectError(f"cannot set up {self.address}: {error}") from error


class HttpExchange:
    """A request and its response, from sending to the end of the body.

    This is a class because a generator-based context manager costs about as much as parsing the
    status line and headers of the response.
    """

    def __init__(
        self,
        client: HttpClient,
        request: HttpRequest,
        is_own_response: ResponseCheck | None = None,
        idle_limit_s: float | None = None,
        before_send: SendHook | None = None,
    ) -> None:
        self._client = client
        self._request = request
        self._is_own_response = is_own_response
        self._idle_limit_s = idle_limit_s
        self._before_send = before_send

    async def __aenter__(self) -> HttpResponse:
        """Send the request and receive the head of its response."""
        self._connection = await self._client.check_out(self._idle_limit_s)
        if self._before_send is not None:
            self._call_before_send(self._before_send)
        try:
            self._response = await self._connection.exchange(self._request, self._is_own_response)
        except BaseException:
            self._connection.close()
            raise
        return self._response

    def _call_before_send(self, before_send: SendHook) -> None:
        try:
            before_send()
        except BaseException:
            self._client.check_in(self._connection)
            raise

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Keep the connection for another request if possible, or close it."""
        if self._response.complete and self._connection.reusable():
            self._client.check_in(self._connection)
        else:
            self._connection.close()


class _Connection:
    """One connection to the server."""

    def __init__(self, stream: ByteStream, address: str) -> None:
        self._stream = stream
        self._address = address
        self._host_header = (b"host", address.encode())
        self._h11 = h11.Connection(h11.CLIENT)
        self._idle_since = trio.current_time()
        self._keep_alive_s: float | None = None
        self._request_incomplete = False
        self._sent_at = 0.0

    @property
    def sent_at(self) -> float:
        """Time of trio's clock at which the latest request was sent."""
        return self._sent_at

    async def exchange(
        self, request: HttpRequest, is_own_response: ResponseCheck | None = None
    ) -> HttpResponse:
        """Send a request and receive the head of its response."""
        parts = self._render(request)
        self._sent_at = trio.current_time()
        if sum(map(len, parts)) <= INLINE_REQUEST_BYTES:
            await self._send(b"".join(parts))
            # No byte of the response has been received yet, so the parser is not tried first.
            await self._receive()
            head = await self._receive_head(request, is_own_response)
        else:
            head = await self._send_and_receive_head(parts, request, is_own_response)
        return HttpResponse(self, head)

    async def _send_and_receive_head(
        self,
        parts: Iterable[bytes],
        request: HttpRequest,
        is_own_response: ResponseCheck | None,
    ) -> h11.Response:
        """Receive while sending; stop sending if the response arrives before the body is sent."""
        self._request_incomplete = True
        failure: HttpError | None = None

        async def send() -> None:
            nonlocal failure
            try:
                for part in parts:
                    await self._send(part)
            except HttpError as error:
                # Raised only if no response arrives: it may have been sent before the server
                # stopped receiving.
                failure = error
            else:
                self._request_incomplete = False

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            try:
                head = await self._receive_head(request, is_own_response)
            except HttpError as error:
                nursery.cancel_scope.cancel()
                raised = failure or error
            else:
                nursery.cancel_scope.cancel()
                return head
        raise raised

    async def _receive_head(
        self, request: HttpRequest, is_own_response: ResponseCheck | None
    ) -> h11.Response:
        """Return the head of the request's response; skip responses to other requests."""
        for _ in range(MAX_FOREIGN_RESPONSES):
            head = await self._receive_final_head()
            if is_own_response is None or is_own_response(list(head.headers)):
                return head
            await self._skip_response(request)
        raise HttpError(f"{self._address} sent answers that belong to other requests")

    async def _receive_final_head(self) -> h11.Response:
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                match = KEEP_ALIVE_TIMEOUT.search(find_header(event.headers, b"keep-alive"))
                self._keep_alive_s = float(match[1]) if match else self._keep_alive_s
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise HttpError(f"{self._address} closed the connection before its answer")
        raise HttpError(f"{self._address} sent informational answers without end")

    async def _skip_response(self, request: HttpRequest) -> None:
        """Read a response to its end and expect another one to the same request."""
        complete = False
        size = 0
        with trio.move_on_after(SKIP_TIMEOUT_S):
            while not complete and size <= MAX_SKIPPED_BYTES:
                data, complete = await self.receive_body()
                size += len(data)
        if not complete:
            raise HttpError(f"{self._address} sent an answer to another request without end")
        rest, closed = self._h11.trailing_data
        if self._h11.their_state is not h11.DONE or closed:
            raise HttpError(f"{self._address} answered another request and closed the connection")
        self._h11 = h11.Connection(h11.CLIENT)
        self._render(request)
        if rest:
            self._h11.receive_data(rest)

    async def receive_body(self) -> tuple[bytes, bool]:
        """Wait for body bytes or the end; return the bytes and whether the body has ended."""
        event = await self._next_event()
        parts: list[bytes] = []
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            event = self._parse_event()
        if isinstance(event, h11.ConnectionClosed):
            raise HttpError(f"{self._address} closed the connection in mid-answer")
        return b"".join(parts), isinstance(event, h11.EndOfMessage)

    def reusable(self) -> bool:
        """Return whether the connection can be used again, and if so, prepare it."""
        if self._request_incomplete or self._h11.trailing_data[0]:
            return False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self._idle_since = trio.current_time()
        return True

    def usable(self, idle_limit_s: float | None, request_limit_s: float | None = None) -> bool:
        """Return whether a connection is open, within the idle limits and without unread data."""
        if self._keep_alive_s is not None:
            share = KEEP_ALIVE_SHARE if request_limit_s is None else CAUTIOUS_KEEP_ALIVE_SHARE
            limits = [share * self._keep_alive_s]
        else:
            limits = [s for s in (idle_limit_s, request_limit_s) if s is not None]
        idle_s = trio.current_time() - self._idle_since
        return all(idle_s <= s for s in limits) and not self._stream.socket.is_readable()

    def close(self) -> None:
        """Close the socket immediately."""
        self._stream.socket.close()

    def _render(self, request: HttpRequest) -> list[bytes]:
        """Return the bytes of a request and make the parser expect its response.

        The body is a part of its own, since a large one must not be copied.
        """
        headers = [(b"content-length", str(len(request.body)).encode()), *request.headers]
        if not any(name.lower() == b"host" for name, _ in request.headers):
            headers.insert(0, self._host_header)
        try:
            head = h11.Request(method=request.method, target=request.target, headers=headers)
            parts = [self._h11.send(head) or b""]
            if request.body:
                parts.append(self._h11.send(h11.Data(data=request.body)) or b"")
            return [*parts, self._h11.send(_END_OF_MESSAGE) or b""]
        except h11.LocalProtocolError as error:
            raise HttpConnectError(
                f"request to {self._address} is not valid HTTP: {error}"
            ) from error

    async def _send(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise HttpError(f"{self._address} closed the connection") from error

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self._parse_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> None:
        try:
            self._h11.receive_data(await self._stream.receive_some(RECEIVE_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise HttpError(f"{self._address} closed the connection") from error

    def _parse_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            event = self._h11.next_event()
            if isinstance(event, h11.InformationalResponse | h11.Response):
                check_response_head(event)
            elif isinstance(event, h11.EndOfMessage):
                check_trailer(event)
        except h11.RemoteProtocolError as error:
            raise HttpError(f"{self._address} broke the HTTP exchange: {error}") from error
        return event
