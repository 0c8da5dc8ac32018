"""Answers calls of model engines: places each prompt by predicted latency and relays the stream.

One engine does both prefill and decode, or a prefill engine hands its KV cache to a decode engine.
"""

from __future__ import annotations

import math
from functools import partial
from http import HTTPStatus

import attrs

from figwalk.coordination.answer_lengths import AnswerLengths
from figwalk.coordination.backend_tracker import AttemptOutcome
from figwalk.coordination.call_quarantine import CallQuarantine
from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.coordination.loop_lag import LoopLag
from figwalk.coordination.prompt_placement import PromptPlacement
from figwalk.coordination.prompt_plan import PromptCall, PromptPlan
from figwalk.coordination.windowed_retry_budget import ServiceRetryBudgets
from figwalk.errors import CallOutcome, HttpError, RefusalError
from figwalk.events import Event, EventLog
from figwalk.gateway.attempts import Answer, AttemptError, Attempts
from figwalk.gateway.backend_pool import BackendPool
from figwalk.gateway.call import Call
from figwalk.gateway.codecs import CallStep, KvSource, SendPlan
from figwalk.gateway.placement_decision import AdmissionDecider, PlacementDecision
from figwalk.gateway.plain_calls import (
    NO_BACKEND_RETRY_MS,
    NOT_RUN_STATUSES,
    refuse_without_backend,
)
from figwalk.gateway.prompt_offers import PromptOffers
from figwalk.gateway.retries import take_retries
from figwalk.gateway.stream_relay import StreamRelay
from figwalk.gateway.stream_versions import StreamVersions
from figwalk.protocol.messages import Role
from figwalk.spillover.remote_spread import choose_offers
from figwalk.state.routing import EngineSpec
from figwalk.timer import MS_PER_S, Timer
from figwalk.transport import Responder

# Priorities at an engine, 0 to 9 with 0 first. A prompt whose KV cache is fetched needs no prefill
# and a short one hardly any; queued behind long prefills, both would wait for seconds.
FETCHED_URGENCY = 1
SHORT_URGENCY = 2
LONG_URGENCY = 5
# A resumable stream without a first event within this multiple of its route's target is retried on
# another engine.
FIRST_EVENT_TIMEOUT_TARGETS = 3.0
# Each offer to an agent in another region uses up a tenth of the time to the target.
MAX_OFFERS = 3
# A prefill does not run the call, so the gateway can abandon one at an unresponsive engine and
# repeat it on another. The timeout is a multiple of the predicted time.
MIN_PREFILL_TIMEOUT_S = 0.4
PREFILL_TIMEOUT_FACTOR = 3.0


