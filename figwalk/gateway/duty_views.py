"""What a gateway knows of backend servers, as its duties see it."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from figwalk.duties.role_duty import ServiceEngines
from figwalk.duties.role_need import KnownEngine
from figwalk.duties.scaling_duty import ScaledService
from figwalk.gateway.backend_pool import BackendPool
from figwalk.state.routing import RoutingConfig, ServiceSpec


class DutyViews:
    """Views of the services and their backend servers.

    Args:
        routing: Returns the configuration in force, or None before the first one.
        pool: The backend servers.
        zones: Availability zones of the deployment.
    """

    def __init__(
        self,
        routing: Callable[[], RoutingConfig | None],
        pool: BackendPool,
        zones: Sequence[str],
    ) -> None:
        self._routing = routing
        self._pool = pool
        self._zones = tuple(zones)

    def engines(self) -> list[ServiceEngines]:
        """Return the engines of each service."""
        services = []
        for spec in self._specs():
            if spec.engine is None:
                continue
            trackers = [pooled.tracker for pooled in self._pool.of_service(spec.name)]
            known = [
                KnownEngine(t.entry.backend, t.entry.role, t.is_avoided(), t.estimate_load())
                for t in trackers
            ]
            entries = {tracker.entry.backend: tracker.entry for tracker in trackers}
            services.append(ServiceEngines(spec.name, entries, known, spec.engine.switch_s))
        return services

    def scaled_services(self) -> list[ScaledService]:
        """Return the services with autoscaling in each zone, if any backend server is known."""
        scaled = []
        for spec in self._specs():
            entries = [pooled.tracker.entry for pooled in self._pool.of_service(spec.name)]
            if spec.autoscaling is None or not entries:
                continue
            slots = max(entry.slots for entry in entries)
            for zone in self._zones:
                present = sum(entry.zone == zone for entry in entries)
                scaled.append(ScaledService(spec.name, zone, spec.autoscaling, slots, present))
        return scaled

    def in_flight(self) -> dict[str, int]:
        """Return the calls that this gateway has at each service with autoscaling."""
        return {
            spec.name: sum(p.tracker.in_flight for p in self._pool.of_service(spec.name))
            for spec in self._specs()
            if spec.autoscaling is not None
        }

    def _specs(self) -> Iterator[ServiceSpec]:
        routing = self._routing()
        return iter(routing.services.values() if routing is not None else ())
