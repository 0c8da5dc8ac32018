"""A connected socket whose reads and writes bypass the scheduler if the kernel is ready."""

from __future__ import annotations

import errno
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

    The kernel reports an error of a connection only once, to a write or to a read. If a write gets
    it, the reads after the received bytes would return what looks like the end of the stream. They
    raise `BrokenResourceError` instead.

    Args:
        stream: Connected socket.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._reads_without_yield = 0
        self._buffer_empty = False
        self._broken = False

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
        if sent == len(data):
            return
        try:
            await self._stream.send_all(memoryview(data)[sent:])
        except trio.BrokenResourceError as error:
            if isinstance(error.__cause__, OSError):
                self._record_write_error(error.__cause__)
            raise

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
            self._record_write_error(error)
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
                data = self._read(max_bytes)
            except BlockingIOError:
                await self._wait_readable()
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
            return self._read(max_bytes)
        except BlockingIOError:
            return None

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the connection accepts bytes."""
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def close(self) -> None:
        """Close the connection immediately."""
        self.socket.close()

    def _read(self, max_bytes: int) -> bytes:
        try:
            data = os.read(self.socket.fileno(), max_bytes)
        except BlockingIOError:
            raise
        except OSError as error:
            self._broken = True
            raise trio.BrokenResourceError from error
        if not data and self._broken:
            raise trio.BrokenResourceError("the connection was lost before the end of the stream")
        return data

    def _record_write_error(self, error: OSError) -> None:
        # A write fails with EPIPE if the peer had ended its stream before the connection was lost,
        # so that the end that a read then finds is genuine.
        if error.errno != errno.EPIPE:
            self._broken = True

    async def _wait_readable(self) -> None:
        self._reads_without_yield = 0
        try:
            await trio.lowlevel.wait_readable(self.socket)
        except (OSError, ValueError) as error:
            raise trio.BrokenResourceError from error
