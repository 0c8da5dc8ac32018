"""Processor time, latency and memory of entry and agent against a bare h11 relay.

Both paths are measured in one run, one after the other, against the same stand-ins:
`python -m bench.cost`. Prints JSON, with a ratio for requests and one for streamed chunks.
"""

from __future__ import annotations

import json
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import trio

from figwalk.cli.admin_client import AdminClient
from figwalk.protocol.records import Change
from figwalk.state.settings import (
    Address,
    AgentSettings,
    BackendSettings,
    EntrySettings,
    PlatformSettings,
)
from figwalk.state.settings_file import dump_settings
from figwalk.transport import HttpClient, HttpRequest
from standins.launcher import AGENT_SOCKETS, ENTRY_SOCKETS, Launcher, ProcessHandle

LOOPBACK = Address("127.0.0.1", 0)
TOKEN = "bench"
ZONE, REGION = "rajkot-a", "saurashtra"
REQUESTS = 3000
CALLERS = 16
STREAMS = 32
STREAM_TOKENS = 200
LATENCY_REQUESTS = 300
TIME_SCALE = "0.2"
READY_TIMEOUT_S = 20.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


@attrs.frozen
class CallPath:
    """One path from the caller to the backend servers.

    Attributes:
        name: Name in the results.
        model: Address for model calls.
        plain: Address for plain calls.
        plain_target: Request target of the stock check.
        processes: Processes whose processor time is measured.
    """

    name: str
    model: Address
    plain: Address
    plain_target: str
    processes: tuple[ProcessHandle, ...]


@attrs.frozen
class Load:
    """Result of one load.

    Attributes:
        units: Number of requests or chunks.
        cpu_s: Processor seconds of the processes of the path.
        wall_s: Elapsed seconds.
    """

    units: int
    cpu_s: float
    wall_s: float

    @property
    def units_per_cpu_s(self) -> float:
        """Units per processor second."""
        return self.units / self.cpu_s


def read_cpu_s(processes: tuple[ProcessHandle, ...]) -> float:
    """Return the user and system processor seconds that processes have used so far."""
    ticks = 0
    for process in processes:
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / CLOCK_TICKS_PER_S


def read_resident_mb(process: ProcessHandle) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * PAGE_KB / 1024


async def measure(path: CallPath, load: Callable[[CallPath], Awaitable[int]]) -> Load:
    """Run a load and measure the processor time of the path."""
    cpu_before, wall_before = read_cpu_s(path.processes), time.monotonic()
    units = await load(path)
    return Load(units, read_cpu_s(path.processes) - cpu_before, time.monotonic() - wall_before)


