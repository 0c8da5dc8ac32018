"""Keeps keys withdrawn over a restart when the store comes back from an older copy.

A gateway that runs never goes back to an older configuration, but one that starts knows only what
the store has. If the store has lost the configuration in force, the gateways that run write it to a
topic of their own, which gateways read when they start.
"""

from __future__ import annotations

import random

import trio

from figwalk.coordination.backoff import Backoff
from figwalk.coordination.compacted_log import ConditionalLog
from figwalk.errors import LogConflictError, LogError
from figwalk.events import Event, EventLog
from figwalk.gateway.topic_handlers import RoutingReader

# Times between the reads after a start. Others may notice a restore only when the wait of their
# read has ended, and write the copy after that.
LOAD_PAUSES_S = (0.0, 2.0, 3.0)
# Time in which the operator may write the configuration again, and in which one gateway writes the
# copy before the others look for it.
MIN_DELAY_S = 0.5
MAX_DELAY_S = 1.5
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0


class ConfigCopy:
    """Loads the copy of a lost configuration, and writes it.

    Deployments without organisations have no copy.

    Args:
        log: The store.
        topic: Topic of the copy.
        reader: Holds the configuration in force.
        events: Event log.
        rng: Chooses delays.
    """

    def __init__(
        self,
        log: ConditionalLog,
        topic: str,
        reader: RoutingReader,
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._topic = topic
        self._reader = reader
        self._events = events
        self._rng = rng
        self._adopted = trio.Event()
        self._restored = trio.Event()
        self._backoff = Backoff(first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S)

    def record_adopted(self) -> None:
        """Handle that a configuration has taken effect."""
        self._adopted.set()

    def record_restored(self) -> None:
        """Handle that the store came back from an older copy."""
        self._restored.set()

    async def run(self) -> None:
        """Load and write copies until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._load)
            nursery.start_soon(self._write_when_lost)

    async def _load(self) -> None:
        await self._adopted.wait()
        if not self._has_organisations():
            return
        for pause_s in LOAD_PAUSES_S:
            await trio.sleep(pause_s)
            try:
                await self._read()
            except LogError as error:
                self._record_failure(error)

    async def _write_when_lost(self) -> None:
        while True:
            await self._restored.wait()
            self._restored = trio.Event()
            await trio.sleep(self._rng.uniform(MIN_DELAY_S, MAX_DELAY_S))
            while self._has_organisations() and self._reader.is_lost:
                try:
                    await self._write()
                    break
                except LogConflictError:
                    continue  # Another gateway has written meanwhile.
                except LogError as error:
                    self._record_failure(error)
                    await trio.sleep(self._backoff.next_delay())
            self._backoff.reset()

    async def _write(self) -> None:
        """Write the copy unless the topic has it."""
        end, version = await self._read()
        record, routing = self._reader.record, self._reader.current
        if record is None or routing is None or version >= routing.version:
            return
        appended = await self._log.append_if_end(self._topic, end, {record.key: record.value})
        self._events.record(
            Event.CONFIG_COPY_WRITTEN, version=routing.version, offset=appended.offset
        )

    async def _read(self) -> tuple[int, int]:
        """Adopt the copy if it is newer; return the end of the topic and the copy's version."""
        page = await self._log.read_newest(self._topic)
        versions = [self._reader.adopt_copy(record) for record in page.records]
        return page.next_offset, max(versions, default=-1)

    def _has_organisations(self) -> bool:
        routing = self._reader.current
        return routing is not None and routing.organisations is not None

    def _record_failure(self, error: LogError) -> None:
        self._events.record(Event.CONFIG_COPY_UNAVAILABLE, detail=str(error))
