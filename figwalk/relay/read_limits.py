"""Times of a relayed read."""

from __future__ import annotations

import attrs

from figwalk.timer import MS_PER_S


@attrs.frozen
class ReadLimits:
    """Times of a relayed read.

    Attributes:
        wait_s: Seconds that a read of the store waits for a new record; 0 for a topic that is
            polled.
        hold_s: Seconds after which an answer without records is due, at least `wait_s`.
        period_s: Least seconds between two reads of the store; 0 for a topic that is not polled.
        margin_s: Seconds beyond `longest_s` after which the gateway no longer waits for an answer.
    """

    wait_s: float = 0.0
    hold_s: float = 0.0
    period_s: float = 0.0
    margin_s: float = 0.25

    @property
    def longest_s(self) -> float:
        """Seconds that an agent may take to answer, without the way there and back."""
        return max(self.hold_s, self.period_s)

    @property
    def max_age_s(self) -> float:
        """Seconds by which a read of the store may have started before it was asked for.

        It is the duration of a read that another gateway has asked for.
        """
        return self.wait_s + self.margin_s


def to_ms(seconds: float) -> int:
    """Return seconds as whole milliseconds, at least 0."""
    return max(0, round(seconds * MS_PER_S))
