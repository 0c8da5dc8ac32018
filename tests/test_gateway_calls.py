"""Tests how a gateway handles calls when backend servers misbehave."""

import socket
import struct

import h11
import pytest
import trio
from support.platform_fakes import (
    answering,
    fetch,
    hanging,
    make_request,
    read_answer,
    refusing,
    render,
    resetting,
    run_test,
    running_fleet,
)

from standins.platform_config import make_config, make_route


def with_fleet(**config):
    """Decorate a test so that it runs with a fleet whose configuration is published."""

    def wrap(test):
        def run():
            async def main():
                async with running_fleet() as fleet:
                    fleet.publish(make_config(**config))
                    await test(fleet)

            run_test(main)

        run.__name__ = test.__name__
        run.__doc__ = test.__doc__
        return run

    return wrap


@with_fleet()
async def test_answer_is_passed_on_unchanged(fleet):
    """Guards against a gateway that changes status, signature or body of an answer."""
    backend = await fleet.add_backend("b1", answering(b"stock: 4", status=201))
    await fleet.start_gateway()
    status, headers, body = await fleet.call("/check/stock?item=4")
    assert (status, body) == (201, b"stock: 4")
    assert headers["server-stamp"] == "1.2.3"
    assert headers["request-id"] == "c1"
    (request,) = backend.requests
    assert request.target == "/check/stock?item=4"
    assert request.headers["expect-instance"] == "b1"
    assert 0 < int(request.headers["deadline-ms"]) <= 2000


@with_fleet()
async def test_system_headers_of_a_caller_are_dropped(fleet):
    """Guards against callers that control an engine's cache, queue or role by forged headers."""
    backend = await fleet.add_backend("b1", answering())
    await fleet.start_gateway()
    forged = [
        "Kv-Hold: 1",
        "Pin-Ms: 4000",
        "Kv-Backup: 1.2.3.4:5",
        "Kv-Source: 1.2.3.4:5/6",
        "Kv-Fetch: 1.2.3.4:5",
        "Stage: prefill",
        "Request-Priority: 0",
        "Expect-Instance: b2",
        "X-Other: kept",
    ]
    await fleet.call("/check/x", headers=forged)
    headers = backend.requests[0].headers
    assert headers["x-other"] == "kept"
    assert headers["expect-instance"] == "b1"
    assert not {"kv-hold", "pin-ms", "kv-backup", "kv-source", "kv-fetch", "stage"} & set(headers)
    assert "request-priority" not in headers


@with_fleet()
async def test_non_repeatable_call_is_not_sent_again(fleet):
    """Guards against an order that runs twice because the first answer was lost."""
    backends = [await fleet.add_backend(f"b{i}", resetting) for i in range(2)]
    await fleet.start_gateway()
    status, _, _ = await fleet.call("/order/x", method="POST", body=b"1")
    assert status == 502
    assert sum(len(backend.requests) for backend in backends) == 1


@with_fleet()
async def test_not_run_statement_for_a_non_repeatable_call_is_passed_on(fleet):
    """Guards against a refusal without `Retry-After`, and against a second attempt."""
    backends = [await fleet.add_backend(f"b{i}", refusing) for i in range(2)]
    await fleet.start_gateway()
    status, headers, _ = await fleet.call("/order/x", method="POST", body=b"1")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert sum(len(backend.requests) for backend in backends) == 1


@with_fleet()
async def test_status_that_means_not_run_needs_the_statement_of_the_backend(fleet):
    """Guards against a 503, which means "not run", for an order that failed after its start."""
    await fleet.add_backend("b1", answering(b"", status=503))
    await fleet.start_gateway()
    status, headers, _ = await fleet.call("/order/x", method="POST", body=b"1")
    assert status == 502
    assert "server-stamp" not in headers


@with_fleet()
async def test_idempotent_call_is_retried_on_another_backend(fleet):
    """Guards against a failed stock check that another backend server could have answered."""
    await fleet.add_backend("b1", resetting)
    await fleet.add_backend("b2", answering(b"ok"))
    await fleet.start_gateway()
    answers = [await fleet.call("/check/x", call_id=f"c{i}") for i in range(4)]
    assert [(status, body) for status, _, body in answers] == [(200, b"ok")] * 4


