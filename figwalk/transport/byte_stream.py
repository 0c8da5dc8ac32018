"""A connected socket whose reads and writes skip the scheduler when the kernel is ready."""

from __future__ import annotations

import os

import trio

RECEIVE_BYTES = 65536
# A peer that always has data ready must not keep the other tasks waiting.
MAX_READS_WITHOUT_YIELD = 16


class ByteStream(trio.abc.Stream):
    """Sends and receives on a connected socket.

    `trio.SocketStream` passes the scheduler once for each call, which costs about as much as the
    system call. This class waits only if the kernel has nothing, or had nothing left at the last
    read.

    Args:
        stream: Connected socket.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._reads_without_yield = 0
        self._drained = False

    @property
    def socket(self) -> trio.socket.SocketType:
        """The socket."""
        return self._stream.socket

    async def send_all(self, data: bytes) -> None:
        """Send all bytes.

        Raises:
            BrokenResourceError: The connection is gone.
        """
        sent = self.send_now(data)
        if sent < len(data):
            await self._stream.send_all(memoryview(data)[sent:])

    def send_now(self, data: bytes) -> int:
        """Send what the kernel takes at once; return how many bytes that were.

        Raises:
            BrokenResourceError: The connection is gone.
        """
        try:
            return os.write(self.socket.fileno(), data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise trio.BrokenResourceError from error

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive the bytes that are there, at least one, or none at the end of the stream.

        Raises:
            BrokenResourceError: The connection is gone.
        """
        max_bytes = max_bytes or RECEIVE_BYTES
        if self._drained:
            await self._wait_readable()
        elif self._reads_without_yield >= MAX_READS_WITHOUT_YIELD:
            self._reads_without_yield = 0
            await trio.lowlevel.checkpoint()
        while True:
            try:
                data = os.read(self.socket.fileno(), max_bytes)
            except BlockingIOError:
                await self._wait_readable()
            except OSError as error:
                raise trio.BrokenResourceError from error
            else:
                # A short read took all that was there, so that another one would mostly fail.
                self._drained = len(data) < max_bytes
                self._reads_without_yield += 1
                return data

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the connection takes bytes."""
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def close(self) -> None:
        """Close the connection at once, without waiting."""
        self.socket.close()

    async def _wait_readable(self) -> None:
        self._reads_without_yield = 0
        try:
            await trio.lowlevel.wait_readable(self.socket)
        except (OSError, ValueError) as error:
            raise trio.BrokenResourceError from error
