"""A backend server chosen for an attempt, and how to reach it."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import attrs

from figwalk.coordination.router import Choice
from figwalk.entry.call_pool import CallPool, Reply
from figwalk.protocol.messages import Call
from figwalk.state.fleet import Fleet


@attrs.frozen
class Target:
    """A chosen backend server.

    Attributes:
        choice: The routing policy's choice.
        pool: Call connections to its agent.
        incarnation: Incarnation of its agent.
        fleet: Load view that counts the call while it is in flight.
        pieces: Prefix pieces of the prompt, which the backend server will hold soon.
    """

    choice: Choice
    pool: CallPool
    incarnation: int
    fleet: Fleet = attrs.field(repr=False)
    pieces: Sequence[int] = attrs.field(default=(), repr=False)

    @asynccontextmanager
    async def open(self, call: Call) -> AsyncIterator[Reply]:
        """Send a call and count it as in flight until its end.

        Raises:
            NotSentError: The agent could not be reached, so that the call did not run.
            ConnectionLostError: The connection or the agent was lost after the send.
        """
        backend = self.choice.backend
        self.fleet.note_sent(
            backend, call.call_id, call.prompt_tokens, call.max_tokens, pieces=self.pieces
        )
        try:
            async with self.pool.open(call) as reply:
                yield reply
                if reply.end is not None and reply.end.load is not None:
                    self.fleet.update_report(reply.end.load, incarnation=self.incarnation)
        finally:
            self.fleet.note_finished(backend, call.call_id)
