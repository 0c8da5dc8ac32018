"""Tests with real processes that leaving backend servers get no new calls (invariant 7)."""

import pytest
import trio

from tests.support.forwarder import Direction, Forwarder
from tests.support.small_fleet import STOCK_TARGET, run_fleet_test, until

CALLS = 10


async def count_calls(fleet, backend):
    """Return how many calls a plain service has received."""
    return len((await fleet.fetch(fleet.backends[backend], "/runs"))["starts"])


async def send_calls(fleet):
    """Send calls concurrently through every entry; all must be answered."""

    async def call(entry):
        answer = await fleet.caller(entry).call("GET", STOCK_TARGET)
        assert answer.status == 200, answer.body

    async with trio.open_nursery() as nursery:
        for _ in range(CALLS):
            for entry in fleet.entries:
                nursery.start_soon(call, entry)


async def send_until_used(fleet, backend):
    """Send calls until a backend server has received one."""
    before = await count_calls(fleet, backend)
    while await count_calls(fleet, backend) == before:
        await send_calls(fleet)


@pytest.mark.parametrize("way", ["configuration", "sigterm"])
def test_leaving_backend_server_gets_no_new_call(tmp_path, way):
    """Guards against entries that route calls to a leaving server that the VM list shows as live.

    The VM list never shows the departure. The second entry receives neither the log nor messages
    of the leaving agent, so it treats the server as live. A call that is held keeps the agent
    running.
    """

    async def test(fleet):
        await fleet.start(services=2, grace_s=3600.0)
        async with trio.open_nursery() as nursery:
            log = Forwarder(fleet.log.addresses["http"])
            forwarder = await fleet.start_forwarded_entry(
                "entry-2", "depot-1", nursery, log=await nursery.start(log.run)
            )
            await send_until_used(fleet, "depot-1")
            await fleet.set_faults(fleet.backends["depot-1"], hold_runs=True)
            async with trio.open_nursery() as calls:
                await start_held_call(fleet, calls)
                before = await count_calls(fleet, "depot-1")
                log.hold()
                forwarder.hold(Direction.TO_CLIENT)
                if way == "configuration":
                    await fleet.publish({"withdrawn/depot-1": {"mode": "drain"}})
                else:
                    fleet.agents["depot-1"].terminate()
                left = "withdrawn" if way == "configuration" else "leaving"
                await fleet.wait_backend("depot-1", lambda view: view.state == left)
                async with trio.open_nursery() as late_calls:
                    await call_leaving_server(fleet, forwarder, late_calls)
                    log.forward()
                    forwarder.forward()
                await fleet.wait_backend("depot-1", lambda view: view.state == left, "entry-2")
                await send_calls(fleet)
                assert await count_calls(fleet, "depot-1") == before
                await fleet.set_faults(fleet.backends["depot-1"], hold_runs=False)
            if way == "sigterm":
                assert await fleet.agents["depot-1"].wait() == 0
            else:
                await fleet.publish({"withdrawn/depot-1": None})
                await fleet.wait_serving()
                await send_until_used(fleet, "depot-1")
            nursery.cancel_scope.cancel()

    run_fleet_test(tmp_path, test)


async def call_leaving_server(fleet, forwarder, nursery):
    """Start calls through the second entry until one has gone to the first server's agent."""
    link = forwarder.link(Direction.TO_SERVER)
    forwarded = link.forwarded_bytes

    async def is_sent_or_ended(ended):
        return link.forwarded_bytes > forwarded or ended.is_set()

    while link.forwarded_bytes == forwarded:
        ended = trio.Event()
        nursery.start_soon(check_stock, fleet, "entry-2", ended)
        await until(lambda ended=ended: is_sent_or_ended(ended))


async def start_held_call(fleet, nursery):
    """Start calls one after the other until one of them is held at the first server."""
    while not await count_held(fleet):
        ended = trio.Event()
        nursery.start_soon(check_stock, fleet, "entry-1", ended)
        await until(lambda ended=ended: ends_or_is_held(fleet, ended))


async def check_stock(fleet, entry, ended):
    """Send a call that must be answered."""
    answer = await fleet.caller(entry).call("GET", STOCK_TARGET)
    assert answer.status == 200, answer.body
    ended.set()


async def ends_or_is_held(fleet, ended):
    """Return whether a call has ended or is held."""
    return ended.is_set() or await count_held(fleet)


async def count_held(fleet):
    """Return how many calls are held at the first server."""
    counts = await fleet.fetch(fleet.backends["depot-1"], "/runs")
    return len(counts["starts"]) - sum(counts["without_key"].values())
