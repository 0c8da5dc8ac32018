"""Tests what is known of the backend servers that began streams."""

import pytest
from support.fake_timer import FakeTimer

from figwalk.events import EventLog
from figwalk.state.backend_directory import REMOVAL_RETENTION_S, BackendDirectory, BackendEntry
from figwalk.state.settings import Address
from figwalk.state.stream_origins import (
    ATTEMPT_DIGEST_BYTES,
    ORIGIN_RETENTION_S,
    StreamOrigin,
    StreamOrigins,
    digest_attempt,
)

ORIGIN = StreamOrigin("lm", "v1", "e1", 1000)


def make_entry(version="v1", service="lm", backend="e1", born_ms=1000):
    """Return the registration of a backend server."""
    address = Address("127.0.0.1", 1)
    return BackendEntry(
        backend, service, address, "a", 8, False, born_ms, 1, software_version=version
    )


@pytest.mark.parametrize(
    ("entry", "fits"),
    [
        (make_entry(backend="e2"), True),
        (make_entry("v1.1"), False),
        (make_entry(""), False),
        (make_entry(service="lm-next"), False),
    ],
)
def test_stream_goes_on_at_its_own_service_and_version_only(entry, fits):
    """Guards against versions of two services that have the same name."""
    assert ORIGIN.fits(entry) == fits


def test_stream_of_an_uncertain_version_goes_on_nowhere():
    """Guards against an uncertain version that fits a server without one."""
    assert not StreamOrigin("lm", "", "e1", 1000).fits(make_entry(""))


@pytest.mark.parametrize(
    ("starts", "changed"),
    [
        ([], False),
        ([("v1", 1000)], False),
        ([("v1", 1000), ("v1", 2000)], False),
        ([("v1", 1000), ("v2", 2000)], True),
        ([("v1", 1000), ("v2", 2000), None], True),
        ([("v1", 1000), None, ("v2", 2000)], True),
        ([("v1", 1000), ("v2", 2000), ("v1", 3000)], True),
        ([("v1", 1000), ("v2", 2000), ("v1", 90_000)], True),
        ([("v1", 1000), ("v2", 90_000)], False),
        ([("v0", 500), ("v1", 1000)], False),
        ([("v2", 2000)], True),
        ([("v2", 90_000)], False),
        ([("v2", 500)], False),
    ],
)
def test_start_as_another_version_is_remembered(starts, changed):
    """Guards against an origin whose version was taken from an outdated registration."""
    timer = FakeTimer()
    directory = BackendDirectory(EventLog("test", timer), timer)
    for start in starts:
        if start is None:
            directory.remove("e1")
        else:
            directory.apply(make_entry(start[0], born_ms=start[1]))
        directory.expire()
    assert directory.has_changed_version("e1", "v1", since_ms=1000, until_ms=50_000) == changed


def test_starts_and_versions_of_removed_servers_are_forgotten():
    """Guards against versions that fill the memory of a gateway."""
    timer = FakeTimer()
    directory = BackendDirectory(EventLog("test", timer), timer)
    directory.apply(make_entry("v1"))
    directory.apply(make_entry("v2", born_ms=2000))
    directory.remove("e1")
    assert directory.has_seen_version("lm", "v1")
    timer.advance(REMOVAL_RETENTION_S + 1)
    directory.expire()
    assert not directory.has_seen_version("lm", "v1")
    assert not directory.has_changed_version("e1", "v1", since_ms=1000, until_ms=50_000)


def test_origin_that_was_told_twice_with_different_versions_is_uncertain():
    """Guards against a stream that goes on at either of two versions."""
    origins = StreamOrigins(FakeTimer())
    origins.add(b"a", ORIGIN)
    origins.add(b"a", StreamOrigin("lm", "v1", "e2", 3000))
    assert origins.find(b"a") is not None
    origins.add(b"a", StreamOrigin("lm", "v2", "e3", 1000))
    assert origins.find(b"a").software_version == ""
    origins.add(b"a", ORIGIN)
    assert origins.find(b"a").software_version == ""


def test_old_and_surplus_origins_are_forgotten():
    """Guards against origins that fill the memory of a process."""
    timer = FakeTimer()
    origins = StreamOrigins(timer, max_origins=2)
    for attempt in (b"a", b"b", b"c"):
        origins.add(attempt, ORIGIN)
    assert [origins.find(attempt) for attempt in (b"a", b"b", b"c")] == [None, ORIGIN, ORIGIN]
    timer.advance(ORIGIN_RETENTION_S + 1)
    assert origins.find(b"c") is None
    origins.add(b"d", ORIGIN)
    assert len(origins) == 1


def test_key_of_a_stream_has_a_bounded_size():
    """Guards against ids of several kilobytes in the memory of agents."""
    assert len(digest_attempt("x" * 10_000)) == ATTEMPT_DIGEST_BYTES
    assert digest_attempt("\xff") != digest_attempt("x")
