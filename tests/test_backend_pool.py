"""Tests how a gateway takes turns at backend servers that limit requests."""

import json
import random

import pytest
from support.fake_timer import FakeTimer

from figwalk.events import EventLog
from figwalk.gateway.backend_pool import BackendPool
from figwalk.platform import decode_routing
from figwalk.protocol.messages import Role
from figwalk.state.backend_directory import BackendDirectory, BackendEntry
from figwalk.state.settings import Address
from standins.platform_config import make_config

GATEWAYS = 12


class Pool:
    """A pool with two engines."""

    def __init__(self):
        self.timer = FakeTimer()
        events = EventLog("g", self.timer)
        self.directory = BackendDirectory(events, self.timer)
        self.pool = BackendPool(
            self.directory, events, self.timer, random.Random(1), gateways=GATEWAYS
        )
        self.pool.set_routing(decode_routing(json.dumps(make_config()).encode()))
        for number, name in enumerate(("e1", "e2")):
            address = Address("10.0.0.1", 80 + number)
            role = Role.DECODE
            self.directory.apply(BackendEntry(name, "lm", address, "a", 8, False, 1, 1, role=role))
        self.first, self.second = self.pool.trackers("lm")

    def limit(self, tracker, requests_per_s):
        """Have an engine name a limit, or none."""
        self.pool.mark_limit(tracker.entry, requests_per_s, self.timer.now())

    def count_turns(self, seconds):
        """Return the turns that the gateway gets at the first engine."""
        count = 0
        for _ in range(round(seconds * 100)):
            self.timer.advance(0.01)
            count += self.pool.take_turns(self.first)
        return count


@pytest.fixture
def pool():
    return Pool()


def test_share_is_that_of_the_gateways_which_agents_count(pool):
    """Guards against turns that are lost because more gateways are assumed than there are."""
    pool.limit(pool.first, 6.0)
    assert pool.count_turns(20.0) == pytest.approx(20.0 * 6.0 / GATEWAYS, abs=1)
    pool.second.apply_digest(up=True, backlog_tokens=0, tokens_per_s=1.0, decoding=0, gateways=3)
    turns = 0
    for _ in range(20):
        pool.second.apply_digest(
            up=True, backlog_tokens=0, tokens_per_s=1.0, decoding=0, gateways=3
        )
        turns += pool.count_turns(0.5)
    assert turns == pytest.approx(10.0 * 6.0 / 3, abs=2)


def test_no_turn_is_taken_unless_all_backend_servers_have_one(pool):
    """Guards against turns that are used up for calls which another limit then holds back."""
    pool.limit(pool.first, 60.0)
    pool.limit(pool.second, 0.1)
    assert pool.pool.trackers("lm") == []
    pool.timer.advance(0.3)
    assert not pool.pool.take_turns(pool.first, pool.second)
    assert pool.pool.take_turns(pool.first)


def test_engine_without_a_turn_is_no_candidate(pool):
    """Guards against calls that are placed where they may not be sent."""
    pool.limit(pool.first, 0.1)
    assert pool.pool.trackers("lm") == [pool.second]
    pool.limit(pool.second, 0.1)
    assert pool.pool.trackers("lm") == []
    assert pool.pool.promise_return_s("lm") > 0
    pool.timer.advance(0.1)
    pool.limit(pool.second, None)
    assert pool.pool.trackers("lm") == [pool.second]
