"""Timer service: the only source of time, with periodic callbacks that parts subscribe to."""

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
        name: Name for logs.
        period_s: Seconds between the end of one call and the start of the next.
        callback: Coroutine function to call.
    """

    name: str
    period_s: float
    callback: TimerCallback


class Timer:
    """Gives the time and calls subscribers back.

    Monotonic time comes from trio's clock, so that tests can replace it by a mock clock.
    """

    def __init__(self) -> None:
        self._subscriptions: list[Subscription] = []
        self._nursery: trio.Nursery | None = None
        self._clock: trio.abc.Clock | None = None

    def now(self) -> float:
        """Return monotonic time in seconds."""
        # `trio.current_time` looks the clock up anew, which takes more than half of its time.
        return self._clock.current_time() if self._clock else trio.current_time()

    def left_s(self, deadline: float) -> float:
        """Return the seconds left until a monotonic time, 0 if it has passed.

        A wait computed by a subtraction is negative after a pause, which trio's timeouts refuse.
        """
        return max(0.0, deadline - self.now())

    def wall_ms(self) -> int:
        """Return wall-clock time in milliseconds since 1970; for display and key ages only."""
        return time.time_ns() // 1_000_000

    def subscribe(self, name: str, period_s: float, callback: TimerCallback) -> Subscription:
        """Call a coroutine function periodically while the service runs.

        Args:
            name: Name for logs.
            period_s: Seconds between calls.
            callback: Coroutine function without arguments; it handles its own errors.
        """
        subscription = Subscription(name, period_s, callback)
        self._subscriptions.append(subscription)
        if self._nursery is not None:
            self._nursery.start_soon(self._serve, subscription)
        return subscription

    def unsubscribe(self, subscription: Subscription) -> None:
        """Stop calling a subscriber back after its current call."""
        self._subscriptions.remove(subscription)

    async def run(self) -> None:
        """Serve all subscriptions until cancelled."""
        self._clock = trio.lowlevel.current_clock()
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for subscription in self._subscriptions:
                    nursery.start_soon(self._serve, subscription)
                await trio.sleep_forever()
        finally:
            self._clock = None

    async def _serve(self, subscription: Subscription) -> None:
        while subscription in self._subscriptions:
            await trio.sleep(subscription.period_s)
            if subscription in self._subscriptions:
                await subscription.callback()
