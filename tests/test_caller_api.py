import json
import socket

import pytest
import trio
import trio.testing
from entry_fakes import HOST, JSON, SSE, Script, api_test

from figwalk.errors import CallerError, CallOutcome, HttpError, RefusalError
from figwalk.protocol.chat import MAX_TRANSCRIPT_BYTES
from figwalk.transport import HttpRequest

CHAT = json.dumps({"model": "m", "messages": [{"role": "user", "content": "hi"}]}).encode()
STREAM = CHAT[:-1] + b', "stream": true}'
CHAT_PATH = "/v1/chat/completions"
UNKNOWN = CallOutcome.UNKNOWN
EVENT = b'data: {"id": "%b", "created": %d, "choices": [{"delta": {"content": "%b"}}]}\n\n'
DONE = b"data: [DONE]\n\n"
EACH_KIND_OF_CALL = pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("POST", CHAT_PATH, CHAT),
        ("POST", CHAT_PATH, STREAM),
        ("GET", "/services/depot/stock/x", b""),
    ],
    ids=["buffered", "stream", "service"],
)


def render_request(method, path, body, headers=b""):
    """Return the bytes of a request."""
    length = b"Content-Length: %d\r\n" % len(body)
    line = f"{method} {path} HTTP/1.1\r\nHost: x\r\n".encode()
    return line + headers + length + b"\r\n" + body


def refuse(code, **fields):
    return Script(RefusalError(code, "refused", **fields))


def error_of(body):
    error = json.loads(body)["error"]
    assert {"type", "code", "message"} <= set(error)
    return error


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status", "code"),
    [
        ("GET", "/nothing", [], b"", 404, "not_found"),
        ("GET", CHAT_PATH, [], b"", 405, "method_not_allowed"),
        ("POST", "/v1/models", [], b"", 405, "method_not_allowed"),
        ("CONNECT", "/healthz", [], b"", 405, "method_not_allowed"),
        ("POST", CHAT_PATH, [], CHAT.replace(b'"m"', b'"other"'), 404, "model_not_found"),
        ("POST", CHAT_PATH, [], b"{", 400, "invalid_json"),
        ("POST", CHAT_PATH, [(b"figwalk-deadline-ms", b"-5")], CHAT, 400, "invalid_deadline"),
        ("POST", CHAT_PATH, [(b"figwalk-deadline-ms", b"0")], CHAT, 400, "invalid_deadline"),
        ("POST", CHAT_PATH, [(b"figwalk-deadline-ms", b"9" * 99)], CHAT, 400, "invalid_deadline"),
        ("POST", CHAT_PATH, [(b"figwalk-priority", b"urgent")], CHAT, 400, "invalid_priority"),
        ("POST", CHAT_PATH, [(b"figwalk-organisation", b"a b")], CHAT, 400, "invalid_header"),
        ("POST", CHAT_PATH, [(b"x-request-id", b"\xff")], CHAT, 400, "invalid_header"),
        ("GET", "/services/none/x", [], b"", 404, "service_not_found"),
        ("GET", "/services/llm/x", [], b"", 404, "service_not_found"),
        ("POST", "/services/depot/orders/x", [], b"", 400, "idempotency_key_required"),
        ("POST", "/services/depot/orders/x?a", [], b"", 400, "idempotency_key_required"),
        ("POST", "/services/depot//orders/x", [], b"", 400, "idempotency_key_required"),
        ("POST", "/services/depot/%6frders/x", [], b"", 400, "idempotency_key_required"),
        ("POST", "/services/depot/a/../orders/x", [], b"", 400, "idempotency_key_required"),
        ("post", "/services/depot/orders/x", [], b"", 400, "idempotency_key_required"),
        (
            "POST",
            "/services/depot/orders/x",
            [(b"idempotency-key", b"k" * 300)],
            b"",
            400,
            "invalid_idempotency_key",
        ),
    ],
)
def test_bad_request_is_a_typed_4xx(method, path, headers, body, status, code):
    """Guards against an invalid request that is forwarded, or answered as a server error."""

    async def check(api):
        response, data = await api.client.fetch(method, path, headers=headers, body=body)
        assert response.status == status
        error = error_of(data)
        assert (error["type"], error["code"]) == ("invalid_request_error", code)
        assert [name for name in api.names() if name != "REQUEST_RECEIVED"] == ["HTTP_BAD_REQUEST"]
        assert not api.backends.calls

    api_test(Script(), check=check)


