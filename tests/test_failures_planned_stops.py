"""Tests with real processes that planned changes cut no stream (invariants 2 and 8)."""

from figwalk.protocol.messages import Role
from tests.support.small_fleet import HELD_TOKENS, Stream, run_fleet_test, streaming

STREAMS = 8
TOKENS = 24


async def read_new_streams(fleet, entry="entry-1"):
    """Read streams that are short enough not to be held, and check them."""
    for number in range(4):
        stream = Stream(f"Late question {number}", HELD_TOKENS - 1)
        await fleet.caller(entry).read(stream)
        stream.check_whole()


def test_sigterm_of_an_agent_lets_its_streams_end(tmp_path):
    """Guards against a graceful shutdown that cuts or moves streams within its grace period."""

    async def test(fleet):
        await fleet.start(engines=2, grace_s=3600.0)
        async with streaming(fleet, STREAMS, TOKENS) as streams:
            leaving = await fleet.find_server(streams[0])
            fleet.agents[leaving].terminate()
            await fleet.wait_backend(leaving, lambda view: view.state == "leaving")
            await read_new_streams(fleet)
        assert await fleet.agents[leaving].wait() == 0
        assert await fleet.find_server(streams[0]) == leaving

    run_fleet_test(tmp_path, test)


def test_sigterm_of_an_agent_moves_streams_past_its_grace_period(tmp_path):
    """Guards against streams that are cut because they take longer than the grace period."""

    async def test(fleet):
        await fleet.start(engines=2, grace_s=0.2)
        async with streaming(fleet, STREAMS, TOKENS) as streams:
            leaving = await fleet.find_server(streams[0])
            fleet.agents[leaving].terminate()
            assert await fleet.agents[leaving].wait() == 0
        assert await fleet.find_server(streams[0]) != leaving

    run_fleet_test(tmp_path, test)


def test_sigterm_of_an_entry_lets_its_streams_end(tmp_path):
    """Guards against an entry that stops before its callers have received their answers."""

    async def test(fleet):
        await fleet.start(entries=2, engines=1, grace_s=3600.0)
        async with streaming(fleet, STREAMS, TOKENS):
            fleet.entries["entry-1"].terminate()
            await fleet.wait_event(fleet.entries["entry-1"], "PROCESS_STOPPING")
            await read_new_streams(fleet, "entry-2")
        assert await fleet.entries["entry-1"].wait() == 0

    run_fleet_test(tmp_path, test)


def test_role_change_waits_for_streams(tmp_path):
    """Guards against an order that is sent to an engine with running calls."""

    async def test(fleet):
        await fleet.start(engines=2)
        term = await fleet.wait_holder("entry-1", {"entry-1"})
        async with streaming(fleet, STREAMS, TOKENS) as streams:
            changing = await fleet.find_server(streams[0])
            order = await fleet.append_order(changing, Role.DECODE, term)
            await fleet.wait_backend(changing, lambda view: view.state == "changing")
            await read_new_streams(fleet)
        await fleet.wait_backend(
            changing, lambda view: (view.role, view.state) == ("decode", "serving")
        )
        receipts = (await fleet.fetch(fleet.backends[changing], "/orders"))["orders"]
        assert [(r["order"], r["interrupted"]) for r in receipts] == [(order, 0)]
        assert await fleet.find_server(streams[0]) == changing

    run_fleet_test(tmp_path, test)


def test_withdrawal_by_configuration_cuts_no_stream(tmp_path):
    """Guards against a withdrawal that cuts streams, within the grace period or after it."""

    async def test(fleet):
        await fleet.start(engines=2, grace_s=0.2)
        async with streaming(fleet, STREAMS, TOKENS) as streams:
            withdrawn = await fleet.find_server(streams[0])
            await fleet.publish({f"withdrawn/{withdrawn}": {"mode": "drain"}})
            await fleet.wait_backend(withdrawn, lambda view: view.state == "withdrawn")
            await read_new_streams(fleet)
        assert await fleet.find_server(streams[0]) == withdrawn
        await fleet.publish({f"withdrawn/{withdrawn}": None})
        await fleet.wait_serving()
        async with streaming(fleet, STREAMS, TOKENS) as streams:
            # With default values streams move to the other engine after the grace period.
            await fleet.publish({f"withdrawn/{withdrawn}": {}})
            await fleet.wait_backend(
                withdrawn, lambda view: (view.state, view.running) == ("withdrawn", 0)
            )
        for stream in streams:
            assert await fleet.find_server(stream) != withdrawn

    run_fleet_test(tmp_path, test)
