"""Limits retries in any window of time, over several processes that may restart at any moment.

Load: every call fails, and is retried, while processes are killed, frozen, cut off and added. Each
process keeps to a part of the limit by itself, and assumes that a predecessor under its name has
just used up what that part allows.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from figwalk.state.gateway_settings import RetrySettings
from figwalk.timer import Timer

# Share of the ratio that a process uses. The rest is a reserve, since each process counts in its
# own window, and the requests of a caller are spread unevenly.
USABLE_RATIO_SHARE = 0.7
# A retry may reach its backend server this long after it was taken from the budget: it waits for a
# prefill, or in a cut link until the system aborts the connection.
MAX_ARRIVAL_DELAY_S = 2.0
# Share of the slack that can be used at once; the rest becomes available evenly over the window.
SLACK_BURST_SHARE = 0.5


class _SlackBucket:
    """Retries beyond the ratio: a token bucket, which is empty at the start of the process.

    Any window has at most a full bucket and what flows into it meanwhile, also across restarts.
    """

    def __init__(
        self,
        settings: RetrySettings,
        timer: Timer,
        *,
        processes: Callable[[], int],
        started_at: float,
    ) -> None:
        self._settings = settings
        self._timer = timer
        self._processes = processes
        self._tokens = 0.0
        self._filled_at = started_at

    @property
    def left(self) -> int:
        """Retries that the slack allows now."""
        self._fill()
        return int(self._tokens)

    def take(self, count: int) -> None:
        """Use some retries."""
        self._tokens -= count

    def _fill(self) -> None:
        share = self._settings.slack / max(1, self._processes())
        # A bucket for less than one retry would never allow any.
        capacity = max(SLACK_BURST_SHARE * share, min(1.0, share))
        period_s = self._settings.window_s + MAX_ARRIVAL_DELAY_S
        now = self._timer.now()
        flow = (share - capacity) / period_s * (now - self._filled_at)
        self._tokens = min(capacity, self._tokens + flow)
        self._filled_at = now


class WindowedRetryBudget:
    """Allows retries up to a ratio of the first attempts in a window, plus a slack.

    The limit holds over all processes if each stays within its share: the ratio applies to the
    process's own requests, and the slack is divided by the number of processes.

    Args:
        settings: The limit over all processes.
        timer: Source of time.
        processes: Returns the number of processes that share the slack.
        started_at: Timer time at which the process started.
    """

    def __init__(
        self,
        settings: RetrySettings,
        timer: Timer,
        *,
        processes: Callable[[], int],
        started_at: float,
    ) -> None:
        self._settings = settings
        self._timer = timer
        self._started_at = started_at
        self._first_attempts: deque[float] = deque()
        # Times of the retries that the ratio allowed.
        self._retries: deque[float] = deque()
        self._slack = _SlackBucket(settings, timer, processes=processes, started_at=started_at)

    @property
    def left(self) -> int:
        """Retries that are allowed now."""
        return self._left_of_ratio() + self._slack.left

    def record_first_attempt(self) -> None:
        """Count a request that is sent for the first time."""
        now = self._timer.now()
        _drop_before(self._first_attempts, now - self._settings.window_s)
        self._first_attempts.append(now)

    def try_retries(self, count: int = 1) -> bool:
        """Use some retries of the budget if it allows all of them, and return whether it did."""
        if self.left < count:
            return False
        by_ratio = min(count, self._left_of_ratio())
        self._retries.extend([self._timer.now()] * by_ratio)
        self._slack.take(count - by_ratio)
        return True

    def _left_of_ratio(self) -> int:
        now = self._timer.now()
        retries_since = now - self._settings.window_s - MAX_ARRIVAL_DELAY_S
        _drop_before(self._first_attempts, now - self._settings.window_s)
        _drop_before(self._retries, retries_since)
        # A predecessor may have used the usable share in this time, which leaves the reserve.
        is_new = self._started_at > retries_since
        share = 1 - USABLE_RATIO_SHARE if is_new else USABLE_RATIO_SHARE
        allowed = self._settings.ratio * share * len(self._first_attempts)
        return max(0, int(allowed) - len(self._retries))


class ServiceRetryBudgets:
    """One budget for each service, since the limit holds for each by itself.

    Args:
        settings: The limit over all processes, for each service.
        timer: Source of time.
        processes: Returns the number of processes that share the slack.
    """

    def __init__(
        self, settings: RetrySettings, timer: Timer, *, processes: Callable[[], int]
    ) -> None:
        self._settings = settings
        self._timer = timer
        self._processes = processes
        self._started_at: float | None = None
        self._budgets: dict[str, WindowedRetryBudget] = {}

    def start(self) -> None:
        """Record that the process starts now; otherwise, it has started with the first use."""
        self._started_at = self._timer.now()

    def of_service(self, service: str) -> WindowedRetryBudget:
        """Return the budget of a service."""
        if self._started_at is None:
            self.start()
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = WindowedRetryBudget(
                self._settings,
                self._timer,
                processes=self._processes,
                started_at=self._started_at,
            )
        return budget


def _drop_before(times: deque[float], cutoff: float) -> None:
    while times and times[0] < cutoff:
        times.popleft()
