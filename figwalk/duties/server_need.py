"""Decides how many backend servers a service needs in an availability zone."""

from __future__ import annotations

import math
from collections import deque

import attrs

from figwalk.state.routing import Autoscaling

# Share of the slots in use above which calls soon wait for each other, and the share below which
# one server less would still do. The gap between them keeps a steady need from alternating.
UP_SHARE = 0.7
DOWN_SHARE = 0.5
# A need lasts at least this long before a server is ordered, so that bursts and waves of some
# seconds cause no order; longer where a server takes longer to boot.
MIN_UP_S = 10.0
# A server that boots for some time has to be needed, or done without, for several times as long.
PAYBACK_BOOTS = 4.0
MIN_DOWN_S = 60.0
# Calls that queue up make the need look larger than it is, so that it is met in steps.
MAX_GROWTH = 2.0


@attrs.frozen
class ServerOrder:
    """A number of backend servers to order.

    Attributes:
        count: Desired number in the zone.
        reason: Reason, for logs.
    """

    count: int
    reason: str


class ServerNeed:
    """Decides the number of one service's backend servers in one zone.

    The load that it handles: calls from the gateways of the zone that fill the slots of the
    service's backend servers for tens of seconds, or leave them empty for minutes. Its input is
    the mean number of calls in flight in each usage window, which is some seconds old. Shorter
    bursts are left to queues and to other zones.

    Args:
        bounds: Smallest and largest number, and the time to boot.
        slots: Calls that one backend server runs at once.
    """

    def __init__(self, bounds: Autoscaling, slots: int) -> None:
        self._bounds = bounds
        self._slots = max(1, slots)
        self._up_s = max(MIN_UP_S, bounds.boot_s)
        self._down_s = max(MIN_DOWN_S, PAYBACK_BOOTS * bounds.boot_s)
        self._history: deque[tuple[float, float]] = deque()
        self._measured_since = math.inf
        self._changed_at = -math.inf

    def update(self, now: float, demand: float, desired: int) -> ServerOrder | None:
        """Return the number to order now, or None.

        Args:
            now: Time at the end of the window that was measured, in seconds.
            demand: Mean number of calls in flight in that window.
            desired: The number ordered last, or the present one if none was ordered.
        """
        if not self._history or now > self._history[-1][0]:
            self._history.append((now, demand))
        self._measured_since = min(self._measured_since, now)
        while self._history[0][0] < now - self._down_s:
            self._history.popleft()
        clamped = min(max(desired, self._bounds.min_servers), self._bounds.max_servers)
        if clamped != desired and self._lasted(now, self._up_s):
            return self._order(now, clamped, "bounds")
        lasting = min(demand for at, demand in self._history if at >= now - self._up_s)
        needed = math.ceil(lasting / (UP_SHARE * self._slots))
        needed = min(needed, math.floor(MAX_GROWTH * max(1, desired)), self._bounds.max_servers)
        if needed > desired and self._lasted(now, self._up_s) and self._rested(now, self._up_s):
            return self._order(now, needed, f"{lasting:.1f} calls in flight for {self._up_s:.0f} s")
        highest = max(demand for _, demand in self._history)
        enough = max(self._bounds.min_servers, math.ceil(highest / (DOWN_SHARE * self._slots)))
        if enough < desired and self._lasted(now, self._down_s) and self._rested(now, self._down_s):
            reason = f"at most {highest:.1f} calls in flight for {self._down_s:.0f} s"
            return self._order(now, desired - 1, reason)
        return None

    def _lasted(self, now: float, seconds: float) -> bool:
        return now - self._measured_since >= seconds

    def _rested(self, now: float, seconds: float) -> bool:
        return now - self._changed_at >= seconds

    def _order(self, now: float, count: int, reason: str) -> ServerOrder:
        self._changed_at = now
        return ServerOrder(count, reason)
