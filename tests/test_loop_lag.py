"""Tests of the measure of a process's own lag."""

from figwalk.coordination.loop_lag import LoopLag


def test_lag_rises_at_once_and_falls_soon():
    """Guards against a busy gateway that promises answers in time, or an idle one that refuses."""
    lag = LoopLag()
    lag.note(0.2)
    assert lag.lag_s == 0.2
    for _ in range(10):
        lag.note(0.0)
    assert lag.lag_s < 0.01
