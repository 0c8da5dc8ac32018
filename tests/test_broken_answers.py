"""Tests that a broken answer of a backend server never reaches a caller as a whole one."""

import os
import socket
from contextlib import asynccontextmanager

import h11
import pytest
import trio
from support.platform_fakes import (
    HEAD,
    HOST,
    answering,
    chunk,
    event,
    make_request,
    run_test,
    running_fleet,
)
from support.upload_server import (
    PLAYS,
    UNFRAMED,
    UPLOAD_BYTES,
    UploadServer,
    answer_and_reset,
    reset,
    serve_slowly,
)

from figwalk.cli.admin_client import AdminClient
from figwalk.cli.errors import AdminAnswerLostError
from figwalk.coordination.http_log_client import HttpLogClient
from figwalk.errors import HttpError, LogAnswerLostError, LogUnavailableError
from figwalk.platform import PlatformStore
from figwalk.protocol.records import Change
from figwalk.state.settings import Address
from figwalk.transport import HttpClient, HttpRequest
from figwalk.transport.byte_stream import ByteStream
from standins.platform_config import make_config

# Above what is sent before the response is received, and what the buffers of two sockets hold.
RECORD_BYTES = 256 * 1024


@asynccontextmanager
async def serving(handle):
    """Run a server whose receive buffers are small; yield its port."""
    async with trio.open_nursery() as nursery:
        yield await nursery.start(serve_slowly, handle)
        nursery.cancel_scope.cancel()


async def connect_pair():
    """Return both ends of a TCP connection."""
    with socket.create_server((HOST, 0)) as server:
        stream = await trio.open_tcp_stream(HOST, server.getsockname()[1])
        return ByteStream(stream), server.accept()[0]


async def fail_to_write(stream):
    """Write until the connection reports its loss."""
    with pytest.raises(trio.BrokenResourceError):
        while True:
            await stream.send_all(b"x" * 65536)


def test_end_after_a_reset_that_a_write_reported_is_no_clean_end():
    """Guards against a reset that is taken for the end of the body.

    The kernel reports an error of a socket once. A write that gets it leaves the following read
    with what looks like the end of the stream.
    """

    async def test():
        stream, peer = await connect_pair()
        peer.sendall(b"part")
        reset(peer)
        await fail_to_write(stream)
        assert await stream.receive_some(100) == b"part"
        for _ in range(2):
            with pytest.raises(trio.BrokenResourceError):
                await stream.receive_some(100)
            with pytest.raises(trio.BrokenResourceError):
                stream.receive_now()

    run_test(test)


def test_end_before_a_reset_stays_a_clean_end():
    """Guards against a whole answer that is lost because its server then stops reading."""

    async def test():
        stream, peer = await connect_pair()
        peer.sendall(b"whole")
        peer.shutdown(socket.SHUT_WR)
        reset(peer)
        await fail_to_write(stream)
        assert await stream.receive_some(100) == b"whole"
        assert await stream.receive_some(100) == b""

    run_test(test)


@pytest.mark.parametrize("pause_s", [0, 0.002])
def test_unframed_answer_that_is_reset_during_an_upload_is_incomplete(pause_s):
    """Guards against a part of an answer that is taken for a whole one."""

    async def test():
        async def handle(stream):
            await stream.receive_some(100)
            await answer_and_reset(stream, UNFRAMED % b"c1" + b"part", pause_s)

        async with serving(handle) as port:
            client = HttpClient(HOST, port)
            request = HttpRequest("POST", "/", [], b"x" * UPLOAD_BYTES)
            for _ in range(PLAYS):
                with pytest.raises(HttpError):
                    async with client.open(request) as response:
                        await response.read()

    run_test(test)


def test_unframed_answer_that_ends_during_an_upload_is_complete():
    """Guards against an early answer that is dropped although its server ended it."""

    async def test():
        async def handle(stream):
            await stream.receive_some(100)
            os.write(stream.socket.fileno(), UNFRAMED % b"c1" + b"whole")
            stream.socket.shutdown(socket.SHUT_WR)
            reset(stream.socket)

        async with serving(handle) as port:
            client = HttpClient(HOST, port)
            request = HttpRequest("POST", "/", [], b"x" * UPLOAD_BYTES)
            for _ in range(PLAYS):
                async with client.open(request) as response:
                    assert await response.read() == b"whole"

    run_test(test)


async def append_to_log(port, data):
    """Append a record as an entry does."""
    await HttpLogClient(Address(HOST, port), timeout_s=5.0).append("claims", "r1", data)


async def append_to_store(port, data):
    """Append a record as a gateway does."""
    await PlatformStore(Address(HOST, port), timeout_s=5.0).append("topic", {"key": data})


async def publish(port, data):
    """Publish a value as the command line does."""
    change = Change("presets/peak", {"description": data.decode()}, 0)
    await AdminClient(f"http://{HOST}:{port}", "token").publish([change], author="test")


