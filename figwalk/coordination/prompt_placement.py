"""Chooses engines for a prompt, and refuses prompts that no engine can answer in time.

Long prompts arrive in bursts that exceed the prefill capacity of all engines. A queue longer than
the target delays every prompt behind it beyond its target as well. The gateway therefore sends a
call only where its first token is predicted in time; otherwise it refuses the call at once, with
the time after which the backlog will have shrunk.

Either an engine with the role prefill prefills a prompt and an engine with the role decode fetches
the KV cache from it, or an engine with the role decode prefills the prompt itself, more slowly.
"""

from __future__ import annotations

import heapq
import math
import random
import statistics
from collections.abc import Sequence

import attrs

from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.kept_out import select_usable
from figwalk.coordination.placement_settings import PlacementSettings
from figwalk.coordination.plain_placement import CONNECT_COST_S, Distance
from figwalk.coordination.prompt_plan import PromptCall, PromptPlan, mark_last_resort
from figwalk.coordination.retry_times import MIN_RETRY_S, choose_retry_s
from figwalk.coordination.stream_pace import predict_pacing_s
from figwalk.coordination.stream_pauses import (
    delay_to_others_s,
    predict_disturbance,
    stream_slowness,
)
from figwalk.coordination.subject_affinity import hash_pair
from figwalk.protocol.messages import Role
from figwalk.spillover.remote_spread import spread_remote
from figwalk.spillover.subject_homes import SubjectHomes
from figwalk.state.routing import EngineSpec

# Share of an engine's slots up to which streams are packed onto it. Prefill slows streams down to a
# third of their speed; the engines without streams prefill at full speed.
MAX_PACKED_SHARE = 0.35
MAX_SHORT_PLANS = 5  # More than are tried; each plan takes processor time.
# A short prompt waits until the engine has prefilled a long one. If that takes more than this share
# of its target, the short prompt goes to another engine.
MAX_PREFILL_WAIT_SHARE = 0.25
# Other processes most likely sent prompts with the same shared parts to their preferred engine.
# This share of the tokens that are not known to be cached there counts as cached.
PREFERRED_HIT_SHARE = 0.5
# An engine that answers calls begins none while it prefills a prompt. Prefills that take longer
# than this share of the time to the target are left to engines with the role prefill.
MAX_DECODE_PREFILL_SHARE = 0.5
# An engine prefills shorter parts in the time that setting up a transfer takes.
MIN_TRANSFER_TOKENS = 1000
# A large share of all prompts has the same first part, so that every engine has it cached.
COMMON_PARTS = 1
# Share of the target beyond which a wait at the home of the shared parts is too long. What other
# engines then take goes to the second home, unless others are faster by more than this time.
MAX_HOME_WAIT_SHARE = 0.25
SECOND_HOME_S = 0.01
# An engine that fails every call is worse than any wait.
FAILURE_COST_S = 1.0
# An agent surely refuses a prompt behind a backlog above this share of the time to the target. The
# reported backlog is up to one heartbeat (0.4 s) old.
MAX_BACKLOG_RATIO = 0.8
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
# A fetch between availability zones takes twice, between regions ten times as long.
CROSS_ZONE_FETCH = 2.0
CROSS_REGION_FETCH = 10.0
# KV transfers are billed, so the ranking adds this to the cost of a plan for each KV transfer that
# it needs.
TRANSFER_BILL_S = 0.01


