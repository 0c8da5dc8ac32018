"""Chooses which engines may get a prompt, although some or all of them are avoided."""

from __future__ import annotations

import random
from collections.abc import Sequence

from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.protocol.messages import Role


def find_usable_engines(
    engines: Sequence[EngineTracker], rng: random.Random
) -> list[EngineTracker]:
    """Return the engines that are not avoided, among them one that can run a prompt.

    If all engines that can run a prompt are avoided, the least suspect one is returned too: without
    it, every prompt is refused. An engine that its agent reports as down is not suspected but known
    to be down, and not returned. Avoided engines with the role prefill need no such exception,
    since the engines that run prompts can prefill them as well.

    Args:
        engines: Engines of the service that accept new work.
        rng: Breaks ties between suspects, so that processes don't all choose the same one.
    """
    usable = [engine for engine in engines if not engine.is_avoided()]
    if any(engine.entry.role is not Role.PREFILL for engine in usable):
        return usable
    suspects = [
        engine
        for engine in engines
        if engine.entry.role is not Role.PREFILL and not engine.is_known_down()
    ]
    if suspects:
        usable.append(min(suspects, key=lambda engine: (engine.suspicion(), rng.random())))
    return usable
