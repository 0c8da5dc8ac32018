"""Listens on the agent's peer port and dispatches connections to the control and call servers."""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable, Callable

import trio

from figwalk.agent.call_connection import CallConnection
from figwalk.errors import FrameTooLargeError, MalformedFrameError, TransportError
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import ConnectionKind, Hello
from figwalk.state.settings import Address
from figwalk.transport.byte_stream import ByteStream

HELLO_TIMEOUT_S = 5.0
BIND_RETRY_S = 0.2
LISTEN_BACKLOG = 1024
MAX_CONNECTIONS = 4096
# The kernel closes a connection whose peer acknowledges no data for this long.
UNACKNOWLEDGED_LIMIT_MS = 10_000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2

ConnectionHandler = Callable[[CallConnection, Hello], Awaitable[None]]


async def bind_peer_port(address: Address, events: EventLog) -> trio.SocketListener:
    """Bind the peer port; wait while another process has it.

    A paused previous agent process still has the port, and two agents of one backend server could
    send it conflicting orders. So SO_REUSEPORT, with which both could listen, is never set.
    """
    waiting = False
    while True:
        try:
            listeners = await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=LISTEN_BACKLOG
            )
            return listeners[0]
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
        if not waiting:
            events.record(Event.PEER_PORT_TAKEN, address=address)
            waiting = True
        await trio.sleep(BIND_RETRY_S)


class PeerServer:
    """Accepts connections of entries and passes them to the handler of their kind.

    Args:
        events: Event log.
        make_hello: Returns the agent's `Hello` for a kind of connection.
        handlers: Handler of each kind of connection.
    """

    def __init__(
        self,
        events: EventLog,
        *,
        make_hello: Callable[[ConnectionKind], Hello],
        handlers: dict[ConnectionKind, ConnectionHandler],
    ) -> None:
        self._events = events
        self._make_hello = make_hello
        self._handlers = handlers
        self._connections = 0

    async def serve(
        self,
        listener: trio.SocketListener,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept and serve connections until cancelled."""
        await trio.serve_listeners(
            self._serve_connection, [listener], task_status=_StartedAdapter(task_status)
        )

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        if self._connections >= MAX_CONNECTIONS:
            self._events.record(Event.HTTP_TOO_MANY_CONNECTIONS, limit=MAX_CONNECTIONS)
            await trio.aclose_forcefully(stream)
            return
        self._connections += 1
        try:
            _set_keepalive(stream)
            await self._handshake_and_serve(CallConnection(ByteStream(stream)))
        except (MalformedFrameError, FrameTooLargeError) as error:
            self._events.record(Event.PEER_FRAME_REJECTED, error=error.message)
        except (TransportError, OSError):
            pass
        except Exception as error:
            # An unexpected error closes only the connection on which it occurred.
            self._events.record(Event.TASK_FAILED, task="peer connection", error=repr(error))
        finally:
            self._connections -= 1
            await trio.aclose_forcefully(stream)

    async def _handshake_and_serve(self, connection: CallConnection) -> None:
        with trio.move_on_after(HELLO_TIMEOUT_S) as scope:
            hello = await connection.receive_hello()
            handler = self._handlers.get(hello.kind)
            if handler is None:
                raise MalformedFrameError(f"an agent has no {hello.kind} connections")
            self._events.clock.observe(hello.clock)
            await connection.send(self._make_hello(hello.kind))
        if not scope.cancelled_caught:
            await handler(connection, hello)


class _StartedAdapter:
    """Task status that discards the value with which `trio.serve_listeners` reports its start."""

    def __init__(self, task_status: trio.TaskStatus[None]) -> None:
        self._task_status = task_status

    def started(self, _listeners: object) -> None:
        self._task_status.started()


def _set_keepalive(stream: trio.SocketStream) -> None:
    """Let the kernel detect a peer that has disappeared without closing the connection."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
