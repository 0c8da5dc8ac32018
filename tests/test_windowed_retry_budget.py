"""Tests of the retry budget whose limit several processes share."""

from support.fake_timer import FakeTimer

from figwalk.coordination.windowed_retry_budget import WindowedRetryBudget

WINDOW_S = 10.0
RATIO = 0.2
SLACK = 58.0


def make_budget(timer, processes):
    return WindowedRetryBudget(
        timer, window_s=WINDOW_S, ratio=RATIO, slack=SLACK, processes=processes
    )


def test_retries_of_all_processes_stay_within_the_bound_when_everything_fails():
    """Guards against retries that multiply an overload: the limit holds over all processes."""
    timer = FakeTimer()
    processes = 6
    budgets = [make_budget(timer, processes) for _ in range(processes)]
    retries = []
    requests = []
    for _ in range(3000):
        timer.advance(0.01)
        for budget in budgets:
            budget.record_first_attempt()
            requests.append(timer.now())
            while budget.try_retry():
                retries.append(timer.now())
    for end in range(101, 131):
        window = [t for t in retries if end - WINDOW_S < t <= end]
        seen = [t for t in requests if end - WINDOW_S < t <= end]
        assert len(window) <= RATIO * len(seen) + SLACK


def test_budget_recovers_after_the_window():
    """Guards against a process that never retries again once its budget was used up."""
    timer = FakeTimer()
    budget = make_budget(timer, 6)
    while budget.try_retry():
        pass
    timer.advance(WINDOW_S + 0.1)
    assert budget.try_retry()
