"""Changes the engine to its desired role by confirmed orders, one at a time."""

from __future__ import annotations

import trio

from figwalk.agent.backend_client import BackendClient, EngineState
from figwalk.agent.backend_monitor import BackendMonitor
from figwalk.agent.call_server import CallServer
from figwalk.agent.control_server import ControlServer
from figwalk.agent.desired_role import DesiredRole
from figwalk.agent.serving_state import ServingState
from figwalk.errors import HttpError
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import Desired
from figwalk.timer import Timer

# Polling periods for the state of an engine that is stable and of one that is changing its role.
REST_POLL_S = 1.0
CHANGE_POLL_S = 0.1
# Delay of a retry after an order that was not confirmed, was refused or had no effect.
RETRY_S = 1.0
# A process that was paused while it waited needs a new confirmation. The limit is above the time
# that one entry may take to confirm.
MAX_CONFIRM_AGE_S = 5.0


class OrderExecutor:
    """The only task that sends orders to the engine.

    Each step starts with reading the engine's state. So the same code handles a lost response, a
    restarted engine and a role change that a previous agent process started.

    Args:
        backend: Access to the engine.
        monitor: Receives the engine's state.
        desired: The desired role.
        control: Control connections, over which entries confirm orders.
        calls: Running calls, which have to end before a role change.
        serving: State of the backend server.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self,
        *,
        backend: BackendClient,
        monitor: BackendMonitor,
        desired: DesiredRole,
        control: ControlServer,
        calls: CallServer,
        serving: ServingState,
        events: EventLog,
        timer: Timer,
    ) -> None:
        self._backend = backend
        self._monitor = monitor
        self._desired = desired
        self._control = control
        self._calls = calls
        self._serving = serving
        self._events = events
        self._timer = timer
        self._sent_order: Desired | None = None
        self._unconfirmed_offset: int | None = None

    async def run(self) -> None:
        """Apply desired roles until cancelled."""
        while True:
            delay_s = await self._step()
            with trio.move_on_after(delay_s):
                await self._desired.wait_changed()

    async def _step(self) -> float:
        """Take the step that the engine's state requires; return the seconds until the next one."""
        state = await self._read_state()
        if state is None:
            return RETRY_S
        if not state.ready:
            self._serving.set_changing(True)
            return CHANGE_POLL_S
        applied = self._check_applied(state)
        if not self._is_due(state) or not applied:
            self._serving.set_changing(False)
            return REST_POLL_S if applied else RETRY_S
        if await self._confirm() is None:
            # The engine serves in its present role until an entry confirms the order by the log.
            self._serving.set_changing(False)
            return RETRY_S
        self._serving.set_changing(True)
        await self._calls.wait_idle()
        return await self._confirm_and_send()

    async def _confirm_and_send(self) -> float:
        """Send the order if it is still due and still the newest in the log."""
        state = await self._read_state()
        if state is None or not state.ready:
            return CHANGE_POLL_S
        requested_at = self._timer.now()
        confirmed = await self._confirm()
        if confirmed is None or not self._is_due(state):
            self._serving.set_changing(False)
            return RETRY_S
        if self._timer.now() - requested_at > MAX_CONFIRM_AGE_S:
            return 0.0
        return await self._send(confirmed)

    async def _send(self, order: Desired) -> float:
        self._sent_order = order
        self._events.record(
            Event.ORDER_SENT, order=order.order_offset, term=order.term, role=order.role.value
        )
        try:
            answer = await self._backend.send_order(order)
        except HttpError as error:
            # The next step reads the engine's state before anything else is sent.
            self._events.record(Event.ORDER_UNCONFIRMED, order=order.order_offset, error=error)
            return CHANGE_POLL_S
        if answer.accepted or answer.busy:
            return CHANGE_POLL_S
        self._events.record(Event.ORDER_REFUSED, order=order.order_offset, status=answer.status)
        self._sent_order = None
        self._serving.set_changing(False)
        return RETRY_S

    async def _confirm(self) -> Desired | None:
        """Return the desired state if an entry confirms it by a new read of the log, else None."""
        confirmed = await self._control.confirm()
        order = self._desired.order
        if confirmed is not None:
            self._desired.apply(confirmed)
            order = self._desired.order
            if order is not None and self._is_newest(confirmed, order):
                self._unconfirmed_offset = None
                self._events.record(Event.ORDER_CONFIRMED, order=confirmed.order_offset)
                return confirmed
        offset = order.order_offset if order else None
        if offset != self._unconfirmed_offset:
            self._unconfirmed_offset = offset
            self._events.record(Event.ORDER_UNCONFIRMED, order=offset)
        return None

    def _is_newest(self, confirmed: Desired, order: Desired) -> bool:
        """Return whether a confirmed state is at least as new as the known one."""
        return (
            confirmed.order_offset == order.order_offset
            and confirmed.control_offset >= self._desired.control_offset
        )

    async def _read_state(self) -> EngineState | None:
        try:
            state = await self._backend.read_state()
        except HttpError:
            return None
        self._monitor.set_engine_state(state)
        return state

    def _is_due(self, state: EngineState) -> bool:
        """Return whether the engine has not yet applied the newest order.

        Only the order numbers are compared. If model names were compared too, an engine that
        reports another spelling of a name would get the same order forever, and each time running
        calls would be cut.
        """
        order = self._desired.order
        return order is not None and order.order_offset > state.order

    def _check_applied(self, state: EngineState) -> bool:
        """Return whether the engine has applied the last sent order; True if there is none."""
        order = self._sent_order
        self._sent_order = None
        if order is None:
            return True
        applied = state.order == order.order_offset
        if applied:
            self._events.record(
                Event.ORDER_APPLIED, order=order.order_offset, role=state.role.value
            )
        return applied
