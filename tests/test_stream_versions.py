"""Tests that streams go on only at the software version that began them."""

from contextlib import AsyncExitStack

import pytest
import trio
from support.platform_fakes import (
    HEAD,
    chunk,
    refusing,
    run_test,
    running_fleet,
)
from trio.testing import wait_all_tasks_blocked

from standins.platform_config import make_config, make_route

FIRST_EVENTS = 2  # Of each stream before it breaks off.
EVENTS = 5
STREAMS = 10  # Of each version, so that no choice by chance is right for all.
TIMEOUT_MS = 60_000
ENGINE_ROUTE = "/long/x"
PLAIN_ROUTE = "/feed/x"
HEADERS = ["Prefix-Hash: a1:50,c4:50", "Token-Counts: 100,20", "Model: m"]
VERSIONS = ("v1", "v2")
# Every way to give two versions to four engines: whichever two engines a gateway prefers, they have
# different versions in two of these.
VERSIONS_OF_FOUR = [("v1", "v1", "v2", "v2"), ("v1", "v2", "v1", "v2"), ("v1", "v2", "v2", "v1")]


def events_of(version, first=1, last=EVENTS):
    """Return some events of a stream as a backend server of a version sends them."""
    return b"".join(
        b"id: %d\ndata: %s-%d\n\n" % (number, version.encode(), number)
        for number in range(first, last + 1)
    )


def make_stream_config(version=1, **engine_route):
    """Return a configuration with a resumable stream route to engines and one to a plain service.

    Args:
        version: Version of the configuration.
        **engine_route: Other fields of the route to engines.
    """
    common = {
        "resumable": True,
        "max-attempts": 4,
        "timeout-ms": TIMEOUT_MS,
        "target-latency-ms": 10_000,
    }
    routes = [
        make_route("long", "stream", "lm", sticky=True, **(common | engine_route)),
        make_route("feed", "stream", "orders", **common),
    ]
    config = make_config(version, routes)
    config["services"].append(config["services"][1] | {"name": "lm-next"})
    for service in config["services"]:
        # Enough connections for all streams that a gateway holds open at one backend server.
        service["max-connections"] = 1000
    return config


class Deployment:
    """Backend servers of several versions, agents and gateways.

    Backend servers send the first events of a new stream and then hold it, and send the other
    events of a stream that is taken up.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.servers = {}
        # Versions that take new streams; others state that they did not run the request.
        self.open_versions = set(VERSIONS)
        # Called with each server and request, to answer in another way; see `ScriptedBackend`.
        self.override = None
        # Versions of servers that differ from the registered ones.
        self.true_versions = {}

    async def add(self, name, version, service="lm", *, agent=True, **fields):
        """Start a backend server; if it is an engine, also the agent beside it."""
        is_engine = service != "orders"
        if is_engine:
            fields = {"stage": "decode"} | fields
        self.true_versions[name] = version
        server = self.servers[name] = await self.fleet.add_backend(
            name,
            self._serve,
            service,
            host=f"127.0.0.{len(self.servers) + 2}",
            version=version,
            **fields,
        )
        if is_engine and agent:
            self.fleet.agents.start(server)
        return server

    async def start_gateways(self, *names):
        """Start gateways that are connected to the agents; return their fleets."""
        port = self.fleet.agents.port
        gateways = [await self.fleet.add_gateway(name, agents_port=port) for name in names]
        for gateway in gateways:
            await gateway.wait_agents()
        return gateways

    async def begin(self, gateway, call_id, version, *, stack=None, path=ENGINE_ROUTE):
        """Begin a stream at a version and leave, or hold it open up to the end of the stack."""
        self.open_versions = {version}
        async with AsyncExitStack() as own_stack:
            stream = await (stack or own_stack).enter_async_context(
                gateway.open_stream(path, **make_options(call_id))
            )
            assert await stream.read_events(FIRST_EVENTS) == events_of(version, last=FIRST_EVENTS)
        self.open_versions = set(VERSIONS)

    async def take_up(self, gateway, call_id, *, path=ENGINE_ROUTE, attempt=2):
        """Take a stream up as its caller does; return status, headers and body."""
        headers = [f"Last-Event-Id: {FIRST_EVENTS}", f"Resumes: {call_id}"]
        return await gateway.call(path, **make_options(f"{call_id}-{attempt}", *headers))

    async def check_goes_on(self, gateway, call_id, version, **options):
        """Check that a stream that is taken up goes on at its version."""
        status, _, body = await self.take_up(gateway, call_id, **options)
        assert (status, body) == (200, events_of(version, FIRST_EVENTS + 1))

    async def check_refused(self, gateway, call_id, **options):
        """Check that a stream is refused as not run and that no backend server is asked."""
        asked = self.count_take_ups()
        status, headers, _ = await self.take_up(gateway, call_id, **options)
        assert self.count_take_ups() == asked
        assert status == 503
        assert "retry-after" in headers

    def count_take_ups(self, *names):
        """Return how many requests to go on the named servers received, or all of them."""
        servers = [self.servers[name] for name in names or self.servers]
        return sum("last-event-id" in r.headers for server in servers for r in server.requests)

    async def _serve(self, server, stream, request):
        if self.override is not None:
            stays_open = await self.override(server, stream, request)
            if stays_open is not None:
                return stays_open
        version = self.true_versions[server.name]
        last = request.headers.get("last-event-id")
        if last is not None:
            await send_events(stream, request, events_of(version, int(last) + 1), end=True)
            return True
        if version not in self.open_versions:
            return await refusing(server, stream, request)
        await send_events(stream, request, events_of(version, last=FIRST_EVENTS))
        await stream.receive_some()
        return False


async def send_events(stream, request, events, *, end=False):
    """Send the head of an answer and events."""
    data = HEAD.format(request.call_id).encode() + chunk(events)
    await stream.send_all(data + b"0\r\n\r\n" if end else data)


async def break_off(stream, request, version):
    """Send the first events of a stream and part of the next one."""
    events = events_of(version, last=FIRST_EVENTS + 1)[:-4]
    await send_events(stream, request, events)
    await stream.aclose()
    return False


def make_options(call_id, *headers):
    """Return the options of a caller's request."""
    return {
        "method": "POST",
        "body": b"1",
        "call_id": call_id,
        "deadline_ms": TIMEOUT_MS,
        "headers": [*HEADERS, *headers],
    }


