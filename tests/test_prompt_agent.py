"""Tests of the prompt agent on an engine's VM and of gateways' connections to it."""

import itertools
from contextlib import asynccontextmanager

import pytest
import trio
from support.forwarder import Forwarder
from support.platform_fakes import HOST, run_test

from figwalk.coordination import prefill_queue
from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.plain_placement import Distance
from figwalk.coordination.prefill_queue import PrefillQueue
from figwalk.coordination.prompt_placement import PlacementSettings, PromptPlacement
from figwalk.coordination.prompt_plan import PromptCall
from figwalk.coordination.stream_pace import limit_prefill_share
from figwalk.errors import HttpError
from figwalk.events import EventLog
from figwalk.gateway.prompt_offers import AgentLink, PromptOffers
from figwalk.platform import PlatformEngineReportCodec
from figwalk.prompt_agent.digest_sender import DIGEST_PERIOD_S
from figwalk.prompt_agent.engine_watcher import EngineWatcher
from figwalk.prompt_agent.prompt_server import PromptServer
from figwalk.protocol.messages import ConnectionKind, EngineDigest, Hello, PromptOffer, Role
from figwalk.protocol.peer_connection import PeerConnection
from figwalk.state.backend_directory import BackendEntry
from figwalk.state.gateway_settings import EngineSettings
from figwalk.state.routing import EngineSpec
from figwalk.state.settings import Address
from figwalk.timer import Timer
from figwalk.transport import HttpClient, HttpServer

SPEC = EngineSpec(8, 1_000_000, 1000.0, 100_000.0, 5.0)
PROMPT = PromptCall((("own", 6000),), 0.25, 2.0)
REPORT = {
    "stage": "prefill",
    "busy": False,
    "born": 1000,
    "running": 0,
    "waiting": 0,
    "kv-total": 1_000_000,
}


class Engine:
    """An engine that only answers requests for its report."""

    def __init__(self):
        self.report = dict(REPORT)
        self.silent = False

    async def answer(self, _request, responder):
        """Answer with the report, or never if `silent` is set."""
        if self.silent:
            await trio.sleep_forever()
        await responder.send_json(200, self.report)


AGENT_HELLO = Hello(ConnectionKind.PROMPT, "a", 1, paces_streams=True)
OLD_AGENT_HELLO = Hello(ConnectionKind.PROMPT, "a", 1)


class Pair:
    """An agent and a gateway's connection to it."""

    def __init__(self, engine, queue, watcher, tracker, offers, agent_scope):
        self.engine = engine
        self.queue = queue
        self.watcher = watcher
        self.tracker = tracker
        self.offers = offers
        self.agent_scope = agent_scope

    async def offer(self, round_trip_s=0.5):
        """Offer the prompt, as a gateway with this round trip to the agent."""
        placement = PromptPlacement(PlacementSettings(), Distance("a", "r", {"a": "r"}), None)
        plan = placement._build_plan(PROMPT, self.tracker, self.tracker, None, SPEC)
        return await self.offers.offer("c1", PROMPT, plan, round_trip_s)

    async def wait_connected(self):
        """Wait for the first digest of the agent."""
        while self.tracker.reported_rate is None:
            await trio.sleep(0.01)


@asynccontextmanager
async def running_pair(delay_s=0.0, hello=AGENT_HELLO):
    """Run an engine, its agent, and a gateway's connection with a delay in each direction."""
    timer = Timer()
    events = EventLog("test", timer)
    async with trio.open_nursery() as nursery:
        engine = Engine()
        server = HttpServer(engine.answer, events)
        engine_port = await nursery.start(server.serve, HOST, 0)
        queue = PrefillQueue(timer, tokens_per_s=1.0)
        watcher = EngineWatcher(
            HttpClient(HOST, engine_port),
            PlatformEngineReportCodec(),
            queue,
            EngineSettings(),
            events,
            timer,
        )
        await watcher.poll()
        agent = PromptServer(queue, watcher, events, timer, make_hello=lambda: hello)
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        agent_port = listeners[0].socket.getsockname()[1]
        agent_scope = trio.CancelScope()

        async def serve_agent():
            with agent_scope:
                await trio.serve_listeners(agent.serve_connection, listeners)

        async def send_digests():
            while True:
                await agent.digests.send_if_due()
                await trio.sleep(DIGEST_PERIOD_S)

        nursery.start_soon(serve_agent)
        nursery.start_soon(send_digests)
        if delay_s:
            forwarder = Forwarder(Address(HOST, agent_port))
            forwarder.delay(delay_s)
            agent_port = (await nursery.start(forwarder.run)).port
        address = Address(HOST, engine_port)
        entry = BackendEntry("e1", "lm", address, "a", 8, False, 1, 1, role=Role.PREFILL)
        tracker = EngineTracker(entry, timer, events, spec=SPEC)
        offers = PromptOffers(
            lambda: [tracker], agent_port, events, timer, process="g", zone="a", region="r"
        )
        nursery.start_soon(offers.run)
        pair = Pair(engine, queue, watcher, tracker, offers, agent_scope)
        await pair.wait_connected()
        yield pair
        nursery.cancel_scope.cancel()


