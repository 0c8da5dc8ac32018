"""Control state: a fold over the stream `control` with the controller lease and the orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from figwalk.protocol.messages import NO_OFFSET, Desired
from figwalk.protocol.records import LeaseClaim, LeaseRenewal, Record, RoleOrder
from figwalk.state.log_fold import LogFold

if TYPE_CHECKING:
    from figwalk.coordination.log_client import StoredRecord

RECENT_IDS_WINDOW_MS = 3_600_000  # An append can hardly reach the log later than this.

# After this record time without a valid lease record any claim wins. Without the rule no entry
# could ever claim again once the log has dropped the last lease record. The log must retain
# the stream for longer.
VACANCY_MS = 600_000


@attrs.frozen
class _LeaseRecord:
    """Claim or renewal read while the term is not known; a claim names its own offset as term."""

    term: int
    ttl_s: float


class Control(LogFold[None]):
    """Holder of the controller lease and the newest valid order of each backend server.

    After a gap the term is not known, and no order counts. A renewal proves its term if the
    lease record before it, read after the gap as well, was of the same term: a holder renews
    only after it has read its claim or last renewal back as valid, so that a holder that was
    replaced adds at most one record. A claim by the vacancy rule ends the gap, too.
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
        """Process whose claim won last, or an empty string."""
        return self._holder

    @property
    def last_lease_offset(self) -> int:
        """Offset of the last winning claim or valid renewal, or `NO_OFFSET`."""
        return self._last_lease_offset

    @property
    def last_ttl_s(self) -> float:
        """Seconds that the current lease lasts without a renewal; 0 if there was none."""
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
        # Dropped lease records are not younger than the first record after the gap.
        if not self._complete and self._last_lease_time_ms is None:
            self._last_lease_time_ms = record.time_ms

    def _fold(self, record: StoredRecord, content: Record) -> None:
        if isinstance(content, LeaseClaim):
            self._fold_claim(record, content)
        elif isinstance(content, LeaseRenewal):
            self._fold_renewal(record, content)
        elif isinstance(content, RoleOrder):
            self._fold_order(record.offset, content)

    def _fold_claim(self, record: StoredRecord, claim: LeaseClaim) -> None:
        vacant = self._is_vacant(record.time_ms)
        if vacant or (self._complete and claim.after == self._last_lease_offset):
            self._win(record, claim)
        elif not self._complete:
            self._keep(record, record.offset, claim.ttl_s)

    def _fold_renewal(self, record: StoredRecord, renewal: LeaseRenewal) -> None:
        if not self._complete:
            if self._unproven is None or self._unproven.term != renewal.term:
                self._keep(record, renewal.term, 0.0)
                return
            self._prove(self._unproven, renewal.holder)
        if self._is_current(renewal.term):
            self._last_lease_offset = record.offset
            self._last_lease_time_ms = record.time_ms

    def _fold_order(self, offset: int, order: RoleOrder) -> None:
        if not self._complete:
            self._undecided_orders.append((offset, order))
        elif self._is_current(order.term):
            self._orders[order.backend] = (offset, order)

    def _is_current(self, term: int) -> bool:
        return term == self._term != NO_OFFSET

    def _is_vacant(self, time_ms: int) -> bool:
        last = self._last_lease_time_ms
        return last is not None and time_ms - last >= VACANCY_MS

    def _win(self, record: StoredRecord, claim: LeaseClaim) -> None:
        self._complete = True
        self._unproven = None
        self._undecided_orders.clear()
        self._term = record.offset
        self._holder = claim.holder
        self._last_ttl_s = claim.ttl_s
        self._last_lease_offset = record.offset
        self._last_lease_time_ms = record.time_ms

    def _keep(self, record: StoredRecord, term: int, ttl_s: float) -> None:
        self._unproven = _LeaseRecord(term, ttl_s)
        self._last_lease_time_ms = record.time_ms

    def _prove(self, proven: _LeaseRecord, holder: str) -> None:
        """Take over a term that was current since the gap or since its claim after the gap."""
        self._complete = True
        self._unproven = None
        self._term = proven.term
        self._holder = holder
        self._last_ttl_s = proven.ttl_s or self._last_ttl_s
        undecided, self._undecided_orders = self._undecided_orders, []
        for offset, order in undecided:
            self._fold_order(offset, order)
