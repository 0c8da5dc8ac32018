"""Messages between figwalk processes; `peer.capnp` defines the wire form of each class."""

from __future__ import annotations

from enum import StrEnum

import attrs

from figwalk.errors import CallOutcome
from figwalk.fairness.fair_share import UNKNOWN_ORGANISATION, TryKind
from figwalk.transport.http_types import Headers

NO_OFFSET = -1  # Means "none yet" in offset fields; the log's first offset is 0.


class ConnectionKind(StrEnum):
    """What a peer connection is used for."""

    CONTROL = "control"
    CALL = "call"
    PEER = "peer"
    PROMPT = "prompt"


class Role(StrEnum):
    """Phases of model calls that an engine runs: prefill, decode or both."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class BackendState(StrEnum):
    """Whether a backend server accepts calls and, if not, why."""

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


class RelayStatus(StrEnum):
    """What an agent answers to a relayed read."""

    OK = "ok"
    UNAVAILABLE = "unavailable"
    MISSING = "missing"


class KeyState(StrEnum):
    """State of a claimed call at an agent."""

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
        keeps_origins: Whether the process keeps the origins of streams; see `StreamBegun`. Earlier
            versions don't understand these messages.
        paces_streams: Whether the process keeps streams in time; see `StreamExpected`. Earlier
            versions don't understand it.
    """

    kind: ConnectionKind
    process: str
    incarnation: int
    zone: str = ""
    region: str = ""
    backend: str = ""
    service: str = ""
    clock: int = 0
    keeps_origins: bool = False
    paces_streams: bool = False


@attrs.frozen
class Call:
    """A request for the backend server beside an agent.

    Attributes:
        call_id: Identifies this attempt; every frame of the response carries it.
        request_id: Identifies the caller's request over all attempts.
        method: HTTP method.
        target: Path and query at the backend server.
        headers: End-to-end HTTP headers.
        body: Request body.
        deadline_ms: Milliseconds remaining until the caller's deadline; 0 for none.
        priority: Priority class.
        organisation: Organisation of the caller, for fair sharing of capacity.
        prompt_tokens: Estimated prompt tokens that are not expected in the engine's cache; 0 for
            plain services.
        max_tokens: Maximum answer length in tokens; 0 for plain services.
        stream: Whether the response is a stream of server-sent events.
        claim_id: Claim of a call that must not run twice, or an empty string.
        incarnation: Agent incarnation named in the claim.
        clock: Hybrid logical clock.
        first_token_ms: Milliseconds remaining until the first token is due; 0 for no limit.
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
    """Status and headers of a response; data frames and `End` follow."""

    call_id: int
    status: int
    headers: Headers = attrs.field(factory=list)
    clock: int = 0


@attrs.frozen
class LoadReport:
    """State and load of one backend server; also the agent's heartbeat.

    Attributes:
        sequence: Increases with every report of one agent incarnation.
        backend: Backend server.
        role: Current role of the engine.
        state: Whether the backend server accepts calls.
        running: Calls running at the backend server.
        queued: Calls in the agent's admission queue.
        queued_prompt_tokens: Prompt tokens of queued and running calls not yet prefilled.
        queued_output_tokens: Output tokens of queued and running calls not yet generated.
        max_running: Maximum number of calls that the backend server runs at once.
        prefill_tokens_per_s: Measured prefill speed.
        decode_tokens_per_s: Measured generation speed over all running calls.
        prompt_tokens_total: Prompt tokens prefilled since the agent started.
        generated_tokens_total: Tokens generated since the agent started.
        order_offset: Offset of the newest order applied by the engine, or `NO_OFFSET`.
        control_offset: Newest control offset known to the agent, or `NO_OFFSET`.
        revision: Configuration revision applied by the agent.
        queue_wait_ms: Predicted wait of a new call in the queue.
        engine_report_age_ms: Age of the figures in this report that come from the engine.
        cache_stored: Hashes of prefix pieces that the engine cached since the previous report.
        cache_evicted: Hashes of prefix pieces that the engine evicted since the previous report.
        model: Model that the engine has loaded; empty if unknown, as in reports of agents of
            earlier releases.
        adapter: Adapter that the engine has loaded, or empty.
        version: Version of the model that the engine has loaded; empty if unknown.
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
    model: str = ""
    adapter: str = ""
    version: str = ""


@attrs.frozen
class End:
    """End of a response.

    Attributes:
        call_id: Call that the response belongs to.
        byte_count: Body bytes in the preceding data frames.
        complete: Whether the agent received the backend server's complete response.
        load: Current load of the backend server, if the agent sends it.
        clock: Hybrid logical clock.
    """

    call_id: int
    byte_count: int
    complete: bool
    load: LoadReport | None = None
    clock: int = 0


