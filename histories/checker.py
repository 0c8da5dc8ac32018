"""Judges a history: one function for each rule, each returning its violations."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence

import attrs

from histories.history import (
    ABANDONED,
    PAUSE_ENTRY,
    Answer,
    Disturbance,
    History,
    Invocation,
    Kind,
    Publication,
    PublishResult,
    digest_text,
)
from standins.text import expected_text

NOT_RUN = "not_run"
LEAVING_GRACE_S = 5.0  # Invariant 7 of the design page.
# Reports, links and retry budgets recover within this time after a fault was taken back.
SETTLE_S = 6.0
# A refusal that is decided without a run needs no more than two reads of the log and two asks of
# an agent, each with a timeout of 2 s.
REFUSAL_LIMIT_S = 8.0
# Without a fault nothing that a refusal waits for takes longer than this.
CALM_REFUSAL_LIMIT_S = 3.0
REFUSAL_STATUSES = frozenset({429, 503})
# What an entry says when a call was cut, or when no backend server took it. Refusals for lack of
# capacity are not among them.
CUT_CODES = frozenset(
    {
        "backend_lost",
        "backend_failed",
        "stream_cut",
        "cancelled",
        "leaving",
        "withdrawn",
        "changing",
        "down",
        "no_backend",
        "not_sent",
        "outcome_unknown",
    }
)
ANSWERED_STATUSES = frozenset({200, 201})


@attrs.frozen
class Violation:
    """A broken rule with the records that show it."""

    rule: str
    message: str
    records: tuple[object, ...]


Rule = Callable[[History], list[Violation]]


def check_history(history: History, rules: Sequence[Rule] | None = None) -> list[Violation]:
    """Return all violations of the rules, by default of all."""
    return [violation for rule in rules or RULES for violation in rule(history)]


def check_runs(history: History) -> list[Violation]:
    """A key runs at most once over all replicas."""
    starts = defaultdict(list)
    for run in history.runs:
        starts[run.key].append(run)
    counts: Counter[str] = Counter()
    for count in history.run_counts:
        counts[count.key] += count.count
    return [
        Violation(
            "at_most_once",
            f"key {key!r} ran {max(counts[key], len(starts[key]))} times",
            (*starts[key], *_requests_of_key(history, key)),
        )
        for key in sorted(set(starts) | set(counts))
        if max(counts[key], len(starts[key])) > 1
    ]


def check_not_run(history: History) -> list[Violation]:
    """`outcome: not_run` and `attempt: not_run` are true."""
    by_key = defaultdict(list)
    by_invocation = defaultdict(list)
    for run in history.runs:
        by_key[run.key].append(run)
        by_invocation[run.invocation_id].append(run)
    violations = []
    for answer in history.answers.values():
        invocation = history.invocations[answer.invocation_id]
        if not invocation.key:
            continue
        own = by_invocation[invocation.id]
        if answer.attempt == NOT_RUN and own:
            message = f"request {invocation.id} was told attempt not_run and ran"
            violations.append(Violation("not_run", message, (invocation, answer, *own)))
        if answer.outcome != NOT_RUN:
            continue
        decided_at = _decided_at(history, invocation, answer)
        before = [run for run in by_key[invocation.key] if run.started_at < decided_at]
        if before or own:
            message = f"request {invocation.id} was told outcome not_run after its key had run"
            violations.append(Violation("not_run", message, (invocation, answer, *before)))
    return violations


def check_answers(history: History) -> list[Violation]:
    """Every answer is whole and that of its own request."""
    violations = []
    for answer in history.answers.values():
        invocation = history.invocations[answer.invocation_id]
        if answer.status not in ANSWERED_STATUSES or not answer.whole:
            continue
        fault = _find_answer_fault(invocation, answer)
        if fault:
            message = f"request {invocation.id}: {fault}"
            violations.append(Violation("own_answer", message, (invocation, answer)))
    return violations + _check_replays(history) + _check_invented(history)


def check_publications(history: History) -> list[Violation]:
    """Operators are told the truth, and one publication of each base wins."""
    logged = {record.author: record for record in history.logged_publications}
    violations = []
    for told in history.publications:
        record = logged.get(told.author)
        accepted = record is not None and record.accepted
        if told.result is PublishResult.ACCEPTED and (
            not accepted or record.revision != told.revision
        ):
            message = f"{told.author} was told accepted at {told.revision}, the log differs"
            violations.append(Violation("publication", message, (told, record)))
        elif told.result in {PublishResult.CONFLICT, PublishResult.REFUSED} and accepted:
            message = f"{told.author} was told {told.result} and its publication is in force"
            violations.append(Violation("publication", message, (told, record)))
    return violations + _check_races(history)


def check_revisions(history: History) -> list[Violation]:
    """The revision in force never goes back at a running process."""
    newest: dict[tuple[str, int, str], object] = {}
    violations = []
    for seen in sorted(history.revisions, key=lambda record: record.at):
        place = (seen.process, seen.life, seen.source)
        before = newest.get(place)
        if before is not None and seen.revision < before.revision:
            message = f"{seen.process} went from {before.revision} back to {seen.revision}"
            violations.append(Violation("revision", message, (before, seen)))
        else:
            newest[place] = seen
    return violations


def check_convergence(history: History) -> list[Violation]:
    """Once all faults are taken back, every process has the newest revision."""
    return [
        Violation(
            "convergence",
            f"{process} is at revision {revision} at the end, the log at {history.head_revision}",
            (),
        )
        for process, revision in sorted(history.final_revisions.items())
        if revision != history.head_revision
    ]


def check_orders(history: History) -> list[Violation]:
    """Orders that engines accept are valid, in order of their terms, and one at a time."""
    valid = {(order.backend, order.order): order for order in history.valid_orders}
    newest: dict[str, object] = {}
    violations = []
    for order in history.engine_orders:
        record = valid.get((order.backend, order.order))
        if order.result == "busy":
            message = f"{order.backend} got order {order.order} during a change"
            violations.append(Violation("orders", message, (order,)))
            continue
        if order.result != "accepted":
            continue
        if record is None:
            message = f"{order.backend} accepted order {order.order}, which is not valid in the log"
            violations.append(Violation("orders", message, (order,)))
            continue
        before = newest.get(order.backend)
        if before is not None and (record.term, record.order) < (before.term, before.order):
            message = f"{order.backend} accepted an order of term {record.term} after {before.term}"
            violations.append(Violation("orders", message, (order, record, before)))
        else:
            newest[order.backend] = record
        if order.interrupted:
            message = f"order {order.order} interrupted {order.interrupted} calls"
            violations.append(Violation("cut", message, (order, record)))
    return violations


def check_cuts(history: History) -> list[Violation]:
    """No request is cut while there are only planned changes."""
    unplanned = [fault for fault in history.disturbances if not fault.planned]
    planned = [change for change in history.disturbances if change.planned]
    violations = [
        Violation("cut", f"the graceful shutdown of {end.process} cut calls", (end,))
        for end in history.ends
        if end.cut and not _overlapping(unplanned, end.at - SETTLE_S, end.at)
    ]
    violations += [
        Violation("cut", f"{told.author} did not get the result of its publication", (told,))
        for told in history.publications
        if told.result is PublishResult.UNKNOWN
        and not _overlapping(unplanned, told.sent_at, told.ended_at)
    ]
    for invocation in history.invocations.values():
        answer = history.answers.get(invocation.id)
        ended_at = answer.ended_at if answer else math.inf
        if _overlapping(unplanned, invocation.sent_at, ended_at):
            continue
        fault = _find_cut(answer)
        if fault:
            near = _overlapping(planned, invocation.sent_at, ended_at)
            message = f"request {invocation.id} was cut without a fault: {fault}"
            violations.append(Violation("cut", message, (invocation, answer, *near)))
    return violations


def check_leaving(history: History) -> list[Violation]:
    """A leaving backend server gets no new work after 5 s."""
    violations = []
    for leaving in history.leavings:
        late = [
            call
            for call in history.backend_calls
            if call.backend == leaving.backend
            and leaving.since + LEAVING_GRACE_S < call.at < leaving.until
        ]
        if late:
            message = f"{leaving.backend} got {len(late)} calls after 5 s of leaving"
            near = _overlapping(history.disturbances, leaving.since, leaving.until)
            violations.append(Violation("leaving", message, (leaving, *late[:5], *near)))
    return violations


def check_refusals(history: History) -> list[Violation]:
    """A refusal comes at once and says when to come back."""
    unplanned = [fault for fault in history.disturbances if not fault.planned]
    violations = []
    for answer in history.answers.values():
        invocation = history.invocations[answer.invocation_id]
        if answer.status not in REFUSAL_STATUSES:
            continue
        if not answer.retry_after:
            message = f"the refusal of {invocation.id} has no Retry-After"
            violations.append(Violation("refusal", message, (invocation, answer)))
        faults = _overlapping(unplanned, invocation.sent_at, answer.ended_at)
        limit_s = REFUSAL_LIMIT_S if faults else CALM_REFUSAL_LIMIT_S
        paused_s = _paused_s(history, invocation, answer)
        took_s = answer.ended_at - invocation.sent_at - paused_s
        if answer.attempt == NOT_RUN and took_s > limit_s:
            message = f"the refusal of {invocation.id} took {took_s:.1f} s"
            violations.append(Violation("refusal", message, (invocation, answer, *faults)))
    return violations


def check_ends(history: History) -> list[Violation]:
    """No process ends by itself, and a graceful shutdown ends with status 0."""
    return [
        Violation("process", f"{end.process} ended with status {end.status}", (end,))
        for end in history.ends
        if not end.expected or (end.expected == "stop" and end.status != 0)
    ]


RULES: tuple[Rule, ...] = (
    check_runs,
    check_not_run,
    check_answers,
    check_publications,
    check_revisions,
    check_convergence,
    check_orders,
    check_cuts,
    check_leaving,
    check_refusals,
    check_ends,
)

# Rules that hold on a machine of any speed, for tests.
TIMELESS_RULES = (
    check_runs,
    check_not_run,
    check_answers,
    check_publications,
    check_revisions,
    check_convergence,
    check_orders,
    check_ends,
)


def _requests_of_key(history: History, key: str) -> list[object]:
    records: list[object] = []
    for invocation in history.invocations.values():
        if invocation.key == key:
            records += [invocation, history.answers.get(invocation.id)]
    return records


def _decided_at(history: History, invocation: Invocation, answer: Answer) -> float:
    """Return a time at which the refusal had not been sent yet, as late as is known."""
    refused = history.refused.get(invocation.id)
    return min(refused.at, answer.ended_at) if refused else invocation.sent_at


def _paused_s(history: History, invocation: Invocation, answer: Answer) -> float:
    """Return how long the entry of a request could do nothing while it was open."""
    return sum(
        max(0.0, min(pause.until, answer.ended_at) - max(pause.since, invocation.sent_at))
        for pause in history.disturbances
        if pause.name == PAUSE_ENTRY and pause.target == invocation.entry
    )


def _find_answer_fault(invocation: Invocation, answer: Answer) -> str:
    if invocation.kind.is_generation:
        expected = expected_text(invocation.prompt.encode(), invocation.max_tokens)
        if answer.token_count != invocation.max_tokens:
            return f"{answer.token_count} tokens instead of {invocation.max_tokens}"
        return "" if answer.digest == digest_text(expected) else "the text of another prompt"
    if invocation.kind is Kind.PAYMENT or answer.subject == invocation.subject:
        return ""
    return f"the answer is about {answer.subject!r} instead of {invocation.subject!r}"


def _check_invented(history: History) -> list[Violation]:
    ran = {count.key for count in history.run_counts}
    return [
        Violation("own_answer", f"key {key!r} was answered and never ran", (answer,))
        for answer in history.answers.values()
        if (key := history.invocations[answer.invocation_id].key)
        and answer.whole
        and answer.status in ANSWERED_STATUSES
        and key not in ran
    ]


def _check_replays(history: History) -> list[Violation]:
    first: dict[str, Answer] = {}
    violations = []
    for answer in sorted(history.answers.values(), key=lambda record: record.ended_at):
        key = history.invocations[answer.invocation_id].key
        if not key or not answer.whole or answer.status not in ANSWERED_STATUSES:
            continue
        known = first.setdefault(key, answer)
        if known.digest != answer.digest:
            message = f"key {key!r} got two different answers"
            violations.append(Violation("own_answer", message, (known, answer)))
    return violations


def _check_races(history: History) -> list[Violation]:
    races = defaultdict(list)
    for told in history.publications:
        races[told.path, told.base].append(told)
    winners = defaultdict(list)
    for record in history.logged_publications:
        if record.accepted:
            winners[record.path, record.base].append(record)
    violations = []
    for race, told in sorted(races.items()):
        won = [record for record in told if record.result is PublishResult.ACCEPTED]
        if len(won) > 1 or len(winners[race]) > 1:
            message = f"several publications of {race[0]} from base {race[1]} won"
            violations.append(Violation("publication", message, (*told, *winners[race])))
        elif _all_lost(told) and not winners[race]:
            message = f"no publication of {race[0]} from base {race[1]} won"
            violations.append(Violation("publication", message, tuple(told)))
    return violations


def _all_lost(told: list[Publication]) -> bool:
    return all(record.result is PublishResult.CONFLICT for record in told)


def _find_cut(answer: Answer | None) -> str:
    if answer is None:
        return "there is no answer"
    if answer.loss == ABANDONED:
        return ""
    if not answer.connected:
        return ""  # The listening socket was closed; a load balancer takes another entry.
    if answer.loss:
        return answer.loss
    if answer.status in REFUSAL_STATUSES and answer.code in CUT_CODES:
        return f"it was refused with {answer.code}"
    return ""


def _overlapping(
    disturbances: Iterable[Disturbance], since: float, until: float
) -> list[Disturbance]:
    return [
        found for found in disturbances if found.since <= until and since <= found.until + SETTLE_S
    ]
