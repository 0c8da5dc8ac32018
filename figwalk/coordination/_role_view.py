"""Input and output data of the role policies: the state of a service, and role decisions."""

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
    """State of one engine of a service.

    Attributes:
        backend: Name of the backend server.
        role: Reported role.
        state: Reported state, or LEAVING once it has been marked as leaving.
        fresh: Whether its newest report arrived within the timeout.
        withdrawn: Whether the configuration withdraws it from service.
        applied_order: Offset of the newest order reported as applied, or `NO_OFFSET`.
        newest_order: Offset of the newest valid order for it in the log, or `NO_OFFSET`.
        load: Predicted load.
        prefill_tokens_per_s: Reported prefill speed in its role.
        decode_tokens_per_s: Reported generation speed in its role.
        since_change_s: Seconds since its last role change; infinite if none was observed.
    """

    backend: str
    role: Role = Role.MIXED
    state: BackendState = BackendState.SERVING
    fresh: bool = True
    withdrawn: bool = False
    applied_order: int = NO_OFFSET
    newest_order: int = NO_OFFSET
    load: PredictedLoad = attrs.field(factory=PredictedLoad)
    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0
    since_change_s: float = math.inf

    @property
    def serving(self) -> bool:
        """Whether it accepts new work, according to its reports and the configuration."""
        return self.fresh and not self.withdrawn and self.state is BackendState.SERVING

    @property
    def has_open_order(self) -> bool:
        """Whether it has not yet reported its newest order as applied."""
        return self.newest_order > self.applied_order


@attrs.frozen
class ServiceView:
    """State of one service, as known to the holder of the controller lease.

    Attributes:
        service: Name of the service.
        engines: Its engines.
        mix: Averaged token rates of its engines.
        call_classes: Token rates of the calls that this entry sends to it, by class.
        changes: Observed role changes, oldest first.
        refused: Token rates of refused calls.
    """

    service: str
    engines: tuple[EngineView, ...]
    mix: MixEstimate = attrs.field(factory=MixEstimate)
    call_classes: tuple[CallClass, ...] = ()
    changes: tuple[RoleChange, ...] = ()
    refused: TokenRates = attrs.field(factory=TokenRates)

    @property
    def serving(self) -> tuple[EngineView, ...]:
        """The engines that accept new work."""
        return tuple(engine for engine in self.engines if engine.serving)

    @property
    def since_change_s(self) -> float:
        """Seconds since the last role change in the service; infinite if none was observed."""
        return min((engine.since_change_s for engine in self.engines), default=math.inf)

    def find(self, backend: str) -> EngineView | None:
        """Return the engine of a backend server, or None if it is not in the service."""
        return next((engine for engine in self.engines if engine.backend == backend), None)


@attrs.frozen
class DecisionFigures:
    """Figures on which a decision is based, for the time line.

    Attributes:
        gain_s: Expected gain over the horizon, in engine seconds of useful work.
        cost_s: Expected loss during the change, in weighted engine seconds.
        utilisation_now: Ratio of offered work to capacity with the present roles.
        utilisation_after: Ratio of offered work to capacity with the new role.
        prompt_per_s: Prompt tokens per second.
        output_per_s: Output tokens per second.
        prefill_share: Share of prefill in the engine time.
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
    """A role change to order.

    Attributes:
        backend: Backend server whose engine changes its role.
        role: New role.
        reason: Reason, for the order and the time line.
        figures: Figures on which the decision is based.
    """

    backend: str
    role: Role
    reason: str
    figures: DecisionFigures = attrs.field(factory=DecisionFigures)


def build_service_view(
    fleet: Fleet, service: str, newest_order: Callable[[str], int], now: float
) -> ServiceView:
    """Return the state of a service from load reports and the control stream.

    Args:
        fleet: State of the backend servers as known to this entry.
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
    fleet: Fleet, view: BackendView, newest_order: Callable[[str], int], since_change_s: float
) -> EngineView:
    report = view.report
    if report is None:
        return EngineView(
            view.name, state=BackendState.DOWN, fresh=False, newest_order=newest_order(view.name)
        )
    return EngineView(
        view.name,
        role=report.role,
        state=BackendState.LEAVING if view.leaving else report.state,
        fresh=fleet.is_fresh(view),
        withdrawn=view.name in fleet.withdrawn,
        applied_order=report.order_offset,
        newest_order=newest_order(view.name),
        load=view.predicted,
        prefill_tokens_per_s=report.prefill_tokens_per_s,
        decode_tokens_per_s=report.decode_tokens_per_s,
        since_change_s=since_change_s,
    )
