"""Invariants of role changes, which hold whatever a policy decides."""

from __future__ import annotations

from figwalk.coordination._role_view import EngineView, ServiceView
from figwalk.protocol.messages import BackendState, Role


def can_prefill(role: Role) -> bool:
    """Return whether a role is meant for long prompts."""
    return role is not Role.DECODE


def can_decode(role: Role) -> bool:
    """Return whether a role is meant for long answers."""
    return role is not Role.PREFILL


def find_blocker(view: ServiceView) -> str:
    """Return why no engine of a service may change now, or an empty string.

    An engine withdrawn by configuration is out for as long as the operator wants; it does not
    block the others, or roles would be fixed during every maintenance.
    """
    for engine in view.engines:
        if engine.order_open:
            return f"order {engine.order_newest} for {engine.backend} is not carried out yet"
        if _is_away(engine):
            return f"{engine.backend} is away ({_describe_state(engine)})"
    return ""


def find_violation(view: ServiceView, backend: str, role: Role) -> str:
    """Return why an engine may not take a role now, or an empty string."""
    blocker = find_blocker(view)
    if blocker:
        return blocker
    engine = view.find(backend)
    if engine is None:
        return f"{backend} is not an engine of {view.service}"
    if not engine.serving:
        return f"{backend} does not take work ({_describe_state(engine)})"
    if engine.role is role:
        return f"{backend} already has role {role}"
    return _find_missing_ability(view, backend)


def _find_missing_ability(view: ServiceView, backend: str) -> str:
    """Return which ability the service would lack while one engine is away for its change.

    The engines left must suffice on their own, because the change may fail half-way.
    """
    others = [engine.role for engine in view.serving if engine.backend != backend]
    if not any(can_prefill(role) for role in others):
        return f"{backend} is the last engine of {view.service} that can prefill"
    if not any(can_decode(role) for role in others):
        return f"{backend} is the last engine of {view.service} that can decode"
    return ""


def _is_away(engine: EngineView) -> bool:
    if engine.withdrawn or engine.state is BackendState.WITHDRAWN:
        return False
    return not engine.serving


def _describe_state(engine: EngineView) -> str:
    if not engine.fresh:
        return "no fresh report"
    return "withdrawn" if engine.withdrawn else str(engine.state)
