import pytest
import trio
from agent_fakes import agent_test

from figwalk.agent.desired_role import DesiredRole
from figwalk.errors import HttpError
from figwalk.protocol.messages import BackendState, Confirm, Confirmed, Desired, End, Role


def desired(order, role=Role.PREFILL, control=None):
    return Desired(order if control is None else control, order, 1, "llm-1", role)


def is_confirm(message):
    return isinstance(message, Confirm)


async def send_order(control, wanted, confirmed=None):
    """Send a desired role to the agent; `confirmed` is the role confirmed, if another one."""
    control.confirmed = confirmed or wanted
    await control.connection.send(wanted)


@agent_test()
async def test_confirmed_order_reaches_the_engine(running):
    """Guards against an order that lacks its log offset as fencing number (invariant 3)."""
    control = await running.control()
    await send_order(control, desired(5))
    await control.report(order_offset=5, role=Role.PREFILL, state=BackendState.SERVING)
    assert [order["order"] for order in running.backend.orders] == [5]


@agent_test()
async def test_reports_carry_what_the_engine_has_loaded(running):
    """Guards against entries that resume streams of one adapter or version at another."""
    running.backend.state |= {"adapter": "a1", "version": "1"}
    control = await running.control()
    await control.report(model="m", adapter="a1", version="1", state=BackendState.SERVING)
    running.backend.state |= {"adapter": "a2", "version": "2"}
    await send_order(control, desired(5))
    changed = await control.report(order_offset=5, state=BackendState.SERVING)
    assert (changed.model, changed.adapter, changed.version) == ("m", "a2", "2")


@pytest.mark.parametrize("field", ["model", "adapter", "version"])
@pytest.mark.parametrize("name", ["\ud800", "x" * 1025], ids=["surrogate", "long"])
def test_names_that_reports_cannot_carry_are_an_error_of_the_engine(field, name):
    """Guards against an engine's answer that ends the agent when it sends its next report."""

    @agent_test()
    async def check(running):
        running.backend.state[field] = name
        with pytest.raises(HttpError, match="not a EngineState"):
            await running.agent._client.read_state()

    check()


@agent_test(kind="plain")
async def test_reports_of_plain_services_carry_no_model(running):
    """Guards against reports that need the state of an engine."""
    control = await running.control()
    report = await control.report(state=BackendState.SERVING)
    assert (report.model, report.adapter, report.version) == ("", "", "")


@agent_test()
async def test_unconfirmed_order_is_not_sent_and_serving_goes_on(running):
    """Guards against stale orders, and against an agent that stops serving in a log outage."""
    control = await running.control()
    await control.connection.send(desired(5))
    message = await control.until(is_confirm)
    await control.connection.send(Confirmed(message.nonce ^ 1, desired(5)))
    report = await control.report(control_offset=5)
    assert report.state is BackendState.SERVING
    assert not running.backend.orders


@agent_test()
async def test_order_is_confirmed_again_after_the_calls_have_ended(running):
    """Guards against sending an order superseded while running calls ended (invariant 3)."""
    control = await running.control()
    await send_order(control, desired(5))
    await control.until(is_confirm)
    control.confirmed = desired(4, control=4)
    await control.until(is_confirm)
    await control.report(state=BackendState.CHANGING)
    await control.report(state=BackendState.SERVING)
    assert not running.backend.orders


@agent_test()
async def test_newest_order_of_the_confirmation_is_sent(running):
    """Guards against sending an order superseded before its confirmation (invariant 1)."""
    control = await running.control()
    await send_order(control, desired(5), confirmed=desired(9, Role.DECODE))
    await control.report(order_offset=9, role=Role.DECODE)
    assert [order["order"] for order in running.backend.orders] == [9]


def test_older_desired_state_is_ignored():
    """Guards against an entry with an outdated log state that reverts a role."""
    role = DesiredRole("llm-1")
    for received in (desired(9, control=12), desired(5, control=6), desired(7, control=12)):
        role.apply(received)
        assert (role.control_offset, role.order.order_offset) == (12, 9)


@agent_test()
async def test_change_waits_for_running_calls(running):
    """Guards against a planned role change that interrupts a call (invariant 2)."""
    running.backend.go_on = trio.Event()
    entry, other = await running.connect(), await running.connect()
    control = await running.control()
    await entry.call(1)
    await running.backend.received.wait()
    await send_order(control, desired(5))
    for _ in range(5):
        await control.report(state=BackendState.CHANGING)
    await other.call(2)
    assert (await other.result())[-1].code == "changing"
    running.backend.go_on.set()
    assert isinstance((await entry.result())[-1], End)
    await control.report(order_offset=5, state=BackendState.SERVING)
    assert (len(running.backend.orders), running.backend.interrupted) == (1, 0)


@agent_test()
async def test_lost_order_answer_is_looked_up(running):
    """Guards against a repeated order after a lost response (invariant 1)."""
    running.backend.lose_order_answer = True
    control = await running.control()
    await send_order(control, desired(5))
    await control.report(order_offset=5, state=BackendState.SERVING)
    assert len(running.backend.orders) == 1


@agent_test()
async def test_agent_waits_for_an_engine_that_changes_its_role(running):
    """Guards against an order during a change that a previous agent started (invariant 1)."""
    running.backend.state["state"] = "changing"
    control = await running.control()
    await send_order(control, desired(5))
    for _ in range(5):
        await control.report(state=BackendState.CHANGING)
    assert not running.backend.orders
    running.backend.state["state"] = "ready"
    await control.report(order_offset=5)


@agent_test()
async def test_restarted_engine_gets_its_role_again(running):
    """Guards against an engine that stays in its default role after a crash."""
    control = await running.control()
    await send_order(control, desired(5))
    await control.report(order_offset=5)
    running.backend.state |= {"order": -1, "role": "mixed", "incarnation": 2}
    await control.report(order_offset=-1)
    await control.report(order_offset=5, role=Role.PREFILL)
    assert len(running.backend.orders) == 2
