"""Streams of model engines: placed by prediction, read and answered on one or two engines."""

from __future__ import annotations

import math
from http import HTTPStatus

import attrs

from figwalk.coordination.backend_tracker import AttemptOutcome
from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.loop_lag import LoopLag
from figwalk.coordination.prompt_placement import PromptPlacement
from figwalk.coordination.prompt_plan import PromptCall, PromptPlan
from figwalk.coordination.windowed_retry_budget import WindowedRetryBudget
from figwalk.errors import CallOutcome, HttpError, RefusalError
from figwalk.events import Event, EventLog
from figwalk.gateway.attempts import Answer, AttemptError, Attempts, take_retry
from figwalk.gateway.backend_pool import BackendPool
from figwalk.gateway.call import Call
from figwalk.gateway.codecs import CallStep, KvSource, SendPlan
from figwalk.gateway.placed_prompt import Judge, Placed
from figwalk.gateway.plain_calls import (
    NO_BACKEND_RETRY_MS,
    NOT_RUN_STATUSES,
    refuse_without_backend,
)
from figwalk.gateway.prompt_offers import PromptOffers
from figwalk.gateway.stream_relay import StreamRelay
from figwalk.state.routing import EngineSpec
from figwalk.timer import MS_PER_S, Timer
from figwalk.transport import Responder

# Ranks at an engine, 0 to 9. A prompt whose KV cache is fetched has nothing left to read, and short
# prompts take almost nothing: behind the long ones that an engine reads, they wait for seconds.
FETCHED_URGENCY = 1
SHORT_URGENCY = 2
LONG_URGENCY = 5
# A resumable stream without a first event within this many targets goes on elsewhere.
FIRST_EVENT_TARGETS = 3.0
# Each offer to an agent in another region takes a tenth of the time to the target.
MAX_OFFERS = 3
# A prefill runs nothing, so that one at a silent engine can be given up and done elsewhere.
MIN_PREFILL_PATIENCE_S = 0.4
PREFILL_PATIENCE = 3.0


