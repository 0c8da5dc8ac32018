"""Decides how long to wait for an answer, from the delays of earlier answers."""

from __future__ import annotations

# Weights of a new sample, and the factor of the deviation, as in RFC 6298 for TCP retransmissions.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0


class AnswerWait:
    """Estimates how long answers take beyond the known round trip.

    On a narrow or busy link, answers arrive late without being lost. The wait therefore follows the
    measured delays, also those of answers that arrived after the wait for them had ended.

    Args:
        min_s: Shortest wait in seconds.
        max_s: Longest wait in seconds.
    """

    def __init__(self, *, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._mean_s = 0.0
        self._deviation_s = 0.0

    @property
    def wait_s(self) -> float:
        """Seconds to wait for the next answer beyond the round trip."""
        wait_s = self._mean_s + DEVIATIONS * self._deviation_s
        return min(self._max_s, max(self._min_s, wait_s))

    def record(self, delay_s: float) -> None:
        """Record the seconds that an answer took beyond the round trip."""
        delay_s = max(0.0, delay_s)
        error_s = abs(delay_s - self._mean_s)
        self._deviation_s += DEVIATION_WEIGHT * (error_s - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * (delay_s - self._mean_s)
