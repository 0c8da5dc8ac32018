"""Chooses a backend server of a plain service for one call.

Answers for the load of short calls of nearly equal length, whose queue is far from full on
ordinary days: the nearest backend server that works is best, and a full or failing one gives way.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from figwalk.coordination.backend_tracker import BackendTracker

CROSS_ZONE_S = 0.002  # Round trip between availability zones of one region.
CROSS_REGION_S = 0.025  # Round trip between regions: 12 ms each way.
# What a caller may wait longer so that a call and its answer are not billed between regions.
CROSS_REGION_BILL_S = 0.025
# A failing backend server is worse than one in another region.
FAILURE_COST_S = 1.0
COLD_COST_S = 0.02


@attrs.frozen
class Distance:
    """Where a process stands, and how far others are.

    Attributes:
        zone: Availability zone of the process.
        region: Region of the process.
        regions: Region of each availability zone.
    """

    zone: str
    region: str
    regions: Mapping[str, str]

    def round_trip_s(self, zone: str) -> float:
        """Return the seconds that a call to an availability zone takes more than to one's own."""
        if zone == self.zone:
            return 0.0
        if self.regions.get(zone) == self.region:
            return CROSS_ZONE_S
        return CROSS_REGION_S

    def cost_s(self, zone: str) -> float:
        """Return the round trip and what the bill for a region's link is worth, in seconds."""
        if self.regions.get(zone) == self.region or zone == self.zone:
            return self.round_trip_s(zone)
        return self.round_trip_s(zone) + CROSS_REGION_BILL_S


class PlainPlacement:
    """Chooses by distance, queue and failures.

    Args:
        distance: Where this process stands.
        rng: Breaks ties; tests give a seeded one.
    """

    def __init__(self, distance: Distance, rng: random.Random) -> None:
        self._distance = distance
        self._rng = rng

    def choose(
        self, candidates: Iterable[BackendTracker], *, tried: Collection[str] = ()
    ) -> BackendTracker | None:
        """Return the best backend server, or None if none is left.

        Avoided ones are chosen only if there is no other.

        Args:
            candidates: Backend servers of the service that take new work.
            tried: Ids of those that the call was sent to before.
        """
        left = [tracker for tracker in candidates if tracker.entry.backend not in tried]
        usable = [tracker for tracker in left if not tracker.is_avoided()] or left
        if not usable:
            return None
        return min(usable, key=lambda tracker: (self._cost_s(tracker), self._rng.random()))

    def _cost_s(self, tracker: BackendTracker) -> float:
        cost_s = self._distance.cost_s(tracker.entry.zone)
        cost_s += tracker.failure_share() * FAILURE_COST_S
        cost_s += COLD_COST_S if tracker.entry.cold_s > 0 else 0.0
        slots = max(1, tracker.entry.slots)
        queued = max(0, tracker.estimate_load() + 1 - slots)
        return cost_s + queued / slots * tracker.answer_s
