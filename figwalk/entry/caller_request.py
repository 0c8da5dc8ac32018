"""Properties that all callers' requests have: id, organisation, priority and deadline."""

from __future__ import annotations

import re
import secrets

import attrs

from figwalk.errors import CallerError
from figwalk.protocol.messages import Priority
from figwalk.timer import MS_PER_S, Timer
from figwalk.transport import Headers, HttpRequest, strip_hop_by_hop

DEADLINE_HEADER = b"figwalk-deadline-ms"
PRIORITY_HEADER = b"figwalk-priority"
ORGANISATION_HEADER = b"figwalk-organisation"
REQUEST_ID_HEADER = b"x-request-id"
# Meant for figwalk or for one hop only, so they are not forwarded; the request to the backend
# server has its own.
_DROPPED_HEADERS = frozenset({b"expect", REQUEST_ID_HEADER, b"accept-encoding"})
REQUEST_ID_BYTES = 16
MAX_DEADLINE_MS = 24 * 3600 * MS_PER_S
_DIGITS_PATTERN = re.compile(r"[0-9]{1,9}")
_NAME_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")


@attrs.frozen
class CallerRequest:
    """A caller's HTTP request with the values of its figwalk headers.

    Attributes:
        http: The HTTP request.
        request_id: Identifies the request in events; the caller's `X-Request-Id` if it sent one.
        organisation: Organisation of the caller, or an empty string.
        priority: Priority class.
        arrived: Monotonic time of its arrival, in seconds.
        deadline: Monotonic time when its answer is due, in seconds.
        has_deadline: Whether the caller set the deadline, rather than the service's timeout.
    """

    http: HttpRequest = attrs.field(repr=False)
    request_id: str
    organisation: str
    priority: Priority
    arrived: float
    deadline: float
    has_deadline: bool

    @classmethod
    def from_http(cls, http: HttpRequest, timer: Timer, *, timeout_s: float) -> CallerRequest:
        """Build a request from HTTP after checking its headers.

        Args:
            http: The HTTP request.
            timer: Source of time.
            timeout_s: Seconds until the deadline if the caller gives none.

        Raises:
            CallerError: A header has an invalid value.
        """
        deadline_ms = _deadline_ms(http)
        arrived = timer.now()
        due_s = deadline_ms / MS_PER_S if deadline_ms else timeout_s
        return cls(
            http,
            _name_header(http, REQUEST_ID_HEADER) or secrets.token_hex(REQUEST_ID_BYTES),
            _name_header(http, ORGANISATION_HEADER),
            _priority(http),
            arrived,
            arrived + due_s,
            bool(deadline_ms),
        )

    @property
    def id_header(self) -> tuple[bytes, bytes]:
        """Header that returns the request id with the answer."""
        return (REQUEST_ID_HEADER, self.request_id.encode())

    def forwarded_headers(self) -> Headers:
        """Return the headers that are forwarded to a plain service."""
        return [
            (name, value)
            for name, value in strip_hop_by_hop(self.http.headers)
            if name not in _DROPPED_HEADERS and not name.startswith(b"figwalk-")
        ]

    def remaining_ms(self, now: float) -> int:
        """Return the milliseconds until the deadline, at least 1, as agents read 0 as none."""
        return max(1, int((self.deadline - now) * MS_PER_S))


def _deadline_ms(http: HttpRequest) -> int:
    text = http.header(DEADLINE_HEADER)
    if not text:
        return 0
    if not _DIGITS_PATTERN.fullmatch(text) or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise CallerError(
            400,
            "invalid_deadline",
            f"Figwalk-Deadline-Ms must be milliseconds from 1 to {MAX_DEADLINE_MS}",
        )
    return int(text)


def _priority(http: HttpRequest) -> Priority:
    text = http.header(PRIORITY_HEADER, Priority.NORMAL.value)
    try:
        return Priority(text)
    except ValueError as error:
        names = ", ".join(Priority)
        raise CallerError(
            400, "invalid_priority", f"Figwalk-Priority must be one of {names}"
        ) from error


def _name_header(http: HttpRequest, name: bytes) -> str:
    text = http.header(name)
    if text and not _NAME_PATTERN.fullmatch(text):
        raise CallerError(
            400,
            "invalid_header",
            f"{name.decode()} must have 1 to 128 letters, digits or any of . _ : -",
        )
    return text
