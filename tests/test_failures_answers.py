"""Backend servers and agents that fail during an answer, with real processes (invariant 4)."""

import pytest
import trio

from tests.support.small_fleet import (
    SERVICE,
    run_fleet_test,
    streaming,
)

STREAMS = 4
TOKENS = 24
CALLS = 12


@pytest.mark.parametrize("victim", ["engine", "agent"])
def test_streams_survive_the_kill_of_their_engine_or_agent(tmp_path, victim):
    """Guards against tokens that are lost or repeated when a stream moves to another engine."""

    async def test(fleet):
        await fleet.start(engines=2)
        async with streaming(fleet, STREAMS, TOKENS) as streams:
            served = await fleet.find_server(streams[0])
            handles = fleet.backends if victim == "engine" else fleet.agents
            handles[served].kill()
            await handles[served].wait()
        moved = await fleet.find_server(streams[0])
        assert moved != served

    run_fleet_test(tmp_path, test)


def test_answer_with_the_id_of_another_call_never_reaches_a_caller(tmp_path):
    """Guards against callers of a plain service that receive each other's answers."""

    async def test(fleet):
        await fleet.start(services=2)
        await fleet.set_faults(fleet.backends["depot-1"], wrong_answers=3)
        while await count_wrong_answers(fleet, "depot-1"):
            async with trio.open_nursery() as nursery:
                for number in range(CALLS):
                    nursery.start_soon(check_echo, fleet, number)

    run_fleet_test(tmp_path, test)


async def check_echo(fleet, number):
    """Call a plain service and check that the answer, if there is one, belongs to this call."""
    answer = await fleet.caller().call("GET", f"/services/{SERVICE}/echo/{number}")
    if answer.status == 200:
        assert answer.content["path"] == f"/echo/{number}"
    else:
        # The call ran and its answer was lost, so `not_run` would be wrong.
        assert answer.error["outcome"] == "outcome_unknown", answer.body


async def count_wrong_answers(fleet, backend):
    """Return how many more answers a stand-in will send with the id of another call."""
    return (await fleet.fetch(fleet.backends[backend], "/faults"))["wrong_answers"]


def test_keyed_answer_with_the_id_of_another_call_is_reported_as_unknown(tmp_path):
    """Guards against answering with another order's receipt, and a second run of a lost one."""

    async def test(fleet):
        await fleet.start(services=1)
        first = await fleet.caller().order("first")
        assert first.status == 201
        await fleet.set_faults(fleet.backends["depot-1"], wrong_answers=1)
        for _ in range(2):
            answer = await fleet.caller().order("second")
            assert (answer.status, answer.error["code"]) == (503, "outcome_unknown"), answer.body
            assert answer.error["outcome"] == "outcome_unknown"
        assert await fleet.count_runs("second") == 1

    run_fleet_test(tmp_path, test)


def test_stream_with_the_id_of_another_call_never_reaches_a_caller(tmp_path):
    """Guards against tokens of another caller's answer when an engine confuses call ids."""

    async def test(fleet):
        await fleet.start(engines=2)
        await fleet.set_faults(fleet.backends["llm-1"], wrong_answers=2)
        while await count_wrong_answers(fleet, "llm-1"):
            async with streaming(fleet, STREAMS, TOKENS):
                pass

    run_fleet_test(tmp_path, test)
