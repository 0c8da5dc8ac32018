"""What one process knows of a backend server from the calls that it sends there."""

from __future__ import annotations

from enum import Enum

import attrs

from figwalk.events import Event, EventLog
from figwalk.state.backend_directory import BackendEntry
from figwalk.timer import Timer

# Failures count half after this time, so that a backend server that recovered is used again soon.
FAILURE_HALF_LIFE_S = 2.0
# One failed call among few says little.
FAILURE_PRIOR_CALLS = 2.0
FIRST_AVOIDANCE_S = 0.25
MAX_AVOIDANCE_S = 2.0
# Backend servers answer or send a first event within a few hundred milliseconds. One that answers
# none of the calls of this time is taken as down.
SILENCE_S = 0.6
# Load that a backend server stated longer ago than this no longer says how it is now.
LOAD_MAX_AGE_S = 0.5
ANSWER_TIME_WEIGHT = 0.1
ASSUMED_ANSWER_S = 0.03


class AttemptOutcome(Enum):
    """How an attempt at a backend server ended."""

    ANSWERED = "answered"
    FAILED = "failed"  # An answer that says that the work failed.
    REFUSED = "refused"  # An answer that says that the work was not begun.
    BROKEN = "broken"  # No valid answer after the call was sent.
    UNREACHABLE = "unreachable"  # Nothing was sent.
    SILENT = "silent"  # No answer within the time that this process waits.
    CANCELLED = "cancelled"  # The caller left or the call was given up for another reason.


_BAD = frozenset({AttemptOutcome.FAILED, AttemptOutcome.BROKEN, AttemptOutcome.SILENT})
_DOWN = frozenset({AttemptOutcome.UNREACHABLE, AttemptOutcome.SILENT})


@attrs.frozen
class StatedLoad:
    """Load that a backend server stated in an answer, over all its callers.

    Attributes:
        running: Calls being worked on.
        waiting: Calls in its queue.
        slots: Calls that it works on at once.
    """

    running: int
    waiting: int
    slots: int


@attrs.define
class _SentCall:
    sent_at: float
    answered: bool = False


class BackendTracker:
    """Calls in flight, failures and stated load of one backend server.

    Args:
        entry: Registration of the backend server.
        timer: Source of time.
        events: Where avoidance is recorded.
    """

    def __init__(self, entry: BackendEntry, timer: Timer, events: EventLog) -> None:
        self._entry = entry
        self._timer = timer
        self._events = events
        self._calls: dict[object, _SentCall] = {}
        self._good = 0.0
        self._bad = 0.0
        self._decayed_at = timer.now()
        self._down_count = 0
        self._avoided_until = 0.0
        self._last_answer_at = timer.now()
        self._load: StatedLoad | None = None
        self._load_at = 0.0
        self._in_flight_at_load = 0
        self._answer_s = ASSUMED_ANSWER_S

    @property
    def entry(self) -> BackendEntry:
        """The newest registration."""
        return self._entry

    @property
    def in_flight(self) -> int:
        """Calls of this process that have not ended."""
        return len(self._calls)

    @property
    def answer_s(self) -> float:
        """Mean seconds from sending a call to its answer."""
        return self._answer_s

    @property
    def load_age_s(self) -> float | None:
        """Seconds since the backend server stated its load, or None if it never did."""
        return self._timer.now() - self._load_at if self._load else None

    def update(self, entry: BackendEntry) -> None:
        """Take over a newer registration."""
        self._entry = entry

    def start(self, call: object) -> None:
        """Note that a call is being sent."""
        self._calls[call] = _SentCall(self._timer.now())

    def note_answer(self, call: object, load: StatedLoad | None) -> None:
        """Note the start of an answer, with the load that it states."""
        now = self._timer.now()
        sent = self._calls.get(call)
        if sent is not None and not sent.answered:
            sent.answered = True
            self._answer_s += ANSWER_TIME_WEIGHT * (now - sent.sent_at - self._answer_s)
        self._last_answer_at = now
        if self._down_count:
            self._down_count = 0
            self._events.record(Event.BACKEND_USED_AGAIN, backend=self._entry.backend)
        if load is not None:
            self._load = load
            self._load_at = now
            # The call that was answered is no longer running when its whole answer is here.
            self._in_flight_at_load = len(self._calls)

    def finish(self, call: object, outcome: AttemptOutcome) -> None:
        """Note the end of a call."""
        self._calls.pop(call, None)
        self._decay()
        if outcome is AttemptOutcome.ANSWERED:
            self._good += 1
        elif outcome in _BAD:
            self._bad += 1
        if outcome in _DOWN:
            self._note_down(outcome)

    def failure_share(self) -> float:
        """Return the share of recent calls that failed, 0 to 1."""
        self._decay()
        return self._bad / (self._good + self._bad + FAILURE_PRIOR_CALLS)

    def is_avoided(self) -> bool:
        """Return whether no call should be sent there now, as far as there is another choice.

        After an avoidance ends, one call at a time tries whether the backend server is back.
        """
        now = self._timer.now()
        if now < self._avoided_until or self._is_silent(now):
            return True
        return self._down_count > 0 and bool(self._calls)

    def estimate_load(self) -> int:
        """Return the calls that the backend server has now, of all callers.

        It is what the backend server stated, corrected by what this process sent and got back
        since; with an old statement, only what this process has there.
        """
        own = len(self._calls)
        if self._load is None or self._timer.now() - self._load_at > LOAD_MAX_AGE_S:
            return own
        stated = self._load.running + self._load.waiting
        return max(own, stated + own - self._in_flight_at_load)

    def _is_silent(self, now: float) -> bool:
        if now - self._last_answer_at < SILENCE_S:
            return False
        return any(
            not call.answered and now - call.sent_at >= SILENCE_S for call in self._calls.values()
        )

    def _note_down(self, outcome: AttemptOutcome) -> None:
        self._down_count += 1
        hold_s = min(MAX_AVOIDANCE_S, FIRST_AVOIDANCE_S * 2 ** (self._down_count - 1))
        self._avoided_until = self._timer.now() + hold_s
        self._events.record(
            Event.BACKEND_AVOIDED,
            backend=self._entry.backend,
            reason=outcome.value,
            failures=self._down_count,
            hold_s=hold_s,
        )

    def _decay(self) -> None:
        now = self._timer.now()
        factor = 0.5 ** ((now - self._decayed_at) / FAILURE_HALF_LIFE_S)
        self._good *= factor
        self._bad *= factor
        self._decayed_at = now
