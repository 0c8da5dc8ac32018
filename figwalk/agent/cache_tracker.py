"""Tracks the prefix pieces in the engine's cache by its events, which may be late or missing."""

from __future__ import annotations

from figwalk.agent.backend_client import CacheEvents

# The engine's cache holds far fewer pieces; the limit takes effect only if evictions were lost.
MAX_PIECES = 65_536
# Pieces in one load report; the remaining ones are sent in later reports.
MAX_REPORTED_PIECES = 4096


class CacheFeed:
    """Cache changes that have not yet been reported to one entry."""

    def __init__(self, stored: dict[int, None]) -> None:
        self._pending = dict.fromkeys(stored, True)

    def add_change(self, piece: int, *, stored: bool) -> None:
        """Add a change, which replaces an earlier change of the same piece."""
        self._pending[piece] = stored

    def take(self) -> tuple[list[int], list[int]]:
        """Remove and return the stored and the evicted pieces for the next report."""
        if not self._pending:
            return [], []
        pieces = list(self._pending)[:MAX_REPORTED_PIECES]
        changes = [(piece, self._pending.pop(piece)) for piece in pieces]
        return (
            [piece for piece, stored in changes if stored],
            [piece for piece, stored in changes if not stored],
        )


class CacheTracker:
    """Applies the engine's cache events and passes the changes to the feeds of entries."""

    def __init__(self) -> None:
        self._pieces: dict[int, None] = {}
        self._feeds: set[CacheFeed] = set()
        self._after = 0

    @property
    def after(self) -> int:
        """Sequence number after which the next events are requested."""
        return self._after

    def open_feed(self) -> CacheFeed:
        """Return a new feed that starts with all stored pieces."""
        feed = CacheFeed(self._pieces)
        self._feeds.add(feed)
        return feed

    def close_feed(self, feed: CacheFeed) -> None:
        """Stop passing changes to a feed."""
        self._feeds.discard(feed)

    def apply(self, update: CacheEvents) -> None:
        """Apply new events; a sequence number that decreases means that the engine restarted."""
        if update.next < self._after:
            self.reset()
        for event in update.events:
            self._apply_change(event.piece, stored=event.stored)
        self._after = update.next
        while len(self._pieces) > MAX_PIECES:
            self._apply_change(next(iter(self._pieces)), stored=False)

    def reset(self) -> None:
        """Remove all pieces, because the engine has restarted with an empty cache."""
        for piece in list(self._pieces):
            self._apply_change(piece, stored=False)
        self._after = 0

    def _apply_change(self, piece: int, *, stored: bool) -> None:
        if stored:
            self._pieces[piece] = None
        else:
            self._pieces.pop(piece, None)
        for feed in self._feeds:
            feed.add_change(piece, stored=stored)
