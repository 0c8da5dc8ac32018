"""The backend servers that an entry is connected to, through their agents."""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence

import trio

from figwalk.coordination.log_follower import LogFollower
from figwalk.coordination.membership import Vm
from figwalk.coordination.router import Choice, RouteRequest, RoutingPolicy
from figwalk.entry.agent_link import AgentLink, LinkOwner
from figwalk.entry.attempt_target import Target
from figwalk.entry.call_pool import CallPool
from figwalk.events import EventLog
from figwalk.protocol.messages import (
    BackendState,
    Confirm,
    Confirmed,
    ConnectionKind,
    Desired,
    Hello,
    Leaving,
    LoadReport,
)
from figwalk.state.configuration import Configuration
from figwalk.state.control import Control
from figwalk.state.fleet import Fleet, LoadedModel
from figwalk.state.notifier import Notifier
from figwalk.state.published import Limits, ServiceConfig
from figwalk.state.settings import Address, EntrySettings
from figwalk.timer import Timer

CALL_ID_BITS = 64


class Backends(LinkOwner):
    """Keeps the links to all agents and routes requests over them.

    Args:
        settings: Settings of the entry.
        configuration: Published configuration.
        control: Lease and orders replayed from the log.
        control_follower: Follows the control stream of the log; used for confirmations.
        fleet: Backend servers and their last load reports.
        changed: Notified when configuration or orders change.
        events: Event log.
        timer: Source of time.
        incarnation: Incarnation of this entry.
    """

    def __init__(
        self,
        settings: EntrySettings,
        *,
        configuration: Configuration,
        control: Control,
        control_follower: LogFollower,
        fleet: Fleet,
        changed: Notifier,
        events: EventLog,
        timer: Timer,
        incarnation: int,
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._control = control
        self._control_follower = control_follower
        self._fleet = fleet
        self._changed = changed
        self._events = events
        self._timer = timer
        self._incarnation = incarnation
        self._links: dict[str, AgentLink] = {}
        self._pools: dict[AgentLink, CallPool] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._links_by_backend: dict[str, AgentLink] = {}
        self._leaving_vms: set[str] = set()
        self._nursery: trio.Nursery | None = None
        self._policy: RoutingPolicy | None = None
        # A random start, since two entries, or one entry before and after a restart, must not use
        # the same call id.
        self._call_ids = itertools.count(random.getrandbits(CALL_ID_BITS - 1))

    @property
    def zone(self) -> str:
        """Availability zone of this entry."""
        return self._settings.zone

    @property
    def region(self) -> str:
        """Region of this entry."""
        return self._settings.region

    @property
    def links(self) -> list[AgentLink]:
        """Links to the agents of all listed backend server VMs."""
        return list(self._links.values())

    def services(self) -> dict[str, ServiceConfig]:
        """Return the configured services by name."""
        return self._configuration.services()

    def limits(self) -> Limits:
        """Return the configured limits."""
        return self._configuration.limits()

    def set_policy(self, policy: RoutingPolicy) -> None:
        """Set the policy that routes all later requests."""
        self._policy = policy

    def next_call_id(self) -> int:
        """Return a new call id, for one attempt."""
        return next(self._call_ids) % (1 << CALL_ID_BITS)

    def find_link(self, backend: str) -> AgentLink | None:
        """Return the link to the agent of a backend server, or None if it is unknown."""
        return self._links_by_backend.get(backend)

    def choose(
        self, route: RouteRequest, excluded: frozenset[str], loaded: LoadedModel | None = None
    ) -> Choice | None:
        """Choose a backend server for a request; return None if none accepts work.

        Args:
            route: The request.
            excluded: Backend servers that this request has already tried.
            loaded: What the backend server must have loaded, or None for anything.
        """
        if self._policy is None:
            return None
        candidates = [
            view
            for view in self._fleet.candidates(route.service, excluded=excluded, loaded=loaded)
            if view.name in self._links_by_backend and self._links_by_backend[view.name].connected
        ]
        return self._policy.choose(route, candidates, self._timer.now())

    def record_unserved(self, route: RouteRequest) -> None:
        """Count a request that no backend server accepted, so that it adds to the demand."""
        self._fleet.add_refused_call(route.service, route.prompt_tokens, route.max_tokens)

    def target(self, choice: Choice, pieces: Sequence[int] = ()) -> Target:
        """Return the target of an attempt on a chosen backend server.

        Args:
            choice: The routing policy's choice.
            pieces: Prefix pieces of the prompt.
        """
        link = self._links_by_backend[choice.backend]
        view = self._fleet.find(choice.backend)
        loaded = view.loaded if view is not None else LoadedModel()
        return Target(choice, self._pools[link], link.peer.incarnation, self._fleet, pieces, loaded)

    async def run(self) -> None:
        """Run all links until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for vm in self._links:
                self._start_link(vm)
            await trio.sleep_forever()

    def add_vm(self, vm: Vm) -> None:
        """Register a VM and start to connect to its agent."""
        if vm.id in self._links:
            self.remove_vm(vm)
        link = AgentLink(
            vm.id,
            Address(vm.address, vm.port),
            owner=self,
            configuration=self._configuration,
            changed=self._changed,
            events=self._events,
            report_timeout_s=self._settings.report_timeout_s,
        )
        self._links[vm.id] = link
        # Registered before the first connection, so that an agent that was never reached counts as
        # unavailable. Otherwise a second engine of its service could be ordered to change role at
        # the same time.
        self._fleet.register(vm.id, vm.service, zone=vm.zone, region=vm.region)
        self._pools[link] = CallPool(link, self, self._events)
        self._start_link(vm.id)

    def mark_leaving(self, vm: Vm) -> None:
        """Route no new requests to a VM that the VM list marks as leaving."""
        self._leaving_vms.add(vm.id)
        self._mark_if_listed_leaving(vm.id)

    def remove_vm(self, vm: Vm) -> None:
        """Disconnect from the agent on a VM that the VM list no longer has."""
        self._leaving_vms.discard(vm.id)
        link = self._links.pop(vm.id, None)
        if link is None:
            return
        del self._pools[link]
        self._fleet.remove(vm.id)
        scope = self._scopes.pop(vm.id, None)
        if scope is not None:
            scope.cancel()
        for backend in [name for name, known in self._links_by_backend.items() if known is link]:
            del self._links_by_backend[backend]
            self._fleet.remove(backend)

    def hello(self, kind: ConnectionKind) -> Hello:
        """Return the `Hello` that this process sends first on a connection."""
        return Hello(
            kind,
            self._settings.process,
            self._incarnation,
            self._settings.zone,
            self._settings.region,
            clock=self._events.clock.tick(),
        )

    def on_connected(self, link: AgentLink) -> None:
        """Register the backend server that the agent reported in its `Hello`."""
        peer = link.peer
        self._links_by_backend[peer.backend] = link
        if peer.backend != link.vm:
            self._fleet.remove(link.vm)
        self._fleet.register(
            peer.backend,
            peer.service,
            zone=peer.zone,
            region=peer.region,
            address=link.address,
            incarnation=peer.incarnation,
        )
        self._mark_if_listed_leaving(link.vm)

    def on_lost(self, link: AgentLink) -> None:
        """Close the idle call connections to the lost agent."""
        pool = self._pools.get(link)
        if pool is not None:
            pool.discard_idle()

    def on_report(self, link: AgentLink, report: LoadReport) -> None:
        """Apply a load report."""
        self._fleet.update_report(report, incarnation=link.peer.incarnation)
        if report.state is BackendState.SERVING and link.vm not in self._leaving_vms:
            # Load reports and `Leaving` arrive in order on one connection, so this report is newer
            # than any `Leaving` before it.
            self._fleet.clear_leaving(report.backend)

    def on_leaving(self, link: AgentLink, leaving: Leaving) -> None:
        """Route no new requests to a leaving backend server."""
        self._fleet.mark_leaving(leaving.backend)

    def desired(self, backend: str) -> Desired:
        """Return the newest valid order for a backend server."""
        return self._control.desired(backend)

    async def confirm_desired(self, confirm: Confirm) -> Confirmed:
        """Read the log to its head and return the desired state of a backend server.

        Raises:
            LogError: The log can't be read now.
        """
        await self._control_follower.read_to_head()
        return Confirmed(confirm.nonce, self._control.desired(confirm.backend))

    def _mark_if_listed_leaving(self, vm: str) -> None:
        if vm not in self._leaving_vms:
            return
        for backend, link in self._links_by_backend.items():
            if link.vm == vm:
                self._fleet.mark_leaving(backend)

    def _start_link(self, vm: str) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._run_link, vm)

    async def _run_link(self, vm: str) -> None:
        link = self._links.get(vm)
        if link is None:
            return
        scope = self._scopes[vm] = trio.CancelScope()
        with scope:
            await link.run()
