"""Stand-in for a model engine; section 10 of docs/design.md lists its calls.

Besides those calls, `GET /orders` gives all orders that arrived, with their result and the number
of calls that they interrupted, and `GET /calls` the id and arrival time of all generation calls.
Answers echo X-Request-Id. A streamed call whose client disconnects is cancelled when the next
token is sent; a call whose answer is sent whole runs to its end.

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

KV data: pieces are decimal numbers in paths and JSON. An import (PUT) stores the piece in the
prefix cache at once, if the data is that of the loaded model, else it gets 422. Pieces named in
`kv_import` that are in the cache cost a few milliseconds each and are marked as used; others are
ignored.

Faults (POST /faults):
  crash_in_change            true: the process ends in the middle of the next change
  hold_changes               true: a change does not go beyond its middle
  crash_after_tokens         N: the process ends once a streamed answer has sent N tokens
  hold_after_tokens          N: answers stop at N tokens until the fault is lifted (null)
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
from functools import partial

import attrs
import trio

from figwalk.errors import HttpError
from figwalk.protocol.prefix import PIECE_TOKENS
from figwalk.transport import HttpClient, HttpRequest, Responder, render_error
from standins.base import (
    Standin,
    build_parser,
    echo_headers,
    make_client,
    read_json_object,
    read_query_number,
    refuse_unknown_path,
    run_standin,
    structure,
)
from standins.batch import Batch, EndReason
from standins.cache import CacheEventLog, PrefixCache, render_kv
from standins.completions import CHAT_PATH, COMPLETIONS_PATH
from standins.cost import CostModel, EngineRole
from standins.engine_faults import CRASH_STATUS, EngineFaults
from standins.generation import GenerationHandler
from standins.load import LoadReporter
from standins.orders import ChangeDurations, Loaded, Order, OrderExecutor

DOWNLOAD_RETRY_S = 0.5


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
        self._batch = Batch(
            self._cost,
            self._cache,
            options.max_running,
            self._current_role,
            hold_after=lambda: self.faults.hold_after_tokens,
        )
        self._orders = OrderExecutor(
            Loaded(EngineRole(options.role), options.model, options.adapter, options.version),
            ChangeDurations(
                self._cost.scale(options.role_change_s),
                self._cost.scale(options.model_load_s),
                self._cost.scale(options.adapter_load_s),
            ),
            checks_fencing=options.checks_fencing,
            interrupt=self._batch.interrupt,
            prepare=self._prepare_change,
            fails=partial(self.use_up, "failing_changes"),
        )
        self._load = LoadReporter(
            self._batch,
            self._cost,
            self._current_role,
            max_running=options.max_running,
            lag_s=options.load_lag_s,
            period_s=options.load_period_s,
        )
        self._generation = GenerationHandler(
            self._batch, self._orders, self.switch, max_queued=options.max_queued
        )

    def set_faults(self, faults: EngineFaults) -> None:
        """Put faults in force and let held answers go on if they may."""
        super().set_faults(faults)
        self._batch.wake()

    async def run(self) -> None:
        """Run batch, changes and load reports."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._batch.run)
            nursery.start_soon(self._load.run)
            nursery.start_soon(self._orders.run)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        call = f"{request.method} {request.path}"
        if call in {f"POST {CHAT_PATH}", f"POST {COMPLETIONS_PATH}"}:
            await self._generation.handle(request, responder)
        elif call == "GET /v1/models":
            await responder.send_json(200, self._render_models(), echo_headers(request))
        elif call == "GET /state":
            await responder.send_json(200, self._orders.render_state())
        elif call == "POST /orders":
            await self._handle_order(request, responder)
        elif call == "GET /orders":
            receipts = [attrs.asdict(receipt) for receipt in self._orders.receipts]
            await responder.send_json(200, {"orders": receipts})
        elif call == "GET /calls":
            calls = [attrs.asdict(arrival) for arrival in self._generation.arrivals]
            await responder.send_json(200, {"calls": calls})
        elif call == "GET /load":
            await responder.send_json(200, self._load.render(idle=self.faults.report_idle))
        elif call == "GET /cache/events":
            await self._send_cache_events(request, responder)
        elif call.startswith("DELETE /requests/"):
            await self._handle_cancel(request, responder)
        elif call.startswith(("GET /kv/", "PUT /kv/")):
            await self._handle_kv(request, responder)
        else:
            await refuse_unknown_path(request, responder)

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

    async def _prepare_change(self, before: Loaded, after: Loaded) -> None:
        while self.faults.hold_changes:
            await self.switch.changed.wait()
        if self.faults.crash_in_change:
            os._exit(CRASH_STATUS)
        if not before.has_same_weights(after):
            self._cache.clear()
            await self._download_weights(after)

    async def _download_weights(self, after: Loaded) -> None:
        if not self._options.weights:
            return
        client = make_client(self._options.weights)
        target = f"/weights/{after.model}/{after.version or 'latest'}"
        while not await _download(client, target):
            await trio.sleep(DOWNLOAD_RETRY_S)
        client.close()

    def _current_role(self) -> EngineRole:
        return self._orders.loaded.role


async def _download(client: HttpClient, target: str) -> bool:
    """Download from the weight store and return whether all arrived."""
    try:
        async with client.open(HttpRequest("GET", target, [])) as response:
            async for _ in response.chunks():
                pass
            return response.status == 200
    except HttpError:
        return False


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
