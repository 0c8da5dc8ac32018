"""Admission queue of an agent: decides which calls start, wait or are refused."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

import trio

from figwalk.coordination._admission_ticket import AdmissionRequest, Ticket
from figwalk.coordination._class_queue import ClassQueue
from figwalk.coordination._service_estimate import ServiceEstimate
from figwalk.errors import RefusalError
from figwalk.protocol.messages import Priority
from figwalk.timer import MS_PER_S, Timer

__all__ = ["AdmissionQueue", "AdmissionRequest", "ServiceEstimate", "Ticket"]

# Factor on a predicted wait before it leads to a refusal. The prediction is pessimistic: it assumes
# that each earlier call takes its whole estimated service time.
WAIT_CONFIDENCE = 0.8
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000
# No further call starts if a running call would then need more than this share of the time until
# its deadline.
DEADLINE_MARGIN = 0.9
_PRIORITY_ORDER = (Priority.INTERACTIVE, Priority.NORMAL, Priority.BATCH)


class AdmissionQueue:
    """Limits the calls that run at once, and queues or refuses the others.

    At most `capacity` calls run. A call waits while no slot is free, or while it would slow down
    running calls of its own or a higher priority class so much that they miss their deadlines. A
    call that can't meet its own deadline is refused.

    Waiting calls start in the order of priority class, then share of the organisation, then
    deadline: among organisations close to the least served one, the earliest deadline is first.

    Args:
        timer: Source of time.
        max_running: Maximum number of calls that the backend server runs at once.
        queue_limit: Maximum number of waiting calls.
    """

    def __init__(self, timer: Timer, *, max_running: int, queue_limit: int) -> None:
        self._timer = timer
        self._max_running = max_running
        self._queue_limit = queue_limit
        self._capacity = max_running
        self._estimate = ServiceEstimate()
        self._shares: dict[str, float] = {}
        self._queues = {priority: ClassQueue() for priority in _PRIORITY_ORDER}
        self._waiting_count = 0
        self._running: set[Ticket] = set()
        self._closed_code = ""

    @property
    def estimate(self) -> ServiceEstimate:
        """Predictions of service times."""
        return self._estimate

    @property
    def capacity(self) -> int:
        """Number of calls that may run at once now."""
        return self._capacity

    @property
    def max_running(self) -> int:
        """Configured maximum number of running calls."""
        return self._max_running

    @property
    def queued(self) -> int:
        """Number of waiting calls."""
        return self._waiting_count

    @property
    def running(self) -> int:
        """Number of running calls."""
        return len(self._running)

    def set_capacity(self, capacity: int) -> None:
        """Set how many calls may run at once, limited to 1 to `max_running`, and start calls."""
        self._capacity = max(1, min(capacity, self._max_running))
        self._start_waiting()

    def set_shares(self, shares: dict[str, float]) -> None:
        """Set the weights of organisations; others have weight 1."""
        self._shares = shares

    def close(self, code: str) -> None:
        """Refuse all waiting calls, and new ones until `reopen`, with a refusal code."""
        self._closed_code = code
        for ticket in list(self._all_waiting()):
            self._refuse(ticket, self._closed_refusal())

    def reopen(self) -> None:
        """Admit calls again after `close`."""
        self._closed_code = ""

    async def admit(self, work: AdmissionRequest) -> Ticket:
        """Wait until a call may start, and return its ticket.

        Whoever awaits this must pass the ticket to `release` when the call has ended.

        Raises:
            RefusalError: The call can't finish in time, or the queue is full or closed.
        """
        if self._closed_code:
            raise self._closed_refusal()
        now = self._timer.now()
        estimate = self._estimate
        ticket = Ticket(
            work,
            estimate.service_s(work, self._running_after_start()),
            estimate.output_tokens(work),
            now,
            first_token_s=estimate.first_token_s(work, self._running_after_start()),
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
            complete: Whether it ran to completion, so that its duration and length update the
                estimates.
        """
        now = self._timer.now()
        if complete:
            self._estimate.learn(ticket, len(self._running), now)
        elif now >= ticket.work.deadline:
            self._estimate.learn_cut_call(ticket, len(self._running), now)
        self._running.discard(ticket)
        self._start_waiting()

    def refresh_predictions(self) -> None:
        """Update the predictions of waiting calls, and refuse those that can no longer be in time.

        First starts calls that the progress of the running ones now permits.
        """
        self._start_waiting()
        if not self._waiting_count:
            return
        now = self._timer.now()
        slots = self._predict_free_times()
        for ticket in list(self._all_waiting()):
            ticket.service_s = self._estimate.service_s(ticket.work, self._running_after_start())
            ticket.first_token_s = self._estimate.first_token_s(
                ticket.work, self._running_after_start()
            )
            wait = slots[0] - now
            if now + wait * WAIT_CONFIDENCE > ticket.latest_start:
                self._refuse(ticket, self._deadline_refusal(ticket.work, wait))
            else:
                heapq.heapreplace(slots, slots[0] + ticket.service_s)

    def predicted_wait_s(self, priority: Priority = Priority.NORMAL) -> float:
        """Return the predicted seconds that a new call of a priority class waits."""
        return self._predict_wait(Ticket(AdmissionRequest(priority), 0.0, 0.0, self._timer.now()))

    def processed_tokens(self) -> tuple[int, int]:
        """Return the prompt and output tokens already processed for the running calls."""
        prompt = sum(t.work.prompt_tokens for t in self._running if t.first_byte_at)
        return prompt, sum(t.generated for t in self._running)

    def pending_tokens(self) -> tuple[int, int]:
        """Return the prompt and output tokens yet to be processed, waiting and running."""
        now = self._timer.now()
        prompt = self._prefill_backlog_s(now) * self._estimate.prefill_tokens_per_s
        interval_s = self._estimate.token_interval_s(len(self._running))
        output = sum(
            self._estimate.remaining_output_tokens(t, interval_s, now) for t in self._running
        )
        for ticket in self._all_waiting():
            prompt += ticket.work.prompt_tokens
            output += ticket.output_tokens
        return math.ceil(prompt), math.ceil(output)

    async def _wait(self, ticket: Ticket) -> None:
        wait = self._predict_wait(ticket)
        if self._waiting_count >= self._queue_limit:
            self._refuse_lower_priority(ticket.work.priority, wait)
        if self._timer.now() + wait * WAIT_CONFIDENCE > ticket.latest_start:
            raise self._deadline_refusal(ticket.work, wait)
        ticket.decided = trio.Event()
        self._queues[ticket.work.priority].add(ticket, self._timer.now())
        self._waiting_count += 1
        try:
            with trio.CancelScope(deadline=ticket.latest_start) as scope:
                await ticket.decided.wait()
        except trio.Cancelled:
            self._remove_cancelled(ticket)
            raise
        if ticket.refusal is not None:
            raise ticket.refusal
        if scope.cancelled_caught and not ticket.decided.is_set():
            self._remove_cancelled(ticket)
            raise self._deadline_refusal(ticket.work, self._predict_wait(ticket))

    def _refuse_lower_priority(self, priority: Priority, wait_s: float) -> None:
        """Refuse the last waiting call of the lowest priority class, if it is below `priority`.

        Raises:
            RefusalError: All waiting calls have this priority or a higher one.
        """
        for lower in reversed(_PRIORITY_ORDER[_PRIORITY_ORDER.index(priority) + 1 :]):
            if self._queues[lower]:
                last = self._queues[lower].in_order()[-1]
                wait_s = self._predict_wait(last)
                self._refuse(last, _refusal("overloaded", "calls of a higher class wait", wait_s))
                return
        raise _refusal("overloaded", "the admission queue is full", wait_s)

    def _remove_cancelled(self, ticket: Ticket) -> None:
        """Remove a call whose task was cancelled, whether it waits or has just been started."""
        if ticket in self._running:
            self.release(ticket, complete=False)
        elif self._queues[ticket.work.priority].remove(ticket):
            self._waiting_count -= 1

    def _refuse(self, ticket: Ticket, refusal: RefusalError) -> None:
        if self._queues[ticket.work.priority].remove(ticket):
            self._waiting_count -= 1
            ticket.refusal = refusal
            ticket.decided.set()

    def _start(self, ticket: Ticket) -> None:
        ticket.started_at = self._timer.now()
        self._running.add(ticket)
        ticket.running_at_start = len(self._running)

    def _running_after_start(self) -> int:
        """Return the number of running calls once one more has started."""
        return min(len(self._running) + 1, self._capacity)

    def _can_start(self, priority: Priority) -> bool:
        """Return whether a new call of a priority class can start without waiting."""
        ahead = _PRIORITY_ORDER[: _PRIORITY_ORDER.index(priority) + 1]
        return not any(self._queues[name] for name in ahead) and self._can_run_now(priority)

    def _can_run_now(self, priority: Priority) -> bool:
        """Return whether a call of a priority class may start in addition to the running ones."""
        running = len(self._running)
        if running >= self._capacity:
            return False
        interval_s = self._estimate.token_interval_s(running + 1)
        if not running or not interval_s:
            return True
        present_s = self._estimate.token_interval_s(running)
        now = self._timer.now()
        backlog_s = self._prefill_backlog_s(now)
        rank = _PRIORITY_ORDER.index(priority)
        for ticket in self._running:
            if (
                ticket.work.deadline == math.inf
                or _PRIORITY_ORDER.index(ticket.work.priority) > rank
            ):
                continue
            remaining_s = (ticket.work.deadline - now - backlog_s) * DEADLINE_MARGIN
            remaining_tokens = self._estimate.remaining_output_tokens(ticket, present_s, now)
            if remaining_tokens * present_s <= remaining_s < remaining_tokens * interval_s:
                return False
        return True

    def _start_waiting(self) -> None:
        while self._waiting_count:
            priority = next(name for name in _PRIORITY_ORDER if self._queues[name])
            if not self._can_run_now(priority):
                return
            ticket = self._queues[priority].pop(self._shares)
            self._waiting_count -= 1
            if self._timer.now() > ticket.latest_start:
                ticket.refusal = self._deadline_refusal(ticket.work, self._predict_wait(ticket))
            else:
                self._start(ticket)
            ticket.decided.set()

    def _all_waiting(self) -> Iterator[Ticket]:
        for priority in _PRIORITY_ORDER:
            yield from self._queues[priority].in_order()

    def _predict_wait(self, new: Ticket) -> float:
        """Return the predicted seconds until a new call can start."""
        if self._can_start(new.work.priority):
            return 0.0
        slots = self._predict_free_times()
        rank = (_PRIORITY_ORDER.index(new.work.priority), new.work.deadline)
        for ticket in self._all_waiting():
            if (_PRIORITY_ORDER.index(ticket.work.priority), ticket.work.deadline) > rank:
                break
            heapq.heapreplace(slots, slots[0] + ticket.service_s)
        return max(0.0, slots[0] - self._timer.now())

    def _prefill_backlog_s(self, now: float, priority: Priority = Priority.BATCH) -> float:
        """Return the remaining prefill seconds of running calls whose answer has not begun.

        The estimate assumes that the engine has been prefilling one prompt after the other, those
        of a higher priority first, since the oldest of these calls started.

        Args:
            now: `Timer.now` time.
            priority: Lowest priority class to include.
        """
        rank = _PRIORITY_ORDER.index(priority)
        speed = self._estimate.prefill_tokens_per_s
        waiting = [
            ticket
            for ticket in self._running
            if not ticket.first_byte_at
            and ticket.work.prompt_tokens
            and _PRIORITY_ORDER.index(ticket.work.priority) <= rank
        ]
        if not waiting or not speed:
            return 0.0
        total_s = sum(t.work.prompt_tokens for t in waiting) / speed
        return max(0.0, total_s - (now - min(t.started_at for t in waiting)))

    def _predict_free_times(self) -> list[float]:
        """Return a heap of the predicted times at which the slots of running calls become free.

        Slots above the number of running calls are left out: this is called while calls must wait,
        so those slots can't be used now.
        """
        now = self._timer.now()
        slots = [max(now, t.started_at + t.service_s) for t in self._running] or [now]
        heapq.heapify(slots)
        return slots

    def _closed_refusal(self) -> RefusalError:
        code = self._closed_code
        return _refusal(code, f"the backend server takes no new calls ({code})", 0.0)

    def _deadline_refusal(self, work: AdmissionRequest, wait_s: float) -> RefusalError:
        if not self._running:
            self._estimate.lower_output_ratio(work)
        now = self._timer.now()
        remaining_s = work.deadline - now
        first_token_remaining_s = work.first_token_due - now
        # A retry succeeds once the queue is shorter by the time by which the call would be late.
        lateness_s = (
            wait_s + self._estimate.service_s(work, self._running_after_start()) - remaining_s
        )
        message = f"the call can't finish within the {_render_ms(remaining_s)} ms left"
        first_token_lateness_s = (
            wait_s
            + self._estimate.first_token_s(work, self._running_after_start())
            - first_token_remaining_s
        )
        if first_token_lateness_s > lateness_s:
            lateness_s = first_token_lateness_s
            message = (
                f"the answer can't begin within the {_render_ms(first_token_remaining_s)} ms left"
            )
        return _refusal("deadline", message, min(wait_s, lateness_s) if lateness_s > 0 else wait_s)


def _render_ms(seconds: float) -> str:
    return f"{max(0.0, seconds) * MS_PER_S:.0f}"


def _refusal(code: str, message: str, retry_after_s: float) -> RefusalError:
    retry_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, math.ceil(retry_after_s * MS_PER_S)))
    return RefusalError(code, message, retry_after_ms=retry_ms)
