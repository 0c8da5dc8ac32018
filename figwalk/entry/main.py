"""Command line of `figwalk-entry`, the process on an entry VM."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Annotated

import trio
import typer

from figwalk.entry.process import EntryProcess
from figwalk.errors import SettingsError
from figwalk.log_output import configure_logging
from figwalk.state.settings import EntrySettings
from figwalk.state.settings_file import load_settings
from figwalk.transport.listening import find_listen_error

SETTINGS_EXIT_CODE = 2
LISTEN_EXIT_CODE = 1


async def run_entry(settings: EntrySettings) -> None:
    """Run the process until SIGTERM or SIGINT, then stop gracefully."""
    process = EntryProcess(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, process)
        await process.run()
        nursery.cancel_scope.cancel()


async def _stop_on_signal(process: EntryProcess) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            await process.stop()
            return


def run(settings_file: Annotated[Path, typer.Argument(help="YAML file of kind entry")]) -> None:
    """Serve callers and operators on an entry VM."""
    try:
        settings = load_settings(settings_file, EntrySettings)
        configure_logging(settings.log_format)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(SETTINGS_EXIT_CODE) from error
    try:
        trio.run(run_entry, settings)
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