@pytest.mark.parametrize("path", [CHAT_PATH, "/services/depot/stock/x"])
@pytest.mark.parametrize(
    ("scripts", "status", "kind", "code", "outcome", "retry_after"),
    [
        ([], 503, "server_error", "no_backend", "not_run", b"1"),
        (
            [refuse("overloaded", status=429, retry_after_ms=2001)],
            429,
            "rate_limit_error",
            "overloaded",
            "not_run",
            b"3",
        ),
        (
            [
                refuse("lost", outcome=UNKNOWN, retry_after_ms=9000),
                refuse("overloaded", status=429, retry_after_ms=1),
            ],
            429,
            "rate_limit_error",
            "overloaded",
            "outcome_unknown",
            b"1",
        ),
    ],
)
def test_refusal_has_outcome_and_retry_time(
    path, scripts, status, kind, code, outcome, retry_after
):
    """Guards against the outcome `not_run` for a call that may have run (invariant 5)."""

    async def check(api):
        method, body = ("POST", CHAT) if path == CHAT_PATH else ("GET", b"")
        headers = [(b"x-request-id", b"r1")]
        response, data = await api.client.fetch(method, path, headers=headers, body=body)
        error = error_of(data)
        assert (response.status, error["type"], error["code"]) == (status, kind, code)
        assert error["outcome"] == error["attempt"] == outcome
        assert response.header(b"retry-after").encode() == retry_after
        assert response.header(b"x-request-id") == "r1"
        assert api.tallies.refusals == {code: 1}
        assert "REQUEST_REFUSED" in api.names()

    api_test(*scripts, check=check)


@pytest.mark.parametrize(
    ("error", "status", "code", "attempt"),
    [
        (CallerError(409, "key_expired", "old"), 409, "key_expired", None),
        (CallerError(422, "key_reused", "other"), 422, "key_reused", None),
        (
            RefusalError(
                "in_progress", "runs", status=409, outcome=UNKNOWN, attempt=CallOutcome.NOT_RUN
            ),
            409,
            "in_progress",
            "not_run",
        ),
        (
            RefusalError("outcome_unknown", "gone", outcome=UNKNOWN),
            503,
            "outcome_unknown",
            "outcome_unknown",
        ),
    ],
)
def test_status_of_a_keyed_call(error, status, code, attempt):
    """Guards against outcomes of a key that a caller can't distinguish."""

    async def check(api):
        headers = [(b"idempotency-key", b"k")]
        response, data = await api.client.fetch("POST", "/services/depot/orders/x", headers=headers)
        body = error_of(data)
        assert (response.status, body["code"], body.get("attempt")) == (status, code, attempt)

    api_test(check=check, keyed=error)


def test_replayed_answer_is_marked():
    """Guards against a caller that takes a replayed answer for a second run."""

    async def check(api):
        headers = [(b"idempotency-key", b"k")]
        response, data = await api.client.fetch("POST", "/services/depot/orders/x", headers=headers)
        assert (response.status, data) == (201, b"done")
        assert response.header(b"idempotent-replayed") == "true"

    api_test(check=check)


