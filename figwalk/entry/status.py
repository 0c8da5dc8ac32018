"""Renders the status of the fleet, as known to one entry, for operators."""

from __future__ import annotations

from collections import deque

import attrs

from figwalk.coordination.log_client import StoredRecord
from figwalk.coordination.log_follower import LogFollower
from figwalk.entry.tallies import Tallies
from figwalk.protocol.records import MalformedRecordError, RoleOrder, decode_record
from figwalk.state.configuration import Configuration
from figwalk.state.control import Control
from figwalk.state.fleet import BackendView, Fleet
from figwalk.state.published import PRESET_IN_FORCE_PATH
from figwalk.state.settings import EntrySettings
from figwalk.timer import MS_PER_S, Timer

MAX_ROLE_CHANGES = 100

JsonObject = dict[str, object]


@attrs.frozen
class OrderedRole:
    """A valid role order from the log; the engine may not have applied it yet.

    The names of the attributes are also the JSON keys in the status, so they must not be changed.

    Attributes:
        backend: Name of the backend server.
        role: Role that was ordered.
        reason: The controller's reason for the order.
        offset: Offset of the order in the log.
    """

    backend: str
    role: str
    reason: str
    offset: int


class OrderedRoles:
    """The newest valid role orders, for operators."""

    def __init__(self, control: Control) -> None:
        self._control = control
        self._changes: deque[OrderedRole] = deque(maxlen=MAX_ROLE_CHANGES)

    def note(self, stored: StoredRecord) -> None:
        """Record the role order, if any, in a control record that `Control` has just applied."""
        try:
            record = decode_record(stored.data)
        except MalformedRecordError:
            return
        if not isinstance(record, RoleOrder):
            return
        if self._control.desired(record.backend).order_offset != stored.offset:
            return
        self._changes.append(
            OrderedRole(record.backend, record.role.value, record.reason, stored.offset)
        )

    def render(self) -> list[JsonObject]:
        """Return the orders, oldest first."""
        return [attrs.asdict(change) for change in self._changes]


class StatusReporter:
    """Renders the status of the fleet from one entry's state."""

    def __init__(
        self,
        settings: EntrySettings,
        configuration: Configuration,
        control: Control,
        config_follower: LogFollower,
        fleet: Fleet,
        tallies: Tallies,
        role_changes: OrderedRoles,
        timer: Timer,
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._control = control
        self._config_follower = config_follower
        self._fleet = fleet
        self._tallies = tallies
        self._role_changes = role_changes
        self._timer = timer

    def render(self) -> JsonObject:
        """Return the status as a JSON object."""
        preset = self._configuration.get(PRESET_IN_FORCE_PATH)
        return {
            "process": self._settings.process,
            "revision": self._configuration.revision,
            "preset_in_force": preset.value if preset else "",
            "lease": {"holder": self._control.holder, "term": self._control.term},
            "log_available": self._config_follower.available,
            "backends": [self._render_backend(view) for view in self._fleet.backends()],
            "goodput": {
                "answered": self._tallies.answered,
                "in_deadline": self._tallies.in_deadline,
                "goodput_per_s": round(self._tallies.goodput_per_s, 3),
            },
            "refusals": self._tallies.refusals,
            "role_changes": self._role_changes.render(),
            "region_bytes": self._tallies.region_bytes,
        }

    def _render_backend(self, view: BackendView) -> JsonObject:
        report = view.report
        return {
            "name": view.name,
            "service": view.service,
            "zone": view.zone,
            "region": view.region,
            "state": report.state.value if report else "unknown",
            "role": report.role.value if report else "unknown",
            "running": report.running if report else 0,
            "queued": report.queued if report else 0,
            "queue_wait_ms": report.queue_wait_ms if report else 0,
            "report_age_ms": int((self._timer.now() - view.reported_at) * MS_PER_S),
            "revision": report.revision if report else 0,
        }
