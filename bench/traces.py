"""Traces of the goodput measurement: which calls arrive when, and which faults happen.

Times are engine seconds: real seconds divided by the time scale. Load is a multiple of what four
mixed engines can do by the cost model with full batches. The share of prefill is that of the work
on mixed engines, without the prompt tokens that are in the prefix cache.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator
from enum import StrEnum

import attrs

from figwalk.protocol.prefix import BYTES_PER_TOKEN, PIECE_TOKENS
from standins.cost import CostModel, EngineRole

ENGINES = 4
MAX_RUNNING = 16
PREFILL_SHARE = 0.39
MANUALS = 8
DURATION_S = 60.0
WARM_UP_S = 12.0


@attrs.frozen
class CallKind:
    """One kind of call.

    Attributes:
        name: Name in the results.
        priority: Priority class.
        organisation: Organisation of the caller.
        shared_tokens: Prompt tokens that many calls have in common.
        own_tokens: Prompt tokens of this call only.
        max_tokens: Length of the answer.
        stream: Whether the answer is streamed.
        deadline_s: Engine seconds until the deadline.
    """

    name: str
    priority: str
    organisation: str
    shared_tokens: int
    own_tokens: int
    max_tokens: int
    stream: bool
    deadline_s: float

    def prefill_s(self) -> float:
        """Return the engine seconds of the prompt on a mixed engine."""
        return self.own_tokens / CostModel().prefill_tokens_per_s(EngineRole.MIXED)

    def decode_s(self) -> float:
        """Return the engine seconds of the answer on a mixed engine with a full batch."""
        return self.max_tokens / CostModel().decode_tokens_per_s(EngineRole.MIXED, MAX_RUNNING)


LOG = CallKind("log", "normal", "van-dispatch", PIECE_TOKENS, 4000, 48, False, 10.0)
CHAT = CallKind("chat", "interactive", "bakery-counters", 0, 300, 160, True, 12.0)


@attrs.frozen
class Offered:
    """What is offered at one time.

    Attributes:
        load: Work for the capacity of mixed engines.
        prefill_share: Share of prefill in the work.
    """

    load: float
    prefill_share: float = PREFILL_SHARE

    def rates(self) -> dict[CallKind, float]:
        """Return the calls a second of each kind."""
        share = self.prefill_share
        # Work of a second: logs * log work + chats * chat work = load * engines, with the share.
        log_excess = LOG.prefill_s() * (1 - share) - LOG.decode_s() * share
        chat_excess = CHAT.decode_s() * share - CHAT.prefill_s() * (1 - share)
        chats_per_log = log_excess / chat_excess
        log_work = LOG.prefill_s() + LOG.decode_s()
        chat_work = CHAT.prefill_s() + CHAT.decode_s()
        logs = self.load * ENGINES / (log_work + chats_per_log * chat_work)
        return {LOG: logs, CHAT: logs * chats_per_log}


class FaultKind(StrEnum):
    """What happens to an engine during a trace."""

    REPORT_IDLE = "report_idle"
    REPORT_RIGHT = "report_right"
    CRASH = "crash"
    RESTART = "restart"
    WITHDRAW = "withdraw"
    RESTORE = "restore"


@attrs.frozen
class Fault:
    """A fault or planned event.

    Attributes:
        at_s: Engine seconds after the warm-up.
        kind: What happens.
    """

    at_s: float
    kind: FaultKind


@attrs.frozen
class Trace:
    """A course of load.

    Attributes:
        name: Name in the results.
        offered: Returns what is offered at an engine second after the warm-up.
        faults: Faults of the first engine.
        duration_s: Engine seconds that are measured.
    """

    name: str
    offered: Callable[[float], Offered]
    faults: tuple[Fault, ...] = ()
    duration_s: float = DURATION_S

    def arrivals(self, seed: int) -> Iterator[Arrival]:
        """Yield the calls in order of time, the warm-up's at negative times.

        Poisson arrivals by thinning; the same seed gives the same calls to every policy.
        """
        rng = random.Random(f"{self.name}/{seed}")
        peak = max(sum(self._rates(t).values()) for t in range(int(self.duration_s))) * 1.05
        at_s = -WARM_UP_S
        number = 0
        while True:
            at_s += rng.expovariate(peak)
            if at_s >= self.duration_s:
                return
            draw = rng.random() * peak
            for kind, rate in self._rates(max(0.0, at_s)).items():
                if draw < rate:
                    number += 1
                    yield Arrival(number, at_s, kind, rng.randrange(MANUALS), seed)
                    break
                draw -= rate

    def _rates(self, at_s: float) -> dict[CallKind, float]:
        return self.offered(at_s).rates()


@attrs.frozen
class Arrival:
    """One call of a trace.

    Attributes:
        number: Position in the trace.
        at_s: Engine seconds after the warm-up.
        kind: Its kind.
        manual: Which shared prefix the prompt has.
        seed: Seed of the trace.
    """

    number: int
    at_s: float
    kind: CallKind
    manual: int
    seed: int

    def prompt(self) -> str:
        """Return the prompt text."""
        shared = f"manual {self.manual} of the fleet. " * 400
        own = f"reading {self.number} of run {self.seed}. " * 1000
        shared_bytes = self.kind.shared_tokens * BYTES_PER_TOKEN
        return shared[:shared_bytes] + own[: self.kind.own_tokens * BYTES_PER_TOKEN]


def _swing(at_s: float) -> Offered:
    return Offered(0.85, PREFILL_SHARE * (1 + 0.5 * math.sin(2 * math.pi * at_s / DURATION_S)))


def _rush(at_s: float) -> Offered:
    rush = math.sin(math.pi * at_s / DURATION_S)
    return Offered(0.5 + 0.6 * rush, PREFILL_SHARE * (1 + 0.5 * rush))


def _constant(load: float) -> Callable[[float], Offered]:
    return lambda at_s: Offered(load)


_THIRD_S = DURATION_S / 3

TRACES = {
    trace.name: trace
    for trace in (
        Trace("steady", _constant(0.85)),
        Trace("swing", _swing),
        Trace("morning_rush", _rush),
        Trace(
            "reports_idle",
            _constant(0.8),
            (Fault(_THIRD_S, FaultKind.REPORT_IDLE), Fault(2 * _THIRD_S, FaultKind.REPORT_RIGHT)),
        ),
        Trace(
            "engine_crash",
            _constant(0.7),
            (Fault(_THIRD_S, FaultKind.CRASH), Fault(_THIRD_S + 10, FaultKind.RESTART)),
        ),
        Trace(
            "maintenance",
            _constant(0.6),
            (Fault(_THIRD_S, FaultKind.WITHDRAW), Fault(2 * _THIRD_S, FaultKind.RESTORE)),
        ),
        Trace("full_load", _constant(1.0)),
        Trace("overload", _constant(1.5)),
    )
}
