"""Tests of the stand-ins: a fault of theirs would make other tests pass or fail for no reason."""

import json
from collections import Counter
from functools import partial

import pytest
import trio
from trio.testing import MockClock

from figwalk.errors import HttpError
from figwalk.protocol.prefix import PIECE_BYTES, PIECE_TOKENS, hash_prefix_pieces
from figwalk.transport import HttpClient, HttpRequest
from standins.batch import Batch, EndReason, Sequence
from standins.cache import CacheEventLog, PrefixCache
from standins.cost import CostModel, EngineRole
from standins.engine_faults import CRASH_STATUS
from standins.launcher import Launcher, LaunchError
from standins.load import LoadReporter
from standins.text import digest_prompt, expected_text, expected_tokens
from standins.vms import LaggingList, Vm
from standins.weights import render_weights
from tests.support.forwarder import Direction, Forwarder

FAST = ("--time-scale", "0.05", "--load-lag-s", "0", "--load-period-s", "0.01")
CHAT = "/v1/chat/completions"


class Api:
    """Calls a stand-in with JSON bodies."""

    def __init__(self, handle):
        address = handle.addresses["http"]
        self.client = HttpClient(address.host, address.port)

    async def call(self, method, target, body=None, **headers):
        """Return status and JSON of the answer."""
        response, data = await self.call_raw(method, target, json.dumps(body).encode(), **headers)
        return response.status, json.loads(data)

    async def call_raw(self, method, target, body=b"", **headers):
        """Return the answer and its body."""
        pairs = [(name.replace("_", "-").encode(), v.encode()) for name, v in headers.items()]
        return await self.client.fetch(method, target, headers=pairs, body=body)

    async def set_faults(self, **faults):
        """Change faults."""
        assert (await self.call("POST", "/faults", faults))[0] == 200

    async def wait_until(self, target, accept):
        """Return the first JSON answer that is accepted."""
        while True:
            content = (await self.call("GET", target))[1]
            if accept(content):
                return content
            await trio.sleep(0.01)


def run_with(directory, module, arguments, scenario):
    """Run a scenario with the API and the handle of one stand-in."""

    async def main():
        with trio.fail_after(60):
            async with Launcher(directory) as launcher:
                handle = await launcher.start("standin", f"standins.{module}", *arguments)
                await scenario(Api(handle), handle)

    trio.run(main)


def chat_body(prompt, **fields):
    return {"model": "model-a", "messages": [{"role": "user", "content": prompt}], **fields}


async def read_tokens(api, prompt, on_token=lambda count: None, **fields):
    """Return the streamed tokens and whether the stream was whole."""
    body = json.dumps(chat_body(prompt, stream=True, **fields)).encode()
    request = HttpRequest("POST", CHAT, [(b"x-request-id", b"call-1")], body)
    tokens, buffer = [], b""
    try:
        async with api.client.open(request) as response:
            assert (response.status, response.header(b"x-request-id")) == (200, "call-1")
            async for chunk in response.chunks():
                *events, buffer = (buffer + chunk).split(b"\n\n")
                for event in events:
                    if event == b"data: [DONE]":
                        continue
                    delta = json.loads(event.removeprefix(b"data: "))["choices"][0]["delta"]
                    if delta.get("content"):
                        tokens.append(delta["content"])
                        on_token(len(tokens))
    except HttpError:
        return tokens, False
    return tokens, event == b"data: [DONE]"


def test_log_tells_written_from_refused_appends(tmp_path):
    """Guards against a refused append that is in the log, or a lost answer whose record is not."""

    async def scenario(api, _handle):
        async def append(record_id):
            return (await api.call_raw("POST", "/streams/s/records", b"x", x_record_id=record_id))[
                0
            ]

        await api.set_faults(outage=True)
        assert (await append("refused")).status == 503
        await api.set_faults(outage=False, lose_answers=1)
        with pytest.raises(HttpError):
            await append("lost")
        await api.set_faults(late_appends=1, late_append_ms=50)
        with pytest.raises(HttpError):
            await append("late")
        statuses = [(await append(f"id-{number}")).status for number in range(4)]
        assert Counter(statuses) == {200: 3, 429: 1}
        await api.wait_until("/streams/s/records?from=4&wait_ms=5000", lambda page: page["records"])
        page = (await api.call("GET", "/streams/s/records?from=0"))[1]
        ids = [record["record_id"] for record in page["records"]]
        assert sorted(ids) == ["id-0", "id-1", "id-2", "late", "lost"]
        assert [record["offset"] for record in page["records"]] == list(range(5))
        await api.set_faults(drop_oldest={"s": 3})
        page = (await api.call("GET", "/streams/s/records?from=1"))[1]
        assert (page["oldest"], page["head"], page["records"][0]["offset"]) == (3, 5, 3)

    run_with(tmp_path, "log", ["--append-rate", "0.001", "--append-burst", "5"], scenario)


