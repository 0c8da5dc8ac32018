"""Tests of the entry's connections to an agent, against a scripted agent."""
# ruff: noqa: D102

from contextlib import asynccontextmanager

import attrs
import pytest
import trio
import trio.testing
from entry_fakes import HOST

from figwalk.entry import agent_link
from figwalk.entry.agent_link import AgentLink, LinkOwner
from figwalk.entry.call_pool import (
    SMALL_ANSWER_BYTES,
    AgentRefusalError,
    CallPool,
    NotSentError,
)
from figwalk.errors import CallOutcome, ConnectionLostError, LogUnavailableError, TransportError
from figwalk.events import EventLog
from figwalk.protocol.messages import (
    Answer,
    Call,
    ConfigUpdate,
    Confirm,
    Confirmed,
    ConnectionKind,
    Desired,
    End,
    EventsReply,
    Hello,
    KeyLookup,
    KeyState,
    KeyStatus,
    LoadReport,
    Refusal,
)
from figwalk.protocol.peer_connection import PeerConnection
from figwalk.state.configuration import Configuration
from figwalk.state.notifier import Notifier
from figwalk.state.settings import Address
from figwalk.timer import Timer
from figwalk.transport import ByteBudget

AGENT_HELLO = Hello(ConnectionKind.CONTROL, "agent-1", 7, backend="llm-1", service="llm")


class Owner(LinkOwner):
    """Records the calls that the link makes to the entry process."""

    def __init__(self):
        self.connected = 0
        self.lost = 0
        self.reports = []
        self.leaving = []
        self.log_down = False

    def hello(self, kind):
        return Hello(kind, "entry-1", 5)

    def on_connected(self, link):
        self.connected += 1

    def on_lost(self, link):
        self.lost += 1

    def on_report(self, link, report):
        self.reports.append(report)

    def on_leaving(self, link, leaving):
        self.leaving.append(leaving)

    def desired(self, backend):
        return Desired(3, 3, 2, backend)

    async def confirm_desired(self, confirm):
        if self.log_down:
            raise LogUnavailableError("down")
        return Confirmed(confirm.nonce, self.desired(confirm.backend))


@attrs.define
class Agent:
    """Accepts the connections of a link or pool, whose agent side the test scripts."""

    nursery: trio.Nursery
    owner: Owner
    events: EventLog
    link: AgentLink = None
    pool: CallPool = None
    greets: bool = True
    arrived: trio.MemorySendChannel = None
    connections: trio.MemoryReceiveChannel = None

    async def accept(self, stream):
        connection = PeerConnection(stream)
        await connection.receive_hello()
        if not self.greets:
            self.arrived.send_nowait(connection)
            return
        await connection.send(AGENT_HELLO)
        self.arrived.send_nowait(connection)
        await trio.sleep_forever()

    async def next_connection(self):
        return await self.connections.receive()

    def names(self):
        return [record.name for record in self.events.select()]


def link_test(function):
    """Run an async test with an `Agent` whose link is not started yet."""

    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery, scripted_agent(nursery) as agent:
                await function(agent)
                nursery.cancel_scope.cancel()

    def test():
        trio.run(main)

    test.__name__, test.__doc__ = function.__name__, function.__doc__
    return test


@asynccontextmanager
async def scripted_agent(nursery):
    agent = Agent(nursery, Owner(), EventLog("entry-1", Timer()))
    agent.arrived, agent.connections = trio.open_memory_channel(100)
    listeners = await nursery.start(
        lambda task_status: trio.serve_tcp(agent.accept, 0, host=HOST, task_status=task_status)
    )
    address = Address(HOST, listeners[0].socket.getsockname()[1])
    agent.link = AgentLink(
        "agent-1",
        address,
        owner=agent.owner,
        configuration=Configuration(),
        changed=Notifier(),
        events=agent.events,
        report_timeout_s=10.0,
    )
    agent.pool = CallPool(agent.link, agent.owner, agent.events)
    yield agent


def call(call_id=1):
    return Call(call_id, "r1", "POST", "/x")