def test_missed_deadline_is_a_504_with_unknown_outcome():
    """Guards against a call whose caller gets no answer at its deadline."""

    async def check(api):
        headers = [(b"figwalk-deadline-ms", b"1"), (b"figwalk-priority", b"batch")]
        response, data = await api.client.fetch("POST", CHAT_PATH, headers=headers, body=CHAT)
        assert response.status == 504
        assert error_of(data)["outcome"] == "outcome_unknown"
        assert api.backends.calls[0].priority.value == "batch"
        assert api.backends.calls[0].deadline_ms <= 1

    api_test(Script(waits=True), check=check)


def test_models_health_and_readiness():
    """Guards against a balancer that sends requests to an entry without configuration."""

    async def check(api):
        models = json.loads((await api.client.fetch("GET", "/v1/models"))[1])
        assert [(m["id"], m["object"], m["owned_by"]) for m in models["data"]] == [
            ("m", "model", "llm")
        ]
        assert (await api.client.fetch("GET", "/healthz"))[0].status == 200
        assert (await api.client.fetch("GET", "/readyz"))[0].status == 200
        api.ready = False
        assert (await api.client.fetch("GET", "/readyz"))[0].status == 503

    api_test(check=check)


def test_lost_attempt_is_retried_and_a_broken_stream_resumed():
    """Guards against a stream that stops, repeats text or changes its id when an engine fails."""
    first = Script(headers=SSE, chunks=[EVENT % (b"a", 1, b"x")], breaks=True)
    second = Script(headers=SSE, chunks=[EVENT % (b"b", 2, b"y"), DONE])

    async def check(api):
        response, data = await api.client.fetch("POST", CHAT_PATH, body=STREAM)
        assert response.status == 200
        assert data == EVENT % (b"a", 1, b"x") + EVENT % (b"a", 1, b"y") + DONE
        assert json.loads(api.backends.calls[2].body)["resume_tokens"] == ["x"]
        assert api.names().count("STREAM_RESUMED") == 1
        await api.server.drain()
        assert api.tallies.answered == 1

    lost = Script(RefusalError("leaving", "leaves"))
    api_test(lost, first, second, check=check)


@pytest.mark.parametrize("body", [CHAT, STREAM])
def test_engine_error_4xx_is_passed_on_and_the_connection_kept(body):
    """Guards against an entry that closes the caller's connection after an engine's 4xx."""

    async def check(api):
        for _ in range(2):
            response, data = await api.client.fetch("POST", CHAT_PATH, body=body)
            assert (response.status, data) == (422, b"bad")
            assert response.header(b"connection") != "close"
        assert "TASK_FAILED" not in api.names()

    api_test(Script(status=422, headers=JSON, chunks=[b"bad"]), check=check)


def test_stream_that_cannot_be_resumed_ends_with_an_error_event():
    """Guards against a truncated stream that a caller takes for a complete one."""

    async def check(api):
        async with api.client.open(HttpRequest("POST", CHAT_PATH, [], STREAM)) as response:
            parts = []
            with pytest.raises(HttpError, match="broke the HTTP exchange"):
                async for part in response.chunks():
                    parts.append(part)
        assert b'"error"' in b"".join(parts)
        assert DONE not in b"".join(parts)
        assert api.names()[-1] == "STREAM_CUT"

    api_test(Script(headers=SSE, chunks=[EVENT % (b"a", 1, b"x")], breaks=True), check=check)


