"""Tests how gateways share the origins of streams through agents that come and go."""

import trio
from support.mock_time import mock_time

from figwalk.gateway.origin_exchange import TOLD_PEERS, OriginExchange, OriginPeer
from figwalk.state.stream_origins import StreamOrigin, StreamOrigins
from figwalk.timer import Timer

V1 = StreamOrigin("lm", "v1", "e1", 1000)
V2 = StreamOrigin("lm", "v2", "e2", 2000)
LINK_S = 0.012
ATTEMPTS = [b"%d" % number for number in range(50)]


class Agent:
    """An agent as all gateways share it."""

    def __init__(self, host):
        self.host = host
        self.restart()

    def restart(self):
        """Forget all origins, and lose all connections."""
        self.origins = StreamOrigins(Timer())
        self.up = True
        self.start = object()


class Link(OriginPeer):
    """A gateway's connection to an agent.

    Attributes:
        silent: Whether nothing arrives at the agent any more.
        delay_s: Seconds that a message about a stream takes.
        answer_s: Seconds that an answer takes.
    """

    def __init__(self, agent):
        self.agent = agent
        self.silent = False
        self.delay_s = LINK_S
        self.answer_s = LINK_S

    @property
    def host(self):
        """Return the address of the agent."""
        return self.agent.host

    @property
    def session(self):
        """Return the agent's start, since it loses its connections then."""
        return (self, self.agent.start)

    def tell(self, attempt, origin):
        """Deliver the origin later."""
        if not self.silent:
            trio.lowlevel.spawn_system_task(self._deliver, attempt, origin, self.agent.start)

    async def ask(self, attempt):
        """Ask the agent; there is no answer on a silent connection."""
        if self.silent:
            await trio.sleep_forever()
        await trio.sleep(self.answer_s)
        return self.agent.origins.find(attempt)

    async def _deliver(self, attempt, origin, start):
        await trio.sleep(self.delay_s)
        if start is self.agent.start:
            self.agent.origins.add(attempt, origin)


class Gateway:
    """A gateway with a connection to each agent that is up."""

    def __init__(self, agents):
        self.links = [Link(agent) for agent in agents]
        self.exchange = OriginExchange(self.connected, Timer())

    def connected(self):
        """Return the connections to agents that are up."""
        return [link for link in self.links if link.agent.up]

    def begin(self, *attempts, origin=V1):
        """Begin streams at one version."""
        for attempt in attempts:
            self.exchange.begin(attempt, origin)


def make_agents(count=6):
    """Return agents with addresses of their own."""
    return [Agent(f"10.0.0.{number}") for number in range(count)]


async def find_all(gateway, attempts=ATTEMPTS):
    """Return the origins that a gateway finds, asking for all of them at once."""
    found = {}

    async def find(attempt):
        found[attempt] = await gateway.exchange.find(attempt)

    async with trio.open_nursery() as nursery:
        for attempt in attempts:
            nursery.start_soon(find, attempt)
    return [found[attempt] for attempt in attempts]


@mock_time
async def test_gateway_finds_the_origins_of_streams_that_another_one_began():
    """Guards against take-ups that only the first gateway can place."""
    agents = make_agents()
    first, second = Gateway(agents), Gateway(agents)
    first.begin(*ATTEMPTS[:25])
    first.begin(*ATTEMPTS[25:], origin=V2)
    assert await find_all(second) == [V1] * 25 + [V2] * 25


@mock_time
async def test_origin_that_is_still_on_its_way_is_found():
    """Guards against callers that come back before the message about their stream arrives."""
    agents = make_agents()
    first, second = Gateway(agents), Gateway(agents)
    for link in first.links:
        link.delay_s = 0.1
    first.begin(*ATTEMPTS)
    assert await find_all(second) == [V1] * len(ATTEMPTS)


@mock_time
async def test_origins_outlive_gateways_and_all_but_one_of_their_agents():
    """Guards against origins that are lost when machines are stopped in a release."""
    agents = make_agents()
    Gateway(agents).begin(*ATTEMPTS)
    await trio.sleep(1)
    for agent in agents[: TOLD_PEERS - 1]:
        agent.up = False
    assert await find_all(Gateway(agents)) == [V1] * len(ATTEMPTS)


@mock_time
async def test_agents_that_take_the_place_of_others_are_told_of_open_streams():
    """Guards against origins that are lost when all agents are replaced one after another."""
    agents = make_agents()
    first, second = Gateway(agents), Gateway(agents)
    first.begin(*ATTEMPTS)
    first.exchange.end(ATTEMPTS[0])
    first.exchange.update()
    for agent in agents[:4]:
        agent.up = False
        first.exchange.update()
        await trio.sleep(0.2)
    for agent in agents:
        agent.restart()
    first.exchange.update()
    assert await find_all(second) == [None] + [V1] * (len(ATTEMPTS) - 1)


@mock_time
async def test_slow_agents_are_heard_beside_silent_ones():
    """Guards against answers of busy agents that come too late to count."""
    agents = make_agents()
    first, second = Gateway(agents), Gateway(agents)
    first.begin(*ATTEMPTS)
    await trio.sleep(1)
    for number, link in enumerate(second.links):
        link.silent = number < TOLD_PEERS - 1
        link.answer_s = 0.5
    assert await find_all(second) == [V1] * len(ATTEMPTS)


@mock_time
async def test_gateway_that_is_not_connected_yet_waits_for_agents():
    """Guards against streams that are refused since all gateways have just started."""
    agents = make_agents()
    first, second = Gateway(agents), Gateway(agents)
    first.begin(*ATTEMPTS)
    await trio.sleep(1)
    links, second.links = second.links, []

    async def connect():
        await trio.sleep(0.4)
        second.links = links

    async with trio.open_nursery() as nursery:
        nursery.start_soon(connect)
        assert await find_all(second) == [V1] * len(ATTEMPTS)


@mock_time
async def test_silent_agents_do_not_keep_a_caller_waiting():
    """Guards against a take-up that waits for agents behind a cut link."""
    agents = make_agents()
    first, second = Gateway(agents), Gateway(agents)
    first.begin(*ATTEMPTS)
    for link in second.links:
        link.silent = True
    started = trio.current_time()
    assert await find_all(second) == [None] * len(ATTEMPTS)
    assert trio.current_time() - started < 1.0


@mock_time
async def test_origin_of_a_stream_that_nobody_knows_is_unknown():
    """Guards against a guess where no gateway and no agent was told."""
    gateway = Gateway(make_agents())
    gateway.begin(b"other")
    assert await gateway.exchange.find(b"unknown") is None
    assert await Gateway([]).exchange.find(b"unknown") is None


@mock_time
async def test_stream_is_told_to_few_agents():
    """Guards against messages for each stream that grow with the number of agents."""
    agents = make_agents(40)
    gateway = Gateway(agents)
    gateway.begin(*ATTEMPTS)
    for _ in range(3):
        gateway.exchange.update()
    await trio.sleep(1)
    assert sum(len(agent.origins) for agent in agents) == TOLD_PEERS * len(ATTEMPTS)


@mock_time
async def test_gateways_that_know_different_agents_find_origins():
    """Guards against gateways that ask other agents than were told, as agents come and go."""
    agents = make_agents(9)
    first, second = Gateway(agents[:-3]), Gateway(agents)
    first.begin(*ATTEMPTS)
    assert await find_all(second) == [V1] * len(ATTEMPTS)
