"""The checker of histories finds a violation of each rule and accepts a correct history."""

import math

import attrs
import pytest

from histories.checker import check_history
from histories.history import (
    Answer,
    BackendCall,
    Disturbance,
    EngineOrder,
    History,
    Invocation,
    Kind,
    Leaving,
    LoggedPublication,
    ProcessEnd,
    Publication,
    PublishResult,
    Refused,
    RevisionInForce,
    Run,
    RunCount,
    ValidOrder,
    digest_text,
)
from standins.text import expected_text

PROMPT = "Why?"
TOKENS = 8
TEXT = expected_text(PROMPT.encode(), TOKENS)
PATH = "organisations/race-0"
ORDER_BODY = '{"order": 1}'


def order_invocation(name: str, key: str, sent_at: float) -> Invocation:
    return Invocation(name, Kind.ORDER, "entry-1", sent_at, 10, key=key, subject="4")


def refusal(name: str, ended_at: float, outcome: str, attempt: str = "not_run") -> Answer:
    return Answer(
        name,
        ended_at,
        status=503,
        whole=True,
        code="log_unavailable",
        outcome=outcome,
        attempt=attempt,
        retry_after=True,
    )


@pytest.fixture
def history() -> History:
    """A correct history with a record of every kind."""
    correct = History()
    for invocation in (
        Invocation("chat", Kind.CHAT_STREAM, "entry-1", 10, 60, PROMPT, TOKENS),
        order_invocation("refused", "k", 20),
        order_invocation("first", "k", 21),
        order_invocation("second", "k", 22),
    ):
        correct.invocations[invocation.id] = invocation
    order = Answer("first", 21.5, 201, True, digest=digest_text(ORDER_BODY), subject="4")
    for answer in (
        Answer("chat", 11, 200, True, digest=digest_text(TEXT), token_count=TOKENS),
        refusal("refused", 20.5, "not_run"),
        order,
        attrs.evolve(order, invocation_id="second", ended_at=22.5, replayed=True),
    ):
        correct.answers[answer.invocation_id] = answer
    correct.refused["refused"] = Refused("refused", 20.4, "log_unavailable", "not_run")
    correct.runs = [Run("depot-1", "k", "first", 21.2)]
    correct.run_counts = [RunCount("depot-1", "k", 1), RunCount("depot-2", "other", 1)]
    correct.engine_orders = [
        EngineOrder("llm-1", 1, 5, "prefill", "accepted", 0),
        EngineOrder("llm-1", 1, 5, "prefill", "old_order", 0),
        EngineOrder("llm-1", 1, 9, "decode", "accepted", 0),
    ]
    correct.valid_orders = [
        ValidOrder("llm-1", 5, 2, "prefill"),
        ValidOrder("llm-1", 9, 7, "decode"),
    ]
    correct.publications = [
        Publication("a", "entry-1", PATH, 0, 1, 2, PublishResult.ACCEPTED, 3),
        Publication("b", "entry-2", PATH, 0, 1, 2, PublishResult.CONFLICT, 3),
    ]
    correct.logged_publications = [
        LoggedPublication("a", 3, PATH, 0, accepted=True),
        LoggedPublication("b", 4, PATH, 0, accepted=False),
    ]
    correct.revisions = [
        RevisionInForce("entry-1", 1, 1, 3, "status"),
        RevisionInForce("entry-1", 2, 2, 0, "status"),
        RevisionInForce("entry-1", 2, 3, 3, "status"),
    ]
    correct.leavings = [Leaving("llm-1", "drain", 30, 40)]
    correct.backend_calls = [BackendCall("llm-1", "c", 34), BackendCall("llm-1", "d", 41)]
    correct.disturbances = [Disturbance("withdraw", "agent-llm-1", True, 30, 40)]
    correct.ends = [ProcessEnd("entry-1", 1, 1.5, -9, "kill"), ProcessEnd("e", 1, 50, 0, "stop")]
    correct.head_revision = 3
    correct.final_revisions = {"entry-1": 3}
    return correct


def rules_broken(history: History) -> set[str]:
    return {violation.rule for violation in check_history(history)}


def change_answer(history: History, name: str, **changes: object) -> None:
    history.answers[name] = attrs.evolve(history.answers[name], **changes)


def test_accepts_a_correct_history(history):
    """Guards against rules that find violations where there are none."""
    assert check_history(history) == []


@pytest.mark.parametrize(
    "run_counts, runs",
    [
        ([RunCount("depot-2", "k", 1)], []),
        ([], [Run("depot-2", "k", "second", 22.1)]),
    ],
)
def test_rejects_second_run_of_a_key(history, run_counts, runs):
    """Guards against counting the runs of one replica only, or one source only."""
    history.run_counts += run_counts
    history.runs += runs
    assert rules_broken(history) == {"at_most_once"}


def test_rejects_outcome_not_run_after_a_run(history):
    """Guards against missing a run of the key that began before the refusal was sent."""
    history.runs = [Run("depot-1", "k", "first", 20.3)]
    assert rules_broken(history) == {"not_run"}


def test_rejects_attempt_not_run_of_a_request_that_ran(history):
    """Guards against missing a run that began after the refusal."""
    change_answer(history, "refused", outcome="outcome_unknown")
    history.runs = [Run("depot-1", "k", "refused", 25)]
    assert rules_broken(history) == {"not_run"}


@pytest.mark.parametrize(
    "name, changes",
    [
        ("chat", {"digest": digest_text("abc " * TOKENS)}),
        ("chat", {"token_count": TOKENS - 1}),
        ("first", {"subject": "5"}),
        ("second", {"digest": digest_text('{"order": 2}')}),
    ],
)
def test_rejects_answer_of_another_request(history, name, changes):
    """Guards against accepting a mixed up, shortened or newly made answer."""
    change_answer(history, name, **changes)
    assert rules_broken(history) == {"own_answer"}


