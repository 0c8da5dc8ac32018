"""Tells how many gateways share a limit, also while some of them can't be seen."""

from __future__ import annotations

import math

from figwalk.timer import Timer

# A gateway that is cut off from the agents beside engines may go on sending to backend servers. It
# keeps its share for this time, longer than cuts and restarts usually last.
SHARE_RETENTION_S = 60.0


class GatewayCount:
    """The largest number of gateways that was reported lately.

    Args:
        least: Number that is assumed if fewer are reported.
        timer: Source of time.
    """

    def __init__(self, least: int, timer: Timer) -> None:
        self._least = least
        self._timer = timer
        self._largest = 0
        self._reported_at = -math.inf

    @property
    def count(self) -> int:
        """Number of gateways that may be sending now."""
        return max(self._least, self._largest)

    def record(self, reported: int) -> None:
        """Record how many gateways are connected to an agent, 0 if no agent reports it."""
        now = self._timer.now()
        if reported >= self._largest or now - self._reported_at > SHARE_RETENTION_S:
            self._largest = reported
            self._reported_at = now
