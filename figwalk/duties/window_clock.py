"""Windows of true time, by a wall clock whose jumps are ignored."""

from __future__ import annotations

import statistics
from collections import deque
from collections.abc import Callable

from figwalk.timer import MS_PER_S, Timer

SAMPLE_PERIOD_S = 1.0
# Samples that count: a jump of the wall clock has an effect only once it lasts for half of them.
MAX_SAMPLES = 1200


class WindowClock:
    """Tells the time since the start of 1970 and the window that a moment belongs to.

    The difference between the wall clock and the clock that also counts suspension is sampled once
    a second; the median of the samples applies.

    Args:
        timer: Source of time.
        window_s: Length of a window in seconds.
        wall_ms: Returns wall-clock milliseconds.
    """

    def __init__(
        self, timer: Timer, window_s: float, *, wall_ms: Callable[[], int] | None = None
    ) -> None:
        self._timer = timer
        self._window_s = window_s
        self._wall_ms = wall_ms or timer.wall_ms
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._offset_s = 0.0
        self.sample()

    @property
    def window_s(self) -> float:
        """Length of a window in seconds."""
        return self._window_s

    def sample(self) -> None:
        """Compare the clocks once more."""
        self._samples.append(self._wall_ms() / MS_PER_S - self._timer.boot_now())
        self._offset_s = statistics.median_low(self._samples)

    def now(self) -> float:
        """Return the seconds since the start of 1970."""
        return self._timer.boot_now() + self._offset_s

    def now_ms(self) -> int:
        """Return the milliseconds since the start of 1970."""
        return int(self.now() * MS_PER_S)

    def window_at(self, time_s: float) -> int:
        """Return the number of the window with a time."""
        return int(time_s // self._window_s)

    def end_of(self, window: int) -> float:
        """Return the time at which a window ends."""
        return (window + 1) * self._window_s
