"""Tests that engines and placement keep streams of the largest length in time."""

import pytest
from support.fake_timer import FakeTimer
from support.stream_model import ModelEngine, Stream, StreamCell, StreamDay
from test_prompt_placement import LONG, SHORT, SPEC, EngineFleet

from figwalk.coordination.answer_lengths import AnswerLengths
from figwalk.coordination.prompt_plan import PromptCall
from figwalk.coordination.stream_pace import (
    MAX_EXPECTED_STREAMS,
    MAX_PREFILL_SHARE,
    MIN_PREFILL_SHARE,
    StreamDeadlines,
    limit_prefill_share,
    needed_event_s,
)
from figwalk.coordination.stream_pauses import EngineRun, StreamLoad
from figwalk.protocol.messages import Role

GAP_S = 0.3
LIMIT_S = 14.0
LONGEST = 169


def draw_length(rng):
    """Return the events of a stream: short ones mostly, a tenth of the largest length."""
    return min(LONGEST, rng.lognormvariate(3.6, 1.3))


def make_day(**options):
    """Return a day of uneven engines that streams and long prompts compete for."""
    speeds = (0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2)
    return StreamDay(speeds, 6.0, draw_length, LONGEST, LIMIT_S, 220.0, 4000, 30.0, **options)


@pytest.mark.parametrize("seed", [1, 2])
def test_longest_streams_are_served_at_least_half_as_often_as_all(seed):
    """Guards against long streams that are cut while their engines take further work.

    Load: 6 streams and 220 long prompts a second at 8 engines, which is more than they can prefill.
    Without the largest lengths, less than half as many of the longest tenth end in time.
    """
    unknown = StreamCell(make_day(states_lengths=False), seed=seed).run()
    known = StreamCell(make_day(), seed=seed).run()
    assert unknown.share_ended(0.1) < 0.5 * unknown.share_ended()
    assert known.share_ended(0.1) >= 0.5 * known.share_ended()
    assert known.share_ended() >= unknown.share_ended()


def test_agent_prefills_less_while_an_announced_stream_needs_its_engine():
    """Guards against an agent that is told of a stream and prefills on beside it."""
    timer = FakeTimer(0.0)
    engine = ModelEngine("e1", 1.0, make_day(), timer)
    engine.running.append(Stream("s", LONGEST, 0.0))
    for announced in (False, True):
        if announced:
            engine.watcher.expect_stream("s", LONGEST, LIMIT_S - timer.now())
        for _ in range(20):
            timer.advance(0.1)
            engine.running[0].done += 0.1 / 0.07
            engine.report()
        assert (engine.queue.duty < MAX_PREFILL_SHARE) == announced


def test_stream_that_falls_behind_leaves_less_time_to_prefill():
    """Guards against an engine that prefills on while a stream needs all of its time."""
    deadlines = StreamDeadlines()
    deadlines.expect(0.0, "s", LONGEST, LIMIT_S)
    shares = []
    for made in (100, 90, 80):
        needed_s = deadlines.needed_event_s(8.0, [EngineRun("s", made)], 0.05)
        shares.append(limit_prefill_share(StreamLoad(1, 0.05, needed_s)))
    assert shares[0] > shares[1] > shares[2] >= MIN_PREFILL_SHARE


def test_stream_that_no_engine_time_can_save_does_not_stop_prefill():
    """Guards against prompts that are refused for a stream that is cut all the same."""
    deadlines = StreamDeadlines()
    deadlines.expect(0.0, "late", LONGEST, LIMIT_S)
    assert deadlines.needed_event_s(13.0, [EngineRun("late", 20)], 0.05) == float("inf")
    deadlines.expect(0.0, "over", 10, LIMIT_S)
    assert deadlines.needed_event_s(1.0, [EngineRun("over", 10)], 0.05) == float("inf")


@pytest.mark.parametrize(("streams", "share"), [(3, 1.0), (4, MAX_PREFILL_SHARE)])
def test_streams_without_a_stated_length_limit_prefill_as_before(streams, share):
    """Guards against other limits for streams of gateways that state no length."""
    assert limit_prefill_share(StreamLoad(streams, 0.08)) == share


def test_streams_that_never_begin_take_bounded_memory():
    """Guards against an agent that keeps each stream which a gateway announced and did not send."""
    deadlines = StreamDeadlines()
    for number in range(MAX_EXPECTED_STREAMS + 100):
        deadlines.expect(0.0, str(number), LONGEST, LIMIT_S)
    assert len(deadlines) == MAX_EXPECTED_STREAMS
    deadlines.needed_event_s(LIMIT_S, [], 0.0)
    assert len(deadlines) == 0


