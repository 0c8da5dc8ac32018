"""A scripted backend server and an agent for tests."""

import json
from contextlib import asynccontextmanager

import attrs
import trio

from figwalk.agent.main import Agent
from figwalk.events import EventLog
from figwalk.protocol import messages
from figwalk.protocol.peer_connection import AnswerData, PeerConnection
from figwalk.state.settings import Address, AgentSettings, BackendSettings
from figwalk.timer import Timer
from figwalk.transport import HttpServer

HOST = "127.0.0.1"


class FakeBackend:
    """Answers calls as scripted by a test and records the requests that it received."""

    def __init__(self):
        self.state = {"role": "mixed", "state": "ready", "model": "m", "order": -1}
        self.state |= {"adapter": "", "version": "", "incarnation": 1}
        self.load = {"age_ms": 0, "running": 0, "max_running": 8}
        self.calls = []
        self.orders = []
        self.answering = 0
        self.interrupted = 0  # Calls that were running when an order arrived.
        self.cancelled = []
        self.cache = {"next": 0, "events": []}
        self.chunks = [b'{"ok":true}']
        self.status = 200
        self.echo = None
        self.finish = True
        self.lose_order_answer = False
        self.stopped = trio.Event()
        self.received = trio.Event()  # Set when a call has arrived.
        self.cancel_received = trio.Event()
        self.go_on = trio.Event()  # The server answers calls once this is set.
        self.go_on.set()
        self.scope = trio.CancelScope()

    async def serve(self, task_status):
        """Serve until `stop`."""
        server = HttpServer(self.handle, EventLog("backend", Timer()))
        with self.scope:
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.serve, HOST, 0)
                self.address = Address(HOST, port)
                task_status.started()
        self.stopped.set()

    async def stop(self):
        """Close the port and all connections, like a crash."""
        self.scope.cancel()
        await self.stopped.wait()

    async def handle(self, request, responder):
        """Answer any request of the agent."""
        name = f"{request.method} {request.path}"
        if name == "GET /healthz":
            await responder.send_json(200, {})
        elif name == "GET /state":
            await responder.send_json(200, self.state)
        elif name == "GET /load":
            await responder.send_json(200, self.load)
        elif name == "GET /cache/events":
            await responder.send_json(200, self.cache)
        elif name == "POST /orders":
            self.interrupted += self.answering
            self.orders.append(json.loads(request.body))
            self.state |= {k: self.orders[-1][k] for k in ("order", "role")}
            if not self.lose_order_answer:
                await responder.send_json(202, {})
        elif request.method == "DELETE":
            self.cancelled.append(request.path)
            self.cancel_received.set()
            await responder.send_json(200, {})
        else:
            self.answering += 1
            try:
                await self.answer_call(request, responder)
            finally:
                self.answering -= 1

    async def answer_call(self, request, responder):
        """Answer a call as scripted."""
        chunks = list(self.chunks)
        self.calls.append(request)
        self.received.set()
        identifier = (self.echo or request.header(b"x-request-id")).encode()
        headers = [(b"x-request-id", identifier)]
        if "stream" in request.path:
            headers.append((b"content-type", b"text/event-stream"))
            await responder.start(self.status, headers)
            for chunk in chunks:
                await responder.send_chunk(chunk)
            await self.go_on.wait()
            if self.finish:
                await responder.finish()
            return
        await self.go_on.wait()
        await responder.send(self.status, headers, b"".join(chunks))


@attrs.define
class Entry:
    """A test's connection to the agent, which answers each `Confirm` if `confirmed` is set."""

    connection: PeerConnection
    hello: messages.Hello
    confirmed: messages.Desired | None = None

    async def call(self, call_id=1, target="/v1/x", **fields):
        """Send a call."""
        await self.connection.send(messages.Call(call_id, f"r{call_id}", "POST", target, **fields))

    async def result(self):
        """Return the frames of an answer up to its `End` or `Refusal`."""
        frames = []
        while not frames or not isinstance(frames[-1], messages.End | messages.Refusal):
            frames.append(await self.connection.receive())
        return frames

    async def until(self, condition):
        """Receive messages until one meets a condition, and return it."""
        while True:
            message = await self.connection.receive()
            if isinstance(message, messages.Confirm) and self.confirmed is not None:
                await self.connection.send(messages.Confirmed(message.nonce, self.confirmed))
            if condition(message):
                return message

    async def report(self, **expected):
        """Receive messages until a load report has the expected values, and return it."""
        return await self.until(
            lambda m: (
                isinstance(m, messages.LoadReport)
                and all(getattr(m, key) == value for key, value in expected.items())
            )
        )


def body_of(frames):
    return b"".join(frame.data for frame in frames if isinstance(frame, AnswerData))


class Running:
    """An agent beside a fake backend server."""

    def __init__(self, agent, backend):
        self.agent = agent
        self.backend = backend
        self.stopped = trio.Event()

    async def connect(self, kind=messages.ConnectionKind.CALL):
        """Open a connection of the given kind to the agent."""
        address = self.agent.addresses["peers"]
        hello = messages.Hello(kind, "entry-1", 5)
        return Entry(*await PeerConnection.connect(address.host, address.port, hello))

    async def control(self):
        """Open a control connection."""
        return await self.connect(messages.ConnectionKind.CONTROL)

    def events(self):
        """Return the names of the agent's events."""
        return [record.name for record in self.agent.events.select()]


@asynccontextmanager
async def running_agent(kind="engine", **changes):
    backend = FakeBackend()
    timer = Timer()
    async with trio.open_nursery() as nursery:
        await nursery.start(backend.serve)
        settings = AgentSettings(
            "agent-1",
            "rajkot-a",
            "saurashtra",
            Address(HOST, 0),
            Address(HOST, 0),
            BackendSettings("llm-1", "llm", kind, backend.address, max_running=8),
            **{"report_s": 0.02, "grace_s": 5.0} | changes,
        )
        running = Running(Agent(settings, timer), backend)

        async def run(task_status):
            await running.agent.run(task_status=task_status)
            running.stopped.set()

        await nursery.start(run)
        yield running
        nursery.cancel_scope.cancel()


def run_test(function, *arguments, clock=None):
    """Run an async test, which fails if it takes longer than the time limit."""

    async def bounded():
        with trio.fail_after(20):
            await function(*arguments)

    trio.run(bounded, clock=clock)


def agent_test(kind="engine", **changes):
    """Run an async test with a `running_agent`."""

    def decorate(function):
        async def main():
            async with running_agent(kind, **changes) as running:
                await function(running)

        def test():
            run_test(main)

        test.__name__, test.__doc__ = function.__name__, function.__doc__
        return test

    return decorate
