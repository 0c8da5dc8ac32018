"""Controller that orders role changes of engines while this process holds the controller lease."""

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

# Delay before the first decision of a lease holder. Even if its process has just started, it
# receives the VM list and a report of each engine within this time, so that its view is complete.
NEW_TERM_WAIT_S = 5.0

# An order may still reach the log after its append was not answered; this is well above the
# timeout of the log.
LOST_ANSWER_HOLD_S = 60.0

REFUSED_HOLD_S = 5.0  # Keeps a log outage from filling the event buffer with decisions.


class TermHolder(Protocol):
    """Part of the controller lease that the controller uses."""

    @property
    def term(self) -> int | None:
        """Current term if this process holds the lease, otherwise None."""


class OrderAppender(Protocol):
    """Appends orders to the control stream under the current term."""

    async def append_order(self, backend: str, role: Role, *, reason: str) -> object:
        """Append an order.

        Raises:
            LogAnswerLostError: The order may be in the log or reach it later.
            LogError: The order is not in the log.
        """


@attrs.frozen
class _PendingOrder:
    """An order that was appended and has not yet been read back from the log.

    Attributes:
        backend: Backend server that the order is for.
        newest_before: Offset of its newest order before the append.
        term: Term under which the order was appended.
        hold_until: Timer time until which the order blocks others, or None for no limit.
    """

    backend: str
    newest_before: int
    term: int
    hold_until: float | None


class RoleController:
    """Periodically runs the role policy of each service, and appends its decisions as orders.

    The controller makes no decision for a service while one of its own orders is not yet in the
    view of the service; otherwise it could order a second change while the log follower lags. The
    view must include every engine of the service, even before its first report, so that an
    unavailable engine is not overlooked. For this, an entry registers all VMs of the VM list with
    its fleet.

    Args:
        timer: Source of time and of the period.
        events: Event log in which decisions are recorded.
        lease: The controller lease.
        appender: Appends orders.
        services: Returns the names of the services whose engines have roles.
        view: Returns the state of a service.
        preset: Returns the preset in force.
        period_s: Seconds between two control rounds.
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
        """Subscribe the control rounds to the timer, and return the subscription."""
        return self._timer.subscribe("role-controller", self._period_s, self.control)

    async def control(self) -> None:
        """Run one control round over all services, once the lease has been held for long enough."""
        if not self._has_held_term_long_enough():
            return
        for service in self._services():
            term = self._lease.term
            if term != self._term:
                return
            await self._control_service(service, term)

    def _has_held_term_long_enough(self) -> bool:
        """Return whether this process has held the lease for `NEW_TERM_WAIT_S` in the same term."""
        now = self._timer.now()
        if self._lease.term != self._term:
            self._term = self._lease.term
            self._term_since = now
        return self._term is not None and now - self._term_since >= NEW_TERM_WAIT_S

    async def _control_service(self, service: str, term: int) -> None:
        view = self._view(service)
        if self._awaits_order(view, term):
            return
        decision = self._get_policy(service).decide(view, self._timer.now())
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
        seen = engine is not None and engine.newest_order > pending.newest_before
        expired = pending.hold_until is not None and self._timer.now() >= pending.hold_until
        if seen or expired or pending.term != term:
            del self._pending[view.service]
            return False
        return True

    async def _append(self, view: ServiceView, decision: RoleDecision, term: int) -> None:
        newest = view.find(decision.backend).newest_order
        # Set before the append, because the order may reach the log even if this task is cancelled.
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

    def _get_policy(self, service: str) -> RolePolicy:
        preset = self._preset()
        if preset != self._policies_preset:
            self._policies.clear()
            self._policies_preset = preset
        if service not in self._policies:
            self._policies[service] = self._make_policy(preset)
        return self._policies[service]

    def _make_policy(self, preset: Preset) -> RolePolicy:
        """Return the policy of a preset, or one that changes no role if the preset is invalid."""
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
