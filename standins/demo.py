"""Demonstration: the example of Bhumivar Ballast Labs on loopback, with every answer checked.

Starts the stand-ins, two entries and seven agents on free ports, publishes the configuration, and
sends a long field log with a deadline, a streamed question, a stock check, and one water-calcium
order twice through both entries. Exits with 0 only if everything was right.
"""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
import time
import uuid
from pathlib import Path
from typing import Any

import attrs
import trio

from figwalk.cli.output import Output
from figwalk.cli.views import write_timeline
from figwalk.errors import FigwalkError
from figwalk.events import EventRecord
from figwalk.state.settings import Address
from figwalk.timer import MS_PER_S
from figwalk.transport import HttpClient, HttpRequest, HttpResponse
from standins.deployment import Deployment
from standins.launcher import ROOT, Launcher
from standins.text import expected_text

EXAMPLE = ROOT / "examples" / "bhumivar"
TIME_LIMIT_S = 90.0
MODEL = "ballast-7b"
CHAT_TARGET = "/v1/chat/completions"
STOCK_TARGET = "/services/depot/stock/water-calcium"
ORDER_TARGET = "/services/depot/orders/water-calcium"
FIELD_LOG_LINES = 900
FIELD_LOG_DEADLINE_MS = 20_000
VERDICT_TOKENS = 48
QUESTION = "Why does a rear tyre get a fill ratio of 75 percent?"
QUESTION_TOKENS = 32
INITIAL_STOCK = 1_000_000
ORDER = {"item": "water-calcium", "quantity": 40}


@attrs.frozen
class Answer:
    """A whole answer to a caller."""

    status: int
    response: HttpResponse
    body: bytes
    first_chunk_s: float
    duration_s: float

    @property
    def content(self) -> Any:
        """The JSON content of the body."""
        return json.loads(self.body)


class Checks:
    """Prints what was checked and remembers whether everything was right."""

    def __init__(self) -> None:
        self._failed: list[str] = []

    @property
    def failed(self) -> list[str]:
        """Names of the checks that failed."""
        return self._failed

    def expect(self, name: str, condition: bool, found: object = "") -> None:
        """Note one check."""
        print(f"  {'ok    ' if condition else 'FAILED'}  {name}{'' if condition else f': {found}'}")
        if not condition:
            self._failed.append(name)


class Demo:
    """The requests of the demonstration.

    Args:
        deployment: Running deployment.
        checks: Takes the results.
    """

    def __init__(self, deployment: Deployment, checks: Checks) -> None:
        self._deployment = deployment
        self._checks = checks
        self._callers = [_open(address) for address in deployment.caller_addresses]

    async def run(self) -> None:
        """Send all requests and check their answers."""
        await self._send_field_log()
        await self._ask_question()
        await self._check_stock()
        await self._order_twice()
        for client in self._callers:
            client.close()

    async def _send_field_log(self) -> None:
        log = render_field_log(FIELD_LOG_LINES)
        print(f"\nField log of {len(log) // 4} tokens, deadline {FIELD_LOG_DEADLINE_MS} ms")
        headers = [
            (b"figwalk-deadline-ms", str(FIELD_LOG_DEADLINE_MS).encode()),
            (b"figwalk-priority", b"batch"),
            (b"figwalk-organisation", b"dealer-counters"),
        ]
        body = _chat_body(log, VERDICT_TOKENS)
        answer = await send(self._callers[0], "POST", CHAT_TARGET, body, headers)
        self._checks.expect("status 200", answer.status == 200, answer.body)
        if answer.status == 200:
            text = answer.content["choices"][0]["message"]["content"]
            print(f"  answer after {answer.duration_s:.2f} s: {text}")
            expected = expected_text(log.encode(), VERDICT_TOKENS)
            self._checks.expect("the whole verdict", text == expected, text)
        in_time = answer.duration_s * MS_PER_S <= FIELD_LOG_DEADLINE_MS
        self._checks.expect("within the deadline", in_time, f"{answer.duration_s:.2f} s")

    async def _ask_question(self) -> None:
        print(f"\nStreamed question: {QUESTION}")
        headers = [(b"figwalk-priority", b"interactive")]
        body = _chat_body(QUESTION, QUESTION_TOKENS, stream=True)
        answer = await send(self._callers[1], "POST", CHAT_TARGET, body, headers)
        self._checks.expect("status 200", answer.status == 200, answer.body)
        text = read_stream_text(answer.body)
        print(f"  first token after {answer.first_chunk_s:.3f} s: {text}")
        expected = expected_text(QUESTION.encode(), QUESTION_TOKENS)
        self._checks.expect("every token once and in order", text == expected, text)
        complete = answer.body.rstrip().endswith(b"data: [DONE]")
        self._checks.expect("ends with [DONE]", complete, answer.body[-80:])

    async def _check_stock(self) -> None:
        print("\nStock check")
        answer = await send(self._callers[0], "GET", STOCK_TARGET)
        print(f"  {answer.body.decode()}")
        expected = {"item": "water-calcium", "units": INITIAL_STOCK}
        stock_ok = answer.status == 200 and answer.content == expected
        self._checks.expect("units in stock", stock_ok, answer.status)

    async def _order_twice(self) -> None:
        key = str(uuid.uuid4())
        print(f"\nWater-calcium order with key {key}, through both entries")
        first = await self._order(0, key)
        second = await self._order(1, key)
        self._checks.expect("first answer is 201", first.status == 201, first.body)
        same = (second.status, second.body) == (first.status, first.body)
        self._checks.expect("the same answer twice", same, second.body)
        replayed = second.response.header(b"idempotent-replayed") == "true"
        self._checks.expect("the second answer is a replay", replayed, second.response.headers)
        runs = await self._count_runs(key)
        print(f"  the order ran {runs} time(s) on the replicas of the service")
        self._checks.expect("the order ran once", runs == 1, runs)
        await self._show_timeline(first.response.header(b"x-request-id"))

    async def _order(self, entry: int, key: str) -> Answer:
        headers = [
            (b"idempotency-key", key.encode()),
            (b"figwalk-organisation", b"depots"),
            (b"content-type", b"application/json"),
        ]
        body = json.dumps(ORDER).encode()
        answer = await send(self._callers[entry], "POST", ORDER_TARGET, body, headers)
        print(f"  entry {entry + 1} answers {answer.status}: {answer.body.decode()}")
        return answer

    async def _count_runs(self, key: str) -> int:
        """Return how often the key ran on all replicas, by their own count."""
        runs = 0
        for address in self._deployment.backend_addresses("depot"):
            client = _open(address)
            answer = await send(client, "GET", "/runs")
            client.close()
            runs += answer.content["runs"].get(key, 0)
        return runs

    async def _show_timeline(self, request_id: str) -> None:
        print(f"\nTimeline of the first order, request {request_id}")
        client = self._deployment.admin_client(1)
        events = await client.fetch_timeline(request_id)
        client.close()
        write_timeline(Output(as_json=False), events)
        self._checks.expect("entry and agent are in it", _spans_processes(events), events)


