"""Token rates of the calls that an entry sends to one service, by prompt-to-output ratio."""

from __future__ import annotations

import math
from bisect import bisect

import attrs

from figwalk.state.mix import TokenRates

PROFILE_AVERAGE_S = 20.0
RATIO_BOUNDS = (1.0, 4.0, 16.0, 64.0)  # Prompt tokens per output token, between two classes.


@attrs.frozen
class CallClass:
    """Token rates of calls with a similar prompt-to-output ratio.

    Attributes:
        prompt_per_s: Prompt tokens per second of these calls.
        output_per_s: Output tokens per second of these calls.
    """

    prompt_per_s: float
    output_per_s: float

    @property
    def ratio(self) -> float:
        """Prompt tokens per output token; infinite without output."""
        return self.prompt_per_s / self.output_per_s if self.output_per_s > 0 else math.inf


class DemandProfile:
    """Averages the token rates of the calls that an entry sends, per class of similar calls.

    The mean prompt-to-output ratio of a service is not enough to choose roles, because each call
    runs entirely on one engine. The same mean results from uniform calls, which mixed engines serve
    best, and from a mix of calls with long prompts and calls with long answers, which specialised
    engines serve better.

    Args:
        average_s: Time constant of the average in seconds.
    """

    def __init__(self, *, average_s: float = PROFILE_AVERAGE_S) -> None:
        self._average_s = average_s
        self._prompt_per_s = [0.0] * (len(RATIO_BOUNDS) + 1)
        self._output_per_s = [0.0] * (len(RATIO_BOUNDS) + 1)
        self._decayed_at = 0.0

    def record_call(self, prompt_tokens: int, output_tokens: int, now: float) -> None:
        """Record a call; a call to a plain service has no tokens and is ignored."""
        if not prompt_tokens and not output_tokens:
            return
        self._decay(now)
        index = bisect(RATIO_BOUNDS, prompt_tokens / max(output_tokens, 1))
        self._prompt_per_s[index] += prompt_tokens / self._average_s
        self._output_per_s[index] += output_tokens / self._average_s

    def classes(self, now: float) -> tuple[CallClass, ...]:
        """Return the classes with recent calls, in ascending order of prompt-to-output ratio."""
        self._decay(now)
        pairs = zip(self._prompt_per_s, self._output_per_s, strict=True)
        return tuple(CallClass(prompt, output) for prompt, output in pairs if prompt + output > 1)

    def total(self, now: float) -> TokenRates:
        """Return the summed token rates of all classes."""
        self._decay(now)
        return TokenRates(sum(self._prompt_per_s), sum(self._output_per_s))

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at
        if elapsed_s <= 0:
            return
        factor = math.exp(-elapsed_s / self._average_s)
        self._prompt_per_s = [rate * factor for rate in self._prompt_per_s]
        self._output_per_s = [rate * factor for rate in self._output_per_s]
        self._decayed_at = now
