"""Tests of the retry budget whose limit several processes share."""

from support.fake_timer import FakeTimer

from figwalk.coordination.windowed_retry_budget import WindowedRetryBudget
from figwalk.state.gateway_settings import RetrySettings

WINDOW_S = 10.0
RATIO = 0.2
SLACK = 58.0


def make_budget(timer, processes):
    settings = RetrySettings(ratio=RATIO, window_s=WINDOW_S, slack=SLACK)
    return WindowedRetryBudget(settings, timer, processes=lambda: processes, started_at=timer.now())


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
            while budget.try_retries():
                retries.append(timer.now())
    for end in range(101, 131):
        window = [t for t in retries if end - WINDOW_S < t <= end]
        seen = [t for t in requests if end - WINDOW_S < t <= end]
        assert len(window) <= RATIO * len(seen) + SLACK


def most_in_a_window(times):
    return max(sum(end - WINDOW_S < at <= end for at in times) for end in times)


def test_restarted_processes_do_not_get_their_share_again():
    """Guards against retries above the limit while processes are killed several times a window."""
    timer = FakeTimer()
    processes = 6
    retries = []
    requests_per_s = 10
    for _ in range(8):
        budgets = [make_budget(timer, processes) for _ in range(processes)]
        for _ in range(3 * requests_per_s):
            timer.advance(1 / requests_per_s)
            for budget in budgets:
                budget.record_first_attempt()
                while budget.try_retries():
                    retries.append(timer.now())
    requests_in_window = processes * requests_per_s * WINDOW_S
    assert most_in_a_window(retries) <= RATIO * requests_in_window + SLACK


def test_retries_that_arrive_late_and_together_stay_within_the_limit():
    """Guards against retries that a cut link delays until those of the next window are sent."""
    timer = FakeTimer()
    budget = make_budget(timer, 1)
    timer.advance(2 * WINDOW_S)
    arrivals = []
    cut_until = timer.now() + 1.5
    for _ in range(300):
        while budget.try_retries():
            arrivals.append(max(timer.now(), cut_until))
        timer.advance(0.1)
    assert 0 < most_in_a_window(arrivals) <= SLACK


def test_budget_recovers_after_the_window():
    """Guards against a process that never retries again once its budget was used up."""
    timer = FakeTimer()
    budget = make_budget(timer, 6)
    while budget.try_retries():
        pass
    timer.advance(WINDOW_S + 0.1)
    assert budget.try_retries()


def test_memory_stays_bounded_while_nothing_fails():
    """Guards against times of requests that are kept until the first retry."""
    timer = FakeTimer()
    budget = make_budget(timer, 1)
    for _ in range(1000):
        timer.advance(1.0)
        budget.record_first_attempt()
    assert len(budget._first_attempts) <= WINDOW_S + 1
