"""Answers calls to plain services: `/services/{service}/{path}`."""

from __future__ import annotations

import posixpath
import re
import urllib.parse
from functools import partial

from figwalk.coordination.graceful_stop import GracefulStop
from figwalk.coordination.retry_budget import RetryBudget
from figwalk.coordination.router import RouteRequest
from figwalk.entry.attempt_plan import AttemptPlan
from figwalk.entry.attempt_target import Target
from figwalk.entry.backends import Backends
from figwalk.entry.caller_request import CallerRequest
from figwalk.entry.keyed_call import KeyedCall
from figwalk.entry.keyed_calls import KeyedCalls
from figwalk.entry.refusals import send_refusal
from figwalk.entry.tallies import Tallies
from figwalk.errors import CallerError, RefusalError, TransportError
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import Call
from figwalk.state.published import ServiceConfig
from figwalk.timer import Timer
from figwalk.transport import (
    ClientDisconnectedError,
    Headers,
    HttpRequest,
    Responder,
    strip_hop_by_hop,
)

SERVICES_PATH = "/services/"
PLAIN_KIND = "plain"


class ServiceCalls:
    """Routes calls to plain services; `KeyedCalls` runs those that may not be repeated."""

    def __init__(
        self,
        backends: Backends,
        budget: RetryBudget,
        keyed: KeyedCalls,
        tallies: Tallies,
        events: EventLog,
        timer: Timer,
        stop: GracefulStop,
    ) -> None:
        self._stop = stop
        self._backends = backends
        self._budget = budget
        self._keyed = keyed
        self._tallies = tallies
        self._events = events
        self._timer = timer

    async def serve(self, http: HttpRequest, responder: Responder) -> None:
        """Answer one request.

        Raises:
            CallerError: The request is not valid.
        """
        name, _, rest = http.target.removeprefix(SERVICES_PATH).partition("/")
        service = self._backends.services().get(name)
        if service is None or service.kind != PLAIN_KIND:
            raise CallerError(404, "service_not_found", f"service {name!r} does not exist")
        target = f"/{rest}"
        request = CallerRequest.from_http(http, self._timer, timeout_s=service.timeout_s)
        self._events.record(
            Event.REQUEST_RECEIVED,
            request_id=request.request_id,
            target=http.path,
            method=http.method,
        )
        plan = self._plan(request, name)
        try:
            if _needs_key(service, http.method, target):
                answer = partial(self._serve_keyed, request, responder, name, service, target, plan)
            else:
                answer = partial(
                    responder.run_while_connected,
                    self._serve_repeatable,
                    request,
                    responder,
                    target,
                    plan,
                )
            await self._stop.run_call(lambda: responder.started, answer)
        except RefusalError as error:
            self._tallies.record_refusal(error.code)
            self._events.record(
                Event.REQUEST_REFUSED,
                request_id=request.request_id,
                code=error.code,
                outcome=error.outcome,
            )
            await send_refusal(responder, error, [request.id_header])
        except ClientDisconnectedError:
            self._events.record(Event.REQUEST_CANCELLED, request_id=request.request_id)
            raise

    def _plan(self, request: CallerRequest, service: str) -> AttemptPlan:
        route = RouteRequest(
            service=service,
            model="",
            prompt_tokens=0,
            max_tokens=0,
            pieces=(),
            priority=request.priority,
            deadline=request.deadline,
            zone=self._backends.zone,
            region=self._backends.region,
        )
        return AttemptPlan(self._backends, self._budget, route, request.request_id, self._events)

    async def _serve_keyed(
        self,
        request: CallerRequest,
        responder: Responder,
        name: str,
        service: ServiceConfig,
        target: str,
        plan: AttemptPlan,
    ) -> None:
        call = KeyedCall.from_request(request, service=name, target=target, held=responder.held)
        answer = await self._keyed.run(call, plan)
        headers = [*answer.headers, request.id_header]
        if answer.replayed:
            headers.append((b"idempotent-replayed", b"true"))
        await responder.send(answer.status, headers, answer.body)
        self._note_answered(request)

    async def _serve_repeatable(
        self, request: CallerRequest, responder: Responder, target: str, plan: AttemptPlan
    ) -> None:
        while not await self._try(request, responder, target, plan, plan.next_target()):
            pass
        self._note_answered(request)

    async def _try(
        self,
        request: CallerRequest,
        responder: Responder,
        target: str,
        plan: AttemptPlan,
        chosen: Target,
    ) -> bool:
        """Try one backend server; return whether the answer was sent to the caller."""
        call = Call(
            call_id=self._backends.next_call_id(),
            request_id=request.request_id,
            method=request.http.method,
            target=target,
            headers=request.forwarded_headers(),
            body=request.http.body,
            deadline_ms=request.remaining_ms(self._timer.now()),
            priority=request.priority,
            organisation=request.organisation,
            incarnation=chosen.incarnation,
            clock=self._events.clock.tick(),
        )
        responder.check_connected()
        try:
            async with chosen.open(call) as reply:
                answer = await reply.head()
                body = await reply.read(responder.held)
        except RefusalError as error:
            plan.record_refusal(error)
            return False
        except TransportError as error:
            plan.record_loss(error)
            return False
        if chosen.choice.crosses_region:
            self._tallies.record_region_bytes(len(body) + len(request.http.body))
        headers = [*answer_headers(answer.headers), request.id_header]
        await responder.send(answer.status, headers, body)
        return True

    def _note_answered(self, request: CallerRequest) -> None:
        in_time = self._timer.now() <= request.deadline
        self._tallies.record_answered(in_time=in_time)
        self._events.record(Event.REQUEST_ANSWERED, request_id=request.request_id, in_time=in_time)


def _needs_key(service: ServiceConfig, method: str, target: str) -> bool:
    """Return whether a rule for non-repeatable calls matches the path, as sent or normalised.

    Backend servers commonly decode paths and merge slashes and dot segments, so a rule must match
    all spellings of its path.
    """
    if not service.non_repeatable:
        return False
    path = re.split("[?#]", target, maxsplit=1)[0]
    plain = posixpath.normpath("/" + urllib.parse.unquote(path).lstrip("/"))
    return any(service.needs_key(method.upper(), spelling) for spelling in (path, plain))


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of a plain service's answer that are forwarded to the caller."""
    return [(name, value) for name, value in strip_hop_by_hop(headers) if name != b"x-request-id"]
