"""Role policies, which decide when an engine of a service should change its role."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterator, Sequence
from itertools import pairwise
from statistics import fmean

import attrs

from figwalk.coordination._role_model import (
    RoleSpeeds,
    estimate_goodput,
    estimate_utilisation,
    scale_classes,
)
from figwalk.coordination._role_rules import find_blocker, find_violation
from figwalk.coordination._role_view import DecisionFigures, EngineView, RoleDecision, ServiceView
from figwalk.errors import SettingsError
from figwalk.protocol.messages import Role
from figwalk.state.demand import CallClass
from figwalk.state.fleet import RoleChange
from figwalk.state.mix import FAST_AVERAGE_S, TokenRates
from figwalk.state.published import Preset

HORIZON_S = 60.0  # The prompt-to-output ratio of the demand changes within minutes.

# Token rates measured during a role change do not represent the service with its new roles.
SETTLE_S = FAST_AVERAGE_S

# Token rates over a few seconds are noisy, and a policy that decides every second would react to
# the first peak. Without this time, the six changes in the first goodput measurements were ordered
# at a gain of only 1.0 to 1.12 times the cost.
CONFIRM_S = 15.0

# Engine seconds that a role change is assumed to take until one has been observed.
ASSUMED_UNAVAILABLE_S = 5.0

# Share of the drain time that is lost: the batch of a draining engine shrinks to nothing, so that
# half of its capacity is unused on average.
DRAIN_LOSS = 0.5

# Each reversal within this time doubles the cost of the next change, so that an oscillating demand
# causes a few changes rather than one in each period.
REVERSAL_MEMORY_S = 600.0
MAX_REVERSALS = 6

MIN_TOKENS_PER_S = 1.0

_PREFILL_RANK = {Role.DECODE: 0, Role.MIXED: 1, Role.PREFILL: 2}


class RolePolicy(ABC):
    """Decides on role changes of one service; each service has its own instance."""

    @abstractmethod
    def decide(self, view: ServiceView, now: float) -> RoleDecision | None:
        """Return the change to order now, or None.

        Args:
            view: State of the service.
            now: Timer time.
        """


class FixedPolicy(RolePolicy):
    """Never changes a role."""

    def decide(self, view: ServiceView, now: float) -> RoleDecision | None:
        """Return None."""
        return None


class ThresholdPolicy(RolePolicy):
    """Baseline: changes one engine when the roles do not match the share of prefill in the work.

    Args:
        threshold: Difference between the prefill share of the work and that of the roles above
            which an engine changes its role.
        min_dwell_s: Minimum seconds between two role changes in the service.
    """

    def __init__(self, *, threshold: float = 0.25, min_dwell_s: float = 30.0) -> None:
        self._threshold = threshold
        self._min_dwell_s = min_dwell_s
        self._speeds = RoleSpeeds()

    def decide(self, view: ServiceView, now: float) -> RoleDecision | None:
        """Return a change by one step towards the prefill share of the work, or None."""
        self._speeds.update(view.serving)
        if find_blocker(view) or view.since_change_s < self._min_dwell_s:
            return None
        work_share = _estimate_prefill_share(self._speeds, (_as_single_class(view.mix.fast),))
        if work_share is None or not view.serving:
            return None
        role_share = fmean(_PREFILL_RANK[engine.role] / 2 for engine in view.serving)
        difference = work_share - role_share
        if abs(difference) <= self._threshold:
            return None
        return self._change_one_engine(view, 1 if difference > 0 else -1, work_share)

    def _change_one_engine(
        self, view: ServiceView, step: int, work_share: float
    ) -> RoleDecision | None:
        """Return an allowed change of the engine whose role is furthest from the work, or None."""
        roles = {order: role for role, order in _PREFILL_RANK.items()}
        ordered = sorted(view.serving, key=lambda engine: step * _PREFILL_RANK[engine.role])
        for engine in ordered:
            role = roles.get(_PREFILL_RANK[engine.role] + step)
            if role is not None and not find_violation(view, engine.backend, role):
                figures = DecisionFigures(
                    prompt_per_s=view.mix.fast.prompt_per_s,
                    output_per_s=view.mix.fast.output_per_s,
                    prefill_share=work_share,
                )
                reason = f"prefill is {work_share:.0%} of the work"
                return RoleDecision(engine.backend, role, reason, figures)
        return None


class AdaptivePolicy(RolePolicy):
    """Changes a role when the expected gain exceeds the weighted engine seconds lost by the change.

    Args:
        role_change_weight: Weight of a lost engine second relative to a useful one.
        min_dwell_s: Minimum seconds that an engine keeps a role.
        horizon_s: Seconds over which a gain is counted.
        confirm_s: Seconds for which a change must be continuously worthwhile.
    """

    def __init__(
        self,
        *,
        role_change_weight: float = 1.0,
        min_dwell_s: float = 30.0,
        horizon_s: float = HORIZON_S,
        confirm_s: float = 0.0,
    ) -> None:
        self._weight = role_change_weight
        self._min_dwell_s = min_dwell_s
        self._horizon_s = horizon_s
        self._confirm_s = confirm_s
        self._worthwhile_since: dict[Role, float] = {}
        self._speeds = RoleSpeeds()

    def decide(self, view: ServiceView, now: float) -> RoleDecision | None:
        """Return the confirmed change with the largest difference of gain and cost, or None."""
        worthwhile = self._list_worthwhile(view, now)
        # Engines of the same role differ little, so the new role alone identifies a change.
        since = self._worthwhile_since
        self._worthwhile_since = {plan.role: since.get(plan.role, now) for plan in worthwhile}
        confirmed = [
            plan
            for plan in worthwhile
            if now - self._worthwhile_since[plan.role] >= self._confirm_s
        ]
        if not confirmed:
            return None
        return max(confirmed, key=lambda plan: plan.figures.gain_s - plan.figures.cost_s)

    def _list_worthwhile(self, view: ServiceView, now: float) -> list[RoleDecision]:
        """Return the allowed changes whose gain exceeds their cost at present."""
        self._speeds.update(view.serving)
        if find_blocker(view) or not self._is_settled(view):
            return []
        demand = self._estimate_demand(view)
        if demand is None:
            return []
        history = _summarise_changes(view.changes, now)
        plans = [
            self._evaluate(view, engine, role, demand, history)
            for engine, role in self._list_changes(view)
        ]
        return [plan for plan in plans if plan.figures.gain_s > plan.figures.cost_s]

    def _is_settled(self, view: ServiceView) -> bool:
        return view.since_change_s >= SETTLE_S and view.mix.observed_s >= SETTLE_S

    def _estimate_demand(self, view: ServiceView) -> tuple[CallClass, ...] | None:
        """Return the expected work over the horizon: processed, queued and refused."""
        prompt = sum(engine.load.prompt_tokens for engine in view.serving) / self._horizon_s
        output = sum(engine.load.output_tokens for engine in view.serving) / self._horizon_s
        rates = TokenRates(
            view.mix.fast.prompt_per_s + view.refused.prompt_per_s + prompt,
            view.mix.fast.output_per_s + view.refused.output_per_s + output,
        )
        if rates.prompt_per_s + rates.output_per_s < MIN_TOKENS_PER_S:
            return None
        return scale_classes(view.call_classes, rates)

    def _list_changes(self, view: ServiceView) -> Iterator[tuple[EngineView, Role]]:
        """Yield the allowed changes, for each role those of the engine that drains fastest."""
        for role in Role:
            engines = [
                engine
                for engine in view.serving
                if engine.role is role and engine.since_change_s >= self._min_dwell_s
            ]
            if not engines:
                continue
            engine = min(engines, key=_estimate_drain_s)
            for target in Role:
                if not find_violation(view, engine.backend, target):
                    yield engine, target

    def _evaluate(
        self,
        view: ServiceView,
        engine: EngineView,
        target: Role,
        demand: Sequence[CallClass],
        history: _ChangeHistory,
    ) -> RoleDecision:
        """Return a possible change as a decision, with its gain and cost.

        The gain is counted over no longer than the mean time between recent reversals.
        """
        present = Counter(item.role for item in view.serving)
        during = present - Counter([engine.role])
        after = during + Counter([target])
        states = [self._estimate(roles, demand) for roles in (present, during, after)]
        work = states[2].utilisation * after.total()
        lost_s = _estimate_unavailable_s(view.changes) + DRAIN_LOSS * _estimate_drain_s(engine)
        remaining_s = max(0.0, min(self._horizon_s, history.persistence_s) - lost_s)
        gain_s = work * (states[2].goodput - states[0].goodput) * remaining_s
        gain_s -= work * (states[0].goodput - states[1].goodput) * lost_s
        factor = history.cost_factor(engine.role, target)
        figures = DecisionFigures(
            gain_s=gain_s,
            cost_s=self._weight * lost_s * factor,
            utilisation_now=states[0].utilisation,
            utilisation_after=states[2].utilisation,
            prompt_per_s=sum(item.prompt_per_s for item in demand),
            output_per_s=sum(item.output_per_s for item in demand),
            prefill_share=_estimate_prefill_share(self._speeds, demand) or 0.0,
        )
        reason = f"gain {gain_s:.1f} engine seconds for {figures.cost_s:.1f} weighted lost ones"
        return RoleDecision(engine.backend, target, reason, figures)

    def _estimate(self, roles: Counter[Role], demand: Sequence[CallClass]) -> _Performance:
        utilisation = estimate_utilisation(self._speeds.group_engines(roles), demand)
        return _Performance(utilisation, estimate_goodput(utilisation, roles.total()))


ROLE_POLICIES = ("adaptive", "threshold", "fixed")


def make_role_policy(preset: Preset) -> RolePolicy:
    """Return a new role policy as selected by a preset.

    Raises:
        SettingsError: There is no policy of that name.
    """
    if preset.role_policy == "adaptive":
        return AdaptivePolicy(
            role_change_weight=preset.role_change_weight,
            min_dwell_s=preset.min_dwell_s,
            confirm_s=CONFIRM_S,
        )
    if preset.role_policy == "threshold":
        return ThresholdPolicy(min_dwell_s=preset.min_dwell_s)
    if preset.role_policy == "fixed":
        return FixedPolicy()
    names = ", ".join(ROLE_POLICIES)
    raise SettingsError([f"role_policy: {preset.role_policy!r} is not one of {names}"])


@attrs.frozen
class _Performance:
    """Predicted performance of a service with given roles."""

    utilisation: float
    goodput: float


def _as_single_class(rates: TokenRates) -> CallClass:
    return CallClass(rates.prompt_per_s, rates.output_per_s)


def _estimate_prefill_share(speeds: RoleSpeeds, demand: Sequence[CallClass]) -> float | None:
    """Return the prefill share of the work on mixed engines, or None without work or speeds."""
    speed = speeds.speed(Role.MIXED)
    if speed is None:
        return None
    prefill_s = sum(item.prompt_per_s for item in demand) / speed.prefill
    decode_s = sum(item.output_per_s for item in demand) / speed.decode
    total_s = prefill_s + decode_s
    return prefill_s / total_s if total_s > 0 else None


def _estimate_drain_s(engine: EngineView) -> float:
    """Return the seconds that an engine needs for its present work."""
    drain_s = 0.0
    if engine.prefill_tokens_per_s > 0:
        drain_s += engine.load.prompt_tokens / engine.prefill_tokens_per_s
    if engine.decode_tokens_per_s > 0:
        drain_s += engine.load.output_tokens / engine.decode_tokens_per_s
    return drain_s


def _estimate_unavailable_s(changes: Sequence[RoleChange]) -> float:
    seen = [change.unavailable_s for change in changes if change.unavailable_s > 0]
    return fmean(seen) if seen else ASSUMED_UNAVAILABLE_S


def _direction(before: Role, after: Role) -> int:
    return 1 if _PREFILL_RANK[after] > _PREFILL_RANK[before] else -1


@attrs.frozen
class _ChangeHistory:
    """Recent role changes, as far as they affect the cost and gain of the next one.

    Attributes:
        direction: 1 if the last change was towards prefill, -1 if towards decode, 0 if there was
            none.
        reversals: Number of changes whose direction was opposite to the previous one.
        persistence_s: Mean seconds between reversals; infinite without any.
    """

    direction: int = 0
    reversals: int = 0
    persistence_s: float = math.inf

    def cost_factor(self, before: Role, after: Role) -> float:
        """Return the factor on the cost of a change that results from reversals."""
        reverses = self.direction not in (0, _direction(before, after))
        return 2.0 ** min(self.reversals + int(reverses), MAX_REVERSALS)


def _summarise_changes(changes: Sequence[RoleChange], now: float) -> _ChangeHistory:
    recent = [change for change in changes if now - change.at <= REVERSAL_MEMORY_S]
    if not recent:
        return _ChangeHistory()
    directions = [_direction(change.before, change.after) for change in recent]
    reversal_times = [
        change.at
        for change, (first, second) in zip(recent[1:], pairwise(directions), strict=True)
        if first != second
    ]
    if not reversal_times:
        return _ChangeHistory(directions[-1])
    persistence_s = (reversal_times[-1] - recent[0].at) / len(reversal_times)
    return _ChangeHistory(directions[-1], len(reversal_times), persistence_s)
