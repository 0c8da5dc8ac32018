import json
import tracemalloc

import pytest

from figwalk.errors import CallerError
from figwalk.protocol.chat import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    MAX_TRANSCRIPT_BYTES,
    ModelRequest,
    StreamTranscript,
    drop_choices,
    rewrite_identity,
)
from figwalk.state.published import ServiceConfig
from figwalk.transport import ByteBudget

USER = {"role": "user", "content": "hi"}
CHAT = {"model": "m", "messages": [USER]}
FIRST = b'data: {"id": "a", "created": 1, "choices": [{"delta": {"content": "x"}}]}\n\n'
SECOND = b'data: {"id": "b", "created": 2, "choices": [{"delta": {"content": "y"}}]}\n\n'
DONE = b"data: [DONE]\n\n"
BIG_EVENT_BYTES = 64 * 1024


def parse(body, path=CHAT_PATH):
    return ModelRequest.parse(path, body if isinstance(body, bytes) else json.dumps(body).encode())


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"", "invalid_json"),
        (b"\xff\xfe", "invalid_json"),
        (b"[" * 100_000, "invalid_json"),
        (b'{"model":' * 100_000, "invalid_json"),
        (b'{"max_tokens": ' + b"9" * 5000 + b"}", "invalid_json"),
        (b"[]", "invalid_json"),
        (b"null", "invalid_json"),
        ({}, "invalid_model"),
        (CHAT | {"model": ["m"]}, "invalid_model"),
        (CHAT | {"stream": "yes"}, "invalid_stream"),
        (CHAT | {"n": 2}, "invalid_n"),
        (CHAT | {"n": {}}, "invalid_n"),
        (CHAT | {"messages": []}, "invalid_messages"),
        (CHAT | {"messages": "hi"}, "invalid_messages"),
        (CHAT | {"messages": [None]}, "invalid_messages"),
        (CHAT | {"messages": [{"role": 1}]}, "invalid_messages"),
        (CHAT | {"messages": [USER | {"content": 7}]}, "invalid_messages"),
        (CHAT | {"messages": [USER | {"content": [{"type": "image_url"}]}]}, "invalid_messages"),
        (CHAT | {"max_tokens": 0}, "invalid_max_tokens"),
        (CHAT | {"max_tokens": -1}, "invalid_max_tokens"),
        (CHAT | {"max_tokens": 1.5}, "invalid_max_tokens"),
        (CHAT | {"max_tokens": True}, "invalid_max_tokens"),
        (CHAT | {"max_completion_tokens": "9"}, "invalid_max_completion_tokens"),
    ],
)
def test_invalid_request_raises_caller_error_400(body, code):
    """Guards against a value of the wrong type that later causes an internal error."""
    with pytest.raises(CallerError) as caught:
        parse(body)
    assert (caught.value.status, caught.value.code) == (400, code)


@pytest.mark.parametrize("prompt", [None, ["a"], 5])
def test_completion_prompt_must_be_a_string(prompt):
    """Guards against a list of prompts whose tokens are estimated as those of one prompt."""
    with pytest.raises(CallerError, match="prompt must be a string"):
        parse({"model": "m", "prompt": prompt}, COMPLETIONS_PATH)


def test_request_fields():
    """Guards against a field that parsing drops, and against text that has no UTF-8 form."""
    parts = [{"type": "text", "text": "a"}, {"type": "text", "text": "\ud800"}]
    content = {"messages": [USER, {"role": "user", "content": parts}, {"role": "assistant"}]}
    model = parse(CHAT | content | {"stream": True, "max_tokens": 3, "max_completion_tokens": 4})
    assert (model.model, model.stream, model.max_tokens) == ("m", True, 4)
    assert model.prompt == b"hi\na?\n"
    assert parse({"model": "m", "prompt": "p"}, COMPLETIONS_PATH).prompt == b"p"


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"max_tokens": 11}, "max_tokens_too_large"),
        ({"max_tokens": 10**400}, "max_tokens_too_large"),
        ({"max_tokens": 1, "messages": [USER | {"content": "x" * 100}]}, "prompt_too_long"),
    ],
)
def test_service_limits(change, code):
    """Guards against a single request that uses the whole capacity of an engine."""
    model = parse(CHAT | change)
    with pytest.raises(CallerError) as caught:
        model.check_limits(ServiceConfig("model", max_output_tokens=10, max_prompt_tokens=20))
    assert caught.value.code == code


