"""Tests that the events of a stream reach the caller in order, whichever servers send them."""

import pytest
import trio
from support.platform_fakes import (
    HEAD,
    chunk,
    event,
    run_test,
    running_fleet,
    streaming,
)

from figwalk.errors import HttpError
from figwalk.gateway.attempts import Answer
from figwalk.gateway.stream_relay import StreamRelay
from figwalk.gateway.stream_timing import StreamTiming
from figwalk.timer import Timer
from figwalk.transport import ByteBudget
from standins.platform_config import make_config, make_route

EVENTS_HEADER = (b"content-type", b"text/event-stream")


class _FakeResponder:
    """Keeps what the caller gets."""

    def __init__(self):
        self.started = False
        self.finished = False
        self.sent = b""
        self.held = ByteBudget().open_charge()

    async def start(self, _status, _headers):
        self.started = True

    async def send_chunk(self, data):
        self.sent += data

    async def finish(self):
        self.finished = True


class _FakeResponse:
    """Yields pieces of a body, which may break off after them."""

    def __init__(self, pieces, *, breaks):
        self.pieces = pieces
        self.breaks = breaks

    async def chunks(self):
        for piece in self.pieces:
            yield piece
        if self.breaks:
            raise HttpError("the connection was reset")


class _FakeTracker:
    """Ignores the times of data."""

    def record_data(self):
        pass


def answer(*pieces, breaks=False, headers=(EVENTS_HEADER,)):
    """Return an answer with the pieces of a body."""
    response = _FakeResponse(pieces, breaks=breaks)
    return Answer("b1", 200, list(headers), None, response, _FakeTracker())


def broken(*pieces, **options):
    """Return an answer that breaks off after the pieces of its body."""
    return answer(*pieces, breaks=True, **options)


def relay_all(*answers, resumable=True, resume_after="", responder=None):
    """Relay answers in succession, all but the last one broken; return what the caller got."""
    responder = responder or _FakeResponder()

    async def main():
        timer = Timer()
        relay = StreamRelay(
            responder, StreamTiming(), timer, resumable=resumable, resume_after=resume_after
        )
        for earlier in answers[:-1]:
            with pytest.raises(HttpError):
                await relay.relay(earlier)
        await relay.relay(answers[-1])

    trio.run(main)
    return responder


def numbered(*numbers):
    """Return events with ids."""
    return b"".join(map(event, numbers))


@pytest.mark.parametrize("first", ["id: 1\n", "id: 5\n", "", ": note\nevent: error\n"])
def test_answer_must_follow_the_event_that_the_caller_names(first):
    """Guards against a server that ignores `Last-Event-Id` and begins a stream anew."""
    with pytest.raises(HttpError, match="after '5'"):
        relay_all(answer(first.encode() + b"data: x\n\n"), resume_after="5")


def test_answer_that_follows_the_event_that_the_caller_names_is_passed_on():
    """Guards against a check that rejects a stream which goes on where the caller has it."""
    # The caller's id alone does not show whether the ids count up by one.
    for numbers in [(6, 7), (8, 9)]:
        responder = relay_all(answer(b": hello\n\n" + numbered(*numbers)), resume_after="5")
        assert responder.finished
        assert responder.sent.endswith(numbered(*numbers))


def run_with_engines(test, *scripts):
    async def main():
        async with running_fleet() as fleet:
            routes = [
                make_route("long", "stream", "lm", resumable=True, **{"max-attempts": 2}),
                make_route("safe", "idempotent", "lm", **{"max-attempts": 2}),
            ]
            fleet.publish(make_config(routes=routes))
            engines = [
                await fleet.add_backend(f"e{number}", script, "lm", stage="decode")
                for number, script in enumerate(scripts)
            ]
            await fleet.start_gateway()
            await test(fleet, engines)

    run_test(main)


def test_taken_up_stream_that_begins_anew_is_retried_on_another_engine():
    """Guards against events that a caller gets again from an engine that ignores its last id."""

    async def begin_anew(_backend, stream, request):
        data = chunk(numbered(1, 2)) + b"0\r\n\r\n"
        await stream.send_all(HEAD.format(request.call_id).encode() + data)
        return True

    async def test(fleet, engines):
        await fleet.call("/long/x", method="POST", body=b"1", call_id="first")
        for number in range(8):
            headers = ["Last-Event-Id: 2", "Resumes: first"]
            options = {"call_id": f"c{number}", "headers": headers}
            _, _, body = await fleet.call("/long/x", method="POST", body=b"1", **options)
            assert body == numbered(3, 4)
        assert engines[0].requests

    run_with_engines(test, begin_anew, streaming(4))


@pytest.mark.parametrize("repeat", [numbered(1), numbered(2), numbered(3, 3), numbered(3, 1)])
def test_first_answer_that_repeats_itself_is_broken_off_and_can_be_resumed(repeat):
    """Guards against pieces that come twice, and against a resume from an event that repeats."""
    responder = relay_all(answer(numbered(1, 2), repeat), answer(numbered(3)))
    assert responder.sent == numbered(1, 2, 3)
    assert responder.finished