@pytest.mark.parametrize(
    ("write", "error"),
    [
        (append_to_log, LogAnswerLostError),
        (append_to_store, LogUnavailableError),
        (publish, AdminAnswerLostError),
    ],
    ids=["log", "store", "operator"],
)
def test_write_that_is_reset_during_its_upload_is_not_confirmed(write, error):
    """Guards against a record or a publication that is taken for accepted, and is lost."""

    async def test():
        async def handle(stream):
            await stream.receive_some(100)
            await answer_and_reset(stream, UNFRAMED % b"c1" + b'{"offset": 1, "revision": 1}')

        async with serving(handle) as port:
            for _ in range(PLAYS):
                with pytest.raises(error):
                    await write(port, b"x" * RECORD_BYTES)

    run_test(test)


@asynccontextmanager
async def uploading_fleet(server, service, **fields):
    """Run a gateway in front of two backend servers that share an `UploadServer`."""
    async with serving(server.handle) as port, running_fleet() as fleet:
        config = make_config()
        config["limits"]["max-body-bytes"] = UPLOAD_BYTES
        fleet.publish(config)
        for name in ("b1", "b2"):
            backend = await fleet.add_backend(name, answering(), service, **fields)
            backend.port = port
            backend.register(fleet.store, service, sequence=2, **fields)
        await fleet.start_gateway()

        async def upload(path, call_id):
            body = b"x" * UPLOAD_BYTES
            return await fleet.call(path, method="POST", body=body, call_id=call_id)

        yield upload


@pytest.mark.parametrize(
    ("path", "service", "fields", "part"),
    [
        ("/order/x", "orders", {}, b"part"),
        ("/chat/x", "lm", {"stage": "decode"}, b"id: 1\ndata: t1\n\n"),
    ],
    ids=["order", "stream"],
)
def test_caller_gets_no_whole_answer_from_a_reset_during_its_upload(path, service, fields, part):
    """Guards against an order or a stream of which a caller gets a part as the whole answer."""

    async def main():
        server = UploadServer(part)
        async with uploading_fleet(server, service, **fields) as upload:
            for i in range(PLAYS):
                try:
                    status, _, _ = await upload(path, f"c{i}")
                except h11.RemoteProtocolError:
                    status = None  # A stream that has begun is cut.
                assert status is None or status >= 500
            assert len(server.calls) == len(set(server.calls))
            assert len(server.calls) >= PLAYS // 2

    run_test(main)


def test_repeatable_call_that_is_reset_during_its_upload_is_answered_by_another_backend():
    """Guards against a caller that gets a part of an answer, or none, though it may be repeated."""

    async def main():
        server = UploadServer(b"part")
        async with uploading_fleet(server, "orders") as upload:
            for i in range(PLAYS):
                status, _, body = await upload("/check/x", f"c{i}")
                assert (status, body) == (200, b"whole")
            assert len(server.calls) == 2 * PLAYS

    run_test(main)


def test_resumable_stream_that_is_reset_during_its_upload_goes_on_at_another_engine():
    """Guards against events that are missing, or come twice, after a reset in a stream."""

    def stream_after(last_event_id):
        return b"".join(event(number) for number in range(last_event_id + 1, 4))

    async def main():
        server = UploadServer(event(1), stream_after)
        async with uploading_fleet(server, "lm", stage="decode") as upload:
            for i in range(PLAYS):
                status, _, body = await upload("/long/x", f"c{i}")
                assert (status, body) == (200, stream_after(0))
            assert len(server.calls) == 2 * PLAYS

    run_test(main)


@pytest.mark.parametrize("breaks", [True, False], ids=["broken", "whole"])
def test_stream_to_a_caller_of_http_1_0_looks_complete_only_if_it_is(breaks):
    """Guards against a part of a stream that ends like a whole one.

    A caller of HTTP/1.0 knows no chunks and takes the end of the connection for that of the body.
    """

    async def script(_backend, stream, request):
        await stream.send_all(HEAD.format(request.call_id).encode() + chunk(event(1)))
        if not breaks:
            await stream.send_all(b"0\r\n\r\n")
        await stream.aclose()
        return False

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            await fleet.add_backend("e1", script, "lm", stage="decode")
            await fleet.start_gateway()
            request = make_request("/chat/x", method="POST", body=b"1")
            stream = await trio.open_tcp_stream(fleet.callers.host, fleet.callers.port)
            async with stream:
                await stream.send_all(request.replace(b"HTTP/1.1", b"HTTP/1.0"))
                data, was_reset = b"", False
                try:
                    while piece := await stream.receive_some(4096):
                        data += piece
                except trio.BrokenResourceError:
                    was_reset = True
            assert was_reset == breaks
            assert breaks or data.endswith(event(1))

    run_test(main)
