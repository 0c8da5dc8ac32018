"""Chooses engines for a prompt, and refuses what can't be answered in time.

Answers for the load of long prompts that arrive in bursts above what all engines can read. Work
that waits for longer than its target makes everything behind it late as well, so that a call is
only sent where its first token is predicted in time; otherwise it is refused at once with the time
at which the backlog will have shrunk.

A prompt is read either by an engine with the role prefill, from which an engine with the role
decode fetches the KV cache, or by an engine with the role decode itself, more slowly.
"""

from __future__ import annotations

import math
import random
import statistics
from collections.abc import Sequence

import attrs

from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.plain_placement import Distance
from figwalk.coordination.prompt_plan import PromptCall, PromptPlan
from figwalk.coordination.subject_homes import find_home, hash_pair
from figwalk.protocol.messages import Role
from figwalk.state.gateway_settings import EngineSettings
from figwalk.state.routing import EngineSpec

# Part of an engine's slots up to which streams are gathered at it. The others then read prompts at
# full speed, which would slow streams down to a third.
GATHERED_SHARE = 0.35
# A short prompt waits for the long one that an engine is reading. Above this part of its target, it
# goes to another engine.
READING_SHARE = 0.25
# The home of a prompt's shared part was most likely asked for it by other processes.
HOME_HIT_SHARE = 0.5
# An engine that answers calls begins none while it reads a prompt, so that longer readings, against
# the time to the target, are left to those that only read.
MAX_OWN_READING_SHARE = 0.5
# Mean length of streams, by which the number under way tells how many calls arrive a second.
STREAM_S = 1.5
# Shorter parts are read as fast as their fetch is set up.
MIN_DONATED_TOKENS = 1000
# A first part is shared by a large share of all prompts and kept everywhere.
HEAD_PART = 1
MAX_HOMES = 20_000  # About 2 MB; a day of the users has some 1,500 subjects.
# An engine that fails every call is worse than any wait.
FAILURE_COST_S = 1.0
# The backlog that an agent stated is up to a heartbeat of 0.4 s old.
HOPELESS_RATIO = 0.8
# A backlog shrinks by this time at the least.
MIN_RETRY_S = 0.05
# Callers come back after a third of the time that they have left at the most; the answer travels.
MAX_RETRY_SHARE = 0.3
# The load of bursts goes down within seconds.
MAX_RETRY_DEADLINE_S = 9.0
# A caller that would come back too late for its target is spread over this part of that time, so
# that it does not meet the burst, or the others that were refused in it, again.
MIN_LATE_RETRY_SHARE = 0.6
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
# A fetch between availability zones takes twice, between regions ten times as long.
CROSS_ZONE_FETCH = 2.0
CROSS_REGION_FETCH = 10.0
# Moved KV cache is billed; what a caller may wait longer so that none is moved.
FETCH_BILL_S = 0.01


@attrs.frozen
class PlacementSettings:
    """Figures of a deployment for placing prompts.

    Attributes:
        engines: Speeds of the engines.
        short_prompt_tokens: Prompts up to this length are read by the engine that answers them.
        admission_ratio: Part of the time to the target that a prediction may take.
    """

    engines: EngineSettings = attrs.field(factory=EngineSettings)
    short_prompt_tokens: int = 1500
    admission_ratio: float = 0.9


