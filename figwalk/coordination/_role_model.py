"""Queueing model of the utilisation and goodput of a service with given engine roles."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from statistics import fmean

import attrs

from figwalk.coordination._role_view import EngineView
from figwalk.protocol.messages import Role
from figwalk.state.demand import CallClass
from figwalk.state.mix import TokenRates

# Speeds relative to a mixed engine, assumed until an engine has reported its speeds in a role.
ASSUMED_PREFILL_FACTOR = {Role.MIXED: 1.0, Role.PREFILL: 2.0, Role.DECODE: 0.4}
ASSUMED_DECODE_FACTOR = {Role.MIXED: 1.0, Role.PREFILL: 0.4, Role.DECODE: 2.0}

# Number of calls per engine that may wait and still finish in time. It bounds the queue of the
# model, as the admission queues of the agents bound the real one.
QUEUE_SLOTS_PER_ENGINE = 2

MAX_UTILISATION = 100.0
BISECTION_STEPS = 20  # Gives a precision of 0.0001 of utilisation.


@attrs.frozen
class EngineSpeed:
    """Prefill and decode speeds of an engine, each without the other work.

    Attributes:
        prefill: Prompt tokens per second.
        decode: Generated tokens per second.
    """

    prefill: float
    decode: float

    def work_s(self, call_class: CallClass) -> float:
        """Return the engine seconds needed for one second of arrivals of a class of calls."""
        return call_class.prompt_per_s / self.prefill + call_class.output_per_s / self.decode


@attrs.frozen
class EngineGroup:
    """Engines with the same role.

    Attributes:
        speed: Speeds of each engine.
        count: Number of engines.
    """

    speed: EngineSpeed
    count: int


class RoleSpeeds:
    """Engine speeds by role, from the reports of the engines of a service."""

    def __init__(self) -> None:
        self._speeds: dict[Role, EngineSpeed] = {}

    def update(self, engines: Iterable[EngineView]) -> None:
        """Set the speeds of each role to the mean of those that its engines report."""
        measured: dict[Role, list[EngineView]] = {}
        for engine in engines:
            if engine.prefill_tokens_per_s > 0 and engine.decode_tokens_per_s > 0:
                measured.setdefault(engine.role, []).append(engine)
        for role, group in measured.items():
            self._speeds[role] = EngineSpeed(
                fmean(engine.prefill_tokens_per_s for engine in group),
                fmean(engine.decode_tokens_per_s for engine in group),
            )

    def group_engines(self, roles: Mapping[Role, int]) -> list[EngineGroup]:
        """Return the engines by role with their speeds; empty if no speeds are known."""
        speeds = {role: self.speed(role) for role, count in roles.items() if count > 0}
        return [EngineGroup(speed, roles[role]) for role, speed in speeds.items() if speed]

    def speed(self, role: Role) -> EngineSpeed | None:
        """Return the speeds of a role, assumed from another if needed; None if none is known."""
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
    """Scale the call classes of one entry to the total token rates of the service."""
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
    """Return the ratio of offered work to capacity if calls run on the engines that suit them best.

    Each call runs entirely on one engine, so the classes are assigned to engines separately. The
    engines with the highest ratio of prefill to decode speed take the classes with the highest
    ratio of prompt to output tokens, and so on in descending order. The utilisation is the lowest
    one at which this assigns all work.
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
    """Return the share of calls that finish in time, by the M/M/1/K loss formula."""
    places = QUEUE_SLOTS_PER_ENGINE * engine_count
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
    """Return whether engines that are busy for this share of the time can do all work in order."""
    remaining = list(classes)
    for group in engines:
        free_s = utilisation * group.count
        while remaining and free_s > 0:
            needed_s = group.speed.work_s(remaining[0])
            if needed_s <= free_s:
                free_s -= needed_s
                remaining.pop(0)
                continue
            remaining_share = 1.0 - free_s / needed_s
            first = remaining[0]
            remaining[0] = CallClass(
                first.prompt_per_s * remaining_share, first.output_per_s * remaining_share
            )
            free_s = 0.0
    return not remaining
