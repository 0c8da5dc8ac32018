"""Queueing estimate of what a service achieves with a set of roles."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from statistics import fmean

import attrs

from figwalk.coordination._role_view import EngineView
from figwalk.protocol.messages import Role
from figwalk.state.demand import CallClass
from figwalk.state.mix import TokenRates

# Speeds relative to a mixed engine until an engine has reported its speeds in a role.
ASSUMED_PREFILL_FACTOR = {Role.MIXED: 1.0, Role.PREFILL: 2.0, Role.DECODE: 0.4}
ASSUMED_DECODE_FACTOR = {Role.MIXED: 1.0, Role.PREFILL: 0.4, Role.DECODE: 2.0}

# Work that may wait for each engine and still finish in time, in calls. It bounds the queue of
# the estimate, as the agents' admission bounds the real one.
PLACES_PER_ENGINE = 2

MAX_UTILISATION = 100.0
BISECTION_STEPS = 20  # To 0.0001 of utilisation.


@attrs.frozen
class EngineSpeed:
    """Speeds of an engine when it does nothing else.

    Attributes:
        prefill: Prompt tokens a second.
        decode: Generated tokens a second.
    """

    prefill: float
    decode: float

    def work_s(self, call_class: CallClass) -> float:
        """Return the engine seconds that one second of a class of calls takes."""
        return call_class.prompt_per_s / self.prefill + call_class.output_per_s / self.decode


@attrs.frozen
class EngineGroup:
    """Engines of one role.

    Attributes:
        speed: Speeds of each of them.
        count: Number of engines.
    """

    speed: EngineSpeed
    count: int


class SpeedBook:
    """Speeds of each role, as engines of a service reported them."""

    def __init__(self) -> None:
        self._speeds: dict[Role, EngineSpeed] = {}

    def learn(self, engines: Iterable[EngineView]) -> None:
        """Take over the mean of the reported speeds of each role."""
        measured: dict[Role, list[EngineView]] = {}
        for engine in engines:
            if engine.prefill_tokens_per_s > 0 and engine.decode_tokens_per_s > 0:
                measured.setdefault(engine.role, []).append(engine)
        for role, group in measured.items():
            self._speeds[role] = EngineSpeed(
                fmean(engine.prefill_tokens_per_s for engine in group),
                fmean(engine.decode_tokens_per_s for engine in group),
            )

    def groups(self, roles: Mapping[Role, int]) -> list[EngineGroup]:
        """Return the engines of a set of roles with their speeds; empty if none is known."""
        speeds = {role: self.speed(role) for role, count in roles.items() if count > 0}
        return [EngineGroup(speed, roles[role]) for role, speed in speeds.items() if speed]

    def speed(self, role: Role) -> EngineSpeed | None:
        """Return the speeds of a role, or None if no role has reported any."""
        if role in self._speeds:
            return self._speeds[role]
        if not self._speeds:
            return None
        known, speed = next(iter(self._speeds.items()))
        return EngineSpeed(
            speed.prefill * ASSUMED_PREFILL_FACTOR[role] / ASSUMED_PREFILL_FACTOR[known],
            speed.decode * ASSUMED_DECODE_FACTOR[role] / ASSUMED_DECODE_FACTOR[known],
        )


def scale_classes(classes: Sequence[CallClass], rates: TokenRates) -> tuple[CallClass, ...]:
    """Return classes with the shape that one entry sees and the totals of the whole service."""
    prompt = sum(item.prompt_per_s for item in classes)
    output = sum(item.output_per_s for item in classes)
    if prompt <= 0 or output <= 0:
        return (CallClass(rates.prompt_per_s, rates.output_per_s),)
    prompt_factor = rates.prompt_per_s / prompt
    output_factor = rates.output_per_s / output
    return tuple(
        CallClass(item.prompt_per_s * prompt_factor, item.output_per_s * output_factor)
        for item in classes
    )


def estimate_utilisation(groups: Sequence[EngineGroup], classes: Sequence[CallClass]) -> float:
    """Return the offered work for the capacity when calls go to the engines that suit them best.

    A whole call runs at one engine, so that each class is work of its own. The engines that are
    best at prompts take the most prompt-heavy calls, and so on down; the utilisation is the
    smallest one at which all work finds a place in this order.
    """
    if not groups:
        return MAX_UTILISATION
    engines = sorted(groups, key=_prompt_preference, reverse=True)
    work = sorted(classes, key=lambda item: item.ratio, reverse=True)
    low, high = 0.0, MAX_UTILISATION
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if _fits(engines, work, middle):
            high = middle
        else:
            low = middle
    return high


def estimate_goodput(utilisation: float, engine_count: int) -> float:
    """Return the share of calls that finish in time, from the M/M/1/K loss formula."""
    places = PLACES_PER_ENGINE * engine_count
    if places <= 0:
        return 0.0
    if math.isclose(utilisation, 1.0, rel_tol=1e-6):
        return places / (places + 1)
    if utilisation > 1.0:
        inverse = 1.0 / utilisation
        lost = (1.0 - inverse) / (1.0 - inverse ** (places + 1))
    else:
        lost = (1.0 - utilisation) * utilisation**places / (1.0 - utilisation ** (places + 1))
    return 1.0 - lost


def _prompt_preference(group: EngineGroup) -> float:
    return group.speed.prefill / group.speed.decode


def _fits(engines: Sequence[EngineGroup], classes: Sequence[CallClass], utilisation: float) -> bool:
    """Return whether the engines, each busy for a share of the time, can do the work in order."""
    remaining = list(classes)
    for group in engines:
        free_s = utilisation * group.count
        while remaining and free_s > 0:
            needed_s = group.speed.work_s(remaining[0])
            if needed_s <= free_s:
                free_s -= needed_s
                remaining.pop(0)
                continue
            left = 1.0 - free_s / needed_s
            first = remaining[0]
            remaining[0] = CallClass(first.prompt_per_s * left, first.output_per_s * left)
            free_s = 0.0
    return not remaining
