from figwalk.coordination.retry_budget import RetryBudget
from tests.policy_fakes import ManualTimer


def count_retries(budget, attempts):
    return sum(budget.try_retry() for _ in range(attempts))


def test_retries_are_limited_to_the_ratio_when_every_attempt_fails():
    """Guards against a retry storm on an overloaded fleet."""
    budget = RetryBudget(ManualTimer(), ratio=0.1)
    retries = 0
    for _ in range(1000):
        budget.record_first_attempt()
        retries += count_retries(budget, 3)
    assert 98 <= retries <= 103


def test_idle_entry_can_retry_but_accumulates_only_up_to_the_floor():
    """Guards against a single request without a retry, and a burst of retries after idle hours."""
    timer = ManualTimer()
    budget = RetryBudget(timer, ratio=0.1)
    assert count_retries(budget, 10) == 2
    timer.time += 10
    assert count_retries(budget, 10) == 1
    timer.time += 36_000
    assert count_retries(budget, 10) == 2


def test_accumulated_retries_are_bounded():
    """Guards against a burst of retries after a long time without failures."""
    budget = RetryBudget(ManualTimer(), ratio=1.0)
    for _ in range(1000):
        budget.record_first_attempt()
    assert count_retries(budget, 1000) == 50


def test_ratio_zero_forbids_retries():
    """Guards against retries from the floor although the preset forbids them."""
    budget = RetryBudget(ManualTimer())
    budget.set_ratio(0.0)
    assert not budget.try_retry()
