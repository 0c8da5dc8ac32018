"""Log output of the processes: one line for each event on standard error."""

from __future__ import annotations

import sys

import structlog

from figwalk.errors import SettingsError

LOG_FORMATS = ("json", "console")


def configure_logging(log_format: str) -> None:
    """Configure structlog; call it before any `EventLog` is created.

    Args:
        log_format: `json` or `console`.

    Raises:
        SettingsError: The format is not known.
    """
    if log_format not in LOG_FORMATS:
        raise SettingsError([f"log_format: {log_format!r} is not one of {', '.join(LOG_FORMATS)}"])
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger("info"),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
