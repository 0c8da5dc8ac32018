"""Limits retries in a sliding window, with a share of the limit for each process."""

from __future__ import annotations

from collections import deque

from figwalk.state.gateway_settings import RetrySettings
from figwalk.timer import Timer

# Share of the ratio that a process uses. The rest is a reserve, since each process counts in its
# own window, and the requests of a caller are spread unevenly.
USABLE_RATIO_SHARE = 0.7


class WindowedRetryBudget:
    """Allows retries up to a ratio of the first attempts in a window, plus a slack.

    The limit holds over all processes if each stays within its share: the ratio applies to the
    process's own requests, and the slack is divided by the number of processes.

    Args:
        settings: The limit over all processes.
        timer: Source of time.
        processes: Number of processes that share the slack.
    """

    def __init__(self, settings: RetrySettings, timer: Timer, *, processes: int) -> None:
        self._timer = timer
        self._window_s = settings.window_s
        self._ratio = settings.ratio * USABLE_RATIO_SHARE
        self._slack = settings.slack / max(1, processes)
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    @property
    def left(self) -> float:
        """Retries that are allowed now."""
        self._expire()
        return self._slack + self._ratio * len(self._first_attempts) - len(self._retries)

    def record_first_attempt(self) -> None:
        """Count a request that is sent for the first time."""
        self._first_attempts.append(self._timer.now())

    def allows(self, count: int) -> bool:
        """Return whether some retries are allowed now; none always are."""
        return count == 0 or self.left >= count

    def try_retries(self, count: int = 1) -> bool:
        """Use some retries of the budget if it allows all of them, and return whether it did."""
        if not self.allows(count):
            return False
        self._retries.extend([self._timer.now()] * count)
        return True

    def _expire(self) -> None:
        window_start = self._timer.now() - self._window_s
        for times in (self._first_attempts, self._retries):
            while times and times[0] < window_start:
                times.popleft()


class ServiceRetryBudgets:
    """One budget for each service, since the limit holds for each by itself.

    Args:
        settings: The limit over all processes, for each service.
        timer: Source of time.
        processes: Number of processes that share the slack.
    """

    def __init__(self, settings: RetrySettings, timer: Timer, *, processes: int) -> None:
        self._settings = settings
        self._timer = timer
        self._processes = processes
        self._budgets: dict[str, WindowedRetryBudget] = {}

    def of_service(self, service: str) -> WindowedRetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = WindowedRetryBudget(
                self._settings, self._timer, processes=self._processes
            )
        return budget
