"""Starts the processes of the deploy file on loopback, against the project's stand-ins.

The settings files are rendered from the templates in `deploy/`, with the values that the sheet of
a small deployment states.
"""

from __future__ import annotations

import json
import os
import re
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path

import attrs
import trio

from figwalk.errors import HttpError
from figwalk.state.settings import Address
from figwalk.transport import HttpClient
from standins.launcher import ROOT, Launcher, ProcessHandle, choose_port

HOST = "127.0.0.1"
ZONES = {"a": "r", "b": "s", "c": "t"}
READY_TIMEOUT_S = 30.0
RESTART_DELAY_S = 0.5
CASE_S = 95.0
MEMORY_MB = 300
# The sheet of `sites/umugati-vans.toml`.
BOUNDS = {
    "grace-s": 8,
    "config-deadline-ms": 2500,
    "drain-ms": 2500,
    "budget-ratio": 0.2,
    "budget-window-s": 10,
    "budget-slack": 52,
    "lease-ms": 3000,
    "thaw-ms": 300,
    "require-fencing": True,
}
_PLACEHOLDER = re.compile(r"\{\{([\w.-]+)(\|json)?\}\}")


class CaseError(Exception):
    """The case could not be run."""


def render(text: str, values: Mapping[str, object]) -> str:
    """Fill in the placeholders `{{a}}`, `{{a.b}}` and `{{a|json}}` of a template."""

    def replace(match: re.Match[str]) -> str:
        value: object = values
        for part in match[1].split("."):
            if isinstance(value, Mapping):
                value = value.get(part)
            elif isinstance(value, list):
                value = value[int(part)]
            else:
                value = None
        if match[2]:
            return "" if value is None else json.dumps(value)
        return "" if value is None else str(value)

    return _PLACEHOLDER.sub(replace, text)


@attrs.frozen
class Gateway:
    """A gateway's name and addresses."""

    name: str
    callers: Address
    health: Address


