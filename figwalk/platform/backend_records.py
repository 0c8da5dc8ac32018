"""Decodes the registrations of backend servers."""

from __future__ import annotations

from reprlib import repr as shorten

from figwalk.platform.json_fields import JsonFields, PlatformRecordError, is_token
from figwalk.protocol.messages import Role
from figwalk.state.backend_directory import BackendEntry
from figwalk.timer import MS_PER_S

_LEAVING = {"ready": False, "draining": True}
_ROLES = {"prefill": Role.PREFILL, "decode": Role.DECODE}


def decode_backend(key: str, data: bytes) -> BackendEntry:
    """Decode one registration.

    Raises:
        PlatformRecordError: The registration is malformed or has an unknown state or stage.
    """
    if not is_token(key):
        raise PlatformRecordError(f"registration of {key!r}: the id is not visible ASCII")
    fields = JsonFields.parse(data, f"registration of {key!r}")
    state = fields.text("state")
    if state not in _LEAVING:
        raise PlatformRecordError(f"registration of {key!r}: state {shorten(state)} is not known")
    stage = fields.text("stage", "")
    if stage and stage not in _ROLES:
        raise PlatformRecordError(f"registration of {key!r}: stage {shorten(stage)} is not known")
    return BackendEntry(
        backend=key,
        service=fields.short_token("service"),
        address=fields.address("address"),
        zone=fields.short_token("zone"),
        slots=fields.integer("slots"),
        leaving=_LEAVING[state],
        # `sequence` counts the registrations since `born`, the start of the process.
        born_ms=fields.integer("born", 0),
        sequence=fields.integer("sequence"),
        cold_s=fields.number("cold-remaining-ms", 0.0) / MS_PER_S,
        role=_ROLES.get(stage, Role.MIXED),
        # Of the server's software; `models` has the versions of the weights.
        software_version=fields.short_token("version"),
    )
