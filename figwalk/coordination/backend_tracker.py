"""Tracks the state of a backend server from the calls that one process sends to it."""

from __future__ import annotations

import random
from enum import Enum

import attrs

from figwalk.coordination.connection_doubt import ConnectionDoubt
from figwalk.coordination.failure_share import FailureShare
from figwalk.coordination.sent_call import SentCall
from figwalk.events import Event, EventLog
from figwalk.pacing.pace_limiter import PaceSignal
from figwalk.pacing.reported_slowdown import ReportedSlowdown
from figwalk.pacing.service_pacing import ServicePacing
from figwalk.state.backend_directory import BackendEntry
from figwalk.timer import Timer

FIRST_AVOIDANCE_S = 0.25
MAX_AVOIDANCE_S = 2.0
# Backend servers answer or send a first event within a few hundred milliseconds. One that leaves
# all calls unanswered for this time counts as down.
RESPONSE_TIMEOUT_S = 0.6
# A reported load that is older than this no longer describes the backend server.
LOAD_MAX_AGE_S = 0.5
USUAL_SLOWDOWN = 1.0
# A server that fails more calls than this share is limited to few calls at once.
FAILING_SHARE = 0.5
# Seconds that a call should rather wait elsewhere than go to a server that is avoided, which is as
# bad as one that fails all its calls, or to one that has as many calls as it may have.
AVOIDED_COST_S = 1.0
LIMITED_COST_S = 0.1
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
        self._calls: dict[object, SentCall] = {}
        self._failures = FailureShare(timer)
        self._down_count = 0
        self._doubt = ConnectionDoubt(timer)
        self._has_connection = True
        self._avoided_until = 0.0
        self._last_answer_at = timer.now()
        self._load: ReportedLoad | None = None
        self._load_at = 0.0
        self._in_flight_at_load = 0
        self._answer_s = ASSUMED_ANSWER_S
        self._pacing = pacing or ServicePacing.create(events, timer, random.Random())
        self._network_s = network_s
        self._keep_out_cost_s = 0.0
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
        speeds = self._pacing.speeds
        factor = speeds.factor(self._entry.backend) * self._slowdown.factor
        return (factor - 1.0) * speeds.mean_s

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
        self._calls[call] = SentCall(self._timer.now())
        self._pacing.limiter.start(self._entry.backend, call)

    def record_sent(
        self, call: object, kind: str | None, *, expected_s: float | None = None
    ) -> None:
        """Record that a call leaves on an open connection.

        Args:
            call: The call.
            kind: Kind of work whose times are comparable, or None if they depend on the call.
            expected_s: Seconds until its answer, as predicted, or None if `kind` tells them.
        """
        sent = self._calls.get(call)
        if sent is None:
            return
        sent.left_at = self._timer.now()
        sent.expected_s = expected_s
        if kind is not None:
            usual_s = self._pacing.speeds.usual_s(kind)
            if usual_s is not None:
                sent.expected_s = usual_s * max(1.0, self.speed_factor)
        # With a queue, the time of the answer would not show the time of the work.
        if self.estimate_load() <= self._entry.slots:
            sent.kind = kind

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
            if succeeded and sent.left_at is not None:
                took_s = now - sent.left_at - self._network_s
                sent.signal = sent.judge(took_s, self.slowdown)
                sent.work_s = took_s if load is None or load.waiting == 0 else 0.0
        self._last_answer_at = now
        self._doubt.clear()
        if self._down_count:
            self._down_count = 0
            self._events.record(Event.BACKEND_USED_AGAIN, backend=self._entry.backend)
            self._pacing.limiter.begin_recovered(self._entry.backend)
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
        if outcome is AttemptOutcome.ANSWERED:
            self._failures.record_answer()
            if sent is not None:
                self._record_work(sent)
        elif outcome in _FAILURE_OUTCOMES:
            self._failures.record_failure()
            if self.failure_share() > FAILING_SHARE:
                self._pacing.limiter.begin_failing(self._entry.backend)
            if outcome is not AttemptOutcome.FAILED:
                self._doubt.record_open_failure()
        is_down = self._shows_down(sent, outcome)
        if is_down:
            self._record_down(outcome)
        self._pacing.limiter.finish(
            self._entry.backend, call, self._find_signal(sent, outcome, is_down=is_down)
        )

    def failure_share(self) -> float:
        """Return the share of recent calls that failed, 0 to 1."""
        return self._failures.share

    def is_avoided(self) -> bool:
        """Return whether calls should go to other backend servers now, if there are any.

        After an avoidance ends, one call at a time tests whether the backend server has recovered.
        So does one after a call got no connection. Streams that it still sends don't count as
        tests, since they may last long.
        """
        now = self._timer.now()
        if now < self._avoided_until or self._is_unresponsive(now):
            return True
        is_tested = self._down_count > 0 or self._doubt.is_raised
        return is_tested and any(not call.answered for call in self._calls.values())

    @property
    def is_known_down(self) -> bool:
        """Whether a process beside the backend server says that it is down."""
        return False

    @property
    def newest_start_ms(self) -> int:
        """Wall-clock milliseconds of the newest start that is known, registered or not."""
        return self.entry.born_ms

    @property
    def has_started_anew(self) -> bool:
        """Whether the backend server is known to run since later than its registration says."""
        return 0 < self.entry.born_ms < self.newest_start_ms

    def is_kept_out(self) -> bool:
        """Return whether calls should go elsewhere now: it is avoided, or limited without room."""
        self._keep_out_cost_s = 0.0
        if self.is_avoided():
            self._keep_out_cost_s = self._avoided_cost_s()
        elif self._pacing.limiter.is_used and self._is_limited():
            self._keep_out_cost_s = LIMITED_COST_S
        return self._keep_out_cost_s > 0

    @property
    def keep_out_cost_s(self) -> float:
        """Seconds of delay elsewhere that are better than a call here, by the latest check.

        They rise with the evidence that the backend server is down.
        """
        return self._keep_out_cost_s

    def suspicion(self) -> tuple[float, float, float]:
        """Return a sort key of kept-out servers, with those most likely to work first."""
        left_s = self._timer.left_s(self._avoided_until)
        return (self._keep_out_cost_s, self.failure_share(), left_s)

    def _avoided_cost_s(self) -> float:
        hold_s = self._hold_s() if self._down_count else 0.0
        if self._is_unresponsive(self._timer.now()):
            hold_s += MAX_AVOIDANCE_S
        return AVOIDED_COST_S + hold_s

    def _is_limited(self) -> bool:
        backend, limiter = self._entry.backend, self._pacing.limiter
        if not limiter.is_limited(backend):
            return False
        return not limiter.allows(backend, self.estimate_load(), self._entry.slots)

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

    def _shows_down(self, sent: SentCall | None, outcome: AttemptOutcome) -> bool:
        if outcome is AttemptOutcome.UNCONNECTED and sent is not None:
            # After other evidence, one call without a connection is enough.
            confirmed = self._doubt.confirms_down(sent.sent_at, self._last_answer_at)
            return confirmed or (self._down_count > 0 and not self._has_answered_since(sent))
        if outcome is AttemptOutcome.SILENT and self._has_answered_since(sent):
            return False
        return outcome in _DOWN_OUTCOMES

    def _find_signal(
        self, sent: SentCall | None, outcome: AttemptOutcome, *, is_down: bool
    ) -> PaceSignal:
        """Return what the end of a call says about the pace of the backend server."""
        if outcome is AttemptOutcome.SILENT and not is_down:
            return PaceSignal.LATE
        if is_down or outcome in _FAILURE_OUTCOMES:
            return PaceSignal.FAILED
        if outcome is AttemptOutcome.ANSWERED and sent is not None:
            return sent.signal
        return PaceSignal.NONE

    def _record_work(self, sent: SentCall) -> None:
        # While a server is cold, its times don't show how fast it is later.
        if self._entry.cold_s > 0 or self._pacing.limiter.is_warming_up(self._entry.backend):
            return
        if sent.kind is not None and sent.work_s > 0:
            seconds = sent.work_s / self.slowdown
            self._pacing.speeds.record(self._entry.backend, sent.kind, seconds)

    def _is_unresponsive(self, now: float) -> bool:
        if now - self._last_answer_at < RESPONSE_TIMEOUT_S:
            return False
        return any(
            not call.answered and now - call.sent_at >= RESPONSE_TIMEOUT_S
            for call in self._calls.values()
        )

    def _has_answered_since(self, sent: SentCall | None) -> bool:
        return sent is not None and self._last_answer_at > sent.sent_at

    def _record_down(self, outcome: AttemptOutcome) -> None:
        self._down_count += 1
        hold_s = self._hold_s()
        self._avoided_until = self._timer.now() + hold_s
        self._events.record(
            Event.BACKEND_AVOIDED,
            backend=self._entry.backend,
            reason=outcome.value,
            failures=self._down_count,
            hold_s=hold_s,
        )

    def _hold_s(self) -> float:
        """Return for how long the latest evidence keeps the backend server out, in seconds."""
        return min(MAX_AVOIDANCE_S, FIRST_AVOIDANCE_S * 2 ** (self._down_count - 1))
