"""Sends digests of an engine's state to gateways.

The rate of digests depends on how often the state changes and on the number of gateways.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from figwalk.coordination.cached_parts import CachedParts, PartChanges
from figwalk.errors import ConnectionLostError
from figwalk.protocol.messages import EngineDigest
from figwalk.protocol.peer_connection import PeerConnection
from figwalk.timer import Timer

# Seconds between two checks of the state, and least seconds between two digests to one gateway.
DIGEST_PERIOD_S = 0.1
# To all gateways together. Each digest costs a gateway about 100 microseconds of processor time. At
# 100 a second, 68 gateways saw backlogs that were 0.7 s old and refused a seventh more prompts than
# at 700 a second.
MAX_DIGESTS_PER_S = 400
# A gateway treats an agent as lost if it has sent nothing for a few of these periods.
HEARTBEAT_S = 0.4
# Smaller changes of the backlog do not affect decisions: a round trip between zones takes as long.
BACKLOG_STEP_S = 0.01
DECODING_STEP = 2
RATE_STEP = 0.05
EVENT_TIME_STEP = 0.2


class DigestSender:
    """Sends digests to all connected gateways.

    Many gateways connect to many agents. To bound the cost of an agent whatever the size of
    the fleet, it sends a digest only if the state has changed enough to affect decisions or a
    heartbeat is due, and the rate to each gateway falls with the number of gateways. Each digest
    includes the changes of the cached parts.

    Args:
        make_digest: Returns the engine's current state, with the given changes of the cached parts.
        parts: Prompt parts that the engine has cached.
        timer: Source of time.
    """

    def __init__(
        self,
        make_digest: Callable[[PartChanges], EngineDigest],
        parts: CachedParts,
        timer: Timer,
    ) -> None:
        self._make_digest = make_digest
        self._parts = parts
        self._timer = timer
        self._connections: set[PeerConnection] = set()
        # Gateways that have missed changes of the cached parts.
        self._out_of_sync: set[PeerConnection] = set()
        self._last_sent: EngineDigest | None = None
        self._last_sent_at = -math.inf

    @property
    def period_s(self) -> float:
        """Least seconds between two digests to one gateway that the number of gateways imposes."""
        return len(self._connections) / MAX_DIGESTS_PER_S

    @property
    def gateways(self) -> int:
        """Number of connected gateways."""
        return len(self._connections)

    def add(self, connection: PeerConnection) -> None:
        """Start sending to a gateway, beginning with a digest of all cached parts.

        Raises:
            ConnectionLostError: The connection is lost.
        """
        self._connections.add(connection)
        self._send_all_parts(connection)

    def remove(self, connection: PeerConnection) -> None:
        """Stop sending to a gateway."""
        self._connections.discard(connection)
        self._out_of_sync.discard(connection)

    async def send_if_due(self) -> None:
        """Send a digest to all gateways if one is due; a callback of the timer."""
        digest = self._make_digest(PartChanges())
        age_s = self._timer.now() - self._last_sent_at
        if not self._connections or not self.is_due(digest, age_s):
            return
        self._last_sent, self._last_sent_at = digest, self._timer.now()
        digest = self._make_digest(self._parts.take_changes())
        frame = next(iter(self._connections)).render(digest)
        for connection in list(self._connections):
            try:
                if connection in self._out_of_sync:
                    self._send_all_parts(connection)
                elif not connection.send_now(frame):
                    # A gateway that receives too slowly misses this digest and its changes.
                    self._out_of_sync.add(connection)
            except ConnectionLostError:
                # The task that receives from the connection records the loss.
                connection.close()
                self.remove(connection)

    def _send_all_parts(self, connection: PeerConnection) -> None:
        frame = connection.render(self._make_digest(self._parts.all))
        if connection.send_now(frame):
            self._out_of_sync.discard(connection)
        else:
            self._out_of_sync.add(connection)

    def is_due(self, digest: EngineDigest, age_s: float) -> bool:
        """Return whether to send a digest.

        Args:
            digest: The current state.
            age_s: Seconds since the last digest was sent.
        """
        last_sent = self._last_sent
        if last_sent is None or age_s >= HEARTBEAT_S:
            return True
        return age_s >= self.period_s and _differs(last_sent, digest)


def _differs(sent: EngineDigest, now: EngineDigest) -> bool:
    backlog_s = abs(now.backlog_tokens - sent.backlog_tokens) / max(1.0, now.tokens_per_s)
    return (
        now.up != sent.up
        or backlog_s >= BACKLOG_STEP_S
        or abs(now.decoding - sent.decoding) >= DECODING_STEP
        or (now.streams > 0) != (sent.streams > 0)
        or abs(now.event_ms - sent.event_ms) > EVENT_TIME_STEP * sent.event_ms
        or abs(now.needed_event_ms - sent.needed_event_ms) > EVENT_TIME_STEP * sent.needed_event_ms
        or abs(now.tokens_per_s - sent.tokens_per_s) > RATE_STEP * sent.tokens_per_s
    )
