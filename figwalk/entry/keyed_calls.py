"""Runs non-repeatable calls at most once.

The entry appends a claim of the idempotency key to the log before it sends the call.
"""

from __future__ import annotations

import base64
import uuid

import attrs
import trio

from figwalk.coordination.claim_writer import ClaimWriter
from figwalk.coordination.log_follower import LogFollower
from figwalk.entry.attempt_plan import AttemptPlan
from figwalk.entry.attempt_target import Target
from figwalk.entry.backends import Backends
from figwalk.entry.call_pool import AgentRefusalError
from figwalk.entry.keyed_call import KeyedAnswer, KeyedCall
from figwalk.errors import (
    CallerError,
    CallOutcome,
    ConnectionLostError,
    FigwalkError,
    LogError,
    RefusalError,
    TransportError,
)
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import Call, KeyState, KeyStatus
from figwalk.protocol.records import Claim, Outcome, Release
from figwalk.state.claims import Claims, KeyRecord
from figwalk.timer import MS_PER_S, Timer
from figwalk.transport import Headers, strip_hop_by_hop

# A call that another entry has claimed gets this long to reach its agent before this entry looks it
# up there, since the lookup voids a claim whose call has not arrived.
CLAIM_DELIVERY_WAIT_S = 0.25
AGENT_POLL_PERIOD_S = 0.05
HEAD_READ_TIMEOUT_S = 1.0
LOG_DOWN_RETRY_MS = 2000
UNKNOWN_RETRY_MS = 5000
# Larger answers are not recorded in the log; the agent that ran the call replays them.
MAX_RECORDED_BODY_BYTES = 64 * 1024


