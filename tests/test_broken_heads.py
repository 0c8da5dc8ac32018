"""Tests that an answer that is not HTTP/1.1 reaches no caller (RFC 9110 and RFC 9112)."""

from collections import Counter
from contextlib import asynccontextmanager

import h11
import pytest
import trio
from support.platform_fakes import (
    HOST,
    answering,
    event,
    fetch,
    make_request,
    run_test,
    running_fleet,
    streaming,
)

from figwalk.cli.admin_client import AdminClient, AdminUnavailableError
from figwalk.errors import HttpError, LogUnavailableError
from figwalk.platform import PlatformStore
from figwalk.state.settings import Address
from figwalk.transport import HttpClient, HttpRequest
from standins.platform_config import make_config

OK = b"HTTP/1.1 200 OK\r\n"
FIELDS = b"Request-Id: c1\r\nServer-Stamp: 1\r\nContent-Type: text/event-stream\r\n"
LENGTH = b"Content-Length: 16\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENT = b"id: 1\ndata: t1\n\n"
BODY = b"\r\n" + EVENT
CHUNKS = b"\r\n10\r\n" + EVENT + b"\r\n0\r\n\r\n"


def status(line):
    return line + b"\r\n" + FIELDS + LENGTH + BODY


def field(line):
    return OK + FIELDS + line + b"\r\n" + LENGTH + BODY


FORMS = {
    "status 000": status(b"HTTP/1.1 000 Trouble"),
    "status 099": status(b"HTTP/1.1 099 Trouble"),
    "status of two digits": status(b"HTTP/1.1 20 OK"),
    "status of four digits": status(b"HTTP/1.1 2000 OK"),
    "status 600": status(b"HTTP/1.1 600 Trouble"),
    "status 999": status(b"HTTP/1.1 999 Trouble"),
    "HTTP/2.0": status(b"HTTP/2.0 200 OK"),
    "HTTP/0.9": status(b"HTTP/0.9 200 OK"),
    "unasked upgrade": status(b"HTTP/1.1 101 Switching Protocols"),
    "line before the status": b"\r\n" + status(b"HTTP/1.1 200 OK"),
    "blank in a name": field(b"X Y: 1"),
    "blank after a name": field(b"X : 1"),
    "blank after the name of the length": OK + FIELDS + b"Content-Length : 2\r\n" + BODY,
    "tab in a name": field(b"X\tY: 1"),
    "control byte in a name": field(b"X\x01Y: 1"),
    "null byte in a name": field(b"X\x00Y: 1"),
    "carriage return in a name": field(b"X\rY: 1"),
    "delete in a name": field(b"X\x7fY: 1"),
    "no name": field(b": 1"),
    "no colon": field(b"X"),
    "blank before the first name": OK + b" X: 1\r\n" + FIELDS + LENGTH + BODY,
    "blank in a name of an informational answer": b"HTTP/1.1 103 X\r\nX Y: 1\r\n\r\n"
    + field(b"X: 1"),
    "blank in a name of a trailer": OK + FIELDS + CHUNKED + CHUNKS[:-2] + b"X Y: 1\r\n\r\n",
    "control byte in a value of a trailer": OK
    + FIELDS
    + CHUNKED
    + CHUNKS[:-2]
    + b"X: a\x01b\r\n\r\n",
    "null byte in a value": field(b"X: a\x00b"),
    "carriage return in a value": field(b"X: a\rb"),
    "control byte in a value": field(b"X: a\x01b"),
    "escape in a value": field(b"X: a\x1bb"),
    "delete in a value": field(b"X: a\x7fb"),
    "control byte in a value of an informational answer": b"HTTP/1.1 103 X\r\nX: \x01\r\n\r\n"
    + field(b"X: 1"),
    "control byte in a reason": status(b"HTTP/1.1 200 O\x01K"),
    "length and chunks": OK + FIELDS + LENGTH + CHUNKED + CHUNKS,
    "chunks in HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + FIELDS + CHUNKED + CHUNKS,
    "two lengths": OK + FIELDS + b"Content-Length: 2\r\n" + LENGTH + BODY,
    "blank in the length": OK + FIELDS + b"Content-Length: 1 6\r\n" + BODY,
    "signed length": OK + FIELDS + b"Content-Length: +16\r\n" + BODY,
    "length of thousands of digits": OK
    + FIELDS
    + b"Content-Length: "
    + b"1" * 5000
    + b"\r\n"
    + BODY,
    "unknown coding": OK + FIELDS + b"Transfer-Encoding: gzip, chunked\r\n" + CHUNKS,
    "end in the status": b"HTTP/1.1 20",
    "end after the status": OK,
    "end in a name": OK + FIELDS + b"Content-Le",
    "end after a field": OK + FIELDS,
    "end in a length": OK + FIELDS + b"Content-Length: 1",
    "end in the empty line": OK + FIELDS + LENGTH + b"\r",
    "end after an informational answer": b"HTTP/1.1 103 X\r\n\r\n",
    "end before the last chunk": OK + FIELDS + CHUNKED + CHUNKS[:-5],
    "end in a trailer": OK + FIELDS + CHUNKED + CHUNKS[:-2] + b"X: 1",
}
SOUND = {
    "length": OK + FIELDS + LENGTH + BODY,
    "chunks": OK + FIELDS + CHUNKED + CHUNKS,
    "trailer": OK + FIELDS + CHUNKED + CHUNKS[:-2] + b"X: 1\r\n\r\n",
    "end of the connection": OK + FIELDS + BODY,
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + FIELDS + BODY,
    "no reason": b"HTTP/1.1 200\r\n" + FIELDS + LENGTH + BODY,
    "tab and byte above 127 in a value": field(b"X: a\tb\xe9"),
    "equal lengths": OK + FIELDS + LENGTH + LENGTH + BODY,
    "highest status": status(b"HTTP/1.1 599 X"),
}


