"""Routing configuration of a gateway: routes by host and path, services and caller limits."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Set
from enum import StrEnum

import attrs


class CallKind(StrEnum):
    """Kind of a call, which decides whether it may be sent again."""

    IDEMPOTENT = "idempotent"
    NON_REPEATABLE = "non_repeatable"
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """A service that gets a share of a route's calls.

    Attributes:
        service: Name of the service.
        weight: Share of the calls, relative to the sum of the route's weights.
    """

    service: str
    weight: float


@attrs.frozen
class Organisation:
    """An organisation whose callers share the deployment with those of others.

    Attributes:
        name: Name by which backend servers and usage reports know it.
        priority: Priority of its calls, which goes before that of their route; 0 is the highest.
            None if the route's applies.
        key_digests: Digests of the keys that its callers may send; see
            `figwalk.state.organisation_keys`.
    """

    name: str
    priority: int | None = None
    key_digests: frozenset[bytes] = attrs.field(factory=frozenset, repr=False)


@attrs.frozen
class Autoscaling:
    """Bounds of the number of backend servers of a service in each availability zone.

    Attributes:
        min_servers: Smallest number in an availability zone.
        max_servers: Largest number in an availability zone.
        boot_s: Seconds from an order until a new backend server takes calls.
    """

    min_servers: int
    max_servers: int
    boot_s: float


@attrs.frozen
class Route:
    """Rule for the calls to one host under one path prefix.

    Attributes:
        name: Name for logs.
        host: Host, in lower case and without a port.
        path_prefix: Path prefix; starts and ends with a slash.
        kind: Kind of the calls, which decides whether they may be sent again.
        services: Services that get the calls, at least one.
        timeout_s: Seconds within which the caller must get its final answer.
        target_s: Target for the latency of an answer, or of a stream's first event, in seconds.
        max_backends: Largest number of backend servers that one call may be sent to.
        priority: Priority of the calls; 0 is the highest.
        is_model_call: Whether calls name a model and the parts of their prompt.
        resumable: Whether a broken stream may be resumed at another backend server.
        first_event_timeout_s: Seconds after which callers abandon a stream without any event.
        is_public: Whether calls need no key of an organisation.
        gap_s: Longest pause between two events of a stream that is still on time, in seconds.
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
    first_event_timeout_s: float = math.inf
    is_public: bool = False
    gap_s: float = math.inf

    @property
    def repeatable(self) -> bool:
        """Whether a call may be sent again if it has possibly run."""
        return self.kind is CallKind.IDEMPOTENT or (self.kind is CallKind.STREAM and self.resumable)

    def may_use(self, service: str) -> bool:
        """Return whether the route sends calls to a service."""
        weights = {share.service: share.weight for share in self.services}
        if sum(weights.values()) <= 0:
            return service == self.services[0].service
        return weights.get(service, 0.0) > 0

    def pick_service(self, rng: random.Random) -> str:
        """Return the service for one call, drawn at random by the weights.

        If no weight is above zero, the first service is used.
        """
        if len(self.services) == 1:
            return self.services[0].service
        weights = [share.weight for share in self.services]
        if sum(weights) <= 0:
            return self.services[0].service
        return rng.choices(self.services, weights)[0].service


@attrs.frozen
class EngineSpec:
    """Properties shared by all model engines of a service.

    Attributes:
        slots: Number of calls that an engine runs at once.
        kv_tokens: Capacity of its KV cache, in tokens.
        kv_bytes_per_token: Size of one token's KV cache.
        link_mbps: Bandwidth for KV transfers, in Mbit/s.
        handle_ttl_s: Seconds for which an engine keeps the KV cache of a prefilled prompt
            available for a fetch.
        switch_s: Seconds for which an engine takes no calls when its role is changed.
    """

    slots: int
    kv_tokens: int
    kv_bytes_per_token: float
    link_mbps: float
    handle_ttl_s: float
    switch_s: float = 3.0


@attrs.frozen
class ServiceSpec:
    """A service.

    Attributes:
        name: Name by which routes and backend servers refer to it.
        max_connections: Connections that a backend server accepts from all gateways together.
        engine: Properties of its model engines, or None for a plain service.
        autoscaling: Bounds of the number of its backend servers, or None if it is fixed.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
    autoscaling: Autoscaling | None = None


@attrs.frozen
class CallerLimits:
    """Limits of the requests and connections of callers.

    Attributes:
        max_header_bytes: Largest size of the request line and headers together.
        max_body_bytes: Largest size of the request body.
        receive_timeout_s: Seconds within which a request must have been received.
        idle_timeout_s: Seconds after which a connection without a request is closed.
    """

    max_header_bytes: int
    max_body_bytes: int
    receive_timeout_s: float
    idle_timeout_s: float


def _index_routes(routes: tuple[Route, ...]) -> dict[tuple[str, str], Route]:
    return {(route.host, route.path_prefix): route for route in routes}


def _index_keys(organisations: tuple[Organisation, ...] | None) -> dict[bytes, Organisation]:
    index: dict[bytes, Organisation] = {}
    for organisation in organisations or ():
        for digest in organisation.key_digests:
            index.setdefault(digest, organisation)
    return index


@attrs.frozen
class RoutingConfig:
    """One version of routes, services and limits.

    Attributes:
        version: Version number; a higher one is newer.
        routes: All routes.
        services: Services by name.
        limits: Limits of the requests and connections of callers.
        organisations: The organisations whose callers are served, or None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] | None = None
    _index: dict[tuple[str, str], Route] = attrs.field(
        init=False,
        repr=False,
        eq=False,
        default=attrs.Factory(lambda self: _index_routes(self.routes), takes_self=True),
    )
    _keys: dict[bytes, Organisation] = attrs.field(
        init=False,
        repr=False,
        eq=False,
        default=attrs.Factory(lambda self: _index_keys(self.organisations), takes_self=True),
    )

    @property
    def key_digests(self) -> Set[bytes]:
        """Digests of the keys of all organisations."""
        return self._keys.keys()

    def find_organisation(self, key_digest: bytes) -> Organisation | None:
        """Return the organisation that holds a key, or None.

        If several hold it, the first one in the configuration is returned. The time of the lookup
        tells nothing about a key, since callers can't know or choose digests.

        Args:
            key_digest: Digest of the key; see `figwalk.state.organisation_keys`.
        """
        return self._keys.get(key_digest)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        The lookup time depends on the depth of the path, not on the number of routes.

        Args:
            host: Value of the caller's host header.
            path: Path without its query.
        """
        hostname = host.rpartition(":")[0] if _has_port(host) else host
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._index.get((hostname.lower(), path[: end + 1]))
            if route is not None:
                return route
        return None


def _has_port(host: str) -> bool:
    return host.rpartition(":")[2].isdigit() and ":" in host
