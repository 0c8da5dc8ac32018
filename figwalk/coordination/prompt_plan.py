"""The prompt of a call, and a plan that names the engines to prefill and decode it."""

from __future__ import annotations

import math
from functools import cached_property

import attrs

from figwalk.coordination.cached_parts import hash_part
from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.stream_pace import SUFFICIENT_PACE_SHARE, needed_event_s
from figwalk.coordination.stream_pauses import StreamDisturbance
from figwalk.fairness.fair_share import ShareRequest

# Prefilling parts that another engine has cached takes capacity from prompts that could be served.
# This share of that time counts as a delay, so that it happens only at engines with a short queue.
REPEATED_PREFILL_SHARE = 0.5


@attrs.frozen(slots=False)
class PromptCall:
    """A call as the placement of its prompt needs it.

    Attributes:
        parts: Id and tokens of each part of the prompt.
        target_s: Remaining seconds until its first token is late; may be negative.
        left_s: Remaining seconds until the caller gives up if it has no first token.
        deadline_s: Remaining seconds until the caller gives up in any case; `left_s` by default.
        gap_s: Longest pause in seconds that callers of streams of its service accept.
        events: Largest number of events that the caller may still get; 0 if unknown.
        share: What is known of the caller's organisation, without the work.
    """

    parts: tuple[tuple[str, int], ...]
    target_s: float
    left_s: float
    deadline_s: float = attrs.field(
        default=attrs.Factory(lambda call: call.left_s, takes_self=True)
    )
    gap_s: float = math.inf
    events: float = 0.0
    share: ShareRequest = attrs.field(factory=ShareRequest)

    @cached_property
    def hashed_parts(self) -> tuple[tuple[int, int], ...]:
        """Hash and tokens of each part, as agents report them; see `hash_part`."""
        return tuple((hash_part(part_id), tokens) for part_id, tokens in self.parts)

    @cached_property
    def tokens(self) -> int:
        """Tokens of the whole prompt."""
        return sum(tokens for _, tokens in self.parts)

    @cached_property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts: all but the last one, which only this call has."""
        return sum(tokens for _, tokens in self.parts[:-1])

    @cached_property
    def own_tokens(self) -> int:
        """Tokens of the last part, which only this call has."""
        return self.tokens - self.shared_tokens

    @property
    def needed_event_s(self) -> float:
        """Longest mean seconds of an event with which the answer ends in time."""
        return needed_event_s(self.events, self.deadline_s)

    @property
    def needs_pace(self) -> bool:
        """Whether the answer may end too late at an engine that just keeps the accepted pause."""
        return self.needed_event_s < SUFFICIENT_PACE_SHARE * self.gap_s

    @cached_property
    def subject(self) -> tuple[str, ...]:
        """Ids of the shared parts: all but the last one."""
        return tuple(part_id for part_id, _ in self.parts[:-1])


@attrs.frozen
class PromptPlan:
    """The engines that prefill and decode a prompt, with the predicted times.

    Attributes:
        reader: Prefill engine: the one that prefills the prompt.
        runner: Decode engine: the one that generates the answer; may be the same as `reader`.
        uncached_tokens: Tokens that the prefill engine is predicted to prefill.
        backlog_s: Seconds of prefill for other prompts that the prefill engine has queued before.
        reading_s: Seconds that the prefill of this prompt takes.
        round_trip_s: Network round trips of the requests to both engines, in seconds.
        link_wait_s: Seconds that the fetch of the KV cache waits for other fetches.
        decode_engine_wait_s: Seconds that the decode engine is still busy with the prefill of other
            prompts; it begins nothing else before.
        fetch_s: Seconds of the fetch itself; 0 if one engine does both.
        first_event_s: Seconds from the end of the fetch, or of the prefill, to the first event.
        repeated_prefill_s: Seconds of the prefill spent on parts that another engine has cached.
        delay_to_others_s: Sum of the seconds that other calls at the prefill engine are expected to
            wait for this prefill.
        donor: Source engine from which the prefill engine fetches the shared parts before it
            prefills the rest, or None.
        transfer_s: Seconds that this KV transfer takes.
        disturbance: What the prefill does to the streams of the prefill engine.
        is_last_resort: Whether the prefill would pause streams there, and at every other engine.
        is_slow: Whether the decode engine is too slow for the answer, or the answer for the streams
            there.
    """

    reader: EngineTracker
    runner: EngineTracker
    uncached_tokens: float
    backlog_s: float
    reading_s: float
    round_trip_s: float
    link_wait_s: float
    decode_engine_wait_s: float
    fetch_s: float
    first_event_s: float
    repeated_prefill_s: float = 0.0
    delay_to_others_s: float = 0.0
    donor: EngineTracker | None = None
    transfer_s: float = 0.0
    disturbance: StreamDisturbance = attrs.field(factory=StreamDisturbance)
    is_last_resort: bool = False
    is_slow: bool = False

    @property
    def reserve_s(self) -> float:
        """Seconds by which the prediction has to stay below the target."""
        return REPEATED_PREFILL_SHARE * self.repeated_prefill_s + self.delay_to_others_s

    @property
    def after_s(self) -> float:
        """Predicted seconds other than the prefill engine's backlog and the prefill."""
        waits_s = self.link_wait_s + self.decode_engine_wait_s
        return self.round_trip_s + waits_s + self.transfer_s + self.fetch_s + self.first_event_s

    @property
    def predicted_s(self) -> float:
        """Predicted seconds until the first event arrives at the gateway."""
        return self.backlog_s + self.reading_s + self.after_s


def mark_last_resort(plans: list[PromptPlan]) -> list[PromptPlan]:
    """Mark the plans of a prompt whose prefill pauses streams for too long at every engine.

    Such a prompt would otherwise be refused for as long as streams run, however idle the engines.
    Engines that are kept out don't count, unless all are: they run no streams if they are down.
    """
    usable = [plan for plan in plans if not plan.reader.keep_out_cost_s] or plans
    if not all(plan.disturbance.too_long for plan in usable):
        return plans
    return [attrs.evolve(plan, is_last_resort=plan.disturbance.too_long) for plan in plans]
