"""Applies the records of the platform's store: the configuration and the backend servers."""

from __future__ import annotations

from collections.abc import Callable

from figwalk.coordination.compacted_log import KeyedRecord, TopicHandler
from figwalk.errors import FigwalkError
from figwalk.events import Event, EventLog
from figwalk.state.backend_directory import BackendDirectory, BackendEntry
from figwalk.state.routing import RoutingConfig


class RoutingReader(TopicHandler):
    """Holds the newest configuration; an older version never replaces it.

    Args:
        key: Key of the configuration record.
        decode: Decodes the value of that record.
        events: Event log.
        on_adopted: Called with each configuration that takes effect.
        on_restored: Called when the store came back from an older copy.
    """

    def __init__(
        self,
        key: str,
        decode: Callable[[bytes], RoutingConfig],
        events: EventLog,
        *,
        on_adopted: Callable[[RoutingConfig], None],
        on_restored: Callable[[], None] = lambda: None,
    ) -> None:
        self._key = key
        self._decode = decode
        self._events = events
        self._on_adopted = on_adopted
        self._on_restored = on_restored
        self._current: RoutingConfig | None = None
        self._record: KeyedRecord | None = None
        self._stored_version = -1

    @property
    def current(self) -> RoutingConfig | None:
        """The configuration in force, or None before the first one."""
        return self._current

    @property
    def record(self) -> KeyedRecord | None:
        """Record of the configuration in force, or None before the first one."""
        return self._record

    @property
    def is_lost(self) -> bool:
        """Whether the store has only an older configuration, or none."""
        return self._current is not None and self._stored_version < self._current.version

    def apply(self, record: KeyedRecord) -> None:
        """Apply a record if it holds a newer configuration; reject one that can't be decoded."""
        if record.key != self._key or record.value is None:
            return
        self._stored_version = max(self._stored_version, self._adopt(record, record.value))

    def adopt_copy(self, record: KeyedRecord) -> int:
        """Apply a copy of the record from another topic; return its version, or -1 if it has none.

        The configuration counts as lost until the store has it itself.
        """
        if record.key != self._key or record.value is None:
            return -1
        return self._adopt(record, record.value)

    def _adopt(self, record: KeyedRecord, value: bytes) -> int:
        try:
            routing = self._decode(value)
        except FigwalkError as error:
            self._events.record(Event.CONFIG_REJECTED, offset=record.offset, detail=str(error))
            return -1
        if self._current is not None and routing.version <= self._current.version:
            return routing.version
        self._current, self._record = routing, record
        self._events.record(
            Event.CONFIG_ADOPTED,
            version=routing.version,
            offset=record.offset,
            routes=len(routing.routes),
            services=len(routing.services),
        )
        self._on_adopted(routing)
        return routing.version

    def apply_key_set(self, keys: frozenset[str]) -> None:
        """Do nothing: the configuration stays in force even if its record is gone."""

    def set_available(self, *, available: bool) -> None:
        """Do nothing: the configuration stays in force while the store is unavailable."""

    def handle_restore(self) -> None:
        """Keep the configuration, which the restored, older copy of the store may lack."""
        self._stored_version = -1
        self._on_restored()


class BackendReader(TopicHandler):
    """Applies registrations of backend servers to the directory.

    Args:
        directory: The registered backend servers.
        decode: Decodes a registration from its key and value.
        events: Event log.
    """

    def __init__(
        self,
        directory: BackendDirectory,
        decode: Callable[[str, bytes], BackendEntry],
        events: EventLog,
    ) -> None:
        self._directory = directory
        self._decode = decode
        self._events = events

    def apply(self, record: KeyedRecord) -> None:
        """Apply a registration or a removal; skip a record that can't be decoded."""
        if record.value is None:
            self._directory.remove(record.key)
            return
        try:
            entry = self._decode(record.key, record.value)
        except FigwalkError as error:
            self._events.record(
                Event.BACKEND_RECORD_SKIPPED, offset=record.offset, detail=str(error)
            )
            return
        self._directory.apply(entry)

    def apply_key_set(self, keys: frozenset[str]) -> None:
        """Remove backend servers that are missing in a complete listing of the topic."""
        self._directory.remove_missing(set(keys))
        self._directory.mark_loaded()

    def set_available(self, *, available: bool) -> None:
        """Report to the directory whether the store answers."""
        self._directory.set_store_available(available=available)

    def handle_restore(self) -> None:
        """Report to the directory that registrations may be missing until they are renewed."""
        self._directory.handle_restore()
