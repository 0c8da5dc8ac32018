"""Simulates prompts with shared parts over several gateways and agents, and checks the outcomes."""

import random
from collections import Counter

from support.fake_timer import FakeTimer

from figwalk.coordination.cached_parts import CachedPart
from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.plain_placement import Distance
from figwalk.coordination.prefill_queue import PrefillQueue, PrefillRequest
from figwalk.coordination.prompt_placement import PlacementSettings, PromptPlacement
from figwalk.coordination.prompt_plan import PromptCall
from figwalk.events import EventLog
from figwalk.protocol.messages import Role
from figwalk.state.backend_directory import BackendEntry
from figwalk.state.routing import EngineSpec
from figwalk.state.settings import Address

SPEC = EngineSpec(64, 450_000, 35_136.0, 330_000.0, 5.0)
GATEWAYS = 8
SUBJECTS = 60
RATES = {"p1": 45_000.0, "p2": 45_000.0, "d1": 25_000.0, "d2": 25_000.0}
TARGET_S = 0.8
MAX_OFFERS = 3
DIGEST_S = 0.1


class Engine:
    """An engine with its agent, which prefills granted prompts one after the other."""

    def __init__(self, name, timer):
        self.name = name
        self.rate = RATES[name]
        self.queue = PrefillQueue(timer, tokens_per_s=self.rate)
        self.free_at = timer.now()
        self.reading = []

    def finish_until(self, now, timer):
        """Report the ends of finished prefills to the agent's queue."""
        while self.reading and self.reading[0][0] <= now:
            end, key, took_s = self.reading.pop(0)
            timer.time = end
            self.queue.finish(key, read=True, took_s=took_s)


class Gateway:
    """One gateway's placement, and its trackers of the engines."""

    def __init__(self, engines, timer, seed):
        self.placement = PromptPlacement(
            PlacementSettings(), Distance("a", "r", {"a": "r"}), random.Random(seed)
        )
        self.trackers = {}
        for engine in engines:
            role = Role.PREFILL if engine.name.startswith("p") else Role.DECODE
            address = Address("10.0.0.1", 80)
            entry = BackendEntry(engine.name, "lm", address, "a", 64, False, 1, 1, role=role)
            events = EventLog("test", timer)
            self.trackers[engine.name] = EngineTracker(entry, timer, events, spec=SPEC)


def simulate(*, report_cache, per_s=16.0, warm_s=15.0, seconds=30.0):
    """Return how many callers had their first token in time, late or were refused.

    Only callers after the first `warm_s` seconds count; by then, each subject was prefilled once.
    """
    timer = FakeTimer()
    rng = random.Random(7)
    engines = {name: Engine(name, timer) for name in RATES}
    gateways = [Gateway(engines.values(), timer, seed) for seed in range(GATEWAYS)]
    start = at = timer.now()
    reported_at = -DIGEST_S
    outcomes = Counter()
    number = 0
    while at < start + seconds:
        at += rng.expovariate(per_s)
        for engine in engines.values():
            engine.finish_until(at, timer)
        timer.time = at
        if at - reported_at >= DIGEST_S:
            reported_at = at
            for engine in engines.values():
                changes = engine.queue.parts.take_changes()
                for gateway in gateways:
                    tracker = gateway.trackers[engine.name]
                    tracker.apply_digest(
                        up=True,
                        backlog_tokens=engine.queue.backlog_tokens,
                        tokens_per_s=engine.queue.tokens_per_s,
                        decoding=0,
                    )
                    if report_cache:
                        reading = engine.queue.parts.expected
                        tracker.apply_cache_report(changes.kept, changes.yielded, reading=reading)
        number += 1
        parts = ((f"s{rng.randrange(SUBJECTS)}", 13_000), (f"own-{number}", 3700))
        outcome = offer(rng.choice(gateways), engines, parts, number, at)
        if at >= start + warm_s:
            outcomes[outcome] += 1
    return outcomes


def offer(gateway, engines, parts, number, now):
    """Offer a prompt as a gateway does, and return the outcome for its caller."""
    call = PromptCall(parts, TARGET_S, 3.2)
    for plan in gateway.placement.rank(call, list(gateway.trackers.values()), SPEC)[:MAX_OFFERS]:
        engine = engines[plan.reader.entry.backend]
        fetched_tokens = call.shared_tokens if plan.donor is not None else 0
        reading = PrefillRequest(
            parts, TARGET_S - plan.reserve_s, 3.2, plan.after_s, fetched_tokens
        )
        decision = engine.queue.offer(number, "gateway", reading)
        if decision.granted:
            begin = max(now, engine.free_at)
            engine.free_at = begin + decision.uncached_tokens / engine.rate
            took_s = engine.free_at - now
            engine.reading.append((engine.free_at, number, took_s))
            engine.queue.parts.apply_report(CachedPart(*parts[0]))
            return "in time" if took_s + plan.after_s <= TARGET_S else "late"
    return "refused"


def test_callers_are_served_where_shared_parts_are_cached():
    """Guards against an overload caused by shared parts that are prefilled repeatedly.

    Load: 16 prompts a second with 13,000 shared and 3,700 own tokens, 60 subjects, 8 gateways, and
    4 engines that prefill 140,000 tokens a second; 59,000 of them are the prompts' own.
    """
    with_reports = simulate(report_cache=True)
    without_reports = simulate(report_cache=False)
    assert with_reports["in time"] >= 0.8 * with_reports.total()
    assert (
        with_reports["in time"] / with_reports.total()
        >= without_reports["in time"] / without_reports.total() + 0.1
    )
