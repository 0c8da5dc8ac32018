"""Messages between figwalk processes; `peer.capnp` has the wire form of each class."""

from __future__ import annotations

from enum import StrEnum

import attrs

from figwalk.errors import CallOutcome
from figwalk.transport.http_types import Headers

NO_OFFSET = -1  # Offset fields use it for "none yet"; the log's first offset is 0.


class ConnectionKind(StrEnum):
    """What a peer connection is used for."""

    CONTROL = "control"
    CALL = "call"
    PEER = "peer"
    PROMPT = "prompt"


class Role(StrEnum):
    """Share of the work that an engine takes."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class BackendState(StrEnum):
    """Whether a backend server takes work."""

    SERVING = "serving"
    CHANGING = "changing"
    LEAVING = "leaving"
    WITHDRAWN = "withdrawn"
    DOWN = "down"


class Priority(StrEnum):
    """Priority class of a call, highest first."""

    INTERACTIVE = "interactive"
    NORMAL = "normal"
    BATCH = "batch"


class KeyState(StrEnum):
    """What an agent knows of a claimed call."""

    FINISHED = "finished"
    RUNNING = "running"
    VOIDED = "voided"
    UNKNOWN = "unknown"


@attrs.frozen
class Hello:
    """First message in each direction on every connection.

    Attributes:
        kind: What the connection is for.
        process: Name of the sending process.
        incarnation: Random 64 bits drawn when the process started.
        zone: Availability zone of the process.
        region: Region of the process.
        backend: Backend server beside an agent, or an empty string.
        service: Service of that backend server, or an empty string.
        clock: Hybrid logical clock.
    """

    kind: ConnectionKind
    process: str
    incarnation: int
    zone: str = ""
    region: str = ""
    backend: str = ""
    service: str = ""
    clock: int = 0


@attrs.frozen
class Call:
    """A request for the backend server beside an agent.

    Attributes:
        call_id: Identifies this attempt; every frame of the answer carries it.
        request_id: Identifies the caller's request over all attempts.
        method: HTTP method.
        target: Path and query at the backend server.
        headers: End-to-end HTTP headers.
        body: Request body.
        deadline_ms: Milliseconds left until the caller's deadline; 0 for none.
        priority: Priority class.
        organisation: Organisation of the caller, for shares.
        prompt_tokens: Estimated prompt tokens that are not expected in the engine's cache; 0 for
            plain services.
        max_tokens: Largest answer length in tokens; 0 for plain services.
        stream: Whether the answer is a stream of server-sent events.
        claim_id: Claim of a call that may not be repeated, or an empty string.
        incarnation: Incarnation of the agent that the claim names.
        clock: Hybrid logical clock.
        first_token_ms: Milliseconds left until the first token is due; 0 for no limit.
    """

    call_id: int
    request_id: str
    method: str
    target: str
    headers: Headers = attrs.field(factory=list)
    body: bytes = b""
    deadline_ms: int = 0
    priority: Priority = Priority.NORMAL
    organisation: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    stream: bool = False
    claim_id: str = ""
    incarnation: int = 0
    clock: int = 0
    first_token_ms: int = 0


@attrs.frozen
class Answer:
    """Status and headers of an answer; data frames and `End` follow."""

    call_id: int
    status: int
    headers: Headers = attrs.field(factory=list)
    clock: int = 0


@attrs.frozen
class LoadReport:
    """State and load of one backend server; also the agent's heartbeat.

    Attributes:
        sequence: Grows with every report of one agent incarnation.
        backend: Backend server.
        role: Role that the engine really has.
        state: Whether it takes work.
        running: Calls at the backend server now.
        queued: Calls in the agent's admission queue.
        queued_prompt_tokens: Prompt tokens still to be processed, queued and running.
        queued_output_tokens: Output tokens still to be generated, queued and running.
        max_running: Calls that the backend server takes at once.
        prefill_tokens_per_s: Measured prompt processing speed.
        decode_tokens_per_s: Measured generation speed over all running calls.
        prompt_tokens_total: Prompt tokens processed since the agent started.
        generated_tokens_total: Tokens generated since the agent started.
        order_offset: Newest order carried out by the engine, or `NO_OFFSET`.
        control_offset: Newest control offset known to the agent, or `NO_OFFSET`.
        revision: Configuration revision in force at the agent.
        queue_wait_ms: Predicted wait of a new call in the queue.
        engine_report_age_ms: Age of the engine's own figures in this report.
        cache_stored: Prefix pieces stored since the previous report.
        cache_evicted: Prefix pieces evicted since the previous report.
    """

    sequence: int
    backend: str
    role: Role = Role.MIXED
    state: BackendState = BackendState.SERVING
    running: int = 0
    queued: int = 0
    queued_prompt_tokens: int = 0
    queued_output_tokens: int = 0
    max_running: int = 1
    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0
    prompt_tokens_total: int = 0
    generated_tokens_total: int = 0
    order_offset: int = NO_OFFSET
    control_offset: int = NO_OFFSET
    revision: int = 0
    queue_wait_ms: int = 0
    engine_report_age_ms: int = 0
    cache_stored: list[int] = attrs.field(factory=list)
    cache_evicted: list[int] = attrs.field(factory=list)


@attrs.frozen
class End:
    """End of an answer.

    Attributes:
        call_id: The answered call.
        byte_count: Bytes of body in the data frames before it.
        complete: Whether the backend server's answer was whole.
        load: Fresh load of the backend server, if the agent sends it.
        clock: Hybrid logical clock.
    """

    call_id: int
    byte_count: int
    complete: bool
    load: LoadReport | None = None
    clock: int = 0


@attrs.frozen
class Refusal:
    """The agent did not answer a call.

    Attributes:
        call_id: The refused call.
        code: Machine-readable reason.
        outcome: Whether the backend server may have run it.
        retry_after_ms: Milliseconds after which a retry has a chance.
        detail: Text for the caller.
        load: Fresh load of the backend server, if the agent sends it.
        clock: Hybrid logical clock.
    """

    call_id: int
    code: str
    outcome: CallOutcome = CallOutcome.NOT_RUN
    retry_after_ms: int = 0
    detail: str = ""
    load: LoadReport | None = None
    clock: int = 0


@attrs.frozen
class Cancel:
    """The caller no longer wants the answer."""

    call_id: int


@attrs.frozen
class Leaving:
    """The backend server takes no new work from now on.

    Attributes:
        backend: The leaving backend server.
        grace_ms: Milliseconds that running calls may still take.
        clock: Hybrid logical clock.
    """

    backend: str
    grace_ms: int
    clock: int = 0


@attrs.frozen
class Desired:
    """Newest valid order for a backend server, as of a control offset.

    Attributes:
        control_offset: Offset up to which the sender has read the control stream.
        order_offset: Offset of the order, or `NO_OFFSET` if there is none.
        term: Term of the order.
        backend: Backend server that it is for.
        role: Role to take.
        model: Model to load; empty keeps the present one.
        adapter: Adapter to load; empty keeps the present one.
        version: Version to load; empty keeps the present one.
    """

    control_offset: int
    order_offset: int
    term: int
    backend: str
    role: Role = Role.MIXED
    model: str = ""
    adapter: str = ""
    version: str = ""


@attrs.frozen
class Confirm:
    """Asks for the desired state as of a log read that starts after this message arrived."""

    nonce: int
    backend: str


@attrs.frozen
class Confirmed:
    """Answers `Confirm`; it is not sent while the log can't be read."""

    nonce: int
    desired: Desired