async def send(
    client: HttpClient,
    method: str,
    target: str,
    body: bytes = b"",
    headers: list[tuple[bytes, bytes]] | None = None,
) -> Answer:
    """Send a request and return its whole answer with the times until first chunk and end."""
    start = time.monotonic()
    first_chunk_s = 0.0
    chunks: list[bytes] = []
    async with client.open(HttpRequest(method, target, headers or [], body)) as response:
        async for chunk in response.chunks():
            first_chunk_s = first_chunk_s or time.monotonic() - start
            chunks.append(chunk)
    duration_s = time.monotonic() - start
    return Answer(response.status, response, b"".join(chunks), first_chunk_s, duration_s)


def read_stream_text(body: bytes) -> str:
    """Return the text of a streamed chat answer."""
    texts: list[str] = []
    for line in body.decode().splitlines():
        data = line.removeprefix("data: ")
        if data == line or data == "[DONE]":
            continue
        for choice in json.loads(data).get("choices", []):
            texts.append(choice["delta"].get("content") or "")
    return "".join(texts)


def render_field_log(lines: int) -> str:
    """Return a field log of tyre pressures and fill ratios."""
    rows = [
        f"{6 + row // 60 % 12:02}:{row % 60:02} tyre {row % 4 + 1} pressure {140 + row % 37} kPa "
        f"load {900 + row * 7 % 400} kg slip {row * 3 % 19} percent"
        for row in range(lines)
    ]
    return "\n".join(["Field log. Give the fill ratio for each axle.", *rows])


def _chat_body(prompt: str, max_tokens: int, *, stream: bool = False) -> bytes:
    messages = [{"role": "user", "content": prompt}]
    body = {"model": MODEL, "messages": messages, "max_tokens": max_tokens, "stream": stream}
    return json.dumps(body).encode()


def _open(address: Address) -> HttpClient:
    return HttpClient(address.host, address.port)


def _spans_processes(events: list[EventRecord]) -> bool:
    processes = {event.process for event in events}
    return any(name.startswith("entry-") for name in processes) and any(
        name.startswith("agent-") for name in processes
    )


async def run_demo(run_directory: Path) -> list[str]:
    """Run the demonstration and return the names of the checks that failed."""
    checks = Checks()
    start = time.monotonic()
    with trio.move_on_after(TIME_LIMIT_S) as scope:
        async with Launcher(run_directory) as launcher:
            deployment = Deployment(EXAMPLE, launcher, run_directory, fixed_ports=False)
            await deployment.start()
            publication = await deployment.publish()
            print(f"published {publication.summary}")
            await deployment.wait_ready(publication.revision)
            print(f"ready after {time.monotonic() - start:.1f} s")
            await Demo(deployment, checks).run()
            print("\nShutdown")
            faults = await deployment.stop()
            checks.expect("every process stopped gracefully", not faults, "; ".join(faults))
    if scope.cancelled_caught:
        checks.expect(f"everything within {TIME_LIMIT_S:g} s", False, "it took longer")
    print(f"\n{time.monotonic() - start:.1f} s in all")
    return checks.failed


def main() -> None:
    """Run the demonstration."""
    run_directory = Path(tempfile.mkdtemp(prefix="figwalk-demo-"))
    try:
        failed = trio.run(run_demo, run_directory)
    except FigwalkError as error:
        print(f"demo: {error}", file=sys.stderr)
        failed = ["the demonstration did not finish"]
    if failed:
        print(f"demo: failed: {', '.join(failed)}; logs are in {run_directory}", file=sys.stderr)
        sys.exit(1)
    shutil.rmtree(run_directory)
    print("demo: everything was right")


if __name__ == "__main__":
    main()
