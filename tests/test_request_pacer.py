"""Tests how processes share the limit of requests of a backend server."""

import itertools
import random

import pytest
from support.fake_timer import FakeTimer

from figwalk.coordination.request_pacer import MAX_PROMISE_S, MIN_REQUESTS_PER_S, RequestPacer

STEP_S = 0.01
WINDOW_S = 4.0


def make_pacers(timer, processes, limit, seed=1):
    rng = random.Random(seed)
    pacers = [RequestPacer(timer, rng) for _ in range(processes)]
    for pacer in pacers:
        pacer.set_limit(limit, processes)
    return pacers


def send_always(timer, pacers, seconds):
    """Have each process send whenever it may; return the times of the requests."""
    sent = []
    for _ in range(round(seconds / STEP_S)):
        timer.advance(STEP_S)
        for pacer in pacers:
            if pacer.has_turn():
                pacer.take_turn()
                sent.append(timer.now())
    return sent


def most_in_window(times):
    return max(sum(start <= at < start + WINDOW_S for at in times) for start in times)


@pytest.mark.parametrize("processes", [1, 6, 23, 100])
@pytest.mark.parametrize("limit", [2.0, 7.5, 40.0])
@pytest.mark.parametrize("idle_s", [0.0, 20.0])
def test_processes_together_stay_within_the_limit(processes, limit, idle_s):
    """Guards against processes that send at once after a pause, or each at the full limit."""
    timer = FakeTimer()
    pacers = make_pacers(timer, processes, limit)
    timer.advance(idle_s)
    sent = send_always(timer, pacers, 30.0)
    assert most_in_window(sent) <= 1.5 * limit * WINDOW_S + 5
    assert len(sent) >= 0.9 * limit * 30.0 - processes


def test_limit_of_nothing_still_lets_a_request_through():
    """Guards against a limit that can't be lifted, as no answer could tell."""
    timer = FakeTimer()
    sent = send_always(timer, make_pacers(timer, 3, 0.0), 60.0)
    assert len(sent) == pytest.approx(60.0 * MIN_REQUESTS_PER_S, abs=3)


def test_changed_limit_keeps_the_place_between_two_turns():
    """Guards against turns that start anew, or all at once, whenever the limit changes."""
    timer = FakeTimer()
    (pacer,) = make_pacers(timer, 1, 1.0)
    while not pacer.has_turn():
        timer.advance(STEP_S)
    pacer.take_turn()
    timer.advance(0.5)
    pacer.set_limit(0.5, 1)
    sent = send_always(timer, [pacer], 1.1)
    assert len(sent) == 1
    assert sent[0] - 100.0 > 1.0


def test_refused_callers_are_told_different_turns():
    """Guards against callers that all come back for the same turn."""
    timer = FakeTimer()
    (pacer,) = make_pacers(timer, 1, 2.0)
    told = [pacer.promise_turn_s() for _ in range(4)]
    assert [round(later - first, 6) for first, later in itertools.pairwise(told)] == [
        0.5,
        0.5,
        0.5,
    ]
    timer.advance(10.0)
    assert pacer.promise_turn_s() <= 0.5


def test_turns_are_not_promised_far_ahead():
    """Guards against callers that are told to come back in minutes, for turns kept for others."""
    timer = FakeTimer()
    (pacer,) = make_pacers(timer, 1, 2.0)
    told = [pacer.promise_turn_s() for _ in range(1000)]
    assert max(told) == MAX_PROMISE_S
    timer.advance(MAX_PROMISE_S)
    assert pacer.promise_turn_s() <= 1.0
