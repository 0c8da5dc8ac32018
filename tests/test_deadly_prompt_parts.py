"""Tests how gateways treat prompts that crash the engines which answer them."""

import itertools
import json

import h11
import pytest
from support.platform_fakes import HEAD, chunk, event, run_test, running_fleet, streaming

from standins.platform_config import make_config

DEADLY = "bad"
# Requests that may reach engines: up to the fifth crash, and three more.
MAX_DEADLY_SENDS = 8


async def crash_on_deadly_part(backend, stream, request):
    """Script of an engine that crashes when it begins an answer to a prompt with the part."""
    if DEADLY not in request.headers["prefix-hash"]:
        return await streaming(2)(backend, stream, request)
    await stream.send_all(HEAD.format(request.call_id).encode() + chunk(event(1)[:4]))
    backend.crash()
    return False


def run_with_gateways(test, count=2):
    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            await fleet.start_gateway()
            gateways = [fleet] + [
                await fleet.add_gateway(f"gateway-{n + 1}") for n in range(1, count)
            ]
            await test(fleet, gateways, itertools.count())

    run_test(main)


async def add_engines(fleet, names):
    return [
        await fleet.add_backend(name, crash_on_deadly_part, "lm", stage="decode") for name in names
    ]


async def ask(gateway, ids, path, *shared):
    """Send a call whose prompt has some shared parts; return its status, or None if it was cut."""
    number = next(ids)
    parts = ",".join(f"{part}:50" for part in (*shared, f"own{number}"))
    headers = [f"Prefix-Hash: {parts}", "Token-Counts: 200,20", "Model: m"]
    call_id = f"c{number}"
    try:
        status, _, _ = await gateway.call(
            path, method="POST", body=b"%d" % number, call_id=call_id, headers=headers
        )
    except h11.RemoteProtocolError:
        return None
    return status


@pytest.mark.parametrize("path", ["/chat/x", "/long/x"])
def test_prompts_with_a_deadly_part_stop_reaching_engines_from_any_gateway(path):
    """Guards against prompts with one part that crash one engine after another."""

    async def test(fleet, gateways, ids):
        engines = await add_engines(fleet, [f"e{number}" for number in range(12)])
        for gateway in gateways:
            while await ask(gateway, ids, path, "head", "subject") != 200:
                pass
        for gateway in gateways * 8:
            await ask(gateway, ids, path, "head", "subject", DEADLY)
        sent = [r for e in engines for r in e.requests if DEADLY in r.headers["prefix-hash"]]
        assert len(sent) <= MAX_DEADLY_SENDS
        for gateway in gateways * 10:
            assert await ask(gateway, ids, path, "head", "subject") == 200

    run_with_gateways(test)


def test_stream_whose_engines_crash_after_its_first_events_is_no_suspect():
    """Guards against long sound streams that are refused because engines crash under them."""

    async def send_first_event(backend, stream, request):
        number = int(request.headers.get("last-event-id", "0")) + 1
        await stream.send_all(HEAD.format(request.call_id).encode() + chunk(event(number)))
        backend.crash()
        return False

    async def test(fleet, gateways, ids):
        for number in range(6):
            engine = await fleet.add_backend(f"e{number}", send_first_event, "lm", stage="decode")
            while not engine.crashed:
                await ask(gateways[0], ids, "/long/x", "head", "subject")
        assert not fleet.process._quarantine.parts
        assert not fleet.process._quarantine.unpublished

    run_with_gateways(test, count=1)


@pytest.mark.parametrize("place", ["first", "middle", "last but one"])
@pytest.mark.parametrize("count", [1, 33, 65, 400])
def test_deadly_part_is_refused_wherever_it_stands(count, place):
    """Guards against a part of a long prompt that no quarantine can name for its position."""
    position = {"first": 0, "middle": count // 2, "last but one": count - 1}[place]

    def make_parts(number):
        """Return the shared parts of a prompt, of which others have some."""
        return [f"s{(number * 7 + n) % 500}" for n in range(count)]

    async def test(fleet, gateways, ids):
        engines = await add_engines(fleet, [f"e{number}" for number in range(12)])
        for gateway in gateways:
            while await ask(gateway, ids, "/long/x", *make_parts(3)) != 200:
                pass
        for number, gateway in enumerate(gateways * 8):
            parts = make_parts(number)
            await ask(gateway, ids, "/long/x", *parts)
            parts[position] = DEADLY
            await ask(gateway, ids, "/long/x", *parts)
        sent = [r for e in engines for r in e.requests if DEADLY in r.headers["prefix-hash"]]
        assert len(sent) <= MAX_DEADLY_SENDS
        for gateway in gateways:
            assert gateway.process._quarantine.parts == {DEADLY}
            assert await ask(gateway, ids, "/long/x", *make_parts(3)) == 200

    run_with_gateways(test)


def test_header_above_the_limit_of_the_configuration_gets_a_clear_error():
    """Guards against a list of parts that is cut without a word."""

    async def test(fleet, gateways, ids):
        await add_engines(fleet, ["e0"])
        padding = [f"{number:032}" for number in range(500)]
        assert await ask(gateways[0], ids, "/long/x", *padding) == 431
        headers = ["Prefix-Hash: " + ",".join(f"{part}:1" for part in padding)]
        status, _, body = await gateways[0].call("/long/x", method="POST", headers=headers)
        assert (status, json.loads(body)["error"]["code"]) == (431, "header_too_large")
        assert b"16384 bytes" in body

    run_with_gateways(test, count=1)
