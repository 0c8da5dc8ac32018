"""Length-prefixed frames over a byte stream.

A frame consists of 4 bytes of big-endian length, 1 byte of type and the payload. The length counts
the type byte and the payload.
"""

from __future__ import annotations

import struct
from enum import IntEnum

import attrs
import trio

from figwalk.errors import ConnectionLostError, FrameTooLargeError, MalformedFrameError
from figwalk.transport.byte_stream import RECEIVE_BYTES, ByteStream

MAX_FRAME_BYTES = 4 * 1024 * 1024
_HEADER = struct.Struct("!IB")
_LENGTH_BYTES = 4


class FrameType(IntEnum):
    """What the payload of a frame is.

    It is an encoded message, or a call id followed by body bytes of its response.
    """

    MESSAGE = 0
    DATA = 1


_FRAME_TYPES = {int(member): member for member in FrameType}


@attrs.frozen
class Frame:
    """A received frame."""

    type: FrameType
    payload: bytes


class FrameStream:
    """Sends and receives frames; several tasks may send, but only one may receive.

    Args:
        stream: Connected byte stream.
        max_frame_bytes: Larger frames are refused in both directions.
    """

    def __init__(self, stream: trio.abc.Stream, *, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._stream = stream
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        # A trio.Lock would cost six more function calls for each frame, even without contention.
        self._sending = False
        self._senders = trio.lowlevel.ParkingLot()

    def render(self, frame_type: FrameType, *parts: bytes) -> bytes:
        """Return one frame whose payload is the concatenation of the parts.

        Raises:
            FrameTooLargeError: The frame is above the limit.
        """
        length = 1 + sum(map(len, parts))
        if length > self._max_frame_bytes:
            raise FrameTooLargeError(
                f"frame of {length} bytes is above the limit of {self._max_frame_bytes}",
                remedy="send a smaller request",
            )
        return b"".join((_HEADER.pack(length, frame_type), *parts))

    async def send(self, frame_type: FrameType, *parts: bytes) -> None:
        """Render and send one frame.

        Raises:
            FrameTooLargeError: The frame is above the limit; nothing was sent.
            ConnectionLostError: The connection is lost.
        """
        await self.send_rendered(self.render(frame_type, *parts))

    async def send_rendered(self, frames: bytes) -> None:
        """Send rendered frames without frames of other tasks between them.

        Raises:
            ConnectionLostError: The connection is lost.
        """
        while self._sending:
            await self._senders.park()
        self._sending = True
        try:
            await self._stream.send_all(frames)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLostError("peer connection lost while sending") from error
        finally:
            self._sending = False
            self._senders.unpark()

    def send_now(self, stream: ByteStream, frames: bytes) -> bool:
        """Send rendered frames if that is possible without waiting; return whether they were sent.

        Raises:
            ConnectionLostError: The connection is lost, or accepted only part of the frames.
        """
        if self._sending:
            return False
        try:
            sent = stream.send_now(frames)
        except trio.BrokenResourceError as error:
            raise ConnectionLostError("peer connection lost while sending") from error
        if 0 < sent < len(frames):
            raise ConnectionLostError("the peer does not read fast enough")
        return sent > 0

    async def receive(self) -> Frame:
        """Receive one frame.

        Raises:
            ConnectionLostError: The connection ended before the end of a frame.
            FrameTooLargeError: The announced frame is above the limit.
            MalformedFrameError: The frame type is unknown or the length is zero.
        """
        if len(self._buffer) < _HEADER.size:
            await self._fill(_HEADER.size)
        length, type_number = _HEADER.unpack_from(self._buffer)
        if length > self._max_frame_bytes:
            raise FrameTooLargeError(
                f"peer announced a frame of {length} bytes, limit {self._max_frame_bytes}"
            )
        if length == 0 or type_number not in _FRAME_TYPES:
            raise MalformedFrameError(f"frame of length {length} has type {type_number}")
        end = _LENGTH_BYTES + length
        if len(self._buffer) < end:
            await self._fill(end)
        payload = bytes(self._buffer[_HEADER.size : end])
        del self._buffer[:end]
        return Frame(_FRAME_TYPES[type_number], payload)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def _fill(self, size: int) -> None:
        while len(self._buffer) < size:
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise ConnectionLostError("peer connection lost while receiving") from error
            if not data:
                raise ConnectionLostError("peer closed the connection")
            self._buffer += data
