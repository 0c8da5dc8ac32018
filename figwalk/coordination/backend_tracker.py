"""Tracks the state of a backend server from the calls that one process sends to it."""

from __future__ import annotations

import math
from enum import Enum

import attrs

from figwalk.events import Event, EventLog
from figwalk.pacing.reported_slowdown import ReportedSlowdown
from figwalk.pacing.service_pacing import ServicePacing
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
USUAL_SLOWDOWN = 1.0
# Two calls without a connection that are further apart are no evidence together.
UNCONNECTED_MAX_AGE_S = 5.0
ANSWER_TIME_WEIGHT = 0.1
ASSUMED_ANSWER_S = 0.03


class AttemptOutcome(Enum):
    """How an attempt to call a backend server ended."""

    ANSWERED = "answered"
    FAILED = "failed"  # The answer reports that the work failed.
    REFUSED = "refused"  # The answer reports that the work was not begun.
    BROKEN = "broken"  # The call was sent and got no valid answer.
    UNREACHABLE = "unreachable"  # Nothing was sent, since no connection can be opened.
    UNCONNECTED = "unconnected"  # Nothing was sent, since no connection was opened in time.
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
    slowdown: float = USUAL_SLOWDOWN


@attrs.define
class _SentCall:
    sent_at: float
    answered: bool = False
    # What the time of work is compared with, when the call left this process, and its result.
    kind: str | None = None
    left_at: float = 0.0
    work_s: float = 0.0


