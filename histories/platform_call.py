"""A call of the platform soak."""

from __future__ import annotations

from enum import Enum

import attrs

EVENT_END = b"\n\n"
SHOWN_BYTES = 100


class CallKind(Enum):
    """Kind of a call and the route that carries it.

    Values: name of the route.
    """

    CHECK = "check"
    ORDER = "order"
    CHAT = "chat"
    LONG = "long"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in {CallKind.CHAT, CallKind.LONG}

    @property
    def is_resumable(self) -> bool:
        """Whether a caller may take the stream up after it broke off."""
        return self is CallKind.LONG

    @property
    def max_runs(self) -> int:
        """Runs that the route allows for one call."""
        return 2 if self in {CallKind.CHECK, CallKind.LONG} else 1


@attrs.define
class PlatformCall:
    """One call of a caller and what came of it.

    Attributes:
        call_id: Its id.
        kind: Its kind.
        target: Path.
        gateway: Where it was sent.
        sent_at: Unix seconds.
        patience_s: Seconds that the caller said it would wait.
        prompt: Prefix parts of a stream.
        events: Events that a stream should have.
        key: Key of the caller's organisation, or empty.
        organisation: Name of that organisation, or empty.
        status: Status of the answer, or None.
        echoed_id: Id that the answer bears.
        signed: Whether it bears a backend server's signature.
        body: Its body, as far as it came.
        whole: Whether the body came whole.
        ended_at: Unix seconds, 0 while it is open.
        abandoned: Whether the caller left before the end.
        calm: Whether no fault was in force since `RECOVER_S` before.
        began_at: Unix seconds of the head of the answer, 0 without one.
        resumes: Id of the first attempt if this one takes up its stream, or empty.
        after: Events that earlier attempts brought.
    """

    call_id: str
    kind: CallKind
    target: str
    gateway: str
    sent_at: float
    patience_s: float
    prompt: str = ""
    events: int = 0
    key: str = ""
    organisation: str = ""
    status: int | None = None
    echoed_id: str = ""
    signed: bool = False
    body: bytes = attrs.field(default=b"", repr=lambda body: f"{body[:SHOWN_BYTES]!r}...")
    whole: bool = False
    ended_at: float = 0.0
    abandoned: bool = False
    calm: bool = False
    began_at: float = 0.0
    resumes: str = ""
    after: int = 0

    @property
    def whole_events(self) -> int:
        """Whole events that this attempt brought."""
        return self.body.count(EVENT_END) if self.status == 200 else 0
