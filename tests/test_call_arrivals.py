"""Tests which arrivals of a call count as repeats."""

import pytest

from figwalk.coordination.call_arrivals import CallArrivals


@pytest.mark.parametrize(
    ("sent", "prefilled", "repeats"),
    [(0, False, 0), (1, False, 0), (1, True, 0), (2, True, 0), (2, False, 1), (4, True, 2)],
)
def test_first_arrival_and_first_accepted_prefill_are_no_repeats(sent, prefilled, repeats):
    """Guards against calls that are counted as repeats because their prompt was prefilled."""
    assert CallArrivals(sent=sent, prefilled=prefilled).repeats == repeats


@pytest.mark.parametrize(
    ("arrivals", "run_only", "with_prefill"),
    [
        (CallArrivals(), 0, 0),
        (CallArrivals(sent=1), 1, 1),
        (CallArrivals(sent=1, prefilled=True), 0, 1),
        (CallArrivals(sent=2, prefilled=True), 1, 2),
        (CallArrivals(sent=2, prefilled=True, charged=1), 0, 1),
    ],
)
def test_retry_is_charged_for_each_arrival_beyond_the_first(arrivals, run_only, with_prefill):
    """Guards against a prefill and a run of one retry that are charged as one arrival."""
    assert arrivals.retries_needed(with_prefill=False) == run_only
    assert arrivals.retries_needed(with_prefill=True) == with_prefill
