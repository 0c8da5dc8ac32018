"""Routing policies, which choose the backend server for a request."""

from __future__ import annotations

import itertools
import random
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Sequence

import attrs

from figwalk.errors import SettingsError
from figwalk.protocol.messages import LoadReport, Priority, Role
from figwalk.protocol.prefix import PIECE_TOKENS
from figwalk.state.fleet import BackendView, PredictedLoad
from figwalk.state.prefixes import PrefixIndex
from figwalk.state.published import Preset
from figwalk.timer import MS_PER_S

# Network round trips of the current deployments, to another zone and to another region.
ZONE_ROUND_TRIP_S = 0.002
REGION_ROUND_TRIP_S = 0.024

# Speeds assumed until an engine reports measured ones; they only need to rank the roles.
UNMEASURED_PREFILL_TOKENS_PER_S = 10_000.0
UNMEASURED_DECODE_TOKENS_PER_S = 1_000.0
UNMEASURED_WEAK_ROLE_FACTOR = 0.25

# Part of a step of continuous batching that does not depend on the number of calls in the batch.
STEP_BASE_S = 0.01

# Output tokens that count towards the cost of a choice. Answers usually end well before
# `max_tokens`, and with the maximum length the token interval would outweigh all else. The first
# token matters more for interactive calls, the end of the answer more for batch calls.
COSTED_OUTPUT_TOKENS = {Priority.INTERACTIVE: 64, Priority.NORMAL: 256, Priority.BATCH: 1024}

# Service time assumed for a call to a plain service, which is not measured; it only needs to rank
# backend servers by calls in flight.
PLAIN_CALL_S = 0.02

# The choice is random among the backend servers whose cost is this close to the lowest one. Reports
# lag by 250 ms or more, so that smaller differences are not significant. The calls that this entry
# has sent since are known, however: a ratio of 1.1, which corresponds to three more calls in a
# batch of 16, distributed work unevenly over equal engines.
NEAR_BEST_RATIO = 1.02
NEAR_BEST_S = 0.02


@attrs.frozen
class RouteRequest:
    """Properties of a request that routing depends on.

    Attributes:
        service: Name of the service.
        zone: Availability zone of this entry.
        region: Region of this entry.
        model: Requested model, or None.
        prompt_tokens: Estimated prompt length; 0 for plain services.
        max_tokens: Maximum answer length; 0 for plain services.
        pieces: Hashes of the complete prefix pieces of the prompt.
        priority: Priority class.
        deadline: Timer time by which the answer must be complete, or None.
        first_token_due: Timer time by which the first token is due, or None.
    """

    service: str
    zone: str
    region: str
    model: str | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    pieces: Sequence[int] = ()
    priority: Priority = Priority.NORMAL
    deadline: float | None = None
    first_token_due: float | None = None


@attrs.frozen
class Choice:
    """A backend server with the times predicted for a request.

    Attributes:
        backend: Name of the backend server.
        first_token_s: Predicted seconds to the first token.
        token_interval_s: Predicted seconds between tokens.
        matched_tokens: Prompt tokens that are probably in its prefix cache.
        crosses_region: Whether the backend server is in another region than the entry.
        reason: Reason for the choice, shown in the request's time line.
    """

    backend: str
    first_token_s: float
    token_interval_s: float
    matched_tokens: int
    crosses_region: bool
    reason: str

    def with_reason(self, reason: str) -> Choice:
        """Return a copy with another reason; `attrs.evolve` takes over twice as long."""
        return Choice(
            self.backend,
            self.first_token_s,
            self.token_interval_s,
            self.matched_tokens,
            self.crosses_region,
            reason,
        )