async def read_answer(agent, frames, budget=None):
    """Send a call that the agent answers with `frames`, and return the complete body."""

    async def reply():
        connection = await agent.next_connection()
        await connection.receive()
        for frame in frames:
            if isinstance(frame, tuple):
                await connection.send_data(*frame)
            else:
                await connection.send(frame)

    agent.nursery.start_soon(reply)
    async with agent.pool.open(call()) as answer:
        await answer.head()
        return await answer.read((budget or ByteBudget()).open_charge())


HEAD = Answer(1, 200)


@pytest.mark.parametrize(
    ("frames", "event"),
    [
        ([HEAD, (2, b"ab"), End(1, 2, True)], "ANSWER_MISMATCH"),
        ([Answer(2, 200)], "ANSWER_MISMATCH"),
        ([HEAD, End(2, 0, True)], "ANSWER_MISMATCH"),
        ([HEAD, (1, b"a"), End(1, 2, True)], None),
        ([HEAD, (1, b"abc"), End(1, 2, True)], None),
        ([HEAD, HEAD], None),
        ([(1, b"a")], None),
        ([HEAD, Hello(ConnectionKind.CALL, "agent-1", 7)], None),
    ],
)
def test_unexpected_frames_close_the_connection(frames, event):
    """Guards against a part of one answer that is delivered as part of another (invariant 4)."""

    @link_test
    async def run(agent):
        with pytest.raises(TransportError):
            await read_answer(agent, frames)
        assert agent.names() == ([event] if event else [])
        # The next call uses a new connection, to which the script answers.
        frames_of_next = [HEAD, (1, b"ab"), End(1, 2, True)]
        assert await read_answer(agent, frames_of_next) == b"ab"

    run()


@pytest.mark.parametrize("size", [SMALL_ANSWER_BYTES, SMALL_ANSWER_BYTES + 1])
def test_answer_without_room_is_received_only_if_it_is_small(size):
    """Guards against answers that exhaust the memory, and against small ones that others block."""
    budget = ByteBudget(limit=2 * SMALL_ANSWER_BYTES)
    budget.open_charge().add(2 * SMALL_ANSWER_BYTES)
    frames = [HEAD, (1, b"x" * (size - 1)), (1, b"x"), End(1, size, True)]

    @link_test
    async def run(agent):
        if size == SMALL_ANSWER_BYTES:
            assert len(await read_answer(agent, frames, budget)) == size
            return
        with pytest.raises(ConnectionLostError, match="too large"):
            await read_answer(agent, frames, budget)
        assert agent.names() == ["ANSWER_WITHOUT_ROOM"]
        assert budget.held == 2 * SMALL_ANSWER_BYTES

    run()


@link_test
async def test_connection_is_reused_after_a_complete_answer_or_refusal(agent):
    """Guards against a new connection per call, and an incomplete answer treated as complete."""

    async def serve():
        connection = await agent.next_connection()
        refusal = Refusal(1, "overloaded", retry_after_ms=5)
        for reply in ([refusal], [HEAD, End(1, 0, True)], [HEAD, End(1, 0, False)]):
            await connection.receive()
            for message in reply:
                await connection.send(message)

    agent.nursery.start_soon(serve)
    with pytest.raises(AgentRefusalError) as caught:
        async with agent.pool.open(call()) as reply:
            await reply.head()
    assert (caught.value.status, caught.value.retry_after_ms) == (429, 5)
    assert caught.value.outcome is CallOutcome.NOT_RUN
    async with agent.pool.open(call()) as reply:
        await reply.head()
        assert await reply.read(ByteBudget().open_charge()) == b""
        assert reply.complete
    with pytest.raises(ConnectionLostError, match="ended before its end"):
        async with agent.pool.open(call()) as reply:
            await reply.head()
            await reply.read(ByteBudget().open_charge())


@link_test
async def test_call_to_an_agent_that_sends_no_hello_did_not_run(agent):
    """Guards against `outcome_unknown` for a call that was never sent."""
    agent.greets = False
    with pytest.raises(NotSentError) as caught:
        async with agent.pool.open(call()):
            pass
    assert caught.value.outcome is CallOutcome.NOT_RUN


