"""Tests of real gateway and agent processes against the stand-ins of the platform."""

import json
import tempfile
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import attrs
import pytest
import trio
from support.endless_server import VM_MEMORY_MB, read_peak_memory_mb, send_endless_answer
from support.platform_fakes import fetch, make_request
from support.upload_server import (
    PLAYS,
    UPLOAD_BYTES,
    UploadServer,
    read_field,
    receive_head,
    serve_slowly,
)

from figwalk.state.settings import Address
from figwalk.transport import HttpClient
from standins.launcher import Launcher
from standins.platform_backend import expected_body, expected_event
from standins.platform_config import make_config, make_route
from standins.platform_deployment import PlatformDeployment, make_plan

ENDLESS_CALLS = 120
PROMPT = "aa:600,bb:300"
SETTLE_TIMEOUT_S = 20.0  # Ends a test whose condition is never met.


@asynccontextmanager
async def running_deployment(*, route=None, config=None, **options):
    """Run a gateway, a plain service and three engines as processes."""
    with tempfile.TemporaryDirectory() as name, trio.fail_after(90):
        async with Launcher(Path(name)) as launcher:
            plan = make_plan(**{"gateways": 1, "services": 2, "engines": 3} | options)
            deployment = PlatformDeployment(plan, launcher, Path(name), route=route, config=config)
            await deployment.start()
            yield deployment


def run_deployed(test):
    """Return a test that runs a coroutine function with a deployment."""

    def run():
        async def main():
            async with running_deployment() as deployment:
                await test(deployment)

        trio.run(main)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


async def call(deployment, path, **options):
    """Send a caller's request to the gateway."""
    address = deployment.gateway("gateway-0").callers
    return await fetch(address, make_request(path, **options))


def read_events(deployment, event, process="gateway-0"):
    """Return the log lines of one process that have an event."""
    text = deployment.processes[process].log_path.read_text()
    lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    return [line for line in lines if line["event"] == event]


async def wait_event(deployment, event, count=1):
    """Wait until the gateway has logged an event `count` times."""
    with trio.fail_after(SETTLE_TIMEOUT_S):
        while len(read_events(deployment, event)) < count:
            await trio.sleep(0.05)


async def wait_status(deployment, path, status):
    """Wait until the gateway answers a path with a status."""
    with trio.fail_after(SETTLE_TIMEOUT_S):
        while (await call(deployment, path))[0] != status:
            await trio.sleep(0.05)


@run_deployed
async def test_plain_and_prompt_calls_are_served_end_to_end(deployment):
    """Guards against faults between real processes that scripted backend servers don't show."""
    status, headers, body = await call(deployment, "/order/1", method="POST", call_id="o1")
    assert (status, body) == (200, expected_body("o1", "/order/1"))
    assert headers["request-id"] == "o1"
    for path in ("/long/1", "/chat/1"):
        prompt = (f"Prefix-Hash: {PROMPT}", "Token-Counts: 900,4", "Model: m")
        status, headers, body = await call(deployment, path, method="POST", headers=prompt)
        assert status == 200
        assert body == b"".join(expected_event(PROMPT, number) for number in range(1, 5))


@run_deployed
async def test_settings_are_reloaded_with_and_without_sighup(deployment):
    """Guards against changed settings that the process ignores, or that make it exit."""
    settings = attrs.evolve(deployment.gateway("gateway-0"), grace_s=7.0)
    deployment.write_settings(settings)
    deployment.processes["gateway-0"].hang_up()
    await wait_event(deployment, "SETTINGS_RELOADED")
    deployment.write_settings(attrs.evolve(settings, grace_s=6.0))
    await wait_event(deployment, "SETTINGS_RELOADED", 2)
    deployment.settings_path("gateway-0").write_text("kind: gateway\nprocess: 7\n")
    deployment.processes["gateway-0"].hang_up()
    await wait_event(deployment, "SETTINGS_REJECTED")
    status, _, _ = await call(deployment, "/check/1")
    assert status == 200


