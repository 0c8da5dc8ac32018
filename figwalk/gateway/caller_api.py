"""Handles callers' requests, and ends each with an answer or a refusal by its deadline."""

from __future__ import annotations

import random
from collections.abc import Callable
from http import HTTPStatus

from figwalk.coordination.call_quarantine import CallQuarantine
from figwalk.coordination.graceful_stop import GracefulStop, make_stop_refusal
from figwalk.coordination.loop_lag import LoopLag
from figwalk.errors import CallerError, CallOutcome, RefusalError
from figwalk.events import Event, EventLog
from figwalk.fairness.call_repeats import CallRepeats
from figwalk.fairness.fair_share import TryKind
from figwalk.gateway.call import Call
from figwalk.gateway.codecs import CallerCodec, CallFacts
from figwalk.gateway.gateway_metrics import GatewayMetrics
from figwalk.gateway.plain_calls import PlainCalls
from figwalk.gateway.prompt_calls import PromptCalls
from figwalk.gateway.stream_versions import StreamVersions
from figwalk.organisations.access_control import AccessControl, InvalidKeyError
from figwalk.state.routing import RoutingConfig
from figwalk.timer import MS_PER_S, Timer
from figwalk.transport import ClientDisconnectedError, HttpRequest, Responder, render_error

NO_CONFIG_RETRY_MS = 500


