"""Which parts of prompts an engine keeps, as its agent knows and tells gateways."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b

import attrs

from figwalk.timer import Timer

# A part that is being read counts as kept for the prompts behind it. The engine says so itself
# within a second of the reading.
EXPECTATION_S = 3.0
# The memory of an engine is cut in blocks, so that the end of a part may be missing.
WHOLE_SHARE = 0.9


@attrs.frozen
class PartChanges:
    """What changed of the kept parts; see `hash_part`.

    Attributes:
        kept: Parts that the engine has begun to keep.
        yielded: Parts that it no longer keeps.
        complete: Whether `kept` has all kept parts, and not only what is new.
    """

    kept: tuple[int, ...] = ()
    yielded: tuple[int, ...] = ()
    complete: bool = False


@attrs.frozen
class CachedPart:
    """A part of a prompt that an engine says it keeps.

    Attributes:
        part_id: Its id.
        tokens: Tokens that are kept from its start; 0 if none.
    """

    part_id: str
    tokens: int


class KeptParts:
    """Parts of prompts that one engine keeps, and the changes since gateways were told.

    Answers for parts that each gateway sees too seldom to know where they are kept: with some sixty
    subjects and five gateways at ten prompts a second, each sees the same one every 30 s. The
    engine itself says what it keeps, also of what it fetched, or kept before its agent started.

    Args:
        timer: Source of time.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._confirmed: set[int] = set()
        self._longest: dict[int, int] = {}
        self._expected: dict[int, float] = {}
        self._kept: set[int] = set()
        self._yielded: set[int] = set()

    @property
    def all(self) -> PartChanges:
        """All kept parts."""
        return PartChanges(kept=tuple(self._confirmed), complete=True)

    @property
    def expected(self) -> tuple[int, ...]:
        """Parts that are being read. Another engine can't fetch them yet."""
        self._expire()
        return tuple(self._expected)

    def cached_tokens(self, parts: Sequence[tuple[str, int]]) -> int:
        """Return how many tokens of a prompt, from its start, are kept.

        Args:
            parts: Id and tokens of each part, in order.
        """
        self._expire()
        hashed = ((hash_part(part_id), tokens) for part_id, tokens in parts)
        return count_leading_tokens(hashed, self._keeps)

    def expect(self, parts: Sequence[tuple[str, int]]) -> None:
        """Note that the engine is to read the parts of a prompt."""
        until = self._timer.now() + EXPECTATION_S
        for part_id, _ in parts:
            part = hash_part(part_id)
            if part not in self._confirmed:
                self._expected[part] = until

    def confirm(self, part: CachedPart) -> None:
        """Take over what the engine says of one part."""
        key = hash_part(part.part_id)
        if part.tokens <= 0:
            self._forget(key)
            return
        longest = self._longest[key] = max(part.tokens, self._longest.get(key, 0))
        if part.tokens < WHOLE_SHARE * longest:
            self._drop(key)
            return
        self._expected.pop(key, None)
        if key not in self._confirmed:
            self._confirmed.add(key)
            self._kept.add(key)
            self._yielded.discard(key)

    def replace(self, parts: Iterable[CachedPart]) -> None:
        """Take over all that the engine keeps; what it does not name is gone."""
        listed = {hash_part(part.part_id): part for part in parts}
        for key in [key for key in self._confirmed if key not in listed]:
            self._forget(key)
        for part in listed.values():
            self.confirm(part)

    def clear(self) -> None:
        """Note that the engine keeps nothing any more."""
        self._kept.clear()
        self._yielded |= self._confirmed
        self._confirmed.clear()
        self._longest.clear()
        self._expected.clear()

    def take_changes(self) -> PartChanges:
        """Return the changes since the last time."""
        changes = PartChanges(tuple(self._kept), tuple(self._yielded))
        self._kept.clear()
        self._yielded.clear()
        return changes

    def _forget(self, part: int) -> None:
        self._longest.pop(part, None)
        self._drop(part)

    def _drop(self, part: int) -> None:
        if part in self._confirmed:
            self._confirmed.discard(part)
            self._kept.discard(part)
            self._yielded.add(part)

    def _keeps(self, part: int) -> bool:
        return part in self._confirmed or part in self._expected

    def _expire(self) -> None:
        now = self._timer.now()
        for part in [part for part, until in self._expected.items() if until < now]:
            del self._expected[part]


def count_leading_tokens(parts: Iterable[tuple[int, int]], keeps: Callable[[int], bool]) -> int:
    """Return how many tokens of a prompt, from its start, are kept.

    An engine needs all parts before a kept one as well.

    Args:
        parts: Hash and tokens of each part, in order.
        keeps: Returns whether a part is kept.
    """
    return sum(tokens for _, tokens in itertools.takewhile(lambda part: keeps(part[0]), parts))


def hash_part(part_id: str) -> int:
    """Return 32 bits that stand for the id of a prompt's part in messages."""
    return int.from_bytes(blake2b(part_id.encode(), digest_size=4).digest())
