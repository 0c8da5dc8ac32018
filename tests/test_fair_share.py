"""Shares among organisations under overload, with copies that each see all calls or a part."""

import random
from collections import Counter

import attrs
import pytest
from support.fake_timer import FakeTimer

from figwalk.fairness.fair_share import FairShare, ShareReason, ShareRequest, TryKind
from figwalk.timer import Timer

TARGET_S = 0.4  # Time to the target that remains for waiting.
WORK_S = 0.03
SECONDS = 24.0
STATE_AGE_S = 0.05  # Gateways learn the length of the queue this late.


@attrs.define
class Played:
    """What callers got."""

    asked: Counter = attrs.field(factory=Counter)
    served: Counter = attrs.field(factory=Counter)
    idle_s: float = 0.0
    idle_refusals: int = 0

    def share(self, organisations):
        """Return the share of the calls of some organisations that were in time."""
        chosen = set(organisations)
        asked = sum(n for name, n in self.asked.items() if name in chosen)
        return sum(n for name, n in self.served.items() if name in chosen) / max(1, asked)


class AllAlike(FairShare):
    """Gives all calls all the room."""

    def _weigh(self, request):
        return attrs.evolve(super()._weigh(request), room=1.0)


def play(
    organisations,
    *,
    copies,
    servers,
    seed,
    load=2.0,
    burst=False,
    restart=False,
    make=None,
    repeats=(),
):
    """Offer calls at a multiple of what the servers can do, and return what callers get.

    Args:
        organisations: Their number; the rate falls with the rank to the power of 1.2.
        copies: Number of copies; one sees the queue now, several as it was a moment ago.
        servers: Number of backend servers; what they can do grows with it.
        seed: Of the arrivals.
        load: Work asked for, as a multiple of what the servers can do.
        burst: Whether the largest alone asks for `load` every second second, and all for 0.9.
        restart: Whether each copy is replaced by a new one in the middle.
        make: Class of the copies.
        repeats: As what the calls of organisation 3 come again at once when they are refused.
    """
    rng, timer, make = random.Random(seed), FakeTimer(0.0), make or FairShare
    ledgers = [make(timer) for _ in range(copies)]
    weights = [rank**-1.2 for rank in range(1, organisations + 1)]
    names = range(1, organisations + 1)
    played, work_s = Played(), WORK_S / servers
    free_at, known_at, known_wait_s = 0.0, 0.0, 0.0
    while timer.time < SECONDS:
        in_burst = burst and timer.time % 2 >= 1
        rate = (0.9 + load * in_burst if burst else load) / work_s
        timer.advance(rng.expovariate(rate))
        if restart and timer.time > SECONDS / 2:
            restart, ledgers = False, [make(timer) for _ in range(copies)]
        from_largest = in_burst and rng.random() < load / (0.9 + load)
        name = 1 if from_largest else rng.choices(names, weights)[0]
        ledger = rng.choice(ledgers)
        wait_s = max(0.0, free_at - timer.time)
        if copies == 1 or timer.time - known_at >= STATE_AGE_S:
            known_at, known_wait_s = timer.time, wait_s
        played.asked[name] += 1
        for tried in (TryKind.FIRST, *(repeats if name == 3 else ())):
            request = ShareRequest(name, work_s, tried=tried)
            if known_wait_s <= ledger.admit(request).room * (TARGET_S - WORK_S):
                ledger.record(name, work_s)
                played.idle_s += max(0.0, timer.time - free_at)
                free_at = max(free_at, timer.time) + work_s
                played.served[name] += wait_s <= TARGET_S
                break
            played.idle_refusals += known_wait_s == 0.0
            ledger.record_pressure()
    return played


# Organisations, gateways' copies and servers behind those: the page's figures, a tenth, ten times.
# More than 40 servers only make the same play longer.
SIZES = [(7, 2, 2), (72, 21, 20), (720, 210, 40)]


