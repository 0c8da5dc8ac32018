"""Publication of configuration changes and snapshots to the log."""

from __future__ import annotations

import uuid

import trio

from figwalk.coordination.log_appender import LogAppender
from figwalk.coordination.log_client import LogClient
from figwalk.coordination.log_follower import LogFollower
from figwalk.errors import (
    LogAnswerLostError,
    LogError,
    LogUnavailableError,
    PublishConflictError,
    SettingsError,
)
from figwalk.events import Event, EventLog
from figwalk.protocol.records import Change, JsonValue, Publish
from figwalk.state.configuration import Configuration, PublishResult
from figwalk.state.published import PRESET_IN_FORCE_PATH, PRESETS_PREFIX
from figwalk.state.published_values import parse_published_value
from figwalk.timer import MS_PER_S, Timer

PUBLISH_TIMEOUT_S = 10.0
MAX_SNAPSHOT_AGE_S = 600.0
# Two pages of a read, which a new entry has to apply after a snapshot.
MAX_RECORDS_SINCE_SNAPSHOT = 1000


class Publisher:
    """Publishes changes, which take effect only if every path is still at its base revision.

    Args:
        client: The log.
        configuration: State replayed from the stream `config`.
        follower: Follower that applies the stream to `configuration`.
        events: Event log.
        timer: Source of time.
        timeout_s: Seconds after which a publication without a result is abandoned.
    """

    def __init__(
        self,
        client: LogClient,
        configuration: Configuration,
        follower: LogFollower,
        events: EventLog,
        timer: Timer,
        *,
        timeout_s: float = PUBLISH_TIMEOUT_S,
    ) -> None:
        self._configuration = configuration
        self._events = events
        self._timer = timer
        self._timeout_s = timeout_s
        # An abandoned publication is not sent again: the operator got an error that it failed or
        # may have failed, and the change must not take effect minutes later.
        self._appender = LogAppender(client, follower, configuration, resend_abandoned=False)

    @property
    def appender(self) -> LogAppender:
        """The process's only writer to the stream."""
        return self._appender

    async def publish(self, changes: list[Change], *, author: str) -> int:
        """Publish changes, all or none, and return their revision.

        Args:
            changes: New values with the revisions that they are based on.
            author: Operator, recorded in the log.

        Raises:
            SettingsError: Paths or values are invalid; the error lists every fault.
            PublishConflictError: Another publication changed one of the paths first.
            LogUnavailableError: Nothing was published.
            LogAnswerLostError: The changes may be published; read the configuration before
                publishing again.
        """
        self._check(changes)
        if not self._configuration.complete:
            raise LogUnavailableError(
                "the log dropped records and no snapshot was read yet",
                remedy="publish through another entry or wait for a snapshot",
            )
        changes = self._guard_preset_in_force(changes)
        publish = Publish(str(uuid.uuid4()), author, changes)
        await self._append(publish)
        return self._report(publish, self._configuration.result(publish.record_id))

    async def _append(self, publish: Publish) -> None:
        started = self._timer.now()
        with trio.move_on_at(started + self._timeout_s) as scope:
            await self._appender.append(publish)
        if scope.cancelled_caught:
            raise LogAnswerLostError(
                f"no result of publication {publish.record_id!r} within {self._timeout_s} s",
                remedy="read the configuration before publishing again",
            )

    def _report(self, publish: Publish, result: PublishResult | None) -> int:
        if result is None:
            raise LogAnswerLostError(
                f"publication {publish.record_id!r} was appended but its result is not known",
                remedy="read the configuration before publishing again",
            )
        if not result.accepted:
            self._events.record(
                Event.CONFIG_CONFLICT,
                author=publish.author,
                path=result.conflict_path,
                revision=result.revision,
            )
            raise PublishConflictError(result.conflict_path, result.revision)
        paths = ", ".join(change.path for change in publish.changes)
        self._events.record(
            Event.CONFIG_PUBLISHED, author=publish.author, paths=paths, revision=result.revision
        )
        return result.revision

    def _check(self, changes: list[Change]) -> None:
        faults = list_faults(changes)
        if not faults:
            faults = self._list_reference_faults(changes)
        if faults:
            self._events.record(Event.CONFIG_REJECTED, faults="; ".join(faults))
            raise SettingsError(faults)

    def _list_reference_faults(self, changes: list[Change]) -> list[str]:
        values = {change.path: change.value for change in changes}
        name = self._value_after(values, PRESET_IN_FORCE_PATH)
        if name is None or self._value_after(values, PRESETS_PREFIX + name) is not None:
            return []
        return [f"{PRESET_IN_FORCE_PATH}: preset {name!r} does not exist"]

    def _value_after(self, values: dict[str, JsonValue], path: str) -> JsonValue:
        if path in values:
            return values[path]
        entry = self._configuration.get(path)
        return entry.value if entry else None

    def _guard_preset_in_force(self, changes: list[Change]) -> list[Change]:
        """Add the unchanged paths that must not change concurrently.

        Without them one operator could activate a preset while another one deletes it, since
        the two publications change different paths.
        """
        values = {change.path: change.value for change in changes}
        guards: list[str] = []
        name = values.get(PRESET_IN_FORCE_PATH)
        if name is not None:
            guards.append(PRESETS_PREFIX + name)
        if any(p.startswith(PRESETS_PREFIX) and v is None for p, v in values.items()):
            guards.append(PRESET_IN_FORCE_PATH)
        return changes + [self._create_unchanged(path) for path in guards if path not in values]

    def _create_unchanged(self, path: str) -> Change:
        entry = self._configuration.get(path)
        if entry is None:
            return Change(path, None, 0)
        return Change(path, entry.value, entry.revision)


