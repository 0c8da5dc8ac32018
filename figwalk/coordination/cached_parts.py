"""Tracks which prompt parts an engine has cached, for its agent to report to gateways."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b

import attrs

from figwalk.timer import Timer

# A part that is being prefilled counts as cached for the prompts behind it. The engine itself
# reports it as cached within a second of the prefill.
EXPECTED_PART_TTL_S = 3.0
# The engine evicts its cache in blocks, so that the end of a cached part may be missing.
MIN_CACHED_SHARE = 0.9


@attrs.frozen
class PartChanges:
    """Changes of the cached parts, given as hashes; see `hash_part`.

    Attributes:
        kept: Parts that were added to the cache.
        yielded: Parts that were evicted.
        complete: Whether `kept` lists all cached parts, not only new ones.
    """

    kept: tuple[int, ...] = ()
    yielded: tuple[int, ...] = ()
    complete: bool = False


@attrs.frozen
class CachedPart:
    """A prompt part as an engine reports it.

    Attributes:
        part_id: Id of the part.
        tokens: Cached tokens from the start of the part; 0 if none.
    """

    part_id: str
    tokens: int


class CachedParts:
    """Prompt parts that one engine has cached, and their changes since the last report to gateways.

    A gateway sees prompts with the same shared parts too seldom to know where the parts are cached:
    with some sixty subjects and five gateways at ten prompts a second, each gateway sees the same
    subject every 30 s. The engine itself reports its cache, including parts that it fetched, or had
    cached before its agent started.

    Args:
        timer: Source of time.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._confirmed: set[int] = set()
        self._max_tokens: dict[int, int] = {}
        self._expected: dict[int, float] = {}
        self._added: set[int] = set()
        self._evicted: set[int] = set()

    @property
    def all(self) -> PartChanges:
        """All cached parts."""
        return PartChanges(kept=tuple(self._confirmed), complete=True)

    @property
    def expected(self) -> tuple[int, ...]:
        """Parts that are being prefilled. Other engines cannot fetch them yet."""
        self._expire()
        return tuple(self._expected)

    def cached_tokens(self, parts: Sequence[tuple[str, int]]) -> int:
        """Return how many tokens of a prompt, from its start, are cached or being prefilled.

        Args:
            parts: Id and tokens of each part, in order.
        """
        self._expire()
        hashed = ((hash_part(part_id), tokens) for part_id, tokens in parts)
        return count_leading_tokens(hashed, self._is_cached)

    def expect(self, parts: Sequence[tuple[str, int]]) -> None:
        """Record that the engine is to prefill the parts of a prompt."""
        until = self._timer.now() + EXPECTED_PART_TTL_S
        for part_id, _ in parts:
            part = hash_part(part_id)
            if part not in self._confirmed:
                self._expected[part] = until

    def apply_report(self, part: CachedPart) -> None:
        """Apply the engine's report on one part.

        A part of which too little is cached counts as evicted.
        """
        key = hash_part(part.part_id)
        if part.tokens <= 0:
            self._forget(key)
            return
        max_tokens = self._max_tokens[key] = max(part.tokens, self._max_tokens.get(key, 0))
        if part.tokens < MIN_CACHED_SHARE * max_tokens:
            self._drop(key)
            return
        self._expected.pop(key, None)
        if key not in self._confirmed:
            self._confirmed.add(key)
            self._added.add(key)
            self._evicted.discard(key)

    def replace(self, parts: Iterable[CachedPart]) -> None:
        """Apply a full list of the cached parts; parts that are not in it were evicted."""
        listed = {hash_part(part.part_id): part for part in parts}
        for key in [key for key in self._confirmed if key not in listed]:
            self._forget(key)
        for part in listed.values():
            self.apply_report(part)

    def clear(self) -> None:
        """Record that the engine has lost its whole cache."""
        self._added.clear()
        self._evicted |= self._confirmed
        self._confirmed.clear()
        self._max_tokens.clear()
        self._expected.clear()

    def take_changes(self) -> PartChanges:
        """Return the changes since the last call of this method."""
        changes = PartChanges(tuple(self._added), tuple(self._evicted))
        self._added.clear()
        self._evicted.clear()
        return changes

    def _forget(self, part: int) -> None:
        self._max_tokens.pop(part, None)
        self._drop(part)

    def _drop(self, part: int) -> None:
        if part in self._confirmed:
            self._confirmed.discard(part)
            self._added.discard(part)
            self._evicted.add(part)

    def _is_cached(self, part: int) -> bool:
        return part in self._confirmed or part in self._expected

    def _expire(self) -> None:
        now = self._timer.now()
        for part in [part for part, until in self._expected.items() if until < now]:
            del self._expected[part]


def count_leading_tokens(parts: Iterable[tuple[int, int]], is_cached: Callable[[int], bool]) -> int:
    """Return how many tokens of a prompt, from its start, are cached.

    A part is of use only if all parts before it are cached as well.

    Args:
        parts: Hash and tokens of each part, in order.
        is_cached: Returns whether a part is cached.
    """
    return sum(tokens for _, tokens in itertools.takewhile(lambda part: is_cached(part[0]), parts))


def hash_part(part_id: str) -> int:
    """Return the 32-bit hash that represents the id of a prompt part in messages."""
    return int.from_bytes(blake2b(part_id.encode(), digest_size=4).digest())
