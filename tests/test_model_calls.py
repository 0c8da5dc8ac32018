import json

import attrs
import pytest
import trio
from entry_fakes import SSE, FakeConfiguration, FakeReply, Script
from test_entry_backends import SETTINGS, FakeLink
from trio.testing import MockClock

from figwalk.coordination.graceful_stop import GracefulStop
from figwalk.coordination.retry_budget import RetryBudget
from figwalk.coordination.router import Choice, RoutingPolicy
from figwalk.entry.attempt_target import Target
from figwalk.entry.backends import Backends
from figwalk.entry.model_calls import ModelCalls
from figwalk.entry.tallies import Tallies
from figwalk.errors import CallOutcome, RefusalError
from figwalk.events import EventLog
from figwalk.metrics import Metrics
from figwalk.protocol.messages import Answer, ConnectionKind, Hello, LoadReport
from figwalk.protocol.prefix import PIECE_BYTES, PIECE_TOKENS
from figwalk.state.control import Control
from figwalk.state.fleet import Fleet
from figwalk.state.notifier import Notifier
from figwalk.state.published import ServiceConfig
from figwalk.timer import Timer
from figwalk.transport import ByteBudget, ByteCharge, HttpRequest

EVENT = b'data: {"choices": [{"text": "a"}]}\n\n'
SERVICE = ServiceConfig("model", models=["m"])


class _FakeReply:
    """Streamed answer of two chunks."""

    end = None

    async def head(self):
        return Answer(1, 200, [(b"content-type", b"text/event-stream")])

    async def chunks(self):
        yield EVENT
        yield EVENT + b"data: [DONE]\n\n"


class _HangingReply(_FakeReply):
    """Streamed answer that stalls after its first chunk."""

    async def chunks(self):
        yield EVENT
        await trio.sleep_forever()


class _FakePool:
    """Records the calls that are sent, and which calls the fleet then counts as in flight."""

    def __init__(self, fleet, reply):
        self.fleet = fleet
        self.reply = reply
        self.calls = []
        self.in_flight = []
        self.refused = []

    async def start(self, call):
        self.calls.append(call)
        self.in_flight = self.fleet.find("llm-1").in_flight
        return self.reply

    def end(self, reply):
        pass


class _FakeBackends:
    """One engine in another region that has the first piece of every prompt in its prefix cache."""

    zone = region = "here"

    def __init__(self, fleet, pool):
        self.fleet = fleet
        self.pool = pool

    def services(self):
        return {"llm": SERVICE}

    def choose(self, route, excluded, loaded=None):
        return Choice("llm-1", 0.1, 0.01, PIECE_TOKENS, True, "")

    def target(self, choice, pieces):
        return Target(choice, self.pool, 1, self.fleet, pieces)

    def record_unserved(self, route):
        self.pool.refused.append((route.service, route.prompt_tokens, route.max_tokens))

    def next_call_id(self):
        return 1


class _BusyBackends(_FakeBackends):
    """Backend servers of which none accepts work."""

    def choose(self, route, excluded, loaded=None):
        return None


class _PausingTimer(Timer):
    """Timer of a process that was suspended for `paused_s` seconds."""

    paused_s = 0.0

    def now(self):
        return super().now() + self.paused_s


class _PausedBackends(_FakeBackends):
    """Suspends the process after it has parsed a call, for longer than the caller's deadline."""

    @property
    def zone(self):
        self.fleet._timer.paused_s = 10.0
        return "here"


@attrs.define
class _FakeResponder:
    """Records what is sent to the caller."""

    started: bool = False
    finished: bool = False
    sent: bytes = b""
    held: ByteCharge = attrs.field(factory=lambda: ByteBudget().open_charge())

    async def run_while_connected(self, function, *arguments):
        await function(*arguments)

    def check_connected(self):
        pass

    async def start(self, status, headers):
        self.started = True

    async def send_chunk(self, data):
        self.sent += data

    async def send_json(self, status, body, headers):
        self.finished = True

    async def finish(self):
        self.finished = True


