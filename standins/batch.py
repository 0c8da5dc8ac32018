"""Continuous batching of the engine stand-in.

Calls wait in the order of priority and arrival until one of `max_running` places is free. Each
step gives one token to every decoding sequence and spends the rest of the token budget on prefill,
again in the order of priority and arrival. A sequence gets its first token in the step that ends
its prefill.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable
from enum import StrEnum

import attrs
import trio

from figwalk.protocol.prefix import PIECE_TOKENS
from standins.cache import PrefixCache
from standins.cost import ROLE_COSTS, CostModel, EngineRole
from standins.text import generate_token

PRIORITIES = {"interactive": 0, "normal": 1, "batch": 2}


class EndReason(StrEnum):
    """Why a sequence ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    INTERRUPTED = "interrupted"


@attrs.define(eq=False)
class Sequence:
    """One call in the batch.

    Attributes:
        request_id: Id of the call.
        rank: Number of its priority; lower goes first.
        digest: Digest of the prompt, which determines the tokens.
        pieces: Hashes of the prompt's pieces.
        prompt_tokens: Length of the prompt.
        resumed_tokens: Tokens that were already generated elsewhere.
        end_position: Number of tokens of the whole answer.
        imports: Pieces to import before the prefill.
        arrival: Position among all calls.
        prefilled: Tokens of prompt and resumed tokens that need no more work.
        position: Tokens of the answer generated so far, with the resumed ones.
        end_reason: Set when the sequence has ended.
    """

    request_id: str
    rank: int
    digest: bytes
    pieces: list[int]
    prompt_tokens: int
    resumed_tokens: int
    end_position: int
    imports: list[int] = attrs.field(factory=list)
    arrival: int = 0
    prefilled: int = 0
    position: int = 0
    end_reason: EndReason | None = None
    _sender: trio.MemorySendChannel[str] = attrs.field(init=False)
    _receiver: trio.MemoryReceiveChannel[str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.position = self.resumed_tokens
        self._sender, self._receiver = trio.open_memory_channel[str](math.inf)

    @property
    def tokens(self) -> trio.MemoryReceiveChannel[str]:
        """Generated tokens; it ends when the sequence ends."""
        return self._receiver

    @property
    def prefill_left(self) -> int:
        """Tokens still to be prefilled."""
        return self.prompt_tokens + self.resumed_tokens - self.prefilled

    @property
    def output_left(self) -> int:
        """Tokens still to be generated."""
        return self.end_position - self.position

    @property
    def order(self) -> tuple[int, int]:
        """Sort key for waiting and prefill."""
        return self.rank, self.arrival

    def push(self, token: str) -> None:
        """Hand over the next token."""
        self.position += 1
        self._sender.send_nowait(token)

    def end(self, reason: EndReason) -> None:
        """End the sequence."""
        self.end_reason = reason
        self._sender.close()


@attrs.frozen
class StepPlan:
    """Work of one step."""

    decoding: list[Sequence]
    prefill: list[tuple[Sequence, int]]

    @property
    def empty(self) -> bool:
        """Whether there is nothing to do."""
        return not self.decoding and not self.prefill

    @property
    def prefill_tokens(self) -> int:
        """Prefill tokens of the step."""
        return sum(count for _, count in self.prefill)


class Batch:
    """Waiting and running sequences of an engine.

    Args:
        cost: Durations of the steps.
        cache: Prefix cache.
        max_running: Places for running sequences.
        role: Returns the present role.
        hold_after: Returns the length at which answers stay unfinished until `wake`, or None.
    """

    def __init__(
        self,
        cost: CostModel,
        cache: PrefixCache,
        max_running: int,
        role: Callable[[], EngineRole],
        *,
        hold_after: Callable[[], int | None] = lambda: None,
    ) -> None:
        self._cost = cost
        self._cache = cache
        self._max_running = max_running
        self._role = role
        self._hold_after = hold_after
        self._arrivals = itertools.count(1)
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._work = trio.Event()
        self._imported = 0
        self._prompt_tokens_total = 0
        self._generated_tokens_total = 0

    @property
    def waiting(self) -> list[Sequence]:
        """Sequences without a place."""
        return self._waiting

    @property
    def running(self) -> list[Sequence]:
        """Sequences with a place."""
        return self._running

    @property
    def prompt_tokens_total(self) -> int:
        """Tokens prefilled since the start, without those found in the cache."""
        return self._prompt_tokens_total

    @property
    def generated_tokens_total(self) -> int:
        """Tokens generated since the start."""
        return self._generated_tokens_total

    def find(self, request_id: str) -> Sequence | None:
        """Return the waiting or running sequence of a call."""
        for sequence in itertools.chain(self._running, self._waiting):
            if sequence.request_id == request_id:
                return sequence
        return None

    def add(self, sequence: Sequence) -> None:
        """Let a sequence wait for a place; one that is already whole ends at once."""
        if sequence.output_left <= 0:
            sequence.end(EndReason.FINISHED)
            return
        sequence.arrival = next(self._arrivals)
        self._waiting.append(sequence)
        self._work.set()

    def end(self, sequence: Sequence, reason: EndReason) -> None:
        """End a sequence and free its place; one that has ended stays as it is."""
        if sequence.end_reason is not None:
            return
        sequence.end(reason)
        owner = self._running if sequence in self._running else self._waiting
        owner.remove(sequence)
        self.wake()

    def wake(self) -> None:
        """Look again for work after `hold_after` has changed."""
        self._work.set()

    def interrupt(self) -> int:
        """End all sequences and return how many there were."""
        sequences = [*self._running, *self._waiting]
        for sequence in sequences:
            self.end(sequence, EndReason.INTERRUPTED)
        return len(sequences)

    async def run(self) -> None:
        """Work in steps until cancelled."""
        while True:
            self._work = trio.Event()
            self._fill_places()
            plan = self._plan_step()
            if plan.empty:
                await self._work.wait()
                continue
            imported, self._imported = self._imported, 0
            duration_s = self._cost.step_s(
                self._role(),
                prefill_tokens=plan.prefill_tokens,
                decoding=len(plan.decoding),
                imported=imported,
            )
            await trio.sleep(duration_s)
            self._finish_step(plan)

    def _fill_places(self) -> None:
        self._waiting.sort(key=lambda sequence: sequence.order)
        while self._waiting and len(self._running) < self._max_running:
            sequence = self._waiting.pop(0)
            self._import_pieces(sequence)
            cached = self._cache.match(sequence.pieces) * PIECE_TOKENS
            # The last prompt token is always computed: its result is the first output token.
            total = sequence.prompt_tokens + sequence.resumed_tokens
            sequence.prefilled = min(cached, total - 1)
            self._running.append(sequence)

    def _import_pieces(self, sequence: Sequence) -> None:
        present = [piece for piece in sequence.imports if piece in self._cache]
        for piece in present:
            self._cache.store(piece)
        self._imported += len(present)

    def _plan_step(self) -> StepPlan:
        decoding = [
            sequence
            for sequence in self._running
            if not sequence.prefill_left and not self._is_held(sequence)
        ]
        budget = max(ROLE_COSTS[self._role()].step_tokens - len(decoding), 1)
        prefill: list[tuple[Sequence, int]] = []
        for sequence in sorted(self._running, key=lambda sequence: sequence.order):
            count = min(sequence.prefill_left, budget)
            if count:
                prefill.append((sequence, count))
                budget -= count
        return StepPlan(decoding, prefill)

    def _is_held(self, sequence: Sequence) -> bool:
        limit = self._hold_after()
        return limit is not None and sequence.position >= limit

    def _finish_step(self, plan: StepPlan) -> None:
        for sequence, count in plan.prefill:
            if sequence.end_reason is None:
                self._advance_prefill(sequence, count)
        for sequence in plan.decoding:
            if sequence.end_reason is None:
                self._generate(sequence)

    def _advance_prefill(self, sequence: Sequence, count: int) -> None:
        done_before = sequence.prefilled // PIECE_TOKENS
        sequence.prefilled += count
        self._prompt_tokens_total += count
        for piece in sequence.pieces[done_before : sequence.prefilled // PIECE_TOKENS]:
            self._cache.store(piece)
        if not sequence.prefill_left:
            self._generate(sequence)

    def _generate(self, sequence: Sequence) -> None:
        self._generated_tokens_total += 1
        sequence.push(generate_token(sequence.digest, sequence.position))
        if not sequence.output_left:
            self.end(sequence, EndReason.FINISHED)
