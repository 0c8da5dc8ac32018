"""Memory of calls that may not be repeated, so that each claim runs at most once here."""

from __future__ import annotations

import secrets
from collections.abc import Callable

import attrs

from figwalk.errors import CallOutcome, RefusalError
from figwalk.protocol.messages import KeyLookup, KeyState, KeyStatus
from figwalk.transport import Headers

INCARNATION_BITS = 64
# A KeyStatus has to fit into one frame of 4 MiB; larger answers are not kept.
MAX_KEPT_BODY_BYTES = 1024 * 1024
# Bodies kept by one incarnation; a process may use 64 MB when idle and keeps two incarnations.
MAX_KEPT_BYTES = 8 * 1024 * 1024


@attrs.define
class _Entry:
    """What is known of one claim."""

    state: KeyState
    status: int = 0
    headers: Headers = attrs.field(factory=list)
    body: bytes = b""


@attrs.define
class _Generation:
    """Claims of one incarnation."""

    entries: dict[str, _Entry] = attrs.field(factory=dict)
    kept_bytes: int = 0


class KeyMemory:
    """Remembers claims of the current incarnation and of the one before it.

    A claim of an earlier incarnation never starts. When the memory is full, a new incarnation is
    drawn, which voids all claims of the old one that have not arrived.

    Args:
        limit: Claims remembered for one incarnation.
        on_new_incarnation: Called when a new incarnation was drawn.
    """

    def __init__(
        self, limit: int, *, on_new_incarnation: Callable[[], None] = lambda: None
    ) -> None:
        self._limit = limit
        self._on_new_incarnation = on_new_incarnation
        self._incarnation = _draw_incarnation()
        self._generations = {self._incarnation: _Generation()}

    @property
    def incarnation(self) -> int:
        """Incarnation that claims have to name."""
        return self._incarnation

    def begin(self, claim_id: str, incarnation: int) -> None:
        """Note that a claimed call arrived and may run.

        Raises:
            RefusalError: The claim names another incarnation, is void, or has already run.
        """
        generation = self._generations.get(incarnation)
        entry = generation.entries.get(claim_id) if generation else None
        if entry is not None and entry.state is KeyState.VOIDED:
            raise RefusalError("voided", "the claim was voided before the call arrived")
        if entry is not None:
            raise RefusalError(
                "duplicate_claim",
                "a call with this claim has already arrived",
                outcome=CallOutcome.UNKNOWN,
            )
        self._make_room()
        if incarnation != self._incarnation:
            raise RefusalError("incarnation", "the claim names another incarnation of the agent")
        self._generations[incarnation].entries[claim_id] = _Entry(KeyState.RUNNING)

    def void(self, claim_id: str, incarnation: int) -> None:
        """Note that a claimed call was refused before it was sent and never runs."""
        self._set(claim_id, incarnation, _Entry(KeyState.VOIDED))

    def lose(self, claim_id: str, incarnation: int) -> None:
        """Note that a claimed call was sent and its answer is lost."""
        self._set(claim_id, incarnation, _Entry(KeyState.UNKNOWN))

    def finish(
        self, claim_id: str, incarnation: int, status: int, headers: Headers, body: bytes
    ) -> None:
        """Keep the whole answer of a claimed call."""
        if len(body) > MAX_KEPT_BODY_BYTES:
            self.lose(claim_id, incarnation)
            return
        self._generations[incarnation].kept_bytes += len(body)
        self._set(claim_id, incarnation, _Entry(KeyState.FINISHED, status, headers, body))

    def look_up(self, lookup: KeyLookup) -> KeyStatus:
        """Answer an entry about a claim; one that has not arrived is voided."""
        generation = self._generations.get(lookup.incarnation)
        if generation is None:
            return KeyStatus(lookup.claim_id, KeyState.UNKNOWN)
        entry = generation.entries.get(lookup.claim_id)
        if entry is None:
            # A claim of the previous incarnation can no longer start; it needs no new memory.
            if lookup.incarnation == self._incarnation:
                generation.entries[lookup.claim_id] = _Entry(KeyState.VOIDED)
                self._make_room()
            return KeyStatus(lookup.claim_id, KeyState.VOIDED)
        return KeyStatus(lookup.claim_id, entry.state, entry.status, entry.headers, entry.body)

    def _set(self, claim_id: str, incarnation: int, entry: _Entry) -> None:
        self._generations[incarnation].entries[claim_id] = entry

    def _make_room(self) -> None:
        generation = self._generations[self._incarnation]
        if len(generation.entries) < self._limit and generation.kept_bytes < MAX_KEPT_BYTES:
            return
        previous = self._incarnation
        self._incarnation = _draw_incarnation()
        self._generations = {
            number: kept
            for number, kept in self._generations.items()
            if number == previous or _has_running(kept)
        }
        self._generations[self._incarnation] = _Generation()
        self._on_new_incarnation()


def _has_running(generation: _Generation) -> bool:
    return any(entry.state is KeyState.RUNNING for entry in generation.entries.values())


def _draw_incarnation() -> int:
    return secrets.randbits(INCARNATION_BITS)
