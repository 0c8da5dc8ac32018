"""A deterministic model of engines that generate streams and prefill prompts in between."""

import random
from functools import partial

import attrs

from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.placement_settings import PlacementSettings
from figwalk.coordination.plain_placement import Distance
from figwalk.coordination.prefill_queue import PrefillQueue, PrefillRequest
from figwalk.coordination.prompt_placement import PromptPlacement
from figwalk.coordination.prompt_plan import PromptCall
from figwalk.coordination.stream_pauses import EngineRun
from figwalk.events import EventLog
from figwalk.gateway.prompt_calls import MAX_OFFERS
from figwalk.prompt_agent.engine_watcher import EngineReport, EngineWatcher
from figwalk.protocol.messages import Role
from figwalk.spillover.remote_spread import choose_offers
from figwalk.state.backend_directory import BackendEntry
from figwalk.state.gateway_settings import EngineSettings
from figwalk.state.routing import EngineSpec
from figwalk.state.settings import Address
from support.fake_timer import FakeTimer

STEP_S = 0.005
REPORT_S = 0.1
DIGEST_S = 0.2
GATEWAYS = 6
REGIONS = {"a": "r"}


@attrs.define
class StreamDay:
    """What reaches the engines.

    Attributes:
        engines: Speed of each engine as a multiple of the usual.
        streams_per_s: Streams that begin each second.
        events: Returns the events of the next stream, from a random generator.
        most_events: Largest number of events, which callers state.
        limit_s: Seconds in which a stream has to end.
        prompts_per_s: Long prompts offered each second.
        prompt_tokens: Their uncached tokens.
        seconds: Length of the day.
        event_s: Seconds of an event at a usual engine without other streams.
        stream_s: Seconds that each further stream adds to it.
        prefill_rate: Prompt tokens that a usual engine prefills per second.
        gap_s: Longest pause that callers accept.
        slots: Calls that an engine runs at once.
        states_lengths: Whether callers state how long answers may be.
    """

    engines: tuple
    streams_per_s: float
    events: object
    most_events: int
    limit_s: float
    prompts_per_s: float
    prompt_tokens: int
    seconds: float = 40.0
    event_s: float = 0.06
    stream_s: float = 0.0024
    prefill_rate: float = 110_000.0
    gap_s: float = 0.3
    slots: int = 64
    states_lengths: bool = True


@attrs.define(eq=False)
class Stream:
    """A stream and its progress."""

    name: str
    events: int
    began_at: float
    done: float = 0.0
    ended_at: float = float("inf")


class ModelEngine:
    """An engine with the decisions of the agent beside it."""

    def __init__(self, name, speed, day, timer):
        events = EventLog("test", timer)
        self.rate = day.prefill_rate * speed
        self.name, self.speed, self.day, self.timer = name, speed, day, timer
        self.queue = PrefillQueue(timer, tokens_per_s=self.rate)
        settings = EngineSettings(self.rate, self.rate)
        self.watcher = EngineWatcher(None, None, self.queue, settings, events, timer)
        self.running, self.prefilling = [], []
        self.prefilled = 0
        entry = BackendEntry(
            name, "lm", Address("h", 1), "a", day.slots, False, 1, 1, role=Role.DECODE
        )
        spec = EngineSpec(day.slots, 1_000_000, 18_432.0, 2_200_000.0, 5.0)
        self.trackers = [EngineTracker(entry, timer, events, spec=spec) for _ in range(GATEWAYS)]
        self.spec = spec

    def advance(self):
        """Prefill and generate for one step."""
        left_s = STEP_S
        while self.prefilling and left_s > 0:
            spent_s = min(left_s, self.prefilling[0][1])
            left_s -= spent_s
            self.prefilling[0][1] -= spent_s
            if self.prefilling[0][1] <= 0:
                self.queue.finish(self.prefilling.pop(0)[0], read=True)
                self.prefilled += 1
        event_s = self.day.event_s + self.day.stream_s * len(self.running)
        for stream in list(self.running):
            stream.done += left_s * self.speed / event_s
            late = self.timer.now() > stream.began_at + self.day.limit_s
            if stream.done >= stream.events or late:
                stream.ended_at = float("inf") if late else self.timer.now()
                self.running.remove(stream)

    def offer(self, key, is_last_resort):
        """Offer a long prompt; return whether the engine takes it."""
        limit = None if is_last_resort else self.watcher.limit_prefill(self.day.gap_s)
        parts = ((str(key), self.day.prompt_tokens),)
        request = PrefillRequest(parts, 0.335, 2.2, 0.05, pause_limit=limit)
        if not self.queue.offer(key, "g", request).granted:
            return False
        self.prefilling.append([key, self.day.prompt_tokens / self.rate])
        return True

    def report(self):
        """Let the agent read the state of the engine."""
        runs = tuple(EngineRun(stream.name, int(stream.done)) for stream in self.running)
        depth = len(self.prefilling)
        self.watcher._apply_report(
            EngineReport(Role.DECODE, False, 1, len(runs) + depth, 0, 1_000_000, runs=runs)
        )

    def tell_gateways(self):
        """Let the agent send its digest to all gateways."""
        for tracker in self.trackers:
            tracker.apply_digest(
                up=True,
                backlog_tokens=self.queue.backlog_tokens,
                tokens_per_s=self.queue.tokens_per_s,
                decoding=self.watcher.decoding,
                stream_load=self.watcher.stream_load,
            )