def run_deployment(test, config=None):
    """Run a test with a deployment without backend servers and gateways."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(config or make_stream_config())
            await test(Deployment(fleet))

    run_test(main)


async def deliver_messages():
    """Wait until everything that processes have sent was received."""
    await wait_all_tasks_blocked(0.001)


async def begin_many(deployment, gateways, versions=VERSIONS, *, stack=None):
    """Begin streams of each version at gateways in turn; return their ids and versions."""
    streams = {f"{version}-s{n}": version for n in range(STREAMS) for version in versions}
    for number, (call_id, version) in enumerate(streams.items()):
        gateway = gateways[number // len(versions) % len(gateways)]
        await deployment.begin(gateway, call_id, version, stack=stack)
    return streams


async def check_all_go_on(deployment, gateways, streams):
    """Take up all streams at once, at gateways in turn, and check that each goes on."""
    answers = {}

    async def take_up(gateway, call_id):
        status, _, body = await deployment.take_up(gateway, call_id)
        answers[call_id] = (status, body)

    async with trio.open_nursery() as nursery:
        for number, call_id in enumerate(streams):
            nursery.start_soon(take_up, gateways[number // 2 % len(gateways)], call_id)
    for name, server in deployment.servers.items():
        taken_up = {r.headers["resumes"] for r in server.requests if "resumes" in r.headers}
        assert {streams[call_id] for call_id in taken_up} <= {deployment.true_versions[name]}
    assert answers == {
        call_id: (200, events_of(version, FIRST_EVENTS + 1)) for call_id, version in streams.items()
    }


def test_broken_stream_is_not_resumed_at_another_version():
    """Guards against an answer that joins the events of two versions."""

    async def test(deployment):
        first = await deployment.add("e1", "v1")
        second = await deployment.add("e2", "v2")
        (gateway,) = await deployment.start_gateways("gateway-1")

        async def breaking(server, stream, request):
            if "last-event-id" not in request.headers:
                return await break_off(stream, request, deployment.true_versions[server.name])
            return None

        deployment.override = breaking
        async with gateway.open_stream(ENGINE_ROUTE, **make_options("s1")) as stream:
            is_complete = await stream.read_end()
        version = "v1" if first.requests else "v2"
        assert stream.body == events_of(version, last=FIRST_EVENTS)
        assert not is_complete
        assert len(first.requests) + len(second.requests) == 1

    run_deployment(test)


@pytest.mark.parametrize("versions", VERSIONS_OF_FOUR)
def test_broken_stream_is_resumed_at_its_own_version(versions):
    """Guards against streams that are resumed at a preferred engine of another version."""

    async def test(deployment):
        for number, version in enumerate(versions):
            await deployment.add(f"e{number}", version)
        (gateway,) = await deployment.start_gateways("gateway-1")
        begun = {}

        async def breaking(server, stream, request):
            if "last-event-id" in request.headers:
                return None
            begun[request.call_id] = version = deployment.true_versions[server.name]
            return await break_off(stream, request, version)

        deployment.override = breaking
        for number in range(4):
            call_id = f"s{number}"
            _, _, body = await gateway.call(ENGINE_ROUTE, **make_options(call_id))
            assert body == events_of(begun[call_id])

    run_deployment(test)


def test_streams_taken_up_at_another_gateway_go_on_at_their_version():
    """Guards against gateways that take up streams of others at any version."""

    async def test(deployment):
        for number, version in enumerate(VERSIONS):
            await deployment.add(f"e{number}", version)
        gateways = await deployment.start_gateways("gateway-1", "gateway-2")
        streams = await begin_many(deployment, gateways)
        await check_all_go_on(deployment, gateways[::-1], streams)

    run_deployment(test)


def test_streams_taken_up_at_the_same_gateway_go_on_at_their_version():
    """Guards against gateways that forget the version of streams whose callers left."""

    async def test(deployment):
        for number, version in enumerate(VERSIONS):
            await deployment.add(f"e{number}", version)
        gateways = await deployment.start_gateways("gateway-1")
        streams = await begin_many(deployment, gateways)
        await check_all_go_on(deployment, gateways, streams)

    run_deployment(test)


@pytest.mark.parametrize("place", ["same gateway", "other gateway", "after a kill"])
def test_streams_go_on_where_one_version_serves(place):
    """Guards against refused streams (rule LOST) where no other version serves."""

    async def test(deployment):
        for number in range(2):
            await deployment.add(f"e{number}", "v1")
        first, second = await deployment.start_gateways("gateway-1", "gateway-2")
        async with AsyncExitStack() as stack:
            streams = await begin_many(deployment, [first], ["v1"], stack=stack)
            if place == "after a kill":
                await deliver_messages()
                await first.kill_gateway()
        target = first if place == "same gateway" else second
        await check_all_go_on(deployment, [target], streams)

    run_deployment(test)
