"""Runs a figwalk process with its settings, log output, signals and graceful stop."""

from __future__ import annotations

import os
import signal
import sys
from abc import ABC, abstractmethod
from collections.abc import Callable
from pathlib import Path
from traceback import format_exception
from typing import Generic, Protocol, TypeVar

import trio
import typer

from figwalk.errors import SettingsError
from figwalk.events import Event, EventLog
from figwalk.log_output import BoundedOutput, configure_logging
from figwalk.state.settings_file import load_settings
from figwalk.timer import Timer
from figwalk.transport.listening import find_listen_error

SETTINGS_FILE_VARIABLE = "FIGWALK_NODE_FILE"
SETTINGS_EXIT_CODE = 2
LISTEN_EXIT_CODE = 1
FAILURE_EXIT_CODE = 70  # EX_SOFTWARE of sysexits.h.
# Checks for changes of the settings file that no SIGHUP reports.
SETTINGS_CHECK_PERIOD_S = 2.0


class ProcessSettings(Protocol):
    """Settings that every process has."""

    process: str
    log_lines_per_s: int
    log_format: str


S = TypeVar("S", bound=ProcessSettings)


class Process(ABC, Generic[S]):
    """A process that runs until `stop` has ended."""

    @abstractmethod
    async def run(self) -> None:
        """Serve until `stop` has ended."""

    @abstractmethod
    async def stop(self) -> None:
        """Stop gracefully, then let `run` return."""

    @abstractmethod
    def update_settings(self, settings: S) -> None:
        """Apply the settings that may change while the process runs."""


class SettingsWatcher(Generic[S]):
    """Reloads the settings file when it has changed.

    Args:
        path: The settings file.
        cls: Class of the settings.
        process: Process to which the new settings are applied.
        events: Event log.
        content: Content of the file from which the process got its settings, or an older one.
    """

    def __init__(
        self, path: Path, cls: type[S], process: Process[S], events: EventLog, *, content: bytes
    ) -> None:
        self._path = path
        self._cls = cls
        self._process = process
        self._events = events
        self._content = content

    async def check(self) -> None:
        """Reload the settings if the content of the file has changed."""
        try:
            content = self._path.read_bytes()
        except OSError as error:
            self._events.record(Event.SETTINGS_REJECTED, detail=str(error))
            return
        if content == self._content:
            return
        self._content = content
        try:
            settings = load_settings(self._path, self._cls, environment=os.environ)
        except SettingsError as error:
            self._events.record(Event.SETTINGS_REJECTED, detail=str(error))
            return
        self._process.update_settings(settings)
        self._events.record(Event.SETTINGS_RELOADED)

    async def run(self) -> None:
        """Check the file periodically until cancelled."""
        while True:
            await trio.sleep(SETTINGS_CHECK_PERIOD_S)
            await self.check()


def run_process(
    path: Path | None, cls: type[S], make_process: Callable[[S, Callable[[], int]], Process[S]]
) -> None:
    """Run a process until it has stopped after SIGTERM or SIGINT.

    SIGHUP reloads the settings file.

    Args:
        path: Settings file, or None if none was given.
        cls: Class of the settings.
        make_process: Creates the process from its settings and a function that returns the number
            of dropped log lines.

    Raises:
        typer.Exit: The settings are invalid, the process can't listen on an address, or it failed
            with an unexpected error.
    """
    # Until its handler is installed and after that is removed, a SIGHUP would end the process. The
    # settings are read later than this, and the watcher looks for changes without a signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if path is None:
        typer.echo(f"pass a settings file, or set {SETTINGS_FILE_VARIABLE}", err=True)
        raise typer.Exit(SETTINGS_EXIT_CODE)
    try:
        # Read before the settings, so that a change in between is noticed as one.
        content = path.read_bytes() if path.is_file() else b""
        settings = load_settings(path, cls, environment=os.environ)
        output = BoundedOutput(sys.stdout.fileno(), lines_per_s=settings.log_lines_per_s)
        configure_logging(settings.log_format, output)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(SETTINGS_EXIT_CODE) from error
    process = make_process(settings, lambda: output.dropped)
    events = EventLog(settings.process, Timer())
    watcher = SettingsWatcher(path, cls, process, events, content=content)
    try:
        trio.run(_run, process, watcher)
    except BaseExceptionGroup as group:
        error = find_listen_error(group)
        if error is None:
            # Operators read the structured log, so the traceback becomes one line there. Printed by
            # the interpreter, it would take many lines of another format.
            events.record(Event.TASK_FAILED, task="process", error="".join(format_exception(group)))
            raise typer.Exit(FAILURE_EXIT_CODE) from group
        typer.echo(str(error), err=True)
        raise typer.Exit(LISTEN_EXIT_CODE) from error


async def _run(process: Process[S], watcher: SettingsWatcher[S]) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(_handle_signals, process, watcher, nursery)
        nursery.start_soon(watcher.run)
        await process.run()
        nursery.cancel_scope.cancel()


async def _handle_signals(
    process: Process[S],
    watcher: SettingsWatcher[S],
    nursery: trio.Nursery,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    stopping = False
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        task_status.started()
        async for number in signals:
            if number == signal.SIGHUP:
                await watcher.check()
            elif not stopping:
                stopping = True
                nursery.start_soon(process.stop)
