"""Learns how long an engine takes to read prompts."""

from __future__ import annotations

# Weights of a sample of the speed, once one is known, and of the fixed time.
THROUGHPUT_WEIGHT = 0.3
SINGLE_WEIGHT = 0.3
FIXED_WEIGHT = 0.2
# A sample may be wrong by parts that were cached, or evicted, against what is believed. One alone
# changes the estimate by no more than this factor.
MAX_STEP = 2.0
# Engines of any deployment lie far within these, in tokens a second; what is outside is an error.
MIN_TOKENS_PER_S = 1e3
MAX_TOKENS_PER_S = 1e8
MAX_FIXED_S = 0.5
# Shorter readings say little: the errors of what requests travel weigh as much.
MIN_SAMPLE_S = 0.01
# Older readings count by this factor less with each new one, some ten in all.
FORGETTING = 0.9
MIN_READINGS = 3.0
# Of shorter prompts, the fixed time may be most of what they take.
MIN_FIRST_TOKENS = 2000
# Least standard deviation of the lengths, against their mean, from which a line can be drawn.
MIN_SPREAD = 0.3


class ReadingSpeed:
    """Time to read a prompt: a fixed part and one that grows with its tokens.

    Deployments' engines differ by a factor of ten in both, and nothing states them, so that the
    first sample replaces the assumption. The fixed part delays only the prompt itself, while the
    tokens of one prompt delay those behind it.

    Args:
        assumed_tokens_per_s: Speed until the first sample.
    """

    def __init__(self, assumed_tokens_per_s: float) -> None:
        self._tokens_per_s = assumed_tokens_per_s
        self._fixed_s = 0.0
        self._measured = False
        # Weighted sums over single readings: number, tokens, seconds, tokens², tokens x seconds.
        self._number = 0.0
        self._tokens = 0.0
        self._seconds = 0.0
        self._tokens_squared = 0.0
        self._product = 0.0

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that the engine reads a second, one prompt after the other."""
        return self._tokens_per_s

    @property
    def measured(self) -> bool:
        """Whether the speed comes from a sample."""
        return self._measured

    @property
    def fixed_s(self) -> float:
        """Seconds that the reading of a prompt takes beside its tokens."""
        return self._fixed_s

    def note_throughput(self, tokens: float, seconds: float) -> None:
        """Take over how long a busy engine took for a number of tokens of several prompts."""
        if seconds >= MIN_SAMPLE_S and tokens > 0:
            self._blend(tokens / seconds, THROUGHPUT_WEIGHT)

    def note_single(self, tokens: float, seconds: float) -> None:
        """Take over how long the reading of a prompt took that waited for no other."""
        if seconds < MIN_SAMPLE_S or tokens <= 0:
            return
        self._number = FORGETTING * self._number + 1
        self._tokens = FORGETTING * self._tokens + tokens
        self._seconds = FORGETTING * self._seconds + seconds
        self._tokens_squared = FORGETTING * self._tokens_squared + tokens**2
        self._product = FORGETTING * self._product + tokens * seconds
        rate = self._fit()
        if rate is not None:
            self._blend(rate, SINGLE_WEIGHT)
        elif not self._measured and tokens >= MIN_FIRST_TOKENS:
            self._blend(tokens / seconds, 1.0)
        fixed_s = min(MAX_FIXED_S, max(0.0, seconds - tokens / self._tokens_per_s))
        self._fixed_s += FIXED_WEIGHT * (fixed_s - self._fixed_s)

    def _fit(self) -> float | None:
        """Return the speed by the line through the single readings, or None without one."""
        number, tokens = self._number, self._tokens
        variance = self._tokens_squared / number - (tokens / number) ** 2
        if number < MIN_READINGS or variance < (MIN_SPREAD * tokens / number) ** 2:
            return None
        slope = (self._product / number - tokens * self._seconds / number**2) / variance
        # With a fixed time below zero, the line goes through the origin.
        slope = min(slope, self._seconds / tokens)
        return 1 / slope if slope > 0 else None

    def _blend(self, tokens_per_s: float, weight: float) -> None:
        sample = min(MAX_TOKENS_PER_S, max(MIN_TOKENS_PER_S, tokens_per_s))
        if not self._measured:
            self._measured = True
            self._tokens_per_s = sample
            return
        known = self._tokens_per_s
        sample = min(known * MAX_STEP, max(known / MAX_STEP, sample))
        self._tokens_per_s += weight * (sample - known)
