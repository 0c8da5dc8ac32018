"""Sends a call to one backend server and classifies the result."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from http import HTTPStatus

import attrs
import trio

from figwalk.coordination.backend_tracker import AttemptOutcome, BackendTracker
from figwalk.coordination.call_quarantine import CallQuarantine
from figwalk.duties.usage_counter import AttemptStart, UsageCounter
from figwalk.errors import FigwalkError, HttpError, RefusalError
from figwalk.events import Event, EventLog
from figwalk.gateway.backend_pool import BackendPool
from figwalk.gateway.call import Call
from figwalk.gateway.codecs import AnswerFacts, BackendCodec, CallStep, KvSource, SendPlan
from figwalk.gateway.crash_watcher import CrashWatcher, HeldCall
from figwalk.organisations.access_control import AccessControl
from figwalk.state.routing import CallKind
from figwalk.timer import Timer
from figwalk.transport import (
    ByteCharge,
    Headers,
    HttpConnectError,
    HttpConnectTimeoutError,
    HttpExchange,
    HttpResponse,
    strip_hop_by_hop,
)
from figwalk.transport.http_client import MAX_RESPONSE_BYTES, SendHook

# KV cache handles and confirmations are a few dozen bytes long.
MAX_HANDLE_BYTES = 16 * 1024
# Non-repeatable calls reuse only connections that were idle for less than this. The backend server
# may be about to close an older one, which would make the outcome of the call unknown.
MAX_IDLE_NON_REPEATABLE_S = 1.0
# An engine frees unused KV cache by itself after seconds, so a release isn't worth a long wait.
RELEASE_TIMEOUT_S = 0.5


class AttemptError(FigwalkError):
    """An attempt gave no answer for the caller.

    Args:
        outcome: How the attempt ended.
        message: Reason for the failure.
        not_run: Whether the call certainly was not run by this attempt.
    """

    def __init__(self, outcome: AttemptOutcome, message: str, *, not_run: bool) -> None:
        self._outcome = outcome
        self._not_run = not_run
        super().__init__(message)

    @property
    def outcome(self) -> AttemptOutcome:
        """How the attempt ended."""
        return self._outcome

    @property
    def not_run(self) -> bool:
        """Whether the call certainly was not run by this attempt."""
        return self._not_run


@attrs.define(eq=False)
class Answer:
    """The head of a backend server's answer to a call.

    Attributes:
        backend: Id of the backend server.
        status: HTTP status.
        headers: Headers for the caller.
        facts: Fields decoded from the status and the headers.
        response: The response, whose body has not been read yet.
        tracker: Tracker of the backend server.
        on_first_event: Called when the first event of a stream arrives.
    """

    backend: str
    status: int
    headers: Headers
    facts: AnswerFacts
    response: HttpResponse
    tracker: BackendTracker
    on_first_event: Callable[[], None] = lambda: None

    @property
    def succeeded(self) -> bool:
        """Whether the status is 2xx."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

    async def read_body(self, held: ByteCharge, max_bytes: int = MAX_RESPONSE_BYTES) -> bytes:
        """Read the response to its end and return the complete body.

        Args:
            held: Counts the body.
            max_bytes: Maximum size of the body.

        Raises:
            HttpError: The body is truncated or larger than the limit.
        """
        return await self.response.read(max_bytes, held)


@attrs.frozen
class Prefilled:
    """Result of a completed prefill.

    Attributes:
        source: Location of the prompt's KV cache.
        took_s: Seconds from sending the prompt on an open connection to the answer.
    """

    source: KvSource
    took_s: float


