"""Tells a backend server that is down from one that has many connections to open."""

from __future__ import annotations

import math

from figwalk.timer import Timer

# Two calls without a connection that are further apart are no evidence together.
UNCONNECTED_MAX_AGE_S = 5.0


class ConnectionDoubt:
    """Calls of one process to a backend server that got no connection in time.

    Args:
        timer: Source of time.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._unconnected_at = -math.inf
        self._open_failed = False  # Whether a call on an open connection failed since the answer.

    @property
    def is_raised(self) -> bool:
        """Whether a call recently got no connection and none was answered since."""
        return self._timer.now() - self._unconnected_at <= UNCONNECTED_MAX_AGE_S

    def clear(self) -> None:
        """Record that the backend server answered."""
        self._unconnected_at, self._open_failed = -math.inf, False

    def record_open_failure(self) -> None:
        """Record that a call on an open connection failed."""
        self._open_failed = True

    def confirms_down(self, sent_at: float, last_answer_at: float) -> bool:
        """Return whether a call that got no connection shows that the backend server is down.

        It counts as down if it has not answered since the call began, and calls on open connections
        failed as well, or the call began after another one had got no connection.

        Args:
            sent_at: Timer time at which the call began.
            last_answer_at: Timer time of the latest answer.
        """
        if last_answer_at > sent_at:
            return False
        if not self.is_raised:
            self._unconnected_at = self._timer.now()
        return sent_at >= self._unconnected_at or self._open_failed
