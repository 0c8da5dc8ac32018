"""Decides when the balancer may send new connections to a gateway."""

from __future__ import annotations

from collections.abc import Callable

from figwalk.state.backend_directory import BackendDirectory
from figwalk.state.routing import RoutingConfig


class GatewayReadiness:
    """Decides whether a gateway is ready.

    A gateway is ready once it has a configuration and the list of backend servers. It stays ready
    while the store is unavailable: callers are served better from its last known state than by a
    more distant gateway, and otherwise all gateways would leave the balancer's rotation at once.

    Args:
        routing: Returns the configuration in force, or None before the first one.
        directory: The registered backend servers.
    """

    def __init__(
        self, routing: Callable[[], RoutingConfig | None], directory: BackendDirectory
    ) -> None:
        self._routing = routing
        self._directory = directory
        self._stopping = False

    def stop(self) -> None:
        """Report the gateway as not ready from now on, since it stops."""
        self._stopping = True

    def is_ready(self) -> bool:
        """Return whether the balancer may send new connections."""
        return not self._stopping and self._routing() is not None and self._directory.loaded
