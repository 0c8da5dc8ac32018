"""Faults of the engine stand-in."""

from __future__ import annotations

import attrs

CRASH_STATUS = 70


@attrs.frozen
class EngineFaults:
    """Faults of the engine; the documentation of `standins.engine` describes them."""

    crash_in_change: bool = False
    hold_changes: bool = False
    crash_after_tokens: int | None = None
    hold_after_tokens: int | None = None
    cut_after_tokens: int | None = None
    report_idle: bool = False
    delay_ms: float = 0.0
    errors: int = 0
    wrong_answers: int = 0
    lose_order_answers: int = 0
    failing_changes: int = 0

    def crashes_at(self, sent_tokens: int) -> bool:
        """Return whether the process is to end after so many tokens of a stream."""
        return self.crash_after_tokens is not None and sent_tokens >= self.crash_after_tokens

    def cuts_at(self, sent_tokens: int) -> bool:
        """Return whether a stream is to be closed after so many tokens."""
        return self.cut_after_tokens is not None and sent_tokens >= self.cut_after_tokens