@run_deployed
async def test_sigterm_answers_open_calls_and_exits_in_time(deployment):
    """Guards against lost calls, and a process that does not exit, in a planned stop."""
    for name in ("orders-0", "orders-1"):
        await deployment.set_faults(deployment.backend_address(name), delay_ms=700)
    results = []

    async def order():
        results.append(await call(deployment, "/order/1", method="POST", call_id="o2"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(order)
        with trio.fail_after(SETTLE_TIMEOUT_S):
            while '"o2"' not in "".join(_read_runs(deployment)):
                await trio.sleep(0.02)
        deployment.processes["gateway-0"].terminate()
        with trio.fail_after(deployment.gateway("gateway-0").grace_s):
            assert await deployment.processes["gateway-0"].wait() == 0
    assert results[0][0] == 200


@run_deployed
async def test_new_configuration_is_in_force_after_a_store_outage(deployment):
    """Guards against a gateway that misses a configuration published during a store outage."""
    await deployment.set_faults(deployment.store, refuse_status=503)
    # A read that began before the outage would still return the publication.
    with trio.fail_after(SETTLE_TIMEOUT_S):
        while not any(
            line["topic"] == "keyed.op" for line in read_events(deployment, "LOG_UNAVAILABLE")
        ):
            await trio.sleep(0.05)
    routes = [make_route("new", "idempotent", "orders")]
    await deployment.publish(make_config(2, routes))
    assert (await call(deployment, "/check/1"))[0] == 200
    await deployment.set_faults(deployment.store, refuse_status=0)
    await wait_status(deployment, "/new/1", 200)
    assert (await call(deployment, "/check/1"))[0] == 404


@run_deployed
async def test_engine_that_restarts_under_another_id_is_used_again(deployment):
    """Guards against prompts that never again use a prefill engine after it crashed."""
    deployment.processes["lm-0"].kill()
    await deployment.processes["lm-0"].wait()
    await deployment.start_backend("lm-0")
    with trio.fail_after(SETTLE_TIMEOUT_S):
        number = 0
        while not any('"lm-0.2"' in line for line in _read_runs(deployment)):
            number += 1
            prompt = (f"Prefix-Hash: {number:x}:6000", "Token-Counts: 6000,4", "Model: m")
            await call(deployment, "/long/1", method="POST", headers=prompt)
            await trio.sleep(0.05)


@pytest.mark.parametrize("fault", ["refuse_status", "silent"])
def test_registration_expires_and_is_renewed_after_a_store_outage(fault):
    """Guards against a stand-in of the store that keeps registrations the platform would drop."""

    async def main():
        async with running_deployment() as deployment:
            value = 503 if fault == "refuse_status" else True
            await deployment.set_faults(deployment.store, **{fault: value})
            await trio.sleep(4.0)
            await deployment.set_faults(deployment.store, refuse_status=0, silent=False)
            await wait_status(deployment, "/check/1", 200)
            assert await _count_registrations(deployment.store) == 5

    trio.run(main)


async def _count_registrations(store: Address):
    client = HttpClient(store.host, store.port)
    with trio.fail_after(SETTLE_TIMEOUT_S):
        while True:
            _, body = await client.fetch("GET", "/log-newest?topic=keyed.servers&part=0&after=")
            count = len(json.loads(body)["items"])
            if count == 5:
                client.close()
                return count
            await trio.sleep(0.1)


def _read_runs(deployment):
    lines = []
    for backend in deployment.plan.backends:
        path = deployment.run_log(backend.name)
        lines += path.read_text().splitlines() if path.exists() else []
    return lines


def test_gateways_of_a_zone_read_the_store_through_an_agent():
    """Guards against a relay that works between fakes only, or stays with an agent that died."""

    async def main():
        async with running_deployment(gateways=3, engines=2, zones=1) as deployment:
            gateways = [f"gateway-{number}" for number in range(3)]

            async def wait_used(count):
                """Wait until each gateway reads each of the three topics through an agent."""
                with trio.fail_after(SETTLE_TIMEOUT_S):
                    for name in gateways:
                        while len(read_events(deployment, "RELAY_USED", name)) < count:
                            await trio.sleep(0.05)
                return read_events(deployment, "RELAY_USED")[-1]["peer"]

            async def wait_route(number):
                routes = [make_route(f"new{number}", "idempotent", "orders")]
                await deployment.publish(make_config(number, routes))
                with trio.fail_after(SETTLE_TIMEOUT_S):
                    for name in gateways:
                        callers = deployment.gateway(name).callers
                        request = make_request(f"/new{number}/1")
                        while (await fetch(callers, request))[0] != 200:
                            await trio.sleep(0.05)

            reader = await wait_used(3)
            await wait_route(2)
            deployment.processes[reader].kill()
            await wait_route(3)
            other = await wait_used(6)
            assert other != reader
            await wait_route(4)

    trio.run(main)


def test_reset_during_an_upload_gives_no_caller_part_of_an_answer():
    """Guards against part of an answer that is taken for the whole one, in a real gateway."""
    server = UploadServer(b"part")

    async def main():
        async with trio.open_nursery() as nursery:

            async def route(name, address):
                if name != "orders-0":
                    return address
                port = await nursery.start(serve_slowly, server.handle, address.host)
                return Address(address.host, port)

            async with running_deployment(services=1, engines=0, route=route) as deployment:
                limits = make_config()["limits"] | {"max-body-bytes": UPLOAD_BYTES}
                await deployment.publish(make_config(2, limits=limits))
                body = b"x" * UPLOAD_BYTES
                while (await call(deployment, "/order/x", method="POST", body=body))[0] == 413:
                    await trio.sleep(0.05)
                for i in range(PLAYS):
                    status, _, _ = await call(
                        deployment, "/order/x", method="POST", body=body, call_id=f"u{i}"
                    )
                    assert status in (502, 503)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert len(server.calls) == len(set(server.calls))
    assert len(server.calls) >= PLAYS // 2


async def answer_without_end(served, stream):
    """Serve one call with an answer that lasts until the gateway closes the connection."""
    async with stream:
        if not (head := await receive_head(stream)):
            return
        call_id = read_field(head, b"request-id")
        served.add(call_id)
        await send_endless_answer(stream, b"Request-Id: %s\r\nServer-Stamp: 1\r\n" % call_id)


@pytest.mark.parametrize("path", ["/check/x", "/long/x"], ids=["repeatable", "resumable"])
def test_answers_without_end_do_not_exhaust_the_memory_of_a_gateway(path):
    """Guards against a faulty server that ends the calls of all callers of a gateway."""
    statuses, served = [], set()

    async def call_once(deployment, number):
        prompt = (f"Prefix-Hash: {number:x}:60", "Token-Counts: 60,4", "Model: m")
        options = {"call_id": f"c{number}", "headers": prompt, "deadline_ms": 5000}
        statuses.append((await call(deployment, path, method="POST", **options))[0])

    services = make_config()["services"]
    for service in services:
        service["max-connections"] = 6 * ENDLESS_CALLS
    services[1]["engine"] |= {"slots": 2 * ENDLESS_CALLS, "kv-tokens": 10_000_000}

    async def main():
        async with trio.open_nursery() as nursery:

            async def route(name, address):
                if name.endswith("-store"):
                    return address
                handler = partial(answer_without_end, served)
                serve = partial(trio.serve_tcp, handler, 0, host=address.host)
                listeners = await nursery.start(serve)
                return Address(address.host, listeners[0].socket.getsockname()[1])

            async with running_deployment(
                services=1, engines=2, route=route, config={"services": services}
            ) as deployment:
                async with trio.open_nursery() as calls:
                    for number in range(ENDLESS_CALLS):
                        calls.start_soon(call_once, deployment, number)
                assert min(statuses) >= 500
                pid = deployment.processes["gateway-0"].pid
                assert read_peak_memory_mb(pid) < VM_MEMORY_MB
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert len(statuses) == ENDLESS_CALLS
    assert served
