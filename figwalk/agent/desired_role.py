"""The newest desired role of the engine that entries have relayed."""

from __future__ import annotations

from figwalk.protocol.messages import NO_OFFSET, Desired
from figwalk.state.notifier import Notifier


class DesiredRole:
    """Keeps the newest order and control offset; neither ever goes back.

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
        """Newest order, or None while none is known."""
        return self._order

    @property
    def control_offset(self) -> int:
        """Newest control offset."""
        return self._control_offset

    def offer(self, desired: Desired) -> None:
        """Take over what is newer in a relayed desired state."""
        if desired.backend != self._backend or desired.control_offset < self._control_offset:
            return
        self._control_offset = desired.control_offset
        known = self._order.order_offset if self._order else NO_OFFSET
        if desired.order_offset > known:
            self._order = desired
            self._changed.notify()

    async def wait_changed(self) -> None:
        """Wait until there is a newer order."""
        await self._changed.wait()
