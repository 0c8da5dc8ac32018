"""Model of calls that may not be repeated: one key, two entries, one agent slot.

Code: claims are folded by `figwalk.state.claims.Claims`, written by
`figwalk.coordination.claim_writer.ClaimWriter.claim`, decided and settled in
`figwalk.entry.keyed_calls.KeyedCalls`, and run or voided by the agent's key memory
(`figwalk.agent.key_memory`).

Every step of a process can be delayed for any time, which covers pauses. Appends and calls are
messages in a set, delivered in any order or never, which covers lost answers, late writes and
reordering. Entries and the agent can be killed and restarted; they keep nothing.
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
LOOKED = "looked"
CLAIMING = "claiming"
WON = "won"
SENT = "sent"
ASKING = "asking"
RELEASING = "releasing"
ANSWERED = "answered"
SAID_NOT_RUN = "said_not_run"
SAID_UNKNOWN = "said_unknown"

NO_CLAIM = -1

# Log records: ("claim", claim id, agent incarnation) and ("release", claim id).
LogRecord = tuple[str, int, int]


@attrs.frozen(cache_hash=True)
class Entry:
    """One entry with the request that it is handling.

    Attributes:
        phase: Where its task stands.
        claim: Its own claim, or `NO_CLAIM`.
        asked: Claim of somebody else that it asks the agent about.
        incarnation: Agent incarnation that its claim names.
    """

    phase: str = IDLE
    claim: int = NO_CLAIM
    asked: int = NO_CLAIM
    incarnation: int = 0


@attrs.frozen(cache_hash=True)
class State:
    """Global state.

    Attributes:
        log: Records in order.
        appends: Appends under way.
        calls: Calls under way to the agent.
        entries: Both entries.
        incarnation: Present agent incarnation.
        started: Claims that the present incarnation ran.
        voided: Claims that the present incarnation voided.
        runs: How often the call ran.
        claims_made: Claim ids handed out.
        kills: Kills of entries and of the agent so far.
        lie: Whether `not_run` was said of a key that had run.
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
    lie: bool = False

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

    A claim that meets a live one loses for good, and so does one after its own release.
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
            "not_run_is_true": lambda d: not d["state"].lie,
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
        yield from _look(state, index, live)
    elif entry.phase == LOOKED:
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
    elif entry.phase == ASKING:
        yield from _ask(state, index, variant)
    elif entry.phase == RELEASING:
        yield from _release(state, index)


def _look(state: State, index: int, live: tuple[int, int] | None) -> Iterator[Step]:
    entry = state.entries[index]
    if live is not None:
        asking = attrs.evolve(entry, phase=ASKING, asked=live[0], incarnation=live[1])
        yield f"e{index} finds claim {live[0]}", state.with_entry(index, asking)
        return
    yield f"e{index} finds no claim", state.with_entry(index, attrs.evolve(entry, phase=LOOKED))
    # Proof for `not_run`: a read to the head of the log finds no live claim.
    refused = attrs.evolve(entry, phase=SAID_NOT_RUN)
    lie = state.lie or state.runs > 0
    yield f"e{index} says not_run", state.with_entry(index, refused, lie=lie)


def _claim(state: State, index: int, variant: str) -> Iterator[Step]:
    if state.claims_made >= MAX_CLAIMS:
        return
    claim = state.claims_made
    # The entry may know an agent incarnation that has ended since.
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
        # The log is down: the claim may still be appended later, but is never sent.
        unknown = attrs.evolve(entry, phase=SAID_UNKNOWN)
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
        refused = attrs.evolve(entry, phase=SAID_NOT_RUN)
        lie = state.lie or state.runs > 0
        yield f"e{index} times out", state.with_entry(index, refused, lie=lie)
    else:
        asking = attrs.evolve(entry, phase=ASKING, asked=entry.claim)
        yield f"e{index} loses the answer", state.with_entry(index, asking)


def _ask(state: State, index: int, variant: str) -> Iterator[Step]:
    entry = state.entries[index]
    unknown = attrs.evolve(entry, phase=SAID_UNKNOWN)
    yield f"e{index} gets no reply", state.with_entry(index, unknown)
    checks = variant != "lookup_ignores_incarnation"
    if checks and entry.incarnation != state.incarnation:
        return
    if entry.asked in state.started and variant != "release_before_lookup":
        answered = attrs.evolve(entry, phase=ANSWERED)
        yield f"e{index} replays", state.with_entry(index, answered)
        return
    voided = state.voided
    if variant != "lookup_does_not_void":
        voided = voided | {entry.asked}
    releasing = attrs.evolve(entry, phase=RELEASING)
    yield f"e{index} voids {entry.asked}", state.with_entry(index, releasing, voided=voided)


def _release(state: State, index: int) -> Iterator[Step]:
    entry = state.entries[index]
    appends = state.appends | {("release", entry.asked, 0)}
    yield f"e{index} releases {entry.asked}", state.with_entry(index, Entry(), appends=appends)


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
