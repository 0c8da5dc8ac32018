"""Writer that appends claims, outcomes and releases of keyed calls to the log in batches."""

from __future__ import annotations

import random
import uuid
from collections import deque
from collections.abc import Callable

import attrs
import trio

from figwalk.coordination.backoff import Backoff
from figwalk.coordination.log_appender import LogAppender
from figwalk.coordination.log_client import LogClient
from figwalk.coordination.log_follower import LogFollower
from figwalk.errors import (
    CallOutcome,
    LogAnswerLostError,
    LogRateLimitedError,
    LogUnavailableError,
    RefusalError,
)
from figwalk.events import Event, EventLog
from figwalk.protocol.records import Claim, ClaimBatch, Outcome, Release
from figwalk.state.claims import Claims, KeyRecord
from figwalk.state.published import Limits
from figwalk.timer import Timer

CLAIM_TIMEOUT_S = 5.0  # Leaves time to look up a record whose append ran into the log timeout.
RETRY_AFTER_MS = 1000
MAX_BATCH_RECORDS = 200
MAX_BATCH_BYTES = 256 * 1024
# The log refuses records above 1 MiB. Only the agent that ran the call stores a larger answer.
MAX_OUTCOME_BYTES = 512 * 1024
# Outcomes wait in memory while the log is down. Above this size the writer drops the oldest ones;
# the agent that ran the call still has the answer.
MAX_QUEUED_OUTCOME_BYTES = 8 * 1024 * 1024

# The log accepts several hundred appends per second. After this pause it accepts a few more from
# each of a few entries, and claims that arrive during the pause share the next batch.
RATE_LIMIT_PAUSE_S = 0.02

# Period of the empty batches that are appended to an idle stream. Without them a reader that
# starts at the oldest retained record could not distinguish a day without claims from claims that
# the log has dropped.
IDLE_MARKER_PERIOD_S = 600.0


@attrs.define(eq=False)
class _Waiter:
    """A claim whose caller waits for the result."""

    claim: Claim
    done: trio.Event = attrs.field(factory=trio.Event)
    in_batch: bool = False
    refusal: RefusalError | None = None
    record: KeyRecord | None = None


