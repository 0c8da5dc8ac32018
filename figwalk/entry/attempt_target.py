"""A backend server chosen for an attempt, with the connections to its agent."""

from __future__ import annotations

from collections.abc import Sequence
from types import TracebackType

import attrs

from figwalk.coordination.router import Choice
from figwalk.entry.call_pool import ActiveCall, CallPool, Reply
from figwalk.protocol.messages import Call
from figwalk.state.fleet import Fleet, LoadedModel


@attrs.frozen
class Target:
    """A chosen backend server.

    Attributes:
        choice: The routing policy's choice.
        pool: Call connections to its agent.
        incarnation: Incarnation of its agent.
        fleet: The entry's view of load, which counts the call while it is in flight.
        pieces: Prefix pieces of the prompt, which the engine will soon have in its prefix cache.
        loaded: What its engine had loaded when it was chosen.
    """

    choice: Choice
    pool: CallPool
    incarnation: int
    fleet: Fleet = attrs.field(repr=False)
    pieces: Sequence[int] = attrs.field(default=(), repr=False)
    loaded: LoadedModel = attrs.field(factory=LoadedModel)

    def open(self, call: Call) -> TrackedCall:
        """Return a context manager like that of `CallPool.open` that also counts the call."""
        return TrackedCall(self, call)


class TrackedCall(ActiveCall):
    """A call that the entry's view of load counts as in flight until it ends."""

    def __init__(self, target: Target, call: Call) -> None:
        super().__init__(target.pool, call)
        self._target = target

    async def __aenter__(self) -> Reply:
        """Count the call as in flight and send it."""
        call = self.call
        backend = self._target.choice.backend
        self._target.fleet.add_sent_call(
            backend,
            call.call_id,
            call.prompt_tokens,
            call.max_tokens,
            pieces=self._target.pieces,
        )
        try:
            return await super().__aenter__()
        except BaseException:
            self._target.fleet.remove_call(backend, call.call_id)
            raise

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop counting the call, and apply the load report that came with the answer's end."""
        fleet = self._target.fleet
        fleet.remove_call(self._target.choice.backend, self.call.call_id)
        end = self.reply.end if self.reply else None
        if end is not None and end.load is not None:
            fleet.update_report(end.load, incarnation=self._target.incarnation)
        await super().__aexit__(kind, error, traceback)
