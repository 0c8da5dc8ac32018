"""Reads one topic of the store once for several gateways; runs in an agent."""

from __future__ import annotations

import math

import attrs
import trio

from figwalk.coordination.compacted_log import CompactedLog, KeyedPage, KeyedRecord
from figwalk.errors import LogError, LogTruncatedError, LogUnavailableError
from figwalk.relay.read_limits import ReadLimits
from figwalk.timer import Timer

# A larger page would delay the digests and decisions that share its connection, 0.1 s at 5 Mbit/s.
MAX_PAGE_BYTES = 64 * 1024
MAX_KEPT_BYTES = 512 * 1024
# Records that were read longer ago are dropped: the gateways have read them elsewhere.
MAX_IDLE_S = 10.0
# A gateway that knows later records than the agent is answered after this many reads at most.
MAX_READS_BEHIND = 2


@attrs.define
class _Fetch:
    """A read of the store in progress.

    Attributes:
        done: Set when it has ended.
        started_at: Boot time of its start, or None while it waits for the end of the period.
        restored_era: Era of the store if it was restored since the read before.
        error: Why it failed; None also if the gateway that it was made for left meanwhile.
    """

    done: trio.Event = attrs.field(factory=trio.Event)
    started_at: float | None = None
    complete: bool = False
    restored_era: int | None = None
    error: LogError | None = None


class SharedTopic:
    """The newest records of one topic, read only while a gateway asks for them.

    Load: the gateways of one zone, each with one request at a time, at the same offset or a few
    records apart. Requests that arrive during a read of the store share its answer.

    Args:
        log: The store.
        topic: Name of the topic.
        timer: Source of time.
    """

    def __init__(self, log: CompactedLog, topic: str, timer: Timer) -> None:
        self._log = log
        self._topic = topic
        self._timer = timer
        self._era: int | None = None
        # Increases whenever the kept records are dropped, so that a read in progress meanwhile does
        # not add records that don't follow the new ones.
        self._generation = 0
        self._base = 0
        self._end: int | None = None
        self._records: list[KeyedRecord] = []
        self._bytes = 0
        self._read_at = -math.inf  # Boot time at which the newest complete read started.
        self._next_read_at = -math.inf
        self._fetch: _Fetch | None = None
        self._reads = 0

    @property
    def reads(self) -> int:
        """Number of reads of the store so far."""
        return self._reads

    async def read(self, offset: int, era: int | None, limits: ReadLimits) -> KeyedPage:
        """Return the records from an offset, and how long before this call they were read.

        Args:
            offset: Offset of the first record.
            era: Era of the store in which the offset is meant, or None if it is unknown.
            limits: Times of the read.

        Raises:
            LogTruncatedError: The records at the offset are not kept here.
            LogUnavailableError: The store did not answer, or has fewer records than the caller.
        """
        arrived_at = self._timer.boot_now()
        hold_until = self._timer.now() + limits.hold_s
        if self._fetch is None and arrived_at - self._read_at > MAX_IDLE_S:
            self._reset()
        if era is not None and self._era is not None and era > self._era:
            self._reset()
            self._era = era
        is_recent = arrived_at - self._read_at <= limits.wait_s
        if limits.period_s == 0 and is_recent and self._has_records(offset):
            return self._make_page(offset, arrived_at)
        behind = 0
        while True:
            fetch = await self._join_fetch(offset, limits)
            if not fetch.complete:
                continue
            if fetch.restored_era is not None:
                # The offset means other records now; the era tells the gateway to list the topic.
                age_s = max(0.0, arrived_at - self._read_at)
                return KeyedPage(offset, (), fetch.restored_era, age_s)
            if offset < self._base:
                raise LogTruncatedError(self._base)
            if self._end is None or self._end < offset:
                behind += 1
                if behind >= MAX_READS_BEHIND:
                    raise LogUnavailableError(f"the store ends at {self._end}, before {offset}")
            elif (
                self._end > offset
                or limits.period_s > 0
                or self._timer.now() + limits.wait_s > hold_until
            ):
                return self._make_page(offset, arrived_at)

    async def _join_fetch(self, offset: int, limits: ReadLimits) -> _Fetch:
        """Wait for the read of the store in progress, or make one; return it."""
        if self._end is None:
            self._base = self._end = offset
        elif offset < self._base:
            raise LogTruncatedError(self._base)
        fetch = self._fetch
        if fetch is not None:
            await fetch.done.wait()
        else:
            fetch = self._fetch = _Fetch()
            try:
                await trio.sleep(self._timer.left_s(self._next_read_at))
                await self._read_store(fetch, self._end, limits)
            finally:
                self._fetch = None
                fetch.done.set()
        if isinstance(fetch.error, LogTruncatedError):
            raise LogTruncatedError(fetch.error.oldest)
        if fetch.error is not None:
            raise LogUnavailableError(str(fetch.error))
        return fetch

    async def _read_store(self, fetch: _Fetch, end: int, limits: ReadLimits) -> None:
        started_at = self._timer.boot_now()
        self._next_read_at = self._timer.now() + limits.period_s
        self._reads += 1
        generation = self._generation
        try:
            page = await self._log.read(self._topic, end, wait_s=limits.wait_s)
            if generation != self._generation:
                return
            fetch.restored_era = self._update_era(page)
        except LogTruncatedError as error:
            self._reset()
            fetch.error = error
            return
        except LogError as error:
            fetch.error = error
            return
        fetch.complete = True
        self._read_at = started_at
        if fetch.restored_era is None:
            self._keep(page)

    def _update_era(self, page: KeyedPage) -> int | None:
        """Return the era if the store was restored since the last page.

        Raises:
            LogUnavailableError: The page was sent before the store was restored.
        """
        known = self._era
        if page.era is None or page.era == known:
            return None
        if known is not None and page.era < known:
            raise LogUnavailableError(f"an answer of era {page.era} came after one of era {known}")
        self._era = page.era
        if known is None:
            return None
        self._reset()
        return page.era

    def _keep(self, page: KeyedPage) -> None:
        for record in page.records:
            size = _count_bytes(record)
            if size > MAX_PAGE_BYTES:
                # Each gateway reads a record of this size from the store.
                self._records.clear()
                self._bytes = 0
                self._base = record.offset + 1
                continue
            self._records.append(record)
            self._bytes += size
        while self._bytes > MAX_KEPT_BYTES:
            dropped = self._records.pop(0)
            self._bytes -= _count_bytes(dropped)
            self._base = dropped.offset + 1
        self._end = page.next_offset

    def _reset(self) -> None:
        self._generation += 1
        self._base = 0
        self._end = None
        self._records.clear()
        self._bytes = 0

    def _has_records(self, offset: int) -> bool:
        return self._end is not None and self._base <= offset < self._end

    def _make_page(self, offset: int, arrived_at: float) -> KeyedPage:
        assert self._end is not None
        records: list[KeyedRecord] = []
        size = 0
        next_offset = self._end
        for record in self._records:
            if record.offset < offset:
                continue
            size += _count_bytes(record)
            if size > MAX_PAGE_BYTES:
                next_offset = record.offset
                break
            records.append(record)
        age_s = max(0.0, arrived_at - self._read_at)
        return KeyedPage(next_offset, tuple(records), self._era, age_s)


def _count_bytes(record: KeyedRecord) -> int:
    return len(record.key) + len(record.value or b"")
