"""Tests how gateways notice crashes of engines and share them through the log."""

import itertools
import json

import attrs
import pytest
import trio
from support.fake_log import FakeTimer
from support.platform_fakes import (
    HEAD,
    HOST,
    chunk,
    event,
    fetch,
    resetting,
    run_test,
    running_fleet,
)

from figwalk.coordination.backend_tracker import AttemptOutcome
from figwalk.coordination.call_identity import CallIdentity
from figwalk.coordination.call_quarantine import (
    EVIDENCE_RETENTION_S,
    CallQuarantine,
)
from figwalk.coordination.compacted_log import CompactedLogWriter, KeyedRecord
from figwalk.coordination.crash_evidence import CrashId
from figwalk.errors import LogUnavailableError
from figwalk.events import EventLog
from figwalk.gateway.crash_reports import CrashReports
from figwalk.gateway.crash_watcher import MAX_PENDING_S, CrashWatcher
from figwalk.gateway.gateway_metrics import GatewayMetrics
from figwalk.gateway.stream_timing import StreamTiming
from figwalk.protocol.messages import Role
from figwalk.state.backend_directory import BackendDirectory, BackendEntry
from figwalk.state.settings import Address
from figwalk.transport.listening import refuses_connections
from standins.launcher import choose_port
from standins.platform_config import make_config

CALL = CallIdentity(("head", "bad", "own"))


class FakeTopic(CompactedLogWriter):
    """Topic that can refuse appends."""

    def __init__(self):
        self.records = {}
        self.appends = 0
        self.largest = 0
        self.down = False
        self.changed = trio.Event()

    async def append(self, topic, records):
        """Append the records unless the topic is down."""
        self.appends += 1
        self.largest = max(self.largest, sum(len(value or b"") for value in records.values()))
        self.changed.set()
        self.changed = trio.Event()
        if self.down:
            raise LogUnavailableError("down")
        self.records.update(records)


@attrs.define
class Member:
    """One gateway's part in sharing reports."""

    quarantine: CallQuarantine
    reports: CrashReports
    topic: FakeTopic
    timer: FakeTimer


def run_with_member(test):
    async def main():
        timer, topic = FakeTimer(), FakeTopic()
        events = EventLog("g1", timer)
        quarantine = CallQuarantine("g1", events, timer, on_report=lambda: member.reports.notify())
        reports = CrashReports(topic, "t", quarantine, events)
        member = Member(quarantine, reports, topic, timer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reports.run)
            await test(member)
            nursery.cancel_scope.cancel()

    run_test(main)


async def wait_until(member, condition):
    while not condition():
        await member.topic.changed.wait()
        await trio.testing.wait_all_tasks_blocked()


def test_reports_are_written_after_an_outage_of_the_log():
    """Guards against crashes that other gateways never learn of because the log was away."""

    async def test(member):
        member.topic.down = True
        member.quarantine.record_crash(CrashId("e1", 1), [CALL])
        await wait_until(member, lambda: member.topic.appends >= 2)
        member.topic.down = False
        await wait_until(member, lambda: member.topic.records)
        assert list(member.topic.records) == ["g1/e1/1"]
        assert not member.quarantine.unpublished

    run_with_member(test)


def test_reports_are_written_again_after_the_log_was_restored():
    """Guards against reports that are missing after the log came back from an older copy."""

    async def test(member):
        member.quarantine.record_crash(CrashId("e1", 1), [CALL])
        await wait_until(member, lambda: member.topic.records)
        member.topic.records.clear()
        member.reports.handle_restore()
        await wait_until(member, lambda: member.topic.records)

    run_with_member(test)


def test_written_reports_are_read_by_another_gateway():
    """Guards against reports whose stored form can't be read."""

    async def test(member):
        for number in range(3):
            member.quarantine.record_crash(CrashId(f"e{number}", 1), [CALL])
        await wait_until(member, lambda: len(member.topic.records) == 3)
        events = EventLog("g2", member.timer)
        quarantine = CallQuarantine("g2", events, member.timer)
        reader = CrashReports(member.topic, "t", quarantine, events)
        for offset, (key, value) in enumerate(member.topic.records.items()):
            reader.apply(KeyedRecord(offset, key, value))
        quarantine.refresh()
        assert quarantine.parts == {"bad"}

    run_with_member(test)


