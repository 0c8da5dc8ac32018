"""State of one call to a backend server, from its start to its end."""

from __future__ import annotations

import attrs

from figwalk.pacing.pace_limiter import PaceSignal

# An answer that takes longer than this multiple of the expected time is late.
LATE_FACTOR = 2.0


@attrs.define
class SentCall:
    """A call of this process to a backend server.

    Attributes:
        sent_at: Timer time at which it was started.
        answered: Whether its answer has begun.
        kind: Kind of work whose times are comparable, or None.
        left_at: Timer time at which it left on an open connection, or None.
        work_s: Seconds of the work, or 0 if they are unknown.
        expected_s: Seconds until its answer, as predicted, or None.
        signal: What its answer says about the pace of the server.
    """

    sent_at: float
    answered: bool = False
    kind: str | None = None
    left_at: float | None = None
    work_s: float = 0.0
    expected_s: float | None = None
    signal: PaceSignal = PaceSignal.NONE

    def judge(self, took_s: float, slowdown: float) -> PaceSignal:
        """Return whether the answer was on time.

        Args:
            took_s: Seconds that it took, without network time.
            slowdown: Seconds of work at this moment as a multiple of the server's own usual. A
                spell of slowness that the server reports is not the effect of too many calls.
        """
        if self.expected_s is None:
            return PaceSignal.ON_TIME
        longest_s = LATE_FACTOR * self.expected_s * max(1.0, slowdown)
        return PaceSignal.LATE if took_s > longest_s else PaceSignal.ON_TIME
