"""Builds the entry process from its parts, and starts and stops them."""

from __future__ import annotations

import random
from functools import partial

import trio

from figwalk.coordination.claim_writer import ClaimWriter
from figwalk.coordination.graceful_stop import GracefulStop
from figwalk.coordination.http_log_client import HttpLogClient
from figwalk.coordination.lease import Lease
from figwalk.coordination.log_client import StoredRecord
from figwalk.coordination.log_follower import LogFollower
from figwalk.coordination.membership import Membership, VmChange, VmChangeKind, VmKind
from figwalk.coordination.publisher import Publisher, Snapshotter
from figwalk.coordination.retry_budget import RetryBudget
from figwalk.coordination.role_controller import RoleController, ServiceView, build_service_view
from figwalk.coordination.router import make_policy
from figwalk.entry.admin_api import AdminApi
from figwalk.entry.backends import Backends
from figwalk.entry.caller_api import CallerApi
from figwalk.entry.entry_peers import EntryPeers
from figwalk.entry.keyed_calls import KeyedCalls
from figwalk.entry.model_calls import ModelCalls
from figwalk.entry.readiness import Readiness
from figwalk.entry.service_calls import ServiceCalls
from figwalk.entry.status import OrderedRoles, StatusReporter
from figwalk.entry.tallies import Tallies
from figwalk.entry.timeline import Timeline
from figwalk.events import Event, EventLog
from figwalk.metrics import Metrics
from figwalk.protocol.records import CLAIMS_STREAM, CONFIG_STREAM, CONTROL_STREAM
from figwalk.state.claims import Claims
from figwalk.state.configuration import Configuration
from figwalk.state.control import Control
from figwalk.state.fleet import Fleet
from figwalk.state.notifier import Notifier
from figwalk.state.settings import EntrySettings
from figwalk.timer import Timer
from figwalk.transport import ByteBudget, HttpClient, HttpServer
from figwalk.transport.listening import open_listeners

INCARNATION_BITS = 64
PEER_CONFIG_PERIOD_S = 1.0
SNAPSHOT_CHECK_PERIOD_S = 1.0
PEER_BACKLOG = 256
# The entry accepts connections for this long after it begins to stop: the platform's load balancer
# detects the stop only at its next readiness check.
BALANCER_NOTICE_S = 1.0
MODEL_KIND = "model"


