"""Decides how long to wait for an answer whose usual delay is learnt from earlier ones."""

from __future__ import annotations

# Weights of a new measurement and the factor of the deviation: RFC 6298, for retransmissions.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0


class AnswerWait:
    """How long answers take beyond the known round trip.

    Answers on a narrow or busy link arrive late without being lost. The wait follows what answers
    took, also those that came after it had ended.

    Args:
        least_s: Seconds to wait at least.
        most_s: Seconds to wait at most.
    """

    def __init__(self, *, least_s: float, most_s: float) -> None:
        self._least_s = least_s
        self._most_s = most_s
        self._mean_s = 0.0
        self._deviation_s = 0.0

    @property
    def wait_s(self) -> float:
        """Seconds to wait for the next answer beyond the round trip."""
        wait_s = self._mean_s + DEVIATIONS * self._deviation_s
        return min(self._most_s, max(self._least_s, wait_s))

    def note(self, delay_s: float) -> None:
        """Take over what an answer took beyond the round trip."""
        delay_s = max(0.0, delay_s)
        error_s = abs(delay_s - self._mean_s)
        self._deviation_s += DEVIATION_WEIGHT * (error_s - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * (delay_s - self._mean_s)