class ClaimWriter:
    """Appends claims, outcomes and releases, one batch at a time.

    Records that arrive while an append is in flight are combined into the next batch.

    Args:
        client: The log.
        claims: State replayed from the stream `claims`.
        follower: Follower that applies the stream to `claims`.
        events: Event log.
        timer: Source of time.
        key_memory_s: Returns the published key memory.
        claim_timeout_s: Seconds after which a claim without a result is abandoned.
        rng: Source of jitter; tests give a seeded one.
    """

    def __init__(
        self,
        client: LogClient,
        claims: Claims,
        follower: LogFollower,
        events: EventLog,
        timer: Timer,
        *,
        key_memory_s: Callable[[], float] = lambda: Limits().key_memory_s,
        claim_timeout_s: float = CLAIM_TIMEOUT_S,
        rng: random.Random | None = None,
    ) -> None:
        self._follower = follower
        self._claims = claims
        self._events = events
        self._timer = timer
        self._key_memory_s = key_memory_s
        self._claim_timeout_s = claim_timeout_s
        self._rng = rng or random.Random()
        self._appender = LogAppender(client, follower, claims)
        self._backoff = Backoff(rng=self._rng)
        self._waiters: deque[_Waiter] = deque()
        self._releases: deque[Release] = deque()
        self._outcomes: deque[Outcome] = deque()
        self._outcome_bytes = 0
        self._wake = trio.Event()
        self._idle = trio.Event()
        self._appending = False
        self._request_ids: dict[str, str] = {}
        self._idle_offset = 0
        self._idle_since = 0.0

    @property
    def queued(self) -> int:
        """Number of records that wait for the next batch."""
        return len(self._waiters) + len(self._releases) + len(self._outcomes)

    async def claim(self, claim: Claim) -> KeyRecord:
        """Claim a key and return its winning claim, as read from the log.

        The entry may send the call only if the returned claim is its own. If this method ends
        without a result, the writer releases the claim as soon as the log accepts appends; the
        next attempt therefore needs a new claim id.

        Raises:
            RefusalError: The key could not be claimed; this attempt did not send the call.
        """
        if not self._follower.available:
            raise _refuse("log_unavailable", "keyed calls wait for the log, which does not answer")
        self._require_complete_view()
        waiter = _Waiter(claim)
        self._waiters.append(waiter)
        self._notify()
        returned = False
        try:
            record = await self._wait(waiter)
            returned = True
        finally:
            if not returned:
                self._abandon(waiter)
        return record

    def record_outcome(self, outcome: Outcome, *, request_id: str = "") -> None:
        """Append the outcome of a claimed call in the background.

        The outcome is dropped if it is too large for the log, or if too many outcomes accumulate
        while the log is down.
        """
        if _size(outcome) > MAX_OUTCOME_BYTES:
            self._report_dropped(outcome, "outcome is too large for the log")
            return
        self._outcomes.append(outcome)
        self._outcome_bytes += _size(outcome)
        self._request_ids[outcome.claim_id] = request_id
        self._drop_excess_outcomes()
        self._notify()

    def release(self, release: Release, *, request_id: str = "") -> None:
        """Append in the background that a claimed call has not run and never will."""
        self._releases.append(release)
        self._request_ids[release.claim_id] = request_id
        self._notify()

    async def flush(self) -> None:
        """Wait until no record is queued and no append is in flight."""
        while self.queued or self._appending:
            await self._idle.wait()

    async def run(self) -> None:
        """Append batches, one at a time, until cancelled."""
        self._idle_since = self._timer.now()
        while True:
            if not self.queued:
                await self._wait_for_work()
            if self.queued:
                await self._append_batch()
            elif self._is_stream_idle():
                await self._append(ClaimBatch(str(uuid.uuid4())), [])
            self._notify_idle()

    async def _wait(self, waiter: _Waiter) -> KeyRecord:
        with trio.move_on_after(self._claim_timeout_s):
            await waiter.done.wait()
        if waiter.refusal is not None:
            raise waiter.refusal
        if waiter.record is None:
            raise _refuse("log_unavailable", "the log did not confirm the claim in time")
        return waiter.record

    def _require_complete_view(self) -> None:
        if not self._claims.covers(self._key_memory_s()):
            raise _refuse_incomplete()

    def _abandon(self, waiter: _Waiter) -> None:
        """Remove or release a claim whose call will not be sent, so that its key becomes free."""
        if not waiter.in_batch and waiter in self._waiters:
            self._waiters.remove(waiter)
        elif waiter.in_batch:
            self.release(Release(waiter.claim.claim_id))

    async def _wait_for_work(self) -> None:
        self._wake = trio.Event()
        with trio.move_on_after(IDLE_MARKER_PERIOD_S * self._rng.uniform(0.5, 1.0)):
            await self._wake.wait()

    def _is_stream_idle(self) -> bool:
        now = self._timer.now()
        if self._follower.offset != self._idle_offset or not self._follower.available:
            self._idle_offset = self._follower.offset
            self._idle_since = now
        return now - self._idle_since >= IDLE_MARKER_PERIOD_S

    def _notify(self) -> None:
        self._wake.set()

    async def _append_batch(self) -> None:
        waiters = self._take_waiters()
        batch = ClaimBatch(
            str(uuid.uuid4()),
            self._take_releases(MAX_BATCH_RECORDS - len(waiters)),
            [waiter.claim for waiter in waiters],
            self._take_outcomes(),
            key_memory_s=self._key_memory_s(),
        )
        await self._append(batch, waiters)

    async def _append(self, batch: ClaimBatch, waiters: list[_Waiter]) -> None:
        """Append a batch; return once it is certain whether the log contains it."""
        self._appending = True
        try:
            await self._appender.append(batch)
        except LogRateLimitedError:
            self._requeue(batch, waiters)
            await trio.sleep(RATE_LIMIT_PAUSE_S * self._rng.uniform(0.5, 1.5))
            return
        except LogUnavailableError as error:
            self._refuse_claims(batch, waiters, error)
            await trio.sleep(self._backoff.next_delay())
            return
        except LogAnswerLostError:
            await self._resolve_pending()
        self._backoff.reset()
        self._finish(batch, waiters)

    def _notify_idle(self) -> None:
        self._appending = False
        self._idle.set()
        self._idle = trio.Event()

    def _drop_excess_outcomes(self) -> None:
        while self._outcome_bytes > MAX_QUEUED_OUTCOME_BYTES:
            dropped = self._outcomes.popleft()
            self._outcome_bytes -= _size(dropped)
            self._report_dropped(dropped, "too many outcomes wait for the log")

    def _report_dropped(self, outcome: Outcome, reason: str) -> None:
        request_id = self._request_ids.pop(outcome.claim_id, "")
        self._events.record(
            Event.KEY_UNKNOWN, request_id=request_id, claim_id=outcome.claim_id, reason=reason
        )

    async def _resolve_pending(self) -> None:
        while True:
            await trio.sleep(self._backoff.next_delay())
            try:
                await self._appender.resolve()
            except LogAnswerLostError:
                continue
            return

    def _refuse_claims(
        self, batch: ClaimBatch, waiters: list[_Waiter], error: LogUnavailableError
    ) -> None:
        """Refuse the claims of a batch that is not in the log and requeue the other records."""
        self._requeue(batch, [])
        for waiter in waiters:
            waiter.in_batch = False
            waiter.refusal = _refuse("log_unavailable", f"claim not appended: {error.message}")
            waiter.done.set()

    def _requeue(self, batch: ClaimBatch, waiters: list[_Waiter]) -> None:
        """Return records that are not in the log to the front of the queues, for the next batch."""
        self._releases.extendleft(reversed(batch.releases))
        self._outcomes.extendleft(reversed(batch.outcomes))
        self._outcome_bytes += sum(_size(outcome) for outcome in batch.outcomes)
        released_ids = {release.claim_id for release in self._releases}
        for waiter in reversed(waiters):
            waiter.in_batch = False
            if waiter.claim.claim_id not in released_ids:
                self._waiters.appendleft(waiter)

    def _finish(self, batch: ClaimBatch, waiters: list[_Waiter]) -> None:
        for waiter in waiters:
            self._resolve(waiter)
        for release in batch.releases:
            self._report_recorded(Event.KEY_RELEASED, release.claim_id)
        for outcome in batch.outcomes:
            self._report_recorded(Event.KEY_OUTCOME_RECORDED, outcome.claim_id)

    def _report_recorded(self, event: Event, claim_id: str) -> None:
        request_id = self._request_ids.pop(claim_id, "")
        self._events.record(event, request_id=request_id, claim_id=claim_id)

    def _resolve(self, waiter: _Waiter) -> None:
        claim = waiter.claim
        waiter.record = self._claims.find(claim.service, claim.organisation, claim.key)
        if waiter.record is None:
            waiter.refusal = _refuse("claim_released", "the claim was released by another entry")
        elif not waiter.record.certain:
            waiter.refusal = _refuse_incomplete()
        waiter.done.set()

    def _take_waiters(self) -> list[_Waiter]:
        taken: list[_Waiter] = []
        taken_bytes = 0
        while self._waiters and len(taken) < MAX_BATCH_RECORDS and taken_bytes < MAX_BATCH_BYTES:
            waiter = self._waiters.popleft()
            waiter.in_batch = True
            taken.append(waiter)
            taken_bytes += len(waiter.claim.key) + len(waiter.claim.organisation)
        return taken

    def _take_releases(self, limit: int) -> list[Release]:
        count = min(limit, len(self._releases))
        return [self._releases.popleft() for _ in range(count)]

    def _take_outcomes(self) -> list[Outcome]:
        taken: list[Outcome] = []
        taken_bytes = 0
        while self._outcomes and len(taken) < MAX_BATCH_RECORDS:
            size = _size(self._outcomes[0])
            if taken and taken_bytes + size > MAX_BATCH_BYTES:
                break
            taken.append(self._outcomes.popleft())
            taken_bytes += size
        self._outcome_bytes -= taken_bytes
        return taken


def _size(outcome: Outcome) -> int:
    return len(outcome.body) + sum(len(name) + len(value) for name, value in outcome.headers)


def _refuse_incomplete() -> RefusalError:
    return _refuse("claims_incomplete", "this entry has not read all remembered claims")


def _refuse(code: str, message: str) -> RefusalError:
    """Return a refusal of an attempt that was not sent; an earlier one of its key may have run."""
    return RefusalError(
        code,
        message,
        outcome=CallOutcome.UNKNOWN,
        attempt=CallOutcome.NOT_RUN,
        retry_after_ms=RETRY_AFTER_MS,
    )
