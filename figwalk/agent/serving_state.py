"""State of the backend server as entries see it."""

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
    """Combines the reasons for which the backend server takes no work.

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
        """The strongest reason, or `SERVING`."""
        return self._state

    @property
    def refusal_code(self) -> str:
        """Code with which new calls are refused, or an empty string."""
        return _REFUSAL_CODES.get(self._state, "")

    @property
    def up(self) -> bool:
        """Whether the backend server answers."""
        return self._up

    @property
    def going(self) -> bool:
        """Whether the backend server is leaving or withdrawn."""
        return self._leaving or self._withdrawn

    def observe(self, callback: Callable[[BackendState], None]) -> None:
        """Call back with the new state at every change."""
        self._observers.append(callback)

    def leave(self) -> None:
        """The process is told to stop."""
        self._leaving = True
        self._update()

    def set_withdrawn(self, withdrawn: bool) -> None:
        """The configuration withdraws the backend server or returns it."""
        self._withdrawn = withdrawn
        self._update()

    def set_changing(self, changing: bool) -> None:
        """A role change is being prepared or carried out, or has ended."""
        self._changing = changing
        self._update()

    def set_up(self, up: bool) -> None:
        """The backend server answers or does not."""
        if up != self._up:
            self._events.record(Event.BACKEND_UP if up else Event.BACKEND_DOWN)
        self._up = up
        self._update()

    def _update(self) -> None:
        state = self._combine()
        if state is self._state:
            return
        was_going = self._state in {BackendState.LEAVING, BackendState.WITHDRAWN}
        self._state = state
        if self.going and not was_going:
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
