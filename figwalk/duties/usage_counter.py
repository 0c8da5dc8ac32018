"""Counts the calls that backend servers began, for each organisation and window."""

from __future__ import annotations

from collections import defaultdict, deque
from enum import Enum

import attrs

from figwalk.coordination.backend_tracker import AttemptOutcome, BackendTracker
from figwalk.duties.window_clock import WindowClock
from figwalk.timer import Timer

# Durations of a service's latest calls by which the time of its work is estimated.
WORK_SAMPLES = 64
# Most calls are answered without having waited in a queue, so that a low quantile is the work
# itself with the way there and back.
WORK_QUANTILE = 0.2
# A call that broke sooner than this share of the usual work was not begun: the connection was
# closed or the server ended before it took the call.
BROKEN_SHARE = 0.25

_NOT_BEGUN = frozenset(
    {AttemptOutcome.REFUSED, AttemptOutcome.UNREACHABLE, AttemptOutcome.UNCONNECTED}
)


class Evidence(Enum):
    """What an attempt without an answer says about whether the call was begun."""

    NONE = "none"  # It was not begun.
    BEGUN = "begun"
    IF_ALIVE = "if_alive"  # It was begun if the backend server still ran afterwards.


@attrs.define(eq=False)
class AttemptStart:
    """One attempt at a backend server, from its sending until it is known whether it began.

    Attributes:
        organisation: Name of the caller's organisation.
        service: Service of the backend server.
        is_stream: Whether the answer is a stream, which begins with its first event.
        tracker: The backend server.
        sent_at: Timer time at which it was sent, or None before.
        queue_s: Seconds that it was predicted to wait for a slot when it was sent.
        spoiled: Whether an answer arrived that does not bear the id of the call.
        head_at: Timer time at which the head of its answer arrived, or None.
        counted: Whether it was counted already.
    """

    organisation: str
    service: str
    is_stream: bool
    tracker: BackendTracker
    sent_at: float | None = None
    queue_s: float = 0.0
    spoiled: bool = False
    head_at: float | None = None
    counted: bool = False


@attrs.frozen
class _Doubt:
    start: AttemptStart
    began_at: float
    ended_at: float
    sequence: int

    @property
    def is_alive(self) -> bool:
        """Whether the backend server answered a call or registered anew after the attempt.

        One registration may have been written before and read after it.
        """
        tracker = self.start.tracker
        registrations = tracker.entry.sequence - self.sequence
        return tracker.last_answer_at > self.ended_at or registrations > 1


