"""State of the backend server that the agent reports to entries."""

from __future__ import annotations

from collections.abc import Callable

from figwalk.events import Event, EventLog
from figwalk.protocol.messages import BackendState

_REFUSAL_CODES = {
    BackendState.LEAVING: "leaving",
    BackendState.WITHDRAWN: "leaving",
    BackendState.DOWN: "down",
    BackendState.CHANGING: "changing",
}


class ServingState:
    """Combines the reasons why the backend server accepts no calls into one state.

    Args:
        events: Event log.
    """

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._leaving = False
        self._withdrawn = False
        self._changing = False
        self._up = False
        self._state = BackendState.DOWN
        self._observers: list[Callable[[BackendState], None]] = []

    @property
    def state(self) -> BackendState:
        """Reason with the highest precedence, or `SERVING` if there is none."""
        return self._state

    @property
    def refusal_code(self) -> str:
        """Code with which new calls are refused, or an empty string if they are accepted."""
        return _REFUSAL_CODES.get(self._state, "")

    @property
    def up(self) -> bool:
        """Whether the backend server responds to health checks."""
        return self._up

    @property
    def leaving_or_withdrawn(self) -> bool:
        """Whether the backend server is leaving or withdrawn."""
        return self._leaving or self._withdrawn

    def observe(self, callback: Callable[[BackendState], None]) -> None:
        """Call `callback` with the new state at every change."""
        self._observers.append(callback)

    def leave(self) -> None:
        """Record that the process is stopping; this is final."""
        self._leaving = True
        self._update()

    def set_withdrawn(self, withdrawn: bool) -> None:
        """Set whether the configuration withdraws the backend server."""
        self._withdrawn = withdrawn
        self._update()

    def set_changing(self, changing: bool) -> None:
        """Set whether a role change is being prepared or carried out."""
        self._changing = changing
        self._update()

    def set_up(self, up: bool) -> None:
        """Set whether the backend server responds to health checks."""
        if up != self._up:
            self._events.record(Event.BACKEND_UP if up else Event.BACKEND_DOWN)
        self._up = up
        self._update()

    def _update(self) -> None:
        state = self._combine()
        if state is self._state:
            return
        was_leaving = self._state in {BackendState.LEAVING, BackendState.WITHDRAWN}
        self._state = state
        if self.leaving_or_withdrawn and not was_leaving:
            self._events.record(Event.BACKEND_LEAVING, state=state.value)
        elif state is BackendState.SERVING:
            self._events.record(Event.BACKEND_SERVING)
        for callback in self._observers:
            callback(state)

    def _combine(self) -> BackendState:
        if self._leaving:
            return BackendState.LEAVING
        if self._withdrawn:
            return BackendState.WITHDRAWN
        if not self._up:
            return BackendState.DOWN
        return BackendState.CHANGING if self._changing else BackendState.SERVING
