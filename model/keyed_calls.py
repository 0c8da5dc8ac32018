"""Model of calls that must not be repeated: one key, two entries, one agent slot.

Code: `figwalk.coordination.claim_writer.ClaimWriter.claim` appends claims, which
`figwalk.state.claims.Claims` applies. `figwalk.entry.keyed_calls.KeyedCalls` decides whether a
call is sent and what the caller receives, and the agent's key memory
(`figwalk.agent.key_memory`) runs or voids a claim.

Every step of a process can be delayed for any time, which covers pauses. Appends and calls are
messages in a set, delivered in any order or never, which covers lost answers, late writes and
reordering. Entries and the agent can be killed and restarted, and lose their state then.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from minicheck import Protocol

ENTRIES = (0, 1)
MAX_CLAIMS = 2
MAX_ENTRY_KILLS = 1
MAX_AGENT_KILLS = 1

IDLE = "idle"
UNCLAIMED = "unclaimed"
CLAIMING = "claiming"
WON = "won"
SENT = "sent"
LOOKING_UP = "looking_up"
RELEASING = "releasing"
ANSWERED = "answered"
REPORTED_NOT_RUN = "reported_not_run"
REPORTED_UNKNOWN = "reported_unknown"

NO_CLAIM = -1

# Log records: ("claim", claim id, agent incarnation) and ("release", claim id).
LogRecord = tuple[str, int, int]


@attrs.frozen(cache_hash=True)
class Entry:
    """One entry with the request that it is handling.

    Attributes:
        phase: Phase of the request.
        claim: Its own claim, or `NO_CLAIM`.
        looked_up: Claim, of either entry, that it looks up at the agent.
        incarnation: Agent incarnation that the claim names.
    """

    phase: str = IDLE
    claim: int = NO_CLAIM
    looked_up: int = NO_CLAIM
    incarnation: int = 0


@attrs.frozen(cache_hash=True)
class State:
    """Global state.

    Attributes:
        log: Records in order.
        appends: Appends in flight.
        calls: Calls in flight to the agent.
        entries: Both entries.
        incarnation: Current agent incarnation.
        started: Claims that the current incarnation ran.
        voided: Claims that the current incarnation voided.
        runs: Number of times that the call ran.
        claims_made: Number of claim ids assigned.
        kills: Number of times that entries and the agent were killed.
        false_not_run: Whether an entry reported `not_run` for a call that had run.
    """

    log: tuple[LogRecord, ...] = ()
    appends: frozenset[LogRecord] = frozenset()
    calls: frozenset[tuple[int, int]] = frozenset()
    entries: tuple[Entry, Entry] = (Entry(), Entry())
    incarnation: int = 0
    started: frozenset[int] = frozenset()
    voided: frozenset[int] = frozenset()
    runs: int = 0
    claims_made: int = 0
    kills: tuple[int, int] = (0, 0)
    false_not_run: bool = False

    def with_entry(self, index: int, entry: Entry, **changes: object) -> State:
        """Return the state with one entry and other fields replaced."""
        entries = (entry, self.entries[1]) if index == 0 else (self.entries[0], entry)
        return attrs.evolve(self, entries=entries, **changes)


Step = tuple[str, State]

VARIANTS = {
    "no_read_back": "at_most_once",
    "lookup_does_not_void": "at_most_once",
    "lookup_ignores_incarnation": "at_most_once",
    "release_before_lookup": "at_most_once",
    "timeout_is_not_run": "not_run_is_true",
}


def find_live_claim(log: tuple[LogRecord, ...]) -> tuple[int, int] | None:
    """Return id and incarnation of the claim that holds the key, or None.

    A claim that is appended while another is live loses permanently, as does a claim that is
    appended after its own release.
    """
    live: tuple[int, int] | None = None
    released: set[int] = set()
    for kind, claim, incarnation in log:
        if kind == "release":
            released.add(claim)
        if kind == "claim":
            if claim in released:
                continue
            if live is None:
                live = (claim, incarnation)
        elif live is not None and live[0] == claim:
            live = None
    return live


def build(variant: str = "") -> Protocol:
    """Return the model, or one of its broken variants."""

    def transitions(raw: tuple[State]) -> list[tuple[str, tuple[State]]]:
        return [(name, (state,)) for name, state in _steps(raw[0], variant)]

    return Protocol(
        name=f"keyed_calls{'/' + variant if variant else ''}",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=transitions,
        invariants={
            "at_most_once": lambda d: d["state"].runs <= 1,
            "not_run_is_true": lambda d: not d["state"].false_not_run,
        },
    )


def _steps(state: State, variant: str) -> Iterator[Step]:
    for index in ENTRIES:
        yield from _entry_steps(state, index, variant)
        yield from _kill_entry(state, index)
    yield from _log_steps(state)
    yield from _agent_steps(state)


def _entry_steps(state: State, index: int, variant: str) -> Iterator[Step]:
    entry = state.entries[index]
    live = find_live_claim(state.log)
    if entry.phase == IDLE:
        yield from _read_log(state, index, live)
    elif entry.phase == UNCLAIMED:
        yield from _claim(state, index, variant)
    elif entry.phase == CLAIMING:
        yield from _read_back(state, index, live, variant)
    elif entry.phase == WON:
        sent = state.calls | {(entry.claim, entry.incarnation)}
        yield (
            f"e{index} sends",
            state.with_entry(index, attrs.evolve(entry, phase=SENT), calls=sent),
        )
    elif entry.phase == SENT:
        yield from _await_answer(state, index, variant)
    elif entry.phase == LOOKING_UP:
        yield from _look_up(state, index, variant)
    elif entry.phase == RELEASING:
        yield from _release(state, index)


def _read_log(state: State, index: int, live: tuple[int, int] | None) -> Iterator[Step]:
    entry = state.entries[index]
    if live is not None:
        looking_up = attrs.evolve(entry, phase=LOOKING_UP, looked_up=live[0], incarnation=live[1])
        yield f"e{index} finds claim {live[0]}", state.with_entry(index, looking_up)
        return
    yield f"e{index} finds no claim", state.with_entry(index, attrs.evolve(entry, phase=UNCLAIMED))
    # `not_run` is correct here because a read to the head of the log found no live claim.
    refused = attrs.evolve(entry, phase=REPORTED_NOT_RUN)
    false_not_run = state.false_not_run or state.runs > 0
    yield f"e{index} reports not_run", state.with_entry(index, refused, false_not_run=false_not_run)


def _claim(state: State, index: int, variant: str) -> Iterator[Step]:
    if state.claims_made >= MAX_CLAIMS:
        return
    claim = state.claims_made
    # The entry may know an agent incarnation that has been replaced since.
    for incarnation in range(state.incarnation + 1):
        appends = state.appends | {("claim", claim, incarnation)}
        phase = WON if variant == "no_read_back" else CLAIMING
        entry = Entry(phase, claim, NO_CLAIM, incarnation)
        yield (
            f"e{index} appends claim {claim} for incarnation {incarnation}",
            state.with_entry(index, entry, appends=appends, claims_made=claim + 1),
        )


def _read_back(
    state: State, index: int, live: tuple[int, int] | None, variant: str
) -> Iterator[Step]:
    entry = state.entries[index]
    claimed = any(kind == "claim" and claim == entry.claim for kind, claim, _ in state.log)
    if not claimed:
        # The log is unavailable: the claim may still be appended later, but its call is never sent.
        unknown = attrs.evolve(entry, phase=REPORTED_UNKNOWN)
        appends = state.appends | {("release", entry.claim, 0)}
        yield f"e{index} gives up", state.with_entry(index, unknown, appends=appends)
        return
    if live is not None and live[0] == entry.claim:
        yield f"e{index} won", state.with_entry(index, attrs.evolve(entry, phase=WON))
    else:
        yield f"e{index} lost", state.with_entry(index, Entry())


def _await_answer(state: State, index: int, variant: str) -> Iterator[Step]:
    entry = state.entries[index]
    if entry.incarnation == state.incarnation and entry.claim in state.started:
        yield f"e{index} answers", state.with_entry(index, attrs.evolve(entry, phase=ANSWERED))
    if variant == "timeout_is_not_run":
        refused = attrs.evolve(entry, phase=REPORTED_NOT_RUN)
        false_not_run = state.false_not_run or state.runs > 0
        yield f"e{index} times out", state.with_entry(index, refused, false_not_run=false_not_run)
    else:
        looking_up = attrs.evolve(entry, phase=LOOKING_UP, looked_up=entry.claim)
        yield f"e{index} loses the answer", state.with_entry(index, looking_up)


def _look_up(state: State, index: int, variant: str) -> Iterator[Step]:
    entry = state.entries[index]
    unknown = attrs.evolve(entry, phase=REPORTED_UNKNOWN)
    yield f"e{index} gets no reply", state.with_entry(index, unknown)
    checks = variant != "lookup_ignores_incarnation"
    if checks and entry.incarnation != state.incarnation:
        return
    if entry.looked_up in state.started and variant != "release_before_lookup":
        answered = attrs.evolve(entry, phase=ANSWERED)
        yield f"e{index} replays", state.with_entry(index, answered)
        return
    voided = state.voided
    if variant != "lookup_does_not_void":
        voided = voided | {entry.looked_up}
    releasing = attrs.evolve(entry, phase=RELEASING)
    yield f"e{index} voids {entry.looked_up}", state.with_entry(index, releasing, voided=voided)


def _release(state: State, index: int) -> Iterator[Step]:
    entry = state.entries[index]
    appends = state.appends | {("release", entry.looked_up, 0)}
    yield f"e{index} releases {entry.looked_up}", state.with_entry(index, Entry(), appends=appends)


def _log_steps(state: State) -> Iterator[Step]:
    for record in state.appends:
        changes = {"log": (*state.log, record), "appends": state.appends - {record}}
        yield f"log appends {record}", attrs.evolve(state, **changes)


def _agent_steps(state: State) -> Iterator[Step]:
    for call in state.calls:
        claim, incarnation = call
        calls = state.calls - {call}
        accepted = (
            incarnation == state.incarnation
            and claim not in state.voided
            and claim not in state.started
        )
        if accepted:
            started = state.started | {claim}
            ran = attrs.evolve(state, calls=calls, started=started, runs=state.runs + 1)
            yield f"agent runs {claim}", ran
        else:
            yield f"agent refuses {claim}", attrs.evolve(state, calls=calls)
    entry_kills, agent_kills = state.kills
    if agent_kills < MAX_AGENT_KILLS:
        yield (
            "agent is killed and restarts",
            attrs.evolve(
                state,
                incarnation=state.incarnation + 1,
                started=frozenset(),
                voided=frozenset(),
                kills=(entry_kills, agent_kills + 1),
            ),
        )


def _kill_entry(state: State, index: int) -> Iterator[Step]:
    entry_kills, agent_kills = state.kills
    if entry_kills < MAX_ENTRY_KILLS and state.entries[index].phase != IDLE:
        kills = (entry_kills + 1, agent_kills)
        yield f"e{index} is killed", state.with_entry(index, Entry(), kills=kills)
