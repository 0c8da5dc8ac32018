"""Tests of the choice among engines whose speeds differ."""

import pytest
from support.queue_model import Cell, Done, Load

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
# Prompts per second, their tokens, and engines: the page's figures, ten times smaller, and ten
# times as many prompts of a tenth of the length.
SIZES = {"smaller": (23.3, 9190, 2), "page": (233.0, 9190, 23), "larger": (2330.0, 919, 23)}


class EngineCell(Cell):
    """Engines that prefill one prompt after the other; the slow ones have lost their agents."""

    tokens = 9190

    def report(self):
        """Report the state of the other engines to all gateways, as their agents do."""
        for server in self.servers.values():
            if self.slowdown(server) <= 1.0:
                for _, _, _, trackers in self.gateways:
                    trackers[server.name].apply_digest(
                        up=True,
                        backlog_tokens=self.tokens * (server.running + len(server.waiting)),
                        tokens_per_s=RATE / self.slowdown(server),
                        decoding=0,
                    )

    def make_gateway(self, distance, rng):
        """Return the placement of a gateway."""
        settings = PlacementSettings(EngineSettings(RATE, RATE), short_prompt_tokens=100)
        return PromptPlacement(settings, distance, rng)

    def make_tracker(self, entry, **options):
        """Return a gateway's tracker of an engine."""
        return EngineTracker(entry, self.timer, self.events, spec=SPEC, **options)

    def slowdown(self, server):
        """Return 1 / 0.55 for one engine in three, 1 / 1.2 for another, as on the page."""
        return (1 / 0.55, 1.0, 1 / 1.2)[int(server.name[1:]) % 3]

    def reported(self, _server):
        """Return the usual slowdown."""
        return 1.0

    def choose(self, placement, trackers):
        """Return the engine to which a prompt is sent, or None if it is refused."""
        prompt = PromptCall((("own", self.tokens),), TARGET_S, 2.0)
        plan = placement.rank(prompt, list(trackers), SPEC)[0]
        if not placement.admits(prompt, plan):
            self.done.append(Done("", self.timer.time, 0.0, False))
            return None, None
        plan.reader.start_prefill(plan, plan.uncached_tokens)
        return plan.reader, plan

    def record(self, tracker, plan, took_s, network_s):
        """Record an answer as `PromptCalls` does."""
        tracker.finish_prefill(plan)
        predicted_s = plan.backlog_s + plan.reading_s
        tracker.record_first_event(plan.first_event_s, took_s - network_s - predicted_s)
        prefill_s = took_s - network_s - plan.first_event_s
        tracker.record_prefill_time(plan.uncached_tokens, plan.backlog_s, prefill_s)
        tracker.record_prefill([], predicted_s, prefill_s)


def run_cell(size, gateways, *, learns):
    rate, tokens, engines = SIZES[size]
    load = Load(rate, tokens / RATE, TARGET_S, slots=1, seconds=min(30.0, 4000 / rate))
    cell = EngineCell(load, gateways=gateways, servers=engines, seed=1)
    cell.tokens = tokens
    if not learns:
        cell.disable_speeds()
    for number in range(int(load.seconds / REPORT_PERIOD_S)):
        cell.at(number * REPORT_PERIOD_S, cell.report)
    return cell.run()


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("gateways", [5, 27])
def test_slow_engines_without_agents_get_fewer_prompts(size, gateways):
    """Guards against prompts that are late because a slow engine counts as one of usual speed."""
    before, after = (run_cell(size, gateways, learns=learns) for learns in (False, True))
    assert after.share_in_time() >= before.share_in_time()
    if size == "page":
        assert 1 - after.share_in_time() < 0.8 * (1 - before.share_in_time())


def make_engines(rates):
    """Return a cell with a gateway and its trackers, with the rates that agents report."""
    cell = EngineCell(Load(1.0, 1.0, TARGET_S, slots=64), gateways=1, servers=len(rates), seed=1)
    _, placement, _, trackers = cell.gateways[0]
    for _ in range(20):
        for tracker, rate in zip(trackers.values(), rates, strict=True):
            noisy = rate * (1 + cell.rng.uniform(-0.02, 0.02))
            tracker.apply_digest(up=True, backlog_tokens=0, tokens_per_s=noisy, decoding=0)
    return cell, placement, list(trackers.values())


def test_first_event_is_predicted_by_the_speed_of_other_work():
    """Guards against the usual first event predicted at an engine that was seldom called."""
    _, _, engines = make_engines([RATE, RATE, RATE * 0.55])
    assert [engine.first_event_s(0.0) for engine in engines[:2]] == [FIRST_EVENT_S] * 2
    assert engines[2].first_event_s(0.0) == pytest.approx(FIRST_EVENT_S / 0.55, rel=0.05)


def test_spell_of_slowness_changes_the_prediction_for_its_length():
    """Guards against a prompt sent to an engine in a spell of slowness that it has reported."""
    cell, placement, engines = make_engines([RATE] * 3)
    prompt = PromptCall((("own", 9190),), TARGET_S, 2.0)
    load = ReportedLoad(0, 0, 64, 2.5)
    best = placement.rank(prompt, engines, SPEC)[0]
    best.reader.record_answer("call", load)
    slow = next(p for p in placement.rank(prompt, engines, SPEC) if p.reader is best.reader)
    assert slow.reading_s > 1.5 * best.reading_s
    assert placement.rank(prompt, engines, SPEC)[0].reader is not best.reader
    cell.timer.advance(1.0)
    assert placement.rank(prompt, engines, SPEC)[0].reading_s == pytest.approx(best.reading_s)


def test_streams_are_not_packed_on_a_slow_engine():
    """Guards against streams with pauses because their engine decodes at half the usual speed."""
    prompt = PromptCall((("own", 50),), 0.264, 5.0)
    for slow in range(3):
        rates = [RATE * (0.55 if number == slow else 1.0) for number in range(3)]
        _, placement, engines = make_engines(rates)
        assert placement.rank(prompt, engines, SPEC)[0].runner is not engines[slow]


def test_gaps_of_a_stream_show_the_speed_despite_pauses():
    """Guards against an engine that counts as slow because a prefill paused its streams."""
    timing = StreamTiming()
    for number in range(30):
        timing.record_piece(0.02 * number + (0.4 if number > 12 else 0.0))
    assert timing.longest_gap_s > 0.4
    assert timing.usual_gap_s == pytest.approx(0.02)
