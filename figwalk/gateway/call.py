"""State of one caller's call while a gateway handles it."""

from __future__ import annotations

from collections.abc import Callable
from functools import cached_property
from hashlib import blake2b

import attrs

from figwalk.coordination.backend_tracker import BackendTracker
from figwalk.coordination.call_arrivals import CallArrivals
from figwalk.coordination.call_identity import CallIdentity
from figwalk.fairness.call_repeats import CallKey
from figwalk.fairness.fair_share import ShareRequest, TryKind, hash_organisation
from figwalk.gateway.codecs import CallFacts
from figwalk.gateway.stream_timing import StreamTiming
from figwalk.protocol.event_stream import MAX_COUNTED_DIGITS
from figwalk.state.routing import CallKind, EngineSpec, Organisation, Route
from figwalk.state.stream_origins import StreamOrigin
from figwalk.transport import ByteCharge, HttpRequest

REQUEST_DIGEST_BYTES = 12


@attrs.define(eq=False)
class Call:
    """A call, the configuration that applies to it, and the attempts made so far.

    Attributes:
        request: The caller's request.
        facts: Fields decoded from the request's headers.
        route: Route that the request matched.
        service: Service chosen by the route.
        engine: Specification of that service's engines, or None for a plain service.
        config_version: Version of the configuration that contains the route.
        held: Counts what is held for the call.
        organisation: The caller's organisation, or None if the call needs no key.
        arrived_at: Timer time at which the request arrived, before it waited to be read.
        deadline: Timer time at which the caller must have its final answer.
        check_caller_connected: Raises `ClientDisconnectedError` if the caller has left.
        tried: Whether the same call was seen before.
        has_organisations: Whether a configuration that applied to the call has organisations, so
            that backend servers must not get the caller's key.
        sent_to: Ids of the backend servers to which the call was sent; prefills don't count.
        arrivals: Times that the call or its prefill was sent to backend servers.
        failed_prefill_engines: Ids of the engines that failed to prefill the prompt.
        unresolved: Whether a backend server may have run the call: it was sent and neither answered
            nor refused as not run.
        is_quarantine_test: Whether the call is sent to test whether backend servers still crash on
            it.
        origin: Backend server that began the stream and that decides where the rest may come from,
            or None before the first event.
        predicted_s: Predicted seconds from placement to the first token, or None before placement.
        placed_at: Timer time of that prediction.
        sent_at: Timer time at which the call or its prefill was last sent on an open connection, or
            None.
        read_s: Seconds that a separate prefill took, or None if there was none.
        timing: Times at which the events of the stream were relayed.
    """

    request: HttpRequest
    facts: CallFacts
    route: Route
    service: str
    engine: EngineSpec | None
    config_version: int
    arrived_at: float
    deadline: float
    check_caller_connected: Callable[[], None]
    held: ByteCharge
    organisation: Organisation | None = None
    tried: TryKind = TryKind.FIRST
    has_organisations: bool = False
    sent_to: list[str] = attrs.field(factory=list)
    arrivals: CallArrivals = attrs.field(factory=CallArrivals)
    failed_prefill_engines: list[str] = attrs.field(factory=list)
    unresolved: bool = False
    is_quarantine_test: bool = False
    origin: StreamOrigin | None = None
    predicted_s: float | None = None
    placed_at: float = 0.0
    sent_at: float | None = None
    read_s: float | None = None
    timing: StreamTiming = attrs.field(factory=StreamTiming)

    @property
    def call_id(self) -> str:
        """Id that the caller gave to this attempt."""
        return self.facts.call_id

    @property
    def priority(self) -> int:
        """Priority of the call; 0 is the highest."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def share_request(self) -> ShareRequest:
        """What decides on the call's share of the room, without its work."""
        if self.organisation is None:
            return ShareRequest()
        organisation = hash_organisation(self.organisation.name)
        return ShareRequest(organisation, priority=self.priority, tried=self.tried)

    @cached_property
    def request_digest(self) -> str:
        """Digest of what the caller asks for; it is the same when the request comes again."""
        request = self.request
        digest = blake2b(digest_size=REQUEST_DIGEST_BYTES)
        for field in (request.method, request.header(b"host"), request.target):
            digest.update(field.encode() + b"\0")
        digest.update(request.body)
        return digest.hexdigest()

    @cached_property
    def repeat_key(self) -> CallKey | None:
        """What is equal for the call and its repeats, or None if it belongs to no organisation."""
        if self.organisation is None:
            return None
        return CallKey(self.organisation.name, self.request_digest)

    @cached_property
    def identity(self) -> CallIdentity:
        """What the call has in common with others that may crash backend servers too."""
        part_ids = tuple(part.part_id for part in self.facts.prompt)
        return CallIdentity(part_ids, self.request_digest)

    @property
    def takes_up_stream(self) -> bool:
        """Whether the caller asks for the rest of a stream that broke off."""
        may_resume = self.route.resumable or bool(self.facts.resumes)
        is_stream = self.route.kind is CallKind.STREAM
        return is_stream and may_resume and bool(self.facts.resume_after)

    @property
    def received_events(self) -> int:
        """Events that the caller has, as far as their ids count them, or that were relayed."""
        after = self.facts.resume_after
        is_count = after.isdecimal() and len(after) <= MAX_COUNTED_DIGITS
        earlier = int(after) if self.takes_up_stream and is_count else 0
        return earlier + self.timing.events

    def fits_origin(self, tracker: BackendTracker) -> bool:
        """Return whether what a backend server streams fits to what the caller has."""
        if self.origin is None:
            return True
        return self.origin.fits(tracker.entry) and not tracker.has_started_anew

    @property
    def may_try_another_backend(self) -> bool:
        """Whether the route allows an attempt on one more backend server."""
        return len(self.sent_to) < self.route.max_backends
