"""Admits prompts to one engine, for all gateways together.

Answers for bursts of long prompts above what an engine can read. Gateways that judge by themselves
all see the same idle engine and send too much at once; the queue that results makes every prompt
behind it late. This queue knows each prompt that was granted and not yet read, and grants one only
if its first token is predicted in time.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from figwalk.coordination.kept_parts import KeptParts
from figwalk.coordination.reading_speed import ReadingSpeed
from figwalk.timer import Timer

# A grant whose end is never told, by a gateway that is gone or cut off, must not count for ever.
# Prompts of slow engines get a multiple of what they are predicted to take.
GRANT_LIFE_S = 1.5
GRANT_LIFE_PREDICTIONS = 3.0
# With fewer prompts left, the engine may wait for the next one, which is on its way from another
# region for longer than the engine reads one.
MIN_MEASURED_DEPTH = 2
MEASURE_S = 0.1
# From a grant to the arrival of its prompt at the engine, and from the end of a reading to that of
# the message that tells it: a round trip between regions, half of it for each.
START_S = 0.012
TELLING_S = 0.025
# Part of the time to the target that a prediction may take; the rest is for its errors.
ADMISSION_RATIO = 0.95
# Longest wait of a prompt that will be late, against its own reading.
LATE_WAIT_SHARE = 0.5
# Reading that may be done at once before the duty makes prompts wait.
PACING_BURST_S = 0.1


@attrs.frozen
class Reading:
    """A prompt that is offered.

    Attributes:
        parts: Id and tokens of each part of the prompt.
        target_s: Seconds until its first token is late; may be negative.
        left_s: Seconds until its caller gives up.
        after_s: Seconds from the end of the reading to the first token at the caller.
        fetched_tokens: Tokens from the start of the prompt whose KV cache the engine fetches.
    """

    parts: Sequence[tuple[str, int]]
    target_s: float
    left_s: float
    after_s: float
    fetched_tokens: int = 0


@attrs.frozen
class ReadingDecision:
    """Whether a prompt is granted, and why.

    Attributes:
        granted: Whether it may be sent.
        uncached_tokens: Tokens that the engine is predicted to read.
        wait_s: Seconds that it is predicted to wait for others.
        finish_s: Seconds until it is predicted to have been read.
    """

    granted: bool
    uncached_tokens: float
    wait_s: float
    finish_s: float


@attrs.define
class _Grant:
    owner: object
    tokens: float
    expires_at: float
    alone: bool


class ReadingQueue:
    """Prompts granted to one engine and not yet read.

    Args:
        timer: Source of time.
        tokens_per_s: Prompt tokens that the engine reads a second, until its speed is measured.
    """

    def __init__(self, timer: Timer, *, tokens_per_s: float) -> None:
        self._timer = timer
        self._assumed_rate = tokens_per_s
        self._speed = ReadingSpeed(tokens_per_s)
        self._duty = 1.0
        self._paced_until = 0.0
        self._parts = KeptParts(timer)
        self._grants: dict[object, _Grant] = {}
        self._work = 0.0
        self._work_at = 0.0
        self._busy_since: float | None = None
        self._busy_s = 0.0
        self._busy_tokens = 0.0

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that the engine reads a second."""
        return self._speed.tokens_per_s

    @property
    def measured(self) -> bool:
        """Whether the speed is measured, and not assumed."""
        return self._speed.measured

    @property
    def fixed_s(self) -> float:
        """Seconds that the reading of a prompt takes beside its tokens."""
        return self._speed.fixed_s

    @property
    def duty(self) -> float:
        """Share of the time in which the engine may read, above 0 and up to 1."""
        return self._duty

    def set_duty(self, duty: float) -> None:
        """Set the share of the time in which the engine may read."""
        self._duty = duty

    @property
    def depth(self) -> int:
        """Granted prompts that have not been read."""
        return len(self._grants)

    @property
    def backlog_tokens(self) -> float:
        """Granted tokens that have not been read.

        An engine reads at its speed from each grant on. It has not read more than the prompt whose
        end is told next, and those whose ends are on their way.
        """
        if not self._grants:
            return 0.0
        granted = sum(grant.tokens for grant in self._grants.values())
        first = next(iter(self._grants.values()))
        untold = self.tokens_per_s * (self.fixed_s + TELLING_S)
        at_least = max(0.0, granted - first.tokens - untold)
        return min(granted, max(at_least, self._work_left()))

    @property
    def parts(self) -> KeptParts:
        """Parts of prompts that the engine keeps."""
        return self._parts

    def set_engine(self, *, tokens_per_s: float) -> None:
        """Start anew for an engine that restarted or has another role.

        Args:
            tokens_per_s: Assumed speed; a measured one is kept while the assumption is the same,
                as an engine of the same role reads as before.
        """
        if tokens_per_s != self._assumed_rate:
            self._assumed_rate = tokens_per_s
            self._speed = ReadingSpeed(tokens_per_s)
        self._parts.clear()
        self._grants.clear()
        self._reset_measure()

    def offer(self, key: object, owner: object, reading: Reading) -> ReadingDecision:
        """Decide on a prompt, and count it as waiting if it is granted.

        Args:
            key: Identifies the prompt.
            owner: Who was granted it; see `drop`.
            reading: The prompt.
        """
        self._expire()
        total = sum(tokens for _, tokens in reading.parts)
        kept = max(reading.fetched_tokens, self._parts.cached_tokens(reading.parts))
        uncached = max(0.0, total - kept)
        wait_s = max(self.backlog_tokens / self.tokens_per_s, self._pause_s())
        own_s = uncached / self.tokens_per_s
        finish_s = wait_s + own_s + self.fixed_s
        granted = self._pause_s() == 0.0 and self._admits(reading, wait_s, finish_s)
        if granted:
            now = self._timer.now()
            self._work, self._work_at = self._work_left() + uncached, now
            life_s = max(GRANT_LIFE_S, GRANT_LIFE_PREDICTIONS * finish_s)
            self._grants[key] = _Grant(owner, uncached, now + life_s, alone=not self._grants)
            self._paced_until = max(now, self._paced_until) + own_s / self._duty
            # Prompts behind it will find its parts.
            self._parts.expect(reading.parts[:-1])
        return ReadingDecision(granted, uncached, wait_s, finish_s)

    def finish(self, key: object, *, read: bool, took_s: float = 0.0) -> None:
        """Note that a granted prompt was read or given up.

        Args:
            key: Identifies the prompt.
            read: Whether the engine read it to its end.
            took_s: Seconds that it took at the engine, or 0 if that is not known.
        """
        grant = self._grants.pop(key, None)
        if grant is None:
            return
        if read:
            # One that did not wait for others tells the speed by itself.
            if grant.alone and self._busy_since is None:
                self._speed.note_single(grant.tokens, took_s)
            self._measure(grant.tokens)
        if self.depth < MIN_MEASURED_DEPTH:
            self._busy_since = None

    def drop(self, owner: object) -> None:
        """Forget the grants of an owner that is gone."""
        for key in [key for key, grant in self._grants.items() if grant.owner is owner]:
            del self._grants[key]
        self._busy_since = None

    def _work_left(self) -> float:
        """Return the granted tokens that an engine of the measured speed has not read by now."""
        elapsed_s = max(0.0, self._timer.now() - self._work_at - START_S)
        return max(0.0, self._work - self.tokens_per_s * elapsed_s)

    def _pause_s(self) -> float:
        """Return the seconds that the engine must not read, so that it keeps to its duty."""
        if self._duty >= 1.0:
            return 0.0
        return self._timer.left_s(self._paced_until - PACING_BURST_S)

    @staticmethod
    def _admits(reading: Reading, wait_s: float, finish_s: float) -> bool:
        """Return whether a prompt may be sent.

        One that will be late is of use to its caller, but takes an engine's time from prompts that
        would be in time, so that it is sent only where little waits, against what it takes itself.
        """
        first_token_s = finish_s + reading.after_s
        if first_token_s <= reading.target_s * ADMISSION_RATIO:
            return True
        return first_token_s < reading.left_s and wait_s <= LATE_WAIT_SHARE * (finish_s - wait_s)

    def _expire(self) -> None:
        now = self._timer.now()
        for key in [key for key, grant in self._grants.items() if grant.expires_at < now]:
            del self._grants[key]

    def _measure(self, tokens: float) -> None:
        """Learn the speed from the time between two ends with enough prompts waiting in between.

        The engine was then never idle. The time from a grant to its end would also have the way to
        the engine and back.
        """
        now = self._timer.now()
        if self._busy_since is not None:
            self._busy_s += now - self._busy_since
            self._busy_tokens += tokens
        self._busy_since = now
        if self._busy_s >= MEASURE_S:
            self._speed.note_throughput(self._busy_tokens, self._busy_s)
            self._busy_s = 0.0
            self._busy_tokens = 0.0

    def _reset_measure(self) -> None:
        self._busy_since = None
        self._busy_s = 0.0
        self._busy_tokens = 0.0
