"""A log that a gateway reads through an agent of its zone, or itself if none can be used."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from figwalk.coordination.compacted_log import CompactedLog, KeyedPage
from figwalk.errors import LogTruncatedError, LogUnavailableError
from figwalk.events import Event, EventLog
from figwalk.relay.read_limits import ReadLimits
from figwalk.relay.reader_choice import ReaderChoice
from figwalk.relay.relay_link import RelayLink
from figwalk.timer import Timer

# With fewer gateways, the messages outweigh the reads of the store that they save.
MIN_GATEWAYS = 3


class RelayedLog(CompactedLog):
    """Reads one topic through the chosen agent, and otherwise from the store itself.

    Whole listings always come from the store. Each read names the offset that it continues from and
    an answer of an era before the newest one known is not used, so that nothing goes back when the
    reader changes.

    Args:
        store: The store.
        links: Returns the connections to agents.
        choice: Chooses the agent.
        limits: Times of relayed reads.
        events: Event log.
        timer: Source of time.
        zone: Availability zone of this gateway.
        on_read: Called with `store` or `relay` for each read that was made there.
    """

    def __init__(
        self,
        store: CompactedLog,
        links: Callable[[], Iterable[RelayLink]],
        choice: ReaderChoice,
        limits: ReadLimits,
        events: EventLog,
        timer: Timer,
        *,
        zone: str,
        on_read: Callable[[str], None],
    ) -> None:
        self._store = store
        self._links = links
        self._choice = choice
        self._limits = limits
        self._events = events
        self._timer = timer
        self._zone = zone
        self._on_read = on_read
        self._era: int | None = None
        self._reader: str | None = None
        self._failures = 0

    async def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key; see `CompactedLog.read_newest`."""
        self._on_read("store")
        return self._track_era(await self._store.read_newest(topic))

    async def read(self, topic: str, offset: int, *, wait_s: float = 0.0) -> KeyedPage:
        """Return the records from an offset; see `CompactedLog.read`."""
        if wait_s == 0 and self._limits.wait_s > 0:
            # The follower reads without waiting after a failure, to learn what it has missed.
            try:
                return await self._read_store(topic, offset, wait_s)
            except LogUnavailableError:
                page = await self._read_relay(topic, offset)
                if page is None:
                    raise
                return page
        failures = self._failures
        page = await self._read_relay(topic, offset)
        if page is not None:
            return page
        # A failed relayed read has used up the time for which records may be late.
        return await self._read_store(topic, offset, wait_s if failures == self._failures else 0.0)

    async def _read_store(self, topic: str, offset: int, wait_s: float) -> KeyedPage:
        self._on_read("store")
        return self._track_era(await self._store.read(topic, offset, wait_s=wait_s))

    async def _read_relay(self, topic: str, offset: int) -> KeyedPage | None:
        """Return the chosen agent's answer, or None if there is no agent or its answer is unfit."""
        chosen = self._reader_link()
        if chosen is None:
            self._reader = None
            return None
        agent, link = chosen
        asked_at = self._timer.now()
        try:
            page = await link.read(topic, offset, self._era, self._limits)
            self._check(page, offset)
        except LogTruncatedError:
            # The agent started to read after the records were written, or they are too large.
            return None
        except LogUnavailableError as error:
            self._reader = None
            self._failures += 1
            avoid_s = self._choice.mark_failed(agent, asked_at)
            self._events.record(
                Event.RELAY_LEFT,
                topic=topic,
                peer=agent,
                avoid_s=round(avoid_s, 3),
                detail=str(error),
            )
            return None
        self._choice.mark_answered(agent)
        if agent != self._reader:
            self._reader = agent
            self._events.record(Event.RELAY_USED, topic=topic, peer=agent, offset=offset)
        self._on_read("relay")
        return self._track_era(page)

    def _reader_link(self) -> tuple[str, RelayLink] | None:
        links = {
            link.agent.process: link
            for link in self._links()
            if link.agent is not None
            and link.agent.zone == self._zone
            and link.gateways >= MIN_GATEWAYS
        }
        agent = self._choice.choose(links)
        return None if agent is None else (agent, links[agent])

    def _check(self, page: KeyedPage, offset: int) -> None:
        """Check an agent's answer.

        Raises:
            LogUnavailableError: The answer is older than one from the store itself could be.
        """
        if self._era is not None and (page.era is None or page.era < self._era):
            raise LogUnavailableError(f"the agent read era {page.era}, before {self._era}")
        if page.next_offset < offset:
            raise LogUnavailableError(f"the agent read up to {page.next_offset}, before {offset}")
        if page.age_s > self._limits.max_age_s:
            raise LogUnavailableError(f"the agent's answer is {page.age_s:.3f} s old")

    def _track_era(self, page: KeyedPage) -> KeyedPage:
        if page.era is not None and (self._era is None or page.era > self._era):
            self._era = page.era
        return page
