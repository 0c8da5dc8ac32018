"""Interfaces between a gateway and the protocols of its callers and backend servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

import attrs

from figwalk.coordination.backend_tracker import ReportedLoad
from figwalk.state.backend_directory import BackendEntry
from figwalk.transport import Headers, HttpRequest


@attrs.frozen
class PromptPart:
    """A part of a prompt that other prompts may share.

    Attributes:
        part_id: Identifies the content; equal ids mean equal content.
        tokens: Length in tokens.
    """

    part_id: str
    tokens: int


@attrs.frozen
class CallFacts:
    """Fields of a caller's request that the gateway acts on.

    Attributes:
        call_id: Id that the caller gave to this attempt.
        caller_timeout_s: Seconds until the caller times out, or None if the request states none.
        prompt: Parts of the prompt in order; empty for calls that are not model calls.
        resume_after: Id of the last event that the caller received of a broken stream, or empty.
        resumes: Id of the attempt that brought the first event of that stream, or empty.
        api_key: Key of the caller's organisation, or empty.
        max_output_tokens: Largest number of tokens of the answer, or None if it is not stated.
        expected_output_tokens: The caller's estimate of that number, often far off, or None.
    """

    call_id: str
    caller_timeout_s: float | None
    prompt: tuple[PromptPart, ...] = ()
    resume_after: str = ""
    resumes: str = ""
    api_key: str = attrs.field(default="", repr=False)
    max_output_tokens: int | None = None
    expected_output_tokens: int | None = None

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt in tokens."""
        return sum(part.tokens for part in self.prompt)


class CallerCodec(ABC):
    """Decodes callers' requests."""

    @abstractmethod
    def decode(self, request: HttpRequest) -> CallFacts:
        """Return the fields of a request that the gateway acts on.

        Raises:
            CallerError: The request is not valid.
        """

    @abstractmethod
    def identify(self, call_id: str) -> Headers:
        """Return the headers that link an answer of the gateway itself to the caller's request."""


class CallStep(Enum):
    """The work that a backend server does for a call."""

    RUN = "run"
    PREFILL = "prefill"


@attrs.frozen
class KvSource:
    """Location of the KV cache of a prefilled prompt.

    Attributes:
        backend: Engine that prefilled the prompt.
        handle: Name of the KV cache at that engine.
        tokens: Length of the prompt in tokens.
    """

    backend: BackendEntry
    handle: str
    tokens: int


@attrs.frozen
class SendPlan:
    """How to send a call to a backend server.

    Attributes:
        backend: Backend server that receives the call.
        left_s: Seconds that the backend server may take.
        step: Work that it does.
        kv_source: KV cache of the prefilled prompt, which the engine fetches first, or None.
        donor: Source engine from which the engine fetches cached prompt parts, or None.
        organisation: Name of the caller's organisation, or empty. None if the configuration has no
            organisations, so that the caller's headers about them are passed on.
        engine_priority: Priority among an engine's calls, 0 to 9 with 0 first, or None.
        resume_after: Id of the event after which a stream resumes, or empty.
    """

    backend: BackendEntry
    left_s: float
    step: CallStep = CallStep.RUN
    kv_source: KvSource | None = None
    engine_priority: int | None = None
    resume_after: str = ""
    donor: BackendEntry | None = None
    organisation: str | None = ""


@attrs.frozen
class AnswerFacts:
    """Fields of a backend server's answer that the gateway acts on.

    Attributes:
        not_run: Whether the backend server states that it did not run the call.
        signed: Whether the answer carries the backend server's signature.
        load: Load that the backend server reports, or None.
        leaving: Whether the backend server states that it is about to leave.
        closed_s: Seconds for which the backend server takes no calls of this process.
        requests_per_s: Requests a second that the backend server takes from all processes together,
            or None if it states no limit.
    """

    not_run: bool
    signed: bool
    load: ReportedLoad | None
    leaving: bool = False
    closed_s: float = 0.0
    requests_per_s: float | None = None


class BackendCodec(ABC):
    """Encodes requests to backend servers and decodes their answers."""

    @abstractmethod
    def encode(self, request: HttpRequest, plan: SendPlan) -> HttpRequest:
        """Return the request that forwards a caller's request by a plan."""

    @abstractmethod
    def is_own_response(self, call_id: str, headers: Headers) -> bool:
        """Return whether an answer with these headers belongs to a call."""

    @abstractmethod
    def decode_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return the fields of an answer that the gateway acts on."""

    @abstractmethod
    def decode_prefill(self, backend: BackendEntry, body: bytes) -> KvSource:
        """Return the location of the KV cache that a prefill answer names.

        Raises:
            HttpError: The body is not valid.
        """

    @abstractmethod
    def encode_release(self, source: KvSource, organisation: str) -> HttpRequest:
        """Return the request that frees the KV cache of a prefilled prompt.

        Args:
            source: Location of the KV cache.
            organisation: Name of the caller's organisation, or empty.
        """
