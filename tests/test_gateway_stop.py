"""Tests how a gateway stops after SIGTERM."""

import json

import pytest
import trio
from support.platform_fakes import (
    HEAD,
    answering,
    chunk,
    event,
    fetch,
    hanging,
    make_request,
    render,
    run_test,
    running_fleet,
)

from figwalk.gateway import process as gateway_process
from figwalk.gateway.plain_calls import PlainCalls
from standins.platform_config import make_config, make_route


def run_stopping(test, monkeypatch, script):
    """Run a test with a gateway whose stop phases are shortened."""
    monkeypatch.setattr(gateway_process, "BALANCER_NOTICE_S", 0.2)
    monkeypatch.setattr(gateway_process, "LAST_REQUEST_S", 0.4)

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            backend = await fleet.add_backend("b1", script)
            await fleet.start_gateway()
            await test(fleet, backend)

    run_test(main)


def test_stopping_gateway_answers_requests_in_flight(monkeypatch):
    """Guards against a planned stop that ends an order in flight."""
    go_on = trio.Event()

    async def script(_backend, stream, request):
        await go_on.wait()
        await stream.send_all(render(request, b"ok"))
        return True

    async def test(fleet, backend):
        answers = []

        async def call():
            answers.append(await fleet.call("/order/x", method="POST", body=b"1"))

        async with trio.open_nursery() as nursery:
            arrived = backend.arrived
            nursery.start_soon(call)
            await arrived.wait()
            nursery.start_soon(fleet.process.stop)
            await fleet.wait_ready(ready=False)
            go_on.set()
        assert answers[0][0] == 200

    run_stopping(test, monkeypatch, script)


def test_request_late_in_a_stop_is_refused_and_not_sent(monkeypatch):
    """Guards against a call that starts so late that the process ends before its answer.

    The head of a stream that began before the stop carries no `Connection: close`. When the stream
    ends late in the stop, the caller's next request is read from the same connection.
    """
    go_on = trio.Event()

    async def script(_backend, stream, request):
        await stream.send_all(HEAD.format(request.call_id).encode() + chunk(event(1)))
        await go_on.wait()
        await stream.send_all(b"0\r\n\r\n")
        return True

    async def test(fleet, _backend):
        engine = await fleet.add_backend("e1", script, "lm", stage="decode")
        while "e1" not in {entry.backend for entry in fleet.process._directory.entries()}:
            await trio.sleep(0.01)
        stream = await trio.open_tcp_stream(fleet.callers.host, fleet.callers.port)
        async with stream:
            await stream.send_all(make_request("/chat/x", method="POST", body=b"1", call_id="c1"))
            data = b""
            while event(1) not in data:
                data += await stream.receive_some(4096)
            stop_at = trio.current_time()
            fleet.nursery.start_soon(fleet.process.stop)
            await stream.send_all(make_request("/chat/x", method="POST", body=b"1", call_id="c2"))
            await trio.sleep_until(stop_at + gateway_process.LAST_REQUEST_S + 0.1)
            go_on.set()
            while b"0\r\n\r\n" not in data:
                data += await stream.receive_some(4096)
            rest = data.partition(b"0\r\n\r\n")[2]
            while more := await stream.receive_some(4096):
                rest += more
        assert [request.call_id for request in engine.requests] == ["c1"]
        assert rest.startswith(b"HTTP/1.1 503") or not rest

    run_stopping(test, monkeypatch, answering())


def test_stopping_gateway_still_serves_callers_that_have_not_noticed(monkeypatch):
    """Guards against connections refused before the balancer has removed the gateway."""

    async def test(fleet, _backend):
        fleet.nursery.start_soon(fleet.process.stop)
        await fleet.wait_ready(ready=False)
        status, headers, _ = await fetch(fleet.callers, make_request("/check/x"))
        assert status == 200
        assert headers["connection"] == "close"

    run_stopping(test, monkeypatch, answering())


SLOW_ROUTES = [
    make_route("check", "idempotent", "orders", **{"timeout-ms": 20_000}),
    make_route("order", "non_repeatable", "orders", **{"timeout-ms": 20_000}),
    make_route("chat", "stream", "lm", sticky=True, **{"timeout-ms": 20_000}),
]


async def call_slowly(fleet, path, answers):
    """Send a call whose caller waits for longer than the grace time, and keep its answer."""
    answers.append(await fleet.call(path, method="POST", body=b"1", deadline_ms=20_000))


@pytest.mark.parametrize(
    ("path", "service", "fields"),
    [
        ("/order/x", "orders", {}),
        ("/check/x", "orders", {}),
        ("/chat/x", "lm", {"stage": "decode"}),
    ],
    ids=["order", "repeatable", "stream"],
)
def test_call_without_an_answer_at_the_end_of_a_stop_gets_a_final_one(path, service, fields):
    """Guards against a caller whose connection ends without an answer, and who can't tell why."""

    async def main():
        async with running_fleet() as fleet:
            fleet.settings["grace_s"] = 1.2
            fleet.publish(make_config(routes=SLOW_ROUTES))
            backend = await fleet.add_backend("b1", hanging, service, **fields)
            await fleet.start_gateway()
            answers = []
            async with trio.open_nursery() as nursery:
                arrived = backend.arrived
                nursery.start_soon(call_slowly, fleet, path, answers)
                await arrived.wait()
                await fleet.process.stop()
            status, headers, body = answers[0]
            assert status == 504
            assert headers["connection"] == "close"
            assert json.loads(body)["error"]["outcome"] == "outcome_unknown"
            assert len(backend.requests) == 1

    run_test(main)


def test_call_that_was_not_sent_by_the_end_of_a_stop_is_refused_as_not_run(monkeypatch):
    """Guards against a caller that can't repeat an order although no backend server got it."""
    waiting = trio.Event()

    async def wait(_calls, _call, _responder):
        waiting.set()
        await trio.sleep_forever()

    monkeypatch.setattr(PlainCalls, "run", wait)

    async def main():
        async with running_fleet() as fleet:
            fleet.settings["grace_s"] = 1.2
            fleet.publish(make_config(routes=SLOW_ROUTES))
            backend = await fleet.add_backend("b1", hanging)
            await fleet.start_gateway()
            answers = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(call_slowly, fleet, "/order/x", answers)
                await waiting.wait()
                await fleet.process.stop()
            status, headers, _ = answers[0]
            assert status == 503
            assert "retry-after" in headers
            assert not backend.requests

    run_test(main)


def test_gateway_with_a_short_grace_time_refuses_what_comes_late_in_it():
    """Guards against calls that are sent so late in a short grace time that they are cut."""

    async def main():
        async with running_fleet() as fleet:
            fleet.settings["grace_s"] = 3.0
            fleet.publish(make_config())
            backend = await fleet.add_backend("b1", answering())
            await fleet.start_gateway()
            fleet.nursery.start_soon(fleet.process.stop)
            await fleet.wait_ready(ready=False)
            statuses = []
            while 503 not in statuses:
                status, headers, _ = await fleet.call("/order/x", method="POST", body=b"1")
                statuses.append(status)
            assert "retry-after" in headers
            assert statuses.count(200) == len(statuses) - 1 == len(backend.requests)

    run_test(main)
