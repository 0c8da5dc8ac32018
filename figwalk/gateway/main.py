"""`figwalk-gateway`: the entry process of deployments whose callers use routes by host and path."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import Annotated

import trio
import typer

from figwalk.errors import SettingsError
from figwalk.events import Event, EventLog
from figwalk.gateway.process import GatewayProcess
from figwalk.log_output import BoundedOutput, configure_logging
from figwalk.state.gateway_settings import GatewaySettings
from figwalk.state.settings_file import load_settings
from figwalk.timer import Timer
from figwalk.transport.listening import find_listen_error

SETTINGS_FILE_VARIABLE = "FIGWALK_NODE_FILE"
SETTINGS_EXIT_CODE = 2
LISTEN_EXIT_CODE = 1
# The settings file may change without a signal.
SETTINGS_CHECK_PERIOD_S = 2.0


class SettingsWatcher:
    """Reads the settings file again when it has changed.

    Args:
        path: The settings file.
        process: Takes over the new settings.
        events: Event log.
    """

    def __init__(self, path: Path, process: GatewayProcess, events: EventLog) -> None:
        self._path = path
        self._process = process
        self._events = events
        self._content = path.read_bytes()

    async def check(self) -> None:
        """Take over the file's content if it differs from the last one."""
        try:
            content = self._path.read_bytes()
        except OSError as error:
            self._events.record(Event.SETTINGS_REJECTED, detail=str(error))
            return
        if content == self._content:
            return
        self._content = content
        try:
            settings = load_settings(self._path, GatewaySettings)
        except SettingsError as error:
            self._events.record(Event.SETTINGS_REJECTED, detail=str(error))
            return
        self._process.update_settings(settings)
        self._events.record(Event.SETTINGS_RELOADED)

    async def run(self) -> None:
        """Check now and then, until cancelled."""
        while True:
            await trio.sleep(SETTINGS_CHECK_PERIOD_S)
            await self.check()


async def run_gateway(settings: GatewaySettings, path: Path, output: BoundedOutput) -> None:
    """Run the process until SIGTERM or SIGINT, then stop gracefully."""
    process = GatewayProcess(settings, dropped_lines=lambda: output.dropped)
    watcher = SettingsWatcher(path, process, EventLog(settings.process, Timer()))
    async with trio.open_nursery() as nursery:
        await nursery.start(_handle_signals, process, watcher, nursery)
        nursery.start_soon(watcher.run)
        await process.run()
        nursery.cancel_scope.cancel()


async def _handle_signals(
    process: GatewayProcess,
    watcher: SettingsWatcher,
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


def run(
    settings_file: Annotated[
        Path | None,
        typer.Argument(envvar=SETTINGS_FILE_VARIABLE, help="YAML file of kind gateway"),
    ] = None,
) -> None:
    """Serve callers on an entry VM by routes from the platform's store."""
    if settings_file is None:
        typer.echo(f"give a settings file, or set {SETTINGS_FILE_VARIABLE}", err=True)
        raise typer.Exit(SETTINGS_EXIT_CODE)
    try:
        settings = load_settings(settings_file, GatewaySettings)
        output = BoundedOutput(sys.stdout.fileno(), lines_per_s=settings.log_lines_per_s)
        configure_logging(settings.log_format, output)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(SETTINGS_EXIT_CODE) from error
    try:
        trio.run(run_gateway, settings, settings_file, output)
    except BaseExceptionGroup as group:
        error = find_listen_error(group)
        if error is None:
            raise
        typer.echo(str(error), err=True)
        raise typer.Exit(LISTEN_EXIT_CODE) from error


def main() -> None:
    """Run the command line."""
    typer.run(run)


if __name__ == "__main__":
    main()
