"""Spaces the requests of one process to a backend server that limits requests.

The backend server names how many requests a second it takes from all processes together. Each
process sends at its share of that, at equal distances and from a random start on, so that the
processes together stay near the limit in any few seconds. Load: bursts far above the limit at all
processes at once, and a backend server that is in need just then.
"""

from __future__ import annotations

import math
import random

from figwalk.timer import Timer

# A turn that is not used lapses after this time. Otherwise, many idle processes would all have one
# left and use it in the same moment.
TURN_LIFE_S = 0.5
# Even where the limit is 0, a request has to be sent now and then: only its answer can tell that
# the limit was lifted. Over all processes.
MIN_REQUESTS_PER_S = 0.1
# Turns further ahead are not promised: hardly any caller has that much time left, and those that
# come earlier would find turns that were kept for no one.
MAX_PROMISE_S = 10.0


class RequestPacer:
    """Gives the requests of this process turns at a limited backend server.

    Args:
        timer: Source of time.
        rng: Chooses the time of the first turn; tests pass a seeded one.
    """

    def __init__(self, timer: Timer, rng: random.Random) -> None:
        self._timer = timer
        self._rng = rng
        self._rate = 0.0
        self._next_turn_at = 0.0
        self._promised_until = -math.inf

    def set_limit(self, requests_per_s: float, processes: int) -> None:
        """Set the limit over all processes, and how many share it."""
        rate = max(MIN_REQUESTS_PER_S, requests_per_s) / max(1, processes)
        if rate == self._rate:
            return
        now = self._timer.now()
        wait_s = self._rng.random() / rate
        if self._rate:
            wait_s = (self._next_turn_at - now) * self._rate / rate
        self._rate = rate
        self._next_turn_at = now + wait_s
        self._promised_until = -math.inf

    def has_turn(self) -> bool:
        """Return whether a request may be sent now."""
        return self._timer.now() >= self._upcoming_turn()

    def take_turn(self) -> None:
        """Record that a request is sent now."""
        self._next_turn_at = self._upcoming_turn() + 1 / self._rate

    @property
    def next_promise_s(self) -> float:
        """Seconds until the first turn that no refused caller was told."""
        return self._timer.left_s(self._next_promise_at())

    def promise_turn_s(self) -> float:
        """Return after how many seconds a refused caller is to come back.

        Each refused caller gets a later turn, so that they don't all return for the same one, up to
        `MAX_PROMISE_S`.
        """
        wait_s = self.next_promise_s
        if wait_s > MAX_PROMISE_S:
            return MAX_PROMISE_S
        self._promised_until = self._next_promise_at()
        return wait_s

    def _next_promise_at(self) -> float:
        return max(self._promised_until + 1 / self._rate, self._upcoming_turn())

    def _upcoming_turn(self) -> float:
        """Return the time of the oldest turn that has not lapsed; it may be in the past."""
        late_s = self._timer.now() - self._next_turn_at - TURN_LIFE_S
        if late_s <= 0:
            return self._next_turn_at
        return self._next_turn_at + math.ceil(late_s * self._rate) / self._rate
