"""Finds the requests and prompt parts that crash backend servers, from the calls in progress.

When a backend server crashes, all its calls fail at the same moment, though most of them did not
cause the crash. A request that causes crashes comes again and again, is in progress at one crash
after another, and is never answered; so are prompts with a part that causes crashes, whatever else
they hold. Load: several servers crash within a second and again as soon as they are back, while
most prompts share their first part, and each gateway sees only its own calls.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence, Set

import attrs

# One crash proves nothing, since servers crash for other reasons too. By chance, two crashes may
# have a popular part in common.
MIN_CRASHES = 3
# When many servers crash at once, popular parts are in progress at several of them by chance. A
# part that causes crashes is in progress at most crashes of its time, even beside another such part
# and crashes for other reasons.
MIN_SHARE = 0.2
# With so many crashes, other crashes of the time don't matter: a part in demand is answered between
# them, unless all are close together.
MIN_CRASHES_OF_ANY_SHARE = 5
MIN_SPAN_S = 2.0
# A part is no cause if a single request with it explains the crashes. One more crash may have the
# part in progress by chance.
MIN_CRASHES_OF_OTHERS = 2
# Starts the id of a request, so that it is told apart from the ids of parts.
REQUEST_PREFIX = "request:"
# Bounds memory. A deployment of 300 servers that all crash at once stays below it.
MAX_CRASHES = 512
# Bound memory. A part is one suspect, and one entry for each prompt of each report that has it.
MAX_SUSPECTS = 50_000
MAX_ENTRIES = 300_000


@attrs.frozen
class CrashId:
    """One crash of one backend server.

    Attributes:
        backend: Id of the backend server.
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
        sound: Parts and requests that were answered completely at about the time of the crash or
            later.
        requests: Ids of the requests that the gateway had sent to the backend server and whose
            answer had no complete event yet, less those known to be sound.
    """

    reporter: str
    crash: CrashId
    at_ms: int
    prompts: frozenset[tuple[str, ...]] = frozenset()
    sound: frozenset[str] = frozenset()
    requests: frozenset[str] = frozenset()

    @property
    def entries(self) -> int:
        """Number of ids in the report."""
        return sum(map(len, self.prompts)) + len(self.sound) + len(self.requests)

    def keep(self, suspects: Set[str]) -> CrashReport:
        """Return a report with these suspects only."""
        found = (tuple(part for part in prompt if part in suspects) for prompt in self.prompts)
        return attrs.evolve(
            self,
            prompts=frozenset(filter(None, found)),
            requests=self.requests & suspects,
        )


@attrs.frozen
class CrashCause:
    """A request or prompt part that crashes backend servers.

    Attributes:
        crashes: Number of crashes at which it was in progress.
        last_at: Timer time at which the latest of them was noticed.
    """

    crashes: int
    last_at: float


@attrs.define
class _Crash:
    """What all gateways have reported on one crash.

    Attributes:
        noticed_at: Timer time at which this process learned of the crash.
        reports: Reports by name of the gateway.
        prompts: Parts of each prompt in progress.
        sound: Parts and requests that did not cause the crash.
        suspects: Parts and requests that may have caused it.
        is_reduced: Whether it has only suspects of several crashes.
    """

    noticed_at: float
    reports: dict[str, CrashReport] = attrs.field(factory=dict)
    prompts: set[tuple[str, ...]] = attrs.field(factory=set)
    sound: set[str] = attrs.field(factory=set)
    suspects: set[str] = attrs.field(factory=set)
    is_reduced: bool = False

    @property
    def entries(self) -> int:
        """Number of ids in the reports."""
        return sum(report.entries for report in self.reports.values())

    def apply(self, report: CrashReport) -> None:
        """Add what a report states."""
        self.reports[report.reporter] = report
        self.prompts |= report.prompts
        self.sound |= report.sound
        self.suspects.update(report.requests, *report.prompts)
        self.suspects -= self.sound
        self.is_reduced = False

    def reduce(self, suspects: Set[str]) -> None:
        """Keep only some of the suspects."""
        self.reports = {name: report.keep(suspects) for name, report in self.reports.items()}
        self.prompts = set().union(*(report.prompts for report in self.reports.values()))
        self.suspects &= suspects
        self.is_reduced = True

    def prompts_with(self, parts: set[str]) -> list[tuple[str, ...]]:
        """Return those of some parts that each prompt has, unless they are sound."""
        wanted = parts & self.suspects
        found = (_choose_parts(prompt, wanted) for prompt in self.prompts)
        return [prompt for prompt in found if prompt]


class CrashEvidence:
    """The crashes of backend servers that the gateways have reported.

    Adding a report is cheap: when many servers crash at once, each gateway gets a report from every
    other gateway on each crash.
    """

    def __init__(self) -> None:
        self._crashes: dict[CrashId, _Crash] = {}
        # Reports on crashes that were dropped since there were too many.
        self._excess: list[CrashReport] = []
        self._crash_counts: Counter[str] = Counter()
        # Parts and requests with at least `MIN_CRASHES` crashes.
        self._frequent: set[str] = set()
        self._entries = 0

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
        known = self.find(report.crash, report.reporter)
        if known is not None:
            report = attrs.evolve(
                known,
                prompts=known.prompts | report.prompts,
                sound=known.sound | report.sound,
                requests=known.requests | report.requests,
            )
        if report == known:
            return False
        crash = self._crashes.setdefault(report.crash, _Crash(noticed_at))
        before = set(crash.suspects)
        self._entries += report.entries - (known.entries if known is not None else 0)
        crash.apply(report)
        self._count(crash.suspects - before, 1)
        self._count(before - crash.suspects, -1)
        while self._is_full():
            self._forget_weakest()
        return True

    def drop_before(self, cutoff: float) -> list[CrashReport]:
        """Forget the crashes that were noticed before a time.

        Returns:
            The reports on them, and on those that were forgotten since there were too many.
        """
        old = [key for key, crash in self._crashes.items() if crash.noticed_at < cutoff]
        dropped = [report for key in old for report in self._drop(key).reports.values()]
        excess, self._excess = self._excess, []
        return excess + dropped

    def crash_count(self, suspect: str) -> int:
        """Return at how many crashes a part or request was in progress and may be the cause."""
        return self._crash_counts.get(suspect, 0)

    def crashes_with(self, suspect: str) -> list[tuple[CrashId, float]]:
        """Return those crashes, and when each was noticed."""
        return [(key, c.noticed_at) for key, c in self._crashes.items() if suspect in c.suspects]

    def find_causes(self) -> dict[str, CrashCause]:
        """Return the requests and parts that explain the crashes.

        A request is found if it was in progress at `MIN_CRASHES` crashes, however many others there
        were: the same request is hardly in progress at several by chance. Refusing it affects no
        other request, so that several requests may explain the same crash.

        A part is found if it was in progress at `MIN_CRASHES` crashes that no other found part
        explains, and at `MIN_CRASHES_OF_OTHERS` crashes that no found request explains. Its crashes
        have to be a share of `MIN_SHARE` of all crashes from the first of them to the last one, or
        `MIN_CRASHES_OF_ANY_SHARE` over a time of `MIN_SPAN_S`. If several parts of
        the same prompts were, the last one is found: prompts share their first parts with many
        others, and the later ones with few.
        """
        if not self._frequent:
            return {}
        requests = {
            request: self._make_cause([key for key, _ in self.crashes_with(request)])
            for request in filter(is_request, self._frequent)
        }
        return requests | self._find_parts(requests.keys())

    def _find_parts(self, requests: Set[str]) -> dict[str, CrashCause]:
        unexplained = {key: c.prompts_with(self._frequent) for key, c in self._crashes.items()}
        with_request = {key for key, c in self._crashes.items() if requests & c.suspects}
        found: dict[str, CrashCause] = {}
        rejected: set[str] = set()
        while part := self._choose_part(unexplained, with_request, rejected):
            explained = [key for key, prompts in unexplained.items() if _contains(prompts, part)]
            found[part] = self._make_cause(explained)
            for key in explained:
                del unexplained[key]
        return found

    def _choose_part(
        self,
        unexplained: Mapping[CrashId, Sequence[tuple[str, ...]]],
        with_request: Set[CrashId],
        rejected: set[str],
    ) -> str | None:
        """Return the part that explains the most crashes, or None if none explains enough.

        Args:
            unexplained: Prompts in progress at each crash that no found part explains.
            with_request: Crashes that a found request explains.
            rejected: Parts that don't explain enough; more are added. The crashes at which they
                were in progress may still have other causes.
        """
        scores = _score(unexplained.values(), rejected)
        parts = {key: set().union(*prompts) for key, prompts in unexplained.items()}
        for part in sorted(scores, key=lambda name: (scores[name], name), reverse=True):
            explained = [key for key, names in parts.items() if part in names]
            others = sum(key not in with_request for key in explained)
            if others >= MIN_CRASHES_OF_OTHERS and self._is_usual(explained):
                return part
            rejected.add(part)
        return None

    def _make_cause(self, crashes: Sequence[CrashId]) -> CrashCause:
        return CrashCause(len(crashes), max(self._crashes[key].noticed_at for key in crashes))

    def _is_usual(self, crashes: Sequence[CrashId]) -> bool:
        """Return whether some crashes are too many, of all crashes of their time, for chance."""
        times = [self._crashes[key].noticed_at for key in crashes]
        first_at, last_at = min(times), max(times)
        count = sum(first_at <= c.noticed_at <= last_at for c in self._crashes.values())
        if len(crashes) >= MIN_CRASHES_OF_ANY_SHARE and last_at - first_at >= MIN_SPAN_S:
            return True
        return len(crashes) >= MIN_SHARE * count

    def _is_full(self) -> bool:
        return (
            len(self._crashes) > MAX_CRASHES
            or len(self._crash_counts) > MAX_SUSPECTS
            or self._entries > MAX_ENTRIES
        )

    def _forget_weakest(self) -> None:
        """Forget the suspects of the oldest crash that had no other, or else the oldest crash."""
        if len(self._crashes) <= MAX_CRASHES:
            for crash in self._crashes.values():
                if not crash.is_reduced:
                    strong = {name for name in crash.suspects if self._crash_counts[name] > 1}
                    self._count(crash.suspects - strong, -1)
                    self._entries -= crash.entries
                    crash.reduce(strong)
                    self._entries += crash.entries
                    return
        self._excess += self._drop(next(iter(self._crashes))).reports.values()

    def _drop(self, key: CrashId) -> _Crash:
        crash = self._crashes.pop(key)
        self._entries -= crash.entries
        self._count(crash.suspects, -1)
        return crash

    def _count(self, suspects: Iterable[str], change: int) -> None:
        for suspect in suspects:
            count = self._crash_counts[suspect] + change
            if count:
                self._crash_counts[suspect] = count
            else:
                del self._crash_counts[suspect]
            if count >= MIN_CRASHES:
                self._frequent.add(suspect)
            else:
                self._frequent.discard(suspect)


def is_request(suspect: str) -> bool:
    """Return whether the id of a possible cause is that of a request, not of a prompt part."""
    return suspect.startswith(REQUEST_PREFIX)


def _score(
    crashes: Collection[Sequence[tuple[str, ...]]], rejected: Set[str] = frozenset()
) -> Counter[str]:
    """Return the parts with enough crashes, and how many implicate each.

    A crash does not implicate a part if a prompt with it also has a later part with enough
    crashes, be it a rejected one.
    """
    counts: Counter[str] = Counter()
    for prompts in crashes:
        counts.update(set().union(*prompts))
    frequent = {part for part, count in counts.items() if count >= MIN_CRASHES} | rejected
    scores: Counter[str] = Counter()
    for prompts in crashes:
        chains = [_choose_parts(prompt, frequent) for prompt in prompts]
        last = {chain[-1] for chain in chains if chain}
        scores.update(last.difference(*(chain[:-1] for chain in chains)))
    return Counter(
        {
            part: count
            for part, count in scores.items()
            if count >= MIN_CRASHES and part not in rejected
        }
    )


def _choose_parts(prompt: tuple[str, ...], wanted: set[str]) -> tuple[str, ...]:
    """Return the wanted parts of a prompt, in order."""
    # The usual case when long prompts come again; a loop over their parts would take long.
    if wanted.issuperset(prompt):
        return prompt
    return tuple(part for part in prompt if part in wanted)


def _contains(prompts: Iterable[Sequence[str]], part: str) -> bool:
    return any(part in prompt for prompt in prompts)
