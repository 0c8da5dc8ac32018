"""Tests of what is known of the parts of prompts that an engine keeps."""

import pytest
from support.fake_timer import FakeTimer

from figwalk.coordination.kept_parts import EXPECTATION_S, CachedPart, KeptParts, hash_part

PARTS = (("head", 2500), ("subject", 4000), ("own", 1000))


@pytest.fixture
def timer():
    return FakeTimer()


@pytest.fixture
def parts(timer):
    return KeptParts(timer)


def test_part_counts_only_with_all_before_it(parts):
    """Guards against a reading predicted too short: an engine needs the parts before as well."""
    parts.confirm(CachedPart("subject", 4000))
    assert parts.cached_tokens(PARTS) == 0
    parts.confirm(CachedPart("head", 2496))
    assert parts.cached_tokens(PARTS) == 6500


def test_part_that_is_never_confirmed_is_forgotten(parts, timer):
    """Guards against a part believed kept for ever, although its reading failed."""
    parts.expect(PARTS[:-1])
    assert parts.cached_tokens(PARTS) == 6500
    assert set(parts.expected) == {hash_part("head"), hash_part("subject")}
    timer.advance(EXPECTATION_S + 0.1)
    assert parts.cached_tokens(PARTS) == 0
    assert parts.expected == ()


def test_part_that_is_being_read_is_not_told_as_kept(parts):
    """Guards against other engines that fetch a part which is not there yet, and read it anew."""
    parts.expect(PARTS[:1])
    assert parts.take_changes().kept == ()
    assert parts.all.kept == ()
    parts.confirm(CachedPart("head", 2500))
    assert parts.take_changes().kept == (hash_part("head"),)
    assert parts.expected == ()


def test_confirmed_part_outlives_the_expectation(parts, timer):
    """Guards against parts forgotten that the engine still keeps."""
    parts.expect(PARTS[:1])
    parts.confirm(CachedPart("head", 2500))
    timer.advance(EXPECTATION_S + 0.1)
    assert parts.cached_tokens(PARTS) == 2500


def test_part_of_which_little_is_left_does_not_count(parts):
    """Guards against a reading predicted too short: memory yields in blocks."""
    parts.confirm(CachedPart("head", 2500))
    parts.confirm(CachedPart("head", 600))
    assert parts.cached_tokens(PARTS) == 0
    parts.confirm(CachedPart("head", 2496))
    assert parts.cached_tokens(PARTS) == 2500


def test_listing_removes_what_it_does_not_name(parts):
    """Guards against changes that were never told."""
    parts.confirm(CachedPart("head", 2500))
    parts.take_changes()
    parts.replace([CachedPart("subject", 4000)])
    changes = parts.take_changes()
    assert changes.kept == (hash_part("subject"),)
    assert changes.yielded == (hash_part("head"),)


def test_restart_of_the_engine_forgets_all(parts):
    """Guards against prompts sent to an engine for parts that a crash took away."""
    parts.confirm(CachedPart("head", 2500))
    parts.expect(PARTS[1:2])
    parts.clear()
    assert parts.all.kept == ()
    assert parts.cached_tokens(PARTS) == 0


def test_memory_does_not_grow_with_parts_that_yielded(parts):
    """Guards against a memory that grows with each prompt: own parts come once and yield."""
    for number in range(1000):
        parts.confirm(CachedPart(f"own-{number}", 100))
        parts.confirm(CachedPart(f"own-{number}", 0))
    parts.take_changes()
    assert not parts._longest
    assert parts.take_changes().yielded == ()
