"""The part of the published configuration that an agent needs."""

from __future__ import annotations

from collections.abc import Callable

from figwalk.errors import FigwalkError, SettingsError
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import ConfigUpdate
from figwalk.protocol.records import ConfigEntry, decode_entries
from figwalk.state.published import ORGANISATIONS_PREFIX, WITHDRAWN_PREFIX
from figwalk.state.published_values import WithdrawalMode, parse_published_value


class AgentConfig:
    """Applies configuration updates, and ignores those that are not newer.

    Args:
        backend: Backend server beside the agent.
        events: Event log.
        on_change: Called after a newer revision has been applied.
    """

    def __init__(self, backend: str, events: EventLog, *, on_change: Callable[[], None]) -> None:
        self._withdrawn_path = WITHDRAWN_PREFIX + backend
        self._events = events
        self._on_change = on_change
        self._revision = 0
        self._withdrawal: WithdrawalMode | None = None
        self._shares: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self._revision

    @property
    def withdrawal(self) -> WithdrawalMode | None:
        """How the configuration withdraws the backend server, or None if it doesn't."""
        return self._withdrawal

    @property
    def shares(self) -> dict[str, float]:
        """Weights of organisations in admission, by name."""
        return self._shares

    def adopt(self, update: ConfigUpdate) -> None:
        """Apply an update if its revision is above the one in force."""
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
            self._withdrawal = None
            self._shares = {}
        for entry in entries:
            self._apply(entry)
        self._revision = update.revision
        self._events.record(Event.CONFIG_ADOPTED, revision=update.revision)
        self._on_change()

    def _apply(self, entry: ConfigEntry) -> None:
        if entry.path == self._withdrawn_path:
            self._withdrawal = _read_mode(entry)
        elif entry.path.startswith(ORGANISATIONS_PREFIX):
            name = entry.path.removeprefix(ORGANISATIONS_PREFIX)
            self._shares = {**self._shares, name: _read_share(entry)}


def _read_mode(entry: ConfigEntry) -> WithdrawalMode | None:
    """Return the mode of a withdrawal; an invalid value counts as `WITHDRAW`."""
    if entry.value is None:
        return None
    try:
        value = parse_published_value(entry.path, entry.value).value
    except SettingsError:
        return WithdrawalMode.WITHDRAW
    return value.mode


def _read_share(entry: ConfigEntry) -> float:
    share = entry.value.get("share", 1.0) if isinstance(entry.value, dict) else 1.0
    return float(share) if isinstance(share, int | float) and share > 0 else 1.0
