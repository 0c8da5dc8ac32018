"""Tests of the list of registered backend servers."""

import attrs
import pytest
from support.fake_timer import FakeTimer

from figwalk.events import EventLog
from figwalk.state.backend_directory import RENEWAL_WAIT_S, BackendDirectory, BackendEntry
from figwalk.state.settings import Address

ENTRY = BackendEntry("b1", "orders", Address("10.0.0.1", 80), "a", 6, False, 1000, 5)


@pytest.fixture
def timer():
    return FakeTimer()


@pytest.fixture
def directory(timer):
    return BackendDirectory(EventLog("test", timer), timer)


def names(directory):
    return [entry.backend for entry in directory.of_service("orders")]


def test_leaving_backend_gets_no_new_work(directory):
    """Guards against calls to a backend server whose registration says that it leaves."""
    directory.apply(ENTRY)
    directory.apply(attrs.evolve(ENTRY, leaving=True, sequence=6))
    assert names(directory) == []


def test_late_registration_does_not_undo_leaving(directory):
    """Guards against an older registration that arrives after the newest one and replaces it."""
    directory.apply(attrs.evolve(ENTRY, leaving=True, sequence=6))
    assert not directory.apply(ENTRY)
    assert names(directory) == []


def test_late_registration_does_not_undo_a_removal(directory):
    """Guards against calls to a removed backend server whose registration arrives late."""
    directory.apply(ENTRY)
    directory.remove("b1")
    assert not directory.apply(ENTRY)
    assert names(directory) == []


def test_restart_under_the_same_id_is_registered(directory):
    """Guards against a restarted backend server ignored because its sequence starts again."""
    directory.apply(ENTRY)
    directory.remove("b1")
    assert directory.apply(attrs.evolve(ENTRY, born_ms=2000, sequence=1))
    assert names(directory) == ["b1"]


def test_removal_applies_at_once_while_the_store_is_available(directory):
    """Guards against calls to a backend server that is gone without having announced it."""
    directory.set_store_available(available=True)
    directory.apply(ENTRY)
    directory.remove("b1")
    assert names(directory) == []


def test_registration_expired_in_an_outage_is_kept_until_its_renewal(directory, timer):
    """Guards against dropping all backend servers because the store was unavailable."""
    directory.apply(ENTRY)
    directory.set_store_available(available=False)
    timer.advance(10)
    directory.set_store_available(available=True)
    directory.remove_missing(set())
    directory.expire()
    assert names(directory) == ["b1"]
    timer.advance(RENEWAL_WAIT_S)
    directory.apply(attrs.evolve(ENTRY, sequence=9))
    directory.expire()
    assert names(directory) == ["b1"]


def test_registration_not_renewed_after_an_outage_is_dropped(directory, timer):
    """Guards against calls to a backend server that died while the store was unavailable."""
    directory.apply(ENTRY)
    directory.set_store_available(available=False)
    directory.set_store_available(available=True)
    directory.remove("b1")
    timer.advance(RENEWAL_WAIT_S)
    directory.expire()
    assert names(directory) == []