class KeyedCalls:
    """Runs keyed calls and replays the answers of earlier runs.

    Args:
        backends: Backend servers that this entry is connected to.
        claims: Claims and outcomes replayed from the log.
        follower: Follows the claims stream of the log.
        writer: Appends claims, outcomes and releases to the log.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self,
        backends: Backends,
        claims: Claims,
        follower: LogFollower,
        writer: ClaimWriter,
        events: EventLog,
        timer: Timer,
    ) -> None:
        self._backends = backends
        self._claims = claims
        self._follower = follower
        self._writer = writer
        self._events = events
        self._timer = timer
        self._in_flight: dict[str, trio.Event] = {}

    async def run(self, call: KeyedCall, plan: AttemptPlan) -> KeyedAnswer:
        """Run a call, or return the answer of an earlier run with the same key.

        Raises:
            CallerError: The key was used for another request, or is too old.
            RefusalError: The call was not answered; the error has the known outcome of the key.
        """
        self._check_key_age(call)
        record = self._find(call)
        while True:
            if record is not None:
                answer = await self._resolve_earlier_claim(call, record)
                if answer is not None:
                    return answer
            claim, target = await self._choose_target(call, plan)
            record = await self._writer.claim(claim)
            if record.claim.claim_id != claim.claim_id:
                continue
            answer = await self._send(call, claim, target, plan)
            if answer is not None:
                return answer
            record = self._find(call)

    def _find(self, call: KeyedCall) -> KeyRecord | None:
        record = self._claims.find(call.service, call.request.organisation, call.key)
        if record is not None and record.claim.digest != call.digest:
            raise CallerError(
                422,
                "key_reused",
                "this Idempotency-Key was used for another request; use a new key",
            )
        return record

    def _check_key_age(self, call: KeyedCall) -> None:
        created_ms = call.created_ms
        if created_ms is None:
            return
        memory_s = self._backends.limits().key_memory_s
        if self._timer.wall_ms() - created_ms > memory_s * MS_PER_S:
            raise CallerError(
                409,
                "key_expired",
                f"keys are remembered for {memory_s:.0f} s and this one is older; "
                "check the outcome with the service, then use a new key",
            )

    async def _choose_target(self, call: KeyedCall, plan: AttemptPlan) -> tuple[Claim, Target]:
        """Choose the backend server and build the claim that names it.

        Raises:
            RefusalError: The log is down or incomplete, or no backend server accepts the call.
        """
        if not self._follower.available:
            raise _build_log_refusal("the platform's log does not answer")
        if not self._claims.covers(self._backends.limits().key_memory_s):
            raise _build_log_refusal("the log no longer keeps the claims that must be remembered")
        try:
            target = plan.next_target()
        except RefusalError as error:
            raise await self._with_logged_outcome(call, error) from error
        claim = Claim(
            claim_id=uuid.uuid4().hex,
            service=call.service,
            organisation=call.request.organisation,
            key=call.key,
            digest=call.digest,
            backend=target.choice.backend,
            incarnation=target.incarnation,
        )
        return claim, target

    async def _with_logged_outcome(self, call: KeyedCall, error: RefusalError) -> RefusalError:
        """Return the refusal with `not_run` if the log proves that the key has no claim.

        Without that proof, the outcome of the key is unknown.
        """
        outcome = CallOutcome.UNKNOWN
        with trio.move_on_after(HEAD_READ_TIMEOUT_S):
            try:
                await self._follower.read_to_head()
            except LogError:
                pass
            else:
                if self._find(call) is None:
                    outcome = CallOutcome.NOT_RUN
        return RefusalError(
            error.code,
            error.message,
            status=error.status,
            outcome=outcome,
            attempt=CallOutcome.NOT_RUN,
            retry_after_ms=error.retry_after_ms,
        )

    async def _send(
        self, call: KeyedCall, claim: Claim, target: Target, plan: AttemptPlan
    ) -> KeyedAnswer | None:
        """Send a call whose claim is the current claim of its key.

        Returns:
            The answer, or None if the call did not run and its key may be claimed again.
        """
        request_id = call.request.request_id
        self._events.record(
            Event.KEY_CLAIMED, request_id=request_id, key=call.key, backend=claim.backend
        )
        done = self._in_flight[claim.claim_id] = trio.Event()
        try:
            with trio.move_on_at(call.request.deadline) as scope:
                async with target.open(self._build_call(call, claim)) as reply:
                    answer = await reply.head()
                    body = await reply.read(call.held)
            if scope.cancelled_caught:
                # The agent doesn't cancel the call, and stores its answer for a retry of the key.
                raise self._build_unknown_refusal(call, "it was still running at the deadline")
        except AgentRefusalError as error:
            if error.outcome is CallOutcome.UNKNOWN:
                return await self._resolve_own_claim(call, claim, plan, error)
            plan.record_refusal(error)
            self._writer.release(Release(claim.claim_id), request_id=request_id)
            return None
        except TransportError as error:
            return await self._resolve_own_claim(call, claim, plan, error)
        finally:
            del self._in_flight[claim.claim_id]
            done.set()
        result = KeyedAnswer(answer.status, strip_hop_by_hop(answer.headers), body, replayed=False)
        self._record(claim, result, request_id)
        return attrs.evolve(result, headers=_caller_headers(result.headers))

    def _build_call(self, call: KeyedCall, claim: Claim) -> Call:
        http = call.request.http
        return Call(
            call_id=self._backends.next_call_id(),
            request_id=call.request.request_id,
            method=http.method,
            target=call.target,
            headers=call.request.forwarded_headers(),
            body=http.body,
            deadline_ms=call.request.remaining_ms(self._timer.now()),
            priority=call.request.priority,
            organisation=call.request.organisation,
            claim_id=claim.claim_id,
            incarnation=claim.incarnation,
            clock=self._events.clock.tick(),
        )

    async def _resolve_own_claim(
        self, call: KeyedCall, claim: Claim, plan: AttemptPlan, error: FigwalkError
    ) -> KeyedAnswer | None:
        """Look up the outcome of a call of this request whose answer was lost after the send.

        Returns:
            The answer, or None if the call has not run and its claim is voided.

        Raises:
            RefusalError: The outcome is unknown.
        """
        answer = await self._poll_agent(call, claim, attempt=CallOutcome.UNKNOWN)
        if answer is None:
            plan.record_refusal(RefusalError("not_sent", str(error)))
            return None
        return attrs.evolve(answer, replayed=False)

    async def _resolve_earlier_claim(
        self, call: KeyedCall, record: KeyRecord
    ) -> KeyedAnswer | None:
        """Return the answer to an earlier claim of the key, or None once the claim is released.

        Raises:
            RefusalError: The outcome is unknown, or the call is still running at the deadline.
        """
        sending = self._in_flight.get(record.claim.claim_id)
        if sending is not None:
            with trio.move_on_at(call.request.deadline):
                await sending.wait()
        elif record.outcome is None:
            with trio.move_on_after(CLAIM_DELIVERY_WAIT_S):
                await self._wait_for_outcome(call, record)
        current = self._find(call)
        if current is None:
            return None
        if current.outcome is not None:
            return self._replay(call, current.outcome)
        if current.claim.claim_id != record.claim.claim_id:
            return await self._resolve_earlier_claim(call, current)
        # `attempt` is `not_run`: this request sends no call until the earlier claim is released.
        return await self._poll_agent(call, current.claim, attempt=CallOutcome.NOT_RUN)

    async def _wait_for_outcome(self, call: KeyedCall, record: KeyRecord) -> None:
        while True:
            current = self._find(call)
            if current is None or current.outcome is not None:
                return
            if current.claim.claim_id != record.claim.claim_id:
                return
            await self._follower.wait_changed()

    async def _poll_agent(
        self, call: KeyedCall, claim: Claim, *, attempt: CallOutcome
    ) -> KeyedAnswer | None:
        """Query the agent that a claim names until the outcome is known.

        Args:
            call: The call of this request.
            claim: Claim of this or of an earlier request.
            attempt: Outcome of this request's own attempt, reported if the claim's is unknown.

        Returns:
            The answer, or None once the claim is voided and released.

        Raises:
            RefusalError: The outcome is unknown, or the call is still running at the deadline.
        """
        while True:
            status = await self._lookup(call, claim, attempt)
            if status.state is KeyState.FINISHED:
                result = KeyedAnswer(status.status, status.headers, status.body, replayed=True)
                self._record(claim, result, call.request.request_id)
                return attrs.evolve(result, headers=_caller_headers(result.headers))
            if status.state is KeyState.VOIDED:
                self._writer.release(Release(claim.claim_id), request_id=call.request.request_id)
                self._events.record(
                    Event.KEY_VOIDED, request_id=call.request.request_id, key=call.key
                )
                return None
            if status.state is KeyState.UNKNOWN:
                raise self._build_unknown_refusal(
                    call, "the agent that was to run it is gone", attempt
                )
            if self._timer.now() >= call.request.deadline:
                raise RefusalError(
                    "in_progress",
                    "a request with this key is still running",
                    status=409,
                    outcome=CallOutcome.UNKNOWN,
                    attempt=attempt,
                    retry_after_ms=MS_PER_S,
                )
            await trio.sleep(AGENT_POLL_PERIOD_S)

    async def _lookup(self, call: KeyedCall, claim: Claim, attempt: CallOutcome) -> KeyStatus:
        link = self._backends.find_link(claim.backend)
        if link is None:
            raise self._build_unknown_refusal(
                call, "the backend server that was to run it is gone", attempt
            )
        try:
            return await link.lookup(claim.claim_id, claim.incarnation)
        except ConnectionLostError as error:
            raise self._build_unknown_refusal(call, str(error), attempt) from error

    def _build_unknown_refusal(
        self, call: KeyedCall, reason: str, attempt: CallOutcome = CallOutcome.UNKNOWN
    ) -> RefusalError:
        self._events.record(
            Event.KEY_UNKNOWN, request_id=call.request.request_id, key=call.key, reason=reason
        )
        return RefusalError(
            "outcome_unknown",
            f"it is not known whether the call ran: {reason}",
            outcome=CallOutcome.UNKNOWN,
            attempt=attempt,
            retry_after_ms=UNKNOWN_RETRY_MS,
        )

    def _replay(self, call: KeyedCall, outcome: Outcome) -> KeyedAnswer:
        self._events.record(Event.KEY_REPLAYED, request_id=call.request.request_id, key=call.key)
        headers = [(name.encode(), value.encode("latin-1")) for name, value in outcome.headers]
        return KeyedAnswer(
            outcome.status, _caller_headers(headers), outcome.body_bytes, replayed=True
        )

    def _record(self, claim: Claim, answer: KeyedAnswer, request_id: str) -> None:
        if len(answer.body) > MAX_RECORDED_BODY_BYTES:
            return
        headers = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in answer.headers]
        body = base64.b64encode(answer.body).decode()
        self._writer.record_outcome(
            Outcome(claim.claim_id, answer.status, headers, body), request_id=request_id
        )


def _caller_headers(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name not in {b"x-request-id", b"date"}]


def _build_log_refusal(reason: str) -> RefusalError:
    return RefusalError(
        "log_unavailable",
        f"calls that may not be repeated are refused now: {reason}",
        outcome=CallOutcome.UNKNOWN,
        attempt=CallOutcome.NOT_RUN,
        retry_after_ms=LOG_DOWN_RETRY_MS,
    )
