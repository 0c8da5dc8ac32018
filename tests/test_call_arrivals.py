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
