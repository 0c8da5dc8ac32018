"""Tests of how often agents tell gateways the state of their engines."""

import attrs
import pytest
import trio
from support.fake_timer import FakeTimer

from figwalk.coordination.kept_parts import CachedPart, KeptParts, hash_part
from figwalk.errors import ConnectionLostError
from figwalk.prompt_agent.digest_sender import DIGESTS_PER_S, HEARTBEAT_S, DigestSender
from figwalk.protocol.messages import EngineDigest

STATE = EngineDigest(True, 10_000, 100_000.0, 0, 5)
TICK_S = 0.1


class Gateway:
    """A connection to a gateway that takes digests, is slow, or is gone."""

    def __init__(self, *, slow=False, gone=False):
        self.received = []
        self.slow = slow
        self.gone = gone
        self.closed = False

    def render(self, message):
        """Return the message itself."""
        return message

    def send_now(self, frame):
        """Take a digest, as `PeerConnection.send_now`."""
        if self.gone:
            raise ConnectionLostError("gone")
        if not self.slow:
            self.received.append(frame)
        return not self.slow

    def close(self):
        """Note the end of the connection."""
        self.closed = True


class Agent:
    """An agent whose engine's state a test sets."""

    def __init__(self, gateways):
        self.state = STATE
        self.timer = FakeTimer()
        self.parts = KeptParts(self.timer)
        self.sender = DigestSender(self.make_digest, self.parts, self.timer)
        self.gateways = [Gateway() for _ in range(gateways)]
        for gateway in self.gateways:
            self.sender.add(gateway)
            gateway.received.clear()

    def make_digest(self, changes):
        """Return the state with the changes of the kept parts."""
        return attrs.evolve(
            self.state,
            kept=list(changes.kept),
            yielded=list(changes.yielded),
            kept_complete=changes.complete,
        )

    def tick(self, **state):
        """Let the time to the next call of the timer service pass, with a changed state."""
        self.state = attrs.evolve(self.state, **state)
        self.timer.advance(TICK_S)
        trio.run(self.sender.tell)


def test_new_gateway_is_told_at_once():
    """Guards against a gateway that judges by itself until the next change."""
    agent = Agent(0)
    gateway = Gateway()
    agent.sender.add(gateway)
    assert gateway.received == [attrs.evolve(STATE, kept_complete=True)]


def test_idle_engine_costs_heartbeats_only():
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
def test_change_is_told_with_the_next_tick(change):
    """Guards against gateways that send to an engine as it was half a second ago."""
    agent = Agent(1)
    agent.tick()
    agent.tick(**change)
    assert agent.gateways[0].received[-1] == agent.state


def test_rate_of_digests_is_bounded_in_a_large_fleet():
    """Guards against agents whose processor is taken by telling hundreds of gateways.

    Load: 70 gateways, an engine whose backlog changes all the time, ten seconds.
    """
    agent = Agent(70)
    for step in range(100):
        agent.tick(backlog_tokens=step % 2 * 50_000)
    sent = sum(len(gateway.received) for gateway in agent.gateways)
    assert sent <= 10 * max(DIGESTS_PER_S, 70 / HEARTBEAT_S) + 70


def test_slow_or_lost_gateway_does_not_hold_up_the_others():
    """Guards against digests that wait for a gateway behind a choked link."""
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


def test_kept_parts_are_told_once_and_all_to_a_new_gateway():
    """Guards against gateways that don't know where a prompt's shared parts are kept."""
    agent = Agent(1)
    agent.parts.confirm(CachedPart("subject", 4000))
    agent.tick()
    agent.tick(up=False)
    subject = hash_part("subject")
    assert [digest.kept for digest in agent.gateways[0].received] == [[subject], []]
    late = Gateway()
    agent.sender.add(late)
    assert late.received[0].kept == [subject]
    assert late.received[0].kept_complete


def test_yielded_part_is_told():
    """Guards against prompts sent to an engine for parts that it no longer keeps."""
    agent = Agent(1)
    agent.parts.confirm(CachedPart("subject", 4000))
    agent.tick()
    agent.parts.confirm(CachedPart("subject", 0))
    agent.tick(up=False)
    assert agent.gateways[0].received[-1].yielded == [hash_part("subject")]
    assert agent.parts.all.kept == ()


def test_gateway_that_missed_a_digest_is_told_all_parts():
    """Guards against a gateway that believes for ever what changed while its link was choked."""
    agent = Agent(1)
    gateway = agent.gateways[0]
    agent.parts.confirm(CachedPart("a", 4000))
    agent.tick()
    gateway.slow = True
    agent.parts.confirm(CachedPart("a", 0))
    agent.parts.confirm(CachedPart("b", 4000))
    agent.tick(up=False)
    gateway.slow = False
    agent.tick(up=True)
    assert gateway.received[-1].kept_complete
    assert gateway.received[-1].kept == [hash_part("b")]
    agent.tick(up=False)
    assert not gateway.received[-1].kept_complete
