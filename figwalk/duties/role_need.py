"""Decides which engine changes its role, from what is known of a service's engines."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from figwalk.protocol.messages import Role

# Engines that restart are back, and registrations that lapsed around an outage of the store are
# renewed, within this time.
ABSENCE_S = 2.0
# While a deployment starts, prefill engines may be there before others. An engine that lives has
# registered within this time, three of its heartbeats.
FIRST_ABSENCE_S = 4.0
_RUNNING_ROLES = frozenset({Role.DECODE, Role.MIXED})


@attrs.frozen
class KnownEngine:
    """What a gateway knows of an engine.

    Attributes:
        backend: Id of the engine.
        role: Its role.
        is_avoided: Whether calls to it failed lately.
        load: Calls that it has now.
    """

    backend: str
    role: Role
    is_avoided: bool
    load: int


@attrs.frozen
class RoleChange:
    """A change of an engine's role.

    Attributes:
        service: Service of the engine.
        backend: Id of the engine.
        role: Its new role.
        reason: Reason, for logs.
    """

    service: str
    backend: str
    role: Role
    reason: str


class RoleNeed:
    """Notices services whose engines can't run prompts any more, and chooses an engine to change.

    The load that it handles: all engines that can run prompts (decode or mixed) are gone for some
    seconds while prefill engines remain, so that every prompt is refused. A service without prefill
    engines is left as it is, since decode engines read prompts too.
    """

    def __init__(self) -> None:
        self._absent_since: dict[str, float] = {}
        self._seen: set[str] = set()

    @property
    def is_watching(self) -> bool:
        """Whether a service has no engine that runs prompts, for however short a time."""
        return bool(self._absent_since)

    def update(self, service: str, engines: Sequence[KnownEngine], now: float) -> RoleChange | None:
        """Return the change that a service needs now, or None.

        Args:
            service: Name of the service.
            engines: Its engines that don't leave.
            now: Present time in seconds.
        """
        candidates = [engine for engine in engines if engine.role is Role.PREFILL]
        has_runner = any(engine.role in _RUNNING_ROLES for engine in engines)
        if has_runner:
            self._seen.add(service)
        if has_runner or not candidates:
            self._absent_since.pop(service, None)
            return None
        wait_s = ABSENCE_S if service in self._seen else FIRST_ABSENCE_S
        if now - self._absent_since.setdefault(service, now) < wait_s:
            return None
        chosen = min(candidates, key=lambda e: (e.is_avoided, e.load, e.backend))
        reason = f"no engine of {len(engines)} runs prompts"
        return RoleChange(service, chosen.backend, Role.DECODE, reason)
