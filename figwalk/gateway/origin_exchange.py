"""Shares the origins of streams among gateways through the memory of agents."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from hashlib import blake2b

import attrs
import trio

from figwalk.state.stream_origins import (
    MAX_ORIGINS,
    ORIGIN_RETENTION_S,
    StreamOrigin,
    StreamOrigins,
)
from figwalk.timer import Timer

# Agents that are told of a stream. In a release, agents end with the engines beside them.
KEEPERS = 3
# Agents that are asked. More than are told, since the gateways don't know the same agents while
# some come and go.
ASKED_KEEPERS = 6
# Bounds the time that a caller waits, also for agents whose VMs are busy or cut off.
FIND_TIMEOUT_S = 0.75
# Delays before each question to an agent that does not know a stream: the message about the stream
# may arrive after its caller is back.
ASK_DELAYS_S = (0.0, 0.05, 0.1, 0.2)
# A gateway that has just started connects to the agents while callers wait.
CONNECTION_CHECK_S = 0.05


class OriginKeeper(ABC):
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
        begun_at: Timer time of its first event.
        told: Connections on which agents were told of it.
    """

    origin: StreamOrigin
    begun_at: float
    told: set[object] = attrs.field(factory=set)


class OriginExchange:
    """Knows the origins of streams that this gateway or another one began.

    Args:
        keepers: Returns the connected agents.
        timer: Source of time.
    """

    def __init__(self, keepers: Callable[[], Sequence[OriginKeeper]], timer: Timer) -> None:
        self._keepers = keepers
        self._timer = timer
        self._origins = StreamOrigins(timer)
        self._open: dict[bytes, _OpenStream] = {}  # Oldest first.
        self._sessions: set[object] = set()

    def begin(self, attempt: bytes, origin: StreamOrigin) -> None:
        """Record the origin of a stream, before its first event is passed on."""
        self._origins.add(attempt, origin)
        stream = self._open[attempt] = _OpenStream(origin, self._timer.now())
        self._tell(attempt, stream, self._keepers())

    def end(self, attempt: bytes) -> None:
        """Record that the answer of a stream is complete, so that nobody will take it up."""
        self._open.pop(attempt, None)

    async def find(self, attempt: bytes) -> StreamOrigin | None:
        """Return the origin of a stream, or None if neither this process nor an agent knows it.

        Agents are asked at once, and the first one that knows the stream decides.
        """
        open_questions: set[object] = set()
        asked: set[object] = set()

        async def ask(keeper: OriginKeeper, session: object) -> None:
            for delay_s in ASK_DELAYS_S:
                await trio.sleep(delay_s)
                origin = await keeper.ask(attempt)
                if origin is not None:
                    self._origins.add(attempt, origin)
                    nursery.cancel_scope.cancel()
            open_questions.remove(session)

        with trio.move_on_after(FIND_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                while self._origins.find(attempt) is None:
                    for keeper in _rank(attempt, self._keepers())[:ASKED_KEEPERS]:
                        if keeper.session not in asked:
                            asked.add(keeper.session)
                            open_questions.add(keeper.session)
                            nursery.start_soon(ask, keeper, keeper.session)
                    if asked and not open_questions:
                        break
                    await trio.sleep(CONNECTION_CHECK_S)
                nursery.cancel_scope.cancel()
        return self._origins.find(attempt)

    def update(self) -> None:
        """Tell agents that are new, or that take the place of others, of the open streams."""
        self._drop_old()
        keepers = self._keepers()
        sessions = {keeper.session for keeper in keepers}
        if sessions == self._sessions:
            return
        self._sessions = sessions
        for attempt, stream in self._open.items():
            self._tell(attempt, stream, keepers)

    def _tell(self, attempt: bytes, stream: _OpenStream, keepers: Sequence[OriginKeeper]) -> None:
        for keeper in _rank(attempt, keepers)[:KEEPERS]:
            if keeper.session not in stream.told:
                stream.told.add(keeper.session)
                keeper.tell(attempt, stream.origin)

    def _drop_old(self) -> None:
        cutoff = self._timer.now() - ORIGIN_RETENTION_S
        while self._open:
            oldest = next(iter(self._open))
            if len(self._open) <= MAX_ORIGINS and self._open[oldest].begun_at >= cutoff:
                return
            del self._open[oldest]


def _rank(attempt: bytes, keepers: Sequence[OriginKeeper]) -> list[OriginKeeper]:
    """Return agents in an order that depends on the stream and is the same at all gateways."""
    return sorted(
        keepers,
        key=lambda keeper: blake2b(keeper.host.encode(), key=attempt, digest_size=8).digest(),
    )