def sending(data):
    """Return a script that sends bytes as the answer to a call, and ends the connection."""

    async def script(_backend, stream, request):
        await stream.send_all(data.replace(b"c1", request.call_id.encode()))
        await stream.send_eof()
        await stream.receive_some(1)
        return False

    return script


def breaking_first(attempts, form, answer):
    """Return a script that breaks the first answer to each call; others are as `answer` gives."""

    async def script(backend, stream, request):
        attempts[request.call_id] += 1
        first = attempts[request.call_id] == 1
        return await (sending(FORMS[form]) if first else answer)(backend, stream, request)

    return script


@asynccontextmanager
async def answering_with(data):
    """Run a server that sends the same bytes to every request; yield its port."""

    async def serve(stream):
        await stream.receive_some(65536)
        await stream.send_all(data)
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        yield listeners[0].socket.getsockname()[1]
        nursery.cancel_scope.cancel()


async def fetch_from(port):
    """Return status and body of an answer as the client reads them."""
    async with HttpClient(HOST, port).open(HttpRequest("GET", "/", [])) as response:
        return response.status, await response.read()


@pytest.mark.parametrize("form", FORMS)
def test_client_rejects_a_broken_answer(form):
    """Guards against any reader of answers that takes bytes for one which are none."""

    async def test():
        async with answering_with(FORMS[form]) as port:
            with pytest.raises(HttpError):
                await fetch_from(port)

    run_test(test)


@pytest.mark.parametrize("form", SOUND)
def test_client_reads_a_sound_answer(form):
    """Guards against checks that reject what HTTP allows."""

    async def test():
        async with answering_with(SOUND[form]) as port:
            code, body = await fetch_from(port)
        assert (code, body) == (599 if form == "highest status" else 200, EVENT)

    run_test(test)


@pytest.mark.parametrize("form", FORMS)
def test_readers_of_the_store_and_of_an_entry_reject_a_broken_answer(form):
    """Guards against a page of the store, or a status for an operator, that is no answer."""

    async def test():
        async with answering_with(FORMS[form]) as port:
            store = PlatformStore(Address(HOST, port), timeout_s=5.0)
            with pytest.raises(LogUnavailableError):
                await store.read("topic", 0)
            with pytest.raises(AdminUnavailableError):
                await AdminClient(f"http://{HOST}:{port}", "token").fetch_status()

    run_test(test)


async def fetch_or_cut(fleet, path, call_id):
    """Send a call; return its status, or None if its answer was cut."""
    request = make_request(path, method="POST", body=b"1", call_id=call_id)
    try:
        return (await fetch(fleet.callers, request))[0]
    except h11.RemoteProtocolError:
        return None


@pytest.mark.parametrize("form", FORMS)
def test_caller_of_a_call_that_must_not_be_repeated_gets_an_error(form):
    """Guards against a broken answer that reaches a caller, or an order that is sent twice."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            backends = [await fleet.add_backend(name, sending(FORMS[form])) for name in "ab"]
            engine = await fleet.add_backend("e", sending(FORMS[form]), "lm", stage="decode")
            await fleet.start_gateway()
            assert await fetch_or_cut(fleet, "/order/x", "o1") == 502
            assert sum(len(backend.requests) for backend in backends) == 1
            assert await fetch_or_cut(fleet, "/chat/x", "s1") in (502, None)
            assert len(engine.requests) == 1

    run_test(main)


@pytest.mark.parametrize("form", FORMS)
def test_caller_of_a_repeatable_call_gets_the_answer_of_another_backend(form):
    """Guards against a broken answer that reaches a caller although the call may be repeated."""
    attempts = Counter()
    script = breaking_first(attempts, form, answering(b"whole"))

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            for name in ("b1", "b2"):
                await fleet.add_backend(name, script)
            await fleet.start_gateway()
            code, _, body = await fleet.call("/check/x", call_id="k1")
            assert (code, body) == (200, b"whole")
            assert attempts["k1"] == 2

    run_test(main)


@pytest.mark.parametrize("form", FORMS)
def test_caller_of_a_resumable_stream_gets_all_events_once(form):
    """Guards against a broken answer that passes for a stream, or whose events come twice."""
    attempts = Counter()
    script = breaking_first(attempts, form, streaming(3))

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            for name in ("e1", "e2"):
                await fleet.add_backend(name, script, "lm", stage="decode")
            await fleet.start_gateway()
            prompt = ("Prefix-Hash: aa:60", "Token-Counts: 60,5", "Model: m")
            code, _, body = await fleet.call(
                "/long/x", method="POST", body=b"1", headers=prompt, call_id="s1"
            )
            assert (code, body) == (200, event(1) + event(2) + event(3))
            assert attempts["s1"] == 2

    run_test(main)
