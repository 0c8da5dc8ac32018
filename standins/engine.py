"""Stand-in for a model engine; section 10 of docs/design.md lists its calls.

Besides those calls, `GET /orders` gives all orders that arrived, with their result and the number
of calls that they interrupted. Answers echo X-Request-Id. A call whose client disconnects is
cancelled when the next token is sent.

Answers: the tokens depend only on the prompt and the position (`standins.text.expected_text`). An
answer has `max_tokens` tokens; without `max_tokens` it has 16 to 256, chosen by the prompt. With
`resume_tokens` of length N the answer continues at position N, and `max_tokens` and `usage` count
the resumed tokens too. The status line of a stream goes out with the first token. A stream that is
cancelled or interrupted ends with a closed connection; before the first token and for a whole
answer it gets 499 or 503. A call with the id of one that is running gets 409, one above
--max-queued gets 503.

Cost: steps with a token budget (`standins.batch`), whose duration depends on the role
(`standins.cost`): `prefill` is fast at prompts and slow at output, `decode` is the other way
round, `mixed` is between. --time-scale multiplies the durations of steps and changes, not the
lags of reports and cache events. Prompt pieces found in the prefix cache cost nothing. Another
model or version clears the cache, another role does not. With --weights a model load also
downloads from the weight store and waits for it.

Faults (POST /faults):
  crash_in_change            true: the process ends in the middle of the next change
  crash_after_tokens         N: the process ends once a streamed answer has sent N tokens
  cut_after_tokens           N: every streamed answer is closed after N tokens
  report_idle                true: /load shows nothing running or queued
  delay_ms                   every generation call waits this long first
  errors                     the next N generation calls get 500 and do not run; -1 for all
  wrong_answers              the next N generation calls get the id and answer of the one before
  lose_order_answers         the next N accepted orders are carried out, their connection is closed
  failing_changes            the next N changes take their time and have no effect
A crash ends the process at once with status 70 and without closing anything.
"""

from __future__ import annotations

import argparse
import os
import uuid

import attrs
import trio

from figwalk.errors import ConnectionLostError, HttpError
from figwalk.protocol.prefix import PIECE_TOKENS, prefix_pieces
from figwalk.transport import Headers, HttpClient, HttpRequest, Responder, render_error
from standins.base import (
    REQUEST_ID_HEADER,
    Standin,
    build_parser,
    echo_headers,
    read_json_object,
    read_query_number,
    refuse_unknown_path,
    run_standin,
    structure,
)
from standins.batch import PRIORITIES, Batch, EndReason, Sequence
from standins.cache import CacheEventLog, PrefixCache, render_kv
from standins.completions import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    AnswerRenderer,
    GenerationRequest,
)
from standins.cost import CostModel, EngineRole
from standins.load import LoadReporter
from standins.orders import CRASH_STATUS, ChangeDurations, Loaded, Order, OrderExecutor

MS_PER_S = 1000
DOWNLOAD_RETRY_S = 0.5
PRIORITY_HEADER = b"x-priority"
STREAM_HEADERS: Headers = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-cache"),
]


@attrs.frozen
class EngineFaults:
    """Faults of the engine; the module documentation describes them."""

    crash_in_change: bool = False
    crash_after_tokens: int | None = None
    cut_after_tokens: int | None = None
    report_idle: bool = False
    delay_ms: float = 0.0
    errors: int = 0
    wrong_answers: int = 0
    lose_order_answers: int = 0
    failing_changes: int = 0


@attrs.frozen
class PreviousCall:
    """Id and prompt digest of a generation call, for the fault `wrong_answers`."""

    request_id: str = "none"
    digest: bytes = bytes(16)


