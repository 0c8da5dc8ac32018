"""Cost model of the engine stand-in: how long one step of the batch takes in each role.

An engine works in steps. In a step every decoding sequence gets one token, and what is left of the
role's token budget goes to the prefill of prompts, in chunks. The step takes

    base_ms + prefill tokens * prefill_ms_per_token + decoding sequences * decode_ms_per_sequence
            + imported pieces * IMPORT_MS_PER_PIECE

milliseconds, multiplied by the time scale. With the values of `ROLE_COSTS`, a full step without
decoding prefills about 23,800 tokens a second in role `prefill`, 10,000 in `mixed` and 3,500 in
`decode`. 32 decoding sequences without prefill get about 235 tokens a second in role `prefill`,
900 in `mixed` and 1,780 in `decode`. A step with full budget in role `mixed` takes 51 ms plus the
decoding, so that prompts slow down the streams beside them. The cost of a step does not depend on
the length of the sequences.
"""

from __future__ import annotations

from enum import StrEnum

import attrs

MS_PER_S = 1000
IMPORT_MS_PER_PIECE = 5.0


class EngineRole(StrEnum):
    """What an engine is fast at."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


@attrs.frozen
class RoleCost:
    """Cost of the steps in one role.

    Attributes:
        step_tokens: Token budget of a step.
        base_ms: Fixed cost of a step.
        prefill_ms_per_token: Cost of a prompt token.
        decode_ms_per_sequence: Cost of a decoding sequence.
    """

    step_tokens: int
    base_ms: float
    prefill_ms_per_token: float
    decode_ms_per_sequence: float


ROLE_COSTS = {
    EngineRole.PREFILL: RoleCost(4096, 8.0, 0.04, 4.0),
    EngineRole.MIXED: RoleCost(512, 10.0, 0.08, 0.8),
    EngineRole.DECODE: RoleCost(256, 10.0, 0.25, 0.25),
}


@attrs.frozen
class CostModel:
    """Durations in real seconds.

    Attributes:
        time_scale: Factor for all durations; 0.1 makes the engine ten times faster.
    """

    time_scale: float = 1.0

    def scale(self, seconds: float) -> float:
        """Return a duration in real seconds."""
        return seconds * self.time_scale

    def step_s(
        self, role: EngineRole, *, prefill_tokens: int = 0, decoding: int = 0, imported: int = 0
    ) -> float:
        """Return the duration of a step."""
        cost = ROLE_COSTS[role]
        step_ms = cost.base_ms + prefill_tokens * cost.prefill_ms_per_token
        step_ms += decoding * cost.decode_ms_per_sequence + imported * IMPORT_MS_PER_PIECE
        return self.scale(step_ms / MS_PER_S)

    def prefill_tokens_per_s(self, role: EngineRole) -> float:
        """Return the prompt tokens a second of full steps without decoding."""
        budget = ROLE_COSTS[role].step_tokens
        return budget / self.step_s(role, prefill_tokens=budget)

    def decode_tokens_per_s(self, role: EngineRole, sequences: int) -> float:
        """Return the generated tokens a second of steps without prefill."""
        return sequences / self.step_s(role, decoding=sequences)
