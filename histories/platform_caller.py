"""A caller's connection to a gateway in the platform soak."""

from __future__ import annotations

import select
import socket
import time

import h11
import trio

from figwalk.state.settings import Address
from figwalk.timer import MS_PER_S
from histories.platform_call import CallKind, PlatformCall
from standins.platform_config import CALLER_HOST
from tests.support.forwarder import RESET_ON_CLOSE

CONNECT_TIMEOUT_S = 1.0


class CallerConnection:
    """A caller's connection to a gateway."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._connection = h11.Connection(h11.CLIENT)
        self.reusable = False

    @classmethod
    async def open(cls, address: Address) -> CallerConnection | None:
        """Connect, or return None if that does not succeed within a second."""
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                return cls(await trio.open_tcp_stream(address.host, address.port))
            except OSError:
                return None
        return None

    @property
    def is_open(self) -> bool:
        """Whether the gateway has not closed the connection; it sends nothing between answers."""
        descriptor = self._stream.socket.fileno()
        return descriptor >= 0 and not select.select([descriptor], [], [], 0)[0]

    def close(self, *, reset: bool) -> None:
        """Close or reset the connection, also while a call is on it."""
        if self._stream.socket.fileno() < 0:
            return
        if reset:
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._stream.socket.close()

    async def exchange(self, call: PlatformCall) -> None:
        """Send a call and note its answer."""
        self.reusable = False
        headers = [
            ("host", CALLER_HOST),
            ("request-id", call.call_id),
            ("deadline-ms", str(int(call.patience_s * MS_PER_S))),
        ]
        if call.key:
            headers += [("x-api-key", call.key), ("tenant", "forged")]
        if call.kind.is_stream:
            tokens = sum(int(part.partition(":")[2]) for part in call.prompt.split(","))
            headers += [("prefix-hash", call.prompt), ("token-counts", f"{tokens},{call.events}")]
        if call.resumes:
            headers += [("last-event-id", str(call.after)), ("resumes", call.resumes)]
        method = "GET" if call.kind is CallKind.CHECK else "POST"
        if method == "POST":
            headers.append(("content-length", "0"))
        request = h11.Request(method=method, target=call.target, headers=headers)
        try:
            if self._connection.our_state is h11.DONE:
                self._connection.start_next_cycle()
            await self._stream.send_all(self._connection.send(request))
            self._connection.send(h11.EndOfMessage())
            await self._receive(call)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            return  # The call keeps what has arrived; it is not whole.

    async def _receive(self, call: PlatformCall) -> None:
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                self._connection.receive_data(await self._stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                call.status = event.status_code
                call.began_at = time.time()
                headers = dict(event.headers)
                call.echoed_id = headers.get(b"request-id", b"").decode()
                call.signed = b"server-stamp" in headers
            elif isinstance(event, h11.Data):
                call.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                call.whole = True
                self.reusable = self._connection.their_state is h11.DONE
                return
            else:
                return