class EngineStandin(Standin):
    """The engine.

    Args:
        options: Parsed command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__(EngineFaults())
        self._options = options
        self._cost = CostModel(options.time_scale)
        self._cache_events = CacheEventLog(
            lag_s=options.cache_event_lag_s,
            loss_ratio=options.cache_event_loss,
            seed=options.seed,
        )
        self._cache = PrefixCache(options.cache_tokens, self._cache_events)
        self._batch = Batch(self._cost, self._cache, options.max_running, self._current_role)
        self._orders = OrderExecutor(
            Loaded(EngineRole(options.role), options.model, options.adapter, options.version),
            ChangeDurations(
                self._cost.scale(options.role_change_s),
                self._cost.scale(options.model_load_s),
                self._cost.scale(options.adapter_load_s),
            ),
            checks_fencing=options.checks_fencing,
            interrupt=self._batch.interrupt,
            prepare=self._load_weights,
        )
        self._load = LoadReporter(
            self._batch,
            self._cost,
            self._current_role,
            max_running=options.max_running,
            lag_s=options.load_lag_s,
            period_s=options.load_period_s,
        )
        self._previous_call = PreviousCall()

    async def run(self) -> None:
        """Run batch, changes and load reports."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._batch.run)
            nursery.start_soon(self._load.run)
            nursery.start_soon(self._orders.run, self._crashes_in_change, self._fails_change)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        call = f"{request.method} {request.path}"
        if call in {f"POST {CHAT_PATH}", f"POST {COMPLETIONS_PATH}"}:
            await self._handle_generation(request, responder)
        elif call == "GET /v1/models":
            await responder.send_json(200, self._render_models(), echo_headers(request))
        elif call == "GET /state":
            await responder.send_json(200, self._orders.render_state())
        elif call == "POST /orders":
            await self._handle_order(request, responder)
        elif call == "GET /orders":
            receipts = [attrs.asdict(receipt) for receipt in self._orders.receipts]
            await responder.send_json(200, {"orders": receipts})
        elif call == "GET /load":
            await responder.send_json(200, self._load.render(idle=self._faults.report_idle))
        elif call == "GET /cache/events":
            await self._send_cache_events(request, responder)
        elif call.startswith("DELETE /requests/"):
            await self._handle_cancel(request, responder)
        elif call.startswith(("GET /kv/", "PUT /kv/")):
            await self._handle_kv(request, responder)
        else:
            await refuse_unknown_path(request, responder)

    async def _handle_generation(self, request: HttpRequest, responder: Responder) -> None:
        request_id = request.header(REQUEST_ID_HEADER) or uuid.uuid4().hex
        await trio.sleep(self._faults.delay_ms / MS_PER_S)
        refusal = self._check_generation(request_id)
        if refusal is not None:
            status, code, message = refusal
            await self._refuse(responder, request_id, status, code, message)
            return
        generation = GenerationRequest.parse(request.path, request.body)
        loaded = self._orders.loaded
        if generation.model not in {"", loaded.model, loaded.adapter}:
            message = f"model {generation.model!r} is not loaded; {loaded.model!r} is"
            await self._refuse(responder, request_id, 404, "model_not_found", message)
            return
        previous = self._previous_call
        self._previous_call = PreviousCall(request_id, generation.digest)
        shown_id = request_id
        if self.use_up("wrong_answers"):
            shown_id = previous.request_id
            generation = attrs.evolve(generation, digest=previous.digest)
        rank = PRIORITIES.get(request.header(PRIORITY_HEADER, "normal"), PRIORITIES["normal"])
        sequence = _build_sequence(generation, request_id, rank)
        renderer = AnswerRenderer(generation, f"cmpl-{request_id}", loaded.model)
        self._batch.add(sequence)
        try:
            if generation.stream:
                await self._stream(sequence, renderer, responder, shown_id)
            else:
                await self._send_whole(sequence, generation, renderer, responder, shown_id)
        except ConnectionLostError:
            self._batch.end(sequence, EndReason.CANCELLED)
            raise

    def _check_generation(self, request_id: str) -> tuple[int, str, str] | None:
        if not self._orders.ready:
            return 503, "changing", "the engine changes its role or model"
        if self.use_up("errors"):
            return 500, "failed", "the call did not run"
        if self._batch.find(request_id) is not None:
            return 409, "duplicate_request", f"a call with id {request_id!r} is running"
        if len(self._batch.waiting) >= self._options.max_queued:
            return 503, "overloaded", f"{self._options.max_queued} calls are waiting"
        return None

    async def _stream(
        self, sequence: Sequence, renderer: AnswerRenderer, responder: Responder, shown_id: str
    ) -> None:
        sent = 0
        async for token in sequence.tokens:
            if self._reached(self._faults.cut_after_tokens, sent):
                self._batch.end(sequence, EndReason.CANCELLED)
                return
            data = renderer.render_token_event(token)
            if not responder.started:
                await responder.start(200, [*STREAM_HEADERS, _id_header(shown_id)])
                data = renderer.render_role_event() + data
            await responder.send_chunk(data)
            sent += 1
            if self._reached(self._faults.crash_after_tokens, sent):
                os._exit(CRASH_STATUS)
        if sequence.end_reason is EndReason.FINISHED:
            if self._reached(self._faults.cut_after_tokens, sent):
                return
            if not responder.started:
                await responder.start(200, [*STREAM_HEADERS, _id_header(shown_id)])
            await responder.send_chunk(renderer.render_end_events())
            await responder.finish()
        elif not responder.started:
            await self._refuse_ended(responder, sequence)

    async def _send_whole(
        self,
        sequence: Sequence,
        generation: GenerationRequest,
        renderer: AnswerRenderer,
        responder: Responder,
        shown_id: str,
    ) -> None:
        tokens = [*generation.resume_tokens, *[token async for token in sequence.tokens]]
        if sequence.end_reason is not EndReason.FINISHED:
            await self._refuse_ended(responder, sequence)
            return
        headers = [(b"content-type", b"application/json"), _id_header(shown_id)]
        await responder.send(200, headers, renderer.render_whole("".join(tokens)))

    async def _refuse_ended(self, responder: Responder, sequence: Sequence) -> None:
        if sequence.end_reason is EndReason.CANCELLED:
            status, code, message = 499, "cancelled", "the call was cancelled"
        else:
            status, code, message = 503, "changing", "a change of the engine ended the call"
        await self._refuse(responder, sequence.request_id, status, code, message)

    async def _refuse(
        self, responder: Responder, request_id: str, status: int, code: str, message: str
    ) -> None:
        kind = "server_error" if status >= 500 else "invalid_request_error"
        headers = [_id_header(request_id)]
        if status == 503:
            headers.append((b"retry-after", b"1"))
        await responder.send_json(status, render_error(kind, code, message), headers)

    async def _handle_cancel(self, request: HttpRequest, responder: Responder) -> None:
        sequence = self._batch.find(request.path.removeprefix("/requests/"))
        if sequence is None:
            await refuse_unknown_path(request, responder)
            return
        self._batch.end(sequence, EndReason.CANCELLED)
        await responder.send_json(200, {"cancelled": sequence.request_id})

    async def _handle_order(self, request: HttpRequest, responder: Responder) -> None:
        receipt = self._orders.receive(structure(read_json_object(request.body), Order))
        if receipt.result != "accepted":
            message = f"order {receipt.order} is refused"
            body = render_error("conflict", receipt.result, message)
            await responder.send_json(409, body)
        elif not self.use_up("lose_order_answers"):
            await responder.send_json(202, {"order": receipt.order})

    async def _handle_kv(self, request: HttpRequest, responder: Responder) -> None:
        text = request.path.removeprefix("/kv/")
        loaded = self._orders.loaded
        if not text.isdecimal() or int(text) >= 1 << 64:
            await refuse_unknown_path(request, responder)
            return
        piece = int(text)
        size = self._options.kv_bytes_per_token * PIECE_TOKENS
        data = render_kv(loaded.model, loaded.version, piece, size)
        if request.method == "PUT":
            if request.body != data:
                message = f"not the KV data of piece {piece} for the loaded model"
                body = render_error("invalid_request_error", "wrong_kv", message)
                await responder.send_json(422, body)
                return
            self._cache.store(piece)
            await responder.send_json(200, {"piece": piece})
        elif piece in self._cache:
            await responder.send(200, [(b"content-type", b"application/octet-stream")], data)
        else:
            await refuse_unknown_path(request, responder)

    async def _send_cache_events(self, request: HttpRequest, responder: Responder) -> None:
        following, events = self._cache_events.read(read_query_number(request, "after", 0))
        rendered = [attrs.asdict(event) for event in events]
        await responder.send_json(200, {"next": following, "events": rendered})

    def _render_models(self) -> dict[str, object]:
        loaded = self._orders.loaded
        names = [name for name in (loaded.model, loaded.adapter) if name]
        models = [{"id": name, "object": "model", "owned_by": "standins"} for name in names]
        return {"object": "list", "data": models}

    async def _load_weights(self, before: Loaded, after: Loaded) -> None:
        if before.has_same_weights(after):
            return
        self._cache.clear()
        if not self._options.weights:
            return
        host, _, port = self._options.weights.rpartition(":")
        client = HttpClient(host, int(port))
        target = f"/weights/{after.model}/{after.version or 'latest'}"
        while not await _download(client, target):
            await trio.sleep(DOWNLOAD_RETRY_S)
        client.close()

    def _current_role(self) -> EngineRole:
        return self._orders.loaded.role

    def _crashes_in_change(self) -> bool:
        return self._faults.crash_in_change

    def _fails_change(self) -> bool:
        return self.use_up("failing_changes")

    @staticmethod
    def _reached(limit: int | None, sent: int) -> bool:
        return limit is not None and sent >= limit


