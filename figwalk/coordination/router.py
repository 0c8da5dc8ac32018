"""Choice of the backend server for a request."""

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

# Round trips of the current deployments.
ZONE_ROUND_TRIP_S = 0.002
REGION_ROUND_TRIP_S = 0.024

# Speeds of an engine that has not measured its own yet; they only have to rank roles.
UNMEASURED_PREFILL_TOKENS_PER_S = 10_000.0
UNMEASURED_DECODE_TOKENS_PER_S = 1_000.0
UNMEASURED_WEAK_SIDE = 0.25

# Part of a step of continuous batching that does not depend on the number of calls in it.
STEP_BASE_S = 0.01

# Answers usually end well before `max_tokens`, so that a choice by the whole length would only
# look at the time between tokens. Interactive calls are judged more by their first token, batch
# calls more by their end.
WEIGHED_OUTPUT_TOKENS = {Priority.INTERACTIVE: 64, Priority.NORMAL: 256, Priority.BATCH: 1024}

# Time in a plain service is not measured; this only has to rank them by calls in flight.
PLAIN_CALL_S = 0.02

# Backend servers this close to the best one are chosen among at random. Reports lag by 250 ms and
# more, so that smaller differences say little; what this entry has sent since is known, so that a
# ratio of 1.1, which is three calls more in a batch of 16, let equal engines get unequal work.
NEAR_BEST_RATIO = 1.02
NEAR_BEST_S = 0.02


