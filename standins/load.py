"""Lagging load reports of the engine stand-in."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs
import trio

from standins.batch import Batch
from standins.cost import CostModel, EngineRole

MS_PER_S = 1000


@attrs.frozen
class LoadSnapshot:
    """Load at one moment.

    Attributes:
        running: Calls with a place in the batch.
        queued: Calls without one.
        queued_prompt_tokens: Prompt tokens of all calls still to be prefilled.
        queued_output_tokens: Tokens of all calls still to be generated.
        max_running: Places in the batch.
        prefill_tokens_per_s: Prompt tokens a second in the present role, if nothing else runs.
        decode_tokens_per_s: Generated tokens a second of a full batch in the present role.
        prompt_tokens_total: Prompt tokens prefilled since the start, without cached ones.
        generated_tokens_total: Tokens generated since the start.
    """

    running: int
    queued: int
    queued_prompt_tokens: int
    queued_output_tokens: int
    max_running: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    prompt_tokens_total: int
    generated_tokens_total: int

    def as_idle(self) -> LoadSnapshot:
        """Return the snapshot with nothing running or queued."""
        return attrs.evolve(
            self, running=0, queued=0, queued_prompt_tokens=0, queued_output_tokens=0
        )


class LoadReporter:
    """Takes snapshots and shows one that is at least `lag_s` old.

    Args:
        batch: The batch.
        cost: Cost model, for the speeds.
        role: Returns the present role.
        max_running: Places in the batch.
        lag_s: Real seconds that a report lags.
        period_s: Real seconds between snapshots.
    """

    def __init__(
        self,
        batch: Batch,
        cost: CostModel,
        role: Callable[[], EngineRole],
        *,
        max_running: int,
        lag_s: float,
        period_s: float,
    ) -> None:
        self._batch = batch
        self._cost = cost
        self._role = role
        self._max_running = max_running
        self._lag_s = lag_s
        self._period_s = period_s
        self._snapshots: deque[tuple[float, LoadSnapshot]] = deque()

    async def run(self) -> None:
        """Take snapshots until cancelled."""
        while True:
            self._snapshots.append((trio.current_time(), self._take_snapshot()))
            await trio.sleep(self._period_s)

    def render(self, *, idle: bool) -> dict[str, object]:
        """Return the answer to `GET /load`.

        Args:
            idle: Report nothing as running or queued.
        """
        now = trio.current_time()
        if not self._snapshots:
            self._snapshots.append((now, self._take_snapshot()))
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - self._lag_s:
            self._snapshots.popleft()
        taken_at, snapshot = self._snapshots[0]
        shown = snapshot.as_idle() if idle else snapshot
        return {"age_ms": (now - taken_at) * MS_PER_S, **attrs.asdict(shown)}

    def _take_snapshot(self) -> LoadSnapshot:
        sequences = [*self._batch.running, *self._batch.waiting]
        role = self._role()
        return LoadSnapshot(
            running=len(self._batch.running),
            queued=len(self._batch.waiting),
            queued_prompt_tokens=sum(sequence.prefill_left for sequence in sequences),
            queued_output_tokens=sum(sequence.output_left for sequence in sequences),
            max_running=self._max_running,
            prefill_tokens_per_s=self._cost.prefill_tokens_per_s(role),
            decode_tokens_per_s=self._cost.decode_tokens_per_s(role, self._max_running),
            prompt_tokens_total=self._batch.prompt_tokens_total,
            generated_tokens_total=self._batch.generated_tokens_total,
        )
