"""The newest desired role of the engine that entries have sent to the agent."""

from __future__ import annotations

from figwalk.protocol.messages import NO_OFFSET, Desired
from figwalk.state.notifier import Notifier


class DesiredRole:
    """Stores the newest order and the newest control offset; neither ever decreases.

    Args:
        backend: Backend server beside the agent.
    """

    def __init__(self, backend: str) -> None:
        self._backend = backend
        self._order: Desired | None = None
        self._control_offset = NO_OFFSET
        self._changed = Notifier()

    @property
    def order(self) -> Desired | None:
        """Newest order, or None if none has been received."""
        return self._order

    @property
    def control_offset(self) -> int:
        """Newest offset of the control log that an entry has reported."""
        return self._control_offset

    def apply(self, desired: Desired) -> None:
        """Apply what is newer in a desired state that an entry has sent."""
        if desired.backend != self._backend or desired.control_offset < self._control_offset:
            return
        self._control_offset = desired.control_offset
        known = self._order.order_offset if self._order else NO_OFFSET
        if desired.order_offset > known:
            self._order = desired
            self._changed.notify()

    async def wait_changed(self) -> None:
        """Wait until a newer order has been received."""
        await self._changed.wait()
