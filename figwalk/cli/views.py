"""Writes responses of the operator API as text, tables or JSON."""

from __future__ import annotations

from figwalk.cli.admin_client import BackendView, ConfigView, StatusView
from figwalk.cli.output import Output
from figwalk.events import LOGICAL_BITS, EventRecord
from figwalk.state.published import PRESET_IN_FORCE_PATH, PRESETS_PREFIX

RECENT_ROLE_CHANGES = 10
BACKEND_COLUMNS = (
    "backend",
    "service",
    "zone",
    "region",
    "state",
    "role",
    "running",
    "queued",
    "wait ms",
    "report age ms",
    "revision",
)


def write_status(output: Output, status: StatusView) -> None:
    """Write the state of the fleet."""
    if output.as_json:
        output.write_json(status)
        return
    lease = status.lease
    holder = f"{lease.holder} (term {lease.term})" if lease.holder else "nobody"
    goodput = status.goodput
    output.write_line(f"entry: {status.process}, revision {status.revision}")
    output.write_line(f"preset in force: {status.preset_in_force or '-'}")
    output.write_line(f"controller lease: {holder}")
    output.write_line(f"log: {'available' if status.log_available else 'unavailable'}")
    output.write_line(
        f"goodput: {goodput.goodput_per_s:.2f}/s, "
        f"{goodput.in_deadline} of {goodput.answered} answers in their deadline"
    )
    output.write_line(f"bytes between regions: {status.region_bytes}")
    rows = [_backend_row(backend) for backend in sorted(status.backends, key=_backend_sort_key)]
    output.write_table("Backend servers", BACKEND_COLUMNS, rows)
    if status.refusals:
        output.write_table("Refusals", ("reason", "count"), sorted(status.refusals.items()))
    if status.role_changes:
        recent = status.role_changes[-RECENT_ROLE_CHANGES:]
        changes = [(change.offset, change.backend, change.role, change.reason) for change in recent]
        output.write_table("Role changes", ("offset", "backend", "role", "reason"), changes)


def write_presets(output: Output, config: ConfigView) -> None:
    """Write all presets and which of them is in force."""
    in_force = config.value(PRESET_IN_FORCE_PATH)
    presets = [
        (entry.path.removeprefix(PRESETS_PREFIX), entry)
        for entry in sorted(config.entries, key=lambda entry: entry.path)
        if entry.path.startswith(PRESETS_PREFIX) and entry.value is not None
    ]
    if output.as_json:
        content = [
            {"name": name, "revision": entry.revision, "value": entry.value}
            for name, entry in presets
        ]
        output.write_json({"preset_in_force": in_force, "presets": content})
        return
    columns = ("in force", "preset", "role change weight", "revision", "description")
    rows = [
        (
            "yes" if name == in_force else "no",
            name,
            entry.value.get("role_change_weight"),
            entry.revision,
            entry.value.get("description"),
        )
        for name, entry in presets
    ]
    output.write_table("Presets", columns, rows)


def write_timeline(output: Output, events: list[EventRecord]) -> None:
    """Write the events of a request, with their time in milliseconds since the first event."""
    if output.as_json:
        output.write_json({"events": events})
        return
    start = events[0].clock >> LOGICAL_BITS if events else 0
    rows = [
        (
            f"+{(event.clock >> LOGICAL_BITS) - start}",
            event.process,
            event.number,
            event.name,
            " ".join(f"{key}={value}" for key, value in event.fields.items()),
        )
        for event in events
    ]
    output.write_table("Timeline", ("ms", "process", "number", "event", "fields"), rows)


def _backend_sort_key(backend: BackendView) -> tuple[str, str]:
    return (backend.service, backend.name)


def _backend_row(backend: BackendView) -> tuple[object, ...]:
    return (
        backend.name,
        backend.service,
        backend.zone,
        backend.region,
        backend.state,
        backend.role,
        backend.running,
        backend.queued,
        backend.queue_wait_ms,
        backend.report_age_ms,
        backend.revision,
    )
