"""Admission queue of an agent: who may start at the backend server, who waits, who is refused."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Iterator

import attrs
import trio

from figwalk.errors import RefusalError
from figwalk.protocol.messages import Priority
from figwalk.timer import MS_PER_S, Timer

# Predicted waits count with this factor before they lead to a refusal, because the prediction
# assumes that calls ahead use their whole estimate.
WAIT_CONFIDENCE = 0.8
# Steps of the engine that a first token takes besides its prompt: the rest of the step under way,
# and the parts of other prompts in its own.
FIRST_TOKEN_STEPS = 3
# Seconds of service by which an organisation may be ahead of its share before others go first.
SHARE_SLACK_S = 2.0
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000
# Expected share of `max_tokens` before any answer has been seen: on a cold agent, 0.75 let 24
# calls start together that were all cut at their deadline.
DEFAULT_OUTPUT_RATIO = 1.0
RATIO_RISE = 0.3
RATIO_FALL = 0.1
# Share of the rest up to `max_tokens` expected of an answer that is already above its estimate.
OVERRUN_RATIO = 0.1
# Share of the time left that running calls may need before no further call starts beside them.
DEADLINE_MARGIN = 0.9
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
_CLASSES = (Priority.INTERACTIVE, Priority.NORMAL, Priority.BATCH)


@attrs.frozen
class Work:
    """What a call asks of the backend server.

    Attributes:
        priority: Priority class.
        organisation: Organisation that it counts for.
        deadline: Time by `Timer.now` at which the answer is worthless, or infinity.
        prompt_tokens: Prompt length; 0 for plain services.
        max_tokens: Largest answer length; 0 for plain services.
        first_token_due: Time by `Timer.now` at which the answer must begin, or infinity.
    """

    priority: Priority = Priority.NORMAL
    organisation: str = ""
    deadline: float = math.inf
    prompt_tokens: int = 0
    max_tokens: int = 0
    first_token_due: float = math.inf


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


@attrs.define(eq=False)
class Ticket:
    """A call that waits or runs.

    Attributes:
        work: What it asks.
        service_s: Predicted seconds from start to end.
        output_tokens: Expected answer length.
        enqueued_at: When it asked for admission.
        started_at: When it was admitted.
        first_byte_at: When its answer began, or 0.
        generated: Tokens generated so far.
        streamed: Whether the tokens arrive one by one, so that their speed can be measured.
        started_beside: Running calls when it started, with itself.
        first_token_s: Predicted seconds from start to the first token.
    """

    work: Work
    service_s: float
    output_tokens: float
    enqueued_at: float
    started_at: float = 0.0
    first_byte_at: float = 0.0
    generated: int = 0
    streamed: bool = False
    started_beside: int = 0
    first_token_s: float = 0.0
    _decided: trio.Event | None = None
    _refusal: RefusalError | None = None

    @property
    def latest_start(self) -> float:
        """Time after which it can no longer begin and finish in time."""
        return min(
            self.work.first_token_due - self.first_token_s, self.work.deadline - self.service_s
        )


class AdmissionQueue:
    """Lets at most `capacity` calls run; the others wait, bounded by what can finish in time.

    A call also waits while it would slow down running calls of its own or a higher class so much
    that they miss their deadlines.

    The order is priority class, then share of the organisation, then deadline: organisations
    within `SHARE_SLACK_S` of the least served one compete by deadline.

    Args:
        timer: Source of time.
        max_running: Calls that the backend server takes at once.
        queue_limit: Calls that may wait.
    """

    def __init__(self, timer: Timer, *, max_running: int, queue_limit: int) -> None:
        self._timer = timer
        self._max_running = max_running
        self._queue_limit = queue_limit
        self._capacity = max_running
        self._estimate = ServiceEstimate()
        self._shares: dict[str, float] = {}
        self._classes = {priority: _ClassQueue() for priority in _CLASSES}
        self._waiting = 0
        self._running: set[Ticket] = set()
        self._closed_code = ""

    @property
    def estimate(self) -> ServiceEstimate:
        """Predictions of service times."""
        return self._estimate

    @property
    def capacity(self) -> int:
        """Calls that may run now."""
        return self._capacity

    @property
    def max_running(self) -> int:
        """Configured maximum of running calls."""
        return self._max_running

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return self._waiting

    @property
    def running(self) -> int:
        """Calls that run."""
        return len(self._running)

    def set_capacity(self, capacity: int) -> None:
        """Set how many calls may run, within the configured maximum."""
        self._capacity = max(1, min(capacity, self._max_running))
        self._start_waiting()

    def set_shares(self, shares: dict[str, float]) -> None:
        """Set the weights of organisations; others have weight 1."""
        self._shares = shares

    def close(self, code: str) -> None:
        """Refuse all waiting and new calls with a code until `reopen`."""
        self._closed_code = code
        for ticket in list(self._all_waiting()):
            self._refuse(ticket, self._closed_refusal())

    def reopen(self) -> None:
        """Take calls again."""
        self._closed_code = ""

    async def admit(self, work: Work) -> Ticket:
        """Wait until a call may start; the caller of this must call `release` after it ended.

        Raises:
            RefusalError: The call can't finish in time, or the queue is full or closed.
        """
        if self._closed_code:
            raise self._closed_refusal()
        now = self._timer.now()
        estimate = self._estimate
        ticket = Ticket(
            work,
            estimate.service_s(work, self._next_count()),
            estimate.output_tokens(work),
            now,
            first_token_s=estimate.first_token_s(work, self._next_count()),
        )
        backlog_s = 0.0
        if ticket.latest_start < math.inf:
            backlog_s = self._prefill_backlog_s(now, work.priority)
        if now + backlog_s * WAIT_CONFIDENCE > ticket.latest_start:
            raise self._deadline_refusal(work, max(backlog_s, self._predict_wait(ticket)))
        if self._can_start(work.priority):
            self._start(ticket)
            return ticket
        await self._wait(ticket)
        return ticket

    def release(self, ticket: Ticket, *, complete: bool = True) -> None:
        """End a running call and start the next one.

        Args:
            ticket: The call.
            complete: Whether it ran to its end; its duration teaches something then.
        """
        now = self._timer.now()
        if complete:
            self._estimate.learn(ticket, len(self._running), now)
        elif now >= ticket.work.deadline:
            self._estimate.learn_late(ticket, len(self._running), now)
        self._running.discard(ticket)
        self._start_waiting()

    def review(self) -> None:
        """Refuse waiting calls that can no longer finish in time by the present prediction.

        Running calls that have made progress may also have made room for a waiting one.
        """
        self._start_waiting()
        if not self._waiting:
            return
        now = self._timer.now()
        slots = self._free_times()
        for ticket in list(self._all_waiting()):
            ticket.service_s = self._estimate.service_s(ticket.work, self._next_count())
            ticket.first_token_s = self._estimate.first_token_s(ticket.work, self._next_count())
            wait = slots[0] - now
            if now + wait * WAIT_CONFIDENCE > ticket.latest_start:
                self._refuse(ticket, self._deadline_refusal(ticket.work, wait))
            else:
                heapq.heapreplace(slots, slots[0] + ticket.service_s)

    def predicted_wait_s(self, priority: Priority = Priority.NORMAL) -> float:
        """Return the predicted wait of a new call of a class."""
        return self._predict_wait(Ticket(Work(priority), 0.0, 0.0, self._timer.now()))

    def processed_tokens(self) -> tuple[int, int]:
        """Return the prompt and output tokens already processed for running calls."""
        prompt = sum(t.work.prompt_tokens for t in self._running if t.first_byte_at)
        return prompt, sum(t.generated for t in self._running)

    def pending_tokens(self) -> tuple[int, int]:
        """Return the prompt and output tokens still to be processed, queued and running."""
        now = self._timer.now()
        prompt = self._prefill_backlog_s(now) * self._estimate.prefill_tokens_per_s
        interval_s = self._estimate.token_interval_s(len(self._running))
        output = sum(self._estimate.output_left(t, interval_s, now) for t in self._running)
        for ticket in self._all_waiting():
            prompt += ticket.work.prompt_tokens
            output += ticket.output_tokens
        return math.ceil(prompt), math.ceil(output)

    async def _wait(self, ticket: Ticket) -> None:
        wait = self._predict_wait(ticket)
        if self._waiting >= self._queue_limit:
            self._make_room(ticket.work.priority, wait)
        if self._timer.now() + wait * WAIT_CONFIDENCE > ticket.latest_start:
            raise self._deadline_refusal(ticket.work, wait)
        ticket._decided = trio.Event()
        self._classes[ticket.work.priority].add(ticket, self._timer.now())
        self._waiting += 1
        try:
            with trio.CancelScope(deadline=ticket.latest_start) as scope:
                await ticket._decided.wait()
        except trio.Cancelled:
            self._forget(ticket)
            raise
        if ticket._refusal is not None:
            raise ticket._refusal
        if scope.cancelled_caught and not ticket._decided.is_set():
            self._forget(ticket)
            raise self._deadline_refusal(ticket.work, self._predict_wait(ticket))

    def _make_room(self, priority: Priority, wait_s: float) -> None:
        """Refuse the last call of the lowest class below a priority.

        Raises:
            RefusalError: All waiting calls are of this class or above.
        """
        for lower in reversed(_CLASSES[_CLASSES.index(priority) + 1 :]):
            if self._classes[lower]:
                last = self._classes[lower].in_order()[-1]
                wait_s = self._predict_wait(last)
                self._refuse(last, _refusal("overloaded", "calls of a higher class wait", wait_s))
                return
        raise _refusal("overloaded", "the admission queue is full", wait_s)

    def _forget(self, ticket: Ticket) -> None:
        """Take a call out whose task is cancelled, wherever it is."""
        if ticket in self._running:
            self.release(ticket, complete=False)
        elif self._classes[ticket.work.priority].remove(ticket):
            self._waiting -= 1

    def _refuse(self, ticket: Ticket, refusal: RefusalError) -> None:
        if self._classes[ticket.work.priority].remove(ticket):
            self._waiting -= 1
            ticket._refusal = refusal
            ticket._decided.set()

    def _start(self, ticket: Ticket) -> None:
        ticket.started_at = self._timer.now()
        self._running.add(ticket)
        ticket.started_beside = len(self._running)

    def _next_count(self) -> int:
        """Return how many calls run once one more has started."""
        return min(len(self._running) + 1, self._capacity)

    def _can_start(self, priority: Priority) -> bool:
        """Return whether a new call of a class starts without waiting."""
        ahead = _CLASSES[: _CLASSES.index(priority) + 1]
        return not any(self._classes[name] for name in ahead) and self._has_place(priority)

    def _has_place(self, priority: Priority) -> bool:
        """Return whether a call of a class may start beside the running ones."""
        running = len(self._running)
        if running >= self._capacity:
            return False
        interval_s = self._estimate.token_interval_s(running + 1)
        if not running or not interval_s:
            return True
        present_s = self._estimate.token_interval_s(running)
        now = self._timer.now()
        backlog_s = self._prefill_backlog_s(now)
        rank = _CLASSES.index(priority)
        for ticket in self._running:
            if ticket.work.deadline == math.inf or _CLASSES.index(ticket.work.priority) > rank:
                continue
            left_s = (ticket.work.deadline - now - backlog_s) * DEADLINE_MARGIN
            rest = self._estimate.output_left(ticket, present_s, now)
            if rest * present_s <= left_s < rest * interval_s:
                return False
        return True

    def _start_waiting(self) -> None:
        while self._waiting:
            priority = next(name for name in _CLASSES if self._classes[name])
            if not self._has_place(priority):
                return
            ticket = self._classes[priority].pop(self._shares)
            self._waiting -= 1
            if self._timer.now() > ticket.latest_start:
                ticket._refusal = self._deadline_refusal(ticket.work, self._predict_wait(ticket))
            else:
                self._start(ticket)
            ticket._decided.set()

    def _all_waiting(self) -> Iterator[Ticket]:
        for priority in _CLASSES:
            yield from self._classes[priority].in_order()

    def _predict_wait(self, new: Ticket) -> float:
        """Return the predicted seconds until a new call would start."""
        if self._can_start(new.work.priority):
            return 0.0
        slots = self._free_times()
        rank = (_CLASSES.index(new.work.priority), new.work.deadline)
        for ticket in self._all_waiting():
            if (_CLASSES.index(ticket.work.priority), ticket.work.deadline) > rank:
                break
            heapq.heapreplace(slots, slots[0] + ticket.service_s)
        return max(0.0, slots[0] - self._timer.now())

    def _prefill_backlog_s(self, now: float, priority: Priority = Priority.BATCH) -> float:
        """Return the seconds for the prompts of running calls whose answer has not begun.

        The engine processes prompts one after the other at its prefill speed, those of a higher
        priority first, and has done so since the oldest of these calls started.

        Args:
            now: Timer time.
            priority: Class whose prompts wait for those of the same and of higher ones.
        """
        rank = _CLASSES.index(priority)
        speed = self._estimate.prefill_tokens_per_s
        waiting = [
            ticket
            for ticket in self._running
            if not ticket.first_byte_at
            and ticket.work.prompt_tokens
            and _CLASSES.index(ticket.work.priority) <= rank
        ]
        if not waiting or not speed:
            return 0.0
        total_s = sum(t.work.prompt_tokens for t in waiting) / speed
        return max(0.0, total_s - (now - min(t.started_at for t in waiting)))

    def _free_times(self) -> list[float]:
        """Return a heap of the times at which running calls are predicted to make place.

        It is used while calls wait, so that places above the running calls can't be used now.
        """
        now = self._timer.now()
        slots = [max(now, t.started_at + t.service_s) for t in self._running] or [now]
        heapq.heapify(slots)
        return slots

    def _closed_refusal(self) -> RefusalError:
        code = self._closed_code
        return _refusal(code, f"the backend server takes no new calls ({code})", 0.0)

    def _deadline_refusal(self, work: Work, wait_s: float) -> RefusalError:
        if not self._running:
            self._estimate.note_refusal(work)
        now = self._timer.now()
        left = work.deadline - now
        first_left = work.first_token_due - now
        # The queue has to get shorter by what the call would be late.
        late = wait_s + self._estimate.service_s(work, self._next_count()) - left
        message = f"the call can't finish within the {_render_ms(left)} ms left"
        first_late = wait_s + self._estimate.first_token_s(work, self._next_count()) - first_left
        if first_late > late:
            late = first_late
            message = f"the answer can't begin within the {_render_ms(first_left)} ms left"
        return _refusal("deadline", message, min(wait_s, late) if late > 0 else wait_s)


def _render_ms(seconds: float) -> str:
    return f"{max(0.0, seconds) * MS_PER_S:.0f}"


def _refusal(code: str, message: str, retry_after_s: float) -> RefusalError:
    retry_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, math.ceil(retry_after_s * MS_PER_S)))
    return RefusalError(code, message, retry_after_ms=retry_ms)


class _ClassQueue:
    """Waiting calls of one priority class, by organisation."""

    def __init__(self) -> None:
        self._heaps: dict[str, list[tuple[float, int, Ticket]]] = {}
        self._served: dict[str, float] = {}
        self._order = itertools.count()

    def __bool__(self) -> bool:
        return bool(self._heaps)

    def add(self, ticket: Ticket, now: float) -> None:
        """Add a call; a returning organisation gets no credit for its idle time."""
        name = ticket.work.organisation
        if name not in self._heaps:
            least = min((self._served[other] for other in self._heaps), default=0.0)
            self._served = {other: self._served[other] for other in self._heaps} | {
                name: max(least, self._served.get(name, 0.0))
            }
            self._heaps[name] = []
        heapq.heappush(self._heaps[name], (ticket.work.deadline, next(self._order), ticket))

    def pop(self, shares: dict[str, float]) -> Ticket:
        """Take the next call and charge it to its organisation."""
        bound = min(self._served[name] for name in self._heaps) + SHARE_SLACK_S
        eligible = (name for name in self._heaps if self._served[name] <= bound)
        name = min(eligible, key=lambda candidate: self._heaps[candidate][0])
        heap = self._heaps[name]
        ticket = heapq.heappop(heap)[2]
        self._served[name] += max(ticket.service_s, 0.001) / max(shares.get(name, 1.0), 0.001)
        if not heap:
            del self._heaps[name]
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Take a call out of the queue; return whether it was there."""
        heap = self._heaps.get(ticket.work.organisation, [])
        for index, item in enumerate(heap):
            if item[2] is ticket:
                heap[index] = heap[-1]
                heap.pop()
                heapq.heapify(heap)
                if not heap:
                    del self._heaps[ticket.work.organisation]
                return True
        return False

    def in_order(self) -> list[Ticket]:
        """Return the calls by deadline."""
        return [item[2] for item in sorted(itertools.chain(*self._heaps.values()))]