@link_test
async def test_loss_of_the_agent_ends_its_calls(agent):
    """Guards against a call that waits forever for an agent behind a network partition."""
    agent.nursery.start_soon(agent.link.run)
    control = await agent.next_connection()

    async def serve():
        connection = await agent.next_connection()
        await connection.receive()
        await control.aclose()

    agent.nursery.start_soon(serve)
    with pytest.raises(ConnectionLostError):
        async with agent.pool.open(call()) as reply:
            await reply.head()
    await agent.next_connection()
    assert agent.owner.lost == 1
    assert agent.names().count("PEER_LOST") == 1


@link_test
async def test_link_pushes_state_and_serves_confirmations(agent):
    """Guards against an agent without configuration, or a confirmation while the log is down."""
    agent.nursery.start_soon(agent.link.run)
    control = await agent.next_connection()
    assert isinstance(await control.receive(), ConfigUpdate)
    assert (await control.receive()).order_offset == 3
    agent.owner.log_down = True
    await control.send(Confirm(1, "llm-1"))
    await control.send(LoadReport(1, "llm-1"))
    while not agent.owner.reports:
        await trio.lowlevel.checkpoint()
    await trio.testing.wait_all_tasks_blocked()  # The link has dropped the first Confirm.
    agent.owner.log_down = False
    await control.send(Confirm(2, "llm-1"))
    assert (await control.receive()).nonce == 2


@link_test
async def test_lookup_is_shared_by_two_waiters(agent):
    """Guards against a reply that reaches only one of two tasks that look up the same claim."""
    with pytest.raises(ConnectionLostError):
        await agent.link.lookup("c1", 7)
    agent.nursery.start_soon(agent.link.run)
    control = await agent.next_connection()
    while not agent.link.connected:
        await trio.lowlevel.checkpoint()
    states = []

    async def look():
        states.append((await agent.link.lookup("c1", 7)).state)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(look)
        nursery.start_soon(look)
        asked = 0
        while asked < 2:
            asked += isinstance(await control.receive(), KeyLookup)
        await control.send(KeyStatus("c1", KeyState.FINISHED, 200))
        await control.send(KeyStatus("c1", KeyState.RUNNING))
        await control.send(EventsReply(b"[]"))
    assert states == [KeyState.FINISHED] * 2


@link_test
async def test_error_in_one_link_does_not_end_the_entry(agent):
    """Guards against a message of one agent that ends the entry process and all its requests."""
    agent.owner.reports = None  # Makes `on_report` fail.
    agent.nursery.start_soon(agent.link.run)
    control = await agent.next_connection()
    await control.send(LoadReport(1, "llm-1"))
    await agent.next_connection()
    assert agent.owner.lost == 1
    assert agent.names().count("TASK_FAILED") == 1


class Delays:
    """Replaces the link's waits before it reconnects, and records their lengths."""

    def __init__(self, count):
        self.taken = []
        self._count = count
        self.done = trio.Event()

    async def sleep(self, seconds):
        self.taken.append(seconds)
        if len(self.taken) == self._count:
            self.done.set()
            await trio.sleep_forever()
        await trio.lowlevel.checkpoint()


@pytest.mark.parametrize("greets", [False, True])
def test_reconnects_back_off(monkeypatch, greets):
    """Guards against entries that reconnect to a refusing agent in a tight loop."""

    @link_test
    async def run(agent):
        delays = Delays(6)
        monkeypatch.setattr(agent_link, "_wait_before_dial", delays.sleep)
        monkeypatch.setattr(agent_link.random, "uniform", lambda _low, _high: 1.0)
        agent.greets = greets

        async def close_all():
            while True:
                (await agent.next_connection()).close()

        if greets:
            agent.nursery.start_soon(close_all)
        agent.nursery.start_soon(agent.link.run)
        await delays.done.wait()
        assert delays.taken == [0.1, 0.2, 0.4, 0.8, 1.6, 2.0]

    run()
