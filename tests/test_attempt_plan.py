"""Tests of `AttemptPlan` and of the entry's request counts."""

import pytest
import trio
import trio.testing
from entry_fakes import FakeBackends, Script

from figwalk.coordination.retry_budget import RetryBudget
from figwalk.coordination.router import RouteRequest
from figwalk.entry.attempt_plan import AttemptPlan
from figwalk.entry.tallies import GOODPUT_WINDOW_S, Tallies
from figwalk.errors import CallOutcome, ConnectionLostError, RefusalError
from figwalk.events import EventLog
from figwalk.metrics import Metrics
from figwalk.state.fleet import LoadedModel
from figwalk.timer import Timer

NOT_RUN, UNKNOWN = CallOutcome.NOT_RUN, CallOutcome.UNKNOWN
LOST = ConnectionLostError("lost")


def record_failure(plan, failure):
    if isinstance(failure, RefusalError):
        plan.record_refusal(failure)
    else:
        plan.record_loss(failure)


def run_plan(failures, *, retry_ratio=0.0, resume=False):
    """Make each target fail in turn; return the targets tried and the final refusal."""
    tried, refusals = [], []

    async def main():
        events = EventLog("entry-1", Timer())
        backends = FakeBackends(*(Script() for _ in failures))
        budget = RetryBudget(Timer(), ratio=retry_ratio)
        plan = AttemptPlan(backends, budget, RouteRequest("llm", "z", "r"), "r1", events)
        for failure in failures:
            try:
                tried.append(plan.next_target().choice.backend)
            except RefusalError as error:
                refusals.append(error)
                return
            record_failure(plan, failure)
            if resume:
                plan.allow_resume(LoadedModel())
        with pytest.raises(RefusalError) as caught:
            plan.next_target()
        refusals.append(caught.value)

    trio.run(main, clock=trio.testing.MockClock())
    return tried, refusals[0]


@pytest.mark.parametrize("code", ["leaving", "changing", "withdrawn"])
def test_planned_changes_cost_no_retry_budget(code):
    """Guards against a planned change that fails a request once the retry budget is exhausted."""
    tried, refusal = run_plan([RefusalError(code, "x")] * 3)
    assert tried == ["b0", "b1", "b2"]
    assert (refusal.code, refusal.outcome) == (code, NOT_RUN)


@pytest.mark.parametrize("failure", [RefusalError("overloaded", "x"), LOST])
def test_other_retries_need_budget(failure):
    """Guards against retries that multiply an overload."""
    assert run_plan([failure] * 3)[0] == ["b0"]
    assert run_plan([failure] * 3, retry_ratio=1.0)[0] == ["b0", "b1", "b2"]
    assert run_plan([failure] * 3, resume=True)[0] == ["b0", "b1", "b2"]


@pytest.mark.parametrize(
    ("failures", "code", "outcome"),
    [
        ([], "no_backend", NOT_RUN),
        ([LOST, RefusalError("a", "x", retry_after_ms=5)], "a", UNKNOWN),
        ([RefusalError("a", "x", outcome=UNKNOWN, retry_after_ms=5)], "a", UNKNOWN),
        (
            [RefusalError("a", "x", retry_after_ms=50), RefusalError("b", "x", retry_after_ms=5)],
            "b",
            NOT_RUN,
        ),
    ],
)
def test_final_refusal_has_the_right_outcome_and_the_soonest_retry(failures, code, outcome):
    """Guards against `not_run` for a request of which one attempt may have run (invariant 5)."""
    _tried, refusal = run_plan(failures, retry_ratio=1.0)
    assert (refusal.code, refusal.outcome, refusal.attempt) == (code, outcome, outcome)
    if failures:
        assert refusal.retry_after_ms == 5


def test_tallies_and_goodput_window():
    """Guards against goodput that counts late answers, or answers from before the window."""

    async def main():
        timer = Timer()
        metrics = Metrics(None, prefix="t", timer=timer)
        tallies = Tallies(metrics, timer)
        tallies.record_answered(in_time=True)
        tallies.record_answered(in_time=False)
        tallies.record_refusal("overloaded")
        tallies.record_region_bytes(7)
        assert (tallies.answered, tallies.in_deadline, tallies.region_bytes) == (2, 1, 7)
        assert tallies.refusals == {"overloaded": 1}
        assert tallies.goodput_per_s == 1.0
        await trio.sleep(GOODPUT_WINDOW_S / 2)
        assert tallies.goodput_per_s == pytest.approx(2 / GOODPUT_WINDOW_S)
        await trio.sleep(GOODPUT_WINDOW_S)
        assert tallies.goodput_per_s == 0

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
