"""Takes the backend server out of service without cutting a request."""

from __future__ import annotations

import trio

from figwalk.agent.call_server import CallServer
from figwalk.agent.control_server import ControlServer
from figwalk.agent.serving_state import ServingState
from figwalk.events import Event, EventLog
from figwalk.state.notifier import Notifier
from figwalk.state.published_values import WithdrawalMode


class Withdrawal:
    """Tells entries, lets running calls end within the grace time, and cuts what is left.

    Args:
        serving: State of the backend server.
        control: Tells the entries.
        calls: Running calls.
        events: Event log.
        grace_s: Seconds that running calls may take.
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
        """Follow the configuration; takes effect for new calls before this returns.

        Args:
            mode: How the backend server leaves service, or None to serve again.
        """
        if mode is self._mode:
            return
        was_withdrawn = self._mode is not None
        self._mode = mode
        self._serving.set_withdrawn(mode is not None)
        if mode is None:
            self._control.take_back_leaving()
        elif not was_withdrawn:
            self._control.tell_leaving(self._grace_s)
        self._changed.notify()

    async def run(self) -> None:
        """Cut what runs past the grace time of each withdrawal, until cancelled.

        A drained backend server keeps its running calls, however long they take.
        """
        while True:
            changed = self._changed.next_change()
            if self._mode is WithdrawalMode.WITHDRAW:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._drain)
                    await changed.wait()
                    nursery.cancel_scope.cancel()
            else:
                await changed.wait()

    async def leave(self) -> bool:
        """Stop for good; return whether all calls ended by themselves."""
        self._events.record(Event.PROCESS_STOPPING, grace_s=self._grace_s)
        self._serving.leave()
        self._control.tell_leaving(self._grace_s)
        whole = await self._drain()
        self._events.record(Event.PROCESS_STOPPED if whole else Event.PROCESS_STOP_CUT)
        return whole

    async def _drain(self) -> bool:
        with trio.move_on_after(self._grace_s):
            await self._calls.wait_idle()
            return True
        await self._calls.cut_all("leaving")
        return False
