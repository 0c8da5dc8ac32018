"""Opens listening sockets and accepts connections on them."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Awaitable, Callable
from enum import Enum

import trio

from figwalk.errors import ListenError

# Connections accepted before other tasks run.
MAX_ACCEPTED_AT_ONCE = 64
# Wait for other connections to close when no file descriptor is free.
NO_DESCRIPTOR_PAUSE_S = 0.1
_NO_DESCRIPTOR_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# A timeout that fires later than this was delayed by a pause of this process.
MAX_PROBE_DELAY_S = 0.25


class PortState(Enum):
    """What an attempt to connect to a port of a VM shows."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"  # The VM states that no process listens.
    SILENT = "silent"  # The VM does not answer.
    UNKNOWN = "unknown"  # Nothing follows from the attempt.

    @property
    def is_away(self) -> bool:
        """Whether no process can be reached there."""
        return self in (PortState.REFUSES, PortState.SILENT)


async def open_listeners(host: str, port: int, *, backlog: int) -> list[trio.SocketListener]:
    """Listen on one address.

    Raises:
        ListenError: The system refuses the address; the message contains it and the reason.
    """
    try:
        return await trio.open_tcp_listeners(port, host=host, backlog=backlog)
    except OSError as error:
        reason = os.strerror(error.errno) if error.errno else str(error)
        raise ListenError(
            f"can't listen on {host}:{port}: {reason}",
            remedy="end the process that holds the port, or change the address in the settings",
        ) from error


async def refuses_connections(host: str, port: int, *, timeout_s: float) -> bool:
    """Return whether a VM states that no process listens on one of its ports.

    Args:
        host: IP address of the VM.
        port: TCP port.
        timeout_s: Seconds to wait for the VM; silence is not a refusal.
    """
    return await probe_port(host, port, timeout_s=timeout_s) is PortState.REFUSES


async def probe_port(host: str, port: int, *, timeout_s: float) -> PortState:
    """Return what an attempt to connect to a port of a VM shows.

    Args:
        host: IP address of the VM.
        port: TCP port.
        timeout_s: Seconds to wait for the VM.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    started_at = trio.current_time()
    try:
        with trio.socket.socket(family) as probe, trio.move_on_after(timeout_s):
            await probe.connect((host, port))
            return PortState.ACCEPTS
    except ConnectionRefusedError:
        return PortState.REFUSES
    except OSError as error:
        # Others are faults of this VM, such as no free file descriptor.
        return PortState.SILENT if error.errno == errno.EHOSTUNREACH else PortState.UNKNOWN
    is_late = trio.current_time() - started_at > timeout_s + MAX_PROBE_DELAY_S
    return PortState.UNKNOWN if is_late else PortState.SILENT


async def accept_connections(
    handler: Callable[[trio.SocketStream, float], Awaitable[None]],
    listener: trio.SocketListener,
    nursery: trio.Nursery,
    wait_for_room: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Accept connections until the listener is closed, and handle each in a task.

    `trio.serve_listeners` accepts one connection in each pass of the scheduler. In a busy process
    a pass takes tens of milliseconds, and clients then time out before they are accepted.

    Args:
        handler: Handles a connection and closes it; gets the time of trio's clock at which it was
            accepted.
        listener: Listening socket.
        nursery: Nursery in which handlers run.
        wait_for_room: Awaited before connections are accepted; they wait in the kernel meanwhile.

    Raises:
        ClosedResourceError: The listener was closed.
    """
    listening_socket = socket.socket(fileno=listener.socket.fileno())
    try:
        while True:
            await trio.lowlevel.wait_readable(listener.socket)
            if wait_for_room is not None:
                await wait_for_room()
                if listener.socket.fileno() < 0:
                    raise trio.ClosedResourceError("the listener was closed meanwhile")
            for _ in range(MAX_ACCEPTED_AT_ONCE):
                try:
                    client, _address = listening_socket.accept()
                except BlockingIOError:
                    break
                except OSError as error:
                    if error.errno in _NO_DESCRIPTOR_ERRORS:
                        await trio.sleep(NO_DESCRIPTOR_PAUSE_S)
                        break
                    continue  # The client closed the connection before it was accepted.
                client.setblocking(False)
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(client))
                nursery.start_soon(handler, stream, trio.current_time())
    finally:
        listening_socket.detach()


def find_listen_error(group: BaseExceptionGroup) -> ListenError | None:
    """Return the first `ListenError` in an exception group, or None."""
    found = group.subgroup(ListenError)
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found
