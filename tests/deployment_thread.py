"""Runs a small deployment of real processes in a thread, for tests with blocking clients."""

import json
import threading
from pathlib import Path

import trio
import yaml

from standins.deployment import Deployment
from standins.launcher import Launcher

EXAMPLE = Path(__file__).parent.parent / "examples" / "bhumivar"
FILES = ("entry-1.yaml", "agent-ballast-llm-1.yaml", "agent-depot-1.yaml", "published.yaml")
MODEL = "ballast-7b"
START_TIMEOUT_S = 60


class DeploymentThread:
    """One entry, one engine and one plain service, each with its agent.

    Args:
        directory: Directory for settings and logs.
        limits: Limits of the entry's HTTP server.
    """

    def __init__(self, directory, **limits):
        self._directory = directory
        self._limits = limits
        self._ready = threading.Event()
        self._stop = trio.Event()
        self._thread = threading.Thread(target=self._run)
        self._token = None
        self._error = None
        self.deployment = None
        self.faults = []

    def __enter__(self):
        self._thread.start()
        assert self._ready.wait(START_TIMEOUT_S)
        if self._error is not None:
            raise self._error
        return self

    def __exit__(self, *_error):
        self._token.run_sync_soon(self._stop.set)
        self._thread.join()

    @property
    def handles(self):
        """Processes by name."""
        return {handle.name: handle for handle in self.deployment.handles}

    def address(self, process, name):
        """Return host and port of a listening socket."""
        address = self.handles[process].addresses[name]
        return address.host, address.port

    def log_text(self, process):
        """Return what a process wrote to standard error."""
        return self.handles[process].log_path.read_text()

    def events(self, process):
        """Return the names of the numbered log lines of a process."""
        lines = self.log_text(process).splitlines()
        return [json.loads(line)["event"] for line in lines]

    def _run(self):
        try:
            trio.run(self._main)
        except BaseException as error:
            self._error = error
            self._ready.set()
            raise

    async def _main(self):
        self._token = trio.lowlevel.current_trio_token()
        source = self._directory / "settings"
        source.mkdir()
        for name in FILES:
            text = (EXAMPLE / name).read_text()
            if name.startswith("entry"):
                text = yaml.safe_dump(yaml.safe_load(text) | {"limits": self._limits})
            (source / name).write_text(text)
        run_directory = self._directory / "run"
        async with Launcher(run_directory) as launcher:
            self.deployment = Deployment(source, launcher, run_directory, fixed_ports=False)
            await self.deployment.start()
            publication = await self.deployment.publish()
            await self.deployment.wait_ready(publication.revision)
            self._ready.set()
            await self._stop.wait()
            self.faults = await self.deployment.stop()
