"""Exchange with the other entries: configuration while the log is down, and events."""

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
MAX_QUERIED_ENTRIES = 8  # A time line at the target size must not ask thousands of entries.


class EntryPeers:
    """Asks other entries, and answers them.

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

    @property
    def count(self) -> int:
        """Number of other entries in the VM list."""
        return len(self._vms)

    def add_vm(self, vm: Vm) -> None:
        """Take in an entry VM."""
        if vm.id != self._process:
            self._vms[vm.id] = vm

    def remove_vm(self, vm: Vm) -> None:
        """Forget an entry VM."""
        self._vms.pop(vm.id, None)

    async def adopt_configuration(self) -> bool:
        """Take the configuration of another entry; return whether a newer one was found."""
        for reply in await self._ask_all(ConfigQuery(self._configuration.revision)):
            if isinstance(reply, ConfigUpdate) and reply.revision > self._configuration.revision:
                self._configuration.adopt(reply)
                self._events.record(
                    Event.CONFIG_ADOPTED, revision=reply.revision, source="another entry"
                )
                return True
        return False

    async def query_events(self, request_id: str) -> list[bytes]:
        """Return the other entries' events of a request, each as a JSON list."""
        replies = await self._ask_all(EventsQuery(request_id))
        return [reply.events for reply in replies if isinstance(reply, EventsReply)]

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer one connection of another entry."""
        connection = PeerConnection(ByteStream(stream))
        try:
            hello = await connection.receive_hello()
            self._events.clock.observe(hello.clock)
            await connection.send(self._owner.hello(ConnectionKind.PEER))
            while True:
                await connection.send(self._answer(await connection.receive()))
        except ConnectionLostError:
            pass
        except TransportError as error:
            self._events.record(Event.PEER_FRAME_REJECTED, reason=error)
        except Exception as error:
            # A fault in the service of one connection ends that connection only.
            self._events.record(Event.TASK_FAILED, task="peer connection", error=repr(error))
        finally:
            connection.close()

    def _answer(self, message: object) -> Message:
        if isinstance(message, ConfigQuery):
            entries = self._configuration.entries()
            return ConfigUpdate(self._configuration.revision, True, encode_entries(entries))
        if isinstance(message, EventsQuery):
            return EventsReply(encode_events(self._events.select(message.request_id)))
        raise MalformedFrameError(f"unexpected {type(message).__name__} on a peer connection")

    async def _ask_all(self, question: Message) -> list[Message]:
        vms = list(self._vms.values())
        asked = random.sample(vms, min(len(vms), MAX_QUERIED_ENTRIES))
        replies: list[Message] = []
        async with trio.open_nursery() as nursery:
            for vm in asked:
                nursery.start_soon(self._ask, vm, question, replies)
        return replies

    async def _ask(self, vm: Vm, question: Message, replies: list[Message]) -> None:
        with trio.move_on_after(REPLY_TIMEOUT_S):
            try:
                connection, hello = await PeerConnection.connect(
                    vm.address, vm.port, self._owner.hello(ConnectionKind.PEER)
                )
            except (OSError, TransportError):
                return
            try:
                self._events.clock.observe(hello.clock)
                await connection.send(question)
                reply = await connection.receive()
            except TransportError:
                return
            finally:
                connection.close()
            replies.append(reply)
