"""Keeps connections to the registered backend servers, and a tracker of the state of each."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

import attrs

from figwalk.coordination.backend_tracker import BackendTracker
from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.plain_placement import Distance
from figwalk.coordination.request_pacer import RequestPacer
from figwalk.events import EventLog
from figwalk.pacing.service_pacing import ServicePacing
from figwalk.state.backend_directory import CLOCK_TOLERANCE_MS, BackendDirectory, BackendEntry
from figwalk.state.notifier import Notifier
from figwalk.state.routing import RoutingConfig, ServiceSpec
from figwalk.state.stream_origins import StreamOrigin
from figwalk.timer import Timer
from figwalk.transport import ByteBudget, ByteCharge
from figwalk.transport.byte_budget import SMALL_BODY_BYTES
from figwalk.transport.http_client import ConnectionOptions, HttpClient

# Far above the round trip of 24 ms between regions and the few milliseconds of an accept.
CONNECT_TIMEOUT_S = 0.3
# Connections that a gateway opens to one backend server at a time. Opening one costs the backend
# server a millisecond, and in a burst all gateways open some at once.
MAX_OPENING = 2
# Detects a peer that lost power and acknowledges nothing. Well above the time of retransmissions on
# a lossy link.
UNACKNOWLEDGED_TIMEOUT_S = 1.5
# Backend servers close idle connections after some seconds and reset a request sent after that. For
# those that don't state after how many.
IDLE_LIMIT_S = 4.0
# Gateways that may be added while the fleet runs. They also need a share of a backend server's
# connections.
SPARE_GATEWAYS = 3
UNKNOWN_SERVICE_MAX_CONNECTIONS = 16


@attrs.define(eq=False)
class PooledBackend:
    """A backend server with its tracker and its connections.

    Attributes:
        tracker: Load and failures of the backend server as seen by this process.
        client: Client with the connections to it.
        pacer: Spaces the requests to it while it limits them.
        in_flight: Bounds the bytes of the requests in flight there, which it holds in memory.
    """

    tracker: BackendTracker
    client: HttpClient
    pacer: RequestPacer
    in_flight: ByteBudget


class BackendPool:
    """Keeps one client and tracker for each registered backend server.

    Args:
        directory: The registered backend servers.
        events: Event log.
        timer: Source of time.
        rng: Spreads the requests to limited backend servers over time.
        gateways: Largest number of gateways that share each backend server.
        max_backend_bytes: Largest number of bytes of the requests in flight at a backend server.
        distance: Network round trips to the backend servers, or None if they are taken as 0.
    """

    def __init__(
        self,
        directory: BackendDirectory,
        events: EventLog,
        timer: Timer,
        rng: random.Random,
        *,
        gateways: int,
        max_backend_bytes: float = math.inf,
        distance: Distance | None = None,
    ) -> None:
        self._distance = distance
        self._pacing: dict[str, ServicePacing] = {}
        self._rng = rng
        self._directory = directory
        self._events = events
        self._timer = timer
        self._max_gateways = gateways
        self._max_backend_bytes = max_backend_bytes
        self._routing: RoutingConfig | None = None
        self._gaps_s: dict[str, float] = {}
        self._backends: dict[str, PooledBackend] = {}
        self._body_ended = Notifier()

    def set_routing(self, routing: RoutingConfig) -> None:
        """Use the services of a configuration; existing clients keep their connection limits."""
        self._routing = routing
        self._gaps_s = {}
        for route in routing.routes:
            for share in route.services:
                known_s = self._gaps_s.get(share.service, math.inf)
                self._gaps_s[share.service] = min(known_s, route.gap_s)

    def gap_s(self, service: str) -> float:
        """Return the longest pause that callers of all streams of a service accept, in seconds."""
        return self._gaps_s.get(service, math.inf)

    def sync(self) -> None:
        """Update trackers from the directory; drop backend servers that left or restarted."""
        entries = {entry.backend: entry for entry in self._directory.entries()}
        for backend in [name for name in self._backends if name not in entries]:
            self._drop(backend)
        for backend, entry in entries.items():
            pooled = self._backends.get(backend)
            if pooled is None:
                continue
            if pooled.tracker.entry.is_same_instance(entry):
                pooled.tracker.update(entry)
            else:
                self._drop(backend)

    def of_service(self, service: str) -> Iterator[PooledBackend]:
        """Yield a service's backend servers that are not leaving, also those closed for now.

        Those that are not in the pool yet are added to it.
        """
        for entry in self._directory.of_service(service):
            pooled = self._backends.get(entry.backend)
            if pooled is None:
                pooled = self._backends[entry.backend] = self._add(entry)
            yield pooled

    def trackers(self, service: str, body_bytes: int = 0) -> list[BackendTracker]:
        """Return the trackers of a service's backend servers that take a new call now.

        Args:
            service: Name of the service.
            body_bytes: Size of the call's body.
        """
        trackers = []
        for pooled in self.of_service(service):
            if not self.is_open(pooled.tracker.entry) or not self._has_turn(pooled):
                continue
            if body_bytes <= SMALL_BODY_BYTES or pooled.in_flight.fits(body_bytes):
                pooled.tracker.set_connected(pooled.client.has_idle)
                trackers.append(pooled.tracker)
        return trackers

    async def wait_body_ended(self) -> None:
        """Wait until some body is no longer in flight at its backend server."""
        await self._body_ended.wait()

    def release_body(self, charge: ByteCharge) -> None:
        """End the charge of a body that is no longer in flight."""
        charge.close()
        self._body_ended.notify()

    def charge_body(self, tracker: BackendTracker, size: int) -> ByteCharge:
        """Count a body as in flight at a backend server until `release_body`."""
        pooled = self._backends.get(tracker.entry.backend)
        charge = (pooled.in_flight if pooled is not None else ByteBudget()).open_charge()
        charge.add(size)
        return charge

    def is_open(self, entry: BackendEntry) -> bool:
        """Return whether a backend server takes calls of this process, apart from its limit."""
        return self._directory.takes_work(entry)

    def is_uncertain(self, origin: StreamOrigin) -> bool:
        """Return whether a stream may have begun at another version than its origin names.

        A backend server may start again under its id. Until that is registered, what it streams
        counts as the version that it had before.
        """
        pooled = self._backends.get(origin.backend)
        if pooled is not None and pooled.tracker.has_started_anew:
            latest_ms = origin.begun_ms + CLOCK_TOLERANCE_MS
            if origin.born_ms < pooled.tracker.newest_start_ms <= latest_ms:
                return True
        return not origin.software_version or self._directory.has_changed_version(
            origin.backend,
            origin.software_version,
            since_ms=origin.born_ms,
            until_ms=origin.begun_ms,
        )

    def take_turns(self, *trackers: BackendTracker) -> bool:
        """Take a turn at each backend server that limits requests, or at none of them.

        Returns:
            Whether all of them take a request now.
        """
        pooled = [self._backends.get(name) for name in {t.entry.backend for t in trackers}]
        limited = [each for each in pooled if each is not None and self._update_pacer(each)]
        if not all(each.pacer.has_turn() for each in limited):
            return False
        for each in limited:
            each.pacer.take_turn()
        return True

    def promise_return_s(self, service: str) -> float | None:
        """Return after how many seconds a caller that is refused now is to come back.

        That is when a closed backend server of the service opens, or at a turn of a limited one
        that no other caller was told. Returns None if none of them is closed or limited.
        """
        closed, limited = [], []
        for pooled in self.of_service(service):
            wait_s = self._directory.opens_in_s(pooled.tracker.entry)
            if wait_s > 0:
                closed.append(wait_s)
            elif self._update_pacer(pooled):
                limited.append(pooled.pacer)
        if limited:
            pacer = min(limited, key=lambda pacer: pacer.next_promise_s)
            return min([pacer.promise_turn_s(), *closed])
        return min(closed, default=None)

    def _has_turn(self, pooled: PooledBackend) -> bool:
        return not self._update_pacer(pooled) or pooled.pacer.has_turn()

    def _update_pacer(self, pooled: PooledBackend) -> bool:
        """Return whether a backend server limits requests, with its pacer set to the limit."""
        requests_per_s = self._directory.requests_per_s(pooled.tracker.entry)
        if requests_per_s is None:
            return False
        gateways = self.count_reported_gateways() or self._max_gateways
        pooled.pacer.set_limit(requests_per_s, gateways)
        return True

    def count_reported_gateways(self) -> int:
        """Return how many gateways are connected to some agent, or 0 without any report.

        Each agent knows the gateways that are connected to it.
        """
        trackers = (pooled.tracker for pooled in self._backends.values())
        counts = (t.reported_gateways for t in trackers if isinstance(t, EngineTracker))
        return max(counts, default=0)

    def mark_leaving(self, entry: BackendEntry) -> None:
        """Record that a backend server has announced that it leaves."""
        self._directory.mark_leaving(entry)

    def mark_closed(self, entry: BackendEntry, seconds: float) -> None:
        """Record that a backend server takes no calls of this process for some seconds."""
        self._directory.mark_closed(entry, seconds)

    def mark_limit(self, entry: BackendEntry, requests_per_s: float | None, sent_at: float) -> None:
        """Record which limit of requests an answer states; see `BackendDirectory.mark_limit`."""
        self._directory.mark_limit(entry, requests_per_s, sent_at)

    def engines(self) -> list[EngineTracker]:
        """Return the trackers of all engines that don't leave, also those closed for now."""
        if self._routing is None:
            return []
        services = [name for name, spec in self._routing.services.items() if spec.engine]
        trackers = [pooled.tracker for name in services for pooled in self.of_service(name)]
        return [tracker for tracker in trackers if isinstance(tracker, EngineTracker)]

    def count_limited(self) -> int:
        """Return how many backend servers are new or have recovered, and get limited calls."""
        return sum(pacing.limiter.limited for pacing in self._pacing.values())

    def count_slow(self) -> int:
        """Return how many backend servers have shown to be slower than usual."""
        return sum(pooled.tracker.speed_factor > 1.0 for pooled in self._backends.values())

    def client(self, tracker: BackendTracker) -> HttpClient:
        """Return the client of a tracked backend server."""
        pooled = self._backends.get(tracker.entry.backend)
        return pooled.client if pooled is not None else self._make_client(tracker.entry)

    def count_opened(self) -> int:
        """Return how many connections to the present backend servers were opened so far."""
        return sum(pooled.client.opened for pooled in self._backends.values())

    def close(self) -> None:
        """Close all idle connections."""
        for backend in list(self._backends):
            self._drop(backend)

    def _add(self, entry: BackendEntry) -> PooledBackend:
        service = self._find_service(entry.service)
        pacing = self._pacing.get(entry.service)
        if pacing is None:
            pacing = ServicePacing.create(self._events, self._timer, self._rng)
            self._pacing[entry.service] = pacing
        pacing.add(entry.backend)
        network_s = self._distance.round_trip_s(entry.zone) if self._distance else 0.0
        if service is not None and service.engine is not None:
            tracker: BackendTracker = EngineTracker(
                entry,
                self._timer,
                self._events,
                spec=service.engine,
                pacing=pacing,
                network_s=network_s,
            )
        else:
            tracker = BackendTracker(
                entry, self._timer, self._events, pacing=pacing, network_s=network_s
            )
        return PooledBackend(
            tracker,
            self._make_client(entry),
            RequestPacer(self._timer, self._rng),
            ByteBudget(self._max_backend_bytes),
        )

    def _make_client(self, entry: BackendEntry) -> HttpClient:
        service = self._find_service(entry.service)
        share = UNKNOWN_SERVICE_MAX_CONNECTIONS
        if service is not None:
            share = max(1, service.max_connections // (self._max_gateways + SPARE_GATEWAYS))
        options = ConnectionOptions(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_idle=share,
            max_opening=MAX_OPENING,
            idle_limit_s=IDLE_LIMIT_S,
            unacknowledged_timeout_s=UNACKNOWLEDGED_TIMEOUT_S,
        )
        return HttpClient(entry.address.host, entry.address.port, options=options)

    def _find_service(self, name: str) -> ServiceSpec | None:
        return self._routing.services.get(name) if self._routing is not None else None

    def _drop(self, backend: str) -> None:
        pooled = self._backends.pop(backend)
        pooled.client.close()
        self._pacing[pooled.tracker.entry.service].forget(backend)
