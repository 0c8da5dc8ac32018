"""Takes the backend server out of service, and lets running calls end within a grace period."""

from __future__ import annotations

import trio

from figwalk.agent.call_server import CallServer
from figwalk.agent.control_server import ControlServer
from figwalk.agent.serving_state import ServingState
from figwalk.events import Event, EventLog
from figwalk.state.notifier import Notifier
from figwalk.state.published_values import WithdrawalMode


class Withdrawal:
    """Withdraws the backend server from service, and returns it.

    The agent notifies the entries and lets running calls end within the grace period. Calls that
    are still running then are cut, except those of a drained backend server.

    Args:
        serving: State of the backend server.
        control: Control connections to the entries.
        calls: Running calls.
        events: Event log.
        grace_s: Grace period for running calls, in seconds.
    """

    def __init__(
        self,
        *,
        serving: ServingState,
        control: ControlServer,
        calls: CallServer,
        events: EventLog,
        grace_s: float,
    ) -> None:
        self._serving = serving
        self._control = control
        self._calls = calls
        self._events = events
        self._grace_s = grace_s
        self._mode: WithdrawalMode | None = None
        self._changed = Notifier()

    def set_mode(self, mode: WithdrawalMode | None) -> None:
        """Apply the withdrawal mode of the configuration.

        New calls are refused or admitted accordingly as soon as this returns.

        Args:
            mode: How the backend server leaves service, or None to serve again.
        """
        if mode is self._mode:
            return
        was_withdrawn = self._mode is not None
        self._mode = mode
        self._serving.set_withdrawn(mode is not None)
        if mode is None:
            self._control.clear_leaving()
        elif not was_withdrawn:
            self._control.notify_leaving(self._grace_s)
        self._changed.notify()

    async def run(self) -> None:
        """Cut calls that run past the grace period of a withdrawal, until cancelled.

        Calls of a drained backend server run to their end, however long they take.
        """
        while True:
            changed = self._changed.next_change()
            if self._mode is WithdrawalMode.WITHDRAW:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._wait_or_cut)
                    await changed.wait()
                    nursery.cancel_scope.cancel()
            else:
                await changed.wait()

    async def leave(self) -> bool:
        """Take the backend server out of service for the stop of the process.

        Returns:
            Whether all calls ended without being cut.
        """
        self._events.record(Event.PROCESS_STOPPING, grace_s=self._grace_s)
        self._serving.leave()
        self._control.notify_leaving(self._grace_s)
        all_ended = await self._wait_or_cut()
        self._events.record(Event.PROCESS_STOPPED if all_ended else Event.PROCESS_STOP_CUT)
        return all_ended

    async def _wait_or_cut(self) -> bool:
        with trio.move_on_after(self._grace_s):
            await self._calls.wait_idle()
            return True
        await self._calls.cut_all("leaving")
        return False