class Attempts:
    """Sends calls to backend servers.

    Args:
        pool: Connections to them.
        codec: Encodes requests and decodes answers in their protocol.
        quarantine: Calls that must not be sent.
        access: Tells whether the configuration still allows a call, and for which organisation.
        crashes: Learns which calls backend servers hold.
        events: Event log.
        timer: Source of time.
        usage: Counts the calls that backend servers began, or None if nobody asks for it.
    """

    def __init__(
        self,
        pool: BackendPool,
        codec: BackendCodec,
        quarantine: CallQuarantine,
        access: AccessControl,
        crashes: CrashWatcher,
        events: EventLog,
        timer: Timer,
        usage: UsageCounter | None = None,
    ) -> None:
        self._usage = usage
        self._pool = pool
        self._quarantine = quarantine
        self._access = access
        self._crashes = crashes
        self._codec = codec
        self._events = events
        self._timer = timer

    @asynccontextmanager
    async def send(
        self,
        call: Call,
        tracker: BackendTracker,
        plan: SendPlan,
        *,
        head_timeout_s: float | None = None,
    ) -> AsyncIterator[Answer]:
        """Send a call and yield the head of its answer; the body must be read inside the context.

        Args:
            call: The call.
            tracker: The backend server.
            plan: How to send it.
            head_timeout_s: Seconds to wait for the head, or None to wait until the call ends.

        Raises:
            AttemptError: There is no valid answer, the backend server states that it did not run
                the call, or it takes no calls any more.
            ClientDisconnectedError: The caller has left; the call is not sent.
            InvalidKeyError: The caller's key is no longer valid; the call is not sent.
            RefusalError: The deadline of the call has passed, or backend servers crash on it; the
                call is not sent.
        """
        plan = attrs.evolve(plan, organisation=self._access.check_again(call))
        is_run = plan.step is CallStep.RUN
        if is_run:
            call.sent_to.append(plan.backend.backend)
        key = object()
        tracker.start(key)
        in_flight = self._pool.charge_body(tracker, len(call.request.body))
        outcome = AttemptOutcome.CANCELLED
        started_at = self._timer.now()
        connected_at: float | None = None
        held: HeldCall | None = None
        complete = False
        was_unresolved = call.unresolved
        start = self._open_start(call, tracker, plan)
        has_head = False

        def before_send() -> None:
            nonlocal connected_at, held
            try:
                self._check_before_send(call, plan)
            except FigwalkError:
                self._remove_from_sent(call, plan)
                raise
            # Not before, since a call that ends while it waits for a connection was not sent.
            call.unresolved = was_unresolved or is_run
            self._record_arrival(call, plan)
            self._record_sent(call, tracker, plan)
            connected_at = call.sent_at = self._timer.now()
            if start is not None:
                self._usage.record_sent(start)
            held = self._crashes.start(plan.backend, call.identity, call.timing)
            # Prompts differ in length, so that the times of model calls are not comparable.
            if call.route.is_model_call:
                tracker.record_sent(key, None, expected_s=call.predicted_s or None)
            else:
                tracker.record_sent(key, call.route.name)

        try:
            async with AsyncExitStack() as stack:
                exchange = self._open(call, tracker, plan, before_send, start)
                response = await _wait_for_head(stack, exchange, head_timeout_s, not_run=not is_run)
                has_head = True
                answer = self._read_head(call, tracker, plan, response, key)
                if start is not None:
                    self._usage.record_answered(start)
                    answer.on_first_event = partial(self._usage.record_first_event, start)
                self._crashes.record_answer(held)
                outcome = AttemptOutcome.ANSWERED
                if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                    outcome = AttemptOutcome.FAILED
                yield answer
                complete = True
        except HttpConnectError as error:
            is_timeout = isinstance(error, HttpConnectTimeoutError)
            outcome = AttemptOutcome.UNCONNECTED if is_timeout else AttemptOutcome.UNREACHABLE
            call.unresolved = was_unresolved
            self._remove_from_sent(call, plan)
            raise AttemptError(outcome, str(error), not_run=True) from error
        except AttemptError as error:
            outcome = error.outcome
            if error.not_run:
                call.unresolved = was_unresolved
            raise
        except HttpError as error:
            outcome = AttemptOutcome.BROKEN
            raise AttemptError(outcome, str(error), not_run=not is_run) from error
        finally:
            self._pool.release_body(in_flight)
            tracker.finish(key, outcome)
            if start is not None:
                self._usage.record_ended(start, outcome, has_head=has_head)
            if held is not None:
                is_cut = outcome is AttemptOutcome.ANSWERED and not complete
                self._crashes.finish(held, AttemptOutcome.CANCELLED if is_cut else outcome)
            if outcome is not AttemptOutcome.ANSWERED:
                connect_s = connected_at - started_at if connected_at is not None else None
                self._record_failure(call, plan, outcome, started_at, tracker, connect_s=connect_s)

    async def prefill(
        self, call: Call, tracker: BackendTracker, plan: SendPlan, *, head_timeout_s: float
    ) -> Prefilled:
        """Have an engine prefill a prompt.

        Args:
            call: The call.
            tracker: The engine.
            plan: How to send it.
            head_timeout_s: Seconds to wait for the head of the engine's answer.

        Raises:
            AttemptError: The prefill failed. The call was not run: a prefill never runs a call.
        """
        async with self.send(call, tracker, plan, head_timeout_s=head_timeout_s) as answer:
            took_s = self._timer.now() - answer.response.sent_at
            body = await answer.read_body(call.held, MAX_HANDLE_BYTES)
            if not answer.succeeded:
                message = f"prefill was answered with HTTP status {answer.status}"
                raise AttemptError(AttemptOutcome.FAILED, message, not_run=True)
            source = self._codec.decode_prefill(plan.backend, body)
            call.arrivals.prefilled = True
            return Prefilled(source, took_s)

    async def release(self, call: Call, tracker: BackendTracker, source: KvSource) -> None:
        """Free the KV cache of a prefilled prompt that won't be fetched.

        Sends nothing to an engine that takes no request now; the cache expires there.
        """
        if not (self._pool.is_open(source.backend) and self._pool.take_turns(tracker)):
            return
        self._events.record(
            Event.PREFILL_WASTED, request_id=call.call_id, backend=source.backend.backend
        )
        organisation = call.organisation.name if call.organisation is not None else ""
        with trio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
            try:
                request = self._codec.encode_release(source, organisation)
                await self._pool.client(tracker).fetch(
                    request.method,
                    request.target,
                    headers=request.headers,
                    max_bytes=MAX_HANDLE_BYTES,
                )
            except HttpError as error:
                # The KV cache then expires at the engine.
                self._events.record(
                    Event.ATTEMPT_FAILED, request_id=call.call_id, step="release", detail=str(error)
                )

    def _open_start(
        self, call: Call, tracker: BackendTracker, plan: SendPlan
    ) -> AttemptStart | None:
        """Return the record by which an attempt counts as usage, or None if it does not count."""
        if self._usage is None or call.organisation is None or plan.step is not CallStep.RUN:
            return None
        is_stream = call.route.kind is CallKind.STREAM
        return self._usage.open(call.organisation.name, call.service, tracker, is_stream=is_stream)

    def _check_before_send(self, call: Call, plan: SendPlan) -> None:
        """Check at the moment of sending that the reasons to send a call still hold.

        After a pause or under load, the tasks that cancel a call run only after it was sent. A
        backend server may have left since the call was placed, for example during a prefill.

        Raises:
            InvalidKeyError: The caller's key is no longer valid.
            ClientDisconnectedError: The caller has left.
            RefusalError: The deadline of the call has passed, or backend servers crash on it.
            AttemptError: The backend server takes no calls any more, the call now belongs to
                another organisation than the one in the request, or its stream can't go on.
        """
        call.check_caller_connected()
        if not call.is_quarantine_test:
            self._quarantine.check(call.identity)
        if self._access.check_again(call) != plan.organisation:
            message = "the caller's organisation has changed"
            raise AttemptError(AttemptOutcome.CANCELLED, message, not_run=True)
        if self._timer.left_s(call.deadline) <= 0:
            raise RefusalError("timeout", "the time ended before the call was sent")
        if call.origin is not None and self._pool.is_uncertain(call.origin):
            message = "it has become uncertain which software version began the stream"
            raise AttemptError(AttemptOutcome.CANCELLED, message, not_run=True)
        if not self._pool.is_open(plan.backend):
            message = f"{plan.backend.backend} takes no calls any more"
            raise AttemptError(AttemptOutcome.CANCELLED, message, not_run=True)

    def _open(
        self,
        call: Call,
        tracker: BackendTracker,
        plan: SendPlan,
        before_send: SendHook,
        start: AttemptStart | None,
    ) -> HttpExchange:
        request = self._codec.encode(call.request, plan)
        return self._pool.client(tracker).open(
            request,
            is_own_response=lambda headers: self._check_echo(call, plan, headers, start),
            idle_limit_s=None if call.route.repeatable else MAX_IDLE_NON_REPEATABLE_S,
            before_send=before_send,
        )

    def _check_echo(
        self, call: Call, plan: SendPlan, headers: Headers, start: AttemptStart | None
    ) -> bool:
        if self._codec.is_own_response(call.call_id, headers):
            return True
        if start is not None:
            start.spoiled = True
        self._events.record(
            Event.ANSWER_FOREIGN, request_id=call.call_id, backend=plan.backend.backend
        )
        return False

    def _read_head(
        self,
        call: Call,
        tracker: BackendTracker,
        plan: SendPlan,
        response: HttpResponse,
        key: object,
    ) -> Answer:
        facts = self._codec.decode_answer(response.status, response.headers)
        succeeded = HTTPStatus.OK <= response.status < HTTPStatus.MULTIPLE_CHOICES
        tracker.record_answer(key, facts.load, succeeded=succeeded and not facts.not_run)
        if facts.leaving:
            self._pool.mark_leaving(plan.backend)
        if facts.closed_s > 0:
            self._pool.mark_closed(plan.backend, facts.closed_s)
        self._pool.mark_limit(plan.backend, facts.requests_per_s, response.sent_at)
        if facts.not_run:
            message = f"not run, HTTP status {response.status}"
            raise AttemptError(AttemptOutcome.REFUSED, message, not_run=True)
        answer = Answer(
            plan.backend.backend,
            response.status,
            strip_hop_by_hop(response.headers),
            facts,
            response,
            tracker,
        )
        if plan.step is CallStep.RUN and answer.succeeded and not facts.signed:
            message = "the answer does not bear the backend server's signature"
            raise AttemptError(AttemptOutcome.BROKEN, message, not_run=False)
        return answer

    @staticmethod
    def _remove_from_sent(call: Call, plan: SendPlan) -> None:
        if plan.step is CallStep.RUN:
            call.sent_to.remove(plan.backend.backend)

    def _record_arrival(self, call: Call, plan: SendPlan) -> None:
        if call.arrivals.record_sent(is_prefill=plan.step is CallStep.PREFILL):
            self._events.record(
                Event.REPEAT_SENT,
                request_id=call.call_id,
                service=call.service,
                backend=plan.backend.backend,
                step=plan.step.value,
                repeats=call.arrivals.repeats,
                charged=call.arrivals.charged,
            )

    def _record_sent(self, call: Call, tracker: BackendTracker, plan: SendPlan) -> None:
        # For other calls, the event of the placement or of the answer names the backend server.
        if call.route.repeatable or call.route.is_model_call:
            return
        self._events.record(
            Event.ATTEMPT_SENT,
            request_id=call.call_id,
            backend=plan.backend.backend,
            left_s=round(plan.left_s, 3),
            in_flight=tracker.in_flight,
            load_age_s=tracker.load_age_s,
        )

    def _record_failure(
        self,
        call: Call,
        plan: SendPlan,
        outcome: AttemptOutcome,
        started_at: float,
        tracker: BackendTracker,
        *,
        connect_s: float | None,
    ) -> None:
        self._events.record(
            Event.ATTEMPT_FAILED,
            request_id=call.call_id,
            request=call.request_digest,
            backend=plan.backend.backend,
            step=plan.step.value,
            outcome=outcome.value,
            took_s=round(self._timer.now() - started_at, 3),
            connect_s=round(connect_s, 3) if connect_s is not None else None,
            in_flight=tracker.in_flight,
        )


async def _wait_for_head(
    stack: AsyncExitStack, exchange: HttpExchange, head_timeout_s: float | None, *, not_run: bool
) -> HttpResponse:
    with trio.move_on_after(float("inf") if head_timeout_s is None else head_timeout_s):
        return await stack.enter_async_context(exchange)
    message = f"no answer within {head_timeout_s:.3f} s"
    raise AttemptError(AttemptOutcome.SILENT, message, not_run=not_run)
