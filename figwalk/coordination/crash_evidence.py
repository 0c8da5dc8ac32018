"""Finds the prompt parts that crash engines, from the prompts that were in work at each crash.

When an engine crashes, all calls in work there fail at the same moment, most of them through no
fault of their own. A part that causes crashes is in work at one crash after the other and is never
answered. Load: several engines crash within a second and again as soon as they are back, while most
prompts share their first part, and each gateway sees only its own calls.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Sequence

import attrs

# One crash proves nothing, since engines crash for other reasons too. By chance, two crashes may
# have a part in common that is in great demand.
MIN_CRASHES = 3
# Bounds memory. A deployment of 300 engines that all crash at once stays below it.
MAX_CRASHES = 512


@attrs.frozen
class CrashId:
    """One crash of one engine.

    Attributes:
        backend: Id of the engine.
        born_ms: Wall-clock milliseconds at which the crashed instance of it had started.
    """

    backend: str
    born_ms: int


@attrs.frozen
class CrashReport:
    """What one gateway knows about a crash.

    Attributes:
        reporter: Name of the gateway.
        crash: The crash.
        at_ms: Wall-clock milliseconds at which the gateway noticed it.
        prompts: Shared parts, in order, of each prompt that the gateway had sent to the engine and
            whose answer had no complete event yet. Parts that were known to be sound are left out.
        sound: Parts that were answered completely at about the time of the crash or later.
    """

    reporter: str
    crash: CrashId
    at_ms: int
    prompts: frozenset[tuple[str, ...]] = frozenset()
    sound: frozenset[str] = frozenset()


@attrs.frozen
class DeadlyPart:
    """A prompt part that crashes engines.

    Attributes:
        crashes: Number of crashes at which it was in work.
        last_at: Timer time at which the latest of them was noticed.
    """

    crashes: int
    last_at: float


@attrs.define
class _Crash:
    """The reports of all gateways on one crash.

    Attributes:
        noticed_at: Timer time at which this process learned of the crash.
        reports: Reports by name of the gateway.
    """

    noticed_at: float
    reports: dict[str, CrashReport] = attrs.field(factory=dict)

    def sound(self) -> set[str]:
        """Return the parts that did not cause this crash."""
        return {part for report in self.reports.values() for part in report.sound}

    def prompts(self) -> Iterator[tuple[str, ...]]:
        """Yield the parts of each prompt in work that may have caused this crash."""
        sound = self.sound()
        for report in self.reports.values():
            for prompt in report.prompts:
                parts = tuple(part for part in prompt if part not in sound)
                if parts:
                    yield parts


class CrashEvidence:
    """The crashes of engines that the gateways have reported."""

    def __init__(self) -> None:
        self._crashes: dict[CrashId, _Crash] = {}
        self._crash_counts: Counter[str] = Counter()

    @property
    def reporters(self) -> set[str]:
        """Names of the gateways that have reported crashes."""
        return {name for crash in self._crashes.values() for name in crash.reports}

    def find(self, crash: CrashId, reporter: str) -> CrashReport | None:
        """Return what a gateway has reported about a crash, or None."""
        known = self._crashes.get(crash)
        return known.reports.get(reporter) if known is not None else None

    def reports_by(self, reporter: str) -> list[CrashReport]:
        """Return all reports of a gateway."""
        found = [crash.reports.get(reporter) for crash in self._crashes.values()]
        return [report for report in found if report is not None]

    def add(self, report: CrashReport, noticed_at: float) -> bool:
        """Add what a report states to what is known; return whether it states anything new.

        Args:
            report: The report. Nothing that the same gateway reported earlier is lost.
            noticed_at: Timer time of the crash; ignored if the crash is known.
        """
        crash = self._crashes.setdefault(report.crash, _Crash(noticed_at))
        known = crash.reports.get(report.reporter)
        if known is not None:
            report = attrs.evolve(
                known,
                prompts=known.prompts | report.prompts,
                sound=known.sound | report.sound,
            )
        if report == known:
            return False
        crash.reports[report.reporter] = report
        while len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        self._update_counts()
        return True

    def drop_before(self, cutoff: float) -> list[CrashReport]:
        """Forget the crashes that were noticed before a time; return the reports on them."""
        old = [key for key, crash in self._crashes.items() if crash.noticed_at < cutoff]
        reports = [r for key in old for r in self._crashes.pop(key).reports.values()]
        if old:
            self._update_counts()
        return reports

    def crash_count(self, part: str) -> int:
        """Return the number of crashes at which a part was in work and may be the cause."""
        return self._crash_counts[part]

    def crashes_with(self, part: str) -> list[tuple[CrashId, float]]:
        """Return those crashes, and when each was noticed."""
        return [
            (key, crash.noticed_at)
            for key, crash in self._crashes.items()
            if any(part in prompt for prompt in crash.prompts())
        ]

    def find_deadly(self) -> dict[str, DeadlyPart]:
        """Return the parts that explain the crashes.

        A part is found if it was in work at `MIN_CRASHES` crashes that no other found part
        explains. If several parts of the same prompts were, the last one is found: prompts share
        their first parts with many others, and the later ones with few.
        """
        unexplained = {key: list(crash.prompts()) for key, crash in self._crashes.items()}
        deadly: dict[str, DeadlyPart] = {}
        while True:
            scores = _score(unexplained.values())
            if not scores:
                return deadly
            part = max(scores, key=lambda name: (scores[name], name))
            explained = [key for key, prompts in unexplained.items() if _contains(prompts, part)]
            last_at = max(self._crashes[key].noticed_at for key in explained)
            deadly[part] = DeadlyPart(len(explained), last_at)
            for key in explained:
                del unexplained[key]

    def _update_counts(self) -> None:
        self._crash_counts = _count(crash.prompts() for crash in self._crashes.values())


def _count(crashes: Iterable[Iterable[tuple[str, ...]]]) -> Counter[str]:
    """Return the number of crashes at which each part was in work."""
    counts: Counter[str] = Counter()
    for prompts in crashes:
        counts.update({part for prompt in prompts for part in prompt})
    return counts


def _score(crashes: Collection[Sequence[tuple[str, ...]]]) -> Counter[str]:
    """Return the parts with enough crashes, and how many speak against each.

    A crash does not speak against a part if a prompt with it also has a later part with enough
    crashes.
    """
    counts = _count(crashes)
    frequent = {part for part, count in counts.items() if count >= MIN_CRASHES}
    scores: Counter[str] = Counter()
    for prompts in crashes:
        chains = [[part for part in prompt if part in frequent] for prompt in prompts]
        last = {chain[-1] for chain in chains if chain}
        scores.update(last.difference(*(chain[:-1] for chain in chains)))
    return Counter({part: count for part, count in scores.items() if count >= MIN_CRASHES})


def _contains(prompts: Iterable[Sequence[str]], part: str) -> bool:
    return any(part in prompt for prompt in prompts)
