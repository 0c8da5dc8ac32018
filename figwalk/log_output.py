"""Log output of the processes: one line per event, written without blocking."""

from __future__ import annotations

import json
import os
import sys
import time
from typing import Protocol, TextIO

import structlog

from figwalk.errors import SettingsError

NS_PER_MS = 1_000_000
LOG_FORMATS = ("json", "console")
# Buffered output that the reader has not yet accepted; about 200 lines.
MAX_PENDING_BYTES = 64 * 1024


# With these options, `json.dumps` would build a new encoder for each log line, which is on the hot
# path of calls.
_encode = json.JSONEncoder(separators=(",", ":"), default=repr).encode


def _render_json(_logger: object, level: str, event: dict[str, object]) -> str:
    event["level"] = level
    event["time_ms"] = time.time_ns() // NS_PER_MS
    return _encode(event)


def _console_processors() -> list[structlog.typing.Processor]:
    return [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty()),
    ]


_JSON_PROCESSORS = [_render_json]


class LineOutput(Protocol):
    """Destination of log lines."""

    def write(self, text: str) -> object:
        """Write text."""

    def flush(self) -> None:
        """Write the buffered text."""


class BoundedOutput:
    """Writes lines to a file descriptor without blocking, and drops lines above a rate.

    It also drops lines while the reader is too slow and the buffer is full.

    Args:
        descriptor: Open file descriptor; it is made non-blocking.
        lines_per_s: Maximum lines per second, which is also the size of a burst.
    """

    def __init__(self, descriptor: int, *, lines_per_s: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._tokens = float(lines_per_s)
        self._refilled_at = time.monotonic()
        self._pending = b""
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of lines dropped so far."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write a line if the rate limit and the buffer allow it, else count it as dropped."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._refilled_at = now
        self._tokens = min(float(self._lines_per_s), self._tokens + refill)
        if self._tokens < 1 or len(self._pending) > MAX_PENDING_BYTES:
            self._dropped += 1
            self.flush()
            return
        self._tokens -= 1
        self._pending += text.encode("utf-8", "replace")
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts without blocking."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, and there is no other output that could report the error.
            self._dropped += self._pending.count(b"\n")
            written = len(self._pending)
        self._pending = self._pending[written:]


def configure_logging(log_format: str, output: LineOutput | TextIO | None = None) -> None:
    """Configure structlog; call it before any `EventLog` is created.

    Args:
        log_format: `json` or `console`.
        output: Destination of the lines; defaults to standard error.

    Raises:
        SettingsError: The format is unknown.
    """
    if log_format not in LOG_FORMATS:
        raise SettingsError([f"log_format: {log_format!r} is not one of {', '.join(LOG_FORMATS)}"])
    structlog.configure(
        processors=_JSON_PROCESSORS if log_format == "json" else _console_processors(),
        wrapper_class=structlog.make_filtering_bound_logger("info"),
        logger_factory=structlog.WriteLoggerFactory(output or sys.stderr),
        cache_logger_on_first_use=True,
    )
