"""Calls as the admission queue sees them."""

from __future__ import annotations

import math

import attrs
import trio

from figwalk.errors import RefusalError
from figwalk.protocol.messages import Priority


@attrs.frozen
class Work:
    """What a call asks of the backend server.

    Attributes:
        priority: Priority class.
        organisation: Organisation that it counts for.
        deadline: Time by `Timer.now` at which the answer is worthless, or infinity.
        prompt_tokens: Prompt length; 0 for plain services.
        max_tokens: Largest answer length; 0 for plain services.
        first_token_due: Time by `Timer.now` at which the answer must begin, or infinity.
    """

    priority: Priority = Priority.NORMAL
    organisation: str = ""
    deadline: float = math.inf
    prompt_tokens: int = 0
    max_tokens: int = 0
    first_token_due: float = math.inf


@attrs.define(eq=False)
class Ticket:
    """A call that waits or runs.

    Attributes:
        work: What it asks.
        service_s: Predicted seconds from start to end.
        output_tokens: Expected answer length.
        enqueued_at: When it asked for admission.
        started_at: When it was admitted.
        first_byte_at: When its answer began, or 0.
        generated: Tokens generated so far.
        streamed: Whether the tokens arrive one by one, so that their speed can be measured.
        started_beside: Running calls when it started, with itself.
        first_token_s: Predicted seconds from start to the first token.
        decided: Set when a waiting call may start or is refused.
        refusal: Why it was refused while it waited.
    """

    work: Work
    service_s: float
    output_tokens: float
    enqueued_at: float
    started_at: float = 0.0
    first_byte_at: float = 0.0
    generated: int = 0
    streamed: bool = False
    started_beside: int = 0
    first_token_s: float = 0.0
    decided: trio.Event | None = None
    refusal: RefusalError | None = None

    @property
    def latest_start(self) -> float:
        """Time after which it can no longer begin and finish in time."""
        return min(
            self.work.first_token_due - self.first_token_s, self.work.deadline - self.service_s
        )
