"""Role orders with real processes: stale and unconfirmed orders have no effect.

The tests cover invariants 1 and 3.
"""

from figwalk.protocol.messages import Role
from tests.support.small_fleet import run_fleet_test, until

NO_ENGINE_FENCING = ("--no-checks-fencing",)


async def list_orders(fleet, backend="llm-1"):
    """Return the numbers and roles of the orders that an engine has received."""
    receipts = (await fleet.fetch(fleet.backends[backend], "/orders"))["orders"]
    return [(receipt["order"], receipt["role"]) for receipt in receipts]


async def wait_role(fleet, role, entry="entry-1"):
    """Wait until an entry reports that the engine serves in a role."""
    await fleet.wait_backend(
        "llm-1", lambda view: (view.role, view.state) == (role, "serving"), entry
    )


def test_order_of_a_paused_lease_holder_has_no_effect(tmp_path):
    """Guards against an order that a former holder appends when it resumes."""

    async def test(fleet):
        await fleet.start(entries=2, engines=1, engine_options=NO_ENGINE_FENCING)
        names = {"entry-1", "entry-2"}
        old_term = await fleet.wait_holder("entry-1", names)
        paused = (await fleet.status("entry-1")).lease.holder
        (other,) = names - {paused}
        fleet.entries[paused].pause()
        new_term = await fleet.wait_holder(other, {other})
        # An append of the paused process that was in flight reaches the log after the takeover.
        stale = await fleet.append_order("llm-1", Role.PREFILL, old_term)
        valid = await fleet.append_order("llm-1", Role.DECODE, new_term)
        late = await fleet.append_order("llm-1", Role.MIXED, old_term)
        assert stale < valid < late
        await wait_role(fleet, "decode", other)
        fleet.entries[paused].resume()
        # The resumed process continues reading, drops its term and sends only valid orders.
        await fleet.wait_status(
            paused, lambda status: (status.lease.holder, status.lease.term) == (other, new_term)
        )
        last = await fleet.append_order("llm-1", Role.PREFILL, new_term)
        await wait_role(fleet, "prefill", paused)
        assert await list_orders(fleet) == [(valid, "decode"), (last, "prefill")]
        for entry in names:
            changes = (await fleet.status(entry)).role_changes
            assert [change.offset for change in changes] == [valid, last]

    run_fleet_test(tmp_path, test)


def test_restarted_agent_sends_no_order_until_the_log_confirms_it(tmp_path):
    """Guards against sending an order from an entry's memory while the log has a newer one."""

    async def test(fleet):
        await fleet.start(engines=1, engine_options=NO_ENGINE_FENCING)
        term = await fleet.wait_holder("entry-1", {"entry-1"})
        fleet.agents["llm-1"].kill()
        await fleet.agents["llm-1"].wait()
        order = await fleet.append_order("llm-1", Role.DECODE, term)
        await fleet.wait_status("entry-1", lambda status: bool(status.role_changes))
        await fleet.set_faults(fleet.log, outage=True)
        await fleet.wait_status("entry-1", lambda status: not status.log_available)
        await fleet.restart_agent("llm-1")
        await until(lambda: has_event(fleet, "ORDER_UNCONFIRMED"))
        # Meanwhile the engine serves in its present role.
        await wait_role(fleet, "mixed")
        assert await list_orders(fleet) == []
        await fleet.set_faults(fleet.log, outage=False)
        await wait_role(fleet, "decode")
        assert await list_orders(fleet) == [(order, "decode")]

    run_fleet_test(tmp_path, test)


def test_replacement_cannot_take_the_port_of_a_paused_agent(tmp_path):
    """Guards against two agents that send conflicting orders to one engine.

    The paused agent still holds the port, so its replacement can't start to serve.
    """

    async def test(fleet):
        await fleet.start(engines=1, engine_options=NO_ENGINE_FENCING)
        term = await fleet.wait_holder("entry-1", {"entry-1"})
        first = fleet.agents["llm-1"]
        first.pause()
        replacement = await fleet.spawn_replacement("llm-1")
        await until(lambda: has_event(fleet, "PEER_PORT_TAKEN"))
        order = await fleet.append_order("llm-1", Role.DECODE, term)
        await fleet.wait_status("entry-1", lambda status: bool(status.role_changes))
        assert not replacement.addresses
        assert await list_orders(fleet) == []
        first.resume()
        await wait_role(fleet, "decode")
        assert await list_orders(fleet) == [(order, "decode")]
        assert not replacement.addresses
        # After the first agent has ended, the replacement reads the order that the engine executed.
        first.kill()
        await replacement.wait_listening(["peers"])
        last = await fleet.append_order("llm-1", Role.PREFILL, term)
        await wait_role(fleet, "prefill")
        assert await list_orders(fleet) == [(order, "decode"), (last, "prefill")]

    run_fleet_test(tmp_path, test)


async def has_event(fleet, name, backend="llm-1"):
    """Return whether the agents of a backend server have logged an event."""
    return name in fleet.agents[backend].log_path.read_text()