def test_log_read_waits_for_a_record_and_sees_an_outage(tmp_path):
    """Guards against a long poll that misses an append or hides the outage until it times out."""

    async def scenario(api, _handle):
        pages = []

        async def poll(offset):
            target = f"/streams/s/records?from={offset}&wait_ms=30000"
            pages.append(await api.call("GET", target))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(poll, 0)
            await api.call_raw("POST", "/streams/s/records", b"x", x_record_id="a")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(poll, 1)
            await api.set_faults(outage=True)
        assert [status for status, _ in pages] == [200, 503]
        assert pages[0][1]["records"][0]["record_id"] == "a"

    run_with(tmp_path, "log", [], scenario)


def test_vm_list_shows_changes_after_the_lag():
    """Guards against a list without lag, against which a dependence on fresh data goes unseen."""

    async def main():
        vms = LaggingList(2.0)
        vms.put(Vm("e1", "entry", "live", "127.0.0.1", 1))
        await trio.sleep(1.5)
        vms.remove("e1")
        seen = [len(vms.visible())]
        for _ in range(2):
            await trio.sleep(1.1)
            seen.append(len(vms.visible()))
        assert seen == [0, 1, 0]

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_service_counts_runs_whatever_becomes_of_the_answer(tmp_path):
    """Guards against a run that at-most-once tests don't see because its answer was lost."""

    async def scenario(api, _handle):
        async def pay(key):
            headers = {"idempotency_key": key, "x_request_id": f"id-{key}"}
            response, _ = await api.call_raw("POST", "/payments", b"{}", **headers)
            return response.status, response.header(b"x-request-id")

        await api.set_faults(lose_answers=1)
        with pytest.raises(HttpError):
            await pay("lost")
        await api.set_faults(errors=1)
        assert (await pay("not-run"))[0] == 500
        await api.set_faults(errors_after_run=1)
        assert (await pay("failed"))[0] == 500
        assert await pay("twice") == (201, "id-twice")
        await api.set_faults(wrong_answers=1)
        assert await pay("twice") == (201, "id-twice")
        await api.set_faults(wrong_answers=1)
        assert await pay("mixed-up") == (201, "id-twice")
        runs = (await api.call("GET", "/runs"))[1]["runs"]
        assert runs == {"lost": 1, "failed": 1, "twice": 2, "mixed-up": 1}

    run_with(tmp_path, "service", [], scenario)


def test_engine_streams_resumes_and_cancels(tmp_path):
    """Guards against wrong tokens, repeated tokens after a resume, and a cut that looks whole."""

    async def scenario(api, _handle):
        expected = expected_tokens(b"hello", 40)
        assert await read_tokens(api, "hello", max_tokens=40) == (expected, True)
        resumed = await read_tokens(api, "hello", max_tokens=40, resume_tokens=expected[:15])
        assert resumed == (expected[15:], True)
        status, whole = await api.call("POST", CHAT, chat_body("hello"))
        assert (status, whole["choices"][0]["finish_reason"]) == (200, "stop")
        assert whole["choices"][0]["message"]["content"] == expected_text(b"hello")
        async with trio.open_nursery() as nursery:

            def cancel(count):
                if count == 3:
                    nursery.start_soon(api.call, "DELETE", "/requests/call-1")

            tokens, is_whole = await read_tokens(api, "x", cancel, max_tokens=20_000)
        assert not is_whole
        assert tokens == expected_tokens(b"x", len(tokens))
        load = await api.wait_until("/load", lambda load: not load["running"])
        assert load["generated_tokens_total"] < 20_000
        assert (await api.call("DELETE", "/requests/call-1"))[0] == 404

    run_with(tmp_path, "engine", FAST, scenario)


