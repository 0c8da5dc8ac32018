"""Relates the slowdown that a backend server reports to the one that it usually reports."""

from __future__ import annotations

from figwalk.timer import Timer

# Noisy neighbours slow a server down in spells of about this length. An older report says nothing
# about the present.
SPELL_S = 0.6
# Reports outside these bounds are errors or false. The bounds limit what one of them can change.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 10.0
# The usual slowdown counts as 1.0 until some reports have come in, so that a spell during the first
# of them is recognised.
ASSUMED_REPORTS = 5
MEAN_WEIGHT = 0.05


class ReportedSlowdown:
    """Slowdown of one backend server at this moment, relative to its usual one.

    A server that always reports the same figure is not slower at this moment than at others. How
    slow it is in general is learned from its answers, so that a false report has little effect.

    Args:
        timer: Source of time.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._usual = 1.0
        self._reports = ASSUMED_REPORTS
        self._excess = 0.0
        self._reported_at = 0.0

    def record(self, slowdown: float) -> None:
        """Record the slowdown that an answer states; 1.0 is usual."""
        slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
        self._reports += 1
        self._usual += max(MEAN_WEIGHT, 1 / self._reports) * (slowdown - self._usual)
        self._excess = max(MIN_SLOWDOWN, slowdown / self._usual) - 1.0
        self._reported_at = self._timer.now()

    @property
    def factor(self) -> float:
        """Seconds of work at this moment as a multiple of the server's usual; 1.0 if unknown."""
        if self._excess == 0.0:
            return 1.0
        age_s = self._timer.now() - self._reported_at
        return 1.0 + self._excess * max(0.0, 1.0 - age_s / SPELL_S)
