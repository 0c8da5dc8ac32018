"""Relays the events of a stream as they arrive, and tracks where the stream can be resumed."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from figwalk.errors import HttpError
from figwalk.gateway.attempts import Answer
from figwalk.gateway.stream_timing import StreamTiming
from figwalk.protocol.event_stream import (
    EVENT_STREAM_TYPE,
    MAX_COUNTED_DIGITS,
    EventBoundaries,
    EventStreamSplitter,
)
from figwalk.timer import Timer
from figwalk.transport import Responder, find_header

_ID_FIELD = b"id:"
_COMMENT_START = b":"
_EMPTY_LINES = (b"", b"\r")


class EventOrder:
    """Checks that the events of a stream follow one another over all answers that it consists of.

    Args:
        resume_after: Id of the last event that the caller received earlier, or empty.
    """

    def __init__(self, resume_after: str = "") -> None:
        self._last_id = resume_after
        self._id_count = 0
        self._counts_up = True
        self._ends_with_id = True
        self._continues = False
        self._at_start = True

    @property
    def last_id(self) -> str:
        """Id of the last event that has one, or empty."""
        return self._last_id

    @property
    def can_continue(self) -> bool:
        """Whether another answer can begin after the last event: it has an id, or there is none."""
        return self._ends_with_id

    def start_answer(self) -> None:
        """Expect the events of another answer."""
        self._continues = bool(self._last_id)
        self._at_start = True

    def advance(self, event_ids: list[str], backend: str) -> None:
        """Add the next events, all or none of them.

        Args:
            event_ids: Their ids, empty for an event without one.
            backend: Id of the backend server that sent them.

        Raises:
            HttpError: The id of an event does not follow, or an event of an answer that continues a
                stream has none. A faulty backend server may begin anew, leave events out, or write
                an error into the stream.
        """
        last, count, counts_up = self._last_id, self._id_count, self._counts_up
        # A stream whose ids may jump does not show whether events are missing where it goes on;
        # neither do the caller's id or a single event.
        must_be_next = self._at_start and counts_up and count > 1
        for event_id in event_ids:
            if not _is_next(event_id, last):
                is_checked = last and (event_id or self._continues)
                if is_checked and (must_be_next or not _follows(event_id, last)):
                    raise HttpError(f"{backend} sent event {event_id!r} of a stream after {last!r}")
                counts_up = counts_up and not (event_id and count)
            if event_id:
                last = event_id
                count += 1
            must_be_next = False
        self._last_id, self._id_count, self._counts_up = last, count, counts_up
        if event_ids:
            self._ends_with_id = bool(event_ids[-1])
            self._at_start = False


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
        on_begin: Called before the first event of a resumable stream is passed on.
    """

    def __init__(
        self,
        responder: Responder,
        timing: StreamTiming,
        timer: Timer,
        *,
        resumable: bool,
        resume_after: str = "",
        on_begin: Callable[[Answer], None] = lambda _answer: None,
    ) -> None:
        self._responder = responder
        self._timing = timing
        self._timer = timer
        self._resumable = resumable
        self._order = EventOrder(resume_after)
        self._sent_other_data = False
        self._on_begin = on_begin
        self._has_begun = False

    @property
    def started(self) -> bool:
        """Whether the head of the answer was sent to the caller."""
        return self._responder.started

    @property
    def last_event_id(self) -> str:
        """Id of the last event passed on or received earlier, or empty."""
        return self._order.last_id

    @property
    def can_continue(self) -> bool:
        """Whether an answer of another backend server can continue what was passed on."""
        if not self.started:
            return True
        return self._resumable and not self._sent_other_data and self._order.can_continue

    async def relay(self, answer: Answer) -> None:
        """Relay an answer up to its end.

        Raises:
            HttpError: The answer is truncated, or ends inside an event: it may have neither a
                length nor chunks, so that its end alone does not show that it is complete. Or it
                does not continue a stream that has begun, here or at an earlier request of the
                caller, or nothing can continue what was passed on. If the stream may be resumed,
                only complete events were passed on.
            ClientDisconnectedError: The caller disconnected.
        """
        if not self.can_continue:
            raise HttpError("what was passed on can't be continued")
        has_events = _has_events(answer)
        if self.started and not (answer.status == HTTPStatus.OK and has_events):
            raise HttpError(f"{answer.backend} did not continue a stream with events")
        self._order.start_answer()
        splitter = EventStreamSplitter()
        boundaries = EventBoundaries()
        is_begun = False
        async for data in answer.response.chunks():
            answer.tracker.record_data()
            received = boundaries.count
            boundaries.feed(data)
            self._timing.events += boundaries.count - received
            if boundaries.found and not is_begun:
                is_begun = True
                answer.on_first_event()
            complete = splitter.feed(data) if self._resumable else data
            if complete:
                if not has_events:
                    self._sent_other_data = True
                elif self._resumable:
                    self._order.advance(split_event_ids(complete), answer.backend)
                    self._record_begin(answer)
                await self._send(answer, complete)
        if has_events and boundaries.inside_event:
            raise HttpError(f"{answer.backend} ended a stream inside an event")
        if splitter.incomplete_event:
            await self._send(answer, splitter.incomplete_event)
        if not self._responder.started:
            await self._responder.start(answer.status, answer.headers)
        await self._responder.finish()

    def _record_begin(self, answer: Answer) -> None:
        if not self._has_begun:
            self._has_begun = True
            self._on_begin(answer)

    async def _send(self, answer: Answer, data: bytes) -> None:
        if not self._responder.started:
            await self._responder.start(answer.status, answer.headers)
        self._timing.record_piece(self._timer.now())
        held = self._responder.held
        held.add(len(data))
        await self._responder.send_chunk(data)
        held.remove(len(data))


def _has_events(answer: Answer) -> bool:
    """Return whether the body of an answer on a stream's route consists of events."""
    content_type = find_header(answer.headers, b"content-type").lower()
    return answer.succeeded and (not content_type or content_type.startswith(EVENT_STREAM_TYPE))


def _follows(event_id: str, last: str) -> bool:
    """Return whether an event may come after another one; the ids of a stream increase."""
    if event_id.isdecimal() and last.isdecimal():
        return _numeric_key(event_id) > _numeric_key(last)
    return event_id not in ("", last)


def _is_next(event_id: str, last: str) -> bool:
    """Return whether the id of an event is the number after that of another one."""
    if not (event_id.isdecimal() and last.isdecimal()) or len(event_id) > MAX_COUNTED_DIGITS:
        return False
    return len(last) <= len(event_id) and int(event_id) == int(last) + 1


def _numeric_key(digits: str) -> tuple[int, str]:
    """Return a key that orders decimal numbers of any length by value."""
    digits = digits.lstrip("0")
    return len(digits), digits


def split_event_ids(events: bytes) -> list[str]:
    """Return the id of each event in some complete events, empty for an event without one.

    Lines end with LF or CRLF. Blocks that consist of comments are no events.
    """
    event_ids = []
    event_id = ""
    inside_event = False
    for line in events.split(b"\n"):
        if line in _EMPTY_LINES:
            if inside_event:
                event_ids.append(event_id)
            event_id = ""
            inside_event = False
        elif not line.startswith(_COMMENT_START):
            inside_event = True
            if line.startswith(_ID_FIELD):
                event_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
    return event_ids