def test_first_answer_whose_first_events_repeat_is_not_passed_on():
    """Guards against a stream that begins out of order, though it could be retried whole."""
    responder = relay_all(answer(numbered(1, 2, 1)), answer(numbered(1, 2, 3)))
    assert responder.sent == numbered(1, 2, 3)


def test_first_answer_may_have_events_without_ids_and_ids_that_jump():
    """Guards against order checks that break off sound streams."""
    data = b"data: a\n\n" + numbered(2, 7) + b": note\n\ndata: b\n\nid: end\ndata: c\n\n"
    assert relay_all(answer(data)).sent == data


def test_events_of_a_stream_that_may_not_be_resumed_are_passed_on_unchecked():
    """Guards against order checks on routes for which the ids of events mean nothing."""
    data = numbered(2, 1) + numbered(2)
    assert relay_all(answer(data), resumable=False, resume_after="5").sent == data


def test_text_that_is_no_stream_is_passed_on_unchecked():
    """Guards against lines of another body that are taken for ids of events."""
    header = (b"content-type", b"text/plain")
    data = b"id: 2\n\nid: 1\n\n"
    assert relay_all(answer(data, headers=[header]), resume_after="5").sent == data


@pytest.mark.parametrize("seen", [(1, 2), (9, 10, 11), (998, 999)])
def test_resumed_stream_whose_ids_count_up_has_no_gap(seen):
    """Guards against a missing piece where another server goes on."""
    for event_id in (seen[-1] + 2, "end", "9" * 5000):
        with pytest.raises(HttpError, match=f"after '{seen[-1]}'"):
            relay_all(broken(numbered(*seen)), answer(f"id: {event_id}\ndata: x\n\n".encode()))
    rest = range(seen[-1] + 1, seen[-1] + 4)
    responder = relay_all(broken(numbered(*seen)), answer(numbered(*rest)))
    assert responder.sent == numbered(*seen, *rest)


def test_gap_is_noticed_where_a_stream_is_resumed_again():
    """Guards against a check that counts only the events of the first answer."""
    answers = [broken(numbered(1)), broken(numbered(2)), answer(numbered(4))]
    with pytest.raises(HttpError, match="after '2'"):
        relay_all(*answers)
    with pytest.raises(HttpError, match="after '7'"):
        relay_all(broken(numbered(6, 7)), answer(numbered(9)), resume_after="5")


@pytest.mark.parametrize(
    ("seen", "rest"),
    [
        (numbered(1, 2, 4), numbered(7)),
        (numbered(1, 4), numbered(5)),
        (numbered(1), numbered(3)),
        (b"id: a1\ndata: x\n\nid: a2\ndata: x\n\n", b"id: a4\ndata: x\n\n"),
    ],
)
def test_resumed_stream_may_jump_if_its_ids_do_not_count_up(seen, rest):
    """Guards against a gap check that breaks off streams whose ids jump, or may jump."""
    assert relay_all(broken(seen), answer(rest)).sent == seen + rest


@pytest.mark.parametrize("passed_on", [b"data: a\n\n", numbered(1) + b"data: b\n\n"])
def test_stream_is_not_continued_after_an_event_without_an_id(passed_on):
    """Guards against a piece that comes again since the last event can't be named to a server."""
    for rest in (b"data: a\n\n", numbered(2)):
        responder = _FakeResponder()
        with pytest.raises(HttpError, match="can't be continued"):
            relay_all(broken(passed_on), answer(rest), responder=responder)
        assert responder.sent == passed_on


def test_stream_of_which_only_comments_were_passed_on_may_begin_anew():
    """Guards against a stream that is cut though the caller has no event of it."""
    responder = relay_all(broken(b": note\n\n"), answer(numbered(1, 2)))
    assert responder.sent == b": note\n\n" + numbered(1, 2)


def test_answer_that_is_no_stream_is_not_continued_by_events():
    """Guards against events after the text of another answer."""
    header = (b"content-type", b"text/plain")
    with pytest.raises(HttpError, match="can't be continued"):
        relay_all(broken(b"a\n\n", headers=[header]), answer(numbered(1)))
    answers = [broken(b"a", headers=[header]), broken(numbered(1)), answer(numbered(2))]
    assert relay_all(*answers).sent == numbered(1, 2)


@pytest.mark.parametrize("headers", [[], [EVENTS_HEADER]])
def test_answer_that_may_not_be_resumed_is_not_joined_with_another_one(headers):
    """Guards against the answers of two runs in one body, on routes whose calls may be repeated."""
    responder = _FakeResponder()
    with pytest.raises(HttpError, match="can't be continued"):
        relay_all(
            broken(b"ab", headers=headers),
            answer(b"xy\n\n", headers=headers),
            resumable=False,
            responder=responder,
        )
    assert responder.sent == b"ab"


def test_media_type_of_a_stream_is_known_in_any_case():
    """Guards against a stream that ends inside an event and whose end looks complete."""
    header = (b"content-type", b"Text/Event-Stream; charset=utf-8")
    responder = relay_all(
        answer(numbered(1) + b"id: 2\nda", headers=[header]), answer(numbered(2), headers=[header])
    )
    assert responder.sent == numbered(1, 2)
