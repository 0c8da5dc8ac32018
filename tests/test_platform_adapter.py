"""Tests of the adapter to the users' platform and of readers of its store."""

import json
import re
from contextlib import suppress
from pathlib import Path

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from support.platform_fakes import HOST, run_test

from figwalk.coordination.backend_tracker import ReportedLoad
from figwalk.coordination.compacted_log import CompactedLog, KeyedPage, KeyedRecord, TopicFollower
from figwalk.errors import LogConflictError, LogTruncatedError, LogUnavailableError
from figwalk.events import EventLog
from figwalk.gateway.topic_handlers import BackendReader, RoutingReader
from figwalk.platform import (
    BACKENDS_TOPIC,
    CONFIG_KEY,
    CONFIG_TOPIC,
    PlatformBackendCodec,
    PlatformCallerCodec,
    PlatformStore,
    decode_backend,
    decode_routing,
)
from figwalk.platform.json_fields import PlatformRecordError
from figwalk.platform.store import _decode_page
from figwalk.protocol.messages import Role
from figwalk.state.backend_directory import BackendDirectory
from figwalk.state.organisation_keys import digest_key
from figwalk.state.routing import CallKind
from figwalk.state.settings import Address
from figwalk.timer import Timer
from figwalk.transport import HttpRequest, HttpServer
from standins.platform_config import make_config
from standins.platform_store import PlatformStore as StoreStandin
from standins.platform_store import PlatformStoreFaults

SOURCES = Path(__file__).parent.parent / "figwalk"
PLATFORM_NAMES = re.compile(
    r"server-stamp|not-executed|kv-source|token-counts|prefix-hash|kv-handle|log-append|log-read"
    r"|log-newest|fencing-token|expect-instance|server-load|keyed\.(op|servers)|max-attempts"
    r"|path-prefix|traffic-split|cold-remaining-ms",
    re.IGNORECASE,
)

REGISTRATION = {
    "service": "lm",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 8,
    "version": "v1.1",
    "state": "ready",
    "stage": "prefill",
    "cold-remaining-ms": 500,
    "sequence": 3,
    "born": 1000,
}


def test_platform_names_stay_in_the_adapter():
    """Guards against use of the platform's names outside the adapter."""
    found = [
        str(path)
        for path in SOURCES.rglob("*.py")
        if "platform" not in path.relative_to(SOURCES).parts
        and PLATFORM_NAMES.search(path.read_text())
    ]
    assert found == []


def test_configuration_is_decoded():
    """Guards against configuration fields that are confused since their names mislead."""
    routing = decode_routing(json.dumps(make_config(7)).encode())
    route = routing.match("calls.example", "/long/x")
    assert routing.version == 7
    assert (route.kind, route.timeout_s, route.target_s) == (CallKind.STREAM, 2.0, 0.25)
    assert (route.max_backends, route.resumable, route.is_model_call) == (2, True, True)
    assert routing.services["lm"].engine.kv_tokens == 100_000
    assert routing.services["orders"].engine is None
    assert routing.limits.idle_timeout_s == 15.0


def test_registration_is_decoded():
    """Guards against a registration whose role, age or software version is lost."""
    entry = decode_backend("b1", json.dumps(REGISTRATION).encode())
    assert entry.software_version == "v1.1"
    assert (entry.role, entry.born_ms, entry.sequence) == (Role.PREFILL, 1000, 3)
    assert entry.cold_s == 0.5


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.0.0.1"},
        {"address": 7},
        {"state": "asleep"},
        {"sequence": "3"},
        {"sequence": True},
        {"service": None},
        {"born": 1.5},
        {"stage": "other"},
        {"slots": -1},
        {"version": None},
        {"version": 7},
    ],
)
def test_malformed_registration_is_rejected(change):
    """Guards against calls to an address that no backend server registered."""
    with pytest.raises(PlatformRecordError):
        decode_backend("b1", json.dumps(REGISTRATION | change).encode())


@given(st.binary(max_size=200))
def test_decoders_survive_any_bytes(data):
    """Guards against a process that exits because of a malformed record."""
    for decode in (decode_routing, lambda value: decode_backend("b", value)):
        with suppress(PlatformRecordError):
            decode(data)
    with suppress(LogUnavailableError):
        _decode_page("t", 0, data, None)


@given(
    st.dictionaries(
        st.sampled_from(sorted(REGISTRATION)),
        st.one_of(
            st.none(), st.booleans(), st.integers(), st.floats(), st.text(), st.lists(st.none())
        ),
    )
)
def test_registrations_with_wrong_types_are_rejected_or_complete(change):
    """Guards against an entry with a field of the wrong type."""
    try:
        entry = decode_backend("b", json.dumps(REGISTRATION | change).encode())
    except PlatformRecordError:
        return
    assert isinstance(entry.address, Address)
    assert isinstance(entry.sequence, int)


@given(st.text(max_size=60))
def test_prompt_parts_are_a_hint_only(text):
    """Guards against a request or a process that fails because of a malformed list of parts."""
    headers = [(b"request-id", b"1"), (b"prefix-hash", text.encode("utf-8"))]
    facts = PlatformCallerCodec().decode(HttpRequest("POST", "/", headers))
    assert all(part.tokens >= 0 for part in facts.prompt)


