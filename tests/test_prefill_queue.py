"""Tests of the admission of prompts to one engine, under the loads that it is designed for."""

import random

import attrs
import pytest
from support.fake_timer import FakeTimer

from figwalk.coordination.prefill_queue import (
    ARRIVAL_DELAY_S,
    GRANT_TTL_S,
    PrefillQueue,
    PrefillRequest,
)
from figwalk.fairness.fair_share import UNKNOWN_ORGANISATION, ShareRequest, TryKind

RATE = 400_000.0
TARGET_S = 0.25
AFTER_S = 0.08


def make_queue(timer, rate=RATE):
    return PrefillQueue(timer, tokens_per_s=rate)


def make_reading(number, tokens=6000, *, target_s=TARGET_S, left_s=2.0, after_s=AFTER_S):
    return PrefillRequest(((f"own-{number}", tokens),), target_s, left_s, after_s)


def simulate_burst(queue, timer, *, load, engine_rate=RATE, seconds=3.0, seed=1):
    """Offer prompts at a multiple of the engine's prefill rate, and return the outcome.

    The engine prefills granted prompts one after the other. Returns the seconds to the first token
    of each granted prompt, the number of refused ones, and the number of all.
    """
    rng = random.Random(seed)
    per_s = load * engine_rate / 6000
    start = timer.now()
    arrivals = []
    at = start
    while at < start + seconds:
        at += rng.expovariate(per_s)
        arrivals.append(at)
    free_at = start
    running = []
    took = []
    refused = 0
    for number, at in enumerate(arrivals):
        while running and running[0][0] <= at:
            end, key = running.pop(0)
            timer.time = end
            queue.finish(key, read=True)
        timer.time = at
        if not queue.offer(number, "gateway", make_reading(f"{seed}-{number}")).granted:
            refused += 1
            continue
        free_at = max(free_at, at) + 6000 / engine_rate
        running.append((free_at, number))
        took.append(free_at - at + AFTER_S)
    for end, key in running:
        timer.time = end
        queue.finish(key, read=True)
    return took, refused, len(arrivals)


@pytest.mark.parametrize("load", [1.5, 2.5])
def test_granted_prompts_are_in_time_under_overload(load):
    """Guards against an overload that makes every prompt late: granted prompts are in time.

    The engine must also stay busy, since refusing almost everything would keep the rest in time.
    """
    timer = FakeTimer()
    took, refused, arrivals = simulate_burst(make_queue(timer), timer, load=load)
    in_time = sum(seconds <= TARGET_S for seconds in took)
    assert in_time >= 0.95 * len(took)
    assert in_time >= 0.85 * arrivals / load
    assert refused > 0


def test_light_load_is_granted_completely():
    """Guards against refusals while the engine has capacity."""
    timer = FakeTimer()
    _, refused, arrivals = simulate_burst(make_queue(timer), timer, load=0.6)
    assert refused <= 0.01 * arrivals


def test_slower_engine_gets_fewer_grants():
    """Guards against an engine that became slow and is still sent as much as before."""
    timer = FakeTimer()
    queue = make_queue(timer)
    simulate_burst(queue, timer, load=2.0, engine_rate=RATE / 3, seconds=4.0)
    took, _, _ = simulate_burst(queue, timer, load=2.0, engine_rate=RATE / 3, seconds=3.0, seed=2)
    assert sum(seconds <= TARGET_S for seconds in took) >= 0.8 * len(took)


def test_late_prompt_is_granted_only_with_short_queue():
    """Guards against a caller whose retry makes others late, or is refused without need."""
    timer = FakeTimer()
    queue = make_queue(timer)
    assert queue.offer("late", "g", make_reading("late", target_s=-0.1)).granted
    for number in range(5):
        queue.offer(number, "g", make_reading(number))
    assert not queue.offer("later", "g", make_reading("later", target_s=-0.1)).granted


def test_prompt_that_ends_after_its_caller_gives_up_is_refused():
    """Guards against work that ends after its caller has given up."""
    queue = make_queue(FakeTimer(), rate=1000.0)
    assert not queue.offer(1, "g", make_reading(1, target_s=-1, left_s=1.0)).granted


def test_grants_of_a_lost_gateway_are_dropped():
    """Guards against an engine that appears full because a gateway was lost."""
    timer = FakeTimer()
    queue = make_queue(timer)
    queue.offer(1, "g1", make_reading(1))
    queue.offer(2, "g2", make_reading(2))
    queue.drop("g1")
    assert queue.depth == 1
    timer.advance(GRANT_TTL_S + 0.1)
    queue.offer(3, "g2", make_reading(3))
    assert queue.depth == 1


