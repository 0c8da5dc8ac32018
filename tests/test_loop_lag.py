"""Tests of the measured lag of a process."""

from figwalk.coordination.loop_lag import LoopLag


def test_lag_rises_at_once_and_decays_quickly():
    """Guards against a busy gateway that admits calls it will answer late.

    Also guards against an idle gateway that still refuses calls.
    """
    lag = LoopLag()
    lag.record(0.2)
    assert lag.lag_s == 0.2
    for _ in range(10):
        lag.record(0.0)
    assert lag.lag_s < 0.01
