"""Tracks the state of a model engine in one process: backlog, rate, links and cached parts."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from figwalk.coordination.backend_tracker import BackendTracker
from figwalk.coordination.cached_parts import count_leading_tokens
from figwalk.coordination.prefix_cache_estimate import PrefixCacheEstimate
from figwalk.coordination.stream_pauses import NO_STREAMS, StreamLoad
from figwalk.state.routing import EngineSpec

# An event holds several tokens, so that the first one takes that many decode steps. This is the
# time at an engine that does nothing else; the tracker learns the time of each engine.
FIRST_EVENT_S = 0.05
MIN_FIRST_EVENT_S = 0.01  # A single step takes about a millisecond.
MAX_FIRST_EVENT_S = 0.15  # Longer ones waited for something else.
FIRST_EVENT_WEIGHT = 0.05  # Weight of one call in the running mean: some 20 calls count.
# While an engine prefills prompts in chunks, it decodes at about a third of its speed.
PREFILL_SLOWDOWN_FACTOR = 2.8
PREFILL_SLOWDOWN_SHARE = 1 - 1 / PREFILL_SLOWDOWN_FACTOR
# Mean uncached tokens of a prompt until this process has sent some: about those of the users' long
# prompts whose first part is cached.
ASSUMED_UNCACHED_TOKENS = 4000.0
UNCACHED_MEAN_WEIGHT = 0.05  # Some 20 calls count.
# The fixed time may be most of what the prefill of fewer tokens takes.
MIN_SPEED_SAMPLE_TOKENS = 2000
# With more calls than this share of the slots, or a longer wait for other prompts than this share
# of a prefill, a time does not show how fast the engine itself is.
MAX_SPEED_SAMPLE_CALLS = 0.1
MAX_SPEED_SAMPLE_WAIT = 0.1
# Without the agent, the rate is estimated from the calls of this process. The bounds keep one odd
# call from making an engine look unusable or unlimited.
RATE_WEIGHT = 0.1
MIN_RATE_FACTOR = 0.1
MAX_RATE_FACTOR = 2.0
# A fetch waits for earlier ones on the links of both engines. Its wait predicts that of the next
# one, but only briefly: a queue of fetches builds up and drains within a second.
LINK_WAIT_WEIGHT = 0.4
LINK_WAIT_HALF_LIFE_S = 0.4
# More parts than any engine caches. This bounds the memory if an agent never reports evictions.
MAX_CACHED_PARTS = 20_000
# Agents report the state of their engines when it changes, and at least every 0.4 s.
DIGEST_MAX_AGE_S = 0.95


class EngineTracker(BackendTracker):
    """A backend tracker that also tracks the prompts being prefilled and the cached parts."""

    def __init__(self, *args: object, spec: EngineSpec, **options: object) -> None:
        super().__init__(*args, **options)
        self._prefilling: dict[object, float] = {}
        self._prefix_cache = PrefixCacheEstimate(spec.kv_tokens)
        self._rate_factor = 1.0
        self._fetching: dict[object, float] = {}
        self._link_wait_s = 0.0
        self._link_wait_at = 0.0
        self._up = True
        self._decoding = 0
        self._first_event_s = FIRST_EVENT_S
        self._assumed_share = 1.0  # Part of the mean that still is the assumption.
        self._reported_rate: float | None = None
        self._reported_backlog = 0.0
        self._reported_at = -math.inf
        self._fixed_s = 0.0
        self._measured = False
        self._gateways = 0
        self._reported_born_ms = 0
        self._stream_load = NO_STREAMS
        self._cached_parts: set[int] = set()
        self._prefilling_parts: frozenset[int] = frozenset()
        self._has_cache_report = False
        self._mean_uncached_tokens = ASSUMED_UNCACHED_TOKENS

    def record_fetched(self, parts: Sequence[tuple[str, int]]) -> None:
        """Record that the engine fetched the KV cache of a prompt."""
        self._prefix_cache.record_use(parts)

    @property
    def rate_factor(self) -> float:
        """Measured prefill rate as a multiple of the deployment's assumed rate."""
        return self._rate_factor

    @property
    def own_backlog_tokens(self) -> float:
        """Tokens of this process's prompts that the engine has not finished prefilling."""
        return sum(self._prefilling.values())

    def start_prefill(self, call: object, tokens: float) -> None:
        """Record that a prompt is being sent."""
        self._prefilling[call] = tokens
        self._mean_uncached_tokens += UNCACHED_MEAN_WEIGHT * (tokens - self._mean_uncached_tokens)

    def finish_prefill(self, call: object) -> None:
        """Record that a prompt was prefilled or abandoned."""
        self._prefilling.pop(call, None)

    def record_prefill(
        self, parts: Sequence[tuple[str, int]], predicted_s: float, took_s: float
    ) -> None:
        """Update the prefix cache estimate and the measured prefill rate after a prefill.

        Args:
            parts: Id and tokens of each of its parts.
            predicted_s: Seconds that the prefill was predicted to take.
            took_s: Seconds that it took.
        """
        self._prefix_cache.record_use(parts)
        if took_s > 0 and predicted_s > 0:
            factor = self._rate_factor * predicted_s / took_s
            factor = min(MAX_RATE_FACTOR, max(MIN_RATE_FACTOR, factor))
            self._rate_factor += RATE_WEIGHT * (factor - self._rate_factor)

    def apply_digest(
        self,
        *,
        up: bool,
        backlog_tokens: float,
        tokens_per_s: float,
        decoding: int,
        fixed_s: float = 0.0,
        measured: bool = True,
        gateways: int = 0,
        stream_load: StreamLoad = NO_STREAMS,
        born_ms: int = 0,
    ) -> None:
        """Apply the state that the agent beside the engine reports."""
        self._reported_born_ms = born_ms
        self._gateways = gateways
        self._stream_load = stream_load
        self._fixed_s = fixed_s
        self._measured = measured
        self._up = up
        self._decoding = decoding
        is_new_rate = measured and tokens_per_s != self._reported_rate
        self._reported_rate = tokens_per_s
        self.apply_backlog(backlog_tokens)
        if is_new_rate and tokens_per_s > 0:
            # The agent measures over the prompts of all gateways, and so sooner than each of them.
            self._record_speed("rate", 1 / tokens_per_s)

    def apply_cache_report(
        self,
        kept: Iterable[int],
        yielded: Iterable[int],
        *,
        reading: Iterable[int] = (),
        complete: bool = False,
    ) -> None:
        """Apply a report of the prompt parts in the engine's prefix cache; see `hash_part`.

        Args:
            kept: Parts that were added to the cache.
            yielded: Parts that were evicted.
            reading: All parts that are being prefilled.
            complete: Whether `kept` lists the whole cache.
        """
        self._has_cache_report = True
        self._prefilling_parts = frozenset(reading)
        if complete:
            self._cached_parts.clear()
        self._cached_parts.update(kept)
        self._cached_parts.difference_update(yielded)
        if len(self._cached_parts) > MAX_CACHED_PARTS:
            self._cached_parts.clear()

    def clear_cache_report(self) -> None:
        """Drop the reported parts before the agent beside the engine reports all of them again."""
        self._cached_parts.clear()
        self._prefilling_parts = frozenset()
        self._has_cache_report = False

    @property
    def has_cache_report(self) -> bool:
        """Whether the agent beside the engine reports which parts are cached."""
        return self._has_cache_report

    def reported_cached_tokens(self, parts: Sequence[tuple[int, int]]) -> int:
        """Return how many tokens of a prompt the agent reports as cached or being prefilled.

        Args:
            parts: Hash and tokens of each part, in order; see `hash_part`.
        """
        return count_leading_tokens(
            parts, lambda part: part in self._cached_parts or part in self._prefilling_parts
        )

    def estimated_cached_tokens(self, parts: Sequence[tuple[str, int]]) -> int:
        """Return how many tokens of a prompt are likely cached, by this process's own calls.

        Args:
            parts: Id and tokens of each part, in order.
        """
        return self._prefix_cache.cached_tokens(parts)

    def has_cached(self, parts: Sequence[tuple[int, int]]) -> bool:
        """Return whether the engine has cached all these parts, so that others can fetch them."""
        return all(part in self._cached_parts for part, _ in parts)

    def apply_backlog(self, tokens: float) -> None:
        """Apply the backlog that the agent beside the engine reports."""
        self._reported_backlog = tokens
        self._reported_at = self._timer.now()

    @property
    def decoding(self) -> int:
        """Calls for which the engine generates tokens.

        Without a recent report of its agent, only those of this process.
        """
        return self._decoding if self._has_digest else self.in_flight

    def first_event_s(self, reading_s: float) -> float:
        """Return the seconds from the end of the prefill, or the fetch, to the first event.

        Args:
            reading_s: Seconds for which the engine prefills other prompts, which slows its decode.
        """
        alone_s = self._lone_first_event_s * self.slowdown
        slowed_s = alone_s + PREFILL_SLOWDOWN_SHARE * reading_s
        return min(alone_s * PREFILL_SLOWDOWN_FACTOR, slowed_s)

    def lone_event_s(self, relative_rate: float) -> float:
        """Return the seconds of an event if the engine runs nothing else.

        Args:
            relative_rate: Prefill rate of the engine as a multiple of the usual one.
        """
        return max(self.first_event_s(0.0), FIRST_EVENT_S / relative_rate)

    def record_first_event(self, predicted_s: float, took_s: float) -> None:
        """Learn how long the first event took after the prompt was prefilled or fetched."""
        if predicted_s <= 0:
            return
        seconds = self._lone_first_event_s * max(0.0, took_s) / predicted_s
        seconds = min(MAX_FIRST_EVENT_S, max(MIN_FIRST_EVENT_S, seconds))
        self._first_event_s += FIRST_EVENT_WEIGHT * (seconds - self._first_event_s)
        self._assumed_share *= 1 - FIRST_EVENT_WEIGHT
        self._record_speed("first_event", seconds)

    def record_prefill_time(self, tokens: float, wait_s: float, took_s: float) -> None:
        """Learn the engine's speed from how long a prefill took.

        Args:
            tokens: Tokens that were prefilled.
            wait_s: Seconds that it was predicted to wait for other prompts.
            took_s: Seconds that it took at the engine, wait included.
        """
        seconds = took_s - wait_s - self._fixed_s
        if tokens >= MIN_SPEED_SAMPLE_TOKENS and wait_s <= MAX_SPEED_SAMPLE_WAIT * took_s:
            self._record_speed("prefill", seconds / tokens / self.slowdown)

    def record_decode_time(self, seconds: float | None) -> None:
        """Learn the engine's speed from the seconds between the pieces of a stream, if known."""
        if seconds is not None:
            self._record_speed("decode", seconds / self.slowdown)

    def _record_speed(self, work: str, seconds: float) -> None:
        # Engines of one role are compared, since the others run at another speed by design.
        most = max(1.0, MAX_SPEED_SAMPLE_CALLS * self.entry.slots)
        if max(self.decoding, self.estimate_load()) <= most:
            kind = f"{work} {self.entry.role.value}"
            self.pacing.speeds.record(self.entry.backend, kind, seconds)

    @property
    def _lone_first_event_s(self) -> float:
        """Seconds to the first event at an engine that does nothing else.

        As far as this is still an assumption, it follows the speed of the engine's other work.
        """
        return self._first_event_s + self._assumed_share * FIRST_EVENT_S * (self.speed_factor - 1)

    @property
    def digest_age_s(self) -> float:
        """Seconds since the last report of the agent beside the engine; infinite without any."""
        return self._timer.now() - self._reported_at

    @property
    def reported_gateways(self) -> int:
        """Gateways connected to the agent beside the engine, by a recent report; 0 without one."""
        return self._gateways if self._has_digest else 0

    @property
    def stream_load(self) -> StreamLoad:
        """Streams that the engine runs, by a recent report; empty without one."""
        return self._stream_load if self._has_digest else NO_STREAMS

    @property
    def reported_rate(self) -> float | None:
        """Prompt tokens that the engine prefills per second, by a recent report, or None."""
        return self._reported_rate if self._has_digest else None

    @property
    def fixed_s(self) -> float:
        """Seconds that a prefill takes in addition to its tokens, as the agent last reported."""
        return self._fixed_s

    @property
    def measured_rate(self) -> float | None:
        """Prompt tokens that the engine prefills per second, if its agent has measured them."""
        return self._reported_rate if self._measured else None

    @property
    def last_reported_rate(self) -> float | None:
        """Prompt tokens prefilled per second by the last report, however old, or None."""
        return self._reported_rate

    @property
    def _has_digest(self) -> bool:
        return self._reported_rate is not None and self.digest_age_s <= DIGEST_MAX_AGE_S

    @property
    def is_known_down(self) -> bool:
        """Whether a recent report of the agent beside the engine says that it is down."""
        return self._has_digest and not self._up

    @property
    def newest_start_ms(self) -> int:
        """Wall-clock milliseconds of the newest start, also by reports of the agent beside it."""
        return max(self.entry.born_ms, self._reported_born_ms)

    def is_avoided(self) -> bool:
        """Return whether calls to the engine are avoided now; see `BackendTracker.is_avoided`."""
        return self.is_known_down or super().is_avoided()

    def start_fetch(self, call: object, seconds: float) -> None:
        """Record that a fetch over the engine's link begins, and how long it takes by itself."""
        self._fetching[call] = seconds

    def finish_fetch(self, call: object) -> None:
        """Record that a fetch has ended or was abandoned."""
        self._fetching.pop(call, None)

    def record_link_wait(self, seconds: float) -> None:
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
        """Return the tokens that wait for prefill at the engine, from all processes.

        The agent beside the engine reports them. Without a recent report, the prompts of other
        processes are estimated as the load that the engine reported, at the mean length of this
        process's own.
        """
        if self._has_digest:
            # Since the report, the engine has prefilled part of the backlog. The agent itself knows
            # the prompts that other processes have sent since, and reports them next time.
            return max(0.0, self._reported_backlog - self._reported_rate * self.digest_age_s)
        others = max(0, self.estimate_load() - self.in_flight)
        return self.own_backlog_tokens + others * self._mean_uncached_tokens
