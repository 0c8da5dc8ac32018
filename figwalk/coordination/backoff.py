"""Delays between attempts."""

from __future__ import annotations

import random

FIRST_DELAY_S = 0.1
MAX_DELAY_S = 2.0


class Backoff:
    """Exponential backoff with jitter.

    Each delay is random between half of a limit and the limit, which doubles up to `max_s`.

    Args:
        first_s: Limit of the first delay in seconds.
        max_s: Limit of all delays in seconds.
        rng: Source of the jitter; tests pass a seeded one.
    """

    def __init__(
        self,
        *,
        first_s: float = FIRST_DELAY_S,
        max_s: float = MAX_DELAY_S,
        rng: random.Random | None = None,
    ) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._rng = rng or random.Random()
        self._limit_s = first_s

    def next_delay(self) -> float:
        """Return the seconds to wait before the next attempt."""
        limit_s = self._limit_s
        self._limit_s = min(2 * limit_s, self._max_s)
        return self._rng.uniform(limit_s / 2, limit_s)

    def reset(self) -> None:
        """Start again from the first delay; called after a successful attempt."""
        self._limit_s = self._first_s
