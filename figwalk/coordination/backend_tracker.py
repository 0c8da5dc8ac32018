"""Tracks the state of a backend server from the calls that one process sends to it."""

from __future__ import annotations

from enum import Enum

import attrs

from figwalk.events import Event, EventLog
from figwalk.state.backend_directory import BackendEntry
from figwalk.timer import Timer

# The weight of failures halves in this time, so that a backend server that has recovered soon gets
# calls again.
FAILURE_HALF_LIFE_S = 2.0
# Without these assumed calls, one failure among few calls would count too much.
FAILURE_PRIOR_CALLS = 2.0
FIRST_AVOIDANCE_S = 0.25
MAX_AVOIDANCE_S = 2.0
# Backend servers answer or send a first event within a few hundred milliseconds. One that leaves
# all calls unanswered for this time counts as down.
RESPONSE_TIMEOUT_S = 0.6
# A reported load that is older than this no longer describes the backend server.
LOAD_MAX_AGE_S = 0.5
ANSWER_TIME_WEIGHT = 0.1
ASSUMED_ANSWER_S = 0.03


class AttemptOutcome(Enum):
    """How an attempt to call a backend server ended."""

    ANSWERED = "answered"
    FAILED = "failed"  # The answer reports that the work failed.
    REFUSED = "refused"  # The answer reports that the work was not begun.
    BROKEN = "broken"  # The call was sent and got no valid answer.
    UNREACHABLE = "unreachable"  # Nothing was sent.
    SILENT = "silent"  # No answer arrived before the timeout.
    CANCELLED = "cancelled"  # The caller disconnected, or the call was abandoned otherwise.


_FAILURE_OUTCOMES = frozenset({AttemptOutcome.FAILED, AttemptOutcome.BROKEN, AttemptOutcome.SILENT})
_DOWN_OUTCOMES = frozenset({AttemptOutcome.UNREACHABLE, AttemptOutcome.SILENT})


@attrs.frozen
class ReportedLoad:
    """Load that a backend server reported in an answer, over all its callers.

    Attributes:
        running: Calls in progress.
        waiting: Calls in its queue.
        slots: Calls that it can process at once.
        slowdown: Seconds that work takes on its VM at this moment as a multiple of the usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@attrs.define
class _SentCall:
    sent_at: float
    answered: bool = False


class BackendTracker:
    """Calls in flight, failures and reported load of one backend server.

    Args:
        entry: Registration of the backend server.
        timer: Source of time.
        events: Log in which avoidance is recorded.
    """

    def __init__(self, entry: BackendEntry, timer: Timer, events: EventLog) -> None:
        self._entry = entry
        self._timer = timer
        self._events = events
        self._calls: dict[object, _SentCall] = {}
        self._answered = 0.0
        self._failed = 0.0
        self._decayed_at = timer.now()
        self._down_count = 0
        self._avoided_until = 0.0
        self._last_answer_at = timer.now()
        self._load: ReportedLoad | None = None
        self._load_at = 0.0
        self._in_flight_at_load = 0
        self._answer_s = ASSUMED_ANSWER_S

    @property
    def entry(self) -> BackendEntry:
        """The latest registration."""
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
        """Seconds since the backend server reported its load, or None if it never did."""
        return self._timer.now() - self._load_at if self._load else None

    def update(self, entry: BackendEntry) -> None:
        """Replace the registration with a newer one."""
        self._entry = entry

    def start(self, call: object) -> None:
        """Record that a call is being sent."""
        self._calls[call] = _SentCall(self._timer.now())

    def record_answer(self, call: object, load: ReportedLoad | None) -> None:
        """Record the start of an answer, with the load that it reports."""
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
            # This includes the answered call, which runs until its whole answer has arrived.
            self._in_flight_at_load = len(self._calls)

    def record_data(self) -> None:
        """Record that a part of an answer arrived, which shows that the backend server runs."""
        self._last_answer_at = self._timer.now()

    def finish(self, call: object, outcome: AttemptOutcome) -> None:
        """Record the end of a call.

        A backend server that has answered others since the call was sent was too slow for this one,
        but is not silent: the call counts as failed, and the backend server is not avoided.
        """
        sent = self._calls.pop(call, None)
        self._decay()
        if outcome is AttemptOutcome.ANSWERED:
            self._answered += 1
        elif outcome in _FAILURE_OUTCOMES:
            self._failed += 1
        if outcome is AttemptOutcome.SILENT and self._has_answered_since(sent):
            return
        if outcome in _DOWN_OUTCOMES:
            self._record_down(outcome)

    def suspicion(self) -> tuple[bool, int, float]:
        """Return how likely the backend server is down, as a sort key; the least likely is first.

        It orders backend servers where all that could take a call are avoided.
        """
        return (self._is_unresponsive(self._timer.now()), self._down_count, self.failure_share())

    def failure_share(self) -> float:
        """Return the share of recent calls that failed, 0 to 1."""
        self._decay()
        return self._failed / (self._answered + self._failed + FAILURE_PRIOR_CALLS)

    def is_avoided(self) -> bool:
        """Return whether calls should go to other backend servers now, if there are any.

        After an avoidance ends, one call at a time tests whether the backend server has recovered.
        Streams that it still sends don't count as tests, since they may last long.
        """
        now = self._timer.now()
        if now < self._avoided_until or self._is_unresponsive(now):
            return True
        return self._down_count > 0 and any(not call.answered for call in self._calls.values())

    def estimate_load(self) -> int:
        """Return the calls that the backend server has now, from all callers.

        This is the reported load, corrected by the calls that this process has sent and finished
        since. If the report is too old, only the calls of this process count.
        """
        own = len(self._calls)
        if self._load is None or self._timer.now() - self._load_at > LOAD_MAX_AGE_S:
            return own
        reported = self._load.running + self._load.waiting
        return max(own, reported + own - self._in_flight_at_load)

    def _is_unresponsive(self, now: float) -> bool:
        if now - self._last_answer_at < RESPONSE_TIMEOUT_S:
            return False
        return any(
            not call.answered and now - call.sent_at >= RESPONSE_TIMEOUT_S
            for call in self._calls.values()
        )

    def _has_answered_since(self, sent: _SentCall | None) -> bool:
        return sent is not None and self._last_answer_at > sent.sent_at

    def _record_down(self, outcome: AttemptOutcome) -> None:
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
        self._answered *= factor
        self._failed *= factor
        self._decayed_at = now
