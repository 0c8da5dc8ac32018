"""Scripted backend servers for the entry's call handlers."""
# ruff: noqa: D102

from contextlib import asynccontextmanager

import attrs
import trio

from figwalk.coordination.graceful_stop import GracefulStop
from figwalk.coordination.retry_budget import RetryBudget
from figwalk.coordination.router import Choice
from figwalk.entry.caller_api import CallerApi
from figwalk.entry.keyed_call import KeyedAnswer
from figwalk.entry.model_calls import ModelCalls
from figwalk.entry.service_calls import ServiceCalls
from figwalk.entry.tallies import Tallies
from figwalk.errors import ConnectionLostError
from figwalk.events import EventLog
from figwalk.metrics import Metrics
from figwalk.protocol.messages import Answer
from figwalk.state.fleet import LoadedModel
from figwalk.state.published import CallRule, ServiceConfig
from figwalk.timer import Timer
from figwalk.transport import HttpClient, HttpServer

HOST = "127.0.0.1"
JSON = [(b"content-type", b"application/json")]
SSE = [(b"content-type", b"text/event-stream")]
SERVICES = {
    "llm": ServiceConfig("model", models=["m"], max_output_tokens=1000, max_prompt_tokens=1000),
    "depot": ServiceConfig("plain", non_repeatable=[CallRule("POST", "/orders/*")]),
}


@attrs.define
class Script:
    """Behaviour of one attempt: it is refused, or answered with chunks and maybe then lost."""

    refusal: Exception | None = None
    status: int = 200
    headers: list = attrs.field(factory=lambda: JSON)
    chunks: list = attrs.field(factory=lambda: [b"{}"])
    breaks: bool = False
    waits: bool = False

    async def head(self):
        if self.waits:
            await trio.sleep_forever()
        if self.refusal is not None:
            raise self.refusal
        return Answer(1, self.status, self.headers)

    async def chunk_list(self):
        for chunk in self.chunks:
            yield chunk
        if self.breaks:
            raise ConnectionLostError("backend server lost")

    async def read(self, _held):
        return b"".join([chunk async for chunk in self.chunk_list()])


class FakeReply:
    """Reply of a scripted attempt."""

    def __init__(self, script):
        self.head = script.head
        self.chunks = script.chunk_list
        self.read = script.read


@attrs.frozen
class FakeTarget:
    """Target of a scripted attempt."""

    choice: Choice
    script: Script
    calls: list
    incarnation: int = 7
    loaded: LoadedModel = attrs.field(factory=LoadedModel)

    @asynccontextmanager
    async def open(self, call):
        self.calls.append(call)
        yield FakeReply(self.script)


class FakeBackends:
    """Backend servers `b0`, `b1`, ... that each answer one attempt by its script."""

    zone, region = "rajkot-a", "saurashtra"

    def __init__(self, *scripts):
        self.scripts = {f"b{number}": script for number, script in enumerate(scripts)}
        self.calls = []
        self.refused = []

    def services(self):
        return SERVICES

    def next_call_id(self):
        return len(self.calls) + 1

    def choose(self, _route, excluded, _loaded=None):
        remaining = [name for name in self.scripts if name not in excluded]
        return Choice(remaining[0], 0, 0, 0, False, "test") if remaining else None

    def record_unserved(self, route):
        self.refused.append(route.service)

    def target(self, choice, pieces=()):
        return FakeTarget(choice, self.scripts[choice.backend], self.calls)


class FakeKeyed:
    """Stands in for `KeyedCalls`; every call ends with the same answer or error."""

    def __init__(self, result=None):
        self.result = result or KeyedAnswer(201, [], b"done", replayed=True)
        self.gate = None
        self.started = False
        self.completed = False

    async def run(self, _call, _plan):
        self.started = True
        if self.gate is not None:
            await self.gate.wait()
        self.completed = True
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


class FakeConfiguration:
    """Configuration that has the services in `SERVICES`."""

    def services(self):
        return SERVICES


class RunningApi:
    """A `CallerApi` on a real HTTP server."""

    def __init__(self, *scripts, keyed=None, retry_ratio=0.1):
        self.timer = Timer()
        self.events = EventLog("entry-1", self.timer)
        self.backends = FakeBackends(*scripts)
        self.tallies = Tallies(Metrics(None, prefix="t", timer=self.timer), self.timer)
        self.ready = True
        budget = RetryBudget(self.timer, ratio=retry_ratio)
        self.keyed = FakeKeyed(keyed)
        self.stop = GracefulStop(self.timer)
        common = (self.tallies, self.events, self.timer, self.stop)
        self.api = CallerApi(
            ModelCalls(self.backends, budget, *common),
            ServiceCalls(self.backends, budget, self.keyed, *common),
            FakeConfiguration(),
            lambda: self.ready,
        )
        self.server = HttpServer(self.api.handle, self.events)
        self.port = 0
        self.client = None

    def names(self):
        return [record.name for record in self.events.select()]


def api_test(*scripts, check, **options):
    """Run an async check with a `RunningApi`."""

    async def main():
        running = RunningApi(*scripts, **options)
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                running.port = await nursery.start(running.server.serve, HOST, 0)
                running.client = HttpClient(HOST, running.port)
                await check(running)
                nursery.cancel_scope.cancel()

    trio.run(main)
