"""A zone of gateways and agents with in-memory connections, on trio's clock."""

import trio

from figwalk.coordination.compacted_log import TopicFollower, TopicHandler
from figwalk.events import EventLog
from figwalk.protocol.codec import decode_message, encode_message
from figwalk.protocol.messages import ConnectionKind, Hello
from figwalk.relay.relay_link import RelayLink
from figwalk.relay.relay_server import RelayServer
from figwalk.relay.store_relay import StoreRelay
from figwalk.state.gateway_settings import GatewaySettings, RelaySettings
from figwalk.state.settings import Address
from figwalk.timer import Timer

from .fake_topics import FakeTopics

CONFIG, BACKENDS, CRASHES = "config", "backends", "crashes"
HOP_S = 0.001


class ClockTimer(Timer):
    """Timer whose boot time is trio's."""

    def boot_now(self):
        """Return monotonic time."""
        return self.now()


class WaitingTopics(FakeTopics):
    """A client of the store whose reads wait for records, with answers that are `late_s` late."""

    late_s = 0.0

    async def read(self, topic, offset, *, wait_s=0.0):
        """Return the records from an offset, waiting for the first one."""
        await self._reach()
        until = trio.current_time() + wait_s
        while trio.current_time() < until and (
            self.cut or self.topics.down or len(self.topics.records[topic]) <= offset
        ):
            await trio.sleep(0.05)
        if self.cut or self.topics.down:
            await self._lose()
        records = self.topics.records[topic]
        page = self._page(topic, range(offset, len(records)))
        await trio.sleep(self.late_s)
        return page


class FakeConnection:
    """One end of a connection; `deliver` receives what it sends after `delay_s`, or never."""

    def __init__(self, nursery, deliver):
        self.nursery = nursery
        self.deliver = deliver
        self.delay_s = HOP_S
        self.cut = False
        self.sent = 0

    def render(self, message):
        """Return the wire form."""
        return encode_message(message)

    def send_now(self, frame):
        """Send a frame."""
        self.sent += 1
        self.nursery.start_soon(self._carry, frame)
        return True

    async def send(self, message):
        """Send a message."""
        self.send_now(self.render(message))

    async def _carry(self, frame):
        await trio.sleep(self.delay_s)
        if not self.cut:
            self.deliver(decode_message(frame))


class Applied(TopicHandler):
    """Keeps the values that a gateway has applied, in order."""

    def __init__(self):
        self.values = []
        self.listed = 0
        self.outages = 0

    def apply(self, record):
        """Apply a record."""
        self.values.append(int(record.value))

    def apply_key_set(self, keys):
        """Count the listings of the whole topic."""
        self.listed += 1

    def set_available(self, *, available):
        """Count the outages."""
        self.outages += not available

    def handle_restore(self):
        """Do nothing."""


class Agent:
    """An agent with its connections to gateways."""

    def __init__(self, zone, name, relays):
        self.clients = []
        self.hello = Hello(ConnectionKind.PROMPT, name, 1, zone="a")
        self.relays = relays
        self.server = RelayServer(lambda: self._make(zone), "a", zone.events, zone.timer)
        self.ends = []
        self.links = []
        self.killed = False

    def _make(self, zone):
        self.clients.append(WaitingTopics(zone.topics))
        return self.clients[-1]

    def kill(self):
        """Lose all connections."""
        self.killed = True
        for link in self.links:
            link.detach()

    def set_links(self, **faults):
        """Set faults of all connections in both directions."""
        for end in self.ends:
            for name, value in faults.items():
                setattr(end, name, value)

    def set_clients(self, **faults):
        """Set faults of the agent's clients of the store."""
        for client in self.clients:
            for name, value in faults.items():
                setattr(client, name, value)


class Gateway:
    """A gateway that follows three topics."""

    def __init__(self, zone, name, readers, deadline_ms):
        self.zone = zone
        self.name = name
        self.links = []
        self.clients = [WaitingTopics(zone.topics) for _ in range(3)]
        self.sources = []
        address = Address("127.0.0.1", 1)
        settings = GatewaySettings(
            name, "a", "r", {"a": "r"}, address, address, address, 1, address,
            config_deadline_ms=deadline_ms, departure_deadline_ms=deadline_ms,
            relay=RelaySettings(readers),
        )  # fmt: skip
        relay = StoreRelay(
            settings, lambda: self.links, zone.events, zone.timer, on_read=self.sources.append
        )
        config, backends, crashes = self.clients
        self.logs = {
            CONFIG: relay.wrap_config(config, settings.config_wait_s),
            BACKENDS: relay.wrap_backends(backends),
            CRASHES: relay.wrap_idle(crashes, 3.0),
        }
        times = {
            CONFIG: {"wait_s": settings.config_wait_s},
            BACKENDS: {"period_s": settings.backends_period_s},
            CRASHES: {"wait_s": 3.0},
        }
        self.applied = {topic: Applied() for topic in self.logs}
        self.followers = [
            TopicFollower(
                log, topic, self.applied[topic], zone.events, zone.timer, **times[topic]
            )
            for topic, log in self.logs.items()
        ]  # fmt: skip

    def connect(self, agent):
        """Open a connection to an agent."""
        link = RelayLink()
        answers = FakeConnection(self.zone.nursery, link.apply)
        requests = FakeConnection(
            self.zone.nursery, lambda message: agent.server.handle(answers, message)
        )
        agent.server.add(answers, Hello(ConnectionKind.PROMPT, self.name, 1, zone="a"))
        link.attach(requests, agent.hello)
        self.links.append(link)
        agent.links.append(link)
        agent.ends += [answers, requests]


class Zone:
    """Gateways and agents of one availability zone."""

    def __init__(self, nursery, topics, *, gateways=4, readers=2, deadline_ms=4000, relays=True):
        self.nursery = nursery
        self.topics = topics
        self.timer = ClockTimer()
        self.events = EventLog("test", self.timer)
        self.agents = [Agent(self, f"agent-{n}", relays) for n in range(3)]
        self.gateways = [Gateway(self, f"g{n}", readers, deadline_ms) for n in range(gateways)]

    async def _send_digests(self):
        while True:
            for agent in self.agents:
                for link in agent.links:
                    if link.agent is not None and agent.relays:
                        link.set_gateways(agent.server.count_gateways())
            await trio.sleep(0.4)

    async def start(self):
        """Start all processes, the gateways one after the other, and wait until reads relay."""
        self.nursery.start_soon(self._send_digests)
        for agent in self.agents:
            self.nursery.start_soon(agent.server.run)
        for gateway in self.gateways:
            for agent in self.agents:
                gateway.connect(agent)
            for follower in gateway.followers:
                self.nursery.start_soon(follower.run)
            await trio.sleep(0.23)
        await trio.sleep(30)

    @property
    def reader(self):
        """The agent that has made most reads of the store."""
        return max(self.agents, key=lambda agent: agent.server.store_reads)

    def count_calls(self):
        """Return the number of calls to the store so far."""
        processes = [*self.agents, *self.gateways]
        return sum(client.calls for process in processes for client in process.clients)

    def write(self, topic, value):
        """Write a record with a number."""
        self.topics.records[topic].append(("k", b"%d" % value))
