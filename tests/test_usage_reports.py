"""Tests that the gateways' usage counts become one correct report of each window."""

import trio
from support.duty_fakes import LEASE, deployed

from figwalk.duties.duty import CallOutcome, CallResult
from figwalk.duties.usage_records import UsageDecision
from figwalk.events import Event


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
    """Guards against counts that are lost or guessed, and reports that wait for a dead gateway."""
    window = await deployment.next_window()
    dead = deployment.others()[0]
    dead.count("a", 7)
    deployment.holder.count("a", 2)
    await deployment.reach(window, 0.9)  # After it has written the window before.
    dead.count("a", 3)
    dead.scope.cancel()
    await deployment.reach(window + 4, 0.0)
    assert deployment.platform.reports[window] == {"a": 9}
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
async def test_a_suspended_holder_has_lost_the_lease_when_it_goes_on(deployment):
    """Guards against a lease by a clock that does not count the suspension of a VM."""
    window = await deployment.next_window()
    suspended = deployment.holder
    calls = len(deployment.platform.calls)
    fence = suspended.keeper.fence()
    suspended.timer.suspended_s = LEASE.duration_ms / 1000
    assert suspended.keeper.fence() is None
    await deployment.reach(window + 4, 0.0)
    assert window in deployment.platform.reports
    assert fence not in [used for _, _, used, _ in deployment.platform.calls[calls:]]


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
