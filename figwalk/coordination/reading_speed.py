"""Learns how fast an engine reads prompts."""

from __future__ import annotations

# Weight of a sample once one is known.
SAMPLE_WEIGHT = 0.3
# A sample may be wrong by parts that were cached, or evicted, against what is believed. One alone
# changes the estimate by no more than this factor.
MAX_STEP = 2.0
# Engines of any deployment lie far within these, in tokens a second; what is outside is an error.
MIN_TOKENS_PER_S = 1e3
MAX_TOKENS_PER_S = 1e8
# Shorter readings say little: the times of connections and steps weigh as much.
MIN_SAMPLE_S = 0.05


class ReadingSpeed:
    """Prompt tokens that an engine reads a second.

    Deployments' engines differ by a factor of ten, and nothing states their speed, so that the
    first sample replaces the assumption.

    Args:
        assumed_tokens_per_s: Speed until the first sample.
    """

    def __init__(self, assumed_tokens_per_s: float) -> None:
        self._tokens_per_s = assumed_tokens_per_s
        self._measured = False

    @property
    def tokens_per_s(self) -> float:
        """The estimate."""
        return self._tokens_per_s

    @property
    def measured(self) -> bool:
        """Whether there was a sample."""
        return self._measured

    def note(self, tokens: float, seconds: float) -> None:
        """Take over how long a number of tokens took; readings that are too short are skipped."""
        if seconds < MIN_SAMPLE_S or tokens <= 0:
            return
        sample = min(MAX_TOKENS_PER_S, max(MIN_TOKENS_PER_S, tokens / seconds))
        if not self._measured:
            self._measured = True
            self._tokens_per_s = sample
            return
        known = self._tokens_per_s
        sample = min(known * MAX_STEP, max(known / MAX_STEP, sample))
        self._tokens_per_s += SAMPLE_WEIGHT * (sample - known)
