"""Role policies: which engine of a service should take another role."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterator, Sequence
from itertools import pairwise
from statistics import fmean

import attrs

from figwalk.coordination._role_model import (
    SpeedBook,
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

HORIZON_S = 60.0  # The prompt-to-output ratio changes within minutes.

# Rates measured while an engine was away say little about the service with its new roles.
SETTLE_S = FAST_AVERAGE_S

# Rates of a few seconds of arrivals are noisy, and a decision each second takes the first peak.
# Without this time the six changes of the first goodput measurements were ordered at a gain of 1.0
# to 1.12 times the cost.
CONFIRM_S = 15.0

# Engine seconds that a change takes until one has been seen.
ASSUMED_AWAY_S = 5.0

# While an engine drains, its batch empties; on average half of it is lost.
DRAIN_LOSS = 0.5

# Each reversal within this time doubles the cost of the next change, so that a mix that swings
# back and forth costs a few changes and not one in each swing.
REVERSAL_MEMORY_S = 600.0
MAX_REVERSALS = 6

MIN_TOKENS_PER_S = 1.0

_PROMPT_ORDER = {Role.DECODE: 0, Role.MIXED: 1, Role.PREFILL: 2}


class RolePolicy(ABC):
    """Decides on role changes of one service; it has one instance for each service."""

    @abstractmethod
    def decide(self, view: ServiceView, now: float) -> RoleDecision | None:
        """Return the change to order now, or None.

        Args:
            view: The service.
            now: Timer time.
        """


class FixedPolicy(RolePolicy):
    """Keeps all roles as they are."""

    def decide(self, view: ServiceView, now: float) -> RoleDecision | None:
        """Return None."""
        return None


class ThresholdPolicy(RolePolicy):
    """Baseline: moves one engine when prefill's share of the work is far from that of the roles.

    Args:
        threshold: Difference of the shares above which an engine changes.
        min_dwell_s: Seconds between two changes in the service.
    """

    def __init__(self, *, threshold: float = 0.25, min_dwell_s: float = 30.0) -> None:
        self._threshold = threshold
        self._min_dwell_s = min_dwell_s
        self._speeds = SpeedBook()

    def decide(self, view: ServiceView, now: float) -> RoleDecision | None:
        """Return a change by one step towards the mix."""
        self._speeds.learn(view.serving)
        if find_blocker(view) or view.changed_s < self._min_dwell_s:
            return None
        work_share = _estimate_prefill_share(self._speeds, (_mean_class(view.mix.fast),))
        if work_share is None or not view.serving:
            return None
        role_share = fmean(_PROMPT_ORDER[engine.role] / 2 for engine in view.serving)
        difference = work_share - role_share
        if abs(difference) <= self._threshold:
            return None
        return self._move(view, 1 if difference > 0 else -1, work_share)

    def _move(self, view: ServiceView, step: int, work_share: float) -> RoleDecision | None:
        """Return a change of the engine that is furthest from where the mix goes."""
        roles = {order: role for role, order in _PROMPT_ORDER.items()}
        ordered = sorted(view.serving, key=lambda engine: step * _PROMPT_ORDER[engine.role])
        for engine in ordered:
            role = roles.get(_PROMPT_ORDER[engine.role] + step)
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
    """Changes an engine when the expected gain exceeds the weighted loss of its engine seconds.

    Args:
        role_change_weight: Weight of a lost engine second against a useful one.
        min_dwell_s: Seconds that an engine keeps a role at least.
        horizon_s: Seconds over which a gain is counted.
        confirm_s: Seconds for which a change must be worthwhile without a break.
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
        self._speeds = SpeedBook()

    def decide(self, view: ServiceView, now: float) -> RoleDecision | None:
        """Return the change with the largest gain beyond its cost, if it is confirmed."""
        worthwhile = self._list_worthwhile(view, now)
        # Engines of one role differ little, so that the new role alone identifies a change.
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
        """Return the changes whose gain exceeds their cost by the present figures."""
        self._speeds.learn(view.serving)
        if find_blocker(view) or not self._is_settled(view):
            return []
        demand = self._estimate_demand(view)
        if demand is None:
            return []
        history = _read_history(view.changes, now)
        plans = [
            self._evaluate(view, engine, role, demand, history)
            for engine, role in self._list_changes(view)
        ]
        return [plan for plan in plans if plan.figures.gain_s > plan.figures.cost_s]

    def _is_settled(self, view: ServiceView) -> bool:
        return view.changed_s >= SETTLE_S and view.mix.observed_s >= SETTLE_S

    def _estimate_demand(self, view: ServiceView) -> tuple[CallClass, ...] | None:
        """Return the work to expect over the horizon: processed, queued up and refused."""
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
        """Yield the allowed changes of the engine of each role that loses least."""
        for role in Role:
            engines = [
                engine
                for engine in view.serving
                if engine.role is role and engine.changed_s >= self._min_dwell_s
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
        history: _History,
    ) -> RoleDecision:
        """Return the decision to make a change, with its gain and cost.

        A gain lasts no longer than the mix did between the last reversals.
        """
        present = Counter(item.role for item in view.serving)
        during = present - Counter([engine.role])
        after = during + Counter([target])
        states = [self._estimate(roles, demand) for roles in (present, during, after)]
        work = states[2].utilisation * after.total()
        lost_s = _estimate_away_s(view.changes) + DRAIN_LOSS * _estimate_drain_s(engine)
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

    def _estimate(self, roles: Counter[Role], demand: Sequence[CallClass]) -> _Achievement:
        utilisation = estimate_utilisation(self._speeds.groups(roles), demand)
        return _Achievement(utilisation, estimate_goodput(utilisation, roles.total()))


