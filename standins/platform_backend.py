"""Stand-in for a backend server of the users' platform: a plain service, or an engine with --stage.

It registers itself in the store's stand-in (`standins.platform_store`) and repeats that each
second. After SIGTERM it registers as draining, serves on for --drain-s and then leaves.

A call is answered in one of --slots places; --queue more calls wait. Answers echo Request-Id and
bear Server-Stamp, their content depends only on the call (`expected_body`), that of events also on
the software version (`expected_event`). Calls that are not run get 503, 421 or 400 with
Not-Executed; one whose Deadline-Ms is over while it runs gets 504. The file --run-log gets a line
for each call that arrives (`received`), that is prefilled (`prefill`) and that begins to run
(`run`), written before anything is answered; the first also tells the value of Tenant and whether
there was an X-Api-Key. Two more lines tell of the first registration (`registered`) and of SIGTERM
(`leaving`). All name the software version and the stage.

An engine reads a prompt first (Prefix-Hash: ID:TOKENS parts; parts read before cost nothing) and
then streams as many events as the second number of Token-Counts, from the one after Last-Event-Id.
A call with `Stage: prefill` is answered with the handle of the prompt's KV data, and one with
`Kv-Source: HOST:PORT/HANDLE` takes it from there; `Kv-Fetch: HOST:PORT` first takes the parts that
the engine there keeps. `GET /report` tells its load, `GET /kv-list` and `GET /kv-events?since=N`
what it keeps.

Faults (POST /faults):
  delay_ms        every call runs this much longer
  refuse          the next N calls are not run
  lose_answers    the next N calls run, then their connection is closed
  wrong_answers   the next N calls of a plain service are answered with the id of another call
  errors          the next N calls of a plain service run and get 500
  cut_after       N: streams are closed in the middle of the event after the Nth
  drop_handles    the next N handles are gone when they are asked for
"""

from __future__ import annotations

import argparse
import hashlib
import json
import os
import time
import uuid
from collections import OrderedDict

import attrs
import trio

from figwalk.errors import HttpError
from figwalk.transport import (
    ClientDisconnectedError,
    Headers,
    HttpRequest,
    Responder,
    find_header,
)
from standins.base import Standin, build_parser, make_client, run_standin

MS_PER_S = 1000
HEARTBEAT_S = 1.0
MISSED_HEARTBEATS = 3
STORE_TIMEOUT_S = 0.5
BACKENDS_TOPIC = "keyed.servers"
HANDLE_TTL_S = 5.0
CACHED_PARTS = 1000
CACHE_POLL_S = 0.02
DEFAULT_PATIENCE_MS = 30_000
DEFAULT_VERSION = "v1"


@attrs.frozen
class PlatformBackendFaults:
    """Faults of a backend server; the module documentation describes them."""

    delay_ms: float = 0.0
    refuse: int = 0
    lose_answers: int = 0
    wrong_answers: int = 0
    errors: int = 0
    cut_after: int | None = None
    drop_handles: int = 0


class NotRunError(Exception):
    """A call is refused without having run."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


def expected_body(call_id: str, target: str) -> bytes:
    """Return the body of a plain service's answer."""
    return hashlib.sha256(f"{call_id} {target}".encode()).hexdigest().encode()


def expected_event(prompt: str, number: int, version: str = DEFAULT_VERSION) -> bytes:
    """Return an event of a stream.

    Args:
        prompt: Value of the header Prefix-Hash.
        number: Its id, counted from 1.
        version: Software version of the engine.
    """
    digest = hashlib.sha256(f"{version} {prompt} {number}".encode()).hexdigest()
    return f"id: {number}\ndata: {digest}\n\n".encode()


