"""Orders with real processes: no stale or unconfirmed one takes effect (invariants 1 and 3)."""

from figwalk.protocol.messages import Role
from tests.support.small_fleet import run_fleet_test, until

IGNORES_FENCING = ("--no-checks-fencing",)


async def list_orders(fleet, backend="llm-1"):
    """Return number and role of the orders that reached an engine."""
    receipts = (await fleet.fetch(fleet.backends[backend], "/orders"))["orders"]
    return [(receipt["order"], receipt["role"]) for receipt in receipts]


async def wait_role(fleet, role, entry="entry-1"):
    """Wait until an entry sees the engine serve in a role."""
    await fleet.wait_backend(
        "llm-1", lambda view: (view.role, view.state) == (role, "serving"), entry
    )


def test_order_of_a_paused_lease_holder_has_no_effect(tmp_path):
    """Guards against an order that a former holder appends when it resumes."""

    async def test(fleet):
        await fleet.start(entries=2, engines=1, engine_options=IGNORES_FENCING)
        names = {"entry-1", "entry-2"}
        old_term = await fleet.wait_holder("entry-1", names)
        paused = (await fleet.status("entry-1")).lease.holder
        (other,) = names - {paused}
        fleet.entries[paused].pause()
        new_term = await fleet.wait_holder(other, {other})
        # What the paused process had on its way to the log arrives after the takeover.
        stale = await fleet.append_order("llm-1", Role.PREFILL, old_term)
        valid = await fleet.append_order("llm-1", Role.DECODE, new_term)
        late = await fleet.append_order("llm-1", Role.MIXED, old_term)
        assert stale < valid < late
        await wait_role(fleet, "decode", other)
        fleet.entries[paused].resume()
        # The resumed process reads on, drops its term, and relays nothing else to the agent.
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
    """Guards against an order taken from an entry's memory while the log has a newer one."""

    async def test(fleet):
        await fleet.start(engines=1, engine_options=IGNORES_FENCING)
        term = await fleet.wait_holder("entry-1", {"entry-1"})
        fleet.agents["llm-1"].kill()
        await fleet.agents["llm-1"].wait()
        order = await fleet.append_order("llm-1", Role.DECODE, term)
        await fleet.wait_status("entry-1", lambda status: bool(status.role_changes))
        await fleet.set_faults(fleet.log, outage=True)
        await fleet.wait_status("entry-1", lambda status: not status.log_available)
        await fleet.restart_agent("llm-1")
        await until(lambda: has_event(fleet, "ORDER_UNCONFIRMED"))
        # It serves in its present role in the meantime.
        await wait_role(fleet, "mixed")
        assert await list_orders(fleet) == []
        await fleet.set_faults(fleet.log, outage=False)
        await wait_role(fleet, "decode")
        assert await list_orders(fleet) == [(order, "decode")]

    run_fleet_test(tmp_path, test)


def test_paused_agent_keeps_its_port_from_its_replacement(tmp_path):
    """Guards against two agents that give one engine conflicting orders."""

    async def test(fleet):
        await fleet.start(engines=1, engine_options=IGNORES_FENCING)
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
        # Once the first one is gone, the replacement reads what the engine has carried out.
        first.kill()
        await replacement.wait_listening(["peers"])
        last = await fleet.append_order("llm-1", Role.PREFILL, term)
        await wait_role(fleet, "prefill")
        assert await list_orders(fleet) == [(order, "decode"), (last, "prefill")]

    run_fleet_test(tmp_path, test)


async def has_event(fleet, name, backend="llm-1"):
    """Return whether the agents beside a backend server have logged an event."""
    return name in fleet.agents[backend].log_path.read_text()
