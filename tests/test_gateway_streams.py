"""Tests how a gateway relays streams of model engines."""

import h11
import pytest
import trio
from support.platform_fakes import (
    HEAD,
    answering,
    any_stage,
    chunk,
    event,
    hanging,
    make_request,
    refusing,
    resetting,
    run_test,
    running_fleet,
    streaming,
)

from figwalk.gateway.prompt_offers import Grant, OfferAnswer
from standins.platform_config import make_config, make_route

LONG = ["Prefix-Hash: a1:2000,b2:3000,c3:40000", "Token-Counts: 45000,20", "Model: m"]
SHORT = ["Prefix-Hash: a1:50,c4:50", "Token-Counts: 100,20", "Model: m"]


def run_with_engines(test, **engines):
    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            backends = {}
            for name, (script, role) in engines.items():
                backends[name] = await fleet.add_backend(name, script, "lm", stage=role)
            await fleet.start_gateway()
            await test(fleet, **backends)

    run_test(main)


def test_long_prompt_is_prefilled_and_then_run_with_its_kv_cache():
    """Guards against a long prompt that is prefilled by the decode engine."""

    async def test(fleet, reader, runner):
        status, _, body = await fleet.call("/chat/x", method="POST", body=b"1", headers=LONG)
        assert (status, body) == (200, event(1) + event(2))
        (prefill,) = reader.requests
        (run,) = runner.requests
        assert prefill.headers["expect-instance"] == "reader"
        assert run.headers["kv-source"] == f"127.0.0.1:{reader.port}/h1"
        assert "stage" not in run.headers

    run_with_engines(test, reader=(any_stage, "prefill"), runner=(any_stage, "decode"))


def test_shared_parts_are_fetched_from_an_engine_that_caches_them():
    """Guards against engines that prefill shared prompt parts which another engine has cached."""
    broken = set()

    async def prefill_or_break(backend, stream, request):
        if backend.name in broken:
            await stream.aclose()
            return False
        return await any_stage(backend, stream, request)

    async def test(fleet, first, second, runner):
        async def ask(own_part):
            headers = [f"Prefix-Hash: a1:2000,b2:30000,{own_part}:40000", *LONG[1:]]
            status, _, _ = await fleet.call("/chat/x", method="POST", body=b"1", headers=headers)
            assert status == 200

        await ask("c1")
        caching_engine, other = (first, second) if first.requests else (second, first)
        broken.add(caching_engine.name)
        await ask("c2")
        assert "kv-fetch" not in caching_engine.requests[0].headers
        # The decode engine has cached the parts too, since it fetched their KV cache.
        assert other.requests[-1].headers["kv-fetch"] == f"127.0.0.1:{runner.port}"

    run_with_engines(
        test,
        first=(prefill_or_break, "prefill"),
        second=(prefill_or_break, "prefill"),
        runner=(any_stage, "decode"),
    )


def test_short_prompt_is_run_without_a_separate_prefill():
    """Guards against a short prompt that is delayed by a prefill on another engine."""

    async def test(fleet, reader, runner):
        status, _, _ = await fleet.call("/chat/x", method="POST", body=b"1", headers=SHORT)
        assert status == 200
        assert not reader.requests
        assert "kv-source" not in runner.requests[0].headers

    run_with_engines(test, reader=(any_stage, "prefill"), runner=(any_stage, "decode"))


def test_call_with_a_failed_prefill_counts_as_not_run():
    """Guards against an unknown outcome for a call that failed in its prefill."""

    async def broken(_backend, stream, _request):
        await stream.aclose()
        return False

    async def test(fleet, reader, runner):
        status, _, _ = await fleet.call("/chat/x", method="POST", body=b"1", headers=LONG)
        # The gateway tries another engine. Whatever that one answers, the call has not run before.
        assert status in (200, 503)
        assert len(reader.requests) == 1
        assert len(runner.requests) <= 1

    run_with_engines(test, reader=(broken, "prefill"), runner=(any_stage, "decode"))


def test_kv_cache_that_is_not_fetched_is_freed():
    """Guards against unused KV cache that occupies the engine until it expires."""

    async def test(fleet, reader, runner):
        arrived = reader.arrived
        await fleet.call("/chat/x", method="POST", body=b"1", headers=LONG)
        while not any(request.method == "DELETE" for request in reader.requests):
            await arrived.wait()
            arrived = reader.arrived
        assert reader.requests[-1].target == "/kv-handle/h1"

    run_with_engines(test, reader=(any_stage, "prefill"), runner=(refusing, "decode"))


