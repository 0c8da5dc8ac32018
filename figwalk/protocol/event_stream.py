"""Splits a stream of server-sent events at event boundaries."""

from __future__ import annotations

from figwalk.errors import HttpError

EVENT_STREAM_TYPE = "text/event-stream"
MAX_EVENT_BYTES = 1024 * 1024
# Longer ids do not count events; `int` refuses those with thousands of digits.
MAX_COUNTED_DIGITS = 20
_DONE = b"[DONE]"
_FIELD = b"data:"
_TAIL_BYTES = 32
# Length of the longest end of an event: a line break and an empty line, with CRLF.
_BOUNDARY_BYTES = 4


class EventBoundaries:
    """Tells where the events of a stream end, without keeping its bytes."""

    def __init__(self) -> None:
        self._tail = b""
        self._count = 0
        self._inside_event = False

    @property
    def count(self) -> int:
        """Number of complete events, comments and the final `[DONE]` included."""
        return self._count

    @property
    def found(self) -> bool:
        """Whether an event was complete."""
        return self._count > 0

    @property
    def inside_event(self) -> bool:
        """Whether bytes were received after the last complete event."""
        return self._inside_event

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        counted = _count_ends(self._tail)
        data = self._tail + data
        end = _find_end(data)
        self._count += _count_ends(data) - counted
        self._inside_event = end < len(data)
        self._tail = data[-_BOUNDARY_BYTES:]


class EventStreamSplitter:
    """Returns only complete events and detects the final `[DONE]`."""

    def __init__(self) -> None:
        self._incomplete_event = b""
        self._done = False
        self._event_count = 0

    @property
    def done(self) -> bool:
        """Whether `[DONE]` was the last event returned."""
        return self._done

    @property
    def incomplete_event(self) -> bytes:
        """Bytes received after the last complete event."""
        return self._incomplete_event

    @property
    def event_count(self) -> int:
        """Number of events returned, not counting `[DONE]`."""
        return self._event_count

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the complete events, possibly none.

        Raises:
            HttpError: An event is larger than `MAX_EVENT_BYTES`.
        """
        if self._incomplete_event:
            data = self._incomplete_event + data
        end = _find_end(data)
        if end < len(data) and len(data) - end > MAX_EVENT_BYTES:
            # The traceback keeps this frame, often until the next garbage collection.
            data = self._incomplete_event = b""
            raise HttpError(f"a server-sent event is above {MAX_EVENT_BYTES} bytes")
        self._incomplete_event = data[end:]
        if not end:
            return b""
        complete_events = data if end == len(data) else data[:end]
        self._count_events(complete_events)
        return complete_events

    def _count_events(self, complete_events: bytes) -> None:
        self._event_count += _count_ends(complete_events)
        tail = complete_events[-_TAIL_BYTES:].rstrip()
        self._done = tail.endswith(_DONE) and tail[: -len(_DONE)].rstrip().endswith(_FIELD)
        if self._done:
            self._event_count -= 1


def _count_ends(data: bytes) -> int:
    """Return the number of empty lines, one of which ends each event; they end with LF or CRLF."""
    return data.count(b"\n\n") + data.count(b"\n\r\n")


def _find_end(data: bytes) -> int:
    """Return the position after the last empty line, or 0."""
    lf_end = data.rfind(b"\n\n")
    crlf_end = data.rfind(b"\n\r\n", max(0, lf_end))
    if crlf_end >= 0:
        return crlf_end + 3
    return lf_end + 2 if lf_end >= 0 else 0
