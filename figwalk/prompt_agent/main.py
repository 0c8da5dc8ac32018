"""Command line of `figwalk-prompt-agent`, which admits prompts to the engine on its VM."""

from __future__ import annotations

import signal

if __name__ == "__main__":
    # The other imports take about a second, in which a SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from pathlib import Path
from typing import Annotated

import typer

from figwalk.process_runner import SETTINGS_FILE_VARIABLE, run_process
from figwalk.prompt_agent.process import PromptAgentProcess
from figwalk.state.gateway_settings import PromptAgentSettings


def run(
    settings_file: Annotated[
        Path | None,
        typer.Argument(envvar=SETTINGS_FILE_VARIABLE, help="YAML file of kind prompt_agent"),
    ] = None,
) -> None:
    """Admit prompts to the engine on this VM for all gateways."""
    run_process(
        settings_file,
        PromptAgentSettings,
        lambda settings, dropped: PromptAgentProcess(settings, dropped_lines=dropped),
    )


def main() -> None:
    """Run the command line."""
    typer.run(run)


if __name__ == "__main__":
    main()
