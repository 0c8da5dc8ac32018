"""Tests of the soak test on the platform's protocol: its rules, its page and a short run."""

import attrs
import pytest
import trio

from histories.platform_call import CallKind, PlatformCall
from histories.platform_history import (
    BackendNote,
    PlannedStop,
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
RELEASE_OPTIONS = attrs.evolve(
    OPTIONS,
    seconds=12.0,
    gateways=3,
    engines=4,
    only=frozenset(
        {
            "release",
            "replace_in_place",
            "kill_gateway",
            "kill_all_gateways",
            "reset_callers",
            "kill_agent",
            "kill_backend",
            "cut_streams",
        }
    ),
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
LONG = attrs.evolve(
    STREAM,
    call_id="f",
    echoed_id="f",
    events=4,
    body=expected_event("a:5", 1) + expected_event("a:5", 2) + b"id: 3",
    whole=False,
    began_at=100.05,
)


def make_events(first, last, version="v1"):
    """Return some events of the stream that `LONG` begins."""
    return b"".join(expected_event("a:5", n, version) for n in range(first, last + 1))


def take_up(call_id, after, body, **changes):
    """Return an attempt to take up the stream that `LONG` begins."""
    fields = {
        "call_id": call_id,
        "echoed_id": call_id,
        "gateway": "gateway-1",
        "sent_at": 101.0 + after,
        "began_at": 101.1 + after,
        "ended_at": 101.2 + after,
        "resumes": LONG.call_id,
        "after": after,
        "body": body,
        "whole": True,
    }
    return attrs.evolve(LONG, **fields | changes)


RUN = BackendNote("run", "o", 100.05, "orders-0")
RECEIVED = BackendNote("received", "o", 100.04, "orders-0")


V2_RUN = BackendNote("run", "x", 103.05, "lm-2.1", version="v2", stage="decode")
ENGINES = tuple(
    BackendNote("registered", "", 90.0, f"lm-{n}.1", version="v1", stage="decode") for n in (1, 2)
)


def make_history(*calls, notes=(RECEIVED, RUN), stops=(), failures=(), stalls=(), disturbances=()):
    """Return a history of some calls."""
    history = PlatformHistory(RetryBound(0.1, 10.0, 1.0))
    history.calls = {call.call_id: call for call in calls}
    history.notes, history.stops, history.failures = list(notes), list(stops), list(failures)
    history.stalls, history.disturbances = list(stalls), list(disturbances)
    return history


def check(*calls, **seen):
    """Return the names of the rules that a history violates."""
    return {violation.rule for violation in check_platform_history(make_history(*calls, **seen))}


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
        ("order", {"calls": [attrs.evolve(STREAM, body=expected_event("a:5", 1))]}),
        ("order", {"calls": [attrs.evolve(STREAM, whole=False, body=b"id: 2")]}),
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


CUT = take_up("t", 2, make_events(3, 3) + b"id: 4", whole=False)


@pytest.mark.parametrize(
    "attempts",
    [
        [take_up("t", 2, make_events(3, 4))],
        [CUT, take_up("u", 3, make_events(4, 4))],
        [
            take_up("t", 2, b"refused", status=503),
            take_up("u", 2, make_events(3, 4), sent_at=105.0),
        ],
        [take_up("t", 2, b"", status=None, whole=False)],
        [take_up("t", 2, make_events(3, 4), whole=False), take_up("u", 4, b"")],
        [],
    ],
)
def test_stream_that_is_taken_up_at_its_version_is_accepted(attempts):
    """Guards against violations for streams that go on as they began, are refused or are cut."""
    assert check(LONG, *attempts, notes=[V2_RUN]) == set()


@pytest.mark.parametrize(
    "attempts",
    [
        pytest.param([take_up("t", 2, make_events(3, 4, "v2"))], id="other version"),
        pytest.param([CUT, take_up("u", 3, make_events(4, 4, "v2"))], id="second take-up"),
        pytest.param([take_up("t", 2, make_events(3, 3) + make_events(4, 4, "v2"))], id="in one"),
        pytest.param([take_up("t", 2, b"id: 3\ndata: 0", whole=False)], id="part of an event"),
        pytest.param([take_up("t", 2, make_events(2, 4))], id="twice"),
        pytest.param([take_up("t", 2, make_events(1, 4))], id="from the first"),
        pytest.param([take_up("t", 2, make_events(4, 4))], id="missing"),
        pytest.param([take_up("t", 2, make_events(3, 3))], id="complete too early"),
        pytest.param([take_up("t", 2, b"")], id="complete without events"),
        pytest.param([take_up("t", 2, make_events(3, 4, "v3"))], id="unknown events"),
    ],
)
def test_stream_of_several_attempts_that_is_not_one_is_found(attempts):
    """Guards against a checker that looks at each answer alone."""
    history = make_history(LONG, *attempts, notes=[V2_RUN])
    violations = check_platform_history(history, timeless=True)
    assert [violation.rule for violation in violations] == ["order"]


def make_take_ups(*, went_on, lost, refused_new=0):
    """Return the calls of streams that were taken up, and of new ones that were refused."""
    calls = []
    for number in range(went_on + lost):
        first = attrs.evolve(LONG, call_id=f"f{number}", echoed_id=f"f{number}")
        second = attrs.evolve(take_up(f"t{number}", 2, make_events(3, 4)), resumes=first.call_id)
        if number >= went_on:
            second = attrs.evolve(second, status=503, body=b"")
        calls += [first, second]
    for number in range(refused_new):
        calls.append(attrs.evolve(LONG, call_id=f"n{number}", status=503, echoed_id="", body=b""))
    return calls


def test_run_that_loses_most_streams_that_are_taken_up_is_found():
    """Guards against gateways that refuse to continue streams that could go on."""
    assert check(*make_take_ups(went_on=5, lost=7), notes=ENGINES) == {"lost"}
    assert check(*make_take_ups(went_on=0, lost=12, refused_new=60), notes=ENGINES) == {"lost"}


@pytest.mark.parametrize(
    ("counts", "seen"),
    [
        ({"went_on": 6, "lost": 6}, {}),
        ({"went_on": 0, "lost": 11}, {}),
        ({"went_on": 3, "lost": 9, "refused_new": 12}, {}),
        ({"went_on": 0, "lost": 12}, {"notes": ENGINES[:1]}),
        (
            {"went_on": 0, "lost": 12},
            {"notes": [*ENGINES, attrs.evolve(ENGINES[0], event="leaving")]},
        ),
        ({"went_on": 0, "lost": 12}, {"notes": [attrs.evolve(n, version="v2") for n in ENGINES]}),
        ({"went_on": 0, "lost": 12}, {"notes": [attrs.evolve(n, at=102.0) for n in ENGINES]}),
        (
            {"went_on": 0, "lost": 12},
            {"notes": [attrs.evolve(n, stage="prefill") for n in ENGINES]},
        ),
        ({"went_on": 0, "lost": 12}, {"disturbances": [("pause_backend", "lm-1", 102.0, 104.0)]}),
        (
            {"went_on": 0, "lost": 12},
            {"disturbances": [("kill_gateway", "gateway-1", 102.0, 104.0)]},
        ),
        ({"went_on": 0, "lost": 12}, {"disturbances": [("cut", "gateway-1-agents", 102.0, 104.0)]}),
        ({"went_on": 0, "lost": 12}, {"stalls": [(102.0, 104.0)]}),
    ],
)
def test_streams_that_may_be_lost_are_accepted(counts, seen):
    """Guards against violations for few streams, faults of a gateway and engines that are gone."""
    assert check(*make_take_ups(**counts), **{"notes": ENGINES} | seen) == set()


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


def test_short_soak_of_releases_joins_no_streams_of_two_versions(tmp_path):
    """Guards against streams that go on at another software version than they began at."""
    soak = PlatformSoak(RELEASE_OPTIONS, tmp_path)
    trio.run(soak.run)
    violations = check_platform_history(soak.history, timeless=True)
    assert [violation.message for violation in violations] == []
    assert {"v1", "v2"} <= {note.version for note in soak.history.notes if note.event == "run"}
    assert any(call.resumes and call.whole_events for call in soak.history.calls.values())