class StreamCell:
    """Gateways that place streams and long prompts at some engines."""

    def __init__(self, day, *, seed=1):
        self.day = day
        self.rng = random.Random(seed)
        self.timer = FakeTimer(0.0)
        distance = Distance("a", "r", REGIONS)
        self.placements = [
            PromptPlacement(PlacementSettings(), distance, random.Random(seed + n))
            for n in range(GATEWAYS)
        ]
        self.engines = [
            ModelEngine(f"e{number}", speed, day, self.timer)
            for number, speed in enumerate(day.engines)
        ]
        self.streams = []
        self.offered = 0

    def run(self):
        """Play the day and return this cell."""
        day = self.day
        next_stream, next_prompt = 0.0, 0.0
        for step in range(int((day.seconds + day.limit_s) / STEP_S)):
            now = self.timer.now()
            for engine in self.engines:
                engine.advance()
                if step % int(REPORT_S / STEP_S) == 0:
                    engine.report()
                if step % int(DIGEST_S / STEP_S) == 0:
                    engine.tell_gateways()
            while next_stream <= now < day.seconds:
                self._begin_stream(now)
                next_stream += self.rng.expovariate(day.streams_per_s)
            while next_prompt <= now < day.seconds:
                self._offer_prompt()
                next_prompt += self.rng.expovariate(day.prompts_per_s)
            self.timer.advance(STEP_S)
        return self

    def share_ended(self, share=1.0):
        """Return which part of the longest share of the streams ended in time."""
        longest = sorted(self.streams, key=lambda stream: -stream.events)
        longest = longest[: max(1, int(share * len(longest)))]
        return sum(stream.ended_at < float("inf") for stream in longest) / len(longest)

    @property
    def prefilled(self):
        """Long prompts that were prefilled."""
        return sum(engine.prefilled for engine in self.engines)

    def _rank(self, parts, events=0.0):
        number = self.rng.randrange(GATEWAYS)
        trackers = [engine.trackers[number] for engine in self.engines]
        limit_s = self.day.limit_s if events else 2.0
        call = PromptCall(parts, 0.25, 2.0, limit_s, gap_s=self.day.gap_s, events=events)
        placement = self.placements[number]
        return call, placement, placement.rank(call, trackers, self.engines[0].spec)

    def _begin_stream(self, now):
        events = max(2, int(self.day.events(self.rng)))
        stream = Stream(f"s{len(self.streams)}", events, now)
        self.streams.append(stream)
        stated = float(self.day.most_events) if self.day.states_lengths else 0.0
        call, _, plans = self._rank((("chat", 50), ("own", 100)), stated)
        engine = next(e for e in self.engines if e.name == plans[0].runner.entry.backend)
        if call.needs_pace:
            engine.watcher.expect_stream(stream.name, stated, self.day.limit_s)
        engine.running.append(stream)

    def _offer_prompt(self):
        self.offered += 1
        call, placement, plans = self._rank((("own", self.day.prompt_tokens),))
        admits = partial(placement.admits, call)
        for plan in choose_offers(plans, admits, placement.is_remote, MAX_OFFERS):
            engine = next(e for e in self.engines if e.name == plan.reader.entry.backend)
            if engine.offer(self.offered, plan.is_last_resort):
                return
