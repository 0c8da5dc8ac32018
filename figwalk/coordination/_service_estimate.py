"""Prediction of how long calls take at a backend server."""

from __future__ import annotations

from figwalk.coordination._admission_ticket import Ticket, Work

# Steps of the engine that a first token takes besides its prompt: the rest of the step under way,
# and the parts of other prompts in its own.
FIRST_TOKEN_STEPS = 3
# Expected share of `max_tokens` before any answer has been seen: on a cold agent, 0.75 let 24
# calls start together that were all cut at their deadline.
DEFAULT_OUTPUT_RATIO = 1.0
RATIO_RISE = 0.3
RATIO_FALL = 0.1
# Share of the rest up to `max_tokens` expected of an answer that is already above its estimate.
OVERRUN_RATIO = 0.1
SPEED_CHANGE = 0.2
MEASURED_DECAY = 0.95
MIN_SPREAD = 0.5
# Seconds per token of a lone call against one in a full batch, until streams have been measured.
LONE_CALL_RATIO = 0.25
MIN_MEASURED_TOKENS = 8
_SMOOTHING = 0.2
# A refusal while nothing runs teaches nothing about output lengths, so it moves the ratio towards
# the explored one; otherwise a ratio that is too high would refuse such calls for ever.
EXPLORED_OUTPUT_RATIO = 0.25
_REFUSAL_DRIFT = 0.05


class TokenInterval:
    """Predicts the seconds per token of one call from the number of running calls.

    A step of an engine with continuous batching takes a fixed time and some time for each running
    call, so the interval is a line, fitted to measured streams. Until there are enough of them, two
    points from the engine's own figure at a full batch stand in.
    """

    def __init__(self) -> None:
        self._full_calls = 1
        self._full_s = 0.0
        self._measured = (0.0, 0.0, 0.0, 0.0, 0.0)
        self._base_s = 0.0
        self._slope_s = 0.0

    def at(self, calls: int) -> float:
        """Return the seconds per token beside other calls, `calls` in all; 0 while unknown."""
        return self._base_s + self._slope_s * calls

    def set_engine_speed(self, tokens_per_s: float, calls: int) -> None:
        """Take over the engine's generation speed over a full batch of calls."""
        full_s = calls / tokens_per_s if tokens_per_s > 0 else 0.0
        if abs(full_s - self._full_s) > SPEED_CHANGE * self._full_s:
            # The engine has another role or model now; what was measured before does not hold.
            self._measured = (0.0, 0.0, 0.0, 0.0, 0.0)
        self._full_calls, self._full_s = calls, full_s
        self._fit()

    def learn(self, calls: float, interval_s: float) -> None:
        """Add a measured stream."""
        sample = (1.0, calls, interval_s, calls * calls, calls * interval_s)
        self._measured = tuple(
            MEASURED_DECAY * old + new for old, new in zip(self._measured, sample, strict=True)
        )
        self._fit()

    def _fit(self) -> None:
        weight, n, s, nn, ns = self._measured
        points = ((1.0, self._full_calls, self._full_s), (0.2, 1, self._full_s * LONE_CALL_RATIO))
        for point_weight, calls, interval_s in points if self._full_s else ():
            weight += point_weight
            n += point_weight * calls
            s += point_weight * interval_s
            nn += point_weight * calls * calls
            ns += point_weight * calls * interval_s
        if not weight:
            return
        spread = nn - n * n / weight
        slope = (ns - n * s / weight) / spread if spread > MIN_SPREAD else 0.0
        self._slope_s = max(0.0, slope)
        self._base_s = max(0.0, (s - self._slope_s * n) / weight)


