"""Queue of the calls of one priority class that wait for admission."""

from __future__ import annotations

import heapq
import itertools

from figwalk.coordination._admission_ticket import Ticket

# Seconds of service by which an organisation may exceed its share before the calls of other
# organisations have precedence.
SHARE_SLACK_S = 2.0


class ClassQueue:
    """Orders the waiting calls of one priority class by organisation share, then by deadline.

    Each organisation is charged the predicted service time of its started calls, divided by its
    weight. Among the organisations within `SHARE_SLACK_S` of the least charged one, the call with
    the earliest deadline is next.
    """

    def __init__(self) -> None:
        self._heaps: dict[str, list[tuple[float, int, Ticket]]] = {}
        self._served_s: dict[str, float] = {}
        self._order = itertools.count()

    def __bool__(self) -> bool:
        return bool(self._heaps)

    def add(self, ticket: Ticket, now: float) -> None:
        """Add a call; an organisation without waiting calls gets no credit for its idle time."""
        name = ticket.work.organisation
        if name not in self._heaps:
            least = min((self._served_s[other] for other in self._heaps), default=0.0)
            self._served_s = {other: self._served_s[other] for other in self._heaps} | {
                name: max(least, self._served_s.get(name, 0.0))
            }
            self._heaps[name] = []
        heapq.heappush(self._heaps[name], (ticket.work.deadline, next(self._order), ticket))

    def pop(self, shares: dict[str, float]) -> Ticket:
        """Remove and return the next call, and charge it to its organisation.

        Args:
            shares: Weights of organisations; others have weight 1.
        """
        bound = min(self._served_s[name] for name in self._heaps) + SHARE_SLACK_S
        eligible = (name for name in self._heaps if self._served_s[name] <= bound)
        name = min(eligible, key=lambda candidate: self._heaps[candidate][0])
        heap = self._heaps[name]
        ticket = heapq.heappop(heap)[2]
        self._served_s[name] += max(ticket.service_s, 0.001) / max(shares.get(name, 1.0), 0.001)
        if not heap:
            del self._heaps[name]
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Remove a call; return whether it was in the queue."""
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
        """Return the waiting calls of all organisations, earliest deadline first."""
        return [item[2] for item in sorted(itertools.chain(*self._heaps.values()))]
