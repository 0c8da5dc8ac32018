import attrs
import trio
from trio.testing import MockClock

from figwalk.coordination.graceful_stop import GracefulStop
from figwalk.coordination.retry_budget import RetryBudget
from figwalk.coordination.router import Choice
from figwalk.entry.attempt_target import Target
from figwalk.entry.model_calls import ModelCalls
from figwalk.entry.tallies import Tallies
from figwalk.events import EventLog
from figwalk.metrics import Metrics
from figwalk.protocol.messages import Answer
from figwalk.protocol.prefix import PIECE_BYTES, PIECE_TOKENS
from figwalk.state.fleet import Fleet
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

    def choose(self, route, excluded):
        return Choice("llm-1", 0.1, 0.01, PIECE_TOKENS, True, "")

    def target(self, choice, pieces):
        return Target(choice, self.pool, 1, self.fleet, pieces)

    def record_unserved(self, route):
        self.pool.refused.append((route.service, route.prompt_tokens, route.max_tokens))

    def next_call_id(self):
        return 1


class _BusyBackends(_FakeBackends):
    """Backend servers of which none accepts work."""

    def choose(self, route, excluded):
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