def stream_prompt(prompt, *, headers=(), reply=None, responder=None, backends=_FakeBackends):
    """Serve a streamed call; return the fleet, the pool, the tallies and the size of the body."""
    body = b'{"model": "m", "stream": true, "max_tokens": 2, "prompt": "%s"}' % prompt

    async def main():
        timer = _PausingTimer()
        fleet = Fleet(timer)
        fleet.register("llm-1", "llm")
        pool = _FakePool(fleet, reply or _FakeReply())
        tallies = Tallies(Metrics(None, prefix="entry", timer=timer), timer)
        events = EventLog("entry-1", timer)
        stop = GracefulStop(timer)
        calls = ModelCalls(backends(fleet, pool), RetryBudget(timer), tallies, events, timer, stop)
        request = HttpRequest("POST", "/v1/completions", list(headers), body)
        await calls.serve(request, responder or _FakeResponder())
        return fleet, pool, tallies, len(body)

    return trio.run(main, clock=MockClock(autojump_threshold=0))


def test_cached_prompt_tokens_are_not_counted_as_load():
    """Guards against counting prompt tokens in an engine's prefix cache as its load."""
    fleet, pool, _, _ = stream_prompt(b"x" * 2 * PIECE_BYTES)
    assert pool.calls[0].prompt_tokens == PIECE_TOKENS
    assert [call.prompt_tokens for call in pool.in_flight] == [PIECE_TOKENS]
    assert not fleet.find("llm-1").in_flight


def test_pieces_of_a_sent_prompt_are_expected_in_the_cache():
    """Guards against spreading prompts with one prefix over engines before cache events arrive.

    The entry has to expect the pieces in the engine's prefix cache as soon as it sends the prompt.
    """
    fleet, _, _, _ = stream_prompt(b"x" * 2 * PIECE_BYTES)
    assert len(fleet.prefixes) == 2


def test_region_traffic_counts_the_request_once():
    """Guards against counting the prompt as region traffic again for every chunk of a stream."""
    _, _, tallies, body_bytes = stream_prompt(b"x" * PIECE_BYTES)
    assert tallies.region_bytes == body_bytes + 2 * len(EVENT) + len(b"data: [DONE]\n\n")


def test_stream_ends_at_its_deadline_and_is_not_resumed():
    """Guards against late streams that use time on one engine after the other."""
    responder = _FakeResponder()
    headers = [(b"figwalk-deadline-ms", b"500")]
    _, pool, tallies, _ = stream_prompt(
        b"x", headers=headers, reply=_HangingReply(), responder=responder
    )
    assert len(pool.calls) == 1
    assert tallies.refusals == {"deadline_exceeded": 1}
    assert b"deadline_exceeded" in responder.sent
    assert not responder.finished


def test_call_whose_deadline_has_passed_is_refused_without_an_internal_error():
    """Guards against a 500 when the time remaining is negative after a pause of the process."""
    responder = _FakeResponder()
    headers = [(b"figwalk-deadline-ms", b"500")]
    _, _, tallies, _ = stream_prompt(
        b"x",
        headers=headers,
        reply=_HangingReply(),
        responder=responder,
        backends=_PausedBackends,
    )
    assert tallies.refusals == {"deadline_exceeded": 1}


def test_interactive_stream_carries_the_time_until_its_first_token_is_due():
    """Guards against an agent that delays interactive streams as it knows only the deadline."""
    headers = [(b"figwalk-priority", b"interactive")]
    _, pool, _, _ = stream_prompt(b"x", headers=headers)
    assert 0 < pool.calls[0].first_token_ms <= 1700
    _, pool, _, _ = stream_prompt(b"x")
    assert pool.calls[0].first_token_ms == 0


def test_request_that_no_engine_accepts_counts_as_demand():
    """Guards against a role policy that sees only the calls that the current roles can serve."""
    _, pool, tallies, _ = stream_prompt(b"x" * 4000, backends=_BusyBackends)
    assert not pool.calls
    assert tallies.refusals == {"no_backend": 1}
    assert pool.refused == [("llm", 1000, 2)]


TOKEN_EVENT = b'data: {"choices": [{"text": "%b"}]}\n\n'
LOADED = {"model": "m", "adapter": "a", "version": "1"}
OTHER = {**LOADED, "version": "2"}
UNKNOWN = {}


class _FirstPolicy(RoutingPolicy):
    """Prefers the backend server that was registered first."""

    def choose(self, request, candidates, now):
        return Choice(candidates[0].name, 0, 0, 0, False, "first") if candidates else None


