import socket
import subprocess
import sys

import pytest
from agent_fakes import HOST

from figwalk.state.settings import (
    Address,
    AgentSettings,
    BackendSettings,
    EntrySettings,
    PlatformSettings,
)
from figwalk.state.settings_file import dump_settings

FREE, CLOSED = Address(HOST, 0), Address(HOST, 1)


@pytest.mark.parametrize("name", ["callers", "peers", "admin", "health"])
def test_taken_port_ends_the_process_with_one_line(tmp_path, name):
    """Guards against a traceback for an operator who starts a process twice."""
    with socket.create_server((HOST, 0)) as holder:
        taken = Address(*holder.getsockname())
        if name == "health":
            module = "figwalk.agent.main"
            backend = BackendSettings("depot-1", "depot", "plain", CLOSED)
            settings = AgentSettings("agent-1", "z", "r", FREE, taken, backend)
        else:
            module = "figwalk.entry.main"
            addresses = {"callers": FREE, "peers": FREE, "admin": FREE, name: taken}
            platform = PlatformSettings(CLOSED, CLOSED)
            settings = EntrySettings(
                "entry-1", "z", "r", platform=platform, admin_token="secret", **addresses
            )
        path = tmp_path / "settings.yaml"
        path.write_text(dump_settings(settings))
        ended = subprocess.run(
            [sys.executable, "-m", module, str(path)], capture_output=True, text=True, timeout=60
        )
    assert ended.returncode == 1
    lines = [line for line in ended.stderr.splitlines() if not line.startswith("{")]
    assert len(lines) == 1
    assert f"can't listen on {taken}" in lines[0]
