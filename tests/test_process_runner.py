"""Tests of how a process starts and ends: signals and unexpected errors."""

import json
import subprocess
import sys

import pytest
import typer

from figwalk.process_runner import FAILURE_EXIT_CODE, SETTINGS_EXIT_CODE, Process, run_process
from figwalk.state.gateway_settings import PromptAgentSettings
from figwalk.state.settings import Address
from figwalk.state.settings_file import dump_settings


class FailingProcess(Process):
    """A process that raises an error as soon as it runs."""

    async def run(self):
        """Raise an unexpected error."""
        raise RuntimeError("out of cheese")

    async def stop(self):
        """Do nothing."""

    def update_settings(self, settings):
        """Do nothing."""


def write_settings(directory):
    """Write the settings of a process and return their path."""
    address = Address("127.0.0.1", 1)
    path = directory / "agent.yaml"
    path.write_text(dump_settings(PromptAgentSettings("agent-1", "a", "r", address, address)))
    return path


def test_unexpected_error_is_one_log_line_and_an_exit_code(tmp_path, capfd):
    """Guards against a crash that leaves no line in the structured log."""
    path = write_settings(tmp_path)
    with pytest.raises(typer.Exit) as raised:
        run_process(path, PromptAgentSettings, lambda _settings, _dropped: FailingProcess())
    assert raised.value.exit_code == FAILURE_EXIT_CODE
    lines = [json.loads(line) for line in capfd.readouterr().out.splitlines()]
    assert [line["event"] for line in lines] == ["TASK_FAILED"]
    assert "RuntimeError: out of cheese" in lines[0]["error"]


# Sends the signal when a module is imported, which is before the process can handle any.
HANG_UP_AT_IMPORT = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "typer":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
runpy.run_module(MODULE, run_name="__main__")
"""


@pytest.mark.parametrize("module", ["figwalk.gateway.main", "figwalk.prompt_agent.main"])
def test_hangup_during_the_start_does_not_end_the_process(module):
    """Guards against a process that ends since operators changed its settings as it started."""
    script = HANG_UP_AT_IMPORT.replace("MODULE", repr(module))
    command = [sys.executable, "-c", script]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert ended.returncode == SETTINGS_EXIT_CODE, ended.stderr
    assert "pass a settings file" in ended.stderr


HANG_UP_BEFORE_RUN = """
import os, signal, sys
from pathlib import Path
from figwalk.process_runner import run_process
from figwalk.state.gateway_settings import PromptAgentSettings

def make_process(_settings, _dropped):
    os.kill(os.getpid(), signal.SIGHUP)
    sys.exit(7)

run_process(Path(sys.argv[1]), PromptAgentSettings, make_process)
"""


def test_hangup_before_the_handler_is_installed_does_not_end_the_process(tmp_path):
    """Guards against a process that ends between the reading of its settings and its start."""
    path = write_settings(tmp_path)
    command = [sys.executable, "-c", HANG_UP_BEFORE_RUN, str(path)]
    assert subprocess.run(command, timeout=60).returncode == 7
