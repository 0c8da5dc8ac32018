import errno
import socket
import subprocess
import sys

import pytest
import trio
from agent_fakes import HOST

from figwalk.state.settings import (
    Address,
    AgentSettings,
    BackendSettings,
    EntrySettings,
    PlatformSettings,
)
from figwalk.state.settings_file import dump_settings
from figwalk.transport.listening import (
    accept_connections,
    open_listeners,
    refuses_connections,
)

FREE, CLOSED = Address(HOST, 0), Address(HOST, 1)


@pytest.mark.parametrize("name", ["callers", "peers", "admin", "health"])
def test_port_in_use_ends_the_process_with_one_line(tmp_path, name):
    """Guards against a traceback when an operator starts a process twice."""
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


class PassCounter(trio.abc.Instrument):
    """Counts scheduler passes."""

    def __init__(self):
        self.passes = 0

    def before_io_wait(self, timeout):
        """Count one scheduler pass."""
        self.passes += 1


def test_pending_connections_are_accepted_in_few_passes():
    """Guards against accepting only one connection in each pass of a busy scheduler."""
    waiting = 40

    async def main():
        counter = PassCounter()
        accepted = []
        done = trio.Event()

        async def handle(stream, _accepted_at):
            accepted.append(stream)
            if len(accepted) == waiting:
                done.set()

        listener = (await open_listeners("127.0.0.1", 0, backlog=64))[0]
        address = listener.socket.getsockname()
        clients = [socket.create_connection(address) for _ in range(waiting)]
        async with trio.open_nursery() as nursery:
            trio.lowlevel.add_instrument(counter)
            nursery.start_soon(accept_connections, handle, listener, nursery)
            await done.wait()
            nursery.cancel_scope.cancel()
        assert counter.passes < waiting / 4
        for client in [*clients, *accepted]:
            await client.aclose() if isinstance(client, trio.SocketStream) else client.close()

    trio.run(main)


def test_check_of_a_port_without_a_free_descriptor_is_no_refusal(monkeypatch):
    """Guards against a gateway that ends because it can't open a socket for a check."""

    def fail(_family):
        raise OSError(errno.EMFILE, "Too many open files")

    async def main():
        monkeypatch.setattr(trio.socket, "socket", fail)
        assert not await refuses_connections(HOST, 1, timeout_s=5.0)

    trio.run(main)
