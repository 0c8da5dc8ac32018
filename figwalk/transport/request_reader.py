"""Assembles the requests that an HTTP server receives."""

from __future__ import annotations

from http import HTTPStatus

import h11

from figwalk.errors import CallerError, FigwalkError
from figwalk.transport.byte_budget import ByteCharge
from figwalk.transport.byte_stream import RECEIVE_BYTES, ByteStream
from figwalk.transport.http_types import Headers, HttpLimits, HttpRequest, find_header

# Colon, space and line end of a header.
_HEADER_LINE_EXTRA = 4


class NoRoomError(FigwalkError):
    """A request was not received, since its body would exceed the bound of held bytes."""


class RequestReader:
    """Assembles one request from the events of h11.

    Args:
        connection: The client's connection.
        limits: Maximum sizes of the header and the body.
        held: Counts the body against the bound of the server.
        started_at: Time of trio's clock at which the first bytes were read, or since which they
            have waited for that.
    """

    def __init__(
        self,
        connection: h11.Connection,
        limits: HttpLimits,
        held: ByteCharge,
        started_at: float = 0.0,
    ) -> None:
        self._started_at = started_at
        self._connection = connection
        self._limits = limits
        self._head: h11.Request | None = None
        self._headers: Headers = []
        self._held = held
        self._body: list[bytes] = []
        self._body_size = 0
        self._charged = 0

    def parse(self) -> HttpRequest | type[h11.NEED_DATA] | None:
        """Return the request if it is complete, or None if the connection is to be closed.

        Raises:
            CallerError: The header or the body is above its limit.
            NoRoomError: The server holds too many bytes to receive the body.
        """
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                return h11.NEED_DATA
            if isinstance(event, h11.Request):
                self._head = event
                self._headers = list(event.headers)
                self._check_header_size(event)
                # h11 has validated the header. The size is checked here because a client that waits
                # for 100 has not sent the body.
                self._check_body_size(int(find_header(self._headers, b"content-length", "0")))
            elif isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
                self._body_size += len(event.data)
                self._check_body_size(self._body_size)
            elif isinstance(event, h11.EndOfMessage) and self._head is not None:
                return self._build(self._take_body())
            else:
                return None

    async def receive(self, stream: ByteStream) -> None:
        """Receive more of the request, after sending 100 to a client that waits for it."""
        if self._connection.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(self._connection.send(continue_response) or b"")
        self._connection.receive_data(await stream.receive_some(RECEIVE_BYTES))

    def build_head(self) -> HttpRequest | None:
        """Return the request without its body, or None if its head is not complete."""
        return self._build(b"") if self._head is not None else None

    def _check_header_size(self, head: h11.Request) -> None:
        lines = sum(len(name) + len(value) + _HEADER_LINE_EXTRA for name, value in head.headers)
        if lines + len(head.method) + len(head.target) > self._limits.max_header_bytes:
            raise refuse_header(self._limits.max_header_bytes)

    def _check_body_size(self, size: int) -> None:
        """Check and charge the size of the body that is known so far."""
        if size > self._limits.max_body_bytes:
            raise CallerError(
                413,
                "body_too_large",
                f"the body is above the limit of {self._limits.max_body_bytes} bytes",
            )
        if size > self._charged:
            if not self._held.try_add_body(size - self._charged):
                raise NoRoomError("this server holds too many bytes of requests and answers")
            self._charged = size

    def _take_body(self) -> bytes:
        body = b"".join(self._body)
        self._body.clear()
        return body

    def _build(self, body: bytes) -> HttpRequest:
        return HttpRequest(
            self._head.method.decode("ascii"),
            self._head.target.decode("latin-1"),
            self._headers,
            body,
            self._started_at,
        )


def refuse_header(max_bytes: int) -> CallerError:
    """Return the error for a header that is above the limit in bytes."""
    return CallerError(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        "header_too_large",
        f"the request line and the headers are above the limit of {max_bytes} bytes",
    )
