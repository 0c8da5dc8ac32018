"""Tests of how a process tracks a backend server by its own calls."""

import pytest
from support.fake_timer import FakeTimer

from figwalk.coordination.backend_tracker import (
    FIRST_AVOIDANCE_S,
    LOAD_MAX_AGE_S,
    RESPONSE_TIMEOUT_S,
    AttemptOutcome,
    BackendTracker,
    ReportedLoad,
)
from figwalk.events import EventLog
from figwalk.state.backend_directory import BackendEntry
from figwalk.state.settings import Address


def make_tracker(timer, name="b1", zone="a", slots=6):
    entry = BackendEntry(name, "orders", Address("10.0.0.1", 80), zone, slots, False, 1, 1)
    return BackendTracker(entry, timer, EventLog("test", timer))


def test_unreachable_backend_is_avoided_and_then_tested_by_one_call():
    """Guards against every call waiting for a connection to an unreachable backend server."""
    timer = FakeTimer()
    tracker = make_tracker(timer)
    tracker.start("c1")
    tracker.finish("c1", AttemptOutcome.UNREACHABLE)
    assert tracker.is_avoided()
    timer.advance(FIRST_AVOIDANCE_S + 0.01)
    assert not tracker.is_avoided()
    tracker.start("c2")
    assert tracker.is_avoided()
    tracker.record_answer("c2", None)
    tracker.finish("c2", AttemptOutcome.ANSWERED)
    assert not tracker.is_avoided()


def test_running_stream_does_not_prolong_avoidance():
    """Guards against a backend server avoided until its last stream ends, after one failure."""
    timer = FakeTimer()
    tracker = make_tracker(timer)
    tracker.start("stream")
    tracker.record_answer("stream", None)
    tracker.start("c1")
    tracker.finish("c1", AttemptOutcome.UNREACHABLE)
    timer.advance(FIRST_AVOIDANCE_S + 0.01)
    assert not tracker.is_avoided()


def test_unresponsive_backend_is_avoided():
    """Guards against calls to a backend server that accepts connections but never answers."""
    timer = FakeTimer()
    tracker = make_tracker(timer)
    tracker.start("c1")
    timer.advance(RESPONSE_TIMEOUT_S + 0.01)
    assert tracker.is_avoided()


def test_backend_with_one_slow_call_is_not_unresponsive():
    """Guards against avoiding a backend server because of one long call."""
    timer = FakeTimer()
    tracker = make_tracker(timer)
    tracker.start("long")
    timer.advance(RESPONSE_TIMEOUT_S)
    tracker.start("c2")
    tracker.record_answer("c2", None)
    assert not tracker.is_avoided()


@pytest.mark.parametrize("is_stream", [False, True])
def test_backend_that_answers_others_is_not_silent(is_stream):
    """Guards against an overloaded backend server avoided because one call waits too long there."""
    timer = FakeTimer()
    tracker = make_tracker(timer)
    tracker.start("c1")
    timer.advance(0.1)
    if is_stream:
        tracker.record_data()
    else:
        tracker.start("c2")
        tracker.record_answer("c2", None)
        tracker.finish("c2", AttemptOutcome.ANSWERED)
    timer.advance(RESPONSE_TIMEOUT_S)
    tracker.finish("c1", AttemptOutcome.SILENT)
    assert not tracker.is_avoided()
    assert tracker.failure_share() > 0


def test_backend_without_answer_since_the_call_was_sent_is_silent():
    """Guards against a backend server that stays in use since it once answered."""
    timer = FakeTimer()
    tracker = make_tracker(timer)
    tracker.start("c1")
    tracker.record_answer("c1", None)
    tracker.finish("c1", AttemptOutcome.ANSWERED)
    timer.advance(0.1)
    tracker.start("c2")
    timer.advance(RESPONSE_TIMEOUT_S)
    tracker.finish("c2", AttemptOutcome.SILENT)
    assert tracker.is_avoided()


def test_reported_load_is_corrected_by_calls_sent_since():
    """Guards against every process choosing a backend server by an outdated load."""
    timer = FakeTimer()
    tracker = make_tracker(timer)
    tracker.start("c1")
    tracker.record_answer("c1", ReportedLoad(5, 2, 6))
    tracker.start("c2")
    assert tracker.estimate_load() == 8
    timer.advance(LOAD_MAX_AGE_S + 0.1)
    assert tracker.estimate_load() == 2


def test_weight_of_failures_decays():
    """Guards against a backend server that is avoided long after it has recovered."""
    timer = FakeTimer()
    tracker = make_tracker(timer)
    for call in range(10):
        tracker.start(call)
        tracker.finish(call, AttemptOutcome.BROKEN)
    assert tracker.failure_share() > 0.7
    timer.advance(12)
    assert tracker.failure_share() < 0.1
