"""Answers calls of plain services, and retries an attempt only where the route allows it."""

from __future__ import annotations

import math
from http import HTTPStatus

import attrs
import trio

from figwalk.coordination.backend_tracker import AttemptOutcome, BackendTracker
from figwalk.coordination.call_quarantine import CallQuarantine
from figwalk.coordination.plain_placement import PlainPlacement
from figwalk.coordination.windowed_retry_budget import ServiceRetryBudgets
from figwalk.errors import CallOutcome, RefusalError
from figwalk.events import EventLog
from figwalk.fairness.plain_shares import PlainShares
from figwalk.gateway.attempts import Answer, AttemptError, Attempts
from figwalk.gateway.backend_pool import BackendPool
from figwalk.gateway.call import Call
from figwalk.gateway.codecs import SendPlan
from figwalk.gateway.retries import take_retries
from figwalk.gateway.stream_versions import StreamVersions
from figwalk.state.routing import CallKind
from figwalk.timer import MS_PER_S, Timer
from figwalk.transport import Headers, Responder
from figwalk.transport.byte_budget import SMALL_BODY_BYTES

# An attempt times out after this share of the remaining time if a retry is allowed; the retry then
# still has the larger share.
ATTEMPT_TIMEOUT_SHARE = 0.35
# A call waits for this share of the remaining time until a backend server has room for its body.
ROOM_WAIT_SHARE = 0.5
# A shorter timeout would abandon attempts at backend servers that are merely busy.
MIN_ATTEMPT_TIMEOUT_S = 0.15
# Statuses from which callers conclude that their request was not run.
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
class BufferedAnswer:
    """An answer whose body was read completely.

    Attributes:
        backend: Id of the backend server that sent it.
        status: HTTP status.
        headers: Headers for the caller.
        body: Complete body.
    """

    backend: str
    status: int
    headers: Headers
    body: bytes

    @property
    def failed(self) -> bool:
        """Whether the status is a server error, 500 or above."""
        return self.status >= HTTPStatus.INTERNAL_SERVER_ERROR


