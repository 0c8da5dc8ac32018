"""What one process knows of the speeds and the pace of a service's backend servers."""

from __future__ import annotations

import math
import random

import attrs

from figwalk.events import EventLog
from figwalk.pacing.pace_limiter import PaceLimiter
from figwalk.pacing.speed_estimator import SpeedEstimator
from figwalk.timer import Timer

# A gateway that only ever calls the nearest server can't tell whether that one is slow. It sends a
# call to a server of unknown speed at most this often.
EXPLORE_PERIOD_S = 2.0
# Servers that a process finds in its first seconds were there before it.
SETTLING_S = 3.0


@attrs.define(eq=False)
class ServicePacing:
    """State that the trackers of one service share.

    Attributes:
        speeds: Learned speeds of the service's backend servers.
        limiter: Limits of servers that are new or have recovered.
        states_slowdown: Whether any server of the service has stated an unusual slowdown. Only then
            are calls sent elsewhere to learn speeds.
    """

    speeds: SpeedEstimator
    limiter: PaceLimiter
    states_slowdown: bool = False
    _timer: Timer = attrs.field(kw_only=True)
    _created_at: float = attrs.field(
        default=attrs.Factory(lambda pacing: pacing._timer.now(), takes_self=True), init=False
    )
    _explored_at: float = attrs.field(default=-math.inf, init=False)

    @classmethod
    def create(cls, events: EventLog, timer: Timer, rng: random.Random) -> ServicePacing:
        """Return the state of a service of which nothing is known yet."""
        return cls(SpeedEstimator(timer), PaceLimiter(events, timer, rng), timer=timer)

    def add(self, backend: str) -> None:
        """Record that a backend server appears; it is limited unless it was there before."""
        if self._timer.now() - self._created_at > SETTLING_S:
            self.limiter.begin_new(backend)

    def forget(self, backend: str) -> None:
        """Drop what is known of a backend server that has left or restarted."""
        self.speeds.forget(backend)
        self.limiter.forget(backend)

    def may_explore(self) -> bool:
        """Return whether a call may be sent to a server only to learn its speed."""
        is_due = self._timer.now() - self._explored_at >= EXPLORE_PERIOD_S
        return self.states_slowdown and is_due

    def record_exploration(self) -> None:
        """Record that a server to explore was looked for."""
        self._explored_at = self._timer.now()