class BackendTracker:
    """Calls in flight, failures and reported load of one backend server.

    Args:
        entry: Registration of the backend server.
        timer: Source of time.
        events: Log in which avoidance is recorded.
        pacing: State that the trackers of the service share; by default one of its own.
        network_s: Network round trip to the backend server, in seconds.
    """

    def __init__(
        self,
        entry: BackendEntry,
        timer: Timer,
        events: EventLog,
        *,
        pacing: ServicePacing | None = None,
        network_s: float = 0.0,
    ) -> None:
        self._entry = entry
        self._timer = timer
        self._events = events
        self._calls: dict[object, _SentCall] = {}
        self._answered = 0.0
        self._failed = 0.0
        self._decayed_at = timer.now()
        self._down_count = 0
        self._unconnected_at = -math.inf
        self._open_failed = False  # Whether a call on an open connection failed since the answer.
        self._has_connection = True
        self._avoided_until = 0.0
        self._last_answer_at = timer.now()
        self._load: ReportedLoad | None = None
        self._load_at = 0.0
        self._in_flight_at_load = 0
        self._answer_s = ASSUMED_ANSWER_S
        self._pacing = pacing or ServicePacing.create(timer)
        self._network_s = network_s
        self._slowdown = ReportedSlowdown(timer)

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
    def last_answer_at(self) -> float:
        """Timer time of the latest start of an answer; before the first one, of the first sight."""
        return self._last_answer_at

    @property
    def load_age_s(self) -> float | None:
        """Seconds since the backend server reported its load, or None if it never did."""
        return self._timer.now() - self._load_at if self._load else None

    @property
    def has_connection(self) -> bool:
        """Whether a call would probably find an idle connection."""
        return self._has_connection

    def set_connected(self, connected: bool) -> None:
        """Set whether a call would probably find an idle connection."""
        self._has_connection = connected

    @property
    def network_s(self) -> float:
        """Network round trip to the backend server, in seconds."""
        return self._network_s

    @property
    def slowdown(self) -> float:
        """Seconds of work at this moment as a multiple of the server's own usual."""
        return self._slowdown.factor

    @property
    def speed_factor(self) -> float:
        """Seconds of work as a multiple of the service's usual, apart from short spells."""
        return self._pacing.speeds.factor(self._entry.backend)

    @property
    def extra_work_s(self) -> float:
        """Seconds by which a call is predicted to take longer than usual at the service."""
        return (self.speed_factor * self.slowdown - 1.0) * self._pacing.speeds.mean_s

    @property
    def pacing(self) -> ServicePacing:
        """State that the trackers of the service share."""
        return self._pacing

    @property
    def is_speed_known(self) -> bool:
        """Whether enough recent answers show how fast the backend server is."""
        return self._pacing.speeds.is_known(self._entry.backend)

    def update(self, entry: BackendEntry) -> None:
        """Replace the registration with a newer one."""
        self._entry = entry

    def start(self, call: object) -> None:
        """Record that a call is being sent."""
        self._calls[call] = _SentCall(self._timer.now())

    def record_sent(self, call: object, kind: str | None) -> None:
        """Record that a call leaves on an open connection.

        Args:
            call: The call.
            kind: Kind of work whose times are comparable, or None if they depend on the call.
        """
        sent = self._calls.get(call)
        # With a queue, the time of the answer would not show the time of the work.
        if sent is not None and self.estimate_load() <= self._entry.slots:
            sent.kind = kind
            sent.left_at = self._timer.now()

    def record_answer(
        self, call: object, load: ReportedLoad | None, *, succeeded: bool = True
    ) -> None:
        """Record the start of an answer.

        Args:
            call: The call.
            load: Load that the answer reports, or None.
            succeeded: Whether the work was done. A refusal or failure takes no time.
        """
        now = self._timer.now()
        sent = self._calls.get(call)
        if load is not None:
            self._slowdown.record(load.slowdown)
            self._pacing.states_slowdown |= load.slowdown != USUAL_SLOWDOWN
        if sent is not None and not sent.answered:
            sent.answered = True
            self._answer_s += ANSWER_TIME_WEIGHT * (now - sent.sent_at - self._answer_s)
            if succeeded and (load is None or load.waiting == 0):
                sent.work_s = now - sent.left_at - self._network_s
        self._last_answer_at = now
        self._unconnected_at, self._open_failed = -math.inf, False
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
            if sent is not None:
                self._record_work(sent)
        elif outcome in _FAILURE_OUTCOMES:
            self._failed += 1
        self._open_failed |= outcome in (AttemptOutcome.BROKEN, AttemptOutcome.SILENT)
        if outcome is AttemptOutcome.SILENT and self._has_answered_since(sent):
            return
        is_down = outcome in _DOWN_OUTCOMES
        if outcome is AttemptOutcome.UNCONNECTED and sent is not None:
            is_down = self._confirms_down(sent)
        if is_down:
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
        So does one after a call got no connection.
        """
        now = self._timer.now()
        if now < self._avoided_until or self._is_unresponsive(now):
            return True
        if self._is_in_doubt():
            return any(not call.answered for call in self._calls.values())
        return self._down_count > 0 and bool(self._calls)

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

    def _confirms_down(self, sent: _SentCall) -> bool:
        """Return whether a call that got no connection shows that the backend server is down.

        It may just have many connections to open. It counts as down if it has not answered since
        the call began, and was down before, or calls on open connections failed as well, or the
        call began after another one had got no connection.
        """
        if self._last_answer_at > sent.sent_at:
            return False
        if not self._is_in_doubt():
            self._unconnected_at = self._timer.now()
        is_second = sent.sent_at >= self._unconnected_at
        return is_second or self._down_count > 0 or self._open_failed

    def _record_work(self, sent: _SentCall) -> None:
        # While a server is cold, its times don't show how fast it is later.
        if sent.kind is not None and sent.work_s > 0 and self._entry.cold_s <= 0:
            seconds = sent.work_s / self.slowdown
            self._pacing.speeds.record(self._entry.backend, sent.kind, seconds)

    def _is_in_doubt(self) -> bool:
        """Return whether a call recently got no connection and none was answered since."""
        return self._timer.now() - self._unconnected_at <= UNCONNECTED_MAX_AGE_S

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
