"""Tests that a client reads a bounded number of bytes of an endless answer.

The tests count the bytes that the server could send before the client closed the connection.
"""

import tracemalloc
from contextlib import asynccontextmanager

import pytest
import trio
from agent_fakes import agent_test, body_of
from support.endless_server import CHUNK, MAX_ENDLESS_BYTES, PIECE
from support.platform_fakes import HOST, answering, run_test, running_fleet

from figwalk.agent.call_server import MAX_FORWARDED_BYTES
from figwalk.errors import HttpError
from figwalk.protocol.event_stream import EventStreamSplitter
from figwalk.transport import HttpClient, HttpRequest
from figwalk.transport.http_client import MAX_RESPONSE_BYTES, MAX_SKIPPED_BYTES
from standins.platform_config import make_config

OK = b"HTTP/1.1 200 OK\r\nRequest-Id: c1\r\nServer-Stamp: 1\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: c0\r\nServer-Stamp: 1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
HUGE = b"Content-Length: 99999999999\r\n\r\n"
UNTIL_CLOSE = b"Connection: close\r\n\r\n"
# Bytes that the buffers of two loopback sockets may hold beside those that the client reads.
BUFFERED_BYTES = 16 * 1024 * 1024

# A few pieces, as they are received.
MAX_KEPT_BYTES = 8 * len(PIECE)

FORMS = {
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2000),
    "line": (b"", PIECE),
    "header": (b"HTTP/1.1 200 OK\r\nX: ", PIECE),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X: 1\r\n" * 10000),
    "chunk extension": (OK + CHUNKED + b"1;", PIECE),
    "trailer": (OK + CHUNKED + b"0\r\nX: ", PIECE),
    "chunked body": (OK + CHUNKED, CHUNK),
    "body until close": (OK + UNTIL_CLOSE, PIECE),
    "body of a huge length": (OK + HUGE, PIECE),
    "chunked answer to another call": (OTHER + CHUNKED, CHUNK),
    "answer to another call until close": (OTHER + UNTIL_CLOSE, PIECE),
    "answer to another call of a huge length": (OTHER + HUGE, PIECE),
}


class EndlessServer:
    """Sends a piece repeatedly until the client closes the connection, and counts the bytes."""

    def __init__(self, head, piece):
        self.head = head
        self.piece = piece
        self.sent = 0
        self.ended = trio.Event()

    async def serve(self, stream):
        """Answer the first request on a connection with the head and repeated pieces."""
        await stream.receive_some(65536)
        try:
            await stream.send_all(self.head)
            while self.sent < MAX_ENDLESS_BYTES:
                await stream.send_all(self.piece)
                self.sent += len(self.piece)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)
            self.ended.set()


@asynccontextmanager
async def running_server(form):
    server = EndlessServer(*FORMS[form])
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
        yield server, listeners[0].socket.getsockname()[1]
        nursery.cancel_scope.cancel()


def is_own_answer(headers):
    return dict(headers).get(b"request-id") == b"c1"


@pytest.mark.parametrize("form", FORMS)
def test_client_closes_the_connection_of_an_endless_answer(form):
    """Guards against a process whose memory a faulty server exhausts."""

    async def test():
        async with running_server(form) as (server, port):
            client = HttpClient(HOST, port)
            with pytest.raises(HttpError):
                async with client.open(
                    HttpRequest("GET", "/", []), is_own_response=is_own_answer
                ) as response:
                    await response.read()
            await server.ended.wait()
            bound = MAX_SKIPPED_BYTES if "another" in form else MAX_RESPONSE_BYTES
            assert server.sent <= bound + BUFFERED_BYTES

    run_test(test)


