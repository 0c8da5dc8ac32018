"""Relayed reads over a gateway's connection to one agent."""

from __future__ import annotations

import itertools

import trio

from figwalk.coordination.compacted_log import KeyedPage, KeyedRecord
from figwalk.errors import LogTruncatedError, LogUnavailableError, TransportError
from figwalk.protocol.messages import NO_OFFSET, Hello, RelayPage, RelayRead, RelayStatus
from figwalk.protocol.peer_connection import PeerConnection
from figwalk.relay.read_limits import ReadLimits, to_ms
from figwalk.timer import MS_PER_S


class RelayLink:
    """Asks one agent for records of the store."""

    def __init__(self) -> None:
        self._connection: PeerConnection | None = None
        self._agent: Hello | None = None
        self._gateways = 0
        self._ids = itertools.count(1)
        self._pending: dict[int, trio.MemorySendChannel[RelayPage]] = {}

    @property
    def agent(self) -> Hello | None:
        """The agent's `Hello` while it is connected, else None."""
        return self._agent

    @property
    def gateways(self) -> int:
        """Number of gateways for which the agent can read; 0 if it does not relay reads."""
        return self._gateways

    def attach(self, connection: PeerConnection, agent: Hello) -> None:
        """Use a new connection.

        Args:
            connection: The connection.
            agent: First message of the agent.
        """
        self._connection, self._agent = connection, agent

    def set_gateways(self, gateways: int) -> None:
        """Handle that the agent stated for how many gateways of its zone it can read."""
        self._gateways = gateways

    def detach(self) -> None:
        """Handle that the connection has ended: the reads fail at once."""
        self._connection = self._agent = None
        self._gateways = 0
        for channel in self._pending.values():
            channel.close()

    def apply(self, page: RelayPage) -> None:
        """Handle an answer; one that came too late is ignored."""
        channel = self._pending.pop(page.read_id, None)
        if channel is not None:
            channel.send_nowait(page)

    async def read(self, topic: str, offset: int, era: int | None, limits: ReadLimits) -> KeyedPage:
        """Return the records of a topic from an offset.

        Args:
            topic: Name of the topic.
            offset: Offset of the first record.
            era: Era of the store in which the offset is meant, or None if it is unknown.
            limits: Times of the read.

        Raises:
            LogUnavailableError: The agent gave no answer in time, or could not read the store.
            LogTruncatedError: The agent does not have the records at the offset.
        """
        connection = self._connection
        if connection is None:
            raise LogUnavailableError("the agent is not connected")
        read_id = next(self._ids)
        request = RelayRead(
            read_id,
            topic,
            offset,
            to_ms(limits.wait_s),
            to_ms(limits.hold_s),
            to_ms(limits.period_s),
            NO_OFFSET if era is None else era,
        )
        send, receive = trio.open_memory_channel[RelayPage](1)
        self._pending[read_id] = send
        try:
            if not connection.send_now(connection.render(request)):
                raise LogUnavailableError("the agent does not receive fast enough")
            with trio.fail_after(limits.longest_s + limits.margin_s):
                return _decode(await receive.receive())
        except trio.TooSlowError as error:
            raise LogUnavailableError("the agent gave no answer in time") from error
        except (TransportError, trio.EndOfChannel) as error:
            raise LogUnavailableError("the connection to the agent was lost") from error
        finally:
            self._pending.pop(read_id, None)


def _decode(page: RelayPage) -> KeyedPage:
    if page.status is RelayStatus.MISSING:
        raise LogTruncatedError(page.next_offset)
    if page.status is not RelayStatus.OK:
        raise LogUnavailableError(f"the agent answered {page.status.value}")
    try:
        items = zip(page.offsets, page.keys, page.values, page.removed, strict=True)
        records = tuple(
            KeyedRecord(offset, key, None if removed else value)
            for offset, key, value, removed in items
        )
    except ValueError as error:
        raise LogUnavailableError("the agent sent a malformed page") from error
    era = None if page.era == NO_OFFSET else page.era
    return KeyedPage(page.next_offset, records, era, page.age_ms / MS_PER_S)
