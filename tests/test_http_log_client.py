import pytest
import trio
import trio.testing

from figwalk.coordination.http_log_client import HttpLogClient
from figwalk.errors import LogAnswerLostError, LogError, LogTruncatedError, LogUnavailableError
from figwalk.state.settings import Address

RECORD = b'{"offset": 5, "time_ms": 9, "record_id": "r", "data": "ZGF0YQ=="}'


def encode_response(status, body=b""):
    return b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%s" % (status, len(body), body)


def call(use, reply, *, refuse=False):
    """Run one call against a server that sends a fixed reply, or no reply for None."""
    received = bytearray()
    clock = trio.testing.MockClock()

    async def serve(stream):
        received.extend(await stream.receive_some(65536))
        if reply is None:
            clock.jump(60)
            await trio.sleep_forever()
        await stream.send_all(reply)

    async def run():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        if refuse:
            await listeners.pop().aclose()
        async with trio.open_nursery() as nursery:
            if listeners:
                nursery.start_soon(trio.serve_listeners, serve, listeners)
            try:
                return await use(HttpLogClient(Address("127.0.0.1", port)))
            except LogError as error:  # Outside the nursery it would be wrapped in a group.
                return error
            finally:
                nursery.cancel_scope.cancel()

    result = trio.run(run, clock=clock)
    if isinstance(result, LogError):
        raise result
    return result, bytes(received)


def append(client):
    return client.append("claims", "id-1", b"data")


def read(client):
    return client.read("claims", 5, wait_ms=2000)


def test_append_sends_record_id_and_returns_the_offset():
    offset, sent = call(append, encode_response(200, b'{"offset": 7, "time_ms": 1}'))
    assert offset == 7
    assert sent.startswith(b"POST /streams/claims/records ")
    assert b"x-record-id: id-1\r\n" in sent
    assert sent.endswith(b"\r\n\r\ndata")


@pytest.mark.parametrize("status", [429, 503, 413, 500, 504])
def test_error_of_refused_append_shows_whether_the_record_may_be_in_the_log(status):
    """Guards against treating a written record as refused, which would break at-most-once."""
    with pytest.raises(LogUnavailableError if status in (429, 503, 413) else LogAnswerLostError):
        call(append, encode_response(status))


CUT = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{"


@pytest.mark.parametrize("reply", [encode_response(200, b"{"), b"", CUT, None])
def test_append_without_a_response_may_be_in_the_log(reply):
    with pytest.raises(LogAnswerLostError):
        call(append, reply)
    with pytest.raises(LogUnavailableError):
        call(read, reply)


def test_refused_connection_means_that_the_record_is_not_written():
    with pytest.raises(LogUnavailableError):
        call(append, None, refuse=True)


def test_read_returns_the_page_or_the_oldest_offset():
    page, _ = call(
        read, encode_response(200, b'{"oldest": 0, "head": 6, "records": [%s]}' % RECORD)
    )
    assert (page.oldest, page.head, page.records[0].data) == (0, 6, b"data")
    with pytest.raises(LogTruncatedError) as caught:
        call(read, encode_response(200, b'{"oldest": 6, "head": 9, "records": []}'))
    assert caught.value.oldest == 6
