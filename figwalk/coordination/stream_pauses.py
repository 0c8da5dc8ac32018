"""Limits prefill at an engine so that the streams that run there don't pause for too long.

An event of a stream holds many tokens. While the engine prefills a prompt, an event takes the time
of its decode steps plus that of the prefill in between. Load: 9 streams begin a second, 30 of them
run at one engine, and the same engine is offered two long prompts a second.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence

import attrs

# Share of the accepted pause that a prediction may take. The rest allows for the network and for
# prompts that arrive a few milliseconds earlier or later than predicted.
PAUSE_MARGIN = 0.85
# A stream is put where its events take less than this share of the accepted pause. They then stay
# within it even while the engine prefills, at a third of its decode speed.
MAX_EVENT_SHARE = 0.36
# Engines below this share of the usual prefill rate are slow; streams go there last.
SLOW_RATE_SHARE = 0.75
# A long prompt may take this much longer, as a share of its target, at an engine without streams.
MAX_DELAY_SHARE = 0.25
# Calls that were prefilled elsewhere and only generate a first event are no streams.
MIN_STREAM_EVENTS = 2
# An estimate from fewer events is inaccurate: a report counts whole events only.
MIN_MEASURED_EVENTS = 6.0
MAX_MEASURED_EVENTS = 60.0
# Reports that are further apart may have missed a pause of the VM.
MAX_REPORT_INTERVAL_S = 1.0
# Intervals with more prefill than this share of them depend too much on its predicted time.
MAX_PREFILL_SHARE = 0.5
# The time of an event grows with the number of streams, so that it says nothing about an engine
# whose streams ended long ago.
EVENT_TIME_MAX_AGE_S = 5.0
# Mean duration of a stream. The number of running streams divided by it is the number of calls that
# arrive per second.
MEAN_STREAM_S = 1.5


@attrs.frozen
class EngineRun:
    """A call that an engine runs.

    Attributes:
        request_id: Identifies the call.
        events: Events that the engine has made for it so far.
    """

    request_id: str
    events: int


@attrs.frozen
class StreamLoad:
    """Streams of an engine.

    Attributes:
        streams: Number of streams that run there.
        event_s: Seconds that one event takes there without prefill in between; 0 if unknown.
        needed_event_s: Longest mean seconds of an event, prefill included, with which all of them
            end in time; infinite if unknown.
    """

    streams: int = 0
    event_s: float = 0.0
    needed_event_s: float = math.inf


NO_STREAMS = StreamLoad()


@attrs.frozen
class PauseLimit:
    """Prefill that an engine may do beside its streams.

    Attributes:
        window_s: Length of each window of time that the limit applies to, in seconds.
        prefill_s: Longest prefill in any such window, in seconds.
    """

    window_s: float
    prefill_s: float


def limit_prefill(load: StreamLoad, gap_s: float) -> PauseLimit | None:
    """Return the limit of prefill beside streams, or None if there is none.

    There is none without streams, while the time of an event or the accepted pause is unknown, and
    if events take longer than the accepted pause even without any prefill.

    Args:
        load: Streams of the engine.
        gap_s: Longest pause that callers accept, in seconds; 0 or infinite if unknown.
    """
    if not load.streams or load.event_s <= 0 or not load.event_s < gap_s < float("inf"):
        return None
    window_s = PAUSE_MARGIN * gap_s
    return PauseLimit(window_s, max(0.0, window_s - load.event_s))


@attrs.frozen
class StreamDisturbance:
    """What the prefill of a prompt does to the streams of the same engine.

    Attributes:
        too_long: Whether it alone makes them pause for longer than their callers accept.
        delay_s: Seconds that count for their delay when engines are compared.
    """

    too_long: bool = False
    delay_s: float = 0.0


def predict_disturbance(
    load: StreamLoad, gap_s: float, target_s: float, prefill_s: float
) -> StreamDisturbance:
    """Return what a prefill does to the streams of an engine.

    Args:
        load: Streams of the engine.
        gap_s: Longest pause that their callers accept, in seconds.
        target_s: Seconds until the first token of the prompt is due; may be negative.
        prefill_s: Seconds of the prefill.
    """
    limit = limit_prefill(load, gap_s)
    if limit is None:
        return StreamDisturbance()
    delay_s = min(MAX_DELAY_SHARE * max(0.0, target_s), load.streams * prefill_s)
    return StreamDisturbance(prefill_s > limit.prefill_s, delay_s)


def stream_slowness(
    load: StreamLoad,
    gap_s: float,
    relative_rate: float,
    needed_event_s: float = math.inf,
    *,
    lone_event_s: float = 0.0,
) -> float:
    """Return how unfit an engine is for a further stream by its speed; 0 if it is fast enough.

    Args:
        load: Streams of the engine.
        gap_s: Longest pause that their callers accept, in seconds.
        relative_rate: Prefill rate of the engine as a multiple of the usual one.
        needed_event_s: Longest mean seconds of an event with which the stream ends in time.
        lone_event_s: Seconds of an event if the engine runs nothing else; 0 if unknown.
    """
    accepted_s = min(MAX_EVENT_SHARE * gap_s, needed_event_s, load.needed_event_s)
    if accepted_s == math.inf:
        return 0.0
    is_slow = load.event_s <= 0 and relative_rate < SLOW_RATE_SHARE
    event_s = load.event_s or lone_event_s
    excess = event_s / accepted_s - 1 if accepted_s > 0 else math.inf
    return 1.0 + round(max(0.0, excess), 1) if is_slow or excess > 0 else 0.0


class StreamProgress:
    """Counts the streams of an engine and measures the time of an event, from its reports."""

    def __init__(self) -> None:
        self._events: dict[str, int] = {}
        self._streams = 0
        self._reported_at: float | None = None
        self._measured_at = 0.0
        self._measured_s = 0.0
        self._measured_events = 0.0

    @property
    def load(self) -> StreamLoad:
        """The streams at the latest report."""
        if self._measured_events < MIN_MEASURED_EVENTS:
            return StreamLoad(self._streams)
        return StreamLoad(self._streams, self._measured_s / self._measured_events)

    def record(self, now: float, runs: Sequence[EngineRun], prefill_s: float) -> None:
        """Record a report.

        Args:
            now: Time of the report, in seconds.
            runs: Calls that the engine runs.
            prefill_s: Seconds of prefill since the previous report.
        """
        interval_s = now - self._reported_at if self._reported_at is not None else 0.0
        if 0 < interval_s <= MAX_REPORT_INTERVAL_S:
            self._measure(now, runs, interval_s, max(0.0, prefill_s))
        if now - self._measured_at > EVENT_TIME_MAX_AGE_S:
            self._measured_s = self._measured_events = 0.0
        self._reported_at = now
        self._events = {run.request_id: run.events for run in runs}
        self._streams = sum(run.events >= MIN_STREAM_EVENTS for run in runs)

    def _measure(
        self, now: float, runs: Sequence[EngineRun], interval_s: float, prefill_s: float
    ) -> None:
        """Add the growth of each stream that ran throughout an interval between two reports."""
        if prefill_s > MAX_PREFILL_SHARE * interval_s:
            return
        for run in runs:
            before = self._events.get(run.request_id, 0)
            if run.events >= MIN_STREAM_EVENTS and 0 < before <= run.events:
                self._measured_events += run.events - before
                self._measured_s += interval_s - prefill_s
                self._measured_at = now
        if self._measured_events > MAX_MEASURED_EVENTS:
            factor = MAX_MEASURED_EVENTS / self._measured_events
            self._measured_events *= factor
            self._measured_s *= factor


def delay_to_others_s(streams: int, prefill_s: float) -> float:
    """Return the sum of the seconds that other calls wait for the prefill of a prompt.

    Until an engine has prefilled a prompt, it begins no other call, not even one whose KV cache it
    fetches. Calls arrive as often as streams end, and wait for half of the prefill on average.

    Args:
        streams: Streams that the engine runs.
        prefill_s: Duration of the prefill, in seconds.
    """
    return streams / MEAN_STREAM_S * prefill_s * prefill_s / 2


class PrefillSchedule:
    """When the granted prompts of an engine are predicted to be prefilled, one after the other."""

    def __init__(self) -> None:
        self._spans: deque[tuple[float, float]] = deque()

    def clear(self) -> None:
        """Forget all prompts."""
        self._spans.clear()

    def add(self, now: float, start: float, seconds: float) -> None:
        """Add the prefill of a granted prompt.

        Args:
            now: Current time, in seconds.
            start: Time at which the prefill starts, in seconds.
            seconds: Its duration.
        """
        while self._spans and self._spans[0][1] < now - MAX_REPORT_INTERVAL_S:
            self._spans.popleft()
        self._spans.append((start, start + seconds))

    def excess_s(self, start: float, seconds: float, limit: PauseLimit) -> float:
        """Return by how many seconds a further prefill would exceed a limit; 0 if it does not.

        Of all windows with this prefill, the one that ends with it holds most prefill, since those
        granted before come before it.
        """
        end = start + seconds
        begin = end - limit.window_s
        granted_s = sum(max(0.0, min(e, start) - max(s, begin)) for s, e in self._spans)
        return max(0.0, granted_s + seconds - limit.prefill_s)
