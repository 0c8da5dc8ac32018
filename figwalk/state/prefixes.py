"""Index of the prompt prefixes that backend servers have in their caches."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import attrs

MAX_ENTRIES = 20_000  # About 6 MB, a tenth of an entry's 64 MB.
MAX_AGE_S = 300.0
MAX_UNKNOWN_RUN = 1  # Unknown pieces in a row that are taken for lost cache events.


@attrs.frozen
class _Entry:
    """What was last heard of one piece at one backend server."""

    held: bool
    noted_at: float


class PrefixIndex:
    """Which backend server holds which prefix piece, from late and gappy cache events.

    The index is a hint: a wrong entry costs prompt processing time, never a wrong answer. An
    evicted piece is remembered as such, because a missing piece makes the ones after it useless,
    while a piece that was never reported may be a lost event.

    Args:
        max_entries: Pairs of backend server and piece that are kept.
        max_age_s: Seconds after which a pair that was not heard of again is dropped.
    """

    def __init__(self, *, max_entries: int = MAX_ENTRIES, max_age_s: float = MAX_AGE_S) -> None:
        self._max_entries = max_entries
        self._max_age_s = max_age_s
        self._entries: OrderedDict[tuple[str, int], _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def note_stored(self, backend: str, pieces: Iterable[int], now: float) -> None:
        """Record pieces that a backend server stored, or is about to after a call was sent."""
        self._note(backend, pieces, _Entry(True, now))

    def note_evicted(self, backend: str, pieces: Iterable[int], now: float) -> None:
        """Record pieces that a backend server evicted."""
        self._note(backend, pieces, _Entry(False, now))

    def forget(self, backend: str) -> None:
        """Drop all pieces of a backend server whose cache is lost."""
        for key in [key for key in self._entries if key[0] == backend]:
            del self._entries[key]

    def count_matched(self, backend: str, pieces: Sequence[int], now: float) -> int:
        """Return how many leading pieces of a prompt a backend server probably holds."""
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
        if entry is None or now - entry.noted_at > self._max_age_s:
            return None
        return entry

    def _note(self, backend: str, pieces: Iterable[int], entry: _Entry) -> None:
        for piece in pieces:
            key = (backend, piece)
            self._entries[key] = entry
            self._entries.move_to_end(key)
        self._drop_old(entry.noted_at)

    def _drop_old(self, now: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            expired = now - oldest.noted_at > self._max_age_s
            if not expired and len(self._entries) <= self._max_entries:
                return
            self._entries.popitem(last=False)
