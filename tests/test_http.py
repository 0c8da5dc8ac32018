"""Tests of the HTTP server and client against peers that send unusual messages."""

import socket
from functools import partial

import h11
import pytest
import trio
import trio.testing

from figwalk.errors import HttpError
from figwalk.events import EventLog
from figwalk.timer import Timer
from figwalk.transport import (
    ClientDisconnectedError,
    HttpClient,
    HttpRequest,
    HttpServer,
    Responder,
)

LOOPBACK = "127.0.0.1"


async def respond(request, responder):
    if request.path == "/streamed":
        await responder.start(200, [])
        await responder.send_chunk(b"text")
        await responder.finish()
    else:
        # A 204 response can't have a body.
        await responder.send(204 if request.path == "/bad" else 200, [], b"text")


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("HEAD", "/", b"200"), ("HEAD", "/streamed", b"200"), ("GET", "/bad", b"")],
)
def test_server_continues_after_head_or_invalid_response(method, path, status):
    """Guards against a HEAD request or an invalid response that ends the whole process."""

    async def main():
        async with trio.open_nursery() as nursery:
            server = HttpServer(respond, EventLog("test", Timer()))
            port = await nursery.start(server.serve, LOOPBACK, 0)
            stream = await trio.open_tcp_stream(LOOPBACK, port)
            await stream.send_all(f"{method} {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
            await stream.send_eof()
            data = b"".join([part async for part in stream])
            assert data.split(b" ")[1:2] == ([status] if status else [])
            assert b"text" not in data
            assert (await HttpClient(LOOPBACK, port).fetch("GET", "/"))[1] == b"text"
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_server_continues_after_an_unexpected_error_of_its_screen():
    """Guards against an error in the check of a request's head that ends the whole process."""

    async def screen(_request, _responder):
        raise ValueError("unexpected")

    async def main():
        async with trio.open_nursery() as nursery:
            server = HttpServer(respond, EventLog("test", Timer()), screen=screen)
            port = await nursery.start(server.serve, LOOPBACK, 0)
            stream = await trio.open_tcp_stream(LOOPBACK, port)
            await stream.send_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\n")
            data = b"".join([part async for part in stream])
            assert data.split(b" ")[1:2] == [b"500"]
            assert (await HttpClient(LOOPBACK, port).fetch("GET", "/"))[1] == b"text"
            nursery.cancel_scope.cancel()

    trio.run(main)


async def send_bad_chunk(stream):
    await stream.receive_some(1000)
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    await stream.send_all(head + b"3\r\nabc\r\nZZ\r\n")


def test_malformed_chunk_raises_http_error():
    """Guards against an untyped parser error that ends the agent's task."""

    async def main():
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_tcp, host=LOOPBACK)
            listeners = await nursery.start(serve, send_bad_chunk, 0)
            client = HttpClient(LOOPBACK, listeners[0].socket.getsockname()[1])
            with pytest.raises(HttpError, match="broke the HTTP exchange"):
                await client.fetch("GET", "/")
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("accepted", [False, True])
def test_drain_responds_to_a_request_that_has_just_arrived(accepted):
    """Guards against a reset of a request that the server had not read when the drain began."""

    async def main():
        async with trio.open_nursery() as nursery:
            server = HttpServer(respond, EventLog("test", Timer()))
            port = await nursery.start(server.serve, LOOPBACK, 0)
            client = socket.create_connection((LOOPBACK, port))
            if accepted:
                await trio.testing.wait_all_tasks_blocked(0.01)
            client.sendall(b"GET /late HTTP/1.1\r\nhost: x\r\n\r\n")
            await server.drain()
            nursery.cancel_scope.cancel()
        data = client.recv(1000)
        assert data.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in data.lower()
        client.close()

    trio.run(main)


def test_connections_are_refused_after_a_drain():
    """Guards against a request that the server accepts and never responds to."""

    async def main():
        async with trio.open_nursery() as nursery:
            server = HttpServer(respond, EventLog("test", Timer()))
            port = await nursery.start(server.serve, LOOPBACK, 0)
            await server.drain()
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection((LOOPBACK, port))
            nursery.cancel_scope.cancel()

    trio.run(main)


class BlockedStream:
    """A stream to a client that reads only the first bytes."""

    def __init__(self):
        self.sent = b""

    async def send_all(self, data):
        """Record the first bytes as sent and block."""
        self.sent += data[:10]
        await trio.sleep_forever()


def make_responder(stream):
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    connection.next_event()
    return Responder(connection, stream)


def test_response_interrupted_during_a_write_is_not_finished():
    """Guards against another response on a connection after an incomplete one."""

    async def main():
        responder = make_responder(BlockedStream())
        with trio.move_on_after(1):
            await responder.send(200, [], b"body")
        assert responder.started
        assert not responder.finished

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_no_bytes_are_sent_after_an_interrupted_write():
    """Guards against an error event in the middle of a chunk that a deadline interrupted."""

    async def main():
        stream = BlockedStream()
        responder = make_responder(stream)
        with trio.move_on_after(1):
            await responder.start(200, [])
        sent = stream.sent
        with trio.fail_after(1), pytest.raises(ClientDisconnectedError):
            await responder.send_chunk(b"more")
        assert stream.sent == sent

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_sent_at_excludes_the_time_to_connect(monkeypatch):
    """Guards against engines measured as slow because each request opens a connection."""
    open_stream = trio.open_tcp_stream

    async def open_slowly(*args):
        await trio.sleep(1.0)
        return await open_stream(*args)

    async def main():
        async def serve(stream):
            await stream.receive_some(65536)
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(partial(trio.serve_tcp, serve, 0, host="127.0.0.1"))
            client = HttpClient("127.0.0.1", listeners[0].socket.getsockname()[1])
            monkeypatch.setattr(trio, "open_tcp_stream", open_slowly)
            started = trio.current_time()
            response, _ = await client.fetch("GET", "/")
            assert response.sent_at >= started + 1.0
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_request_abandoned_on_an_open_connection_sends_nothing():
    """Guards against bytes for a caller that left while the connection was being opened."""

    class AbandonedError(Exception):
        pass

    def abandon():
        raise AbandonedError

    async def main():
        received = []

        async def serve(stream):
            received.append(await stream.receive_some(65536))
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(partial(trio.serve_tcp, serve, 0, host="127.0.0.1"))
            client = HttpClient("127.0.0.1", listeners[0].socket.getsockname()[1])
            with pytest.raises(AbandonedError):
                async with client.open(HttpRequest("GET", "/left", [], b""), before_send=abandon):
                    pass
            await client.fetch("GET", "/kept")
            (data,) = received
            assert data.startswith(b"GET /kept")
            assert client.opened == 1
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("waiting", [True, False])
def test_request_that_waited_on_a_new_connection_began_when_it_was_accepted(waiting):
    """Guards against deadlines that don't count the time until a busy process reads a request."""

    async def main():
        started = []

        async def answer(request, responder):
            started.append(request.started_at)
            await responder.send_json(200, {})

        server = HttpServer(answer, EventLog("server", Timer()))
        ours, theirs = trio.socket.socketpair()
        client = trio.SocketStream(ours)
        accepted_at = trio.current_time() - 5.0
        request = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
        async with client, trio.open_nursery() as nursery:
            if waiting:
                await client.send_all(request)
            nursery.start_soon(server._serve_connection, trio.SocketStream(theirs), accepted_at)
            await trio.testing.wait_all_tasks_blocked()
            if not waiting:
                await client.send_all(request)
            while await client.receive_some():
                pass
        assert (started[0] == accepted_at) == waiting

    trio.run(main)
