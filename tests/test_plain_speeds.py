"""Tests of the choice among plain backend servers whose speeds differ."""

import pytest
from support.fake_timer import FakeTimer
from support.queue_model import Cell, Load

from figwalk.pacing.reported_slowdown import MAX_SLOWDOWN, SPELL_S, ReportedSlowdown
from figwalk.pacing.speed_estimator import HALF_LIFE_S, SpeedEstimator

SPELL_PERIOD_S = 4.0
SPELL_FACTOR = 2.5
# Name, scale of the load, seconds: the page's figures, ten times smaller, ten times larger.
SIZES = {"smaller": (0.1, 20.0), "page": (1.0, 20.0), "larger": (10.0, 2.0)}


class SlowCell(Cell):
    """One server takes three times as long; all have spells, which they report."""

    def slowdown(self, server):
        """Return the product of the spell and of the server's own slowness."""
        return self.reported(server) * (3.0 if server.name == "s0" else 1.0)

    def reported(self, server):
        """Return the spell, of which each server has one in turn."""
        is_spell = (self.timer.time + 0.67 * int(server.name[1:])) % SPELL_PERIOD_S < SPELL_S
        return SPELL_FACTOR if is_spell else 1.0


def run_cell(cell_type, size, gateways, seed, *, learns=True):
    scale, seconds = SIZES[size]
    load = Load(85.0 * scale, 0.045, 0.265, seconds=seconds)
    servers = max(2, round(6 * scale))
    cell = cell_type(load, gateways=gateways, servers=servers, seed=seed, reports=learns)
    if not learns:
        cell.disable_speeds()
    return cell.run()


def mean_s(cells):
    took = [done.took_s for cell in cells for done in cell.done]
    return sum(took) / len(took)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("gateways", [5, 27])
def test_calls_avoid_slow_servers(size, gateways):
    """Guards against the nearest server chosen although it works slowly, now or always."""
    before, after = (
        [run_cell(SlowCell, size, gateways, seed, learns=learns) for seed in (1, 2)]
        for learns in (False, True)
    )
    assert mean_s(after) < mean_s(before)
    if size == "page":
        assert mean_s(after) < 0.85 * mean_s(before)
        late_before, late_after = (
            sum(1 - cell.share_in_time() for cell in cells) for cells in (before, after)
        )
        assert late_after < 0.6 * late_before


def test_equal_servers_get_the_same_calls_as_without_speeds():
    """Guards against a deployment with equal servers that is served otherwise than before."""
    served = [
        [done.server for done in run_cell(Cell, "page", 5, 1, learns=learns).done]
        for learns in (False, True)
    ]
    assert served[0] == served[1]


def test_reported_slowdown_counts_for_a_fraction_of_a_second():
    """Guards against a server avoided, or used, by a report from a spell that has ended."""
    timer = FakeTimer()
    slowdown = ReportedSlowdown(timer)
    for _ in range(20):
        slowdown.record(1.0)
    slowdown.record(SPELL_FACTOR)
    assert slowdown.factor > 2.0
    timer.advance(0.1)
    assert 1.7 < slowdown.factor < 2.2
    timer.advance(0.6)
    assert slowdown.factor == 1.0


@pytest.mark.parametrize("claimed", [0.0, 1.0, 1e6])
def test_constant_report_has_no_lasting_effect(claimed):
    """Guards against calls drawn to, or driven from, a server that always states one figure."""
    slowdown = ReportedSlowdown(FakeTimer())
    factors = []
    for _ in range(200):
        slowdown.record(claimed)
        factors.append(slowdown.factor)
    assert all(0.5 <= factor <= MAX_SLOWDOWN for factor in factors)
    assert factors[-1] == pytest.approx(1.0, abs=0.01)


def test_factor_follows_the_answers_and_is_forgotten():
    """Guards against a server that is avoided for good once it was slow."""
    timer = FakeTimer()
    speeds = SpeedEstimator(timer)
    for number in range(30):
        for server in ("s0", "s1", "s2"):
            noise = 0.01 * (-1) ** number
            speeds.record(server, "x", 0.1 * (2.0 if server == "s0" else 1.0) + noise)
    assert speeds.factor("s0") == pytest.approx(2.0, abs=0.1)
    assert speeds.factor("s1") == 1.0
    timer.advance(HALF_LIFE_S)
    assert speeds.factor("s0") == pytest.approx(1.5, abs=0.1)
    speeds.record("s0", "x", 60.0)
    assert speeds.factor("s0") < 2.5
    speeds.forget("s0")
    assert speeds.factor("s0") == 1.0
