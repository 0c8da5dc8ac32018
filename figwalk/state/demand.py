"""Profile of the calls that an entry sends to one service, by their prompt-to-output ratio."""

from __future__ import annotations

import math
from bisect import bisect

import attrs

from figwalk.state.mix import TokenRates

PROFILE_AVERAGE_S = 20.0
RATIO_BOUNDS = (1.0, 4.0, 16.0, 64.0)  # Prompt tokens for each output token between classes.


@attrs.frozen
class CallClass:
    """Calls of a similar prompt-to-output ratio.

    Attributes:
        prompt_per_s: Prompt tokens a second of these calls.
        output_per_s: Output tokens a second of these calls.
    """

    prompt_per_s: float
    output_per_s: float

    @property
    def ratio(self) -> float:
        """Prompt tokens for each output token."""
        return self.prompt_per_s / self.output_per_s if self.output_per_s > 0 else math.inf


class DemandProfile:
    """Averages the calls that an entry sends, so that the spread around the mean mix is known.

    A whole call runs at one engine. The mean mix can't tell uniform calls, which mixed engines
    serve best, from long prompts beside long answers, which specialised engines serve better.

    Args:
        average_s: Time constant of the average.
    """

    def __init__(self, *, average_s: float = PROFILE_AVERAGE_S) -> None:
        self._average_s = average_s
        self._prompt_per_s = [0.0] * (len(RATIO_BOUNDS) + 1)
        self._output_per_s = [0.0] * (len(RATIO_BOUNDS) + 1)
        self._at = 0.0

    def note_call(self, prompt_tokens: int, output_tokens: int, now: float) -> None:
        """Count a call; one to a plain service has no tokens and changes nothing."""
        if not prompt_tokens and not output_tokens:
            return
        self._decay(now)
        index = bisect(RATIO_BOUNDS, prompt_tokens / max(output_tokens, 1))
        self._prompt_per_s[index] += prompt_tokens / self._average_s
        self._output_per_s[index] += output_tokens / self._average_s

    def classes(self, now: float) -> tuple[CallClass, ...]:
        """Return the classes that have calls, the most output-heavy first."""
        self._decay(now)
        pairs = zip(self._prompt_per_s, self._output_per_s, strict=True)
        return tuple(CallClass(prompt, output) for prompt, output in pairs if prompt + output > 1)

    def total(self, now: float) -> TokenRates:
        """Return the tokens a second of all classes."""
        self._decay(now)
        return TokenRates(sum(self._prompt_per_s), sum(self._output_per_s))

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._at
        if elapsed_s <= 0:
            return
        factor = math.exp(-elapsed_s / self._average_s)
        self._prompt_per_s = [rate * factor for rate in self._prompt_per_s]
        self._output_per_s = [rate * factor for rate in self._output_per_s]
        self._at = now
