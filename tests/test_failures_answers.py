"""Backend servers and agents that fail during an answer, with real processes (invariant 4)."""

import pytest
import trio

from tests.support.small_fleet import (
    SERVICE,
    Stream,
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


@pytest.mark.parametrize("option", ["--version", "--adapter"])
def test_stream_is_not_resumed_at_an_engine_with_another_version_or_adapter(tmp_path, option):
    """Guards against an answer that joins the text of two weight versions or adapters."""

    async def test(fleet):
        await fleet.start(engines=1)
        await fleet.hold_answers(hold=True)
        stream = Stream("Why fill a tyre?", TOKENS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.caller().read, stream)
            await stream.started.wait()
            await start_engine(fleet, "llm-2", option, "other")
            fleet.backends["llm-1"].kill()
        assert await fleet.find_server(stream) == "llm-1"
        assert stream.error is not None
        assert b'"code": "backend_lost"' in stream.body
        assert b"[DONE]" not in stream.body

    run_fleet_test(tmp_path, test)


def test_streams_are_resumed_at_the_engine_of_their_version_beside_an_idle_one_of_another(tmp_path):
    """Guards against streams that are cut, or joined from two versions, during a release."""

    async def test(fleet):
        await fleet.start(engines=2)
        async with streaming(fleet, STREAMS, TOKENS) as streams:
            await start_engine(fleet, "llm-3", "--version", "other")
            served = await fleet.find_server(streams[0])
            fleet.backends[served].kill()
            await fleet.backends[served].wait()
        servers = {await fleet.find_server(stream) for stream in streams}
        assert servers == {"llm-1", "llm-2"} - {served}

    run_fleet_test(tmp_path, test)


async def start_engine(fleet, name, *options):
    """Add an engine to a running fleet, and wait until it serves."""
    await fleet.start_engine(name, *options)
    await fleet.start_agent(name)
    await fleet.wait_serving()


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
