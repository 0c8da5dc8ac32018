"""Tests of how an agent estimates its engine's prefill time, with rates a factor of ten apart."""

import random

import pytest
from support.fake_timer import FakeTimer

from figwalk.coordination.prefill_queue import PrefillQueue, PrefillRequest
from figwalk.coordination.prefill_speed import MAX_FIXED_S, PrefillSpeed

ASSUMED = 400_000.0


def record_singles(speed, *, rate, fixed_s, count=30, noise=0.1, seed=1):
    """Record the prefills of prompts of differing lengths, one at a time."""
    rng = random.Random(seed)
    for _ in range(count):
        tokens = rng.uniform(1000, 20_000)
        seconds = fixed_s + tokens / rate
        speed.record_single(tokens, seconds * rng.uniform(1 - noise, 1 + noise))


@pytest.mark.parametrize("rate", [20_000.0, 45_000.0, 150_000.0])
@pytest.mark.parametrize("fixed_s", [0.0, 0.12])
def test_single_prefills_determine_rate_and_fixed_time(rate, fixed_s):
    """Guards against an engine that appears slow for short prompts and fast for long ones."""
    speed = PrefillSpeed(ASSUMED)
    record_singles(speed, rate=rate, fixed_s=fixed_s)
    for tokens in (3000, 18_000):
        predicted_s = speed.fixed_s + tokens / speed.tokens_per_s
        assert predicted_s == pytest.approx(fixed_s + tokens / rate, rel=0.3)


def test_first_long_prefill_replaces_the_assumption():
    """Guards against a slow engine that is sent ten times its capacity for some seconds."""
    speed = PrefillSpeed(ASSUMED)
    speed.record_single(9000, 0.2)
    assert speed.tokens_per_s == 45_000


def test_short_prefill_does_not_change_the_rate():
    """Guards against an engine that is never used again after a first, very short prompt."""
    speed = PrefillSpeed(ASSUMED)
    speed.record_single(50, 0.13)
    assert speed.tokens_per_s == ASSUMED
    assert 0 < speed.fixed_s <= MAX_FIXED_S


def test_single_throughput_outlier_changes_little():
    """Guards against an overloaded engine after one prompt that was unexpectedly cached."""
    speed = PrefillSpeed(ASSUMED)
    speed.record_throughput(4000, 0.1)
    speed.record_throughput(400_000, 0.1)
    assert speed.tokens_per_s <= 40_000 * 1.3


@pytest.mark.parametrize(("tokens", "seconds"), [(0, 1.0), (5000, 0.0), (5000, 0.001)])
def test_meaningless_samples_are_skipped(tokens, seconds):
    """Guards against a division by zero, and a rate estimated from noise."""
    speed = PrefillSpeed(ASSUMED)
    speed.record_single(tokens, seconds)
    speed.record_throughput(tokens, seconds)
    assert (speed.tokens_per_s, speed.fixed_s) == (ASSUMED, 0.0)


def simulate_relative_load(*, rate, fixed_s, tokens, target_s, load=1.5, count=400):
    """Offer prompts at a multiple of an engine's prefill rate.

    The engine prefills granted prompts one after the other, and its agent starts with the rate that
    is assumed for another deployment. Returns the share of granted prompts that were in time, and
    the share of prompts that were granted.
    """
    timer = FakeTimer()
    queue = PrefillQueue(timer, tokens_per_s=ASSUMED)
    rng = random.Random(3)
    free_at = 0.0
    running, in_time, granted = [], 0, 0
    for number in range(count):
        at = timer.now() + rng.expovariate(load * rate / tokens)
        while running and running[0][0] <= at:
            end, key, took_s = running.pop(0)
            timer.time = end
            queue.finish(key, read=True, took_s=took_s)
        timer.time = at
        reading = PrefillRequest(((f"own-{number}", tokens),), target_s, 4 * target_s, 0.0)
        if not queue.offer(number, "gateway", reading).granted:
            continue
        start = max(free_at, at)
        free_at = start + tokens / rate
        running.append((free_at + fixed_s, number, free_at + fixed_s - at))
        if number > count // 4:  # The estimate settles during the first quarter.
            granted += 1
            in_time += free_at + fixed_s - at <= target_s
    return in_time / max(1, granted), granted * 4 / 3 / count


def test_slow_and_fast_engines_serve_the_same_share_in_time():
    """Guards against decisions that only suit the engines of the first deployments."""
    fast = simulate_relative_load(rate=400_000.0, fixed_s=0.01, tokens=6000, target_s=0.25)
    slow = simulate_relative_load(rate=40_000.0, fixed_s=0.1, tokens=6000, target_s=2.5)
    for in_time, granted in (fast, slow):
        assert in_time >= 0.9
        assert granted >= 0.85 / 1.5
    assert fast[0] == pytest.approx(slow[0], abs=0.1)
    assert fast[1] == pytest.approx(slow[1], abs=0.1)
