"""The controller lease in the log, and the orders that are appended under it."""

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
PROBE_MARGIN = 1.1  # The log's clock and the candidate's may differ in speed.


class LeaseNotHeldError(FigwalkError):
    """This process does not hold the controller lease, so that its order has no effect."""


class Lease:
    """Claims and renews the controller lease, and appends orders while it is held.

    The time of the lease only tells this process when to stop. What makes an order of a former
    holder void is its place in the log, which `Control` judges.

    Args:
        client: The log.
        control: Fold over the stream `control`.
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
        self._watched: tuple[int, int] | None = None
        self._watched_since = 0.0
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
        """Append an order and return its offset once it was read back as valid.

        Raises:
            LeaseNotHeldError: The lease is not held, or was lost before the order's offset; the
                order has no effect.
            LogUnavailableError: The order was not appended.
            LogAnswerLostError: The order may be in the log. It is sent again before anything
                else that this process appends to the stream.
        """
        term = self._require_term()
        order = RoleOrder(
            str(uuid.uuid4()), term, backend, role, model, adapter, version, reason=reason
        )
        offset = await self._append_order(order)
        if self._control.desired(backend).order_offset != offset:
            raise LeaseNotHeldError(f"order at offset {offset} came after the end of term {term}")
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
        """Return whether no lease record was read for long enough by the local clock."""
        now = self._timer.now()
        watched = (self._control.last_lease_offset, self._control.term)
        if watched != self._watched or not self._follower.available:
            self._watched = watched
            self._watched_since = now
            self._claim_delay_s = self._rng.uniform(0.0, self._ttl_s / 2)
            return False
        return now - self._watched_since >= self._silence_s() + self._claim_delay_s

    def _silence_s(self) -> float:
        """Return the seconds of silence after which the lease counts as free."""
        if not self._control.complete:
            # Only the vacancy rule can win then; a claim before it would put it off.
            return max(VACANCY_MS / MS_PER_S, self._ttl_s) * PROBE_MARGIN
        if self._control.term == NO_OFFSET:
            return 0.0
        # Past the vacancy time a claim wins anyway, whatever time the last claim named.
        return min(max(self._control.last_ttl_s, self._ttl_s), VACANCY_MS / MS_PER_S)

    async def _claim(self) -> None:
        claim = LeaseClaim(
            str(uuid.uuid4()), self._name, self._control.last_lease_offset, self._ttl_s
        )
        self._watched = None
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
        """Append a record and return its offset, or None if that failed or took too long."""
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
