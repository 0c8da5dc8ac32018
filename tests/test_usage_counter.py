"""Tests which attempts at backend servers count as usage, and in which window."""

import json

import attrs
import pytest
import trio
from support.fake_timer import FakeTimer
from support.platform_fakes import (
    answering,
    any_stage,
    hanging,
    refusing,
    render,
    resetting,
    run_test,
    running_fleet,
    streaming,
)

from figwalk.coordination.backend_tracker import AttemptOutcome, BackendTracker, ReportedLoad
from figwalk.duties.usage_counter import UsageCounter
from figwalk.duties.window_clock import WindowClock
from figwalk.events import EventLog
from figwalk.gateway import process as gateway_process
from figwalk.platform import USAGE_TOPIC
from figwalk.state.backend_directory import BackendEntry
from figwalk.state.gateway_settings import DutySettings, LeaseSettings
from figwalk.state.settings import Address
from figwalk.transport import HttpServer
from standins.platform_config import make_config
from standins.platform_duties import PlatformDuties

ENTRY = BackendEntry("b1", "s", Address("127.0.0.1", 1), "a", 1, False, 1, 1)
WORK_S = 0.1


class Bench:
    """A counter, one backend server with one slot, and the time."""

    def __init__(self):
        self.timer = FakeTimer()
        clock = WindowClock(self.timer, 5.0, wall_ms=lambda: int(self.timer.now() * 1000))
        self.counter = UsageCounter(clock, self.timer)
        self.tracker = BackendTracker(ENTRY, self.timer, EventLog("g", self.timer))
        for _ in range(10):
            self.call(AttemptOutcome.ANSWERED, WORK_S)
        self.counter.freeze(20)
        self.timer.time = 105.0

    def call(self, outcome, took_s, *, is_stream=False, has_head=None, load=None):
        """Make one attempt."""
        key = object()
        answered = outcome is AttemptOutcome.ANSWERED
        start = self.counter.open("o", "s", self.tracker, is_stream=is_stream)
        self.tracker.start(key)
        self.counter.record_sent(start)
        self.timer.advance(took_s)
        if answered or has_head:
            self.tracker.record_answer(key, load)
        if answered:
            self.counter.record_answered(start)
        self.tracker.finish(key, outcome)
        self.counter.record_ended(
            start, outcome, has_head=answered if has_head is None else has_head
        )

    def counts(self):
        """Return the counted calls of each window since the start."""
        return {k: sum(v.values()) for k, v in self.counter.freeze(10**6).items()}


@pytest.mark.parametrize(
    ("outcome", "took_s", "is_stream", "has_head", "is_alive", "counted"),
    [
        (AttemptOutcome.BROKEN, WORK_S, False, False, True, True),  # The answer was lost.
        (AttemptOutcome.BROKEN, WORK_S, False, False, False, True),  # The server crashed.
        (AttemptOutcome.BROKEN, 0.001, False, False, True, False),  # A closed connection.
        (AttemptOutcome.BROKEN, WORK_S, False, True, True, True),  # The answer was spoiled.
        (AttemptOutcome.FAILED, WORK_S, False, True, True, True),
        (AttemptOutcome.REFUSED, WORK_S, False, True, True, False),
        (AttemptOutcome.UNREACHABLE, WORK_S, False, False, True, False),
        (AttemptOutcome.SILENT, 1.0, False, False, True, True),
        (AttemptOutcome.SILENT, 1.0, False, False, False, False),  # The machine was cut off.
        (AttemptOutcome.CANCELLED, 0.01, False, False, True, True),  # The caller left.
        (AttemptOutcome.CANCELLED, 0.3, True, False, True, False),  # No event had come.
        (AttemptOutcome.BROKEN, 0.3, True, False, True, True),
        (AttemptOutcome.BROKEN, 0.3, True, False, False, False),  # The engine crashed.
        (AttemptOutcome.CANCELLED, 0.3, True, True, True, True),
    ],
)
def test_attempts_without_an_answer_count_if_they_began(
    outcome, took_s, is_stream, has_head, is_alive, counted
):
    """Guards against counts that leave out what ran without an answer, or include what did not."""
    bench = Bench()
    bench.call(outcome, took_s, is_stream=is_stream, has_head=has_head)
    if is_alive:
        bench.timer.advance(0.1)
        bench.tracker.record_answer(object(), None)
    assert sum(bench.counts().values()) == int(counted)


def test_a_renewed_registration_shows_that_a_server_ran_on():
    """Guards against lost calls of gateways that seldom call a backend server."""
    bench = Bench()
    bench.call(AttemptOutcome.SILENT, 1.0)
    bench.tracker.update(attrs.evolve(ENTRY, sequence=3))
    assert sum(bench.counts().values()) == 1