class ServiceEstimate:
    """Predicts how long calls take, from measured speeds and past calls."""

    def __init__(self) -> None:
        self._prefill_tokens_per_s = 0.0
        self._interval = TokenInterval()
        self._plain_s = 0.0
        self._output_ratios: dict[int, float] = {}

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prompt processing speed of the engine, or 0 while unknown."""
        return self._prefill_tokens_per_s

    def set_engine_speeds(self, prefill: float, decode: float, calls: int) -> None:
        """Take over the engine's own figures.

        Args:
            prefill: Prompt tokens per second.
            decode: Generated tokens per second over all calls together.
            calls: Calls that share this generation speed.
        """
        self._prefill_tokens_per_s = max(0.0, prefill)
        self._interval.set_engine_speed(decode, max(1, calls))

    def token_interval_s(self, calls: int) -> float:
        """Return the seconds per token of one of `calls` running calls; 0 while unknown."""
        return self._interval.at(calls)

    def output_tokens(self, work: Work) -> float:
        """Return the expected answer length."""
        ratio = self._output_ratios.get(work.max_tokens.bit_length(), DEFAULT_OUTPUT_RATIO)
        return work.max_tokens * ratio

    def prompt_s(self, work: Work) -> float:
        """Return the predicted seconds of the prompt without other work."""
        speed = self._prefill_tokens_per_s
        return work.prompt_tokens / speed if speed else 0.0

    def first_token_s(self, work: Work, calls: int) -> float:
        """Return the predicted seconds from start to the first token beside other calls."""
        return self.prompt_s(work) + FIRST_TOKEN_STEPS * self._interval.at(calls)

    def service_s(self, work: Work, calls: int) -> float:
        """Return the predicted seconds from start to end as one of `calls` running calls."""
        if not work.prompt_tokens and not work.max_tokens:
            return self._plain_s
        total = self.output_tokens(work) * self._interval.at(calls)
        total += self.prompt_s(work)
        return total

    def output_left(self, ticket: Ticket, interval_s: float, now: float) -> float:
        """Return the tokens that a running call is still expected to generate."""
        done = ticket.generated
        if not done and interval_s:
            # An answer that comes whole shows no progress.
            done = (now - ticket.started_at) / interval_s
        rest = OVERRUN_RATIO * (ticket.work.max_tokens - done)
        return max(0.0, ticket.output_tokens - done, rest)

    def learn(self, ticket: Ticket, calls: int, now: float) -> None:
        """Learn from a call that ran to its end beside others, `calls` in all."""
        work = ticket.work
        if not work.max_tokens:
            self._plain_s = _smooth(self._plain_s, now - ticket.started_at)
            return
        if ticket.generated:
            self._learn_length(work, ticket.generated)
        decode_s = now - ticket.first_byte_at
        if ticket.streamed and ticket.generated >= MIN_MEASURED_TOKENS and decode_s > 0:
            beside = (ticket.started_beside + calls) / 2
            self._interval.learn(beside, decode_s / (ticket.generated - 1))

    def learn_late(self, ticket: Ticket, calls: int, now: float) -> None:
        """Learn from a call that was cut at its deadline, halfway between progress and limit."""
        interval_s = self._interval.at(calls)
        done = ticket.generated or ((now - ticket.started_at) / interval_s if interval_s else 0.0)
        limit = ticket.work.max_tokens
        if limit and done:
            self._learn_length(ticket.work, (min(done, limit) + limit) / 2)

    def note_refusal(self, work: Work) -> None:
        """Lower the output ratio of such calls a little."""
        bucket = work.max_tokens.bit_length()
        ratio = self._output_ratios.get(bucket, DEFAULT_OUTPUT_RATIO)
        if ratio > EXPLORED_OUTPUT_RATIO:
            self._output_ratios[bucket] = ratio + _REFUSAL_DRIFT * (EXPLORED_OUTPUT_RATIO - ratio)

    def _learn_length(self, work: Work, tokens: float) -> None:
        """Follow long answers fast and short ones slowly, so that most answers fit."""
        bucket = work.max_tokens.bit_length()
        seen = min(1.0, tokens / work.max_tokens)
        ratio = self._output_ratios.get(bucket, seen)
        speed = RATIO_RISE if seen > ratio else RATIO_FALL
        self._output_ratios[bucket] = ratio + speed * (seen - ratio)


def _smooth(old: float, new: float) -> float:
    return old + _SMOOTHING * (new - old) if old else new