class EntryProcess:
    """The entry process with all its parts.

    Args:
        settings: Settings of the process.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._timer = Timer()
        self._events = EventLog(settings.process, self._timer)
        self._metrics = Metrics(
            settings.platform.statsd, prefix=f"figwalk.entry.{settings.process}", timer=self._timer
        )
        self._stop = GracefulStop(self._timer)
        self._changed = Notifier()
        self._build_log_readers()
        self._build_routing()
        self._build_interfaces()
        self._timer.subscribe("peer configuration", PEER_CONFIG_PERIOD_S, self._adopt_from_peers)
        self._timer.subscribe("snapshot", SNAPSHOT_CHECK_PERIOD_S, self._snapshot_if_holder)

    def _build_log_readers(self) -> None:
        platform = self._settings.platform
        client = HttpLogClient(platform.log, timeout_s=platform.log_timeout_s)
        self._log_client = client
        self._configuration = Configuration()
        self._control = Control()
        self._claims = Claims()
        self._role_changes = OrderedRoles(self._control)
        self._config_follower = LogFollower(
            client,
            CONFIG_STREAM,
            self._apply_config,
            self._events,
            self._timer,
            on_truncated=self._configuration.skip_to,
        )
        self._control_follower = LogFollower(
            client,
            CONTROL_STREAM,
            self._apply_control,
            self._events,
            self._timer,
            on_truncated=self._control.skip_to,
        )
        self._claims_follower = LogFollower(
            client,
            CLAIMS_STREAM,
            self._claims.apply,
            self._events,
            self._timer,
            on_truncated=self._claims.skip_to,
        )

    def _build_routing(self) -> None:
        settings = self._settings
        self._fleet = Fleet(self._timer, report_timeout_s=settings.report_timeout_s)
        self._tallies = Tallies(self._metrics, self._timer)
        self._budget = RetryBudget(self._timer)
        self._backends = Backends(
            settings,
            configuration=self._configuration,
            control=self._control,
            control_follower=self._control_follower,
            fleet=self._fleet,
            changed=self._changed,
            events=self._events,
            timer=self._timer,
            incarnation=random.getrandbits(INCARNATION_BITS),
        )
        self._peers = EntryPeers(
            settings.process, self._configuration, self._backends, self._events
        )
        self._membership = Membership(
            HttpClient(settings.platform.vms.host, settings.platform.vms.port),
            self._timer,
            self._events,
            poll_s=settings.platform.vms_poll_s,
        )
        self._membership.subscribe(self._handle_vm_change)
        self._membership.start()
        self._readiness = Readiness(self._configuration, self._membership, self._fleet, self._timer)
        self._lease = Lease(
            self._log_client,
            self._control,
            self._control_follower,
            self._events,
            self._timer,
            holder=settings.process,
            ttl_s=settings.lease_ttl_s,
        )
        self._role_controller = RoleController(
            self._timer,
            self._events,
            self._lease,
            self._lease,
            services=self._list_model_services,
            view=self._view_service,
            preset=self._configuration.preset_in_force,
        )
        self._role_controller.start()
        self._set_policies()

    def _build_interfaces(self) -> None:
        settings = self._settings
        self._claim_writer = ClaimWriter(
            self._log_client,
            self._claims,
            self._claims_follower,
            self._events,
            self._timer,
            key_memory_s=lambda: self._configuration.limits().key_memory_s,
        )
        self._publisher = Publisher(
            self._log_client, self._configuration, self._config_follower, self._events, self._timer
        )
        self._snapshotter = Snapshotter(
            self._publisher, self._configuration, self._events, self._timer
        )
        keyed = KeyedCalls(
            self._backends,
            self._claims,
            self._claims_follower,
            self._claim_writer,
            self._events,
            self._timer,
        )
        common = (self._tallies, self._events, self._timer, self._stop)
        self._caller_api = CallerApi(
            ModelCalls(self._backends, self._budget, *common),
            ServiceCalls(self._backends, self._budget, keyed, *common),
            self._configuration,
            self._readiness.is_ready,
        )
        self._callers_server = HttpServer(
            self._caller_api.handle,
            self._events,
            limits=settings.limits,
            budget=ByteBudget(settings.max_held_bytes),
        )
        self._admin_api = AdminApi(
            settings.admin_token,
            self._configuration,
            self._publisher,
            StatusReporter(
                settings,
                self._configuration,
                self._control,
                self._config_follower,
                self._fleet,
                self._tallies,
                self._role_changes,
                self._timer,
            ),
            Timeline(self._events, self._backends, self._peers),
            self._events,
        )
        self._admin_server = HttpServer(self._admin_api.handle, self._events)

    async def run(self) -> None:
        """Serve until `stop` has ended the process."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for task in (
                self._timer.run,
                self._config_follower.run,
                self._control_follower.run,
                self._claims_follower.run,
                self._claim_writer.run,
                self._backends.run,
                self._lease.run,
            ):
                nursery.start_soon(task)
            await self._listen(nursery)
            self._events.record(Event.PROCESS_STARTED, process_kind="entry")
            self._events.record(Event.HELD_BYTES_BOUND, limit=self._settings.max_held_bytes)

    async def stop(self) -> None:
        """Stop accepting requests, finish the running ones within the grace time, then end."""
        self._readiness.stop()
        self._events.record(Event.PROCESS_STOPPING, running=self._callers_server.active_requests)
        grace_s = self._settings.grace_s
        with trio.move_on_after(grace_s) as scope:
            async with self._stop.stopping(grace_s), trio.open_nursery() as nursery:
                for server in (self._callers_server, self._admin_server):
                    nursery.start_soon(partial(server.drain, accept_for_s=BALANCER_NOTICE_S))
            await self._claim_writer.flush()
        if scope.cancelled_caught:
            self._events.record(
                Event.PROCESS_STOP_CUT,
                running=self._callers_server.active_requests,
                unrecorded=self._claim_writer.queued,
            )
        else:
            self._events.record(Event.PROCESS_STOPPED)
        self._nursery.cancel_scope.cancel()

    def _handle_vm_change(self, change: VmChange) -> None:
        if change.vm.kind is VmKind.BACKEND:
            self._handle_backend_change(change)
        elif change.kind is VmChangeKind.JOINED:
            self._peers.add_vm(change.vm)
        elif change.kind is VmChangeKind.GONE:
            self._peers.remove_vm(change.vm)
        self._fleet.set_entry_count(self._peers.count + 1)

    def _handle_backend_change(self, change: VmChange) -> None:
        if change.kind is VmChangeKind.JOINED:
            self._backends.add_vm(change.vm)
        elif change.kind is VmChangeKind.LEAVING:
            self._backends.mark_leaving(change.vm)
        else:
            self._backends.remove_vm(change.vm)

    def _list_model_services(self) -> list[str]:
        services = self._configuration.services()
        return [name for name, service in services.items() if service.kind == MODEL_KIND]

    def _view_service(self, service: str) -> ServiceView:
        return build_service_view(self._fleet, service, self._newest_order, self._timer.now())

    def _newest_order(self, backend: str) -> int:
        return self._control.desired(backend).order_offset

    async def _listen(self, nursery: trio.Nursery) -> None:
        settings = self._settings
        peers = await open_listeners(settings.peers.host, settings.peers.port, backlog=PEER_BACKLOG)
        nursery.start_soon(trio.serve_listeners, self._peers.serve, peers)
        _announce("peers", settings.peers.host, peers[0].socket.getsockname()[1])
        if settings.admin_token:
            port = await nursery.start(
                self._admin_server.serve, settings.admin.host, settings.admin.port
            )
            _announce("admin", settings.admin.host, port)
        port = await nursery.start(
            self._callers_server.serve, settings.callers.host, settings.callers.port
        )
        _announce("callers", settings.callers.host, port)

    def _apply_config(self, record: StoredRecord) -> None:
        before = self._configuration.revision
        self._configuration.apply(record)
        if self._configuration.revision != before:
            self._adopt_revision("the log")

    def _apply_control(self, record: StoredRecord) -> None:
        self._control.apply(record)
        self._role_changes.note(record)
        self._changed.notify()

    def _adopt_revision(self, source: str) -> None:
        self._events.record(
            Event.CONFIG_ADOPTED, revision=self._configuration.revision, source=source
        )
        self._fleet.set_withdrawn(self._configuration.withdrawn())
        self._set_policies()
        self._changed.notify()

    def _set_policies(self) -> None:
        preset = self._configuration.preset_in_force()
        self._backends.set_policy(
            make_policy(preset.routing_policy, prefixes=self._fleet.prefixes, preset=preset)
        )
        self._budget.set_ratio(preset.retry_ratio)

    async def _adopt_from_peers(self) -> None:
        """Adopt the configuration of another entry while the log can't provide it completely."""
        if self._config_follower.available and self._configuration.complete:
            return
        if await self._peers.adopt_configuration():
            self._adopt_revision("another entry")

    async def _snapshot_if_holder(self) -> None:
        """Append a snapshot if one is due and this entry holds the controller lease."""
        if self._lease.term is not None:
            await self._snapshotter.append_if_due()


def _announce(name: str, host: str, port: int) -> None:
    print(f"listening {name} {host}:{port}", flush=True)