def test_engine_crashes_after_the_set_number_of_tokens(tmp_path):
    """Guards against a crash that loses sent tokens, which would look like a wrong resume."""

    async def scenario(api, handle):
        await api.set_faults(crash_after_tokens=7)
        assert await read_tokens(api, "x", max_tokens=50) == (expected_tokens(b"x", 7), False)
        assert await handle.wait() == CRASH_STATUS

    run_with(tmp_path, "engine", FAST, scenario)


def test_engine_crashes_in_the_middle_of_a_change(tmp_path):
    """Guards against a crash before the engine has reported the change."""

    async def scenario(api, handle):
        await api.set_faults(hold_changes=True, crash_in_change=True)
        assert (await api.call("POST", "/orders", {"order": 5, "role": "decode"}))[0] == 202
        assert (await api.call("GET", "/state"))[1]["state"] == "changing"
        await api.set_faults(hold_changes=False)
        assert await handle.wait() == CRASH_STATUS

    run_with(tmp_path, "engine", FAST, scenario)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_engine_orders(tmp_path, checks_fencing):
    """Guards against an old order that is obeyed, or refused by an engine that doesn't check."""

    async def scenario(api, _handle):
        def is_ready(state):
            return state["state"] == "ready"

        async def order(number, role):
            return await api.call("POST", "/orders", {"order": number, "role": role})

        await api.set_faults(hold_changes=True)
        async with trio.open_nursery() as nursery:

            def give_order(count):
                if count == 3:
                    nursery.start_soon(order, 7, "decode")

            assert not (await read_tokens(api, "x", give_order, max_tokens=20_000))[1]
        assert (await api.call("POST", CHAT, chat_body("x")))[0] == 503
        status, content = await order(8, "mixed")
        assert (status, content["error"]["code"]) == (409, "busy")
        await api.set_faults(hold_changes=False)
        state = await api.wait_until("/state", is_ready)
        assert (state["role"], state["order"]) == ("decode", 7)
        assert (await order(6, "prefill"))[0] == (409 if checks_fencing else 202)
        state = await api.wait_until("/state", is_ready)
        assert state["role"] == ("decode" if checks_fencing else "prefill")
        receipts = (await api.call("GET", "/orders"))[1]["orders"]
        assert [receipt["interrupted"] for receipt in receipts] == [1, 0, 0]

    option = "--checks-fencing" if checks_fencing else "--no-checks-fencing"
    run_with(tmp_path, "engine", [*FAST, option], scenario)


def test_engine_exports_and_imports_kv(tmp_path):
    """Guards against an import that doesn't spare the prefill, or of data of another model."""

    async def scenario(api, _handle):
        prompt = "p" * PIECE_BYTES + "rest"
        piece = hash_prefix_pieces(prompt.encode())[0]
        assert (await api.call_raw("GET", f"/kv/{piece}"))[0].status == 404
        await api.call("POST", CHAT, chat_body(prompt, max_tokens=1))
        response, data = await api.call_raw("GET", f"/kv/{piece}")
        assert response.status == 200
        new_model = {"order": 1, "role": "mixed", "model": "model-b"}
        assert (await api.call("POST", "/orders", new_model))[0] == 202
        await api.wait_until("/state", lambda state: state["model"] == "model-b")
        assert (await api.call_raw("GET", f"/kv/{piece}"))[0].status == 404
        assert (await api.call_raw("PUT", f"/kv/{piece}", data))[0].status == 422
        assert (await api.call("POST", "/orders", {**new_model, "order": 2, "model": "model-a"}))[0]
        await api.wait_until("/state", lambda state: state["order"] == 2)
        assert (await api.call_raw("PUT", f"/kv/{piece}", data))[0].status == 200
        before = (await api.call("GET", "/load"))[1]["prompt_tokens_total"]
        await api.call("POST", CHAT, chat_body(prompt, max_tokens=1, kv_import=[piece]))
        load = await api.wait_until("/load", lambda load: load["prompt_tokens_total"] > before)
        assert load["prompt_tokens_total"] == before + 1

    run_with(tmp_path, "engine", FAST, scenario)


