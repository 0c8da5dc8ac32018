"""Published configuration, from the log stream `config` and from updates of other processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from figwalk.errors import SettingsError
from figwalk.protocol.messages import ConfigUpdate
from figwalk.protocol.records import (
    Change,
    ConfigEntry,
    Publish,
    Record,
    Snapshot,
    decode_entries,
    encode_entries,
)
from figwalk.state.published import (
    LIMITS_PATH,
    ORGANISATIONS_PREFIX,
    PRESET_IN_FORCE_PATH,
    PRESETS_PREFIX,
    SERVICES_PREFIX,
    WITHDRAWN_PREFIX,
    Limits,
    OrganisationConfig,
    Preset,
    ServiceConfig,
)
from figwalk.state.published_values import parse_published_value
from figwalk.state.replayed_state import ReplayedState

if TYPE_CHECKING:
    from figwalk.coordination.log_client import StoredRecord

RECENT_IDS_WINDOW_MS = 3_600_000  # Repeated appends are not expected to arrive later than this.
RECENT_RESULTS = 1024

Entries = dict[str, ConfigEntry]


@attrs.frozen
class PublishResult:
    """Result of one publication; every process that reads the log gets the same.

    Attributes:
        record_id: Record id of the publication.
        accepted: Whether it took effect.
        revision: Its revision if it was accepted; after a conflict, the current revision of the
            path; the newest accepted revision if the publication is malformed.
        conflict_path: Path whose base was not current; empty if the publication was accepted
            or is malformed.
    """

    record_id: str
    accepted: bool
    revision: int
    conflict_path: str = ""


class Configuration(ReplayedState[PublishResult]):
    """Published configuration of this process.

    The state replayed from the log and the state adopted from other processes are separate; the
    one with the higher revision is in force. Adopted entries therefore never affect whether a
    publication is accepted, and the configuration in force never reverts to an older revision.

    Deleted paths remain as entries without a value. Their revision prevents a repeated or late
    publication from creating the path again.
    """

    def __init__(self) -> None:
        super().__init__(RECENT_IDS_WINDOW_MS)
        self._replayed: Entries = {}
        self._replayed_revision = 0
        self._adopted: Entries = {}
        self._adopted_revision = 0
        self._gap_end = 0
        self._complete = True
        self._pending: list[tuple[int, Publish]] = []
        self._results: dict[str, PublishResult] = {}
        self._parsed: dict[str, Any] = {}
        self._snapshot_revision = 0
        self._snapshot_time_ms: int | None = None

    @property
    def revision(self) -> int:
        """Revision in force, set by the newest accepted publication; 0 if there is none."""
        return max(self._replayed_revision, self._adopted_revision)

    @property
    def complete(self) -> bool:
        """Whether the replayed state has no gap; without it, publications can't be decided.

        False from a gap in the log until a snapshot or an adopted state covers the gap.
        """
        return self._complete

    @property
    def records_since_snapshot(self) -> int:
        """Number of records that the newest snapshot does not cover."""
        return self.next_offset - self._snapshot_revision

    @property
    def snapshot_time_ms(self) -> int | None:
        """Record time of the newest snapshot in milliseconds, or None if none was read."""
        return self._snapshot_time_ms

    def adopt(self, update: ConfigUpdate) -> bool:
        """Adopt the configuration of another process if it is newer.

        An update that is not full must contain all changes after a revision that this process has.

        Args:
            update: Full state or changes from another process.

        Returns:
            Whether the configuration in force changed.

        Raises:
            MalformedRecordError: The entries of the update can't be decoded.
        """
        if update.revision <= self.revision:
            return False
        entries = dict(self._in_force)
        _merge(entries, decode_entries(update.entries))
        self._adopted = entries
        self._adopted_revision = update.revision
        self._parsed.clear()
        self._resume_from_adopted(self.next_offset)
        return True

    def create_update(self, after_revision: int = 0) -> ConfigUpdate:
        """Return an update with the entries changed after a revision, or all for revision 0."""
        entries = encode_entries(self.entries_after(after_revision))
        return ConfigUpdate(self.revision, after_revision == 0, entries)

    def create_snapshot(self, record_id: str) -> Snapshot:
        """Return a snapshot of the state replayed from the log.

        Its revision is the offset up to which it covers the log, not that of the newest accepted
        publication, because it also covers refused publications and snapshots after that one.
        """
        return Snapshot(record_id, self.next_offset, _sort(self._replayed))

    def get(self, path: str) -> ConfigEntry | None:
        """Return the entry of a path, without a value if deleted; None if it never existed."""
        return self._in_force.get(path)

    def entries(self) -> list[ConfigEntry]:
        """Return all entries in the order of their paths, deleted ones included."""
        return _sort(self._in_force)

    def entries_after(self, revision: int) -> list[ConfigEntry]:
        """Return the entries that changed after a revision, deleted ones included."""
        return [entry for entry in self.entries() if entry.revision > revision]

    def result(self, record_id: str) -> PublishResult | None:
        """Return the result of a recent publication, or None if it is not known."""
        return self._results.get(record_id)

    def preset_in_force(self) -> Preset:
        """Return the preset in force; the default one if it is not published."""
        name = self._parse(PRESET_IN_FORCE_PATH)
        preset = self._parse(PRESETS_PREFIX + name) if name else None
        return preset or Preset()

    def services(self) -> dict[str, ServiceConfig]:
        """Return the services by name."""
        return self._parse_all(SERVICES_PREFIX)

    def organisation(self, name: str) -> OrganisationConfig:
        """Return the configuration of an organisation; the default one if not published."""
        return self._parse(ORGANISATIONS_PREFIX + name) or OrganisationConfig()

    def withdrawn(self) -> set[str]:
        """Return the names of the withdrawn backend servers."""
        return set(self._parse_all(WITHDRAWN_PREFIX))

    def limits(self) -> Limits:
        """Return the limits; the default ones if not published."""
        return self._parse(LIMITS_PATH) or Limits()

    @property
    def _in_force(self) -> Entries:
        return self._adopted if self._adopted_revision > self._replayed_revision else self._replayed

    def _observe(self, record: StoredRecord) -> None:
        self._resume_from_adopted(record.offset)

    def _enter_gap(self, offset: int) -> None:
        self._gap_end = offset
        self._complete = False
        self._pending.clear()

    def _apply_content(self, record: StoredRecord, content: Record) -> PublishResult | None:
        if isinstance(content, Snapshot):
            self._apply_snapshot(record, content)
            return None
        if not isinstance(content, Publish):
            return None
        if not self._complete:
            self._pending.append((record.offset, content))
            return None
        return self._decide(record.offset, content)

    def _apply_snapshot(self, record: StoredRecord, snapshot: Snapshot) -> None:
        if not self._complete and snapshot.revision >= self._gap_end:
            entries: Entries = {}
            _merge(entries, snapshot.entries)
            self._resume_from(snapshot.revision, entries)
        if self._complete and snapshot.revision >= self._snapshot_revision:
            self._snapshot_revision = snapshot.revision
            self._snapshot_time_ms = record.time_ms

    def _resume_from_adopted(self, next_offset: int) -> None:
        """Resume from the adopted state as from a snapshot, once the replay has reached it."""
        if not self._complete and self._gap_end <= self._adopted_revision <= next_offset:
            self._resume_from(self._adopted_revision, self._adopted)

    def _resume_from(self, offset: int, entries: Entries) -> None:
        """Resume from the state before an offset; decide the pending publications after it."""
        self._complete = True
        self._replayed = dict(entries)
        self._replayed_revision = max((entry.revision for entry in entries.values()), default=0)
        self._parsed.clear()
        pending, self._pending = self._pending, []
        for publish_offset, publish in pending:
            if publish_offset >= offset:
                self._decide(publish_offset, publish)

    def _decide(self, offset: int, publish: Publish) -> PublishResult:
        conflict = self._find_conflict(publish.changes)
        if conflict is not None:
            result = PublishResult(
                publish.record_id, False, self._replayed_revision_of(conflict), conflict
            )
        elif _is_well_formed(publish.changes):
            self._accept(offset + 1, publish.changes)
            result = PublishResult(publish.record_id, True, offset + 1)
        else:
            result = PublishResult(publish.record_id, False, self._replayed_revision)
        self._store_result(result)
        return result

    def _find_conflict(self, changes: list[Change]) -> str | None:
        for change in changes:
            if change.base != self._replayed_revision_of(change.path):
                return change.path
        return None

    def _replayed_revision_of(self, path: str) -> int:
        entry = self._replayed.get(path)
        return entry.revision if entry else 0

    def _accept(self, revision: int, changes: list[Change]) -> None:
        for change in changes:
            self._replayed[change.path] = ConfigEntry(change.path, change.value, revision)
        self._replayed_revision = revision
        self._parsed.clear()

    def _store_result(self, result: PublishResult) -> None:
        self._results[result.record_id] = result
        if len(self._results) > RECENT_RESULTS:
            del self._results[next(iter(self._results))]

    def _parse(self, path: str) -> Any:
        """Return the typed value of a path; None if it is missing or not valid."""
        if path not in self._in_force:
            return None
        if path not in self._parsed:
            self._parsed[path] = _parse_entry(self._in_force[path])
        return self._parsed[path]

    def _parse_all(self, prefix: str) -> dict[str, Any]:
        if prefix not in self._parsed:
            paths = [path for path in self._in_force if path.startswith(prefix)]
            values = {path.removeprefix(prefix): self._parse(path) for path in paths}
            self._parsed[prefix] = {k: value for k, value in values.items() if value is not None}
        return dict(self._parsed[prefix])


def _merge(entries: Entries, newer: list[ConfigEntry]) -> None:
    for entry in newer:
        current = entries.get(entry.path)
        if current is None or current.revision < entry.revision:
            entries[entry.path] = entry


def _sort(entries: Entries) -> list[ConfigEntry]:
    return [entries[path] for path in sorted(entries)]


def _parse_entry(entry: ConfigEntry) -> Any:
    if entry.value is None:
        return None
    try:
        return parse_published_value(entry.path, entry.value).value
    except SettingsError:
        return None


def _is_well_formed(changes: list[Change]) -> bool:
    paths = {change.path for change in changes}
    return bool(changes) and len(paths) == len(changes)
