"""Shares the reports of crashes among gateways through a topic of the platform's log."""

from __future__ import annotations

import json
import sys
from hashlib import blake2b

import attrs
import cattrs
import trio

from figwalk.coordination.backoff import Backoff
from figwalk.coordination.call_quarantine import CallQuarantine
from figwalk.coordination.compacted_log import CompactedLogWriter, KeyedRecord, TopicHandler
from figwalk.coordination.crash_evidence import CrashId, CrashReport
from figwalk.errors import LogUnavailableError
from figwalk.events import Event, EventLog

# Keeps a burst of changes in one append.
PUBLISH_DELAY_S = 0.02
# Half of what the platform's store takes in one append; a report has at most 80 KB.
MAX_APPEND_BYTES = 1024 * 1024
# The store takes keys of up to 255 bytes.
MAX_KEY_BYTES = 200
# Larger numbers can't be compared with the wall clock, which is a double in places.
MAX_TIME_MS = 2**53
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0


@attrs.frozen
class _StoredReport:
    """A `CrashReport` as the log stores it, in JSON."""

    reporter: str
    backend: str
    born_ms: int
    at_ms: int
    prompts: list[list[str]]
    sound: list[str]
    requests: list[str] = attrs.field(factory=list)  # Earlier versions store none.


class CrashReports(TopicHandler):
    """Applies the reports of other gateways, and publishes those of this one.

    Each report is a record of its own, under the names of gateway and engine, so that concurrent
    writers never overwrite each other. A gateway removes its reports when they expire, and beside
    that those of gateways that no longer exist.

    Args:
        log: Writes to the topic.
        topic: Name of the topic.
        quarantine: Holds the reports.
        events: Event log.
    """

    def __init__(
        self, log: CompactedLogWriter, topic: str, quarantine: CallQuarantine, events: EventLog
    ) -> None:
        self._log = log
        self._topic = topic
        self._quarantine = quarantine
        self._events = events
        self._removals: dict[str, None] = {}
        self._changed = trio.Event()
        self._backoff = Backoff(first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S)

    async def run(self) -> None:
        """Publish reports as they change, until cancelled."""
        while True:
            await self._changed.wait()
            await trio.sleep(PUBLISH_DELAY_S)
            self._changed = trio.Event()
            await self._publish()

    def notify(self) -> None:
        """Have the unpublished reports of this gateway published."""
        self._changed.set()

    def expire(self) -> None:
        """Forget old reports, and remove those of this gateway from the log."""
        expired = self._quarantine.expire()
        if expired:
            self._removals |= {_key(report): None for report in expired}
            self.notify()

    def apply(self, record: KeyedRecord) -> None:
        """Apply a report; skip one that can't be decoded."""
        if record.value is None:
            return
        try:
            report = _decode(record.value)
        except (ValueError, RecursionError, cattrs.BaseValidationError) as error:
            self._events.record(
                Event.CRASH_REPORT_SKIPPED, offset=record.offset, detail=repr(error)
            )
            return
        if not self._quarantine.apply(report):
            self._removals[record.key] = None

    def apply_key_set(self, keys: frozenset[str]) -> None:
        """Do nothing: what was reported stays true if the log has lost it."""

    def set_available(self, *, available: bool) -> None:
        """Do nothing: the reports known so far stay in force."""

    def handle_restore(self) -> None:
        """Publish all reports of this gateway again, which the older copy may lack."""
        self._quarantine.publish_all()

    async def _publish(self) -> None:
        removals, self._removals = self._removals, {}
        records: dict[str, bytes | None] = dict(removals)
        reports: list[CrashReport] = []
        size = 0
        for report in self._quarantine.unpublished:
            if size >= MAX_APPEND_BYTES:
                self.notify()
                break
            value = records[_key(report)] = _encode(report)
            size += len(value)
            reports.append(report)
        if not records:
            return
        try:
            await self._log.append(self._topic, records)
        except LogUnavailableError as error:
            self._removals = removals | self._removals
            self._events.record(
                Event.CRASH_REPORTS_UNPUBLISHED, reports=len(records), detail=str(error)
            )
            await trio.sleep(self._backoff.next_delay())
            self.notify()
            return
        self._backoff.reset()
        self._quarantine.mark_published(reports)


def _key(report: CrashReport) -> str:
    key = f"{report.reporter}/{report.crash.backend}/{report.crash.born_ms}"
    if len(key.encode()) <= MAX_KEY_BYTES:
        return key
    return blake2b(key.encode(), digest_size=MAX_KEY_BYTES // 8).hexdigest()


def _encode(report: CrashReport) -> bytes:
    stored = _StoredReport(
        report.reporter,
        report.crash.backend,
        report.crash.born_ms,
        report.at_ms,
        [list(parts) for parts in sorted(report.prompts)],
        sorted(report.sound),
        sorted(report.requests),
    )
    return json.dumps(attrs.asdict(stored)).encode()


def _decode(value: bytes) -> CrashReport:
    """Decode a report.

    Raises:
        ValueError: The value is not JSON, or has a time that is out of range.
        RecursionError: The value is nested too deeply.
        BaseValidationError: The value does not have the fields of a report.
    """
    stored = cattrs.structure(json.loads(value), _StoredReport)
    if not 0 <= stored.at_ms <= MAX_TIME_MS:
        raise ValueError(f"at_ms is {stored.at_ms}, not from 0 to {MAX_TIME_MS}")
    return CrashReport(
        stored.reporter,
        CrashId(stored.backend, stored.born_ms),
        stored.at_ms,
        # A part is in many reports; one copy of its id is kept.
        frozenset(tuple(map(sys.intern, parts)) for parts in stored.prompts),
        frozenset(stored.sound),
        frozenset(stored.requests),
    )