@attrs.frozen
class ConfigUpdate:
    """Configuration entries.

    Attributes:
        revision: Revision after applying the entries.
        full: Whether the entries are the whole configuration.
        entries: JSON list of `ConfigEntry` objects.
    """

    revision: int
    full: bool
    entries: bytes


@attrs.frozen
class ConfigQuery:
    """Asks for a `ConfigUpdate` with what is newer than a revision."""

    revision: int


@attrs.frozen
class KeyLookup:
    """Asks an agent about a claimed call; a call it has never seen is voided.

    Attributes:
        claim_id: The claim.
        incarnation: Incarnation of the agent that the claim names.
    """

    claim_id: str
    incarnation: int


@attrs.frozen
class KeyStatus:
    """Answers `KeyLookup`.

    Attributes:
        claim_id: The claim.
        state: What the agent knows.
        status: HTTP status of a finished call.
        headers: Headers of a finished call.
        body: Body of a finished call.
    """

    claim_id: str
    state: KeyState
    status: int = 0
    headers: Headers = attrs.field(factory=list)
    body: bytes = b""


@attrs.frozen
class EventsQuery:
    """Asks for the recent events of one request, or of all with an empty identifier."""

    request_id: str


@attrs.frozen
class EventsReply:
    """Answers `EventsQuery` with a JSON list of `EventRecord` objects."""

    events: bytes


