"""Index of the prompt prefixes in the prefix caches of backend servers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import attrs

MAX_ENTRIES = 20_000  # About 6 MB, a tenth of an entry's 64 MB.
MAX_AGE_S = 300.0
MAX_UNKNOWN_RUN = 1  # Longest run of unknown pieces that is attributed to lost cache events.


@attrs.frozen
class _Entry:
    """Newest information on one piece at one backend server.

    Attributes:
        held: Whether the piece is in the cache; False if it was evicted.
        recorded_at: Timer time at which this was recorded.
    """

    held: bool
    recorded_at: float


class PrefixIndex:
    """Records which backend server has which prefix piece in its cache.

    Cache events are delayed and some are lost, so that the index is only a hint: a wrong entry
    costs prefill time but never leads to a wrong answer. Evictions are recorded explicitly,
    because the pieces after an evicted one are useless, whereas the event of a piece without a
    record may have been lost.

    Args:
        max_entries: Maximum number of pairs of backend server and piece.
        max_age_s: Seconds without an update after which a pair is dropped.
    """

    def __init__(self, *, max_entries: int = MAX_ENTRIES, max_age_s: float = MAX_AGE_S) -> None:
        self._max_entries = max_entries
        self._max_age_s = max_age_s
        self._entries: OrderedDict[tuple[str, int], _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def record_stored(self, backend: str, pieces: Iterable[int], now: float) -> None:
        """Record pieces that a backend server has stored, or will store for a call sent to it."""
        self._record(backend, pieces, _Entry(True, now))

    def record_evicted(self, backend: str, pieces: Iterable[int], now: float) -> None:
        """Record pieces that a backend server has evicted."""
        self._record(backend, pieces, _Entry(False, now))

    def forget(self, backend: str) -> None:
        """Drop all pieces of a backend server whose cache was lost."""
        for key in [key for key in self._entries if key[0] == backend]:
            del self._entries[key]

    def count_matched(self, backend: str, pieces: Sequence[int], now: float) -> int:
        """Return how many leading pieces of a prompt are probably in a backend server's cache."""
        matched = 0
        unknown_run = 0
        for position, piece in enumerate(pieces, start=1):
            entry = self._find(backend, piece, now)
            if entry is None:
                unknown_run += 1
                if unknown_run > MAX_UNKNOWN_RUN:
                    break
                continue
            if not entry.held:
                break
            matched = position
            unknown_run = 0
        return matched

    def _find(self, backend: str, piece: int, now: float) -> _Entry | None:
        entry = self._entries.get((backend, piece))
        if entry is None or now - entry.recorded_at > self._max_age_s:
            return None
        return entry

    def _record(self, backend: str, pieces: Iterable[int], entry: _Entry) -> None:
        for piece in pieces:
            key = (backend, piece)
            self._entries[key] = entry
            self._entries.move_to_end(key)
        self._drop_old(entry.recorded_at)

    def _drop_old(self, now: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            expired = now - oldest.recorded_at > self._max_age_s
            if not expired and len(self._entries) <= self._max_entries:
                return
            self._entries.popitem(last=False)
