"""Serves call connections: runs calls from admission to the end of their answers."""

from __future__ import annotations

import re

import h11
import trio

from figwalk.agent.attempt import Attempt, StoredAnswer
from figwalk.agent.backend_client import BackendClient, check_echo, render_call_id
from figwalk.agent.call_connection import CallConnection
from figwalk.agent.call_session import CallSession
from figwalk.agent.key_memory import KeyMemory
from figwalk.agent.load_reporter import LoadReporter
from figwalk.agent.metrics import Metrics
from figwalk.agent.serving_state import ServingState
from figwalk.coordination.admission import AdmissionQueue, AdmissionRequest, Ticket
from figwalk.errors import (
    CallOutcome,
    ConnectionLostError,
    HttpError,
    RefusalError,
)
from figwalk.events import Event, EventLog
from figwalk.protocol.event_stream import EVENT_STREAM_TYPE, EventStreamSplitter
from figwalk.protocol.messages import Answer, Call, End, Hello, Refusal
from figwalk.timer import MS_PER_S, Timer
from figwalk.transport import HttpConnectError, HttpResponse, strip_hop_by_hop

HTTP_SERVICE_UNAVAILABLE = 503
CANCEL_TIMEOUT_S = 2.0
# The entry keeps an answer that is no stream until it is complete.
MAX_FORWARDED_BYTES = 32 * 1024 * 1024
# Limit for sending the last frames of calls that were cut.
LAST_FRAMES_TIMEOUT_S = 2.0
_USAGE_TAIL_BYTES = 512
_COMPLETION_TOKENS = re.compile(rb'"completion_tokens"\s*:\s*(\d+)')


