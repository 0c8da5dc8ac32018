"""Records when the events of a stream were relayed, for logs and metrics."""

from __future__ import annotations

from collections import deque

import attrs

# Pieces in a row whose fastest pace shows how fast the engine generates: pauses fall between such
# runs, and pieces that arrive together count as their mean.
RUN_PIECES = 8


@attrs.define
class StreamTiming:
    """Times at which the gateway relayed the pieces of a stream to a caller.

    Attributes:
        pieces: Number of pieces relayed, each with one or more events.
        first_at: Timer time of the first piece, or None before it.
        last_at: Timer time of the latest piece, or None before the first one.
        longest_gap_s: Longest time between two successive pieces, in seconds.
        events: Number of complete events that backend servers have sent of the stream.
    """

    pieces: int = 0
    first_at: float | None = None
    last_at: float | None = None
    longest_gap_s: float = 0.0
    events: int = 0
    _latest: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=RUN_PIECES + 1), init=False, repr=False
    )
    _fastest_run_s: float | None = attrs.field(default=None, init=False)

    @property
    def has_event(self) -> bool:
        """Whether any backend server has sent a complete event of the stream."""
        return self.events > 0

    @property
    def usual_gap_s(self) -> float | None:
        """Seconds between two pieces in the fastest run of pieces, or None before any run."""
        return self._fastest_run_s / RUN_PIECES if self._fastest_run_s is not None else None

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
        self._latest.append(now)
        if len(self._latest) > RUN_PIECES:
            run_s = now - self._latest[0]
            fastest_s = self._fastest_run_s
            self._fastest_run_s = run_s if fastest_s is None else min(run_s, fastest_s)