def test_error_of_an_endless_answer_does_not_keep_its_body():
    """Guards against memory that is in use, but no longer counted, until the garbage collection.

    An error that a caller of `read` keeps in a variable forms a reference cycle with its traceback.
    """

    async def test():
        async with running_server("chunked body") as (_, port):
            tracemalloc.start()
            try:
                with pytest.raises(HttpError) as caught:
                    await HttpClient(HOST, port).fetch("GET", "/")
                held = tracemalloc.get_traced_memory()[0]
            finally:
                tracemalloc.stop()
            assert "above" in str(caught.value)
            assert held < MAX_KEPT_BYTES

    run_test(test)


def test_error_of_an_endless_event_does_not_keep_it():
    """Guards against memory that is in use, but no longer counted, until the garbage collection."""
    splitter = EventStreamSplitter()
    tracemalloc.start()
    try:
        with pytest.raises(HttpError) as caught:
            while True:
                splitter.feed(PIECE)
        held = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert "above" in str(caught.value)
    assert held < MAX_KEPT_BYTES


def test_stalled_answer_to_another_call_times_out():
    """Guards against a call that waits until its deadline for the end of another call's answer."""

    async def test():
        async def serve(stream):
            await stream.receive_some(65536)
            await stream.send_all(OTHER + HUGE)
            await trio.sleep_forever()

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            client = HttpClient(HOST, listeners[0].socket.getsockname()[1])
            with pytest.raises(HttpError):
                async with client.open(HttpRequest("GET", "/", []), is_own_response=is_own_answer):
                    pass
            nursery.cancel_scope.cancel()

    run_test(test)


def endless(head, piece):
    """Return a script of a backend server that sends an endless answer."""

    async def script(backend, stream, request):
        backend.sent = 0
        await stream.send_all(head.replace(b"c1", request.call_id.encode()))
        while backend.sent < MAX_ENDLESS_BYTES:
            await stream.send_all(piece)
            backend.sent += len(piece)
        return False

    return script


@pytest.mark.parametrize("form", ["informational", "chunked body", "body of a huge length"])
def test_call_with_an_endless_answer_is_not_reported_as_not_run(form):
    """Guards against an order that a caller repeats because its answer could not be read."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            backend = await fleet.add_backend("b1", endless(*FORMS[form]))
            await fleet.start_gateway()
            status, _, _ = await fleet.call("/order/x", method="POST", body=b"1")
            assert status == 502
            assert len(backend.requests) == 1

    run_test(main)


def test_idempotent_call_is_retried_after_an_endless_answer():
    """Guards against a service that fails because one backend server sends endless answers."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            await fleet.add_backend("b1", endless(*FORMS["chunked body"]))
            await fleet.add_backend("b2", answering(b"ok"))
            await fleet.start_gateway()
            for i in range(4):
                status, _, body = await fleet.call("/check/x", call_id=f"c{i}")
                assert (status, body) == (200, b"ok")

    run_test(main)


def test_complete_answer_below_the_limit_is_read():
    """Guards against a bound that truncates a configuration or a page of the store."""

    async def test():
        body = b"x" * (MAX_RESPONSE_BYTES - 1)

        async def serve(stream):
            await stream.receive_some(65536)
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            await stream.send_all(head + body)

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            client = HttpClient(HOST, listeners[0].socket.getsockname()[1])
            _, read = await client.fetch("GET", "/")
            assert read == body
            nursery.cancel_scope.cancel()

    run_test(test)


@pytest.mark.parametrize("claim", ["", "order-1"], ids=["repeatable", "keyed"])
def test_agent_ends_an_endless_answer_as_incomplete(claim):
    """Guards against an entry that collects an endless answer until its memory is exhausted."""

    @agent_test("service")
    async def test(running):
        running.backend.chunks = [PIECE] * (2 * MAX_FORWARDED_BYTES // len(PIECE))
        entry = await running.connect()
        await entry.call(claim_id=claim, incarnation=entry.hello.incarnation)
        frames = await entry.result()
        assert not frames[-1].complete
        assert len(body_of(frames)) <= MAX_FORWARDED_BYTES

    test()
