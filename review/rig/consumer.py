"""A consumer's channel to a gateway."""

from __future__ import annotations

import asyncio

from rig.http import Message, read_body, read_head, render_request

CONNECT_TIMEOUT_S = 1.0


class Channel:
    """A kept connection to a gateway, for one request at a time.

    Args:
        front: Address of the gateway for consumers.
    """

    def __init__(self, front: tuple[str, int]) -> None:
        self._front = front
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, as far as is known."""
        return self._writer is not None

    async def open(self) -> None:
        """Open the connection."""
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(*self._front, limit=2**20), CONNECT_TIMEOUT_S
        )

    async def ask(
        self, method: str, target: str, host: str, headers: dict[str, str], body: bytes = b""
    ) -> Message:
        """Send a request and return the complete answer.

        Raises:
            ConnectionError: There was no complete answer.
        """
        if not self.is_open:
            try:
                await self.open()
            except (OSError, TimeoutError) as error:
                raise ConnectionError("no connection") from error
        try:
            self._writer.write(render_request(method, target, host, headers, body))
            await self._writer.drain()
            answer = await self._receive()
        except (OSError, asyncio.IncompleteReadError, ConnectionError) as error:
            self.close()
            raise ConnectionError(f"no complete answer: {error!r}") from error
        except BaseException:
            self.close()
            raise
        if answer.header("connection").lower() == "close":
            self.close()
        return answer

    async def _receive(self) -> Message:
        answer = await read_head(self._reader)
        if answer is None:
            raise ConnectionError("closed without an answer")
        answer.body = await read_body(self._reader, answer)
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None