@attrs.frozen
class Refusal:
    """Reports that the agent refused a call or could not complete it.

    Attributes:
        call_id: The refused call.
        code: Machine-readable reason.
        outcome: Whether the backend server may have run the call.
        retry_after_ms: Milliseconds after which a retry may succeed.
        detail: Error message for the caller.
        load: Current load of the backend server, if the agent sends it.
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
    """Cancels a call whose response is no longer needed."""

    call_id: int


@attrs.frozen
class Leaving:
    """Announces that the backend server accepts no new calls from now on.

    Attributes:
        backend: The leaving backend server.
        grace_ms: Milliseconds that running calls have to finish.
        clock: Hybrid logical clock.
    """

    backend: str
    grace_ms: int
    clock: int = 0


@attrs.frozen
class Desired:
    """Newest valid order for a backend server as of a control offset.

    Attributes:
        control_offset: Offset up to which the sender has read the control stream.
        order_offset: Offset of the order, or `NO_OFFSET` if there is none.
        term: Term of the order.
        backend: Backend server that the order is for.
        role: Role to switch to.
        model: Model to load; empty keeps the current one.
        adapter: Adapter to load; empty keeps the current one.
        version: Version to load; empty keeps the current one.
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
    """Requests the desired state as of a log read that starts after this message arrived."""

    nonce: int
    backend: str


@attrs.frozen
class Confirmed:
    """Reply to `Confirm`; not sent while the log can't be read."""

    nonce: int
    desired: Desired


@attrs.frozen
class ConfigUpdate:
    """The whole configuration, or the entries that changed.

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
    """Requests a `ConfigUpdate` with the entries newer than a revision."""

    revision: int


@attrs.frozen
class KeyLookup:
    """Requests the state of a claimed call; the agent voids a call that it has never received.

    Attributes:
        claim_id: Claim of the call.
        incarnation: Agent incarnation named in the claim.
    """

    claim_id: str
    incarnation: int


@attrs.frozen
class KeyStatus:
    """Reply to `KeyLookup`.

    Attributes:
        claim_id: Claim of the call.
        state: State of the call at the agent.
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
    """Requests the recent events of one request, or of all if the identifier is empty."""

    request_id: str


@attrs.frozen
class EventsReply:
    """Reply to `EventsQuery`: a JSON list of `EventRecord` objects."""

    events: bytes


@attrs.frozen
class PromptOffer:
    """Asks the agent beside an engine whether the engine can prefill a prompt in time.

    Attributes:
        call_id: Identifies the offer on its connection.
        request_id: Request id from the caller, for logs.
        part_ids: Ids of the prompt parts, separated by commas.
        part_tokens: Length of each part in tokens.
        target_ms: Milliseconds until the first token is due; negative if it is already late.
        left_ms: Milliseconds until the caller stops waiting.
        after_ms: Milliseconds from the end of prefill to the arrival of the first token at the
            caller.
        fetched_tokens: Tokens from the start of the prompt whose KV cache the engine fetches.
        gap_ms: Longest pause in milliseconds that callers of the engine's streams accept and that
            the prefill must not exceed; 0 if unknown, or if the prompt has no other engine.
        organisation: Hash of the caller's organisation, or `UNKNOWN_ORGANISATION`.
        priority: Priority of the call, 0 to 255; 0 is the highest, and stands for an unknown one.
        tried: Whether the call was seen before; a first try if unknown.
    """

    call_id: int
    request_id: str
    part_ids: str
    part_tokens: list[int]
    target_ms: int
    left_ms: int
    after_ms: int
    fetched_tokens: int = 0
    gap_ms: int = 0
    organisation: int = UNKNOWN_ORGANISATION
    priority: int = 0
    tried: TryKind = TryKind.FIRST


@attrs.frozen
class PromptDecision:
    """Reply to a `PromptOffer`.

    Attributes:
        call_id: Id of the offer.
        granted: Whether the prompt may be sent; if so, it counts as queued until `PromptEnded`.
        uncached_tokens: Predicted number of tokens that the engine has to prefill.
        wait_ms: Predicted milliseconds that the prompt waits for other prompts.
        finish_ms: Predicted milliseconds until the end of its prefill.
        backlog_tokens: Prompt tokens queued for prefill, including this prompt if granted.
        retry_ms: Milliseconds until the engine is predicted to have room for a prompt that was
            refused because of its organisation's share; 0 for other reasons.
    """

    call_id: int
    granted: bool
    uncached_tokens: int
    wait_ms: int
    finish_ms: int
    backlog_tokens: int
    retry_ms: int = 0


@attrs.frozen
class PromptEnded:
    """Reports that the prefill of a granted prompt has finished or was abandoned.

    Attributes:
        call_id: Id of the offer.
        read: Whether the engine completed the prefill.
        took_ms: Milliseconds that the prefill took at the engine, or 0 if unknown.
    """

    call_id: int
    read: bool
    took_ms: int = 0