def test_broken_resumable_stream_is_resumed_on_another_engine_without_gap_or_repeat():
    """Guards against a resumed stream that lacks or repeats events, or never ends."""

    async def test(fleet, **engines):
        status, _, body = await fleet.call("/long/x", method="POST", body=b"1", headers=SHORT)
        assert status == 200
        assert body == b"".join(event(number) for number in range(1, 6))
        resumed = [r for engine in engines.values() for r in engine.requests][-1]
        assert len(resumed.headers.get("last-event-id", "")) <= 1

    breaking = streaming(5, break_after=2)
    run_with_engines(test, one=(breaking, "decode"), two=(streaming(5), "decode"))


def test_stream_that_must_not_be_resumed_is_truncated():
    """Guards against a second run of a call that may run only once."""

    async def test(fleet, **engines):
        with pytest.raises(h11.RemoteProtocolError):
            await fleet.call("/chat/x", method="POST", body=b"1", headers=SHORT)
        assert sum(len(engine.requests) for engine in engines.values()) == 1

    breaking = streaming(5, break_after=2)
    run_with_engines(test, one=(breaking, "decode"), two=(breaking, "decode"))


UNFRAMED_HEAD = HEAD.replace("Transfer-Encoding: chunked", "Content-Type: text/event-stream")


def ending_inside_an_event(head):
    """Return a script whose stream ends like a complete one, in the middle of its second event."""

    async def script(_backend, stream, request):
        data = event(1) + event(2)[:7]
        framed = chunk(data) + b"0\r\n\r\n" if head is HEAD else data
        await stream.send_all(head.format(request.call_id).encode() + framed)
        await stream.aclose()
        return False

    return script


@pytest.mark.parametrize("head", [HEAD, UNFRAMED_HEAD])
@pytest.mark.parametrize("path", ["/chat/x", "/feed/x"])
def test_stream_that_ends_inside_an_event_does_not_look_complete(path, head):
    """Guards against a stream that broke off and whose end looks complete to the caller."""

    async def main():
        async with running_fleet() as fleet:
            routes = [
                make_route("feed", "stream", "orders"),
                make_route("chat", "stream", "lm", sticky=True),
            ]
            fleet.publish(make_config(routes=routes))
            script = ending_inside_an_event(head)
            await fleet.add_backend("b1", script)
            await fleet.add_backend("e1", script, "lm", stage="decode")
            await fleet.start_gateway()
            with pytest.raises(h11.RemoteProtocolError):
                await fleet.call(path, method="POST", body=b"1", headers=SHORT)

    run_test(main)


@pytest.mark.parametrize("head", [HEAD, UNFRAMED_HEAD])
def test_resumable_stream_that_ends_inside_an_event_is_resumed(head):
    """Guards against a resumable stream that broke off and is taken for complete."""

    async def test(fleet, **engines):
        bodies = []
        for number in range(8):
            _, _, body = await fleet.call(
                "/long/x", method="POST", body=b"1", headers=SHORT, call_id=f"c{number}"
            )
            bodies.append(body)
        assert any(engine.requests for engine in engines.values())
        assert bodies == [event(1) + event(2) + event(3)] * 8

    run_with_engines(
        test, one=(ending_inside_an_event(head), "decode"), two=(streaming(3), "decode")
    )


def test_body_on_a_stream_route_that_holds_no_events_is_passed_on():
    """Guards against answers of another type that count as streams which broke off."""

    async def test(fleet, one):
        status, _, body = await fleet.call("/chat/x", method="POST", body=b"1", headers=SHORT)
        assert (status, body) == (200, b"{}")

    run_with_engines(test, one=(answering(b"{}", Content_Type="application/json"), "decode"))


def test_resumable_stream_without_a_first_event_is_retried_on_another_engine():
    """Guards against a call that waits for an unresponsive engine."""

    async def test(fleet, **engines):
        for i in range(2):
            status, _, _ = await fleet.call(
                "/long/x", method="POST", body=b"1", headers=SHORT, call_id=f"c{i}"
            )
            assert status == 200

    run_with_engines(test, one=(hanging, "decode"), two=(streaming(2), "decode"))


