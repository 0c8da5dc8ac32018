"""HTTP data shared by server and client."""

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
        max_header_bytes: Request line and headers together.
        max_body_bytes: Request body.
        max_connections: Open connections.
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
    """A whole HTTP request.

    Attributes:
        method: Method in capitals.
        target: Path with query.
        headers: Pairs with lower-case names.
        body: Whole body.
        started_at: Time of trio's clock at which its first bytes were read.
    """

    method: str
    target: str
    headers: Headers
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
        """Return the first header of a lower-case name."""
        return find_header(self.headers, name, default)


def find_header(headers: Headers, name: bytes, default: str = "") -> str:
    """Return the first header of a lower-case name as text."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return default


def strip_hop_by_hop(headers: Headers, *, keep_host: bool = False) -> Headers:
    """Return the headers that may be forwarded, without those that `Connection` names."""
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
