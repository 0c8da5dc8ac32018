"""Model of the controller lease and of orders to one engine.

Code: `figwalk.state.control.Control` derives the lease and the valid orders from the log;
`figwalk.coordination.lease.Lease` acquires the lease; an agent confirms and sends orders in
`figwalk.agent.order_executor`; an entry confirms in
`figwalk.entry.backends.Backends.confirm_desired`.

The engine ignores fencing numbers. Time is not modelled: a candidate may claim at any moment, as
if every lease expired immediately, and a holder only learns that it was replaced when it reads the
log. Appends are delivered late, in any order, or never.

Assumption: the engine reads what a killed agent wrote to it before the next agent on the same VM
sends an order (one loopback connection, and the new agent reads the engine's state first).
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import attrs
from minicheck import Protocol

HOLDERS = (0, 1)
MAX_CLAIMS = 3
MAX_ORDERS = 2
MAX_AGENT_KILLS = 1
NO_OFFSET = -1

# Log records: ("claim", holder, term that it follows) and ("order", term, number). A term is the
# offset of the claim that began it, or `NO_OFFSET` before the first one.
LogRecord = tuple[str, int, int]


@attrs.frozen(cache_hash=True)
class State:
    """Global state.

    Attributes:
        log: Records in order.
        appends: Appends in flight.
        terms: Term that each holder believes it holds, or `NO_OFFSET`.
        claims_made: Claims appended so far.
        orders_made: Orders appended so far.
        desired: Offset of the order that the agent received last, or `NO_OFFSET`.
        confirmed: Offset of the order confirmed by a read to the head of the log, or `NO_OFFSET`.
        done: Newest order offset that the engine executed, as far as the agent knows.
        executed: Offsets of the orders that the engine executed, in sequence.
        direct_orders: Terms and numbers of orders in flight that are not in the log; only in the
            variant `direct_orders`.
        executed_terms: Terms of the orders that the engine executed, in sequence.
        agent_kills: Number of times that the agent was killed.
    """

    log: tuple[LogRecord, ...] = ()
    appends: frozenset[LogRecord] = frozenset()
    terms: tuple[int, int] = (NO_OFFSET, NO_OFFSET)
    claims_made: int = 0
    orders_made: int = 0
    desired: int = NO_OFFSET
    confirmed: int = NO_OFFSET
    done: int = NO_OFFSET
    executed: tuple[int, ...] = ()
    direct_orders: frozenset[tuple[int, int]] = frozenset()
    executed_terms: tuple[int, ...] = ()
    agent_kills: int = 0


Step = tuple[str, State]

VARIANTS = {
    "orders_without_term_check": "no_older_term_after_newer",
    "direct_orders": "no_older_term_after_newer",
    "no_confirmation": "orders_never_go_back",
    "claim_without_compare": "one_holder_at_a_time",
}


@attrs.frozen(cache_hash=True)
class ReplayedState:
    """State that results from applying the records of a log prefix."""

    term: int = NO_OFFSET
    holder: int = NO_OFFSET
    order: int = NO_OFFSET


def replay(log: tuple[LogRecord, ...], variant: str) -> ReplayedState:
    """Apply the records of a log prefix; return the term, holder and newest valid order."""
    state = ReplayedState()
    for offset, (kind, first, second) in enumerate(log):
        if kind == "claim":
            if second == state.term or variant == "claim_without_compare":
                state = ReplayedState(offset, first, state.order)
        elif first == state.term or variant == "orders_without_term_check":
            state = attrs.evolve(state, order=offset)
    return state


def build(variant: str = "") -> Protocol:
    """Return the model, or one of its broken variants."""

    def transitions(raw: tuple[State]) -> list[tuple[str, tuple[State]]]:
        return [(name, (state,)) for name, state in _steps(raw[0], variant)]

    return Protocol(
        name=f"authority{'/' + variant if variant else ''}",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=transitions,
        invariants={
            "no_older_term_after_newer": lambda d: _ascending(d["state"].executed_terms),
            "orders_never_go_back": lambda d: _ascending(d["state"].executed),
            "executed_orders_are_valid": lambda d: _executed_orders_are_valid(d["state"], variant),
            "one_holder_at_a_time": lambda d: _claims_are_consecutive(d["state"], variant),
        },
    )


def _ascending(values: tuple[int, ...]) -> bool:
    return all(a <= b for a, b in itertools.pairwise(values))


def _executed_orders_are_valid(state: State, variant: str) -> bool:
    """Return whether each executed order has the term that was current at its offset."""
    if variant:
        return True
    return all(
        state.log[offset][1] == replay(state.log[:offset], variant).term
        for offset in state.executed
    )


def _claims_are_consecutive(state: State, variant: str) -> bool:
    """Return whether each claim that acquired the lease names the claim that held it before."""
    for offset, (kind, _holder, after) in enumerate(state.log):
        before = replay(state.log[:offset], variant)
        acquired = kind == "claim" and replay(state.log[: offset + 1], variant).term == offset
        if acquired and after != before.term:
            return False
    return True


def _steps(state: State, variant: str) -> Iterator[Step]:
    for holder in HOLDERS:
        yield from _holder_steps(state, holder, variant)
    for record in state.appends:
        yield (
            f"log appends {record}",
            attrs.evolve(state, log=(*state.log, record), appends=state.appends - {record}),
        )
    yield from _agent_steps(state, variant)
    for direct in state.direct_orders:
        yield (
            f"engine executes direct order of term {direct[0]}",
            attrs.evolve(
                state,
                direct_orders=state.direct_orders - {direct},
                executed_terms=(*state.executed_terms, direct[0]),
            ),
        )


def _holder_steps(state: State, holder: int, variant: str) -> Iterator[Step]:
    known = replay(state.log, variant)
    if state.claims_made < MAX_CLAIMS:
        # The candidate may have read any prefix of the log.
        for after in {replay(state.log[:end], variant).term for end in range(len(state.log) + 1)}:
            yield (
                f"h{holder} claims after {after}",
                attrs.evolve(
                    state,
                    appends=state.appends | {("claim", holder, after)},
                    claims_made=state.claims_made + 1,
                ),
            )
    if known.holder == holder and state.terms[holder] != known.term:
        terms = tuple(known.term if h == holder else t for h, t in enumerate(state.terms))
        yield f"h{holder} reads that it holds term {known.term}", attrs.evolve(state, terms=terms)
    term = state.terms[holder]
    if term == NO_OFFSET or state.orders_made >= MAX_ORDERS:
        return
    number = state.orders_made
    if variant == "direct_orders":
        direct_orders = state.direct_orders | {(term, number)}
        yield (
            f"h{holder} sends order {number} directly",
            attrs.evolve(state, direct_orders=direct_orders, orders_made=number + 1),
        )
    else:
        appends = state.appends | {("order", term, number)}
        yield (
            f"h{holder} appends order {number} of term {term}",
            attrs.evolve(state, appends=appends, orders_made=number + 1),
        )


def _agent_steps(state: State, variant: str) -> Iterator[Step]:
    # An entry may have read any prefix of the log, and sends the newest order in it.
    for order in {replay(state.log[:end], variant).order for end in range(len(state.log) + 1)}:
        if order > state.desired:
            yield f"agent receives order {order}", attrs.evolve(state, desired=order)
    if state.desired > state.done:
        if variant == "no_confirmation":
            if state.confirmed != state.desired:
                yield "agent skips the check", attrs.evolve(state, confirmed=state.desired)
        else:
            newest = replay(state.log, variant).order
            if state.confirmed != newest:
                yield (
                    f"agent confirms order {newest}",
                    attrs.evolve(state, desired=newest, confirmed=newest),
                )
    if state.confirmed > state.done:
        yield (
            f"engine executes order {state.confirmed}",
            attrs.evolve(
                state,
                done=state.confirmed,
                executed=(*state.executed, state.confirmed),
                executed_terms=(*state.executed_terms, state.log[state.confirmed][1]),
            ),
        )
    if state.agent_kills < MAX_AGENT_KILLS:
        # The new agent knows no order, and an engine that ignores numbers can't report one.
        yield (
            "agent is killed and restarts",
            attrs.evolve(
                state,
                desired=NO_OFFSET,
                confirmed=NO_OFFSET,
                done=NO_OFFSET,
                agent_kills=state.agent_kills + 1,
            ),
        )
