"""Tests of backend servers of several software versions in the deployment of stand-ins."""

import json

import attrs
import trio

from figwalk.transport import HttpClient
from standins.launcher import Launcher
from standins.platform_backend import expected_event
from standins.platform_deployment import PlatformDeployment, make_plan

PROMPT = "aa:60"
ENGINE = "lm-1"


async def read_stream(deployment, name, after=0):
    """Return the events after a number that an engine sends for a prompt of three."""
    address = deployment.backend_address(name)
    client = HttpClient(address.host, address.port)
    headers = {
        "request-id": f"{name}-{after}",
        "prefix-hash": PROMPT,
        "token-counts": "60,3",
        "last-event-id": str(after),
    }
    encoded = [(key.encode(), value.encode()) for key, value in headers.items()]
    try:
        _, body = await client.fetch("POST", "/long/1", headers=encoded)
    finally:
        client.close()
    return body


def make_events(version, after=0):
    """Return the events after a number that engines of a version send for the prompt."""
    return b"".join(expected_event(PROMPT, number, version) for number in range(after + 1, 4))


async def release(deployment):
    """Replace an engine by one of another version, add one beside it and let the first one go."""
    first = next(backend for backend in deployment.plan.backends if backend.name == ENGINE)
    second = attrs.evolve(first, name="lm-1b", host="127.0.5.2")
    assert await read_stream(deployment, ENGINE) == make_events("v1")
    deployment.processes[ENGINE].kill()
    await deployment.processes[ENGINE].wait()
    await deployment.start_backend(ENGINE, "v2")
    await deployment.add_backend(second, "v1")
    assert await read_stream(deployment, ENGINE, 1) == make_events("v2", 1)
    assert await read_stream(deployment, second.name, 1) == make_events("v1", 1)
    await deployment.remove_backend(ENGINE)
    assert [backend.name for backend in deployment.plan.backends] == ["lm-0", second.name]
    for name in (ENGINE, f"{ENGINE}-agent"):
        assert deployment.processes[name].returncode == 0


def test_engines_of_two_versions_stream_different_events(tmp_path):
    """Guards against a soak that can't see streams that are joined from two versions."""

    async def main():
        with trio.fail_after(60):
            async with Launcher(tmp_path) as launcher:
                plan = make_plan(gateways=0, services=0, engines=2)
                deployment = PlatformDeployment(plan, launcher, tmp_path)
                await deployment.start()
                await release(deployment)

    trio.run(main)
    lines = [json.loads(line) for line in (tmp_path / f"{ENGINE}.runs").read_text().splitlines()]
    runs = [(line["backend"], line["version"]) for line in lines if line["event"] == "run"]
    assert runs == [("lm-1.1", "v1"), ("lm-1.2", "v2")]
    assert [line["version"] for line in lines if line["event"] == "leaving"] == ["v2"]
