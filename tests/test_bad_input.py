"""Tests of invalid input on the ports of real entry and agent processes."""

import json
import socket
import struct
from contextlib import ExitStack

import pytest
from deployment_thread import MODEL, DeploymentThread

from figwalk.protocol.codec import encode_message
from figwalk.protocol.messages import Cancel, ConnectionKind, Hello

ENTRY, AGENT = "entry-1", "agent-depot-1"
TIMEOUT_S = 30
MAX_HEADER, MAX_BODY, MAX_CONNECTIONS = 4096, 65536, 40
# Events of connections, routing and the log, which processes record with or without bad input.
BACKGROUND_EVENTS = {"PEER_CONNECTED", "PEER_LOST", "REQUEST_ROUTED"}
BACKGROUND_EVENTS |= {"LEASE_ACQUIRED", "LEASE_LOST", "CONFIG_SNAPSHOT", "CONFIG_ADOPTED"}
BACKGROUND_EVENTS |= {"LOG_AVAILABLE", "LOG_UNAVAILABLE"}
CHAT = {"model": MODEL, "messages": [{"role": "user", "content": "hi"}], "max_tokens": 2}

NESTED = json.dumps(CHAT | {"model": "other", "x": 0}).replace("0}", "[" * 500 + "]" * 500 + "}")


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    limits = {
        "max_header_bytes": MAX_HEADER,
        "max_body_bytes": MAX_BODY,
        "max_connections": MAX_CONNECTIONS,
        "receive_timeout_s": 1.0,
    }
    with DeploymentThread(tmp_path_factory.mktemp("bad"), limits=limits) as running:
        yield running
        for name in (ENTRY, AGENT):
            assert "Traceback" not in running.log_text(name)
    assert running.faults == []


def connect(running, process, name):
    return socket.create_connection(running.address(process, name), TIMEOUT_S)


def read_all(stream):
    parts = []
    while part := stream.recv(65536):
        parts.append(part)
    return b"".join(parts)


def request(method, path, body=b"", headers=(), version="1.1"):
    lines = [f"{method} {path} HTTP/{version}", "host: x", "connection: close", *headers]
    if body:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def post(body):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return request("POST", "/v1/chat/completions", data)


def exchange(running, data, process=ENTRY, name="callers"):
    with connect(running, process, name) as stream:
        stream.sendall(data)
        return read_all(stream)


def assert_serving(running):
    assert exchange(running, post(CHAT)).startswith(b"HTTP/1.1 200")


def read_new_events(running, process, before):
    events = [name for name in running.events(process) if name not in BACKGROUND_EVENTS]
    return events[before:]


def count_events(running, process):
    return len(read_new_events(running, process, 0))


BAD_HTTP = {
    "no request line": (b"\r\n\r\n", 400),
    "not http": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
    "bad header": (b"GET / HTTP/1.1\r\nhost: x\r\nbad header\r\n\r\n", 400),
    "no host": (b"GET / HTTP/1.1\r\n\r\n", 400),
    "two lengths": (request("GET", "/", headers=["content-length: 1", "content-length: 2"]), 400),
    "negative length": (request("POST", "/", headers=["content-length: -1"]), 400),
    "bad chunk": (request("POST", "/", headers=["transfer-encoding: chunked"]) + b"zz\r\n", 400),
    "unknown coding": (request("POST", "/", headers=["transfer-encoding: gzip"]), 501),
    "oversize header": (request("GET", "/", headers=["x: " + "a" * 500_000]), 431),
    "oversize body": (post(b"x" * 8_000_000), 413),
    "announced body": (request("POST", "/x", headers=["content-length: 99999999999"]), 413),
    "connect": (request("CONNECT", "/healthz"), 405),
    "unknown method": (request("BREW", "/v1/models"), 405),
    "unknown path": (request("GET", "/%00"), 404),
    "absolute path": (request("GET", "http://x/v1/nothing"), 404),
    "bad json": (post(b"{"), 400),
    "nested json": (post(b"[" * 60_000), 400),
    "nested field": (post(NESTED.encode()), 404),
    "unknown model": (post(CHAT | {"model": "other"}), 404),
    "negative max_tokens": (post(CHAT | {"max_tokens": -1}), 400),
    "huge max_tokens": (post(CHAT | {"max_tokens": 10**300}), 400),
    "deadline": (request("POST", "/v1/completions", b"{}", ["figwalk-deadline-ms: x"]), 400),
    "messages": (post(CHAT | {"messages": {"role": 1}}), 400),
    "model": (post(CHAT | {"model": {}}), 400),
    "no key": (request("POST", "/services/depot/orders/water-calcium"), 400),
}


@pytest.mark.parametrize("name", BAD_HTTP)
def test_bad_http_gets_a_typed_error(running, name):
    """Guards against a bad request that gets no answer, breaks the entry, or floods its log."""
    data, status = BAD_HTTP[name]
    before = count_events(running, ENTRY)
    answer = exchange(running, data)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d" % status)
    assert {"type", "code", "message"} <= set(json.loads(body)["error"])
    assert read_new_events(running, ENTRY, before) == ["HTTP_BAD_REQUEST"]
    assert_serving(running)