def with_store(test):
    """Run a test with a stand-in of the store and a client connected to it."""

    def run():
        async def main():
            store = StoreStandin()
            server = HttpServer(store.answer, EventLog("store", Timer()))
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.serve, HOST, 0)
                client = PlatformStore(Address(HOST, port), timeout_s=0.3)
                await test(store, client, nursery)
                nursery.cancel_scope.cancel()

        run_test(main)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


@with_store
async def test_store_lists_all_pages(store, client, nursery):
    """Guards against backend servers that are missing because the list has several pages."""
    for number in range(120):
        store.put("t", f"k{number:03}", b"%d" % number)
    store.remove("t", "k007")
    page = await client.read_newest("t")
    assert len(page.records) == 119
    assert page.next_offset == 121


@with_store
async def test_store_reads_records_and_removals(store, client, nursery):
    """Guards against a removal that is decoded as an empty registration."""
    store.put("t", "k", b"v")
    store.remove("t", "k")
    page = await client.read("t", 0)
    assert [(r.offset, r.key, r.value) for r in page.records] == [(0, "k", b"v"), (1, "k", None)]
    assert page.next_offset == 2


@with_store
async def test_conditional_append_needs_the_end_of_the_topic(store, client, nursery):
    """Guards against two processes that both take the same place in the log."""
    store.put("t", "k", b"v")
    appended = await client.append_if_end("t", 1, {"a": b"1", "b": None})
    assert (appended.offset, appended.end, appended.era) == (1, 3, 1)
    with pytest.raises(LogConflictError) as caught:
        await client.append_if_end("t", 1, {"a": b"2"})
    assert caught.value.end == 3
    assert [r.value for r in (await client.read_newest("t")).records if r.key == "a"] == [b"1"]


def test_organisations_are_decoded_without_their_keys():
    """Guards against keys that are lost, or that stand in a log of the configuration."""
    tenants = [{"name": "o1", "api-keys": ["k1", "k2"], "priority": 1}, {"name": "o2"}]
    routing = decode_routing(json.dumps(make_config(tenants=tenants)).encode())
    assert [(o.name, o.priority) for o in routing.organisations] == [("o1", 1), ("o2", None)]
    assert routing.organisations[0].key_digests == {digest_key("k1"), digest_key("k2")}
    assert "k1" not in repr(routing)
    assert decode_routing(json.dumps(make_config()).encode()).organisations is None


@pytest.mark.parametrize(
    ("text", "load"),
    [
        (b"3,1,8", ReportedLoad(3, 1, 8)),
        (b"3,1,8,250", ReportedLoad(3, 1, 8, slowdown=2.5)),
        (b"3,1,8,x", None),
        (b"3,1", None),
    ],
)
def test_load_is_decoded_with_and_without_the_slowdown(text, load):
    """Guards against load reports that are dropped because they have one more figure."""
    facts = PlatformBackendCodec().decode_answer(200, [(b"server-load", text)])
    assert facts.load == load


@with_store
async def test_read_of_dropped_records_is_an_error(store, client, nursery):
    """Guards against a reader that misses records after the store dropped its history."""
    store.put("t", "k", b"v")
    store.forget("t")
    with pytest.raises(LogTruncatedError):
        await client.read("t", 0)


@pytest.mark.parametrize(
    "fault", [{"refuse_status": 503}, {"refuse_status": 429}, {"silent": True}]
)
def test_store_that_does_not_answer_is_unavailable(fault):
    """Guards against a reader that hangs while the store is unavailable."""

    @with_store
    async def check(store, client, nursery):
        store.set_faults(PlatformStoreFaults(**fault))
        with pytest.raises(LogUnavailableError):
            await client.read("t", 0)

    check()


@with_store
async def test_follower_takes_over_changes_and_starts_anew_after_lost_history(
    store, client, nursery
):
    """Guards against a configuration or a departure that is missed in the lost history."""
    timer = Timer()
    events = EventLog("test", timer)
    changed = trio.Event()
    reader = RoutingReader(CONFIG_KEY, decode_routing, events, on_adopted=lambda _: changed.set())
    store.put(CONFIG_TOPIC, CONFIG_KEY, json.dumps(make_config(1)).encode())
    nursery.start_soon(TopicFollower(client, CONFIG_TOPIC, reader, events, timer, wait_s=0.1).run)
    await changed.wait()
    changed = trio.Event()
    store.put(CONFIG_TOPIC, CONFIG_KEY, json.dumps(make_config(5)).encode())
    store.forget(CONFIG_TOPIC)
    await changed.wait()
    assert reader.current.version == 5


@with_store
async def test_older_configuration_never_replaces_a_newer_one(store, client, nursery):
    """Guards against a return to a configuration that operators have replaced."""
    timer = Timer()
    events = EventLog("test", timer)
    reader = RoutingReader(CONFIG_KEY, decode_routing, events, on_adopted=lambda _: None)
    for version in (5, 3):
        store.put(CONFIG_TOPIC, CONFIG_KEY, json.dumps(make_config(version)).encode())
    for record in (await client.read(CONFIG_TOPIC, 0)).records:
        reader.apply(record)
    assert reader.current.version == 5


