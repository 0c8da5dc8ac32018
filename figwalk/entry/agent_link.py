"""Control connection from an entry to one agent."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod

import trio

from figwalk.errors import ConnectionLostError, FigwalkError, TransportError
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import (
    ConfigUpdate,
    Confirm,
    Confirmed,
    ConnectionKind,
    Desired,
    EventsQuery,
    EventsReply,
    Hello,
    KeyLookup,
    KeyStatus,
    Leaving,
    LoadReport,
)
from figwalk.protocol.peer_connection import PeerConnection
from figwalk.protocol.records import encode_entries
from figwalk.state.configuration import Configuration
from figwalk.state.notifier import Notifier
from figwalk.state.settings import Address

RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 2.0
REPLY_TIMEOUT_S = 2.0
# The link is closed, which fails its calls, only well after routing has begun to avoid the agent.
LOST_AFTER_REPORT_TIMEOUTS = 3


class LinkOwner(ABC):
    """Interface through which a link uses the entry process."""

    @abstractmethod
    def hello(self, kind: ConnectionKind) -> Hello:
        """Return the `Hello` that this process sends first on a connection."""

    @abstractmethod
    def on_connected(self, link: AgentLink) -> None:
        """Handle a new connection; `link.peer` now names the backend server."""

    @abstractmethod
    def on_lost(self, link: AgentLink) -> None:
        """Handle the loss of the connection."""

    @abstractmethod
    def on_report(self, link: AgentLink, report: LoadReport) -> None:
        """Apply a load report."""

    @abstractmethod
    def on_leaving(self, link: AgentLink, leaving: Leaving) -> None:
        """Handle a backend server that accepts no new work."""

    @abstractmethod
    def desired(self, backend: str) -> Desired:
        """Return the newest valid order for a backend server."""

    @abstractmethod
    async def confirm_desired(self, confirm: Confirm) -> Confirmed:
        """Read the log to its head and return the desired state of a backend server.

        Raises:
            LogError: The log can't be read now.
        """


class AgentLink:
    """Maintains the control connection to one agent, in one task.

    Args:
        vm: Id of the VM in the VM list.
        address: Address that the agent listens on.
        owner: The entry process.
        configuration: Configuration that is pushed to the agent.
        changed: Notified when configuration or orders change.
        events: Event log.
        report_timeout_s: Seconds without a load report after which routing avoids the agent.
    """

    def __init__(
        self,
        vm: str,
        address: Address,
        *,
        owner: LinkOwner,
        configuration: Configuration,
        changed: Notifier,
        events: EventLog,
        report_timeout_s: float,
    ) -> None:
        self._vm = vm
        self._address = address
        self._owner = owner
        self._configuration = configuration
        self._changed = changed
        self._events = events
        self._lost_after_s = report_timeout_s * LOST_AFTER_REPORT_TIMEOUTS
        self._connection: PeerConnection | None = None
        self._peer: Hello | None = None
        self._calls: set[PeerConnection] = set()
        self._lookups: dict[str, list[trio.MemorySendChannel[KeyStatus]]] = {}
        self._events_lock = trio.Lock()
        self._events_reply: trio.MemorySendChannel[EventsReply] | None = None
        self._pushed_revision = -1
        self._pushed_desired: Desired | None = None

    def __repr__(self) -> str:
        return f"AgentLink({self._vm!r}, {self._address})"

    @property
    def vm(self) -> str:
        """Id of the VM in the VM list."""
        return self._vm

    @property
    def address(self) -> Address:
        """Address that the agent listens on."""
        return self._address

    @property
    def connected(self) -> bool:
        """Whether the control connection is open."""
        return self._connection is not None

    @property
    def peer(self) -> Hello:
        """The agent's last `Hello`.

        Raises:
            ConnectionLostError: The agent has not been connected yet.
        """
        if self._peer is None:
            raise ConnectionLostError(f"agent at {self._address} has not been reached yet")
        return self._peer

    async def run(self) -> None:
        """Connect to the agent and exchange messages with it, until cancelled.

        Reconnects after a loss.
        """
        delay_s = RECONNECT_MIN_S
        while True:
            try:
                connection, hello = await PeerConnection.connect(
                    self._address.host,
                    self._address.port,
                    self._owner.hello(ConnectionKind.CONTROL),
                )
            except (OSError, TransportError):
                pass
            else:
                connected_at = trio.current_time()
                await self._serve(connection, hello)
                if trio.current_time() - connected_at > RECONNECT_MAX_S:
                    delay_s = RECONNECT_MIN_S
            # The back-off also applies to an agent that completes the handshake and then closes
            # the connection, so that the entry doesn't reconnect in a tight loop.
            await _wait_before_dial(delay_s * random.uniform(0.5, 1.5))
            delay_s = min(delay_s * 2, RECONNECT_MAX_S)

    async def lookup(self, claim_id: str, incarnation: int) -> KeyStatus:
        """Query the agent for the state of a claimed call.

        Raises:
            ConnectionLostError: The agent is not connected or did not answer in time.
        """
        send_channel, receive_channel = trio.open_memory_channel[KeyStatus](1)
        waiting = self._lookups.setdefault(claim_id, [])
        waiting.append(send_channel)
        try:
            await self._send(KeyLookup(claim_id, incarnation))
            with trio.fail_after(REPLY_TIMEOUT_S):
                return await receive_channel.receive()
        except trio.TooSlowError as error:
            raise ConnectionLostError(f"agent at {self._address} did not answer") from error
        finally:
            if send_channel in waiting:
                waiting.remove(send_channel)
            if not waiting and self._lookups.get(claim_id) is waiting:
                del self._lookups[claim_id]

    async def query_events(self, request_id: str) -> bytes:
        """Return the agent's events of a request as a JSON list.

        Raises:
            ConnectionLostError: The agent is not connected or did not answer in time.
        """
        async with self._events_lock:
            self._events_reply, receive_channel = trio.open_memory_channel[EventsReply](1)
            await self._send(EventsQuery(request_id))
            with trio.move_on_after(REPLY_TIMEOUT_S):
                return (await receive_channel.receive()).events
            raise ConnectionLostError(f"agent at {self._address} did not answer")

    def register_call(self, connection: PeerConnection) -> None:
        """Register a call connection to be closed when the agent is lost."""
        self._calls.add(connection)

    def unregister_call(self, connection: PeerConnection) -> None:
        """Remove a connection that was registered with `register_call`."""
        self._calls.discard(connection)

    async def _send(self, message: KeyLookup | EventsQuery) -> None:
        if self._connection is None:
            raise ConnectionLostError(f"agent at {self._address} is not connected")
        await self._connection.send(message)

    async def _serve(self, connection: PeerConnection, hello: Hello) -> None:
        self._peer = hello
        self._connection = connection
        self._pushed_revision = -1
        self._pushed_desired = None
        self._events.clock.observe(hello.clock)
        self._events.record(Event.PEER_CONNECTED, peer=hello.process, address=self._address)
        self._owner.on_connected(self)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._push_changes, connection, nursery)
                await self._receive_all(connection, nursery)
        except* TransportError as group:
            self._events.record(
                Event.PEER_LOST, peer=hello.process, reason=group.exceptions[0], address=self.vm
            )
        except* Exception as group:
            # An unexpected error while serving one agent ends only the connection to that agent.
            self._events.record(
                Event.TASK_FAILED, task=f"link to {self._vm}", error=repr(group.exceptions[0])
            )
        finally:
            self._connection = None
            self._owner.on_lost(self)
            for call_connection in self._calls:
                call_connection.close()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
                await connection.aclose()

    async def _receive_all(self, connection: PeerConnection, nursery: trio.Nursery) -> None:
        while True:
            with trio.move_on_after(self._lost_after_s) as scope:
                message = await connection.receive()
            if scope.cancelled_caught:
                raise ConnectionLostError(f"no report within {self._lost_after_s} s")
            if isinstance(message, LoadReport):
                self._owner.on_report(self, message)
            elif isinstance(message, Leaving):
                self._events.clock.observe(message.clock)
                self._owner.on_leaving(self, message)
            elif isinstance(message, Confirm):
                nursery.start_soon(self._confirm, connection, message)
            elif isinstance(message, KeyStatus):
                self._deliver_status(message)
            elif isinstance(message, EventsReply) and self._events_reply is not None:
                self._deliver_events(message)
            elif isinstance(message, Hello):
                # The agent has chosen a new incarnation without restarting.
                self._peer = message
                self._owner.on_connected(self)

    def _deliver_status(self, status: KeyStatus) -> None:
        for channel in self._lookups.pop(status.claim_id, []):
            channel.send_nowait(status)

    def _deliver_events(self, reply: EventsReply) -> None:
        channel = self._events_reply
        if channel is not None and channel.statistics().current_buffer_used == 0:
            channel.send_nowait(reply)

    async def _confirm(self, connection: PeerConnection, confirm: Confirm) -> None:
        try:
            await connection.send(await self._owner.confirm_desired(confirm))
        except FigwalkError:
            # Without an answer, the agent doesn't treat its order as confirmed and asks again.
            return

    async def _push_changes(self, connection: PeerConnection, nursery: trio.Nursery) -> None:
        try:
            while True:
                change = self._changed.next_change()
                await self._push_configuration(connection)
                await self._push_desired(connection)
                await change.wait()
        except TransportError:
            nursery.cancel_scope.cancel()

    async def _push_configuration(self, connection: PeerConnection) -> None:
        revision = self._configuration.revision
        if revision == self._pushed_revision:
            return
        full = self._pushed_revision < 0
        entries = (
            self._configuration.entries()
            if full
            else self._configuration.entries_after(self._pushed_revision)
        )
        self._pushed_revision = revision
        await connection.send(ConfigUpdate(revision, full, encode_entries(entries)))

    async def _push_desired(self, connection: PeerConnection) -> None:
        desired = self._owner.desired(self.peer.backend)
        pushed = self._pushed_desired
        if pushed is not None and desired.order_offset == pushed.order_offset:
            return
        self._pushed_desired = desired
        await connection.send(desired)


async def _wait_before_dial(seconds: float) -> None:
    await trio.sleep(seconds)
