"""One bound for the bytes of all requests and answers that a process holds.

Each request has a charge, which its body and its answer count against, from their arrival until the
client has read the answer. The parts that hold bytes charge them; the charge is released as a whole
when the request ends.
"""

from __future__ import annotations

import math
from collections import deque

import attrs
import trio

# Bodies up to this size may use the whole bound.
SMALL_BODY_BYTES = 16 * 1024
# Larger bodies leave the rest to small ones and to answers, without which no body is ever released.
LARGE_BODY_SHARE = 0.75


@attrs.define(eq=False)
class _Waiting:
    """A charge that waits for room.

    Attributes:
        charge: The charge.
        size: Bytes that it waits for.
        granted: Set once they are charged.
    """

    charge: ByteCharge
    size: int
    granted: trio.Event = attrs.field(factory=trio.Event)


class ByteBudget:
    """Bounds the bytes that are held by all charges together.

    A size above the bound is admitted if nothing else is held: it could never be otherwise.

    Args:
        limit: Largest number of bytes; without a limit, the bytes are only counted.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self._limit = limit
        self._held = 0
        self._refused = 0
        self._waiting: deque[_Waiting] = deque()
        self._released = trio.Event()

    @property
    def limit(self) -> float:
        """Largest number of bytes."""
        return self._limit

    @property
    def held(self) -> int:
        """Bytes that are held now."""
        return self._held

    @property
    def refused(self) -> int:
        """Number of times that `ByteCharge.try_add_body` found no room."""
        return self._refused

    def open_charge(self) -> ByteCharge:
        """Return a charge without any bytes."""
        return ByteCharge(self)

    def fits(self, size: int, *, share: float = 1.0) -> bool:
        """Return whether there is room for some more bytes.

        Args:
            size: Number of bytes.
            share: Share of the bound that may be used.
        """
        return self._held == 0 or self._held + size <= share * self._limit

    async def wait_below_limit(self) -> None:
        """Wait while the whole bound is used."""
        while self._held >= self._limit:
            await self._released.wait()

    def count_refusal(self) -> None:
        """Count bytes that were not admitted."""
        self._refused += 1

    def change(self, size: int) -> None:
        """Count more bytes as held, or fewer if negative, and serve the charges that wait."""
        self._held += size
        if size >= 0:
            return
        while self._waiting and self.fits(self._waiting[0].size):
            waiting = self._waiting.popleft()
            waiting.charge.add(waiting.size)
            waiting.granted.set()
        self._released.set()
        self._released = trio.Event()

    async def wait_for_room(self, charge: ByteCharge, size: int) -> None:
        """Charge some bytes once there is room, in the order of the calls."""
        if not self._waiting and self.fits(size):
            charge.add(size)
            return
        waiting = _Waiting(charge, size)
        self._waiting.append(waiting)
        try:
            await waiting.granted.wait()
        finally:
            if not waiting.granted.is_set():
                self._waiting.remove(waiting)


class ByteCharge:
    """The bytes that are held for one request; also a context manager that releases them.

    Args:
        budget: Bound that the bytes count against.
    """

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._size = 0

    def __enter__(self) -> ByteCharge:
        return self

    def __exit__(self, *_exception: object) -> None:
        self.close()

    @property
    def size(self) -> int:
        """Bytes charged."""
        return self._size

    def try_add_body(self, size: int) -> bool:
        """Charge bytes of a request's body if there is room; return whether there was."""
        is_small = self._size + size <= SMALL_BODY_BYTES
        if self.try_add(size, share=1.0 if is_small else LARGE_BODY_SHARE):
            return True
        self._budget.count_refusal()
        return False

    def try_add(self, size: int, *, share: float = 1.0) -> bool:
        """Charge bytes if there is room; return whether there was.

        Args:
            size: Number of bytes.
            share: Share of the bound that may be used.
        """
        if not self._budget.fits(size, share=share):
            return False
        self.add(size)
        return True

    async def add_when_free(self, size: int) -> None:
        """Charge bytes before they are received; wait while there is no room."""
        await self._budget.wait_for_room(self, size)

    def add(self, size: int) -> None:
        """Charge bytes that have been received already."""
        self._size += size
        self._budget.change(size)

    def remove(self, size: int) -> None:
        """Release some of the bytes."""
        size = min(size, self._size)
        self._size -= size
        self._budget.change(-size)

    def close(self) -> None:
        """Release all bytes."""
        self.remove(self._size)
