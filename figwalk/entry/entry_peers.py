"""Queries between entries: configuration while the log is unavailable, and events."""

from __future__ import annotations

import random

import trio

from figwalk.coordination.membership import Vm
from figwalk.entry.agent_link import LinkOwner
from figwalk.errors import ConnectionLostError, MalformedFrameError, TransportError
from figwalk.events import Event, EventLog, encode_events
from figwalk.protocol.messages import (
    ConfigQuery,
    ConfigUpdate,
    ConnectionKind,
    EventsQuery,
    EventsReply,
    Message,
)
from figwalk.protocol.peer_connection import PeerConnection
from figwalk.protocol.records import encode_entries
from figwalk.state.configuration import Configuration
from figwalk.transport.byte_stream import ByteStream

REPLY_TIMEOUT_S = 2.0
HELLO_TIMEOUT_S = 5.0
# Another entry opens one short connection for each of its queries.
MAX_CONNECTIONS = 1024
# At the target fleet size, a time line must not query thousands of entries.
MAX_QUERIED_ENTRIES = 8


class EntryPeers:
    """Queries other entries and answers their queries.

    Args:
        process: Name of this process.
        configuration: Published configuration.
        owner: The entry process.
        events: Event log.
    """

    def __init__(
        self, process: str, configuration: Configuration, owner: LinkOwner, events: EventLog
    ) -> None:
        self._process = process
        self._configuration = configuration
        self._owner = owner
        self._events = events
        self._vms: dict[str, Vm] = {}
        self._connections = 0

    @property
    def count(self) -> int:
        """Number of other entries in the VM list."""
        return len(self._vms)

    def add_vm(self, vm: Vm) -> None:
        """Add the VM of another entry; this entry's own VM is ignored."""
        if vm.id != self._process:
            self._vms[vm.id] = vm

    def remove_vm(self, vm: Vm) -> None:
        """Remove the VM of another entry."""
        self._vms.pop(vm.id, None)

    async def adopt_configuration(self) -> bool:
        """Adopt a newer configuration from another entry; return whether one was found."""
        for reply in await self._query_all(ConfigQuery(self._configuration.revision)):
            if isinstance(reply, ConfigUpdate) and reply.revision > self._configuration.revision:
                self._configuration.adopt(reply)
                self._events.record(
                    Event.CONFIG_ADOPTED, revision=reply.revision, source="another entry"
                )
                return True
        return False

    async def query_events(self, request_id: str) -> list[bytes]:
        """Return the other entries' events of a request, each as a JSON list."""
        replies = await self._query_all(EventsQuery(request_id))
        return [reply.events for reply in replies if isinstance(reply, EventsReply)]

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the queries on one connection of another entry."""
        connection = PeerConnection(ByteStream(stream))
        if self._connections >= MAX_CONNECTIONS:
            self._events.record(Event.HTTP_TOO_MANY_CONNECTIONS, limit=MAX_CONNECTIONS)
            connection.close()
            return
        self._connections += 1
        try:
            with trio.move_on_after(HELLO_TIMEOUT_S) as scope:
                hello = await connection.receive_hello()
                self._events.clock.observe(hello.clock)
                await connection.send(self._owner.hello(ConnectionKind.PEER))
            while not scope.cancelled_caught:
                await connection.send(self._answer(await connection.receive()))
        except ConnectionLostError:
            pass
        except TransportError as error:
            self._events.record(Event.PEER_FRAME_REJECTED, reason=error)
        except Exception as error:
            # An unexpected error while serving one connection ends only that connection.
            self._events.record(Event.TASK_FAILED, task="peer connection", error=repr(error))
        finally:
            self._connections -= 1
            connection.close()

    def _answer(self, message: object) -> Message:
        if isinstance(message, ConfigQuery):
            entries = self._configuration.entries()
            return ConfigUpdate(self._configuration.revision, True, encode_entries(entries))
        if isinstance(message, EventsQuery):
            return EventsReply(encode_events(self._events.select(message.request_id)))
        raise MalformedFrameError(f"unexpected {type(message).__name__} on a peer connection")

    async def _query_all(self, query: Message) -> list[Message]:
        vms = list(self._vms.values())
        sampled = random.sample(vms, min(len(vms), MAX_QUERIED_ENTRIES))
        replies: list[Message] = []
        async with trio.open_nursery() as nursery:
            for vm in sampled:
                nursery.start_soon(self._query, vm, query, replies)
        return replies

    async def _query(self, vm: Vm, query: Message, replies: list[Message]) -> None:
        with trio.move_on_after(REPLY_TIMEOUT_S):
            try:
                connection, hello = await PeerConnection.connect(
                    vm.address, vm.port, self._owner.hello(ConnectionKind.PEER)
                )
            except (OSError, TransportError):
                return
            try:
                self._events.clock.observe(hello.clock)
                await connection.send(query)
                reply = await connection.receive()
            except TransportError:
                return
            finally:
                connection.close()
            replies.append(reply)
