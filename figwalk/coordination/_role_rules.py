"""Invariants of role changes, which are checked independently of the role policies."""

from __future__ import annotations

from figwalk.coordination._role_view import EngineView, ServiceView
from figwalk.protocol.messages import BackendState, Role


def can_prefill(role: Role) -> bool:
    """Return whether engines with a role are suitable for long prompts."""
    return role is not Role.DECODE


def can_decode(role: Role) -> bool:
    """Return whether engines with a role are suitable for long answers."""
    return role is not Role.PREFILL


def find_blocker(view: ServiceView) -> str:
    """Return the reason why no engine of a service may change its role now, or an empty string.

    An engine that the configuration withdraws may be out of service for a long time. It does not
    block role changes of the others; otherwise the roles would be fixed during every maintenance.
    """
    for engine in view.engines:
        if engine.has_open_order:
            return f"order {engine.newest_order} for {engine.backend} has not been applied yet"
        if _is_unavailable(engine):
            return (
                f"{engine.backend} must accept work before any change ({_describe_state(engine)})"
            )
    return ""


def find_violation(view: ServiceView, backend: str, role: Role) -> str:
    """Return the reason why an engine may not change to a role now, or an empty string."""
    blocker = find_blocker(view)
    if blocker:
        return blocker
    engine = view.find(backend)
    if engine is None:
        return f"{backend} is not an engine of {view.service}"
    if not engine.serving:
        return f"{backend} does not accept work ({_describe_state(engine)})"
    if engine.role is role:
        return f"{backend} already has role {role}"
    return _find_lost_ability(view, backend)


def _find_lost_ability(view: ServiceView, backend: str) -> str:
    """Return which ability the service would lose while one engine changes, or an empty string.

    The remaining engines must be able to prefill and decode on their own, because the change may
    fail before it is complete.
    """
    others = [engine.role for engine in view.serving if engine.backend != backend]
    if not any(can_prefill(role) for role in others):
        return f"{backend} is the last engine of {view.service} that can prefill"
    if not any(can_decode(role) for role in others):
        return f"{backend} is the last engine of {view.service} that can decode"
    return ""


def _is_unavailable(engine: EngineView) -> bool:
    if engine.withdrawn or engine.state is BackendState.WITHDRAWN:
        return False
    return not engine.serving


def _describe_state(engine: EngineView) -> str:
    if not engine.fresh:
        return "no fresh report"
    return "withdrawn" if engine.withdrawn else str(engine.state)
