"""The share of the recent calls to one backend server that failed."""

from __future__ import annotations

from figwalk.timer import Timer

# The weight of failures halves in this time, so that a backend server that has recovered soon gets
# calls again.
FAILURE_HALF_LIFE_S = 2.0
# Without these assumed calls, one failure among few calls would count too much.
FAILURE_PRIOR_CALLS = 2.0


class FailureShare:
    """Counts answered and failed calls, weighted by their age.

    Args:
        timer: Source of time.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._answered = 0.0
        self._failed = 0.0
        self._decayed_at = timer.now()

    @property
    def share(self) -> float:
        """Share of recent calls that failed, 0 to 1."""
        if not self._failed:
            return 0.0
        self._decay()
        return self._failed / (self._answered + self._failed + FAILURE_PRIOR_CALLS)

    def record_answer(self) -> None:
        """Record a call that was answered."""
        self._decay()
        self._answered += 1

    def record_failure(self) -> None:
        """Record a call that failed."""
        self._decay()
        self._failed += 1

    def _decay(self) -> None:
        now = self._timer.now()
        factor = 0.5 ** ((now - self._decayed_at) / FAILURE_HALF_LIFE_S)
        self._answered *= factor
        self._failed *= factor
        self._decayed_at = now
