import pytest
import trio
from agent_fakes import agent_test, body_of, run_test, running_agent

from figwalk.agent.key_memory import KeyMemory
from figwalk.errors import CallOutcome, RefusalError
from figwalk.protocol.messages import Cancel, Hello, KeyLookup, KeyState, KeyStatus, Refusal


def is_status(message):
    return isinstance(message, KeyStatus)


async def connect(running):
    """Return a call and a control connection, and the fields of a claim."""
    entry = await running.connect()
    claim = {"claim_id": "c1", "incarnation": entry.hello.incarnation}
    return entry, await running.control(), claim


async def look_up(control, claim_id, incarnation):
    await control.connection.send(KeyLookup(claim_id, incarnation))
    return await control.until(is_status)


@agent_test("plain")
async def test_claim_runs_once_and_its_answer_is_kept(running):
    """Guards against a second run of a claim (invariant 6) and a lost answer."""
    entry, control, claim = await connect(running)
    await entry.call(1, **claim)
    assert body_of(await entry.result()) == b'{"ok":true}'
    await entry.call(2, **claim)
    (refusal,) = await entry.result()
    assert (refusal.code, refusal.outcome) == ("duplicate_claim", CallOutcome.UNKNOWN)
    status = await look_up(control, **claim)
    assert (status.state, status.body) == (KeyState.FINISHED, b'{"ok":true}')
    assert len(running.backend.calls) == 1


@pytest.mark.parametrize("ending", ["cancel", "lost connection"])
def test_sent_claim_runs_on_without_its_entry(ending):
    """Guards against a keyed call that is cut halfway when its entry or its caller disconnects."""

    async def main():
        async with running_agent("plain") as running:
            running.backend.go_on = trio.Event()
            entry, control, claim = await connect(running)
            await entry.call(7, **claim)
            await running.backend.received.wait()
            if ending == "cancel":
                await entry.connection.send(Cancel(7))
            else:
                await entry.connection.aclose()
            assert (await look_up(control, **claim)).state is KeyState.RUNNING
            running.backend.go_on.set()
            while (status := await look_up(control, **claim)).state is KeyState.RUNNING:
                pass
            assert (status.state, status.body) == (KeyState.FINISHED, b'{"ok":true}')
            if ending == "cancel":
                assert isinstance((await entry.result())[-1], Refusal)

    run_test(main)


@agent_test("plain")
async def test_claim_looked_up_before_it_arrives_never_runs(running):
    """Guards against a delayed call that runs after its claim was released (invariant 6)."""
    entry, control, claim = await connect(running)
    assert (await look_up(control, **claim)).state is KeyState.VOIDED
    await entry.call(1, **claim)
    (refusal,) = await entry.result()
    assert (refusal.code, refusal.outcome) == ("voided", CallOutcome.NOT_RUN)
    assert not running.backend.calls


@agent_test("plain")
async def test_claim_of_a_stopped_agent_never_runs(running):
    """Guards against a second run of a claim that names an earlier agent process."""
    entry, control, claim = await connect(running)
    claim["incarnation"] ^= 1
    await entry.call(1, **claim)
    assert (await entry.result())[-1].code == "incarnation"
    assert (await look_up(control, **claim)).state is KeyState.UNKNOWN
    assert not running.backend.calls


@agent_test("plain")
async def test_claim_whose_answer_is_lost_is_unknown(running):
    """Guards against a second run of a claim that the backend server may have run."""
    running.backend.go_on = trio.Event()
    entry, control, claim = await connect(running)
    await entry.call(1, **claim)
    await running.backend.received.wait()
    await running.backend.stop()
    assert (await entry.result())[-1].outcome is CallOutcome.UNKNOWN
    assert (await look_up(control, **claim)).state is KeyState.UNKNOWN


@agent_test("plain")
async def test_refused_claim_is_voided(running):
    """Guards against a `not_run` refusal of a claim that could still run (invariant 5)."""
    entry, control, claim = await connect(running)
    running.agent._serving.set_withdrawn(True)
    await entry.call(1, **claim)
    assert (await entry.result())[-1].outcome is CallOutcome.NOT_RUN
    assert (await look_up(control, **claim)).state is KeyState.VOIDED


@agent_test("plain", key_memory_limit=2)
async def test_full_memory_draws_a_new_incarnation_and_notifies_entries(running):
    """Guards against unbounded memory, entries with an outdated incarnation, and cut calls.

    The control connection has to stay open: an entry that loses it gives up its calls that run at
    the agent.
    """
    control = await running.control()
    old = control.hello.incarnation
    for name in "ab":
        await control.connection.send(KeyLookup(name, old))
    hello = await control.until(lambda message: isinstance(message, Hello))
    assert hello.incarnation != old
    assert (await running.connect()).hello.incarnation == hello.incarnation
    await control.report()


def test_old_incarnation_is_readable_but_starts_no_call():
    """Guards against lost answers of claims that ended just before a new incarnation."""
    keys = KeyMemory(2)
    old = keys.incarnation
    keys.begin("a", old)
    keys.finish("a", old, 200, [], b"answer")
    keys.begin("running", old)
    with pytest.raises(RefusalError, match="incarnation"):
        keys.begin("late", old)
    assert keys.look_up(KeyLookup("a", old)).body == b"answer"
    assert keys.look_up(KeyLookup("late", old)).state is KeyState.VOIDED
    for _ in range(3):
        for name in "xy":
            keys.look_up(KeyLookup(name, keys.incarnation))
    assert keys.look_up(KeyLookup("running", old)).state is KeyState.RUNNING
    keys.finish("running", old, 200, [], b"late answer")
    assert keys.look_up(KeyLookup("running", old)).body == b"late answer"