def list_faults(changes: list[Change]) -> list[str]:
    """Return every fault of the paths and values of a publication."""
    faults: list[str] = []
    if not changes:
        faults.append("a publication needs at least one change")
    paths = [change.path for change in changes]
    faults += [
        f"{path}: changed more than once" for path in sorted(set(paths)) if paths.count(path) > 1
    ]
    for change in changes:
        faults += _list_change_faults(change)
    return faults


def _list_change_faults(change: Change) -> list[str]:
    if change.base < 0:
        return [f"{change.path}: base revision must not be negative"]
    try:
        parse_published_value(change.path, change.value)
    except SettingsError as error:
        return list(error.faults)
    return []


class Snapshotter:
    """Appends snapshots of the configuration, so that the log can drop older records.

    Args:
        publisher: Provides the writer to the stream.
        configuration: State replayed from the stream.
        events: Event log.
        timer: Source of time.
        max_age_s: Seconds after which a snapshot is replaced; the log must retain records
            longer than twice this time.
        max_records: Records after which a snapshot is replaced.
    """

    def __init__(
        self,
        publisher: Publisher,
        configuration: Configuration,
        events: EventLog,
        timer: Timer,
        *,
        max_age_s: float = MAX_SNAPSHOT_AGE_S,
        max_records: int = MAX_RECORDS_SINCE_SNAPSHOT,
    ) -> None:
        self._publisher = publisher
        self._configuration = configuration
        self._events = events
        self._timer = timer
        self._max_age_s = max_age_s
        self._max_records = max_records

    async def append_if_due(self) -> bool:
        """Append a snapshot if the newest one is too old; return whether one was appended.

        The lease holder calls this periodically. A snapshot by a process that has lost the
        lease is harmless, since each snapshot is the state at a known offset of the log.
        """
        return self._is_due() and await self._append()

    def _is_due(self) -> bool:
        configuration = self._configuration
        if not configuration.complete or configuration.next_offset == 0:
            return False
        if configuration.snapshot_time_ms is None:
            return True
        if configuration.records_since_snapshot >= self._max_records:
            return True
        age_ms = self._timer.wall_ms() - configuration.snapshot_time_ms
        return age_ms >= self._max_age_s * MS_PER_S

    async def _append(self) -> bool:
        snapshot = self._configuration.create_snapshot(str(uuid.uuid4()))
        try:
            with trio.fail_after(PUBLISH_TIMEOUT_S):
                await self._publisher.appender.append(snapshot)
        except (LogError, trio.TooSlowError):
            return False  # The follower reports an unavailable log; the next check tries again.
        self._events.record(
            Event.CONFIG_SNAPSHOT, revision=snapshot.revision, entries=len(snapshot.entries)
        )
        return True