class Predictor:
    """Predicts the latencies of a request at a backend server.

    Args:
        prefixes: Which backend server holds which prefix piece.
    """

    def __init__(self, prefixes: PrefixIndex) -> None:
        self._prefixes = prefixes

    def predict(
        self, request: RouteRequest, view: BackendView, now: float, *, reason: str = ""
    ) -> Choice:
        """Return a backend server as a choice, with its predicted times."""
        report = view.report or LoadReport(0, view.name)
        load = view.predicted
        matched = self._count_matched_tokens(request, view, now)
        wait_s = self._predict_wait_s(report, load, view.sent_backlog_tokens(now))
        prompt_s = (request.prompt_tokens - matched) / prefill_speed(report)
        return Choice(
            view.name,
            round_trip_s(request, view) + wait_s + prompt_s,
            self._predict_token_interval_s(report, load) if request.max_tokens else 0.0,
            matched,
            crosses_region(request, view),
            reason,
        )

    def _count_matched_tokens(self, request: RouteRequest, view: BackendView, now: float) -> int:
        pieces = self._prefixes.count_matched(view.name, request.pieces, now)
        return min(pieces * PIECE_TOKENS, request.prompt_tokens)

    def _predict_wait_s(self, report: LoadReport, load: PredictedLoad, sent_tokens: float) -> float:
        """Return the predicted seconds until the prefill of a new call begins."""
        queue_s = report.queue_wait_ms / MS_PER_S
        backlog_s = max(load.prompt_tokens, sent_tokens) / prefill_speed(report)
        return max(queue_s, backlog_s, self._predict_slot_wait_s(report, load))

    def _predict_slot_wait_s(self, report: LoadReport, load: PredictedLoad) -> float:
        """Return the predicted seconds until enough earlier calls end to free a slot."""
        excess_calls = load.calls + 1 - report.max_running
        if excess_calls <= 0:
            return 0.0
        if not load.output_tokens:
            return excess_calls * PLAIN_CALL_S / max(report.max_running, 1)
        drain_s = load.output_tokens / decode_speed(report)
        return drain_s * excess_calls / (load.calls + 1)

    def _predict_token_interval_s(self, report: LoadReport, load: PredictedLoad) -> float:
        """Return the predicted seconds of an engine step with one more call in the batch.

        The reported generation speed applies to a full batch.
        """
        places = max(report.max_running, 1)
        full_step_s = places / decode_speed(report)
        base_s = min(STEP_BASE_S, full_step_s / 2)
        batch_calls = min(load.calls + 1, places)
        return base_s + (full_step_s - base_s) * batch_calls / places


class RoutingPolicy(ABC):
    """Chooses a backend server for a request."""

    @abstractmethod
    def choose(
        self, request: RouteRequest, candidates: Sequence[BackendView], now: float
    ) -> Choice | None:
        """Return the choice among the candidates, or None if there are none.

        Args:
            request: The request.
            candidates: Backend servers that may get a new call.
            now: Timer time.
        """


class PredictedPolicy(RoutingPolicy):
    """Chooses at random among the backend servers with the lowest costs, by predicted times.

    Args:
        prefixes: Which backend server holds which prefix piece.
        region_penalty_s: Cost of a region crossing in seconds, in addition to its round trip.
        seed: Seed of the random choice; it must differ between entries.
    """

    def __init__(
        self,
        prefixes: PrefixIndex,
        *,
        region_penalty_s: float = 0.05,
        seed: int | None = None,
    ) -> None:
        self._predictor = Predictor(prefixes)
        self._region_penalty_s = region_penalty_s
        self._random = random.Random(seed)

    def choose(
        self, request: RouteRequest, candidates: Sequence[BackendView], now: float
    ) -> Choice | None:
        """Return a near-best candidate, among those that meet the deadline if there are any."""
        if not candidates:
            return None
        choices = [self._predictor.predict(request, view, now) for view in candidates]
        in_time = [choice for choice in choices if _meets_deadline(request, choice, now)]
        weighed = [(self._cost_s(request, choice), choice) for choice in in_time or choices]
        near_best = _select_near_best(weighed)
        cost_s, choice = self._pick_better_of_two(near_best)
        reason = f"cost {cost_s:.3f} s, {len(near_best)} of {len(choices)} near best"
        if not in_time:
            reason += ", none meets the deadline"
        return choice.with_reason(reason)

    def _pick_better_of_two(self, near_best: list[tuple[float, Choice]]) -> tuple[float, Choice]:
        """Return the better one of two random choices."""
        if len(near_best) == 1:
            return near_best[0]
        # Drawn with replacement: without it, two candidates would always yield the better one, and
        # every entry would send to the same backend server until that server's next report.
        return min(self._random.choices(near_best, k=2), key=lambda pair: pair[0])

    def _cost_s(self, request: RouteRequest, choice: Choice) -> float:
        output_tokens = min(request.max_tokens, COSTED_OUTPUT_TOKENS[request.priority])
        cost_s = choice.first_token_s + output_tokens * choice.token_interval_s
        return cost_s + (self._region_penalty_s if choice.crosses_region else 0.0)


