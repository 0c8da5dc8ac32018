"""Decodes the headers of the requests of the platform's callers."""

from __future__ import annotations

from figwalk.errors import CallerError
from figwalk.gateway.codecs import CallerCodec, CallFacts, PromptPart
from figwalk.platform import headers as names
from figwalk.platform.json_fields import is_count
from figwalk.timer import MS_PER_S
from figwalk.transport import Headers, HttpRequest


class PlatformCallerCodec(CallerCodec):
    """Decodes the id, deadline, prompt parts and key in callers' requests."""

    def decode(self, request: HttpRequest) -> CallFacts:
        """Decode the headers of a request; see `CallerCodec.decode`."""
        return CallFacts(
            call_id=_parse_call_id(request.headers),
            caller_timeout_s=_parse_timeout_s(request),
            prompt=_parse_prompt(request.header(names.PREFIX_PARTS)),
            resume_after=request.header(names.LAST_EVENT_ID),
            resumes=request.header(names.RESUMES),
            api_key=_parse_key(request.headers),
            max_output_tokens=_parse_max_output(request.header(names.TOKEN_COUNTS)),
            expected_output_tokens=_parse_count(request.header(names.LENGTH_HINT)),
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


def _parse_key(headers: Headers) -> str:
    """Return the caller's key; empty without one, or with several, which would be ambiguous."""
    keys = [value for name, value in headers if name == names.API_KEY]
    if len(keys) != 1:
        return ""
    # Bytes that are not UTF-8 match no key, since the configuration is UTF-8.
    return keys[0].decode("utf-8", "surrogateescape")


def _parse_max_output(text: str) -> int | None:
    """Return the largest number of output tokens; None if malformed, since it is only a hint."""
    numbers = text.split(",")
    return _parse_count(numbers[1]) if len(numbers) == 2 else None


def _parse_count(text: str) -> int | None:
    text = text.strip()
    return int(text) if is_count(text) else None
