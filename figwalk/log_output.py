"""Log output of the processes: one line for each event on standard error."""

from __future__ import annotations

import json
import sys
import time

import structlog

from figwalk.errors import SettingsError

NS_PER_MS = 1_000_000
LOG_FORMATS = ("json", "console")


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


def configure_logging(log_format: str) -> None:
    """Configure structlog; call it before any `EventLog` is created.

    Args:
        log_format: `json` or `console`.

    Raises:
        SettingsError: The format is not known.
    """
    if log_format not in LOG_FORMATS:
        raise SettingsError([f"log_format: {log_format!r} is not one of {', '.join(LOG_FORMATS)}"])
    structlog.configure(
        processors=_JSON_PROCESSORS if log_format == "json" else _console_processors(),
        wrapper_class=structlog.make_filtering_bound_logger("info"),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