def test_events_are_relayed_as_they_arrive():
    """Guards against a gateway that buffers events until the stream ends."""
    go_on = trio.Event()

    async def script(_backend, stream, request):
        await stream.send_all(HEAD.format(request.call_id).encode() + chunk(event(1)))
        await go_on.wait()
        await stream.send_all(chunk(event(2)) + b"0\r\n\r\n")
        return True

    async def test(fleet, one):
        stream = await trio.open_tcp_stream(fleet.callers.host, fleet.callers.port)
        async with stream:
            await stream.send_all(make_request("/long/x", method="POST", body=b"1"))
            data = b""
            while event(1) not in data:
                data += await stream.receive_some(4096)
            go_on.set()
            while event(2) not in data:
                data += await stream.receive_some(4096)

    run_with_engines(test, one=(script, "decode"))


def test_error_answer_of_an_engine_is_passed_on_with_its_signature():
    """Guards against a gateway that changes the status of an answer signed by an engine."""

    async def test(fleet, one):
        status, headers, _ = await fleet.call("/chat/x", method="POST", body=b"1", headers=SHORT)
        assert status == 500
        assert headers["server-stamp"] == "1.2.3"

    run_with_engines(test, one=(answering(b"", status=500), "decode"))


def test_stream_of_a_plain_service_is_relayed_as_it_arrives():
    """Guards against a gateway that buffers a plain service's events until the stream ends."""
    go_on = trio.Event()

    async def script(_backend, stream, request):
        await stream.send_all(HEAD.format(request.call_id).encode() + chunk(event(1)))
        await go_on.wait()
        await stream.send_all(chunk(event(2)) + b"0\r\n\r\n")
        return True

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config(routes=[make_route("feed", "stream", "orders")]))
            await fleet.add_backend("b1", script)
            await fleet.start_gateway()
            stream = await trio.open_tcp_stream(fleet.callers.host, fleet.callers.port)
            async with stream:
                await stream.send_all(make_request("/feed/x"))
                data = b""
                while event(1) not in data:
                    data += await stream.receive_some(4096)
                go_on.set()
                while event(2) not in data:
                    data += await stream.receive_some(4096)

    run_test(main)


def test_grant_of_a_retry_is_ended_after_its_prefill():
    """Guards against an agent that counts an engine as idle during the prefill of a retry."""
    ends = []

    class Link:
        def queue_end(self, offer_id, *, read, took_s=0.0):
            ends.append((offer_id, read))

    async def offer(_call_id, _prompt, _plan, _round_trip_s):
        offer.count += 1
        return OfferAnswer(Grant(Link(), offer.count), 1000, 0.0, 0.01)

    offer.count = 0

    async def test(fleet, **_engines):
        fleet.process._offers.offer = offer
        for i in range(8):
            ends.clear()
            offer.count = 0
            await fleet.call("/long/x", method="POST", body=b"1", headers=LONG, call_id=f"c{i}")
            if offer.count == 2:
                assert ends == [(1, False), (2, True)]
                return
        pytest.fail("no prompt was retried")

    run_with_engines(test, one=(refusing, "decode"), two=(streaming(2), "decode"))


def test_refusal_after_a_run_whose_answer_was_lost_is_not_reported_as_not_run():
    """Guards against a "not run" refusal of a call that an earlier attempt may have run."""

    async def offer(_call_id, _prompt, _plan, _round_trip_s):
        offer.count += 1
        grant = Grant(IgnoringLink(), 1) if offer.count == 1 else None
        return OfferAnswer(grant, 1000, 0.0, 0.01)

    class IgnoringLink:
        def queue_end(self, offer_id, *, read, took_s=0.0):
            pass

    offer.count = 0

    async def test(fleet, **_engines):
        fleet.process._offers.offer = offer
        status, headers, _ = await fleet.call("/long/x", method="POST", body=b"1", headers=LONG)
        assert offer.count > 1
        assert status == 502
        assert "retry-after" not in headers

    run_with_engines(test, one=(resetting, "decode"), two=(resetting, "decode"))


@pytest.mark.parametrize("change", ["leaving", "removed", "closed"])
def test_prefilled_call_is_not_sent_to_an_engine_that_left_meanwhile(change):
    """Guards against a run that follows its plan to an engine which left during a long prefill."""
    running = {}
    left = []

    def take_runner_away(call_id):
        process = running["fleet"].process
        (placed,) = [r for r in process._events.select(call_id) if r.name == "PROMPT_PLACED"]
        entry = process._directory.find(placed.fields["runner"])
        left.append(entry.backend)
        if change == "leaving":
            process._pool.mark_leaving(entry)
        elif change == "removed":
            process._directory.remove(entry.backend)
        else:
            process._pool.mark_closed(entry, 5.0)

    async def prefill(backend, stream, request):
        if not left:
            take_runner_away(request.call_id)
        return await any_stage(backend, stream, request)

    async def test(fleet, reader, **runners):
        running["fleet"] = fleet
        status, _, _ = await fleet.call("/chat/x", method="POST", body=b"1", headers=LONG)
        assert status == 200
        assert reader.requests
        assert not [request for request in runners[left[0]].requests if request.call_id]

    run_with_engines(
        test,
        reader=(prefill, "prefill"),
        one=(any_stage, "decode"),
        two=(any_stage, "decode"),
    )


