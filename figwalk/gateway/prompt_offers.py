"""Offers prompts to the agents beside engines, and receives the engines' state from them."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable, Iterable, Iterator

import attrs
import trio

from figwalk.coordination.answer_wait import AnswerWait
from figwalk.coordination.backoff import Backoff
from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.prompt_plan import PromptCall, PromptPlan
from figwalk.coordination.stream_pauses import StreamLoad
from figwalk.errors import TransportError
from figwalk.events import Event, EventLog
from figwalk.gateway.origin_exchange import OriginPeer
from figwalk.protocol.codec import clamp_to_uint32
from figwalk.protocol.messages import (
    ConnectionKind,
    EngineDigest,
    Hello,
    Message,
    OriginQuery,
    OriginReply,
    PromptDecision,
    PromptEnded,
    PromptOffer,
    RelayPage,
    StreamExpected,
)
from figwalk.protocol.peer_connection import PeerConnection
from figwalk.relay.relay_link import RelayLink
from figwalk.state.stream_origins import StreamOrigin
from figwalk.timer import MS_PER_S, Timer

INCARNATION_BITS = 64
MAX_INT32 = 2**31 - 1
MAX_UINT8 = 2**8 - 1
# Least wait beyond the round trip. An agent decides within a millisecond, but its VM may be busy.
ANSWER_MARGIN_S = 0.03
# On a link of 10 Mbit/s an answer queues behind prompts of 9 KB, 7 ms each. Half of the users'
# target of 0.25 s must remain for the prompt itself.
MAX_ANSWER_MARGIN_S = 0.12
# After an offer without an answer, the gateway decides without the agent for this long, or until
# the late answer arrives.
AGENT_BYPASS_S = 0.5
MAX_TRACKED_OFFERS = 1000
CONNECT_TIMEOUT_S = 0.5
# The gateway closes a connection on which it has received nothing for this long, more than two
# heartbeats of an agent. Unanswered offers are detected much earlier.
DIGEST_TIMEOUT_S = 0.95
RECONCILE_PERIOD_S = 0.2
FIRST_RECONNECT_S = 0.1
MAX_RECONNECT_S = 1.0


@attrs.frozen
class Grant:
    """An agent's permission to send a prompt to its engine.

    Attributes:
        link: Connection to the agent.
        offer_id: Identifies the offer on that connection.
    """

    link: AgentLink
    offer_id: int

    def end(self, *, read: bool, took_s: float = 0.0) -> None:
        """Report that the prefill was completed or abandoned, and its seconds or 0 if unknown."""
        self.link.queue_end(self.offer_id, read=read, took_s=took_s)


@attrs.frozen
class OfferAnswer:
    """An agent's decision on an offered prompt.

    Attributes:
        grant: The grant, or None if the agent refused the prompt.
        uncached_tokens: Tokens that the engine is predicted to prefill.
        wait_s: Predicted seconds that the prompt waits for others.
        finish_s: Predicted seconds until its prefill is complete.
        retry_s: Predicted seconds until the organisation's share leaves room; 0 if it does.
    """

    grant: Grant | None
    uncached_tokens: int
    wait_s: float
    finish_s: float
    retry_s: float = 0.0


class AgentLink(OriginPeer):
    """The connection to the agent beside one engine.

    Args:
        tracker: The engine.
        port: Port of the agent on the engine's VM.
        hello: First message of this gateway on each connection.
        events: Event log.
        timer: Source of time.
        on_connected: Called when a connection is open.
    """

    def __init__(
        self,
        tracker: EngineTracker,
        port: int,
        hello: Hello,
        events: EventLog,
        timer: Timer,
        *,
        on_connected: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_connected = on_connected
        self._tracker = tracker
        self._port = port
        self._hello = hello
        self._events = events
        self._timer = timer
        self._connection: PeerConnection | None = None
        self._pending_offers: dict[int, trio.MemorySendChannel[PromptDecision]] = {}
        self._ids = itertools.count(1)
        self._bypass_until = 0.0
        self._answer_wait = AnswerWait(min_s=ANSWER_MARGIN_S, max_s=MAX_ANSWER_MARGIN_S)
        # Timer time at which the answer to each offer is due. Offers that timed out stay, so that
        # late answers adjust the wait as well.
        self._answers_due_at: dict[int, float] = {}
        self._queue_send, self._queue_receive = trio.open_memory_channel[Message](10_000)
        self._keeps_origins = False
        self._paces_streams = False
        self._pending_queries: dict[int, trio.MemorySendChannel[OriginReply]] = {}
        self._relay = RelayLink()

    @property
    def relay(self) -> RelayLink:
        """Relayed reads of the store over this connection."""
        return self._relay

    @property
    def host(self) -> str:
        """IP address of the agent's VM."""
        return self._tracker.entry.address.host

    @property
    def connected(self) -> bool:
        """Whether the agent is connected and keeps origins."""
        return self._connection is not None and self._keeps_origins

    @property
    def session(self) -> object:
        """The present connection, or None."""
        return self._connection

    async def run(self) -> None:
        """Keep the connection open, with reconnects, until cancelled."""
        backoff = Backoff(first_s=FIRST_RECONNECT_S, max_s=MAX_RECONNECT_S)
        while True:
            try:
                await self._serve(backoff)
            except (OSError, TransportError, trio.TooSlowError) as error:
                self._record_lost(error)
            await trio.sleep(backoff.next_delay())

    async def offer(
        self, call_id: str, prompt: PromptCall, plan: PromptPlan, round_trip_s: float
    ) -> OfferAnswer | None:
        """Offer a prompt; return the agent's decision, or None if it does not arrive in time."""
        connection = self._connection
        if connection is None or self._timer.now() < self._bypass_until:
            return None
        offer_id = next(self._ids)
        send, receive = trio.open_memory_channel[PromptDecision](1)
        self._pending_offers[offer_id] = send
        self._track_due_time(offer_id, self._timer.now() + round_trip_s)
        try:
            with trio.move_on_after(round_trip_s + self._answer_wait.wait_s):
                await connection.send(_make_offer(offer_id, call_id, prompt, plan))
                return self._make_answer(await receive.receive())
        except (TransportError, trio.EndOfChannel):
            return None
        finally:
            self._pending_offers.pop(offer_id, None)
        self._bypass_until = self._timer.now() + AGENT_BYPASS_S
        return None

    def queue_end(self, offer_id: int, *, read: bool, took_s: float = 0.0) -> None:
        """Queue a report to the agent that a granted prompt has ended."""
        # Without the report, the grant expires at the agent.
        self._queue(PromptEnded(offer_id, read, max(0, _to_ms(took_s))))

    def expect_stream(self, call_id: str, events: float, left_s: float) -> None:
        """Queue a message that a stream is about to begin; see `PromptOffers.expect_stream`."""
        if self._connection is not None and self._paces_streams:
            left_ms = clamp_to_uint32(left_s * MS_PER_S)
            self._queue(StreamExpected(call_id, clamp_to_uint32(math.ceil(events)), left_ms))

    def tell(self, attempt: bytes, origin: StreamOrigin) -> None:
        """Queue a message that tells the agent the origin of a stream."""
        self._queue(origin.to_message(attempt))

    async def ask(self, attempt: bytes) -> StreamOrigin | None:
        """Ask the agent for the origin of a stream; see `OriginPeer.ask`."""
        connection = self._connection
        if connection is None:
            return None
        query_id = next(self._ids)
        send, receive = trio.open_memory_channel[OriginReply](1)
        self._pending_queries[query_id] = send
        try:
            await connection.send(OriginQuery(query_id, attempt))
            begun = (await receive.receive()).begun
        except (TransportError, trio.EndOfChannel):
            return None
        finally:
            self._pending_queries.pop(query_id, None)
        return StreamOrigin.from_message(begun) if begun is not None else None

    def _queue(self, message: Message) -> None:
        try:
            self._queue_send.send_nowait(message)
        except trio.WouldBlock:
            self._events.record(
                Event.PEER_LOST,
                detail=f"dropped {type(message).__name__}: too many messages wait to be sent",
            )

    async def _serve(self, backoff: Backoff) -> None:
        host = self._tracker.entry.address.host
        with trio.fail_after(CONNECT_TIMEOUT_S):
            connection, hello = await PeerConnection.connect(host, self._port, self._hello)
        try:
            self._events.record(Event.PEER_CONNECTED, peer=hello.process)
            backoff.reset()
            self._connection = connection
            self._keeps_origins = hello.keeps_origins
            self._paces_streams = hello.paces_streams
            self._relay.attach(connection, hello)
            self._tracker.clear_cache_report()
            self._on_connected()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_queued, connection)
                await self._receive(connection)
        except* (TransportError, trio.TooSlowError) as group:
            # Recorded here and not raised for `run` to record: if the task is also cancelled, a
            # raised error would leave this block in an exception group together with `Cancelled`,
            # which `run` does not catch.
            self._record_lost(group.exceptions[0])
        finally:
            self._connection = None
            self._relay.detach()
            self._answers_due_at.clear()
            for channel in (*self._pending_offers.values(), *self._pending_queries.values()):
                channel.close()
            connection.close()

    async def _receive(self, connection: PeerConnection) -> None:
        while True:
            with trio.fail_after(DIGEST_TIMEOUT_S):
                message = await connection.receive()
            if isinstance(message, EngineDigest):
                self._tracker.apply_digest(
                    up=message.up,
                    backlog_tokens=message.backlog_tokens,
                    tokens_per_s=message.tokens_per_s,
                    decoding=message.decoding,
                    fixed_s=message.fixed_ms / MS_PER_S,
                    measured=message.measured,
                    gateways=message.gateways,
                    stream_load=StreamLoad(
                        message.streams,
                        message.event_ms / MS_PER_S,
                        message.needed_event_ms / MS_PER_S or math.inf,
                    ),
                    born_ms=message.born_ms,
                )
                self._tracker.apply_cache_report(
                    message.kept,
                    message.yielded,
                    reading=message.reading,
                    complete=message.kept_complete,
                )
                self._relay.set_gateways(message.relay_gateways)
            elif isinstance(message, PromptDecision):
                self._apply_decision(message)
            elif isinstance(message, RelayPage):
                self._relay.apply(message)
            elif isinstance(message, OriginReply):
                channel = self._pending_queries.pop(message.query_id, None)
                if channel is not None:
                    channel.send_nowait(message)

    def _apply_decision(self, decision: PromptDecision) -> None:
        self._tracker.apply_backlog(decision.backlog_tokens)
        due = self._answers_due_at.pop(decision.call_id, None)
        if due is not None:
            self._answer_wait.record(self._timer.now() - due)
        self._bypass_until = 0.0
        channel = self._pending_offers.pop(decision.call_id, None)
        if channel is not None:
            channel.send_nowait(decision)
        elif decision.granted:
            # The offer has timed out meanwhile, so the grant is not used.
            self.queue_end(decision.call_id, read=False)

    def _track_due_time(self, offer_id: int, due: float) -> None:
        self._answers_due_at[offer_id] = due
        if len(self._answers_due_at) > MAX_TRACKED_OFFERS:
            del self._answers_due_at[next(iter(self._answers_due_at))]

    def _make_answer(self, decision: PromptDecision) -> OfferAnswer:
        return OfferAnswer(
            Grant(self, decision.call_id) if decision.granted else None,
            decision.uncached_tokens,
            decision.wait_ms / MS_PER_S,
            decision.finish_ms / MS_PER_S,
            decision.retry_ms / MS_PER_S,
        )

    async def _send_queued(self, connection: PeerConnection) -> None:
        while True:
            await connection.send(await self._queue_receive.receive())

    def _record_lost(self, error: BaseException) -> None:
        self._events.record(
            Event.PEER_LOST, backend=self._tracker.entry.backend, detail=str(error) or repr(error)
        )


