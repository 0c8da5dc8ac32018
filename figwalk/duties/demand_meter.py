"""Measures how many calls a gateway has at each service, over usage windows."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping


class DemandMeter:
    """Means of the calls in flight, from samples taken at regular times."""

    def __init__(self) -> None:
        self._sums: dict[str, int] = defaultdict(int)
        self._samples = 0

    def sample(self, in_flight: Mapping[str, int]) -> None:
        """Record the calls in flight at each service at this moment."""
        self._samples += 1
        for service, calls in in_flight.items():
            self._sums[service] += calls

    def take(self) -> dict[str, float]:
        """Return the means since the last call of this method, and start anew."""
        means = {
            service: round(total / self._samples, 3)
            for service, total in self._sums.items()
            if total
        }
        self._sums.clear()
        self._samples = 0
        return means