@with_fleet()
async def test_unreachable_backend_does_not_count_as_an_attempt(fleet):
    """Guards against an order refused although a working backend server is registered."""
    gone = await fleet.add_backend("b0", answering())
    gone.port = 1
    gone.register(fleet.store, "orders", sequence=2)
    await fleet.add_backend("b1", answering(b"ok"))
    await fleet.start_gateway()
    for i in range(4):
        status, _, _ = await fleet.call("/order/x", method="POST", body=b"1", call_id=f"c{i}")
        assert status == 200


@with_fleet()
async def test_late_answer_of_an_earlier_call_is_skipped(fleet):
    """Guards against a caller that gets the answer to another caller's call."""

    async def script(backend, stream, request):
        extra = b""
        if backend.requests[:-1]:
            extra = render(request, b"theirs", call_id=backend.requests[-2].call_id)
        await stream.send_all(extra + render(request, request.call_id.encode()))
        return True

    await fleet.add_backend("b1", script)
    await fleet.start_gateway()
    for i in range(3):
        _, _, body = await fleet.call("/order/x", method="POST", body=b"1", call_id=f"c{i}")
        assert body == f"c{i}".encode()


@pytest.mark.parametrize("refusal_id", ["c0", ""])
@pytest.mark.parametrize("refusal", [{"status": 503}, {"status": 429}, {"status": 421}])
@pytest.mark.parametrize(("end", "expected"), [("answer", 200), ("close", 502), ("silence", 504)])
def test_refusal_of_an_earlier_call_says_nothing_about_the_next_one(
    refusal, refusal_id, end, expected
):
    """Guards against an order that ran and is refused as not run, or runs a second time."""

    async def script(backend, stream, request):
        options = refusal | {"signed": False, "Not_Executed": 1}
        if len(backend.requests) == 1:
            # After a refusal, the gateway would not use the connection again.
            await stream.send_all(render(request, b"ran"))
            return True
        copy = render(request, b"", call_id="EARLIER", **options)
        await stream.send_all(copy.replace(b"EARLIER", refusal_id.encode()))
        if end == "answer":
            await stream.send_all(render(request, b"ran"))
        if end == "close":
            await stream.aclose()
        return end != "close"

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            backend = await fleet.add_backend("b1", script)
            await fleet.start_gateway()
            first, _, _ = await fleet.call("/order/x", method="POST", body=b"1", call_id="c0")
            assert first == 200
            other = await fleet.add_backend("b2", answering(b"twice"), zone="c")
            while len(fleet.process._directory.entries()) < 2:
                await trio.sleep(0.01)
            status, _, _ = await fleet.call(
                "/order/x", method="POST", body=b"1", call_id="c1", deadline_ms=500
            )
            assert (status, len(backend.requests), backend.connections) == (expected, 2, 1)
            assert other.requests == []

    run_test(main)


@with_fleet()
async def test_bytes_after_an_answer_end_the_connection(fleet):
    """Guards against extra bytes that the next call on the connection reads as its answer."""

    async def script(_backend, stream, request):
        await stream.send_all(render(request, b"mine") + render(request, b"again"))
        return True

    backend = await fleet.add_backend("b1", script)
    await fleet.start_gateway()
    for i in range(2):
        _, _, body = await fleet.call("/check/x", call_id=f"c{i}")
        assert body == b"mine"
    assert backend.connections == 2


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: c1\r\nServer-Stamp: 1\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nRequest-Id: c1\r\nContent-Length: 4\r\n\r\nfake",
        b"",
    ],
    ids=["not http", "cut", "unsigned", "nothing"],
)
def test_invalid_or_truncated_answer_is_no_success(data):
    """Guards against an invalid or truncated answer that reaches the caller as a complete one."""

    async def script(_backend, stream, _request):
        await stream.send_all(data)
        await stream.aclose()
        return False

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            await fleet.add_backend("b1", script)
            await fleet.start_gateway()
            status, headers, _ = await fleet.call("/order/x", method="POST", body=b"1")
            assert status == 502
            assert "server-stamp" not in headers

    run_test(main)


