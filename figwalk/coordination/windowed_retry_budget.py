"""Limit of retries in a sliding window, shared out among processes that can't see each other."""

from __future__ import annotations

from collections import deque

from figwalk.timer import Timer

# The other processes' arrivals are counted in other windows than one's own, and a consumer's
# requests spread unevenly; this part of the ratio is kept back for it.
USED_SHARE_OF_RATIO = 0.7


class WindowedRetryBudget:
    """Allows retries up to a ratio of the first attempts of a window, and a slack.

    The bound holds over all processes if each keeps to its share: the ratio applies to each one's
    own requests, and the slack is divided by their number.

    Args:
        timer: Source of time.
        window_s: Length of the window in seconds.
        ratio: Retries for each first attempt in the window.
        slack: Retries beyond the ratio in a window, over all processes.
        processes: Number of processes that share the slack.
    """

    def __init__(
        self, timer: Timer, *, window_s: float, ratio: float, slack: float, processes: int
    ) -> None:
        self._timer = timer
        self._window_s = window_s
        self._ratio = ratio * USED_SHARE_OF_RATIO
        self._slack = slack / max(1, processes)
        self._first: deque[float] = deque()
        self._retries: deque[float] = deque()

    @property
    def left(self) -> float:
        """Retries allowed now."""
        self._drop_old()
        return self._slack + self._ratio * len(self._first) - len(self._retries)

    def note_first_attempt(self) -> None:
        """Count a request that is sent for the first time."""
        self._first.append(self._timer.now())

    def try_retry(self) -> bool:
        """Take one retry out of the budget; return whether it is allowed."""
        if self.left < 1:
            return False
        self._retries.append(self._timer.now())
        return True

    def _drop_old(self) -> None:
        horizon = self._timer.now() - self._window_s
        for times in (self._first, self._retries):
            while times and times[0] < horizon:
                times.popleft()
