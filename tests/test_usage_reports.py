"""Tests that the gateways' usage counts become one correct report of each window."""

import attrs
import trio
from support.fake_log import FakeTimer
from support.fake_topics import FakeTopics, Topics
from support.mock_time import mock_time

from figwalk.duties.counts_reader import CountsReader
from figwalk.duties.duty import CallOutcome, CallResult, DutyClient
from figwalk.duties.lease_keeper import LeaseKeeper
from figwalk.duties.usage_counter import UsageCounter
from figwalk.duties.usage_duty import UsageDuty
from figwalk.duties.usage_publisher import UsagePublisher
from figwalk.duties.usage_records import UsageDecision
from figwalk.duties.window_clock import WindowClock
from figwalk.events import Event, EventLog
from figwalk.state.gateway_settings import DutySettings, LeaseSettings
from figwalk.state.settings import Address

SETTINGS = DutySettings(Address("127.0.0.1", 1), ("usage_report",))
LEASE = LeaseSettings()


class BootTimer(FakeTimer):
    """Timer whose clocks all follow trio's, with an error of the wall clock that a test sets."""

    wall_error_ms = 0

    def boot_now(self):
        """Return trio's time."""
        return trio.current_time()

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
        """Not used here."""
        raise NotImplementedError


@attrs.define(eq=False)
class Gateway:
    """One gateway's parts."""

    name: str
    logs: tuple
    timer: BootTimer
    clock: WindowClock
    counter: UsageCounter
    publisher: UsagePublisher
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

    def start(self, name):
        """Start a gateway."""
        timer = BootTimer()
        events = EventLog(name, timer)
        clock = WindowClock(timer, SETTINGS.window_s)
        counter = UsageCounter(clock, timer)
        logs = tuple(FakeTopics(self.topics) for _ in range(3))
        publisher = UsagePublisher(logs[0], "usage", counter, clock, events, SETTINGS, process=name)
        client = FakeClient(self.platform, name)
        reader = CountsReader(logs[1], "usage", clock, events)
        duty = UsageDuty(logs[1], "usage", reader, client, clock, events, SETTINGS)
        keeper = LeaseKeeper(
            logs[2],
            "duties",
            [duty],
            events,
            timer,
            holder=name,
            settings=LEASE,
            candidates=lambda: len(self.gateways),
            wall_ms=clock.now_ms,
        )
        gateway = Gateway(name, logs, timer, clock, counter, publisher, client, keeper, events)
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


@deployed(count=12)
async def test_counts_of_all_gateways_are_reported_once_and_in_time(deployment):
    """Guards against wrong sums, and against more calls to the store than the page allows."""
    window = await deployment.next_window()
    for gateway in deployment.gateways:
        gateway.count("small")
        gateway.count("large", 40)
    calls = sum(log.calls for g in deployment.gateways for log in g.logs)
    await deployment.reach(window + 6, 0.5)
    calls = sum(log.calls for g in deployment.gateways for log in g.logs) - calls
    assert deployment.platform.reports[window] == {"small": 12, "large": 480}
    assert all(deployment.in_time(k) for k in range(window, window + 4))
    assert len(deployment.platform.calls) == len(deployment.platform.reports)
    # A second: one renewal, three reads of candidates, 12 / 5 written counts and a few more.
    assert calls / 30 <= 1 + 3 + 12 / 5 + 2


@deployed()
async def test_a_killed_holder_is_replaced_and_its_decision_sent(deployment):
    """Guards against a decided report that nobody sends, or that is sent with other counts."""
    deployment.platform.status = CallOutcome(CallResult.REFUSED, "down")
    window = await deployment.next_window()
    deployment.gateways[0].count("a", 5)
    await deployment.reach(window + 2, 0.2)
    killed = deployment.holder
    killed.scope.cancel()
    deployment.platform.status = None
    # A record that arrives after the decision must not change the report.
    assert any(key.startswith("usage/") for key, _ in deployment.topics.records["duties"])
    await deployment.reach(window + 5, 0.0)
    assert deployment.platform.reports[window] == {"a": 5}
    assert {holder for _, holder, _, k in deployment.platform.calls if k == window} != {killed.name}


