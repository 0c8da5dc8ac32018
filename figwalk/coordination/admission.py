"""Admission queue of an agent: who may start at the backend server, who waits, who is refused."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

import trio

from figwalk.coordination._admission_ticket import Ticket, Work
from figwalk.coordination._class_queue import ClassQueue
from figwalk.coordination._service_estimate import ServiceEstimate
from figwalk.errors import RefusalError
from figwalk.protocol.messages import Priority
from figwalk.timer import MS_PER_S, Timer

__all__ = ["AdmissionQueue", "ServiceEstimate", "Ticket", "Work"]

# Predicted waits count with this factor before they lead to a refusal, because the prediction
# assumes that calls ahead use their whole estimate.
WAIT_CONFIDENCE = 0.8
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000
# Share of the time left that running calls may need before no further call starts beside them.
DEADLINE_MARGIN = 0.9
_CLASSES = (Priority.INTERACTIVE, Priority.NORMAL, Priority.BATCH)


class AdmissionQueue:
    """Lets at most `capacity` calls run; the others wait, bounded by what can finish in time.

    A call also waits while it would slow down running calls of its own or a higher class so much
    that they miss their deadlines.

    The order is priority class, then share of the organisation, then deadline: organisations
    close to the least served one compete by deadline.

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
        self._classes = {priority: ClassQueue() for priority in _CLASSES}
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
        ticket.decided = trio.Event()
        self._classes[ticket.work.priority].add(ticket, self._timer.now())
        self._waiting += 1
        try:
            with trio.CancelScope(deadline=ticket.latest_start) as scope:
                await ticket.decided.wait()
        except trio.Cancelled:
            self._forget(ticket)
            raise
        if ticket.refusal is not None:
            raise ticket.refusal
        if scope.cancelled_caught and not ticket.decided.is_set():
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
            ticket.refusal = refusal
            ticket.decided.set()

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
                ticket.refusal = self._deadline_refusal(ticket.work, self._predict_wait(ticket))
            else:
                self._start(ticket)
            ticket.decided.set()

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
