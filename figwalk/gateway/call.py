"""One call of a caller on its way through a gateway."""

from __future__ import annotations

import attrs

from figwalk.gateway.codecs import CallFacts
from figwalk.gateway.stream_timing import StreamTiming
from figwalk.state.routing import EngineSpec, Route
from figwalk.transport import HttpRequest


@attrs.define(eq=False)
class Call:
    """A call and what has become of it.

    Attributes:
        request: The caller's request.
        facts: What it says beside its content.
        route: Route that it matched.
        service: Service chosen for it.
        engine: What the engines of that service have in common, or None for a plain service.
        config_version: Version of the configuration that decided this.
        arrived_at: Timer time at which it arrived.
        deadline: Timer time at which the caller must have its final answer.
        sent_to: Ids of the backend servers that it was sent to, without prefills.
        failed_readers: Ids of the engines that failed to prefill it.
        unresolved: Whether it was sent and neither answered nor refused as not run.
        predicted_s: Predicted seconds until its first token, from when it was placed, if it was.
        placed_at: Timer time at which that was predicted.
        read_s: Seconds that its prefill took, or None without one.
        timing: Times of the events of its stream.
    """

    request: HttpRequest
    facts: CallFacts
    route: Route
    service: str
    engine: EngineSpec | None
    config_version: int
    arrived_at: float
    deadline: float
    sent_to: list[str] = attrs.field(factory=list)
    failed_readers: list[str] = attrs.field(factory=list)
    unresolved: bool = False
    predicted_s: float | None = None
    placed_at: float = 0.0
    read_s: float | None = None
    timing: StreamTiming = attrs.field(factory=StreamTiming)

    @property
    def call_id(self) -> str:
        """The caller's id of this attempt."""
        return self.facts.call_id

    @property
    def may_go_elsewhere(self) -> bool:
        """Whether the route allows one more backend server."""
        return len(self.sent_to) < self.route.max_backends
