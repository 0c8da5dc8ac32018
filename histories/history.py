"""Records of what callers, operators, processes and stand-ins saw during one run.

All times are Unix seconds of the one machine that the run is on.
"""

from __future__ import annotations

import hashlib
import math
from enum import StrEnum

import attrs

DIGEST_BYTES = 8
ABANDONED = "abandoned"  # Loss of an answer that its caller did not wait for.

PAUSE_ENTRY = "pause_entry"  # Name of the fault that stops an entry for a while.


class Kind(StrEnum):
    """Kinds of requests."""

    CHAT_STREAM = "chat_stream"
    CHAT_WHOLE = "chat_whole"
    LONG_JOB = "long_job"
    STOCK = "stock"
    ORDER = "order"
    PAYMENT = "payment"

    @property
    def is_generation(self) -> bool:
        """Whether a model answers it."""
        return self in {Kind.CHAT_STREAM, Kind.CHAT_WHOLE, Kind.LONG_JOB}

    @property
    def is_keyed(self) -> bool:
        """Whether it may not be repeated."""
        return self in {Kind.ORDER, Kind.PAYMENT}


@attrs.frozen
class Invocation:
    """A request as a caller sent it.

    Attributes:
        id: Unique id, sent as `X-Request-Id` and `X-Attempt`.
        kind: Kind of request.
        entry: Entry that it was sent to.
        sent_at: When it was sent.
        deadline_s: Seconds within which an answer is useful.
        prompt: Prompt of a generation request.
        max_tokens: Tokens that were asked for.
        key: Idempotency key.
        subject: Item of a stock check, or quantity of an order.
    """

    id: str
    kind: Kind
    entry: str
    sent_at: float
    deadline_s: float
    prompt: str = attrs.field(default="", repr=False)
    max_tokens: int = 0
    key: str = ""
    subject: str = ""


@attrs.frozen
class Answer:
    """What the caller got for a request.

    Attributes:
        invocation_id: The request.
        ended_at: When the answer ended or was lost.
        status: HTTP status; 0 if none arrived.
        whole: Whether the answer arrived to its end.
        connected: Whether the request could be sent at all.
        loss: Why there is no whole answer, or an empty string.
        code: Error code of a refusal.
        outcome: Field `outcome` of a refusal.
        attempt: Field `attempt` of a refusal.
        retry_after: Whether `Retry-After` was there.
        replayed: Whether the answer is that of an earlier request of the key.
        digest: Digest of the text or body.
        token_count: Tokens of a generated text.
        subject: Item or quantity that the answer names.
    """

    invocation_id: str
    ended_at: float
    status: int = 0
    whole: bool = False
    connected: bool = True
    loss: str = ""
    code: str = ""
    outcome: str = ""
    attempt: str = ""
    retry_after: bool = False
    replayed: bool = False
    digest: str = ""
    token_count: int = 0
    subject: str = ""


@attrs.frozen
class Refused:
    """Log event of an entry that it is about to refuse a request."""

    invocation_id: str
    at: float
    code: str
    outcome: str


@attrs.frozen
class Run:
    """A run of a keyed call at a plain service.

    Attributes:
        backend: Backend server.
        key: Idempotency key.
        invocation_id: Request that it ran for.
        started_at: When it arrived there.
    """

    backend: str
    key: str
    invocation_id: str
    started_at: float


@attrs.frozen
class RunCount:
    """How often a key ran at a plain service by its own count."""

    backend: str
    key: str
    count: int


@attrs.frozen
class EngineOrder:
    """An order that arrived at an engine, in the order of arrival.

    Attributes:
        backend: Engine.
        life: Number of the engine's process.
        order: Order number.
        role: Role asked for.
        result: `accepted`, `old_order` or `busy`.
        interrupted: Calls that it interrupted.
    """

    backend: str
    life: int
    order: int
    role: str
    result: str
    interrupted: int


@attrs.frozen
class ValidOrder:
    """An order in the log that was valid at its offset."""

    backend: str
    order: int
    term: int
    role: str


class PublishResult(StrEnum):
    """What an operator was told of a publication."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class Publication:
    """A publication as its operator saw it.

    Attributes:
        author: Unique name for each publication.
        entry: Entry that it was sent to.
        path: Changed path.
        base: Revision of the path that it was made from.
        sent_at: When it was sent.
        ended_at: When the result was known.
        result: What the operator was told.
        revision: Revision that the operator was told.
        detail: Text of a refusal.
    """

    author: str
    entry: str
    path: str
    base: int
    sent_at: float
    ended_at: float
    result: PublishResult
    revision: int = 0
    detail: str = ""


@attrs.frozen
class LoggedPublication:
    """A publication in the log and whether the fold over the log accepts it."""

    author: str
    revision: int
    path: str
    base: int
    accepted: bool


@attrs.frozen
class RevisionInForce:
    """A configuration revision that one process had in force.

    Attributes:
        process: Process.
        life: Number of the process under that name.
        at: When.
        revision: The revision.
        source: `log event` or `status`.
    """

    process: str
    life: int
    at: float
    revision: int
    source: str


@attrs.frozen
class Leaving:
    """A time in which a backend server was to get no new work."""

    backend: str
    reason: str
    since: float
    until: float = math.inf


@attrs.frozen
class BackendCall:
    """A call that arrived at a backend server."""

    backend: str
    id: str
    at: float


@attrs.frozen
class Disturbance:
    """A fault or a planned change.

    Attributes:
        name: Kind of disturbance.
        target: Process or link.
        planned: Whether it is a planned change, which must cut no request.
        since: When it began.
        until: When it was taken back.
        detail: Further facts.
    """

    name: str
    target: str
    planned: bool
    since: float
    until: float = math.inf
    detail: str = ""


@attrs.frozen
class ProcessEnd:
    """End of a process.

    Attributes:
        process: Process.
        life: Number of the process under that name.
        at: When it was seen.
        status: Exit status, negative for a signal.
        expected: `kill`, `stop`, `crash` or an empty string for an unexpected end.
        cut: Whether a graceful shutdown cut calls.
    """

    process: str
    life: int
    at: float
    status: int
    expected: str
    cut: bool = False


@attrs.define
class History:
    """Everything that was seen during one run."""

    invocations: dict[str, Invocation] = attrs.field(factory=dict)
    answers: dict[str, Answer] = attrs.field(factory=dict)
    refused: dict[str, Refused] = attrs.field(factory=dict)
    runs: list[Run] = attrs.field(factory=list)
    run_counts: list[RunCount] = attrs.field(factory=list)
    engine_orders: list[EngineOrder] = attrs.field(factory=list)
    valid_orders: list[ValidOrder] = attrs.field(factory=list)
    publications: list[Publication] = attrs.field(factory=list)
    logged_publications: list[LoggedPublication] = attrs.field(factory=list)
    revisions: list[RevisionInForce] = attrs.field(factory=list)
    leavings: list[Leaving] = attrs.field(factory=list)
    backend_calls: list[BackendCall] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    ends: list[ProcessEnd] = attrs.field(factory=list)
    head_revision: int = 0
    final_revisions: dict[str, int] = attrs.field(factory=dict)


def digest_text(text: str) -> str:
    """Return the digest that answers are compared by."""
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
