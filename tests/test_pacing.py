"""Tests of the pace at which new and recovered backend servers get calls."""

import random

import pytest
from support.fake_timer import FakeTimer
from support.queue_model import Cell, Load

from figwalk.coordination.backend_tracker import AttemptOutcome
from figwalk.coordination.kept_out import select_usable
from figwalk.events import EventLog
from figwalk.pacing.pace_limiter import FIRST_CALL_SPREAD_S, WATCH_S, PaceLimiter, PaceSignal
from figwalk.pacing.service_pacing import SETTLING_S

JOINED_S = SETTLING_S + 0.5
COLD_S = 1.5
WORK_S, TARGET_S, SLOTS = 0.09, 0.415, 6
# Servers, seconds: a cell of the page's size, a tenth, ten times.
SIZES = {"smaller": (2, 20.0), "page": (6, 12.0), "larger": (60, 8.0)}


def slow_down(server, now):
    """Return how slow a server is: the new one takes six times as long at first."""
    return 6.0 if server == "new" and now < JOINED_S + COLD_S else 1.0


def fair_share_s(cell):
    """Return the seconds until the new server first got 0.8 of its fair share for a second."""
    needed = 0.8 * cell.load.rate / len(cell.running)
    sent = sorted(sent_at for name, sent_at, _, _ in cell.done if name == "new")
    return next(t for t in sent if sum(t <= each < t + 1 for each in sent) >= needed) - JOINED_S


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("gateways", [5, 27])
def test_new_server_is_neither_flooded_nor_left_idle(size, gateways):
    """Guards against all gateways that send their calls to a new server while it is cold."""
    servers, seconds = SIZES[size]
    rate = 0.9 * (servers - 1) * SLOTS / WORK_S
    cells = []
    for limited in (False, True):
        load = Load(rate, WORK_S, TARGET_S, seconds, JOINED_S - 1.0, slowdown=slow_down)
        cell = Cell(load, gateways, servers - 1)
        cell.disable(limits=not limited)
        cell.at(JOINED_S, cell.add, "new", "a1")
        cells.append(cell.run())
    flooded, paced = cells
    assert paced.count_late("new") <= 0.5 * flooded.count_late("new")
    assert paced.count_late(since=JOINED_S) <= flooded.count_late(since=JOINED_S)
    assert fair_share_s(paced) <= fair_share_s(flooded) + COLD_S + 2 * FIRST_CALL_SPREAD_S


@pytest.mark.parametrize("gateways", [5, 27])
def test_server_that_claims_to_be_fast_and_fails_gets_few_calls(gateways):
    """Guards against calls drawn to a server by its own report."""
    load = Load(72.0, WORK_S, TARGET_S, 20.0)
    load.reported = lambda server, _: 0.1 if server == "s0" else 1.0
    load.fails = lambda server, now: server == "s0" and now > 2.0
    cell = Cell(load, gateways, 6).run()
    assert sum(not ok for *_, ok in cell.done) < 0.01 * len(cell.done)


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
    assert not limiter.pace.allows("s", load=6, slots=6)  # Full by calls of other gateways.
    assert [limiter.play(PaceSignal.ON_TIME) for _ in range(2)] == [1, 2]
    assert [limiter.play(PaceSignal.LATE) for _ in range(3)] == [20, 2, 1]
    for signal in (PaceSignal.FAILED, PaceSignal.ON_TIME):
        assert limiter.play(signal) == 0
        limiter.timer.advance(1.0)
        assert limiter.play(signal) == 1


def test_server_turning_slow_again_is_limited_only_while_watched():
    """Guards against a server that is flooded again after it looked warm, and endless suspicion."""
    limiter = Limiter()
    for signal in (PaceSignal.ON_TIME, PaceSignal.ON_TIME, PaceSignal.LATE):
        limiter.play(signal)
    assert limiter.pace.is_limited("s")
    for _ in range(4):
        limiter.play(PaceSignal.ON_TIME)
    limiter.timer.advance(WATCH_S)
    limiter.play(PaceSignal.LATE)
    assert not limiter.pace.is_limited("s")


@pytest.mark.parametrize(("servers", "failed", "out"), [(6, 2, 2), (6, 5, 3), (2, 1, 1), (1, 1, 0)])
def test_at_most_half_of_a_service_is_kept_out(servers, failed, out):
    """Guards against all calls sent to the few servers that no gateway suspects."""
    trackers = list(Cell(Load(1.0, 1.0, 1.0, 1.0), 1, servers).gateways[0][3].values())
    for number, tracker in enumerate(trackers[:failed]):
        for call in range(2 if number == 0 else 1):
            tracker.start(call)
            tracker.finish(call, AttemptOutcome.UNREACHABLE)
    usable = select_usable(trackers, random.Random(1))
    assert len(usable) == servers - out
    assert servers == 1 or trackers[0] not in usable
