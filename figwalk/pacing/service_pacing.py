"""What one process knows of the speeds of a service's backend servers."""

from __future__ import annotations

import math

import attrs

from figwalk.pacing.speed_estimator import SpeedEstimator
from figwalk.timer import Timer

# A gateway that only ever calls the nearest server can't tell whether that one is slow. It sends a
# call to a server of unknown speed at most this often.
EXPLORE_PERIOD_S = 2.0


@attrs.define(eq=False)
class ServicePacing:
    """State that the trackers of one service share.

    Attributes:
        speeds: Learned speeds of the service's backend servers.
        states_slowdown: Whether any server of the service has stated an unusual slowdown. Only then
            are calls sent elsewhere to learn speeds.
    """

    speeds: SpeedEstimator
    states_slowdown: bool = False
    _timer: Timer = attrs.field(kw_only=True)
    _explored_at: float = attrs.field(default=-math.inf, init=False)

    @classmethod
    def create(cls, timer: Timer) -> ServicePacing:
        """Return the state of a service of which nothing is known yet."""
        return cls(SpeedEstimator(timer), timer=timer)

    def may_explore(self) -> bool:
        """Return whether a call may be sent to a server only to learn its speed."""
        is_due = self._timer.now() - self._explored_at >= EXPLORE_PERIOD_S
        return self.states_slowdown and is_due

    def record_exploration(self) -> None:
        """Record that a call is sent to a server only to learn its speed."""
        self._explored_at = self._timer.now()
