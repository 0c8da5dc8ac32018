"""Keeps streams fast enough that the longest answers end before their callers stop waiting.

The accepted pause bounds single events, not their sum. Only the largest length of an answer is
known, so that each stream may be one of the longest until it ends. Load: 10 streams begin a second,
a tenth of them with 169 events that have to end within 14 s; an engine that runs 20 streams and
prefills for 0.3 of its time takes 100 ms for an event, so that such a stream would take 17 s.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from figwalk.coordination.stream_pauses import EngineRun, StreamLoad

# Share of a stream's time that stays in reserve, for spells in which its engine is slower.
RESERVE_SHARE = 0.07
# Least time of an event that is asked for. Streams in their reserve would ask for less than none.
MIN_NEEDED_EVENT_S = 0.001
# Streams whose events may take more than this share of the accepted pause end in time at any engine
# that keeps within the pause.
SUFFICIENT_PACE_SHARE = 0.5
# Prefill between the tokens of streams delays calls that were prefilled elsewhere as well.
MAX_PREFILL_SHARE = 0.3
# Engines whose streams can barely end in time still prefill for this share of their time.
MIN_PREFILL_SHARE = 0.1
# Fewer running calls than this may just be prompts that were prefilled elsewhere and generate their
# first tokens here.
MIN_STREAMS = 4
# More calls than an engine runs. This bounds the memory if they never begin.
MAX_EXPECTED_STREAMS = 4096


def needed_event_s(events: float, left_s: float) -> float:
    """Return the longest mean seconds of an event with which a stream ends in time.

    Args:
        events: Number of events that remain; 0 if unknown, for which the result is infinite.
        left_s: Seconds until the last one is due.
    """
    if events <= 0:
        return math.inf
    return max(MIN_NEEDED_EVENT_S, (1.0 - RESERVE_SHARE) * left_s / events)


def limit_prefill_share(load: StreamLoad) -> float:
    """Return the share of its time that an engine may prefill beside its streams.

    Streams lower it only where they would end too late beside `MAX_PREFILL_SHARE`: a stream that
    loses time early can make up for it.

    Args:
        load: Streams of the engine.
    """
    usual_share = MAX_PREFILL_SHARE if load.streams >= MIN_STREAMS else 1.0
    left_share = 1.0 - load.event_s / load.needed_event_s
    if left_share >= MAX_PREFILL_SHARE:
        return usual_share
    return max(MIN_PREFILL_SHARE, left_share)


def predict_pacing_s(load: StreamLoad, prefill_s: float) -> float:
    """Return for how much longer prompts wait after a prefill, so that streams end in time.

    Args:
        load: Streams of the engine.
        prefill_s: Seconds of the prefill.
    """
    share = limit_prefill_share(load)
    return prefill_s * max(0.0, 1.0 / share - 1.0 / MAX_PREFILL_SHARE)


@attrs.frozen
class _ExpectedStream:
    events: float
    due_at: float
    reserve_s: float


class StreamDeadlines:
    """Lengths and deadlines of the streams of an engine, as gateways state them."""

    def __init__(self) -> None:
        self._streams: dict[str, _ExpectedStream] = {}

    def __len__(self) -> int:
        """Return the number of streams that may still run."""
        return len(self._streams)

    def expect(self, now: float, request_id: str, events: float, left_s: float) -> None:
        """Add a stream that is about to begin.

        Args:
            now: Current time, in seconds.
            request_id: Id under which the engine lists the call.
            events: Largest number of events.
            left_s: Seconds until the last one is due.
        """
        self._streams.pop(request_id, None)
        stream = _ExpectedStream(events, now + left_s, RESERVE_SHARE * left_s)
        self._streams[request_id] = stream
        if len(self._streams) > MAX_EXPECTED_STREAMS:
            del self._streams[next(iter(self._streams))]

    def needed_event_s(self, now: float, runs: Iterable[EngineRun], event_s: float) -> float:
        """Return the longest mean seconds of an event with which the streams end in time.

        Streams that would be late even without any prefill don't count.

        Args:
            now: Current time, in seconds.
            runs: Calls that the engine runs.
            event_s: Seconds that an event takes there without prefill in between.
        """
        for request_id in [r for r, stream in self._streams.items() if stream.due_at <= now]:
            del self._streams[request_id]
        needed_s = math.inf
        for run in runs:
            stream = self._streams.get(run.request_id)
            if stream is not None:
                left = stream.events - run.events
                left_s = stream.due_at - now
                if left > 0 and left * event_s < left_s:
                    needed_s = min(needed_s, (left_s - stream.reserve_s) / left)
        return max(MIN_NEEDED_EVENT_S, needed_s)
