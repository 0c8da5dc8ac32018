"""Renders the HTTP answers to refused calls."""

from __future__ import annotations

from figwalk.errors import RefusalError
from figwalk.timer import MS_PER_S
from figwalk.transport import Headers, Responder, render_error

RATE_LIMIT_STATUS = 429


def retry_after_header(retry_after_ms: int) -> tuple[bytes, bytes]:
    """Return `Retry-After` in whole seconds, rounded up."""
    seconds = max(1, -(-retry_after_ms // MS_PER_S))
    return (b"retry-after", str(seconds).encode())


async def send_refusal(
    responder: Responder, error: RefusalError, headers: Headers | None = None
) -> None:
    """Send a refusal with its outcome and the time after which the caller may retry."""
    kind = "rate_limit_error" if error.status == RATE_LIMIT_STATUS else "server_error"
    body = render_error(
        kind,
        error.code,
        error.message,
        outcome=error.outcome.value,
        attempt=error.attempt.value,
        retry_after_ms=error.retry_after_ms,
    )
    all_headers = [retry_after_header(error.retry_after_ms), *(headers or [])]
    await responder.send_json(error.status, body, all_headers)