async def load_requests(path: CallPath) -> int:
    """Send plain requests from several callers concurrently."""

    async def call() -> None:
        client = HttpClient(path.plain.host, path.plain.port)
        for _ in range(REQUESTS // CALLERS):
            response, _body = await client.fetch("GET", path.plain_target)
            assert response.status == 200, response.status
        client.close()

    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(call)
    return REQUESTS // CALLERS * CALLERS


async def load_streams(path: CallPath) -> int:
    """Read streams concurrently; the engine sends one chunk for each token of each stream."""
    events = 0

    async def call(number: int) -> None:
        nonlocal events
        client = HttpClient(path.model.host, path.model.port)
        async with client.open(_stream_request(number)) as response:
            assert response.status == 200, response.status
            async for chunk in response.chunks():
                events += chunk.count(b"\n\n")
        client.close()

    async with trio.open_nursery() as nursery:
        for number in range(STREAMS):
            nursery.start_soon(call, number)
    assert events >= STREAMS * STREAM_TOKENS, events
    return events


async def measure_latency_ms(path: CallPath) -> float:
    """Return the median latency of a stock check without other load."""
    client = HttpClient(path.plain.host, path.plain.port)
    times = []
    for _ in range(LATENCY_REQUESTS):
        started = time.perf_counter()
        await client.fetch("GET", path.plain_target)
        times.append(time.perf_counter() - started)
    client.close()
    return statistics.median(times) * 1000


def _stream_request(number: int) -> HttpRequest:
    body = {
        "model": "model-a",
        "stream": True,
        "max_tokens": STREAM_TOKENS,
        "messages": [{"role": "user", "content": f"question {number}"}],
    }
    return HttpRequest(
        "POST",
        "/v1/chat/completions",
        [(b"content-type", b"application/json")],
        json.dumps(body).encode(),
    )


class Bench:
    """Starts the two paths and measures them."""

    def __init__(self, launcher: Launcher, directory: Path) -> None:
        self._launcher = launcher
        self._directory = directory

    async def run(self) -> dict[str, object]:
        """Start the stand-ins and both paths, measure the paths and return the results for JSON."""
        engine = await self._start_standin("engine", "--time-scale", TIME_SCALE)
        service = await self._start_standin("service")
        relay = await self._start_relay(engine, service)
        figwalk = await self._start_figwalk(engine, service)
        idle_mb = {p.name: round(read_resident_mb(p), 1) for p in figwalk.processes}
        direct = CallPath("direct", engine, service, "/stock/water-calcium", ())
        paths = (relay, figwalk)
        for path in paths:
            await load_requests(path)
        requests = {path.name: await measure(path, load_requests) for path in paths}
        chunks = {path.name: await measure(path, load_streams) for path in paths}
        latency = {p.name: await measure_latency_ms(p) for p in (direct, *paths)}
        return {
            "requests_per_cpu_s": {n: round(r.units_per_cpu_s) for n, r in requests.items()},
            "chunks_per_cpu_s": {n: round(r.units_per_cpu_s) for n, r in chunks.items()},
            "requests_ratio": round(
                requests["figwalk"].units_per_cpu_s / requests["relay"].units_per_cpu_s, 3
            ),
            "chunks_ratio": round(
                chunks["figwalk"].units_per_cpu_s / chunks["relay"].units_per_cpu_s, 3
            ),
            "median_latency_ms": {n: round(ms, 3) for n, ms in latency.items()},
            "added_latency_ms": round(latency["figwalk"] - latency["direct"], 3),
            "resident_mb_idle": idle_mb,
        }

    async def _start_standin(self, name: str, *arguments: str) -> Address:
        handle = await self._launcher.start(name, f"standins.{name}", *arguments)
        return handle.addresses["http"]

    async def _start_relay(self, engine: Address, service: Address) -> CallPath:
        handles = [
            await self._launcher.start(
                f"relay-{name}", "bench.relay", address.host, str(address.port)
            )
            for name, address in (("engine", engine), ("service", service))
        ]
        model, plain = (handle.addresses["http"] for handle in handles)
        return CallPath("relay", model, plain, "/stock/water-calcium", tuple(handles))

    async def _start_figwalk(self, engine: Address, service: Address) -> CallPath:
        log = await self._start_standin("log")
        vms = await self._start_standin("vms", "--lag-s", "0")
        agents = [
            await self._start_agent("llm-1", "llm", "engine", engine),
            await self._start_agent("depot-1", "depot", "plain", service),
        ]
        vms_client = HttpClient(vms.host, vms.port)
        for agent, service_name in zip(agents, ("llm", "depot"), strict=True):
            await _list_vm(vms_client, agent, service_name)
        vms_client.close()
        settings = EntrySettings(
            "entry-1",
            ZONE,
            REGION,
            LOOPBACK,
            LOOPBACK,
            LOOPBACK,
            PlatformSettings(log, vms, vms_poll_s=0.2),
            TOKEN,
        )
        entry = await self._launcher.start(
            "entry-1", "figwalk.entry.main", self._write(settings), listening=ENTRY_SOCKETS
        )
        await _publish_and_wait(entry.addresses["admin"])
        callers = entry.addresses["callers"]
        target = "/services/depot/stock/water-calcium"
        return CallPath("figwalk", callers, callers, target, (entry, *agents))

    async def _start_agent(
        self, name: str, service: str, kind: str, address: Address
    ) -> ProcessHandle:
        backend = BackendSettings(name, service, kind, address, checks_fencing=True)
        settings = AgentSettings(f"agent-{name}", ZONE, REGION, LOOPBACK, LOOPBACK, backend)
        return await self._launcher.start(
            settings.process,
            "figwalk.agent.main",
            self._write(settings),
            listening=AGENT_SOCKETS,
        )

    def _write(self, settings: EntrySettings | AgentSettings) -> str:
        path = self._directory / f"{settings.process}.yaml"
        path.write_text(dump_settings(settings), encoding="utf-8")
        return str(path)


async def _list_vm(vms: HttpClient, agent: ProcessHandle, service: str) -> None:
    address = agent.addresses["peers"]
    vm = {
        "kind": "backend",
        "state": "live",
        "address": address.host,
        "port": address.port,
        "zone": ZONE,
        "region": REGION,
        "service": service,
    }
    await vms.fetch("PUT", f"/vms/{agent.name}", body=json.dumps(vm).encode())


async def _publish_and_wait(admin: Address) -> None:
    client = AdminClient(f"http://{admin}", TOKEN)
    changes = [
        Change("services/llm", {"kind": "model", "models": ["model-a"]}, 0),
        Change("services/depot", {"kind": "plain"}, 0),
    ]
    with trio.fail_after(READY_TIMEOUT_S):
        while not (await client.fetch_status()).log_available:
            await trio.sleep(0.1)
        await client.publish(changes, author="bench")
        while True:
            status = await client.fetch_status()
            if len([b for b in status.backends if b.state == "serving"]) == 2:
                break
            await trio.sleep(0.1)
    client.close()


async def run() -> dict[str, object]:
    """Run the measurement in a temporary directory."""
    directory = Path(tempfile.mkdtemp(prefix="figwalk-bench-"))
    async with Launcher(directory) as launcher:
        return await Bench(launcher, directory).run()


def main() -> None:
    """Run the measurement and print its results."""
    print(json.dumps(trio.run(run), indent=2))
    sys.exit(0)


if __name__ == "__main__":
    main()
