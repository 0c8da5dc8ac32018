import json

import pytest
import trio
import trio.testing

from figwalk.coordination.http_log_client import HttpLogClient
from figwalk.errors import LogAnswerLostError, LogError, LogTruncatedError, LogUnavailableError
from figwalk.protocol.records import ClaimBatch, Release
from figwalk.state.settings import Address
from tests.support.fake_log import page_json, store


def answer(status, body=b""):
    return b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%s" % (status, len(body), body)


async def call(reply, use):
    """Run one call against a server that sends a fixed reply, or nothing and stays silent."""
    clock = trio.lowlevel.current_clock()
    received = bytearray()

    async def serve(stream):
        received.extend(await stream.receive_some(65536))
        if reply is None:
            clock.jump(60)
            await trio.sleep_forever()
        await stream.send_all(reply)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        result = await capture(lambda: use(HttpLogClient(address)))
        nursery.cancel_scope.cancel()
    if isinstance(result, LogError):
        raise result
    return result, bytes(received)


async def capture(function):
    # An error that leaves a nursery is wrapped in a group, which pytest.raises does not match.
    try:
        return await function()
    except LogError as error:
        return error


def run(function, *args):
    return trio.run(function, *args, clock=trio.testing.MockClock())


def append(client):
    return client.append("claims", "id-1", b"data")


def test_append_sends_record_id_and_returns_the_offset():
    offset, sent = run(call, answer(200, json.dumps({"offset": 7, "time_ms": 1}).encode()), append)
    assert offset == 7
    assert sent.startswith(b"POST /streams/claims/records ")
    assert b"x-record-id: id-1\r\n" in sent
    assert sent.endswith(b"\r\n\r\ndata")


@pytest.mark.parametrize(
    ("reply", "error"),
    [
        (answer(429), LogUnavailableError),
        (answer(503), LogUnavailableError),
        (answer(413), LogUnavailableError),
        (answer(500), LogAnswerLostError),
        (answer(504), LogAnswerLostError),
        (answer(200, b"{"), LogAnswerLostError),
        (b"", LogAnswerLostError),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{", LogAnswerLostError),
        (None, LogAnswerLostError),
    ],
)
def test_failed_append_tells_whether_the_record_may_be_in_the_log(reply, error):
    """Guards against a written record that is taken for refused, which breaks at-most-once."""
    with pytest.raises(error):
        run(call, reply, append)


def test_refused_connection_means_not_written():
    async def use():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        await listeners[0].aclose()
        await append(HttpLogClient(Address("127.0.0.1", port)))

    with pytest.raises(LogUnavailableError):
        run(use)


def test_read_returns_the_page_or_the_oldest_offset():
    records = store([ClaimBatch("1", [Release("a")])])
    page, _ = run(call, answer(200, page_json(0, 1, records)), lambda c: c.read("claims", 0))
    assert (page.oldest, page.head, page.records) == (0, 1, tuple(records))
    with pytest.raises(LogTruncatedError) as caught:
        run(call, answer(200, page_json(5, 9, [])), lambda c: c.read("claims", 0))
    assert caught.value.oldest == 5
    with pytest.raises(LogUnavailableError):
        run(call, None, lambda c: c.read("claims", 0, wait_ms=2000))
