"""Tests of the choice among plain backend servers whose speeds differ."""

import pytest
from support.fake_timer import FakeTimer
from support.queue_model import Cell, Load

from figwalk.pacing.reported_slowdown import MAX_SLOWDOWN, SPELL_S, ReportedSlowdown
from figwalk.pacing.speed_estimator import HALF_LIFE_S, SpeedEstimator

# Scale of the load and the servers, and seconds: the page's figures, a tenth, ten times.
SIZES = {"smaller": (0.1, 20.0), "page": (1.0, 20.0), "larger": (10.0, 2.0)}


def report_spells(server, now):
    """Return 2.5 in spells, which the servers have in turn."""
    return 2.5 if (now + 0.67 * int(server[1:])) % 4.0 < SPELL_S else 1.0


def slow_down(server, now):
    """Return the spell, and for one server three times as much."""
    return report_spells(server, now) * (3.0 if server == "s0" else 1.0)


def run_cell(size, gateways, *, learns, seed=1, **load):
    scale, seconds = SIZES[size]
    load = Load(85.0 * scale, 0.045, 0.265, seconds, **load)
    cell = Cell(load, gateways, max(2, round(6 * scale)), seed=seed)
    if not learns:
        cell.disable(speeds=True)
    return cell.run()


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("gateways", [5, 27])
def test_calls_avoid_slow_servers(size, gateways):
    """Guards against the nearest server chosen although it works slowly, now or always."""
    means, late = [], []
    for load in ({}, {"reported": report_spells}):
        cells = [
            run_cell(size, gateways, learns=bool(load), seed=seed, slowdown=slow_down, **load)
            for seed in ((1,) if size == "larger" else (1, 2))
        ]
        took = [took_s for cell in cells for _, _, took_s, _ in cell.done]
        means.append(sum(took) / len(took))
        late.append(sum(cell.count_late() for cell in cells))
    assert means[1] < means[0]
    if size == "page":
        assert means[1] < 0.85 * means[0]
        assert late[1] < 0.6 * late[0]


def test_equal_servers_get_the_same_calls_as_without_speeds():
    """Guards against a deployment with equal servers that is served otherwise than before."""
    without, learned = (run_cell("page", 5, learns=learns).done for learns in (False, True))
    assert without == learned


def test_reported_slowdown_counts_for_a_fraction_of_a_second():
    """Guards against a server avoided, or used, by a report from a spell that has ended."""
    slowdown = ReportedSlowdown(timer := FakeTimer())
    for reported in [1.0] * 20 + [2.5]:
        slowdown.record(reported)
    timer.advance(0.1)
    assert 1.7 < slowdown.factor < 2.2
    timer.advance(0.6)
    assert slowdown.factor == 1.0


@pytest.mark.parametrize("claimed", [0.0, 1e6])
def test_constant_report_has_no_lasting_effect(claimed):
    """Guards against calls drawn to, or driven from, a server that always states one figure."""
    slowdown = ReportedSlowdown(FakeTimer())
    for _ in range(200):
        slowdown.record(claimed)
        assert 0.5 <= slowdown.factor <= MAX_SLOWDOWN
    assert slowdown.factor == pytest.approx(1.0, abs=0.01)


def test_factor_follows_the_answers_and_is_forgotten():
    """Guards against a server that is avoided for good once it was slow."""
    speeds = SpeedEstimator(timer := FakeTimer())
    for number in range(90):
        usual_s = 0.1 + 0.01 * (-1) ** number
        speeds.record(f"s{number % 3}", "x", usual_s * (1.0 if number % 3 else 2.0))
    speeds.refresh()
    assert speeds.factor("s0") == pytest.approx(2.0, abs=0.1)
    assert speeds.factor("s1") == 1.0
    timer.advance(HALF_LIFE_S)
    speeds.refresh()
    assert speeds.factor("s0") == pytest.approx(1.5, abs=0.1)
    speeds.record("s0", "x", 60.0)
    timer.advance(1.0)
    speeds.refresh()
    assert speeds.factor("s0") < 2.5
