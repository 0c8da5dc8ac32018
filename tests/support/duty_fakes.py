"""Several gateways' duties on a mock clock, with one store and one platform."""

import json

import attrs
import trio

from figwalk.duties.counts_reader import CountsReader
from figwalk.duties.demand_meter import DemandMeter
from figwalk.duties.duty import CallOutcome, CallResult, DutyClient
from figwalk.duties.lease_keeper import LeaseKeeper
from figwalk.duties.scaling_duty import ScaledService, ScalingDuty
from figwalk.duties.usage_counter import UsageCounter
from figwalk.duties.usage_duty import UsageDuty
from figwalk.duties.usage_publisher import UsagePublisher
from figwalk.duties.usage_records import UsageDecision
from figwalk.duties.window_clock import WindowClock
from figwalk.events import EventLog
from figwalk.state.gateway_settings import DutySettings, LeaseSettings
from figwalk.state.routing import Autoscaling
from figwalk.state.settings import Address
from support.fake_log import FakeTimer
from support.fake_topics import FakeTopics, Topics
from support.mock_time import mock_time

SETTINGS = DutySettings(Address("127.0.0.1", 1), ("usage_report",))
LEASE = LeaseSettings()
BOUNDS = Autoscaling(1, 4, 8.0)


class BootTimer(FakeTimer):
    """Timer whose clocks all follow trio's, with differences that a test sets."""

    wall_error_ms = 0
    suspended_s = 0.0

    def boot_now(self):
        """Return trio's time and the time for which the VM was suspended."""
        return trio.current_time() + self.suspended_s

    def wall_ms(self):
        """Return the wall clock, which may be wrong."""
        return super().wall_ms() + self.wall_error_ms


class FakePlatform:
    """Takes reports as the platform does, and checks them."""

    def __init__(self, topics):
        self.topics = topics
        self.reports = {}
        self.sent_at = {}
        self.calls = []
        self.status = None
        self.highest = 0
        self.lost_answers = 0
        self.orders = []
        self.highest_of = {}
        self.late_orders = 0

    def take(self, holder, fence, window, counts):
        """Carry out a call; return its outcome."""
        self.calls.append((trio.current_time(), holder, fence, window))
        if self.status is not None:
            return self.status
        assert fence >= self.highest, "a lower fencing token after a higher one"
        self.highest = fence
        if self.topics.era == 1:
            values = [v for k, v in self.topics.records["duties"] if k.startswith("usage/")]
            assert window in [UsageDecision.decode(v).window for v in values], "not in the log"
        assert self.reports.setdefault(window, counts) == counts, "a window with other counts"
        self.sent_at.setdefault(window, trio.current_time())
        if self.lost_answers:
            self.lost_answers -= 1
            return CallOutcome(CallResult.UNKNOWN)
        return CallOutcome(CallResult.DONE)

    def take_order(self, place, fence, count):
        """Carry out an order; return its outcome."""
        if self.status is not None:
            return self.status
        assert fence >= self.highest_of.get(place, 0), "a lower fencing token"
        self.highest_of[place] = fence
        values = [
            v for k, v in self.topics.records["duties"] if k == f"scale/{place[0]}/{place[1]}"
        ]
        assert json.loads(values[-1])["count"] == count, "not in the log"
        if self.late_orders:
            self.late_orders -= 1
            trio.lowlevel.spawn_system_task(self._take_late, place, count)
            return CallOutcome(CallResult.UNKNOWN)
        self.orders.append((trio.current_time(), place, count))
        return CallOutcome(CallResult.DONE)

    async def _take_late(self, place, count):
        await trio.sleep(3)
        self.orders.append((trio.current_time(), place, count))


class FakeClient(DutyClient):
    """One process's way to the platform."""

    def __init__(self, platform, holder):
        self.platform = platform
        self.holder = holder
        self.cut = False

    async def report_usage(self, window, counts, authority):
        """Send a report."""
        fence = authority.fence()
        await trio.sleep(1 if self.cut else 0.004)
        if self.cut:
            return CallOutcome(CallResult.UNKNOWN, "no answer in time")
        if fence is None:
            return CallOutcome(CallResult.REFUSED)
        return self.platform.take(self.holder, fence, window, dict(counts))

    async def order_servers(self, service, zone, count, authority):
        """Send an order."""
        fence = authority.fence()
        await trio.sleep(0.004)
        if fence is None:
            return CallOutcome(CallResult.REFUSED)
        return self.platform.take_order((service, zone), fence, count)


