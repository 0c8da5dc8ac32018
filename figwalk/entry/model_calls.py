"""Answers calls to models: routing, retries, and resumption of interrupted streams."""

from __future__ import annotations

from functools import partial

import attrs
import trio

from figwalk.coordination.graceful_stop import GracefulStop
from figwalk.coordination.retry_budget import RetryBudget
from figwalk.coordination.router import RouteRequest
from figwalk.entry.attempt_plan import AttemptPlan
from figwalk.entry.attempt_target import Target
from figwalk.entry.backends import Backends
from figwalk.entry.caller_request import CallerRequest
from figwalk.entry.refusals import send_refusal
from figwalk.entry.tallies import FIRST_TOKEN_TARGET_S, TOKEN_GAP_TARGET_S, Tallies
from figwalk.errors import CallerError, CallOutcome, RefusalError, TransportError
from figwalk.events import Event, EventLog
from figwalk.protocol.chat import (
    DONE_EVENT,
    JsonObject,
    ModelRequest,
    StreamTranscript,
    drop_choices,
    render_error_event,
    rewrite_identity,
)
from figwalk.protocol.event_stream import EVENT_STREAM_TYPE
from figwalk.protocol.messages import Answer, Call, Priority
from figwalk.state.fleet import LoadedModel
from figwalk.state.published import ServiceConfig
from figwalk.timer import MS_PER_S, Timer
from figwalk.transport import (
    ClientDisconnectedError,
    Headers,
    HttpRequest,
    Responder,
    find_header,
    strip_hop_by_hop,
)

MAX_RESUMES = 3
SERVER_ERROR_STATUS = 500
JSON_HEADERS: Headers = [(b"content-type", b"application/json")]
STREAM_HEADERS: Headers = [
    (b"content-type", EVENT_STREAM_TYPE.encode()),
    (b"cache-control", b"no-cache"),
]


class BackendFailedError(TransportError):
    """A backend server answered a model call with a status of 500 or above."""


@attrs.define
class _ModelCall:
    """State of one caller's model call while it is being answered.

    Attributes:
        request: What the caller sent.
        model: The request to a model that it contains.
        plan: Chooses the backend server for each attempt.
        responder: Sends the answer to the caller.
        transcript: Events of a stream that were sent to the caller.
        first_chunk_at: Timer time at which the first of them arrived.
        loaded: What the engine that began the stream had loaded when the attempt was sent.
        identity: `id` and `created` that events of a resumed stream must have.
        ended: Whether a resumed stream lacks only the events after its `finish_reason`.
    """

    request: CallerRequest
    model: ModelRequest
    plan: AttemptPlan
    responder: Responder
    transcript: StreamTranscript
    first_chunk_at: float = 0.0
    loaded: LoadedModel = attrs.field(factory=LoadedModel)
    identity: JsonObject = attrs.field(factory=dict)
    ended: bool = False


