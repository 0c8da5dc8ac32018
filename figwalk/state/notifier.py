"""Notification of tasks that wait for a change of state."""

from __future__ import annotations

import trio


class Notifier:
    """Lets tasks wait for the next change.

    A waiter that must not miss a change reads the state after `wait` returns, or takes the
    event with `next_change` before it reads the state.
    """

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        event, self._event = self._event, trio.Event()
        event.set()

    def next_change(self) -> trio.Event:
        """Return the event that the next change sets."""
        return self._event

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._event.wait()
