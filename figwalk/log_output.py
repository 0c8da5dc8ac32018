"""Log output of the processes: one line for each event."""

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
# Lines that a reader of the output has not taken yet; about 200 lines.
MAX_PENDING_BYTES = 64 * 1024


# The encoder of `json.dumps` is built anew for each call with these options, and the log line of
# a call is on the hot path.
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
    """Where log lines go."""

    def write(self, text: str) -> object:
        """Write text."""

    def flush(self) -> None:
        """Write what is buffered."""


class BoundedOutput:
    """Writes lines to a file descriptor without ever waiting, and drops what is too much.

    Args:
        descriptor: Open file descriptor; it is made non-blocking.
        lines_per_s: Lines written a second at the most, with bursts of as many more.
    """

    def __init__(self, descriptor: int, *, lines_per_s: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._allowance = float(lines_per_s)
        self._refilled_at = time.monotonic()
        self._pending = b""
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines dropped so far."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write a line if the rate and the reader allow it, else count it as dropped."""
        now = time.monotonic()
        earned = (now - self._refilled_at) * self._lines_per_s
        self._refilled_at = now
        self._allowance = min(float(self._lines_per_s), self._allowance + earned)
        if self._allowance < 1 or len(self._pending) > MAX_PENDING_BYTES:
            self._dropped += 1
            self.flush()
            return
        self._allowance -= 1
        self._pending += text.encode("utf-8", "replace")
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, and there is no other place to say so.
            self._dropped += self._pending.count(b"\n")
            written = len(self._pending)
        self._pending = self._pending[written:]


def configure_logging(log_format: str, output: LineOutput | TextIO | None = None) -> None:
    """Configure structlog; call it before any `EventLog` is created.

    Args:
        log_format: `json` or `console`.
        output: Where lines go; standard error if not given.

    Raises:
        SettingsError: The format is not known.
    """
    if log_format not in LOG_FORMATS:
        raise SettingsError([f"log_format: {log_format!r} is not one of {', '.join(LOG_FORMATS)}"])
    structlog.configure(
        processors=_JSON_PROCESSORS if log_format == "json" else _console_processors(),
        wrapper_class=structlog.make_filtering_bound_logger("info"),
        logger_factory=structlog.WriteLoggerFactory(output or sys.stderr),
        cache_logger_on_first_use=True,
    )