class PromptOffers:
    """Keeps a connection to the agent beside each engine.

    Args:
        engines: Returns the engines to connect to.
        port: Port of the agents on the engines' VMs.
        process: Name of this gateway.
        zone: Its availability zone.
        region: Its region.
        events: Event log.
        timer: Source of time.
        on_connected: Called when a connection to an agent is open.
    """

    def __init__(
        self,
        engines: Callable[[], Iterable[EngineTracker]],
        port: int,
        events: EventLog,
        timer: Timer,
        *,
        process: str,
        zone: str,
        region: str,
        on_connected: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_connected = on_connected
        self._engines = engines
        self._port = port
        self._hello = Hello(
            ConnectionKind.PROMPT, process, random.getrandbits(INCARNATION_BITS), zone, region
        )
        self._events = events
        self._timer = timer
        self._links: dict[EngineTracker, tuple[AgentLink, trio.CancelScope]] = {}

    async def run(self) -> None:
        """Open and close connections as engines appear and disappear, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                engines = set(self._engines())
                for engine in [known for known in self._links if known not in engines]:
                    self._links.pop(engine)[1].cancel()
                for engine in engines - set(self._links):
                    self._start(engine, nursery)
                await trio.sleep(RECONCILE_PERIOD_S)

    async def offer(
        self, call_id: str, prompt: PromptCall, plan: PromptPlan, round_trip_s: float
    ) -> OfferAnswer | None:
        """Offer a prompt to the agent beside a plan's prefill engine; see `AgentLink.offer`."""
        if plan.reader not in self._links:
            return None
        return await self._links[plan.reader][0].offer(call_id, prompt, plan, round_trip_s)

    def expect_stream(
        self, engine: EngineTracker, call_id: str, events: float, left_s: float
    ) -> None:
        """Tell the agent beside an engine that a stream is about to begin there.

        Args:
            engine: The engine.
            call_id: Id of the call.
            events: Largest number of events.
            left_s: Seconds until the last one is due.
        """
        if engine in self._links:
            self._links[engine][0].expect_stream(call_id, events, left_s)

    def relay_links(self) -> Iterator[RelayLink]:
        """Yield the relayed reads of each connection."""
        for link, _scope in self._links.values():
            yield link.relay

    def origin_peers(self) -> list[AgentLink]:
        """Return the connected agents that keep the origins of streams."""
        return [link for link, _scope in self._links.values() if link.connected]

    def _start(self, engine: EngineTracker, nursery: trio.Nursery) -> None:
        link = AgentLink(
            engine,
            self._port,
            self._hello,
            self._events,
            self._timer,
            on_connected=self._on_connected,
        )
        scope = trio.CancelScope()
        self._links[engine] = (link, scope)

        async def run() -> None:
            with scope:
                await link.run()

        nursery.start_soon(run)


def _make_offer(offer_id: int, call_id: str, prompt: PromptCall, plan: PromptPlan) -> PromptOffer:
    return PromptOffer(
        offer_id,
        call_id,
        ",".join(part_id for part_id, _ in prompt.parts),
        [tokens for _, tokens in prompt.parts],
        _to_ms(prompt.target_s - plan.reserve_s),
        _to_ms(prompt.left_s),
        max(0, _to_ms(plan.after_s)),
        clamp_to_uint32(prompt.shared_tokens) if plan.donor is not None else 0,
        _to_ms(prompt.gap_s) if math.isfinite(prompt.gap_s) and not plan.is_last_resort else 0,
        prompt.share.organisation,
        min(prompt.share.priority, MAX_UINT8),
        prompt.share.tried,
    )


def _to_ms(seconds: float) -> int:
    """Return milliseconds, limited to the range of a signed 32-bit field."""
    return int(max(-MAX_INT32, min(seconds * MS_PER_S, MAX_INT32)))
