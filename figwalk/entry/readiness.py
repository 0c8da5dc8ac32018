"""Decides when the platform's load balancer may send requests to an entry."""

from __future__ import annotations

from figwalk.coordination.membership import Membership, VmKind
from figwalk.state.configuration import Configuration
from figwalk.state.fleet import Fleet
from figwalk.timer import Timer

# Bounds the wait for first reports: a service without any available backend server must not keep
# the entry from serving the other services.
FIRST_REPORTS_TIMEOUT_S = 5.0


class Readiness:
    """Tracks whether an entry can serve requests.

    A new entry is ready once it has the configuration, the VM list, and for each listed service a
    load report of a backend server that accepts work. If it were ready earlier, it would refuse
    every request of its first second. It then stays ready until it stops: an outage of backend
    servers would otherwise make the load balancer remove all entries at once.

    Args:
        configuration: Published configuration.
        membership: The VM list.
        fleet: Backend servers and their reports.
        timer: Source of time.
    """

    def __init__(
        self, configuration: Configuration, membership: Membership, fleet: Fleet, timer: Timer
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._fleet = fleet
        self._timer = timer
        self._first_listed_at: float | None = None
        self._reports_received = False
        self._stopping = False

    def stop(self) -> None:
        """Report not ready from now on, since the process stops."""
        self._stopping = True

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new requests."""
        if self._stopping or self._configuration.revision == 0:
            return False
        self._reports_received = self._reports_received or self._has_reports_of_services()
        return self._reports_received

    def _has_reports_of_services(self) -> bool:
        services = {vm.service for vm in self._membership.vms if vm.kind is VmKind.BACKEND}
        if not services:
            return False
        if self._first_listed_at is None:
            self._first_listed_at = self._timer.now()
        if self._timer.now() - self._first_listed_at >= FIRST_REPORTS_TIMEOUT_S:
            return True
        return all(self._fleet.candidates(service) for service in services)
