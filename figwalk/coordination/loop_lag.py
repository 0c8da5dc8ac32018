"""Measures how late the tasks of this process run when the machine is short of CPU time."""

from __future__ import annotations

import trio

PERIOD_S = 0.02
# The lag rises with a single late wake-up and falls within a few periods.
DECAY = 0.7


class LoopLag:
    """Estimates how long a runnable task waits before this process runs it.

    Requests wait in socket buffers for the same time before the process reads them.
    """

    def __init__(self) -> None:
        self._lag_s = 0.0

    @property
    def lag_s(self) -> float:
        """Seconds that a runnable task waits until it runs."""
        return self._lag_s

    async def run(self) -> None:
        """Measure the lag until cancelled."""
        while True:
            due = trio.current_time() + PERIOD_S
            await trio.sleep_until(due)
            self.record(trio.current_time() - due)

    def record(self, late_s: float) -> None:
        """Record how many seconds late a wake-up was."""
        self._lag_s = max(late_s, self._lag_s * DECAY)
