"""Directory of the registered backend servers, built from a list that lags and is unordered."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum

import attrs

from figwalk.events import Event, EventLog
from figwalk.protocol.messages import Role
from figwalk.state.backend_notices import BackendNotices
from figwalk.state.settings import Address
from figwalk.timer import Timer

# Registrations that expired while the platform's store was unavailable are renewed within 2 s of
# its recovery. Until then a removal does not show that the backend server has stopped.
RENEWAL_WAIT_S = 2.0
# Removals are kept this long, so that a delayed registration from before one can't undo it.
REMOVAL_RETENTION_S = 120.0
# Largest difference between the clocks of two VMs that is counted on.
CLOCK_TOLERANCE_MS = 5_000
# Changes of the software version that are remembered for one id.
MAX_VERSION_CHANGES = 8


@attrs.frozen
class BackendEntry:
    """Registration of a backend server.

    Attributes:
        backend: Its id; after a restart it usually has a new one.
        service: Service that it is a replica of.
        address: Where it serves HTTP.
        zone: Availability zone.
        slots: Number of calls that it runs at once.
        leaving: Whether it takes no new work.
        born_ms: Wall-clock milliseconds of its start.
        sequence: Increases with each registration since its start.
        cold_s: Seconds for which it is still slow after its start.
        role: Role of an engine; mixed for a plain service.
        software_version: Version of its software. What two versions stream doesn't fit together.
    """

    backend: str
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    born_ms: int
    sequence: int
    cold_s: float = 0.0
    role: Role = Role.MIXED
    software_version: str = ""

    @property
    def age_key(self) -> tuple[int, int]:
        """Sort key of registrations of one id: a restart resets the sequence but starts later."""
        return (self.born_ms, self.sequence)

    def is_same_instance(self, other: BackendEntry) -> bool:
        """Return whether two registrations of an id come from the same start at the same place."""
        return (self.address, self.born_ms) == (other.address, other.born_ms)


class RemovalCause(Enum):
    """Why a registration is no longer known."""

    WITHDRAWN = "withdrawn"  # It was removed while the store was available, or its server leaves.
    NOT_RENEWED = "not_renewed"  # It lapsed in an outage, or an older copy of the store lacks it.


@attrs.frozen
class _Removal:
    """A registration that is no longer known.

    Attributes:
        age_key: Age of the newest registration that was read.
        cause: Why it was removed.
        removed_at: Timer time of the removal.
    """

    age_key: tuple[int, int]
    cause: RemovalCause
    removed_at: float

    def is_undone_by(self, entry: BackendEntry) -> bool:
        """Return whether a registration that is read later is valid again.

        Without a withdrawal, the same registration is valid: backend servers write again what the
        store has lost. After one, the same registration is a write that the store carried out late.
        """
        if self.cause is RemovalCause.NOT_RENEWED:
            return entry.age_key >= self.age_key
        return entry.age_key > self.age_key


@attrs.frozen
class _StartedVersion:
    """The newest start under an id, and the latest ones that changed the software version.

    Attributes:
        born_ms: Wall-clock milliseconds of the newest start.
        software_version: Its software version.
        changes_ms: Starts of instances whose version differed from that of the instance before.
        seen_at: Timer time of its newest registration.
    """

    born_ms: int
    software_version: str
    changes_ms: tuple[int, ...]
    seen_at: float


class BackendDirectory:
    """The registered backend servers.

    `docs/design/records-after-restore.md` has a table of what follows from each record.

    Args:
        events: Event log that records the changes.
        timer: Source of time.
        on_change: Called after each change.
    """

    def __init__(
        self, events: EventLog, timer: Timer, *, on_change: Callable[[], None] = lambda: None
    ) -> None:
        self._events = events
        self._timer = timer
        self._on_change = on_change
        self._entries: dict[str, BackendEntry] = {}
        self._removed: dict[str, _Removal] = {}
        self._versions: dict[str, _StartedVersion] = {}
        # Timer time of the newest registration of each service and software version.
        self._seen_versions: dict[tuple[str, str], float] = {}
        self._expiring: dict[str, float] = {}
        self._store_recovered_at: float | None = None
        self._store_unavailable = False
        self._loaded = False
        self._notices = BackendNotices(timer)

    @property
    def loaded(self) -> bool:
        """Whether the whole list has been read at least once."""
        return self._loaded

    def find(self, backend: str) -> BackendEntry | None:
        """Return the registration of a backend server, or None if it is not registered."""
        return self._entries.get(backend)

    def of_service(self, service: str) -> Iterator[BackendEntry]:
        """Yield the backend servers of a service that take new work."""
        for entry in self._entries.values():
            if entry.service == service and not self._is_leaving(entry):
                yield entry

    def entries(self) -> list[BackendEntry]:
        """Return all registered backend servers."""
        return list(self._entries.values())

    def opens_in_s(self, entry: BackendEntry) -> float:
        """Return the seconds until a backend server accepts calls of this process; 0 if now."""
        return self._notices.opens_in_s(entry.backend, entry.born_ms)

    def takes_work(self, entry: BackendEntry) -> bool:
        """Return whether this instance of a backend server takes calls of this process now.

        Args:
            entry: Registration that was read earlier.
        """
        known = self._find_instance(entry)
        if known is None:
            return False
        return not self._is_leaving(known) and self.opens_in_s(known) <= 0

    def is_registered(self, entry: BackendEntry) -> bool:
        """Return whether this instance of a backend server is registered.

        Args:
            entry: Registration that was read earlier.
        """
        return self._find_instance(entry) is not None

    def is_leaving(self, entry: BackendEntry) -> bool:
        """Return whether this instance of a backend server has announced that it leaves.

        Args:
            entry: Registration that was read earlier.
        """
        return self._is_leaving(self._find_instance(entry) or entry)

    def has_changed_version(
        self, backend: str, software_version: str, *, since_ms: int, until_ms: int
    ) -> bool:
        """Return whether a backend server started again as another software version.

        Args:
            backend: Its id.
            software_version: Its version before.
            since_ms: Wall-clock milliseconds of the start with that version.
            until_ms: Wall-clock milliseconds up to which it may have started again.
        """
        started = self._versions.get(backend)
        if started is None:
            return False
        changes_ms = started.changes_ms
        if started.software_version != software_version:
            changes_ms = (*changes_ms, started.born_ms)
        return any(since_ms < at <= until_ms + CLOCK_TOLERANCE_MS for at in changes_ms)

    def has_seen_version(self, service: str, software_version: str) -> bool:
        """Return whether a backend server of a service and version was registered lately."""
        return (service, software_version) in self._seen_versions

    def mark_leaving(self, entry: BackendEntry) -> None:
        """Record that a backend server announced in an answer that it leaves.

        This instance of it gets no new work, even if the list still shows it as staying.

        Args:
            entry: Registration that was used for the call.
        """
        if self._notices.mark_leaving(entry.backend, entry.born_ms):
            self._record(Event.BACKEND_LEAVING, entry)
            self._on_change()

    def mark_closed(self, entry: BackendEntry, seconds: float) -> None:
        """Record that a backend server accepts no calls of this process for some seconds.

        Args:
            entry: Registration that was used for the call.
            seconds: Duration; times longer than `MAX_CLOSED_S` are reduced to it.
        """
        if self._notices.mark_closed(entry.backend, entry.born_ms, seconds):
            self._events.record(
                Event.BACKEND_CLOSED, backend=entry.backend, service=entry.service, seconds=seconds
            )

    def mark_limit(self, entry: BackendEntry, requests_per_s: float | None, sent_at: float) -> None:
        """Record which limit of requests an answer of a backend server states, if any.

        Args:
            entry: Registration that was used for the call.
            requests_per_s: Requests a second from all processes together, or None.
            sent_at: Timer time at which the call was sent.
        """
        if self._notices.mark_limit(entry.backend, entry.born_ms, requests_per_s, sent_at):
            self._events.record(
                Event.BACKEND_LIMITED,
                backend=entry.backend,
                service=entry.service,
                requests_per_s=requests_per_s,
            )

    def requests_per_s(self, entry: BackendEntry) -> float | None:
        """Return the requests a second that a backend server takes from all processes, or None."""
        return self._notices.requests_per_s(entry.backend, entry.born_ms)

    def mark_loaded(self) -> None:
        """Record that the whole list has been applied."""
        self._loaded = True

    def set_store_available(self, *, available: bool) -> None:
        """Record whether the store that holds the list is available."""
        if available and self._store_unavailable:
            self._await_renewals()
        self._store_unavailable = not available

    def handle_restore(self) -> None:
        """Record that the store was restored from an older copy, without the newest registrations.

        As after an outage, backend servers renew their registrations. Backend servers that were
        withdrawn since the copy was made stay removed, although the copy may still list them.
        """
        self._await_renewals()

    def apply(self, entry: BackendEntry) -> bool:
        """Apply a registration; return whether it was newer than the known one, or valid again.

        Registrations may arrive late: one that is older than the newest one, or than a removal, is
        ignored. One that equals the known one ends the wait for its renewal.
        """
        known = self._entries.get(entry.backend)
        removal = self._removed.get(entry.backend)
        if known is not None and entry.age_key <= known.age_key:
            if entry.age_key == known.age_key:
                self._confirm(known)
            return False
        if removal is not None and not removal.is_undone_by(entry):
            return False
        self._record_version(entry)
        self._entries[entry.backend] = entry
        self._removed.pop(entry.backend, None)
        self._expiring.pop(entry.backend, None)
        if known is None:
            self._record(Event.BACKEND_REGISTERED, entry)
        elif entry.leaving and not known.leaving:
            self._record(Event.BACKEND_LEAVING, entry)
        elif entry.role is not known.role:
            self._record(Event.BACKEND_ROLE_CHANGED, entry)
        if known is None or attrs.evolve(known, sequence=entry.sequence) != entry:
            self._on_change()
        return True

    def remove(self, backend: str) -> None:
        """Apply a removal: at once, or after the renewal time if the store was unavailable."""
        entry = self._entries.get(backend)
        if entry is None:
            return
        if self._is_awaiting_renewals():
            wait_until = (self._store_recovered_at or self._timer.now()) + RENEWAL_WAIT_S
            if backend not in self._expiring:
                self._record(Event.BACKEND_EXPIRING, entry)
            self._expiring.setdefault(backend, wait_until)
        else:
            self._drop(backend, RemovalCause.WITHDRAWN)

    def expire(self) -> None:
        """Drop the removed backend servers whose renewal time is over, and outdated removals."""
        now = self._timer.now()
        for backend in [name for name, until in self._expiring.items() if now >= until]:
            self._drop(backend, RemovalCause.NOT_RENEWED)
        cutoff = now - REMOVAL_RETENTION_S
        for backend in [name for name, r in self._removed.items() if r.removed_at < cutoff]:
            del self._removed[backend]
        self._notices.drop_expired(self._entries.__contains__)
        self._versions = {
            backend: started
            for backend, started in self._versions.items()
            if started.seen_at >= cutoff or backend in self._entries
        }
        self._seen_versions = {
            version: seen_at
            for version, seen_at in self._seen_versions.items()
            if seen_at >= cutoff
        }

    def remove_missing(self, backends: set[str]) -> None:
        """Remove all backend servers that a complete read of the list does not contain."""
        for backend in [name for name in self._entries if name not in backends]:
            self.remove(backend)

    def _record_version(self, entry: BackendEntry) -> None:
        now = self._timer.now()
        self._seen_versions[entry.service, entry.software_version] = now
        known = self._versions.get(entry.backend)
        changes_ms: tuple[int, ...] = ()
        if known is not None:
            is_changed = entry.software_version != known.software_version
            is_start = entry.born_ms > known.born_ms
            new = (entry.born_ms,) if is_start and is_changed else ()
            changes_ms = (*known.changes_ms, *new)[-MAX_VERSION_CHANGES:]
        self._versions[entry.backend] = _StartedVersion(
            entry.born_ms, entry.software_version, changes_ms, now
        )

    def _find_instance(self, entry: BackendEntry) -> BackendEntry | None:
        """Return the newest registration of the same instance, or None if it has none."""
        known = self._entries.get(entry.backend)
        return known if known is not None and known.is_same_instance(entry) else None

    def _is_leaving(self, entry: BackendEntry) -> bool:
        return entry.leaving or self._notices.is_leaving(entry.backend, entry.born_ms)

    def _is_awaiting_renewals(self) -> bool:
        if self._store_unavailable:
            return True
        returned = self._store_recovered_at
        return returned is not None and self._timer.now() - returned < RENEWAL_WAIT_S

    def _await_renewals(self) -> None:
        """Give all backend servers the whole renewal time from now on."""
        self._store_recovered_at = now = self._timer.now()
        for backend in self._expiring:
            self._expiring[backend] = now + RENEWAL_WAIT_S

    def _confirm(self, known: BackendEntry) -> None:
        """Keep a registration that is in the store again, unless its server leaves."""
        if known.backend in self._expiring and not self._is_leaving(known):
            del self._expiring[known.backend]
            self._record(Event.BACKEND_CONFIRMED, known)

    def _drop(self, backend: str, cause: RemovalCause) -> None:
        self._expiring.pop(backend, None)
        entry = self._entries.pop(backend, None)
        if entry is None:
            return
        if self._is_leaving(entry):
            cause = RemovalCause.WITHDRAWN
        self._removed[backend] = _Removal(entry.age_key, cause, self._timer.now())
        self._record(Event.BACKEND_REMOVED, entry, cause=cause.value)
        self._on_change()

    def _record(self, event: Event, entry: BackendEntry, **fields: str) -> None:
        self._events.record(
            event,
            backend=entry.backend,
            service=entry.service,
            address=str(entry.address),
            zone=entry.zone,
            role=entry.role.value,
            born_ms=entry.born_ms,
            sequence=entry.sequence,
            software=entry.software_version,
            **fields,
        )