@deployed()
async def test_a_gateway_that_dies_with_counts_is_named(deployment):
    """Guards against guessed counts, and against reports that wait for a dead gateway."""
    window = await deployment.next_window()
    dead = deployment.others()[0]
    dead.count("a", 7)
    deployment.holder.count("a", 2)
    dead.scope.cancel()
    await deployment.reach(window + 4, 0.0)
    assert deployment.platform.reports[window] == {"a": 2}
    assert deployment.in_time(window)
    values = [v for k, v in deployment.topics.records["duties"] if k.startswith("usage/")]
    decisions = {d.window: d for d in map(UsageDecision.decode, values)}
    assert decisions[window].missing == [dead.name]


@deployed()
async def test_a_stopped_gateway_leaves_its_counts(deployment):
    """Guards against counts that a planned stop loses, also those of the window in progress."""
    window = await deployment.next_window()
    stopped = deployment.others()[0]
    stopped.count("a", 7)
    stopped.keeper.resign()
    await stopped.publisher.stop()
    stopped.scope.cancel()
    await deployment.reach(window + 3, 0.0)
    assert deployment.platform.reports[window] == {"a": 7}
    assert deployment.in_time(window)


@deployed()
async def test_a_holder_cut_off_from_the_store_stops_by_its_clock(deployment):
    """Guards against two holders that send at once, and a report that waits for the first one."""
    window = await deployment.next_window()
    cut = deployment.holder
    deployment.others()[0].count("a", 3)
    cut.count("b", 1)
    cut.cut()
    await trio.sleep(LEASE.duration_ms / 1000 + 0.1)
    assert not cut.holds
    cut_at = trio.current_time()
    await deployment.reach(window + 3, 0.0)
    assert all(holder != cut.name for at, holder, _, _ in deployment.platform.calls if at > cut_at)
    assert deployment.platform.reports[window] == {"a": 3}
    cut.cut(cut=False)
    await trio.sleep(10)
    assert any(g.has(Event.USAGE_COUNTS_LATE) for g in deployment.gateways)


@deployed()
async def test_lost_and_late_appends_don_t_double_or_change_reports(deployment):
    """Guards against a decision that is made twice because its append got no answer."""
    first = await deployment.next_window()
    for window in range(first, first + 8):
        await deployment.reach(window, 0.5)
        for gateway in deployment.gateways:
            gateway.count("a", window - first + 1)
            for log in gateway.logs:
                log.lost_answers, log.late_appends = window % 2, (window + 1) % 2
    await deployment.reach(first + 12, 0.0)
    for window in range(first, first + 8):
        assert deployment.platform.reports[window] == {"a": 3 * (window - first + 1)}


@deployed()
async def test_decisions_lost_by_a_restore_are_kept(deployment):
    """Guards against other counts for a reported window, and a token that falls."""
    window = await deployment.next_window()
    deployment.gateways[0].count("a", 5)
    await deployment.reach(window + 2, 0.5)
    fence = deployment.holder.keeper.fence()
    assert window in deployment.platform.reports
    deployment.topics.restore({"duties": 12, "usage": 6})
    await trio.sleep(0.1)
    killed = deployment.holder
    await trio.sleep(3)
    assert deployment.holder is killed
    assert killed.keeper.fence() > fence
    keys = [key for key, _ in deployment.topics.records["duties"]]
    assert f"usage/{window % 48}" in keys
    killed.scope.cancel()
    await deployment.reach(window + 8, 0.0)
    assert all(k in deployment.platform.reports for k in range(window, window + 5))


