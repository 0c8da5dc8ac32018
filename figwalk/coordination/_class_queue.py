"""Calls of one priority class that wait for admission."""

from __future__ import annotations

import heapq
import itertools

from figwalk.coordination._admission_ticket import Ticket

# Seconds of service by which an organisation may be ahead of its share before others go first.
SHARE_SLACK_S = 2.0


class ClassQueue:
    """Waiting calls of one priority class, by organisation."""

    def __init__(self) -> None:
        self._heaps: dict[str, list[tuple[float, int, Ticket]]] = {}
        self._served: dict[str, float] = {}
        self._order = itertools.count()

    def __bool__(self) -> bool:
        return bool(self._heaps)

    def add(self, ticket: Ticket, now: float) -> None:
        """Add a call; a returning organisation gets no credit for its idle time."""
        name = ticket.work.organisation
        if name not in self._heaps:
            least = min((self._served[other] for other in self._heaps), default=0.0)
            self._served = {other: self._served[other] for other in self._heaps} | {
                name: max(least, self._served.get(name, 0.0))
            }
            self._heaps[name] = []
        heapq.heappush(self._heaps[name], (ticket.work.deadline, next(self._order), ticket))

    def pop(self, shares: dict[str, float]) -> Ticket:
        """Take the next call and charge it to its organisation."""
        bound = min(self._served[name] for name in self._heaps) + SHARE_SLACK_S
        eligible = (name for name in self._heaps if self._served[name] <= bound)
        name = min(eligible, key=lambda candidate: self._heaps[candidate][0])
        heap = self._heaps[name]
        ticket = heapq.heappop(heap)[2]
        self._served[name] += max(ticket.service_s, 0.001) / max(shares.get(name, 1.0), 0.001)
        if not heap:
            del self._heaps[name]
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Take a call out of the queue; return whether it was there."""
        heap = self._heaps.get(ticket.work.organisation, [])
        for index, item in enumerate(heap):
            if item[2] is ticket:
                heap[index] = heap[-1]
                heap.pop()
                heapq.heapify(heap)
                if not heap:
                    del self._heaps[ticket.work.organisation]
                return True
        return False

    def in_order(self) -> list[Ticket]:
        """Return the calls by deadline."""
        return [item[2] for item in sorted(itertools.chain(*self._heaps.values()))]
