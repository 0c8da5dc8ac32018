"""Command line of `figwalk-gateway`, which serves callers by routes on host and path."""

from __future__ import annotations

import signal

if __name__ == "__main__":
    # The other imports take about a second, in which a SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from pathlib import Path
from typing import Annotated

import typer

from figwalk.gateway.process import GatewayProcess
from figwalk.process_runner import SETTINGS_FILE_VARIABLE, run_process
from figwalk.state.gateway_settings import GatewaySettings


def run(
    settings_file: Annotated[
        Path | None,
        typer.Argument(envvar=SETTINGS_FILE_VARIABLE, help="YAML file of kind gateway"),
    ] = None,
) -> None:
    """Serve callers on an entry VM by routes from the platform's store."""
    run_process(
        settings_file,
        GatewaySettings,
        lambda settings, dropped: GatewayProcess(settings, dropped_lines=dropped),
    )


def main() -> None:
    """Parse the command line and run the gateway."""
    typer.run(run)


if __name__ == "__main__":
    main()
