"""Serves gateways: decides on the prompts they offer and sends them the engine's state."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable

import trio

from figwalk.coordination.cached_parts import PartChanges
from figwalk.coordination.prefill_queue import PrefillQueue, PrefillRequest
from figwalk.errors import TransportError
from figwalk.events import Event, EventLog
from figwalk.fairness.fair_share import ShareRequest
from figwalk.prompt_agent.digest_sender import DigestSender
from figwalk.prompt_agent.engine_watcher import EngineWatcher
from figwalk.protocol.codec import clamp_to_uint32
from figwalk.protocol.messages import (
    EngineDigest,
    Hello,
    OriginQuery,
    OriginReply,
    PromptDecision,
    PromptEnded,
    PromptOffer,
    RelayRead,
    StreamBegun,
    StreamExpected,
)
from figwalk.protocol.peer_connection import PeerConnection
from figwalk.relay.relay_server import RelayServer
from figwalk.state.stream_origins import StreamOrigin, StreamOrigins
from figwalk.timer import MS_PER_S, Timer
from figwalk.transport.byte_stream import ByteStream

HELLO_TIMEOUT_S = 2.0
TCP_USER_TIMEOUT_MS = 1500
MAX_UINT16 = 2**16 - 1


class PromptServer:
    """Serves the connections of gateways.

    Args:
        queue: Prompts that were granted to the engine.
        watcher: State of the engine.
        make_hello: Returns the agent's `Hello` message.
        relay: Reads the store for gateways, or None if the agent does not.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self,
        queue: PrefillQueue,
        watcher: EngineWatcher,
        events: EventLog,
        timer: Timer,
        *,
        make_hello: Callable[[], Hello],
        relay: RelayServer | None = None,
    ) -> None:
        self._queue = queue
        self._watcher = watcher
        self._events = events
        self._timer = timer
        self._make_hello = make_hello
        self._relay = relay
        self._origins = StreamOrigins(timer)
        self._digests = DigestSender(self._make_digest, queue.parts, timer)

    @property
    def digests(self) -> DigestSender:
        """Sender of the engine's state; its `send_if_due` is to be called periodically."""
        return self._digests

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve the connection of one gateway until it is lost, then drop the gateway's grants."""
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        connection = PeerConnection(ByteStream(stream))
        gateway = ""
        try:
            with trio.fail_after(HELLO_TIMEOUT_S):
                hello = await connection.receive_hello()
                gateway = hello.process
                await connection.send(self._make_hello())
            self._events.record(Event.PEER_CONNECTED, peer=gateway)
            self._digests.add(connection)
            if self._relay is not None:
                self._relay.add(connection, hello)
            await self._receive(connection)
        except (TransportError, trio.TooSlowError) as error:
            self._events.record(Event.PEER_LOST, peer=gateway, detail=str(error) or repr(error))
        except Exception as error:
            self._events.record(Event.TASK_FAILED, task="peer connection", error=repr(error))
        finally:
            self._digests.remove(connection)
            if self._relay is not None:
                self._relay.drop(connection)
            self._queue.drop(connection)
            connection.close()

    async def _receive(self, connection: PeerConnection) -> None:
        while True:
            message = await connection.receive()
            if isinstance(message, PromptOffer):
                await connection.send(self._decide(connection, message))
            elif isinstance(message, PromptEnded):
                self._queue.finish(
                    (connection, message.call_id),
                    read=message.read,
                    took_s=message.took_ms / MS_PER_S,
                )
            elif isinstance(message, RelayRead) and self._relay is not None:
                self._relay.handle(connection, message)
            elif isinstance(message, StreamBegun):
                self._origins.add(message.attempt, StreamOrigin.from_message(message))
            elif isinstance(message, StreamExpected):
                self._watcher.expect_stream(
                    message.request_id, message.events, message.left_ms / MS_PER_S
                )
            elif isinstance(message, OriginQuery):
                await connection.send(self._find_origin(message))

    def _find_origin(self, query: OriginQuery) -> OriginReply:
        origin = self._origins.find(query.attempt)
        begun = origin.to_message(query.attempt) if origin is not None else None
        return OriginReply(query.query_id, begun)

    def _decide(self, connection: PeerConnection, offer: PromptOffer) -> PromptDecision:
        prompt = PrefillRequest(
            parts=_parse_parts(offer),
            target_s=offer.target_ms / MS_PER_S,
            left_s=offer.left_ms / MS_PER_S,
            after_s=offer.after_ms / MS_PER_S,
            fetched_tokens=offer.fetched_tokens,
            pause_limit=self._watcher.limit_prefill(offer.gap_ms / MS_PER_S),
            share=ShareRequest(offer.organisation, priority=offer.priority, tried=offer.tried),
        )
        decision = self._queue.offer((connection, offer.call_id), connection, prompt)
        granted = decision.granted and self._watcher.up
        if decision.granted and not granted:
            self._queue.finish((connection, offer.call_id), read=False)
        self._events.record(
            Event.PROMPT_DECIDED,
            request_id=offer.request_id,
            granted=granted,
            up=self._watcher.up,
            report_age_s=round(self._watcher.report_age_s, 3),
            target_ms=offer.target_ms,
            after_ms=offer.after_ms,
            fetched=offer.fetched_tokens,
            uncached=int(decision.uncached_tokens),
            wait_s=round(decision.wait_s, 4),
            finish_s=round(decision.finish_s, 4),
            depth=self._queue.depth,
            tokens_per_s=int(self._queue.tokens_per_s),
            fixed_s=round(self._queue.fixed_s, 4),
            streams=self._watcher.stream_load.streams,
            event_s=round(self._watcher.stream_load.event_s, 4),
            needed_event_s=round(self._watcher.stream_load.needed_event_s, 4),
            duty=round(self._queue.duty, 3),
            gap_ms=offer.gap_ms,
            organisation=offer.organisation,
            priority=offer.priority,
            tried=offer.tried.name,
            room=round(decision.share.room, 3),
            room_reason=decision.share.reason.value,
        )
        return PromptDecision(
            offer.call_id,
            granted,
            clamp_to_uint32(decision.uncached_tokens),
            clamp_to_uint32(decision.wait_s * MS_PER_S),
            clamp_to_uint32(decision.finish_s * MS_PER_S),
            clamp_to_uint32(self._queue.backlog_tokens),
            clamp_to_uint32(decision.retry_s * MS_PER_S),
        )

    def _make_digest(self, changes: PartChanges) -> EngineDigest:
        load = self._watcher.stream_load
        return EngineDigest(
            self._watcher.up,
            clamp_to_uint32(self._queue.backlog_tokens),
            self._queue.tokens_per_s,
            clamp_to_uint32(self._watcher.report_age_s * MS_PER_S),
            clamp_to_uint32(self._watcher.decoding),
            list(changes.kept),
            list(changes.yielded),
            clamp_to_uint32(self._queue.fixed_s * MS_PER_S),
            self._queue.measured,
            changes.complete,
            list(self._queue.parts.expected),
            min(self._digests.gateways, MAX_UINT16),
            clamp_to_uint32(load.streams),
            load.event_s * MS_PER_S,
            0 if self._relay is None else min(self._relay.count_gateways(), MAX_UINT16),
            self._watcher.born_ms,
            0.0 if math.isinf(load.needed_event_s) else load.needed_event_s * MS_PER_S,
        )


def _parse_parts(offer: PromptOffer) -> tuple[tuple[str, int], ...]:
    ids = offer.part_ids.split(",") if offer.part_ids else []
    return tuple(zip(ids, offer.part_tokens, strict=False))
