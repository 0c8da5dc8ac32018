"""What one process knows of a model engine: its backlog, speed, links and cached parts."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from figwalk.coordination.backend_tracker import BackendTracker
from figwalk.coordination.kept_parts import count_leading_tokens
from figwalk.coordination.prefix_memory import PrefixMemory
from figwalk.state.routing import EngineSpec

# An event holds several tokens, so that the first one takes that many steps of the engine. This is
# the time at an engine that does nothing else; each engine's own is learned.
FIRST_EVENT_S = 0.05
MIN_FIRST_EVENT_S = 0.01  # A single step takes about a millisecond.
MAX_FIRST_EVENT_S = 0.15  # Longer ones waited for something else.
FIRST_EVENT_WEIGHT = 0.05  # Weight of one call in the running mean: some 20 calls count.
# Between the chunks of prompts an engine generates tokens at a third of its speed.
READING_SLOWS_FACTOR = 2.8
READING_SLOWS_SHARE = 1 - 1 / READING_SLOWS_FACTOR
# Mean length of what is left to read of a prompt, until this process has sent some: about that of
# the users' long prompts whose first part is cached.
ASSUMED_UNCACHED_TOKENS = 4000.0
MEAN_WEIGHT = 0.05  # Some 20 calls count.
# Without the agent, the speed follows the calls of this process; bounds keep one odd call from
# making an engine look useless or endless.
RATE_WEIGHT = 0.1
MIN_RATE_FACTOR = 0.1
MAX_RATE_FACTOR = 2.0
# A fetch waits for those before it on the links of both engines. What one waited says how long the
# next will, but not for long: a queue of fetches builds up and drains within a second.
LINK_WAIT_WEIGHT = 0.4
LINK_WAIT_HALF_LIFE_S = 0.4
# More parts than any engine keeps; an agent that never tells what yielded must not fill memory.
MAX_KEPT = 20_000
# Agents tell the state of their engines when it changes, and each 0.4 s at the least.
DIGEST_MAX_AGE_S = 0.95


class EngineTracker(BackendTracker):
    """What one process knows of an engine: also prompts being read and parts kept."""

    def __init__(self, *args: object, spec: EngineSpec) -> None:
        super().__init__(*args)
        self._reading: dict[object, float] = {}
        self._memory = PrefixMemory(spec.kv_tokens)
        self._rate_factor = 1.0
        self._fetching: dict[object, float] = {}
        self._link_wait_s = 0.0
        self._link_wait_at = 0.0
        self._up = True
        self._decoding = 0
        self._first_event_s = FIRST_EVENT_S
        self._stated_rate: float | None = None
        self._stated_backlog = 0.0
        self._stated_at = -math.inf
        self._fixed_s = 0.0
        self._measured = False
        self._kept: set[int] = set()
        self._reading_parts: frozenset[int] = frozenset()
        self._is_told = False
        self._mean_uncached = ASSUMED_UNCACHED_TOKENS

    def note_fetched(self, parts: Sequence[tuple[str, int]]) -> None:
        """Note that the engine fetched the KV cache of a prompt."""
        self._memory.note_read(parts)

    @property
    def rate_factor(self) -> float:
        """Speed of reading against the deployment's figure."""
        return self._rate_factor

    @property
    def own_backlog_tokens(self) -> float:
        """Tokens of this process's prompts that the engine has not read to the end."""
        return sum(self._reading.values())

    def start_reading(self, call: object, tokens: float) -> None:
        """Note that a prompt is being sent."""
        self._reading[call] = tokens
        self._mean_uncached += MEAN_WEIGHT * (tokens - self._mean_uncached)

    def finish_reading(self, call: object) -> None:
        """Note that a prompt was read or given up."""
        self._reading.pop(call, None)

    def note_read(
        self, parts: Sequence[tuple[str, int]], predicted_s: float, took_s: float
    ) -> None:
        """Learn from a prompt that was read.

        Args:
            parts: Id and tokens of each of its parts.
            predicted_s: Seconds that the reading was predicted to take.
            took_s: Seconds that it took.
        """
        self._memory.note_read(parts)
        if took_s > 0 and predicted_s > 0:
            factor = self._rate_factor * predicted_s / took_s
            factor = min(MAX_RATE_FACTOR, max(MIN_RATE_FACTOR, factor))
            self._rate_factor += RATE_WEIGHT * (factor - self._rate_factor)

    def note_digest(
        self,
        *,
        up: bool,
        backlog_tokens: float,
        tokens_per_s: float,
        decoding: int,
        fixed_s: float = 0.0,
        measured: bool = True,
    ) -> None:
        """Take over the state that the agent beside the engine tells."""
        self._fixed_s = fixed_s
        self._measured = measured
        self._up = up
        self._decoding = decoding
        self._stated_rate = tokens_per_s
        self.note_backlog(backlog_tokens)

    def note_kept(
        self,
        kept: Iterable[int],
        yielded: Iterable[int],
        *,
        reading: Iterable[int] = (),
        complete: bool = False,
    ) -> None:
        """Take over which parts of prompts the engine keeps; see `hash_part`.

        Args:
            kept: Parts that it has begun to keep.
            yielded: Parts that it no longer keeps.
            reading: All parts that it is reading.
            complete: Whether it keeps nothing else.
        """
        self._is_told = True
        self._reading_parts = frozenset(reading)
        if complete:
            self._kept.clear()
        self._kept.update(kept)
        self._kept.difference_update(yielded)
        if len(self._kept) > MAX_KEPT:
            self._kept.clear()

    def forget_kept(self) -> None:
        """Forget what the agent beside the engine told, which tells all of it again."""
        self._kept.clear()
        self._reading_parts = frozenset()
        self._is_told = False

    @property
    def is_told(self) -> bool:
        """Whether the agent beside the engine tells which parts it keeps."""
        return self._is_told

    def told_tokens(self, parts: Sequence[tuple[int, int]]) -> int:
        """Return how many tokens of a prompt the engine keeps or is reading, as its agent told.

        Args:
            parts: Hash and tokens of each part, in order; see `hash_part`.
        """
        return count_leading_tokens(
            parts, lambda part: part in self._kept or part in self._reading_parts
        )

    def guessed_tokens(self, parts: Sequence[tuple[str, int]]) -> int:
        """Return how many tokens of a prompt the engine keeps by what this process had it read.

        Args:
            parts: Id and tokens of each part, in order.
        """
        return self._memory.cached_tokens(parts)

    def keeps_all(self, parts: Sequence[tuple[int, int]]) -> bool:
        """Return whether the engine keeps all these parts, so that others can fetch them."""
        return all(part in self._kept for part, _ in parts)

    def note_backlog(self, tokens: float) -> None:
        """Take over the backlog that the agent beside the engine tells."""
        self._stated_backlog = tokens
        self._stated_at = self._timer.now()

    @property
    def decoding(self) -> int:
        """Calls that the engine generates tokens for: told by its agent, else this process's."""
        return self._decoding if self._has_digest else self.in_flight

    def first_event_s(self, reading_s: float) -> float:
        """Return the seconds from the end of the reading, or the fetch, to the first event.

        Args:
            reading_s: Seconds that the engine goes on reading prompts, which slows its tokens.
        """
        slowed_s = self._first_event_s + READING_SLOWS_SHARE * reading_s
        return min(self._first_event_s * READING_SLOWS_FACTOR, slowed_s)

    def note_first_event(self, predicted_s: float, took_s: float) -> None:
        """Learn how long the first event took after the prompt was read or fetched."""
        if predicted_s <= 0:
            return
        seconds = self._first_event_s * max(0.0, took_s) / predicted_s
        seconds = min(MAX_FIRST_EVENT_S, max(MIN_FIRST_EVENT_S, seconds))
        self._first_event_s += FIRST_EVENT_WEIGHT * (seconds - self._first_event_s)

    @property
    def digest_age_s(self) -> float:
        """Seconds since the agent beside the engine told its state; infinite if it never did."""
        return self._timer.now() - self._stated_at

    @property
    def stated_rate(self) -> float | None:
        """Prompt tokens that the engine reads a second, if its agent told lately."""
        return self._stated_rate if self._has_digest else None

    @property
    def fixed_s(self) -> float:
        """Seconds that a reading takes beside the prompt's tokens, as the agent told last."""
        return self._fixed_s

    @property
    def measured_rate(self) -> float | None:
        """Prompt tokens that the engine reads a second, if its agent has measured them."""
        return self._stated_rate if self._measured else None

    @property
    def last_stated_rate(self) -> float | None:
        """Prompt tokens that the engine reads a second, as its agent told last, if it ever did."""
        return self._stated_rate

    @property
    def _has_digest(self) -> bool:
        return self._stated_rate is not None and self.digest_age_s <= DIGEST_MAX_AGE_S

    def is_avoided(self) -> bool:
        """Return whether no call should be sent there now; see `BackendTracker.is_avoided`."""
        return (self._has_digest and not self._up) or super().is_avoided()

    def start_fetch(self, call: object, seconds: float) -> None:
        """Note that a fetch over the engine's link begins, and how long it takes by itself."""
        self._fetching[call] = seconds

    def finish_fetch(self, call: object) -> None:
        """Note that a fetch has ended or was given up."""
        self._fetching.pop(call, None)

    def note_link_wait(self, seconds: float) -> None:
        """Learn from how long a fetch waited for others."""
        wait_s = self._decayed_link_wait_s()
        self._link_wait_s = wait_s + LINK_WAIT_WEIGHT * (max(0.0, seconds) - wait_s)
        self._link_wait_at = self._timer.now()

    def link_wait_s(self) -> float:
        """Return the seconds that a fetch over the engine's link is predicted to wait."""
        return max(self._decayed_link_wait_s(), sum(self._fetching.values()))

    def _decayed_link_wait_s(self) -> float:
        age_s = self._timer.now() - self._link_wait_at
        return self._link_wait_s * 0.5 ** (age_s / LINK_WAIT_HALF_LIFE_S)

    def backlog_tokens(self) -> float:
        """Return the tokens waiting to be read, of all processes.

        The agent beside the engine knows them. Without it, prompts of other processes are counted
        by the load that the engine stated, at the mean length of this process's own.
        """
        if self._has_digest:
            # What was stated is read meanwhile; what others sent since, their agent knows.
            return max(0.0, self._stated_backlog - self._stated_rate * self.digest_age_s)
        others = max(0, self.estimate_load() - self.in_flight)
        return self.own_backlog_tokens + others * self._mean_uncached