@pytest.mark.parametrize(("seed", "restart"), [(1, False), (2, False), (3, True)])
@pytest.mark.parametrize(("organisations", "gateways", "servers"), SIZES)
def test_shares_under_overload(organisations, gateways, servers, seed, restart):
    """Guards against an organisation that gets too little of an overload, large or small.

    It also guards against idle servers while calls are refused. Played by one agent's copy and by
    the gateways' copies, with a restart of all copies in the middle too.
    """
    for copies, count in ((1, 1), (gateways, servers)):
        played = play(organisations, copies=copies, servers=count, seed=seed, restart=restart)
        mean = played.share(played.asked)
        assert 0.4 <= mean <= 0.55
        for name, asked in played.asked.items():
            if asked >= 20:
                assert played.share([name]) >= mean / 4, (copies, name)
        smallest = range(organisations - organisations // 10, organisations + 1)
        assert played.share(smallest) >= 0.85 * mean
        assert played.idle_s < 0.02 * SECONDS
        assert played.idle_refusals == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_burst_of_a_large_organisation(seed):
    """Guards against small organisations that are refused because of a large one's burst."""
    others = range(2, 73)
    fair = play(72, copies=1, servers=1, seed=seed, burst=True, load=1.0)
    alike = play(72, copies=1, servers=1, seed=seed, burst=True, load=1.0, make=AllAlike)
    assert fair.share(others) >= 0.9
    assert 1 - fair.share(others) <= 0.5 * (1 - alike.share(others))
    assert fair.share(fair.asked) >= 0.97 * alike.share(alike.asked)


@pytest.mark.parametrize("seed", [1, 2])
def test_three_repeats_at_once(seed):
    """Guards against an organisation that gains room, or takes others', by repeating at once."""
    options = {"copies": 1, "servers": 2, "seed": seed}
    calm, unmarked = play(72, **options), play(72, **options, repeats=[TryKind.FIRST] * 3)
    marked = play(72, **options, repeats=[TryKind.EARLY_REPEAT] * 3)
    assert unmarked.share([3]) >= 1.3 * calm.share([3])
    assert marked.share([3]) <= 1.1 * calm.share([3])
    assert marked.share([1, 2]) >= 0.9 * calm.share([1, 2])


def press(organisation=1):
    """Return a copy under pressure, where one organisation took nearly all of the work."""
    timer = FakeTimer()
    share = FairShare(timer)
    for name, asked, granted in ((organisation, 100, 45), (2, 5, 5), (3, 5, 0)):
        for number in range(asked):
            share.admit(ShareRequest(name, WORK_S))
            if number < granted:
                share.record(name, WORK_S)
    share.record_pressure()
    return timer, share


def test_room_without_pressure_or_organisation():
    """Guards against callers that wait less than before where nothing is scarce or known."""
    timer, share = press()
    assert share.admit(ShareRequest(1, WORK_S)).room < 1
    assert share.admit(ShareRequest(3, WORK_S)).room == 1
    low, high = (share.admit(ShareRequest(1, WORK_S, priority=p)).room for p in (3, 0))
    assert 0 < low < high < 1
    assert share.admit(ShareRequest(0, WORK_S)).reason is ShareReason.UNKNOWN
    timer.advance(1.5)
    assert share.admit(ShareRequest(1, WORK_S)).room == 1
    assert share.admit(ShareRequest(1, WORK_S, tried=TryKind.EARLY_REPEAT)).room == 1


def test_repeats_under_pressure():
    """Guards against repeats that crowd out first tries, or that gain nothing by waiting."""
    _, share = press()
    first, early, due = (share.admit(ShareRequest(1, WORK_S, tried=kind)).room for kind in TryKind)
    assert early < first < due < 1


def test_only_organisation_has_all_room():
    """Guards against a limit on an organisation that displaces no other one."""
    share = FairShare(FakeTimer())
    for _ in range(10):
        share.admit(ShareRequest(1, WORK_S))
    share.record(1, WORK_S)
    share.record_pressure()
    assert share.admit(ShareRequest(1, WORK_S)).room == 1


def test_copy_is_made_before_the_clock_runs():
    """Guards against agents that end at their start: their parts are made outside of trio."""
    assert not FairShare(Timer())._ledger.organisations
