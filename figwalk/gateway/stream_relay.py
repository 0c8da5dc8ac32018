"""Relays the events of a stream as they arrive, and tracks where the stream can be resumed."""

from __future__ import annotations

from http import HTTPStatus

from figwalk.errors import HttpError
from figwalk.gateway.attempts import Answer
from figwalk.gateway.stream_timing import StreamTiming
from figwalk.protocol.event_stream import EVENT_STREAM_TYPE, EventBoundaries, EventStreamSplitter
from figwalk.timer import Timer
from figwalk.transport import Responder, find_header

_ID_FIELD = b"id:"
_COMMENT_START = b":"


class StreamRelay:
    """Relays one stream to a caller, from one backend server or several in succession.

    If the stream may be resumed, the relay passes on only complete events, so that another backend
    server can continue after the last of them.

    Args:
        responder: The caller.
        timing: Records when data is passed on.
        timer: Source of time.
        resumable: Whether the stream may be resumed.
        resume_after: Id of the last event that the caller received earlier, or empty.
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
        """Whether the head of the answer was sent to the caller."""
        return self._responder.started

    @property
    def last_event_id(self) -> str:
        """Id of the last event passed on, or empty."""
        return self._last_event_id

    async def relay(self, answer: Answer) -> None:
        """Relay an answer up to its end.

        Raises:
            HttpError: The answer is truncated, or ends inside an event: it may have neither a
                length nor chunks, so that its end alone does not show that it is complete. Or it
                does not continue a stream that has begun. If the stream may be resumed, only
                complete events were passed on.
            ClientDisconnectedError: The caller disconnected.
        """
        is_resumed = self.started
        if is_resumed and not (answer.status == HTTPStatus.OK and _has_events(answer)):
            raise HttpError(f"{answer.backend} did not continue a stream with events")
        splitter = EventStreamSplitter()
        boundaries = EventBoundaries()
        is_begun = False
        async for data in answer.response.chunks():
            answer.tracker.record_data()
            boundaries.feed(data)
            if boundaries.found and not is_begun:
                is_begun = True
                answer.on_first_event()
            self._timing.has_event |= boundaries.found
            complete = splitter.feed(data) if self._resumable else data
            if complete:
                if is_resumed:
                    self._check_order(answer, complete)
                await self._send(answer, complete)
        if _has_events(answer) and boundaries.inside_event:
            raise HttpError(f"{answer.backend} ended a stream inside an event")
        if splitter.incomplete_event:
            await self._send(answer, splitter.incomplete_event)
        if not self._responder.started:
            await self._responder.start(answer.status, answer.headers)
        await self._responder.finish()

    def _check_order(self, answer: Answer, events: bytes) -> None:
        """Check that the events of a resumed stream follow those that the caller has.

        Raises:
            HttpError: An event has no id, or an id that does not follow. A faulty backend server
                may begin anew, or write an error into the stream.
        """
        last = self._last_event_id
        for event in _split_events(events):
            event_id = find_last_event_id(event)
            if not _follows(event_id, last):
                raise HttpError(
                    f"{answer.backend} sent event {event_id!r} of a stream after {last!r}"
                )
            last = event_id

    async def _send(self, answer: Answer, data: bytes) -> None:
        if not self._responder.started:
            await self._responder.start(answer.status, answer.headers)
        if self._resumable:
            self._last_event_id = find_last_event_id(data) or self._last_event_id
        self._timing.record_piece(self._timer.now())
        held = self._responder.held
        held.add(len(data))
        await self._responder.send_chunk(data)
        held.remove(len(data))


def _has_events(answer: Answer) -> bool:
    """Return whether the body of an answer on a stream's route consists of events."""
    content_type = find_header(answer.headers, b"content-type")
    return answer.succeeded and (not content_type or content_type.startswith(EVENT_STREAM_TYPE))


def _split_events(events: bytes) -> list[bytes]:
    """Return the events in some bytes, without those that consist of comments."""
    blocks = events.replace(b"\r\n", b"\n").split(b"\n\n")
    lines = [[line for line in block.split(b"\n") if line] for block in blocks]
    return [
        b"\n".join(block)
        for block in lines
        if not all(line.startswith(_COMMENT_START) for line in block)
    ]


def _follows(event_id: str, last: str) -> bool:
    """Return whether an event may come after another one; the ids of a stream increase."""
    if event_id.isdecimal() and last.isdecimal():
        return _numeric_key(event_id) > _numeric_key(last)
    return event_id not in ("", last) or not last


def _numeric_key(digits: str) -> tuple[int, str]:
    """Return a key that orders decimal numbers of any length by value."""
    digits = digits.lstrip("0")
    return len(digits), digits


def find_last_event_id(events: bytes) -> str:
    """Return the value of the last `id` field in some events, or an empty string."""
    position = len(events)
    while (position := events.rfind(_ID_FIELD, 0, position)) >= 0:
        if position == 0 or events[position - 1 : position] == b"\n":
            end = events.find(b"\n", position)
            line = events[position + len(_ID_FIELD) : end if end >= 0 else len(events)]
            return line.strip().decode("latin-1")
    return ""
