"""Model of publishing and adopting configuration: one path, two operators, two processes.

Code: `figwalk.coordination.publisher.Publisher.publish` appends publications, which
`figwalk.state.configuration.Configuration` applies. A process adopts them from the log by
`figwalk.coordination.log_follower.LogFollower` and from peers by
`figwalk.entry.entry_peers.EntryPeers.adopt_configuration`.

Appends are delivered late, twice, or never, and their answers may be lost. A restarted process
recovers its state from the log or from the other process.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from minicheck import Protocol

OPERATORS = (0, 1)
PROCESSES = (0, 1)
MAX_APPENDS = 2  # Each operator may append its record again after a lost answer.
MAX_RESTARTS = 1

WAITING = "waiting"
APPENDING = "appending"
REPORTED_ACCEPTED = "accepted"
REPORTED_CONFLICT = "conflict"

# Log records: (operator, base revision). The operator represents the record id.
LogRecord = tuple[int, int]


@attrs.frozen(cache_hash=True)
class Operator:
    """One operator.

    Attributes:
        phase: Phase of its publication.
        base: Revision that its change is based on.
        appends: Number of appends so far.
    """

    phase: str = WAITING
    base: int = 0
    appends: int = 0


@attrs.frozen(cache_hash=True)
class State:
    """Global state.

    Attributes:
        log: Records in order.
        appends_in_flight: Appends in flight, as (record, number of the attempt).
        operators: Both operators.
        revisions: Revision in force at each process; 0 for none.
        reverted: Whether a running process returned to an older revision.
        restarts: Number of process restarts so far.
    """

    log: tuple[LogRecord, ...] = ()
    appends_in_flight: frozenset[tuple[LogRecord, int]] = frozenset()
    operators: tuple[Operator, Operator] = (Operator(), Operator())
    revisions: tuple[int, int] = (0, 0)
    reverted: bool = False
    restarts: int = 0


Step = tuple[str, State]

VARIANTS = {
    "no_compare": "one_winner_for_a_base",
    "lost_answer_is_conflict": "told_the_truth",
    "peer_state_always_adopted": "never_reverts",
}


def replay(log: tuple[LogRecord, ...], variant: str) -> tuple[int, frozenset[int]]:
    """Apply the records; return the revision and the operators with an accepted publication."""
    revision = 0
    accepted: set[int] = set()
    seen: set[int] = set()
    for offset, (operator, base) in enumerate(log):
        if operator in seen:
            continue
        seen.add(operator)
        if base == revision or variant == "no_compare":
            revision = offset + 1
            accepted.add(operator)
    return revision, frozenset(accepted)


def build(variant: str = "") -> Protocol:
    """Return the model, or one of its broken variants."""

    def transitions(raw: tuple[State]) -> list[tuple[str, tuple[State]]]:
        return [(name, (state,)) for name, state in _steps(raw[0], variant)]

    return Protocol(
        name=f"configuration{'/' + variant if variant else ''}",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=transitions,
        invariants={
            "one_winner_for_a_base": lambda d: _one_winner(d["state"], variant),
            "told_the_truth": lambda d: _reports_are_true(d["state"], variant),
            "never_reverts": lambda d: not d["state"].reverted,
        },
    )


def _one_winner(state: State, variant: str) -> bool:
    _revision, accepted = replay(state.log, variant)
    bases = [operator.base for i, operator in enumerate(state.operators) if i in accepted]
    return len(bases) == len(set(bases))


def _reports_are_true(state: State, variant: str) -> bool:
    _revision, accepted = replay(state.log, variant)
    for index, operator in enumerate(state.operators):
        if operator.phase == REPORTED_ACCEPTED and index not in accepted:
            return False
        if operator.phase == REPORTED_CONFLICT and index in accepted:
            return False
    return True


def _steps(state: State, variant: str) -> Iterator[Step]:
    for index in OPERATORS:
        yield from _operator_steps(state, index, variant)
    for item in state.appends_in_flight:
        yield (
            f"log appends {item}",
            attrs.evolve(
                state, log=(*state.log, item[0]), appends_in_flight=state.appends_in_flight - {item}
            ),
        )
    for process in PROCESSES:
        yield from _process_steps(state, process, variant)


def _operator_steps(state: State, index: int, variant: str) -> Iterator[Step]:
    operator = state.operators[index]
    if operator.phase == WAITING:
        # The operator may have read any earlier revision.
        for base in {replay(state.log[:end], variant)[0] for end in range(len(state.log) + 1)}:
            yield from _append(state, index, attrs.evolve(operator, phase=APPENDING, base=base))
    elif operator.phase == APPENDING:
        if operator.appends < MAX_APPENDS:
            yield from _append(state, index, operator)
        if any(record[0] == index for record in state.log):
            _revision, accepted = replay(state.log, variant)
            phase = REPORTED_ACCEPTED if index in accepted else REPORTED_CONFLICT
            yield f"o{index} receives {phase}", _with_operator(state, index, phase)
        elif variant == "lost_answer_is_conflict":
            yield f"o{index} times out", _with_operator(state, index, REPORTED_CONFLICT)


def _append(state: State, index: int, operator: Operator) -> Iterator[Step]:
    copy = ((index, operator.base), operator.appends)
    operator = attrs.evolve(operator, appends=operator.appends + 1)
    operators = tuple(operator if i == index else o for i, o in enumerate(state.operators))
    yield (
        f"o{index} appends from base {operator.base}",
        attrs.evolve(
            state, operators=operators, appends_in_flight=state.appends_in_flight | {copy}
        ),
    )


def _with_operator(state: State, index: int, phase: str) -> State:
    operators = tuple(
        attrs.evolve(o, phase=phase) if i == index else o for i, o in enumerate(state.operators)
    )
    return attrs.evolve(state, operators=operators)


def _process_steps(state: State, process: int, variant: str) -> Iterator[Step]:
    present = state.revisions[process]
    # A process may lag behind the head of the log, but continues reading from its position.
    for revision in {replay(state.log[:end], variant)[0] for end in range(len(state.log) + 1)}:
        if revision > present:
            yield f"p{process} reads revision {revision}", _adopt(state, process, revision)
    peer = state.revisions[1 - process]
    if peer > present or (variant == "peer_state_always_adopted" and peer != present):
        yield f"p{process} adopts revision {peer} from its peer", _adopt(state, process, peer)
    if state.restarts < MAX_RESTARTS and present:
        revisions = tuple(0 if p == process else r for p, r in enumerate(state.revisions))
        yield (
            f"p{process} restarts",
            attrs.evolve(state, revisions=revisions, restarts=state.restarts + 1),
        )


def _adopt(state: State, process: int, revision: int) -> State:
    reverted = state.reverted or revision < state.revisions[process]
    revisions = tuple(revision if p == process else r for p, r in enumerate(state.revisions))
    return attrs.evolve(state, revisions=revisions, reverted=reverted)