def test_rejects_answer_of_a_key_that_never_ran(history):
    """Guards against an answer that no service gave."""
    history.run_counts = history.run_counts[1:]
    assert rules_broken(history) == {"own_answer"}


@pytest.mark.parametrize(
    "index, told",
    [
        (0, PublishResult.CONFLICT),
        (0, PublishResult.REFUSED),
        (1, PublishResult.ACCEPTED),
    ],
)
def test_rejects_publication_told_wrongly(history, index, told):
    """Guards against believing operators who were told the opposite of the log."""
    history.publications[index] = attrs.evolve(history.publications[index], result=told)
    assert rules_broken(history) == {"publication"}


def test_rejects_race_without_winner(history):
    """Guards against two operators that are both told that they lost."""
    history.publications[0] = attrs.evolve(history.publications[0], result=PublishResult.CONFLICT)
    history.logged_publications[0] = attrs.evolve(history.logged_publications[0], accepted=False)
    assert rules_broken(history) == {"publication"}


def test_rejects_two_winners_of_one_base(history):
    """Guards against two operators that both changed the same revision."""
    history.logged_publications[1] = attrs.evolve(history.logged_publications[1], accepted=True)
    history.publications[1] = attrs.evolve(
        history.publications[1], result=PublishResult.ACCEPTED, revision=4
    )
    assert rules_broken(history) == {"publication"}


def test_rejects_revision_that_goes_back(history):
    """Guards against a process that falls back without a restart."""
    history.revisions.append(RevisionInForce("entry-1", 2, 4, 2, "status"))
    assert rules_broken(history) == {"revision"}


def test_rejects_process_behind_at_the_end(history):
    """Guards against a process that never receives the newest revision."""
    history.final_revisions["agent-llm-1"] = 2
    assert rules_broken(history) == {"convergence"}


@pytest.mark.parametrize(
    "order",
    [
        EngineOrder("llm-1", 1, 5, "prefill", "accepted", 0),
        EngineOrder("llm-1", 1, 11, "prefill", "accepted", 0),
        EngineOrder("llm-1", 1, 9, "decode", "busy", 0),
    ],
)
def test_rejects_stale_invalid_and_simultaneous_orders(history, order):
    """Guards against orders of an older term, orders not in the log, and two at once."""
    history.engine_orders.append(order)
    assert rules_broken(history) == {"orders"}


def test_rejects_order_that_interrupts_calls(history):
    """Guards against a role change that does not wait for running calls."""
    history.engine_orders[2] = attrs.evolve(history.engine_orders[2], interrupted=1)
    assert rules_broken(history) == {"cut"}


@pytest.mark.parametrize(
    "changes",
    [
        {"whole": False, "loss": "no [DONE]"},
        {"status": 503, "code": "stream_cut", "retry_after": True},
    ],
)
def test_rejects_call_cut_by_a_planned_change(history, changes):
    """Guards against blaming a fault for what a planned change cut."""
    history.disturbances.append(Disturbance("stop_agent", "agent-llm-1", True, 9, 12))
    change_answer(history, "chat", **changes)
    assert rules_broken(history) == {"cut"}
    history.disturbances.append(Disturbance("kill_agent", "agent-llm-2", False, 9, 12))
    assert rules_broken(history) == set()


def test_rejects_request_without_answer(history):
    """Guards against a request that hangs until the end of the run."""
    del history.answers["chat"]
    assert rules_broken(history) == {"cut"}


def test_rejects_publication_whose_result_is_cut(history):
    """Guards against a shutdown that loses the answer to an operator."""
    unknown = attrs.evolve(history.publications[1], result=PublishResult.UNKNOWN)
    history.publications[1] = unknown
    assert rules_broken(history) == {"cut"}


def test_rejects_shutdown_that_cuts_calls(history):
    """Guards against a graceful shutdown that ends before its calls."""
    history.ends[1] = attrs.evolve(history.ends[1], cut=True)
    assert rules_broken(history) == {"cut"}


def test_rejects_new_work_while_leaving(history):
    """Guards against calls to a leaving backend server after 5 s."""
    history.backend_calls.append(BackendCall("llm-1", "e", 35.5))
    assert rules_broken(history) == {"leaving"}


@pytest.mark.parametrize("changes", [{"retry_after": False}, {"ended_at": 28.5}])
def test_rejects_refusal_without_time_or_too_late(history, changes):
    """Guards against refusals that are held back or do not say when to return."""
    change_answer(history, "refused", **changes)
    assert rules_broken(history) == {"refusal"}


def test_refusal_by_a_paused_entry_is_not_late(history):
    """Guards against blaming a process for the time in which it was stopped."""
    change_answer(history, "refused", ended_at=30)
    history.disturbances.append(Disturbance("pause_entry", "entry-1", False, 20.1, 29.5))
    assert rules_broken(history) == set()
    history.disturbances[-1] = attrs.evolve(history.disturbances[-1], target="entry-2")
    assert rules_broken(history) == {"refusal"}


@pytest.mark.parametrize("status, expected", [(1, ""), (1, "stop"), (0, "")])
def test_rejects_process_that_ends_by_itself(history, status, expected):
    """Guards against a crash that the restart of the process hides."""
    history.ends.append(ProcessEnd("agent-llm-1", 1, 25, status, expected))
    assert rules_broken(history) == {"process"}


def test_open_disturbance_lasts_to_the_end(history):
    """Guards against an unfinished fault that counts as calm."""
    history.disturbances.append(Disturbance("log_outage", "log", False, 9, math.inf))
    change_answer(history, "chat", whole=False, loss="no [DONE]")
    assert rules_broken(history) == set()