class ModelCalls:
    """Answers model calls, streamed or buffered.

    Args:
        backends: Backend servers that this entry is connected to.
        budget: Retry budget of the entry.
        tallies: Counts for operators.
        events: Event log.
        timer: Source of time.
        stop: Ends calls before the process ends.
    """

    def __init__(
        self,
        backends: Backends,
        budget: RetryBudget,
        tallies: Tallies,
        events: EventLog,
        timer: Timer,
        stop: GracefulStop,
    ) -> None:
        self._stop = stop
        self._backends = backends
        self._budget = budget
        self._tallies = tallies
        self._events = events
        self._timer = timer

    async def serve(self, http: HttpRequest, responder: Responder) -> None:
        """Answer one request.

        Raises:
            CallerError: The request is not valid.
        """
        model = ModelRequest.parse(http.path, http.body)
        name, service = self._find_service(model.model)
        model.check_limits(service)
        request = CallerRequest.from_http(http, self._timer, timeout_s=service.timeout_s)
        self._events.record(
            Event.REQUEST_RECEIVED,
            request_id=request.request_id,
            target=http.path,
            prompt_tokens=model.prompt_tokens,
            max_tokens=model.max_tokens,
        )
        call = self._prepare_call(request, model, name, service, responder)
        try:
            run = self._stream if model.stream else self._answer_buffered
            answer = partial(responder.run_while_connected, run, call)
            await self._stop.run_call(lambda: responder.started, answer)
        except RefusalError as error:
            self._tallies.record_refusal(error.code)
            if error.outcome is CallOutcome.NOT_RUN and not responder.started:
                self._backends.record_unserved(call.plan.route)
            self._events.record(
                Event.REQUEST_REFUSED,
                request_id=request.request_id,
                code=error.code,
                outcome=error.outcome,
            )
            await self._refuse(call, error)
        except ClientDisconnectedError:
            self._events.record(Event.REQUEST_CANCELLED, request_id=request.request_id)
            raise

    def _find_service(self, model: str) -> tuple[str, ServiceConfig]:
        for name, service in self._backends.services().items():
            if model in service.models:
                return name, service
        raise CallerError(
            404, "model_not_found", f"model {model!r} does not exist; GET /v1/models lists them"
        )

    def _prepare_call(
        self,
        request: CallerRequest,
        model: ModelRequest,
        name: str,
        service: ServiceConfig,
        responder: Responder,
    ) -> _ModelCall:
        immediate = model.stream and request.priority is Priority.INTERACTIVE
        route = RouteRequest(
            service=name,
            model=model.model,
            prompt_tokens=model.prompt_tokens,
            max_tokens=model.max_tokens,
            pieces=tuple(model.pieces),
            priority=request.priority,
            deadline=request.deadline,
            first_token_due=request.arrived + service.first_token_s if immediate else None,
            zone=self._backends.zone,
            region=self._backends.region,
        )
        plan = AttemptPlan(self._backends, self._budget, route, request.request_id, self._events)
        return _ModelCall(request, model, plan, responder, StreamTranscript(responder.held))

    async def _answer_buffered(self, call: _ModelCall) -> None:
        with trio.move_on_after(self._timer.left_s(call.request.deadline)) as scope:
            while not await self._try_buffered(call, call.plan.next_target()):
                pass
        if scope.cancelled_caught and not call.responder.started:
            raise RefusalError(
                "deadline_exceeded",
                "the answer was not ready at the deadline",
                status=504,
                outcome=CallOutcome.UNKNOWN,
            )

    async def _try_buffered(self, call: _ModelCall, target: Target) -> bool:
        """Try one backend server; return whether the answer was sent to the caller."""
        call.responder.check_connected()
        try:
            async with target.open(self._build_call(call, target)) as reply:
                answer = await reply.head()
                body = await reply.read(call.responder.held)
                _check_status(answer)
        except ClientDisconnectedError:
            raise
        except RefusalError as error:
            call.plan.record_refusal(error)
            return False
        except TransportError as error:
            call.plan.record_loss(error)
            return False
        self._count_region_bytes(target, len(body))
        await call.responder.send(answer.status, _answer_headers(answer, call, buffered=True), body)
        self._note_answered(call, in_time=self._timer.now() <= call.request.deadline)
        return True

    async def _stream(self, call: _ModelCall) -> None:
        # After its deadline, a stream would only use engine time that other requests need, on each
        # engine that it is resumed on.
        with trio.move_on_after(self._timer.left_s(call.request.deadline)) as scope:
            await self._send_stream(call)
        if scope.cancelled_caught and not call.responder.finished:
            raise RefusalError(
                "deadline_exceeded",
                "the stream was not complete at the deadline",
                status=504,
                outcome=CallOutcome.UNKNOWN,
            )

    async def _send_stream(self, call: _ModelCall) -> None:
        resumes = 0
        while not await self._try_stream(call, call.plan.next_target()):
            if not call.transcript.empty:
                if not call.transcript.resumable:
                    raise _build_stream_cut("the stream is too long to be resumed")
                call.ended = call.transcript.has_finish_reason()
                if call.ended and (not call.model.includes_usage or call.transcript.has_usage()):
                    await call.responder.send_chunk(DONE_EVENT)
                    break
                resumes += 1
                if resumes > MAX_RESUMES:
                    raise _build_stream_cut("the stream could not be resumed")
                call.plan.allow_resume(call.loaded)
                self._events.record(
                    Event.STREAM_RESUMED,
                    request_id=call.request.request_id,
                    sent_bytes=call.transcript.size_bytes,
                    **attrs.asdict(call.loaded),
                )
        if not call.responder.finished:
            await call.responder.finish()
        self._note_answered(call, in_time=self._stream_in_time(call))

    async def _try_stream(self, call: _ModelCall, target: Target) -> bool:
        """Try one backend server; return whether the answer was forwarded to its end."""
        call.responder.check_connected()
        try:
            async with target.open(self._build_call(call, target)) as reply:
                answer = await reply.head()
                _check_status(answer)
                if not find_header(answer.headers, b"content-type").startswith(EVENT_STREAM_TYPE):
                    body = await reply.read(call.responder.held)
                    await self._forward_error(call, answer, body)
                    return True
                await self._start_stream(call, answer)
                async for data in reply.chunks():
                    await self._forward_chunk(call, target, data)
        except ClientDisconnectedError:
            raise
        except RefusalError as error:
            call.plan.record_refusal(error)
        except TransportError as error:
            call.plan.record_loss(error)
        return call.transcript.done or call.responder.finished

    async def _start_stream(self, call: _ModelCall, answer: Answer) -> None:
        if not call.responder.started:
            await call.responder.start(200, _answer_headers(answer, call, buffered=False))
        elif not call.transcript.empty:
            call.identity = call.transcript.identity()

    async def _forward_chunk(self, call: _ModelCall, target: Target, data: bytes) -> None:
        if call.transcript.empty:
            call.first_chunk_at = self._timer.now()
            call.loaded = target.loaded
        if call.identity:
            data = rewrite_identity(data, call.identity)
        if call.ended:
            # The engine repeats the end of the text, and might generate more of it.
            data = drop_choices(data)
            if not data:
                return
        # Added before the send: a chunk that may have reached the caller must not be generated
        # again when the stream is resumed.
        call.transcript.add(data)
        self._count_region_bytes(target, len(data))
        await call.responder.send_chunk(data)

    async def _forward_error(self, call: _ModelCall, answer: Answer, body: bytes) -> None:
        if call.responder.started:
            raise _build_stream_cut(f"the backend server answered {answer.status}")
        await call.responder.send(answer.status, _answer_headers(answer, call, buffered=True), body)

    def _build_call(self, call: _ModelCall, target: Target) -> Call:
        body = call.request.http.body
        if not call.transcript.empty:
            body = call.model.resumed_body(call.transcript.tokens())
        self._count_region_bytes(target, len(body))
        return Call(
            call_id=self._backends.next_call_id(),
            request_id=call.request.request_id,
            method="POST",
            target=call.model.path,
            headers=JSON_HEADERS,
            body=body,
            deadline_ms=call.request.remaining_ms(self._timer.now()),
            priority=call.request.priority,
            organisation=call.request.organisation,
            # Prompt tokens in the engine's prefix cache need no prefill, so neither the entry nor
            # the agent counts them as work.
            prompt_tokens=max(1, call.model.prompt_tokens - target.choice.matched_tokens),
            max_tokens=call.model.max_tokens,
            stream=call.model.stream,
            first_token_ms=self._first_token_ms(call),
            incarnation=target.incarnation,
            clock=self._events.clock.tick(),
        )

    def _first_token_ms(self, call: _ModelCall) -> int:
        """Return the time remaining for an interactive stream's first token; 0 for no limit."""
        due = call.plan.route.first_token_due
        if due is None or not call.transcript.empty:
            return 0
        return max(1, int((due - self._timer.now()) * MS_PER_S))

    def _count_region_bytes(self, target: Target, count: int) -> None:
        if target.choice.crosses_region:
            self._tallies.record_region_bytes(count)

    def _stream_in_time(self, call: _ModelCall) -> bool:
        now = self._timer.now()
        if call.request.has_deadline:
            return now <= call.request.deadline
        gap_s = (now - call.first_chunk_at) / max(1, call.model.max_tokens)
        first_s = call.first_chunk_at - call.request.arrived
        return first_s <= FIRST_TOKEN_TARGET_S and gap_s <= TOKEN_GAP_TARGET_S

    def _note_answered(self, call: _ModelCall, *, in_time: bool) -> None:
        self._tallies.record_answered(in_time=in_time)
        self._events.record(
            Event.REQUEST_ANSWERED, request_id=call.request.request_id, in_time=in_time
        )

    async def _refuse(self, call: _ModelCall, error: RefusalError) -> None:
        if not call.responder.started:
            await send_refusal(call.responder, error, [call.request.id_header])
            return
        self._events.record(Event.STREAM_CUT, request_id=call.request.request_id, code=error.code)
        # The connection closes without the final chunk, which also shows the caller that the
        # stream is incomplete.
        await call.responder.send_chunk(render_error_event(error.code, error.message))


def _check_status(answer: Answer) -> None:
    if answer.status >= SERVER_ERROR_STATUS:
        raise BackendFailedError(f"the backend server answered with status {answer.status}")


def _build_stream_cut(message: str) -> RefusalError:
    return RefusalError("stream_cut", message, outcome=CallOutcome.UNKNOWN)


def _answer_headers(answer: Answer, call: _ModelCall, *, buffered: bool) -> Headers:
    forwarded = [
        (name, value)
        for name, value in strip_hop_by_hop(answer.headers)
        if name not in {b"x-request-id", b"date"}
    ]
    if not buffered:
        forwarded = STREAM_HEADERS
    return [*forwarded, call.request.id_header]
