"""Adds up the usage counts of all gateways and decides the report of a window."""

from __future__ import annotations

from collections import defaultdict

import attrs

from figwalk.duties.usage_records import KEPT_WINDOWS, UsageCounts, UsageDecision

# A gateway that wrote no counts for this many windows is not waited for any more.
ABSENT_WINDOWS = 12


@attrs.define
class _Source:
    """Counts of one gateway process, merged from all of its records."""

    process: str
    first: int
    through: int
    stopped: bool
    windows: dict[int, dict[str, int]] = attrs.field(factory=dict)
    partial: dict[str, int] = attrs.field(factory=dict)

    def partial_of(self, window: int) -> dict[str, int]:
        """Return what was written of a window that was never written whole."""
        is_next = window == self.through + 1 and window not in self.windows
        return self.partial if is_next else {}


class UsageLedger:
    """Counts of all gateways, and the decision on each window's report.

    It serves some dozens of gateways and about a hundred organisations, with one record of each
    gateway a window. Records may come late, twice or out of order. The counts of a gateway in one
    window are always the same, so that two processes with the records of the same gateways decide
    the same. Of a gateway that died, what it had written of its last window is included.
    """

    def __init__(self) -> None:
        self._sources: dict[str, _Source] = {}
        # Added up as the records come, which keeps the decision itself short.
        self._sums: dict[int, dict[str, int]] = defaultdict(lambda: defaultdict(int))

    @property
    def first_window(self) -> int | None:
        """First window in which any known gateway counted, or None without records."""
        return min((source.first for source in self._sources.values()), default=None)

    def apply(self, key: str, counts: UsageCounts) -> dict[int, dict[str, int]]:
        """Add the counts of a gateway's record; return those that were not known before."""
        source = self._sources.get(key)
        if source is None:
            source = self._sources[key] = _Source(
                counts.process, counts.first, counts.through, counts.stopped
            )
        if counts.through >= source.through:
            source.through, source.partial = counts.through, counts.partial
        source.stopped = source.stopped or counts.stopped
        added = {k: v for k, v in counts.windows.items() if k not in source.windows}
        source.windows |= added
        for window, values in added.items():
            _add(self._sums[window], values)
        return added

    def decide(self, window: int, *, overdue: bool) -> UsageDecision | None:
        """Return the report of a window, or None if counts are awaited.

        Args:
            window: Number of the window.
            overdue: Whether the report is to be decided without the counts that are missing.
        """
        missing = sorted({s.process for s in self._sources.values() if _is_missing(s, window)})
        if missing and not overdue:
            return None
        sums = defaultdict(int, self._sums.get(window, {}))
        for source in self._sources.values():
            _add(sums, source.partial_of(window))
        return UsageDecision(window, dict(sorted(sums.items())), missing)

    def expire(self, window: int) -> list[str]:
        """Forget what is too old to be reported.

        Args:
            window: The present window.

        Returns:
            Keys of gateways that no longer write, to be removed from the log.
        """
        oldest = window - KEPT_WINDOWS
        gone = [key for key, source in self._sources.items() if source.through < oldest]
        for key in gone:
            del self._sources[key]
        for known in [k for k in self._sums if k < oldest]:
            del self._sums[known]
        for source in self._sources.values():
            source.windows = {k: v for k, v in source.windows.items() if k >= oldest}
        return gone


def _add(sums: dict[str, int], counts: dict[str, int]) -> None:
    for organisation, count in counts.items():
        sums[organisation] += count


def _is_missing(source: _Source, window: int) -> bool:
    is_expected = not source.stopped and source.first <= window
    return is_expected and window - ABSENT_WINDOWS <= source.through < window
