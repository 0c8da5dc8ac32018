"""Which parts of prompts an engine is likely to keep, as one process can know it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

# Running calls share the memory with kept parts.
KEPT_SHARE = 0.8


class PrefixMemory:
    """Parts of prompts that were read at an engine, with the least recently used yielding first.

    A part counts as kept only together with all parts before it, as the engine's cache works.

    Args:
        capacity_tokens: Tokens that the engine's KV cache holds.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = max(1.0, capacity_tokens * KEPT_SHARE)
        self._parts: OrderedDict[tuple[str, ...], int] = OrderedDict()
        self._tokens = 0

    @property
    def tokens(self) -> int:
        """Tokens that are likely kept."""
        return self._tokens

    def cached_tokens(self, parts: Sequence[tuple[str, int]]) -> int:
        """Return how many tokens of a prompt, from its start, are likely kept.

        Args:
            parts: Id and tokens of each part, in order.
        """
        cached = 0
        for end, (_, tokens) in enumerate(parts, start=1):
            if _chain(parts, end) not in self._parts:
                break
            cached += tokens
        return cached

    def note_read(self, parts: Sequence[tuple[str, int]]) -> list[tuple[str, ...]]:
        """Note that the engine read these parts of a prompt.

        Returns the chains of ids, from the start of a prompt, that had to yield.
        """
        for end in range(len(parts), 0, -1):
            chain = _chain(parts, end)
            if chain not in self._parts:
                self._parts[chain] = parts[end - 1][1]
                self._tokens += parts[end - 1][1]
            # A part is kept no shorter than those that follow it.
            self._parts.move_to_end(chain)
        yielded = []
        while self._tokens > self._capacity:
            chain, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens
            yielded.append(chain)
        return yielded

    def clear(self) -> None:
        """Forget all, after a restart of the engine."""
        self._parts.clear()
        self._tokens = 0


def _chain(parts: Sequence[tuple[str, int]], end: int) -> tuple[str, ...]:
    return tuple(part_id for part_id, _ in parts[:end])
