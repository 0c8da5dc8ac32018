"""Timer service: monotonic and wall-clock time, and periodic callbacks."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import attrs
import trio

MS_PER_S = 1000

TimerCallback = Callable[[], Awaitable[None]]


@attrs.frozen
class Subscription:
    """A periodic callback.

    Attributes:
        name: Name of the callback.
        period_s: Seconds between the end of one call and the start of the next.
        callback: Coroutine function to call.
    """

    name: str
    period_s: float
    callback: TimerCallback


class Timer:
    """Provides the time and runs periodic callbacks.

    Monotonic time comes from trio's clock, which tests replace with a mock clock.
    """

    def __init__(self) -> None:
        self._subscriptions: list[Subscription] = []
        self._nursery: trio.Nursery | None = None
        self._clock: trio.abc.Clock | None = None

    def now(self) -> float:
        """Return monotonic time in seconds."""
        # `trio.current_time` looks up the clock on each call, which is more than half of its cost.
        return self._clock.current_time() if self._clock else trio.current_time()

    def left_s(self, deadline: float) -> float:
        """Return the seconds remaining until a monotonic time, or 0 if it has passed.

        If the process was paused, a plain subtraction may give a negative number, which trio's
        timeouts reject.
        """
        return max(0.0, deadline - self.now())

    def boot_now(self) -> float:
        """Return monotonic time in seconds that also counts while the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Return wall-clock time in milliseconds since 1970.

        The wall clock may jump, so it only serves for display, for the hybrid clock, and for the
        ages of idempotency keys and snapshots, which are made on other VMs.
        """
        return time.time_ns() // 1_000_000

    def subscribe(self, name: str, period_s: float, callback: TimerCallback) -> Subscription:
        """Call a coroutine function periodically while the service runs.

        Args:
            name: Name of the callback.
            period_s: Seconds between the end of one call and the start of the next.
            callback: Coroutine function without arguments. It has to handle its own errors: an
                exception ends the timer service.
        """
        subscription = Subscription(name, period_s, callback)
        self._subscriptions.append(subscription)
        if self._nursery is not None:
            self._nursery.start_soon(self._run_periodically, subscription)
        return subscription

    def unsubscribe(self, subscription: Subscription) -> None:
        """Remove a periodic callback; a call that is running completes."""
        self._subscriptions.remove(subscription)

    async def run(self) -> None:
        """Run all periodic callbacks until cancelled."""
        self._clock = trio.lowlevel.current_clock()
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for subscription in self._subscriptions:
                    nursery.start_soon(self._run_periodically, subscription)
                await trio.sleep_forever()
        finally:
            self._clock = None

    async def _run_periodically(self, subscription: Subscription) -> None:
        while subscription in self._subscriptions:
            await trio.sleep(subscription.period_s)
            if subscription in self._subscriptions:
                await subscription.callback()
