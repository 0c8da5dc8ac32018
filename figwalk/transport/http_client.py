"""HTTP/1.1 client with kept-alive connections to one server."""

from __future__ import annotations

from collections.abc import AsyncIterator
from types import TracebackType

import h11
import trio

from figwalk.errors import HttpError
from figwalk.transport.byte_stream import RECEIVE_BYTES, ByteStream
from figwalk.transport.http_types import Headers, HttpRequest, find_header

CONNECT_TIMEOUT_S = 3.0
MAX_IDLE_CONNECTIONS = 64
_END_OF_MESSAGE = h11.EndOfMessage()


class HttpResponse:
    """An answer whose body is read piece by piece."""

    def __init__(self, connection: _Connection, head: h11.Response) -> None:
        self._connection = connection
        self._status = head.status_code
        self._headers = list(head.headers)
        self._complete = False

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._status

    @property
    def headers(self) -> Headers:
        """Pairs with lower-case names."""
        return self._headers

    @property
    def complete(self) -> bool:
        """Whether the whole body has been read."""
        return self._complete

    def header(self, name: bytes, default: str = "") -> str:
        """Return the first header of a lower-case name."""
        return find_header(self._headers, name, default)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; what arrived together comes in one piece.

        Raises:
            HttpError: The connection ended before the end of the body.
        """
        while not self._complete:
            data, self._complete = await self._connection.receive_body()
            if data:
                yield data

    async def read(self) -> bytes:
        """Return the rest of the body."""
        parts = []
        while not self._complete:
            data, self._complete = await self._connection.receive_body()
            parts.append(data)
        return b"".join(parts)


class HttpClient:
    """Sends requests to one server and keeps connections open between them.

    Args:
        host: IP number of the server.
        port: TCP port of the server.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[_Connection] = []

    @property
    def address(self) -> str:
        """Host and port as text."""
        return f"{self._host}:{self._port}"

    def open(self, request: HttpRequest) -> HttpExchange:
        """Return an async context manager that sends a request and gives its answer.

        Leaving it before the end of the answer closes the connection. Entering raises:
            HttpError: The server could not be reached or broke the exchange.
                `HttpConnectError` if no byte of the request left this process.
        """
        return HttpExchange(self, request)

    async def fetch(
        self, method: str, target: str, *, headers: Headers | None = None, body: bytes = b""
    ) -> tuple[HttpResponse, bytes]:
        """Send a request and return the answer with its whole body."""
        async with self.open(HttpRequest(method, target, headers or [], body)) as response:
            return response, await response.read()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def checkout(self) -> _Connection:
        """Return an idle connection, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed_by_server():
                return connection
            connection.close()
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(self._host, self._port)
        except (OSError, trio.TooSlowError) as error:
            raise HttpConnectError(f"cannot connect to {self.address}: {error}") from error
        return _Connection(ByteStream(stream), self.address)

    def give_back(self, connection: _Connection) -> None:
        """Keep a connection whose answer was read to its end."""
        self._idle.append(connection)
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.pop(0).close()


class HttpExchange:
    """A request and its answer, from the send to the end of the body.

    A class, since a generator-based context manager costs about as much as parsing the answer's
    status line and headers.
    """

    def __init__(self, client: HttpClient, request: HttpRequest) -> None:
        self._client = client
        self._request = request

    async def __aenter__(self) -> HttpResponse:
        """Send the request and receive the head of its answer."""
        self._connection = await self._client.checkout()
        try:
            self._response = await self._connection.exchange(self._request)
        except BaseException:
            self._connection.close()
            raise
        return self._response

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Keep the connection for the next request, or close it."""
        if self._response.complete and self._connection.reusable():
            self._client.give_back(self._connection)
        else:
            self._connection.close()


class HttpConnectError(HttpError):
    """The server could not be reached; nothing of the request was sent."""


class _Connection:
    """One client connection."""

    def __init__(self, stream: ByteStream, address: str) -> None:
        self._stream = stream
        self._address = address
        self._host_header = (b"host", address.encode())
        self._h11 = h11.Connection(h11.CLIENT)

    async def exchange(self, request: HttpRequest) -> HttpResponse:
        """Send a request and receive the head of its answer."""
        await self._send(request)
        # Nothing of the answer can be there yet, so that parsing first would be for nothing.
        await self._receive()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return HttpResponse(self, event)
            if not isinstance(event, h11.InformationalResponse):
                raise HttpError(f"{self._address} closed the connection before its answer")

    async def receive_body(self) -> tuple[bytes, bool]:
        """Return the body bytes that are there, at least one or the end, and whether it ended."""
        event = await self._next_event()
        parts: list[bytes] = []
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            event = self._parse_event()
        if isinstance(event, h11.ConnectionClosed):
            raise HttpError(f"{self._address} closed the connection in mid-answer")
        return b"".join(parts), isinstance(event, h11.EndOfMessage)

    def reusable(self) -> bool:
        """Return whether the connection can carry another request, and prepare it."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    def closed_by_server(self) -> bool:
        """Return whether an idle connection has been closed or has unexpected bytes."""
        return self._stream.socket.is_readable()

    def close(self) -> None:
        """Close the socket at once."""
        self._stream.socket.close()

    async def _send(self, request: HttpRequest) -> None:
        headers = [
            self._host_header,
            (b"content-length", str(len(request.body)).encode()),
            *request.headers,
        ]
        try:
            head = h11.Request(method=request.method, target=request.target, headers=headers)
            data = self._h11.send(head) or b""
            if request.body:
                data += self._h11.send(h11.Data(data=request.body)) or b""
            data += self._h11.send(_END_OF_MESSAGE) or b""
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise HttpError(f"{self._address} closed the connection") from error
        except h11.LocalProtocolError as error:
            raise HttpError(f"request to {self._address} is not valid HTTP: {error}") from error

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
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise HttpError(f"{self._address} broke the HTTP exchange: {error}") from error
