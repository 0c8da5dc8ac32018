"""Tests of the retry budget whose limit several processes share."""

import random
from bisect import bisect_right

import pytest
from support.fake_timer import FakeTimer

from figwalk.coordination.gateway_count import GatewayCount
from figwalk.coordination.windowed_retry_budget import MAX_ARRIVAL_DELAY_S, WindowedRetryBudget
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


def test_process_that_used_its_ratio_at_once_does_not_get_it_again_by_a_restart():
    """Guards against twice the ratio in a window that begins just before a restart."""
    timer = FakeTimer()
    requests_per_s = 600
    retries = []

    def take_requests(budget, seconds, *, retrying):
        for _ in range(int(seconds * requests_per_s)):
            timer.advance(1 / requests_per_s)
            budget.record_first_attempt()
            while retrying and budget.try_retries():
                retries.append(timer.now())

    budget = make_budget(timer, 1)
    take_requests(budget, 2 * WINDOW_S, retrying=False)
    take_requests(budget, 0.1, retrying=True)
    take_requests(make_budget(timer, 1), 0.98 * WINDOW_S, retrying=True)
    assert most_in_a_window(retries) <= RATIO * requests_per_s * WINDOW_S + SLACK


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


class SimulatedGateway:
    """A gateway that retries whenever it may, and is killed, frozen, cut off and slowed down."""

    def __init__(self, timer, settings, count, seed, events):
        self.events = events
        self.timer = timer
        self.settings = settings
        self.count = count
        self.rng = random.Random(seed)
        self.frozen_until = 0.0
        self.cut_until = 0.0
        self.waiting_requests = 0
        self.requests_per_s = self.rng.choice([0.5, 5.0, 20.0])
        self.start()

    def start(self):
        """Start anew, without any memory."""
        self.budget = WindowedRetryBudget(
            self.settings,
            self.timer,
            processes=lambda: self.count.count,
            started_at=self.timer.now(),
        )

    def disturb(self):
        """Let a random disturbance begin, now and then."""
        now = self.timer.now()
        event = self.rng.choice(self.events)
        if event == "kill":
            self.start()
        elif event == "freeze":
            self.frozen_until = now + self.rng.uniform(0.5, 5.0)
        elif event == "cut":
            self.cut_until = now + self.rng.uniform(0.2, MAX_ARRIVAL_DELAY_S)
        else:
            self.requests_per_s = 40.0 if event == "burst" else 0.5

    def step(self, seconds):
        """Take requests and all allowed retries; return when they were sent and arrive."""
        now = self.timer.now()
        requests = int(self.requests_per_s * seconds + self.rng.random())
        self.waiting_requests += requests
        if now < self.frozen_until:
            return [now] * requests, []
        for _ in range(self.waiting_requests):
            self.budget.record_first_attempt()
        self.waiting_requests = 0
        arrivals = []
        while self.budget.left:
            count = min(self.rng.choice([1, 2]), self.budget.left)
            assert self.budget.try_retries(count)
            # Some arrive at once, others when the cut ends.
            arrivals += [max(now, self.cut_until)] * count
        return [now] * requests, arrivals


def count_in(times, start, end):
    return bisect_right(times, end) - bisect_right(times, start)


@pytest.mark.parametrize("seed", range(20))
def test_limit_holds_over_gateways_that_restart_freeze_and_are_added(seed):
    """Guards against any sequence of disturbances in which the shares add up to too much."""
    timer = FakeTimer()
    rng = random.Random(seed)
    settings = RetrySettings(ratio=RATIO, window_s=WINDOW_S, slack=SLACK)
    count = GatewayCount(2, timer)
    disturbed_share = rng.choice([0.01, 0.05, 0.3])
    events = rng.choice([["kill"], ["kill", "freeze", "cut"], ["burst", "lull", "freeze", "kill"]])
    gateways = []
    requests, arrivals = [], []
    for step in range(900):
        if step in (0, 1, 2, 300, 500):
            gateways.append(SimulatedGateway(timer, settings, count, rng.random(), events))
        timer.advance(0.1)
        # Agents tell the number a moment later, and miss those that are cut off.
        count.record(sum(gateway.cut_until < timer.now() for gateway in gateways))
        for gateway in gateways:
            if rng.random() < disturbed_share:
                gateway.disturb()
            sent, arrived = gateway.step(0.1)
            requests += sent
            arrivals += arrived
    arrivals.sort()
    for end in arrivals:
        start = end - WINDOW_S
        seen = max(
            count_in(requests, start - shift, end - shift)
            for shift in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        assert count_in(arrivals, start, end) <= RATIO * seen + SLACK
