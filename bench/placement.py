"""Processor time of one placement decision with many backend servers.

Run with `python -m bench.placement`. The placement of a call does not depend on the number of
organisations.
"""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable

import trio
import trio.testing

from figwalk.coordination.backend_tracker import AttemptOutcome, BackendTracker, ReportedLoad
from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.plain_placement import Distance, PlainPlacement
from figwalk.coordination.prompt_placement import PlacementSettings, PromptPlacement
from figwalk.coordination.prompt_plan import PromptCall
from figwalk.events import EventLog
from figwalk.pacing.service_pacing import ServicePacing
from figwalk.protocol.messages import Role
from figwalk.state.backend_directory import BackendEntry
from figwalk.state.routing import EngineSpec
from figwalk.state.settings import Address
from figwalk.timer import Timer

SERVERS = 50
DECISIONS = 200
ROUNDS = 7
MICROSECONDS = 1_000_000
REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
SPEC = EngineSpec(64, 968_798, 18_432.0, 220_000.0, 5.0)


def make_trackers(
    kind: type[BackendTracker], timer: Timer, **options: object
) -> list[BackendTracker]:
    """Return trackers of servers of uneven speed, each with calls in flight and a report."""
    events = EventLog("bench", timer)
    rng = random.Random(1)
    pacing = ServicePacing.create(events, timer, rng)
    trackers = []
    for number in range(SERVERS):
        zone = list(REGIONS)[number % len(REGIONS)]
        address = Address("127.0.0.1", number + 1)
        entry = BackendEntry(f"s{number}", "x", address, zone, 6, False, 1, 1, role=Role.DECODE)
        tracker = kind(entry, timer, events, pacing=pacing, **options)
        for call in range(20):
            pacing.speeds.record(entry.backend, "x", rng.uniform(0.02, 0.08))
            tracker.start(call)
            tracker.record_answer(call, ReportedLoad(2, 0, 6, rng.choice((1.0, 2.5))))
            if call > 1:
                tracker.finish(call, AttemptOutcome.ANSWERED)
        trackers.append(tracker)
    return trackers


def measure(decide: Callable[[], object]) -> float:
    """Return the median processor time of a decision in microseconds."""
    rounds = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(DECISIONS):
            decide()
        rounds.append((time.process_time() - started) / DECISIONS * MICROSECONDS)
    return statistics.median(rounds)


async def main() -> None:
    """Print the processor time of the decisions."""
    timer = Timer()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run)
        await trio.testing.wait_all_tasks_blocked()
        _measure_all(timer)
        nursery.cancel_scope.cancel()


def _measure_all(timer: Timer) -> None:
    distance = Distance("a1", "a", REGIONS)
    plain = PlainPlacement(distance, random.Random(1))
    servers = make_trackers(BackendTracker, timer)
    print(f"plain, {SERVERS} servers: {measure(lambda: plain.choose(servers)):.0f} us")
    prompts = PromptPlacement(PlacementSettings(), distance, random.Random(1))
    engines = make_trackers(EngineTracker, timer, spec=SPEC)
    for name, tokens in (("long", 9190), ("short", 100)):
        call = PromptCall((("head", tokens - 50), ("own", 50)), 0.3, 2.0)
        took = measure(lambda call=call: prompts.rank(call, engines, SPEC))
        print(f"{name} prompt, {SERVERS} engines of one role: {took:.0f} us")


if __name__ == "__main__":
    trio.run(main)
