"""Starts the programs of the deploy file, with settings rendered from their templates."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import socket
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
PLACEHOLDER = re.compile(r"\{\{([^}|]+)(\|json)?\}\}")
BOUNDS = {
    "drain-ms": 2500,
    "grace-s": 8,
    "config-deadline-ms": 2500,
    "budget-ratio": 0.2,
    "budget-window-s": 10,
    "budget-slack": 58,
}
ZONES = {"rajkot-a": "saurashtra", "mehsana-a": "north-guj", "surat-a": "south-guj"}


class Hosts:
    """Loopback addresses of machines, drawn anew for each run.

    The metrics port of the deploy file is fixed, so that runs must not share addresses.
    """

    def __init__(self) -> None:
        self._prefix = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self._used = 0

    def take(self) -> str:
        """Return the next address."""
        self._used += 1
        return f"{self._prefix}.{self._used}"


def choose_port(host: str) -> int:
    """Return a port that is free on a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def render(template: str, fields: dict[str, object]) -> str:
    """Fill in the placeholders of a settings template."""

    def fill(match: re.Match[str]) -> str:
        value: object = fields
        for name in match[1].split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return json.dumps(value) if match[2] else str(value)

    return PLACEHOLDER.sub(fill, template)


class Program:
    """One process of a role on one machine, which is a loopback address.

    Args:
        role: Role in the deploy file.
        name: Name of the machine.
        host: Loopback address of the machine.
        folder: Temporary folder for settings and logs.
        fields: Settings that the platform gives beside the common ones.
    """

    def __init__(
        self, role: str, name: str, host: str, folder: Path, fields: dict[str, object]
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][role]
        self._words = deploy["run"].split()
        self._settings = folder / f"{name}.yaml"
        self.name = name
        self.host = host
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        common: dict[str, object] = {
            "node-name": name,
            "ip": host,
            "zone": "rajkot-a",
            "region": "saurashtra",
            "zones": ZONES,
            "bounds": BOUNDS,
        }
        template = (ROOT / deploy["template"]).read_text()
        self._settings.write_text(render(template, common | fields))

    async def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["FIGWALK_NODE_FILE"] = str(self._settings)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self._words, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def kill(self) -> None:
        """End the process at once."""
        if self.running:
            self.process.kill()

    def resident_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        match = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(match[1]) / 1000 if match else 0.0


class Gateway(Program):
    """A gateway process."""

    def __init__(
        self, name: str, host: str, folder: Path, store: str, agents_port: int, **fields: object
    ) -> None:
        self.front = (host, choose_port(host))
        self.ready = (host, choose_port(host))
        listen = {
            "front": "{}:{}".format(*self.front),
            "ready": "{}:{}".format(*self.ready),
        }
        settings = {
            "listen": listen,
            "internal-ports": [agents_port, agents_port + 15],
            "platform": {"address": store},
        }
        super().__init__("gateway", name, host, folder, settings | fields)

    async def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 1.0)
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.readuntil(b"\r\n"), 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()
        return b" 200 " in head

    async def wait_ready(self) -> None:
        """Wait until the gateway is ready."""
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while not await self.is_ready():
            if asyncio.get_running_loop().time() > deadline or not self.running:
                raise RuntimeError(f"{self.name} did not become ready; see {self.log.name}")
            await asyncio.sleep(0.1)


class Agent(Program):
    """A prompt agent beside an engine."""

    def __init__(self, name: str, host: str, folder: Path, app: str, agents_port: int) -> None:
        settings = {"internal-ports": [agents_port, agents_port + 15], "app": app}
        super().__init__("prompt-agent", name, host, folder, settings)