@attrs.define(eq=False)
class Gateway:
    """One gateway's parts."""

    name: str
    logs: tuple
    timer: BootTimer
    clock: WindowClock
    counter: UsageCounter
    publisher: UsagePublisher
    meter: DemandMeter
    client: FakeClient
    keeper: LeaseKeeper
    events: EventLog
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    @property
    def holds(self):
        """Whether it holds the lease."""
        return self.keeper.fence() is not None

    def count(self, organisation, calls=1):
        """Count calls that begin now."""
        for _ in range(calls):
            start = self.counter.open(organisation, "s", None, is_stream=True)
            self.counter.record_first_event(start)

    def cut(self, *, cut=True):
        """Cut the gateway off from the store."""
        for log in self.logs:
            log.cut = cut

    def has(self, event):
        """Return whether an event was logged."""
        return any(record.name == event.name for record in self.events.select())

    async def run(self):
        """Run until killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.publisher.run)
                nursery.start_soon(self.keeper.run)


class Deployment:
    """Gateways with one store and one platform."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.topics = Topics()
        self.platform = FakePlatform(self.topics)
        self.gateways = []
        self.scaled = []

    def start(self, name):
        """Start a gateway."""
        timer = BootTimer()
        events = EventLog(name, timer)
        clock = WindowClock(timer, SETTINGS.window_s)
        counter = UsageCounter(clock, timer)
        logs = tuple(FakeTopics(self.topics) for _ in range(3))
        meter = DemandMeter()
        publisher = UsagePublisher(
            logs[0],
            "usage",
            counter,
            clock,
            events,
            SETTINGS,
            process=name,
            zone="a",
            meter=meter,
        )
        client = FakeClient(self.platform, name)
        reader = CountsReader(logs[1], "usage", clock, events)
        duty = UsageDuty(logs[1], "usage", reader, client, clock, events, SETTINGS)
        scaling = ScalingDuty(lambda: self.scaled, reader, client, clock, events, SETTINGS)
        keeper = LeaseKeeper(
            logs[2],
            "duties",
            [duty, scaling],
            events,
            timer,
            holder=name,
            settings=LEASE,
            candidates=lambda: len(self.gateways),
            wall_ms=clock.now_ms,
        )
        gateway = Gateway(
            name, logs, timer, clock, counter, publisher, meter, client, keeper, events
        )
        self.gateways.append(gateway)
        self.nursery.start_soon(gateway.run)
        return gateway

    @property
    def holder(self):
        """The gateway that holds the lease."""
        return next(g for g in self.gateways if g.holds)

    def others(self):
        """Return the gateways that don't hold the lease."""
        return [g for g in self.gateways if not g.holds]

    async def reach(self, window, share):
        """Wait until a share of a window has passed; 1.0 is its end."""
        clock = self.gateways[0].clock
        start = clock.end_of(window) - SETTINGS.window_s
        await trio.sleep(max(0.0, start + share * SETTINGS.window_s - clock.now()))

    async def next_window(self):
        """Wait for the middle of the next window and return its number."""
        clock = self.gateways[0].clock
        window = clock.window_at(clock.now()) + 1
        await self.reach(window, 0.5)
        return window

    def in_time(self, window):
        """Return whether the report of a window was taken before it was late."""
        clock = self.gateways[0].clock
        due = clock.end_of(window) + SETTINGS.usage_late_s - clock.now() + trio.current_time()
        return window in self.platform.sent_at and self.platform.sent_at[window] <= due


def deployed(count=3):
    """Run a test with some gateways, one of which holds the lease."""

    def decorate(test):
        async def main():
            async with trio.open_nursery() as nursery:
                deployment = Deployment(nursery)
                for number in range(count):
                    deployment.start(f"g{number}")
                await trio.sleep(10)
                await test(deployment)
                nursery.cancel_scope.cancel()

        def run():
            mock_time(main)()

        run.__name__ = test.__name__
        run.__doc__ = test.__doc__
        return run

    return decorate


def make_scaled(present=1, *, slots=6, bounds=BOUNDS):
    """Return a service with autoscaling in zone a."""
    return ScaledService("s", "a", bounds, slots, present)
