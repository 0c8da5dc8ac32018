"""Bounds how many backend servers of a service are kept out of use at once.

The load that it answers for: a burst or a cut makes many servers look unusable to many gateways at
once, and the few that are left can't carry the calls of all.
"""

from __future__ import annotations

import random
from collections.abc import Hashable, Sequence
from typing import TypeVar

from figwalk.coordination.backend_tracker import BackendTracker

# Share of a service that may be kept out. One of two servers may be.
MAX_KEPT_OUT_SHARE = 0.5

Tracker = TypeVar("Tracker", bound=BackendTracker)


def select_usable(trackers: Sequence[Tracker], rng: random.Random) -> list[Tracker]:
    """Return the backend servers of a service that calls may be sent to, in the given order.

    Avoided servers, and limited ones without room, are kept out. Beyond the share that may be kept
    out, the least suspect of them are returned too; `keep_out_cost_s` then ranks them behind the
    others unless those have long queues. Servers of different roles don't stand in for each other,
    so that the last engine that can run a prompt is never kept out. A server that is known to be
    down is not suspected, and never returned.

    Args:
        trackers: Backend servers of the service that accept new work.
        rng: Breaks ties between suspects, so that processes don't all choose the same one.
    """
    if not trackers:
        return []
    trackers[0].pacing.speeds.refresh()
    kept_out = {id(tracker) for tracker in trackers if tracker.is_kept_out()}
    if not kept_out:
        return list(trackers)
    groups: dict[Hashable, list[Tracker]] = {}
    for tracker in trackers:
        groups.setdefault(tracker.entry.role, []).append(tracker)
    for group in groups.values():
        suspects = [tracker for tracker in group if id(tracker) in kept_out]
        excess = len(suspects) - int(len(group) * MAX_KEPT_OUT_SHARE)
        if excess > 0:
            suspects = [tracker for tracker in suspects if not tracker.is_known_down]
            suspects.sort(key=lambda tracker: (tracker.suspicion(), rng.random()))
            kept_out -= {id(tracker) for tracker in suspects[:excess]}
    return [tracker for tracker in trackers if id(tracker) not in kept_out]
