"""Controller lease and role orders, replayed from the stream `control`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from figwalk.protocol.messages import NO_OFFSET, Desired
from figwalk.protocol.records import LeaseClaim, LeaseRenewal, Record, RoleOrder
from figwalk.state.replayed_state import ReplayedState

if TYPE_CHECKING:
    from figwalk.coordination.log_client import StoredRecord

RECENT_IDS_WINDOW_MS = 3_600_000  # An append is very unlikely to reach the log later than this.

# Vacancy rule: any claim wins after this period of record time without a valid lease record.
# Otherwise no entry could claim the lease after the log has dropped the last lease record. The log
# must retain the stream for longer than this period.
VACANCY_MS = 600_000


@attrs.frozen
class _LeaseRecord:
    """Claim or renewal read while the term is not known; the term of a claim is its offset."""

    term: int
    ttl_s: float


class Control(ReplayedState[None]):
    """Holder of the controller lease and the newest valid order of each backend server.

    After a gap the term is not known, and new orders have no effect until it is. A renewal proves
    its term if the previous lease record was also read after the gap and has the same term: a
    holder renews only after it has read its claim or last renewal back as valid, so a holder that
    was replaced appends at most one more record. A claim that wins by the vacancy rule also makes
    the term known.
    """

    def __init__(self) -> None:
        super().__init__(RECENT_IDS_WINDOW_MS)
        self._term = NO_OFFSET
        self._holder = ""
        self._last_lease_offset = NO_OFFSET
        self._last_lease_time_ms: int | None = None
        self._last_ttl_s = 0.0
        self._orders: dict[str, tuple[int, RoleOrder]] = {}
        self._complete = True
        self._unproven: _LeaseRecord | None = None
        self._undecided_orders: list[tuple[int, RoleOrder]] = []

    @property
    def offset(self) -> int:
        """Offset of the newest applied record, or `NO_OFFSET`."""
        return self.next_offset - 1

    @property
    def complete(self) -> bool:
        """Whether the term is known; False after a gap until lease records prove it."""
        return self._complete

    @property
    def term(self) -> int:
        """Current term: the offset of the winning claim, or `NO_OFFSET`."""
        return self._term

    @property
    def holder(self) -> str:
        """Process that won the current term, or an empty string if the term is not known."""
        return self._holder

    @property
    def last_lease_offset(self) -> int:
        """Offset of the last winning claim or valid renewal, or `NO_OFFSET`."""
        return self._last_lease_offset

    @property
    def last_ttl_s(self) -> float:
        """Seconds that the current lease lasts without a renewal; 0 if there was no lease."""
        return self._last_ttl_s

    def desired(self, backend: str) -> Desired:
        """Return the newest valid order of a backend server as of `offset`."""
        if backend not in self._orders:
            return Desired(self.offset, NO_OFFSET, NO_OFFSET, backend)
        order_offset, order = self._orders[backend]
        return Desired(
            self.offset,
            order_offset,
            order.term,
            backend,
            order.role,
            order.model,
            order.adapter,
            order.version,
        )

    def _enter_gap(self, offset: int) -> None:
        self._complete = False
        self._term = NO_OFFSET
        self._holder = ""
        self._last_lease_offset = NO_OFFSET
        self._last_lease_time_ms = None
        self._unproven = None
        self._undecided_orders.clear()

    def _observe(self, record: StoredRecord) -> None:
        # The times of the dropped lease records are not known, but none is later than that of the
        # first record after the gap. So the vacancy period is counted from that record.
        if not self._complete and self._last_lease_time_ms is None:
            self._last_lease_time_ms = record.time_ms

    def _apply_content(self, record: StoredRecord, content: Record) -> None:
        if isinstance(content, LeaseClaim):
            self._apply_claim(record, content)
        elif isinstance(content, LeaseRenewal):
            self._apply_renewal(record, content)
        elif isinstance(content, RoleOrder):
            self._apply_order(record.offset, content)

    def _apply_claim(self, record: StoredRecord, claim: LeaseClaim) -> None:
        vacant = self._is_vacant(record.time_ms)
        if vacant or (self._complete and claim.after == self._last_lease_offset):
            self._grant_lease(record, claim)
        elif not self._complete:
            self._store_unproven(record, record.offset, claim.ttl_s)

    def _apply_renewal(self, record: StoredRecord, renewal: LeaseRenewal) -> None:
        if not self._complete:
            if self._unproven is None or self._unproven.term != renewal.term:
                self._store_unproven(record, renewal.term, 0.0)
                return
            self._adopt_term(self._unproven, renewal.holder)
        if self._is_current(renewal.term):
            self._last_lease_offset = record.offset
            self._last_lease_time_ms = record.time_ms

    def _apply_order(self, offset: int, order: RoleOrder) -> None:
        if not self._complete:
            self._undecided_orders.append((offset, order))
        elif self._is_current(order.term):
            self._orders[order.backend] = (offset, order)

    def _is_current(self, term: int) -> bool:
        return term == self._term != NO_OFFSET

    def _is_vacant(self, time_ms: int) -> bool:
        last = self._last_lease_time_ms
        return last is not None and time_ms - last >= VACANCY_MS

    def _grant_lease(self, record: StoredRecord, claim: LeaseClaim) -> None:
        self._complete = True
        self._unproven = None
        self._undecided_orders.clear()
        self._term = record.offset
        self._holder = claim.holder
        self._last_ttl_s = claim.ttl_s
        self._last_lease_offset = record.offset
        self._last_lease_time_ms = record.time_ms

    def _store_unproven(self, record: StoredRecord, term: int, ttl_s: float) -> None:
        self._unproven = _LeaseRecord(term, ttl_s)
        self._last_lease_time_ms = record.time_ms

    def _adopt_term(self, proven: _LeaseRecord, holder: str) -> None:
        """Set a term that has been current since the gap, or since its claim after the gap."""
        self._complete = True
        self._unproven = None
        self._term = proven.term
        self._holder = holder
        self._last_ttl_s = proven.ttl_s or self._last_ttl_s
        undecided, self._undecided_orders = self._undecided_orders, []
        for offset, order in undecided:
            self._apply_order(offset, order)
