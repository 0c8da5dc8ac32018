"""In-memory table of claimed calls, so that the agent runs each claim at most once.

A claim reserves an idempotency key for one call, which may not be repeated.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable

import attrs

from figwalk.errors import CallOutcome, RefusalError
from figwalk.protocol.messages import KeyLookup, KeyState, KeyStatus
from figwalk.transport import Headers

INCARNATION_BITS = 64
# A KeyStatus has to fit into one frame of 4 MiB, so larger answers are not stored.
MAX_STORED_BODY_BYTES = 1024 * 1024
# Bodies stored for one incarnation. The memory budget of an idle process is 64 MB, and the agent
# stores two incarnations.
MAX_STORED_BYTES = 8 * 1024 * 1024


@attrs.define
class _Claim:
    """State and stored answer of one claim."""

    state: KeyState
    status: int = 0
    headers: Headers = attrs.field(factory=list)
    body: bytes = b""


@attrs.define
class _Generation:
    """Claims that name one incarnation."""

    entries: dict[str, _Claim] = attrs.field(factory=dict)
    kept_bytes: int = 0


class KeyMemory:
    """Stores the claims of the current incarnation and of the previous one.

    An incarnation is a random number that identifies one generation of the table. The call of a
    claim that names an earlier incarnation never starts. When the table is full, the agent draws a
    new incarnation, which voids all claims of the old one whose calls have not arrived.

    Args:
        limit: Maximum number of claims of one incarnation.
        on_new_incarnation: Called after a new incarnation was drawn.
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
        """Current incarnation, which new claims have to name."""
        return self._incarnation

    def begin(self, claim_id: str, incarnation: int) -> None:
        """Record that a claimed call arrived and may run.

        Raises:
            RefusalError: The claim names another incarnation, is void, or has already run.
        """
        generation = self._generations.get(incarnation)
        claim = generation.entries.get(claim_id) if generation else None
        if claim is not None and claim.state is KeyState.VOIDED:
            raise RefusalError("voided", "the claim was voided before the call arrived")
        if claim is not None:
            raise RefusalError(
                "duplicate_claim",
                "a call with this claim has already arrived",
                outcome=CallOutcome.UNKNOWN,
            )
        self._make_room()
        if incarnation != self._incarnation:
            raise RefusalError("incarnation", "the claim names another incarnation of the agent")
        self._generations[incarnation].entries[claim_id] = _Claim(KeyState.RUNNING)

    def void(self, claim_id: str, incarnation: int) -> None:
        """Record that a claimed call was refused before it was sent, and will never run."""
        self._set(claim_id, incarnation, _Claim(KeyState.VOIDED))

    def record_lost(self, claim_id: str, incarnation: int) -> None:
        """Record that a claimed call was sent and that its answer is lost."""
        self._set(claim_id, incarnation, _Claim(KeyState.UNKNOWN))

    def finish(
        self, claim_id: str, incarnation: int, status: int, headers: Headers, body: bytes
    ) -> None:
        """Store the answer of a claimed call; an answer above the size limit counts as lost."""
        if len(body) > MAX_STORED_BODY_BYTES:
            self.record_lost(claim_id, incarnation)
            return
        self._generations[incarnation].kept_bytes += len(body)
        self._set(claim_id, incarnation, _Claim(KeyState.FINISHED, status, headers, body))

    def look_up(self, lookup: KeyLookup) -> KeyStatus:
        """Return the state of a claim for an entry; void the claim if its call has not arrived."""
        generation = self._generations.get(lookup.incarnation)
        if generation is None:
            return KeyStatus(lookup.claim_id, KeyState.UNKNOWN)
        claim = generation.entries.get(lookup.claim_id)
        if claim is None:
            # The call of an old incarnation's claim can't start any more, so it needs no record.
            if lookup.incarnation == self._incarnation:
                generation.entries[lookup.claim_id] = _Claim(KeyState.VOIDED)
                self._make_room()
            return KeyStatus(lookup.claim_id, KeyState.VOIDED)
        return KeyStatus(lookup.claim_id, claim.state, claim.status, claim.headers, claim.body)

    def _set(self, claim_id: str, incarnation: int, claim: _Claim) -> None:
        self._generations[incarnation].entries[claim_id] = claim

    def _make_room(self) -> None:
        generation = self._generations[self._incarnation]
        if len(generation.entries) < self._limit and generation.kept_bytes < MAX_STORED_BYTES:
            return
        previous = self._incarnation
        self._incarnation = _draw_incarnation()
        self._generations = {
            number: candidate
            for number, candidate in self._generations.items()
            if number == previous or _has_running(candidate)
        }
        self._generations[self._incarnation] = _Generation()
        self._on_new_incarnation()


def _has_running(generation: _Generation) -> bool:
    return any(claim.state is KeyState.RUNNING for claim in generation.entries.values())


def _draw_incarnation() -> int:
    return secrets.randbits(INCARNATION_BITS)
