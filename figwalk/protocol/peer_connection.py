"""A connection between two figwalk processes for messages and response bodies."""

from __future__ import annotations

import struct

import attrs
import trio

from figwalk.errors import MalformedFrameError
from figwalk.protocol.codec import decode_message, encode_message
from figwalk.protocol.messages import Hello, Message
from figwalk.transport.byte_stream import ByteStream
from figwalk.transport.frame_stream import FrameStream, FrameType

CONNECT_TIMEOUT_S = 3.0
_CALL_ID = struct.Struct("!Q")


@attrs.frozen
class AnswerData:
    """Body bytes of a response.

    Attributes:
        call_id: Call that the response belongs to.
        data: Bytes in the order in which the backend server sent them.
    """

    call_id: int
    data: bytes


class PeerConnection:
    """Sends and receives messages; several tasks may send, but only one may receive."""

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._frames = FrameStream(stream)

    @property
    def alive(self) -> bool:
        """Whether an idle connection is usable: the peer has neither closed it nor sent data."""
        return not self._stream.socket.is_readable()

    @property
    def closed(self) -> bool:
        """Whether this side has closed the connection."""
        return self._stream.socket.fileno() < 0

    @classmethod
    async def connect(cls, host: str, port: int, hello: Hello) -> tuple[PeerConnection, Hello]:
        """Connect to a peer and exchange `Hello`.

        Raises:
            OSError: The peer did not accept the connection or send its `Hello` in time.
            TransportError: The connection was lost, or the peer does not use this protocol.
        """
        with trio.move_on_after(CONNECT_TIMEOUT_S) as scope:
            stream = await trio.open_tcp_stream(host, port)
            connection = cls(ByteStream(stream))
            try:
                await connection.send(hello)
                return connection, await connection.receive_hello()
            except BaseException:
                await trio.aclose_forcefully(stream)
                raise
        assert scope.cancelled_caught
        raise TimeoutError(f"peer {host}:{port} did not answer within {CONNECT_TIMEOUT_S} s")

    def render(self, message: Message) -> bytes:
        """Return a message as a frame."""
        return self._frames.render(FrameType.MESSAGE, encode_message(message))

    def render_data(self, call_id: int, data: bytes) -> bytes:
        """Return body bytes of a response as a frame."""
        return self._frames.render(FrameType.DATA, _CALL_ID.pack(call_id), data)

    async def send(self, message: Message) -> None:
        """Send a message."""
        await self._frames.send_rendered(self.render(message))

    async def send_data(self, call_id: int, data: bytes) -> None:
        """Send body bytes of a response."""
        await self._frames.send_rendered(self.render_data(call_id, data))

    async def send_rendered(self, frames: bytes) -> None:
        """Send frames that `render` or `render_data` returned."""
        await self._frames.send_rendered(frames)

    def send_now(self, frames: bytes) -> bool:
        """Send frames if that is possible without waiting; return whether they were sent.

        Raises:
            ConnectionLostError: The connection is lost, or accepted only part of the frames.
        """
        return self._frames.send_now(self._stream, frames)

    async def receive(self) -> Message | AnswerData:
        """Receive the next message or the next body bytes of a response.

        Raises:
            TransportError: The connection is lost or the peer violated the protocol.
        """
        frame = await self._frames.receive()
        if frame.type is FrameType.MESSAGE:
            return decode_message(frame.payload)
        if len(frame.payload) < _CALL_ID.size:
            raise MalformedFrameError("data frame is shorter than its call id")
        return AnswerData(_CALL_ID.unpack_from(frame.payload)[0], frame.payload[_CALL_ID.size :])

    async def receive_hello(self) -> Hello:
        """Receive the peer's first message.

        Raises:
            TransportError: The connection is lost or the peer violated the protocol.
            MalformedFrameError: The first message is not `Hello`.
        """
        message = await self.receive()
        if not isinstance(message, Hello):
            raise MalformedFrameError(f"expected Hello, received {type(message).__name__}")
        return message

    async def aclose(self) -> None:
        """Close the connection."""
        await self._frames.aclose()

    def close(self) -> None:
        """Close the connection immediately."""
        self._stream.socket.close()
