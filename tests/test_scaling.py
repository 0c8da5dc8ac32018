"""Tests of the orders of numbers of backend servers."""

import itertools

import pytest
import trio
from support.duty_fakes import deployed, make_scaled
from support.platform_fakes import answering, run_test, running_fleet

from figwalk.duties import server_need
from figwalk.duties.duty import CallOutcome, CallResult
from figwalk.duties.server_need import MIN_DOWN_S, ServerNeed
from figwalk.events import EventLog
from figwalk.state.gateway_settings import DutySettings, LeaseSettings
from figwalk.state.routing import Autoscaling
from figwalk.state.settings import Address
from figwalk.timer import Timer
from figwalk.transport import HttpServer
from standins.platform_config import make_config
from standins.platform_duties import PlatformDuties

WINDOW_S = 5.0
BOUNDS = Autoscaling(1, 4, 8.0)


def play(demands, *, bounds=BOUNDS, desired=1, slots=6):
    """Return the orders, as window and count, that a sequence of demands causes."""
    need = ServerNeed(bounds, slots)
    orders = []
    for window, demand in enumerate(demands):
        order = need.update(window * WINDOW_S, demand, desired)
        if order is not None:
            desired = order.count
            orders.append((window, desired))
    return orders


@pytest.mark.parametrize(
    ("demands", "orders"),
    [
        ([4.0] * 40, []),
        ([2, 2, 8, 8, 8, 8, 8], [(4, 2)]),
        ([2, 2, 20, 20, 20, 20, 20, 20, 20, 20], [(4, 2), (6, 4)]),
        ([2, 8, 2, 8, 2, 8] * 5, []),  # Waves shorter than it takes to boot.
        ([2, 9, 9, 2, 2, 9, 9, 2] * 4, []),
        ([1.0] * 10, []),
    ],
)
def test_servers_are_ordered_for_a_lasting_need_only(demands, orders):
    """Guards against orders that follow bursts, or that come too late to matter."""
    assert play(demands) == orders


def test_servers_are_given_up_one_by_one_after_a_long_time():
    """Guards against servers that are ordered and given up in turns, and against paid idleness."""
    orders = play([20.0] * 8 + [1.0] * 60)
    downs = [(window, count) for window, count in orders if window > 8]
    assert [count for _, count in downs] == [3, 2, 1]
    windows = [7] + [window for window, _ in downs]
    assert all(b - a >= MIN_DOWN_S / WINDOW_S for a, b in itertools.pairwise(windows))
    assert play([20.0] * 8 + [8.0] * 60)[-1][1] == 3


def test_numbers_stay_within_the_bounds_of_the_configuration():
    """Guards against orders beyond what the operator allows, after a change of the bounds too."""
    assert play([500.0] * 40, bounds=Autoscaling(1, 2, 1.0))[-1][1] == 2
    assert play([0.0] * 40, bounds=Autoscaling(2, 4, 1.0), desired=2) == []
    assert play([0.0] * 4, bounds=Autoscaling(2, 4, 1.0), desired=1) == [(2, 2)]


def set_demand(deployment, in_flight):
    """Have each gateway measure calls in flight from now on."""
    for gateway in deployment.gateways:
        gateway.meter.take()
        for _ in range(100):
            gateway.meter.sample({"s": in_flight})


async def keep_demand(deployment, in_flight, windows):
    """Keep a demand for some windows."""
    for _ in range(windows):
        set_demand(deployment, in_flight)
        await trio.sleep(WINDOW_S)


@deployed()
async def test_demand_of_all_gateways_counts_and_a_successor_keeps_the_orders(deployment):
    """Guards against orders by one gateway's view, and a successor that begins anew."""
    deployment.scaled = [make_scaled()]
    await keep_demand(deployment, 3, 8)
    orders = deployment.platform.orders
    assert [count for _, _, count in orders] == [2, 3]
    deployment.holder.scope.cancel()
    await keep_demand(deployment, 4, 8)
    assert [count for _, _, count in orders] == [2, 3, 3]  # The successor repeats it once.


@deployed()
async def test_an_order_that_is_carried_out_late_does_not_stay(deployment):
    """Guards against an unanswered order that replaces a newer one."""
    deployment.scaled = [make_scaled()]
    deployment.platform.late_orders = 1
    await keep_demand(deployment, 2, 12)
    orders = deployment.platform.orders
    assert [count for _, _, count in orders] == [2, 2, 2]
    assert orders[-1][0] - orders[-2][0] >= 5


@deployed()
async def test_no_order_is_sent_before_it_is_in_the_log(deployment):
    """Guards against orders that a successor does not know; `FakePlatform` checks each one."""
    deployment.scaled = [make_scaled()]

    async def delay_appends():
        while True:
            await trio.sleep(1.3)
            for gateway in deployment.gateways:
                gateway.logs[2].late_appends = 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(delay_appends)
        await keep_demand(deployment, 3, 14)
        nursery.cancel_scope.cancel()
    assert deployment.platform.orders[-1][-1] == 3


@deployed()
async def test_orders_wait_for_a_platform_that_refuses_them(deployment):
    """Guards against an order that is given up after a 429."""
    deployment.scaled = [make_scaled()]
    deployment.platform.status = CallOutcome(CallResult.REFUSED, "HTTP status 429")
    await keep_demand(deployment, 3, 8)
    deployment.platform.status = None
    await keep_demand(deployment, 3, 2)
    assert [count for _, _, count in deployment.platform.orders] == [3]


def test_a_process_orders_servers_end_to_end(monkeypatch):
    """Guards against parts that work alone and not together in a gateway process."""
    monkeypatch.setattr(server_need, "MIN_UP_S", 0.5)
    config = make_config()
    config["services"][0]["autoscaling"] = {"min": 2, "max": 3, "boot-s": 0.1}

    async def test():
        async with running_fleet() as fleet:
            platform = PlatformDuties(require_fencing=True)
            server = HttpServer(platform.answer, EventLog("platform", Timer()))
            port = await fleet.nursery.start(server.serve, "127.0.0.1", 0)
            fleet.publish(config)
            fleet.settings["lease"] = LeaseSettings(duration_ms=300)
            fleet.settings["duties"] = DutySettings(
                Address("127.0.0.1", port), ("scaling",), window_s=0.5, usage_late_s=1.0
            )
            await fleet.add_backend("b1", answering())
            await fleet.start_gateway()
            while len(platform.calls) < 3:
                await trio.sleep(0.05)
            zones = {call.content["zone"] for call in platform.calls}
            assert zones == {"a", "b", "c"}
            assert {call.content["desired-count"] for call in platform.calls} == {2}
            assert {call.status for call in platform.calls} == {200}

    run_test(test)
