"""Connections to the agents beside engines: offers prompts, and takes over the engines' state."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable

import attrs
import trio

from figwalk.coordination.answer_wait import AnswerWait
from figwalk.coordination.backoff import Backoff
from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.prompt_plan import PromptCall, PromptPlan
from figwalk.errors import TransportError
from figwalk.events import Event, EventLog
from figwalk.protocol.codec import to_uint32
from figwalk.protocol.messages import (
    ConnectionKind,
    EngineDigest,
    Hello,
    PromptDecision,
    PromptEnded,
    PromptOffer,
)
from figwalk.protocol.peer_connection import PeerConnection
from figwalk.timer import MS_PER_S, Timer

INCARNATION_BITS = 64
MAX_INT32 = 2**31 - 1
# Beyond the round trip; an agent decides within a millisecond, and its VM may be busy.
ANSWER_MARGIN_S = 0.03
# On a link of 10 Mbit/s an answer waits behind prompts of 9 KB, 7 ms each. Half of the users'
# targets of 0.25 s has to be left for the prompt itself.
MAX_ANSWER_MARGIN_S = 0.12
# After an offer without an answer, the gateway judges by itself for this long, or until the answer
# comes after all.
SUSPICION_S = 0.5
MAX_UNANSWERED = 1000
CONNECT_TIMEOUT_S = 0.5
# Without a digest for this long, which is more than two heartbeats of an agent, the connection is
# given up. Offers that get no answer are noticed much earlier.
SILENCE_S = 0.95
RECONCILE_PERIOD_S = 0.2
FIRST_RECONNECT_S = 0.1
MAX_RECONNECT_S = 1.0


@attrs.frozen
class Grant:
    """A prompt that an agent has granted.

    Attributes:
        link: Connection of the agent.
        offer_id: Identifies the offer on it.
    """

    link: AgentLink
    offer_id: int

    def end(self, *, read: bool, took_s: float = 0.0) -> None:
        """Say that the prompt was read or given up, and the seconds that it took if known."""
        self.link.end_later(self.offer_id, read=read, took_s=took_s)


@attrs.frozen
class OfferAnswer:
    """What an agent decided.

    Attributes:
        grant: The grant, or None if it was refused.
        uncached_tokens: Tokens that the engine is predicted to read.
        wait_s: Seconds that the prompt is predicted to wait for others.
        finish_s: Seconds until it is predicted to have been read.
    """

    grant: Grant | None
    uncached_tokens: int
    wait_s: float
    finish_s: float


class AgentLink:
    """The connection to the agent beside one engine.

    Args:
        tracker: The engine.
        port: Port of the agent on the engine's VM.
        hello: This gateway's greeting.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self, tracker: EngineTracker, port: int, hello: Hello, events: EventLog, timer: Timer
    ) -> None:
        self._tracker = tracker
        self._port = port
        self._hello = hello
        self._events = events
        self._timer = timer
        self._connection: PeerConnection | None = None
        self._waiting: dict[int, trio.MemorySendChannel[PromptDecision]] = {}
        self._ids = itertools.count(1)
        self._suspected_until = 0.0
        self._wait = AnswerWait(least_s=ANSWER_MARGIN_S, most_s=MAX_ANSWER_MARGIN_S)
        # When each unanswered offer's answer is due, also of those given up.
        self._due: dict[int, float] = {}
        self._ended_send, self._ended_receive = trio.open_memory_channel[PromptEnded](10_000)

    async def run(self) -> None:
        """Keep the connection until cancelled."""
        backoff = Backoff(first_s=FIRST_RECONNECT_S, max_s=MAX_RECONNECT_S)
        while True:
            try:
                await self._serve(backoff)
            except (OSError, TransportError, trio.TooSlowError) as error:
                self._note_lost(error)
            await trio.sleep(backoff.next_delay())

    async def offer(
        self, call_id: str, prompt: PromptCall, plan: PromptPlan, round_trip_s: float
    ) -> OfferAnswer | None:
        """Offer a prompt; return the agent's decision, or None if there is none."""
        connection = self._connection
        if connection is None or self._timer.now() < self._suspected_until:
            return None
        offer_id = next(self._ids)
        send, receive = trio.open_memory_channel[PromptDecision](1)
        self._waiting[offer_id] = send
        self._note_due(offer_id, self._timer.now() + round_trip_s)
        try:
            with trio.move_on_after(round_trip_s + self._wait.wait_s):
                await connection.send(_make_offer(offer_id, call_id, prompt, plan))
                return self._read(await receive.receive())
        except (TransportError, trio.EndOfChannel):
            return None
        finally:
            self._waiting.pop(offer_id, None)
        self._suspected_until = self._timer.now() + SUSPICION_S
        return None

    def end_later(self, offer_id: int, *, read: bool, took_s: float = 0.0) -> None:
        """Tell the agent the end of a granted prompt, without waiting for it."""
        try:
            self._ended_send.send_nowait(PromptEnded(offer_id, read, max(0, _to_ms(took_s))))
        except trio.WouldBlock:
            # The agent forgets a grant by itself after its time.
            self._events.record(Event.PEER_LOST, detail="too many ends of prompts wait to be told")

    async def _serve(self, backoff: Backoff) -> None:
        host = self._tracker.entry.address.host
        with trio.fail_after(CONNECT_TIMEOUT_S):
            connection, hello = await PeerConnection.connect(host, self._port, self._hello)
        try:
            self._events.record(Event.PEER_CONNECTED, peer=hello.process)
            backoff.reset()
            self._connection = connection
            self._tracker.forget_kept()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_ends, connection)
                await self._receive(connection)
        except* (TransportError, trio.TooSlowError) as group:
            # An error raised here would become part of a group when the task is cancelled as well.
            self._note_lost(group.exceptions[0])
        finally:
            self._connection = None
            self._due.clear()
            for channel in self._waiting.values():
                channel.close()
            connection.close()

    async def _receive(self, connection: PeerConnection) -> None:
        while True:
            with trio.fail_after(SILENCE_S):
                message = await connection.receive()
            if isinstance(message, EngineDigest):
                self._tracker.note_digest(
                    up=message.up,
                    backlog_tokens=message.backlog_tokens,
                    tokens_per_s=message.tokens_per_s,
                    decoding=message.decoding,
                    fixed_s=message.fixed_ms / MS_PER_S,
                    measured=message.measured,
                )
                self._tracker.note_kept(
                    message.kept,
                    message.yielded,
                    reading=message.reading,
                    complete=message.kept_complete,
                )
            elif isinstance(message, PromptDecision):
                self._take_decision(message)

    def _take_decision(self, decision: PromptDecision) -> None:
        self._tracker.note_backlog(decision.backlog_tokens)
        due = self._due.pop(decision.call_id, None)
        if due is not None:
            self._wait.note(self._timer.now() - due)
        self._suspected_until = 0.0
        channel = self._waiting.pop(decision.call_id, None)
        if channel is not None:
            channel.send_nowait(decision)
        elif decision.granted:
            # The offer has been given up meanwhile.
            self.end_later(decision.call_id, read=False)

    def _note_due(self, offer_id: int, due: float) -> None:
        self._due[offer_id] = due
        if len(self._due) > MAX_UNANSWERED:
            del self._due[next(iter(self._due))]

    def _read(self, decision: PromptDecision) -> OfferAnswer:
        return OfferAnswer(
            Grant(self, decision.call_id) if decision.granted else None,
            decision.uncached_tokens,
            decision.wait_ms / MS_PER_S,
            decision.finish_ms / MS_PER_S,
        )

    async def _send_ends(self, connection: PeerConnection) -> None:
        while True:
            await connection.send(await self._ended_receive.receive())

    def _note_lost(self, error: BaseException) -> None:
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
    ) -> None:
        self._engines = engines
        self._port = port
        self._hello = Hello(
            ConnectionKind.PROMPT, process, random.getrandbits(INCARNATION_BITS), zone, region
        )
        self._events = events
        self._timer = timer
        self._links: dict[EngineTracker, tuple[AgentLink, trio.CancelScope]] = {}

    async def run(self) -> None:
        """Follow the engines until cancelled."""
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
        """Offer a prompt to the agent of a plan's reader; see `AgentLink.offer`."""
        if plan.reader not in self._links:
            return None
        return await self._links[plan.reader][0].offer(call_id, prompt, plan, round_trip_s)

    def _start(self, engine: EngineTracker, nursery: trio.Nursery) -> None:
        link = AgentLink(engine, self._port, self._hello, self._events, self._timer)
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
        to_uint32(prompt.shared_tokens) if plan.donor is not None else 0,
    )


def _to_ms(seconds: float) -> int:
    """Return milliseconds as a message can carry them."""
    return int(max(-MAX_INT32, min(seconds * MS_PER_S, MAX_INT32)))