STORED = {"reporter": "g9", "backend": "e", "born_ms": 1, "at_ms": 0, "prompts": [], "sound": []}


@pytest.mark.parametrize(
    "value",
    [
        b"{",
        b"[]",
        b"{}",
        b"[" * 100_000,
        b"\xff",
        json.dumps(STORED | {"prompts": [1]}).encode(),
        json.dumps(STORED | {"at_ms": 10**400}).encode(),
        json.dumps(STORED | {"at_ms": -1}).encode(),
    ],
)
def test_malformed_report_is_skipped(value):
    """Guards against a record from another writer that ends the reading of the topic."""

    async def test(member):
        member.reports.apply(KeyedRecord(1, "k", value))
        member.reports.apply(KeyedRecord(2, "k", None))
        assert not member.quarantine.parts

    run_with_member(test)


def test_expired_report_of_a_gateway_that_is_gone_is_removed_with_the_next_append():
    """Guards against a topic that keeps the reports of former gateways for good."""

    async def test(member):
        at_ms = member.timer.wall_ms() - int((EVIDENCE_RETENTION_S + 1) * 1000)
        value = json.dumps(STORED | {"at_ms": at_ms}).encode()
        member.reports.apply(KeyedRecord(1, "g9/e/1", value))
        member.quarantine.record_crash(CrashId("e1", 1), [CALL])
        await wait_until(member, lambda: member.topic.records)
        assert member.topic.records["g9/e/1"] is None

    run_with_member(test)


def test_report_on_an_engine_with_a_long_id_has_a_key_that_the_store_takes():
    """Guards against a gateway that ends because of a strange registration."""

    async def test(member):
        member.quarantine.record_crash(CrashId("e" * 250, 1), [CALL])
        await wait_until(member, lambda: member.topic.records)
        (key,) = member.topic.records
        assert len(key) < 255

    run_with_member(test)


def test_many_reports_are_written_in_several_appends():
    """Guards against an append that the store refuses for its size, again and again."""

    async def test(member):
        for number in range(100):
            prompts = [[f"{n:032}" for n in range(number, number + 33)] for _ in range(1)]
            # No crash shares these parts with others, since this test is about size: looking for a
            # cause among 2,000 parts after each crash takes most of the time otherwise.
            prompts += [[f"{number:02}-{m:02}-{n:026}" for n in range(33)] for m in range(63)]
            calls = [CallIdentity(tuple(prompt)) for prompt in prompts]
            member.quarantine.record_crash(CrashId(f"e{number}", 1), calls)
        await wait_until(member, lambda: len(member.topic.records) == 100)
        assert member.topic.largest <= 2 * 1024 * 1024

    run_with_member(test)


def make_entry(port, **fields):
    options = {"leaving": False, "born_ms": 1, "sequence": 1, "role": Role.DECODE} | fields
    return BackendEntry("e1", "lm", Address(HOST, port), "a", 8, **options)


def break_call(watcher, entry):
    watcher.finish(watcher.start(entry, CALL, StreamTiming()), AttemptOutcome.BROKEN)


async def watch(entry, act, *, port_open=False):
    """Break a call at an engine, act, and return how many crashes were noticed."""
    timer = FakeTimer()
    events = EventLog("g1", timer)
    directory = BackendDirectory(events, timer)
    directory.apply(entry)
    quarantine = CallQuarantine("g1", events, timer)
    watcher = CrashWatcher(directory, quarantine, GatewayMetrics(), events, timer)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watcher.run)
        break_call(watcher, entry)
        await act(directory, watcher, quarantine)
        nursery.cancel_scope.cancel()
    return len(quarantine.unpublished)


def test_engine_whose_port_refuses_connections_has_crashed():
    """Guards against crashes that are noticed only when the registration lapses."""

    async def main():
        async def act(_directory, _watcher, quarantine):
            while not quarantine.unpublished:
                await trio.sleep(0.001)

        assert await watch(make_entry(choose_port()), act) == 1

    run_test(main)


