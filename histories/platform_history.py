"""What a soak on the platform's protocol saw, and the rules that it must not break."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Collection, Iterable

import attrs

from histories.checker import Violation
from histories.platform_call import PlatformCall
from histories.platform_streams import group_streams
from standins.platform_backend import (
    DEFAULT_VERSION,
    HEARTBEAT_S,
    MISSED_HEARTBEATS,
    expected_body,
)

# Each of these says that the call has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# The users' sheet: an answer is this late at most, and a process is gone this long after SIGTERM.
TRANSIT_S = 0.3
GRACE_S = 8.0
# The users' sheet: service is whole again this long after the last fault.
RECOVER_S = 15.0
# Scheduling on a shared machine, on top of the sheet's bounds.
CLOCK_SLACK_S = 1.0
# The users' sheet: rule LOST holds for this many streams that are taken up, and for this share of
# that of new streams that begin.
MIN_TAKE_UPS = 12
MIN_TAKE_UP_SHARE = 0.5
# Gateways know a new backend server after this time at the latest, unless a link of theirs fails.
SETTLE_S = MISSED_HEARTBEATS * HEARTBEAT_S


@attrs.frozen
class BackendNote:
    """A line of a backend server's run log.

    Attributes:
        event: What happened to the call.
        call_id: Its id.
        at: Unix seconds.
        backend: Id of the backend server.
        organisation: Name of an organisation in the request, for `received`.
        has_key: Whether the request held a key, for `received`.
        version: Software version of the backend server.
        stage: Its stage if it is an engine, or empty.
    """

    event: str
    call_id: str
    at: float
    backend: str
    organisation: str = ""
    has_key: bool = False
    version: str = ""
    stage: str = ""

    @property
    def server(self) -> str:
        """Name of the backend server in the deployment's plan."""
        return self.backend.rpartition(".")[0]


@attrs.frozen
class PlannedStop:
    """A gateway's end after SIGTERM.

    Attributes:
        gateway: The gateway.
        since: Unix seconds of SIGTERM.
        took_s: Seconds until it had ended.
        status: Exit status.
    """

    gateway: str
    since: float
    took_s: float
    status: int


@attrs.frozen
class RetryBound:
    """Attempts beyond the first that all gateways may send in a window.

    Attributes:
        ratio: For each call.
        window_s: Length of a window.
        slack: On top.
    """

    ratio: float
    window_s: float
    slack: float


@attrs.define
class PlatformHistory:
    """Everything that was seen.

    Attributes:
        bound: Bound of repeated attempts.
        calls: All calls by id.
        notes: Arrivals and runs at the backend servers.
        stops: Planned stops of gateways.
        disturbances: Name, target, start and end of each fault.
        failures: Unexpected errors in the processes' logs.
        stalls: Start and end of each time in which the callers themselves did not run, because
            the machine was stopped or starved; nothing that they measured then tells of a gateway.
    """

    bound: RetryBound
    calls: dict[str, PlatformCall] = attrs.field(factory=dict)
    notes: list[BackendNote] = attrs.field(factory=list)
    stops: list[PlannedStop] = attrs.field(factory=list)
    disturbances: list[tuple[str, str, float, float]] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)
    stalls: list[tuple[float, float]] = attrs.field(factory=list)

    def is_measured(self, start: float, end: float) -> bool:
        """Return whether the callers ran all the time between two points of time."""
        return not any(since < end and until > start for since, until in self.stalls)

    def is_disturbed(self, targets: Collection[str], start: float, end: float) -> bool:
        """Return whether a fault of one of the targets was in force in a time."""
        return any(
            since < end and until > start
            for _, target, since, until in self.disturbances
            if target in targets
        )

    def versions(self) -> list[str]:
        """Return the software versions that backend servers had."""
        return sorted({DEFAULT_VERSION, *(note.version for note in self.notes if note.version)})

    def read_run_log(self, lines: Iterable[str]) -> None:
        """Take the lines of a backend server's run log; a last line may be cut off."""
        for line in lines:
            if line.endswith("}"):
                fields = json.loads(line)
                self.notes.append(
                    BackendNote(
                        fields["event"],
                        fields["id"],
                        fields["at"],
                        fields["backend"],
                        fields.get("organisation", ""),
                        fields.get("has_key", False),
                        fields["version"],
                        fields["stage"],
                    )
                )


def check_platform_history(history: PlatformHistory, *, timeless: bool = False) -> list[Violation]:
    """Return all violations of the rules.

    Args:
        history: What was seen.
        timeless: Whether to judge only by the rules that need no wall clock.
    """
    rules = _TIMELESS_RULES if timeless else (*_TIMELESS_RULES, *_TIMED_RULES)
    return [violation for rule in rules for violation in rule(history)]


