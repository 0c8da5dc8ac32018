"""Model of the lease of the duties, with time, late appends and a restore of the log.

Code: `figwalk.duties.lease.DutyLease`; `figwalk.duties.lease_keeper.LeaseKeeper` makes its calls.

Time advances in ticks at any moment; all clocks run at the same rate. A process may pause at any
point, since no step is forced. An append takes effect at any later moment or never, if the log then
ends where it says, and its answer arrives at once or is lost; then the process reads the log. The
log may come back from any shorter copy with the next era.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from minicheck import Protocol

PROCESSES = (0, 1)
LEASE = 2  # Ticks.
LAST_TICK = 3
LAST_TICK_OF_VARIANTS = 2  # Enough for each counterexample.
MAX_APPENDS = 3
MAX_RESTORES = 1

Fence = tuple[int, int]


@attrs.frozen(cache_hash=True, order=True)
class Record:
    """A claim or renewal: its writer, era and offset of the claim, and number of the append."""

    holder: int
    era: int
    claim: int
    number: int


@attrs.frozen(cache_hash=True)
class Append:
    """An append in flight."""

    at: int
    record: Record
    sent_at: int


@attrs.frozen(cache_hash=True)
class Process:
    """What a process knows; at first, that the log was empty for a whole lease.

    Attributes:
        era: Era that it has seen.
        end: Offset after the newest record that it has read.
        newest: That record, or None.
        seen_at: Time at which it saw this state first.
        must_read: Whether it has to read before it appends anything.
        fence: Fencing token of its term, or None.
        until: Time at which its term ends.
        appends: Its appends without an answer.
    """

    era: int = 1
    end: int = 0
    newest: Record | None = None
    seen_at: int = -LEASE
    must_read: bool = False
    fence: Fence | None = None
    until: int = 0
    appends: frozenset[Append] = frozenset()


@attrs.frozen(cache_hash=True)
class State:
    """Global state.

    Attributes:
        now: Present tick.
        era: Era of the log.
        log: Records in order.
        processes: The processes.
        flights: Appends that may still take effect.
        appends_made: Appends sent so far.
        restores: Restores so far.
        highest: Highest fencing token of any term so far, or None.
        tokens_rise: Whether the token of each new term was above those of all earlier ones.
    """

    now: int = 0
    era: int = 1
    log: tuple[Record, ...] = ()
    processes: tuple[Process, ...] = (Process(),) * len(PROCESSES)
    flights: frozenset[Append] = frozenset()
    appends_made: int = 0
    restores: int = 0
    highest: Fence | None = None
    tokens_rise: bool = True


Step = tuple[str, State]

VARIANTS = {
    "claim_at_once": "one_holder_at_a_time",
    "unnumbered_appends": "one_holder_at_a_time",
    "counted_from_answer": "one_holder_at_a_time",
    "restore_ignored": "one_holder_at_a_time",
    "token_without_era": "tokens_rise_with_the_holder",
    "era_unchecked": "one_holder_at_a_time",
}


def build(variant: str = "") -> Protocol:
    """Return the model, or one of its broken variants."""

    def transitions(raw: tuple[State]) -> list[tuple[str, tuple[State]]]:
        return [(name, (state,)) for name, state in _steps(raw[0], variant)]

    return Protocol(
        name=f"duty_lease{'/' + variant if variant else ''}",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=transitions,
        invariants={
            "one_holder_at_a_time": lambda d: _has_one_holder(d["state"]),
            "tokens_rise_with_the_holder": lambda d: d["state"].tokens_rise,
        },
    )


def _has_one_holder(state: State) -> bool:
    return sum(_holds(process, state.now) for process in state.processes) <= 1


def _holds(process: Process, now: int) -> bool:
    return process.fence is not None and now < process.until


def _steps(state: State, variant: str) -> Iterator[Step]:
    if state.now < (LAST_TICK_OF_VARIANTS if variant else LAST_TICK):
        yield "time passes", attrs.evolve(state, now=state.now + 1)
    if state.restores < MAX_RESTORES:
        for kept in range(len(state.log)):
            yield (
                f"the log is restored to {kept} records",
                attrs.evolve(
                    state,
                    log=state.log[:kept],
                    era=state.era + 1,
                    restores=state.restores + 1,
                ),
            )
    for append in state.flights:
        yield from _delivery_steps(state, append, variant)
    for number in PROCESSES:
        yield from _process_steps(state, number, variant)


def _replace(state: State, number: int, process: Process, **changes: object) -> State:
    """Return the state after a process's step, with the token of a term that it has begun."""
    processes = tuple(process if n == number else p for n, p in enumerate(state.processes))
    fence, highest = process.fence, state.highest
    if _holds(process, state.now) and fence != state.processes[number].fence:
        changes["tokens_rise"] = state.tokens_rise and (highest is None or fence > highest)
        changes["highest"] = fence
    return attrs.evolve(state, processes=processes, **changes)


