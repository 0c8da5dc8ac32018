"""HTTP types and header functions that the server and the client share."""

from __future__ import annotations

import attrs

Headers = list[tuple[bytes, bytes]]

# Headers that belong to one connection and are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@attrs.frozen
class HttpLimits:
    """Limits of an HTTP server.

    Attributes:
        max_header_bytes: Maximum size of the request line and headers together.
        max_body_bytes: Maximum size of a request body.
        max_connections: Maximum number of open connections.
        receive_timeout_s: Seconds a client may take to send one request.
        idle_timeout_s: Seconds a kept-alive connection may wait for its next request.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 2 * 1024 * 1024
    max_connections: int = 1000
    receive_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@attrs.frozen
class HttpRequest:
    """A complete HTTP request.

    Attributes:
        method: Method in upper case.
        target: Path and query.
        headers: Pairs of lower-case name and value.
        body: Complete body.
        started_at: Time of trio's clock at which the first bytes of the request were read. For the
            first request of a connection on which they had arrived before, when it was accepted.
    """

    method: str
    target: str
    headers: Headers = attrs.field(repr=False)  # May hold a caller's key.
    body: bytes = b""
    started_at: float = attrs.field(default=0.0, eq=False)

    @property
    def path(self) -> str:
        """Target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Query string without the question mark."""
        return self.target.partition("?")[2]

    def header(self, name: bytes, default: str = "") -> str:
        """Return the first header with the given lower-case name as text, or the default."""
        return find_header(self.headers, name, default)


def find_header(headers: Headers, name: bytes, default: str = "") -> str:
    """Return the first header with the given lower-case name as text, or the default."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return default


def strip_hop_by_hop(headers: Headers, *, keep_host: bool = False) -> Headers:
    """Return the end-to-end headers, without hop-by-hop ones and those named in `Connection`."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if (name not in HOP_BY_HOP_HEADERS or (keep_host and name == b"host")) and name not in named
    ]


def render_error(kind: str, code: str, message: str, **fields: object) -> dict[str, object]:
    """Return an error body in the format that OpenAI clients expect."""
    return {"error": {"type": kind, "code": code, "message": message, **fields}}
