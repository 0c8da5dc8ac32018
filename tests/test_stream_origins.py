"""Tests what is known of the backend servers that began streams."""

import pytest
from support.fake_timer import FakeTimer

from figwalk.state.backend_directory import BackendEntry
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


@pytest.mark.parametrize(
    ("entry", "refuted"),
    [
        (None, False),
        (make_entry("v1.1"), False),
        (make_entry("v1", born_ms=2000), False),
        (make_entry("v1.1", born_ms=2000), True),
        (make_entry("v1.1", born_ms=500), False),
    ],
)
def test_later_start_of_another_version_refutes_an_origin(entry, refuted):
    """Guards against a version that was taken from an outdated registration."""
    assert ORIGIN.is_refuted_by(entry) == refuted


def test_origin_that_was_told_twice_with_different_versions_is_unknown():
    """Guards against a stream that goes on at either of two versions."""
    origins = StreamOrigins(FakeTimer())
    origins.add(b"a", ORIGIN)
    origins.add(b"a", StreamOrigin("lm", "v1", "e2", 3000))
    assert origins.find(b"a") is not None
    origins.add(b"a", StreamOrigin("lm", "v2", "e3", 1000))
    assert origins.find(b"a") is None
    origins.add(b"a", ORIGIN)
    assert origins.find(b"a") is None


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
