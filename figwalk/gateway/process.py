"""Builds the components of a gateway process, and starts and stops them."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from figwalk.coordination.call_quarantine import CallQuarantine
from figwalk.coordination.compacted_log import TopicFollower
from figwalk.coordination.gateway_count import GatewayCount
from figwalk.coordination.graceful_stop import GracefulStop
from figwalk.coordination.loop_lag import LoopLag
from figwalk.coordination.plain_placement import Distance, PlainPlacement
from figwalk.coordination.prompt_placement import PlacementSettings, PromptPlacement
from figwalk.coordination.windowed_retry_budget import ServiceRetryBudgets
from figwalk.events import Event, EventLog
from figwalk.fairness.plain_shares import PlainShares
from figwalk.gateway.attempts import Attempts
from figwalk.gateway.backend_pool import BackendPool
from figwalk.gateway.caller_api import CallerApi
from figwalk.gateway.crash_reports import CrashReports
from figwalk.gateway.crash_watcher import CrashWatcher
from figwalk.gateway.duty_views import DutyViews
from figwalk.gateway.gateway_duties import GatewayDuties
from figwalk.gateway.gateway_metrics import GatewayMetrics
from figwalk.gateway.gateway_readiness import GatewayReadiness
from figwalk.gateway.origin_exchange import OriginExchange
from figwalk.gateway.plain_calls import PlainCalls
from figwalk.gateway.prompt_calls import PromptCalls
from figwalk.gateway.prompt_offers import PromptOffers
from figwalk.gateway.stream_versions import StreamVersions
from figwalk.gateway.topic_handlers import BackendReader, RoutingReader
from figwalk.organisations.access_control import AccessControl
from figwalk.organisations.config_confirmation import ConfigConfirmation, ConfirmingLog
from figwalk.organisations.config_copy import ConfigCopy
from figwalk.platform import (
    BACKENDS_TOPIC,
    CONFIG_COPY_TOPIC,
    CONFIG_KEY,
    CONFIG_TOPIC,
    CRASHES_TOPIC,
    PlatformBackendCodec,
    PlatformCallerCodec,
    PlatformStore,
    decode_backend,
    decode_routing,
)
from figwalk.process_runner import Process
from figwalk.relay.store_relay import StoreRelay
from figwalk.state.backend_directory import BackendDirectory
from figwalk.state.gateway_settings import GatewaySettings
from figwalk.state.routing import RoutingConfig
from figwalk.timer import Timer
from figwalk.transport import ByteBudget, HttpLimits, HttpRequest, HttpServer, Responder

UPKEEP_PERIOD_S = 0.2
# The balancer checks readiness once a second and removes a VM after two failed checks.
BALANCER_NOTICE_S = 2.5
# A request that arrives later than this after SIGTERM is refused as not run, since too little of
# the grace time remains. It can arrive on a connection whose previous answer ended late.
LAST_REQUEST_S = 2.9
# The platform kills the process at the end of the grace time. The process itself ends the remaining
# requests this long before, so that it can log their number.
STOP_MARGIN_S = 0.5
# Calls to the store are billed, so reads should be rare; but a connection that has gone silent is
# noticed only after this time plus the store timeout.
CRASH_REPORTS_WAIT_S = 3.0


class GatewayProcess(Process[GatewaySettings]):
    """The components of one gateway.

    Args:
        settings: Settings of the process.
        dropped_lines: Returns how many log lines were dropped.
    """

    def __init__(
        self, settings: GatewaySettings, *, dropped_lines: Callable[[], int] = lambda: 0
    ) -> None:
        self._settings = settings
        self._dropped_lines = dropped_lines
        self._reported_drops = 0
        self._timer = Timer()
        self._events = EventLog(settings.process, self._timer)
        self._metrics = GatewayMetrics()
        self._directory = BackendDirectory(
            self._events, self._timer, on_change=self._update_backends
        )
        self._pool = BackendPool(
            self._directory,
            self._events,
            self._timer,
            random.Random(),
            gateways=settings.gateways,
            max_backend_bytes=settings.max_backend_bytes,
            distance=Distance(settings.zone, settings.region, settings.regions),
        )
        self._offers = PromptOffers(
            self._pool.engines,
            settings.agents_port,
            self._events,
            self._timer,
            process=settings.process,
            zone=settings.zone,
            region=settings.region,
            on_connected=lambda: self._origins.update(),
        )
        self._relay = StoreRelay(
            settings,
            self._offers.relay_links,
            self._events,
            self._timer,
            on_read=self._metrics.record_store_read,
        )
        self._origins = OriginExchange(self._offers.origin_peers, self._timer)
        self._gateway_count = GatewayCount(settings.gateways, self._timer)
        self._budgets = ServiceRetryBudgets(
            settings.retry, self._timer, processes=lambda: self._gateway_count.count
        )
        self._duties = GatewayDuties(
            settings,
            self._make_store,
            self._events,
            self._timer,
            gateways=lambda: self._gateway_count.count,
            views=DutyViews(lambda: self._routing.current, self._pool, tuple(settings.regions)),
        )
        self._lag = LoopLag()
        self._stop = GracefulStop(self._timer)
        self._quarantine = CallQuarantine(
            settings.process, self._events, self._timer, on_report=self._publish_crashes
        )
        self._crash_reports = CrashReports(
            self._make_store(), CRASHES_TOPIC, self._quarantine, self._events
        )
        self._crashes = CrashWatcher(
            self._directory, self._quarantine, self._metrics, self._events, self._timer
        )
        self._routing = RoutingReader(
            CONFIG_KEY,
            decode_routing,
            self._events,
            on_adopted=self._apply_routing,
            on_restored=lambda: self._config_copy.record_restored(),
        )
        self._config_copy = ConfigCopy(
            self._make_store(), CONFIG_COPY_TOPIC, self._routing, self._events, random.Random()
        )
        self._confirmation = ConfigConfirmation(settings.revocation, self._events, self._timer)
        self._access = AccessControl(
            lambda: self._routing.current, self._confirmation, self._metrics, self._events
        )
        self._readiness = GatewayReadiness(lambda: self._routing.current, self._directory)
        self._was_ready: bool | None = None
        self._budget = ByteBudget(settings.max_held_bytes)
        caller_api = self._make_caller_api()
        self._callers = HttpServer(
            caller_api.handle,
            self._events,
            limits=HttpLimits(max_connections=settings.max_connections),
            budget=self._budget,
            screen=caller_api.screen,
        )
        self._health = HttpServer(self._answer_health, self._events)
        self._metrics_server = HttpServer(self._metrics.handle, self._events)
        self._stopped = trio.Event()

    def update_settings(self, settings: GatewaySettings) -> None:
        """Apply the settings that may change while the process runs."""
        self._settings = settings

    async def run(self) -> None:
        """Serve until `stop` has ended."""
        settings = self._settings
        self._budgets.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._timer.run)
            nursery.start_soon(self._offers.run)
            nursery.start_soon(self._lag.run)
            nursery.start_soon(self._crashes.run)
            nursery.start_soon(self._duties.run)
            nursery.start_soon(self._crash_reports.run)
            nursery.start_soon(self._config_copy.run)
            for follower in self._make_followers():
                nursery.start_soon(follower.run)
            for server, address in (
                (self._callers, settings.callers),
                (self._health, settings.health),
                (self._metrics_server, settings.metrics),
            ):
                await nursery.start(server.serve, address.host, address.port)
            self._timer.subscribe("upkeep", UPKEEP_PERIOD_S, self._upkeep)
            self._events.record(
                Event.PROCESS_STARTED,
                callers=str(settings.callers),
                health=str(settings.health),
                metrics=str(settings.metrics),
                zone=settings.zone,
            )
            self._events.record(
                Event.HELD_BYTES_BOUND,
                limit=settings.max_held_bytes,
                backend_limit=settings.max_backend_bytes,
                memory_mb=settings.memory_mb,
            )
            await self._stopped.wait()
            nursery.cancel_scope.cancel()
        self._pool.close()

    async def stop(self) -> None:
        """Leave the balancer's rotation, finish the requests in flight, and end `run`."""
        self._events.record(Event.PROCESS_STOPPING, active=self._callers.active_requests)
        self._readiness.stop()
        self._duties.resign()
        drain_s = self._settings.grace_s - STOP_MARGIN_S - self._duties.stop_s
        with trio.move_on_after(drain_s) as scope:
            async with self._stop.stopping(drain_s, accept_s=LAST_REQUEST_S):
                await self._callers.drain(accept_for_s=BALANCER_NOTICE_S)
        if scope.cancelled_caught:
            self._events.record(Event.PROCESS_STOP_CUT, active=self._callers.active_requests)
        else:
            self._events.record(Event.PROCESS_STOPPED)
        await self._duties.stop()
        self._stopped.set()

    def _make_caller_api(self) -> CallerApi:
        settings, events, timer = self._settings, self._events, self._timer
        rng = random.Random()
        distance = Distance(settings.zone, settings.region, settings.regions)
        placement = PlacementSettings(engines=settings.engines)
        attempts = Attempts(
            self._pool,
            PlatformBackendCodec(),
            self._quarantine,
            self._access,
            self._crashes,
            events,
            timer,
            self._duties.usage,
        )
        versions = StreamVersions(
            self._origins,
            self._pool,
            self._directory,
            lambda: self._routing.current,
            self._metrics,
            events,
            timer,
            rng,
        )
        plain = PlainCalls(
            self._pool,
            attempts,
            PlainPlacement(distance, rng),
            self._quarantine,
            self._budgets,
            PlainShares(timer, rng),
            versions,
            events,
            timer,
        )
        prompts = PromptCalls(
            self._pool,
            attempts,
            PromptPlacement(placement, distance, rng),
            self._offers,
            self._quarantine,
            self._lag,
            self._budgets,
            versions,
            events,
            timer,
            short_prompt_tokens=placement.short_prompt_tokens,
        )
        return CallerApi(
            PlatformCallerCodec(),
            self._routing_for_new_call,
            plain,
            prompts,
            versions,
            self._access,
            self._quarantine,
            self._lag,
            self._stop,
            self._metrics,
            events,
            timer,
            rng,
        )

    def _routing_for_new_call(self) -> RoutingConfig | None:
        """Return the configuration for a new call.

        Raises:
            RefusalError: The process is stopping, with too little time left for a new call.
        """
        self._stop.check_accepting()
        return self._routing.current

    def _make_followers(self) -> list[TopicFollower]:
        settings = self._settings
        config_wait_s = self._confirmation.limit_wait_s(settings.config_wait_s)
        config_log = self._relay.wrap_config(self._make_store(), config_wait_s)
        config = TopicFollower(
            ConfirmingLog(config_log, self._confirmation, self._timer),
            CONFIG_TOPIC,
            self._routing,
            self._events,
            self._timer,
            wait_s=config_wait_s,
        )
        backends = TopicFollower(
            self._relay.wrap_backends(self._make_store()),
            BACKENDS_TOPIC,
            BackendReader(self._directory, decode_backend, self._events),
            self._events,
            self._timer,
            period_s=settings.backends_period_s,
            on_progress=self._directory.expire,
        )
        crashes = TopicFollower(
            self._relay.wrap_idle(self._make_store(), CRASH_REPORTS_WAIT_S),
            CRASHES_TOPIC,
            self._crash_reports,
            self._events,
            self._timer,
            wait_s=CRASH_REPORTS_WAIT_S,
            on_progress=self._quarantine.refresh,
        )
        return [config, backends, crashes]

    def _make_store(self) -> PlatformStore:
        return PlatformStore(self._settings.store, timeout_s=self._settings.store_timeout_s)

    def _publish_crashes(self) -> None:
        self._crash_reports.notify()

    def _apply_routing(self, routing: RoutingConfig) -> None:
        limits = routing.limits
        self._callers.set_limits(
            HttpLimits(
                max_header_bytes=limits.max_header_bytes,
                max_body_bytes=limits.max_body_bytes,
                max_connections=self._settings.max_connections,
                receive_timeout_s=limits.receive_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
            )
        )
        self._pool.set_routing(routing)
        self._metrics.record_config_version(routing.version)
        self._access.record_adopted(routing)
        self._config_copy.record_adopted()

    def _update_backends(self) -> None:
        self._pool.sync()
        # At each change, since a departure may be announced just before the registration ends.
        self._crashes.update()
        self._metrics.record_backend_count(len(self._directory.entries()))

    async def _answer_health(self, request: HttpRequest, responder: Responder) -> None:
        ready = self._readiness.is_ready()
        if ready != self._was_ready:
            self._was_ready = ready
            routing = self._routing.current
            self._events.record(
                Event.READINESS_CHANGED,
                ready=ready,
                config_version=routing.version if routing else None,
                backends=len(self._directory.entries()),
            )
        await responder.send_json(200 if ready else 503, {"ready": ready})

    async def _upkeep(self) -> None:
        self._metrics.record_loop_lag(self._lag.lag_s)
        self._metrics.record_held(self._budget)
        self._metrics.record_opened_connections(self._pool.count_opened())
        self._gateway_count.record(self._pool.count_reported_gateways())
        self._crashes.update()
        self._crash_reports.expire()
        self._origins.update()
        self._confirmation.record_change()
        self._duties.update(self._metrics)
        self._metrics.record_quarantine(
            parts=len(self._quarantine.parts), requests=len(self._quarantine.requests)
        )
        self._metrics.record_pacing(
            limited=self._pool.count_limited(), slow=self._pool.count_slow()
        )
        dropped = self._dropped_lines()
        if dropped > self._reported_drops:
            self._events.record(Event.LOG_LINES_DROPPED, count=dropped - self._reported_drops)
            self._reported_drops = dropped
            self._metrics.record_dropped_lines(dropped)