@attrs.define
class _Engine:
    """One engine: what its reports say that it has loaded, and the script of its answers.

    `reports` follow, one after the other, when a call has been sent.
    """

    loaded: dict
    script: Script
    reports: list = attrs.field(factory=list)


def breaking(loaded, *reports):
    """Return an engine that breaks off after its first event."""
    chunks = [TOKEN_EVENT % b"x"]
    return _Engine(loaded, Script(headers=SSE, chunks=chunks, breaks=True), list(reports))


def finishing(loaded):
    """Return an engine that completes a stream."""
    return _Engine(loaded, Script(headers=SSE, chunks=[TOKEN_EVENT % b"y", b"data: [DONE]\n\n"]))


def refusing(loaded):
    """Return an engine whose agent refuses calls."""
    return _Engine(loaded, Script(RefusalError("changing", "refused")))


class _EnginePool:
    """Call connections to one engine; adds its name to `sent` with each call."""

    def __init__(self, name, engine, sent, report):
        self.name = name
        self.engine = engine
        self.sent = sent
        self.report = report

    async def start(self, call):
        self.sent.append(self.name)
        for loaded in self.engine.reports:
            self.report(loaded)
        reply = FakeReply(self.engine.script)
        reply.end = None
        return reply

    def end(self, reply):
        pass


@attrs.define
class _Served:
    """How a streamed call ended: engines that got it, what the caller got, and the events."""

    sent: list = attrs.field(factory=list)
    responder: _FakeResponder = attrs.field(factory=_FakeResponder)
    events: list = attrs.field(factory=list)

    @property
    def cut(self):
        """Code and outcome with which the stream was cut, or None."""
        refused = [record for record in self.events if record.name == "REQUEST_REFUSED"]
        return (refused[-1].fields["code"], refused[-1].fields["outcome"]) if refused else None


def serve_stream(*engines, usage=False):
    """Serve a streamed call at an entry that prefers the engines in this order.

    `usage` tells whether the caller asks for an event with the usage.
    """

    async def main():
        served = _Served()
        timer = Timer()
        events = EventLog("entry-1", timer)
        fleet = Fleet(timer)
        backends = Backends(
            SETTINGS,
            configuration=FakeConfiguration(),
            control=Control(),
            control_follower=None,
            fleet=fleet,
            changed=Notifier(),
            events=events,
            timer=timer,
            incarnation=1,
        )
        backends.set_policy(_FirstPolicy())
        for number, engine in enumerate(engines):
            connect_engine(backends, f"e{number}", engine, served.sent)
        tallies = Tallies(Metrics(None, prefix="entry", timer=timer), timer)
        stop = GracefulStop(timer)
        calls = ModelCalls(backends, RetryBudget(timer), tallies, events, timer, stop)
        content = {"model": "m", "stream": True, "max_tokens": 2, "prompt": "p"}
        if usage:
            content["stream_options"] = {"include_usage": True}
        body = json.dumps(content).encode()
        await calls.serve(HttpRequest("POST", "/v1/completions", [], body), served.responder)
        served.events = events.select()
        return served

    return trio.run(main, clock=MockClock(autojump_threshold=0))


def connect_engine(backends, name, engine, sent):
    """Connect an entry to the agent of an engine, which reports what it has loaded."""
    hello = Hello(ConnectionKind.CONTROL, f"agent-{name}", 1, backend=name, service="llm")
    link = FakeLink(hello, vm=f"agent-{name}")
    sequences = iter(range(1, 100))

    def report(loaded):
        backends.on_report(link, LoadReport(next(sequences), name, **loaded))

    backends.on_connected(link)
    backends._pools[link] = _EnginePool(name, engine, sent, report)
    report(engine.loaded)


@pytest.mark.parametrize("field", ["model", "adapter", "version"])
@pytest.mark.parametrize("value", ["other", ""])
def test_stream_is_resumed_only_where_the_same_is_loaded(field, value):
    """Guards against one answer with the text of two models, adapters or versions.

    The engine of another one is preferred, and has to be passed over.
    """
    differs = {**LOADED, field: value}
    served = serve_stream(breaking(LOADED), finishing(differs), finishing(LOADED))
    assert served.sent == ["e0", "e2"]
    assert served.responder.finished
    served = serve_stream(breaking(LOADED), finishing(differs))
    assert served.sent == ["e0"]
    assert served.cut == ("backend_lost", CallOutcome.UNKNOWN)
    assert b'"error"' in served.responder.sent
    assert not served.responder.finished