def _delivery_steps(state: State, append: Append, variant: str) -> Iterator[Step]:
    """Carry out an append at the log; its answer arrives or is lost."""
    flights = state.flights - {append}
    number = append.record.holder
    process = state.processes[number]
    if append.at != len(state.log):
        return
    log = (*state.log, append.record)
    yield f"{append} is appended, no answer", attrs.evolve(state, log=log, flights=flights)
    if append not in process.appends:
        return  # Nobody waits for the answer any more.
    process = attrs.evolve(process, appends=process.appends - {append})
    if state.era == append.record.era or variant == "era_unchecked":
        if process.era == state.era:
            process = attrs.evolve(
                process,
                end=len(log),
                newest=append.record,
                seen_at=state.now,
                must_read=False,
            )
        process = _confirm(process, append, state.now, variant)
    yield (
        f"{append} is appended and answered",
        _replace(state, number, process, log=log, flights=flights),
    )


def _confirm(process: Process, append: Append, now: int, variant: str) -> Process:
    fence = _fence(append.record, variant)
    start = now if variant == "counted_from_answer" else append.sent_at
    until = start + LEASE
    if process.fence == fence:
        return attrs.evolve(process, until=max(until, process.until))
    is_claim = append.record.claim == append.at
    if not is_claim or (process.fence is not None and process.fence > fence):
        return process
    return attrs.evolve(process, fence=fence, until=until)


def _fence(record: Record, variant: str) -> Fence:
    return (0 if variant == "token_without_era" else record.era, record.claim)


def _process_steps(state: State, number: int, variant: str) -> Iterator[Step]:
    process = state.processes[number]
    read = _read(process, number, state, variant)
    if read != process:
        yield f"p{number} reads", _replace(state, number, read)
    if process.must_read or state.appends_made >= MAX_APPENDS:
        return
    if state.appends_made == 0 and number > 0:
        return  # The processes are alike, so that the first one may be the first to claim.
    record = _next_record(process, state, number, variant)
    if record is None:
        return
    append = Append(process.end, record, state.now)
    waiting = attrs.evolve(process, must_read=True, appends=process.appends | {append})
    yield (
        f"p{number} sends {append}",
        _replace(
            state,
            number,
            waiting,
            flights=state.flights | {append},
            appends_made=state.appends_made + 1,
        ),
    )


def _next_record(process: Process, state: State, number: int, variant: str) -> Record | None:
    """Return the claim or renewal that a process may append now, or None."""
    now = state.now
    claim = Record(number, process.era, process.end, state.appends_made)
    if _holds(process, now):
        era, offset = process.fence
        if era not in (0, process.era):
            return claim  # The log was restored; nobody else may act yet.
        return Record(number, process.era, offset, state.appends_made)
    newest = process.newest
    is_own = newest is not None and newest.holder == number and newest.era == process.era
    if is_own or now - process.seen_at >= LEASE or variant == "claim_at_once":
        return claim
    return None


def _read(process: Process, number: int, state: State, variant: str) -> Process:
    """Return what a process knows after it has read the log to its end."""
    newest = state.log[-1] if state.log else None
    is_restored = state.era != process.era and variant != "restore_ignored"
    if is_restored or newest != process.newest or len(state.log) != process.end:
        process = attrs.evolve(process, seen_at=state.now)
    process = attrs.evolve(
        process, era=state.era, end=len(state.log), newest=newest, must_read=False
    )
    for offset, record in enumerate(state.log):
        for append in process.appends:
            is_own = append.record == record or (
                variant == "unnumbered_appends"
                and attrs.evolve(append.record, number=record.number) == record
            )
            if is_own and append.at == offset and record.era == state.era:
                process = _confirm(process, append, state.now, variant)
        if record.holder != number and _is_higher(record, process, variant):
            process = attrs.evolve(process, fence=None)
    return process


def _is_higher(record: Record, process: Process, variant: str) -> bool:
    return process.fence is not None and _fence(record, variant) > process.fence