@attrs.frozen
class EngineDigest:
    """State of an engine as known to the agent beside it; also the connection's heartbeat.

    Attributes:
        up: Whether the engine responds to the agent.
        backlog_tokens: Granted prompt tokens queued for prefill.
        tokens_per_s: Prefill speed in tokens per second.
        report_age_ms: Milliseconds since the engine last responded.
        decoding: Calls for which the engine is generating tokens.
        kept: Hashes of prompt parts that the engine has cached since the last digest.
        yielded: Hashes of prompt parts that the engine no longer caches.
        fixed_ms: Fixed milliseconds per prefill, independent of the number of tokens.
        measured: Whether the speed is measured rather than assumed.
        kept_complete: Whether `kept` lists all cached parts rather than only new ones.
        reading: Hashes of all shared prompt parts that the engine is prefilling.
        gateways: Number of gateways that are connected to the agent.
        streams: Number of streams that the engine runs; 0 also if unknown.
        event_ms: Milliseconds that one event of a stream takes without prefill in between; 0 if
            unknown.
        relay_gateways: Number of gateways of the agent's zone that are connected to it, if it
            answers `RelayRead`, else 0.
        born_ms: Wall-clock milliseconds of the engine's start; 0 if unknown.
        needed_event_ms: Longest mean milliseconds of an event with which all streams of the engine
            end in time; 0 if unknown.
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
    gateways: int = 0
    streams: int = 0
    event_ms: float = 0.0
    relay_gateways: int = 0
    born_ms: int = 0
    needed_event_ms: float = 0.0


@attrs.frozen
class RelayRead:
    """Asks an agent for the records of a topic, which it reads once for several gateways.

    Attributes:
        read_id: Identifies the read on its connection.
        topic: Name of the topic.
        offset: Offset of the first record.
        wait_ms: Milliseconds that a read of the store waits for a new record.
        hold_ms: Milliseconds until an answer without records is due.
        period_ms: Least milliseconds between two reads of the store; if not 0, the answer follows
            the next read even if records are known already.
        era: Era of the store in which the offset is meant, or `NO_OFFSET` if it is unknown.
    """

    read_id: int
    topic: str
    offset: int
    wait_ms: int = 0
    hold_ms: int = 0
    period_ms: int = 0
    era: int = NO_OFFSET


@attrs.frozen
class RelayPage:
    """Reply to `RelayRead`. The lists have one item for each record.

    Attributes:
        read_id: Id of the read.
        status: Whether the records follow and, if not, why.
        next_offset: Offset at which the next read starts.
        era: Era of the store, or `NO_OFFSET` if it is unknown.
        age_ms: Milliseconds by which the read of the store started before `RelayRead` arrived.
        offsets: Positions in the topic.
        keys: Keys.
        values: Contents.
        removed: Whether the key was removed.
    """

    read_id: int
    status: RelayStatus
    next_offset: int = 0
    era: int = NO_OFFSET
    age_ms: int = 0
    offsets: list[int] = attrs.field(factory=list)
    keys: list[str] = attrs.field(factory=list)
    values: list[bytes] = attrs.field(factory=list, repr=False)
    removed: list[bool] = attrs.field(factory=list)


@attrs.frozen
class StreamBegun:
    """Tells an agent which backend server began a stream that callers may take up again.

    Attributes:
        attempt: Digest of the id of the caller's attempt that got the first event.
        service: Service of the backend server.
        software_version: Version of its software, or empty if it is uncertain.
        backend: Its id.
        born_ms: Wall-clock milliseconds of its start.
        begun_ms: Wall-clock milliseconds of the first event.
    """

    attempt: bytes
    service: str
    software_version: str
    backend: str
    born_ms: int
    begun_ms: int = 0


@attrs.frozen
class StreamExpected:
    """Tells the agent beside an engine how long a stream may be that is about to begin there.

    Attributes:
        request_id: Id under which the engine lists the call.
        events: Largest number of events.
        left_ms: Milliseconds until the last one is due.
    """

    request_id: str
    events: int
    left_ms: int


@attrs.frozen
class OriginQuery:
    """Asks an agent which backend server began a stream.

    Attributes:
        query_id: Identifies the query on its connection.
        attempt: Digest of the id of the caller's attempt that got the first event.
    """

    query_id: int
    attempt: bytes


@attrs.frozen
class OriginReply:
    """Reply to `OriginQuery`.

    Attributes:
        query_id: Id of the query.
        begun: What the agent was told, or None if it does not know the stream.
    """

    query_id: int
    begun: StreamBegun | None = None


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
    | RelayRead
    | RelayPage
    | StreamBegun
    | OriginQuery
    | OriginReply
    | StreamExpected
)
