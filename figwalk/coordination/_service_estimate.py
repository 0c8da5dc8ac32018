"""Prediction of the service times of calls at a backend server."""

from __future__ import annotations

from figwalk.coordination._admission_ticket import AdmissionRequest, Ticket

# Engine steps before a first token in addition to its own prefill: the remainder of the current
# step, and the chunks of other prompts in the steps of this prefill.
FIRST_TOKEN_STEPS = 3
# Expected share of `max_tokens` until a call has ended. With 0.75, an agent that had just started
# admitted 24 calls together, and all of them were cut at their deadline.
DEFAULT_OUTPUT_RATIO = 1.0
# Weight of a new answer in the averaged output ratio, above and below the present average.
RATIO_RISE_SMOOTHING = 0.3
RATIO_FALL_SMOOTHING = 0.1
# Share of the remaining tokens up to `max_tokens` that is expected of an answer that is already
# longer than its estimate.
OVERRUN_RATIO = 0.1
SPEED_CHANGE_TOLERANCE = 0.2
MEASURED_DECAY = 0.95
MIN_CALLS_SPREAD = 0.5
# Token interval of a single running call relative to that in a full batch, until streams have been
# measured.
LONE_CALL_RATIO = 0.25
MIN_MEASURED_TOKENS = 8
_PLAIN_SERVICE_SMOOTHING = 0.2
# A call that is refused while none is running yields no output length. The refusal therefore moves
# the ratio towards this one; otherwise too high a ratio would cause such calls to be refused
# forever.
EXPLORATION_OUTPUT_RATIO = 0.25
_REFUSAL_SMOOTHING = 0.05


class TokenInterval:
    """Predicts the seconds per token of one call from the number of running calls.

    A step of an engine with continuous batching takes a fixed time plus some time for each running
    call, so the interval is a linear function, fitted to measured streams. Two points derived from
    the engine's reported speed at a full batch are included with a low weight, so that they
    determine the fit until there are enough measurements.
    """

    def __init__(self) -> None:
        self._full_batch_calls = 1
        self._full_batch_interval_s = 0.0
        self._weighted_sums = (0.0, 0.0, 0.0, 0.0, 0.0)
        self._base_s = 0.0
        self._slope_s = 0.0

    def at(self, calls: int) -> float:
        """Return the seconds per token of one of `calls` running calls; 0 while unknown."""
        return self._base_s + self._slope_s * calls

    def set_engine_speed(self, tokens_per_s: float, calls: int) -> None:
        """Set the engine's reported generation speed.

        Args:
            tokens_per_s: Generated tokens per second, summed over a full batch.
            calls: Number of calls in a full batch.
        """
        full_s = calls / tokens_per_s if tokens_per_s > 0 else 0.0
        if (
            abs(full_s - self._full_batch_interval_s)
            > SPEED_CHANGE_TOLERANCE * self._full_batch_interval_s
        ):
            # The engine has changed its role or model, so earlier measurements no longer apply.
            self._weighted_sums = (0.0, 0.0, 0.0, 0.0, 0.0)
        self._full_batch_calls, self._full_batch_interval_s = calls, full_s
        self._fit()

    def add_sample(self, calls: float, interval_s: float) -> None:
        """Add the measurement of one stream.

        Args:
            calls: Mean number of running calls during the stream.
            interval_s: Mean seconds between its tokens.
        """
        sample = (1.0, calls, interval_s, calls * calls, calls * interval_s)
        self._weighted_sums = tuple(
            MEASURED_DECAY * old + new for old, new in zip(self._weighted_sums, sample, strict=True)
        )
        self._fit()

    def _fit(self) -> None:
        weight, n, s, nn, ns = self._weighted_sums
        points = (
            (1.0, self._full_batch_calls, self._full_batch_interval_s),
            (0.2, 1, self._full_batch_interval_s * LONE_CALL_RATIO),
        )
        for point_weight, calls, interval_s in points if self._full_batch_interval_s else ():
            weight += point_weight
            n += point_weight * calls
            s += point_weight * interval_s
            nn += point_weight * calls * calls
            ns += point_weight * calls * interval_s
        if not weight:
            return
        spread = nn - n * n / weight
        slope = (ns - n * s / weight) / spread if spread > MIN_CALLS_SPREAD else 0.0
        self._slope_s = max(0.0, slope)
        self._base_s = max(0.0, (s - self._slope_s * n) / weight)


