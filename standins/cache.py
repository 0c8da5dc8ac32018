"""Prefix cache of the engine stand-in, and its late and gappy events.

A prompt is cached in pieces of 2,000 tokens whose hashes are chained, so that a piece is only of
use together with all pieces before it. Memory is limited; the least recently used piece goes
first. KV data of a piece is a stand-in for tensors: bytes that depend on the loaded model and the
piece, so that an import under another model or of damaged data is refused.
"""

from __future__ import annotations

import hashlib
import random
from collections import OrderedDict, deque

import attrs
import trio

from figwalk.protocol.prefix import PIECE_TOKENS

KEPT_EVENTS = 4096
KV_DIGEST_BYTES = 64


@attrs.frozen
class CacheEvent:
    """A piece was stored or evicted.

    Attributes:
        seq: Number of the event; numbers of lost events are missing.
        piece: Hash of the piece.
        stored: True if stored, False if evicted.
    """

    seq: int
    piece: int
    stored: bool


class CacheEventLog:
    """Events that become visible after a lag; some are lost.

    Args:
        lag_s: Seconds before an event is visible.
        loss_ratio: Share of the events that are lost.
        seed: Seed for the choice of the lost events.
    """

    def __init__(self, *, lag_s: float, loss_ratio: float, seed: int) -> None:
        self._lag_s = lag_s
        self._loss_ratio = loss_ratio
        self._random = random.Random(seed)
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=KEPT_EVENTS)
        self._sequence = 0

    def record(self, piece: int, *, stored: bool) -> None:
        """Record an event, or lose it."""
        self._sequence += 1
        if self._random.random() >= self._loss_ratio:
            visible_at = trio.current_time() + self._lag_s
            self._events.append((visible_at, CacheEvent(self._sequence, piece, stored)))

    def read(self, after: int) -> tuple[int, list[CacheEvent]]:
        """Return the number to continue after, and the visible events above a number.

        A number that this process has not given yet comes from before its restart; reading then
        starts again from the first event.
        """
        if after > self._sequence:
            after = 0
        now = trio.current_time()
        events = [event for at, event in self._events if at <= now and event.seq > after]
        return (events[-1].seq if events else after), events


class PrefixCache:
    """Cached pieces in the order of their use.

    Args:
        capacity_tokens: Memory for cached pieces in tokens.
        events: Receives what is stored and evicted.
    """

    def __init__(self, capacity_tokens: int, events: CacheEventLog) -> None:
        self._capacity = capacity_tokens // PIECE_TOKENS
        self._events = events
        self._pieces: OrderedDict[int, None] = OrderedDict()

    def __contains__(self, piece: object) -> bool:
        return piece in self._pieces

    def match(self, pieces: list[int]) -> int:
        """Return how many leading pieces are cached, and mark them as used."""
        matched = 0
        for piece in pieces:
            if piece not in self._pieces:
                break
            self._pieces.move_to_end(piece)
            matched += 1
        return matched

    def store(self, piece: int) -> None:
        """Store a piece and evict what no longer fits."""
        if piece in self._pieces:
            self._pieces.move_to_end(piece)
            return
        self._pieces[piece] = None
        self._events.record(piece, stored=True)
        while len(self._pieces) > self._capacity:
            evicted, _ = self._pieces.popitem(last=False)
            self._events.record(evicted, stored=False)

    def clear(self) -> None:
        """Evict all pieces."""
        for piece in self._pieces:
            self._events.record(piece, stored=False)
        self._pieces.clear()


def render_kv(model: str, version: str, piece: int, size: int) -> bytes:
    """Return the KV data of a piece under a model."""
    seed = f"{model}\n{version}\n{piece}".encode()
    block = hashlib.blake2b(seed, digest_size=KV_DIGEST_BYTES).digest()
    return (block * (size // KV_DIGEST_BYTES + 1))[:size]
