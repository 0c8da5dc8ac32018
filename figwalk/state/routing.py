"""Routes by host and path, services and limits: what a gateway's operators publish in one piece."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from enum import StrEnum

import attrs


class CallKind(StrEnum):
    """What may be repeated of a call."""

    IDEMPOTENT = "idempotent"
    NON_REPEATABLE = "non_repeatable"
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """A service that takes a share of a route's calls.

    Attributes:
        service: Name of the service.
        weight: Share against the sum of all weights of the route.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Calls of one host under one path prefix.

    Attributes:
        name: Name for logs.
        host: Host, in lower case and without a port.
        path_prefix: Starts and ends with a slash.
        kind: What may be repeated.
        services: Services that take the calls, at least one.
        timeout_s: Seconds after which the caller must have its final answer.
        target_s: Seconds within which an answer, or a stream's first event, is on time.
        max_backends: Backend servers that one call may be sent to.
        priority: Rank of the calls; 0 is the highest.
        is_model_call: Whether calls name a model and the parts of their prompt.
        resumable: Whether a broken stream may go on at another backend server.
        first_event_patience_s: Seconds after which callers give up a stream without any event.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_s: float
    max_backends: int
    priority: int = 0
    is_model_call: bool = False
    resumable: bool = False
    first_event_patience_s: float = math.inf

    @property
    def repeatable(self) -> bool:
        """Whether a call that may have run may be sent again."""
        return self.kind is CallKind.IDEMPOTENT or (self.kind is CallKind.STREAM and self.resumable)

    def pick_service(self, rng: random.Random) -> str:
        """Return the service for one call, by the weights."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [share.weight for share in self.services]
        if sum(weights) <= 0:
            return self.services[0].service
        return rng.choices(self.services, weights)[0].service


@attrs.frozen
class EngineSpec:
    """What all model engines of a service have in common.

    Attributes:
        slots: Calls that an engine runs at once.
        kv_tokens: Tokens that its KV cache holds.
        kv_bytes_per_token: Size of one token's KV cache.
        link_mbps: Bandwidth for moving KV cache, in Mbit/s.
        handle_ttl_s: Seconds that an engine keeps the KV cache of a prefilled prompt for a fetch.
    """

    slots: int
    kv_tokens: int
    kv_bytes_per_token: float
    link_mbps: float
    handle_ttl_s: float


@attrs.frozen
class ServiceSpec:
    """A service.

    Attributes:
        name: Name, as routes and backend servers give it.
        max_connections: Connections that a backend server accepts from all gateways together.
        engine: What its model engines have in common, or None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None


@attrs.frozen
class CallerLimits:
    """What callers may send.

    Attributes:
        max_header_bytes: Request line and headers together.
        max_body_bytes: Request body.
        receive_timeout_s: Seconds that sending a request may take.
        idle_timeout_s: Seconds that a connection may wait for its next request.
    """

    max_header_bytes: int
    max_body_bytes: int
    receive_timeout_s: float
    idle_timeout_s: float


def _index_routes(routes: tuple[Route, ...]) -> dict[tuple[str, str], Route]:
    return {(route.host, route.path_prefix): route for route in routes}


@attrs.frozen
class RoutingConfig:
    """One version of routes, services and limits.

    Attributes:
        version: Higher is newer.
        routes: All routes.
        services: Services by name.
        limits: What callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits
    _index: dict[tuple[str, str], Route] = attrs.field(
        init=False,
        repr=False,
        eq=False,
        default=attrs.Factory(lambda self: _index_routes(self.routes), takes_self=True),
    )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None.

        The time depends on the depth of the path and not on the number of routes.

        Args:
            host: Value of the caller's host header.
            path: Path without its query.
        """
        name = host.rpartition(":")[0] if _has_port(host) else host
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._index.get((name.lower(), path[: end + 1]))
            if route is not None:
                return route
        return None


def _has_port(host: str) -> bool:
    return host.rpartition(":")[2].isdigit() and ":" in host