class BatchRig:
    """A batch on a mock clock."""

    def __init__(self, *, role=EngineRole.MIXED, max_running=32, cache_tokens=10 * PIECE_TOKENS):
        self.cost = CostModel()
        self.events = CacheEventLog(lag_s=1, loss_ratio=0, seed=1)
        self.cache = PrefixCache(cache_tokens, self.events)
        self.batch = Batch(self.cost, self.cache, max_running, lambda: role)
        self.role = role
        self.finished = []

    async def generate(self, name, *, rank=1, prompt_tokens=1, output_tokens=1, pieces=()):
        """Run one call to its end."""
        digest = digest_prompt(name.encode())
        sequence = Sequence(name, rank, digest, list(pieces), prompt_tokens, 0, output_tokens)
        self.batch.add(sequence)
        async for _ in sequence.tokens:
            pass
        assert sequence.end_reason is EndReason.FINISHED
        self.finished.append(name)

    def run(self, scenario):
        """Run a scenario beside the batch."""

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.batch.run)
                await scenario()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))


def test_batch_honours_priorities():
    """Guards against batch work that runs before interactive calls that arrived later."""
    rig = BatchRig(max_running=1)

    async def scenario():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(rig.generate, "first", rank=2, output_tokens=5))
            await trio.sleep(0.001)
            for name, rank in [("batch", 2), ("normal", 1), ("interactive", 0)]:
                nursery.start_soon(partial(rig.generate, name, rank=rank))
                await trio.sleep(0.001)

    rig.run(scenario)
    assert rig.finished == ["first", "interactive", "normal", "batch"]


def test_roles_are_fast_at_their_own_work():
    """Guards against roles that don't differ, which would make every role policy look the same."""

    def measure(role, **work):
        times = []

        async def scenario():
            start = trio.current_time()
            async with trio.open_nursery() as nursery:
                for number in range(16):
                    nursery.start_soon(partial(rig.generate, str(number), **work))
            times.append(trio.current_time() - start)

        rig = BatchRig(role=role)
        rig.run(scenario)
        return times[0]

    by_prefill = sorted(EngineRole, key=lambda role: measure(role, prompt_tokens=4000))
    by_decode = sorted(EngineRole, key=lambda role: measure(role, output_tokens=50))
    assert by_prefill == [EngineRole.PREFILL, EngineRole.MIXED, EngineRole.DECODE]
    assert by_decode == by_prefill[::-1]


def test_prefix_cache_spares_prefill_and_evicts_late_visible():
    """Guards against a cache without limit or with immediate events, unlike those of engines."""
    rig = BatchRig(cache_tokens=2 * PIECE_TOKENS)

    async def scenario():
        work = {"prompt_tokens": 2 * PIECE_TOKENS + 1, "pieces": [11, 12]}
        await rig.generate("cold", **work)
        assert rig.events.read(0) == (0, [])
        cold = rig.batch.prompt_tokens_total
        await rig.generate("warm", **work)
        assert (cold, rig.batch.prompt_tokens_total - cold) == (2 * PIECE_TOKENS + 1, 1)
        await rig.generate("other", prompt_tokens=PIECE_TOKENS, pieces=[13])
        await trio.sleep(1.01)
        following, events = rig.events.read(0)
        changes = [(event.piece, event.stored) for event in events]
        assert changes == [(11, True), (12, True), (13, True), (11, False)]
        assert rig.events.read(following) == (following, [])

    rig.run(scenario)


def test_cache_events_have_gaps():
    """Guards against events that are never lost, so that a reader's repair is never needed."""

    async def main():
        events = CacheEventLog(lag_s=0, loss_ratio=0.3, seed=1)
        for piece in range(100):
            events.record(piece, stored=True)
        numbers = [event.seq for event in events.read(0)[1]]
        assert 0 < len(numbers) < 100
        assert numbers == sorted(numbers)

    trio.run(main)


def test_load_report_lags_and_can_show_a_busy_engine_as_idle():
    """Guards against a fresh report, which would hide a router that depends on it."""
    rig = BatchRig()

    async def scenario():
        async with trio.open_nursery() as nursery:
            reporter = LoadReporter(
                rig.batch, rig.cost, lambda: rig.role, max_running=32, lag_s=1, period_s=0.25
            )
            nursery.start_soon(reporter.run)
            await trio.sleep(2)
            nursery.start_soon(partial(rig.generate, "long", output_tokens=10_000))
            await trio.sleep(0.5)
            assert reporter.render(idle=False)["running"] == 0
            await trio.sleep(1.5)
            report = reporter.render(idle=False)
            assert (report["running"], reporter.render(idle=True)["running"]) == (1, 0)
            assert 1000 <= report["age_ms"] <= 1250
            nursery.cancel_scope.cancel()

    rig.run(scenario)