def test_longest_answer_is_learned_from_answers_that_use_up_their_tokens():
    """Guards against lengths that are unknown until a gateway has seen one of the longest."""
    lengths = AnswerLengths()
    assert lengths.longest("lm", 9802) == 0
    for events in (1, 4, 6, 5):
        lengths.record("lm", 348, events)
    assert lengths.longest("lm", 9802) == pytest.approx(LONGEST)
    assert lengths.longest("lm", None) == lengths.longest("other", 9802) == 0


@pytest.mark.parametrize("tokens", [1, 5, 60])
def test_short_answer_does_not_make_events_look_small(tokens):
    """Guards against answers that look longer than they can be, after one of a few tokens."""
    lengths = AnswerLengths()
    lengths.record("lm", tokens, 1)
    assert lengths.longest("lm", 9802) == 0


def rank_stream(fleet, events):
    """Return the names of the engines for a stream, the best first."""
    call = PromptCall(SHORT, 0.25, 2.0, LIMIT_S, gap_s=GAP_S, events=events)
    plans = fleet.placement.rank(call, list(fleet.trackers.values()), SPEC)
    return [plan.runner.entry.backend for plan in plans]


def make_fleet():
    return EngineFleet(**dict.fromkeys(("d1", "d2", "d3"), ("a", Role.DECODE)))


def test_further_streams_keep_away_from_an_engine_whose_streams_need_its_speed():
    """Guards against short streams that slow down a long one until it is cut."""
    fleet = make_fleet()
    first = rank_stream(fleet, 5.0)[0]
    fleet.report(first, decoding=10, stream_load=StreamLoad(10, 0.07))
    assert rank_stream(fleet, 5.0)[0] == first
    fleet.report(first, decoding=10, stream_load=StreamLoad(10, 0.07, 0.065))
    assert rank_stream(fleet, 5.0)[-1] == first


def test_stream_goes_to_the_least_slow_engine_if_all_are_too_slow():
    """Guards against long streams on an idle slow engine while another is nearly fast enough."""
    fleet = make_fleet()
    fleet.report("d1", tokens_per_s=90_000.0)
    fleet.report("d2", decoding=9, stream_load=StreamLoad(9, 0.1))
    fleet.report("d3", decoding=9, stream_load=StreamLoad(9, 0.083))
    assert rank_stream(fleet, float(LONGEST))[0] == "d3"


def test_long_prompt_with_a_long_answer_runs_where_the_answer_ends_in_time():
    """Guards against long answers that are cut because only their prompt was considered."""
    fleet = EngineFleet(p1=("a", Role.PREFILL), d1=("a", Role.DECODE), d2=("a", Role.DECODE))
    fleet.report("d1", decoding=9, stream_load=StreamLoad(9, 0.1))
    fleet.report("d2", decoding=30, stream_load=StreamLoad(30, 0.07), backlog_tokens=6000)

    def choose_runner(events):
        call = PromptCall(LONG, 0.335, 2.0, LIMIT_S, gap_s=GAP_S, events=events)
        plans = fleet.placement.rank(call, list(fleet.trackers.values()), SPEC)
        return plans[0].runner.entry.backend

    assert choose_runner(2.0) == "d1"
    assert choose_runner(float(LONGEST)) == "d2"


def test_long_prompt_prefers_an_engine_that_may_prefill():
    """Guards against offers to engines that refuse them to keep their streams in time."""
    fleet = make_fleet()
    call = PromptCall(LONG, 0.335, 2.0, gap_s=GAP_S)
    fleet.report("d1", stream_load=StreamLoad(1, 0.05, 0.055))
    fleet.report("d2", backlog_tokens=20_000)
    fleet.report("d3", backlog_tokens=20_000)
    ranked = fleet.placement.rank(call, list(fleet.trackers.values()), SPEC)
    assert ranked[-1].reader.entry.backend == "d1"


@pytest.mark.parametrize(("events", "left_s"), [(0, 14.0), (0, -1.0)])
def test_unknown_length_needs_no_speed(events, left_s):
    """Guards against streams that are moved for a length that nobody knows."""
    assert needed_event_s(events, left_s) == float("inf")


def test_late_stream_needs_a_speed_that_is_no_division_by_zero():
    """Guards against an error for a call whose time has ended."""
    assert needed_event_s(LONGEST, -1.0) > 0
    load = StreamLoad(1, 0.05, needed_event_s(LONGEST, -1.0))
    assert limit_prefill_share(load) == MIN_PREFILL_SHARE
