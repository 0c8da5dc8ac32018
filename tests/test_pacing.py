"""Tests of the pace at which new and recovered backend servers get calls."""

import random

import pytest
from support.fake_timer import FakeTimer
from support.queue_model import Cell, Load

from figwalk.coordination.backend_tracker import AttemptOutcome, BackendTracker
from figwalk.coordination.kept_out import select_usable
from figwalk.events import EventLog
from figwalk.pacing.pace_limiter import FIRST_CALL_SPREAD_S, WATCH_S, PaceLimiter, PaceSignal
from figwalk.pacing.service_pacing import SETTLING_S
from figwalk.state.backend_directory import BackendEntry
from figwalk.state.settings import Address

JOINED_S = SETTLING_S + 0.5
COLD_S = 1.5
WORK_S, TARGET_S, SLOTS = 0.09, 0.415, 6
# Servers, seconds: a cell of the page's size, ten times smaller, ten times larger.
SIZES = {"smaller": (2, 20.0), "page": (6, 12.0), "larger": (60, 8.0)}


class JoinCell(Cell):
    """A server joins cold: at first it takes six times as long."""

    def slowdown(self, server):
        """Return how slow the new server still is."""
        return 6.0 if server.name == "new" and self.timer.time < JOINED_S + COLD_S else 1.0

    def reported(self, _server):
        """Return the usual slowdown."""
        return 1.0

    def late_at_new(self):
        """Return the number of calls at the new server that were late."""
        return sum(done.took_s > TARGET_S for done in self.select("new"))

    def fair_share_s(self):
        """Return the seconds until the new server first got 0.8 of its fair share for 1 s."""
        needed = 0.8 * self.load.rate / len(self.servers)
        sent = sorted(done.sent_at for done in self.select("new"))
        for first in sent:
            if sum(first <= each < first + 1.0 for each in sent) >= needed:
                return first - JOINED_S
        return float("inf")


def run_join(size, gateways, *, limited, seed=1):
    servers, seconds = SIZES[size]
    rate = 0.9 * (servers - 1) * SLOTS / WORK_S
    load = Load(rate, WORK_S, TARGET_S, slots=SLOTS, seconds=seconds, begins=JOINED_S - 1.0)
    cell = JoinCell(load, gateways=gateways, servers=servers - 1, seed=seed)
    if not limited:
        cell.disable_limits()
    cell.at(JOINED_S, cell.add, "new", "a1")
    return cell.run()


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("gateways", [5, 27])
def test_new_server_is_neither_flooded_nor_left_idle(size, gateways):
    """Guards against all gateways that send their calls to a new server while it is cold."""
    before, after = (run_join(size, gateways, limited=limited) for limited in (False, True))
    assert after.late_at_new() <= 0.5 * before.late_at_new()
    assert after.share_in_time(since=JOINED_S) >= before.share_in_time(since=JOINED_S)
    assert after.fair_share_s() <= before.fair_share_s() + COLD_S + 2 * FIRST_CALL_SPREAD_S


class LyingCell(Cell):
    """One server says that it is idle and fast, and fails all calls from some time on."""

    def reported(self, server):
        """Return a high speed for the lying server."""
        return 0.1 if server.name == "s0" else 1.0

    def fails(self, server):
        """Return whether the server is the lying one."""
        return server.name == "s0" and self.timer.time > 2.0


@pytest.mark.parametrize("gateways", [5, 27])
def test_server_that_claims_to_be_fast_and_fails_gets_few_calls(gateways):
    """Guards against calls drawn to a server by its own report."""
    cells = []
    for limited in (False, True):
        cell = LyingCell(
            Load(72.0, WORK_S, TARGET_S, seconds=20.0), gateways=gateways, servers=6, seed=1
        )
        if not limited:
            cell.disable_limits()
        cells.append(cell.run())
    assert sum(not done.ok for done in cells[1].done) <= sum(not done.ok for done in cells[0].done)
    assert sum(not done.ok for done in cells[1].done) < 0.1 * len(cells[1].done)


class Limiter:
    """A limiter with one new server, whose first call is due."""

    def __init__(self):
        self.timer = FakeTimer()
        self.pace = PaceLimiter(EventLog("test", self.timer), self.timer, random.Random(1))
        self.pace.begin_new("s")
        self.timer.advance(FIRST_CALL_SPREAD_S)

    def play(self, signal):
        """Send as many calls as are allowed, and let all end; return their number."""
        calls = 0
        while calls < 20 and self.pace.allows("s", slots=100):
            self.pace.start("s", calls)
            calls += 1
        self.timer.advance(0.1)
        for call in range(calls):
            self.pace.finish("s", call, signal)
        return calls


def test_limit_follows_the_answers():
    """Guards against a limit that grows by time alone, or falls by several answers at once."""
    limiter = Limiter()
    assert [limiter.play(PaceSignal.ON_TIME) for _ in range(2)] == [1, 2]
    assert limiter.play(PaceSignal.LATE) == 20
    assert limiter.play(PaceSignal.LATE) in (1, 2)
    assert limiter.play(PaceSignal.LATE) == 1
    for signal in (PaceSignal.FAILED, PaceSignal.ON_TIME):
        assert limiter.play(signal) == 0
        limiter.timer.advance(1.0)
        assert limiter.play(signal) == 1


def test_server_turning_slow_again_is_limited_only_while_watched():
    """Guards against a server that floods again after it looked warm, and endless suspicion."""
    limiter = Limiter()
    for _ in range(2):
        limiter.play(PaceSignal.ON_TIME)
    assert not limiter.pace.is_limited("s")
    limiter.play(PaceSignal.LATE)
    assert limiter.pace.is_limited("s")
    for _ in range(4):
        limiter.play(PaceSignal.ON_TIME)
    limiter.timer.advance(WATCH_S)
    limiter.play(PaceSignal.LATE)
    assert not limiter.pace.is_limited("s")


def test_full_server_gets_no_more_calls_by_the_load_that_it_reports():
    """Guards against a new server flooded by gateways that each keep to their own limit."""
    limiter = Limiter()
    assert limiter.pace.allows("s", load=5, slots=6)
    assert not limiter.pace.allows("s", load=6, slots=6)


@pytest.mark.parametrize(
    ("servers", "failed", "kept_out"), [(6, 2, 2), (6, 5, 3), (2, 1, 1), (1, 1, 0)]
)
def test_at_most_half_of_a_service_is_kept_out(servers, failed, kept_out):
    """Guards against all calls sent to the few servers that no gateway suspects."""
    timer = FakeTimer()
    events = EventLog("test", timer)
    trackers = []
    for number in range(servers):
        entry = BackendEntry(f"s{number}", "x", Address("h", 1), "a", 6, False, 1, 1)
        trackers.append(BackendTracker(entry, timer, events))
    for tracker in trackers[:failed]:
        for call in range(2 if tracker is trackers[0] else 1):
            tracker.start(call)
            tracker.finish(call, AttemptOutcome.UNREACHABLE)
    usable = select_usable(trackers)
    assert len(usable) == servers - kept_out
    if servers > 1:
        assert trackers[0] not in usable
