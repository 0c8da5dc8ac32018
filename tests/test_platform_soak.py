"""Tests of the soak test on the platform's protocol: its rules, its page and a short run."""

import attrs
import pytest
import trio

from histories.platform_history import (
    BackendNote,
    CallKind,
    PlannedStop,
    PlatformCall,
    PlatformHistory,
    RetryBound,
    check_platform_history,
)
from histories.platform_page import draw_page
from histories.platform_soak import PlatformSoak, SoakOptions
from standins.platform_backend import expected_body, expected_event

OPTIONS = SoakOptions(
    seed=7,
    seconds=8.0,
    gateways=2,
    engines=3,
    only=frozenset(
        {"kill_gateway", "kill_agent", "kill_backend", "cut_backend_link", "lost_answers"}
    ),
    awaits_recovery=False,
)
ORDER = PlatformCall(
    call_id="o",
    kind=CallKind.ORDER,
    target="/order/1",
    gateway="gateway-0",
    sent_at=100.0,
    patience_s=2.0,
    status=200,
    echoed_id="o",
    signed=True,
    body=expected_body("o", "/order/1"),
    whole=True,
    ended_at=100.1,
)
STREAM = attrs.evolve(
    ORDER,
    call_id="s",
    kind=CallKind.LONG,
    echoed_id="s",
    prompt="a:5",
    events=2,
    body=expected_event("a:5", 1) + expected_event("a:5", 2),
)
RUN = BackendNote("run", "o", 100.05, "orders-0")
RECEIVED = BackendNote("received", "o", 100.04, "orders-0")


def check(*calls, notes=(RECEIVED, RUN), stops=(), failures=(), stalls=()):
    """Return the names of the rules that a history violates."""
    history = PlatformHistory(RetryBound(0.1, 10.0, 1.0))
    history.calls = {call.call_id: call for call in calls}
    history.notes, history.stops, history.failures = list(notes), list(stops), list(failures)
    history.stalls = list(stalls)
    return {violation.rule for violation in check_platform_history(history)}


def test_served_calls_break_no_rule():
    """Guards against a checker that reports violations for allowed behaviour."""
    assert check(ORDER, STREAM) == set()


@pytest.mark.parametrize(
    ("rule", "history"),
    [
        ("runs", {"calls": [ORDER], "notes": [RUN, RUN]}),
        ("not_run", {"calls": [attrs.evolve(ORDER, status=503, body=b"")]}),
        ("own_answer", {"calls": [attrs.evolve(ORDER, body=b"other")]}),
        ("own_answer", {"calls": [attrs.evolve(ORDER, echoed_id="other")]}),
        ("own_answer", {"calls": [attrs.evolve(ORDER, signed=False)]}),
        ("own_answer", {"calls": [attrs.evolve(STREAM, body=expected_event("a:5", 1))]}),
        ("own_answer", {"calls": [attrs.evolve(STREAM, whole=False, body=b"id: 2")]}),
        ("ends", {"calls": [attrs.evolve(ORDER, ended_at=110.0)]}),
        ("ends", {"calls": [attrs.evolve(ORDER, ended_at=0.0, status=None)]}),
        ("planned_stop", {"calls": [], "stops": [PlannedStop("gateway-0", 100.0, 9.0, 0)]}),
        ("planned_stop", {"calls": [], "stops": [PlannedStop("gateway-0", 100.0, 1.0, 70)]}),
        ("retry_bound", {"calls": [ORDER], "notes": [RECEIVED] * 4}),
        ("recovery", {"calls": [attrs.evolve(ORDER, calm=True, status=502)]}),
        ("organisation", {"calls": [attrs.evolve(ORDER, organisation="large")]}),
        ("organisation", {"calls": [attrs.evolve(STREAM, status=401)]}),
        ("organisation", {"calls": [ORDER], "notes": [attrs.evolve(RECEIVED, has_key=True)]}),
        ("failure", {"calls": [], "failures": ["TASK_FAILED"]}),
    ],
)
def test_broken_rule_is_found(rule, history):
    """Guards against a soak test that passes despite violations."""
    assert check(*history.pop("calls"), **history) == {rule}


def test_time_in_which_callers_stalled_is_excluded():
    """Guards against violations caused by the machine, and against hiding untimed ones."""
    late = attrs.evolve(ORDER, ended_at=110.0)
    assert check(late, stalls=[(101.0, 109.0)]) == set()
    assert check(late, stalls=[(90.0, 99.0)]) == {"ends"}
    assert check(late, stalls=[(101.0, 109.0)], notes=[RUN, RUN]) == {"runs"}


def test_page_shows_faults_calls_and_violations():
    """Guards against a page without the faults, calls or violations of the run."""
    history = PlatformHistory(RetryBound(0.1, 10.0, 1.0))
    history.calls = {"o": attrs.evolve(ORDER, body=b"<other>")}
    history.disturbances = [("kill_gateway", "gateway-1", 99.0, 101.0)]
    page = draw_page(history, check_platform_history(history))
    for text in ("kill_gateway gateway-1", "1 served", "own_answer"):
        assert text in page


def test_short_soak_breaks_no_rule(tmp_path):
    """Guards against repeated runs, false refusals and lost processes under faults."""
    soak = PlatformSoak(OPTIONS, tmp_path)
    trio.run(soak.run)
    assert check_platform_history(soak.history, timeless=True) == []
    assert any(call.status == 200 for call in soak.history.calls.values())
    assert soak.history.disturbances
