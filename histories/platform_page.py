"""Draws a run of the platform soak: faults, answers, latencies and violations on one time line."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from html import escape

from histories.checker import Violation
from histories.platform_call import PlatformCall
from histories.platform_history import NOT_RUN_STATUSES, PlatformHistory

WIDTH, MARGIN = 1200, 170
ROW = 14
LATENCY_HEIGHT = 120
BUCKET_S = 0.5
COLORS = {"served": "#4a7", "refused": "#e90", "failed": "#c33", "abandoned": "#999"}


def draw_page(history: PlatformHistory, violations: Sequence[Violation]) -> str:
    """Return an HTML page with one drawing."""
    calls = sorted(history.calls.values(), key=lambda call: call.sent_at)
    start = min((call.sent_at for call in calls), default=0.0)
    end = max((call.ended_at for call in calls), default=start) + BUCKET_S
    scale = (WIDTH - MARGIN) / max(end - start, BUCKET_S)

    def at(moment: float) -> float:
        return round(MARGIN + (moment - start) * scale, 1)

    shapes, top = [], ROW
    for name, target, began, ended in sorted(history.disturbances, key=lambda fault: fault[2]):
        width = max(2.0, (ended - began) * scale)
        shapes.append(_draw_label(f"{name} {target}", top))
        shapes.append(_draw_box(at(began), top - 10, width, 10, "#88c", f"{name} of {target}"))
        top += ROW
    for result, color in COLORS.items():
        shapes.append(_draw_label(f"{result} calls", top + 2 * ROW))
        counts = Counter(
            int((call.sent_at - start) / BUCKET_S) for call in calls if _result(call) == result
        )
        most = max(counts.values(), default=1)
        for bucket, count in counts.items():
            height = 2 * ROW * count / most
            box = (at(start + bucket * BUCKET_S), top + 2 * ROW - height, BUCKET_S * scale, height)
            shapes.append(_draw_box(*box, color, f"{count} {result}"))
        top += 3 * ROW
    shapes.append(_draw_label("streams taken up", top + ROW))
    for call in calls:
        if call.resumes:
            title = f"{call.call_id} takes up {call.resumes} after {call.after}: {_result(call)}"
            shapes.append(_draw_box(at(call.sent_at), top, 2, ROW, COLORS[_result(call)], title))
    top += 2 * ROW + LATENCY_HEIGHT
    shapes.append(_draw_label("latency, 0 to 2 s", top))
    for call in calls:
        height = min(2.0, call.ended_at - call.sent_at) / 2.0 * LATENCY_HEIGHT
        title = f"{call.call_id} at {call.gateway}: {_result(call)}, status {call.status}"
        shapes.append(_draw_box(at(call.sent_at), top - height, 2, 2, COLORS[_result(call)], title))
    top += 2 * ROW
    for violation in violations:
        shapes.append(_draw_label(violation.rule, top))
        for record in violation.records:
            moment = getattr(record, "sent_at", getattr(record, "at", None))
            if moment is not None:
                shapes.append(_draw_box(at(moment), top - 10, 4, 10, "#c0c", violation.message))
        top += ROW
    drawing = f'<svg width="{WIDTH}" height="{top + ROW}" font-size="10">{"".join(shapes)}</svg>'
    return f"<!doctype html><title>Platform soak</title>{drawing}\n"


def _result(call: PlatformCall) -> str:
    if call.abandoned:
        return "abandoned"
    if call.status in NOT_RUN_STATUSES:
        return "refused"
    return "served" if call.status == 200 and call.whole else "failed"


def _draw_label(text: str, bottom: float) -> str:
    return f'<text x="2" y="{bottom}">{escape(text)}</text>'


def _draw_box(left: float, top: float, width: float, height: float, color: str, title: str) -> str:
    position = f'x="{left:.1f}" y="{top:.1f}" width="{width:.1f}" height="{height:.1f}"'
    return f'<rect {position} fill="{color}"><title>{escape(title)}</title></rect>'
