import json
import socket

import trio
from agent_fakes import HOST, agent_test, body_of, run_test
from trio.testing import MockClock

from figwalk.agent.metrics import Metrics, MetricsPublisher
from figwalk.agent.peer_server import bind_peer_port
from figwalk.errors import CallOutcome
from figwalk.events import EventLog
from figwalk.protocol import messages
from figwalk.protocol.records import ConfigEntry, encode_entries
from figwalk.state.settings import Address
from figwalk.timer import Timer
from figwalk.transport import HttpClient


def config(revision, **values):
    entries = [ConfigEntry(path, value, revision) for path, value in values.items()]
    return messages.ConfigUpdate(revision, False, encode_entries(entries))


def withdrawn(revision, value):
    return config(revision, **{"withdrawn/llm-1": value})


@agent_test()
async def test_withdrawal_refuses_new_calls_and_finishes_running_ones(running):
    """Guards against new work on a withdrawn backend server (invariant 7) and cut calls (8)."""
    running.backend.go_on = trio.Event()
    running.backend.load["max_running"] = 1
    entry, other, waiting = [await running.connect() for _ in range(3)]
    control, second = await running.control(), await running.control()
    await control.report(max_running=1)
    await entry.call(1)
    await running.backend.received.wait()
    await waiting.call(9)
    await control.report(queued=1)
    await control.connection.send(withdrawn(3, {"reason": "heat"}))
    for notified in (control, second):
        await notified.until(lambda m: isinstance(m, messages.Leaving))
    await control.report(state=messages.BackendState.WITHDRAWN, revision=3)
    await other.call(2)
    for refused in (other, waiting):
        (refusal,) = await refused.result()
        assert (refusal.code, refusal.outcome) == ("leaving", CallOutcome.NOT_RUN)
    running.backend.go_on.set()
    assert (await entry.result())[-1].complete
    await control.connection.send(withdrawn(2, None))
    await control.connection.send(withdrawn(4, None))
    await control.report(state=messages.BackendState.SERVING, revision=4)
    await other.call(3)
    assert (await other.result())[-1].complete


@agent_test()
async def test_older_configuration_does_not_revert_a_withdrawal(running):
    """Guards against a return to an older configuration (invariant 9)."""
    control = await running.control()
    await control.connection.send(withdrawn(5, True))
    await control.connection.send(withdrawn(4, None))
    await control.connection.send(messages.ConfigUpdate(6, False, b"garbage"))
    await control.connection.send(config(7, **{"organisations/x": {"share": 2}}))
    report = await control.report(revision=7)
    assert report.state is messages.BackendState.WITHDRAWN
    assert running.agent._config.shares == {"x": 2.0}


@agent_test()
async def test_stop_finishes_running_calls(running):
    """Guards against a planned stop that cuts a call (invariant 8)."""
    running.backend.go_on = trio.Event()
    entry = await running.connect()
    control = await running.control()
    await entry.call(1)
    await running.backend.received.wait()
    running.agent.stop()
    await control.until(lambda m: isinstance(m, messages.Leaving))
    await control.report(state=messages.BackendState.LEAVING)
    running.backend.go_on.set()
    assert (await entry.result())[-1].complete
    await running.stopped.wait()
    assert "PROCESS_STOPPED" in running.events()


@agent_test(grace_s=0.0)
async def test_stop_past_the_grace_period_ends_streams_for_a_resume(running):
    """Guards against a stream that ends without an `End`, or that delays a stop forever."""
    running.backend.go_on = trio.Event()
    running.backend.chunks = [b"data: a\n\n"]
    entry = await running.connect()
    await entry.call(1, "/stream", stream=True)
    answer, data = [await entry.connection.receive() for _ in range(2)]
    running.agent.stop()
    *_, end = await entry.result()
    assert (answer.status, data.data) == (200, b"data: a\n\n")
    assert (end.byte_count, end.complete) == (9, False)
    await running.stopped.wait()
    assert "PROCESS_STOP_CUT" in running.events()


@agent_test(grace_s=0.0)
async def test_drain_keeps_running_calls_and_withdrawal_moves_streams(running):
    """Guards against a drained backend server that cuts a call after the grace period."""
    running.backend.go_on = trio.Event()
    running.backend.chunks = [b"data: a\n\n"]
    entry, other = await running.connect(), await running.connect()
    control = await running.control()
    await entry.call(1, "/stream", stream=True)
    [await entry.connection.receive() for _ in range(2)]
    await control.connection.send(withdrawn(3, {"mode": "drain"}))
    await control.report(state=messages.BackendState.WITHDRAWN, revision=3)
    await other.call(2)
    (refusal,) = await other.result()
    assert refusal.code == "leaving"
    report = await control.report(running=1)
    assert report.state is messages.BackendState.WITHDRAWN
    await control.connection.send(withdrawn(4, {"mode": "withdraw"}))
    *_, end = await entry.result()
    assert (end.byte_count, end.complete) == (9, False)


