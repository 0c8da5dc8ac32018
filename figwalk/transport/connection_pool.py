"""Persistent connections to one server, and the calls that wait for one.

Load: a burst of calls from many processes at a server that takes a millisecond to accept each new
connection. A call without an idle connection waits for whichever comes first, one that another call
gives back or a new one, and each process opens only a few at a time.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

import attrs
import trio

from figwalk.errors import HttpError

_logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 3.0
MAX_IDLE_CONNECTIONS = 64


class HttpConnectError(HttpError):
    """The request could not be sent; no byte of it left this process."""


class HttpConnectTimeoutError(HttpConnectError):
    """No connection became free or was opened in time; the server may just be busy."""


@attrs.frozen
class ConnectionOptions:
    """How connections to a server are opened and reused.

    Attributes:
        connect_timeout_s: Seconds after which a call has waited too long for a connection, and an
            attempt to open one fails.
        max_idle: Maximum number of idle connections kept open.
        max_opening: Maximum number of connections that are being opened at a time.
        idle_limit_s: Seconds without a request after which a connection is not reused, or
            None for no limit. A server that closes idle connections may do so just as the next
            request is sent. If the server states its own limit, that applies instead.
        unacknowledged_timeout_s: Seconds after which the system aborts a connection whose sent
            bytes are not acknowledged, or None for the system's default of minutes.
    """

    connect_timeout_s: float = CONNECT_TIMEOUT_S
    max_idle: int = MAX_IDLE_CONNECTIONS
    max_opening: int = MAX_IDLE_CONNECTIONS
    idle_limit_s: float | None = None
    unacknowledged_timeout_s: float | None = None


class PooledConnection(Protocol):
    """A connection that can be used for one request after the other."""

    def usable(self, idle_limit_s: float | None, request_limit_s: float | None = None) -> bool:
        """Return whether the connection is open and within the idle limits.

        Args:
            idle_limit_s: Limit for all requests, or None.
            request_limit_s: Limit for a request that must not meet a closing connection, or None.
        """

    def close(self) -> None:
        """Close it."""


Connection = TypeVar("Connection", bound=PooledConnection)


@attrs.define(eq=False)
class _Waiter(Generic[Connection]):
    done: trio.Event = attrs.field(factory=trio.Event)
    connection: Connection | None = None
    error: HttpConnectError | None = None


class ConnectionPool(Generic[Connection]):
    """Idle connections to one server, and the calls that wait for one.

    Args:
        open_connection: Opens a connection. It raises `HttpConnectError` if the server refuses it.
        address: Address of the server for error messages.
        options: How connections are opened and reused.
    """

    def __init__(
        self,
        open_connection: Callable[[], Awaitable[Connection]],
        address: str,
        options: ConnectionOptions,
    ) -> None:
        self._open_connection = open_connection
        self._address = address
        self._options = options
        self._idle: list[Connection] = []
        self._waiters: deque[_Waiter[Connection]] = deque()
        self._opening = 0
        self._opened = 0

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self._opened

    @property
    def has_idle(self) -> bool:
        """Whether a call would probably find an idle connection."""
        return bool(self._idle)

    async def check_out(self, request_limit_s: float | None = None) -> Connection:
        """Return an idle connection, or the first one that becomes idle or is opened.

        Args:
            request_limit_s: Idle limit for this request; see `PooledConnection.usable`.

        Raises:
            HttpConnectError: The server refuses connections.
            HttpConnectTimeoutError: There was no connection in time.
        """
        connection = self._take_idle(request_limit_s)
        if connection is not None:
            return connection
        waiter: _Waiter[Connection] = _Waiter()
        self._waiters.append(waiter)
        self._open_if_needed()
        try:
            with trio.move_on_after(self._options.connect_timeout_s):
                await waiter.done.wait()
        except BaseException:
            # The connection may have been handed over in the same moment.
            if waiter.connection is not None:
                self.check_in(waiter.connection)
            raise
        finally:
            if not waiter.done.is_set():
                self._waiters.remove(waiter)
        if waiter.connection is not None:
            return waiter.connection
        raise waiter.error or HttpConnectTimeoutError(
            f"cannot connect to {self._address}: no answer in time"
        )

    def check_in(self, connection: Connection) -> None:
        """Give a connection to the call that has waited longest, or keep it idle.

        Args:
            connection: A connection that is unused, or at the end of its response.
        """
        if self._waiters and connection.usable(self._options.idle_limit_s):
            waiter = self._waiters.popleft()
            waiter.connection = connection
            waiter.done.set()
            return
        self._idle.append(connection)
        limit_s = self._options.idle_limit_s
        while self._idle and not (
            len(self._idle) <= self._options.max_idle and self._idle[0].usable(limit_s)
        ):
            self._idle.pop(0).close()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take_idle(self, request_limit_s: float | None) -> Connection | None:
        """Remove and return the connection that was used last, if the request may use it."""
        limit_s = self._options.idle_limit_s
        while self._idle:
            if self._idle[-1].usable(limit_s, request_limit_s):
                return self._idle.pop()
            if self._idle[-1].usable(limit_s):
                return None  # Another request can use it.
            self._idle.pop().close()
        return None

    def _open_if_needed(self) -> None:
        while self._opening < min(self._options.max_opening, len(self._waiters)):
            self._opening += 1
            # The call that needs the connection may get another one first, and then leaves this one
            # to the next call.
            trio.lowlevel.spawn_system_task(self._open)

    async def _open(self) -> None:
        """Open a connection for the call that has waited longest, or tell it why there is none."""
        error: HttpConnectError | None = None
        try:
            with trio.move_on_after(self._options.connect_timeout_s):
                connection = await self._open_connection()
                self._opened += 1
                if connection.usable(self._options.idle_limit_s):
                    self.check_in(connection)
                else:
                    # Opening another one at once would only add load to a server that has too many.
                    connection.close()
                    error = HttpConnectError(f"{self._address} closed a new connection at once")
        except HttpConnectError as connect_error:
            error = connect_error
        except Exception as unexpected:
            # An error that leaves a system task would end the process.
            _logger.exception("An attempt to connect to %s failed unexpectedly.", self._address)
            error = HttpConnectError(f"cannot connect to {self._address}: {unexpected!r}")
        finally:
            self._opening -= 1
        if error is not None and self._waiters:
            waiter = self._waiters.popleft()
            waiter.error = error
            waiter.done.set()
        self._open_if_needed()
