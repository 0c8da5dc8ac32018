"""Answers relayed reads of gateways; runs in an agent."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

import trio

from figwalk.coordination.compacted_log import CompactedLog, KeyedPage
from figwalk.errors import LogTruncatedError, LogUnavailableError, TransportError
from figwalk.events import Event, EventLog
from figwalk.protocol.codec import clamp_to_uint32
from figwalk.protocol.messages import NO_OFFSET, Hello, RelayPage, RelayRead, RelayStatus
from figwalk.protocol.peer_connection import PeerConnection
from figwalk.relay.read_limits import ReadLimits, to_ms
from figwalk.relay.shared_topic import SharedTopic
from figwalk.timer import MS_PER_S, Timer

SUMMARY_PERIOD_S = 10.0
# A gateway waits for one answer for each topic. Reads for which it no longer waits end later.
MAX_OPEN_READS = 16


class RelayServer:
    """Reads the store for the gateways of the agent's own zone.

    Args:
        make_log: Returns a client of the store; each topic has its own, so that a slow one does not
            delay the others.
        zone: Availability zone of the agent.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self, make_log: Callable[[], CompactedLog], zone: str, events: EventLog, timer: Timer
    ) -> None:
        self._make_log = make_log
        self._zone = zone
        self._events = events
        self._timer = timer
        self._topics: dict[str, SharedTopic] = {}
        self._gateways: dict[PeerConnection, Hello] = {}
        self._open_reads: dict[PeerConnection, set[trio.CancelScope]] = defaultdict(set)
        self._nursery: trio.Nursery | None = None
        self._answers = 0
        self._summarized = (0, 0)

    @property
    def answers(self) -> int:
        """Number of reads that were answered with a page so far."""
        return self._answers

    @property
    def store_reads(self) -> int:
        """Number of reads of the store so far."""
        return sum(topic.reads for topic in self._topics.values())

    def count_gateways(self) -> int:
        """Return the number of connected gateways of the agent's zone."""
        hellos = self._gateways.values()
        return len({hello.process for hello in hellos if hello.zone == self._zone})

    async def run(self) -> None:
        """Answer reads until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await trio.sleep(SUMMARY_PERIOD_S)
                self._record_summary()

    def add(self, connection: PeerConnection, hello: Hello) -> None:
        """Handle that a gateway has connected."""
        self._gateways[connection] = hello

    def drop(self, connection: PeerConnection) -> None:
        """Handle that a gateway's connection has ended: its reads end too."""
        self._gateways.pop(connection, None)
        for scope in self._open_reads.pop(connection, ()):
            scope.cancel()

    def handle(self, connection: PeerConnection, request: RelayRead) -> None:
        """Start to answer a read."""
        if self._nursery is not None and len(self._open_reads[connection]) < MAX_OPEN_READS:
            self._nursery.start_soon(self._serve, connection, request)
        else:
            self._events.record(
                Event.RELAY_PAGE_UNSENT, topic=request.topic, detail="too many reads are open"
            )

    async def _serve(self, connection: PeerConnection, request: RelayRead) -> None:
        if connection not in self._gateways:
            return
        scope = trio.CancelScope()
        scopes = self._open_reads[connection]
        scopes.add(scope)
        try:
            with scope:
                await connection.send(await self._answer(request))
        except TransportError as error:
            # The task that receives from the connection records the loss.
            self._events.record(
                Event.RELAY_PAGE_UNSENT, topic=request.topic, detail=str(error) or repr(error)
            )
        except Exception as error:
            # The gateway waits in vain and turns to the store; prompts are not affected.
            self._events.record(Event.TASK_FAILED, task="relayed read", error=repr(error))
        finally:
            scopes.discard(scope)

    async def _answer(self, request: RelayRead) -> RelayPage:
        topic = self._topics.get(request.topic)
        if topic is None:
            topic = self._topics[request.topic] = SharedTopic(
                self._make_log(), request.topic, self._timer
            )
        limits = ReadLimits(
            request.wait_ms / MS_PER_S, request.hold_ms / MS_PER_S, request.period_ms / MS_PER_S
        )
        try:
            era = None if request.era == NO_OFFSET else request.era
            page = await topic.read(request.offset, era, limits)
        except LogTruncatedError:
            return RelayPage(request.read_id, RelayStatus.MISSING)
        except LogUnavailableError as error:
            self._events.record(Event.LOG_UNAVAILABLE, topic=request.topic, detail=str(error))
            return RelayPage(request.read_id, RelayStatus.UNAVAILABLE)
        self._answers += 1
        return _encode(request.read_id, page)

    def _record_summary(self) -> None:
        made, answered = self.store_reads, self._answers
        made_before, answered_before = self._summarized
        if (made, answered) == self._summarized:
            return
        self._summarized = (made, answered)
        made_now, answered_now = made - made_before, answered - answered_before
        self._events.record(
            Event.RELAY_SERVED, made=made_now, saved=answered_now - made_now, total_made=made
        )


def _encode(read_id: int, page: KeyedPage) -> RelayPage:
    return RelayPage(
        read_id,
        RelayStatus.OK,
        page.next_offset,
        NO_OFFSET if page.era is None else page.era,
        clamp_to_uint32(to_ms(page.age_s)),
        [record.offset for record in page.records],
        [record.key for record in page.records],
        [record.value or b"" for record in page.records],
        [record.value is None for record in page.records],
    )