class PlainCalls:
    """Answers calls of plain services.

    Args:
        pool: Backend servers.
        attempts: Sends calls to them.
        placement: Chooses among them.
        quarantine: Learns which calls were answered.
        budgets: Limit the retries at each service.
        shares: Refuses calls of organisations that used up their share.
        versions: Records which software version began each stream.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self,
        pool: BackendPool,
        attempts: Attempts,
        placement: PlainPlacement,
        quarantine: CallQuarantine,
        budgets: ServiceRetryBudgets,
        shares: PlainShares,
        versions: StreamVersions,
        events: EventLog,
        timer: Timer,
    ) -> None:
        self._pool = pool
        self._attempts = attempts
        self._placement = placement
        self._quarantine = quarantine
        self._budgets = budgets
        self._shares = shares
        self._versions = versions
        self._events = events
        self._timer = timer

    async def run(self, call: Call, responder: Responder) -> str:
        """Answer a call; return the id of the backend server that did the work.

        Raises:
            RefusalError: No backend server gave an answer that can be passed on to the caller.
        """
        if call.organisation is not None:
            trackers = self._pool.trackers(call.service)
            self._shares.check(call.service, call.share_request, trackers, call.route.target_s)
        if call.route.kind is CallKind.STREAM:
            return await self._run_stream(call, responder)
        answer = await self._find_answer(call)
        await responder.send(answer.status, answer.headers, answer.body)
        return answer.backend

    async def _run_stream(self, call: Call, responder: Responder) -> str:
        """Relay a stream of a plain service as it arrives.

        The call is retried on another backend server only if it certainly was not run before.
        """
        tried: list[str] = []
        error: AttemptError | None = None
        while error is None or error.not_run:
            tracker = await self._choose(call, tried)
            if tracker is None or not self._may_send(call, bool(tried)):
                break
            self._pool.take_turns(tracker)
            tried.append(tracker.entry.backend)
            plan = SendPlan(tracker.entry, call.deadline - self._timer.now())
            relay = self._versions.make_relay(call, responder)
            try:
                async with self._attempts.send(call, tracker, plan) as answer:
                    began_at = self._timer.now()
                    self._reject_unproven_not_run(call, answer.status)
                    await relay.relay(answer)
                    if answer.succeeded:
                        self._versions.record_end(call)
                    if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                        self._quarantine.record_answered(call.identity, began_at)
                    return answer.backend
            except AttemptError as attempt_error:
                error = attempt_error
        raise self._refuse(call, error)

    async def _find_answer(self, call: Call) -> BufferedAnswer:
        tried: list[str] = []
        failed: BufferedAnswer | None = None
        error: AttemptError | None = None
        while True:
            tracker = await self._choose(call, tried)
            if tracker is None or not self._may_send(call, bool(tried)):
                break
            self._pool.take_turns(tracker)
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

    async def _choose(self, call: Call, tried: list[str]) -> BackendTracker | None:
        """Choose a backend server; wait if those that are left have too many bytes in flight."""
        tracker = self._choose_now(call, tried)
        if tracker is not None or len(call.request.body) <= SMALL_BODY_BYTES:
            return tracker
        remaining_s = call.deadline - self._timer.now()
        with trio.move_on_after(max(0.0, ROOM_WAIT_SHARE * remaining_s)):
            while tracker is None and any(
                other.entry.backend not in tried for other in self._pool.trackers(call.service)
            ):
                await self._pool.wait_body_ended()
                tracker = self._choose_now(call, tried)
        return tracker

    def _choose_now(self, call: Call, tried: list[str]) -> BackendTracker | None:
        trackers = self._pool.trackers(call.service, len(call.request.body))
        candidates = [tracker for tracker in trackers if call.fits_origin(tracker)]
        return self._placement.choose(candidates, tried=tried)

    async def _attempt(self, call: Call, tracker: BackendTracker) -> BufferedAnswer:
        remaining_s = call.deadline - self._timer.now()
        plan = SendPlan(tracker.entry, remaining_s)
        head_timeout_s = None
        if self._may_be_repeated(call):
            head_timeout_s = max(MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_SHARE * remaining_s)
        async with self._attempts.send(
            call, tracker, plan, head_timeout_s=head_timeout_s
        ) as answer:
            began_at = self._timer.now()
            buffered = await _read_answer(call, answer)
            if not buffered.failed:
                # A server that fails all its calls may never have begun this one.
                self._quarantine.record_answered(call.identity, began_at)
            return buffered

    def _may_be_repeated(self, call: Call) -> bool:
        return (
            call.route.repeatable
            and len(call.sent_to) + 1 < call.route.max_backends
            and self._budgets.of_service(call.service).left >= 1
        )

    def _may_send(self, call: Call, is_repeat: bool) -> bool:
        """Return whether one more attempt is allowed, and record it in the retry budget."""
        if not is_repeat:
            self._budgets.of_service(call.service).record_first_attempt()
            return True
        if call.is_quarantine_test and call.sent_to:
            return False  # A second backend server could crash as well.
        return call.may_try_another_backend and take_retries(call, self._budgets, self._events)

    @staticmethod
    def _reject_unproven_not_run(call: Call, status: int) -> None:
        """Reject a status that means "not run" though the backend server did not state that.

        Raises:
            RefusalError: The caller would conclude that a non-repeatable call was not run.
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
            self._shares.record_full(call.service)
            return RefusalError("backends_full", str(error), retry_after_ms=FULL_RETRY_MS)
        return self._versions.find_refusal(call) or refuse_without_backend(self._pool, call)


def refuse_without_backend(pool: BackendPool, call: Call) -> RefusalError:
    """Return the refusal, with a retry time, of a call that no backend server takes now."""
    service, size = call.service, len(call.request.body)
    if pool.trackers(service) and not pool.trackers(service, size):
        message = f"the backend servers of {service!r} have too many bytes in flight"
        return RefusalError("backends_full", message, retry_after_ms=FULL_RETRY_MS)
    return_s = pool.promise_return_s(service)
    if return_s is not None:
        return RefusalError(
            "backends_closed",
            f"the backend servers of {service!r} take no calls now",
            retry_after_ms=math.ceil(return_s * MS_PER_S),
        )
    return RefusalError(
        "no_backend",
        f"no backend server of {service!r} can be reached",
        retry_after_ms=NO_BACKEND_RETRY_MS,
    )


async def _read_answer(call: Call, answer: Answer) -> BufferedAnswer:
    body = await answer.read_body(call.held)
    return BufferedAnswer(answer.backend, answer.status, answer.headers, body)
