"""Tells gateways the state of an engine, as often as it changes and the fleet's size allows."""

from __future__ import annotations

import math
from collections.abc import Callable

from figwalk.coordination.kept_parts import KeptParts, PartChanges
from figwalk.errors import ConnectionLostError
from figwalk.protocol.messages import EngineDigest
from figwalk.protocol.peer_connection import PeerConnection
from figwalk.timer import Timer

# Seconds between two looks at the state, and least seconds between two digests to one gateway.
DIGEST_PERIOD_S = 0.1
# All gateways together; each digest costs a gateway some 100 microseconds of processor time. At 100
# a second, 68 gateways refused a seventh more prompts on backlogs that were 0.7 s old than at 700.
DIGESTS_PER_S = 400
# A gateway takes an agent that is silent for a few of these as gone.
HEARTBEAT_S = 0.4
# Smaller changes of the backlog change no decision, as the round trip between zones is as long.
BACKLOG_STEP_S = 0.01
DECODING_STEP = 2
RATE_STEP = 0.05


class DigestSender:
    """Sends digests to all connected gateways.

    Answers for many gateways on many engines: a digest goes out only if the state has changed
    enough to matter or a heartbeat is due, and the rate to each gateway falls with their number, so
    that an agent's cost is bounded whatever the size of the fleet. Changes of the kept parts go
    along with either.

    Args:
        make_digest: Returns the engine's state now, with changes of the kept parts.
        parts: Parts of prompts that the engine keeps.
        timer: Source of time.
    """

    def __init__(
        self,
        make_digest: Callable[[PartChanges], EngineDigest],
        parts: KeptParts,
        timer: Timer,
    ) -> None:
        self._make_digest = make_digest
        self._parts = parts
        self._timer = timer
        self._connections: set[PeerConnection] = set()
        # Gateways that have missed changes of the kept parts.
        self._behind: set[PeerConnection] = set()
        self._told: EngineDigest | None = None
        self._told_at = -math.inf

    @property
    def period_s(self) -> float:
        """Least seconds between two digests to one gateway, as far as their number bounds it."""
        return len(self._connections) / DIGESTS_PER_S

    def add(self, connection: PeerConnection) -> None:
        """Begin to tell a gateway, at once.

        Raises:
            ConnectionLostError: The connection is gone.
        """
        self._connections.add(connection)
        self._tell_all_parts(connection)

    def remove(self, connection: PeerConnection) -> None:
        """Tell a gateway no more."""
        self._connections.discard(connection)
        self._behind.discard(connection)

    async def tell(self) -> None:
        """Send a digest to all gateways if one is due, as a callback of the timer service."""
        digest = self._make_digest(PartChanges())
        age_s = self._timer.now() - self._told_at
        if not self._connections or not self.is_due(digest, age_s):
            return
        self._told, self._told_at = digest, self._timer.now()
        digest = self._make_digest(self._parts.take_changes())
        frame = next(iter(self._connections)).render(digest)
        for connection in list(self._connections):
            try:
                if connection in self._behind:
                    self._tell_all_parts(connection)
                elif not connection.send_now(frame):
                    # A gateway that reads too slowly misses this digest and its changes.
                    self._behind.add(connection)
            except ConnectionLostError:
                # The task that receives from the connection notes the loss.
                connection.close()
                self.remove(connection)

    def _tell_all_parts(self, connection: PeerConnection) -> None:
        frame = connection.render(self._make_digest(self._parts.all))
        if connection.send_now(frame):
            self._behind.discard(connection)
        else:
            self._behind.add(connection)

    def is_due(self, digest: EngineDigest, age_s: float) -> bool:
        """Return whether to send a digest.

        Args:
            digest: The state now.
            age_s: Seconds since the last one was sent.
        """
        told = self._told
        if told is None or age_s >= HEARTBEAT_S:
            return True
        return age_s >= self.period_s and _differs(told, digest)


def _differs(told: EngineDigest, now: EngineDigest) -> bool:
    backlog_s = abs(now.backlog_tokens - told.backlog_tokens) / max(1.0, now.tokens_per_s)
    return (
        now.up != told.up
        or backlog_s >= BACKLOG_STEP_S
        or abs(now.decoding - told.decoding) >= DECODING_STEP
        or abs(now.tokens_per_s - told.tokens_per_s) > RATE_STEP * told.tokens_per_s
    )
