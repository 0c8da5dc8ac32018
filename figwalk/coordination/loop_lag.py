"""Measures how late this process's tasks run when its processor is short."""

from __future__ import annotations

import trio

PERIOD_S = 0.02
# Rises at once and falls within a few periods.
DECAY = 0.7


class LoopLag:
    """How long work waits for the processor before this process can look at it.

    Requests that wait in socket buffers are seen late by this time, of which their arrival times
    say nothing.
    """

    def __init__(self) -> None:
        self._lag_s = 0.0

    @property
    def lag_s(self) -> float:
        """Seconds that a task that could run waits for its turn."""
        return self._lag_s

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = trio.current_time() + PERIOD_S
            await trio.sleep_until(due)
            self.note(trio.current_time() - due)

    def note(self, late_s: float) -> None:
        """Take over how late a wake-up was."""
        self._lag_s = max(late_s, self._lag_s * DECAY)
