"""Learns how fast the backend servers of a service work, from the times of their answers.

The load that it answers for: servers of one service whose speeds differ for minutes (other
hardware, other guests on the host). Differences that last for less than a second are reported by
the servers themselves; see `reported_slowdown`.
"""

from __future__ import annotations

import math
import statistics

import attrs

from figwalk.timer import Timer

WEIGHT = 0.1  # Weight of a new sample in the running mean.
EFFECTIVE_SAMPLES = (2 - WEIGHT) / WEIGHT  # Samples with the same error as the running mean.
MIN_SAMPLES = 3
MIN_SERVERS = 2
# Smaller differences are as likely errors of the network times, and not worth a farther server.
MIN_DEVIATION = 0.1
# A difference counts if it exceeds this multiple of its standard error.
STANDARD_ERRORS = 2.0
# Least standard deviation of a sample, relative to the mean. A few samples that happen to be equal
# don't show a small error.
MIN_SAMPLE_DEVIATION = 0.2
# One stuck call must not make a server look slow for the next twenty.
MAX_SAMPLE_RATIO = 5.0
MIN_FACTOR = 0.2
MAX_FACTOR = 10.0
# A server that looks slow gets few calls, so that its estimate would never change. It is forgotten
# by half in this time without samples.
HALF_LIFE_S = 10.0
RETENTION_S = 3 * HALF_LIFE_S
REFRESH_S = 0.05


@attrs.define
class _WorkTimes:
    """Running mean and variance of the seconds of one kind of work at one server."""

    mean_s: float = 0.0
    variance: float = 0.0
    count: int = 0

    def record(self, seconds: float) -> None:
        weight = max(WEIGHT, 1 / (self.count + 1))
        difference = seconds - self.mean_s
        self.mean_s += weight * difference
        self.variance = (1 - weight) * (self.variance + weight * difference**2)
        self.count += 1

    @property
    def effective_count(self) -> float:
        """Independent samples that would give as accurate a mean."""
        return min(self.count, EFFECTIVE_SAMPLES)

    @property
    def squared_error(self) -> float:
        """Square of the standard error of the mean."""
        variance = max(self.variance, (MIN_SAMPLE_DEVIATION * self.mean_s) ** 2)
        return variance / self.effective_count


class SpeedEstimator:
    """Speeds of a service's backend servers relative to each other, as one process sees them.

    Kinds of work take different times, so that each kind is compared with the median of the same
    kind over the servers. A difference counts only if it is large compared with its error; equally
    fast servers have the factor 1.0 exactly.

    Args:
        timer: Source of time.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._times: dict[str, dict[str, _WorkTimes]] = {}
        self._recorded_at: dict[str, float] = {}
        self._usual_s: dict[str, float] = {}
        self._mean_s = 0.0
        self._factors: dict[str, float] = {}
        self._refresh_at = -math.inf

    @property
    def mean_s(self) -> float:
        """Mean seconds of work over all kinds and servers; 0 before any sample."""
        return self._mean_s

    def record(self, backend: str, kind: str, seconds: float) -> None:
        """Record how long a backend server worked.

        Args:
            backend: Id of the backend server.
            kind: Kind of work; times of different kinds are not compared.
            seconds: Seconds of work, without network time, queue and known spells of slowness.
        """
        if seconds <= 0:
            return
        usual_s = self._usual_s.get(kind)
        if usual_s is not None:
            seconds = min(seconds, MAX_SAMPLE_RATIO * usual_s)
        self._mean_s += (WEIGHT if self._mean_s else 1.0) * (seconds - self._mean_s)
        self._times.setdefault(kind, {}).setdefault(backend, _WorkTimes()).record(seconds)
        self._recorded_at[backend] = self._timer.now()

    def factor(self, backend: str) -> float:
        """Return the seconds of work at a backend server as a multiple of the usual."""
        self._refresh()
        return self._factors.get(backend, 1.0)

    def is_known(self, backend: str) -> bool:
        """Return whether there are recent samples of a backend server, enough for a factor."""
        recorded_at = self._recorded_at.get(backend)
        if recorded_at is None or self._timer.now() - recorded_at > RETENTION_S:
            return False
        counts = (times[backend].count for times in self._times.values() if backend in times)
        return max(counts, default=0) >= MIN_SAMPLES

    def usual_s(self, kind: str) -> float | None:
        """Return the usual seconds of a kind of work, or None if too few servers have done it."""
        self._refresh()
        return self._usual_s.get(kind)

    def forget(self, backend: str) -> None:
        """Drop what is known of a backend server that has left or restarted."""
        for times in self._times.values():
            times.pop(backend, None)
        self._recorded_at.pop(backend, None)
        self._factors.pop(backend, None)

    def _refresh(self) -> None:
        now = self._timer.now()
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_S
        samples: dict[str, list[tuple[float, float, float]]] = {}
        for kind, times in self._times.items():
            known = {name: each for name, each in times.items() if each.count >= MIN_SAMPLES}
            if len(known) < MIN_SERVERS:
                self._usual_s.pop(kind, None)
                continue
            usual_s = statistics.median(each.mean_s for each in known.values())
            self._usual_s[kind] = usual_s
            for name, each in known.items():
                squared = each.squared_error / usual_s**2
                sample = (each.effective_count, each.mean_s / usual_s, squared)
                samples.setdefault(name, []).append(sample)
        self._factors = {
            name: self._combine(kinds, now - self._recorded_at[name])
            for name, kinds in samples.items()
        }

    @staticmethod
    def _combine(kinds: list[tuple[float, float, float]], age_s: float) -> float:
        """Return the factor by the weight, the ratio and the squared error of each kind of work."""
        total = sum(weight for weight, _, _ in kinds)
        excess = sum(weight * ratio for weight, ratio, _ in kinds) / total - 1.0
        error = math.sqrt(sum(weight**2 * squared for weight, _, squared in kinds)) / total
        if abs(excess) < max(MIN_DEVIATION, STANDARD_ERRORS * error):
            return 1.0
        excess *= 0.5 ** (age_s / HALF_LIFE_S)
        return min(MAX_FACTOR, max(MIN_FACTOR, 1.0 + excess))
