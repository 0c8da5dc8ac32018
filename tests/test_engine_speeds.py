"""Tests of the choice among engines whose speeds differ."""

import pytest
from support.queue_model import Cell, Load

from figwalk.coordination.backend_tracker import ReportedLoad
from figwalk.coordination.engine_tracker import FIRST_EVENT_S, EngineTracker
from figwalk.coordination.prompt_placement import PlacementSettings, PromptPlacement
from figwalk.coordination.prompt_plan import PromptCall
from figwalk.gateway.stream_timing import StreamTiming
from figwalk.state.gateway_settings import EngineSettings
from figwalk.state.routing import EngineSpec

RATE = 220_000.0
SPEC = EngineSpec(64, 968_798, 18_432.0, RATE, 5.0)
TARGET_S = 0.335
REPORT_PERIOD_S = 0.2
# Prompts per second, their tokens, and engines: the page's figures, a tenth, and ten times as many
# prompts of a tenth of the length.
SIZES = {"smaller": (23.3, 9190, 2), "page": (233.0, 9190, 23), "larger": (2330.0, 919, 23)}


def slow_down(server, _now=0.0):
    """Return 1 / 0.55 for one engine in three, 1 / 1.2 for another, as on the page."""
    return (1 / 0.55, 1.0, 1 / 1.2)[int(server[1:]) % 3]


class EngineCell(Cell):
    """Engines that prefill one prompt after the other; the slow ones have lost their agents."""

    def report(self):
        """Report the state of the other engines to all gateways, as their agents do."""
        for name in self.running:
            if slow_down(name) <= 1.0:
                tokens = self.prompt.tokens * (self.running[name] + len(self.waiting[name]))
                for _, _, _, trackers in self.gateways:
                    rate = RATE / slow_down(name)
                    trackers[name].apply_digest(
                        up=True, backlog_tokens=tokens, tokens_per_s=rate, decoding=0
                    )

    def _make_placement(self, distance, rng):
        settings = PlacementSettings(EngineSettings(RATE, RATE), short_prompt_tokens=100)
        return PromptPlacement(settings, distance, rng)

    def _make_tracker(self, entry, **options):
        return EngineTracker(entry, self.timer, self.events, spec=SPEC, **options)

    def _choose(self, placement, trackers):
        plan = placement.rank(self.prompt, trackers, SPEC)[0]
        assert placement.admits(self.prompt, plan)
        plan.reader.start_prefill(plan, plan.uncached_tokens)
        return plan.reader, plan

    def _record(self, tracker, plan, took_s):
        # As `PromptCalls` does.
        tracker.finish_prefill(plan)
        predicted_s = plan.backlog_s + plan.reading_s
        tracker.record_first_event(plan.first_event_s, took_s - predicted_s)
        prefill_s = took_s - plan.first_event_s
        tracker.record_prefill_time(plan.uncached_tokens, plan.backlog_s, prefill_s)
        tracker.record_prefill([], predicted_s, prefill_s)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("gateways", [5, 27])
def test_slow_engines_without_agents_get_fewer_prompts(size, gateways):
    """Guards against prompts that are late because a slow engine counts as one of usual speed."""
    rate, tokens, engines = SIZES[size]
    seconds = min(30.0, 4000 / rate)
    late = []
    for learns in (False, True):
        load = Load(rate, tokens / RATE, TARGET_S, seconds, slots=1, slowdown=slow_down)
        cell = EngineCell(load, gateways, engines)
        cell.prompt = PromptCall((("own", tokens),), TARGET_S, 2.0)
        cell.disable(speeds=not learns)
        for number in range(int(seconds / REPORT_PERIOD_S)):
            cell.at(number * REPORT_PERIOD_S, cell.report)
        late.append(cell.run().count_late())
    assert late[1] <= (0.8 if size == "page" else 1.0) * late[0]


def make_engines(rates):
    """Return a placement and the trackers of engines whose agents report these rates."""
    cell = EngineCell(Load(1.0, 1.0, TARGET_S, 1.0, slots=64), 1, len(rates))
    _, placement, pacing, trackers = cell.gateways[0]
    for number in range(20):
        for tracker, rate in zip(trackers.values(), rates, strict=True):
            noisy = rate * (1 + 0.02 * (-1) ** number)
            tracker.apply_digest(up=True, backlog_tokens=0, tokens_per_s=noisy, decoding=0)
    pacing.speeds.refresh()
    return cell.timer, placement, list(trackers.values())


def test_first_event_is_predicted_by_the_speed_of_other_work():
    """Guards against the usual first event predicted at an engine that was seldom called."""
    _, _, engines = make_engines([RATE, RATE, RATE * 0.55])
    assert [engine.first_event_s(0.0) for engine in engines[:2]] == [FIRST_EVENT_S] * 2
    assert engines[2].first_event_s(0.0) == pytest.approx(FIRST_EVENT_S / 0.55, rel=0.05)


def test_spell_of_slowness_changes_the_prediction_for_its_length():
    """Guards against a prompt sent to an engine in a spell of slowness that it has reported."""
    timer, placement, engines = make_engines([RATE] * 3)
    prompt = PromptCall((("own", 9190),), TARGET_S, 2.0)
    best = placement.rank(prompt, engines, SPEC)[0]
    best.reader.record_answer("call", ReportedLoad(0, 0, 64, 2.5))
    plans = placement.rank(prompt, engines, SPEC)
    assert plans[0].reader is not best.reader
    assert plans[-1].reading_s > 1.5 * best.reading_s
    timer.advance(1.0)
    assert placement.rank(prompt, engines, SPEC)[0].reading_s == pytest.approx(best.reading_s)


@pytest.mark.parametrize("slow", range(3))
def test_streams_are_not_packed_on_a_slow_engine(slow):
    """Guards against streams with pauses because their engine decodes at half the usual speed."""
    rates = [RATE * (0.55 if number == slow else 1.0) for number in range(3)]
    _, placement, engines = make_engines(rates)
    prompt = PromptCall((("own", 50),), 0.264, 5.0)
    assert placement.rank(prompt, engines, SPEC)[0].runner is not engines[slow]


def test_gaps_of_a_stream_show_the_speed_despite_pauses():
    """Guards against an engine that counts as slow because a prefill paused its streams."""
    timing = StreamTiming()
    for number in range(30):
        timing.record_piece(0.02 * number + (0.4 if number > 12 else 0.0))
    assert timing.usual_gap_s == pytest.approx(0.02)