class UsageCounter:
    """Counts in one gateway.

    An attempt that backend servers began counts once, in the window in which it began, also if its
    answer was lost or spoiled or the caller left; a call that two of them began counts twice.
    Prefills and attempts that were stated not to run don't count. A stream begins with its first
    event. A plain call begins the usual time of its work before its answer, but not before it was
    sent.

    Args:
        clock: Tells the windows.
        timer: Source of time.
    """

    def __init__(self, clock: WindowClock, timer: Timer) -> None:
        self._clock = clock
        self._timer = timer
        self._counts: dict[int, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        self._doubts: list[_Doubt] = []
        self._work: dict[str, deque[float]] = defaultdict(lambda: deque(maxlen=WORK_SAMPLES))
        self._work_s: dict[str, float] = {}
        self._frozen_through = -1
        self._late = 0

    @property
    def late(self) -> int:
        """Calls that were found to have begun in a window whose counts were already frozen."""
        return self._late

    def open(
        self, organisation: str, service: str, tracker: BackendTracker, *, is_stream: bool
    ) -> AttemptStart:
        """Return the record of an attempt that is about to be made."""
        return AttemptStart(organisation, service, is_stream, tracker)

    def record_sent(self, start: AttemptStart) -> None:
        """Record that an attempt is sent on an open connection."""
        start.sent_at = self._timer.now()
        slots = max(1, start.tracker.entry.slots)
        ahead = start.tracker.estimate_load() - slots  # The load includes this call already.
        start.queue_s = max(0, ahead) * self._work_s.get(start.service, 0.0) / slots

    def record_answered(self, start: AttemptStart) -> None:
        """Record that the head of an answer arrived, which shows that the call ran."""
        now = start.head_at = self._timer.now()
        if start.is_stream or start.sent_at is None:
            return  # The first event counts.
        # What slows the work down is not learned as its usual time.
        slowdown = start.tracker.slowdown
        took_s = now - start.sent_at
        work_s = self._learn_work(start.service, took_s / slowdown) * slowdown
        self._count(start, max(start.sent_at, now - work_s))

    def record_first_event(self, start: AttemptStart) -> None:
        """Record that the first bytes of an answer arrived, for a stream its first event."""
        self._count(start, self._timer.now())

    def record_ended(self, start: AttemptStart, outcome: AttemptOutcome, *, has_head: bool) -> None:
        """Record how an attempt ended.

        Args:
            start: The attempt.
            outcome: How it ended.
            has_head: Whether the head of an answer arrived, valid or not.
        """
        if start.counted or start.sent_at is None:
            return
        now = self._timer.now()
        evidence = self._judge(start, outcome, now, has_head=has_head or start.spoiled)
        began_at = min(now, start.sent_at + start.queue_s)
        if start.is_stream:  # Without an event, for example a failure.
            began_at = start.head_at or now
        if evidence is Evidence.BEGUN:
            self._count(start, began_at)
        elif evidence is Evidence.IF_ALIVE:
            doubt = _Doubt(start, began_at, now, start.tracker.entry.sequence)
            self._doubts.append(doubt)

    def freeze(self, window: int) -> dict[int, dict[str, int]]:
        """End the counting of the windows up to one, and return those counted since last time.

        A window's counts never change afterwards, so that all who add them up get the same sums.

        Returns:
            The calls of each organisation in each window that has any.
        """
        self._settle(window)
        self._frozen_through = max(self._frozen_through, window)
        frozen = [k for k in self._counts if k <= window]
        return {k: dict(self._counts.pop(k)) for k in sorted(frozen)}

    def partial(self, window: int) -> dict[str, int]:
        """Return the calls of each organisation that were counted so far in an open window."""
        return dict(self._counts.get(window, {}))

    def _settle(self, window: int) -> None:
        """Decide on the doubtful attempts of the windows up to one."""
        left = []
        for doubt in self._doubts:
            if self._window_of(doubt.began_at) > window:
                left.append(doubt)
            elif doubt.is_alive:
                self._count(doubt.start, doubt.began_at)
        self._doubts = left

    def _judge(
        self, start: AttemptStart, outcome: AttemptOutcome, now: float, *, has_head: bool
    ) -> Evidence:
        if outcome in _NOT_BEGUN:
            return Evidence.NONE
        if has_head:
            return Evidence.BEGUN
        assert start.sent_at is not None
        if outcome is AttemptOutcome.BROKEN:
            if now - start.sent_at < BROKEN_SHARE * self._work_s.get(start.service, 0.0):
                return Evidence.NONE
            # Without an answer, a stream that broke has begun only if its answer was lost; an
            # engine that crashed had sent no event. A plain call runs when its server crashes.
            return Evidence.IF_ALIVE if start.is_stream else Evidence.BEGUN
        # The caller has left or nobody waits any more. The connection is closed, on which a
        # backend server drops a call in its queue, and a stream before its first event.
        if start.is_stream:
            return Evidence.NONE
        has_waited = now - start.sent_at >= start.queue_s
        return Evidence.IF_ALIVE if has_waited else Evidence.NONE

    def _learn_work(self, service: str, took_s: float) -> float:
        samples = self._work[service]
        samples.append(took_s)
        work_s = sorted(samples)[int(WORK_QUANTILE * len(samples))]
        self._work_s[service] = work_s
        return work_s

    def _count(self, start: AttemptStart, began_at: float) -> None:
        if start.counted:
            return
        start.counted = True
        window = self._window_of(began_at)
        if window <= self._frozen_through:
            self._late += 1
        else:
            self._counts[window][start.organisation] += 1

    def _window_of(self, timer_time: float) -> int:
        return self._clock.window_at(self._clock.now() - (self._timer.now() - timer_time))
