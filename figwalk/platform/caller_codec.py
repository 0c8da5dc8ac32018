"""Decodes the headers of the requests of the platform's callers."""

from __future__ import annotations

from figwalk.errors import CallerError
from figwalk.gateway.codecs import CallerCodec, CallFacts, PromptPart
from figwalk.platform import headers as names
from figwalk.platform.json_fields import is_count
from figwalk.timer import MS_PER_S
from figwalk.transport import Headers, HttpRequest


class PlatformCallerCodec(CallerCodec):
    """Decodes the id, deadline and prompt parts in callers' requests."""

    def decode(self, request: HttpRequest) -> CallFacts:
        """Decode the headers of a request; see `CallerCodec.decode`."""
        return CallFacts(
            call_id=_parse_call_id(request.headers),
            caller_timeout_s=_parse_timeout_s(request),
            prompt=_parse_prompt(request.header(names.PREFIX_PARTS)),
            resume_after=request.header(names.LAST_EVENT_ID),
        )

    def identify(self, call_id: str) -> Headers:
        """Return the header with the id of the caller's request."""
        return [(names.REQUEST_ID, call_id.encode("latin-1"))]


def _parse_call_id(headers: Headers) -> str:
    ids = [value for name, value in headers if name == names.REQUEST_ID]
    if len(ids) != 1 or not ids[0]:
        raise CallerError(400, "invalid_request_id", "send exactly one request id")
    return ids[0].decode("latin-1")


def _parse_timeout_s(request: HttpRequest) -> float | None:
    text = request.header(names.DEADLINE_MS)
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise CallerError(400, "invalid_deadline", "the deadline must be whole milliseconds")
    return float(text) / MS_PER_S  # int() rejects numbers with thousands of digits.


def _parse_prompt(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; none if the list is malformed, since it is only a hint.

    The server's limit of the size of headers bounds their number.
    """
    parts = []
    for item in text.split(","):
        part_id, separator, tokens = item.strip().partition(":")
        if not (separator and part_id and is_count(tokens)):
            return ()
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)
