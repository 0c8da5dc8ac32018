"""Calls of plain services: one whole answer, repeated only where that is allowed."""

from __future__ import annotations

import math
from http import HTTPStatus

import attrs

from figwalk.coordination.backend_tracker import AttemptOutcome, BackendTracker
from figwalk.coordination.plain_placement import PlainPlacement
from figwalk.coordination.windowed_retry_budget import WindowedRetryBudget
from figwalk.errors import CallOutcome, RefusalError
from figwalk.events import EventLog
from figwalk.gateway.attempts import Answer, AttemptError, Attempts, take_retry
from figwalk.gateway.backend_pool import BackendPool
from figwalk.gateway.call import Call
from figwalk.gateway.codecs import SendPlan
from figwalk.gateway.stream_relay import StreamRelay
from figwalk.state.routing import CallKind
from figwalk.timer import MS_PER_S, Timer
from figwalk.transport import Headers, Responder

# An attempt that has taken this part of the time left is given up where another one is allowed;
# the second one then still has the larger part.
ATTEMPT_TIMEOUT_SHARE = 0.35
# Below this an attempt would be given up while the backend server is merely busy.
MIN_ATTEMPT_TIMEOUT_S = 0.15
# Statuses that promise to callers that their request has not run.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
NO_BACKEND_RETRY_MS = 300
FULL_RETRY_MS = 100


@attrs.frozen
class WholeAnswer:
    """An answer that has been read to its end.

    Attributes:
        backend: Backend server that gave it.
        status: HTTP status.
        headers: Headers for the caller.
        body: Whole body.
    """

    backend: str
    status: int
    headers: Headers
    body: bytes

    @property
    def failed(self) -> bool:
        """Whether the work failed."""
        return self.status >= HTTPStatus.INTERNAL_SERVER_ERROR


class PlainCalls:
    """Answers calls of plain services.

    Args:
        pool: Backend servers.
        attempts: Sends calls to them.
        placement: Chooses among them.
        budget: Bound of repeated attempts.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self,
        pool: BackendPool,
        attempts: Attempts,
        placement: PlainPlacement,
        budget: WindowedRetryBudget,
        events: EventLog,
        timer: Timer,
    ) -> None:
        self._pool = pool
        self._attempts = attempts
        self._placement = placement
        self._budget = budget
        self._events = events
        self._timer = timer

    async def run(self, call: Call, responder: Responder) -> str:
        """Answer a call; return the id of the backend server that did the work.

        Raises:
            RefusalError: There is no answer of a backend server for the caller.
        """
        if call.route.kind is CallKind.STREAM:
            return await self._run_stream(call, responder)
        answer = await self._find_answer(call)
        await responder.send(answer.status, answer.headers, answer.body)
        return answer.backend

    async def _run_stream(self, call: Call, responder: Responder) -> str:
        """Pass a stream of a plain service on as it arrives.

        It goes to another backend server only if the first one certainly did not run it.
        """
        tried: list[str] = []
        error: AttemptError | None = None
        while error is None or error.not_run:
            tracker = self._placement.choose(self._pool.trackers(call.service), tried=tried)
            if tracker is None or not self._may_send(call, bool(tried)):
                break
            tried.append(tracker.entry.backend)
            plan = SendPlan(tracker.entry, call.deadline - self._timer.now())
            try:
                async with self._attempts.send(call, tracker, plan) as answer:
                    self._reject_unproven_not_run(call, answer.status)
                    relay = StreamRelay(responder, call.timing, self._timer, resumable=False)
                    await relay.relay(answer)
                    return answer.backend
            except AttemptError as attempt_error:
                error = attempt_error
        raise self._refuse(call, error)

    async def _find_answer(self, call: Call) -> WholeAnswer:
        tried: list[str] = []
        failed: WholeAnswer | None = None
        error: AttemptError | None = None
        while True:
            tracker = self._placement.choose(self._pool.trackers(call.service), tried=tried)
            if tracker is None or not self._may_send(call, bool(tried)):
                break
            tried.append(tracker.entry.backend)
            try:
                answer = await self._attempt(call, tracker)
            except AttemptError as attempt_error:
                error = attempt_error
                if not (error.not_run or call.route.repeatable):
                    break
            else:
                if not (answer.failed and call.route.repeatable):
                    self._reject_unproven_not_run(call, answer.status)
                    return answer
                failed = answer
        if failed is not None:
            return failed
        raise self._refuse(call, error)

    async def _attempt(self, call: Call, tracker: BackendTracker) -> WholeAnswer:
        left_s = call.deadline - self._timer.now()
        plan = SendPlan(tracker.entry, left_s)
        head_timeout_s = None
        if self._may_be_repeated(call):
            head_timeout_s = max(MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_SHARE * left_s)
        async with self._attempts.send(
            call, tracker, plan, head_timeout_s=head_timeout_s
        ) as answer:
            return await _read_answer(answer)

    def _may_be_repeated(self, call: Call) -> bool:
        return (
            call.route.repeatable
            and len(call.sent_to) + 1 < call.route.max_backends
            and self._budget.left >= 1
        )

    def _may_send(self, call: Call, is_repeat: bool) -> bool:
        """Return whether one more attempt is allowed, and count it."""
        if not is_repeat:
            self._budget.note_first_attempt()
            return True
        if not call.may_try_another_backend:
            return False
        if not call.sent_to:
            return True  # Only unreachable backend servers so far, where nothing arrived.
        return take_retry(call, self._budget, self._events)

    @staticmethod
    def _reject_unproven_not_run(call: Call, status: int) -> None:
        """Refuse a status that promises what the backend server did not state.

        Raises:
            RefusalError: The caller would take the call as not run.
        """
        if status in NOT_RUN_STATUSES and not call.route.repeatable:
            raise RefusalError(
                "backend_failed",
                f"the backend server answered with HTTP status {status} after a start",
                status=HTTPStatus.BAD_GATEWAY,
                outcome=CallOutcome.UNKNOWN,
            )

    def _refuse(self, call: Call, error: AttemptError | None) -> RefusalError:
        if call.unresolved:
            return RefusalError(
                "backend_lost",
                f"the backend server gave no answer: {error}",
                status=HTTPStatus.BAD_GATEWAY,
                outcome=CallOutcome.UNKNOWN,
            )
        is_refused = error is not None and error.outcome is AttemptOutcome.REFUSED
        if is_refused and self._pool.trackers(call.service):
            return RefusalError("backends_full", str(error), retry_after_ms=FULL_RETRY_MS)
        return refuse_without_backend(self._pool, call.service)


def refuse_without_backend(pool: BackendPool, service: str) -> RefusalError:
    """Return the refusal of a call that no backend server takes now, with when to come back."""
    opens_in_s = pool.opens_in_s(service)
    if opens_in_s is not None:
        return RefusalError(
            "backends_closed",
            f"the backend servers of {service!r} take no calls now",
            retry_after_ms=math.ceil(opens_in_s * MS_PER_S),
        )
    return RefusalError(
        "no_backend",
        f"no backend server of {service!r} can be reached",
        retry_after_ms=NO_BACKEND_RETRY_MS,
    )


async def _read_answer(answer: Answer) -> WholeAnswer:
    return WholeAnswer(answer.backend, answer.status, answer.headers, await answer.read_whole())