@deployed()
async def test_a_successor_after_a_restore_decides_only_with_all_counts(deployment):
    """Guards against a second decision with fewer counts when the store lost the first one."""
    window = await deployment.next_window()
    for gateway in deployment.gateways:
        gateway.count("a", 5)
    # The holder dies just after it has sent the report, and nobody has read its decision.
    while window not in deployment.platform.reports:
        await trio.sleep(0.05)
    deployment.holder.scope.cancel()
    late = next(g for g in deployment.gateways if not g.scope.cancel_called)
    late.logs[0].cut = True
    deployment.topics.restore({"duties": 15, "usage": 3})
    await trio.sleep(15)
    late.logs[0].cut = False
    await trio.sleep(15)
    assert deployment.platform.reports[window] == {"a": 15}


@deployed()
async def test_reports_are_sent_when_the_platform_is_back(deployment):
    """Guards against reports that are given up while the platform is down or refuses calls."""
    for status in (
        CallOutcome(CallResult.UNKNOWN, "no answer"),
        CallOutcome(CallResult.REFUSED, "HTTP status 429", retry_after_s=10**6),
    ):
        window = await deployment.next_window()
        deployment.gateways[0].count("a", 5)
        deployment.platform.status = status
        await deployment.reach(window + 4, 0.0)
        deployment.platform.status = None
        deployment.platform.lost_answers = 1
        await trio.sleep(8)
        assert deployment.platform.reports[window] == {"a": 5}


@deployed()
async def test_a_refused_holder_does_not_use_its_token_again(deployment):
    """Guards against a former holder that goes on with a token that is known to be too low."""
    await deployment.next_window()
    deployment.platform.status = CallOutcome(CallResult.FENCED, "HTTP status 409")
    calls = len(deployment.platform.calls)
    while len(deployment.platform.calls) == calls:
        await trio.sleep(0.05)
    _, _, fence, _ = deployment.platform.calls[-1]
    deployment.platform.status = None
    await trio.sleep(15)
    later = deployment.platform.calls[calls + 1 :]
    assert later and all(used > fence for _, _, used, _ in later)


@deployed()
async def test_jumps_of_the_wall_clock_change_no_window(deployment):
    """Guards against calls that count in the wrong window while the wall clock is off."""
    await trio.sleep(30)
    window = await deployment.next_window()
    for gateway in deployment.gateways:
        gateway.timer.wall_error_ms = 4000
    await trio.sleep(2)
    deployment.gateways[0].count("a", 5)
    await deployment.reach(window + 3, 0.0)
    assert deployment.platform.reports[window] == {"a": 5}


@deployed()
async def test_windows_of_an_outage_are_reported_with_all_counts(deployment):
    """Guards against counts that are dropped while the store is away for several windows."""
    first = await deployment.next_window()
    deployment.topics.down = True
    for window in range(first, first + 12):
        await deployment.reach(window, 0.5)
        for gateway in deployment.gateways:
            gateway.count("a", 2)
    deployment.topics.down = False
    await deployment.reach(first + 16, 0.0)
    for window in range(first, first + 12):
        assert deployment.platform.reports[window] == {"a": 6}


@deployed()
async def test_a_restart_keeps_the_counts_of_the_former_process(deployment):
    """Guards against a restarted gateway that overwrites what it counted before."""
    window = await deployment.next_window()
    former = deployment.holder
    former.count("a", 4)
    await former.publisher.stop()
    former.scope.cancel()
    await deployment.reach(window, 0.8)
    deployment.start(former.name).count("a", 1)
    await deployment.reach(window + 4, 0.0)
    assert deployment.platform.reports[window] == {"a": 5}


@deployed()
async def test_a_holder_cut_off_from_the_platform_lets_others_try(deployment):
    """Guards against reports that wait for a holder that reaches the store alone."""
    window = await deployment.next_window()
    deployment.gateways[0].count("a", 5)
    cut = deployment.holder
    cut.client.cut = True
    await deployment.reach(window + 5, 0.0)
    assert deployment.platform.reports[window] == {"a": 5}
    assert deployment.holder is not cut
