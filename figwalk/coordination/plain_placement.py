"""Chooses a backend server of a plain service for one call.

Calls of plain services are short and of nearly equal length, and the queues are far from full on
ordinary days. The nearest working backend server is therefore best; a full or failing one is passed
over. Where the servers' speeds differ, in general or for a moment, the time that a call is
predicted to take longer counts as distance.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from figwalk.coordination.backend_tracker import BackendTracker
from figwalk.spillover.remote_spread import spread_remote

CROSS_ZONE_S = 0.002  # Round trip between availability zones of one region.
CROSS_REGION_S = 0.025  # Round trip between regions: 12 ms each way.
# Calls between regions are billed. The caller may wait this much longer to avoid that.
CROSS_REGION_BILL_S = 0.025
# A failing backend server is worse than one in another region.
FAILURE_COST_S = 1.0
COLD_COST_S = 0.02
# A new connection costs this time at the backend server and on the way. Calls of one
# process thereby concentrate on few backend servers.
CONNECT_COST_S = 0.005
# Calls are not sent to a server that fails more of them than this only to learn its speed.
MAX_EXPLORED_FAILURES = 0.1


@attrs.frozen
class Distance:
    """Location of a process, and the distances from it to availability zones.

    Attributes:
        zone: Availability zone of the process.
        region: Region of the process.
        regions: Region of each availability zone.
    """

    zone: str
    region: str
    regions: Mapping[str, str]

    def round_trip_s(self, zone: str) -> float:
        """Return by how many seconds a zone's round trip exceeds that of the process's own."""
        if zone == self.zone:
            return 0.0
        if self.regions.get(zone) == self.region:
            return CROSS_ZONE_S
        return CROSS_REGION_S

    def cost_s(self, zone: str) -> float:
        """Return the round trip plus the cost of traffic between regions, in seconds."""
        if self.regions.get(zone) == self.region or zone == self.zone:
            return self.round_trip_s(zone)
        return self.round_trip_s(zone) + CROSS_REGION_BILL_S


class PlainPlacement:
    """Chooses backend servers by distance, speed, queue length and failures.

    Args:
        distance: Location of this process, and the distances from it.
        rng: Breaks ties; tests pass a seeded one.
    """

    def __init__(self, distance: Distance, rng: random.Random) -> None:
        self._distance = distance
        self._rng = rng

    def choose(
        self, candidates: Iterable[BackendTracker], *, tried: Collection[str] = ()
    ) -> BackendTracker | None:
        """Return the best backend server, or None if none remains.

        Avoided ones are chosen only if there is no other.

        Args:
            candidates: Backend servers of the service that accept new work.
            tried: Ids of the backend servers that the call was already sent to.
        """
        remaining = [tracker for tracker in candidates if tracker.entry.backend not in tried]
        usable = [tracker for tracker in remaining if not tracker.is_avoided()] or remaining
        if not usable:
            return None
        ranked = sorted(usable, key=lambda tracker: (self._cost_s(tracker), self._rng.random()))
        best = spread_remote(ranked, self._cost_s, self._is_remote, self._rng)[0]
        return self._explore(best, usable) or best

    def _is_remote(self, tracker: BackendTracker) -> bool:
        return self._distance.regions.get(tracker.entry.zone) != self._distance.region

    def _explore(
        self, best: BackendTracker, usable: Iterable[BackendTracker]
    ) -> BackendTracker | None:
        """Return an idle server of unknown speed that is nearly as near as the best, or None."""
        if not best.pacing.may_explore():
            return None
        longest_s = self._distance.cost_s(best.entry.zone) + CROSS_ZONE_S
        unknown = [
            tracker
            for tracker in usable
            if not tracker.is_speed_known
            and self._distance.cost_s(tracker.entry.zone) <= longest_s
            and tracker.entry.cold_s <= 0
            and tracker.failure_share() < MAX_EXPLORED_FAILURES
            and tracker.estimate_load() * 2 < tracker.entry.slots
        ]
        if not unknown:
            return None
        best.pacing.record_exploration()
        return self._rng.choice(unknown)

    def _cost_s(self, tracker: BackendTracker) -> float:
        cost_s = self._distance.cost_s(tracker.entry.zone)
        cost_s += tracker.failure_share() * FAILURE_COST_S
        cost_s += COLD_COST_S if tracker.entry.cold_s > 0 else 0.0
        cost_s += 0.0 if tracker.has_connection else CONNECT_COST_S
        cost_s += tracker.extra_work_s
        slots = max(1, tracker.entry.slots)
        queued = max(0, tracker.estimate_load() + 1 - slots)
        return cost_s + queued / slots * tracker.answer_s * tracker.slowdown