class PlatformBackend(Standin):
    """The backend server.

    Args:
        options: Parsed command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__(PlatformBackendFaults())
        self._options = options
        self._store = make_client(options.store)
        self._slots = trio.Semaphore(options.slots)
        self._waiting = 0
        self._running = 0
        self._reader = trio.Lock()
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._cache_events: list[list[object]] = []
        self._handles: dict[str, float] = {}
        self._born_ms = int(time.time() * MS_PER_S)
        self._sequence = 0
        self._run_log = -1
        if options.run_log:
            self._run_log = os.open(options.run_log, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    async def run(self) -> None:
        """Register again and again."""
        registered = False
        while True:
            succeeded = await self._register()
            if succeeded and not registered:
                registered = True
                self._note("registered")
            await trio.sleep(HEARTBEAT_S)

    async def leave(self) -> None:
        """Register as draining and serve on for the time that the platform allows."""
        self._note("leaving")
        await self._register()
        await trio.sleep(self._options.drain_s)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        if request.path == "/report":
            await responder.send_json(200, self._render_report())
            return
        if request.path == "/kv-list":
            await responder.send_json(200, self._render_cache())
            return
        if request.path == "/kv-events":
            await responder.send_json(200, await self._wait_cache_events(request))
            return
        if request.method == "DELETE" and request.path.startswith("/kv-handle/"):
            taken = self._take_handle(request.path.removeprefix("/kv-handle/"))
            await responder.send_json(200 if taken else 404, {})
            return
        call_id = request.header(b"request-id")
        self._note("received", call_id, request.headers)
        try:
            await self._serve(request, responder)
        except NotRunError as error:
            headers = [*_echo(call_id), (b"not-executed", b"1")]
            await responder.send_json(error.status, {"error": error.reason}, headers)

    async def _serve(self, request: HttpRequest, responder: Responder) -> None:
        self._check(request)
        if self._waiting >= self._options.queue:
            raise NotRunError(503, "full")
        left_s = float(request.header(b"deadline-ms") or DEFAULT_PATIENCE_MS) / MS_PER_S
        deadline = trio.current_time() + left_s
        self._waiting += 1
        try:
            if not await self._wait_slot(responder, deadline):
                return
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            with trio.move_on_at(deadline) as scope:
                await self._answer(request, responder)
        finally:
            self._running -= 1
            self._slots.release()
        if scope.cancelled_caught and not responder.started:
            await responder.send_json(504, {}, self._sign(request.header(b"request-id")))

    def _check(self, request: HttpRequest) -> None:
        if not request.header(b"request-id"):
            raise NotRunError(400, "no request id")
        if request.header(b"expect-instance") not in {"", self._options.id}:
            raise NotRunError(421, "another backend server is expected")
        if self.use_up("refuse"):
            raise NotRunError(503, "refused")
        stage = self._options.stage
        if stage and (request.header(b"stage") == "prefill") != (stage == "prefill"):
            raise NotRunError(421, f"the stage is {stage}")

    async def _wait_slot(self, responder: Responder, deadline: float) -> bool:
        """Return whether the call got a place; a caller that leaves its queue is forgotten."""
        got = False

        async def acquire() -> None:
            nonlocal got
            await self._slots.acquire()
            got = True

        with trio.move_on_at(deadline) as scope:
            try:
                await responder.run_while_connected(acquire)
            except ClientDisconnectedError:
                return False
        if scope.cancelled_caught and not got:
            raise NotRunError(503, "waited too long")
        return got

    async def _answer(self, request: HttpRequest, responder: Responder) -> None:
        call_id = request.header(b"request-id")
        if not self._options.stage:
            self._note("run", call_id)
            await trio.sleep((self._options.work_ms + self.faults.delay_ms) / MS_PER_S)
            if self.use_up("lose_answers"):
                return
            status = 500 if self.use_up("errors") else 200
            shown_id = "another" if self.use_up("wrong_answers") else call_id
            body = expected_body(shown_id, request.target)
            await responder.send(status, self._sign(shown_id), body)
        elif request.header(b"stage") == "prefill":
            self._note("prefill", call_id)
            await self._read_prompt(request)
            handle = uuid.uuid4().hex
            self._handles[handle] = trio.current_time() + HANDLE_TTL_S
            tokens = sum(size for _, size in _prompt_parts(request))
            content = {"transfer-handle": handle, "tokens": tokens, "version": 1}
            if not self.use_up("lose_answers"):
                await responder.send_json(200, content, _echo(call_id))
        else:
            await self._stream(request, responder)

    async def _read_prompt(self, request: HttpRequest) -> None:
        await self._fetch_parts(request)
        tokens = 0
        for part, size in _prompt_parts(request):
            tokens += 0 if part in self._cached else size
            self._keep(part, size)
        async with self._reader:
            await trio.sleep(tokens / self._options.prefill_tokens_per_s)

    async def _stream(self, request: HttpRequest, responder: Responder) -> None:
        source = request.header(b"kv-source")
        if source:
            await _fetch_kv(source)
        else:
            await self._read_prompt(request)
        call_id, prompt = request.header(b"request-id"), request.header(b"prefix-hash")
        last = int(request.header(b"token-counts").partition(",")[2] or 1)
        first = int(request.header(b"last-event-id") or 0) + 1
        cut_after = self.faults.cut_after
        await trio.sleep(self.faults.delay_ms / MS_PER_S)
        self._note("run", call_id)
        if self.use_up("lose_answers"):
            return
        headers = [*self._sign(call_id), (b"content-type", b"text/event-stream")]
        await responder.start(200, headers)
        for number in range(first, last + 1):
            event = expected_event(prompt, number, self._options.version)
            if cut_after is not None and number - first >= cut_after:
                await responder.send_chunk(event[: len(event) // 2])
                return
            await responder.send_chunk(event)
            await trio.sleep(self._options.token_ms / MS_PER_S)
        await responder.finish()

    def _take_handle(self, handle: str) -> bool:
        until = self._handles.pop(handle, 0.0)
        return until > trio.current_time() and not self.use_up("drop_handles")

    async def _register(self) -> bool:
        """Send one registration; return whether the store took it."""
        self._sequence += 1
        value: dict[str, object] = {
            "service": self._options.service,
            "address": self._options.advertise,
            "zone": self._options.zone,
            "version": self._options.version,
            "slots": self._options.slots,
            "state": "draining" if self.stopping.is_set() else "ready",
            "cold-remaining-ms": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        if self._options.stage:
            value["stage"] = self._options.stage
        record = {
            "topic": BACKENDS_TOPIC,
            "key": self._options.id,
            "value": value,
            "ttl_s": MISSED_HEARTBEATS * HEARTBEAT_S,
        }
        try:
            with trio.fail_after(STORE_TIMEOUT_S):
                body = json.dumps(record).encode()
                response, _ = await self._store.fetch("POST", "/records", body=body)
        except (HttpError, trio.TooSlowError):
            return False  # The next one follows in a second.
        return response.status == 200

    def _keep(self, part: str, size: int) -> None:
        if part not in self._cached:
            self._note_cache("+", part, size)
        self._cached[part] = size
        self._cached.move_to_end(part)
        while len(self._cached) > CACHED_PARTS:
            dropped, _ = self._cached.popitem(last=False)
            self._note_cache("-", dropped, 0)

    def _note_cache(self, sign: str, part: str, size: int) -> None:
        self._cache_events.append([len(self._cache_events) + 1, sign, "", part, size, "m"])

    def _render_cache(self) -> dict[str, object]:
        return {
            "epoch": self._born_ms,
            "next": len(self._cache_events),
            "held": [["", part, size, "m"] for part, size in self._cached.items()],
        }

    async def _wait_cache_events(self, request: HttpRequest) -> dict[str, object]:
        since = int(request.query.removeprefix("since="))
        with trio.move_on_after(float(request.header(b"wait-ms") or 0) / MS_PER_S):
            while len(self._cache_events) <= since:
                await trio.sleep(CACHE_POLL_S)
        events = self._cache_events[since:]
        return {
            "epoch": self._born_ms,
            "next": since + len(events),
            "lost": False,
            "events": events,
        }

    async def _fetch_parts(self, request: HttpRequest) -> None:
        """Take the parts of a prompt that another engine keeps, as far as it can be reached."""
        donor = request.header(b"kv-fetch")
        if not donor:
            return
        client = make_client(donor)
        try:
            with trio.fail_after(STORE_TIMEOUT_S):
                _, body = await client.fetch("GET", "/kv-list")
        except (HttpError, trio.TooSlowError):
            return  # The prompt is then read.
        finally:
            client.close()
        kept = {part for _, part, _, _ in json.loads(body)["held"]}
        for part, size in _prompt_parts(request):
            if part not in kept:
                break
            self._keep(part, size)

    def _render_report(self) -> dict[str, object]:
        return {
            "stage": self._options.stage,
            "busy": False,
            "born": self._born_ms,
            "sequence": 0,
            "waiting": self._waiting,
            "running": self._running,
            "kv-total": self._options.kv_tokens,
            "handles": len(self._handles),
        }

    def _sign(self, call_id: str) -> Headers:
        return [*_echo(call_id), (b"server-stamp", f"{self._options.id}.{call_id}".encode())]

    def _note(self, event: str, call_id: str = "", headers: Headers | None = None) -> None:
        if self._run_log >= 0:
            line: dict[str, object] = {
                "event": event,
                "id": call_id,
                "at": time.time(),
                "backend": self._options.id,
                "version": self._options.version,
                "stage": self._options.stage,
            }
            if headers is not None:
                line["organisation"] = find_header(headers, b"tenant")
                line["has_key"] = bool(find_header(headers, b"x-api-key"))
            os.write(self._run_log, json.dumps(line).encode() + b"\n")


async def _fetch_kv(source: str) -> None:
    """Take the KV data of a prompt from the engine that has read it."""
    address, _, handle = source.rpartition("/")
    client = make_client(address)
    try:
        with trio.fail_after(2.0):
            response, _ = await client.fetch("DELETE", f"/kv-handle/{handle}")
    except (HttpError, trio.TooSlowError) as error:
        raise NotRunError(503, f"the KV data can't be fetched: {error}") from error
    finally:
        client.close()
    if response.status != 200:
        raise NotRunError(503, "the KV data is gone")


def _prompt_parts(request: HttpRequest) -> list[tuple[str, int]]:
    parts = []
    for item in request.header(b"prefix-hash").split(","):
        part, _, tokens = item.partition(":")
        if tokens.isdecimal():
            parts.append((part, int(tokens)))
    return parts


def _echo(call_id: str) -> Headers:
    return [(b"request-id", call_id.encode("latin-1"))]


def main() -> None:
    """Run the stand-in."""
    parser = build_parser("standins.platform_backend", __doc__)
    add = parser.add_argument
    add("--id", required=True, help="id under which it registers")
    add("--service", required=True, help="service that it belongs to")
    add("--zone", default="a", help="availability zone")
    add("--store", required=True, help="HOST:PORT of the store")
    add("--advertise", required=True, help="HOST:PORT that it registers")
    add("--version", default=DEFAULT_VERSION, help="software version")
    add("--stage", choices=["prefill", "decode"], default="", help="stage of an engine")
    add("--slots", type=int, default=8, help="calls that run at once")
    add("--queue", type=int, default=24, help="calls that may wait")
    add("--work-ms", type=float, default=20.0, help="milliseconds that a plain call runs")
    add("--token-ms", type=float, default=5.0, help="milliseconds between events")
    add("--prefill-tokens-per-s", type=float, default=410_000.0, help="speed of reading")
    add("--kv-tokens", type=int, default=1_000_000, help="memory of an engine")
    add("--drain-s", type=float, default=2.0, help="seconds that it serves on after SIGTERM")
    add("--run-log", default="", help="file to which arrivals and runs are appended")
    options = parser.parse_args()
    run_standin(PlatformBackend(options), options)


if __name__ == "__main__":
    main()
