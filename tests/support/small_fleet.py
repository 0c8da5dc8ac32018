"""A small fleet of real processes on loopback, for tests that kill, pause and cut off parts."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, TypeVar

import attrs
import trio

from figwalk.cli.admin_client import AdminClient, BackendView, StatusView
from figwalk.cli.errors import AdminError
from figwalk.cli.operator_commands import publish_values
from figwalk.coordination.http_log_client import HttpLogClient
from figwalk.errors import HttpError
from figwalk.protocol.messages import Role
from figwalk.protocol.records import CONTROL_STREAM, RoleOrder, encode_record
from figwalk.state.settings import (
    Address,
    AgentSettings,
    BackendSettings,
    EntrySettings,
    PlatformSettings,
)
from figwalk.state.settings_file import dump_settings
from figwalk.transport import HttpClient, HttpRequest, HttpResponse
from standins.demo import read_stream_text
from standins.deployment import run_together
from standins.launcher import AGENT_SOCKETS, ENTRY_SOCKETS, Launcher, ProcessHandle
from standins.text import expected_text

T = TypeVar("T")

# Ends a test that hangs; no verdict depends on it.
HANG_GUARD_S = 20.0
POLL_S = 0.02
TOKEN = "small-fleet-token"
FREE_PORT = Address("127.0.0.1", 0)
ZONE = {"zone": "rajkot-a", "region": "saurashtra"}
SERVICE = "depot"
MODEL_SERVICE = "llm"
MODEL = "model-a"
ORDER_TARGET = f"/services/{SERVICE}/orders/water-calcium"
STOCK_TARGET = f"/services/{SERVICE}/stock/water-calcium"
CHAT_TARGET = "/v1/chat/completions"
ORDER = b'{"item": "water-calcium", "quantity": 3}'
CONFIGURATION = {
    # Roles stay as they are, so that only the test's own orders reach an engine.
    "presets/ordinary": {"role_policy": "fixed", "routing_policy": "predicted"},
    "preset_in_force": "ordinary",
    f"services/{MODEL_SERVICE}": {"kind": "model", "models": [MODEL], "timeout_s": 60},
    f"services/{SERVICE}": {
        "kind": "plain",
        "timeout_s": 30,
        "non_repeatable": [{"method": "POST", "path": "/orders/water-calcium"}],
    },
}


@attrs.frozen
class Answer:
    """A whole answer."""

    status: int
    response: HttpResponse
    body: bytes

    @property
    def content(self) -> Any:
        """JSON content of the body."""
        return json.loads(self.body)

    @property
    def error(self) -> dict[str, Any]:
        """Error object of a refusal."""
        return self.content["error"]

    @property
    def replayed(self) -> bool:
        """Whether it is marked as the answer of an earlier request."""
        return self.response.header(b"idempotent-replayed") == "true"


@attrs.define
class Stream:
    """A streamed chat answer while it is read."""

    prompt: str
    tokens: int
    body: bytes = b""
    request_id: str = ""
    started: trio.Event = attrs.field(factory=trio.Event)
    ended: trio.Event = attrs.field(factory=trio.Event)
    status: int = 0
    error: HttpError | None = None

    def check_whole(self) -> None:
        """Assert that every token came once and in order, followed by `[DONE]`."""
        assert self.error is None, self.error
        assert self.status == 200, self.body
        text = expected_text(self.prompt.encode(), self.tokens)
        assert read_stream_text(self.body) == text, self.body[-500:]
        assert self.body.rstrip().endswith(b"data: [DONE]")
        assert self.body.count(b"[DONE]") == 1


class Caller:
    """Calls one HTTP server."""

    def __init__(self, address: Address) -> None:
        self._client = HttpClient(address.host, address.port)

    async def call(self, method: str, target: str, body: bytes = b"", **headers: str) -> Answer:
        """Send a request; header names are written with underscores."""
        pairs = [(n.replace("_", "-").encode(), v.encode()) for n, v in headers.items()]
        async with self._client.open(HttpRequest(method, target, pairs, body)) as response:
            return Answer(response.status, response, await response.read())

    async def order(self, key: str, body: bytes = ORDER) -> Answer:
        """Place a water-calcium order."""
        return await self.call("POST", ORDER_TARGET, body, idempotency_key=key)

    async def read(self, stream: Stream) -> None:
        """Ask for a streamed chat answer and read it to its end."""
        messages = [{"role": "user", "content": stream.prompt}]
        content = {"model": MODEL, "messages": messages, "max_tokens": stream.tokens}
        body = json.dumps({**content, "stream": True}).encode()
        try:
            request = HttpRequest("POST", CHAT_TARGET, [], body)
            async with self._client.open(request) as response:
                stream.status = response.status
                stream.request_id = response.header(b"x-request-id")
                async for chunk in response.chunks():
                    stream.body += chunk
                    stream.started.set()
        except HttpError as error:
            stream.error = error
        finally:
            stream.started.set()
            stream.ended.set()


class SmallFleet:
    """The processes of one test.

    Args:
        launcher: Starts the processes.
        directory: Where the settings files go.
    """

    def __init__(self, launcher: Launcher, directory: Path) -> None:
        self._launcher = launcher
        self._directory = directory
        self._agent_settings: dict[str, AgentSettings] = {}
        self.log: ProcessHandle
        self.vms: ProcessHandle
        self.entries: dict[str, ProcessHandle] = {}
        self.agents: dict[str, ProcessHandle] = {}
        self.backends: dict[str, ProcessHandle] = {}

    async def start(
        self,
        *,
        entries: int = 1,
        engines: int = 0,
        services: int = 0,
        engine_options: tuple[str, ...] = (),
        grace_s: float = 30.0,
    ) -> None:
        """Start the platform, backend servers, agents and entries, publish, and wait for all."""
        engine_names = [f"llm-{number + 1}" for number in range(engines)]
        service_names = [f"depot-{number + 1}" for number in range(services)]
        await self.start_platform()
        await run_together(
            [
                *(lambda n=n: self.start_engine(n, *engine_options) for n in engine_names),
                *(lambda n=n: self.start_service(n) for n in service_names),
            ]
        )
        await run_together(
            [
                *(
                    lambda n=n: self.start_agent(n, grace_s=grace_s)
                    for n in [*engine_names, *service_names]
                ),
                *(
                    lambda n=n: self.start_entry(f"entry-{n + 1}", grace_s=grace_s)
                    for n in range(entries)
                ),
            ]
        )
        await self.publish(CONFIGURATION)
        await self.wait_serving()

    async def start_platform(self) -> None:
        """Start the log and a VM list without lag."""

        async def start_log() -> None:
            self.log = await self._launcher.start("log", "standins.log")

        async def start_vms() -> None:
            self.vms = await self.start_vm_list("vms")

        await run_together([start_log, start_vms])

    async def start_vm_list(self, name: str, *, lag_s: float = 0.0) -> ProcessHandle:
        """Start a VM list."""
        return await self._launcher.start(name, "standins.vms", "--lag-s", str(lag_s))

    async def start_engine(self, name: str, *options: str) -> None:
        """Start an engine whose reports do not lag and whose role changes are short."""
        quick = ("--load-lag-s", "0", "--load-period-s", "0.05", "--role-change-s", "0.3")
        self.backends[name] = await self._launcher.start(
            name, "standins.engine", "--model", MODEL, *quick, *options
        )

    async def start_service(self, name: str) -> None:
        """Start a plain service."""
        self.backends[name] = await self._launcher.start(name, "standins.service")

    async def start_agent(self, backend: str, *, grace_s: float = 30.0) -> None:
        """Start the agent beside a backend server and list its VM."""
        engine = backend.startswith("llm")
        settings = AgentSettings(
            process=f"agent-{backend}",
            **ZONE,
            peers=FREE_PORT,
            health=FREE_PORT,
            backend=BackendSettings(
                backend,
                MODEL_SERVICE if engine else SERVICE,
                "engine" if engine else "plain",
                self.backends[backend].addresses["http"],
            ),
            report_s=0.05,
            grace_s=grace_s,
        )
        handle = await self._start_agent_process(settings)
        # A replacement of the agent uses the same port, as the slot beside a backend server does.
        self._agent_settings[backend] = attrs.evolve(settings, peers=handle.addresses["peers"])
        self.agents[backend] = handle
        await self.list_agent(backend)

    async def restart_agent(self, backend: str) -> None:
        """Start a replacement of an agent on the same port."""
        self.agents[backend] = await self._start_agent_process(self._agent_settings[backend])

    async def spawn_replacement(self, backend: str) -> ProcessHandle:
        """Start a second agent on the same port without waiting until it listens."""
        settings = self._agent_settings[backend]
        return await self._launcher.spawn(
            settings.process, "figwalk.agent.main", self._write(settings)
        )

    async def _start_agent_process(self, settings: AgentSettings) -> ProcessHandle:
        return await self._launcher.start(
            settings.process,
            "figwalk.agent.main",
            self._write(settings),
            listening=AGENT_SOCKETS,
        )

    async def start_entry(
        self,
        name: str,
        *,
        log: Address | None = None,
        vms: Address | None = None,
        grace_s: float = 30.0,
    ) -> None:
        """Start an entry and list its VM.

        Args:
            name: Process name.
            log: Address of the log, if not that of the fleet.
            vms: Address of the VM list, if not that of the fleet.
            grace_s: Seconds that running requests may take after SIGTERM.
        """
        platform = PlatformSettings(
            log=log or self.log.addresses["http"],
            vms=vms or self.vms.addresses["http"],
            vms_poll_s=0.1,
        )
        settings = EntrySettings(
            process=name,
            **ZONE,
            callers=FREE_PORT,
            peers=FREE_PORT,
            admin=FREE_PORT,
            platform=platform,
            admin_token=TOKEN,
            grace_s=grace_s,
            lease_ttl_s=1.0,
        )
        self.entries[name] = await self._launcher.start(
            name, "figwalk.entry.main", self._write(settings), listening=ENTRY_SOCKETS
        )
        await self.list_vm(name, "entry", self.entries[name].addresses["peers"])

    async def list_agent(
        self, backend: str, *, address: Address | None = None, vms: ProcessHandle | None = None
    ) -> None:
        """Put the VM of an agent into a VM list, by default at its own address."""
        settings = self._agent_settings[backend]
        service = settings.backend.service
        await self.list_vm(
            settings.process, "backend", address or settings.peers, service=service, vms=vms
        )

    async def list_vm(
        self,
        name: str,
        kind: str,
        address: Address,
        *,
        service: str = "",
        state: str = "live",
        vms: ProcessHandle | None = None,
    ) -> None:
        """Put a VM into a VM list."""
        vm = {"kind": kind, "state": state, "service": service, **ZONE}
        body = json.dumps({**vm, "address": address.host, "port": address.port}).encode()
        answer = await Caller((vms or self.vms).addresses["http"]).call("PUT", f"/vms/{name}", body)
        assert answer.status == 200, answer.body

    def caller(self, entry: str = "entry-1") -> Caller:
        """Return a caller of an entry."""
        return Caller(self.entries[entry].addresses["callers"])

    def admin(self, entry: str = "entry-1") -> AdminClient:
        """Return a client of the operator API of an entry."""
        return AdminClient(f"http://{self.entries[entry].addresses['admin']}", TOKEN)

    async def status(self, entry: str = "entry-1") -> StatusView:
        """Return the status that an entry gives."""
        client = self.admin(entry)
        try:
            return await client.fetch_status()
        finally:
            client.close()

    async def wait_status(self, entry: str, condition: Callable[[StatusView], bool]) -> StatusView:
        """Wait until the status of an entry meets a condition."""

        async def check() -> StatusView | None:
            status = await self.status(entry)
            return status if condition(status) else None

        return await until(check)

    async def wait_backend(
        self, backend: str, condition: Callable[[BackendView], bool], entry: str = "entry-1"
    ) -> BackendView:
        """Wait until an entry's view of a backend server meets a condition."""
        status = await self.wait_status(
            entry, lambda status: any(b.name == backend and condition(b) for b in status.backends)
        )
        return next(b for b in status.backends if b.name == backend)

    async def wait_serving(self, revision: int = 1) -> None:
        """Wait until every entry sees every backend server serve at a revision."""

        def serves(status: StatusView) -> bool:
            names = {
                b.name
                for b in status.backends
                if b.state == "serving" and (b.revision or 0) >= revision
            }
            return names >= set(self.agents) and status.revision >= revision

        for entry, handle in self.entries.items():
            if handle.returncode is None:
                await self.wait_status(entry, serves)

    async def publish(self, values: dict[str, Any], entry: str = "entry-1") -> int:
        """Publish values by path once the entry reads the log; return the revision."""
        await self.wait_status(entry, lambda status: status.log_available)
        client = self.admin(entry)
        try:
            return (await publish_values(client, values, author="test")).revision
        finally:
            client.close()

    async def set_faults(self, handle: ProcessHandle, **faults: Any) -> None:
        """Change faults of a stand-in."""
        answer = await Caller(handle.addresses["http"]).call(
            "POST", "/faults", json.dumps(faults).encode()
        )
        assert answer.status == 200, answer.body

    async def fetch(self, handle: ProcessHandle, target: str) -> Any:
        """Return the JSON answer of a stand-in."""
        return (await Caller(handle.addresses["http"]).call("GET", target)).content

    async def count_runs(self, key: str) -> int:
        """Return how often a key ran on all plain services, by their own count."""
        counts = [
            (await self.fetch(handle, "/runs"))["runs"].get(key, 0)
            for name, handle in self.backends.items()
            if name.startswith("depot")
        ]
        return sum(counts)

    async def append_order(self, backend: str, role: Role, term: int) -> int:
        """Append an order to the control stream, as a holder of a term does; return its offset."""
        client = HttpLogClient(self.log.addresses["http"])
        order = RoleOrder(f"order-{backend}-{role}-{term}", term, backend, role, reason="test")
        try:
            return await client.append(CONTROL_STREAM, order.record_id, encode_record(order))
        finally:
            client.close()

    async def wait_holder(self, entry: str, holders: set[str]) -> int:
        """Wait until an entry sees one of the holders hold the lease; return the term."""
        status = await self.wait_status(entry, lambda status: status.lease.holder in holders)
        assert status.lease.term is not None
        return status.lease.term

    async def find_server(self, stream: Stream, entry: str = "entry-1") -> str:
        """Return the backend server that a stream was routed to last."""
        client = self.admin(entry)
        try:
            events = await client.fetch_timeline(stream.request_id)
        finally:
            client.close()
        routed = [event for event in events if event.name == "REQUEST_ROUTED"]
        return str(routed[-1].fields["backend"])

    def _write(self, settings: EntrySettings | AgentSettings) -> str:
        path = self._directory / f"{settings.process}.yaml"
        path.write_text(dump_settings(settings), encoding="utf-8")
        return str(path)


async def until(check: Callable[[], Awaitable[T]]) -> T:
    """Wait until a check returns a true value, and return it."""
    while True:
        try:
            result = await check()
        except (AdminError, HttpError):
            result = None
        if result:
            return result
        await trio.sleep(POLL_S)


@asynccontextmanager
async def streaming(callers: list[Caller], count: int, tokens: int) -> AsyncIterator[list[Stream]]:
    """Run streams that have begun inside the block, and check at its end that all are whole."""
    streams = [Stream(f"Question {number}: why fill a tyre?", tokens) for number in range(count)]
    async with trio.open_nursery() as nursery:
        for number, stream in enumerate(streams):
            nursery.start_soon(callers[number % len(callers)].read, stream)
        for stream in streams:
            await stream.started.wait()
        yield streams
    for stream in streams:
        stream.check_whole()


def run_fleet_test(directory: Path, test: Callable[[SmallFleet], Awaitable[None]]) -> None:
    """Run a test with a fleet whose processes end with it."""

    async def main() -> None:
        with trio.fail_after(HANG_GUARD_S):
            async with Launcher(directory) as launcher:
                await test(SmallFleet(launcher, directory))

    trio.run(main)
