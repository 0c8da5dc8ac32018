"""Starts processes on loopback for tests, demos and benchmarks, and ends them by process id.

A development tool that is not part of figwalk. Stand-ins end by themselves when the process that
runs the launcher ends without leaving its block; other processes don't. Example:

    async with Launcher(directory) as launcher:
        log = await launcher.start("log", "standins.log", "--append-rate", "100")
        print(log.addresses["http"])
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from collections import deque
from collections.abc import Collection
from pathlib import Path
from types import TracebackType

import trio

from figwalk.errors import FigwalkError
from figwalk.state.settings import Address
from standins.base import LOOPBACK

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
MAX_LINE_BYTES = 64 * 1024
LOG_TAIL_BYTES = 2000
ENTRY_SOCKETS = ("callers", "peers", "admin")
AGENT_SOCKETS = ("peers", "health")
STANDIN_SOCKETS = ("http",)
STANDIN_PREFIX = "standins."
# More than one deployment needs, and far below the usual limit of 1024 file descriptors.
MAX_HELD_PORTS = 200

_held_ports: deque[socket.socket] = deque()


def choose_port(host: str = LOOPBACK) -> int:
    """Return a free TCP port that only a listener gets that is given its number.

    This process keeps the port bound, without listening, so that the system assigns it to no other
    socket. Listeners set `SO_REUSEADDR` and can therefore bind it too, in this and other processes;
    without one, connections to it are refused. The oldest of `MAX_HELD_PORTS` ports is given back
    when another one is chosen.
    """
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, 0))
    _held_ports.append(holder)
    if len(_held_ports) > MAX_HELD_PORTS:
        _held_ports.popleft().close()
    return int(holder.getsockname()[1])


class LaunchError(FigwalkError):
    """A process ended or stayed silent before it listened."""


class ProcessHandle:
    """A process that the launcher started.

    Args:
        name: Name given at the start.
        process: The running process.
        log_path: File with its standard error and further standard output.
    """

    def __init__(self, name: str, process: trio.Process, log_path: Path) -> None:
        self._name = name
        self._process = process
        self._log_path = log_path
        self._addresses: dict[str, Address] = {}
        self._changed = trio.Event()
        self._output_ended = False

    @property
    def name(self) -> str:
        """Name given at the start."""
        return self._name

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def addresses(self) -> dict[str, Address]:
        """Listening sockets announced so far, by name."""
        return self._addresses

    @property
    def log_path(self) -> Path:
        """File with the standard error and further standard output."""
        return self._log_path

    @property
    def returncode(self) -> int | None:
        """Exit status, or None while the process runs."""
        return self._process.poll()

    def kill(self) -> None:
        """Send SIGKILL."""
        self._process.send_signal(signal.SIGKILL)

    def pause(self) -> None:
        """Send SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self._process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self._process.send_signal(signal.SIGTERM)

    def hang_up(self) -> None:
        """Send SIGHUP."""
        self._process.send_signal(signal.SIGHUP)

    async def wait(self) -> int:
        """Wait for the end of the process and return its exit status, negative for a signal."""
        return await self._process.wait()

    async def wait_listening(self, names: Collection[str]) -> None:
        """Wait until the named sockets are announced, or any if no name is given.

        Raises:
            LaunchError: The process closed its output before.
        """
        while not self._addresses or not set(names) <= set(self._addresses):
            if self._output_ended:
                raise LaunchError(
                    f"{self._name} ended before it listened on {sorted(names) or 'a socket'}",
                    remedy=f"read {self._log_path}, which ends with:\n{self._read_log_tail()}",
                )
            await self._changed.wait()

    async def follow_output(self) -> None:
        """Read the standard output to its end; lines other than `listening` go to the log."""
        stdout = self._process.stdout
        assert stdout is not None
        buffer = bytearray()
        async for data in stdout:
            buffer += data
            *lines, rest = bytes(buffer).split(b"\n")
            buffer = bytearray(rest[-MAX_LINE_BYTES:])
            for line in lines:
                self._take_line(line)
        self._output_ended = True
        self._wake()

    def _take_line(self, line: bytes) -> None:
        words = line.decode("utf-8", "replace").split()
        if len(words) == 3 and words[0] == "listening":
            host, _, port = words[2].rpartition(":")
            self._addresses[words[1]] = Address(host, int(port))
            self._wake()
        else:
            with self._log_path.open("ab") as log:
                log.write(line + b"\n")

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _read_log_tail(self) -> str:
        return self._log_path.read_bytes()[-LOG_TAIL_BYTES:].decode("utf-8", "replace")


