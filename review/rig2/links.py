"""The links between machines: forwards connections, and cuts a machine off for some time.

Bytes that a machine has sent while it is cut off stay in its send queue and are sent again at
growing intervals, as TCP does: 0.2, 0.6, 1.4, 3.0, 6.2 s after the first time. They are lost if it
has reset the connection meanwhile, and arrive if it has only closed it. Connections that it tries
to open while it is cut off come to nothing.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from pathlib import Path

import trio

from figwalk.state.settings import Address

FIRST_RETRANSMISSION_S = 0.2

OnData = Callable[[str, bytes], None]


def find_owner(port: int, pids: dict[str, int]) -> str:
    """Return the name of the process that holds the socket with a local port, or empty."""
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        if int(words[1].rpartition(":")[2], 16) != port:
            continue
        wanted = f"socket:[{words[9]}]"
        for name, pid in pids.items():
            for entry in Path(f"/proc/{pid}/fd").iterdir():
                try:
                    if os.readlink(entry) == wanted:
                        return name
                except OSError:
                    continue
    return ""


class Links:
    """All links of one deployment.

    Args:
        pids: Returns the processes whose connections are told apart.
        on_data: Called with the sender and the bytes before they are forwarded to a server.
    """

    def __init__(self, pids: Callable[[], dict[str, int]], on_data: OnData) -> None:
        self._pids = pids
        self._on_data = on_data
        self._cut = ""
        self._cut_at = 0.0
        self._healed = trio.Event()
        self._healed_at = 0.0

    def cut(self, name: str) -> None:
        """Cut a machine off."""
        self._cut, self._cut_at = name, trio.current_time()

    def heal(self) -> None:
        """Let the machine reach the others again."""
        self._healed_at = trio.current_time()
        self._cut = ""
        self._healed.set()

    async def listen(self, target: Address, *, task_status: trio.TaskStatus[Address]) -> None:
        """Forward connections to a server; reports the address for its clients."""
        listeners = await trio.open_tcp_listeners(0, host=target.host)
        port = listeners[0].socket.getsockname()[1]
        task_status.started(Address(target.host, port))

        async def serve(client: trio.SocketStream) -> None:
            await self._serve(client, target)

        await trio.serve_listeners(serve, listeners)

    async def _serve(self, client: trio.SocketStream, target: Address) -> None:
        async with client:
            owner = find_owner(client.socket.getpeername()[1], self._pids())
            if owner and owner == self._cut:
                await self._healed.wait()
                return
            try:
                server = await trio.open_tcp_stream(target.host, target.port)
            except OSError:
                return
            async with server, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, owner, client, server, True)
                await self._pump(owner, server, client, False)
                nursery.cancel_scope.cancel()

    async def _pump(
        self, owner: str, source: trio.SocketStream, target: trio.SocketStream, to_server: bool
    ) -> None:
        try:
            while True:
                data = await source.receive_some(65536)
                sent_at = trio.current_time()
                if to_server and data:
                    self._on_data(owner, data)
                if owner and owner == self._cut:
                    await self._wait_retransmission(sent_at)
                    if _is_reset(source):
                        return
                if not data:
                    await target.send_eof()
                    return
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _wait_retransmission(self, sent_at: float) -> None:
        await self._healed.wait()
        at, interval_s = sent_at, FIRST_RETRANSMISSION_S
        while at < self._healed_at:
            at += interval_s
            interval_s *= 2
        await trio.sleep(max(0.0, at - trio.current_time()))


def _is_reset(stream: trio.SocketStream) -> bool:
    """Return whether the sender has reset a connection of which bytes are held."""
    with socket.socket(fileno=os.dup(stream.socket.fileno())) as peek:
        try:
            peek.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
    return False
