"""Checks of response heads and trailers that RFC 9110 and RFC 9112 require and h11 omits."""

from __future__ import annotations

import re
from collections.abc import Iterable

import h11

# Higher values belong to no class of status codes (RFC 9110, section 15).
MAX_STATUS = 599
# Reasons and values of fields hold tabs, printable characters and bytes above 127.
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def check_response_head(head: h11.InformationalResponse | h11.Response) -> None:
    """Check that a head that h11 has parsed is valid.

    Raises:
        h11.RemoteProtocolError: The bytes are no response of HTTP/1.1.
    """
    if head.status_code > MAX_STATUS:
        raise h11.RemoteProtocolError(f"status {head.status_code} is above {MAX_STATUS}")
    if _CONTROL_CHARACTER.search(head.reason):
        raise h11.RemoteProtocolError("the reason has a control character")
    fields = list(head.headers)
    _check_values(fields)
    if not head.http_version.startswith(b"1."):
        version = head.http_version.decode("ascii")
        raise h11.RemoteProtocolError(f"the answer is in HTTP/{version}, and not in HTTP/1.x")
    names = [name for name, _ in fields]
    if b"transfer-encoding" in names:
        # RFC 9112, sections 6.1 and 6.3: the end of such a body is not certain.
        if b"content-length" in names:
            raise h11.RemoteProtocolError("the body has both a length and chunks")
        if head.http_version < b"1.1":
            raise h11.RemoteProtocolError("the body has chunks, which HTTP/1.0 does not know")


def check_trailer(end: h11.EndOfMessage) -> None:
    """Check that the trailer at the end of a body, if there is one, is valid.

    Raises:
        h11.RemoteProtocolError: The bytes are no trailer of HTTP/1.1.
    """
    _check_values(end.headers)


def _check_values(fields: Iterable[tuple[bytes, bytes]]) -> None:
    if _CONTROL_CHARACTER.search(b"".join([value for _, value in fields])):
        raise h11.RemoteProtocolError("the value of a field has a control character")