def test_stream_of_an_engine_whose_state_is_unknown_is_resumed_only_at_another_such():
    """Guards against a join with what an agent of an earlier release does not report."""
    served = serve_stream(breaking(UNKNOWN), finishing(LOADED), finishing(UNKNOWN))
    assert served.sent == ["e0", "e2"]


@pytest.mark.parametrize("engines", [(OTHER, LOADED), (LOADED, OTHER)])
def test_what_was_loaded_when_the_attempt_was_sent_counts(engines):
    """Guards against a comparison with what an engine loaded after it had begun the stream."""
    served = serve_stream(breaking(LOADED, OTHER), *map(finishing, engines))
    assert served.sent == ["e0", f"e{1 + engines.index(LOADED)}"]


def test_stream_that_breaks_off_again_stays_where_the_same_is_loaded():
    """Guards against a check that holds for the first resumption only."""
    served = serve_stream(
        breaking(LOADED), breaking(LOADED), refusing(LOADED), finishing(OTHER), finishing(LOADED)
    )
    assert served.sent == ["e0", "e1", "e2", "e4"]


def test_engine_that_sent_no_event_does_not_bind_the_stream():
    """Guards against first attempts that are bound to what the first engine has loaded."""
    served = serve_stream(refusing(LOADED), breaking(OTHER), finishing(LOADED), finishing(OTHER))
    assert served.sent == ["e0", "e1", "e3"]


END_EVENT = b'data: {"choices": [{"text": "", "finish_reason": "stop"}]}\n\n'
USAGE_EVENT = b'data: {"choices": [], "usage": {"total_tokens": 3}}\n\n'
DONE_EVENT = b"data: [DONE]\n\n"


def sending(*chunks, breaks=False):
    """Return an engine that sends chunks."""
    return _Engine(LOADED, Script(headers=SSE, chunks=list(chunks), breaks=breaks))


@pytest.mark.parametrize(
    ("usage", "chunks"),
    [
        (False, [TOKEN_EVENT % b"x", END_EVENT]),
        (False, [TOKEN_EVENT % b"x" + END_EVENT]),
        (True, [TOKEN_EVENT % b"x", END_EVENT, USAGE_EVENT]),
    ],
    ids=["chunks", "one chunk", "usage"],
)
def test_stream_that_breaks_off_before_its_last_line_is_completed_by_the_entry(usage, chunks):
    """Guards against a second end of the answer, and a cut of one that lacks only `[DONE]`."""
    other = sending(END_EVENT, USAGE_EVENT, DONE_EVENT)
    for engines in ([sending(*chunks, breaks=True), other], [sending(*chunks, breaks=True)]):
        served = serve_stream(*engines, usage=usage)
        assert served.sent == ["e0"]
        assert served.responder.sent == b"".join(chunks) + DONE_EVENT
        assert served.responder.finished
        assert served.events[-1].name == "REQUEST_ANSWERED"


@pytest.mark.parametrize("text", [b"", TOKEN_EVENT % b"more"])
def test_stream_that_breaks_off_before_its_usage_gets_only_that_from_another_engine(text):
    """Guards against a second end of the answer, text behind its end, and a lost usage."""
    begun = TOKEN_EVENT % b"x" + END_EVENT
    other = sending(text + END_EVENT, USAGE_EVENT + DONE_EVENT)
    served = serve_stream(sending(begun, breaks=True), other, usage=True)
    assert served.sent == ["e0", "e1"]
    assert served.responder.sent == begun + USAGE_EVENT + DONE_EVENT
    assert served.responder.finished


def test_stream_with_crlf_is_resumed():
    """Guards against an internal error in place of the rest of an answer."""
    first, second, done = (
        data.replace(b"\n", b"\r\n")
        for data in (TOKEN_EVENT % b"x", TOKEN_EVENT % b"y", DONE_EVENT)
    )
    served = serve_stream(sending(first, first, breaks=True), sending(second, second + done))
    assert served.sent == ["e0", "e1"]
    assert served.responder.sent == 2 * first + 2 * second + done
    assert served.responder.finished