class PromptPlacement:
    """Ranks engines by the predicted first token of a prompt, and admits or refuses the prompt.

    Args:
        settings: Settings of the deployment.
        distance: Location of this process, and the distances from it.
        rng: Breaks ties; tests pass a seeded one.
    """

    def __init__(self, settings: PlacementSettings, distance: Distance, rng: random.Random) -> None:
        self._settings = settings
        self._distance = distance
        self._rng = rng
        self._rates: dict[Role, float] = {}
        self._homes = SubjectHomes(distance)
        self._second_home: EngineTracker | None = None
        self._sources: list[EngineTracker] = []

    def rank(
        self, call: PromptCall, engines: Sequence[EngineTracker], spec: EngineSpec
    ) -> list[PromptPlan]:
        """Return a plan for each engine that may prefill a prompt, the best first.

        The list is empty if no engine can run a prompt.
        """
        usable = select_usable(engines, self._rng)
        self._learn_rates(usable)
        decode_engines = [engine for engine in usable if engine.entry.role is not Role.PREFILL]
        if not decode_engines:
            return []
        sources = [e for e in usable if not e.keep_out_cost_s]
        self._sources = [e for e in sources if self._caches_shared(call, e)]
        if self.is_short(call):
            return self._rank_short(call, decode_engines, engines, spec)
        preferred, second = self._homes.find(call.subject, engines)
        self._second_home = second if preferred and self._is_busy(call, preferred) else None
        plans = []
        for reader in usable:
            if reader.entry.role is Role.PREFILL:
                near = self._find_decode_engines(reader, decode_engines)
                pairs = [self._build_plan(call, reader, r, preferred, spec) for r in near]
                plans.append(min(pairs, key=self._rank_key))
        can_read = any(not plan.reader.keep_out_cost_s for plan in plans)
        longest_s = MAX_DECODE_PREFILL_SHARE * call.target_s if can_read else math.inf
        unpaired = [
            self._build_plan(call, runner, runner, preferred, spec) for runner in decode_engines
        ]
        plans += [plan for plan in unpaired if plan.reading_s <= longest_s]
        if self._sources:
            plans = [self._add_repeated_prefill(call, plan) for plan in plans]
        ranked = sorted(mark_last_resort(plans), key=self._rank_key)
        least = ranked[0].uncached_tokens if ranked else 0.0
        return spread_remote(
            ranked,
            self._cost_s,
            lambda plan: self.is_remote(plan) and plan.uncached_tokens <= least,
            self._rng,
        )

    def _find_decode_engines(
        self, reader: EngineTracker, decode_engines: Sequence[EngineTracker]
    ) -> Sequence[EngineTracker]:
        """Return the engines that may decode a prompt that a prefill engine has prefilled.

        A fetch between regions takes ten times as long. Engines outside the regions of the prefill
        engine and of this process are returned only if there are no others.
        """
        regions = {self._distance.region, self._distance.regions.get(reader.entry.zone)}
        near = [r for r in decode_engines if self._distance.regions.get(r.entry.zone) in regions]
        return near or decode_engines

    def _add_repeated_prefill(self, call: PromptCall, plan: PromptPlan) -> PromptPlan:
        repeated = max(0.0, plan.uncached_tokens - call.own_tokens)
        return attrs.evolve(plan, repeated_prefill_s=repeated / self._rate(plan.reader))

    def _is_busy(self, call: PromptCall, engine: EngineTracker) -> bool:
        wait_s = engine.backlog_tokens() / self._rate(engine)
        return engine.is_avoided() or wait_s > MAX_HOME_WAIT_SHARE * max(call.target_s, MIN_RETRY_S)

    def is_remote(self, plan: PromptPlan) -> bool:
        """Return whether the prefill engine of a plan is in another region than this process."""
        return self._distance.regions.get(plan.reader.entry.zone) != self._distance.region

    def _rank_short(
        self,
        call: PromptCall,
        decode_engines: Sequence[EngineTracker],
        engines: Sequence[EngineTracker],
        spec: EngineSpec,
    ) -> list[PromptPlan]:
        """Return plans for the engines that are best for a short prompt, the best first.

        All processes pack streams onto the same engines, up to a share of their slots. Engines in
        availability zones without a prefill engine come first, since they would fetch the KV cache
        of long prompts from another zone.
        """
        prefill_zones = {e.entry.zone for e in engines if e.entry.role is Role.PREFILL}
        limit = max(1.0, MAX_PACKED_SHARE * spec.slots)
        rates = {engine: self._rate(engine) for engine in decode_engines}
        usual_rate = statistics.median(rates.values())
        # Kept-out engines relieve the others only once these have no slots left.
        has_room = any(e.decoding < spec.slots for e in decode_engines if not e.keep_out_cost_s)

        def key(runner: EngineTracker) -> tuple[float, bool, float, bool, float, bool, bytes]:
            decoding = runner.decoding * runner.speed_factor
            is_full = decoding >= limit
            prefill_s = runner.backlog_tokens() / rates[runner]
            is_prefilling = prefill_s > MAX_PREFILL_WAIT_SHARE * max(call.target_s, MIN_RETRY_S)
            load = decoding if is_full else max(0.0, runner.speed_factor - 1)
            failing = round(runner.failure_share(), 1)
            return (
                runner.keep_out_cost_s if has_room else 0.0,
                is_prefilling,
                stream_slowness(
                    runner.stream_load,
                    call.gap_s,
                    rates[runner] / usual_rate,
                    call.needed_event_s,
                    lone_event_s=runner.lone_event_s(rates[runner] / usual_rate),
                ),
                is_full,
                load + failing + runner.keep_out_cost_s,
                runner.entry.zone in prefill_zones,
                hash_pair("streams", runner.entry.backend),
            )

        best = heapq.nsmallest(MAX_SHORT_PLANS, decode_engines, key=key)
        return [self._build_plan(call, r, r, None, spec) for r in best]

    def admits(self, call: PromptCall, plan: PromptPlan) -> bool:
        """Return whether a call is to be sent by its plan.

        A short prompt has precedence over long ones at an engine and hardly delays them, so that it
        is always sent. A long prompt that is already late is still of use to its caller, but must
        not delay others: it is sent only where little is queued.
        """
        if self.is_short(call) or (
            plan.predicted_s + plan.reserve_s <= call.target_s * self._settings.admission_ratio
        ):
            return True
        if plan.predicted_s >= call.left_s:
            return False
        return plan.backlog_s <= plan.reading_s

    def cannot_meet_deadline(self, call: PromptCall, plan: PromptPlan) -> bool:
        """Return whether an agent would surely refuse a plan, so that no offer is sent to it."""
        if self.is_short(call) or plan.reader.reported_rate is None:
            return False
        return plan.backlog_s > MAX_BACKLOG_RATIO * max(call.target_s, MIN_RETRY_S)

    def retry_after_s(self, call: PromptCall, plan: PromptPlan, room_s: float = 0.0) -> float:
        """Return the seconds after which a refused caller is to retry; see `choose_retry_s`."""
        wait_s = plan.predicted_s - max(0.0, call.target_s) * self._settings.admission_ratio
        return choose_retry_s(call, plan, max(wait_s, room_s), self._rng)

    def round_trip_s(self, engine: EngineTracker) -> float:
        """Return the network round trip of a call to an engine, in seconds."""
        return self._distance.round_trip_s(engine.entry.zone)

    def _build_plan(
        self,
        call: PromptCall,
        reader: EngineTracker,
        runner: EngineTracker,
        preferred: EngineTracker | None,
        spec: EngineSpec,
    ) -> PromptPlan:
        rate = self._rate(reader)
        uncached = self._uncached_tokens(call, reader, preferred)
        source, transfer_s = self._find_source(call, reader, uncached / rate, spec)
        if source is not None:
            uncached = call.own_tokens
        is_pair = reader is not runner
        prefill_s = uncached / rate + reader.fixed_s
        round_trip_s = self.round_trip_s(runner) + (self.round_trip_s(reader) if is_pair else 0.0)
        return PromptPlan(
            reader=reader,
            runner=runner,
            uncached_tokens=uncached,
            backlog_s=reader.backlog_tokens() / rate,
            reading_s=prefill_s,
            round_trip_s=round_trip_s,
            link_wait_s=max(reader.link_wait_s(), runner.link_wait_s()) if is_pair else 0.0,
            decode_engine_wait_s=runner.backlog_tokens() / self._rate(runner) if is_pair else 0.0,
            fetch_s=self._fetch_s(call.tokens, reader, runner, spec) if is_pair else 0.0,
            first_event_s=runner.first_event_s(
                0.0 if is_pair else self._concurrent_prefill_s(call, runner, uncached)
            ),
            delay_to_others_s=0.0
            if is_pair
            else delay_to_others_s(runner.decoding, uncached / rate),
            donor=source,
            transfer_s=transfer_s,
            disturbance=predict_disturbance(
                reader.stream_load, call.gap_s, call.target_s, uncached / rate
            ),
            is_slow=call.needs_pace
            and stream_slowness(runner.stream_load, call.gap_s, 1.0, call.needed_event_s) > 0,
        )

    def _concurrent_prefill_s(
        self, call: PromptCall, runner: EngineTracker, uncached: float
    ) -> float:
        """Return the seconds that an engine prefills other prompts before the first event.

        By then it has most likely been sent as many prompts behind this one as it has queued now.
        """
        tokens = runner.backlog_tokens()
        if not self.is_short(call):
            tokens += uncached
        return tokens / self._rate(runner)

    def _find_source(
        self, call: PromptCall, reader: EngineTracker, prefill_s: float, spec: EngineSpec
    ) -> tuple[EngineTracker | None, float]:
        """Return the engine from which a prefill engine gets the shared parts soonest.

        Also returns the seconds that this takes. Returns None and 0 if the prefill engine has the
        parts cached, or prefills them faster.
        """
        if call.shared_tokens < MIN_TRANSFER_TOKENS:
            return None, 0.0
        if self._cached_tokens(call, reader) >= call.shared_tokens:
            return None, 0.0
        own_s = call.own_tokens / self._rate(reader)
        best, best_s = None, prefill_s - own_s
        for source in self._sources:
            if source is reader:
                continue
            wait_s = max(source.link_wait_s(), reader.link_wait_s())
            seconds = wait_s + self._fetch_s(call.shared_tokens, source, reader, spec)
            seconds += source.failure_share() * FAILURE_COST_S
            if seconds < best_s:
                best, best_s = source, seconds
        return (best, best_s) if best is not None else (None, 0.0)

    @staticmethod
    def _cached_tokens(call: PromptCall, engine: EngineTracker) -> int:
        if engine.has_cache_report:
            return engine.reported_cached_tokens(call.hashed_parts)
        return engine.estimated_cached_tokens(call.parts)

    @staticmethod
    def _caches_shared(call: PromptCall, engine: EngineTracker) -> bool:
        if not call.shared_tokens:
            return False
        if engine.has_cache_report:
            return engine.has_cached(call.hashed_parts[:-1])
        return engine.estimated_cached_tokens(call.parts) >= call.shared_tokens

    def _fetch_s(
        self, tokens: int, source: EngineTracker, target: EngineTracker, spec: EngineSpec
    ) -> float:
        """Return the seconds that a fetch of KV cache takes if no other fetch uses the links."""
        bits = tokens * spec.kv_bytes_per_token * BITS_PER_BYTE
        fetch_s = bits / max(1.0, spec.link_mbps * BITS_PER_MEGABIT)
        if source.entry.zone != target.entry.zone:
            regions = self._distance.regions
            same_region = regions.get(source.entry.zone) == regions.get(target.entry.zone)
            fetch_s *= CROSS_ZONE_FETCH if same_region else CROSS_REGION_FETCH
        return fetch_s

    def is_short(self, call: PromptCall) -> bool:
        """Return whether the prefill of a prompt takes a negligible time."""
        return call.tokens <= self._settings.short_prompt_tokens

    def _rate(self, engine: EngineTracker) -> float:
        # The last rate that a lost agent reported is closer than the deployment's assumed one.
        if engine.measured_rate is not None:
            return max(1.0, engine.measured_rate / engine.slowdown)
        if engine.entry.role in self._rates:
            return self._rates[engine.entry.role] / (engine.speed_factor * engine.slowdown)
        if engine.last_reported_rate is not None:
            return max(1.0, engine.last_reported_rate / engine.slowdown)
        assumed = self._settings.engines.prefill_rate(engine.entry.role)
        return assumed * engine.rate_factor / engine.slowdown

    def _learn_rates(self, engines: Sequence[EngineTracker]) -> None:
        """Derive the rates of engines that were not measured from those that were.

        The deployment assumes a low rate. With it, an engine with the role decode would never be
        chosen, and so never be measured.
        """
        assumed = self._settings.engines
        scales = [
            engine.measured_rate / assumed.prefill_rate(engine.entry.role)
            for engine in engines
            if engine.measured_rate is not None
        ]
        if scales:
            scale = statistics.median(scales)
            self._rates = {role: scale * assumed.prefill_rate(role) for role in Role}

    def _uncached_tokens(
        self, call: PromptCall, engine: EngineTracker, preferred: EngineTracker | None
    ) -> float:
        known = self._cached_tokens(call, engine)
        if engine is preferred and known < call.shared_tokens and len(call.parts) > COMMON_PARTS:
            known += PREFERRED_HIT_SHARE * (call.shared_tokens - known)
        return max(0.0, call.tokens - known)

    def _rank_key(self, plan: PromptPlan) -> tuple[bool, bool, float, float]:
        too_long = plan.disturbance.too_long and not plan.is_last_resort
        return (too_long, plan.is_slow, self._cost_s(plan), self._rng.random())

    def _cost_s(self, plan: PromptPlan) -> float:
        failures = plan.reader.failure_share() + plan.runner.failure_share()
        cost_s = plan.predicted_s + plan.reserve_s + failures * FAILURE_COST_S
        for engine in {plan.reader, plan.runner}:
            cost_s += engine.keep_out_cost_s + self._distance.bill_s(engine.entry.zone)
            cost_s += 0.0 if engine.has_connection else CONNECT_COST_S
        # Other fetches on the links of both engines wait for this one.
        cost_s += plan.fetch_s + plan.transfer_s + plan.disturbance.delay_s
        cost_s += predict_pacing_s(plan.reader.stream_load, plan.reading_s)
        cost_s -= SECOND_HOME_S if plan.reader is self._second_home else 0.0
        moves = (plan.reader is not plan.runner) + (plan.donor is not None)
        return cost_s + moves * TRANSFER_BILL_S
