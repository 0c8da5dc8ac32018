"""Retry budget, which keeps retries from adding load to an overloaded fleet."""

from __future__ import annotations

from figwalk.timer import Timer

FLOOR_TOKENS = 2.0
FLOOR_PERIOD_S = 10.0  # An idle entry gains one retry in this period, up to `FLOOR_TOKENS`.
MAX_TOKENS = 50.0  # Largest burst of retries after a long time without any.


class RetryBudget:
    """Token bucket for retries, filled by first attempts.

    Each first attempt adds `ratio` tokens, up to `MAX_TOKENS`, and each retry takes one. The bucket
    also refills slowly to `FLOOR_TOKENS`, so that an entry with few requests can retry.

    Args:
        timer: Source of time.
        ratio: Retries allowed per first attempt, 0 to 1; 0 forbids all retries.
    """

    def __init__(self, timer: Timer, *, ratio: float = 0.1) -> None:
        self._timer = timer
        self._ratio = ratio
        self._tokens = FLOOR_TOKENS
        self._refilled_at = timer.now()

    @property
    def tokens(self) -> float:
        """Number of retries allowed now."""
        self._refill_floor()
        return self._tokens

    def set_ratio(self, ratio: float) -> None:
        """Set the retries allowed per first attempt, after a change of the preset."""
        self._ratio = ratio

    def record_first_attempt(self) -> None:
        """Add to the budget for a request that is sent for the first time."""
        self._refill_floor()
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def try_retry(self) -> bool:
        """Take one retry from the budget if there is one; return whether the retry is allowed."""
        self._refill_floor()
        if self._ratio <= 0 or self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill_floor(self) -> None:
        now = self._timer.now()
        earned = (now - self._refilled_at) / FLOOR_PERIOD_S
        self._refilled_at = now
        if self._tokens < FLOOR_TOKENS:
            self._tokens = min(FLOOR_TOKENS, self._tokens + earned)
