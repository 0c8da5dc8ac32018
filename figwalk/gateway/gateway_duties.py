"""The duties of a gateway: counting usage, and acting for all gateways while it holds the lease."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import trio

from figwalk.coordination.compacted_log import ConditionalLog
from figwalk.duties.counts_reader import CountsReader
from figwalk.duties.duty import Duty, DutyClient
from figwalk.duties.lease_keeper import LeaseKeeper
from figwalk.duties.role_duty import RoleDuty, ServiceEngines
from figwalk.duties.role_need import KnownEngine
from figwalk.duties.usage_counter import UsageCounter
from figwalk.duties.usage_duty import UsageDuty
from figwalk.duties.usage_publisher import UsagePublisher
from figwalk.duties.window_clock import WindowClock
from figwalk.events import EventLog
from figwalk.gateway.backend_pool import BackendPool
from figwalk.gateway.gateway_metrics import GatewayMetrics
from figwalk.platform import (
    DUTIES_TOPIC,
    USAGE_TOPIC,
    PlatformDutyClient,
    PlatformEngineOrders,
)
from figwalk.state.gateway_settings import DutySettings, GatewaySettings
from figwalk.state.routing import RoutingConfig
from figwalk.timer import Timer

# Time that a stopping gateway has for writing its last counts.
LAST_WRITE_S = 0.6
DEFAULT_WINDOW_S = 5.0


class GatewayDuties:
    """Builds and runs the parts that a gateway's settings ask for.

    Args:
        settings: Settings of the process.
        make_log: Creates a client of the log.
        events: Event log.
        timer: Source of time.
        gateways: Returns the number of gateways that may check the lease.
        engines: Returns the engines of all services.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        make_log: Callable[[], ConditionalLog],
        events: EventLog,
        timer: Timer,
        *,
        gateways: Callable[[], int],
        engines: Callable[[], Sequence[ServiceEngines]],
    ) -> None:
        window_s = settings.duties.window_s if settings.duties else DEFAULT_WINDOW_S
        self._clock = WindowClock(timer, window_s)
        self._counter: UsageCounter | None = None
        self._publisher: UsagePublisher | None = None
        self._reports: UsageDuty | None = None
        orders = PlatformEngineOrders(holder=settings.process)
        duties: list[Duty] = [RoleDuty(engines, orders, events, timer)]
        if settings.duties is not None and settings.duties.reports_usage:
            client = PlatformDutyClient(settings.duties.address, holder=settings.process)
            self._reports = self._build_usage(
                settings, settings.duties, client, make_log, events, timer
            )
            duties.append(self._reports)
        self._keeper = LeaseKeeper(
            make_log(),
            DUTIES_TOPIC,
            duties,
            events,
            timer,
            holder=settings.process,
            settings=settings.lease,
            candidates=gateways,
            wall_ms=self._clock.now_ms,
        )

    def _build_usage(
        self,
        settings: GatewaySettings,
        duties: DutySettings,
        client: DutyClient,
        make_log: Callable[[], ConditionalLog],
        events: EventLog,
        timer: Timer,
    ) -> UsageDuty:
        self._counter = UsageCounter(self._clock, timer)
        self._publisher = UsagePublisher(
            make_log(),
            USAGE_TOPIC,
            self._counter,
            self._clock,
            events,
            duties,
            process=settings.process,
        )
        reader = CountsReader(make_log(), USAGE_TOPIC, self._clock, events)
        return UsageDuty(make_log(), USAGE_TOPIC, reader, client, self._clock, events, duties)

    @property
    def usage(self) -> UsageCounter | None:
        """Counts the calls that backend servers began, or None if nobody asks for it."""
        return self._counter

    @property
    def stop_s(self) -> float:
        """Seconds that `stop` takes at most."""
        return LAST_WRITE_S if self._publisher is not None else 0.0

    async def run(self) -> None:
        """Count, and act while the lease is held, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keeper.run)
            if self._publisher is not None:
                nursery.start_soon(self._publisher.run)

    def update_metrics(self, metrics: GatewayMetrics) -> None:
        """Show the state of the duties in the metrics."""
        held = self._keeper.fence() is not None
        metrics.record_duties(
            held=held,
            unwritten=self._publisher.unwritten if self._publisher is not None else 0,
            unsent=self._reports.unsent if self._reports is not None and held else 0,
        )

    def resign(self) -> None:
        """Leave the duties to other gateways, since this one is about to stop."""
        self._keeper.resign()

    async def stop(self) -> None:
        """Write the last counts."""
        if self._publisher is not None:
            with trio.move_on_after(LAST_WRITE_S):
                await self._publisher.stop()


def list_service_engines(routing: RoutingConfig | None, pool: BackendPool) -> list[ServiceEngines]:
    """Return the engines of each service, as far as a gateway knows them."""
    services = []
    for name, spec in routing.services.items() if routing is not None else ():
        if spec.engine is None:
            continue
        trackers = [pooled.tracker for pooled in pool.of_service(name)]
        views = [
            KnownEngine(t.entry.backend, t.entry.role, t.is_avoided(), t.estimate_load())
            for t in trackers
        ]
        entries = {tracker.entry.backend: tracker.entry for tracker in trackers}
        services.append(ServiceEngines(name, entries, views, spec.engine.switch_s))
    return services
