"""Tests of the wait for answers whose delay is learnt."""

import pytest

from figwalk.coordination.answer_wait import AnswerWait


def make_wait(*delays):
    """Return a wait that has seen delays."""
    wait = AnswerWait(least_s=0.03, most_s=0.12)
    for delay in delays:
        wait.note(delay)
    return wait


def test_wait_is_the_least_while_answers_are_quick():
    """Guards against prompts that are held up behind an agent that is gone."""
    assert make_wait().wait_s == 0.03
    assert make_wait(*[0.001] * 50).wait_s == 0.03


def test_wait_covers_answers_of_a_narrow_link():
    """Guards against judging without the agent on a link whose answers all come, but late."""
    assert make_wait(*[0.05] * 3).wait_s > 0.05
    assert make_wait(*[0.04, 0.08] * 20).wait_s >= 0.08


def test_wait_never_takes_the_time_of_the_prompt_itself():
    """Guards against prompts that are late because their offers waited."""
    assert make_wait(*[2.0] * 10).wait_s == 0.12


def test_wait_shrinks_when_the_link_is_free_again():
    """Guards against one busy second that slows all later offers to a lost agent."""
    assert make_wait(*[0.1] * 20, *[0.001] * 60).wait_s == pytest.approx(0.03, abs=0.001)
