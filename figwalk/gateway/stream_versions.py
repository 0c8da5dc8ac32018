"""Lets streams go on only at the software version of the backend server that began them."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from figwalk.coordination.backend_tracker import BackendTracker
from figwalk.coordination.retry_times import choose_late_retry_s
from figwalk.errors import RefusalError
from figwalk.events import Event, EventLog
from figwalk.gateway.backend_pool import BackendPool
from figwalk.gateway.call import Call
from figwalk.gateway.gateway_metrics import GatewayMetrics
from figwalk.gateway.origin_exchange import OriginExchange
from figwalk.gateway.stream_relay import StreamRelay
from figwalk.state.backend_directory import BackendDirectory
from figwalk.state.routing import RoutingConfig
from figwalk.state.stream_origins import StreamOrigin, digest_attempt
from figwalk.timer import MS_PER_S, Timer
from figwalk.transport import Responder

# A caller may come back to a gateway that knows more: the list of backend servers, the connections
# to agents and messages from other gateways are at most this old in ordinary times.
UNKNOWN_ORIGIN_RETRY_MS = 300


class StreamVersions:
    """Finds the origins of streams that callers take up, and records those of new ones.

    Args:
        exchange: Shares origins with other gateways.
        pool: Tells which origins have become uncertain.
        directory: The registered backend servers.
        routing: Returns the configuration in force.
        metrics: Counts streams that are taken up.
        events: Event log.
        timer: Source of time.
        rng: Chooses when refused callers come back.
    """

    def __init__(
        self,
        exchange: OriginExchange,
        pool: BackendPool,
        directory: BackendDirectory,
        routing: Callable[[], RoutingConfig | None],
        metrics: GatewayMetrics,
        events: EventLog,
        timer: Timer,
        rng: random.Random,
    ) -> None:
        self._exchange = exchange
        self._pool = pool
        self._directory = directory
        self._routing = routing
        self._metrics = metrics
        self._events = events
        self._timer = timer
        self._rng = rng

    async def take_up(self, call: Call) -> None:
        """Bind a call for the rest of a stream to the service and version that began the stream.

        Raises:
            RefusalError: It is not known which version began the stream, or the route does not send
                calls to its service any more. The call was not sent.
        """
        origin = None
        if call.facts.resumes:
            origin = await self._exchange.find(digest_attempt(call.facts.resumes))
        is_certain = origin is not None and not self._pool.is_uncertain(origin)
        self._metrics.record_take_up(known=is_certain)
        self._events.record(
            Event.STREAM_TAKEN_UP,
            request_id=call.call_id,
            route=call.route.name,
            service=call.service,
            after=call.facts.resume_after,
            resumes=call.facts.resumes,
            began_at=origin.backend if origin is not None else None,
            software=origin.software_version if origin is not None else None,
            certain=is_certain,
        )
        if origin is None or not is_certain:
            raise RefusalError(
                "stream_origin_unknown",
                "it is not known which software version began the stream",
                retry_after_ms=UNKNOWN_ORIGIN_RETRY_MS,
            )
        if origin.service != call.service:
            self._redirect(call, origin)
        call.origin = origin

    def make_relay(self, call: Call, responder: Responder) -> StreamRelay:
        """Return a relay that records the origin of a call's stream."""
        return StreamRelay(
            responder,
            call.timing,
            self._timer,
            resumable=call.route.resumable,
            resume_after=call.facts.resume_after,
            on_begin=lambda answer: self._record_begin(call, answer.tracker),
        )

    def _record_begin(self, call: Call, tracker: BackendTracker) -> None:
        """Record the origin of a stream before its first event is passed on to the caller."""
        if call.origin is None:
            call.origin = StreamOrigin.from_entry(tracker.entry, self._timer.wall_ms())
            if tracker.has_started_anew:
                call.origin = attrs.evolve(call.origin, software_version="")
        self._exchange.begin(digest_attempt(call.call_id), call.origin)
        if call.takes_up_stream:
            self._exchange.begin(digest_attempt(call.facts.resumes), call.origin)

    def record_end(self, call: Call) -> None:
        """Record that the caller got the whole answer."""
        self._exchange.end(digest_attempt(call.call_id))
        if call.takes_up_stream:
            self._exchange.end(digest_attempt(call.facts.resumes))

    def find_refusal(self, call: Call) -> RefusalError | None:
        """Return the refusal of a stream whose service has no server of its version, or None."""
        origin = call.origin
        if origin is None or any(map(origin.fits, self._directory.of_service(call.service))):
            return None
        retry_after_ms = UNKNOWN_ORIGIN_RETRY_MS
        if self._directory.has_seen_version(origin.service, origin.software_version):
            # A server of that version may come back, after a crash or as a release is undone.
            retry_s = choose_late_retry_s(self._timer.left_s(call.deadline), self._rng)
            retry_after_ms = int(retry_s * MS_PER_S)
        return RefusalError(
            "stream_version_gone",
            f"no backend server of {origin.service!r} has version {origin.software_version!r}, "
            "which began the stream",
            retry_after_ms=retry_after_ms,
        )

    def _redirect(self, call: Call, origin: StreamOrigin) -> None:
        """Send a call to the service that began its stream, if its route still uses it."""
        routing = self._routing()
        service = routing.services.get(origin.service) if routing is not None else None
        if service is None or not call.route.may_use(origin.service):
            raise RefusalError(
                "stream_service_gone",
                f"the route does not send calls to {origin.service!r}, which began the stream",
                retry_after_ms=UNKNOWN_ORIGIN_RETRY_MS,
            )
        call.service, call.engine = service.name, service.engine
