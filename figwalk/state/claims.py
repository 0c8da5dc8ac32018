"""Claims of idempotency keys, replayed from the stream `claims`."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from figwalk.protocol.records import Claim, ClaimBatch, Outcome, Record, Release
from figwalk.state.published import MAX_KEY_MEMORY_S
from figwalk.state.replayed_state import RecentIds, ReplayedState
from figwalk.timer import MS_PER_S

if TYPE_CHECKING:
    from figwalk.coordination.log_client import StoredRecord

# Long enough for an append that is delayed in the network, and short enough for the memory that
# several hundred record ids per second take.
RECENT_IDS_WINDOW_MS = 600_000

# Expired keys are removed after this delay, so that readers agree on whether a key was still
# claimed even if the log's clock steps back a little.
EXPIRY_SLACK_MS = 60_000

NEVER_MS = 2**63 - 1

Key = tuple[str, str, str]


@attrs.frozen
class KeyRecord:
    """Winning claim of an idempotency key.

    Attributes:
        claim: The claim.
        claim_offset: Offset of the batch that contains the claim.
        time_ms: Record time of that batch.
        expires_ms: Record time from which another claim of the key can win.
        certain: Whether the claim is known to have won. After a gap, a claim that the log dropped
            before it was read may hold the key instead, and the call of this one must not be sent.
        outcome: Recorded answer, or None.
    """

    claim: Claim
    claim_offset: int
    time_ms: int
    expires_ms: int
    certain: bool = True
    outcome: Outcome | None = None


class Claims(ReplayedState[None]):
    """Winning claims and outcomes of the keys that are still remembered.

    The first claim of a free key wins. Whether a key is free depends on record times and on the
    key memory given in the batches, never on a local clock or limit, so that all readers agree.

    After a gap this reader can't determine which claims won until the key memory has passed. A
    key that is claimed during that time stays uncertain until the reader has read no claim of it
    for the key memory; by then it is free for every reader, whichever claim held it.
    """

    def __init__(self) -> None:
        super().__init__(RECENT_IDS_WINDOW_MS)
        self._keys: dict[Key, KeyRecord] = {}
        self._key_of_claim: dict[str, Key] = {}
        self._released = RecentIds(RECENT_IDS_WINDOW_MS)
        self._expiries: list[tuple[int, str]] = []
        self._complete_since_ms = 0
        self._newest_ms = 0
        self._in_gap = False

    @property
    def complete_since_ms(self) -> int:
        """Record time from which this view contains all claims.

        0 if the stream was read from its first record. After a gap it is `NEVER_MS` until the
        first retained record is read, and then the time of that record.
        """
        return self._complete_since_ms

    def covers(self, key_memory_s: float) -> bool:
        """Return whether this view contains all claims of the key memory, by the log's clock.

        An entry refuses keyed calls while this is False.
        """
        return self._newest_ms >= self._certain_from_ms(_to_memory_ms(key_memory_s))

    def __len__(self) -> int:
        return len(self._keys)

    def find(self, service: str, organisation: str, key: str) -> KeyRecord | None:
        """Return the winning claim of a key, or None if the key is free or forgotten."""
        return self._keys.get((service, organisation, key))

    def _certain_from_ms(self, memory_ms: int) -> int:
        """Return the record time from which no claim that was dropped unread can hold a key.

        The period is at least the window in which record ids are remembered, since until then a
        repeat of a dropped record can't be recognised. Dropped claims can have a longer key memory
        than this one if the published limit was lowered; the log must retain each claim for the key
        memory that its batch gives.
        """
        if self._complete_since_ms == 0:
            return 0
        return self._complete_since_ms + max(memory_ms, RECENT_IDS_WINDOW_MS)

    def _enter_gap(self, offset: int) -> None:
        self._keys.clear()
        self._key_of_claim.clear()
        self._expiries.clear()
        self._complete_since_ms = NEVER_MS
        self._in_gap = True

    def _observe(self, record: StoredRecord) -> None:
        if self._in_gap:
            self._complete_since_ms = record.time_ms
            self._in_gap = False
        self._newest_ms = max(self._newest_ms, record.time_ms)
        self._remove_expired(record.time_ms - EXPIRY_SLACK_MS)

    def _apply_content(self, record: StoredRecord, content: Record) -> None:
        if not isinstance(content, ClaimBatch):
            return
        for release in content.releases:
            self._apply_release(record, release)
        for claim in content.claims:
            self._apply_claim(record, claim, content.key_memory_s)
        for outcome in content.outcomes:
            self._apply_outcome(outcome)

    def _apply_release(self, record: StoredRecord, release: Release) -> None:
        # A claim that is appended after its own release must not win either.
        self._released.add(release.claim_id, record.offset, record.time_ms)
        key = self._key_of_claim.get(release.claim_id)
        if key is None:
            return
        present = self._keys[key]
        if present.certain and present.outcome is None:
            self._remove(key)

    def _apply_claim(self, record: StoredRecord, claim: Claim, key_memory_s: float) -> None:
        if claim.claim_id in self._released:
            return
        key = (claim.service, claim.organisation, claim.key)
        memory_ms = _to_memory_ms(key_memory_s)
        certain_from_ms = self._certain_from_ms(memory_ms)
        expires_ms = max(record.time_ms + memory_ms, certain_from_ms)
        present = self._keys.get(key)
        if present is not None and record.time_ms < present.expires_ms:
            if not present.certain:
                self._extend_expiry(key, expires_ms)
            return
        if present is not None:
            self._remove(key)
        certain = record.time_ms >= certain_from_ms
        self._keys[key] = KeyRecord(claim, record.offset, record.time_ms, expires_ms, certain)
        self._key_of_claim[claim.claim_id] = key
        heapq.heappush(self._expiries, (expires_ms, claim.claim_id))

    def _extend_expiry(self, key: Key, expires_ms: int) -> None:
        present = self._keys[key]
        if expires_ms > present.expires_ms:
            self._keys[key] = attrs.evolve(present, expires_ms=expires_ms)
            heapq.heappush(self._expiries, (expires_ms, present.claim.claim_id))

    def _apply_outcome(self, outcome: Outcome) -> None:
        key = self._key_of_claim.get(outcome.claim_id)
        if key is not None and self._keys[key].outcome is None:
            self._keys[key] = attrs.evolve(self._keys[key], outcome=outcome)

    def _remove_expired(self, time_ms: int) -> None:
        while self._expiries and self._expiries[0][0] <= time_ms:
            _, claim_id = heapq.heappop(self._expiries)
            key = self._key_of_claim.get(claim_id)
            if key is not None and self._keys[key].expires_ms <= time_ms:
                self._remove(key)

    def _remove(self, key: Key) -> None:
        del self._key_of_claim[self._keys.pop(key).claim.claim_id]


def _to_memory_ms(key_memory_s: float) -> int:
    # The batch of another writer may contain any number as key memory, even one that is not finite.
    # Every reader replaces an invalid one by the maximum, so that all agree.
    valid = 0 <= key_memory_s <= MAX_KEY_MEMORY_S
    return int((key_memory_s if valid else MAX_KEY_MEMORY_S) * MS_PER_S)