ROLE_POLICIES = ("adaptive", "threshold", "fixed")


def make_role_policy(preset: Preset) -> RolePolicy:
    """Return the role policy of a preset.

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
class _Achievement:
    """What a service achieves with a set of roles."""

    utilisation: float
    goodput: float


def _mean_class(rates: TokenRates) -> CallClass:
    return CallClass(rates.prompt_per_s, rates.output_per_s)


def _estimate_prefill_share(speeds: SpeedBook, demand: Sequence[CallClass]) -> float | None:
    """Return prefill's share of the work of mixed engines, or None without work or speeds."""
    speed = speeds.speed(Role.MIXED)
    if speed is None:
        return None
    prefill_s = sum(item.prompt_per_s for item in demand) / speed.prefill
    decode_s = sum(item.output_per_s for item in demand) / speed.decode
    total_s = prefill_s + decode_s
    return prefill_s / total_s if total_s > 0 else None


def _estimate_drain_s(engine: EngineView) -> float:
    """Return the time that an engine needs for the work it has."""
    drain_s = 0.0
    if engine.prefill_tokens_per_s > 0:
        drain_s += engine.load.prompt_tokens / engine.prefill_tokens_per_s
    if engine.decode_tokens_per_s > 0:
        drain_s += engine.load.output_tokens / engine.decode_tokens_per_s
    return drain_s


def _estimate_away_s(changes: Sequence[RoleChange]) -> float:
    seen = [change.away_s for change in changes if change.away_s > 0]
    return fmean(seen) if seen else ASSUMED_AWAY_S


def _direction(before: Role, after: Role) -> int:
    return 1 if _PROMPT_ORDER[after] > _PROMPT_ORDER[before] else -1


@attrs.frozen
class _History:
    """What the recent changes of role say of the next one.

    Attributes:
        direction: Direction of the last change; 0 if there was none.
        reversals: Changes whose direction was opposite to the one before.
        persistence_s: Mean time between reversals; infinite without any.
    """

    direction: int = 0
    reversals: int = 0
    persistence_s: float = math.inf

    def cost_factor(self, before: Role, after: Role) -> float:
        """Return the factor on the cost of a change for what was reversed before."""
        reverses = self.direction not in (0, _direction(before, after))
        return 2.0 ** min(self.reversals + int(reverses), MAX_REVERSALS)


def _read_history(changes: Sequence[RoleChange], now: float) -> _History:
    recent = [change for change in changes if now - change.at <= REVERSAL_MEMORY_S]
    if not recent:
        return _History()
    directions = [_direction(change.before, change.after) for change in recent]
    turns = [
        change.at
        for change, (first, second) in zip(recent[1:], pairwise(directions), strict=True)
        if first != second
    ]
    if not turns:
        return _History(directions[-1])
    persistence_s = (turns[-1] - recent[0].at) / len(turns)
    return _History(directions[-1], len(turns), persistence_s)
