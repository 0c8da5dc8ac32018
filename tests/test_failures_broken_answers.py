"""Backend servers whose answers are broken, behind real agents and entries (invariants 4 and 6)."""

import json
from types import SimpleNamespace

import trio

from figwalk.state.settings import Address
from standins.launcher import Launcher
from tests.support.endless_server import (
    VM_MEMORY_MB,
    read_peak_memory_mb,
    send_endless_answer,
)
from tests.support.platform_fakes import HOST
from tests.support.small_fleet import (
    CONFIGURATION,
    HANG_GUARD_S,
    MODEL,
    SERVICE,
    SmallFleet,
    Stream,
)
from tests.support.upload_server import (
    PLAYS,
    answer_and_reset,
    read_field,
    receive_head,
    serve_slowly,
)
from tests.test_broken_heads import FORMS

# Larger than what the buffers of two sockets hold, so that the upload is still being written.
UPLOAD = b'{"pad": "%s"}' % (b"x" * 512 * 1024)
UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Request-Id: %s\r\n\r\n"
EVENT = b'data: {"id": "1", "choices": [{"index": 0, "delta": {"content": "t1"}}]}\n\n'
ENDLESS_CALLS = 24
# One retry for each call, which the retry budget would not allow by default.
PUBLISHED = CONFIGURATION | {
    "presets/ordinary": {"role_policy": "fixed", "retry_ratio": 1.0},
}
CONTROL_ANSWERS = {
    b"/healthz": {},
    b"/state": {"role": "mixed", "state": "ready", "model": MODEL, "order": -1, "incarnation": 1},
    b"/load": {"age_ms": 0, "running": 0, "max_running": 64},
    b"/cache/events": {"next": 0, "events": []},
}