def test_default_answer_length_is_not_checked_against_the_limit():
    """Guards against a service with a low answer limit that refuses requests without one."""
    parse(CHAT).check_limits(ServiceConfig("model", max_output_tokens=10))


@pytest.mark.parametrize("text", ["\u0a97" * 1000, "\ud800"], ids=["gujarati", "lone surrogate"])
def test_resumed_body_is_not_much_longer_than_the_received_body(text):
    """Guards against a long prompt whose resumed request is above the frame limit."""
    body = parse(CHAT | {"messages": [USER | {"content": text}]}).resumed_body(["a"])
    assert json.loads(body)["messages"][0]["content"] == text
    assert len(body) < 4 * len(text) + 200


def test_transcript_above_its_bound_keeps_no_events():
    """Guards against a stream without end that exhausts the memory of an entry."""
    transcript = StreamTranscript(ByteBudget().open_charge())
    tracemalloc.start()
    try:
        for _ in range(3 * MAX_TRANSCRIPT_BYTES // BIG_EVENT_BYTES):
            transcript.add(b"data: " + b"x" * BIG_EVENT_BYTES + b"\n\n")
        held = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert held <= MAX_TRANSCRIPT_BYTES
    assert not transcript.empty
    assert not transcript.done
    transcript.add(DONE)
    assert transcript.done


def test_transcript_without_room_releases_its_events():
    """Guards against streams that together exhaust the memory of an entry."""
    budget = ByteBudget(limit=3 * len(FIRST))
    first, second = (StreamTranscript(budget.open_charge()) for _ in range(2))
    first.add(FIRST)
    second.add(FIRST)
    second.add(FIRST + FIRST)
    assert first.resumable
    assert not second.resumable
    assert budget.held == len(FIRST)
    second.add(SECOND + DONE)
    assert second.done
    assert budget.held == len(FIRST)


def test_transcript_returns_tokens_and_identity_for_resuming():
    """Guards against a resumed stream that repeats or drops text, or changes its id."""
    transcript = StreamTranscript(ByteBudget().open_charge())
    assert transcript.empty
    role = b'data: {"id": "a", "created": 1, "choices": [{"delta": {"role": "assistant"}}]}\n\n'
    completion = b'data: {"id": "a", "choices": [{"text": "z"}]}\n\n'
    usage = b'data: {"id": "a", "choices": []}\n\n'
    for data in (role + FIRST, SECOND + completion + usage):
        transcript.add(data)
    assert transcript.tokens() == ["x", "y", "z"]
    assert transcript.identity() == {"id": "a", "created": 1}
    assert not transcript.done
    transcript.add(SECOND + DONE)
    assert transcript.done
    body = json.loads(parse(CHAT).resumed_body(["x"]))
    assert body == CHAT | {"resume_tokens": ["x"]}


def test_identity_is_rewritten_in_every_event_except_done():
    """Guards against a resumed stream that a client takes for two responses."""
    data = rewrite_identity(SECOND + SECOND + DONE, {"id": "a", "created": 1})
    assert data == (SECOND.replace(b'"b"', b'"a"').replace(b"2", b"1")) * 2 + DONE


def test_comments_and_event_names_are_not_parsed_as_json():
    """Guards against a keep-alive comment that prevents its stream from being resumed."""
    named = b": ping\n\nevent: chunk\n" + FIRST
    transcript = StreamTranscript(ByteBudget().open_charge())
    transcript.add(named)
    assert transcript.tokens() == ["x"]
    assert rewrite_identity(b": ping\n\n" + DONE, {"id": "a"}) == b": ping\n\n" + DONE


def test_events_with_crlf_are_split_as_those_with_lf():
    """Guards against an internal error that cuts a stream of an engine that ends lines with CRLF.

    The agent takes such events for complete ones.
    """
    first, second, done = (data.replace(b"\n", b"\r\n") for data in (FIRST, SECOND, DONE))
    transcript = StreamTranscript(ByteBudget().open_charge())
    transcript.add(first + b": ping\r\n\r\n" + SECOND + second)
    assert transcript.tokens() == ["x", "y", "y"]
    assert transcript.identity() == {"id": "a", "created": 1}
    rewritten = second.replace(b'"b"', b'"a"').replace(b"2", b"1")
    data = rewrite_identity(second + SECOND + second + done, {"id": "a", "created": 1})
    assert data == rewritten + rewritten.replace(b"\r", b"") + rewritten + done
    assert drop_choices(first + SECOND + done) == done
