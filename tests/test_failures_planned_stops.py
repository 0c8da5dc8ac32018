"""Planned changes with real processes: none may interrupt a stream (invariants 2 and 8)."""

import pytest

from figwalk.protocol.messages import Role
from tests.support.small_fleet import Stream, run_fleet_test, streaming

STREAMS = 8
TOKENS = 80


async def read_new_stream(fleet, entry, number):
    """Read one more stream and check it."""
    stream = Stream(f"Late question {number}", 4)
    await fleet.caller(entry).read(stream)
    stream.check_whole()


@pytest.mark.parametrize("grace_s", [30.0, 0.2])
def test_sigterm_of_an_agent_cuts_no_stream(tmp_path, grace_s):
    """Guards against streams that a stopping agent cuts, also those past its grace time."""

    async def test(fleet):
        await fleet.start(engines=2, grace_s=grace_s)
        async with streaming([fleet.caller()], STREAMS, TOKENS) as streams:
            leaving = await fleet.find_server(streams[0])
            fleet.agents[leaving].terminate()
            for number in range(4):
                await read_new_stream(fleet, "entry-1", number)
        assert await fleet.agents[leaving].wait() == 0

    run_fleet_test(tmp_path, test)


def test_sigterm_of_an_entry_cuts_no_stream(tmp_path):
    """Guards against an entry that ends before the answers of its callers."""

    async def test(fleet):
        await fleet.start(entries=2, engines=1)
        async with streaming([fleet.caller()], STREAMS, TOKENS):
            fleet.entries["entry-1"].terminate()
            await read_new_stream(fleet, "entry-2", 0)
        assert await fleet.entries["entry-1"].wait() == 0

    run_fleet_test(tmp_path, test)


def test_role_change_and_withdrawal_cut_no_stream(tmp_path):
    """Guards against orders to an engine with running calls and withdrawals that cut them."""

    async def test(fleet):
        await fleet.start(engines=2)
        term = await fleet.wait_holder("entry-1", {"entry-1"})
        async with streaming([fleet.caller()], STREAMS, TOKENS) as streams:
            changing = await fleet.find_server(streams[0])
            order = await fleet.append_order(changing, Role.DECODE, term)
            await fleet.wait_backend(changing, lambda view: view.state == "changing")
            for number in range(4):
                await read_new_stream(fleet, "entry-1", number)
        await fleet.wait_backend(
            changing, lambda view: (view.role, view.state) == ("decode", "serving")
        )
        receipts = (await fleet.fetch(fleet.backends[changing], "/orders"))["orders"]
        assert [(r["order"], r["interrupted"]) for r in receipts] == [(order, 0)]

        async with streaming([fleet.caller()], STREAMS, TOKENS) as streams:
            withdrawn = await fleet.find_server(streams[0])
            await fleet.publish({f"withdrawn/{withdrawn}": {}})
            await fleet.wait_backend(withdrawn, lambda view: view.state == "withdrawn")
            assert not all(stream.ended.is_set() for stream in streams)
            for number in range(4):
                await read_new_stream(fleet, "entry-1", number)

    run_fleet_test(tmp_path, test)
