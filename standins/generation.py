"""Generation calls of the engine stand-in, from the check of the request to the last byte."""

from __future__ import annotations

import os
import time
import uuid

import attrs
import trio

from figwalk.errors import ConnectionLostError
from figwalk.protocol.prefix import hash_prefix_pieces
from figwalk.transport import Headers, HttpRequest, Responder, render_error
from standins.base import REQUEST_ID_HEADER, FaultSwitch
from standins.batch import PRIORITIES, Batch, EndReason, Sequence
from standins.completions import AnswerRenderer, GenerationRequest
from standins.engine_faults import CRASH_STATUS, EngineFaults
from standins.orders import OrderExecutor

MS_PER_S = 1000
PRIORITY_HEADER = b"x-priority"
DEFAULT_PRIORITY = "normal"
RETRY_AFTER_HEADER = (b"retry-after", b"1")
STREAM_HEADERS: Headers = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-cache"),
]


@attrs.frozen
class PreviousCall:
    """Id and prompt digest of a call, for the fault `wrong_answers`."""

    request_id: str = "none"
    digest: bytes = bytes(16)


@attrs.frozen
class Arrival:
    """Arrival of a generation call.

    Attributes:
        id: Request id.
        at: Unix seconds.
    """

    id: str
    at: float


class RefusedError(Exception):
    """A call is refused."""

    def __init__(self, status: int, code: str, message: str) -> None:
        self.status = status
        self.code = code
        super().__init__(message)


@attrs.frozen
class Call:
    """A call in the batch.

    Attributes:
        sequence: Its place in the batch.
        request: The request.
        renderer: Renders its answer.
        shown_id: Request id of the answer; another one than the call's under `wrong_answers`.
    """

    sequence: Sequence
    request: GenerationRequest
    renderer: AnswerRenderer
    shown_id: str


class GenerationHandler:
    """Handles generation calls.

    Args:
        batch: The batch.
        orders: Tells what is loaded and whether a change is under way.
        switch: Faults in force.
        max_queued: Calls that may wait for a place in the batch.
    """

    def __init__(
        self, batch: Batch, orders: OrderExecutor, switch: FaultSwitch, *, max_queued: int
    ) -> None:
        self._batch = batch
        self._orders = orders
        self._switch = switch
        self._max_queued = max_queued
        self._previous = PreviousCall()
        self._arrivals: list[Arrival] = []

    @property
    def arrivals(self) -> list[Arrival]:
        """All calls that arrived."""
        return self._arrivals

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a generation call."""
        request_id = request.header(REQUEST_ID_HEADER) or uuid.uuid4().hex
        self._arrivals.append(Arrival(request_id, time.time()))
        await trio.sleep(self._faults.delay_ms / MS_PER_S)
        try:
            self._check_engine(request_id)
            generation = GenerationRequest.parse(request.path, request.body)
            self._check_model(generation)
            priority = request.header(PRIORITY_HEADER, DEFAULT_PRIORITY)
            call = self._start_call(generation, request_id, priority)
            await self._send_answer(call, responder)
        except RefusedError as error:
            await _refuse(responder, request_id, error)

    @property
    def _faults(self) -> EngineFaults:
        return self._switch.values

    def _check_engine(self, request_id: str) -> None:
        if not self._orders.ready:
            raise RefusedError(503, "changing", "the engine changes its role or model")
        if self._switch.use_up("errors"):
            raise RefusedError(500, "failed", "the call did not run")
        if self._batch.find(request_id) is not None:
            message = f"a call with id {request_id!r} is running"
            raise RefusedError(409, "duplicate_request", message)
        if len(self._batch.waiting) >= self._max_queued:
            raise RefusedError(503, "overloaded", f"{self._max_queued} calls are waiting")

    def _check_model(self, generation: GenerationRequest) -> None:
        loaded = self._orders.loaded
        if generation.model not in {"", loaded.model, loaded.adapter}:
            message = f"model {generation.model!r} is not loaded; {loaded.model!r} is"
            raise RefusedError(404, "model_not_found", message)

    def _start_call(self, generation: GenerationRequest, request_id: str, priority: str) -> Call:
        previous = self._previous
        self._previous = PreviousCall(request_id, generation.digest)
        shown_id = request_id
        if self._switch.use_up("wrong_answers"):
            shown_id = previous.request_id
            generation = attrs.evolve(generation, digest=previous.digest)
        sequence = Sequence(
            request_id=request_id,
            rank=PRIORITIES.get(priority, PRIORITIES[DEFAULT_PRIORITY]),
            digest=generation.digest,
            pieces=hash_prefix_pieces(generation.prompt),
            prompt_tokens=generation.prompt_tokens,
            resumed_tokens=len(generation.resume_tokens),
            end_position=generation.length,
            imports=generation.kv_import,
        )
        self._batch.add(sequence)
        renderer = AnswerRenderer(generation, f"cmpl-{shown_id}", self._orders.loaded.model)
        return Call(sequence, generation, renderer, shown_id)

    async def _send_answer(self, call: Call, responder: Responder) -> None:
        try:
            if call.request.stream:
                await self._stream(call, responder)
            else:
                await self._send_whole(call, responder)
        except ConnectionLostError:
            self._batch.end(call.sequence, EndReason.CANCELLED)
            raise

    async def _stream(self, call: Call, responder: Responder) -> None:
        sent = 0
        async for token in call.sequence.tokens:
            if self._faults.cuts_at(sent):
                break
            data = call.renderer.render_token_event(token)
            if not responder.started:
                await responder.start(200, [*STREAM_HEADERS, _id_header(call.shown_id)])
                data = call.renderer.render_role_event() + data
            await responder.send_chunk(data)
            sent += 1
            if self._faults.crashes_at(sent):
                os._exit(CRASH_STATUS)
        if self._faults.cuts_at(sent):
            self._batch.end(call.sequence, EndReason.CANCELLED)
        elif call.sequence.end_reason is EndReason.FINISHED:
            await self._finish_stream(call, responder)
        elif not responder.started:
            raise _explain_end(call.sequence)

    async def _finish_stream(self, call: Call, responder: Responder) -> None:
        if not responder.started:
            await responder.start(200, [*STREAM_HEADERS, _id_header(call.shown_id)])
        await responder.send_chunk(call.renderer.render_end_events())
        await responder.finish()

    async def _send_whole(self, call: Call, responder: Responder) -> None:
        tokens = list(call.request.resume_tokens)
        async for token in call.sequence.tokens:
            tokens.append(token)
        if call.sequence.end_reason is not EndReason.FINISHED:
            raise _explain_end(call.sequence)
        headers = [(b"content-type", b"application/json"), _id_header(call.shown_id)]
        await responder.send(200, headers, call.renderer.render_whole("".join(tokens)))


def _explain_end(sequence: Sequence) -> RefusedError:
    if sequence.end_reason is EndReason.CANCELLED:
        return RefusedError(499, "cancelled", "the call was cancelled")
    return RefusedError(503, "changing", "a change of the engine ended the call")


async def _refuse(responder: Responder, request_id: str, error: RefusedError) -> None:
    kind = "server_error" if error.status >= 500 else "invalid_request_error"
    headers = [_id_header(request_id)]
    if error.status == 503:
        headers.append(RETRY_AFTER_HEADER)
    await responder.send_json(error.status, render_error(kind, error.code, str(error)), headers)


def _id_header(request_id: str) -> tuple[bytes, bytes]:
    return REQUEST_ID_HEADER, request_id.encode("latin-1")