@with_fleet()
async def test_route_timeout_gives_a_final_answer(fleet):
    """Guards against a caller that waits beyond the time limit of the route."""
    fleet.publish(
        make_config(2, [make_route("order", "non_repeatable", "orders", **{"timeout-ms": 200})])
    )
    await fleet.add_backend("b1", hanging)
    await fleet.start_gateway()
    status, _, _ = await fleet.call("/order/x", method="POST", body=b"1")
    assert status == 504


@with_fleet()
async def test_call_without_any_backend_is_refused_at_once_as_not_run(fleet):
    """Guards against a call held until its deadline although no backend server exists."""
    await fleet.start_gateway()
    started = trio.current_time()
    status, headers, _ = await fleet.call("/order/x", method="POST", body=b"1")
    assert status == 503
    assert "retry-after" in headers
    assert trio.current_time() - started < 1.5  # The call itself waits for 2 s.


@with_fleet()
async def test_call_whose_caller_disconnected_is_cancelled_at_the_backend(fleet):
    """Guards against backend servers that keep working for disconnected callers."""
    ended = trio.Event()

    async def script(_backend, stream, _request):
        await stream.receive_some(1)
        ended.set()
        return False

    backend = await fleet.add_backend("b1", script)
    await fleet.start_gateway()
    stream = await trio.open_tcp_stream(fleet.callers.host, fleet.callers.port)
    arrived = backend.arrived
    await stream.send_all(make_request("/order/x", method="POST", body=b"1"))
    await arrived.wait()
    await stream.aclose()
    await ended.wait()


@with_fleet()
async def test_unknown_route_is_404_and_unknown_configuration_503(fleet):
    """Guards against a 404 for a valid request while the gateway has no configuration yet."""
    await fleet.start_gateway()
    status, _, _ = await fleet.call("/nowhere/x")
    assert status == 404
    fleet.process._routing._current = None
    status, headers, _ = await fleet.call("/check/x")
    assert status == 503
    assert "retry-after" in headers


