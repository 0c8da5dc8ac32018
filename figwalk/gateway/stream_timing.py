"""When the events of one stream arrived, for logs and metrics."""

from __future__ import annotations

import attrs


@attrs.define
class StreamTiming:
    """Times of the events passed on to a caller.

    Attributes:
        pieces: Pieces passed on, each with one or more events.
        first_at: Timer time of the first piece, or None before it.
        last_at: Timer time of the newest piece, or None before the first one.
        longest_gap_s: Longest time between two pieces, in seconds.
    """

    pieces: int = 0
    first_at: float | None = None
    last_at: float | None = None
    longest_gap_s: float = 0.0

    def note_piece(self, now: float) -> None:
        """Note a piece that is passed on.

        Args:
            now: Timer time.
        """
        if self.last_at is None:
            self.first_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_at)
        self.last_at = now
        self.pieces += 1
