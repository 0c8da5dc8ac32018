"""What a role policy sees of one service, and what it decides."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from figwalk.protocol.messages import NO_OFFSET, BackendState, Role
from figwalk.state.demand import CallClass
from figwalk.state.fleet import BackendView, Fleet, PredictedLoad, RoleChange
from figwalk.state.mix import MixEstimate, TokenRates


@attrs.frozen
class EngineView:
    """One engine of a service.

    Attributes:
        backend: Name of the backend server.
        role: Role that it reports.
        state: Whether it takes work.
        fresh: Whether a report arrived within the timeout.
        withdrawn: Whether the configuration withdraws it.
        order_done: Newest order reported as carried out, or `NO_OFFSET`.
        order_newest: Newest valid order for it in the log, or `NO_OFFSET`.
        load: Its predicted load.
        prefill_tokens_per_s: Reported prompt processing speed in its role.
        decode_tokens_per_s: Reported generation speed in its role.
        changed_s: Seconds since its last change of role; infinite if none was seen.
    """

    backend: str
    role: Role = Role.MIXED
    state: BackendState = BackendState.SERVING
    fresh: bool = True
    withdrawn: bool = False
    order_done: int = NO_OFFSET
    order_newest: int = NO_OFFSET
    load: PredictedLoad = attrs.field(factory=PredictedLoad)
    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0
    changed_s: float = math.inf

    @property
    def serving(self) -> bool:
        """Whether it takes new work as far as is known."""
        return self.fresh and not self.withdrawn and self.state is BackendState.SERVING

    @property
    def order_open(self) -> bool:
        """Whether its newest order is not yet carried out."""
        return self.order_newest > self.order_done


@attrs.frozen
class ServiceView:
    """One service as the lease holder sees it.

    Attributes:
        service: Name of the service.
        engines: Its engines.
        mix: Averages of the tokens that its engines processed.
        call_classes: Profile of the calls that this entry sends to it.
        changes: Changes of role seen, oldest first.
        refused: Tokens a second of calls that were refused.
    """

    service: str
    engines: tuple[EngineView, ...]
    mix: MixEstimate = attrs.field(factory=MixEstimate)
    call_classes: tuple[CallClass, ...] = ()
    changes: tuple[RoleChange, ...] = ()
    refused: TokenRates = attrs.field(factory=TokenRates)

    @property
    def serving(self) -> tuple[EngineView, ...]:
        """The engines that take new work."""
        return tuple(engine for engine in self.engines if engine.serving)

    @property
    def changed_s(self) -> float:
        """Seconds since the last change of role in the service."""
        return min((engine.changed_s for engine in self.engines), default=math.inf)

    def find(self, backend: str) -> EngineView | None:
        """Return an engine by name."""
        return next((engine for engine in self.engines if engine.backend == backend), None)


@attrs.frozen
class DecisionFigures:
    """The figures behind a decision, for the time line.

    Attributes:
        gain_s: Useful engine seconds gained over the horizon.
        cost_s: Weighted engine seconds lost.
        utilisation_now: Offered work for the capacity with the present roles.
        utilisation_after: The same with the new role.
        prompt_per_s: Prompt tokens a second.
        output_per_s: Output tokens a second.
        prefill_share: Share of prefill in the work.
    """

    gain_s: float = 0.0
    cost_s: float = 0.0
    utilisation_now: float = 0.0
    utilisation_after: float = 0.0
    prompt_per_s: float = 0.0
    output_per_s: float = 0.0
    prefill_share: float = 0.0


@attrs.frozen
class RoleDecision:
    """A change of role to be ordered.

    Attributes:
        backend: Engine to change.
        role: Its new role.
        reason: Why, for the order and the time line.
        figures: The figures behind it.
    """

    backend: str
    role: Role
    reason: str
    figures: DecisionFigures = attrs.field(factory=DecisionFigures)


def build_service_view(
    fleet: Fleet, service: str, newest_order: Callable[[str], int], now: float
) -> ServiceView:
    """Return the view of a service from reports and the control stream.

    Args:
        fleet: What this entry knows of the backend servers.
        service: Name of the service.
        newest_order: Returns the offset of the newest valid order for a backend server.
        now: Timer time.
    """
    changes = fleet.role_changes(service)
    changed_at = {change.backend: change.at for change in changes}
    engines = [
        _build_engine(fleet, view, newest_order, now - changed_at.get(view.name, -math.inf))
        for view in fleet.backends(service)
    ]
    return ServiceView(
        service,
        tuple(engines),
        fleet.mix(service),
        fleet.call_classes(service),
        changes,
        fleet.refused(service),
    )


def _build_engine(
    fleet: Fleet, view: BackendView, newest_order: Callable[[str], int], changed_s: float
) -> EngineView:
    report = view.report
    if report is None:
        return EngineView(
            view.name, state=BackendState.DOWN, fresh=False, order_newest=newest_order(view.name)
        )
    return EngineView(
        view.name,
        role=report.role,
        state=BackendState.LEAVING if view.leaving else report.state,
        fresh=fleet.is_fresh(view),
        withdrawn=view.name in fleet.withdrawn,
        order_done=report.order_offset,
        order_newest=newest_order(view.name),
        load=view.predicted,
        prefill_tokens_per_s=report.prefill_tokens_per_s,
        decode_tokens_per_s=report.decode_tokens_per_s,
        changed_s=changed_s,
    )
