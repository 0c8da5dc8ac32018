"""A prompt that is to be placed, and a plan of where it is read and answered."""

from __future__ import annotations

from functools import cached_property

import attrs

from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.kept_parts import hash_part

# Reading parts again that another engine keeps takes capacity from prompts that could be served.
# This part of its time counts as a wait of the caller, so that it is done where little waits.
REREAD_SHARE = 0.5


@attrs.frozen(slots=False)
class PromptCall:
    """What the decision needs to know of a call.

    Attributes:
        parts: Id and tokens of each part of the prompt.
        target_s: Seconds left until its first token is late; may be negative.
        left_s: Seconds left until the caller gives up if there is no first token.
        deadline_s: Seconds left until the caller gives up in any case; as `left_s` if not given.
    """

    parts: tuple[tuple[str, int], ...]
    target_s: float
    left_s: float
    deadline_s: float = attrs.field(
        default=attrs.Factory(lambda call: call.left_s, takes_self=True)
    )

    @cached_property
    def hashed_parts(self) -> tuple[tuple[int, int], ...]:
        """Hash and tokens of each part, as agents tell parts; see `hash_part`."""
        return tuple((hash_part(part_id), tokens) for part_id, tokens in self.parts)

    @cached_property
    def tokens(self) -> int:
        """Length of the prompt."""
        return sum(tokens for _, tokens in self.parts)

    @cached_property
    def shared_tokens(self) -> int:
        """Length of the shared parts: all but the call's own last one."""
        return sum(tokens for _, tokens in self.parts[:-1])

    @cached_property
    def own_tokens(self) -> int:
        """Length of the call's own last part."""
        return self.tokens - self.shared_tokens

    @cached_property
    def subject(self) -> tuple[str, ...]:
        """The shared parts: all but the call's own last one."""
        return tuple(part_id for part_id, _ in self.parts[:-1])


@attrs.frozen
class PromptPlan:
    """Where a prompt is to be read and answered.

    Attributes:
        reader: Engine that reads the prompt.
        runner: Engine that answers; the same if it reads the prompt itself.
        uncached_tokens: Tokens that the reader is predicted to read.
        backlog_s: Seconds that other prompts at the reader take before.
        reading_s: Seconds that reading the prompt takes.
        travel_s: Seconds that requests and answers travel.
        link_wait_s: Seconds that the fetch of the KV cache waits for others.
        runner_wait_s: Seconds that the runner still reads prompts; nothing else begins meanwhile.
        fetch_s: Seconds that it takes by itself; 0 if the runner reads the prompt itself.
        first_event_s: Seconds from then to the first event.
        reread_s: Seconds of the reading that are for parts which another engine keeps.
        blocked_s: Seconds that other calls at the reader are expected to wait for this reading, all
            together.
        donor: Engine from which the reader fetches the shared parts before it reads the rest, or
            None.
        donation_s: Seconds that this fetch takes.
    """

    reader: EngineTracker
    runner: EngineTracker
    uncached_tokens: float
    backlog_s: float
    reading_s: float
    travel_s: float
    link_wait_s: float
    runner_wait_s: float
    fetch_s: float
    first_event_s: float
    reread_s: float = 0.0
    blocked_s: float = 0.0
    donor: EngineTracker | None = None
    donation_s: float = 0.0

    @property
    def reserve_s(self) -> float:
        """Seconds that have to be left before the target."""
        return REREAD_SHARE * self.reread_s + self.blocked_s

    @property
    def after_s(self) -> float:
        """Seconds of the prediction beside the reader's backlog and reading."""
        waits_s = self.link_wait_s + self.runner_wait_s
        return self.travel_s + waits_s + self.donation_s + self.fetch_s + self.first_event_s

    @property
    def predicted_s(self) -> float:
        """Seconds until the first event is at the gateway."""
        return self.backlog_s + self.reading_s + self.after_s
