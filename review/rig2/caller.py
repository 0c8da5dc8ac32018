"""A caller that keeps its connection open for many requests, as the sheets' callers do."""

from __future__ import annotations

import h11
import trio

from figwalk.state.settings import Address
from standins.platform_config import CALLER_HOST

CONNECT_TIMEOUT_S = 1.0


class Exchange:
    """One request and what came back.

    Attributes:
        call_id: Its `Request-Id`.
        kept: Whether it was sent on a connection that had been used before.
        status: Status of the answer, or 0 without one.
        headers: Headers of the answer.
        body: Body of the answer, as far as it arrived.
        complete: Whether the answer arrived to its end.
        closed: Whether the connection ended before that.
    """

    def __init__(self, call_id: str, *, kept: bool) -> None:
        self.call_id = call_id
        self.kept = kept
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.closed = False


class Caller:
    """A caller of one gateway.

    Args:
        address: The gateway.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._stream: trio.SocketStream | None = None
        self._connection = h11.Connection(h11.CLIENT)
        self._used = False

    async def send(
        self,
        call_id: str,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        *,
        timeout_s: float,
    ) -> Exchange | None:
        """Send a request and receive its answer; return None if no connection is to be had."""
        if self._stream is None and not await self._connect():
            return None
        exchange = Exchange(call_id, kept=self._used)
        fields = {"Host": CALLER_HOST, "Request-Id": call_id, "Content-Length": str(len(body))}
        fields |= headers or {}
        request = h11.Request(method=method, target=target, headers=list(fields.items()))
        try:
            with trio.fail_after(timeout_s):
                data = self._connection.send(request) or b""
                data += self._connection.send(h11.Data(data=body)) if body else b""
                data += self._connection.send(h11.EndOfMessage()) or b""
                await self._stream.send_all(data)
                await self._receive(exchange)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            exchange.closed = True
        except trio.TooSlowError:
            pass
        self._used = True
        if exchange.complete and self._connection.their_state is h11.DONE:
            self._connection.start_next_cycle()
        else:
            await self.close()
        return exchange

    async def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            await trio.aclose_forcefully(self._stream)
        self._stream = None

    async def _connect(self) -> bool:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                self._stream = await trio.open_tcp_stream(self._address.host, self._address.port)
        except (OSError, trio.TooSlowError):
            return False
        self._connection, self._used = h11.Connection(h11.CLIENT), False
        return True

    async def _receive(self, exchange: Exchange) -> None:
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                self._connection.receive_data(await self._stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                exchange.status = event.status_code
                exchange.headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
            elif isinstance(event, h11.Data):
                exchange.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                exchange.complete = True
                return
            else:
                exchange.closed = True
                return
