"""Tests of what a record means after an outage or a restore of the store.

The table in `docs/design/records-after-restore.md` has one row for each state, and one column for
each record that is read then.
"""

import json

import pytest
from support.fake_timer import FakeTimer

from figwalk.coordination.compacted_log import KeyedRecord
from figwalk.events import EventLog
from figwalk.gateway.topic_handlers import BackendReader, RoutingReader
from figwalk.platform import CONFIG_KEY, decode_backend, decode_routing
from figwalk.state.backend_directory import RENEWAL_WAIT_S, BackendDirectory
from standins.platform_config import make_config, make_route

KNOWN_SEQUENCE = 5
USED, UNUSED = True, False


class ReadStore:
    """A directory of backend servers, and the records of one of them that a gateway reads."""

    def __init__(self):
        self.timer = FakeTimer()
        self.directory = BackendDirectory(EventLog("test", self.timer), self.timer)
        self.reader = BackendReader(self.directory, decode_backend, EventLog("test", self.timer))
        self.reader.set_available(available=True)

    def register(self, sequence=KNOWN_SEQUENCE, state="ready"):
        """Read a registration."""
        fields = {
            "service": "orders",
            "address": "10.0.0.1:80",
            "zone": "a",
            "slots": 6,
            "version": "v1",
        }
        fields |= {"state": state, "born": 1000, "sequence": sequence}
        self.reader.apply(KeyedRecord(0, "b1", json.dumps(fields).encode()))

    def remove(self):
        """Read that the registration is gone."""
        self.reader.apply(KeyedRecord(0, "b1", None))

    def return_without_it(self):
        """Read a whole older copy of the store, which lacks the registration."""
        self.reader.handle_restore()
        self.reader.apply_key_set(frozenset())

    def lapse(self):
        """Read after an outage that the registration lapsed meanwhile."""
        self.reader.set_available(available=False)
        self.timer.advance(10)
        self.reader.set_available(available=True)
        self.remove()

    def wait(self, seconds=RENEWAL_WAIT_S):
        """Let time pass."""
        self.timer.advance(seconds)
        self.directory.expire()

    @property
    def used(self):
        """Whether the backend server gets new work."""
        return [entry.backend for entry in self.directory.of_service("orders")] == ["b1"]


def never_seen(_store):
    """Leave the directory empty."""


def known(store):
    store.register()


def missing_in_the_copy(store):
    store.register()
    store.return_without_it()


def lapsed_in_an_outage(store):
    store.register()
    store.lapse()


def dropped_after_a_restore(store):
    missing_in_the_copy(store)
    store.wait()


def dropped_after_an_outage(store):
    lapsed_in_an_outage(store)
    store.wait()


def removed_by_its_owner(store):
    store.register()
    store.remove()


def left_before_the_restore(store):
    store.register(KNOWN_SEQUENCE - 1)
    store.register(state="draining")
    missing_in_the_copy(store)
    store.wait()


READS = {
    "same": lambda store: store.register(),
    "newer": lambda store: store.register(KNOWN_SEQUENCE + 1),
    "older": lambda store: store.register(KNOWN_SEQUENCE - 1),
    "gone": lambda store: store.remove(),
}
# Whether the backend server is used after each read, once the renewal time has passed.
TABLE = {
    never_seen: (USED, USED, USED, UNUSED),
    known: (USED, USED, USED, UNUSED),
    missing_in_the_copy: (USED, USED, UNUSED, UNUSED),
    lapsed_in_an_outage: (USED, USED, UNUSED, UNUSED),
    dropped_after_a_restore: (USED, USED, UNUSED, UNUSED),
    dropped_after_an_outage: (USED, USED, UNUSED, UNUSED),
    removed_by_its_owner: (UNUSED, USED, UNUSED, UNUSED),
    left_before_the_restore: (UNUSED, USED, UNUSED, UNUSED),
}


@pytest.mark.parametrize("state", TABLE)
@pytest.mark.parametrize(("read", "column"), [(name, n) for n, name in enumerate(READS)])
def test_record_has_the_outcome_of_the_table(state, read, column):
    """Guards against sound servers dropped for good, and withdrawn ones used again."""
    store = ReadStore()
    state(store)
    READS[read](store)
    store.wait()
    assert store.used == TABLE[state][column]


@pytest.mark.parametrize("lose", [missing_in_the_copy, lapsed_in_an_outage])
def test_server_is_used_until_the_renewal_time_is_over(lose):
    """Guards against sound servers without work until their registrations are written again."""
    store = ReadStore()
    lose(store)
    store.wait(RENEWAL_WAIT_S - 0.1)
    assert store.used
    store.wait(0.1)
    assert not store.used


def test_second_restore_begins_the_renewal_time_anew():
    """Guards against a server dropped because the store was away again before it could renew."""
    store = ReadStore()
    missing_in_the_copy(store)
    store.wait(RENEWAL_WAIT_S - 0.1)
    store.return_without_it()
    store.wait(RENEWAL_WAIT_S - 0.1)
    assert store.used
    store.register()
    store.wait()
    assert store.used


def test_withdrawn_server_that_an_older_copy_lists_stays_removed():
    """Guards against calls to a server whose withdrawal the older copy lacks."""
    store = ReadStore()
    removed_by_its_owner(store)
    store.reader.handle_restore()
    store.register()
    store.reader.apply_key_set(frozenset({"b1"}))
    assert not store.used


def test_server_that_stated_its_departure_is_not_confirmed():
    """Guards against calls to a server that left, when its registration is written again."""
    store = ReadStore()
    store.register()
    store.directory.mark_leaving(store.directory.find("b1"))
    store.return_without_it()
    store.register()
    store.wait()
    store.register()
    assert store.directory.entries() == []


def render_config(version):
    """Return a configuration with as many routes as its version."""
    routes = [make_route(f"r{number}", "idempotent", "orders") for number in range(version)]
    return json.dumps(make_config(version, routes)).encode()


@pytest.mark.parametrize("is_known", [False, True])
@pytest.mark.parametrize(("read", "newest"), [(2, 2), (3, 3), (1, 1), (None, None)])
def test_configuration_only_becomes_newer(is_known, read, newest):
    """Guards against routes that are lost since an older copy of the store lacks them."""
    reader = RoutingReader(
        CONFIG_KEY, decode_routing, EventLog("test", FakeTimer()), on_adopted=lambda _: None
    )
    if is_known:
        reader.apply(KeyedRecord(0, CONFIG_KEY, render_config(2)))
        reader.handle_restore()
        reader.apply_key_set(frozenset())
    reader.apply(KeyedRecord(0, CONFIG_KEY, render_config(read) if read else None))
    expected = max(2, newest or 0) if is_known else newest
    assert (len(reader.current.routes) if reader.current else None) == expected
