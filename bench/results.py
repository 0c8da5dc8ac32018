"""Results of the goodput measurement: one cell is one trace, policy and seed."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from bench.callers import Outcome
from figwalk.entry.tallies import FIRST_TOKEN_TARGET_S, TOKEN_GAP_TARGET_S

WINDOWS = 10


class OutcomeClassifier:
    """Decides which calls count as goodput.

    Args:
        time_scale: Real seconds per engine second; all targets are scaled by it.
    """

    def __init__(self, time_scale: float) -> None:
        self._time_scale = time_scale

    def classify(self, outcome: Outcome) -> str:
        """Return `good`, or why a call does not count."""
        kind = outcome.arrival.kind
        if outcome.status != 200 or not outcome.complete:
            return "refused" if outcome.status in (429, 503, 504) else "failed"
        if outcome.total_s > kind.deadline_s * self._time_scale:
            return "late"
        if kind.stream and outcome.first_s > FIRST_TOKEN_TARGET_S * self._time_scale:
            return "late_first_token"
        if kind.stream and outcome.token_gap_s > TOKEN_GAP_TARGET_S * self._time_scale:
            return "slow_tokens"
        return "good"


@attrs.frozen
class Cell:
    """Results of one trace, policy and seed; times are engine seconds or milliseconds.

    Attributes:
        trace: Name of the trace.
        policy: Name of the policy.
        seed: Seed of the trace.
        offered: Number of calls sent after the warm-up.
        good: Number of calls that count as goodput.
        goodput_per_s: Good calls per engine second.
        verdicts: Number of calls by verdict.
        verdicts_by_kind: Number of calls by verdict for each kind of call.
        refusals: Number of calls with an error code, by code.
        first_token_p95_s: 95th percentile, over streams, of the time to the first token.
        token_gap_p95_ms: 95th percentile, over streams, of the mean time between tokens.
        chunk_gap_p95_ms: 95th percentile of the gaps between chunks.
        role_changes: Role changes as known to the first entry: backend server, role and reason.
        region_bytes: Bytes transferred between regions.
        good_share_by_window: Share of good calls in each tenth of the measured time.
        machine_load: One-minute load average of the machine at the end.
    """

    trace: str
    policy: str
    seed: int
    offered: int
    good: int
    goodput_per_s: float
    verdicts: dict[str, int]
    verdicts_by_kind: dict[str, dict[str, int]]
    refusals: dict[str, int]
    first_token_p95_s: float
    token_gap_p95_ms: float
    chunk_gap_p95_ms: float
    role_changes: list[str]
    region_bytes: int
    good_share_by_window: list[float]
    machine_load: float


def summarise(
    outcomes: Sequence[Outcome],
    classifier: OutcomeClassifier,
    *,
    duration_s: float,
    time_scale: float,
) -> dict[str, Any]:
    """Return the fields of a cell that are computed from the calls."""
    measured = [outcome for outcome in outcomes if outcome.arrival.at_s >= 0]
    verdicts = [(outcome, classifier.classify(outcome)) for outcome in measured]
    streams = [o for o in measured if o.arrival.kind.stream and o.complete]
    kinds = {outcome.arrival.kind.name for outcome in measured}
    good = sum(verdict == "good" for _, verdict in verdicts)
    return {
        "offered": len(measured),
        "good": good,
        "goodput_per_s": round(good / duration_s, 3),
        "verdicts": dict(Counter(verdict for _, verdict in verdicts)),
        "verdicts_by_kind": {
            kind: dict(Counter(v for o, v in verdicts if o.arrival.kind.name == kind))
            for kind in sorted(kinds)
        },
        "refusals": dict(Counter(o.code for o in measured if o.code)),
        "first_token_p95_s": round(_p95(o.first_s for o in streams) / time_scale, 3),
        "token_gap_p95_ms": round(_p95(o.token_gap_s for o in streams) / time_scale * 1000, 1),
        "chunk_gap_p95_ms": round(
            _p95(gap for o in streams for gap in o.gaps_s) / time_scale * 1000, 1
        ),
        "good_share_by_window": _good_shares(verdicts, duration_s),
    }


def _good_shares(verdicts: list[tuple[Outcome, str]], duration_s: float) -> list[float]:
    shares = []
    for window in range(WINDOWS):
        in_window = [
            verdict
            for outcome, verdict in verdicts
            if int(outcome.arrival.at_s / duration_s * WINDOWS) == window
        ]
        shares.append(round(in_window.count("good") / max(1, len(in_window)), 3))
    return shares


def _p95(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[int(0.95 * (len(ordered) - 1))] if ordered else 0.0


def render_table(cells: Sequence[dict[str, Any]]) -> str:
    """Return a table with the median and range over the seeds of each trace and policy."""
    groups: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for cell in cells:
        groups.setdefault((cell["trace"], cell["policy"]), []).append(cell)
    lines = [
        "| trace | policy | seeds | good calls/s | good % | role changes | refused % "
        "| first token p95 s | token gap p95 ms | MB between regions |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for (trace, policy), group in groups.items():
        columns = [
            _format_spread([c["goodput_per_s"] for c in group], 2),
            _format_spread([100 * c["good"] / max(1, c["offered"]) for c in group], 1),
            _format_spread([len(c["role_changes"]) for c in group], 0),
            _format_spread(
                [100 * c["verdicts"].get("refused", 0) / c["offered"] for c in group], 1
            ),
            _format_spread([c["first_token_p95_s"] for c in group], 2),
            _format_spread([c["token_gap_p95_ms"] for c in group], 0),
            _format_spread([c["region_bytes"] / 1e6 for c in group], 1),
        ]
        seeds = ",".join(str(c["seed"]) for c in group)
        lines.append(f"| {trace} | {policy} | {seeds} | {' | '.join(columns)} |")
    return "\n".join(lines)


def _format_spread(values: list[float], digits: int) -> str:
    median = f"{statistics.median(values):.{digits}f}"
    if len(values) == 1:
        return median
    return f"{median} ({min(values):.{digits}f}-{max(values):.{digits}f})"