@with_store
async def test_departure_in_lost_history_is_noticed(store, client, nursery):
    """Guards against calls to a backend server that left while the history was dropped."""
    timer = Timer()
    events = EventLog("test", timer)
    gone = trio.Event()
    directory = BackendDirectory(events, timer)
    reader = BackendReader(directory, decode_backend, events)
    store.put(BACKENDS_TOPIC, "b1", json.dumps(REGISTRATION).encode())

    def check():
        if directory.loaded and not directory.entries():
            gone.set()

    follower = TopicFollower(
        client, BACKENDS_TOPIC, reader, events, timer, period_s=0.01, on_progress=check
    )
    nursery.start_soon(follower.run)
    while not directory.entries():
        await trio.sleep(0.01)
    store.remove(BACKENDS_TOPIC, "b1")
    store.forget(BACKENDS_TOPIC)
    await gone.wait()


@with_store
async def test_restored_store_is_read_as_a_whole(store, client, nursery):
    """Guards against records that are never read since their offsets were assigned twice.

    The restored store has lost a departure, and assigns its offset to another registration. The
    follower has already read past that offset.
    """
    timer = Timer()
    directory = BackendDirectory(EventLog("test", timer), timer)
    reader = BackendReader(directory, decode_backend, EventLog("test", timer))
    follower = TopicFollower(
        client, BACKENDS_TOPIC, reader, EventLog("test", timer), timer, period_s=0.01
    )
    for name in ("b1", "b2", "b3"):
        store.put(BACKENDS_TOPIC, name, json.dumps(REGISTRATION).encode())
    nursery.start_soon(follower.run)
    while len(directory.entries()) < 3:
        await trio.sleep(0.01)
    store.remove(BACKENDS_TOPIC, "b1")
    while follower.offset != 4:
        await trio.sleep(0.01)
    store.restore(2)
    for name in ("b4", "b5", "b6"):
        store.put(BACKENDS_TOPIC, name, json.dumps(REGISTRATION).encode())
    while follower.offset != 5 or len(directory.entries()) < 5:
        await trio.sleep(0.01)
    # b3 is missing in the copy until it registers again; b1 is gone, although the copy has it.
    assert {entry.backend for entry in directory.entries()} == {"b2", "b3", "b4", "b5", "b6"}


@with_store
async def test_configuration_of_an_older_copy_is_not_taken_back(store, client, nursery):
    """Guards against a return to a replaced configuration after the store was restored."""
    timer = Timer()
    events = EventLog("test", timer)
    reader = RoutingReader(CONFIG_KEY, decode_routing, events, on_adopted=lambda _: None)
    for version in (3, 5):
        store.put(CONFIG_TOPIC, CONFIG_KEY, json.dumps(make_config(version)).encode())
    follower = TopicFollower(client, CONFIG_TOPIC, reader, events, timer, wait_s=0.1)
    nursery.start_soon(follower.run)
    while reader.current is None:
        await trio.sleep(0.01)
    store.restore(1)
    while follower.offset != 1:
        await trio.sleep(0.01)
    assert reader.current.version == 5
    store.put(CONFIG_TOPIC, CONFIG_KEY, json.dumps(make_config(6)).encode())
    while reader.current.version != 6:
        await trio.sleep(0.01)


class PagedLog(CompactedLog):
    """A log that returns the pages that the test sets."""

    def __init__(self, pages):
        self.pages = list(pages)
        self.newest_calls = 0

    async def read_newest(self, topic):
        """Return the next page."""
        self.newest_calls += 1
        return await self.read(topic, 0)

    async def read(self, _topic, _offset, *, wait_s=0.0):
        """Return the next page."""
        if not self.pages:
            await trio.sleep_forever()
        return self.pages.pop(0)


def test_late_answer_of_an_earlier_era_is_dropped():
    """Guards against a record from before the restore that arrives on another connection."""

    async def main():
        timer = Timer()
        events = EventLog("test", timer)
        reader = RoutingReader(CONFIG_KEY, decode_routing, events, on_adopted=lambda _: None)

        def page(version, era):
            value = json.dumps(make_config(version)).encode()
            return KeyedPage(version, (KeyedRecord(0, CONFIG_KEY, value),), era)

        log = PagedLog([page(1, 2), page(9, 1), page(2, 2), page(3, None), page(4, 3), page(5, 3)])
        follower = TopicFollower(log, CONFIG_TOPIC, reader, events, timer)
        versions = []
        with trio.move_on_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                while not versions or versions[-1] != 5:
                    version = reader.current.version if reader.current else 0
                    versions += [version] if versions[-1:] != [version] else []
                    await trio.sleep(0)
                nursery.cancel_scope.cancel()
        # Version 9 is of an earlier era; 4 of a new one, after which the whole topic is read again.
        assert 9 not in versions
        assert versions[-1] == 5
        assert log.newest_calls == 2

    trio.run(main)