def test_shared_parts_are_prefilled_once():
    """Guards against a prompt refused because of tokens that the engine has cached."""
    queue = make_queue(FakeTimer())
    shared = (("head", 2500), ("subject", 4000))
    first = queue.offer(1, "g", PrefillRequest((*shared, ("a", 1000)), 1.0, 2.0, 0.0))
    second = queue.offer(2, "g", PrefillRequest((*shared, ("b", 1000)), 1.0, 2.0, 0.0))
    assert first.uncached_tokens == 7500
    assert second.uncached_tokens == 1000


def test_reading_keeps_to_its_share_while_streams_run():
    """Guards against streams that take three times as long because of prefills in between."""
    timer = FakeTimer()
    queue = make_queue(timer)
    queue.set_duty(0.3)
    granted = 0
    for number in range(4000):
        timer.advance(0.001)
        if queue.offer(number, "g", make_reading(number)).granted:
            granted += 1
            queue.finish(number, read=True)
    prefill_s = granted * 6000 / RATE
    assert 0.2 * 4.0 <= prefill_s <= 0.36 * 4.0


def test_restarted_engine_has_empty_cache():
    """Guards against prompts granted for parts that an engine lost in a restart."""
    queue = make_queue(FakeTimer())
    reading = make_reading(1)
    queue.offer(1, "g", reading)
    queue.set_engine(tokens_per_s=RATE)
    assert queue.depth == 0
    assert queue.offer(2, "g", reading).uncached_tokens == 6000


def make_share(organisation, tried=TryKind.FIRST):
    return ShareRequest(organisation, tried=tried)


def fill_queue(queue, organisation):
    """Offer prompts of one organisation until many are refused; return the last wait granted."""
    waits = [0.0]
    for number in range(200):
        prompt = attrs.evolve(make_reading(number), share=make_share(organisation))
        decision = queue.offer((organisation, number), "g", prompt)
        waits += [decision.wait_s] * decision.granted
    return waits[-1]


def test_large_organisation_leaves_room_for_others():
    """Guards against a burst of one organisation that leaves no time for the others' prompts."""
    timer = FakeTimer()
    queue = make_queue(timer)
    small = attrs.evolve(make_reading("small"), share=make_share(2))
    queue.offer("small", "g", small)
    fill_queue(queue, 1)
    for _ in range(20):  # From the first refusal on, the large one leaves room.
        timer.advance(0.01)
        fill_queue(queue, 1)
    assert queue.offer("small-2", "g", attrs.evolve(small, parts=(("b", 6000),))).granted


def test_prompts_without_organisation_are_admitted_as_before():
    """Guards against deployments without organisations that refuse more or fewer prompts."""
    plain, known = make_queue(FakeTimer()), make_queue(FakeTimer())
    unknown_wait_s = fill_queue(plain, UNKNOWN_ORGANISATION)
    assert unknown_wait_s == fill_queue(known, 1) > 0.1
    for _ in range(3):
        assert fill_queue(plain, UNKNOWN_ORGANISATION) == 0.0


@pytest.mark.parametrize("tried", TryKind)
def test_idle_engine_refuses_nothing(tried):
    """Guards against a refusal for a share while the engine has nothing to do."""
    timer = FakeTimer()
    queue = make_queue(timer)
    queue.offer("small", "g", attrs.evolve(make_reading("small"), share=make_share(2)))
    fill_queue(queue, 1)
    queue.drop("g")
    timer.advance(0.2)
    prompt = attrs.evolve(make_reading("next"), share=make_share(1, tried))
    decision = queue.offer("next", "g", prompt)
    assert decision.granted
    assert decision.share.room < 1


def test_refused_prompt_has_room_at_the_time_told():
    """Guards against callers who come back to an engine that still has no room for them."""
    timer = FakeTimer()
    queue = make_queue(timer)
    queue.offer("small", "g", attrs.evolve(make_reading("small"), share=make_share(2)))
    fill_queue(queue, 1)
    prompt = attrs.evolve(make_reading("x"), share=make_share(1))
    retry_s = queue.offer("x", "g", prompt).retry_s
    assert retry_s > 0
    for number in range(200):  # The engine works meanwhile, and nothing else is granted.
        queue.finish((1, number), read=False)
    timer.advance(retry_s + ARRIVAL_DELAY_S)
    assert queue.offer("y", "g", prompt).granted
