"""The duties of a gateway: counting usage, and acting for all gateways while it holds the lease."""

from __future__ import annotations

from collections.abc import Callable

import trio

from figwalk.coordination.compacted_log import ConditionalLog
from figwalk.duties.counts_reader import CountsReader
from figwalk.duties.demand_meter import DemandMeter
from figwalk.duties.duty import Duty
from figwalk.duties.lease_keeper import LeaseKeeper
from figwalk.duties.role_duty import RoleDuty
from figwalk.duties.scaling_duty import ScalingDuty
from figwalk.duties.usage_counter import UsageCounter
from figwalk.duties.usage_duty import UsageDuty
from figwalk.duties.usage_publisher import UsagePublisher
from figwalk.duties.window_clock import WindowClock
from figwalk.events import EventLog
from figwalk.gateway.duty_views import DutyViews
from figwalk.gateway.gateway_metrics import GatewayMetrics
from figwalk.platform import (
    DUTIES_TOPIC,
    USAGE_TOPIC,
    PlatformDutyClient,
    PlatformEngineOrders,
)
from figwalk.state.gateway_settings import DutySettings, GatewaySettings
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
        views: What is known of backend servers.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        make_log: Callable[[], ConditionalLog],
        events: EventLog,
        timer: Timer,
        *,
        gateways: Callable[[], int],
        views: DutyViews,
    ) -> None:
        duties = settings.duties
        self._make_log = make_log
        self._events = events
        self._views = views
        self._clock = WindowClock(timer, duties.window_s if duties else DEFAULT_WINDOW_S)
        self._counter = UsageCounter(self._clock, timer)
        self._meter = DemandMeter()
        self._counts_usage = duties is not None and duties.reports_usage
        self._publisher: UsagePublisher | None = None
        self._reports: UsageDuty | None = None
        orders = PlatformEngineOrders(holder=settings.process)
        parts: list[Duty] = [RoleDuty(views.engines, orders, events, timer)]
        if duties is not None and (duties.reports_usage or duties.orders_servers):
            parts += self._build_platform_duties(settings, duties)
        self._keeper = LeaseKeeper(
            make_log(),
            DUTIES_TOPIC,
            parts,
            events,
            timer,
            holder=settings.process,
            settings=settings.lease,
            candidates=gateways,
            wall_ms=self._clock.now_ms,
        )

    def _build_platform_duties(self, settings: GatewaySettings, duties: DutySettings) -> list[Duty]:
        self._publisher = UsagePublisher(
            self._make_log(),
            USAGE_TOPIC,
            self._counter,
            self._clock,
            self._events,
            duties,
            process=settings.process,
            zone=settings.zone,
            meter=self._meter,
        )
        client = PlatformDutyClient(duties.address, holder=settings.process)
        reader = CountsReader(self._make_log(), USAGE_TOPIC, self._clock, self._events)
        parts: list[Duty] = []
        if duties.reports_usage:
            self._reports = UsageDuty(
                self._make_log(), USAGE_TOPIC, reader, client, self._clock, self._events, duties
            )
            parts.append(self._reports)
        if duties.orders_servers:
            services = self._views.scaled_services
            parts.append(ScalingDuty(services, reader, client, self._clock, self._events, duties))
        return parts

    @property
    def usage(self) -> UsageCounter | None:
        """Counts the calls that backend servers began, or None if nobody asks for it."""
        return self._counter if self._counts_usage else None

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

    def update(self, metrics: GatewayMetrics) -> None:
        """Sample the demand, and show the state of the duties in the metrics."""
        self._meter.sample(self._views.in_flight())
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
