"""Orders engines to change their role, while this process holds the lease."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping, Sequence

import attrs
import trio

from figwalk.coordination.compacted_log import KeyedRecord
from figwalk.duties.duty import Authority, CallOutcome, CallResult, Duty
from figwalk.duties.role_need import KnownEngine, RoleChange, RoleNeed
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import Role
from figwalk.state.backend_directory import BackendEntry
from figwalk.timer import Timer

TICK_S = 0.5
RETRY_S = 1.0
# An order that got no answer may be carried out this much later; no other one is sent meanwhile.
LATE_ORDER_S = 5.0


@attrs.frozen
class EngineRoleState:
    """State of an engine's role, as it reports it.

    Attributes:
        role: Its role.
        changing: Whether an order is in progress.
        sequence: Number that rises with each order.
    """

    role: Role
    changing: bool
    sequence: int


class EngineOrders(ABC):
    """Reads the role of engines and orders changes."""

    @abstractmethod
    async def read_state(self, engine: BackendEntry) -> EngineRoleState | None:
        """Return the state of an engine's role, or None if it does not answer."""

    @abstractmethod
    async def order_role(
        self, engine: BackendEntry, role: Role, sequence: int, authority: Authority
    ) -> CallOutcome:
        """Order a role; the engine refuses it if its sequence of orders is another one.

        Nothing is sent if the authority gives no fencing token at the moment of sending; the
        outcome is then `REFUSED`.
        """


@attrs.frozen
class ServiceEngines:
    """The engines of a service.

    Attributes:
        service: Name of the service.
        engines: Registrations of its engines that don't leave.
        views: What is known of each of them.
        switch_s: Seconds that a change of role takes.
    """

    service: str
    engines: Mapping[str, BackendEntry]
    views: Sequence[KnownEngine]
    switch_s: float


@attrs.frozen
class _SentOrder:
    change: RoleChange
    until: float


class RoleDuty(Duty):
    """Changes of engines' roles, one at a time for each service.

    Before each order, all engines of the service that could have one in progress are asked; an
    order of a former holder that is in progress shows there. The state of an engine is read anew
    before each order, and the order depends on its sequence, so that an order that got no answer
    is carried out at most once.

    Args:
        services: Returns the engines of all services.
        orders: Reads and orders roles.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self,
        services: Callable[[], Sequence[ServiceEngines]],
        orders: EngineOrders,
        events: EventLog,
        timer: Timer,
    ) -> None:
        self._services = services
        self._orders = orders
        self._events = events
        self._timer = timer
        self._need = RoleNeed()
        self._needed: dict[str, RoleChange] = {}
        self._sent: dict[str, _SentOrder] = {}

    def is_wanted(self) -> bool:
        """Return whether an order is or may soon be needed, or its outcome is not known yet.

        A lease that nobody holds can be claimed only after its duration, so it is sought as soon as
        the engines are missing.
        """
        return bool(self._needed or self._sent or self._need.is_watching)

    def has_urgent_records(self) -> bool:
        """Return False: orders are not recorded in the log."""
        return False

    def records(self) -> Mapping[str, bytes]:
        """Return no records: the engines' sequences show which orders were carried out."""
        return {}

    def apply(self, record: KeyedRecord) -> None:
        """Do nothing."""

    def handle_restore(self) -> None:
        """Do nothing: engines know their orders."""

    def handle_listing(self, *, complete: bool) -> None:
        """Do nothing."""

    async def run(self, authority: Authority) -> None:
        """Notice needed changes, and order them while the lease is held, until cancelled."""
        while True:
            services = {each.service: each for each in self._services()}
            self._update(services, authority)
            for service in list(self._needed):
                if authority.fence() is not None and service not in self._sent:
                    await self._order(services[service], self._needed[service], authority)
            await trio.sleep(TICK_S)

    def _update(self, services: Mapping[str, ServiceEngines], authority: Authority) -> None:
        now = self._timer.now()
        was_wanted = self.is_wanted()
        self._needed = {}
        for service, engines in services.items():
            change = self._need.update(service, engines.views, now)
            if change is not None:
                self._needed[service] = change
        for service, sent in list(self._sent.items()):
            if service not in self._needed or now >= sent.until:
                del self._sent[service]
        if self.is_wanted() and not was_wanted:
            authority.notify()

    async def _order(
        self, service: ServiceEngines, change: RoleChange, authority: Authority
    ) -> None:
        states: dict[str, EngineRoleState | None] = {}

        async def read(engine: BackendEntry) -> None:
            states[engine.backend] = await self._orders.read_state(engine)

        async with trio.open_nursery() as nursery:
            for engine in service.engines.values():
                nursery.start_soon(read, engine)
        if any(state is not None and state.changing for state in states.values()):
            self._hold(service, change, service.switch_s)
            return
        if any(state is not None and state.role is change.role for state in states.values()):
            return  # Its registration follows.
        answering = {name: state for name, state in states.items() if state is not None}
        if not answering:
            return
        if change.backend not in answering:
            change = attrs.evolve(change, backend=min(answering))
        engine = service.engines[change.backend]
        state = answering[change.backend]
        fence = authority.fence()
        outcome = await self._orders.order_role(engine, change.role, state.sequence, authority)
        self._events.record(
            Event.DUTY_ORDERED,
            service=change.service,
            backend=change.backend,
            role=change.role.value,
            sequence=state.sequence,
            fence=fence,
            result=outcome.result.value,
            detail=outcome.detail,
            reason=change.reason,
        )
        if outcome.result in (CallResult.DONE, CallResult.UNKNOWN):
            self._hold(service, change, service.switch_s + LATE_ORDER_S)
            return
        self._hold(service, change, RETRY_S)
        if outcome.result is CallResult.FENCED and fence is not None:
            authority.record_refused(fence)

    def _hold(self, service: ServiceEngines, change: RoleChange, seconds: float) -> None:
        """Send no other order for some time, in which one has its effect."""
        until = self._timer.now() + seconds
        self._sent[service.service] = _SentOrder(change, until)