def with_pair(test):
    """Run a test with an agent and a gateway's connection to it."""

    def run():
        async def main():
            async with running_pair() as pair:
                await test(pair)

        run_test(main)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


@with_pair
async def test_granted_prompt_stays_queued_until_its_end_is_reported(pair):
    """Guards against an engine that appears idle while prompts are queued there."""
    answer = await pair.offer()
    assert answer.grant is not None
    assert pair.queue.depth == 1
    answer.grant.end(read=True)
    while pair.queue.depth:
        await trio.sleep(0.01)


@with_pair
async def test_full_engine_refuses_with_its_backlog(pair):
    """Guards against prompts that are sent to an engine whose queue makes them late."""
    pair.queue.set_engine(tokens_per_s=10_000.0)
    assert (await pair.offer()).grant is not None
    answer = await pair.offer()
    assert answer.grant is None
    assert answer.wait_s == 0.6


@with_pair
async def test_grants_of_a_disconnected_gateway_are_dropped(pair):
    """Guards against an engine that appears full because of a disconnected gateway."""
    await pair.offer()
    assert pair.queue.depth == 1
    pair.offers._links[pair.tracker][1].cancel()
    while pair.queue.depth:
        await trio.sleep(0.01)


@with_pair
async def test_agent_outlives_a_gateway_that_leaves_amid_its_offers(pair):
    """Guards against an agent that exits because it can't send a decision."""
    port = pair.offers._links[pair.tracker][0]._port
    for _ in range(3):
        hello = Hello(ConnectionKind.PROMPT, "leaving", 2)
        connection, _ = await PeerConnection.connect(HOST, port, hello)
        assert isinstance(await connection.receive(), EngineDigest)
        offers = [PromptOffer(n, f"c{n}", "own", [10], 250, 2000, 0) for n in range(1, 300)]
        await connection.send_rendered(b"".join(map(connection.render, offers)))
        connection.close()
        await trio.sleep(0.1)
    assert await pair.offer() is not None
    while pair.queue.depth != 1:
        await trio.sleep(0.01)


@with_pair
async def test_digest_states_the_number_of_gateways(pair):
    """Guards against gateways that share the limit of a backend server by a wrong number."""
    port = pair.offers._links[pair.tracker][0]._port
    hello = Hello(ConnectionKind.PROMPT, "second", 2)
    connection, _ = await PeerConnection.connect(HOST, port, hello)
    while (await connection.receive()).gateways != 2:
        pass
    connection.close()
    while pair.tracker.reported_gateways != 1:
        await trio.sleep(0.01)


def test_agent_behind_a_narrow_link_still_decides(monkeypatch):
    """Guards against gateways that overload engines since they get decisions too late.

    Load: one gateway, offers in sequence, 60 ms of delay in addition to the round trip of 0.
    """
    # The offers take 1.6 s, so that the first grants would expire before the last on a busy VM.
    monkeypatch.setattr(prefill_queue, "GRANT_TTL_S", 60.0)

    async def main():
        async with running_pair(delay_s=0.03) as pair:
            answers = []
            for _ in range(10):
                answers.append(await pair.offer(round_trip_s=0.0))
                await trio.sleep(0.1)
            assert [answer is not None for answer in answers[3:]] == [True] * 7
            while pair.queue.depth != sum(answer is not None for answer in answers):
                await trio.sleep(0.01)

    run_test(main)


