"""Prefix pieces in the engine's cache, from its late and gappy events."""

from __future__ import annotations

from figwalk.agent.backend_client import CacheEvents

# The engine's cache holds far fewer pieces; the bound matters when evictions were lost.
MAX_PIECES = 65_536
# Pieces in one load report; the rest goes with the next ones.
MAX_REPORTED_PIECES = 4096


class CacheFeed:
    """What one entry has not been told yet."""

    def __init__(self, stored: dict[int, None]) -> None:
        self._pending = dict.fromkeys(stored, True)

    def note(self, piece: int, *, stored: bool) -> None:
        """Add a change; a later one of the same piece replaces it."""
        self._pending[piece] = stored

    def take(self) -> tuple[list[int], list[int]]:
        """Return the stored and evicted pieces for the next report."""
        if not self._pending:
            return [], []
        pieces = list(self._pending)[:MAX_REPORTED_PIECES]
        changes = [(piece, self._pending.pop(piece)) for piece in pieces]
        return (
            [piece for piece, stored in changes if stored],
            [piece for piece, stored in changes if not stored],
        )


class CacheTracker:
    """Follows the engine's cache events and feeds them to entries."""

    def __init__(self) -> None:
        self._pieces: dict[int, None] = {}
        self._feeds: set[CacheFeed] = set()
        self._after = 0

    @property
    def after(self) -> int:
        """Number after which the next events are asked for."""
        return self._after

    def open_feed(self) -> CacheFeed:
        """Return a feed that starts with all stored pieces."""
        feed = CacheFeed(self._pieces)
        self._feeds.add(feed)
        return feed

    def close_feed(self, feed: CacheFeed) -> None:
        """Stop feeding."""
        self._feeds.discard(feed)

    def apply(self, update: CacheEvents) -> None:
        """Apply the engine's answer; numbers that start again mean a restarted engine."""
        if update.next < self._after:
            self.reset()
        for event in update.events:
            self._note(event.piece, stored=event.stored)
        self._after = update.next
        while len(self._pieces) > MAX_PIECES:
            self._note(next(iter(self._pieces)), stored=False)

    def reset(self) -> None:
        """Forget all pieces of an engine that has restarted."""
        for piece in list(self._pieces):
            self._note(piece, stored=False)
        self._after = 0

    def _note(self, piece: int, *, stored: bool) -> None:
        if stored:
            self._pieces[piece] = None
        else:
            self._pieces.pop(piece, None)
        for feed in self._feeds:
            feed.note(piece, stored=stored)