class PromptCalls:
    """Answers calls of services with model engines.

    Args:
        pool: Backend servers.
        attempts: Sends calls to them.
        placement: Chooses engines and refuses.
        offers: Asks the agents beside engines.
        lag: How late this process looks at requests.
        budget: Bound of repeated attempts.
        events: Event log.
        timer: Source of time.
        short_prompt_tokens: Prompts up to this length are short.
    """

    def __init__(
        self,
        pool: BackendPool,
        attempts: Attempts,
        placement: PromptPlacement,
        offers: PromptOffers,
        lag: LoopLag,
        budget: WindowedRetryBudget,
        events: EventLog,
        timer: Timer,
        *,
        short_prompt_tokens: int,
    ) -> None:
        self._pool = pool
        self._attempts = attempts
        self._placement = placement
        self._offers = offers
        self._lag = lag
        self._budget = budget
        self._events = events
        self._timer = timer
        self._short_prompt_tokens = short_prompt_tokens

    async def run(self, call: Call, responder: Responder, spec: EngineSpec) -> str:
        """Answer a call; return the id of the engine that answered.

        Raises:
            RefusalError: There is no answer of an engine for the caller.
        """
        self._budget.note_first_attempt()
        relay = StreamRelay(
            responder,
            call.timing,
            self._timer,
            resumable=call.route.resumable,
            resume_after=call.facts.resume_after,
        )
        placed = await self._place(call, spec)
        while True:
            try:
                return await self._follow(call, placed, relay)
            except AttemptError as error:
                failure = error
            finally:
                placed.end(read=False)
            placed = await self._place_again(call, spec, relay, failure)

    async def _place(self, call: Call, spec: EngineSpec) -> Placed:
        """Find engines that answer a call in time.

        Raises:
            RefusalError: There are none; the call has not been sent.
        """
        retry_after_s = math.inf
        tries: list[Placed] = []
        for plan in self._find_plans(call, spec)[:MAX_OFFERS]:
            prompt = self._describe(call)
            placed = await self._offer(call, prompt, plan)
            tries.append(placed)
            if placed.admitted:
                call.predicted_s = placed.plan.predicted_s
                call.placed_at = self._timer.now()
                break
            retry_after_s = min(retry_after_s, self._placement.retry_after_s(prompt, placed.plan))
        self._record_placed(call, prompt, tries)
        if placed.admitted:
            return placed
        raise RefusalError(
            "overloaded",
            "no engine would give the first token in time",
            retry_after_ms=max(0, int(retry_after_s * MS_PER_S)),
        )

    async def _offer(self, call: Call, prompt: PromptCall, plan: PromptPlan) -> Placed:
        """Return a plan with what the agent beside its reader decided on it."""
        if self._placement.is_hopeless(prompt, plan):
            return Placed(plan, Judge.BACKLOG, admitted=False)
        answer = None
        if not self._placement.is_short(prompt):
            round_trip_s = self._placement.round_trip_s(plan.reader)
            answer = await self._offers.offer(call.call_id, prompt, plan, round_trip_s)
        if answer is None:
            return Placed(plan, Judge.GATEWAY, admitted=self._placement.admits(prompt, plan))
        plan = attrs.evolve(
            plan,
            uncached_tokens=answer.uncached_tokens,
            backlog_s=answer.wait_s,
            reading_s=answer.finish_s - answer.wait_s,
        )
        return Placed(plan, Judge.AGENT, admitted=answer.grant is not None, grant=answer.grant)

    def _record_placed(self, call: Call, prompt: PromptCall, tries: list[Placed]) -> None:
        last = tries[-1]
        self._events.record(
            Event.PROMPT_PLACED,
            request_id=call.call_id,
            reader=last.plan.reader.entry.backend,
            runner=last.plan.runner.entry.backend,
            admitted=last.admitted,
            tokens=prompt.tokens,
            uncached=int(last.plan.uncached_tokens),
            backlog_s=round(last.plan.backlog_s, 4),
            reading_s=round(last.plan.reading_s, 4),
            after_s=round(last.plan.after_s, 4),
            predicted_s=round(last.plan.predicted_s, 4),
            target_s=round(prompt.target_s, 4),
            deadline_s=round(prompt.deadline_s, 3),
            route=call.route.name,
            donor=last.plan.donor.entry.backend if last.plan.donor else None,
            judge=last.judge.value,
            digest_age_s=_round(last.plan.reader.digest_age_s),
            load_age_s=_round(last.plan.reader.load_age_s),
            lag_s=round(self._lag.lag_s, 4),
            refused_by=" ".join(placed.describe() for placed in tries[:-1]),
        )

    def _find_plans(self, call: Call, spec: EngineSpec) -> list[PromptPlan]:
        engines = [t for t in self._pool.trackers(call.service) if isinstance(t, EngineTracker)]
        tried = {*call.sent_to, *call.failed_readers}
        left = [t for t in engines if t.entry.backend not in tried]
        plans = self._placement.rank(self._describe(call), left, spec)
        if not plans:
            raise refuse_without_backend(self._pool, call.service)
        return plans

    async def _place_again(
        self, call: Call, spec: EngineSpec, relay: StreamRelay, error: AttemptError
    ) -> Placed:
        """Return a plan for another attempt after one that failed.

        Raises:
            RefusalError: None is allowed or possible.
        """
        if not (error.not_run or call.route.repeatable):
            raise self._refuse_unknown(error)
        if call.sent_to and not call.may_go_elsewhere:
            raise self._refuse(call, error)
        reached = call.sent_to or error.outcome is not AttemptOutcome.UNREACHABLE
        if reached and not take_retry(call, self._budget, self._events):
            raise self._refuse(call, error)
        if relay.started:
            self._events.record(
                Event.STREAM_RESUMED, request_id=call.call_id, after=relay.last_event_id
            )
            plan = self._find_plans(call, spec)[0]
            return Placed(plan, Judge.GATEWAY, admitted=True)
        return await self._place(call, spec)

    async def _follow(self, call: Call, placed: Placed, relay: StreamRelay) -> str:
        """Read and answer a call by a plan."""
        plan = placed.plan
        source = None
        if plan.reader is not plan.runner:
            source = await self._prefill(call, placed)
        try:
            return await self._run(call, placed, relay, source)
        except BaseException as error:
            # Only a fetch takes the KV cache; after any other end it would stay until its time.
            if source is not None and not relay.started:
                unused = not isinstance(error, AttemptError) or error.not_run
                if unused:
                    await self._attempts.release(call, plan.reader, source)
            raise

    async def _prefill(self, call: Call, placed: Placed) -> KvSource:
        plan = placed.plan
        key = object()
        plan.reader.start_reading(key, plan.uncached_tokens)
        started = self._timer.now()
        patience_s = max(MIN_PREFILL_PATIENCE_S, PREFILL_PATIENCE * plan.predicted_s)
        send_plan = self._make_send_plan(call, plan.reader, CallStep.PREFILL, donor=plan.donor)
        try:
            prefilled = await self._attempts.prefill(
                call, plan.reader, send_plan, patience_s=patience_s
            )
        except AttemptError:
            call.failed_readers.append(plan.reader.entry.backend)
            raise
        finally:
            plan.reader.finish_reading(key)
        self._learn(call, placed, prefilled.took_s)
        call.read_s = self._timer.now() - started
        self._events.record(
            Event.PREFILL_DONE,
            request_id=call.call_id,
            backend=plan.reader.entry.backend,
            took_s=round(call.read_s, 4),
        )
        return prefilled.source

    async def _run(
        self, call: Call, placed: Placed, relay: StreamRelay, source: KvSource | None
    ) -> str:
        plan = placed.plan
        donor = plan.donor if source is None else None
        send_plan = self._make_send_plan(
            call, plan.runner, CallStep.RUN, source, relay, donor=donor
        )
        key = object()
        if source is None:
            plan.runner.start_reading(key, plan.uncached_tokens)
        else:
            for engine in (plan.reader, plan.runner):
                engine.start_fetch(key, plan.fetch_s)
        patience_s = self._first_event_patience_s(call)
        try:
            async with self._attempts.send(
                call, plan.runner, send_plan, patience_s=patience_s
            ) as answer:
                self._finish_first_event(key, plan)
                self._check_status(call, relay, answer)
                if source is None:
                    self._learn(call, placed, self._timer.now() - answer.response.sent_at)
                else:
                    self._learn_fetch(plan, self._timer.now() - answer.response.sent_at)
                await self._relay(call, relay, answer)
                return answer.backend
        finally:
            self._finish_first_event(key, plan)

    @staticmethod
    def _finish_first_event(key: object, plan: PromptPlan) -> None:
        plan.runner.finish_reading(key)
        for engine in (plan.reader, plan.runner):
            engine.finish_fetch(key)

    def _learn_fetch(self, plan: PromptPlan, took_s: float) -> None:
        """Take over how long a fetch waited on the links of both engines."""
        own_s = self._placement.round_trip_s(plan.runner) + plan.runner_wait_s
        own_s += plan.fetch_s + plan.first_event_s
        for engine in (plan.reader, plan.runner):
            engine.note_link_wait(took_s - own_s)

    async def _relay(self, call: Call, relay: StreamRelay, answer: Answer) -> None:
        try:
            await relay.relay(answer)
        except HttpError as error:
            self._events.record(
                Event.STREAM_CUT,
                request_id=call.call_id,
                backend=answer.backend,
                after=relay.last_event_id,
                detail=str(error),
            )
            raise

    @staticmethod
    def _check_status(call: Call, relay: StreamRelay, answer: Answer) -> None:
        """Refuse an answer that can't be passed on as it is.

        Raises:
            AttemptError: It is a failure in the middle of a stream, or one that may be repeated, or
                it promises what the engine did not state.
        """
        if answer.succeeded:
            return
        is_false_promise = answer.status in NOT_RUN_STATUSES and not call.route.repeatable
        may_repeat = (
            answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            and call.route.repeatable
            and call.may_go_elsewhere
        )
        if relay.started or is_false_promise or may_repeat:
            message = f"the engine answered with HTTP status {answer.status}"
            raise AttemptError(AttemptOutcome.FAILED, message, not_run=False)

    def _learn(self, call: Call, placed: Placed, took_s: float) -> None:
        """Compare the predicted time of a reading with what it took, and tell the agent."""
        plan = placed.plan
        parts = _parts(call)
        predicted_s = plan.backlog_s + plan.reading_s
        travel_s = self._placement.round_trip_s(plan.reader)
        if plan.reader is plan.runner:
            first_event_s = took_s - travel_s - predicted_s
            plan.runner.note_first_event(plan.first_event_s, first_event_s)
            travel_s += plan.first_event_s
        else:
            # The runner keeps what it fetches like what it has read itself.
            plan.runner.note_fetched(parts)
        placed.end(read=True, took_s=took_s - travel_s)
        plan.reader.note_read(parts, predicted_s, took_s - travel_s)

    def _make_send_plan(
        self,
        call: Call,
        engine: EngineTracker,
        step: CallStep,
        source: KvSource | None = None,
        relay: StreamRelay | None = None,
        *,
        donor: EngineTracker | None = None,
    ) -> SendPlan:
        if source is not None:
            urgency = FETCHED_URGENCY
        elif call.facts.prompt_tokens <= self._short_prompt_tokens:
            urgency = SHORT_URGENCY
        else:
            urgency = LONG_URGENCY
        return SendPlan(
            engine.entry,
            call.deadline - self._timer.now(),
            step,
            source,
            urgency,
            relay.last_event_id if relay is not None and relay.started else "",
            donor.entry if donor is not None else None,
        )

    def _describe(self, call: Call) -> PromptCall:
        now = self._timer.now()
        # A request may have waited in the socket's buffer for as long as this process lags.
        target_s = call.arrived_at + call.route.target_s - now - self._lag.lag_s
        leaves_at = min(call.deadline, call.arrived_at + call.route.first_event_patience_s)
        left_s = leaves_at - now - self._lag.lag_s
        return PromptCall(_parts(call), target_s, left_s, call.deadline - now)

    @staticmethod
    def _first_event_patience_s(call: Call) -> float | None:
        if not call.route.repeatable or len(call.sent_to) + 1 >= call.route.max_backends:
            return None
        return FIRST_EVENT_TARGETS * call.route.target_s

    def _refuse(self, call: Call, error: AttemptError) -> RefusalError:
        if call.unresolved or not error.not_run:
            return self._refuse_unknown(error)
        return RefusalError("engines_full", str(error), retry_after_ms=NO_BACKEND_RETRY_MS)

    @staticmethod
    def _refuse_unknown(error: AttemptError) -> RefusalError:
        return RefusalError(
            "engine_lost",
            f"the engine gave no whole answer: {error}",
            status=HTTPStatus.BAD_GATEWAY,
            outcome=CallOutcome.UNKNOWN,
        )


def _parts(call: Call) -> tuple[tuple[str, int], ...]:
    return tuple((part.part_id, part.tokens) for part in call.facts.prompt)


def _round(value: float | None) -> float | None:
    return round(value, 3) if value is not None else None