@with_pair
async def test_link_that_is_lost_and_dropped_at_once_ends_quietly(pair):
    """Guards against a gateway that exits after it was frozen.

    When it resumes, the connections to agents time out at the same moment at which the gateway
    learns that the registrations of the engines have expired, and drops the links.
    """
    scope = trio.CancelScope()
    known = pair.offers._links[pair.tracker][0]
    link = AgentLink(pair.tracker, known._port, known._hello, pair.offers._events, Timer())

    async def lose_when_cancelled(_connection):
        try:
            await trio.sleep_forever()
        finally:
            raise trio.TooSlowError

    link._receive = lose_when_cancelled
    async with trio.open_nursery() as nursery:

        async def run():
            with scope:
                await link.run()

        nursery.start_soon(run)
        while link._connection is None:
            await trio.sleep(0.01)
        scope.cancel()


@with_pair
async def test_lost_agent_gives_no_answer_at_once(pair):
    """Guards against prompts that wait for a lost agent."""
    pair.agent_scope.cancel()
    link = pair.offers._links[pair.tracker][0]
    while link._connection is not None:
        await trio.sleep(0.01)
    with trio.fail_after(0.5):
        assert await pair.offer() is None


@with_pair
async def test_unresponsive_engine_is_reported_as_down(pair):
    """Guards against prompts granted for an engine that has just crashed."""
    pair.engine.silent = True
    for _ in range(2):
        await pair.watcher.poll()
    assert not pair.watcher.up
    assert (await pair.offer()).grant is None
    while not pair.tracker.is_avoided():
        await trio.sleep(0.01)


@with_pair
async def test_gateways_learn_of_streams_and_their_events(pair):
    """Guards against gateways that put streams on an engine whose events take too long."""
    for events in (5, 15):
        pair.engine.report |= {"stage": "decode", "runs": [["s1", 100, events, 2]]}
        await pair.watcher.poll()
    while not pair.tracker.stream_load.event_s:
        await trio.sleep(0.01)
    assert pair.tracker.stream_load.streams == 1
    assert pair.watcher.limit_prefill(0.3) is not None


async def poll_stream(pair, events):
    """Let the agent see a stream that has made these events, a while after the last report."""
    pair.engine.report |= {"stage": "decode", "runs": [["s1", 100, events, 2]]}
    await pair.watcher.poll()


@with_pair
async def test_agent_and_gateways_know_what_an_announced_stream_needs(pair):
    """Guards against an agent that limits prefill, and gateways that place, without deadlines."""
    # Many events between two reports, so that the stream can end in time however slow this test is.
    pair.offers.expect_stream(pair.tracker, "s1", 100_000, 500.0)
    for events in itertools.count(1000, 1000):
        await poll_stream(pair, min(events, 50_000))
        if pair.tracker.stream_load.needed_event_s < float("inf"):
            break
        await trio.sleep(0.02)
    assert pair.tracker.stream_load.needed_event_s < 0.01
    assert pair.queue.duty == limit_prefill_share(pair.watcher.stream_load)


def test_earlier_agent_gets_no_message_that_it_does_not_know():
    """Guards against lost connections to agents while a new version is rolled out."""

    async def main():
        async with running_pair(hello=OLD_AGENT_HELLO) as pair:
            connection = pair.offers._links[pair.tracker][0]._connection
            pair.offers.expect_stream(pair.tracker, "s1", 1000, 5.0)
            assert (await pair.offer()).grant is not None
            assert len(pair.watcher._deadlines) == 0
            assert pair.offers._links[pair.tracker][0]._connection is connection

    run_test(main)


@with_pair
async def test_restarted_engine_counts_as_empty(pair):
    """Guards against prompts that count as cached at an engine that lost its prefix cache."""
    await pair.offer()
    pair.engine.report["born"] = 2000
    await pair.watcher.poll()
    assert pair.queue.depth == 0
    assert (await pair.offer()).uncached_tokens == 6000


@pytest.mark.parametrize("body", [b"", b"[]", b'{"stage":1}', b'{"stage":"prefill"}'])
def test_malformed_report_is_an_http_error(body):
    """Guards against an agent that exits because of a malformed report, or applies it."""
    with pytest.raises(HttpError):
        PlatformEngineReportCodec().decode_report([], body)
