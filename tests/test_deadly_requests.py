"""Tests how gateways treat requests that crash the backend servers which run them."""

import itertools

import h11
import pytest
import trio
from support.platform_fakes import (
    HEAD,
    answering,
    any_stage,
    chunk,
    event,
    run_test,
    running_fleet,
)

from standins.platform_config import make_config, make_route

DEADLY = b"deadly"
SOUND = b"sound"
# Requests that may reach backend servers: up to the third crash, and three more.
MAX_DEADLY_SENDS = 6
SHORT_PROMPT = ["Prefix-Hash: head:50,subject:50,own:50", "Token-Counts: 150,20", "Model: m"]
LONG_PROMPT = ["Prefix-Hash: head:50,subject:50,own:45000", "Token-Counts: 45100,20", "Model: m"]

CONFIG = make_config(
    routes=[
        make_route("check", "idempotent", "orders", **{"max-attempts": 2}),
        make_route("order", "non_repeatable", "orders"),
        make_route("feed", "stream", "orders"),
        make_route("chat", "stream", "lm", sticky=True),
        make_route("long", "stream", "lm", sticky=True, resumable=True, **{"max-attempts": 2}),
    ]
)


def crashing_on_deadly_request(sound):
    """Return a script of a backend server that crashes when it begins to run the request."""

    async def script(backend, stream, request):
        if request.body != DEADLY or request.headers.get("stage") == "prefill":
            return await sound(backend, stream, request)
        if "prefix-hash" in request.headers:
            await stream.send_all(HEAD.format(request.call_id).encode() + chunk(event(1)[:4]))
        backend.crash()
        return False

    return script


async def ask(gateway, path, body, ids, headers=()):
    """Send a request; return its status, or None if its answer was cut."""
    try:
        status, _, _ = await gateway.call(
            path, method="POST", body=body, call_id=f"c{next(ids)}", headers=headers
        )
    except h11.RemoteProtocolError:
        return None
    return status


def run_with_gateways(test):
    async def main():
        async with running_fleet() as fleet:
            fleet.publish(CONFIG)
            await fleet.start_gateway()
            gateways = [fleet, await fleet.add_gateway("gateway-2")]
            await test(fleet, gateways, itertools.count())

    run_test(main)


async def add_servers(fleet, gateways, names, script, service="orders", **fields):
    """Start backend servers, and wait until all gateways know them."""
    servers = [await fleet.add_backend(name, script, service, **fields) for name in names]
    for gateway in gateways:
        while not set(names) <= {e.backend for e in gateway.process._directory.entries()}:
            await trio.sleep(0.01)
    return servers


def count_sends(backends, body):
    """Return how often a request was to be run."""
    received = [r for backend in backends for r in backend.requests if r.body == body]
    return sum(request.headers.get("stage") != "prefill" for request in received)


@pytest.mark.parametrize("path", ["/check/x", "/order/x", "/feed/x"])
def test_deadly_request_stops_reaching_servers_of_a_plain_service(path):
    """Guards against one request that crashes server after server of a service without prompts."""

    async def test(fleet, gateways, ids):
        script = crashing_on_deadly_request(answering(event(1)))
        names = [f"s{number}" for number in range(14)]
        servers = await add_servers(fleet, gateways, names, script)
        for gateway in gateways * 8:
            await ask(gateway, path, DEADLY, ids)
        assert count_sends(servers, DEADLY) <= MAX_DEADLY_SENDS
        for number, gateway in enumerate(gateways * 8):
            assert await ask(gateway, path, SOUND + b"%d" % number, ids) == 200

    run_with_gateways(test)


@pytest.mark.parametrize("path", ["/chat/x", "/long/x"])
@pytest.mark.parametrize("prompt", [SHORT_PROMPT, LONG_PROMPT])
def test_deadly_request_stops_reaching_engines(path, prompt):
    """Guards against a deadly prompt whose shared parts are refused in its place."""

    async def test(fleet, gateways, ids):
        script = crashing_on_deadly_request(any_stage)
        readers = ["p0", "p1"]
        runners = [f"d{number}" for number in range(14)]
        engines = await add_servers(fleet, gateways, readers, script, "lm", stage="prefill")
        engines += await add_servers(fleet, gateways, runners, script, "lm", stage="decode")
        for gateway in gateways * 8:
            await ask(gateway, path, DEADLY, ids, prompt)
        assert count_sends(engines, DEADLY) <= MAX_DEADLY_SENDS
        for number, gateway in enumerate(gateways * 8):
            assert await ask(gateway, path, SOUND + b"%d" % number, ids, prompt) == 200

    run_with_gateways(test)


def test_deadly_request_is_refused_by_a_gateway_that_starts_later():
    """Guards against a restarted gateway that sends a request which is known to crash servers."""

    async def test(fleet, gateways, ids):
        script = crashing_on_deadly_request(answering())
        names = [f"s{number}" for number in range(14)]
        servers = await add_servers(fleet, gateways, names, script)
        for gateway in gateways * 4:
            await ask(gateway, "/order/x", DEADLY, ids)
        before = count_sends(servers, DEADLY)
        late = await fleet.add_gateway("gateway-3")
        assert await ask(late, "/order/x", DEADLY, ids) == 503
        assert count_sends(servers, DEADLY) == before

    run_with_gateways(test)


def test_sound_requests_beside_a_deadly_one_are_served_again():
    """Guards against sound requests that are refused since they were in progress at crashes."""

    async def test(fleet, gateways, ids):
        script = crashing_on_deadly_request(answering())
        await add_servers(fleet, gateways, [f"s{number}" for number in range(14)], script)
        for gateway in gateways * 4:
            await ask(gateway, "/check/x", DEADLY, ids)
            assert await ask(gateway, "/check/x", SOUND, ids) == 200
        for gateway in gateways:
            assert await ask(gateway, "/check/x", SOUND, ids) == 200

    run_with_gateways(test)


@pytest.mark.parametrize("path", ["/check/x", "/order/x", "/feed/x", "/chat/x"])
def test_answer_with_a_server_error_does_not_clear_a_deadly_request(path):
    """Guards against a server that fails all its calls and so hides a request that crashes."""
    service, prompt = ("lm", SHORT_PROMPT) if path == "/chat/x" else ("orders", [])

    async def test(fleet, gateways, ids):
        script = crashing_on_deadly_request(answering(event(1)))
        failing = answering(status=500, Content_Type="text/plain")
        stage = {"stage": "decode"}
        names = [f"s{number}" for number in range(14)]
        servers = await add_servers(fleet, gateways, names, script, service, **stage)
        servers += await add_servers(fleet, gateways, ["f0", "f1"], failing, service, **stage)
        for gateway in gateways * 12:
            await ask(gateway, path, DEADLY, ids, prompt)
        crashed = sum(server.crashed for server in servers)
        assert crashed <= MAX_DEADLY_SENDS
        assert all(gateway.process._quarantine.requests for gateway in gateways)

    run_with_gateways(test)