class ServiceEstimate:
    """Predicts service times of calls from reported engine speeds and from past calls."""

    def __init__(self) -> None:
        self._prefill_tokens_per_s = 0.0
        self._interval = TokenInterval()
        self._plain_s = 0.0
        self._output_ratios: dict[int, float] = {}

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prefill speed of the engine, or 0 while unknown."""
        return self._prefill_tokens_per_s

    def set_engine_speeds(self, prefill: float, decode: float, calls: int) -> None:
        """Set the speeds that the engine reports.

        Args:
            prefill: Prefill speed in prompt tokens per second.
            decode: Generated tokens per second, summed over all calls of a full batch.
            calls: Number of calls in a full batch.
        """
        self._prefill_tokens_per_s = max(0.0, prefill)
        self._interval.set_engine_speed(decode, max(1, calls))

    def token_interval_s(self, calls: int) -> float:
        """Return the seconds per token of one of `calls` running calls; 0 while unknown."""
        return self._interval.at(calls)

    def output_tokens(self, work: AdmissionRequest) -> float:
        """Return the expected answer length."""
        ratio = self._output_ratios.get(work.max_tokens.bit_length(), DEFAULT_OUTPUT_RATIO)
        return work.max_tokens * ratio

    def prompt_s(self, work: AdmissionRequest) -> float:
        """Return the predicted seconds of the prefill if the engine has no other work."""
        speed = self._prefill_tokens_per_s
        return work.prompt_tokens / speed if speed else 0.0

    def first_token_s(self, work: AdmissionRequest, calls: int) -> float:
        """Return the predicted seconds to the first token as one of `calls` running calls."""
        return self.prompt_s(work) + FIRST_TOKEN_STEPS * self._interval.at(calls)

    def service_s(self, work: AdmissionRequest, calls: int) -> float:
        """Return the predicted seconds from start to end as one of `calls` running calls."""
        if not work.prompt_tokens and not work.max_tokens:
            return self._plain_s
        total = self.output_tokens(work) * self._interval.at(calls)
        total += self.prompt_s(work)
        return total

    def remaining_output_tokens(self, ticket: Ticket, interval_s: float, now: float) -> float:
        """Return the expected number of tokens that a running call has yet to generate."""
        done = ticket.generated
        if not done and interval_s:
            # An answer that isn't streamed shows no progress; estimate it from the time.
            done = (now - ticket.started_at) / interval_s
        rest = OVERRUN_RATIO * (ticket.work.max_tokens - done)
        return max(0.0, ticket.output_tokens - done, rest)

    def learn(self, ticket: Ticket, calls: int, now: float) -> None:
        """Update the estimates from a call that ended as one of `calls` running calls."""
        work = ticket.work
        if not work.max_tokens:
            self._plain_s = _smooth(self._plain_s, now - ticket.started_at)
            return
        if ticket.generated:
            self._learn_output_length(work, ticket.generated)
        decode_s = now - ticket.first_byte_at
        if ticket.streamed and ticket.generated >= MIN_MEASURED_TOKENS and decode_s > 0:
            beside = (ticket.running_at_start + calls) / 2
            self._interval.add_sample(beside, decode_s / (ticket.generated - 1))

    def learn_cut_call(self, ticket: Ticket, calls: int, now: float) -> None:
        """Update the estimates from a call that was cut at its deadline.

        Its full length is unknown; the midpoint between the tokens generated so far and
        `max_tokens` is used.
        """
        interval_s = self._interval.at(calls)
        done = ticket.generated or ((now - ticket.started_at) / interval_s if interval_s else 0.0)
        limit = ticket.work.max_tokens
        if limit and done:
            self._learn_output_length(ticket.work, (min(done, limit) + limit) / 2)

    def lower_output_ratio(self, work: AdmissionRequest) -> None:
        """Lower the expected output ratio of calls with a similar `max_tokens` after a refusal."""
        bucket = work.max_tokens.bit_length()
        ratio = self._output_ratios.get(bucket, DEFAULT_OUTPUT_RATIO)
        if ratio > EXPLORATION_OUTPUT_RATIO:
            self._output_ratios[bucket] = ratio + _REFUSAL_SMOOTHING * (
                EXPLORATION_OUTPUT_RATIO - ratio
            )

    def _learn_output_length(self, work: AdmissionRequest, tokens: float) -> None:
        """Update the output ratio of calls with a similar `max_tokens`.

        The ratio rises faster than it falls, so that most answers stay within the estimate.
        """
        bucket = work.max_tokens.bit_length()
        seen = min(1.0, tokens / work.max_tokens)
        ratio = self._output_ratios.get(bucket, seen)
        speed = RATIO_RISE_SMOOTHING if seen > ratio else RATIO_FALL_SMOOTHING
        self._output_ratios[bucket] = ratio + speed * (seen - ratio)


def _smooth(old: float, new: float) -> float:
    return old + _PLAIN_SERVICE_SMOOTHING * (new - old) if old else new
