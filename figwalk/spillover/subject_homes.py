"""Selects the engine that is the home of a prompt's shared parts in the region of this process.

A prompt is not sent to another region just because its shared parts are cached there, so that each
region has a home of its own, and demand that moves to another region meets one there. Load: a
quarter of all prompts share the same parts, more than one engine can prefill. The home then gets a
second engine, the same one for all processes of the region.
"""

from __future__ import annotations

from collections.abc import Sequence

from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.plain_placement import Distance
from figwalk.coordination.subject_affinity import find_preferred_engine

MAX_CACHED_SUBJECTS = 20_000  # About 4 MB; the users' prompts have some 1,500 subjects a day.


class SubjectHomes:
    """Homes of subjects, the shared parts of prompts.

    Args:
        distance: Location of this process.
    """

    def __init__(self, distance: Distance) -> None:
        self._distance = distance
        self._names: dict[tuple[str, ...], tuple[str, ...]] = {}
        self._among: tuple[str, ...] = ()

    def find(
        self, subject: tuple[str, ...], engines: Sequence[EngineTracker]
    ) -> tuple[EngineTracker | None, EngineTracker | None]:
        """Return the home of a subject, and the one that takes what the first has no room for.

        Args:
            subject: Ids of the shared parts.
            engines: Engines of the service.
        """
        by_name = {engine.entry.backend: engine for engine in engines}
        first, second = [*map(by_name.get, self._find_names(subject, engines)), None, None][:2]
        return first, second

    def _find_names(
        self, subject: tuple[str, ...], engines: Sequence[EngineTracker]
    ) -> tuple[str, ...]:
        """Return the names of both homes, cached while the engines stay the same."""
        among = tuple(engine.entry.backend for engine in engines)
        if among != self._among or len(self._names) > MAX_CACHED_SUBJECTS:
            self._names.clear()
            self._among = among
        if subject not in self._names:
            regions = self._distance.regions
            near = [e for e in engines if regions.get(e.entry.zone) == self._distance.region]
            candidates = near or engines
            first = find_preferred_engine(subject, candidates)
            second = find_preferred_engine(subject, [e for e in candidates if e is not first])
            homes = [engine.entry.backend for engine in (first, second) if engine is not None]
            self._names[subject] = tuple(homes)
        return self._names[subject]