def answering_raw(*answers):
    """Return a script that streams two events and breaks off, then answers with other bytes."""

    async def script(backend, stream, request):
        if "last-event-id" not in request.headers:
            return await streaming(5, break_after=2)(backend, stream, request)
        for answer in answers:
            await stream.send_all(answer.format(id=request.call_id).encode())
        await stream.aclose()
        return False

    return script


def remove_chunk_sizes(body):
    """Return the content of a body in chunks, which may lack its end."""
    content = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        content += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return content


STAMPED = "Request-Id: {id}\r\nServer-Stamp: 1\r\n"
ERROR_TEXT = "backend exploded\n\n"
ERROR_HEAD = f"HTTP/1.1 500 X\r\n{STAMPED}Content-Length: {len(ERROR_TEXT)}\r\n\r\n{ERROR_TEXT}"


@pytest.mark.parametrize(
    "answer",
    [
        ERROR_HEAD,
        ERROR_HEAD.replace("500", "404"),
        ERROR_HEAD.replace("500", "302"),
        ERROR_HEAD.replace("500 X\r\n", "200 X\r\nContent-Type: application/json\r\n"),
        ERROR_HEAD.replace("500 X\r\n", "200 X\r\nContent-Type: text/event-stream\r\n"),
        f"HTTP/1.1 200 X\r\n{STAMPED}Content-Type: text/plain\r\n\r\n{ERROR_TEXT}",
        f"HTTP/1.1 204 X\r\n{STAMPED}\r\n",
        f"HTTP/1.1 206 X\r\n{STAMPED}Content-Length: 3\r\n\r\nabc",
        f"HTTP/1.1 200 X\r\n{STAMPED}Transfer-Encoding: chunked\r\n\r\n" + ERROR_HEAD,
        f"HTTP/1.1 200 X\r\n{STAMPED}Content-Type: text/event-stream\r\n\r\n" + ERROR_HEAD,
        f"HTTP/1.1 200 X\r\n{STAMPED}Content-Type: text/event-stream\r\n\r\n"
        "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n",
    ],
)
def test_stream_that_broke_off_is_continued_by_its_next_event_or_stays_incomplete(answer):
    """Guards against the error of the next engine, or events out of order, in a begun stream."""

    async def test(fleet, **engines):
        stream = await trio.open_tcp_stream(fleet.callers.host, fleet.callers.port)
        request = make_request("/long/x", method="POST", body=b"1", headers=SHORT)
        async with stream:
            await stream.send_all(request)
            received = b""
            while data := await stream.receive_some(65536):
                received += data
        assert len([e for e in engines.values() if e.requests]) == 2
        _, _, body = received.partition(b"\r\n\r\n")
        assert remove_chunk_sizes(body) == event(1) + event(2)
        assert not body.endswith(b"0\r\n\r\n")

    script = answering_raw(answer)
    run_with_engines(test, one=(script, "decode"), two=(script, "decode"))


def test_stream_that_outlasts_its_time_is_counted_as_unfinished():
    """Guards against streams that are cut at their deadline and that no metric shows."""

    async def script(_backend, stream, request):
        await stream.send_all(HEAD.format(request.call_id).encode() + chunk(event(1)))
        await trio.sleep_forever()

    async def test(fleet, one):
        with pytest.raises(h11.RemoteProtocolError):
            await fleet.call("/chat/x", method="POST", body=b"1", headers=SHORT, deadline_ms=300)
        counted = 'figwalk_unfinished_answers_total{code="timeout",service="lm"} 1.0'
        assert counted in await fleet.read_metrics()
        refused = [e for e in fleet.process._events.select() if e.name == "REQUEST_REFUSED"]
        assert [(e.fields["events"], e.fields["output_tokens"]) for e in refused] == [("1", "20")]

    run_with_engines(test, one=(script, "decode"))