@pytest.mark.parametrize(
    "headers",
    [
        ["Content-Length: 1", "Transfer-Encoding: chunked"],
        ["Request-Id: c2"],
        ["Deadline-Ms: soon"],
    ],
    ids=["two lengths", "two ids", "no number"],
)
def test_ambiguous_request_is_refused(headers):
    """Guards against requests that two servers would parse differently."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            backend = await fleet.add_backend("b1", answering())
            await fleet.start_gateway()
            deadline = [h for h in headers if h.startswith("Deadline")]
            request = make_request("/check/x", headers=headers)
            if deadline:
                request = request.replace(b"Deadline-Ms: 2000\r\n", b"")
            status, _, _ = await fetch(fleet.callers, request + b"0\r\n\r\n")
            assert status == 400
            assert not backend.requests

    run_test(main)


@with_fleet()
async def test_smuggled_request_stays_in_the_body(fleet):
    """Guards against request smuggling: a request in the body of another one."""
    backend = await fleet.add_backend("b1", answering())
    await fleet.start_gateway()
    hidden = make_request("/order/hidden", method="POST", body=b"1", call_id="c9")
    await fleet.call("/order/x", method="POST", body=hidden)
    assert [request.target for request in backend.requests] == ["/order/x"]
    assert backend.requests[0].body == hidden


@with_fleet()
async def test_pipelined_request_is_answered_after_the_first(fleet):
    """Guards against a pipelined request that is lost while the first one is in flight."""

    async def script(_backend, stream, request):
        await trio.sleep(0.05)
        await stream.send_all(render(request, request.call_id.encode()))
        return True

    await fleet.add_backend("b1", script)
    await fleet.start_gateway()
    stream = await trio.open_tcp_stream(fleet.callers.host, fleet.callers.port)
    async with stream:
        await stream.send_all(make_request("/check/x", call_id="c1"))
        await trio.sleep(0.01)
        await stream.send_all(make_request("/check/x", call_id="c2"))
        first = await read_answer(stream)
        second = await read_answer(stream)
    assert [first[2], second[2]] == [b"c1", b"c2"]


@with_fleet()
async def test_answer_sent_before_the_end_of_a_long_body_is_passed_on(fleet):
    """Guards against a gateway that waits for a backend server to read a body that it has rejected.

    The gateway must not reuse the connection, since the rest of the body was not sent on it.
    """

    async def main_script(stream):
        data = b""
        while b"\r\n\r\n" not in data:
            data += await stream.receive_some(1024)
        await stream.send_all(
            b"HTTP/1.1 400 No\r\nRequest-Id: c1\r\nServer-Stamp: 1\r\nContent-Length: 2\r\n\r\nno"
        )
        await trio.sleep_forever()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    fleet.nursery.start_soon(trio.serve_listeners, main_script, listeners)
    backend = await fleet.add_backend("b1", answering())
    backend.port = listeners[0].socket.getsockname()[1]
    backend.register(fleet.store, "orders", sequence=2)
    await fleet.start_gateway()
    status, _, body = await fleet.call("/order/x", method="POST", body=b"x" * 90_000)
    assert (status, body) == (400, b"no")


@with_fleet()
async def test_answer_without_a_length_that_is_reset_is_not_complete(fleet):
    """Guards against a connection reset that counts as the end of a body."""

    async def script(_backend, stream, _request):
        await stream.send_all(b"HTTP/1.1 200 OK\r\nRequest-Id: c1\r\nServer-Stamp: 1\r\n\r\nhalf")
        await trio.sleep(0.05)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await stream.aclose()
        return False

    await fleet.add_backend("b1", script)
    await fleet.start_gateway()
    status, _, _ = await fleet.call("/order/x", method="POST", body=b"1")
    assert status == 502


@with_fleet()
async def test_broken_stream_does_not_look_complete(fleet):
    """Guards against a truncated stream that a caller takes for a complete one."""

    async def script(_backend, stream, _request):
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: c1\r\nServer-Stamp: 1\r\n"
        await stream.send_all(head + b"Transfer-Encoding: chunked\r\n\r\n")
        await stream.send_all(b"10\r\nid: 1\ndata: a\n\n\n\r\n")
        await stream.aclose()
        return False

    await fleet.add_backend("e1", script, "lm", stage="decode")
    await fleet.start_gateway()
    with pytest.raises(h11.RemoteProtocolError):
        await fleet.call("/chat/x", method="POST", body=b"1")


@with_fleet()
async def test_call_whose_deadline_passed_during_a_pause_of_the_gateway_is_not_sent(fleet):
    """Guards against an order that runs after its caller has timed out.

    After a pause of the process, cancellation at the deadline takes effect only once the request is
    sent, so the gateway has to check the deadline before. The outcome would be unknown otherwise.
    """
    backend = await fleet.add_backend("b1", answering())
    await fleet.start_gateway()
    api = fleet.process._callers._handler.__self__
    placement = api._plain_calls._placement
    choose = placement.choose

    def pause_and_choose(candidates, *, tried):
        api._timer.now = lambda: trio.current_time() + 10.0
        return choose(candidates, tried=tried)

    placement.choose = pause_and_choose
    status, headers, _ = await fleet.call("/order/x", method="POST", body=b"1", deadline_ms=800)
    assert status == 503
    assert "retry-after" in headers
    assert not backend.requests


@with_fleet()
async def test_call_whose_time_ends_before_it_is_sent_has_not_run(fleet):
    """Guards against an unknown outcome for a call that waited for a connection to the end."""
    backend = await fleet.add_backend("b1", answering())
    await fleet.start_gateway()
    status, _, _ = await fleet.call("/order/x", method="POST", body=b"1", deadline_ms=0)
    assert (status, backend.requests) == (503, [])


@pytest.mark.parametrize(("lag_s", "status"), [(0.4, 200), (0.6, 503)])
def test_time_that_a_request_waited_for_a_busy_gateway_counts(lag_s, status):
    """Guards against calls that are held past their time by as much as the event loop lags."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            backend = await fleet.add_backend("b1", answering())
            await fleet.start_gateway()
            lag = fleet.process._lag
            lag.record = lambda _late_s: None
            lag._lag_s = lag_s
            answer, _, _ = await fleet.call("/check/x", deadline_ms=500)
            assert answer == status
            assert all(int(r.headers["deadline-ms"]) <= 100 for r in backend.requests)
            assert len(backend.requests) == (status == 200)

    run_test(main)
