"""Relays the events of a stream as they arrive, and knows where it can go on."""

from __future__ import annotations

from figwalk.gateway.attempts import Answer
from figwalk.gateway.stream_timing import StreamTiming
from figwalk.protocol.event_stream import EventStreamCutter
from figwalk.timer import Timer
from figwalk.transport import Responder

_ID_FIELD = b"id:"


class StreamRelay:
    """Relays one stream to a caller, possibly from several backend servers one after the other.

    Only whole events are passed on where the stream may be resumed, so that it can go on after
    the last of them.

    Args:
        responder: The caller.
        timing: Takes the times of what is passed on.
        timer: Source of time.
        resumable: Whether the stream may be resumed.
        resume_after: Id of the last event that the caller had before, or empty.
    """

    def __init__(
        self,
        responder: Responder,
        timing: StreamTiming,
        timer: Timer,
        *,
        resumable: bool,
        resume_after: str = "",
    ) -> None:
        self._responder = responder
        self._timing = timing
        self._timer = timer
        self._resumable = resumable
        self._last_event_id = resume_after

    @property
    def started(self) -> bool:
        """Whether the caller has the head of the answer."""
        return self._responder.started

    @property
    def last_event_id(self) -> str:
        """Id of the last event passed on, or empty."""
        return self._last_event_id

    async def relay(self, answer: Answer) -> None:
        """Pass the rest of an answer on to its end.

        Raises:
            HttpError: The backend server broke off; what was passed on is whole events if the
                stream may be resumed.
            ClientGoneError: The caller left.
        """
        cutter = EventStreamCutter()
        async for data in answer.response.chunks():
            whole = cutter.feed(data) if self._resumable else data
            if whole:
                await self._pass_on(answer, whole)
        if cutter.rest:
            await self._pass_on(answer, cutter.rest)
        if not self._responder.started:
            await self._responder.start(answer.status, answer.headers)
        await self._responder.finish()

    async def _pass_on(self, answer: Answer, data: bytes) -> None:
        if not self._responder.started:
            await self._responder.start(answer.status, answer.headers)
        if self._resumable:
            self._last_event_id = find_last_event_id(data) or self._last_event_id
        self._timing.note_piece(self._timer.now())
        await self._responder.send_chunk(data)


def find_last_event_id(events: bytes) -> str:
    """Return the value of the last `id` field, or an empty string."""
    position = len(events)
    while (position := events.rfind(_ID_FIELD, 0, position)) >= 0:
        if position == 0 or events[position - 1 : position] == b"\n":
            end = events.find(b"\n", position)
            line = events[position + len(_ID_FIELD) : end if end >= 0 else len(events)]
            return line.strip().decode("latin-1")
    return ""
