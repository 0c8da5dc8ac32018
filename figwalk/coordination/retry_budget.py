"""Limit of retries, so that an overloaded fleet is not loaded further by repeated attempts."""

from __future__ import annotations

from figwalk.timer import Timer

FLOOR_TOKENS = 2.0
FLOOR_PERIOD_S = 10.0  # A quiet entry earns one retry in this time, up to the floor.
MAX_TOKENS = 50.0  # Retries that may come at once after a long time without any.


class RetryBudget:
    """Token bucket filled by a share of first attempts.

    Args:
        timer: Source of time.
        ratio: Retries allowed for each first attempt, 0 to 1; 0 forbids all retries.
    """

    def __init__(self, timer: Timer, *, ratio: float = 0.1) -> None:
        self._timer = timer
        self._ratio = ratio
        self._tokens = FLOOR_TOKENS
        self._refilled_at = timer.now()

    @property
    def tokens(self) -> float:
        """Retries allowed now."""
        self._refill_floor()
        return self._tokens

    def set_ratio(self, ratio: float) -> None:
        """Take over the ratio of another preset."""
        self._ratio = ratio

    def note_first_attempt(self) -> None:
        """Count a request that is sent for the first time."""
        self._refill_floor()
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def try_retry(self) -> bool:
        """Take one retry out of the budget; return whether it is allowed."""
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