@agent_test()
async def test_unresponsive_backend_is_reported_down(running):
    """Guards against work sent to a crashed backend server."""
    control = await running.control()
    await control.report(state=messages.BackendState.SERVING)
    await running.backend.stop()
    await control.report(state=messages.BackendState.DOWN)


@agent_test()
async def test_state_of_an_engine_that_was_down_is_read_before_it_serves(running):
    """Guards against reports that a restarted engine serves with what it had loaded before."""
    control = await running.control()
    await control.report(state=messages.BackendState.SERVING)
    running.agent._serving.set_up(False)
    running.backend.state["version"] = "2"
    await running.agent._monitor.poll()
    assert running.agent._serving.up
    assert running.agent._reporter.build().version == "2"


@agent_test()
async def test_engine_that_was_down_serves_only_once_its_state_is_known(running):
    """Guards against reports of a restarted engine whose state could not be read."""
    control = await running.control()
    await control.report(state=messages.BackendState.SERVING)
    running.agent._serving.set_up(False)
    running.backend.state["version"] = "x" * 5000
    await running.agent._monitor.poll()
    assert not running.agent._serving.up


@agent_test()
async def test_cache_events_reach_every_entry(running):
    """Guards against an entry that connects later and routes without the cache contents."""
    events = [{"seq": n, "piece": 10 + n, "stored": True} for n in (1, 2)]
    running.backend.cache = {"next": 2, "events": events}
    control = await running.control()
    await control.until(lambda m: getattr(m, "cache_stored", []) == [11, 12])
    running.backend.cache = {
        "next": 4,
        "events": [{"seq": 4, "piece": 11, "stored": False}],
    }
    await control.until(lambda m: getattr(m, "cache_evicted", []) == [11])
    later = await running.control()
    await later.until(lambda m: getattr(m, "cache_stored", []) == [12])


@agent_test()
async def test_calls_of_a_killed_agent_reduce_the_capacity(running):
    """Guards against overloading an engine that still runs calls of a killed agent."""
    running.backend.load = {"age_ms": 0, "running": 3, "max_running": 8}
    control = await running.control()
    report = await control.report(running=3)
    assert running.agent._admission.capacity == 5
    assert report.max_running == 8


@agent_test()
async def test_timeline_of_a_request_is_complete(running):
    """Guards against a request without events at the agent."""
    entry, control = await running.connect(), await running.control()
    await entry.call(1)
    await entry.result()
    await control.connection.send(messages.EventsQuery("r1"))
    reply = await control.until(lambda m: isinstance(m, messages.EventsReply))
    records = json.loads(reply.events)
    assert [record["name"] for record in records] == ["CALL_SENT", "CALL_FINISHED"]
    assert records[0]["request_id"] == "r1"


def test_metrics_are_sent():
    """Guards against metrics that are never sent, or that count the same call twice."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind((HOST, 0))
        metrics = Metrics()
        publisher = MetricsPublisher(Address(*receiver.getsockname()), "llm-1", metrics)
        metrics.refused = 3
        for count in (3, 0):
            publisher.publish(messages.LoadReport(1, "llm-1", running=2))
            lines = receiver.recv(4096).decode().split("\n")
            assert f"figwalk.agent.llm-1.calls.refused:{count}|c" in lines
        assert "figwalk.agent.llm-1.running:2|g" in lines


@agent_test()
async def test_readiness_matches_the_state(running):
    """Guards against a platform that sends work to an agent whose engine is withdrawn."""
    address = running.agent.addresses["health"]
    client = HttpClient(address.host, address.port)
    assert (await client.fetch("GET", "/readyz"))[0].status == 200
    control = await running.control()
    await control.connection.send(withdrawn(3, True))
    await control.report(state=messages.BackendState.WITHDRAWN)
    assert (await client.fetch("GET", "/readyz"))[0].status == 503
    assert (await client.fetch("GET", "/healthz"))[0].status == 200


def test_agent_waits_for_the_port_of_a_paused_predecessor():
    """Guards against two agents for one backend server (invariant 1)."""

    async def main():
        events = EventLog("agent-1", Timer())
        with socket.socket() as paused:
            paused.bind((HOST, 0))
            paused.listen()
            address = Address(*paused.getsockname())
            async with trio.open_nursery() as nursery:
                bound = trio.Event()

                async def bind():
                    listener = await bind_peer_port(address, events)
                    bound.set()
                    await listener.aclose()

                nursery.start_soon(bind)
                await trio.testing.wait_all_tasks_blocked()
                assert not bound.is_set()
                assert [record.name for record in events.select()] == ["PEER_PORT_TAKEN"]
                paused.close()
                await bound.wait()

    run_test(main, clock=MockClock(autojump_threshold=0))


@agent_test("plain")
async def test_slow_entry_blocks_no_other(running):
    """Guards against an answer that its entry does not read and that blocks all other calls."""
    running.backend.chunks = [b"x" * 32_000_000]
    slow, fast = await running.connect(), await running.connect()
    await slow.call(1)
    await running.backend.received.wait()
    running.backend.chunks = [b"quick"]
    await fast.call(2)
    assert body_of(await fast.result()) == b"quick"
    assert len(body_of(await slow.result())) == 32_000_000