@attrs.frozen
class PromptOffer:
    """Asks the agent beside an engine whether it may read a prompt in time.

    Attributes:
        call_id: Identifies the offer on its connection.
        request_id: The caller's id, for logs.
        part_ids: Ids of the parts of the prompt, separated by commas.
        part_tokens: Length of each part in tokens.
        target_ms: Milliseconds until the first token is late; may be negative.
        left_ms: Milliseconds until the caller gives up.
        after_ms: Milliseconds from the end of the reading to the first token at the caller.
        fetched_tokens: Tokens from the start of the prompt whose KV cache the engine fetches.
    """

    call_id: int
    request_id: str
    part_ids: str
    part_tokens: list[int]
    target_ms: int
    left_ms: int
    after_ms: int
    fetched_tokens: int = 0


@attrs.frozen
class PromptDecision:
    """Answer to a `PromptOffer`.

    Attributes:
        call_id: Of the offer.
        granted: Whether the prompt may be sent; it then counts as waiting until `PromptEnded`.
        uncached_tokens: Tokens that the engine is predicted to read.
        wait_ms: Milliseconds that the prompt is predicted to wait for others.
        finish_ms: Milliseconds until it is predicted to have been read.
        backlog_tokens: Tokens that wait to be read, this prompt included if granted.
    """

    call_id: int
    granted: bool
    uncached_tokens: int
    wait_ms: int
    finish_ms: int
    backlog_tokens: int


@attrs.frozen
class PromptEnded:
    """Says that a granted prompt was read or given up.

    Attributes:
        call_id: Of the offer.
        read: Whether the engine read it to its end.
        took_ms: Milliseconds that it took at the engine, or 0 if that is not known.
    """

    call_id: int
    read: bool
    took_ms: int = 0


@attrs.frozen
class EngineDigest:
    """State of an engine as the agent beside it sees it; also the connection's heartbeat.

    Attributes:
        up: Whether the engine answers the agent.
        backlog_tokens: Granted tokens that wait to be read.
        tokens_per_s: Tokens that the engine reads a second.
        report_age_ms: Milliseconds since the engine last answered.
        decoding: Calls that the engine is generating tokens for.
        kept: Hashes of parts of prompts that the engine has begun to keep since the last digest.
        yielded: Hashes of those that it no longer keeps.
        fixed_ms: Milliseconds that the reading of a prompt takes beside its tokens.
        measured: Whether the speed is measured, and not assumed.
        kept_complete: Whether `kept` has all that the engine keeps, and not only what is new.
        reading: Hashes of all shared parts that the engine is reading.
    """

    up: bool
    backlog_tokens: int
    tokens_per_s: float
    report_age_ms: int
    decoding: int
    kept: list[int] = attrs.field(factory=list)
    yielded: list[int] = attrs.field(factory=list)
    fixed_ms: int = 0
    measured: bool = False
    kept_complete: bool = False
    reading: list[int] = attrs.field(factory=list)


Message = (
    Hello
    | Call
    | Answer
    | End
    | Refusal
    | Cancel
    | LoadReport
    | Leaving
    | Desired
    | Confirm
    | Confirmed
    | ConfigUpdate
    | ConfigQuery
    | KeyLookup
    | KeyStatus
    | EventsQuery
    | EventsReply
    | PromptOffer
    | PromptDecision
    | PromptEnded
    | EngineDigest
)