class PromptPlacement:
    """Predicts the first token of a prompt at each engine, and chooses or refuses.

    Args:
        settings: Figures of the deployment.
        distance: Where this process stands.
        rng: Breaks ties; tests give a seeded one.
    """

    def __init__(self, settings: PlacementSettings, distance: Distance, rng: random.Random) -> None:
        self._settings = settings
        self._distance = distance
        self._rng = rng
        self._rates: dict[Role, float] = {}
        self._homes: dict[tuple[str, ...], str] = {}
        self._home_engines: tuple[str, ...] = ()
        self._donors: list[EngineTracker] = []

    def rank(
        self, call: PromptCall, engines: Sequence[EngineTracker], spec: EngineSpec
    ) -> list[PromptPlan]:
        """Return a plan for each engine that may read a prompt, the best first.

        The list is empty without any usable engine.
        """
        usable = [engine for engine in engines if not engine.is_avoided()]
        self._learn_rates(usable)
        runners = [engine for engine in usable if engine.entry.role is not Role.PREFILL]
        if not runners:
            return []
        self._donors = [engine for engine in usable if self._keeps_shared(call, engine)]
        if self.is_short(call):
            return self._rank_for_stream(call, runners, engines, spec)
        home = self._find_home(call.subject, engines)
        plans = []
        for reader in usable:
            if reader.entry.role is Role.PREFILL:
                near = self._find_runners(reader, runners)
                pairs = [self._build_plan(call, reader, r, home, spec) for r in near]
                plans.append(min(pairs, key=self._rank_key))
        longest_s = MAX_OWN_READING_SHARE * call.target_s if plans else math.inf
        alone = [self._build_plan(call, runner, runner, home, spec) for runner in runners]
        plans += [plan for plan in alone if plan.reading_s <= longest_s]
        if self._donors:
            plans = [self._note_reread(call, plan) for plan in plans]
        return sorted(plans, key=self._rank_key)

    def _find_runners(
        self, reader: EngineTracker, runners: Sequence[EngineTracker]
    ) -> Sequence[EngineTracker]:
        """Return the engines to answer a prompt that a reader reads.

        A fetch between regions takes ten times as long, so that others than those in the reader's
        and in this process's own region are looked at only if there are none.
        """
        regions = {self._distance.region, self._distance.regions.get(reader.entry.zone)}
        near = [r for r in runners if self._distance.regions.get(r.entry.zone) in regions]
        return near or runners

    def _note_reread(self, call: PromptCall, plan: PromptPlan) -> PromptPlan:
        again = max(0.0, plan.uncached_tokens - call.own_tokens)
        return attrs.evolve(plan, reread_s=again / self._rate(plan.reader))

    def _find_home(
        self, subject: tuple[str, ...], engines: Sequence[EngineTracker]
    ) -> EngineTracker | None:
        """Return `find_home`, remembered as long as the engines are the same."""
        names = tuple(engine.entry.backend for engine in engines)
        if names != self._home_engines or len(self._homes) > MAX_HOMES:
            self._homes.clear()
            self._home_engines = names
        if subject not in self._homes:
            home = find_home(subject, engines)
            self._homes[subject] = home.entry.backend if home is not None else ""
        name = self._homes[subject]
        return next((engine for engine in engines if engine.entry.backend == name), None)

    def _rank_for_stream(
        self,
        call: PromptCall,
        runners: Sequence[EngineTracker],
        engines: Sequence[EngineTracker],
        spec: EngineSpec,
    ) -> list[PromptPlan]:
        """Return a plan for each engine that may answer a short prompt, the best first.

        All processes gather streams at the same engines, up to a share of their slots: first at
        those without a reader in their availability zone, whose prompts would be fetched from afar.
        """
        reader_zones = {e.entry.zone for e in engines if e.entry.role is Role.PREFILL}
        limit = max(1.0, GATHERED_SHARE * spec.slots)

        def key(runner: EngineTracker) -> tuple[bool, bool, float, bool, bytes]:
            is_full = runner.decoding >= limit
            reading_s = runner.backlog_tokens() / self._rate(runner)
            is_reading = reading_s > READING_SHARE * max(call.target_s, MIN_RETRY_S)
            load = runner.decoding if is_full else 0.0
            failing = round(runner.failure_share(), 1)
            near_reader = runner.entry.zone in reader_zones
            return (
                is_reading,
                is_full,
                load + failing,
                near_reader,
                hash_pair("streams", runner.entry.backend),
            )

        return [self._build_plan(call, r, r, None, spec) for r in sorted(runners, key=key)]

    def admits(self, call: PromptCall, plan: PromptPlan) -> bool:
        """Return whether a call is to be sent by its plan.

        A short prompt goes before long ones at an engine and delays them by next to nothing, so
        that it is always sent. A long one that is already late is still of use to its caller, but
        must not make others late: it is sent only where nothing waits.
        """
        if self.is_short(call) or (
            plan.predicted_s + plan.reserve_s <= call.target_s * self._settings.admission_ratio
        ):
            return True
        if plan.predicted_s >= call.left_s:
            return False
        return plan.backlog_s <= plan.reading_s

    def is_hopeless(self, call: PromptCall, plan: PromptPlan) -> bool:
        """Return whether an agent would surely refuse a plan, so that asking it is for nothing."""
        if self.is_short(call) or plan.reader.stated_rate is None:
            return False
        return plan.backlog_s > HOPELESS_RATIO * max(call.target_s, MIN_RETRY_S)

    def retry_after_s(self, call: PromptCall, plan: PromptPlan) -> float:
        """Return the seconds after which a refused caller is to come back.

        That is when the backlog leaves room for the call. If its target has passed by then, it is
        late whenever it comes back, so that it comes when the load has most likely gone down.
        """
        longest_s = min(call.deadline_s, MAX_RETRY_DEADLINE_S) * MAX_RETRY_SHARE
        wait_s = plan.predicted_s - max(0.0, call.target_s) * self._settings.admission_ratio
        if wait_s + plan.reading_s + plan.after_s > call.target_s:
            return longest_s * self._rng.uniform(MIN_LATE_RETRY_SHARE, 1.0)
        return min(longest_s, max(MIN_RETRY_S, wait_s))

    def round_trip_s(self, engine: EngineTracker) -> float:
        """Return the seconds that a call to an engine travels."""
        return self._distance.round_trip_s(engine.entry.zone)

    def _build_plan(
        self,
        call: PromptCall,
        reader: EngineTracker,
        runner: EngineTracker,
        home: EngineTracker | None,
        spec: EngineSpec,
    ) -> PromptPlan:
        rate = self._rate(reader)
        uncached = self._uncached(call, reader, home)
        donor, donation_s = self._find_donor(call, reader, uncached / rate, spec)
        if donor is not None:
            uncached = call.own_tokens
        is_pair = reader is not runner
        reading_s = uncached / rate + reader.fixed_s
        travel_s = self.round_trip_s(runner) + (self.round_trip_s(reader) if is_pair else 0.0)
        return PromptPlan(
            reader=reader,
            runner=runner,
            uncached_tokens=uncached,
            backlog_s=reader.backlog_tokens() / rate,
            reading_s=reading_s,
            travel_s=travel_s,
            link_wait_s=max(reader.link_wait_s(), runner.link_wait_s()) if is_pair else 0.0,
            runner_wait_s=runner.backlog_tokens() / self._rate(runner) if is_pair else 0.0,
            fetch_s=self._fetch_s(call.tokens, reader, runner, spec) if is_pair else 0.0,
            first_event_s=runner.first_event_s(
                0.0 if is_pair else self._slowed_s(call, runner, uncached)
            ),
            blocked_s=0.0 if is_pair else self._blocked_s(runner, uncached / rate),
            donor=donor,
            donation_s=donation_s,
        )

    @staticmethod
    def _blocked_s(runner: EngineTracker, reading_s: float) -> float:
        """Return the seconds that other calls wait for a prompt which a runner reads, together.

        An engine begins no other call before it has read a prompt to its end, not even one whose KV
        cache it fetches. Calls arrive as often as streams end, and wait for half of the reading.
        """
        arrivals_per_s = runner.decoding / STREAM_S
        return arrivals_per_s * reading_s * reading_s / 2

    def _slowed_s(self, call: PromptCall, runner: EngineTracker, uncached: float) -> float:
        """Return the seconds that a runner reads others while it makes the first event.

        Most likely it has been given others behind the prompt by then, as many as it has now.
        """
        tokens = runner.backlog_tokens()
        if not self.is_short(call):
            tokens += uncached
        return tokens / self._rate(runner)

    def _find_donor(
        self, call: PromptCall, reader: EngineTracker, reading_s: float, spec: EngineSpec
    ) -> tuple[EngineTracker | None, float]:
        """Return the engine from which a reader gets the shared parts soonest, and the seconds.

        None if it keeps them itself or reads them faster.
        """
        if call.shared_tokens < MIN_DONATED_TOKENS:
            return None, 0.0
        if self._cached_tokens(call, reader) >= call.shared_tokens:
            return None, 0.0
        own_s = call.own_tokens / self._rate(reader)
        best, best_s = None, reading_s - own_s
        for donor in self._donors:
            if donor is reader:
                continue
            wait_s = max(donor.link_wait_s(), reader.link_wait_s())
            seconds = wait_s + self._fetch_s(call.shared_tokens, donor, reader, spec)
            seconds += donor.failure_share() * FAILURE_COST_S
            if seconds < best_s:
                best, best_s = donor, seconds
        return (best, best_s) if best is not None else (None, 0.0)

    @staticmethod
    def _cached_tokens(call: PromptCall, engine: EngineTracker) -> int:
        if engine.is_told:
            return engine.told_tokens(call.hashed_parts)
        return engine.guessed_tokens(call.parts)

    @staticmethod
    def _keeps_shared(call: PromptCall, engine: EngineTracker) -> bool:
        if not call.shared_tokens:
            return False
        if engine.is_told:
            return engine.keeps_all(call.hashed_parts[:-1])
        return engine.guessed_tokens(call.parts) >= call.shared_tokens

    def _fetch_s(
        self, tokens: int, source: EngineTracker, target: EngineTracker, spec: EngineSpec
    ) -> float:
        """Return the seconds that a fetch of KV cache takes by itself."""
        bits = tokens * spec.kv_bytes_per_token * BITS_PER_BYTE
        fetch_s = bits / max(1.0, spec.link_mbps * BITS_PER_MEGABIT)
        if source.entry.zone != target.entry.zone:
            regions = self._distance.regions
            same_region = regions.get(source.entry.zone) == regions.get(target.entry.zone)
            fetch_s *= CROSS_ZONE_FETCH if same_region else CROSS_REGION_FETCH
        return fetch_s

    def is_short(self, call: PromptCall) -> bool:
        """Return whether a prompt takes next to nothing to read."""
        return call.tokens <= self._settings.short_prompt_tokens

    def _rate(self, engine: EngineTracker) -> float:
        # The last word of an agent that is gone is nearer than the deployment's figure.
        if engine.measured_rate is not None:
            return max(1.0, engine.measured_rate)
        if engine.entry.role in self._rates:
            return self._rates[engine.entry.role]
        if engine.last_stated_rate is not None:
            return max(1.0, engine.last_stated_rate)
        return self._settings.engines.prefill_rate(engine.entry.role) * engine.rate_factor

    def _learn_rates(self, engines: Sequence[EngineTracker]) -> None:
        """Take the speed of engines that nobody has measured from those that were.

        By the deployment's low assumption, an engine with the role decode would never be asked and
        so never be measured.
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

    def _uncached(
        self, call: PromptCall, engine: EngineTracker, home: EngineTracker | None
    ) -> float:
        known = self._cached_tokens(call, engine)
        if engine is home and known < call.shared_tokens and len(call.parts) > HEAD_PART:
            known += HOME_HIT_SHARE * (call.shared_tokens - known)
        return max(0.0, call.tokens - known)

    def _rank_key(self, plan: PromptPlan) -> tuple[float, float]:
        return (self._cost_s(plan), self._rng.random())

    def _cost_s(self, plan: PromptPlan) -> float:
        failures = plan.reader.failure_share() + plan.runner.failure_share()
        cost_s = plan.predicted_s + plan.reserve_s + failures * FAILURE_COST_S
        for engine in {plan.reader, plan.runner}:
            zone = engine.entry.zone
            cost_s += self._distance.cost_s(zone) - self._distance.round_trip_s(zone)
        # Other fetches wait for this one on the links of both engines.
        cost_s += plan.fetch_s + plan.donation_s
        moves = (plan.reader is not plan.runner) + (plan.donor is not None)
        return cost_s + moves * FETCH_BILL_S
