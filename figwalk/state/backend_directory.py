"""Backend servers as they register themselves: a fold over a lagging, unordered list."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from figwalk.events import Event, EventLog
from figwalk.protocol.messages import Role
from figwalk.state.backend_statements import BackendStatements
from figwalk.state.settings import Address
from figwalk.timer import Timer

# Registrations that expired while the platform's store was away are renewed within 2 s of its
# return. Until then the removal of a backend server that still answers says nothing.
RENEWAL_WAIT_S = 2.0
# Removals are remembered this long, so that a late registration of before can't undo them.
REMOVAL_MEMORY_S = 120.0


@attrs.frozen
class BackendEntry:
    """What a backend server says of itself.

    Attributes:
        backend: Its id; a restart mostly draws a new one.
        service: Service that it is a replica of.
        address: Where it serves HTTP.
        zone: Availability zone.
        slots: Calls that it runs at once.
        leaving: Whether it takes no new work.
        born_ms: Wall-clock milliseconds of its start.
        sequence: Increases with each registration since its start.
        cold_s: Seconds that it remains slow after its start.
        role: Role of an engine; mixed for a plain service.
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

    @property
    def age_key(self) -> tuple[int, int]:
        """Orders registrations of one id: a restart counts anew, but is born later."""
        return (self.born_ms, self.sequence)


class BackendDirectory:
    """The registered backend servers.

    Args:
        events: Where changes are recorded.
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
        self._removed: dict[str, tuple[tuple[int, int], float]] = {}
        self._expiring: dict[str, float] = {}
        self._store_returned_at: float | None = None
        self._store_away = False
        self._loaded = False
        self._statements = BackendStatements(timer)

    @property
    def loaded(self) -> bool:
        """Whether the whole list has been read at least once."""
        return self._loaded

    def find(self, backend: str) -> BackendEntry | None:
        """Return a registered backend server."""
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
        """Return the seconds until a backend server takes calls of this process; 0 if now."""
        return self._statements.opens_in_s(entry.backend, entry.born_ms)

    def note_leaving(self, entry: BackendEntry) -> None:
        """Take over that a backend server has said in an answer that it leaves.

        It gets no new work, whatever the list goes on saying of this life of it.

        Args:
            entry: The registration by which it was called.
        """
        if self._statements.note_leaving(entry.backend, entry.born_ms):
            self._record(Event.BACKEND_LEAVING, entry)
            self._on_change()

    def note_closed(self, entry: BackendEntry, seconds: float) -> None:
        """Take over that a backend server wants no calls of this process for some seconds.

        Args:
            entry: The registration by which it was called.
            seconds: How long; longer times than `MAX_CLOSED_S` are cut.
        """
        if self._statements.note_closed(entry.backend, entry.born_ms, seconds):
            self._events.record(
                Event.BACKEND_CLOSED, backend=entry.backend, service=entry.service, seconds=seconds
            )

    def note_loaded(self) -> None:
        """Note that the whole list has been applied."""
        self._loaded = True

    def note_store(self, *, available: bool) -> None:
        """Note whether the store that holds the list answers."""
        if available and self._store_away:
            self._store_returned_at = self._timer.now()
        self._store_away = not available

    def note_restored(self) -> None:
        """Note that the store came back from an older copy, which lacks the newest registrations.

        They are renewed as after an outage. What was removed meanwhile stays removed, although the
        copy may still have it.
        """
        self._store_returned_at = self._timer.now()

    def apply(self, entry: BackendEntry) -> bool:
        """Take over a registration; return whether it was newer than what is known.

        Registrations may arrive late: one of before the newest, or of before a removal, is dropped.
        """
        known = self._entries.get(entry.backend)
        removed = self._removed.get(entry.backend)
        newest = known.age_key if known else removed[0] if removed else None
        if newest is not None and entry.age_key <= newest:
            return False
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
        """Take over a removal, at once or after the time for renewals if the store was away."""
        if backend not in self._entries:
            return
        if self._recently_away():
            wait_until = (self._store_returned_at or self._timer.now()) + RENEWAL_WAIT_S
            self._expiring.setdefault(backend, wait_until)
            self._record(Event.BACKEND_EXPIRING, self._entries[backend])
        else:
            self._drop(backend)

    def expire(self) -> None:
        """Drop the removed backend servers whose time for a renewal is over."""
        now = self._timer.now()
        for backend in [name for name, until in self._expiring.items() if now >= until]:
            self._drop(backend)
        old = [name for name, (_, at) in self._removed.items() if now - at > REMOVAL_MEMORY_S]
        for backend in old:
            del self._removed[backend]
        self._statements.forget_old(self._entries.__contains__)

    def keep_only(self, backends: set[str]) -> None:
        """Remove all that a complete reading of the list does not show."""
        for backend in [name for name in self._entries if name not in backends]:
            self.remove(backend)

    def _is_leaving(self, entry: BackendEntry) -> bool:
        return entry.leaving or self._statements.is_leaving(entry.backend, entry.born_ms)

    def _recently_away(self) -> bool:
        if self._store_away:
            return True
        returned = self._store_returned_at
        return returned is not None and self._timer.now() - returned < RENEWAL_WAIT_S

    def _drop(self, backend: str) -> None:
        self._expiring.pop(backend, None)
        entry = self._entries.pop(backend, None)
        if entry is None:
            return
        self._removed[backend] = (entry.age_key, self._timer.now())
        self._record(Event.BACKEND_REMOVED, entry)
        self._on_change()

    def _record(self, event: Event, entry: BackendEntry) -> None:
        self._events.record(
            event,
            backend=entry.backend,
            service=entry.service,
            address=str(entry.address),
            zone=entry.zone,
            role=entry.role.value,
            born_ms=entry.born_ms,
            sequence=entry.sequence,
        )
