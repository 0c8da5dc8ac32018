"""Tests that the longest answers end in time, and what the others pay for it."""

import trio
from support.platform_fakes import HEAD, chunk, event, run_test, running_fleet

from standins.platform_config import make_config, make_route

EVENT_TOKENS = 58
GAP_MS = 300
TIMEOUT_MS = 14_000
LONGEST = 169
# With a pause of 300 ms accepted, this is no pause, yet 169 such events take 16 s.
BUSY_EVENT_S = 0.095
BUSY_STREAMS = 15
SLOTS = 64


def chat(events):
    """Return the headers of a short prompt whose answer has this number of events."""
    return ["Prefix-Hash: a1:50,c4:50", f"Token-Counts: 100,{events * EVENT_TOKENS}", "Model: m"]


async def answer_in_full(_backend, stream, request):
    """Answer a call with all events that it allows, at once."""
    count = int(request.headers["token-counts"].split(",")[1]) // EVENT_TOKENS
    events = b"".join(chunk(event(number + 1)) for number in range(count))
    await stream.send_all(HEAD.format(request.call_id).encode() + events + b"0\r\n\r\n")
    return True


def report_busy(backend):
    """Let an engine report streams that ran before the test, at the speed of a busy engine."""
    started = trio.current_time()

    def list_runs():
        done = (trio.current_time() - started) / BUSY_EVENT_S
        # The streams make their events at different moments.
        events = [10 + int(done + number / BUSY_STREAMS) for number in range(BUSY_STREAMS)]
        return [[f"other-{number}", 500, made, 2] for number, made in enumerate(events)]

    backend.list_runs = list_runs


async def run_with_two_engines(test):
    route = make_route("chat", "stream", "lm", sticky=True, resumable=True)
    route |= {"timeout-ms": TIMEOUT_MS, "gap-aim-ms": GAP_MS}
    async with running_fleet() as fleet:
        config = make_config(routes=[route])
        config["services"][1]["engine"]["slots"] = SLOTS
        fleet.publish(config)
        engines = {}
        for name, host in (("one", "127.0.0.2"), ("two", "127.0.0.3")):
            engines[name] = await fleet.add_backend(
                name, answer_in_full, "lm", host=host, stage="decode", slots=SLOTS
            )
            await fleet.agents.start(engines[name])
        await fleet.start_gateway(agents_port=fleet.agents.port)
        await fleet.wait_agents()
        await test(fleet, engines)


async def place(fleet, engines, events, call_id):
    """Send a call; return the name of the engine that answered."""
    before = {name: len(engine.requests) for name, engine in engines.items()}
    status, _, _ = await fleet.call(
        "/chat/x",
        method="POST",
        body=b"1",
        headers=chat(events),
        call_id=call_id,
        deadline_ms=TIMEOUT_MS,
    )
    assert status == 200
    (name,) = [name for name in engines if len(engines[name].requests) > before[name]]
    return name


async def wait_measured(fleet, name):
    """Wait until the gateway knows how long events take at an engine."""
    trackers = {engine.entry.backend: engine for engine in fleet.process._pool.engines()}
    while not trackers[name].stream_load.event_s:
        await trio.sleep(0.01)


def test_longest_answer_goes_where_it_ends_in_time():
    """Guards against long answers that are cut at their deadline since their engine is packed."""

    async def test(fleet, engines):
        packed = await place(fleet, engines, 5, "c1")
        report_busy(engines[packed])
        await wait_measured(fleet, packed)
        assert await place(fleet, engines, 5, "c2") == packed
        assert await place(fleet, engines, LONGEST, "c3") != packed

    run_test(lambda: run_with_two_engines(test))
