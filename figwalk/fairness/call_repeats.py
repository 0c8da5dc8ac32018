"""Recognises calls that come again, and whether they come at the time that they were told."""

from __future__ import annotations

import math

import attrs

from figwalk.fairness.fair_share import TryKind
from figwalk.timer import Timer

# A call is forgotten this long after it was last seen, or was to come back.
REPEAT_MEMORY_S = 5.0
# About 300 bytes each. With more, the oldest are forgotten and count as first tries.
MAX_CALLS = 5000


@attrs.frozen
class CallKey:
    """What is equal for a call and its repeats.

    Attributes:
        organisation: Name of the caller's organisation.
        digest: Digest of the request.
    """

    organisation: str
    digest: str


@attrs.define
class _SeenCall:
    seen_at: float
    due_at: float = math.inf


class CallRepeats:
    """Calls that were seen lately and have no answer.

    A call that got its answer is forgotten: the same request afterwards is a new one. The object
    knows only the calls of its own gateway; a repeat that reaches another one is a first try there.

    Args:
        timer: Source of time.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._calls: dict[CallKey, _SeenCall] = {}

    def record_seen(self, key: CallKey) -> TryKind:
        """Record that a call arrived, and return whether it is a repeat.

        Of several repeats at the time that the call was told, only the first one is in time.
        """
        now = self._timer.now()
        seen = self._calls.pop(key, None)
        self._put(key, _SeenCall(now))
        if seen is None or self._is_forgotten(seen, now):
            return TryKind.FIRST
        if seen.due_at <= now:
            return TryKind.DUE_REPEAT
        if seen.due_at < math.inf:
            self._calls[key].due_at = seen.due_at
        return TryKind.EARLY_REPEAT

    def record_refused(self, key: CallKey, retry_after_s: float) -> None:
        """Record that a caller was told to come back after a number of seconds."""
        now = self._timer.now()
        self._calls.pop(key, None)
        self._put(key, _SeenCall(now, now + retry_after_s))

    def record_answered(self, key: CallKey) -> None:
        """Record that a caller got its answer."""
        self._calls.pop(key, None)

    def _put(self, key: CallKey, call: _SeenCall) -> None:
        self._calls[key] = call
        # The oldest are first, since a call that is seen again is put at the end.
        oldest = next(iter(self._calls))
        is_full = len(self._calls) > MAX_CALLS
        if is_full or self._is_forgotten(self._calls[oldest], self._timer.now()):
            del self._calls[oldest]

    @staticmethod
    def _is_forgotten(call: _SeenCall, now: float) -> bool:
        due_at = call.due_at if call.due_at < math.inf else call.seen_at
        return now - max(call.seen_at, due_at) > REPEAT_MEMORY_S