class PromptCalls:
    """Answers calls of services with model engines.

    Args:
        pool: Backend servers.
        attempts: Sends calls to them.
        placement: Ranks engines and decides on admission.
        offers: Offers prompts to the agents beside engines.
        quarantine: Decides which prompts are not sent.
        lag: Measures the delay of this process's event loop.
        budgets: Limit the retries at each service.
        versions: Records which software version began each stream.
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
        quarantine: CallQuarantine,
        lag: LoopLag,
        budgets: ServiceRetryBudgets,
        versions: StreamVersions,
        events: EventLog,
        timer: Timer,
        *,
        short_prompt_tokens: int,
    ) -> None:
        self._pool = pool
        self._attempts = attempts
        self._placement = placement
        self._offers = offers
        self._quarantine = quarantine
        self._lag = lag
        self._budgets = budgets
        self._versions = versions
        self._events = events
        self._timer = timer
        self._short_prompt_tokens = short_prompt_tokens
        self._lengths = AnswerLengths()

    async def run(self, call: Call, responder: Responder, spec: EngineSpec) -> str:
        """Answer a call; return the id of the engine that answered.

        Raises:
            RefusalError: Engines crash on the prompt, or none gave an answer that can be passed on
                to the caller.
        """
        self._budgets.of_service(call.service).record_first_attempt()
        relay = self._versions.make_relay(call, responder)
        decision = await self._place(call, spec)
        while True:
            try:
                return await self._execute_plan(call, decision, relay)
            except AttemptError as error:
                failure = error
            finally:
                decision.end(read=False)
            decision = await self._place_retry(call, spec, relay, failure)

    async def _place(self, call: Call, spec: EngineSpec) -> PlacementDecision:
        """Choose engines that are expected to answer a call in time.

        Raises:
            RefusalError: No engine is expected to; the call was not sent.
        """
        retry_after_s = math.inf
        decisions: list[PlacementDecision] = []
        for plan in self._choose_offers(call, spec):
            prompt = self._make_prompt_call(call)
            decision = await self._decide(call, prompt, plan)
            if decision.admitted and not self._pool.take_turns(plan.reader, plan.runner):
                decision.end(read=False)
                decision.admitted = False
            decisions.append(decision)
            if decision.admitted:
                call.predicted_s = decision.plan.predicted_s
                call.placed_at = self._timer.now()
                break
            retry_s = self._placement.retry_after_s(prompt, decision.plan, decision.retry_s)
            retry_after_s = min(retry_after_s, retry_s)
        self._record_placement(call, prompt, decisions)
        if decision.admitted:
            return decision
        code, message = "overloaded", "no engine would give the first token in time"
        if any(refused.retry_s > 0 for refused in decisions):
            code, message = "share_used", "the organisation used up its share of the engines"
        retry_after_ms = max(0, int(retry_after_s * MS_PER_S))
        raise RefusalError(code, message, retry_after_ms=retry_after_ms)

    async def _decide(self, call: Call, prompt: PromptCall, plan: PromptPlan) -> PlacementDecision:
        """Decide on a plan, if possible by asking the agent beside its prefill engine."""
        if self._placement.cannot_meet_deadline(prompt, plan):
            return PlacementDecision(plan, AdmissionDecider.BACKLOG, admitted=False)
        answer = None
        if not self._placement.is_short(prompt):
            round_trip_s = self._placement.round_trip_s(plan.reader)
            answer = await self._offers.offer(call.call_id, prompt, plan, round_trip_s)
        if answer is None:
            return PlacementDecision(
                plan, AdmissionDecider.GATEWAY, admitted=self._placement.admits(prompt, plan)
            )
        plan = attrs.evolve(
            plan,
            uncached_tokens=answer.uncached_tokens,
            backlog_s=answer.wait_s,
            reading_s=answer.finish_s - answer.wait_s,
        )
        return PlacementDecision(
            plan,
            AdmissionDecider.AGENT,
            admitted=answer.grant is not None,
            grant=answer.grant,
            retry_s=answer.retry_s,
        )

    def _record_placement(
        self, call: Call, prompt: PromptCall, decisions: list[PlacementDecision]
    ) -> None:
        last = decisions[-1]
        self._events.record(
            Event.PROMPT_PLACED,
            request_id=call.call_id,
            reader=last.plan.reader.entry.backend,
            runner=last.plan.runner.entry.backend,
            software=last.plan.runner.entry.software_version,
            admitted=last.admitted,
            remote=self._placement.is_remote(last.plan),
            age_s=round(self._timer.now() - call.arrived_at, 4),
            tokens=prompt.tokens,
            uncached=int(last.plan.uncached_tokens),
            backlog_s=round(last.plan.backlog_s, 4),
            reading_s=round(last.plan.reading_s, 4),
            after_s=round(last.plan.after_s, 4),
            predicted_s=round(last.plan.predicted_s, 4),
            target_s=round(prompt.target_s, 4),
            deadline_s=round(prompt.deadline_s, 3),
            output_tokens=call.facts.max_output_tokens,
            streams=last.plan.runner.stream_load.streams,
            event_s=round(last.plan.runner.stream_load.event_s, 4),
            events=round(prompt.events, 1),
            needed_event_s=round(prompt.needed_event_s, 4),
            route=call.route.name,
            donor=last.plan.donor.entry.backend if last.plan.donor else None,
            judge=last.judge.value,
            digest_age_s=_round(last.plan.reader.digest_age_s),
            load_age_s=_round(last.plan.reader.load_age_s),
            lag_s=round(self._lag.lag_s, 4),
            refused_by=" ".join(decision.describe() for decision in decisions[:-1]),
            shared_parts=" ".join(part.part_id for part in call.facts.prompt[:-1]),
        )

    def _choose_offers(self, call: Call, spec: EngineSpec) -> list[PromptPlan]:
        plans = self._find_plans(call, spec)
        prompt = self._make_prompt_call(call)
        if self._placement.is_short(prompt):
            return plans[:MAX_OFFERS]
        return choose_offers(
            plans, partial(self._placement.admits, prompt), self._placement.is_remote, MAX_OFFERS
        )

    def _find_plans(self, call: Call, spec: EngineSpec) -> list[PromptPlan]:
        trackers = self._pool.trackers(call.service, len(call.request.body))
        engines = [t for t in trackers if isinstance(t, EngineTracker)]
        tried = {*call.sent_to, *call.failed_prefill_engines}
        candidates = [
            engine
            for engine in engines
            if engine.entry.backend not in tried
            # A prefill engine streams nothing.
            and (engine.entry.role is Role.PREFILL or call.fits_origin(engine))
        ]
        plans = self._placement.rank(self._make_prompt_call(call), candidates, spec)
        if not plans:
            raise self._versions.find_refusal(call) or refuse_without_backend(self._pool, call)
        return plans

    async def _place_retry(
        self, call: Call, spec: EngineSpec, relay: StreamRelay, error: AttemptError
    ) -> PlacementDecision:
        """Choose engines for another attempt after one that failed.

        Raises:
            RefusalError: The route or the retry budget allows no other attempt, or no engine
                remains.
        """
        if not (error.not_run or call.route.repeatable):
            raise self._refuse_unknown(error)
        if call.is_quarantine_test and not error.not_run:
            raise self._refuse_unknown(error)
        is_uncertain = call.origin is not None and self._pool.is_uncertain(call.origin)
        if is_uncertain or not relay.can_continue:
            raise self._refuse(call, error)
        if call.sent_to and not call.may_try_another_backend:
            raise self._refuse(call, error)
        needed = call.arrivals.retries_needed(with_prefill=False)
        if self._budgets.of_service(call.service).left < needed:
            self._events.record(Event.RETRY_BUDGET_EMPTY, request_id=call.call_id)
            raise self._refuse(call, error)
        decision = await self._place_again(call, spec, relay)
        with_prefill = decision.plan.reader is not decision.plan.runner
        if not take_retries(call, self._budgets, self._events, with_prefill=with_prefill):
            decision.end(read=False)
            raise self._refuse(call, error)
        if relay.started:
            self._events.record(
                Event.STREAM_RESUMED, request_id=call.call_id, after=relay.last_event_id
            )
        return decision

    async def _place_again(
        self, call: Call, spec: EngineSpec, relay: StreamRelay
    ) -> PlacementDecision:
        if not relay.started:
            return await self._place(call, spec)
        plan = self._find_plans(call, spec)[0]
        self._pool.take_turns(plan.reader, plan.runner)
        return PlacementDecision(plan, AdmissionDecider.GATEWAY, admitted=True)

    async def _execute_plan(
        self, call: Call, decision: PlacementDecision, relay: StreamRelay
    ) -> str:
        """Run a call on the engines of its plan; return the id of the engine that answered."""
        plan = decision.plan
        source = None
        if plan.reader is not plan.runner:
            source = await self._prefill(call, decision)
        try:
            return await self._send_and_relay(call, decision, relay, source)
        except BaseException as error:
            # Only a fetch frees the KV cache. Without one, the prefill engine would hold it until
            # it expires.
            if source is not None and not relay.started:
                unused = not isinstance(error, AttemptError) or error.not_run
                if unused:
                    await self._attempts.release(call, plan.reader, source)
            raise

    async def _prefill(self, call: Call, decision: PlacementDecision) -> KvSource:
        plan = decision.plan
        key = object()
        plan.reader.start_prefill(key, plan.uncached_tokens)
        started = self._timer.now()
        head_timeout_s = max(MIN_PREFILL_TIMEOUT_S, PREFILL_TIMEOUT_FACTOR * plan.predicted_s)
        send_plan = self._make_send_plan(call, plan.reader, CallStep.PREFILL, donor=plan.donor)
        try:
            prefilled = await self._attempts.prefill(
                call, plan.reader, send_plan, head_timeout_s=head_timeout_s
            )
        except AttemptError:
            call.failed_prefill_engines.append(plan.reader.entry.backend)
            raise
        finally:
            plan.reader.finish_prefill(key)
        self._record_prefill_time(call, decision, prefilled.took_s)
        call.read_s = self._timer.now() - started
        self._events.record(
            Event.PREFILL_DONE,
            request_id=call.call_id,
            backend=plan.reader.entry.backend,
            took_s=round(call.read_s, 4),
        )
        return prefilled.source

    async def _send_and_relay(
        self, call: Call, decision: PlacementDecision, relay: StreamRelay, source: KvSource | None
    ) -> str:
        """Send the call to the engine that generates the answer, and relay the answer.

        Returns the id of the engine. Without `source`, this engine prefills the prompt too.
        """
        plan = decision.plan
        donor = plan.donor if source is None else None
        send_plan = self._make_send_plan(
            call, plan.runner, CallStep.RUN, source, relay, donor=donor
        )
        key = object()
        if source is None:
            plan.runner.start_prefill(key, plan.uncached_tokens)
        else:
            for engine in (plan.reader, plan.runner):
                engine.start_fetch(key, plan.fetch_s)
        head_timeout_s = self._first_event_timeout_s(call)
        self._announce_stream(call, plan.runner)
        try:
            async with self._attempts.send(
                call, plan.runner, send_plan, head_timeout_s=head_timeout_s
            ) as answer:
                began_at = self._timer.now()
                self._clear_pending_work(key, plan)
                self._check_status(call, relay, answer)
                if source is None:
                    took_s = self._timer.now() - answer.response.sent_at
                    self._record_prefill_time(call, decision, took_s, succeeded=answer.succeeded)
                else:
                    self._record_fetch_wait(plan, self._timer.now() - answer.response.sent_at)
                await self._relay(call, relay, answer)
                if answer.succeeded:
                    self._versions.record_end(call)
                    self._lengths.record(
                        call.service, call.facts.max_output_tokens, call.received_events
                    )
                    if len(call.sent_to) == 1:
                        plan.runner.record_decode_time(call.timing.usual_gap_s)
                    self._quarantine.record_answered(call.identity, began_at)
                return answer.backend
        finally:
            self._clear_pending_work(key, plan)

    @staticmethod
    def _clear_pending_work(key: object, plan: PromptPlan) -> None:
        plan.runner.finish_prefill(key)
        for engine in (plan.reader, plan.runner):
            engine.finish_fetch(key)

    def _record_fetch_wait(self, plan: PromptPlan, took_s: float) -> None:
        """Record how long a KV cache fetch waited for the network links of both engines."""
        own_s = self._placement.round_trip_s(plan.runner) + plan.decode_engine_wait_s
        own_s += plan.fetch_s + plan.first_event_s
        for engine in (plan.reader, plan.runner):
            engine.record_link_wait(took_s - own_s)

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
        """Reject an answer that must not be passed on unchanged.

        Raises:
            AttemptError: The answer is a failure in the middle of a stream, a failure that may be
                retried, or a status that means "not run" though the engine did not state it.
        """
        if answer.succeeded:
            return
        is_unproven_not_run = answer.status in NOT_RUN_STATUSES and not call.route.repeatable
        may_repeat = (
            answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            and call.route.repeatable
            and call.may_try_another_backend
        )
        if relay.started or is_unproven_not_run or may_repeat:
            message = f"the engine answered with HTTP status {answer.status}"
            raise AttemptError(AttemptOutcome.FAILED, message, not_run=False)

    def _record_prefill_time(
        self, call: Call, decision: PlacementDecision, took_s: float, *, succeeded: bool = True
    ) -> None:
        """Record how long a prefill took beside its prediction, and report its end to the agent."""
        plan = decision.plan
        parts = _prompt_parts(call)
        predicted_s = plan.backlog_s + plan.reading_s
        overhead_s = self._placement.round_trip_s(plan.reader)
        if plan.reader is plan.runner:
            first_event_s = took_s - overhead_s - predicted_s
            if succeeded:
                plan.runner.record_first_event(plan.first_event_s, first_event_s)
            overhead_s += plan.first_event_s
        else:
            # The decode engine caches fetched prompt parts like those that it has prefilled itself.
            plan.runner.record_fetched(parts)
        prefill_s = took_s - overhead_s
        # A failure takes no time, and a transfer is not the engine's own work.
        if succeeded and plan.donor is None:
            plan.reader.record_prefill_time(plan.uncached_tokens, plan.backlog_s, prefill_s)
        decision.end(read=True, took_s=prefill_s)
        plan.reader.record_prefill(parts, predicted_s, prefill_s)

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
            engine_priority = FETCHED_URGENCY
        elif call.facts.prompt_tokens <= self._short_prompt_tokens:
            engine_priority = SHORT_URGENCY
        else:
            engine_priority = LONG_URGENCY
        return SendPlan(
            engine.entry,
            call.deadline - self._timer.now(),
            step,
            source,
            engine_priority,
            relay.last_event_id if relay is not None and relay.started else "",
            donor.entry if donor is not None else None,
        )

    def _make_prompt_call(self, call: Call) -> PromptCall:
        now = self._timer.now()
        abandoned_at = min(call.deadline, call.arrived_at + call.route.first_event_timeout_s)
        remaining_s = abandoned_at - now
        target_s = call.arrived_at + call.route.target_s - now
        if call.takes_up_stream:
            # The caller has had the first event, and engines of other versions can't help it.
            target_s = remaining_s
        return PromptCall(
            _prompt_parts(call),
            target_s,
            remaining_s,
            call.deadline - now,
            self._pool.gap_s(call.service),
            self._remaining_events(call),
            call.share_request,
        )

    def _remaining_events(self, call: Call) -> float:
        """Return the largest number of events that the caller may still get; 0 if unknown."""
        events = self._lengths.longest(call.service, call.facts.max_output_tokens)
        return max(1.0, events - call.received_events) if events else 0.0

    def _announce_stream(self, call: Call, engine: EngineTracker) -> None:
        """Tell the agent beside an engine of a stream that the engine has to keep in time."""
        prompt = self._make_prompt_call(call)
        if prompt.needs_pace:
            self._offers.expect_stream(engine, call.call_id, prompt.events, prompt.deadline_s)

    def _first_event_timeout_s(self, call: Call) -> float | None:
        """Return how long to wait for a first event, or None if the call can't be retried then."""
        if not call.route.repeatable or len(call.sent_to) + 1 >= call.route.max_backends:
            return None
        if self._budgets.of_service(call.service).left < 1:
            return None
        return FIRST_EVENT_TIMEOUT_TARGETS * call.route.target_s

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


def _prompt_parts(call: Call) -> tuple[tuple[str, int], ...]:
    return tuple((part.part_id, part.tokens) for part in call.facts.prompt)


def _round(value: float | None) -> float | None:
    return round(value, 3) if value is not None else None
