"""Shares the reports of crashes among gateways through a topic of the platform's log."""

from __future__ import annotations

import json

import attrs
import cattrs
import trio

from figwalk.coordination.backoff import Backoff
from figwalk.coordination.compacted_log import CompactedLogWriter, KeyedRecord, TopicHandler
from figwalk.coordination.crash_evidence import CrashId, CrashReport
from figwalk.coordination.prompt_quarantine import PromptQuarantine
from figwalk.errors import LogUnavailableError
from figwalk.events import Event, EventLog

# Keeps a burst of changes in one append.
PUBLISH_DELAY_S = 0.02
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
        self, log: CompactedLogWriter, topic: str, quarantine: PromptQuarantine, events: EventLog
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
        except (ValueError, cattrs.BaseValidationError) as error:
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
        reports, removals = self._quarantine.unpublished, self._removals
        self._removals = {}
        records = {**removals, **{_key(report): _encode(report) for report in reports}}
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
    return f"{report.reporter}/{report.crash.backend}/{report.crash.born_ms}"


def _encode(report: CrashReport) -> bytes:
    stored = _StoredReport(
        report.reporter,
        report.crash.backend,
        report.crash.born_ms,
        report.at_ms,
        [list(parts) for parts in sorted(report.prompts)],
        sorted(report.sound),
    )
    return json.dumps(attrs.asdict(stored)).encode()


def _decode(value: bytes) -> CrashReport:
    """Decode a report.

    Raises:
        ValueError: The value is not JSON.
        BaseValidationError: The value does not have the fields of a report.
    """
    stored = cattrs.structure(json.loads(value), _StoredReport)
    return CrashReport(
        stored.reporter,
        CrashId(stored.backend, stored.born_ms),
        stored.at_ms,
        frozenset(tuple(parts) for parts in stored.prompts),
        frozenset(stored.sound),
    )
