"""Chooses the agent that reads the store for a gateway."""

from __future__ import annotations

from collections.abc import Collection

import attrs

from figwalk.coordination.subject_affinity import hash_pair
from figwalk.timer import Timer

FIRST_AVOID_S = 5.0
MAX_AVOID_S = 40.0


@attrs.define
class _Failure:
    """State of an agent that failed.

    Attributes:
        avoid_s: Seconds for which it is avoided after its last failure.
        until: Timer time at which that ends.
    """

    avoid_s: float
    until: float


class ReaderChoice:
    """Chooses the same agents in all gateways of a zone, except for those that failed.

    Load: up to 27 gateways and 24 agents in six zones. The readers of a zone are the agents with
    the highest hashes of zone and agent; the first is used, and the next ones while it is avoided.

    Args:
        zone: Availability zone of the gateway.
        readers: Number of agents of the zone that may be used; 0 for none.
        timer: Source of time.
    """

    def __init__(self, zone: str, readers: int, timer: Timer) -> None:
        self._zone = zone
        self._readers = readers
        self._timer = timer
        self._failures: dict[str, _Failure] = {}

    def choose(self, agents: Collection[str]) -> str | None:
        """Return the agent to use, or None if the gateway has to read the store itself.

        Args:
            agents: Agents of the zone that are connected and relay reads.
        """
        ranked = sorted(agents, key=lambda agent: hash_pair(self._zone, agent), reverse=True)
        now = self._timer.now()
        for agent in ranked[: self._readers]:
            failure = self._failures.get(agent)
            if failure is None or now >= failure.until:
                return agent
        return None

    def mark_failed(self, agent: str, asked_at: float) -> float:
        """Avoid an agent for a time that doubles with each failure; return it in seconds.

        Args:
            agent: The agent.
            asked_at: Timer time at which the read that failed was sent.
        """
        now = self._timer.now()
        known = self._failures.get(agent)
        if known is not None and asked_at < known.until:
            # The reads of several topics fail for the same reason.
            return max(0.0, known.until - now)
        avoid_s = FIRST_AVOID_S if known is None else min(2 * known.avoid_s, MAX_AVOID_S)
        self._failures[agent] = _Failure(avoid_s, now + avoid_s)
        return avoid_s

    def mark_answered(self, agent: str) -> None:
        """Handle a good answer of an agent."""
        known = self._failures.get(agent)
        if known is not None and self._timer.now() >= known.until:
            del self._failures[agent]
