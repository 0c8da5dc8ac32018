"""Orders to the engine stand-in: change of role, model, adapter and version.

An order that changes something interrupts all running calls and makes the engine unavailable for
seconds: `role_change_s` for another role, `model_load_s` for another model or version,
`adapter_load_s` for another adapter; what changes together adds up. An order that changes nothing
only moves the order number. With the check of order numbers, a number that was carried out before
is old, also for the same order again.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from enum import StrEnum

import attrs
import trio

from standins.cost import EngineRole

NO_ORDER = -1


class EngineStatus(StrEnum):
    """Whether an engine takes calls."""

    READY = "ready"
    CHANGING = "changing"


@attrs.frozen
class Order:
    """An order as it arrives; empty texts keep what is loaded."""

    order: int
    role: EngineRole
    model: str = ""
    adapter: str = ""
    version: str = ""


@attrs.frozen
class Loaded:
    """Role and model of an engine."""

    role: EngineRole
    model: str
    adapter: str
    version: str

    def after(self, order: Order) -> Loaded:
        """Return what is loaded once an order is carried out."""
        return Loaded(
            order.role,
            order.model or self.model,
            order.adapter or self.adapter,
            order.version or self.version,
        )

    def has_same_weights(self, other: Loaded) -> bool:
        """Return whether model and version are the same."""
        return (self.model, self.version) == (other.model, other.version)


@attrs.frozen
class ChangeDurations:
    """Real seconds that the parts of a change take."""

    role_change_s: float
    model_load_s: float
    adapter_load_s: float

    def total_s(self, before: Loaded, after: Loaded) -> float:
        """Return the duration of a change."""
        seconds = 0.0
        if before.role != after.role:
            seconds += self.role_change_s
        if not before.has_same_weights(after):
            seconds += self.model_load_s
        if before.adapter != after.adapter:
            seconds += self.adapter_load_s
        return seconds


@attrs.frozen
class OrderReceipt:
    """What happened to an order that arrived.

    Attributes:
        order: Its number.
        role: Role asked for.
        result: `accepted`, `old_order` or `busy`.
        interrupted: Calls that it interrupted.
    """

    order: int
    role: str
    result: str
    interrupted: int = 0


class OrderExecutor:
    """Carries out orders, one at a time.

    Args:
        loaded: What is loaded at the start.
        durations: Duration of changes.
        checks_fencing: Whether an order with an old number is refused.
        interrupt: Ends all running calls and returns how many there were.
        prepare: Called in the middle of a change with what is loaded and what is to be loaded.
        fails: Returns at the end of a change whether it is to have no effect.
    """

    def __init__(
        self,
        loaded: Loaded,
        durations: ChangeDurations,
        *,
        checks_fencing: bool,
        interrupt: Callable[[], int],
        prepare: Callable[[Loaded, Loaded], Awaitable[None]],
        fails: Callable[[], bool],
    ) -> None:
        self._loaded = loaded
        self._durations = durations
        self._checks_fencing = checks_fencing
        self._interrupt = interrupt
        self._prepare = prepare
        self._fails = fails
        self._status = EngineStatus.READY
        self._order = NO_ORDER
        self._incarnation = random.SystemRandom().getrandbits(64)
        self._pending: Order | None = None
        self._received = trio.Event()
        self._receipts: list[OrderReceipt] = []

    @property
    def loaded(self) -> Loaded:
        """Role and model in use."""
        return self._loaded

    @property
    def ready(self) -> bool:
        """Whether the engine takes calls."""
        return self._status is EngineStatus.READY

    @property
    def receipts(self) -> list[OrderReceipt]:
        """All orders that arrived."""
        return self._receipts

    def render_state(self) -> dict[str, object]:
        """Return the answer to `GET /state`."""
        return {
            **attrs.asdict(self._loaded),
            "state": self._status,
            "order": self._order,
            "incarnation": self._incarnation,
        }

    def receive(self, order: Order) -> OrderReceipt:
        """Accept or refuse an order."""
        receipt = self._judge(order)
        self._receipts.append(receipt)
        return receipt

    async def run(self) -> None:
        """Carry out accepted orders until cancelled."""
        while True:
            await self._received.wait()
            self._received = trio.Event()
            if self._pending is not None:
                order, self._pending = self._pending, None
                await self._change(order)

    def _judge(self, order: Order) -> OrderReceipt:
        if self._checks_fencing and order.order <= self._order:
            return OrderReceipt(order.order, order.role, "old_order")
        if not self.ready:
            return OrderReceipt(order.order, order.role, "busy")
        if self._loaded.after(order) == self._loaded:
            self._order = order.order
            return OrderReceipt(order.order, order.role, "accepted")
        self._status = EngineStatus.CHANGING
        self._pending = order
        self._received.set()
        return OrderReceipt(order.order, order.role, "accepted", self._interrupt())

    async def _change(self, order: Order) -> None:
        target = self._loaded.after(order)
        duration_s = self._durations.total_s(self._loaded, target)
        await trio.sleep(duration_s / 2)
        await self._prepare(self._loaded, target)
        await trio.sleep(duration_s / 2)
        if not self._fails():
            self._loaded = target
            self._order = order.order
        self._status = EngineStatus.READY
