"""Tests of the limits of prefill at engines that run streams, under the loads they are made for."""

import json
import random

import pytest
from support.fake_timer import FakeTimer
from test_prefill_queue import make_queue
from test_prompt_placement import LONG, SHORT, SPEC, EngineFleet

from figwalk.coordination.prefill_queue import PrefillRequest
from figwalk.coordination.prompt_plan import PromptCall
from figwalk.coordination.stream_pauses import (
    EngineRun,
    StreamLoad,
    StreamProgress,
    limit_prefill,
)
from figwalk.platform import PlatformEngineReportCodec
from figwalk.protocol.messages import Role

GAP_S = 0.3
# Events and prompts of the slowest engine of the deployment with the most uneven ones.
EVENT_S = 0.135
RATE = 100_000.0
TOKENS = 9000


def longest_pauses(prefills, seconds, phase):
    """Return the longest time of an event at an engine that prefills in these spans of time."""
    longest = 0.0
    at, left, begun = phase, EVENT_S, phase
    for start, end in [*prefills, (seconds, seconds)]:
        while at + left <= start:
            at += left
            longest = max(longest, at - begun)
            left, begun = EVENT_S, at
        left -= max(0.0, start - at)
        at = max(at, end)
    return max(longest, seconds - begun)


@pytest.mark.parametrize("prompts_per_s", [2, 10, 60])
def test_prefill_keeps_streams_within_the_accepted_pause(prompts_per_s):
    """Guards against streams that pause since several prompts are prefilled within one event.

    Load: prompts of 90 ms of prefill from several gateways at the slowest engine, whose events take
    135 ms of the accepted 300 ms, and too few streams for the general limit of prefill. The engine
    must still get some prefill.
    """
    rng = random.Random(1)
    timer = FakeTimer(0.0)
    queue = make_queue(timer, RATE)
    limit = limit_prefill(StreamLoad(3, EVENT_S), GAP_S)
    prefills, free_at, running = [], 0.0, []
    while timer.now() < 20.0:
        timer.advance(rng.expovariate(prompts_per_s))
        while running and running[0][0] <= timer.now():
            queue.finish(running.pop(0)[1], read=True)
        key = timer.now()
        prompt = PrefillRequest(((str(key), TOKENS),), 0.335, 2.2, 0.05, pause_limit=limit)
        if queue.offer(key, "g", prompt).granted:
            start = max(free_at, key + rng.uniform(0.001, 0.012))
            free_at = start + TOKENS / RATE
            prefills.append((start, free_at))
            running.append((free_at, key))
    assert max(longest_pauses(prefills, 20.0, n * EVENT_S / 8) for n in range(8)) <= GAP_S
    assert len(prefills) >= 20.0 * min(0.5 * prompts_per_s, 2.0)


def test_prompt_that_alone_breaks_the_limit_is_refused_only_there():
    """Guards against a long pause by one prompt, and against refusals without any streams."""
    queue = make_queue(FakeTimer(), RATE)
    parts = (("own", 15_000),)
    limit = limit_prefill(StreamLoad(3, EVENT_S), GAP_S)
    assert not queue.offer(1, "g", PrefillRequest(parts, 0.5, 2.0, 0.0, pause_limit=limit)).granted
    assert queue.offer(2, "g", PrefillRequest(parts, 0.5, 2.0, 0.0)).granted


def test_unknown_or_hopeless_pauses_set_no_limit():
    """Guards against refusals by an agent whose gateways or engine are of an older version."""
    load = StreamLoad(5, EVENT_S)
    assert [limit_prefill(load, gap_s) for gap_s in (0.0, 0.1, float("inf"))] == [None] * 3
    assert limit_prefill(StreamLoad(0, EVENT_S), GAP_S) is None
    assert limit_prefill(StreamLoad(5, 0.0), GAP_S) is None


def test_event_time_is_measured_between_prefills():
    """Guards against limits by an event time that includes the prefill of other prompts."""
    progress, rng = StreamProgress(), random.Random(2)
    made = {f"s{n}": rng.random() for n in range(10)}
    for poll in range(100):
        prefill_s = 0.04 if poll % 2 else 0.0
        for name in made:
            made[name] += (0.1 - prefill_s) / 0.06
        runs = [EngineRun(name, int(events)) for name, events in made.items()]
        runs += [EngineRun(f"first-event-{poll}", 1)]
        progress.record(10.0 + 0.1 * poll, runs, prefill_s)
    assert progress.load.streams == 10
    assert progress.load.event_s == pytest.approx(0.06, rel=0.15)
    progress.record(40.0, [], 0.0)
    assert progress.load == StreamLoad()


def test_list_of_runs_is_optional():
    """Guards against an engine that counts as down because its report lists its calls otherwise."""
    report = {"stage": "decode", "busy": False, "running": 2, "waiting": 0, "kv-total": 9}
    both = (EngineRun("a", 7), EngineRun("b", 0))
    for runs, expected in (
        (None, None),
        ([["a", 100, 7, 2], ["b", 50, 0]], both),
        ([["a", 100]], None),
        ([], ()),
    ):
        body = json.dumps(report | {"runs": runs}).encode()
        assert PlatformEngineReportCodec().decode_report([], body).runs == expected


def rank(fleet, parts):
    """Return the plans for a prompt of a service whose callers accept pauses of `GAP_S`."""
    call = PromptCall(parts, 0.335, 2.0, gap_s=GAP_S)
    return fleet.placement.rank(call, list(fleet.trackers.values()), SPEC)


def make_fleet():
    return EngineFleet(**dict.fromkeys(("d1", "d2", "d3"), ("a", Role.DECODE)))


def test_streams_go_to_slow_engines_last():
    """Guards against streams packed on an engine whose events take most of the accepted pause."""
    fleet = make_fleet()
    first = rank(fleet, SHORT)[0].runner.entry.backend
    fleet.report(first, decoding=5, stream_load=StreamLoad(5, EVENT_S))
    assert rank(fleet, SHORT)[-1].runner.entry.backend == first
    fleet.report(first, tokens_per_s=100_000.0)
    assert rank(fleet, SHORT)[-1].runner.entry.backend == first
    fleet.report(first, decoding=5, stream_load=StreamLoad(5, 0.06))
    assert rank(fleet, SHORT)[0].runner.entry.backend == first


def test_long_prompts_avoid_streams_while_others_have_room():
    """Guards against streams that pause for prompts which an engine without streams could take."""
    fleet = make_fleet()
    fleet.report("d1", stream_load=StreamLoad(20, 0.06))
    assert rank(fleet, LONG)[-1].reader.entry.backend == "d1"
    for name in ("d2", "d3"):
        fleet.report(name, backlog_tokens=30_000)
    assert rank(fleet, LONG)[0].reader.entry.backend == "d1"


def test_prompt_that_pauses_streams_everywhere_is_still_offered():
    """Guards against refusals of all long prompts by idle engines that run one stream each."""
    fleet = make_fleet()
    for name in fleet.trackers:
        fleet.report(name, stream_load=StreamLoad(1, 0.23))
    assert all(plan.is_last_resort for plan in rank(fleet, LONG))
    fleet.report("d2")
    assert [plan.is_last_resort for plan in rank(fleet, LONG)] == [False] * 3
    assert rank(fleet, LONG)[0].reader.entry.backend == "d2"
