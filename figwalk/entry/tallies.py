"""Request counts of one entry for operators: goodput, refusals, traffic between regions."""

from __future__ import annotations

from collections import Counter, deque

from figwalk.metrics import Metrics
from figwalk.timer import Timer

FIRST_TOKEN_TARGET_S = 1.7
TOKEN_GAP_TARGET_S = 0.053
GOODPUT_WINDOW_S = 60.0


class Tallies:
    """Counts answered and refused requests, and bytes between regions."""

    def __init__(self, metrics: Metrics, timer: Timer) -> None:
        self._metrics = metrics
        self._timer = timer
        self._answered = 0
        self._in_deadline = 0
        self._region_bytes = 0
        self._refusals: Counter[str] = Counter()
        self._recent: deque[float] = deque()
        self._started = timer.now()

    @property
    def answered(self) -> int:
        """Number of requests answered completely."""
        return self._answered

    @property
    def in_deadline(self) -> int:
        """Number of requests answered completely and in time."""
        return self._in_deadline

    @property
    def region_bytes(self) -> int:
        """Bytes of requests and answers that crossed regions."""
        return self._region_bytes

    @property
    def refusals(self) -> dict[str, int]:
        """Number of refused requests by refusal code."""
        return dict(self._refusals)

    @property
    def goodput_per_s(self) -> float:
        """Requests answered in time, per second, over the last minute."""
        self._drop_old()
        window_s = min(GOODPUT_WINDOW_S, max(1.0, self._timer.now() - self._started))
        return len(self._recent) / window_s

    def record_answered(self, *, in_time: bool) -> None:
        """Count a request that was answered completely.

        Args:
            in_time: Whether it met its deadline, or the targets for streams without one.
        """
        self._answered += 1
        self._metrics.count("answered")
        if in_time:
            self._in_deadline += 1
            self._metrics.count("answered_in_time")
            self._recent.append(self._timer.now())
            self._drop_old()

    def record_refusal(self, code: str) -> None:
        """Count a request that was refused with `code`."""
        self._refusals[code] += 1
        self._metrics.count(f"refused.{code}")

    def record_region_bytes(self, count: int) -> None:
        """Count bytes that crossed regions."""
        self._region_bytes += count
        self._metrics.count("region_bytes", count)

    def _drop_old(self) -> None:
        horizon = self._timer.now() - GOODPUT_WINDOW_S
        while self._recent and self._recent[0] < horizon:
            self._recent.popleft()