class ScriptedServer:
    """A backend server that answers the agent's control requests, and each call by a script.

    Args:
        script: Sends the answer to a call, given the stream, the id of the call and its path. The
            connection ends afterwards.
    """

    def __init__(self, script):
        self.script = script
        self.calls = 0

    async def handle(self, stream):
        """Serve one connection."""
        async with stream:
            while head := await receive_head(stream):
                path = head.split(b" ")[1].partition(b"?")[0]
                call_id = read_field(head, b"x-request-id")
                if path not in CONTROL_ANSWERS:
                    self.calls += 1
                    await self.script(stream, call_id, path)
                    return
                body = json.dumps(CONTROL_ANSWERS[path]).encode()
                fields = b"X-Request-Id: %s\r\nContent-Length: %d" % (call_id, len(body))
                await stream.send_all(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n\r\n" + body)


async def reset_during_upload(stream, call_id, path):
    """Send part of an answer without a length, and reset the connection."""
    is_stream = path.endswith(b"/completions")
    head = UNFRAMED % (b"text/event-stream" if is_stream else b"application/json", call_id)
    await answer_and_reset(stream, head + (EVENT if is_stream else b"part"))


async def answer_whole(stream, call_id, _path):
    """Send a whole answer, and read the upload until the agent closes the connection."""
    rest = b"Content-Length: 5\r\nX-Request-Id: %s\r\n\r\nwhole" % call_id
    await stream.send_all(b"HTTP/1.1 200 OK\r\n" + rest)
    while await stream.receive_some():
        pass


def sending(data):
    """Return a script that sends bytes as the answer, and ends the connection."""

    async def script(stream, call_id, _path):
        await stream.send_all(data.replace(b"Request-Id: c1", b"X-Request-Id: " + call_id))
        await stream.send_eof()
        await stream.receive_some(1)

    return script


def run_with_servers(directory, test, **scripts):
    """Run a test with an entry and with an agent beside a scripted server for each script."""

    async def main():
        with trio.fail_after(HANG_GUARD_S):
            async with Launcher(directory) as launcher, trio.open_nursery() as nursery:
                fleet = SmallFleet(launcher, directory)
                await fleet.start_platform()
                servers = {}
                for name, script in scripts.items():
                    servers[name] = ScriptedServer(script)
                    port = await nursery.start(serve_slowly, servers[name].handle)
                    backend = name.replace("_", "-")
                    fleet.backends[backend] = SimpleNamespace(
                        addresses={"http": Address(HOST, port)}
                    )
                    await fleet.start_agent(backend)
                await fleet.start_entry("entry-1")
                await fleet.publish(PUBLISHED)
                await fleet.wait_serving()
                await test(fleet, **servers)
                for handle in launcher.handles:
                    handle.kill()
                nursery.cancel_scope.cancel()

    trio.run(main)


async def check_unknown_order(fleet, key, body=b"{}"):
    """Place an order, and check that its outcome is unknown."""
    answer = await fleet.caller().order(key, body)
    assert (answer.status, answer.error["outcome"]) == (503, "outcome_unknown"), answer.body


def test_order_that_is_reset_during_its_upload_is_sent_once(tmp_path):
    """Guards against a part of an answer that a caller gets as a receipt, or a second run."""

    async def test(fleet, depot_1):
        for number in range(PLAYS):
            await check_unknown_order(fleet, f"key-{number}", UPLOAD)
        await check_unknown_order(fleet, "key-0", UPLOAD)
        assert depot_1.calls == PLAYS

    run_with_servers(tmp_path, test, depot_1=reset_during_upload)


def test_stream_that_is_reset_during_its_upload_does_not_look_complete(tmp_path):
    """Guards against a part of a stream that a caller gets as the whole."""

    async def test(fleet, llm_1):
        for _ in range(PLAYS):
            stream = Stream("why? " * 4096, tokens=4)
            await fleet.caller().read(stream)
            assert stream.status >= 500 or stream.error is not None, stream.body
        assert llm_1.calls >= PLAYS

    run_with_servers(tmp_path, test, llm_1=reset_during_upload)


def test_repeatable_call_that_is_reset_during_its_upload_is_sent_to_another_server(tmp_path):
    """Guards against a part of an answer that a caller gets although the call may be repeated."""

    async def test(fleet, depot_1, depot_2):
        for _ in range(PLAYS):
            answer = await fleet.caller().call("POST", f"/services/{SERVICE}/check", UPLOAD)
            assert (answer.status, answer.body) == (200, b"whole")
        assert depot_1.calls

    run_with_servers(tmp_path, test, depot_1=reset_during_upload, depot_2=answer_whole)


def test_order_whose_answer_has_a_broken_head_is_sent_once(tmp_path):
    """Guards against bytes that are no answer, and that a caller gets as a receipt."""
    form = iter(FORMS)

    async def script(stream, call_id, path):
        await sending(FORMS[next(form)])(stream, call_id, path)

    async def test(fleet, depot_1):
        for name in FORMS:
            await check_unknown_order(fleet, name.replace(" ", "-"))
        assert depot_1.calls == len(FORMS)

    run_with_servers(tmp_path, test, depot_1=script)


async def answer_without_end(stream, call_id, _path):
    """Send an answer until the agent closes the connection."""
    await send_endless_answer(stream, b"X-Request-Id: %s\r\n" % call_id)


def test_answers_without_end_do_not_exhaust_the_memory_of_an_entry(tmp_path):
    """Guards against a faulty server that ends the calls of all callers of an entry."""

    async def test(fleet, depot_1):
        statuses = []

        async def call():
            answer = await fleet.caller().call("GET", f"/services/{SERVICE}/check")
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for _ in range(ENDLESS_CALLS):
                nursery.start_soon(call)
        assert min(statuses) >= 500
        assert depot_1.calls >= ENDLESS_CALLS
        for handle in (fleet.entries["entry-1"], fleet.agents["depot-1"]):
            assert read_peak_memory_mb(handle.pid) < VM_MEMORY_MB

    run_with_servers(tmp_path, test, depot_1=answer_without_end)
