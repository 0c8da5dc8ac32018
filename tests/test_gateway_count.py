"""Tests of the number of gateways among which a common limit is divided."""

from support.fake_timer import FakeTimer
from support.platform_fakes import any_stage, run_test, running_fleet

from figwalk.coordination.gateway_count import SHARE_RETENTION_S, GatewayCount
from standins.platform_config import make_config


def test_gateways_beyond_the_settings_get_a_share():
    """Guards against shares that add up to more than the limit in a large deployment."""
    count = GatewayCount(24, FakeTimer())
    count.record(68)
    assert count.count == 68


def test_gateway_that_is_cut_off_keeps_its_share():
    """Guards against gateways that take the share of one which they can't see, but which sends."""
    timer = FakeTimer()
    count = GatewayCount(2, timer)
    count.record(6)
    for reported in (5, 0, 5):
        timer.advance(SHARE_RETENTION_S / 4)
        count.record(reported)
        assert count.count == 6
    timer.advance(SHARE_RETENTION_S)
    count.record(5)
    assert count.count == 5


def test_gateway_divides_the_slack_by_the_gateways_that_agents_report():
    """Guards against a budget that is divided by the settings' number although more run."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            await fleet.add_backend("engine", any_stage, "lm", stage="decode")
            await fleet.start_gateway()
            (engine,) = fleet.process._pool.engines()
            engine.apply_digest(
                up=True, backlog_tokens=0, tokens_per_s=1000, decoding=0, gateways=68
            )
            await fleet.process._upkeep()
            assert fleet.process._gateway_count.count == 68

    run_test(main)
