"""Tests of the bound for the bytes of requests and answers that a process holds."""

import json

import attrs
import pytest
import trio
from support.platform_fakes import answering, make_request, read_answer, run_test, running_fleet

from figwalk.events import EventLog
from figwalk.state.gateway_settings import GatewaySettings
from figwalk.state.settings import Address
from figwalk.timer import Timer
from figwalk.transport import ByteBudget, HttpServer
from figwalk.transport.byte_budget import LARGE_BODY_SHARE, SMALL_BODY_BYTES
from standins.platform_config import make_config

HOST = "127.0.0.1"
LIMIT = 100_000
LARGE = 50_000


def test_charges_share_one_bound():
    """Guards against bodies that are bounded each, but not together."""
    budget = ByteBudget(LIMIT)
    first, second = budget.open_charge(), budget.open_charge()
    assert first.try_add_body(LARGE)
    assert not second.try_add_body(LARGE)
    assert second.try_add_body(int(LARGE_BODY_SHARE * LIMIT) - LARGE)
    assert second.try_add_body(0)
    assert budget.refused == 1
    small = budget.open_charge()
    assert small.try_add_body(SMALL_BODY_BYTES)
    first.close()
    first.close()
    assert budget.held == second.size + small.size


def test_body_above_the_bound_is_admitted_alone():
    """Guards against a body of the allowed size that is refused whenever it comes."""
    budget = ByteBudget(LIMIT)
    assert budget.open_charge().try_add_body(2 * LIMIT)
    assert not budget.open_charge().try_add_body(1)


def test_answers_wait_for_room_in_order():
    """Guards against an answer that is held without a charge, and one that waits for ever."""

    async def main():
        budget, ended = ByteBudget(LIMIT), []
        first = budget.open_charge()
        first.add(LIMIT)

        async def wait(name, size):
            await budget.open_charge().add_when_free(size)
            ended.append(name)

        async with trio.open_nursery() as nursery:
            for name, size in (("large", LARGE), ("small", 1)):
                nursery.start_soon(wait, name, size)
                await trio.testing.wait_all_tasks_blocked()
            with trio.move_on_after(0):
                await budget.open_charge().add_when_free(1)  # Gives up; nothing is charged for it.
            assert ended == []
            first.remove(LARGE)
            await trio.testing.wait_all_tasks_blocked()
            assert ended == ["large"]
            first.close()
        assert budget.held == LARGE + 1

    trio.run(main)


async def echo(request, responder):
    await responder.send(200, [], b"%d" % len(request.body))


async def send(port, headers, body=b""):
    stream = await trio.open_tcp_stream(HOST, port)
    await stream.send_all(b"POST / HTTP/1.1\r\nhost: x\r\n" + headers + b"\r\n" + body)
    return stream


def chunked(size):
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


@pytest.mark.parametrize("is_chunked", [False, True])
def test_body_without_room_is_refused_before_it_is_read(is_chunked):
    """Guards against a process that is killed for its memory as many clients send large bodies."""

    async def main():
        budget = ByteBudget(LIMIT)
        async with trio.open_nursery() as nursery:
            server = HttpServer(echo, EventLog("test", Timer()), budget=budget)
            port = await nursery.start(server.serve, HOST, 0)
            length = b"content-length: %d\r\n" % LARGE
            first = await send(port, length, b"x")
            while not budget.held:
                await trio.sleep(0.001)
            if is_chunked:
                second = await send(port, b"transfer-encoding: chunked\r\n", chunked(LARGE))
            else:
                second = await send(port, length)
            status, headers, body = await read_answer(second)
            assert (status, headers["retry-after"], headers["connection"]) == (503, "1", "close")
            assert json.loads(body)["error"]["outcome"] == "not_run"
            assert budget.held == LARGE
            assert (await read_answer(await send(port, b"")))[0] == 200
            await first.send_all(b"x" * (LARGE - 1))
            assert (await read_answer(first))[2] == b"%d" % LARGE
            while budget.held:
                await trio.sleep(0.001)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_connections_wait_in_the_kernel_while_the_bound_is_used():
    """Guards against memory that grows with each connection beyond the bound."""

    async def main():
        budget = ByteBudget(LIMIT)
        async with trio.open_nursery() as nursery:
            server = HttpServer(echo, EventLog("test", Timer()), budget=budget)
            port = await nursery.start(server.serve, HOST, 0)
            held = budget.open_charge()
            held.add(LIMIT)
            client = await send(port, b"")
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert server._connections == 0
            held.close()
            assert (await read_answer(client))[0] == 200
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_bytes_that_a_slow_caller_has_not_read_stay_charged():
    """Guards against a process that holds answers for slow callers beyond the bound."""
    size = 3_500_000

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            await fleet.add_backend("b1", answering(b"y" * size))
            await fleet.start_gateway()
            budget = fleet.process._budget
            stream = await trio.open_tcp_stream(HOST, fleet.callers.port)
            stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4096)
            await stream.send_all(make_request("/check/x", deadline_ms=60_000))
            while budget.held < size:
                await trio.sleep(0.001)
            assert budget.held < 1.1 * size
            await stream.aclose()
            while budget.held:
                await trio.sleep(0.001)

    run_test(main)


def test_bytes_in_flight_at_one_backend_server_are_bounded():
    """Guards against a backend server that crashes since the requests it holds are too large."""

    async def main():
        async with running_fleet() as fleet:
            fleet.settings["max_backend_mb"] = 0.1
            fleet.publish(make_config())
            release = trio.Event()

            async def hold(backend, stream, request):
                await release.wait()
                return await answering()(backend, stream, request)

            backend = await fleet.add_backend("b1", hold)
            await fleet.start_gateway()
            body = b"x" * 60_000
            request = make_request("/order/x", method="POST", body=body, deadline_ms=60_000)
            first = await trio.open_tcp_stream(HOST, fleet.callers.port)
            await first.send_all(request)
            while not backend.requests:
                await trio.sleep(0.001)
            # A call with little time is refused, and one with more waits for room.
            options = {"method": "POST", "body": body}
            status, headers, answer = await fleet.call("/order/x", deadline_ms=100, **options)
            assert (status, json.loads(answer)["error"]["code"]) == (503, "backends_full")
            assert float(headers["retry-after"]) > 0
            second = await trio.open_tcp_stream(HOST, fleet.callers.port)
            await second.send_all(request)
            while fleet.process._budget.held < 2 * len(body):
                await trio.sleep(0.001)
            assert len(backend.requests) == 1
            release.set()
            assert (await read_answer(first))[0] == 200
            assert (await read_answer(second))[0] == 200

    run_test(main)


def test_bound_is_derived_from_the_memory_or_set():
    """Guards against a bound that a small VM can't hold, or that leaves no room for one body."""
    address = Address(HOST, 1)
    settings = GatewaySettings(
        "g", "a", "r", {}, address, address, address, agents_port=1, store=address
    )
    for memory_mb, held_mb in ((300, 102), (160, 32), (100, 12)):
        settings = attrs.evolve(settings, memory_mb=memory_mb)
        assert settings.max_held_bytes == held_mb * 1_000_000
    assert attrs.evolve(settings, max_held_mb=40).max_held_bytes == 40_000_000
