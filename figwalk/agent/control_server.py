"""Serves control connections of entries.

The agent sends load reports, and receives desired roles, configuration and queries.
"""

from __future__ import annotations

import json
import secrets

import attrs
import trio

from figwalk.agent.agent_config import AgentConfig
from figwalk.agent.cache_tracker import CacheTracker
from figwalk.agent.desired_role import DesiredRole
from figwalk.agent.key_memory import KeyMemory
from figwalk.agent.load_reporter import LoadReporter
from figwalk.errors import FrameTooLargeError, MalformedFrameError, TransportError
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import (
    ConfigUpdate,
    Confirm,
    Confirmed,
    Desired,
    EventsQuery,
    EventsReply,
    Hello,
    KeyLookup,
    KeyState,
    Leaving,
    Message,
)
from figwalk.protocol.peer_connection import AnswerData, PeerConnection

# An entry that receives nothing for this long is treated as lost.
SEND_TIMEOUT_S = 5.0
# An entry confirms after one read of the log, for which it has a timeout of 2 s.
CONFIRM_TIMEOUT_S = 3.0
NONCE_BITS = 64
# Below the frame limit of 4 MiB.
MAX_EVENTS_BYTES = 3 * 1024 * 1024


class ControlServer:
    """Serves the control connections of all entries.

    Args:
        backend: Name of the backend server.
        reporter: Builds load reports.
        report_s: Seconds between two reports.
        cache: Source of cache changes.
        keys: Table of claimed calls.
        desired: Receives desired roles.
        config: Receives configuration updates.
        events: Event log.
    """

    def __init__(
        self,
        backend: str,
        *,
        reporter: LoadReporter,
        report_s: float,
        cache: CacheTracker,
        keys: KeyMemory,
        desired: DesiredRole,
        config: AgentConfig,
        events: EventLog,
    ) -> None:
        self._backend = backend
        self._reporter = reporter
        self._report_s = report_s
        self._cache = cache
        self._keys = keys
        self._desired = desired
        self._config = config
        self._events = events
        self._sessions: dict[_ControlSession, None] = {}
        self._leaving: Leaving | None = None
        self._pending_confirms: dict[int, _PendingConfirm] = {}

    @property
    def entry_count(self) -> int:
        """Number of open control connections."""
        return len(self._sessions)

    async def serve(self, connection: PeerConnection, entry: Hello) -> None:
        """Serve one control connection until it is lost."""
        session = _ControlSession(connection)
        self._sessions[session] = None
        self._events.record(Event.PEER_CONNECTED, peer=entry.process, kind=entry.kind)
        if self._leaving is not None:
            session.post(self._leaving)
        try:
            async with trio.open_nursery() as nursery:
                session.scope = nursery.cancel_scope
                nursery.start_soon(self._send_reports, session)
                await self._receive_messages(session, entry)
        finally:
            del self._sessions[session]
            self._reporter.remove_entry(entry.process)
            self._events.record(Event.PEER_LOST, peer=entry.process, kind=entry.kind)

    def report_now(self) -> None:
        """Send a report on every connection at once."""
        for session in self._sessions:
            session.wake()

    def notify_leaving(self, grace_s: float) -> None:
        """Notify all entries that the backend server accepts no new calls.

        Entries that connect later are notified too.

        Args:
            grace_s: Grace period for running calls, in seconds.
        """
        clock = self._events.clock.tick()
        self._leaving = Leaving(self._backend, round(grace_s * 1000), clock)
        for session in self._sessions:
            session.post(self._leaving)

    def clear_leaving(self) -> None:
        """Stop telling entries that connect later that the backend server accepts no new calls.

        Entries that are connected now learn the new state from the next load report.
        """
        self._leaving = None

    def send_hello(self, hello: Hello) -> None:
        """Send the agent's new `Hello` to all entries.

        The open connections are used, because an entry that loses one gives up its running calls.
        """
        for session in self._sessions:
            session.post(hello)

    async def confirm(self) -> Desired | None:
        """Return the desired state as of a log read that begins now.

        The agent asks the entries one after another. It returns None if none of them could read
        the log in time.
        """
        for session in list(self._sessions):
            pending = _PendingConfirm(session)
            nonce = secrets.randbits(NONCE_BITS)
            self._pending_confirms[nonce] = pending
            session.post(Confirm(nonce, self._backend))
            try:
                with trio.move_on_after(CONFIRM_TIMEOUT_S):
                    await pending.arrived.wait()
            finally:
                del self._pending_confirms[nonce]
            if pending.desired is not None:
                return pending.desired
            if session in self._sessions:
                # This entry did not answer in time or could not read the log. It is moved to the
                # end, so that the next confirmation starts with another one.
                self._sessions[session] = self._sessions.pop(session)
        return None

    async def _send_reports(self, session: _ControlSession) -> None:
        feed = self._cache.open_feed()
        try:
            while True:
                with trio.move_on_after(SEND_TIMEOUT_S) as scope:
                    for message in session.take_outbox():
                        await session.connection.send(message)
                    await session.connection.send(self._reporter.build(*feed.take()))
                if scope.cancelled_caught:
                    break
                await session.wait(self._report_s)
        except TransportError:
            pass
        finally:
            self._cache.close_feed(feed)
            session.scope.cancel()

    async def _receive_messages(self, session: _ControlSession, entry: Hello) -> None:
        try:
            while True:
                self._handle(session, await session.connection.receive())
        except (MalformedFrameError, FrameTooLargeError) as error:
            self._events.record(Event.PEER_FRAME_REJECTED, peer=entry.process, error=error.message)
        except TransportError:
            pass
        session.scope.cancel()

    def _handle(self, session: _ControlSession, message: Message | AnswerData) -> None:
        match message:
            case Desired():
                self._desired.apply(message)
            case Confirmed():
                self._apply_confirmed(session, message)
            case ConfigUpdate():
                self._config.adopt(message)
            case KeyLookup():
                self._answer_lookup(session, message)
            case EventsQuery():
                session.post(self._select_events(message.request_id))
            case _:
                name = type(message).__name__
                raise MalformedFrameError(f"{name} is out of place on a control connection")

    def _apply_confirmed(self, session: _ControlSession, message: Confirmed) -> None:
        pending = self._pending_confirms.get(message.nonce)
        if pending is not None and pending.session is session:
            pending.desired = message.desired
            pending.arrived.set()

    def _answer_lookup(self, session: _ControlSession, lookup: KeyLookup) -> None:
        status = self._keys.look_up(lookup)
        if status.state is KeyState.VOIDED:
            self._events.record(Event.KEY_VOIDED, claim_id=lookup.claim_id)
        session.post(status)

    def _select_events(self, request_id: str) -> EventsReply:
        """Return the newest events that fit into one frame."""
        texts: list[str] = []
        size = 0
        for record in reversed(self._events.select(request_id)):
            text = json.dumps(attrs.asdict(record), separators=(",", ":"))
            size += len(text) + 1
            if size > MAX_EVENTS_BYTES:
                break
            texts.append(text)
        return EventsReply(f"[{','.join(reversed(texts))}]".encode())


@attrs.define
class _PendingConfirm:
    """A `Confirm` that has been sent and not yet been answered."""

    session: _ControlSession
    arrived: trio.Event = attrs.field(factory=trio.Event)
    desired: Desired | None = None


class _ControlSession:
    """One control connection with its queue of outgoing messages."""

    def __init__(self, connection: PeerConnection) -> None:
        self.connection = connection
        self.scope = trio.CancelScope()
        self._outbox: list[Message] = []
        self._wake = trio.Event()

    def post(self, message: Message) -> None:
        """Queue a message, which is sent before the next report."""
        self._outbox.append(message)
        self.wake()

    def wake(self) -> None:
        """End the wait before the next report."""
        self._wake.set()

    async def wait(self, seconds: float) -> None:
        """Wait until the next report is due or `wake` is called."""
        with trio.move_on_after(seconds):
            await self._wake.wait()

    def take_outbox(self) -> list[Message]:
        """Remove and return the queued messages."""
        self._wake = trio.Event()
        messages, self._outbox = self._outbox, []
        return messages