@pytest.mark.parametrize(
    "field",
    ["temperature", "stop", "seed", "top_p", "user", "stream_options", "resume_tokens", "tools"],
)
@pytest.mark.parametrize("value", [[], {}, "x", -1, None, [None], 1e400])
@pytest.mark.parametrize("stream", [False, True])
def test_wrong_types_of_other_fields(running, field, value, stream):
    """Guards against an entry that fails on a wrong type in a field that only the engine uses."""
    answer = exchange(running, post(CHAT | {field: value, "stream": stream}))
    assert answer.split(b" ")[1] in {b"200", b"400", b"422"}


def test_head_and_pipelined_requests(running):
    """Guards against an answer to HEAD with a body, and pipelined answers out of order."""
    assert exchange(running, request("HEAD", "/healthz")).endswith(b"\r\n\r\n")
    first = b"GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n"
    answer = exchange(running, first + first + request("GET", "/readyz"))
    assert answer.count(b"HTTP/1.1 200") == 3
    assert answer.index(b'"data"') < answer.index(b'"ready"')


@pytest.mark.parametrize("data", [b"GET /heal", request("POST", "/x", b"12345")[:-2]])
def test_slow_sender_gets_a_408(running, data):
    """Guards against connections held open by a caller that never completes its request."""
    before = count_events(running, ENTRY)
    assert exchange(running, data).startswith(b"HTTP/1.1 408")
    assert read_new_events(running, ENTRY, before) == ["HTTP_SLOW_SENDER"]
    assert_serving(running)


def test_connections_above_the_limit_are_refused(running):
    """Guards against an entry that runs out of file descriptors because it accepts everything."""
    before = count_events(running, ENTRY)
    with ExitStack() as stack:
        for _ in range(MAX_CONNECTIONS):
            stream = stack.enter_context(connect(running, ENTRY, "callers"))
            stream.sendall(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
            assert stream.recv(65536).startswith(b"HTTP/1.1 200")
        answer = exchange(running, request("GET", "/healthz"))
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"\r\nretry-after: " in answer
    assert read_new_events(running, ENTRY, before) == ["HTTP_TOO_MANY_CONNECTIONS"]
    assert_serving(running)


def frame(payload, kind=0, length=None):
    return struct.pack("!IB", length or len(payload) + 1, kind) + payload


def hello(**fields):
    return frame(encode_message(Hello(ConnectionKind.PEER, "entry-9", 5, **fields)))


BAD_FRAMES = {
    "garbage": b"GET / HTTP/1.1\r\n\r\n",
    "oversize": frame(b"x", length=1 << 30),
    "unknown type": frame(b"xxxx", kind=9),
    "length zero": struct.pack("!IB", 0, 0),
    "bad message": frame(b"\xff" * 64),
    "wrong first message": frame(encode_message(Cancel(1))),
    "data first": frame(b"x" * 20, kind=1),
    "short data": frame(b"x", kind=1),
    "agent's kind": frame(encode_message(Hello(ConnectionKind.PEER, "x", 1)))
    + frame(encode_message(Cancel(1))),
}


@pytest.mark.parametrize("process", [ENTRY, AGENT])
@pytest.mark.parametrize("name", BAD_FRAMES)
def test_bad_frames_close_the_peer_connection(running, process, name):
    """Guards against invalid frames on the peer port that stop the process or flood its log."""
    before = count_events(running, process)
    with connect(running, process, "peers") as stream:
        stream.sendall(BAD_FRAMES[name])
        read_all(stream)
    assert read_new_events(running, process, before) == ["PEER_FRAME_REJECTED"]
    assert_serving(running)


@pytest.mark.parametrize("process", [ENTRY, AGENT])
def test_truncated_frame_records_no_event(running, process):
    """Guards against an error event for a peer that disconnects in the middle of a frame."""
    before = count_events(running, process)
    with connect(running, process, "peers") as stream:
        stream.sendall(hello()[:7])
        stream.shutdown(socket.SHUT_WR)
        assert read_all(stream) == b""
    assert read_new_events(running, process, before) == []
    assert_serving(running)


@pytest.mark.parametrize("process", [ENTRY, AGENT])
def test_peer_with_a_clock_far_ahead_is_harmless(running, process):
    """Guards against a peer's wrong clock that makes all later messages of the process invalid."""
    with connect(running, process, "peers") as stream:
        stream.sendall(hello(clock=2**64 - 1))
        stream.shutdown(socket.SHUT_WR)
        read_all(stream)
    assert "TASK_FAILED" not in running.events(process)
    assert_serving(running)


@pytest.mark.parametrize("path", ["/healthz", "/readyz"])
def test_health_port_of_the_agent_survives_bad_input(running, path):
    """Guards against a health port that no longer answers after bad input."""
    assert exchange(running, b"bad\r\n\r\n", AGENT, "health").startswith(b"HTTP/1.1 400")
    assert exchange(running, request("GET", path), AGENT, "health").startswith(b"HTTP/1.1 200")
    answer = exchange(running, request("GET", "/nothing"), AGENT, "health")
    assert answer.startswith(b"HTTP/1.1 404")
    assert {"type", "code", "message"} <= set(json.loads(answer.partition(b"\r\n\r\n")[2])["error"])
