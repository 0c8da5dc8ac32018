"""A connected socket whose reads and writes bypass the scheduler if the kernel is ready."""

from __future__ import annotations

import os

import trio

RECEIVE_BYTES = 65536
# Keeps a peer that always has data ready from starving the other tasks.
MAX_READS_WITHOUT_YIELD = 16


class ByteStream(trio.abc.Stream):
    """Sends and receives on a connected socket.

    `trio.SocketStream` runs the scheduler once in each call, which costs about as much as the
    system call. This class waits only if the kernel has no data, or if the last read took all of
    it.

    Args:
        stream: Connected socket.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._reads_without_yield = 0
        self._buffer_empty = False

    @property
    def socket(self) -> trio.socket.SocketType:
        """The underlying socket."""
        return self._stream.socket

    async def send_all(self, data: bytes) -> None:
        """Send all bytes.

        Raises:
            BrokenResourceError: The connection is lost.
        """
        sent = self.send_now(data)
        if sent < len(data):
            await self._stream.send_all(memoryview(data)[sent:])

    def send_now(self, data: bytes) -> int:
        """Send what the kernel accepts without waiting; return the number of bytes sent.

        Raises:
            BrokenResourceError: The connection is lost.
        """
        try:
            return os.write(self.socket.fileno(), data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise trio.BrokenResourceError from error

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive the available bytes: at least one, or none at the end of the stream.

        Raises:
            BrokenResourceError: The connection is lost.
        """
        max_bytes = max_bytes or RECEIVE_BYTES
        if self._buffer_empty:
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
                # A short read took all available bytes, so another one would usually fail.
                self._buffer_empty = len(data) < max_bytes
                self._reads_without_yield += 1
                return data

    def receive_now(self, max_bytes: int = RECEIVE_BYTES) -> bytes | None:
        """Receive without waiting; return None without data, and no bytes at the end of the stream.

        Raises:
            BrokenResourceError: The connection is lost.
        """
        try:
            return os.read(self.socket.fileno(), max_bytes)
        except BlockingIOError:
            return None
        except OSError as error:
            raise trio.BrokenResourceError from error

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the connection accepts bytes."""
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def close(self) -> None:
        """Close the connection immediately."""
        self.socket.close()

    async def _wait_readable(self) -> None:
        self._reads_without_yield = 0
        try:
            await trio.lowlevel.wait_readable(self.socket)
        except (OSError, ValueError) as error:
            raise trio.BrokenResourceError from error
