"""In-memory topics with conditional appends, with faults for each process and restores."""

from collections import defaultdict

import attrs
import trio

from figwalk.coordination.compacted_log import (
    AppendedRecords,
    ConditionalLog,
    KeyedPage,
    KeyedRecord,
)
from figwalk.errors import LogConflictError, LogTruncatedError, LogUnavailableError

ANSWER_S = 0.004
LOST_ANSWER_S = 1.0


@attrs.define
class Topics:
    """The content that all processes share."""

    era: int = 1
    down: bool = False
    records: dict = attrs.field(factory=lambda: defaultdict(list))

    def restore(self, lost):
        """Come back from a copy without the newest records of the topics in `lost`."""
        self.era += 1
        for topic, count in lost.items():
            kept = self.records[topic]
            del kept[max(0, len(kept) - count) :]


class FakeTopics(ConditionalLog):
    """One process's client.

    Attributes:
        cut: Whether no call gets through.
        lost_answers: Number of next appends that are carried out and get no answer.
        late_appends: Number of next appends that get no answer and are carried out 2 s later.
        calls: Number of calls so far.
    """

    def __init__(self, topics):
        self.topics = topics
        self.cut = False
        self.lost_answers = 0
        self.late_appends = 0
        self.calls = 0

    async def read_newest(self, topic):
        """Return the newest record of each key."""
        await self._reach()
        records = self.topics.records[topic]
        newest = {key: offset for offset, (key, _) in enumerate(records)}
        return self._page(topic, sorted(newest.values()))

    async def read(self, topic, offset, *, wait_s=0.0):
        """Return the records from an offset."""
        await self._reach()
        records = self.topics.records[topic]
        if offset > len(records):
            raise LogTruncatedError(0)
        return self._page(topic, range(offset, len(records)))

    async def append(self, topic, records):
        """Append at the end."""
        await self._append(topic, None, records)

    async def append_if_end(self, topic, end, records):
        """Append if the topic ends at an offset."""
        return await self._append(topic, end, records)

    async def _append(self, topic, end, records):
        await self._reach()
        if self.late_appends:
            self.late_appends -= 1
            trio.lowlevel.spawn_system_task(self._append_late, topic, end, records)
            await self._lose()
        if end is not None and len(self.topics.records[topic]) != end:
            raise LogConflictError(len(self.topics.records[topic]))
        first = len(self.topics.records[topic])
        self.topics.records[topic] += records.items()
        if self.lost_answers:
            self.lost_answers -= 1
            await self._lose()
        return AppendedRecords(first, len(self.topics.records[topic]), self.topics.era)

    async def _append_late(self, topic, end, records):
        await trio.sleep(2)
        if end is None or len(self.topics.records[topic]) == end:
            self.topics.records[topic] += records.items()

    async def _reach(self):
        self.calls += 1
        await trio.sleep(ANSWER_S)
        if self.cut or self.topics.down:
            await self._lose()

    async def _lose(self):
        await trio.sleep(LOST_ANSWER_S)
        raise LogUnavailableError("no answer in time")

    def _page(self, topic, offsets):
        records = self.topics.records[topic]
        return KeyedPage(
            len(records), tuple(KeyedRecord(i, *records[i]) for i in offsets), self.topics.era
        )
