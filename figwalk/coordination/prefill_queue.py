"""Admits prompts to the prefill of one engine, for all gateways together.

Long prompts arrive in bursts that exceed what an engine can prefill. Gateways that decide alone all
see the same idle engine and send too much at once; the resulting queue makes every prompt behind it
late. This queue counts each prompt that was granted and not yet prefilled, and grants one only if
its first token is predicted in time.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from figwalk.coordination.cached_parts import CachedParts
from figwalk.coordination.prefill_speed import PrefillSpeed
from figwalk.coordination.stream_pauses import PauseLimit, PrefillSchedule
from figwalk.fairness.fair_share import FULL_ROOM, FairShare, ShareDecision, ShareRequest
from figwalk.timer import Timer

# A gateway that is lost or disconnected never reports the end of its grants, which must not count
# for ever. On slow engines, a grant lasts for a multiple of its predicted time instead.
GRANT_TTL_S = 1.5
GRANT_TTL_FACTOR = 3.0
# With fewer prompts queued, the engine may idle until the next one arrives: a prompt from another
# region is on its way for longer than the engine takes to prefill one.
MIN_MEASURED_DEPTH = 2
MEASURE_S = 0.1
# Allowance for the time from a grant to the arrival of its prompt at the engine: half of a round
# trip between regions. The engine is taken to work on the backlog only from then on.
ARRIVAL_DELAY_S = 0.012
# Allowance for the time from the end of a prefill to the arrival of the gateway's report on it: a
# round trip between regions. The engine may be ahead of the reported ends by what it prefills in
# this time.
REPORT_DELAY_S = 0.025
# Share of the time to the target that a prediction may take; the rest allows for its errors.
ADMISSION_RATIO = 0.95
# Longest wait of a prompt that will be late, as a share of its own prefill.
LATE_WAIT_SHARE = 0.5
# Prefill that may run at once before the duty cycle delays further prompts.
PACING_BURST_S = 0.1


@attrs.frozen
class PrefillRequest:
    """A prompt that a gateway offers for prefill.

    Attributes:
        parts: Id and tokens of each part of the prompt.
        target_s: Seconds until its first token is late; may be negative.
        left_s: Seconds until its caller gives up.
        after_s: Seconds from the end of the prefill until the first token reaches the caller.
        fetched_tokens: Tokens from the start of the prompt whose KV cache the engine fetches.
        pause_limit: Prefill that the engine may do beside its streams, or None without a limit.
        share: What is known of the caller's organisation, without the work.
    """

    parts: Sequence[tuple[str, int]]
    target_s: float
    left_s: float
    after_s: float
    fetched_tokens: int = 0
    pause_limit: PauseLimit | None = None
    share: ShareRequest = attrs.field(factory=ShareRequest)


@attrs.frozen
class PrefillDecision:
    """Whether a prompt is granted, and the predictions behind the decision.

    Attributes:
        granted: Whether it may be sent.
        uncached_tokens: Tokens that the engine is predicted to prefill.
        wait_s: Seconds that the prompt is predicted to wait for others.
        finish_s: Seconds until the end of its prefill, as predicted.
        share: Part of the time to the target that the prompt might wait.
        retry_s: Seconds until the wait is predicted to be short enough for the room, if it was too
            long for it; else 0.
    """

    granted: bool
    uncached_tokens: float
    wait_s: float
    finish_s: float
    share: ShareDecision
    retry_s: float = 0.0


@attrs.define
class _Grant:
    owner: object
    tokens: float
    expires_at: float
    alone: bool


class PrefillQueue:
    """Prompts that were granted to one engine and are not yet prefilled.

    Args:
        timer: Source of time.
        tokens_per_s: Assumed prefill rate until one is measured.
    """

    def __init__(self, timer: Timer, *, tokens_per_s: float) -> None:
        self._timer = timer
        self._assumed_rate = tokens_per_s
        self._speed = PrefillSpeed(tokens_per_s)
        self._duty = 1.0
        self._paced_until = 0.0
        self._schedule = PrefillSchedule()
        self._shares = FairShare(timer)
        self._granted_s = 0.0
        self._parts = CachedParts(timer)
        self._grants: dict[object, _Grant] = {}
        self._backlog_tokens = 0.0
        self._backlog_at = 0.0
        self._busy_since: float | None = None
        self._busy_s = 0.0
        self._busy_tokens = 0.0

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that the engine prefills per second."""
        return self._speed.tokens_per_s

    @property
    def measured(self) -> bool:
        """Whether the prefill rate is measured rather than assumed."""
        return self._speed.measured

    @property
    def fixed_s(self) -> float:
        """Seconds that the prefill of a prompt takes in addition to the time for its tokens."""
        return self._speed.fixed_s

    @property
    def duty(self) -> float:
        """Share of the time in which the engine may prefill, above 0 and up to 1."""
        return self._duty

    def set_duty(self, duty: float) -> None:
        """Set the share of the time in which the engine may prefill."""
        self._duty = duty

    @property
    def prefilled_s(self) -> float:
        """Seconds of prefill that the engine has done since this object was made, as predicted."""
        return self._granted_s - self.backlog_tokens / self.tokens_per_s

    @property
    def depth(self) -> int:
        """Granted prompts that have not been prefilled."""
        return len(self._grants)

    @property
    def backlog_tokens(self) -> float:
        """Granted tokens that have not been prefilled.

        This is an estimate by the prefill rate since each grant. The engine can be ahead of the
        reported ends only by the prompt that ends next, and by those whose reports are in flight.
        """
        if not self._grants:
            return 0.0
        granted = sum(grant.tokens for grant in self._grants.values())
        first = next(iter(self._grants.values()))
        unreported = self.tokens_per_s * (self.fixed_s + REPORT_DELAY_S)
        at_least = max(0.0, granted - first.tokens - unreported)
        return min(granted, max(at_least, self._remaining_tokens()))

    @property
    def parts(self) -> CachedParts:
        """Prompt parts in the engine's prefix cache."""
        return self._parts

    def set_engine(self, *, tokens_per_s: float) -> None:
        """Reset the queue for an engine that restarted or changed its role.

        Args:
            tokens_per_s: Assumed prefill rate. A measured one is kept while the assumption stays
                the same, since an engine of the same role is as fast as before.
        """
        if tokens_per_s != self._assumed_rate:
            self._assumed_rate = tokens_per_s
            self._speed = PrefillSpeed(tokens_per_s)
        self._parts.clear()
        self._grants.clear()
        self._schedule.clear()
        self._reset_measure()

    def offer(self, key: object, owner: object, reading: PrefillRequest) -> PrefillDecision:
        """Decide on a prompt, and queue it if it is granted.

        Args:
            key: Identifies the prompt.
            owner: Holder of the grant; see `drop`.
            reading: The prompt.
        """
        self._expire()
        total = sum(tokens for _, tokens in reading.parts)
        kept = max(reading.fetched_tokens, self._parts.cached_tokens(reading.parts))
        uncached = max(0.0, total - kept)
        backlog_s = self.backlog_tokens / self.tokens_per_s
        own_s = uncached / self.tokens_per_s
        pause_s = max(self._pause_s(), self._excess_s(reading, backlog_s, own_s))
        wait_s = max(backlog_s, pause_s)
        finish_s = wait_s + own_s + self.fixed_s
        share = self._shares.admit(attrs.evolve(reading.share, work_s=finish_s - wait_s))
        granted = pause_s == 0.0 and self._admits(reading, wait_s, finish_s, share.room)
        is_late = finish_s + reading.after_s > reading.target_s
        if wait_s > 0 and (is_late or not granted):
            self._shares.record_pressure()
        if granted:
            now = self._timer.now()
            self._backlog_tokens, self._backlog_at = self._remaining_tokens() + uncached, now
            ttl_s = max(GRANT_TTL_S, GRANT_TTL_FACTOR * finish_s)
            self._grants[key] = _Grant(owner, uncached, now + ttl_s, alone=not self._grants)
            self._schedule.add(now, now + wait_s, own_s)
            self._granted_s += own_s
            self._shares.record(reading.share.organisation, finish_s - wait_s)
            self._paced_until = max(now, self._paced_until) + own_s / self._duty
            # The engine will have cached its shared parts for the prompts behind it.
            self._parts.expect(reading.parts[:-1])
        retry_s = 0.0
        if not granted and share.room < FULL_ROOM:
            retry_s = max(0.0, wait_s - self._limit_s(reading, finish_s - wait_s, share.room))
        return PrefillDecision(granted, uncached, wait_s, finish_s, share, retry_s)

    def finish(self, key: object, *, read: bool, took_s: float = 0.0) -> None:
        """Record that a granted prompt was prefilled or abandoned.

        Args:
            key: Identifies the prompt.
            read: Whether the engine prefilled it to the end.
            took_s: Seconds that it took at the engine, or 0 if that is not known.
        """
        grant = self._grants.pop(key, None)
        if grant is None:
            return
        if read:
            # The time of a prompt that waited for no other shows the rate by itself.
            if grant.alone and self._busy_since is None:
                self._speed.record_single(grant.tokens, took_s)
            self._measure(grant.tokens)
        if self.depth < MIN_MEASURED_DEPTH:
            self._busy_since = None

    def drop(self, owner: object) -> None:
        """Drop the grants of an owner that is lost."""
        for key in [key for key, grant in self._grants.items() if grant.owner is owner]:
            del self._grants[key]
        self._busy_since = None

    def _remaining_tokens(self) -> float:
        """Return the granted tokens that an engine with the measured rate still has to prefill."""
        elapsed_s = max(0.0, self._timer.now() - self._backlog_at - ARRIVAL_DELAY_S)
        return max(0.0, self._backlog_tokens - self.tokens_per_s * elapsed_s)

    def _pause_s(self) -> float:
        """Return the seconds for which the engine must not prefill, to stay within its duty."""
        if self._duty >= 1.0:
            return 0.0
        return self._timer.left_s(self._paced_until - PACING_BURST_S)

    def _excess_s(self, reading: PrefillRequest, wait_s: float, own_s: float) -> float:
        """Return for how many seconds a prompt must wait so that no stream pauses for too long."""
        if reading.pause_limit is None:
            return 0.0
        return self._schedule.excess_s(self._timer.now() + wait_s, own_s, reading.pause_limit)

    @staticmethod
    def _limit_s(reading: PrefillRequest, own_s: float, room: float) -> float:
        """Return for how many seconds a prompt may wait with a part of the time to its target."""
        in_time_s = reading.target_s * ADMISSION_RATIO - reading.after_s - own_s
        return room * max(0.0, in_time_s)

    @classmethod
    def _admits(cls, reading: PrefillRequest, wait_s: float, finish_s: float, room: float) -> bool:
        """Return whether a prompt may be sent.

        Args:
            reading: The prompt.
            wait_s: Seconds that it is predicted to wait for others.
            finish_s: Seconds until the end of its prefill, as predicted.
            room: Part of the time to its target that it may wait.

        A prompt that will be late is of use to its caller, but takes time from prompts that would
        be in time. It is sent only if its wait is short compared with its own prefill.
        """
        first_token_s = finish_s + reading.after_s
        if first_token_s <= reading.target_s * ADMISSION_RATIO:
            return room >= FULL_ROOM or wait_s <= cls._limit_s(reading, finish_s - wait_s, room)
        return first_token_s < reading.left_s and wait_s <= LATE_WAIT_SHARE * (finish_s - wait_s)

    def _expire(self) -> None:
        now = self._timer.now()
        for key in [key for key, grant in self._grants.items() if grant.expires_at < now]:
            del self._grants[key]

    def _measure(self, tokens: float) -> None:
        """Measure the rate between the ends of two prompts while enough others are queued.

        The engine was busy throughout that time. The time from a grant to its end would include the
        network round trip to the engine.
        """
        now = self._timer.now()
        if self._busy_since is not None:
            self._busy_s += now - self._busy_since
            self._busy_tokens += tokens
        self._busy_since = now
        if self._busy_s >= MEASURE_S:
            self._speed.record_throughput(self._busy_tokens, self._busy_s)
            self._busy_s = 0.0
            self._busy_tokens = 0.0

    def _reset_measure(self) -> None:
        self._busy_since = None
        self._busy_s = 0.0
        self._busy_tokens = 0.0