class CallServer:
    """Runs the calls of all entries.

    Args:
        backend: Client of the backend server.
        admission: Queue that decides when a call starts.
        keys: Table of claimed calls.
        serving: State of the backend server.
        reporter: Source of load reports for `End` and `Refusal`.
        metrics: Counters.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self,
        *,
        backend: BackendClient,
        admission: AdmissionQueue,
        keys: KeyMemory,
        serving: ServingState,
        reporter: LoadReporter,
        metrics: Metrics,
        events: EventLog,
        timer: Timer,
    ) -> None:
        self._backend = backend
        self._admission = admission
        self._keys = keys
        self._serving = serving
        self._reporter = reporter
        self._metrics = metrics
        self._events = events
        self._timer = timer
        self._attempts: set[Attempt] = set()
        self._idle = trio.Event()
        self._idle.set()

    @property
    def active(self) -> int:
        """Number of calls that are queued or running."""
        return len(self._attempts)

    async def wait_idle(self) -> None:
        """Wait until no call is queued or running."""
        while self._attempts:
            await self._idle.wait()

    async def cut_all(self, code: str) -> None:
        """Cut all calls and wait, for a limited time, until their last frames are sent.

        The entries receive a refusal or an incomplete `End`, and can resume streams at another
        backend server.

        Args:
            code: Reason, sent as the code of refusals.
        """
        for attempt in list(self._attempts):
            attempt.cut(code)
        with trio.move_on_after(LAST_FRAMES_TIMEOUT_S):
            await self.wait_idle()

    async def serve(self, connection: CallConnection, entry: Hello) -> None:
        """Serve one call connection until it is lost."""
        await CallSession(self, connection, entry, self._events).run()

    def open_attempt(self, call: Call) -> Attempt:
        """Create the attempt for a call that has arrived, with its deadlines in local time."""
        self._events.clock.observe(call.clock)
        attempt = Attempt(call, trio.CancelScope())
        if call.deadline_ms:
            attempt.deadline = self._timer.now() + call.deadline_ms / MS_PER_S
        if call.first_token_ms:
            attempt.first_token_due = self._timer.now() + call.first_token_ms / MS_PER_S
        return attempt

    async def run_call(self, attempt: Attempt, session: CallSession) -> None:
        """Run one call and send its answer or refusal to the entry."""
        self._attempts.add(attempt)
        if len(self._attempts) == 1:
            self._idle = trio.Event()
        try:
            await self._run_to_end(attempt, session)
        except ConnectionLostError:
            session.mark_lost()
        finally:
            self._attempts.discard(attempt)
            if not self._attempts:
                self._idle.set()

    async def _run_to_end(self, attempt: Attempt, session: CallSession) -> None:
        refusal: RefusalError | None = None
        with attempt.scope:
            try:
                await self._claim_and_run(attempt, session)
            except RefusalError as error:
                refusal = error
            except ConnectionLostError:
                attempt.cancel()
                await trio.lowlevel.checkpoint()
        if attempt.scope.cancelled_caught:
            refusal = self._record_cut(attempt)
            if attempt.sent:
                session.start_soon(self._cancel_at_engine, attempt.call)
        if session.lost:
            raise ConnectionLostError("the entry's connection can't be used further")
        await self._send_last(attempt, refusal, session)

    def _record_cut(self, attempt: Attempt) -> RefusalError:
        code = attempt.cut_code or "deadline"
        outcome = CallOutcome.UNKNOWN if attempt.sent else CallOutcome.NOT_RUN
        self._events.record(
            Event.CALL_CANCELLED, request_id=attempt.call.request_id, code=code, outcome=outcome
        )
        return RefusalError(code, f"the call was cut ({code})", outcome=outcome)

    async def _cancel_at_engine(self, call: Call) -> None:
        if not self._backend.is_engine:
            return
        with trio.CancelScope(shield=True, deadline=trio.current_time() + CANCEL_TIMEOUT_S):
            await self._backend.cancel(call.call_id)

    async def _claim_and_run(self, attempt: Attempt, session: CallSession) -> None:
        """Run the call if its claim, if any, allows it; record the outcome of the claim."""
        call = attempt.call
        if not attempt.keyed:
            await self._admit_and_forward(attempt, session, None)
            return
        self._keys.begin(call.claim_id, call.incarnation)
        answer = StoredAnswer()
        try:
            await self._admit_and_forward(attempt, session, answer)
        finally:
            if not attempt.sent:
                self._keys.void(call.claim_id, call.incarnation)
                self._events.record(Event.KEY_VOIDED, request_id=call.request_id)
            elif attempt.complete and answer.within_limit:
                self._keys.finish(
                    call.claim_id, call.incarnation, answer.status, answer.headers, answer.body
                )
            else:
                self._keys.record_lost(call.claim_id, call.incarnation)
                self._events.record(Event.KEY_UNKNOWN, request_id=call.request_id)

    async def _admit_and_forward(
        self, attempt: Attempt, session: CallSession, kept: StoredAnswer | None
    ) -> None:
        call = attempt.call
        code = self._serving.refusal_code
        if code:
            raise RefusalError(code, f"the backend server takes no new calls ({code})")
        work = AdmissionRequest(
            call.priority,
            call.organisation,
            attempt.deadline,
            call.prompt_tokens,
            call.max_tokens,
            attempt.first_token_due,
        )
        ticket = await self._admission.admit(work)
        try:
            waited_ms = round((ticket.started_at - ticket.enqueued_at) * MS_PER_S)
            if waited_ms:
                self._events.record(
                    Event.CALL_ADMITTED, request_id=call.request_id, waited_ms=waited_ms
                )
            await self._forward(attempt, ticket, session, kept)
        finally:
            # Without an await in between, so that the token totals in load reports never decrease.
            self._metrics.count_call(ticket)
            self._admission.release(ticket, complete=attempt.complete)

    async def _forward(
        self,
        attempt: Attempt,
        ticket: Ticket,
        session: CallSession,
        kept: StoredAnswer | None,
    ) -> None:
        """Send the call to the backend server and forward its answer to the entry."""
        call = attempt.call
        session.cancel_if_unwanted(attempt)
        if attempt.scope.cancel_called:
            # Ends the call here, while it is certain that the agent has sent none of it.
            await trio.lowlevel.checkpoint()
        if not attempt.keyed:
            attempt.scope.deadline = attempt.deadline
        self._events.record(
            Event.CALL_SENT, request_id=call.request_id, call_id=render_call_id(call.call_id)
        )
        attempt.sent = True
        try:
            async with self._backend.open_call(call) as response:
                self._check_answer(call, response)
                await self._forward_answer(attempt, ticket, response, session, kept)
        except (HttpError, _EngineChangingError) as error:
            self._fail(attempt, error)
        else:
            self._events.record(
                Event.CALL_FINISHED,
                request_id=call.request_id,
                status=response.status,
                bytes=attempt.byte_count,
                complete=attempt.complete,
            )

    def _check_answer(self, call: Call, response: HttpResponse) -> None:
        """Reject an answer to another call, and a 503 by which an engine refused the call."""
        check_echo(response, render_call_id(call.call_id))
        if response.status == HTTP_SERVICE_UNAVAILABLE and self._backend.is_engine:
            raise _EngineChangingError

    def _fail(self, attempt: Attempt, error: Exception) -> None:
        """Raise the refusal for a failure of the backend server.

        If the agent has already sent a part of the answer, it sends an incomplete `End` instead.
        """
        call = attempt.call
        self._metrics.failed += 1
        self._events.record(Event.CALL_FAILED, request_id=call.request_id, error=error)
        if isinstance(error, _EngineChangingError):
            attempt.sent = False
            raise RefusalError("changing", "the engine is changing its role") from error
        if isinstance(error, HttpConnectError):
            attempt.sent = False
            self._serving.set_up(False)
            raise RefusalError("down", str(error)) from error
        # This cause means that h11 rejected the request before the client sent any of it.
        if isinstance(error.__cause__, h11.LocalProtocolError):
            attempt.sent = False
            raise RefusalError("invalid_request", str(error)) from error
        if not attempt.answered:
            raise RefusalError("backend_failed", str(error), outcome=CallOutcome.UNKNOWN) from error

    async def _forward_answer(
        self,
        attempt: Attempt,
        ticket: Ticket,
        response: HttpResponse,
        session: CallSession,
        kept: StoredAnswer | None,
    ) -> None:
        call = attempt.call
        headers = [
            header for header in strip_hop_by_hop(response.headers) if header[0] != b"x-request-id"
        ]
        if kept is not None:
            kept.status, kept.headers = response.status, headers
        session.collect_answer(
            attempt, Answer(call.call_id, response.status, headers, self._events.clock.tick())
        )
        if call.stream and response.header(b"content-type").startswith(EVENT_STREAM_TYPE):
            await self._forward_events(attempt, ticket, response, session)
            return
        tail = b""
        async for data in response.chunks(MAX_FORWARDED_BYTES):
            if not ticket.first_byte_at:
                ticket.first_byte_at = self._timer.now()
            if kept is not None:
                kept.add(data)
            tail = data
            await session.send_data(attempt, data, more=not response.complete)
        attempt.complete = response.complete
        if call.max_tokens:
            usage = _COMPLETION_TOKENS.search(tail, max(0, len(tail) - _USAGE_TAIL_BYTES))
            ticket.generated = int(usage[1]) if usage else 0

    async def _forward_events(
        self, attempt: Attempt, ticket: Ticket, response: HttpResponse, session: CallSession
    ) -> None:
        ticket.streamed = True
        splitter = EventStreamSplitter()
        async for data in response.chunks():
            event_bytes = splitter.feed(data)
            if not event_bytes:
                continue
            if not ticket.first_byte_at:
                ticket.first_byte_at = self._timer.now()
            ticket.generated = splitter.event_count
            await session.send_data(attempt, event_bytes, more=not response.complete)
        attempt.complete = response.complete and splitter.done

    async def _send_last(
        self, attempt: Attempt, refusal: RefusalError | None, session: CallSession
    ) -> None:
        call_id = attempt.call.call_id
        load = self._reporter.piggyback(session.entry.process)
        clock = self._events.clock.tick()
        if attempt.answered:
            complete = attempt.complete and not attempt.detached
            await session.send_last(End(call_id, attempt.byte_count, complete, load, clock))
            return
        if refusal is None:
            refusal = RefusalError("cancelled", "cancelled", outcome=CallOutcome.UNKNOWN)
        self._metrics.refused += 1
        self._events.record(
            Event.CALL_REFUSED,
            request_id=attempt.call.request_id,
            code=refusal.code,
            outcome=refusal.outcome,
            retry_after_ms=refusal.retry_after_ms,
        )
        await session.send_last(
            Refusal(
                call_id,
                refusal.code,
                refusal.outcome,
                refusal.retry_after_ms,
                refusal.message,
                load,
                clock,
            )
        )


class _EngineChangingError(Exception):
    """The engine refused the call because it is changing its role."""