class CallerApi:
    """Matches callers' requests to routes, and has them answered within their deadlines.

    Args:
        codec: Decodes requests.
        routing: Returns the configuration for a new call, or None before the first one; raises
            `RefusalError` if the gateway accepts no new calls.
        plain_calls: Answers calls of plain services.
        prompt_calls: Answers calls of services with model engines.
        versions: Finds which software version began a stream that a caller takes up.
        access: Authenticates callers.
        quarantine: Decides which calls are not sent to backend servers.
        lag: Measures the delay of this process's event loop.
        stop: Ends calls before the process ends.
        metrics: Counters and latencies.
        events: Event log.
        timer: Source of time.
        rng: Chooses a service where a route splits its calls; tests pass a seeded one.
    """

    def __init__(
        self,
        codec: CallerCodec,
        routing: Callable[[], RoutingConfig | None],
        plain_calls: PlainCalls,
        prompt_calls: PromptCalls,
        versions: StreamVersions,
        access: AccessControl,
        quarantine: CallQuarantine,
        lag: LoopLag,
        stop: GracefulStop,
        metrics: GatewayMetrics,
        events: EventLog,
        timer: Timer,
        rng: random.Random,
    ) -> None:
        self._codec = codec
        self._routing = routing
        self._plain_calls = plain_calls
        self._prompt_calls = prompt_calls
        self._versions = versions
        self._access = access
        self._quarantine = quarantine
        self._lag = lag
        self._stop = stop
        self._metrics = metrics
        self._events = events
        self._timer = timer
        self._rng = rng
        self._repeats = CallRepeats(timer)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request.

        Raises:
            CallerError: The request is not valid, or no route matches it.
        """
        check_framing(request)
        facts = self._codec.decode(request)
        try:
            call = self._accept(request, facts, responder)
        except RefusalError as error:
            await self._send_refusal(facts.call_id, responder, error)
            return
        except InvalidKeyError as error:
            await self._send_invalid_key(facts.call_id, responder, error)
            return
        try:
            await responder.run_while_connected(self._answer, call, responder)
        except ClientDisconnectedError:
            self._record_cancelled(call)
        finally:
            arrivals = call.arrivals
            self._metrics.record_repeats(call.service, arrivals.repeats, arrivals.charged)

    async def screen(self, request: HttpRequest, responder: Responder) -> bool:
        """Refuse a request whose body has not arrived, if it lacks a valid key.

        Returns whether it was refused.

        Raises:
            CallerError: The request is not valid.
        """
        try:
            routing = self._routing()
        except RefusalError:
            return False  # `handle` gives the refusal.
        if routing is None or routing.organisations is None:
            return False
        route = routing.match(request.header(b"host"), request.path)
        if route is None:
            return False
        facts = self._codec.decode(request)
        try:
            self._access.authenticate(routing, route, facts.api_key)
        except RefusalError as error:
            await self._send_refusal(facts.call_id, responder, error)
        except InvalidKeyError as error:
            await self._send_invalid_key(facts.call_id, responder, error)
        else:
            return False
        return True

    def _accept(self, request: HttpRequest, facts: CallFacts, responder: Responder) -> Call:
        routing = self._routing()
        if routing is None:
            raise RefusalError(
                "no_configuration",
                "this gateway has no configuration yet",
                retry_after_ms=NO_CONFIG_RETRY_MS,
            )
        route = routing.match(request.header(b"host"), request.path)
        if route is None:
            self._events.record(
                Event.REQUEST_REFUSED,
                request_id=facts.call_id,
                code="no_route",
                version=routing.version,
            )
            self._metrics.record_refusal("no_route")
            raise CallerError(404, "no_route", "no route has this host and path")
        organisation = self._access.authenticate(routing, route, facts.api_key)
        limit_s = route.timeout_s
        if facts.caller_timeout_s is not None:
            limit_s = min(limit_s, facts.caller_timeout_s)
        # The request may have waited in the socket's buffer for as long as the event loop lags.
        arrived_at = request.started_at - self._lag.lag_s
        service = route.pick_service(self._rng)
        spec = routing.services.get(service)
        return Call(
            request=request,
            facts=facts,
            route=route,
            service=service,
            engine=spec.engine if spec is not None else None,
            config_version=routing.version,
            arrived_at=arrived_at,
            deadline=arrived_at + limit_s,
            check_caller_connected=responder.check_connected,
            held=responder.held,
            organisation=organisation,
            has_organisations=routing.organisations is not None,
        )

    async def _answer(self, call: Call, responder: Responder) -> None:
        if call.repeat_key is not None:
            call.tried = self._repeats.record_seen(call.repeat_key)
            if call.tried is not TryKind.FIRST:
                self._metrics.record_caller_repeat(call.tried.name.lower())
        try:
            with self._stop.limit(lambda: responder.started, call.deadline) as scope:
                backend = await self._run(call, responder)
            if scope.cancelled_caught:
                raise self._make_end_refusal(call, responder)
        except RefusalError as error:
            await self._finish_refused(call, responder, _correct_outcome(call, error))
        except InvalidKeyError as error:
            if call.unresolved or responder.started:
                refusal = _correct_outcome(call, RefusalError(error.code, error.message))
                await self._finish_refused(call, responder, refusal)
            else:
                await self._send_invalid_key(call.call_id, responder, error)
        else:
            self._record_answered(call, backend)

    async def _run(self, call: Call, responder: Responder) -> str:
        if call.takes_up_stream:
            await self._versions.take_up(call)
        call.is_quarantine_test = self._quarantine.admit(call.identity)
        if call.engine is not None:
            return await self._prompt_calls.run(call, responder, call.engine)
        return await self._plain_calls.run(call, responder)

    def _make_end_refusal(self, call: Call, responder: Responder) -> RefusalError:
        """Return the refusal of a call whose time, or that of the process, has ended."""
        may_have_run = call.unresolved or responder.started
        if self._stop.is_over and self._timer.left_s(call.deadline) > 0:
            return make_stop_refusal(may_have_run=may_have_run)
        if may_have_run:
            return RefusalError(
                "timeout",
                "no whole answer within the time of the route or the caller",
                status=HTTPStatus.GATEWAY_TIMEOUT,
                outcome=CallOutcome.UNKNOWN,
            )
        return RefusalError("timeout", "the time ended before the call was sent", retry_after_ms=0)

    async def _finish_refused(self, call: Call, responder: Responder, error: RefusalError) -> None:
        took_s = self._timer.now() - call.arrived_at
        if call.repeat_key is not None and error.outcome is CallOutcome.NOT_RUN:
            self._repeats.record_refused(call.repeat_key, error.retry_after_ms / MS_PER_S)
        self._events.record(
            Event.REQUEST_REFUSED,
            request_id=call.call_id,
            route=call.route.name,
            service=call.service,
            version=call.config_version,
            code=error.code,
            status=error.status,
            outcome=error.outcome.value,
            detail=error.message,
            retry_after_ms=error.retry_after_ms,
            tried=call.tried.name,
            sent_to=" ".join(call.sent_to),
            started=responder.started,
            first_event_s=_since(call.arrived_at, call.timing.first_at),
            longest_gap_s=round(call.timing.longest_gap_s, 4),
            pieces=call.timing.pieces,
            events=call.timing.events,
            output_tokens=call.facts.max_output_tokens,
            took_s=round(took_s, 4),
        )
        if not responder.can_start:
            self._metrics.record_unfinished_answer(call.service, error.code)
            return  # The answer has begun; the server closes the connection before its end.
        await self._send_refusal(call.call_id, responder, error)

    async def _send_refusal(self, call_id: str, responder: Responder, error: RefusalError) -> None:
        self._metrics.record_refusal(error.code)
        body = render_error("server_error", error.code, error.message, outcome=error.outcome.value)
        headers = self._codec.identify(call_id)
        if error.outcome is CallOutcome.NOT_RUN:
            seconds = error.retry_after_ms / MS_PER_S
            headers.append((b"retry-after", f"{seconds:.3f}".encode()))
        await responder.send_json(error.status, body, headers)

    async def _send_invalid_key(
        self, call_id: str, responder: Responder, error: InvalidKeyError
    ) -> None:
        self._events.record(
            Event.REQUEST_REFUSED,
            request_id=call_id,
            code=error.code,
            status=error.status,
            detail=error.reason.value,
        )
        self._metrics.record_refusal(error.code)
        body = render_error("invalid_request_error", error.code, error.message)
        await responder.send_json(error.status, body, self._codec.identify(call_id))

    def _record_cancelled(self, call: Call) -> None:
        self._metrics.record_refusal("caller_gone")
        self._metrics.record_cancelled(sent=call.sent_at is not None)
        self._events.record(
            Event.REQUEST_CANCELLED,
            request_id=call.call_id,
            route=call.route.name,
            sent_to=" ".join(call.sent_to),
            sent_s=_since(call.arrived_at, call.sent_at),
            took_s=round(self._timer.now() - call.arrived_at, 4),
        )

    def _record_answered(self, call: Call, backend: str) -> None:
        took_s = self._timer.now() - call.arrived_at
        self._metrics.record_answer(call.service, took_s)
        if call.repeat_key is not None:
            self._repeats.record_answered(call.repeat_key)
        if call.timing.longest_gap_s > call.route.gap_s:
            self._metrics.record_paused_stream(call.service)
        self._events.record(
            Event.CALL_ANSWERED,
            request_id=call.call_id,
            route=call.route.name,
            service=call.service,
            version=call.config_version,
            backend=backend,
            attempts=len(call.sent_to),
            tried=call.tried.name,
            predicted_s=round(call.predicted_s, 4) if call.predicted_s is not None else None,
            first_event_s=_since(call.arrived_at, call.timing.first_at),
            placed_s=_since(call.arrived_at, call.placed_at) if call.predicted_s else None,
            read_s=_round(call.read_s),
            longest_gap_s=round(call.timing.longest_gap_s, 4),
            pieces=call.timing.pieces,
            events=call.timing.events,
            output_tokens=call.facts.max_output_tokens,
            took_s=round(took_s, 4),
        )


def _since(start: float, end: float | None) -> float | None:
    return _round(end - start) if end is not None else None


def _round(seconds: float | None) -> float | None:
    return round(seconds, 4) if seconds is not None else None


def _correct_outcome(call: Call, error: RefusalError) -> RefusalError:
    """Return a refusal whose outcome is unknown if an earlier attempt may have run the call."""
    if error.outcome is CallOutcome.UNKNOWN or not call.unresolved:
        return error
    return RefusalError(
        error.code,
        f"an earlier attempt may have run; {error.message}",
        status=HTTPStatus.BAD_GATEWAY,
        outcome=CallOutcome.UNKNOWN,
    )


def check_framing(request: HttpRequest) -> None:
    """Reject a request with ambiguous length, which two servers could parse differently.

    Raises:
        CallerError: The request has both a length and chunked encoding, or more than one of either.
    """
    names = [name for name, _ in request.headers]
    if names.count(b"content-length") + names.count(b"transfer-encoding") > 1:
        raise CallerError(400, "ambiguous_length", "give the length of the body in one way")
