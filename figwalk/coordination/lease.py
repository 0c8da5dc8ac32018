"""Controller lease, held through the log, and the role orders of its holder."""

from __future__ import annotations

import random
import uuid

import trio

from figwalk.coordination.log_appender import LogAppender
from figwalk.coordination.log_client import LogClient
from figwalk.coordination.log_follower import LogFollower
from figwalk.errors import FigwalkError, LogAnswerLostError, LogError
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import NO_OFFSET, Role
from figwalk.protocol.records import LeaseClaim, LeaseRenewal, RoleOrder
from figwalk.state.control import VACANCY_MS, Control
from figwalk.timer import MS_PER_S, Timer

RENEWALS_PER_TTL = 3
CANDIDATE_CHECKS_PER_TTL = 10
CLOCK_RATE_MARGIN = 1.1  # The clocks of the log and of the candidate may run at different rates.


class LeaseNotHeldError(FigwalkError):
    """This process does not hold the controller lease, so its order has no effect."""


class Lease:
    """Claims and renews the controller lease, and appends orders while it is held.

    The lease's duration only determines when this process stops appending orders. An order of a
    former holder has no effect because of its offset in the log, which `Control` checks.

    Args:
        client: The log.
        control: State replayed from the stream `control`.
        follower: Follower that applies the stream to `control`.
        events: Event log.
        timer: Source of time.
        holder: Name of this process.
        ttl_s: Seconds that the lease lasts without a renewal.
        rng: Source of jitter; tests give a seeded one.
    """

    def __init__(
        self,
        client: LogClient,
        control: Control,
        follower: LogFollower,
        events: EventLog,
        timer: Timer,
        *,
        holder: str,
        ttl_s: float,
        rng: random.Random | None = None,
    ) -> None:
        self._follower = follower
        self._control = control
        self._name = holder
        self._events = events
        self._timer = timer
        self._ttl_s = ttl_s
        self._rng = rng or random.Random()
        self._appender = LogAppender(client, follower, control)
        self._term: int | None = None
        self._held_until = 0.0
        self._observed_lease: tuple[int, int] | None = None
        self._observed_since = 0.0
        self._claim_delay_s = 0.0

    @property
    def term(self) -> int | None:
        """Current term if this process holds the lease, else None."""
        if self._term is None or self._term != self._control.term:
            return None
        return self._term if self._timer.now() < self._held_until else None

    async def run(self) -> None:
        """Claim the lease whenever it is free and renew it while it is held, until cancelled."""
        while True:
            if self.term is not None:
                await self._sleep_and_renew()
                continue
            self._report_loss()
            if self._should_claim():
                await self._claim()
            await trio.sleep(self._ttl_s / CANDIDATE_CHECKS_PER_TTL)

    async def append_order(
        self,
        backend: str,
        role: Role,
        *,
        model: str = "",
        adapter: str = "",
        version: str = "",
        reason: str = "",
    ) -> int:
        """Append an order, read it back as valid and return its offset.

        Raises:
            LeaseNotHeldError: This process does not hold the lease, or lost it before the order's
                offset; the order has no effect.
            LogUnavailableError: The order was not appended.
            LogAnswerLostError: The order may be in the log. This process sends it again before it
                appends anything else to the stream.
        """
        term = self._require_term()
        order = RoleOrder(
            str(uuid.uuid4()), term, backend, role, model, adapter, version, reason=reason
        )
        offset = await self._append_order(order)
        if self._control.desired(backend).order_offset != offset:
            raise LeaseNotHeldError(
                f"order at offset {offset} was written after the end of term {term}"
            )
        self._events.record(
            Event.ORDER_APPENDED,
            backend=backend,
            role=role,
            term=term,
            offset=offset,
            reason=reason,
        )
        return offset

    async def _append_order(self, order: RoleOrder) -> int:
        with trio.move_on_after(self._timer.left_s(self._held_until)) as scope:
            return await self._appender.append(order)
        assert scope.cancelled_caught
        raise LogAnswerLostError(
            f"order for {order.backend!r} was not read back before the lease ended",
            remedy="read the control stream before deciding again",
        )

    def _require_term(self) -> int:
        term = self.term
        if term is None:
            raise LeaseNotHeldError(
                f"{self._name} does not hold the controller lease",
                remedy=f"the holder is {self._control.holder or 'not known'}",
            )
        return term

    def _should_claim(self) -> bool:
        """Return whether, by the local clock, the lease has not been renewed for long enough."""
        now = self._timer.now()
        current_lease = (self._control.last_lease_offset, self._control.term)
        if current_lease != self._observed_lease or not self._follower.available:
            self._observed_lease = current_lease
            self._observed_since = now
            self._claim_delay_s = self._rng.uniform(0.0, self._ttl_s / 2)
            return False
        return now - self._observed_since >= self._claim_wait_s() + self._claim_delay_s

    def _claim_wait_s(self) -> float:
        """Return the seconds without a lease record after which the lease counts as free."""
        if not self._control.complete:
            # Only the vacancy rule can grant the lease in this state, and an earlier claim would
            # restart the vacancy period.
            return max(VACANCY_MS / MS_PER_S, self._ttl_s) * CLOCK_RATE_MARGIN
        if self._control.term == NO_OFFSET:
            return 0.0
        # After the vacancy period any claim wins, whatever duration the last claim had.
        return min(max(self._control.last_ttl_s, self._ttl_s), VACANCY_MS / MS_PER_S)

    async def _claim(self) -> None:
        claim = LeaseClaim(
            str(uuid.uuid4()), self._name, self._control.last_lease_offset, self._ttl_s
        )
        self._observed_lease = None
        sent_at = self._timer.now()
        offset = await self._append_until(claim, sent_at + self._ttl_s)
        if offset is None or self._control.term != offset:
            return
        self._term = offset
        self._held_until = sent_at + self._ttl_s
        if self.term is not None:
            self._events.record(Event.LEASE_ACQUIRED, term=offset, holder=self._name)

    async def _sleep_and_renew(self) -> None:
        await trio.sleep(self._ttl_s / RENEWALS_PER_TTL)
        term = self.term
        if term is None:
            return
        renewal = LeaseRenewal(str(uuid.uuid4()), self._name, term)
        sent_at = self._timer.now()
        offset = await self._append_until(renewal, self._held_until)
        # A renewal counts only if the term was still current at its offset.
        if offset is not None and self._control.term == term:
            self._held_until = sent_at + self._ttl_s

    async def _append_until(self, record: LeaseClaim | LeaseRenewal, deadline: float) -> int | None:
        """Append a record and return its offset, or None on failure or after the deadline."""
        with trio.move_on_after(self._timer.left_s(deadline)):
            try:
                return await self._appender.append(record)
            except LogError:
                return None  # The follower reports an unavailable log.
        return None

    def _report_loss(self) -> None:
        if self._term is not None:
            self._events.record(
                Event.LEASE_LOST, term=self._term, holder=self._control.holder or "none"
            )
            self._term = None