def check_run_counts(history: PlatformHistory) -> list[Violation]:
    """No call runs more often than its route allows."""
    runs = _group(history, "run")
    return [
        Violation("runs", f"{call_id} ran {len(runs[call_id])} times", (call, *runs[call_id]))
        for call_id, call in history.calls.items()
        if len(runs[call_id]) > call.kind.max_runs
    ]


def check_refusals(history: PlatformHistory) -> list[Violation]:
    """A call that was refused as not run has not run, and does not run later."""
    runs = _group(history, "run")
    return [
        Violation(
            "not_run", f"{call.call_id} was told {call.status} and ran", (call, *runs[call.call_id])
        )
        for call in history.calls.values()
        if call.status in NOT_RUN_STATUSES and runs[call.call_id]
    ]


def check_answers(history: PlatformHistory) -> list[Violation]:
    """An answer is that of its own call and signed, and that of a plain service whole."""
    violations = []
    for call in history.calls.values():
        fault = _find_fault(call)
        if fault:
            violations.append(Violation("own_answer", f"{call.call_id}: {fault}", (call,)))
    return violations


def check_streams(history: PlatformHistory) -> list[Violation]:
    """The answers to all attempts of a caller are together one whole stream of one version."""
    violations = []
    versions = history.versions()
    for stream in group_streams(history.calls.values()):
        fault = stream.find_fault(versions)
        if fault:
            violations.append(Violation("order", fault, stream.attempts))
    return violations


def check_organisations(history: PlatformHistory) -> list[Violation]:
    """Backend servers get the name of the caller's organisation and no key; no key is refused."""
    violations = [
        Violation("organisation", f"{call.call_id} was refused for its key", (call,))
        for call in history.calls.values()
        if call.status == 401
    ]
    for note in history.notes:
        call = history.calls.get(note.call_id)
        if note.event != "received" or call is None:
            continue
        if note.has_key or note.organisation != call.organisation:
            message = f"{note.call_id} came with a key or with the organisation of another caller"
            violations.append(Violation("organisation", message, (call, note)))
    return violations


def check_ends(history: PlatformHistory) -> list[Violation]:
    """Each call has ended, at the latest when its caller no longer waits."""
    paused = [
        (target, start, end)
        for name, target, start, end in history.disturbances
        if name.startswith("pause")
    ]
    violations = []
    for call in history.calls.values():
        if call.kind.is_stream or call.abandoned:
            continue
        limit = call.patience_s + TRANSIT_S + CLOCK_SLACK_S
        if not history.is_measured(call.sent_at, call.ended_at or call.sent_at + limit):
            continue
        frozen = sum(
            end - start
            for target, start, end in paused
            if target == call.gateway and start < call.sent_at + limit and end > call.sent_at
        )
        if not call.ended_at or call.ended_at - call.sent_at > limit + frozen:
            message = f"{call.call_id} had no end {limit:.1f} s after it was sent"
            violations.append(Violation("ends", message, (call,)))
    return violations


def check_stops(history: PlatformHistory) -> list[Violation]:
    """A gateway ends by itself within the grace period after SIGTERM."""
    return [
        Violation("planned_stop", f"{stop.gateway} took {stop.took_s:.1f} s", (stop,))
        for stop in history.stops
        if stop.status != 0
        or (stop.took_s > GRACE_S and history.is_measured(stop.since, stop.since + stop.took_s))
    ]


def check_retry_bound(history: PlatformHistory) -> list[Violation]:
    """Repeated attempts stay within the bound in every window."""
    bound = history.bound
    arrivals = sorted(history.notes, key=lambda note: note.at)
    seen: set[str] = set()
    firsts, repeats = [], []
    for note in arrivals:
        if note.event != "received":
            continue
        (repeats if note.call_id in seen else firsts).append(note.at)
        seen.add(note.call_id)
    violations = []
    for start in repeats:
        end = start + bound.window_s
        calls = sum(start <= at < end for at in firsts)
        extra = sum(start <= at < end for at in repeats)
        # A prefill call and the run that follows are two arrivals of one attempt.
        if extra > bound.slack + bound.ratio * calls + _count_prefills(history, start, end):
            message = f"{extra} repeats for {calls} calls in the {bound.window_s:g} s from {start}"
            violations.append(Violation("retry_bound", message, ()))
            break
    return violations


def check_calm_calls(history: PlatformHistory) -> list[Violation]:
    """Calls are served again `RECOVER_S` after the last fault."""
    return [
        Violation("recovery", f"{call.call_id} was not served after the faults", (call,))
        for call in history.calls.values()
        if call.calm
        and not (call.status == 200 and call.whole)
        # A stop of the machine is a fault of its own, from which service recovers as well.
        and history.is_measured(call.sent_at - RECOVER_S, call.ended_at or call.sent_at)
    ]