class Launcher:
    """Starts processes and ends those that still run when the block is left.

    Args:
        directory: Where the log files go; it is made if missing.
    """

    def __init__(self, directory: Path | str) -> None:
        self._directory = Path(directory)
        self._handles: list[ProcessHandle] = []
        self._nursery_manager = trio.open_nursery()
        self._nursery: trio.Nursery | None = None

    @property
    def handles(self) -> tuple[ProcessHandle, ...]:
        """All processes started, also those that have ended."""
        return tuple(self._handles)

    async def __aenter__(self) -> Launcher:
        """Prepare the directory."""
        self._directory.mkdir(parents=True, exist_ok=True)
        self._nursery = await self._nursery_manager.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End all processes; an exception of the block is passed on as it is."""
        assert self._nursery is not None
        try:
            with trio.CancelScope(shield=True):
                await self._end_all()
        finally:
            self._nursery.cancel_scope.cancel()
            await self._nursery_manager.__aexit__(None, None, None)

    async def start(
        self,
        name: str,
        module: str,
        *arguments: str,
        listening: Collection[str] = (),
        environment: dict[str, str] | None = None,
    ) -> ProcessHandle:
        """Start `python -m module` and wait until it listens.

        Args:
            name: Name of the log file; a second process of the name appends to it.
            module: Module to run.
            *arguments: Command line.
            listening: Names of the sockets to wait for; without names, the first one.
            environment: Additional environment variables.

        Raises:
            LaunchError: The process ended or did not listen in time.
        """
        handle = await self.spawn(name, module, *arguments, environment=environment)
        with trio.move_on_after(START_TIMEOUT_S) as scope:
            await handle.wait_listening(listening)
        if scope.cancelled_caught:
            raise LaunchError(
                f"{name} announced {sorted(handle.addresses)} within {START_TIMEOUT_S:g} s, "
                f"not {sorted(listening) or 'a socket'}",
                remedy=f"read {handle.log_path}",
            )
        return handle

    async def spawn(
        self,
        name: str,
        module: str,
        *arguments: str,
        environment: dict[str, str] | None = None,
    ) -> ProcessHandle:
        """Start `python -m module` without waiting until it listens; arguments as for `start`."""
        assert self._nursery is not None, "use the launcher in an async with block"
        if module.startswith(STANDIN_PREFIX):
            arguments = (*arguments, "--exit-with-parent")
        log_path = self._directory / f"{name}.log"
        with log_path.open("ab") as log:
            process = await trio.lowlevel.open_process(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "PYTHONUNBUFFERED": "1", **(environment or {})},
                # Ctrl-C in the terminal reaches the launcher only, which stops entries first.
                process_group=0,
            )
        handle = ProcessHandle(name, process, log_path)
        self._handles.append(handle)
        self._nursery.start_soon(handle.follow_output)
        return handle

    async def _end_all(self) -> None:
        running = [handle for handle in self._handles if handle.returncode is None]
        for handle in running:
            handle.terminate()
            handle.resume()
        with trio.move_on_after(STOP_TIMEOUT_S):
            for handle in running:
                await handle.wait()
        for handle in running:
            handle.kill()
            await handle.wait()
