"""Shares among organisations at the plain services of one gateway."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Iterable

import attrs

from figwalk.coordination.backend_tracker import BackendTracker
from figwalk.errors import RefusalError
from figwalk.fairness.fair_share import FULL_ROOM, FairShare, ShareRequest
from figwalk.timer import MS_PER_S, Timer

# Calls that are refused together come back over at least this time.
MIN_SPREAD_S = 0.1


class PlainShares:
    """Refuses calls of plain services whose organisations used up their share.

    A call is refused only while calls wait at all backend servers of its service, and for longer
    than the organisation's room allows.

    Args:
        timer: Source of time.
        rng: Spreads the times at which refused callers come back.
    """

    def __init__(self, timer: Timer, rng: random.Random) -> None:
        self._shares: defaultdict[str, FairShare] = defaultdict(lambda: FairShare(timer))
        self._rng = rng

    def check(
        self,
        service: str,
        request: ShareRequest,
        trackers: Iterable[BackendTracker],
        target_s: float,
    ) -> None:
        """Check that a call that is about to be sent has room, and count its work.

        Args:
            service: Service of the call.
            request: The call, without the work.
            trackers: Backend servers of the service that accept new work.
            target_s: Seconds from the call to an answer in time.

        Raises:
            RefusalError: The call would wait for longer than its organisation's room allows.
        """
        trackers = list(trackers)
        if not trackers:
            return
        usable = [tracker for tracker in trackers if not tracker.is_avoided()] or trackers
        work_s = trackers[0].pacing.speeds.mean_s
        wait_s = min(_predict_wait_s(tracker, work_s) for tracker in usable)
        shares = self._shares[service]
        if wait_s > 0 and wait_s + work_s > target_s:
            shares.record_pressure()
        room = shares.admit(attrs.evolve(request, work_s=work_s)).room
        limit_s = room * max(0.0, target_s - work_s)
        if room < FULL_ROOM and wait_s > limit_s:
            shares.record_pressure()
            spread_s = max(MIN_SPREAD_S, wait_s - limit_s)
            retry_s = wait_s - limit_s + self._rng.random() * spread_s
            raise RefusalError(
                "share_used",
                f"the organisation used up its share of {service!r}",
                retry_after_ms=int(retry_s * MS_PER_S),
            )
        shares.record(request.organisation, work_s)

    def record_full(self, service: str) -> None:
        """Record that all backend servers of a service refused a call."""
        self._shares[service].record_pressure()


def _predict_wait_s(tracker: BackendTracker, work_s: float) -> float:
    """Return the seconds that a call is predicted to wait for others at a backend server."""
    slots = max(1, tracker.entry.slots)
    queued = max(0, tracker.estimate_load() + 1 - slots)
    return queued / slots * work_s * tracker.speed_factor * tracker.slowdown