def test_a_call_that_waited_counts_when_its_work_began():
    """Guards against calls in a queue at a window's end that count in the wrong window."""
    bench = Bench()
    bench.timer.time = 109.8
    bench.call(AttemptOutcome.ANSWERED, 0.5)
    bench.timer.time = 114.8
    bench.call(AttemptOutcome.ANSWERED, 0.25, load=ReportedLoad(1, 0, 1, slowdown=2.5))
    assert bench.counts() == {22: 2}


def test_a_caller_that_leaves_the_queue_did_not_run():
    """Guards against counting calls that a full backend server dropped from its queue."""
    bench = Bench()
    bench.tracker.record_answer(object(), ReportedLoad(1, 20, 1))
    bench.call(AttemptOutcome.CANCELLED, 0.05)
    bench.tracker.record_answer(object(), None)
    assert bench.counts() == {}


def count_in_gateway(monkeypatch, scripts, calls, *, service="orders", **fields):
    """Return the counts that a gateway has written at its stop after some calls."""
    monkeypatch.setattr(gateway_process, "BALANCER_NOTICE_S", 0.05)
    written = {}

    async def test():
        async with running_fleet() as fleet:
            fleet.publish(make_config(tenants=TENANTS))
            fleet.settings["duties"] = DutySettings(Address("127.0.0.1", 1), ("usage_report",))
            for number, script in enumerate(scripts):
                await fleet.add_backend(f"b{number}", script, service=service, **fields)
            await fleet.start_gateway()
            for path, options in calls:
                headers = (*options.get("headers", ()), KEY_HEADER)
                await fleet.call(path, **options | {"headers": headers})
            await fleet.process.stop()
            # Written before the process ends.
            (value,) = fleet.store._topic(USAGE_TOPIC).newest().values()
            for counts in json.loads(value[1])["windows"].values():
                for name, count in counts.items():
                    written[name] = written.get(name, 0) + count

    run_test(test)
    return written


async def failing_once(backend, stream, request):
    """Script whose first answer is a failure."""
    status = 500 if len(backend.requests) == 1 else 200
    await stream.send_all(render(request, b"", status=status))
    return True


TENANTS = [{"name": "small", "api-keys": ["k1"]}]
KEY_HEADER = "X-Api-Key: k1"
POST = {"method": "POST", "body": b"1"}
PROMPT = {"headers": ("Prefix-Hash: aa:6000", "Token-Counts: 6000,2", "Model: m"), "method": "POST"}


@pytest.mark.parametrize(
    ("scripts", "calls", "expected"),
    [
        ([answering()], [("/order/1", POST), ("/check/1", {})], {"small": 2}),
        ([refusing], [("/order/1", POST)], {}),
        ([failing_once, failing_once], [("/check/1", {})], {"small": 2}),
        ([answering(signed=False)], [("/order/1", POST)], {"small": 1}),
        ([answering(call_id="other")], [("/order/1", POST | {"deadline_ms": 300})], {"small": 1}),
        ([resetting], [("/order/1", POST)], {"small": 1}),
        ([hanging], [("/order/1", POST | {"deadline_ms": 300})], {}),
    ],
)
def test_a_gateway_counts_what_backend_servers_began(monkeypatch, scripts, calls, expected):
    """Guards against attempts that the gateway's parts don't report, or report twice."""
    assert count_in_gateway(monkeypatch, scripts, calls) == expected


def test_prefills_and_streams_count_once(monkeypatch):
    """Guards against prefills that count, and streams that count before their first event."""
    calls = [("/chat/1", PROMPT), ("/chat/2", PROMPT)]
    for scripts in ([any_stage], [streaming(2)]):
        counts = count_in_gateway(monkeypatch, scripts, calls, service="lm", stage="decode")
        assert counts == {"small": 2}


def test_a_process_reports_usage_end_to_end():
    """Guards against parts that work alone and not together in a gateway process."""

    async def test():
        async with running_fleet() as fleet:
            platform = PlatformDuties(require_fencing=True)
            server = HttpServer(platform.answer, EventLog("platform", FakeTimer()))
            port = await fleet.nursery.start(server.serve, "127.0.0.1", 0)
            fleet.publish(make_config(tenants=TENANTS))
            fleet.settings["lease"] = LeaseSettings(duration_ms=300)
            fleet.settings["duties"] = DutySettings(
                Address("127.0.0.1", port), ("usage_report",), window_s=0.5, usage_late_s=1.0
            )
            await fleet.add_backend("b1", answering())
            await fleet.start_gateway()
            for number in range(5):
                await fleet.call(f"/order/{number}", headers=(KEY_HEADER,), **POST)
            while sum(r.get("small", 0) for r in platform.reports().values()) < 5:
                await trio.sleep(0.05)
            assert {call.holder for call in platform.calls} == {"gateway-1"}

    run_test(test)