@pytest.mark.parametrize("breaks", [False, True], ids=["whole", "broken"])
def test_stream_above_the_bound_of_its_transcript_is_relayed_but_not_resumed(breaks):
    """Guards against a long stream that is cut, or resumed without the events sent before."""
    event = EVENT % (b"a", 1, b"x" * 65536)
    events = [event] * (MAX_TRANSCRIPT_BYTES // len(event) + 1)

    async def check(api):
        async with api.client.open(HttpRequest("POST", CHAT_PATH, [], STREAM)) as response:
            data = b""
            try:
                async for part in response.chunks():
                    data += part
            except HttpError:
                pass
        assert data.startswith(b"".join(events))
        assert response.complete != breaks
        assert data.endswith(DONE) != breaks
        assert len(api.backends.calls) == 1

    first = Script(headers=SSE, chunks=[*events, *([] if breaks else [DONE])], breaks=breaks)
    api_test(first, Script(headers=SSE, chunks=[DONE]), check=check)


@EACH_KIND_OF_CALL
def test_call_without_an_answer_at_the_end_of_a_stop_gets_a_final_one(method, path, body):
    """Guards against a caller whose connection ends without an answer, and who can't tell why."""

    async def check(api):
        async def stop():
            while not api.backends.calls:
                await trio.sleep(0)
            async with api.stop.stopping(0.3):
                await api.server.drain()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            response, data = await api.client.fetch(method, path, body=body)
        assert response.status == 504
        assert error_of(data)["code"] == "stopping"
        assert error_of(data)["outcome"] == "outcome_unknown"
        assert len(api.backends.calls) == 1

    api_test(Script(waits=True), Script(), check=check)


def test_call_that_comes_late_in_a_stop_is_refused_as_not_run():
    """Guards against a call that is sent so late in the grace time that it is cut."""

    async def check(api):
        async with api.stop.stopping(20.0, accept_s=-1.0):
            response, data = await api.client.fetch("POST", CHAT_PATH, body=CHAT)
        assert response.status == 503
        assert error_of(data)["code"] == "stopping"
        assert error_of(data)["outcome"] == "not_run"
        assert not api.backends.calls

    api_test(Script(), check=check)


def test_retry_needs_budget():
    """Guards against retries that make an overload worse."""

    async def check(api):
        response, data = await api.client.fetch("POST", CHAT_PATH, body=CHAT)
        assert response.status == 503
        assert error_of(data)["code"] == "backend_lost"
        assert error_of(data)["outcome"] == "outcome_unknown"
        assert len(api.backends.calls) == 1
        assert "RETRY_BUDGET_EMPTY" in api.names()

    api_test(Script(breaks=True), Script(), check=check, retry_ratio=0)


@EACH_KIND_OF_CALL
def test_call_whose_caller_left_is_cancelled(method, path, body):
    """Guards against a backend server that works to the end for a caller that has left."""

    async def check(api):
        stream = await trio.open_tcp_stream(HOST, api.port)
        await stream.send_all(render_request(method, path, body))
        while not api.backends.calls:
            await trio.sleep(0.001)
        await stream.aclose()
        while api.server.active_requests:
            await trio.sleep(0.001)
        assert api.names()[-1] == "REQUEST_CANCELLED"

    api_test(Script(waits=True), check=check)


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [("POST", CHAT_PATH, CHAT), ("POST", CHAT_PATH, STREAM), ("GET", "/services/depot/x", b"")],
    ids=["buffered", "stream", "service"],
)
def test_call_read_after_its_caller_left_is_not_sent(method, path, body):
    """Guards against a busy entry that reads a request with the close behind it, and sends it."""

    async def check(api):
        caller = socket.create_connection((HOST, api.port))
        caller.sendall(render_request(method, path, body))
        caller.close()
        while "REQUEST_CANCELLED" not in api.names():
            await trio.sleep(0.001)
        assert not api.backends.calls

    api_test(Script(), check=check)


def test_keyed_call_whose_caller_left_runs_on():
    """Guards against a non-repeatable call whose outcome stays unknown to the caller's retry."""

    async def check(api):
        api.keyed.gate = trio.Event()
        stream = await trio.open_tcp_stream(HOST, api.port)
        headers = b"Idempotency-Key: k1\r\n"
        await stream.send_all(render_request("POST", "/services/depot/orders/x", b"", headers))
        while not api.keyed.started:
            await trio.sleep(0.001)
        await stream.aclose()
        await trio.testing.wait_all_tasks_blocked()
        api.keyed.gate.set()
        while api.server.active_requests:
            await trio.sleep(0.001)
        assert api.keyed.completed

    api_test(Script(), check=check)
