"""What a gateway needs to understand of requests and answers, whatever protocol carries it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

import attrs

from figwalk.coordination.backend_tracker import StatedLoad
from figwalk.state.backend_directory import BackendEntry
from figwalk.transport import Headers, HttpRequest


@attrs.frozen
class PromptPart:
    """A part of a prompt that other prompts may share.

    Attributes:
        part_id: Equal ids mean equal content.
        tokens: Length.
    """

    part_id: str
    tokens: int


@attrs.frozen
class CallFacts:
    """What a caller's request says beside its content.

    Attributes:
        call_id: Id of this attempt of the caller.
        patience_s: Seconds that the caller waits from now, or None if it does not say.
        prompt: Parts of the prompt in order; empty for calls that are not model calls.
        resume_after: Id of the last event that the caller has of a broken stream, or empty.
    """

    call_id: str
    patience_s: float | None
    prompt: tuple[PromptPart, ...] = ()
    resume_after: str = ""

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt."""
        return sum(part.tokens for part in self.prompt)


class CallerCodec(ABC):
    """Reads callers' requests."""

    @abstractmethod
    def decode(self, request: HttpRequest) -> CallFacts:
        """Return what a request says.

        Raises:
            CallerError: The request is not valid.
        """

    @abstractmethod
    def identify(self, call_id: str) -> Headers:
        """Return the headers that tie an answer of figwalk's own to the caller's request."""


class CallStep(Enum):
    """What a backend server is asked to do with a call."""

    RUN = "run"
    PREFILL = "prefill"


@attrs.frozen
class KvSource:
    """Where the KV cache of a prefilled prompt is.

    Attributes:
        backend: Engine that prefilled it.
        handle: Its name there.
        tokens: Length of the prompt.
    """

    backend: BackendEntry
    handle: str
    tokens: int


@attrs.frozen
class SendPlan:
    """How to send a call to a backend server.

    Attributes:
        backend: Where to.
        left_s: Seconds that the backend server may take.
        step: What it is asked to do.
        kv_source: KV cache of the prefilled prompt to fetch first, or None.
        donor: Engine from which to fetch what it keeps of the prompt, or None.
        urgency: Rank among an engine's calls, 0 to 9 with 0 first, or None.
        resume_after: Id of the event after which a stream goes on, or empty.
    """

    backend: BackendEntry
    left_s: float
    step: CallStep = CallStep.RUN
    kv_source: KvSource | None = None
    urgency: int | None = None
    resume_after: str = ""
    donor: BackendEntry | None = None


@attrs.frozen
class AnswerFacts:
    """What a backend server's answer says beside its content.

    Attributes:
        not_run: It states that the call was not run.
        signed: It bears the backend server's signature.
        load: Load that it states, or None.
        leaving: It states that the backend server is about to leave.
        closed_s: Seconds for which the backend server wants no calls of this process.
    """

    not_run: bool
    signed: bool
    load: StatedLoad | None
    leaving: bool = False
    closed_s: float = 0.0


class BackendCodec(ABC):
    """Writes requests to backend servers and reads their answers."""

    @abstractmethod
    def encode(self, request: HttpRequest, plan: SendPlan) -> HttpRequest:
        """Return the request to send for a caller's request."""

    @abstractmethod
    def is_answer(self, call_id: str, headers: Headers) -> bool:
        """Return whether an answer with these headers belongs to a call."""

    @abstractmethod
    def decode_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return what an answer says."""

    @abstractmethod
    def decode_prefill(self, backend: BackendEntry, body: bytes) -> KvSource:
        """Return where the KV cache of a prefilled prompt is.

        Raises:
            HttpError: The answer can't be read.
        """

    @abstractmethod
    def encode_release(self, source: KvSource) -> HttpRequest:
        """Return the request that frees the KV cache of a prefilled prompt."""
