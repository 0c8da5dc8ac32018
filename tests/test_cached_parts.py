"""Tests of the tracking of prompt parts that an engine has cached."""

import pytest
from support.fake_timer import FakeTimer

from figwalk.coordination.cached_parts import (
    EXPECTED_PART_TTL_S,
    CachedPart,
    CachedParts,
    hash_part,
)

PARTS = (("head", 2500), ("subject", 4000), ("own", 1000))


@pytest.fixture
def timer():
    return FakeTimer()


@pytest.fixture
def parts(timer):
    return CachedParts(timer)


def test_part_counts_only_with_all_parts_before_it(parts):
    """Guards against a prefill predicted too short: a part is of use only after all before it."""
    parts.apply_report(CachedPart("subject", 4000))
    assert parts.cached_tokens(PARTS) == 0
    parts.apply_report(CachedPart("head", 2496))
    assert parts.cached_tokens(PARTS) == 6500


def test_unconfirmed_part_expires(parts, timer):
    """Guards against a part that counts as cached for ever although its prefill failed."""
    parts.expect(PARTS[:-1])
    assert parts.cached_tokens(PARTS) == 6500
    assert set(parts.expected) == {hash_part("head"), hash_part("subject")}
    timer.advance(EXPECTED_PART_TTL_S + 0.1)
    assert parts.cached_tokens(PARTS) == 0
    assert parts.expected == ()


def test_part_being_prefilled_is_not_reported_as_cached(parts):
    """Guards against engines that fetch a part too early, and have to prefill it themselves."""
    parts.expect(PARTS[:1])
    assert parts.take_changes().kept == ()
    assert parts.all.kept == ()
    parts.apply_report(CachedPart("head", 2500))
    assert parts.take_changes().kept == (hash_part("head"),)
    assert parts.expected == ()


def test_confirmed_part_does_not_expire(parts, timer):
    """Guards against dropping parts that the engine still has cached."""
    parts.expect(PARTS[:1])
    parts.apply_report(CachedPart("head", 2500))
    timer.advance(EXPECTED_PART_TTL_S + 0.1)
    assert parts.cached_tokens(PARTS) == 2500


def test_mostly_evicted_part_does_not_count(parts):
    """Guards against a prefill predicted too short: the engine evicts parts block by block."""
    parts.apply_report(CachedPart("head", 2500))
    parts.apply_report(CachedPart("head", 600))
    assert parts.cached_tokens(PARTS) == 0
    parts.apply_report(CachedPart("head", 2496))
    assert parts.cached_tokens(PARTS) == 2500


def test_full_list_removes_parts_that_are_not_in_it(parts):
    """Guards against changes that the engine never reported one by one."""
    parts.apply_report(CachedPart("head", 2500))
    parts.take_changes()
    parts.replace([CachedPart("subject", 4000)])
    changes = parts.take_changes()
    assert changes.kept == (hash_part("subject"),)
    assert changes.yielded == (hash_part("head"),)


def test_restart_of_the_engine_clears_the_cache(parts):
    """Guards against prompts sent to an engine for parts that it lost in a crash."""
    parts.apply_report(CachedPart("head", 2500))
    parts.expect(PARTS[1:2])
    parts.clear()
    assert parts.all.kept == ()
    assert parts.cached_tokens(PARTS) == 0


def test_memory_does_not_grow_with_evicted_parts(parts):
    """Guards against memory that grows with each prompt: own parts are cached once and evicted."""
    for number in range(1000):
        parts.apply_report(CachedPart(f"own-{number}", 100))
        parts.apply_report(CachedPart(f"own-{number}", 0))
    parts.take_changes()
    assert not parts._max_tokens
    assert parts.take_changes().yielded == ()
