"""Tests of the wait for answers, which follows measured delays."""

import pytest

from figwalk.coordination.answer_wait import AnswerWait


def make_wait(*delays):
    """Return a wait to which the delays were recorded."""
    wait = AnswerWait(min_s=0.03, max_s=0.12)
    for delay in delays:
        wait.record(delay)
    return wait


def test_wait_is_the_minimum_while_answers_are_fast():
    """Guards against prompts delayed by an agent that is lost."""
    assert make_wait().wait_s == 0.03
    assert make_wait(*[0.001] * 50).wait_s == 0.03


def test_wait_covers_late_answers_on_a_narrow_link():
    """Guards against deciding without the agent on a link whose answers all arrive, but late."""
    assert make_wait(*[0.05] * 3).wait_s > 0.05
    assert make_wait(*[0.04, 0.08] * 20).wait_s >= 0.08


def test_wait_is_bounded():
    """Guards against prompts that miss their target because their offers waited."""
    assert make_wait(*[2.0] * 10).wait_s == 0.12


def test_wait_shrinks_after_congestion():
    """Guards against one busy second that delays all later offers to a lost agent."""
    assert make_wait(*[0.1] * 20, *[0.001] * 60).wait_s == pytest.approx(0.03, abs=0.001)
