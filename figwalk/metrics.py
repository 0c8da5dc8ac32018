"""Metrics for a statsd receiver, aggregated in memory and sent once a second."""

from __future__ import annotations

from collections import Counter

import statsd

from figwalk.state.settings import Address
from figwalk.timer import Timer

FLUSH_PERIOD_S = 1.0


class Metrics:
    """Counters and gauges of one process.

    A packet for each increment would cost more CPU time than relaying the chunk that it counts, so
    the increments are summed and sent once a second.

    Args:
        address: statsd receiver (UDP), or None to send nothing.
        prefix: Prefix of all names, for example `figwalk.entry`.
        timer: Timer service that calls `flush` periodically; without one, the owner calls `send`.
    """

    def __init__(self, address: Address | None, *, prefix: str, timer: Timer | None = None) -> None:
        self._counters: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._client: statsd.StatsClient | None = None
        if address is not None:
            self._client = statsd.StatsClient(address.host, address.port, prefix=prefix)
            if timer is not None:
                timer.subscribe("metrics", FLUSH_PERIOD_S, self.flush)

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""
        self._counters[name] += value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    async def flush(self) -> None:
        """Send the changes; the callback for the timer service."""
        self.send()

    def send(self) -> None:
        """Send the counter increments and the gauges set since the last call."""
        counters, self._counters = self._counters, Counter()
        gauges, self._gauges = self._gauges, {}
        if self._client is None:
            return
        with self._client.pipeline() as batch:
            for name, value in counters.items():
                batch.incr(name, value)
            for name, value in gauges.items():
                batch.gauge(name, value)
