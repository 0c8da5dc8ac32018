import trio
from agent_fakes import agent_test

from figwalk.protocol.messages import (
    BackendState,
    Confirm,
    Confirmed,
    Desired,
    End,
    Role,
)


def desired(order, role=Role.PREFILL, control=None):
    return Desired(order if control is None else control, order, 1, "llm-1", role)


def is_confirm(message):
    return isinstance(message, Confirm)


async def confirm(control, *answers):
    """Answer one Confirm after the other."""
    for answer in answers:
        message = await control.until(is_confirm)
        await control.connection.send(Confirmed(message.nonce, answer))


@agent_test()
async def test_confirmed_order_reaches_the_engine(running):
    """Guards against an order without its log offset as the fencing number (invariant 3)."""
    control = await running.control()
    await control.connection.send(desired(5))
    await confirm(control, desired(5), desired(5))
    await control.report(order_offset=5, role=Role.PREFILL, state=BackendState.SERVING)
    assert [order["order"] for order in running.backend.orders] == [5]


@agent_test()
async def test_unconfirmed_order_is_not_sent_and_serving_goes_on(running):
    """Guards against stale orders, and against an outage of the log that stops serving."""
    control = await running.control()
    await control.connection.send(desired(5))
    message = await control.until(is_confirm)
    await control.connection.send(Confirmed(message.nonce ^ 1, desired(5)))
    report = await control.report(control_offset=5)
    assert report.state is BackendState.SERVING
    assert not running.backend.orders


@agent_test()
async def test_newest_order_of_the_confirmation_is_sent(running):
    """Guards against an order that was superseded before its confirmation (invariant 1)."""
    control = await running.control()
    await control.connection.send(desired(5))
    newer = desired(9, Role.DECODE)
    await confirm(control, newer, newer)
    await control.report(order_offset=9, role=Role.DECODE)
    assert [order["order"] for order in running.backend.orders] == [9]


@agent_test()
async def test_older_desired_state_is_ignored(running):
    """Guards against an entry with an old view of the log that reverts a role."""
    running.backend.state["order"] = 9
    control = await running.control()
    await control.connection.send(desired(9, control=12))
    await control.report(control_offset=12)
    await control.connection.send(desired(5, control=6))
    await control.connection.send(desired(7, control=13))
    await control.report(control_offset=13)
    assert running.agent._desired.order.order_offset == 9


@agent_test()
async def test_change_waits_for_running_calls(running):
    """Guards against a planned change that interrupts a request (invariant 2)."""
    running.backend.go_on = trio.Event()
    entry = await running.connect()
    control = await running.control()
    await entry.call(1)
    await running.backend.received.wait()
    await control.connection.send(desired(5))
    await confirm(control, desired(5))
    await control.report(state=BackendState.CHANGING)
    other = await running.connect()
    await other.call(2)
    assert (await other.result())[-1].code == "changing"
    assert not running.backend.orders
    running.backend.go_on.set()
    assert isinstance((await entry.result())[-1], End)
    await confirm(control, desired(5))
    await control.report(order_offset=5, state=BackendState.SERVING)


@agent_test()
async def test_lost_order_answer_is_looked_up(running):
    """Guards against a second order after an answer that was lost (invariant 1)."""
    running.backend.lose_order_answer = True
    control = await running.control()
    await control.connection.send(desired(5))
    await confirm(control, desired(5), desired(5))
    await control.report(order_offset=5, state=BackendState.SERVING)
    assert len(running.backend.orders) == 1


@agent_test()
async def test_engine_in_a_change_is_waited_for(running):
    """Guards against an order into a change that a dead agent began (invariant 1)."""
    running.backend.state["state"] = "changing"
    running.agent._desired.offer(desired(5))
    control = await running.control()
    await control.report(state=BackendState.CHANGING)
    assert not running.backend.orders
    running.backend.state["state"] = "ready"
    await confirm(control, desired(5), desired(5))
    await control.report(order_offset=5)


@agent_test()
async def test_restarted_engine_gets_its_role_again(running):
    """Guards against an engine that comes back from a crash in its default role."""
    control = await running.control()
    await control.connection.send(desired(5))
    await confirm(control, desired(5), desired(5))
    await control.report(order_offset=5)
    running.backend.state |= {"order": -1, "role": "mixed", "incarnation": 2}
    await confirm(control, desired(5), desired(5))
    await control.report(order_offset=5, role=Role.PREFILL)
    assert len(running.backend.orders) == 2
