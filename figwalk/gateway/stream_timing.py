"""Records when the events of a stream were relayed, for logs and metrics."""

from __future__ import annotations

import attrs


@attrs.define
class StreamTiming:
    """Times at which the gateway relayed the pieces of a stream to a caller.

    Attributes:
        pieces: Number of pieces relayed, each with one or more events.
        first_at: Timer time of the first piece, or None before it.
        last_at: Timer time of the latest piece, or None before the first one.
        longest_gap_s: Longest time between two successive pieces, in seconds.
        has_event: Whether any backend server has sent a complete event of the stream.
    """

    pieces: int = 0
    first_at: float | None = None
    last_at: float | None = None
    longest_gap_s: float = 0.0
    has_event: bool = False

    def record_piece(self, now: float) -> None:
        """Record that a piece is relayed.

        Args:
            now: Current timer time.
        """
        if self.last_at is None:
            self.first_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_at)
        self.last_at = now
        self.pieces += 1