def check_take_ups(history: PlatformHistory) -> list[Violation]:
    """Streams that are taken up go on about as often as new ones begin."""
    counts = count_take_ups(history)
    begun_share = counts.begun / max(counts.new, 1)
    share = len(counts.went_on) / max(counts.judged, 1)
    if counts.judged < MIN_TAKE_UPS or share >= MIN_TAKE_UP_SHARE * begun_share:
        return []
    message = (
        f"{len(counts.went_on)} of {counts.judged} streams went on that were taken up, "
        f"{counts.begun} of {counts.new} new ones began"
    )
    return [Violation("lost", message, tuple(counts.lost))]


@attrs.define
class TakeUpCounts:
    """Resumable streams at gateways without a fault of their own.

    Attributes:
        new: New streams.
        begun: Those of them that began.
        went_on: Attempts to take up a stream, the first of each stream, that went on.
        lost: Those that did not.
    """

    new: int = 0
    begun: int = 0
    went_on: list[PlatformCall] = attrs.field(factory=list)
    lost: list[PlatformCall] = attrs.field(factory=list)

    @property
    def judged(self) -> int:
        """Streams that were taken up."""
        return len(self.went_on) + len(self.lost)


def count_take_ups(history: PlatformHistory) -> TakeUpCounts:
    """Count new streams, and those taken up while two engines of their version serve.

    A stream counts once, by the first attempt to take it up that meets the conditions. A stream
    that its caller left before anything came tells nothing.
    """
    counts = TakeUpCounts()
    servers = _ServerTimes(history)
    versions = history.versions()
    for stream in group_streams(history.calls.values()):
        if not stream.attempts[0].kind.is_resumable:
            continue
        for call in stream.attempts:
            begun = call.status == 200 and (call.whole or bool(call.body))
            end = call.began_at or call.ended_at or call.sent_at + call.patience_s
            if (call.abandoned and not begun) or _is_gateway_disturbed(history, call, end):
                continue
            if not history.is_measured(call.sent_at, end):
                continue
            if not call.resumes:
                counts.new += 1
                counts.begun += begun
            elif servers.count(stream.find_version(versions), call.sent_at, end) >= 2:
                (counts.went_on if begun else counts.lost).append(call)
                break
    return counts


def _is_gateway_disturbed(history: PlatformHistory, call: PlatformCall, end: float) -> bool:
    links = {f"{call.gateway}-{side}" for side in ("store", "agents")}
    return history.is_disturbed({call.gateway, *links}, call.sent_at, end)


class _ServerTimes:
    """Times in which engines that generate answers serve.

    Args:
        history: Its notes tell when backend servers registered first and left.
    """

    def __init__(self, history: PlatformHistory) -> None:
        self._history = history
        self._notes: defaultdict[str, list[BackendNote]] = defaultdict(list)
        for note in sorted(history.notes, key=lambda note: note.at):
            if note.event in {"registered", "leaving"} and note.stage == "decode":
                self._notes[note.server].append(note)

    def count(self, version: str, start: float, end: float) -> int:
        """Return how many engines of a version serve throughout, and have for `SETTLE_S`."""
        count = 0
        for server, notes in self._notes.items():
            newest = next((note for note in reversed(notes) if note.at < end), None)
            if newest is None or newest.event == "leaving" or newest.version != version:
                continue
            is_settled = newest.at < start - SETTLE_S
            if is_settled and not self._history.is_disturbed({server}, start, end):
                count += 1
        return count


def check_failures(history: PlatformHistory) -> list[Violation]:
    """No process logs an error of its own."""
    return [Violation("failure", line, ()) for line in history.failures]


_TIMELESS_RULES = (
    check_run_counts,
    check_refusals,
    check_answers,
    check_streams,
    check_organisations,
    check_failures,
)
_TIMED_RULES = (check_ends, check_stops, check_retry_bound, check_calm_calls, check_take_ups)


def _group(history: PlatformHistory, event: str) -> defaultdict[str, list[BackendNote]]:
    groups: defaultdict[str, list[BackendNote]] = defaultdict(list)
    for note in history.notes:
        if note.event == event:
            groups[note.call_id].append(note)
    return groups


def _count_prefills(history: PlatformHistory, start: float, end: float) -> int:
    """Return the number of calls that were prefilled in a window."""
    return len({n.call_id for n in history.notes if n.event == "prefill" and start <= n.at < end})


def _find_fault(call: PlatformCall) -> str:
    if call.status is None:
        return ""
    if call.echoed_id not in {call.call_id, ""}:
        return f"the answer is that of {call.echoed_id!r}"
    if call.status != 200:
        return ""
    if not call.signed:
        return "a 200 without a signature"
    if call.kind.is_stream or not call.whole:
        return ""
    if call.body != expected_body(call.call_id, call.target):
        return "the body is that of another call"
    return ""