def test_weight_store_limits_rate_and_downloads(tmp_path):
    """Guards against a store without limits, with which all engines could load at once."""

    async def scenario(api, _handle):
        target = "/weights/m/1"
        await api.set_faults(bytes_per_s=1.0)
        async with api.client.open(HttpRequest("GET", target, [])) as first:
            second, _ = await api.call_raw("GET", target)
            assert (first.status, second.status) == (200, 429)

    run_with(tmp_path, "weights", ["--max-downloads", "1", "--grace-s", "0"], scenario)

    async def download(api, _handle):
        response, data = await api.call_raw("GET", "/weights/m/1")
        assert (response.status, data) == (200, render_weights("m", "1", 200_000))
        await api.set_faults(cut_after_bytes=100_000)
        with pytest.raises(HttpError):
            await api.call_raw("GET", "/weights/m/1")

    run_with(tmp_path, "weights", ["--size-bytes", "200000"], download)


def test_model_load_waits_for_the_weight_store(tmp_path):
    """Guards against an engine that serves a model whose weights it could not get."""

    async def main():
        async with Launcher(tmp_path) as launcher:
            store = await launcher.start("weights", "standins.weights", "--bytes-per-s", "1e9")
            weights = str(store.addresses["http"])
            engine = await launcher.start(
                "engine", "standins.engine", "--weights", weights, "--model-load-s", "0.1"
            )
            await Api(store).set_faults(outage=True)
            order = {"order": 1, "role": "mixed", "model": "model-b"}
            await Api(engine).call("POST", "/orders", order)
            await Api(store).wait_until("/downloads", lambda counts: counts["refused"] >= 2)
            assert (await Api(engine).call("GET", "/state"))[1]["state"] == "changing"
            await Api(store).set_faults(outage=False)
            state = await Api(engine).wait_until("/state", lambda s: s["state"] == "ready")
            assert (state["model"], state["order"]) == ("model-b", 1)

    trio.run(main)


def test_launcher_reports_failed_start_and_ends_paused_processes(tmp_path):
    """Guards against a silent failed start, and processes left over after a test."""

    async def main():
        async with Launcher(tmp_path) as launcher:
            with pytest.raises(LaunchError, match="unrecognized arguments: --nonsense"):
                await launcher.start("failing", "standins.vms", "--nonsense")
            paused = await launcher.start("paused", "standins.vms")
            paused.pause()
            killed = await launcher.start("killed", "standins.vms")
            killed.kill()
            assert await killed.wait() == -9
        assert paused.returncode == 0

    trio.run(main)


def test_forwarder_disturbs_connections(tmp_path):
    """Guards against a forwarder that disturbs nothing, so that fault tests test nothing."""

    async def scenario(_api, handle):
        async with trio.open_nursery() as nursery:
            forwarder = Forwarder(handle.addresses["http"])
            address = await nursery.start(forwarder.run)
            stock = HttpRequest("GET", "/stock/x", [])
            client = HttpClient(address.host, address.port)

            async def fetch():
                async with client.open(stock) as response:
                    return response.status, len(await response.read())

            async def fetch_held():
                """Fetch while answers are held, and return once the answer is held."""
                forwarder.hold(Direction.TO_CLIENT)
                size = answers.received_bytes
                nursery.start_soon(fetch_and_keep)
                await forwarder.wait_received(Direction.TO_CLIENT, size + 1)
                assert answers.forwarded_bytes == size

            async def fetch_and_keep():
                try:
                    send.send_nowait(await fetch())
                except HttpError:
                    send.send_nowait("broken")

            answers = forwarder.link(Direction.TO_CLIENT)
            send, results = trio.open_memory_channel(10)
            whole = await fetch()
            await fetch_held()
            forwarder.forward()
            assert await results.receive() == whole
            await fetch_held()
            forwarder.half_close(Direction.TO_CLIENT)
            assert await results.receive() == "broken"
            forwarder.forward()
            forwarder.drop(Direction.TO_CLIENT)
            size = answers.received_bytes
            nursery.start_soon(fetch_and_keep)
            await forwarder.wait_received(Direction.TO_CLIENT, size + 1)
            forwarder.cut(refuse=True)
            assert await results.receive() == "broken"
            with pytest.raises(HttpError):
                await fetch()
            forwarder.forward()
            forwarder.delay(0.05)
            started = trio.current_time()
            assert await fetch() == whole
            assert trio.current_time() - started >= 0.1
            nursery.cancel_scope.cancel()

    run_with(tmp_path, "service", [], scenario)
