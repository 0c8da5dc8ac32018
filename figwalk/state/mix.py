"""Estimate of the prompt and output token rates of one service."""

from __future__ import annotations

import math

import attrs

from figwalk.protocol.messages import LoadReport

FAST_AVERAGE_S = 10.0
SLOW_AVERAGE_S = 120.0


@attrs.frozen
class TokenRates:
    """Averaged rates of processed tokens.

    Attributes:
        prompt_per_s: Prompt tokens processed per second.
        output_per_s: Output tokens generated per second.
    """

    prompt_per_s: float = 0.0
    output_per_s: float = 0.0

    @property
    def prompt_share(self) -> float:
        """Share of prompt tokens in all tokens, 0 to 1; 0.5 if no tokens were processed."""
        total = self.prompt_per_s + self.output_per_s
        return self.prompt_per_s / total if total > 0 else 0.5


@attrs.frozen
class MixEstimate:
    """Token rates of a service at one time.

    Attributes:
        fast: Average with a short time constant, over the last seconds.
        slow: Average with a long time constant, over the last minutes.
        observed_s: Seconds since the first report.
    """

    fast: TokenRates = attrs.field(factory=TokenRates)
    slow: TokenRates = attrs.field(factory=TokenRates)
    observed_s: float = 0.0


class MixEstimator:
    """Averages the token rates of one service from the counters that its backend servers report.

    The counters are totals, so that the next report makes up for a lost one.

    Args:
        fast_s: Time constant of the fast average in seconds.
        slow_s: Time constant of the slow average in seconds.
    """

    def __init__(self, *, fast_s: float = FAST_AVERAGE_S, slow_s: float = SLOW_AVERAGE_S) -> None:
        self._fast = _RateAverage(fast_s)
        self._slow = _RateAverage(slow_s)
        self._last_counters: dict[str, _Counters] = {}
        self._first_report_at: float | None = None

    def observe(self, report: LoadReport, now: float) -> None:
        """Add the tokens that a backend server has processed since its previous report."""
        if self._first_report_at is None:
            self._first_report_at = now
        counters = _Counters(now, report.prompt_tokens_total, report.generated_tokens_total)
        previous = self._last_counters.get(report.backend)
        self._last_counters[report.backend] = counters
        if previous is None or now <= previous.at:
            return
        prompt, output = counters.since(previous)
        for average in (self._fast, self._slow):
            average.add(prompt, output, now - previous.at, now)

    def forget(self, backend: str) -> None:
        """Drop the counters of a backend server that has been removed."""
        self._last_counters.pop(backend, None)

    def estimate(self, now: float) -> MixEstimate:
        """Return the averages as of now."""
        if self._first_report_at is None:
            return MixEstimate()
        observed_s = max(0.0, now - self._first_report_at)
        return MixEstimate(
            self._fast.rates(now, observed_s), self._slow.rates(now, observed_s), observed_s
        )


@attrs.frozen
class _Counters:
    """Token counters of one backend server in one report."""

    at: float
    prompt: int
    output: int

    def since(self, previous: _Counters) -> tuple[int, int]:
        """Return the prompt and output tokens processed since an earlier report.

        A counter below its earlier value means that a restart has reset both to 0; their values
        are then the tokens processed since the restart.
        """
        if self.prompt < previous.prompt or self.output < previous.output:
            return self.prompt, self.output
        return self.prompt - previous.prompt, self.output - previous.output


class _RateAverage:
    """Exponentially weighted rate of prompt and output tokens."""

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._prompt_per_s = 0.0
        self._output_per_s = 0.0
        self._decayed_at = 0.0

    def add(self, prompt: int, output: int, elapsed_s: float, now: float) -> None:
        """Add tokens, assuming that they were processed evenly over the last `elapsed_s` seconds.

        Without this assumption, a late report would appear as a burst.
        """
        self._decay(now)
        weight = self._weight_of(elapsed_s) / elapsed_s
        self._prompt_per_s += prompt * weight
        self._output_per_s += output * weight

    def rates(self, now: float, observed_s: float) -> TokenRates:
        """Return the average, corrected for the missing time before the first report."""
        self._decay(now)
        weight = self._weight_of(observed_s)
        if weight <= 0:
            return TokenRates()
        return TokenRates(self._prompt_per_s / weight, self._output_per_s / weight)

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at
        if elapsed_s <= 0:
            return
        factor = math.exp(-elapsed_s / self._time_constant_s)
        self._prompt_per_s *= factor
        self._output_per_s *= factor
        self._decayed_at = now

    def _weight_of(self, duration_s: float) -> float:
        return -math.expm1(-duration_s / self._time_constant_s)
