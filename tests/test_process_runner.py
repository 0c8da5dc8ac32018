"""Tests of the end of a process after an unexpected error."""

import json

import pytest
import typer

from figwalk.process_runner import FAILURE_EXIT_CODE, Process, run_process
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


def test_unexpected_error_is_one_log_line_and_an_exit_code(tmp_path, capfd):
    """Guards against a crash that leaves no line in the structured log."""
    address = Address("127.0.0.1", 1)
    path = tmp_path / "agent.yaml"
    path.write_text(dump_settings(PromptAgentSettings("agent-1", "a", "r", address, address)))
    with pytest.raises(typer.Exit) as raised:
        run_process(path, PromptAgentSettings, lambda _settings, _dropped: FailingProcess())
    assert raised.value.exit_code == FAILURE_EXIT_CODE
    lines = [json.loads(line) for line in capfd.readouterr().out.splitlines()]
    assert [line["event"] for line in lines] == ["TASK_FAILED"]
    assert "RuntimeError: out of cheese" in lines[0]["error"]