class LeastLoadPolicy(RoutingPolicy):
    """Baseline: chooses the lowest ratio of calls to slots, and the nearest among equals.

    Args:
        prefixes: Which backend server holds which prefix piece, for the predicted times.
    """

    def __init__(self, prefixes: PrefixIndex) -> None:
        self._predictor = Predictor(prefixes)

    def choose(
        self, request: RouteRequest, candidates: Sequence[BackendView], now: float
    ) -> Choice | None:
        """Return the candidate with the lowest ratio of calls to slots."""
        if not candidates:
            return None
        view = min(candidates, key=lambda view: (_relative_load(view), round_trip_s(request, view)))
        return self._predictor.predict(request, view, now, reason="least load")


class RoundRobinPolicy(RoutingPolicy):
    """Baseline: cycles through the candidates of each service.

    Args:
        prefixes: Which backend server holds which prefix piece, for the predicted times.
    """

    def __init__(self, prefixes: PrefixIndex) -> None:
        self._predictor = Predictor(prefixes)
        self._turns: defaultdict[str, itertools.count[int]] = defaultdict(itertools.count)

    def choose(
        self, request: RouteRequest, candidates: Sequence[BackendView], now: float
    ) -> Choice | None:
        """Return the next candidate in the order of names."""
        if not candidates:
            return None
        ordered = sorted(candidates, key=lambda view: view.name)
        view = ordered[next(self._turns[request.service]) % len(ordered)]
        return self._predictor.predict(request, view, now, reason="round robin")


ROUTING_POLICIES = ("predicted", "least_load", "round_robin")


def make_policy(
    name: str, *, prefixes: PrefixIndex, preset: Preset, seed: int | None = None
) -> RoutingPolicy:
    """Return a routing policy by its name in a preset.

    Args:
        name: One of `ROUTING_POLICIES`.
        prefixes: Which backend server holds which prefix piece.
        preset: Preset with the region penalty.
        seed: Seed of the random choice.

    Raises:
        SettingsError: There is no policy of that name.
    """
    if name == "predicted":
        penalty_s = preset.region_penalty_ms / MS_PER_S
        return PredictedPolicy(prefixes, region_penalty_s=penalty_s, seed=seed)
    if name == "least_load":
        return LeastLoadPolicy(prefixes)
    if name == "round_robin":
        return RoundRobinPolicy(prefixes)
    raise SettingsError([f"routing_policy: {name!r} is not one of {', '.join(ROUTING_POLICIES)}"])


def crosses_region(request: RouteRequest, view: BackendView) -> bool:
    """Return whether a backend server is in another region than the entry."""
    return view.region != request.region


def round_trip_s(request: RouteRequest, view: BackendView) -> float:
    """Return the assumed seconds of a network round trip to a backend server."""
    if crosses_region(request, view):
        return REGION_ROUND_TRIP_S
    return ZONE_ROUND_TRIP_S if view.zone != request.zone else 0.0


def prefill_speed(report: LoadReport) -> float:
    """Return the prefill tokens per second of an engine; assumed by its role if unmeasured."""
    if report.prefill_tokens_per_s > 0:
        return report.prefill_tokens_per_s
    weak = report.role is Role.DECODE
    return UNMEASURED_PREFILL_TOKENS_PER_S * (UNMEASURED_WEAK_ROLE_FACTOR if weak else 1.0)


def decode_speed(report: LoadReport) -> float:
    """Return the generated tokens per second of an engine; assumed by its role if unmeasured."""
    if report.decode_tokens_per_s > 0:
        return report.decode_tokens_per_s
    weak = report.role is Role.PREFILL
    return UNMEASURED_DECODE_TOKENS_PER_S * (UNMEASURED_WEAK_ROLE_FACTOR if weak else 1.0)


def _meets_deadline(request: RouteRequest, choice: Choice, now: float) -> bool:
    if request.first_token_due is not None and now + choice.first_token_s > request.first_token_due:
        return False
    if request.deadline is None:
        return True
    output_s = request.max_tokens * choice.token_interval_s
    return now + choice.first_token_s + output_s <= request.deadline


def _select_near_best(weighed: list[tuple[float, Choice]]) -> list[tuple[float, Choice]]:
    best_s = min(cost_s for cost_s, _ in weighed)
    limit_s = best_s * NEAR_BEST_RATIO + NEAR_BEST_S
    return [pair for pair in weighed if pair[0] <= limit_s]


def _relative_load(view: BackendView) -> float:
    places = view.report.max_running if view.report else 1
    return view.predicted.calls / max(places, 1)
