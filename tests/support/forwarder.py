"""A TCP forwarder that a test puts between two processes to disturb their connections."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from enum import Enum

import attrs
import trio

from figwalk.state.settings import Address

RECEIVE_BYTES = 65536
QUEUED_PARTS = 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(Enum):
    """Which way bytes go."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


class Mode(Enum):
    """What happens to bytes of one direction."""

    FORWARD = "forward"
    HOLD = "hold"
    DROP = "drop"


@attrs.define
class Link:
    """State of one direction, for all connections.

    Attributes:
        mode: What happens to bytes.
        delay_s: Seconds that bytes are delivered later.
        received_bytes: Bytes that arrived since the start.
        forwarded_bytes: Bytes that were passed on since the start.
    """

    mode: Mode = Mode.FORWARD
    delay_s: float = 0.0
    received_bytes: int = 0
    forwarded_bytes: int = 0


class Forwarder:
    """Forwards connections to one server and listens on the server's host.

    Run it with `address = await nursery.start(forwarder.run)`. The settings of a direction apply
    to the connections that are open and to later ones.

    Args:
        target: Address of the server.
        port: Port to listen at, or 0 for any free one.
    """

    def __init__(self, target: Address, *, port: int = 0) -> None:
        self._target = target
        self._port = port
        self._links = {direction: Link() for direction in Direction}
        self._connections: dict[trio.CancelScope, _Connection] = {}
        self._refusing = False
        self._changed = trio.Event()

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    async def run(
        self, *, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen and forward until cancelled; reports the address when started."""
        listeners = await trio.open_tcp_listeners(self._port, host=self._target.host)
        task_status.started(Address(*listeners[0].socket.getsockname()[:2]))
        await trio.serve_listeners(self._serve, listeners)

    def hold(self, *directions: Direction) -> None:
        """Keep back the bytes of the directions, or of both, until `forward`."""
        self._set_mode(Mode.HOLD, directions)

    def hold_connections(self, choose: Callable[[], bool]) -> None:
        """Keep back the bytes to the server of some open connections until `forward`.

        Args:
            choose: Called for each connection; returns whether it is held.
        """
        for connection in self._connections.values():
            connection.held = choose()

    def drop(self, *directions: Direction) -> None:
        """Discard the bytes of the directions, or of both, until `forward`."""
        self._set_mode(Mode.DROP, directions)

    def forward(self, *directions: Direction) -> None:
        """Forward the bytes of the directions, or of both, and accept connections again."""
        self._refusing = False
        for connection in self._connections.values():
            connection.held = False
        self._set_mode(Mode.FORWARD, directions)

    def delay(self, seconds: float, *directions: Direction) -> None:
        """Deliver the bytes of the directions, or of both, this much later."""
        for direction in directions or Direction:
            self._links[direction].delay_s = seconds

    def half_close(self, direction: Direction) -> None:
        """End one direction of all open connections; the other one stays open."""
        for connection in self._connections.values():
            connection.half_close(direction)
        self._wake()

    def cut(self, *, refuse: bool = False) -> None:
        """Reset all open connections.

        Args:
            refuse: Also reset new connections until `forward`.
        """
        self._refusing = refuse
        for scope in self._connections:
            scope.cancel()

    def cut_newest(self) -> None:
        """Reset the connection that was opened last."""
        list(self._connections)[-1].cancel()

    def link(self, direction: Direction) -> Link:
        """Return the state of a direction."""
        return self._links[direction]

    async def wait_received(self, direction: Direction, size: int) -> None:
        """Wait until at least `size` bytes have arrived since the start, forwarded or not."""
        while self._links[direction].received_bytes < size:
            await self._changed.wait()

    async def wait_forwarded(self, direction: Direction, size: int) -> None:
        """Wait until at least `size` bytes have been forwarded since the start."""
        while self._links[direction].forwarded_bytes < size:
            await self._changed.wait()

    async def wait_connections(self, count: int) -> None:
        """Wait until exactly `count` connections are open."""
        while self.connections != count:
            await self._changed.wait()

    def _set_mode(self, mode: Mode, directions: tuple[Direction, ...]) -> None:
        for direction in directions or Direction:
            self._links[direction].mode = mode
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _serve(self, client: trio.SocketStream) -> None:
        if self._refusing:
            _reset(client)
            return
        try:
            server = await trio.open_tcp_stream(self._target.host, self._target.port)
        except OSError:
            _reset(client)
            return
        connection = _Connection(client, server)
        with trio.CancelScope() as scope:
            self._connections[scope] = connection
            self._wake()
            try:
                async with trio.open_nursery() as nursery:
                    for direction in Direction:
                        nursery.start_soon(self._forward, connection, direction, scope)
            finally:
                del self._connections[scope]
                self._wake()
                connection.close(reset=scope.cancel_called)

    async def _forward(
        self, connection: _Connection, direction: Direction, scope: trio.CancelScope
    ) -> None:
        send, receive = trio.open_memory_channel[tuple[float, bytes]](QUEUED_PARTS)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, connection, direction, send)
                await self._deliver(connection, direction, receive)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()

    async def _receive(
        self,
        connection: _Connection,
        direction: Direction,
        send: trio.MemorySendChannel[tuple[float, bytes]],
    ) -> None:
        link = self._links[direction]
        async with send:
            async for data in connection.source(direction):
                await send.send((trio.current_time() + link.delay_s, data))
                link.received_bytes += len(data)
                self._wake()

    async def _deliver(
        self,
        connection: _Connection,
        direction: Direction,
        receive: trio.MemoryReceiveChannel[tuple[float, bytes]],
    ) -> None:
        link = self._links[direction]
        async for due, data in receive:
            await trio.sleep_until(due)
            await self._wait_released(connection, direction)
            if link.mode is Mode.FORWARD and connection.is_open(direction):
                await connection.sink(direction).send_all(data)
                link.forwarded_bytes += len(data)
                self._wake()
        await self._wait_released(connection, direction)
        connection.half_close(direction)

    async def _wait_released(self, connection: _Connection, direction: Direction) -> None:
        while self._is_held(connection, direction) and connection.is_open(direction):
            await self._changed.wait()

    def _is_held(self, connection: _Connection, direction: Direction) -> bool:
        held = connection.held and direction is Direction.TO_SERVER
        return held or self._links[direction].mode is Mode.HOLD


class _Connection:
    """A connection from a client and the one to the server that belongs to it."""

    def __init__(self, client: trio.SocketStream, server: trio.SocketStream) -> None:
        self._client = client
        self._server = server
        self._closed: set[Direction] = set()
        self.held = False

    def source(self, direction: Direction) -> trio.SocketStream:
        return self._client if direction is Direction.TO_SERVER else self._server

    def sink(self, direction: Direction) -> trio.SocketStream:
        return self._server if direction is Direction.TO_SERVER else self._client

    def is_open(self, direction: Direction) -> bool:
        return direction not in self._closed

    def half_close(self, direction: Direction) -> None:
        if self.is_open(direction):
            self._closed.add(direction)
            try:
                self.sink(direction).socket.shutdown(socket.SHUT_WR)
            except OSError:
                return  # The receiver has closed the connection already.

    def close(self, *, reset: bool) -> None:
        for stream in (self._client, self._server):
            if reset:
                _reset(stream)
            else:
                stream.socket.close()


def _reset(stream: trio.SocketStream) -> None:
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    stream.socket.close()
