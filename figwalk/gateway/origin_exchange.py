"""Shares the origins of streams among gateways through the memory of agents."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from hashlib import blake2b

import attrs
import trio

from figwalk.state.stream_origins import StreamOrigin, StreamOrigins
from figwalk.timer import Timer

# Agents that are told of a stream. In a release, agents end with the engines beside them.
TOLD_PEERS = 3
# Agents that are asked. More than are told, since the gateways don't know the same agents while
# some come and go.
ASKED_PEERS = 6
# Bounds the time that a caller waits, also for agents whose VMs are busy or cut off.
FIND_TIMEOUT_S = 0.75
# Delays before each question to an agent that does not know a stream: the message about the stream
# may arrive after its caller is back.
ASK_DELAYS_S = (0.0, 0.05, 0.1, 0.2)
# Agents of other regions answer this much later than those of the gateway's own.
OTHER_ANSWERS_S = 0.03
# A gateway that has just started connects to the agents while callers wait.
CONNECTION_CHECK_S = 0.05


class OriginPeer(ABC):
    """An agent that keeps the origins of streams."""

    @property
    @abstractmethod
    def host(self) -> str:
        """IP address by which all gateways know the agent."""

    @property
    @abstractmethod
    def session(self) -> object:
        """The present connection; an agent that is started again has forgotten all origins."""

    @abstractmethod
    def tell(self, attempt: bytes, origin: StreamOrigin) -> None:
        """Tell the agent the origin of a stream, without waiting."""

    @abstractmethod
    async def ask(self, attempt: bytes) -> StreamOrigin | None:
        """Return the origin of a stream, or None if the agent does not know it or is lost."""


@attrs.define(eq=False)
class _OpenStream:
    """A stream whose caller has not got the complete answer from this gateway.

    Attributes:
        origin: Its origin.
        told: Connections on which agents were told of it, with the agents' scores.
    """

    origin: StreamOrigin
    told: dict[object, bytes] = attrs.field(factory=dict)


class OriginExchange:
    """Knows the origins of streams that this gateway or another one began.

    Args:
        peers: Returns the connected agents.
        timer: Source of time.
    """

    def __init__(self, peers: Callable[[], Sequence[OriginPeer]], timer: Timer) -> None:
        self._peers = peers
        self._origins = StreamOrigins(timer)
        self._open: dict[bytes, _OpenStream] = {}  # Oldest first.
        self._sessions: set[object] = set()

    def begin(self, attempt: bytes, origin: StreamOrigin) -> None:
        """Record the origin of a stream, before its first event is passed on."""
        self._origins.add(attempt, origin)
        self._open.pop(attempt, None)
        stream = self._open[attempt] = _OpenStream(origin)
        self._tell(attempt, stream, self._peers())

    def end(self, attempt: bytes) -> None:
        """Record that the answer of a stream is complete, so that nobody will take it up."""
        self._open.pop(attempt, None)

    async def find(self, attempt: bytes) -> StreamOrigin | None:
        """Return the origin of a stream, or None if neither this process nor an agent knows it.

        Agents are asked at once. Those that answer soon after the first one that knows the stream
        count too: if they name another version, the origin is uncertain.
        """
        open_questions: set[object] = set()
        asked: set[object] = set()
        found = trio.Event()

        async def ask(peer: OriginPeer, session: object) -> None:
            for delay_s in ASK_DELAYS_S:
                await trio.sleep(delay_s)
                origin = await peer.ask(attempt)
                if origin is not None:
                    self._origins.add(attempt, origin)
                    found.set()
                if found.is_set():
                    break
            open_questions.remove(session)
            if not open_questions:
                nursery.cancel_scope.cancel()

        origin = self._origins.find(attempt)
        if origin is not None:
            return origin
        with trio.move_on_after(FIND_TIMEOUT_S) as scope:
            async with trio.open_nursery() as nursery:
                sessions: set[object] = set()
                while not found.is_set():
                    peers = self._peers()
                    has_changed = sessions != {peer.session for peer in peers}
                    sessions = {peer.session for peer in peers}
                    for peer in _rank(attempt, peers)[:ASKED_PEERS] if has_changed else ():
                        if peer.session not in asked:
                            asked.add(peer.session)
                            open_questions.add(peer.session)
                            nursery.start_soon(ask, peer, peer.session)
                    with trio.move_on_after(CONNECTION_CHECK_S):
                        await found.wait()
                scope.deadline = min(scope.deadline, trio.current_time() + OTHER_ANSWERS_S)
        return self._origins.find(attempt)

    def update(self) -> None:
        """Tell agents that are new, or that take the place of others, of the open streams."""
        self._drop_forgotten()
        peers = {peer.session: peer for peer in self._peers()}
        lost = self._sessions - peers.keys()
        new = peers.keys() - self._sessions
        self._sessions = set(peers)
        if not lost and not new:
            return
        for attempt, stream in self._open.items():
            for session in lost & stream.told.keys():
                del stream.told[session]
            if len(stream.told) < TOLD_PEERS:
                self._tell(attempt, stream, list(peers.values()))
                continue
            # The agents that other gateways ask first are among those told and the new ones.
            worst = max(stream.told.values())
            for session in new - stream.told.keys():
                if _score(attempt, peers[session].host) < worst:
                    self._tell_one(attempt, stream, peers[session])

    def _tell(self, attempt: bytes, stream: _OpenStream, peers: Sequence[OriginPeer]) -> None:
        for peer in _rank(attempt, peers)[:TOLD_PEERS]:
            if peer.session not in stream.told:
                self._tell_one(attempt, stream, peer)

    @staticmethod
    def _tell_one(attempt: bytes, stream: _OpenStream, peer: OriginPeer) -> None:
        stream.told[peer.session] = _score(attempt, peer.host)
        peer.tell(attempt, stream.origin)

    def _drop_forgotten(self) -> None:
        while self._open:
            oldest = next(iter(self._open))
            if self._origins.find(oldest) is not None:
                return
            del self._open[oldest]


def _rank(attempt: bytes, peers: Sequence[OriginPeer]) -> list[OriginPeer]:
    """Return agents in an order that depends on the stream and is the same at all gateways.

    An agent beside several engines has several connections, of which one is returned.
    """
    by_host = {peer.host: peer for peer in peers}
    return sorted(by_host.values(), key=lambda peer: _score(attempt, peer.host))


def _score(attempt: bytes, host: str) -> bytes:
    return blake2b(host.encode(), key=attempt, digest_size=8).digest()
