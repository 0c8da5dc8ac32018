"""Repeats of calls, and shares among organisations at plain services."""

import random

import pytest
from support.fake_timer import FakeTimer
from support.platform_fakes import answering, refusing, run_test, running_fleet

from figwalk.coordination.backend_tracker import BackendTracker, ReportedLoad
from figwalk.errors import RefusalError
from figwalk.events import Event, EventLog
from figwalk.fairness.call_repeats import MAX_CALLS, REPEAT_MEMORY_S, CallKey, CallRepeats
from figwalk.fairness.fair_share import ShareRequest, TryKind
from figwalk.fairness.plain_shares import PlainShares
from figwalk.pacing.service_pacing import ServicePacing
from figwalk.state.backend_directory import BackendEntry
from figwalk.state.settings import Address
from standins.platform_config import make_config, make_organisation

KEY = CallKey("acme", "d1")
WORK_S = 0.09
TARGET_S = 0.415
SLOTS = 6


def test_repeats_before_and_at_the_time_told():
    """Guards against three repeats at once that count as first tries, or as in time."""
    timer = FakeTimer()
    repeats = CallRepeats(timer)
    kinds = [repeats.record_seen(KEY), repeats.record_seen(KEY)]
    repeats.record_refused(KEY, 0.5)
    kinds.append(repeats.record_seen(KEY))
    timer.advance(0.5)
    kinds += [repeats.record_seen(KEY), repeats.record_seen(KEY)]
    first, early, due = TryKind
    assert kinds == [first, early, early, due, early]


def test_calls_that_are_no_repeats():
    """Guards against new calls that yield as repeats: other ones, answered or seen long ago."""
    timer = FakeTimer()
    repeats = CallRepeats(timer)
    repeats.record_seen(KEY)
    assert repeats.record_seen(CallKey("other", "d1")) is TryKind.FIRST
    repeats.record_answered(KEY)
    assert repeats.record_seen(KEY) is TryKind.FIRST
    timer.advance(REPEAT_MEMORY_S + 0.1)
    assert repeats.record_seen(KEY) is TryKind.FIRST
    for number in range(MAX_CALLS):
        repeats.record_seen(CallKey("acme", str(number)))
    assert repeats.record_seen(KEY) is TryKind.FIRST


class Service:
    """A plain service with two backend servers, as one gateway sees it."""

    def __init__(self):
        self.timer = FakeTimer()
        self.shares = PlainShares(self.timer, random.Random(1))
        events = EventLog("test", self.timer)
        pacing = ServicePacing.create(events, self.timer, random.Random(1))
        self.trackers = []
        for name in ("b1", "b2"):
            entry = BackendEntry(name, "x", Address("h", 1), "a", SLOTS, False, 1, 1)
            self.trackers.append(BackendTracker(entry, self.timer, events, pacing=pacing))
            for _ in range(20):
                pacing.speeds.record(name, "x", WORK_S)

    def report(self, *waits_s):
        """Let each backend server report calls that wait for about this long."""
        for tracker, wait_s in zip(self.trackers, waits_s, strict=True):
            waiting = round(wait_s / WORK_S * SLOTS)
            tracker.record_answer(object(), ReportedLoad(SLOTS * (wait_s > 0), waiting, SLOTS))

    def is_admitted(self, organisation):
        """Return whether a call of an organisation is sent."""
        try:
            self.shares.check("x", ShareRequest(organisation), self.trackers, TARGET_S)
        except RefusalError as error:
            assert error.outcome.value == "not_run"
            assert 0 < error.retry_after_ms < 1000
            return False
        return True


def press(service):
    """Let a large and a small organisation call while the backend servers are full."""
    service.shares.record_full("x")
    for organisation in [1] * 40 + [2]:
        service.is_admitted(organisation)


def test_long_queue_is_left_to_small_organisations():
    """Guards against a large organisation's burst that makes all wait, and against idle servers."""
    service = Service()
    service.report(0.3, 0.3)
    press(service)
    assert not service.is_admitted(1)
    assert service.is_admitted(2)
    assert service.is_admitted(0)
    service.report(0.3, 0.0)  # One backend server has free slots.
    assert service.is_admitted(1)
    service.report(0.3, 0.3)
    service.timer.advance(0.1)
    assert not service.is_admitted(1)
    service.timer.advance(2.0)  # The pressure is over.
    assert service.is_admitted(1)


def test_without_pressure_nothing_is_refused():
    """Guards against refusals of an organisation that calls alone, or while queues are short."""
    service = Service()
    service.report(0.05, 0.05)
    assert all(service.is_admitted(1) for _ in range(100))


@pytest.mark.parametrize("answers", [True, False])
def test_repeats_are_recognised_at_the_gateway(answers):
    """Guards against repeats of refused calls that count as first tries, and the reverse."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config(tenants=[make_organisation("acme", "k-one")]))
            await fleet.add_backend("b1", answering() if answers else refusing)
            await fleet.start_gateway()
            for number in range(2):
                await fleet.call("/check/x", key="k-one", call_id=f"c{number}")
            wanted = Event.CALL_ANSWERED if answers else Event.REQUEST_REFUSED
            records = fleet.process._events.select()
            tried = [r.fields["tried"] for r in records if r.name == wanted.name]
            assert tried[0] == "FIRST"
            # A slow machine may send the second call at the time that the first one was told.
            assert tried[1] in (["FIRST"] if answers else ["EARLY_REPEAT", "DUE_REPEAT"])

    run_test(main)
