"""Orders numbers of backend servers, while this process holds the lease."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence

import attrs
import cattrs
import trio

from figwalk.coordination.backoff import Backoff
from figwalk.coordination.compacted_log import KeyedRecord
from figwalk.duties.counts_reader import CountsListener, CountsReader
from figwalk.duties.duty import Authority, CallResult, Duty, DutyClient
from figwalk.duties.server_need import ServerNeed
from figwalk.duties.usage_records import UsageCounts
from figwalk.duties.window_clock import WindowClock
from figwalk.events import Event, EventLog
from figwalk.state.gateway_settings import DutySettings
from figwalk.state.routing import Autoscaling

SCALE_PREFIX = "scale/"
TICK_S = 0.5
# Share of the time until a usage report is late after which gateways have written a window.
READ_SHARE = 0.4
# A gateway that wrote no record for this many windows has no demand.
ABSENT_WINDOWS = 2
# An order without an answer may be carried out after a newer one; the newest is repeated then.
REPEAT_S = 10.0
RATE_SHARE = 0.25
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 2.0
MAX_PAUSE_S = 3.0

Place = tuple[str, str]


@attrs.frozen
class ScaledService:
    """The backend servers of a service in one zone.

    Attributes:
        service: Name of the service.
        zone: Availability zone.
        bounds: Bounds of their number.
        slots: Calls that one of them runs at once.
        present: Their number now.
    """

    service: str
    zone: str
    bounds: Autoscaling
    slots: int
    present: int


@attrs.frozen
class _StoredOrder:
    """An order as the log holds it."""

    service: str
    zone: str
    count: int


@attrs.define
class _Demand:
    zone: str
    through: int
    services: dict[str, float]


class ScalingDuty(Duty, CountsListener):
    """The numbers of backend servers of services with autoscaling.

    The demand of a zone is the calls in flight of its gateways, which they write with their usage
    counts. An order is appended to the log with a renewal of the lease before it is sent, so that a
    successor knows it; it sends all of them once more.

    Args:
        services: Returns the services with autoscaling in each zone.
        reader: Reads the records of the gateways.
        client: Makes the calls to the platform.
        clock: Tells the windows.
        events: Event log.
        settings: Times and rate of the calls.
    """

    def __init__(
        self,
        services: Callable[[], Sequence[ScaledService]],
        reader: CountsReader,
        client: DutyClient,
        clock: WindowClock,
        events: EventLog,
        settings: DutySettings,
    ) -> None:
        self._services = services
        self._reader = reader
        self._client = client
        self._clock = clock
        self._events = events
        self._settings = settings
        self._demands: dict[str, _Demand] = {}
        self._needs: dict[Place, tuple[Autoscaling, ServerNeed]] = {}
        self._desired: dict[Place, int] = {}
        self._logged: dict[Place, int] = {}
        self._due: dict[Place, float] = {}
        self._unanswered: set[Place] = set()
        self._largest: dict[Place, int] = {}
        self._window = -1
        self._fence: int | None = None
        self._backoff = Backoff(first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S)
        reader.subscribe(self)

    def is_wanted(self) -> bool:
        """Return whether any service has autoscaling."""
        return bool(self._services())

    def has_urgent_records(self) -> bool:
        """Return whether an order is not in the log yet."""
        return bool(self._unlogged())

    def records(self) -> Mapping[str, bytes]:
        """Return the orders that are not in the log."""
        return {
            f"{SCALE_PREFIX}{service}/{zone}": json.dumps(
                attrs.asdict(_StoredOrder(service, zone, count))
            ).encode()
            for (service, zone), count in self._unlogged().items()
        }

    def apply(self, record: KeyedRecord) -> None:
        """Apply an order of this or an earlier holder."""
        if not record.key.startswith(SCALE_PREFIX) or record.value is None:
            return
        try:
            order = cattrs.structure(json.loads(record.value), _StoredOrder)
        except (ValueError, RecursionError, cattrs.BaseValidationError) as error:
            self._events.record(
                Event.USAGE_RECORD_SKIPPED,
                key=record.key,
                offset=record.offset,
                detail=repr(error),
            )
            return
        place = (order.service, order.zone)
        self._logged[place] = self._desired[place] = order.count

    def handle_restore(self) -> None:
        """Have the known orders appended again."""
        self._logged.clear()

    def handle_listing(self, *, complete: bool) -> None:
        """Do nothing."""

    def apply_counts(self, key: str, counts: UsageCounts) -> None:
        """Take the demand from a gateway's record."""
        known = self._demands.get(key)
        if known is not None and counts.through < known.through:
            return
        through = -1 if counts.stopped else counts.through
        self._demands[key] = _Demand(counts.zone, through, counts.demand)

    async def run(self, authority: Authority) -> None:
        """Decide and send orders while the lease is held, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_all, authority)
            while True:
                if authority.fence() is not None and self.is_wanted():
                    await self._decide_all(authority)
                await trio.sleep(TICK_S)

    async def _decide_all(self, authority: Authority) -> None:
        if authority.fence() != self._fence:
            # What the former holder has sent last is not known.
            self._fence = authority.fence()
            self._due |= dict.fromkeys(self._desired, self._clock.now())
        delay_s = READ_SHARE * self._settings.usage_late_s
        window = self._clock.window_at(self._clock.now() - delay_s) - 1
        if window <= self._window or not await self._reader.refresh():
            return
        self._window = window
        for scaled in self._services():
            self._decide(scaled, window)
        gone = window - ABSENT_WINDOWS
        self._demands = {k: d for k, d in self._demands.items() if d.through >= gone}
        if self.has_urgent_records():
            authority.notify()

    def _decide(self, scaled: ScaledService, window: int) -> None:
        place = (scaled.service, scaled.zone)
        known = self._needs.get(place)
        if known is None or known[0] != scaled.bounds:
            known = self._needs[place] = scaled.bounds, ServerNeed(scaled.bounds, scaled.slots)
        demand = sum(
            each.services.get(scaled.service, 0.0)
            for each in self._demands.values()
            if each.zone == scaled.zone and each.through >= window - ABSENT_WINDOWS
        )
        # Before the first order, a backend server that is gone for a moment still counts.
        present = max(scaled.present, self._largest.get(place, 0))
        self._largest[place] = present
        desired = self._desired.get(place, present)
        order = known[1].update(self._clock.end_of(window), demand, desired)
        if order is None or order.count == desired:
            return
        self._desired[place] = order.count
        self._due[place] = self._clock.now()
        self._events.record(
            Event.DUTY_ORDERED,
            service=scaled.service,
            zone=scaled.zone,
            count=order.count,
            present=scaled.present,
            demand=round(demand, 1),
            reason=order.reason,
        )

    async def _send_all(self, authority: Authority) -> None:
        pause_s = 1 / (RATE_SHARE * self._settings.calls_per_s)
        while True:
            now = self._clock.now()
            due = [p for p, at in self._due.items() if at <= now and self._is_logged(p)]
            if not due or authority.fence() is None:
                await trio.sleep(TICK_S)
                continue
            await trio.sleep(max(pause_s, await self._send(min(due), authority)))

    async def _send(self, place: Place, authority: Authority) -> float:
        """Send an order once; return the seconds to wait before the next call."""
        fence = authority.fence()
        count = self._desired[place]
        outcome = await self._client.order_servers(*place, count, authority)
        if outcome.result is CallResult.DONE:
            self._backoff.reset()
            if place in self._unanswered:
                self._unanswered.remove(place)
                self._due[place] = self._clock.now() + REPEAT_S
            elif self._desired[place] == count:
                del self._due[place]
            return 0.0
        self._events.record(
            Event.DUTY_CALL_FAILED,
            call="scale",
            service=place[0],
            zone=place[1],
            fence=fence,
            result=outcome.result.value,
            detail=outcome.detail,
        )
        if outcome.result is CallResult.FENCED and fence is not None:
            authority.record_refused(fence)
        if outcome.result is CallResult.UNKNOWN:
            self._unanswered.add(place)
        return max(min(outcome.retry_after_s, MAX_PAUSE_S), self._backoff.next_delay())

    def _unlogged(self) -> dict[Place, int]:
        return {p: n for p, n in self._desired.items() if not self._is_logged(p)}

    def _is_logged(self, place: Place) -> bool:
        return self._logged.get(place) == self._desired.get(place)
