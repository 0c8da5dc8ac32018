"""Gathers the time line of a request's events from several processes."""

from __future__ import annotations

import trio

from figwalk.entry.agent_link import AgentLink
from figwalk.entry.backends import Backends
from figwalk.entry.entry_peers import EntryPeers
from figwalk.errors import FigwalkError
from figwalk.events import EventLog, EventRecord, decode_events, merge_timeline


class Timeline:
    """Gathers the events of a request from this entry, its agents and the other entries."""

    def __init__(self, events: EventLog, backends: Backends, peers: EntryPeers) -> None:
        self._events = events
        self._backends = backends
        self._peers = peers

    async def gather(self, request_id: str) -> list[EventRecord]:
        """Return the events in causal order, without those of processes that don't answer."""
        records = self._events.select(request_id)
        async with trio.open_nursery() as nursery:
            for link in self._backends.links:
                if link.connected:
                    nursery.start_soon(_add_agent_events, link, request_id, records)
            nursery.start_soon(self._add_entry_events, request_id, records)
        return merge_timeline(records)

    async def _add_entry_events(self, request_id: str, records: list[EventRecord]) -> None:
        for data in await self._peers.query_events(request_id):
            records.extend(decode_events(data))


async def _add_agent_events(link: AgentLink, request_id: str, records: list[EventRecord]) -> None:
    try:
        records.extend(decode_events(await link.query_events(request_id)))
    except FigwalkError:
        return
