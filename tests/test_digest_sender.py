"""Tests of how often agents send digests of their engines to gateways, and what these contain."""

import attrs
import pytest
import trio
from support.fake_timer import FakeTimer

from figwalk.coordination.cached_parts import CachedPart, CachedParts, hash_part
from figwalk.errors import ConnectionLostError
from figwalk.prompt_agent.digest_sender import HEARTBEAT_S, MAX_DIGESTS_PER_S, DigestSender
from figwalk.protocol.messages import EngineDigest

STATE = EngineDigest(True, 10_000, 100_000.0, 0, 5)
TICK_S = 0.1


class Gateway:
    """A connection to a gateway that receives digests, is slow, or is lost."""

    def __init__(self, *, slow=False, gone=False):
        self.received = []
        self.slow = slow
        self.gone = gone
        self.closed = False

    def render(self, message):
        """Return the message itself."""
        return message

    def send_now(self, frame):
        """Record a digest; a fake of `PeerConnection.send_now`."""
        if self.gone:
            raise ConnectionLostError("gone")
        if not self.slow:
            self.received.append(frame)
        return not self.slow

    def close(self):
        """Record that the connection was closed."""
        self.closed = True


class Agent:
    """A `DigestSender` for an engine whose state the test sets."""

    def __init__(self, gateways):
        self.state = STATE
        self.timer = FakeTimer()
        self.parts = CachedParts(self.timer)
        self.sender = DigestSender(self.make_digest, self.parts, self.timer)
        self.gateways = [Gateway() for _ in range(gateways)]
        for gateway in self.gateways:
            self.sender.add(gateway)
            gateway.received.clear()

    def make_digest(self, changes):
        """Return the state with the changes of the cached parts."""
        return attrs.evolve(
            self.state,
            kept=list(changes.kept),
            yielded=list(changes.yielded),
            kept_complete=changes.complete,
        )

    def tick(self, **state):
        """Change the state and advance the time to the next call of the timer."""
        self.state = attrs.evolve(self.state, **state)
        self.timer.advance(TICK_S)
        trio.run(self.sender.send_if_due)


def test_new_gateway_gets_a_digest_at_once():
    """Guards against a gateway that has no state of the engine until the next change."""
    agent = Agent(0)
    gateway = Gateway()
    agent.sender.add(gateway)
    assert gateway.received == [attrs.evolve(STATE, kept_complete=True)]


def test_idle_engine_causes_only_heartbeats():
    """Guards against a cost that grows with gateways and engines while nothing happens."""
    agent = Agent(3)
    for _ in range(20):
        agent.tick()
    heartbeats = 20 * TICK_S / HEARTBEAT_S
    for gateway in agent.gateways:
        assert abs(len(gateway.received) - heartbeats) <= 1


@pytest.mark.parametrize(
    "change", [{"up": False}, {"backlog_tokens": 12_000}, {"decoding": 8}, {"tokens_per_s": 8e4}]
)
def test_change_is_sent_with_the_next_tick(change):
    """Guards against gateways that place prompts by a state that is half a second old."""
    agent = Agent(1)
    agent.tick()
    agent.tick(**change)
    assert agent.gateways[0].received[-1] == agent.state


def test_rate_of_digests_is_bounded_in_a_large_fleet():
    """Guards against agents that spend their processor time on digests to hundreds of gateways.

    Load: 70 gateways, an engine whose backlog changes all the time, ten seconds.
    """
    agent = Agent(70)
    for step in range(100):
        agent.tick(backlog_tokens=step % 2 * 50_000)
    sent = sum(len(gateway.received) for gateway in agent.gateways)
    assert sent <= 10 * max(MAX_DIGESTS_PER_S, 70 / HEARTBEAT_S) + 70


def test_slow_or_lost_gateway_does_not_delay_the_others():
    """Guards against digests that wait for a gateway on a congested link."""
    agent = Agent(1)
    slow, gone = Gateway(slow=True), Gateway()
    agent.sender.add(slow)
    agent.sender.add(gone)
    gone.gone = True
    agent.tick(up=False)
    agent.tick(up=True)
    assert agent.gateways[0].received[-1].up
    assert not slow.closed
    assert gone.closed


def test_cached_parts_are_sent_once_and_in_full_to_a_new_gateway():
    """Guards against gateways that don't know which engine has cached a prompt's shared parts."""
    agent = Agent(1)
    agent.parts.apply_report(CachedPart("subject", 4000))
    agent.tick()
    agent.tick(up=False)
    subject = hash_part("subject")
    assert [digest.kept for digest in agent.gateways[0].received] == [[subject], []]
    late = Gateway()
    agent.sender.add(late)
    assert late.received[0].kept == [subject]
    assert late.received[0].kept_complete


def test_evicted_part_is_sent():
    """Guards against prompts sent to an engine for parts that it has evicted."""
    agent = Agent(1)
    agent.parts.apply_report(CachedPart("subject", 4000))
    agent.tick()
    agent.parts.apply_report(CachedPart("subject", 0))
    agent.tick(up=False)
    assert agent.gateways[0].received[-1].yielded == [hash_part("subject")]
    assert agent.parts.all.kept == ()


def test_gateway_that_missed_a_digest_gets_all_parts():
    """Guards against a gateway that never learns of changes during congestion of its link."""
    agent = Agent(1)
    gateway = agent.gateways[0]
    agent.parts.apply_report(CachedPart("a", 4000))
    agent.tick()
    gateway.slow = True
    agent.parts.apply_report(CachedPart("a", 0))
    agent.parts.apply_report(CachedPart("b", 4000))
    agent.tick(up=False)
    gateway.slow = False
    agent.tick(up=True)
    assert gateway.received[-1].kept_complete
    assert gateway.received[-1].kept == [hash_part("b")]
    agent.tick(up=False)
    assert not gateway.received[-1].kept_complete
