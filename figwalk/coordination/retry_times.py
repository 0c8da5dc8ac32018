"""Chooses when the callers of refused prompts come back."""

from __future__ import annotations

import random

from figwalk.coordination.prompt_plan import PromptCall, PromptPlan

# A backlog needs at least this time to shrink.
MIN_RETRY_S = 0.05
# Callers whose retry would be in time come back over this share of the time that they have left.
RETRY_SPREAD_SHARE = 0.5
# Callers retry within a third of their remaining time, less the time that the refusal takes to
# reach them.
MAX_RETRY_SHARE = 0.3
# The load of a burst falls within seconds, so that a later deadline needs no longer wait.
MAX_RETRY_DEADLINE_S = 9.0
# A caller whose retry would miss its target anyway waits for a random time between this share of
# the longest wait and all of it, so that it meets neither the burst nor the others refused in it.
MIN_LATE_RETRY_SHARE = 0.6


def choose_retry_s(call: PromptCall, plan: PromptPlan, room_s: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller is to retry.

    That is when there is room for the call. If its target has passed by then, the call is late
    whenever the caller retries, so that the retry is put off until the load has most likely fallen.
    Callers that are refused together come back at different times.

    Args:
        call: The refused call.
        plan: The plan by which it was refused.
        room_s: Seconds until there is room for the call, as predicted.
        rng: Chooses among the times.
    """
    spare_s = call.target_s - (room_s + plan.reading_s + plan.after_s)
    if spare_s < 0:
        return choose_late_retry_s(call.deadline_s, rng)
    spread_s = rng.uniform(0.0, RETRY_SPREAD_SHARE * spare_s)
    return min(_longest_wait_s(call.deadline_s), max(MIN_RETRY_S, room_s) + spread_s)


def choose_late_retry_s(deadline_s: float, rng: random.Random) -> float:
    """Return the seconds after which a caller is to retry that gains nothing by coming back soon.

    Args:
        deadline_s: Seconds until the caller stops waiting.
        rng: Chooses among the times.
    """
    return _longest_wait_s(deadline_s) * rng.uniform(MIN_LATE_RETRY_SHARE, 1.0)


def _longest_wait_s(deadline_s: float) -> float:
    return min(deadline_s, MAX_RETRY_DEADLINE_S) * MAX_RETRY_SHARE