def test_engine_that_still_listens_has_not_crashed():
    """Guards against broken calls at an engine that goes on which count as a crash."""

    async def main():
        (listener,) = await trio.open_tcp_listeners(0, host=HOST)
        port = listener.socket.getsockname()[1]

        async def act(_directory, watcher, _quarantine):
            stream = await listener.accept()
            assert await stream.receive_some(1) == b""  # The check is over.
            watcher.update()

        assert await watch(make_entry(port), act) == 0
        assert not await refuses_connections(HOST, port, timeout_s=5.0)

    run_test(main)


def test_crash_soon_after_a_call_that_broke_for_another_reason_is_noticed():
    """Guards against crashes that are missed since the server was found alive before."""

    async def main():
        (listener,) = await trio.open_tcp_listeners(0, host=HOST)
        entry = make_entry(listener.socket.getsockname()[1])

        async def act(_directory, watcher, quarantine):
            await listener.accept()
            await listener.aclose()
            break_call(watcher, entry)
            while not quarantine.unpublished:
                await trio.sleep(0.001)

        assert await watch(entry, act) == 1

    run_test(main)


@pytest.mark.parametrize(("after_s", "crashes"), [(MAX_PENDING_S / 2, 1), (MAX_PENDING_S * 2, 0)])
def test_registration_that_ends_soon_after_broken_calls_shows_a_crash(after_s, crashes):
    """Guards against crashes behind a port that another process has taken over."""

    async def main():
        (listener,) = await trio.open_tcp_listeners(0, host=HOST)

        async def act(directory, watcher, _quarantine):
            await trio.sleep(after_s)
            watcher.update()
            directory.remove("e1")
            watcher.update()

        assert await watch(make_entry(listener.socket.getsockname()[1]), act) == crashes

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_check_that_starts_after_a_long_pause_does_nothing():
    """Guards against a gateway that ends when it goes on after a pause."""

    async def main():
        timer = FakeTimer()
        events = EventLog("g1", timer)
        directory = BackendDirectory(events, timer)
        quarantine = CallQuarantine("g1", events, timer)
        watcher = CrashWatcher(directory, quarantine, GatewayMetrics(), events, timer)
        entry = make_entry(choose_port())
        directory.apply(entry)
        break_call(watcher, entry)
        await trio.sleep(2 * MAX_PENDING_S)
        watcher.update()
        with trio.move_on_after(1.0):
            await watcher.run()
        assert not quarantine.unpublished

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_engine_that_leaves_as_announced_has_not_crashed():
    """Guards against planned stops that count as crashes under the last calls."""

    async def main():
        async def act(_directory, watcher, _quarantine):
            watcher.update()

        assert await watch(make_entry(choose_port(), leaving=True), act) == 0

    run_test(main)


def test_gateway_that_starts_later_refuses_a_deadly_part():
    """Guards against a gateway that sends deadly prompts until it has seen crashes itself."""

    async def crash(backend, stream, request):
        await stream.send_all(HEAD.format(request.call_id).encode() + chunk(event(1)[:4]))
        backend.crash()
        return False

    bodies = (b"%d" % number for number in itertools.count())

    async def ask(gateway):
        headers = ["Prefix-Hash: head:50,bad:50,own:50", "Token-Counts: 200,20", "Model: m"]
        return await gateway.call("/long/x", method="POST", body=next(bodies), headers=headers)

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            await fleet.start_gateway()
            for number in range(3):
                await fleet.add_backend(f"e{number}", crash, "lm", stage="decode")
            while not (await ask(fleet))[2].startswith(
                b'{"error": {"type": "server_error", "code": "deadly'
            ):
                pass
            later = await fleet.add_gateway("gateway-2")
            while (
                b"figwalk_quarantined_prompt_parts 1.0"
                not in (await fetch(later.metrics, b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"))[2]
            ):
                pass
            sound = await fleet.add_backend("e9", resetting, "lm", stage="decode")
            status, headers, _ = await ask(later)
            assert (status, sound.requests) == (503, [])
            assert float(headers["retry-after"]) > 1.0

    run_test(main)
