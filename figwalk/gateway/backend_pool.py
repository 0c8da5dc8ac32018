"""Keeps connections to the registered backend servers, and a tracker of the state of each."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from figwalk.coordination.backend_tracker import BackendTracker
from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.events import EventLog
from figwalk.state.backend_directory import BackendDirectory, BackendEntry
from figwalk.state.routing import RoutingConfig, ServiceSpec
from figwalk.timer import Timer
from figwalk.transport.http_client import ConnectionOptions, HttpClient

# Far above the round trip of 24 ms between regions and the few milliseconds of an accept.
CONNECT_TIMEOUT_S = 0.3
# Detects a peer that lost power and acknowledges nothing. Well above the time of retransmissions on
# a lossy link.
UNACKNOWLEDGED_TIMEOUT_S = 1.5
# Backend servers close idle connections after some seconds and reset a request sent after that.
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
    """

    tracker: BackendTracker
    client: HttpClient


class BackendPool:
    """Keeps one client and tracker for each registered backend server.

    Args:
        directory: The registered backend servers.
        events: Event log.
        timer: Source of time.
        gateways: Number of gateways that share the connections of each backend server.
    """

    def __init__(
        self, directory: BackendDirectory, events: EventLog, timer: Timer, *, gateways: int
    ) -> None:
        self._directory = directory
        self._events = events
        self._timer = timer
        self._gateways = gateways + SPARE_GATEWAYS
        self._routing: RoutingConfig | None = None
        self._backends: dict[str, PooledBackend] = {}

    def set_routing(self, routing: RoutingConfig) -> None:
        """Use the services of a configuration; existing clients keep their connection limits."""
        self._routing = routing

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

    def trackers(self, service: str) -> list[BackendTracker]:
        """Return the trackers of a service's backend servers that take new calls now."""
        trackers = [pooled.tracker for pooled in self.of_service(service)]
        return [tracker for tracker in trackers if self.is_open(tracker.entry)]

    def is_open(self, entry: BackendEntry) -> bool:
        """Return whether a backend server takes calls of this process now."""
        return self._directory.takes_work(entry)

    def opens_in_s(self, service: str) -> float | None:
        """Return the seconds until the first closed backend server of a service opens.

        Returns None if none of them is closed.
        """
        waits = [self._directory.opens_in_s(entry) for entry in self._directory.of_service(service)]
        return min((wait_s for wait_s in waits if wait_s > 0), default=None)

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

    def client(self, tracker: BackendTracker) -> HttpClient:
        """Return the client of a tracked backend server."""
        pooled = self._backends.get(tracker.entry.backend)
        return pooled.client if pooled is not None else self._make_client(tracker.entry)

    def close(self) -> None:
        """Close all idle connections."""
        for backend in list(self._backends):
            self._drop(backend)

    def _add(self, entry: BackendEntry) -> PooledBackend:
        service = self._find_service(entry.service)
        if service is not None and service.engine is not None:
            tracker: BackendTracker = EngineTracker(
                entry, self._timer, self._events, spec=service.engine
            )
        else:
            tracker = BackendTracker(entry, self._timer, self._events)
        return PooledBackend(tracker, self._make_client(entry))

    def _make_client(self, entry: BackendEntry) -> HttpClient:
        service = self._find_service(entry.service)
        share = UNKNOWN_SERVICE_MAX_CONNECTIONS
        if service is not None:
            share = max(1, service.max_connections // self._gateways)
        options = ConnectionOptions(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_idle=share,
            idle_limit_s=IDLE_LIMIT_S,
            unacknowledged_timeout_s=UNACKNOWLEDGED_TIMEOUT_S,
        )
        return HttpClient(entry.address.host, entry.address.port, options=options)

    def _find_service(self, name: str) -> ServiceSpec | None:
        return self._routing.services.get(name) if self._routing is not None else None

    def _drop(self, backend: str) -> None:
        self._backends.pop(backend).client.close()
