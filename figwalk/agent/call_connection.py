"""A peer connection that can collect frames and send them with one write."""

from __future__ import annotations

from figwalk.protocol.messages import Message
from figwalk.protocol.peer_connection import PeerConnection
from figwalk.transport.byte_stream import ByteStream


class CallConnection(PeerConnection):
    """Peer connection that can also collect frames until `flush`.

    With one write for the head, the body and the end of a short answer, the call takes the agent
    about a third less CPU time than with three writes.

    Args:
        stream: Connected socket.
    """

    def __init__(self, stream: ByteStream) -> None:
        super().__init__(stream)
        self._collected: list[bytes] = []
        self._writing = False

    @property
    def write_incomplete(self) -> bool:
        """Whether an incomplete flush may have sent a partial frame, so that none can follow."""
        return self._writing

    def collect(self, message: Message) -> None:
        """Add a message to the next flush.

        Raises:
            FrameTooLargeError: The message exceeds the size limit and was not added.
        """
        self._collected.append(self.render(message))

    def collect_data(self, call_id: int, data: bytes) -> None:
        """Add body bytes of an answer to the next flush.

        Raises:
            FrameTooLargeError: The data exceed the size limit and were not added.
        """
        self._collected.append(self.render_data(call_id, data))

    async def flush(self) -> None:
        """Send the collected frames.

        Raises:
            ConnectionLostError: The connection is lost.
        """
        frames = b"".join(self._collected)
        self._collected.clear()
        self._writing = True
        await self.send_rendered(frames)
        self._writing = False
