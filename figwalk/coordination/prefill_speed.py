"""Estimates how long an engine takes to prefill prompts, from measured prefills."""

from __future__ import annotations

# Weights of a new sample of the rate, once one is known, and of the fixed time.
THROUGHPUT_WEIGHT = 0.3
SINGLE_WEIGHT = 0.3
FIXED_WEIGHT = 0.2
# A sample is wrong if the engine had cached, or evicted, other parts than assumed. A single sample
# changes the estimate by no more than this factor.
MAX_STEP_FACTOR = 2.0
# Rates of all engines lie far within these bounds; a sample outside them is an error.
MIN_TOKENS_PER_S = 1e3
MAX_TOKENS_PER_S = 1e8
MAX_FIXED_S = 0.5
# Shorter prefills are inaccurate: errors in the network times of requests are as large.
MIN_SAMPLE_S = 0.01
# Each new sample reduces the weight of the older ones by this factor; about ten of them count.
SAMPLE_DECAY = 0.9
MIN_SAMPLES = 3.0
# The fixed time may be most of what shorter prompts take.
MIN_FIRST_SAMPLE_TOKENS = 2000
# Least standard deviation of the prompt lengths, relative to their mean, for a linear fit.
MIN_SPREAD = 0.3


class PrefillSpeed:
    """Prefill time of a prompt: a fixed part, and a part in proportion to its tokens.

    Engines of different deployments differ by a factor of ten in both, and no setting gives either.
    The first sample therefore replaces the assumption. The fixed part delays only the prompt
    itself, while its tokens also delay the prompts behind it.

    Args:
        assumed_tokens_per_s: Prefill rate until the first sample.
    """

    def __init__(self, assumed_tokens_per_s: float) -> None:
        self._tokens_per_s = assumed_tokens_per_s
        self._fixed_s = 0.0
        self._measured = False
        # Decayed sums over single prefills: number, tokens, seconds, tokens², tokens x seconds.
        self._number = 0.0
        self._tokens = 0.0
        self._seconds = 0.0
        self._tokens_squared = 0.0
        self._product = 0.0

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that the engine prefills per second, one prompt after the other."""
        return self._tokens_per_s

    @property
    def measured(self) -> bool:
        """Whether the rate comes from a sample."""
        return self._measured

    @property
    def fixed_s(self) -> float:
        """Seconds that the prefill of a prompt takes in addition to the time for its tokens."""
        return self._fixed_s

    def record_throughput(self, tokens: float, seconds: float) -> None:
        """Record how long a busy engine took to prefill a number of tokens of several prompts."""
        if seconds >= MIN_SAMPLE_S and tokens > 0:
            self._blend(tokens / seconds, THROUGHPUT_WEIGHT)

    def record_single(self, tokens: float, seconds: float) -> None:
        """Record the prefill time of a prompt that waited for no other."""
        if seconds < MIN_SAMPLE_S or tokens <= 0:
            return
        self._number = SAMPLE_DECAY * self._number + 1
        self._tokens = SAMPLE_DECAY * self._tokens + tokens
        self._seconds = SAMPLE_DECAY * self._seconds + seconds
        self._tokens_squared = SAMPLE_DECAY * self._tokens_squared + tokens**2
        self._product = SAMPLE_DECAY * self._product + tokens * seconds
        rate = self._fit()
        if rate is not None:
            self._blend(rate, SINGLE_WEIGHT)
        elif not self._measured and tokens >= MIN_FIRST_SAMPLE_TOKENS:
            self._blend(tokens / seconds, 1.0)
        fixed_s = min(MAX_FIXED_S, max(0.0, seconds - tokens / self._tokens_per_s))
        self._fixed_s += FIXED_WEIGHT * (fixed_s - self._fixed_s)

    def _fit(self) -> float | None:
        """Return the rate by a linear fit of the single prefills, or None if none is possible."""
        number, tokens = self._number, self._tokens
        variance = self._tokens_squared / number - (tokens / number) ** 2
        if number < MIN_SAMPLES or variance < (MIN_SPREAD * tokens / number) ** 2:
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
        sample = min(known * MAX_STEP_FACTOR, max(known / MAX_STEP_FACTOR, sample))
        self._tokens_per_s += weight * (sample - known)
