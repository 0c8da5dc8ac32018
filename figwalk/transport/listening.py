"""Opens listening sockets, with an error that names the address."""

from __future__ import annotations

import os

import trio

from figwalk.errors import ListenError


async def open_listeners(host: str, port: int, *, backlog: int) -> list[trio.SocketListener]:
    """Listen on one address.

    Raises:
        ListenError: The system refuses the address.
    """
    try:
        return await trio.open_tcp_listeners(port, host=host, backlog=backlog)
    except OSError as error:
        reason = os.strerror(error.errno) if error.errno else str(error)
        raise ListenError(
            f"can't listen on {host}:{port}: {reason}",
            remedy="end the process that holds the port, or change the address in the settings",
        ) from error


def find_listen_error(group: BaseExceptionGroup) -> ListenError | None:
    """Return the `ListenError` that ended a process, if it was one."""
    found = group.subgroup(ListenError)
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found
