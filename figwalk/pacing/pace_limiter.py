"""Limits how many calls at once a process sends to a backend server that is new or has recovered.

The load that it answers for: all gateways find a new server idle at the same moment, and it is
slow at first (cold caches, new connections). Each gateway starts with one call, at a time of its
own, and sends more as fast as the answers show that the server keeps up. See
docs/design/pacing.md.
"""

from __future__ import annotations

import math
import random
from enum import Enum

import attrs

from figwalk.events import Event, EventLog
from figwalk.timer import Timer

NEW_LIMIT = 1.0
RECOVERED_LIMIT = 2.0  # Its first answer has arrived.
# At this limit a gateway no longer delays its calls: it seldom has more at one server.
FULL_LIMIT = 4.0
DECREASE_FACTOR = 0.5
# Gateways send their first calls to a new server spread over this time.
FIRST_CALL_SPREAD_S = 1.0
# After a failure, or a late answer to a single call, a server is tried again after this time,
# doubled with each further one.
FIRST_HOLD_S = 0.25
MAX_FAILED_HOLD_S = 2.0
MAX_LATE_HOLD_S = 1.0
MAX_SETBACKS = 10
# Caches are warm after a few seconds. Until then, times don't show how fast the server is.
WARM_UP_S = 5.0
# A server that turns slow this soon after its limit was lifted is limited again. Later, its learned
# speed decides how many calls it gets.
WATCH_S = 10.0


class PaceSignal(Enum):
    """What the end of a call says about the pace of a server."""

    ON_TIME = "on time"
    LATE = "late"
    FAILED = "failed"
    NONE = "none"


@attrs.define
class _Pace:
    """Limit of one server.

    Attributes:
        limit: Calls that this process may have there at once; infinite once it is lifted.
        threshold: Limit above which it grows by one call per round instead of per answer.
        began_at: Timer time at which the limit was set.
        open_at: Timer time from which calls may be sent.
        changed_at: Timer time of the last decrease, at first of the beginning. Calls sent earlier
            say nothing about the limit.
        setbacks: Holds without an answer on time between them.
        watched_until: Timer time until which late answers limit the server again.
    """

    limit: float
    began_at: float
    open_at: float
    changed_at: float
    threshold: float = math.inf
    setbacks: int = 0
    watched_until: float = math.inf
    calls: dict[object, float] = attrs.field(factory=dict)


class PaceLimiter:
    """Adaptive concurrency limits of the servers of one service.

    Servers that were there all along have none.

    Args:
        events: Event log.
        timer: Source of time.
        rng: Spreads the first calls of several processes; tests pass a seeded one.
    """

    def __init__(self, events: EventLog, timer: Timer, rng: random.Random) -> None:
        self._events = events
        self._timer = timer
        self._rng = rng
        self._paces: dict[str, _Pace] = {}

    @property
    def limited(self) -> int:
        """Number of servers with a limit."""
        return sum(not math.isinf(pace.limit) for pace in self._paces.values())

    @property
    def is_used(self) -> bool:
        """Whether any server has, or lately had, a limit."""
        return bool(self._paces)

    def is_limited(self, backend: str) -> bool:
        """Return whether a server has a limit."""
        pace = self._paces.get(backend)
        return pace is not None and not math.isinf(pace.limit)

    def is_warming_up(self, backend: str) -> bool:
        """Return whether a server has had its limit for a short time only."""
        if not self.is_limited(backend):
            return False
        return self._timer.now() - self._paces[backend].began_at < WARM_UP_S

    def begin_new(self, backend: str) -> None:
        """Limit a server that has just appeared."""
        delay_s = self._rng.uniform(0.0, FIRST_CALL_SPREAD_S)
        self._begin(backend, NEW_LIMIT, "new", delay_s)

    def begin_recovered(self, backend: str) -> None:
        """Limit a server that answers again after it was avoided."""
        self._begin(backend, RECOVERED_LIMIT, "recovered", 0.0)

    def begin_failing(self, backend: str) -> None:
        """Limit a server that fails most of its calls, unless it is limited already."""
        pace = self._paces.get(backend)
        if pace is None or math.isinf(pace.limit):
            self._begin(backend, NEW_LIMIT, "failing", FIRST_HOLD_S)

    def allows(self, backend: str, load: int = 0, slots: int = 1) -> bool:
        """Return whether a call may be sent to a server now.

        Args:
            backend: Id of the server.
            load: Calls of all processes that it is known to have.
            slots: Calls that it runs at once.
        """
        pace = self._paces.get(backend)
        if pace is None or math.isinf(pace.limit):
            return True
        if len(pace.calls) + 1 > pace.limit or load >= max(1, slots):
            return False
        return self._timer.now() >= pace.open_at

    def start(self, backend: str, call: object) -> None:
        """Record that a call is being sent."""
        pace = self._paces.get(backend)
        if pace is not None:
            pace.calls[call] = self._timer.now()

    def finish(self, backend: str, call: object, signal: PaceSignal) -> None:
        """Record the end of a call, and adapt the limit to it."""
        pace = self._paces.get(backend)
        if pace is None:
            return
        sent_at = pace.calls.pop(call, -math.inf)
        now = self._timer.now()
        if math.isinf(pace.limit):
            if now >= pace.watched_until and not pace.calls:
                del self._paces[backend]
            elif signal is PaceSignal.LATE and now < pace.watched_until:
                self._begin(backend, FULL_LIMIT * DECREASE_FACTOR, "slow again", 0.0)
        elif signal is PaceSignal.ON_TIME:
            self._increase(backend, pace)
        elif signal is PaceSignal.LATE and sent_at >= pace.changed_at:
            if pace.limit <= 1.0:
                # A single call is not too many; the server itself is still slow.
                self._hold(pace, MAX_LATE_HOLD_S)
            else:
                pace.limit = pace.threshold = max(1.0, pace.limit * DECREASE_FACTOR)
            pace.changed_at = now
        elif signal is PaceSignal.FAILED:
            self._hold(pace, MAX_FAILED_HOLD_S)
            pace.limit = pace.threshold = 1.0
            pace.changed_at = now

    def forget(self, backend: str) -> None:
        """Drop the limit of a server that has left."""
        self._paces.pop(backend, None)

    def _begin(self, backend: str, limit: float, reason: str, delay_s: float) -> None:
        now = self._timer.now()
        known = self._paces.get(backend)
        calls = known.calls if known is not None else {}
        self._paces[backend] = _Pace(limit, now, now + delay_s, now, calls=calls)
        self._events.record(Event.PACE_LIMITED, backend=backend, reason=reason)

    def _hold(self, pace: _Pace, longest_s: float) -> None:
        hold_s = min(longest_s, FIRST_HOLD_S * 2**pace.setbacks)
        pace.open_at = self._timer.now() + hold_s
        pace.setbacks = min(pace.setbacks + 1, MAX_SETBACKS)

    def _increase(self, backend: str, pace: _Pace) -> None:
        pace.setbacks = 0
        pace.limit += 1.0 if pace.limit < pace.threshold else 1.0 / pace.limit
        if pace.limit >= FULL_LIMIT:
            now = self._timer.now()
            pace.limit = math.inf
            pace.watched_until = now + WATCH_S
            self._events.record(
                Event.PACE_LIFTED, backend=backend, took_s=round(now - pace.began_at, 3)
            )
