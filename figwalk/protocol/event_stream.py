"""Cuts a stream of server-sent events at event bounds."""

from __future__ import annotations

from figwalk.errors import HttpError

MAX_EVENT_BYTES = 1024 * 1024
_DONE = b"[DONE]"
_FIELD = b"data:"
_TAIL_BYTES = 32


class EventStreamCutter:
    """Gives out whole events only and notices the end mark."""

    def __init__(self) -> None:
        self._rest = b""
        self._done = False
        self._event_count = 0

    @property
    def done(self) -> bool:
        """Whether `[DONE]` was the last event given out."""
        return self._done

    @property
    def rest(self) -> bytes:
        """Bytes received after the last whole event."""
        return self._rest

    @property
    def event_count(self) -> int:
        """Events given out, without the end mark."""
        return self._event_count

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are there, possibly none.

        Raises:
            HttpError: One event is above the limit.
        """
        if self._rest:
            data = self._rest + data
        end = _find_end(data)
        if end < len(data) and len(data) - end > MAX_EVENT_BYTES:
            raise HttpError(f"a server-sent event is above {MAX_EVENT_BYTES} bytes")
        self._rest = data[end:]
        if not end:
            return b""
        whole = data if end == len(data) else data[:end]
        self._note(whole)
        return whole

    def _note(self, whole: bytes) -> None:
        # Every event ends with an empty line, in one of two line ends.
        self._event_count += whole.count(b"\n\n") + whole.count(b"\n\r\n")
        tail = whole[-_TAIL_BYTES:].rstrip()
        self._done = tail.endswith(_DONE) and tail[: -len(_DONE)].rstrip().endswith(_FIELD)
        if self._done:
            self._event_count -= 1


def _find_end(data: bytes) -> int:
    """Return the position after the last empty line, or 0."""
    plain = data.rfind(b"\n\n")
    carriage = data.rfind(b"\n\r\n", max(0, plain))
    if carriage >= 0:
        return carriage + 3
    return plain + 2 if plain >= 0 else 0
