"""The part of the published configuration that an agent needs."""

from __future__ import annotations

from collections.abc import Callable

from figwalk.errors import FigwalkError
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import ConfigUpdate
from figwalk.protocol.records import ConfigEntry, decode_entries
from figwalk.state.published import ORGANISATIONS_PREFIX, WITHDRAWN_PREFIX


class AgentConfig:
    """Adopts newer configuration and never goes back.

    Args:
        backend: Backend server beside the agent.
        events: Event log.
        on_change: Called after a newer revision is in force.
    """

    def __init__(self, backend: str, events: EventLog, *, on_change: Callable[[], None]) -> None:
        self._withdrawn_path = WITHDRAWN_PREFIX + backend
        self._events = events
        self._on_change = on_change
        self._revision = 0
        self._withdrawn = False
        self._shares: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self._revision

    @property
    def withdrawn(self) -> bool:
        """Whether the backend server is withdrawn."""
        return self._withdrawn

    @property
    def shares(self) -> dict[str, float]:
        """Weights of organisations."""
        return self._shares

    def adopt(self, update: ConfigUpdate) -> None:
        """Put an update in force if its revision is above the present one."""
        if update.revision <= self._revision:
            return
        try:
            entries = decode_entries(update.entries)
        except FigwalkError as error:
            self._events.record(
                Event.CONFIG_REJECTED, revision=update.revision, error=error.message
            )
            return
        if update.full:
            self._withdrawn = False
            self._shares = {}
        for entry in entries:
            self._apply(entry)
        self._revision = update.revision
        self._events.record(Event.CONFIG_ADOPTED, revision=update.revision)
        self._on_change()

    def _apply(self, entry: ConfigEntry) -> None:
        if entry.path == self._withdrawn_path:
            # `{}` is a withdrawal with default values; only a deleted path returns the server.
            self._withdrawn = entry.value is not None
        elif entry.path.startswith(ORGANISATIONS_PREFIX):
            name = entry.path.removeprefix(ORGANISATIONS_PREFIX)
            self._shares = {**self._shares, name: _read_share(entry)}


def _read_share(entry: ConfigEntry) -> float:
    share = entry.value.get("share", 1.0) if isinstance(entry.value, dict) else 1.0
    return float(share) if isinstance(share, int | float) and share > 0 else 1.0
