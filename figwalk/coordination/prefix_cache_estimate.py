"""Estimates an engine's prefix cache from the prompts that one process sent to the engine."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

# Share of the KV cache for cached parts; running calls use the rest.
CACHED_SHARE = 0.8


class PrefixCacheEstimate:
    """Prompt parts that an engine has likely cached, evicted in least recently used order.

    A part counts as cached only together with all parts before it, as in the engine's prefix cache.

    Args:
        capacity_tokens: Capacity of the engine's KV cache in tokens.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = max(1.0, capacity_tokens * CACHED_SHARE)
        self._parts: OrderedDict[tuple[str, ...], int] = OrderedDict()
        self._tokens = 0

    @property
    def tokens(self) -> int:
        """Tokens that are likely cached."""
        return self._tokens

    def cached_tokens(self, parts: Sequence[tuple[str, int]]) -> int:
        """Return how many tokens of a prompt, from its start, are likely cached.

        Args:
            parts: Id and tokens of each part, in order.
        """
        cached = 0
        for end, (_, tokens) in enumerate(parts, start=1):
            if _chain(parts, end) not in self._parts:
                break
            cached += tokens
        return cached

    def record_use(self, parts: Sequence[tuple[str, int]]) -> list[tuple[str, ...]]:
        """Record that the engine prefilled or fetched these parts of a prompt.

        Returns the evicted chains of part ids, each from the start of a prompt.
        """
        for end in range(len(parts), 0, -1):
            chain = _chain(parts, end)
            if chain not in self._parts:
                self._parts[chain] = parts[end - 1][1]
                self._tokens += parts[end - 1][1]
            # Parts are needed by those after them, so that they must not be evicted earlier.
            self._parts.move_to_end(chain)
        evicted = []
        while self._tokens > self._capacity:
            chain, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens
            evicted.append(chain)
        return evicted

    def clear(self) -> None:
        """Forget all parts after a restart of the engine."""
        self._parts.clear()
        self._tokens = 0


def _chain(parts: Sequence[tuple[str, int]], end: int) -> tuple[str, ...]:
    return tuple(part_id for part_id, _ in parts[:end])
