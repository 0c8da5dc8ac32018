"""Orders role changes of engines while this process holds the controller lease."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from figwalk.coordination._role_policies import (
    ROLE_POLICIES,
    AdaptivePolicy,
    FixedPolicy,
    RolePolicy,
    ThresholdPolicy,
    make_role_policy,
)
from figwalk.coordination._role_rules import find_violation
from figwalk.coordination._role_view import (
    DecisionFigures,
    EngineView,
    RoleDecision,
    ServiceView,
    build_service_view,
)
from figwalk.errors import FigwalkError, LogAnswerLostError, LogError
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import Role
from figwalk.state.published import Preset
from figwalk.timer import Subscription, Timer

__all__ = [
    "ROLE_POLICIES",
    "AdaptivePolicy",
    "DecisionFigures",
    "EngineView",
    "FixedPolicy",
    "OrderAppender",
    "RoleController",
    "RoleDecision",
    "RolePolicy",
    "ServiceView",
    "TermHolder",
    "ThresholdPolicy",
    "build_service_view",
    "make_role_policy",
]

CONTROL_PERIOD_S = 1.0

# A new holder may have just started; by then it has the VM list and a report of each engine, so
# that none that is away is missing from its view.
NEW_TERM_WAIT_S = 5.0

# An append without an answer may still reach the log; this is well above the log's timeout.
LOST_ANSWER_HOLD_S = 60.0

REFUSED_HOLD_S = 5.0  # Keeps an outage of the log from filling the event ring with decisions.


class TermHolder(Protocol):
    """The controller lease, as far as the controller needs it."""

    @property
    def term(self) -> int | None:
        """Current term if this process holds the lease, else None."""


class OrderAppender(Protocol):
    """Appends orders to the control stream under the current term."""

    async def append_order(self, backend: str, role: Role, *, reason: str) -> object:
        """Append an order.

        Raises:
            LogAnswerLostError: The order may be in the log or get there later.
            LogError: The order is not in the log.
        """


@attrs.frozen
class _PendingOrder:
    """An order that was appended but is not yet read back from the log."""

    backend: str
    newest_before: int
    term: int
    hold_until: float | None


class RoleController:
    """Asks the role policy of each service periodically, and appends what it decides.

    It decides nothing for a service while an order that it appended is not yet in its view: a
    follower that lags must not make it order a second change. Every engine of a service must be in
    the view, also one that has sent no report yet, so that none is away unnoticed; an entry
    registers the VMs of the list with its fleet for this.

    Args:
        timer: Source of time and of the period.
        events: Where decisions are recorded.
        lease: The controller lease.
        appender: Appends orders.
        services: Returns the services whose engines have roles.
        view: Returns the view of a service.
        preset: Returns the preset in force.
        period_s: Seconds between two rounds.
    """

    def __init__(
        self,
        timer: Timer,
        events: EventLog,
        lease: TermHolder,
        appender: OrderAppender,
        *,
        services: Callable[[], Sequence[str]],
        view: Callable[[str], ServiceView],
        preset: Callable[[], Preset],
        period_s: float = CONTROL_PERIOD_S,
    ) -> None:
        self._timer = timer
        self._events = events
        self._lease = lease
        self._appender = appender
        self._services = services
        self._view = view
        self._preset = preset
        self._period_s = period_s
        self._policies: dict[str, RolePolicy] = {}
        self._policies_preset: Preset | None = None
        self._pending: dict[str, _PendingOrder] = {}
        self._term: int | None = None
        self._term_since = 0.0

    def start(self) -> Subscription:
        """Subscribe to the timer."""
        return self._timer.subscribe("role-controller", self._period_s, self.control)

    async def control(self) -> None:
        """Run one round over all services."""
        if not self._has_waited():
            return
        for service in self._services():
            term = self._lease.term
            if term != self._term:
                return
            await self._control_service(service, term)

    def _has_waited(self) -> bool:
        """Return whether this process has held its term for long enough."""
        now = self._timer.now()
        if self._lease.term != self._term:
            self._term = self._lease.term
            self._term_since = now
        return self._term is not None and now - self._term_since >= NEW_TERM_WAIT_S

    async def _control_service(self, service: str, term: int) -> None:
        view = self._view(service)
        if self._awaits_order(view, term):
            return
        decision = self._find_policy(service).decide(view, self._timer.now())
        if decision is None:
            return
        violation = find_violation(view, decision.backend, decision.role)
        if violation:
            self._record(service, decision, appended=False, detail=violation)
            return
        await self._append(view, decision, term)

    def _awaits_order(self, view: ServiceView, term: int) -> bool:
        pending = self._pending.get(view.service)
        if pending is None:
            return False
        engine = view.find(pending.backend)
        seen = engine is not None and engine.order_newest > pending.newest_before
        expired = pending.hold_until is not None and self._timer.now() >= pending.hold_until
        if seen or expired or pending.term != term:
            del self._pending[view.service]
            return False
        return True

    async def _append(self, view: ServiceView, decision: RoleDecision, term: int) -> None:
        newest = view.find(decision.backend).order_newest
        # Held before the append: the order may reach the log even if this call is cancelled.
        lost_until = self._timer.now() + LOST_ANSWER_HOLD_S
        pending = _PendingOrder(decision.backend, newest, term, lost_until)
        self._pending[view.service] = pending
        try:
            await self._appender.append_order(
                decision.backend, decision.role, reason=decision.reason
            )
        except LogAnswerLostError as error:
            self._record(view.service, decision, appended=False, detail=str(error))
        except LogError as error:
            refused_until = self._timer.now() + REFUSED_HOLD_S
            self._pending[view.service] = attrs.evolve(pending, hold_until=refused_until)
            self._record(view.service, decision, appended=False, detail=str(error))
        else:
            self._pending[view.service] = attrs.evolve(pending, hold_until=None)
            self._record(view.service, decision, appended=True)

    def _find_policy(self, service: str) -> RolePolicy:
        preset = self._preset()
        if preset != self._policies_preset:
            self._policies.clear()
            self._policies_preset = preset
        if service not in self._policies:
            self._policies[service] = self._make_policy(preset)
        return self._policies[service]

    def _make_policy(self, preset: Preset) -> RolePolicy:
        """Return the policy of a preset; one that can't be used keeps all roles as they are."""
        try:
            return make_role_policy(preset)
        except FigwalkError as error:
            self._events.record(Event.CONFIG_REJECTED, detail=str(error))
            return FixedPolicy()

    def _record(
        self, service: str, decision: RoleDecision, *, appended: bool, detail: str = ""
    ) -> None:
        figures = {name: f"{value:.3f}" for name, value in attrs.asdict(decision.figures).items()}
        self._events.record(
            Event.ROLE_DECIDED,
            service=service,
            backend=decision.backend,
            role=decision.role,
            reason=decision.reason,
            appended=appended,
            detail=detail,
            **figures,
        )
