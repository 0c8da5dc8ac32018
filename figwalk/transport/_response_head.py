"""Checks the heads of responses for what RFC 9110 and RFC 9112 forbid and h11 accepts."""

from __future__ import annotations

import h11

# Higher values belong to no class of status codes (RFC 9110, section 15).
MAX_STATUS = 599


def check_response_head(head: h11.InformationalResponse | h11.Response) -> None:
    """Check that a head that h11 has parsed is valid.

    Raises:
        h11.RemoteProtocolError: The bytes are no response of HTTP/1.1.
    """
    if head.status_code > MAX_STATUS:
        raise h11.RemoteProtocolError(f"status {head.status_code} is above {MAX_STATUS}")
