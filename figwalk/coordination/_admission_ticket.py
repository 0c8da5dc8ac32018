"""Data of the calls that an agent's admission queue handles."""

from __future__ import annotations

import math

import attrs
import trio

from figwalk.errors import RefusalError
from figwalk.protocol.messages import Priority


@attrs.frozen
class AdmissionRequest:
    """Work that a call requests from the backend server.

    Attributes:
        priority: Priority class.
        organisation: Organisation to whose share the call is charged.
        deadline: `Timer.now` time by which the answer must be complete, or infinity.
        prompt_tokens: Prompt length; 0 for plain services.
        max_tokens: Maximum answer length; 0 for plain services.
        first_token_due: `Timer.now` time by which the answer must begin, or infinity.
    """

    priority: Priority = Priority.NORMAL
    organisation: str = ""
    deadline: float = math.inf
    prompt_tokens: int = 0
    max_tokens: int = 0
    first_token_due: float = math.inf


@attrs.define(eq=False)
class Ticket:
    """A call that waits for admission or is running.

    Attributes:
        work: Work that the call requests.
        service_s: Predicted seconds from start to end.
        output_tokens: Expected answer length.
        enqueued_at: `Timer.now` time at which the call requested admission.
        started_at: `Timer.now` time at which the call was admitted, or 0.
        first_byte_at: `Timer.now` time at which the answer began, or 0.
        generated: Tokens generated so far.
        streamed: Whether the tokens arrive one by one, so that the generation speed can be
            measured.
        running_at_start: Number of running calls when this one started, itself included.
        first_token_s: Predicted seconds from start to the first token.
        decided: Event set when the queue starts or refuses a waiting call; None for a call that
            starts without waiting.
        refusal: Error with which the queue refused the call while it waited, or None.
    """

    work: AdmissionRequest
    service_s: float
    output_tokens: float
    enqueued_at: float
    started_at: float = 0.0
    first_byte_at: float = 0.0
    generated: int = 0
    streamed: bool = False
    running_at_start: int = 0
    first_token_s: float = 0.0
    decided: trio.Event | None = None
    refusal: RefusalError | None = None

    @property
    def latest_start(self) -> float:
        """Latest start time at which the first token and the end are still in time."""
        return min(
            self.work.first_token_due - self.first_token_s, self.work.deadline - self.service_s
        )