@attrs.frozen
class RouteRequest:
    """What routing needs to know of a request.

    Attributes:
        service: Service to be called.
        zone: Availability zone of this entry.
        region: Region of this entry.
        model: Model asked for, or None.
        prompt_tokens: Estimated prompt length; 0 for plain services.
        max_tokens: Largest answer length; 0 for plain services.
        pieces: Hashes of the whole prefix pieces of the prompt.
        priority: Priority class.
        deadline: Timer time at which the answer must be complete, or None.
        first_token_due: Timer time at which the first token is due, or None.
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
    """A chosen backend server.

    Attributes:
        backend: Name of the backend server.
        first_token_s: Predicted time to the first token.
        between_tokens_s: Predicted time between tokens.
        matched_tokens: Prompt tokens that it probably has in its cache.
        crosses_region: Whether it is in another region than the entry.
        reason: Why it was chosen, for the time line.
    """

    backend: str
    first_token_s: float
    between_tokens_s: float
    matched_tokens: int
    crosses_region: bool
    reason: str

    def with_reason(self, reason: str) -> Choice:
        """Return the choice with another reason; `attrs.evolve` takes over twice as long."""
        return Choice(
            self.backend,
            self.first_token_s,
            self.between_tokens_s,
            self.matched_tokens,
            self.crosses_region,
            reason,
        )


class Predictor:
    """Predicts the times of a request at a backend server.

    Args:
        prefixes: Which backend server holds which prefix piece.
    """

    def __init__(self, prefixes: PrefixIndex) -> None:
        self._prefixes = prefixes

    def predict(
        self, request: RouteRequest, view: BackendView, now: float, *, reason: str = ""
    ) -> Choice:
        """Return the choice of a backend server with its predicted times."""
        report = view.report or LoadReport(0, view.name)
        load = view.predicted
        matched = self._count_matched_tokens(request, view, now)
        wait_s = self._predict_wait_s(report, load, view.sent_backlog_tokens(now))
        prompt_s = (request.prompt_tokens - matched) / prefill_speed(report)
        return Choice(
            view.name,
            round_trip_s(request, view) + wait_s + prompt_s,
            self._predict_between_tokens_s(report, load) if request.max_tokens else 0.0,
            matched,
            crosses_region(request, view),
            reason,
        )

    def _count_matched_tokens(self, request: RouteRequest, view: BackendView, now: float) -> int:
        pieces = self._prefixes.count_matched(view.name, request.pieces, now)
        return min(pieces * PIECE_TOKENS, request.prompt_tokens)

    def _predict_wait_s(self, report: LoadReport, load: PredictedLoad, sent_tokens: float) -> float:
        """Return the time until the prefill of a new call begins."""
        queue_s = report.queue_wait_ms / MS_PER_S
        backlog_s = max(load.prompt_tokens, sent_tokens) / prefill_speed(report)
        return max(queue_s, backlog_s, self._predict_slot_wait_s(report, load))

    def _predict_slot_wait_s(self, report: LoadReport, load: PredictedLoad) -> float:
        """Return the time until enough of the calls before a new one have ended."""
        excess = load.calls + 1 - report.max_running
        if excess <= 0:
            return 0.0
        if not load.output_tokens:
            return excess * PLAIN_CALL_S / max(report.max_running, 1)
        drain_s = load.output_tokens / decode_speed(report)
        return drain_s * excess / (load.calls + 1)

    def _predict_between_tokens_s(self, report: LoadReport, load: PredictedLoad) -> float:
        """Return the time of a step with one more call; the report has the full batch's speed."""
        places = max(report.max_running, 1)
        full_step_s = places / decode_speed(report)
        base_s = min(STEP_BASE_S, full_step_s / 2)
        sharing = min(load.calls + 1, places)
        return base_s + (full_step_s - base_s) * sharing / places


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
    """Chooses by predicted times, at random among the near-best.

    Args:
        prefixes: Which backend server holds which prefix piece.
        region_penalty_s: Seconds that a region crossing counts as, on top of its round trip.
        seed: Seed of the random choice; entries must have different ones.
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
        """Return one of the near-best candidates."""
        if not candidates:
            return None
        choices = [self._predictor.predict(request, view, now) for view in candidates]
        in_time = [choice for choice in choices if _meets_deadline(request, choice, now)]
        weighed = [(self._cost_s(request, choice), choice) for choice in in_time or choices]
        near_best = _select_near_best(weighed)
        cost_s, choice = self._draw(near_best)
        reason = f"cost {cost_s:.3f} s, {len(near_best)} of {len(choices)} near best"
        if not in_time:
            reason += ", none meets the deadline"
        return choice.with_reason(reason)

    def _draw(self, near_best: list[tuple[float, Choice]]) -> tuple[float, Choice]:
        """Return the better one of two drawn at random."""
        if len(near_best) == 1:
            return near_best[0]
        # Drawn with replacement: two candidates must not always give the better one, or every
        # entry would send to the same backend server until its next report.
        return min(self._random.choices(near_best, k=2), key=lambda pair: pair[0])

    def _cost_s(self, request: RouteRequest, choice: Choice) -> float:
        output_tokens = min(request.max_tokens, WEIGHED_OUTPUT_TOKENS[request.priority])
        cost_s = choice.first_token_s + output_tokens * choice.between_tokens_s
        return cost_s + (self._region_penalty_s if choice.crosses_region else 0.0)


class LeastLoadPolicy(RoutingPolicy):
    """Baseline: chooses the lowest number of calls for each place, the nearest among equals.

    Args:
        prefixes: Which backend server holds which prefix piece, for the predicted times.
    """

    def __init__(self, prefixes: PrefixIndex) -> None:
        self._predictor = Predictor(prefixes)

    def choose(
        self, request: RouteRequest, candidates: Sequence[BackendView], now: float
    ) -> Choice | None:
        """Return the candidate with the lowest load."""
        if not candidates:
            return None
        view = min(candidates, key=lambda view: (_relative_load(view), round_trip_s(request, view)))
        return self._predictor.predict(request, view, now, reason="least load")


class RoundRobinPolicy(RoutingPolicy):
    """Baseline: takes the candidates of each service in turn.

    Args:
        prefixes: Which backend server holds which prefix piece, for the predicted times.
    """

    def __init__(self, prefixes: PrefixIndex) -> None:
        self._predictor = Predictor(prefixes)
        self._turns: defaultdict[str, itertools.count[int]] = defaultdict(itertools.count)

    def choose(
        self, request: RouteRequest, candidates: Sequence[BackendView], now: float
    ) -> Choice | None:
        """Return the next candidate by name."""
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
        preset: Preset with the penalties.
        seed: Seed of random choices.

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
    """Return the network round trip to a backend server."""
    if crosses_region(request, view):
        return REGION_ROUND_TRIP_S
    return ZONE_ROUND_TRIP_S if view.zone != request.zone else 0.0


def prefill_speed(report: LoadReport) -> float:
    """Return the prompt tokens a second of an engine, by its role if it has not measured them."""
    if report.prefill_tokens_per_s > 0:
        return report.prefill_tokens_per_s
    weak = report.role is Role.DECODE
    return UNMEASURED_PREFILL_TOKENS_PER_S * (UNMEASURED_WEAK_SIDE if weak else 1.0)


def decode_speed(report: LoadReport) -> float:
    """Return the generated tokens a second of an engine, as for `prefill_speed`."""
    if report.decode_tokens_per_s > 0:
        return report.decode_tokens_per_s
    weak = report.role is Role.PREFILL
    return UNMEASURED_DECODE_TOKENS_PER_S * (UNMEASURED_WEAK_SIDE if weak else 1.0)


def _meets_deadline(request: RouteRequest, choice: Choice, now: float) -> bool:
    if request.first_token_due is not None and now + choice.first_token_s > request.first_token_due:
        return False
    if request.deadline is None:
        return True
    output_s = request.max_tokens * choice.between_tokens_s
    return now + choice.first_token_s + output_s <= request.deadline


def _select_near_best(weighed: list[tuple[float, Choice]]) -> list[tuple[float, Choice]]:
    best_s = min(cost_s for cost_s, _ in weighed)
    limit_s = best_s * NEAR_BEST_RATIO + NEAR_BEST_S
    return [pair for pair in weighed if pair[0] <= limit_s]


def _relative_load(view: BackendView) -> float:
    places = view.report.max_running if view.report else 1
    return view.predicted.calls / max(places, 1)