async def _download(client: HttpClient, target: str) -> bool:
    """Download from the weight store and return whether all arrived."""
    try:
        async with client.open(HttpRequest("GET", target, [])) as response:
            async for _ in response.chunks():
                pass
            return response.status == 200
    except HttpError:
        return False


def _build_sequence(generation: GenerationRequest, request_id: str, rank: int) -> Sequence:
    resumed = len(generation.resume_tokens)
    return Sequence(
        request_id=request_id,
        rank=rank,
        digest=generation.digest,
        pieces=prefix_pieces(generation.prompt),
        prompt_tokens=generation.prompt_tokens,
        resumed_tokens=resumed,
        end_position=generation.length,
        imports=generation.kv_import,
    )


def _id_header(request_id: str) -> tuple[bytes, bytes]:
    return REQUEST_ID_HEADER, request_id.encode("latin-1")


def build_engine_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = build_parser("standins.engine", __doc__)
    add = parser.add_argument
    add("--role", choices=[role.value for role in EngineRole], default="mixed", help="first role")
    add("--model", default="model-a", help="model at start")
    add("--adapter", default="", help="adapter at start")
    add("--version", default="1", help="model version at start")
    add(
        "--checks-fencing",
        action=argparse.BooleanOptionalAction,
        default=True,
        help="whether orders with an old number are refused",
    )
    add("--time-scale", type=float, default=1.0, help="factor for steps and changes")
    add("--max-running", type=int, default=32, help="places in the batch")
    add("--max-queued", type=int, default=1024, help="calls that may wait for a place")
    add("--cache-tokens", type=int, default=400_000, help="memory of the prefix cache in tokens")
    add("--kv-bytes-per-token", type=int, default=8, help="size of exported KV data")
    add("--role-change-s", type=float, default=4.0, help="seconds of a role change")
    add("--model-load-s", type=float, default=8.0, help="seconds of a model load")
    add("--adapter-load-s", type=float, default=1.0, help="seconds of an adapter load")
    add("--weights", default="", help="HOST:PORT of the weight store for model loads")
    add("--load-lag-s", type=float, default=1.0, help="real seconds that /load lags")
    add("--load-period-s", type=float, default=0.25, help="real seconds between load snapshots")
    add("--cache-event-lag-s", type=float, default=1.0, help="real seconds that events are late")
    add("--cache-event-loss", type=float, default=0.05, help="share of cache events lost")
    add("--seed", type=int, default=1, help="seed for the choice of lost cache events")
    return parser


def main() -> None:
    """Run the stand-in."""
    options = build_engine_parser().parse_args()
    if options.time_scale <= 0:
        raise SystemExit("--time-scale must be above 0")
    run_standin(EngineStandin(options), options)


if __name__ == "__main__":
    main()