class Deployment:
    """The processes of one case.

    Args:
        launcher: Starts the processes and ends them.
        directory: Temporary directory for settings and run logs.
        record: File to which everything of interest is appended, one JSON object a line.
    """

    def __init__(self, launcher: Launcher, directory: Path, record: Path) -> None:
        self._launcher = launcher
        self._directory = directory
        self._record = record.open("w")
        self._started_at = time.monotonic()
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._agents_port = choose_port()
        self.store = Address("", 0)
        self.gateways: dict[str, Gateway] = {}
        self.processes: dict[str, ProcessHandle] = {}
        self._settings: dict[str, tuple[str, dict[str, str]]] = {}
        self.bounds: dict[str, object] = dict(BOUNDS)

    def note(self, what: str, **fields: object) -> None:
        """Append a line to the record."""
        line = {"at_s": round(time.monotonic() - self._started_at, 3), "what": what, **fields}
        # The record names no path of the machine.
        self._record.write(json.dumps(line).replace(f"{ROOT}/", "") + "\n")
        self._record.flush()

    async def start_store(self, config: dict[str, object]) -> None:
        """Start the store's stand-in and publish a configuration."""
        handle = await self._launcher.start("store", "standins.platform_store")
        self.store = handle.addresses["http"]
        self.processes["store"] = handle
        await self.write_record("keyed.op", "config", config)

    async def write_record(self, topic: str, key: str, value: object) -> None:
        """Write a record as operators and other writers do; None removes the key."""
        body = json.dumps({"topic": topic, "key": key, "value": value}).encode()
        status, _ = await self.ask(self.store, "POST", "/records", body)
        if status != 200:
            raise CaseError(f"the store answered {status}")

    async def start_backend(
        self,
        name: str,
        service: str,
        zone: str,
        *,
        host: str = HOST,
        module: str = "standins.platform_backend",
        link: Callable[[Address], Awaitable[Address]] | None = None,
        **options: object,
    ) -> Address:
        """Start a backend server's stand-in under its name; return its own address.

        With `link`, it registers the address that this returns for its own.
        """
        port = choose_port(host)
        known = Address(host, port) if link is None else await link(Address(host, port))
        arguments = {
            "--id": name,
            "--service": service,
            "--zone": zone,
            "--host": host,
            "--port": port,
            "--store": self.store,
            "--advertise": known,
            "--run-log": self.run_log(name),
        } | {f"--{key.replace('_', '-')}": value for key, value in options.items()}
        words = [str(word) for pair in arguments.items() for word in pair]
        self.processes[name] = await self._launcher.start(name, module, *words)
        return Address(host, port)

    def run_log(self, name: str) -> Path:
        """Return the file in which a backend server notes what arrives and runs."""
        return self._directory / f"{name}.runs"

    def read_runs(self, name: str) -> list[dict[str, object]]:
        """Return what a backend server has noted."""
        path = self.run_log(name)
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    async def start_gateway(self, name: str, zone: str, store: Address | None = None) -> None:
        """Start a gateway with the command and the template of the deploy file."""
        ports = {key: choose_port() for key in ("front", "ready", "metrics")}
        callers, health = Address(HOST, ports["front"]), Address(HOST, ports["ready"])
        self.gateways[name] = Gateway(name, callers, health)
        values = self._make_values(name, zone, store or self.store)
        values["listen"] = {"front": str(callers), "ready": str(health)}
        text = render((ROOT / "deploy/gateway.yaml").read_text(), values)
        text = text.replace(f"{HOST}:9464", f"{HOST}:{ports['metrics']}")
        await self._start_role("gateway", name, text, values)

    async def start_agent(
        self, name: str, zone: str, engine: Address, store: Address | None = None
    ) -> None:
        """Start a prompt agent with the command and the template of the deploy file."""
        values = self._make_values(name, zone, store or self.store)
        values |= {"ip": engine.host, "app": str(engine)}
        text = render((ROOT / "deploy/prompt-agent.yaml").read_text(), values)
        await self._start_role("prompt-agent", name, text, values)

    def _make_values(self, name: str, zone: str, store: Address) -> dict[str, object]:
        return {
            "node-name": name,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "ip": HOST,
            "internal-ports": [self._agents_port, self._agents_port + 15],
            "limits": {"memory-mb": MEMORY_MB},
            "bounds": self.bounds,
            "platform": {"address": str(store)},
        }

    async def _start_role(self, role: str, name: str, text: str, values: dict[str, object]) -> None:
        path = self._directory / f"{name}.yaml"
        path.write_text(text)
        environment = {
            key: render(value, values) for key, value in self._deploy[role]["env"].items()
        }
        environment["FIGWALK_NODE_FILE"] = str(path)
        module = self._deploy[role]["run"].removeprefix("python3 -m ")
        self._settings[name] = module, environment
        await self.restart(name)

    async def restart(self, name: str) -> None:
        """Start a process of the deploy file again with the same settings."""
        module, environment = self._settings[name]
        self.processes[name] = await self._launcher.spawn(name, module, environment=environment)
        self.note("started", process=name, pid=self.processes[name].pid)

    async def keep_running(self, name: str) -> None:
        """Start a process again after a short delay whenever it ends, as the platform does."""
        while True:
            status = await self.processes[name].wait()
            self.note("process ended by itself", process=name, status=status)
            await trio.sleep(RESTART_DELAY_S)
            await self.restart(name)

    async def wait_ready(self) -> None:
        """Wait until all gateways say that they are ready."""
        with trio.move_on_after(READY_TIMEOUT_S):
            for gateway in self.gateways.values():
                while (await self.ask(gateway.health, "GET", "/ready"))[0] != 200:
                    await trio.sleep(0.1)
            return
        raise CaseError("the gateways were not ready in time")

    def memory_mb(self, name: str) -> int:
        """Return the resident memory of a process in MB, or 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) * 1024 // 1_000_000 if found else 0

    def log_text(self, name: str) -> str:
        """Return what a process has logged."""
        return self.processes[name].log_path.read_text(errors="replace")

    @staticmethod
    async def ask(
        address: Address, method: str, target: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Send one request; return status 0 if there is no answer."""
        client = HttpClient(address.host, address.port)
        try:
            with trio.fail_after(2.0):
                response, content = await client.fetch(method, target, body=body)
        except (HttpError, trio.TooSlowError):
            return 0, b""
        finally:
            client.close()
        return response.status, content


def run_case(play: Callable[[Deployment], Awaitable[bool]], folder: Path) -> int:
    """Run a case and return its exit status; its record is written to the folder.

    Args:
        play: Returns whether the rule was broken.
        folder: Folder of the case.
    """

    async def main() -> int:
        with tempfile.TemporaryDirectory() as name:
            async with Launcher(Path(name)) as launcher:
                deployment = Deployment(launcher, Path(name), folder / "record.txt")
                # Leaves the launcher the time to end all processes.
                with trio.fail_after(CASE_S):
                    return int(await play(deployment))

    try:
        return trio.run(main)
    except Exception as error:
        # Whatever goes wrong in the case itself says nothing about the rule.
        traceback.print_exception(error)
        return 2


def has_trouble() -> bool:
    """Return whether the case is to bring its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"
