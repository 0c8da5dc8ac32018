"""Tests that streams go on only at the software version that began them."""

import time
from contextlib import AsyncExitStack

import pytest
import trio
from support.forwarder import Forwarder
from support.platform_fakes import (
    HEAD,
    chunk,
    refusing,
    run_test,
    running_fleet,
)
from trio.testing import wait_all_tasks_blocked

from figwalk.platform import BACKENDS_TOPIC
from figwalk.state.settings import Address
from standins.launcher import choose_port
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
            await self.fleet.agents.start(server)
        return server

    async def start_gateways(self, *names):
        """Start gateways that are connected to the agents; return their fleets."""
        port = self.fleet.agents.port
        gateways = [await self.fleet.add_gateway(name, agents_port=port) for name in names]
        for gateway in gateways:
            await gateway.wait_agents()
        return gateways

    async def restart_agents(self, engines, *gateways):
        """Kill the agents beside engines, start them again and let gateways connect to them."""
        await self.fleet.agents.kill(*engines)
        for engine in engines:
            await self.fleet.agents.start(engine)
        for gateway in gateways:
            await gateway.wait_agents()
        await deliver_messages()

    async def restart_as(self, server, version, gateways):
        """Start an engine again under its id as another version; wait until gateways know it."""
        self.true_versions[server.name] = version
        fields = {"stage": "decode", "version": version, "born": 2000}
        server.register(self.fleet.store, "lm", **fields)
        # The list is read in order, so that gateways which know this server also know the others.
        await self.add("marker", version, agent=False)
        for gateway in gateways:
            await gateway.wait_backends(len(self.servers))

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


async def begin_many(deployment, gateways, versions=VERSIONS, *, stack=None, path=ENGINE_ROUTE):
    """Begin streams of each version at gateways in turn; return their ids and versions."""
    streams = {f"{version}-s{n}": version for version in versions for n in range(STREAMS)}
    for number, (call_id, version) in enumerate(streams.items()):
        gateway = gateways[number % len(gateways)]
        await deployment.begin(gateway, call_id, version, stack=stack, path=path)
    return streams


async def check_all_go_on(deployment, gateways, streams, *, path=ENGINE_ROUTE):
    """Take up all streams at once, at gateways in turn, and check that each goes on."""
    answers = {}

    async def take_up(gateway, call_id):
        status, _, body = await deployment.take_up(gateway, call_id, path=path)
        answers[call_id] = (status, body)

    async with trio.open_nursery() as nursery:
        for number, call_id in enumerate(streams):
            nursery.start_soon(take_up, gateways[number % len(gateways)], call_id)
    for name, server in deployment.servers.items():
        taken_up = {r.headers["resumes"] for r in server.requests if "resumes" in r.headers}
        assert {streams[call_id] for call_id in taken_up} <= {deployment.true_versions[name]}
    assert answers == {
        call_id: (200, events_of(version, FIRST_EVENTS + 1)) for call_id, version in streams.items()
    }


async def check_all_refused(deployment, gateways, streams, *, attempt=2):
    """Take up all streams at once; check that each is refused as not run and no server is asked."""
    refusals = {}

    async def take_up(gateway, call_id):
        status, headers, _ = await deployment.take_up(gateway, call_id, attempt=attempt)
        refusals[call_id] = (status, "retry-after" in headers)

    async with trio.open_nursery() as nursery:
        for number, call_id in enumerate(streams):
            nursery.start_soon(take_up, gateways[number % len(gateways)], call_id)
    assert deployment.count_take_ups() == 0
    assert refusals == dict.fromkeys(streams, (503, True))


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


def fail_first_take_up(deployment, break_off_later):
    """Have the first server that a caller's take-up reaches break it off.

    Args:
        deployment: The deployment.
        break_off_later: Whether the server sends one event before.
    """
    broken = []

    async def breaking(server, stream, request):
        if "resumes" not in request.headers or broken:
            return None
        broken.append(server.name)
        if break_off_later:
            version = deployment.true_versions[server.name]
            number = FIRST_EVENTS + 1
            await send_events(stream, request, events_of(version, number, number))
        await stream.aclose()
        return False

    deployment.override = breaking


@pytest.mark.parametrize("break_off_later", [False, True])
@pytest.mark.parametrize("versions", VERSIONS_OF_FOUR)
def test_stream_that_breaks_off_again_after_it_was_taken_up_stays_at_its_version(
    versions, break_off_later
):
    """Guards against a retry of a take-up at another version than the one that began the stream."""

    async def test(deployment):
        for number, version in enumerate(versions):
            await deployment.add(f"e{number}", version)
        first, second = await deployment.start_gateways("gateway-1", "gateway-2")
        streams = {f"{version}-s{number}": version for number in range(4) for version in VERSIONS}
        for call_id, version in streams.items():
            await deployment.begin(first, call_id, version)
        fail_first_take_up(deployment, break_off_later)
        for call_id, version in streams.items():
            await deployment.check_goes_on(second, call_id, version)

    run_deployment(test)


def test_streams_go_on_at_their_version_after_all_gateways_were_killed():
    """Guards against origins that are lost with the gateways."""

    async def test(deployment):
        for number, version in enumerate(VERSIONS):
            await deployment.add(f"e{number}", version)
        gateways = await deployment.start_gateways("gateway-1", "gateway-2")
        async with AsyncExitStack() as stack:
            streams = await begin_many(deployment, gateways, stack=stack)
            await deliver_messages()
            for gateway in gateways:
                await gateway.kill_gateway()
        gateways = await deployment.start_gateways("gateway-1", "gateway-2")
        await check_all_go_on(deployment, gateways, streams)

    run_deployment(test)


@pytest.mark.parametrize("change", ["removed", "draining"])
def test_stream_whose_version_left_while_gateways_were_killed_is_refused(change):
    """Guards against new gateways that let old streams go on at the only version they know."""

    async def test(deployment):
        old = await deployment.add("e1", "v1")
        await deployment.add("e2", "v2")
        (gateway,) = await deployment.start_gateways("gateway-1")
        async with AsyncExitStack() as stack:
            streams = await begin_many(deployment, [gateway], ["v1"], stack=stack)
            await deliver_messages()
            await gateway.kill_gateway()
        if change == "removed":
            deployment.fleet.store.remove(BACKENDS_TOPIC, "e1")
        else:
            old.register(deployment.fleet.store, "lm", stage="decode", state="draining", sequence=2)
        # Gateways don't connect to agents beside engines that leave.
        await deployment.fleet.agents.kill(old)
        (gateway,) = await deployment.start_gateways("gateway-1")
        await check_all_refused(deployment, [gateway], streams)

    run_deployment(test)


def test_stream_whose_version_left_is_refused_by_gateways_that_live_on():
    """Guards against gateways that know the origin of a stream and let it go on elsewhere."""

    async def test(deployment):
        await deployment.add("e1", "v1")
        await deployment.add("e2", "v2")
        gateways = await deployment.start_gateways("gateway-1", "gateway-2")
        streams = await begin_many(deployment, gateways, ["v1"])
        deployment.fleet.store.remove(BACKENDS_TOPIC, "e1")
        for number, gateway in enumerate(gateways):
            await gateway.wait_backends(1)
            await check_all_refused(deployment, [gateway], streams, attempt=number)

    run_deployment(test)


def test_gateway_with_an_old_list_of_servers_refuses_streams_of_a_version_it_does_not_know():
    """Guards against a gateway out of step whose streams of a new version go on at an old one."""

    async def test(deployment):
        for number in range(2):
            await deployment.add(f"old-{number}", "v1")
        fleet = deployment.fleet
        forwarder = Forwarder(fleet.store_address)
        store = await fleet.nursery.start(forwarder.run)
        stale = await fleet.add_gateway("gateway-2", store=store, agents_port=fleet.agents.port)
        await stale.wait_agents()
        forwarder.cut(refuse=True)
        for number in range(2):
            await deployment.add(f"new-{number}", "v2")
        (current,) = await deployment.start_gateways("gateway-1")
        streams = await begin_many(deployment, [current], ["v2"])
        await check_all_refused(deployment, [stale], streams)
        forwarder.forward()
        await stale.wait_backends(4)
        await check_all_go_on(deployment, [stale], streams)

    run_deployment(test)


# The last case names the request itself, which has brought no event.
@pytest.mark.parametrize("resumes", [[], ["Resumes: unknown"], ["Resumes: s2"]])
@pytest.mark.parametrize("path", [ENGINE_ROUTE, PLAIN_ROUTE])
def test_stream_without_a_known_origin_is_refused_as_not_run(path, resumes):
    """Guards against streams that go on at any version since their origin is unknown."""

    async def test(deployment):
        for number in range(2):
            await deployment.add(f"e{number}", "v1")
        await deployment.add("plain", "v1", "orders")
        (gateway,) = await deployment.start_gateways("gateway-1")
        await deployment.begin(gateway, "s1", "v1", path=path)
        options = make_options("s2", "Last-Event-Id: 2", *resumes)
        status, headers, _ = await gateway.call(path, **options)
        assert deployment.count_take_ups() == 0
        assert status == 503
        assert "retry-after" in headers

    run_deployment(test)


def test_agents_that_start_again_learn_the_origins_from_the_gateways():
    """Guards against origins that are lost when a gateway is killed after the agents restarted."""

    async def test(deployment):
        engines = [await deployment.add(f"e{n}", version) for n, version in enumerate(VERSIONS)]
        first, second = await deployment.start_gateways("gateway-1", "gateway-2")
        streams = await begin_many(deployment, [first])
        await deployment.restart_agents(engines, first, second)
        await first.kill_gateway()
        await check_all_go_on(deployment, [second], streams)

    run_deployment(test)


def test_streams_are_refused_after_all_agents_and_gateways_were_killed():
    """Guards against streams that go on at any version since all that knew it are gone."""

    async def test(deployment):
        engines = [await deployment.add(f"e{n}", version) for n, version in enumerate(VERSIONS)]
        (gateway,) = await deployment.start_gateways("gateway-1")
        streams = await begin_many(deployment, [gateway])
        await gateway.kill_gateway()
        await deployment.restart_agents(engines)
        (gateway,) = await deployment.start_gateways("gateway-1")
        await check_all_refused(deployment, [gateway], streams)

    run_deployment(test)


def test_gateway_without_agents_refuses_streams_of_others_and_takes_up_its_own():
    """Guards against a gateway that is cut off from the agents and guesses versions."""

    async def test(deployment):
        for number, version in enumerate(VERSIONS):
            await deployment.add(f"e{number}", version)
        (first,) = await deployment.start_gateways("gateway-1")
        isolated = await deployment.fleet.add_gateway("gateway-2")
        others = await begin_many(deployment, [first])
        await check_all_refused(deployment, [isolated], others)
        for version in VERSIONS:
            await deployment.begin(isolated, f"own-{version}", version)
            await deployment.check_goes_on(isolated, f"own-{version}", version)

    run_deployment(test)


@pytest.mark.parametrize("is_silent", [False, True])
def test_gateway_that_is_cut_off_from_agents_refuses_streams_of_others_until_it_is_not(is_silent):
    """Guards against a gateway that guesses versions since the agents don't answer it."""

    async def test(deployment):
        engines = [await deployment.add(f"e{n}", version) for n, version in enumerate(VERSIONS)]
        fleet, port = deployment.fleet, choose_port()
        forwarders = [Forwarder(Address(e.host, fleet.agents.port), port=port) for e in engines]
        for forwarder in forwarders:
            await fleet.nursery.start(forwarder.run)
        (first,) = await deployment.start_gateways("gateway-1")
        second = await fleet.add_gateway("gateway-2", agents_port=port)
        await second.wait_agents()
        streams = await begin_many(deployment, [first])
        for version in VERSIONS:
            await deployment.begin(second, f"own-{version}", version)
        for forwarder in forwarders:
            if is_silent:
                forwarder.drop()
            else:
                forwarder.cut(refuse=True)
        await check_all_refused(deployment, [second], streams)
        for version in VERSIONS:
            await deployment.check_goes_on(second, f"own-{version}", version)
        for forwarder in forwarders:
            forwarder.forward()
        for call_id, version in streams.items():
            status, headers, body = await deployment.take_up(second, call_id)
            while status == 503:
                await trio.sleep(float(headers["retry-after"]))
                status, headers, body = await deployment.take_up(second, call_id)
            assert (status, body) == (200, events_of(version, FIRST_EVENTS + 1))

    run_deployment(test)


def test_stream_that_is_taken_up_twice_stays_at_its_version():
    """Guards against a second take-up for which the first one counts as the beginning."""

    async def test(deployment):
        for number, version in enumerate(VERSIONS):
            await deployment.add(f"e{number}", version)
        gateways = await deployment.start_gateways("gateway-1", "gateway-2", "gateway-3")
        streams = await begin_many(deployment, gateways)
        # Each gateway takes up streams of the one before it.
        for _ in range(2):
            gateways.append(gateways.pop(0))
            await check_all_go_on(deployment, gateways, streams)

    run_deployment(test)


def split(**weights):
    """Return the field of a route that splits its calls between services."""
    services = {"lm": weights.get("lm"), "lm-next": weights.get("lm_next")}
    shares = [{"service": s, "weight": w} for s, w in services.items() if w is not None]
    return {"traffic-split": shares}


async def begin_at_split_route(deployment):
    """Begin streams at the service that has all of the weight; return gateways and streams."""
    for number, service in enumerate(["lm", "lm", "lm-next", "lm-next"]):
        await deployment.add(f"e{number}", "v1", service)
    gateways = await deployment.start_gateways("gateway-1", "gateway-2")
    streams = await begin_many(deployment, gateways, ["v1"])
    assert deployment.servers["e0"].requests or deployment.servers["e1"].requests
    return gateways, streams


def test_stream_of_a_split_route_goes_on_at_the_service_that_began_it():
    """Guards against streams that go on at another service when the weights change."""

    async def test(deployment):
        gateways, streams = await begin_at_split_route(deployment)
        deployment.fleet.publish(make_stream_config(2, **split(lm=1, lm_next=100)))
        for gateway in gateways:
            await gateway.wait_version(2)
        await check_all_go_on(deployment, gateways[::-1], streams)
        assert deployment.count_take_ups("e2", "e3") == 0

    run_deployment(test, make_stream_config(**split(lm=1, lm_next=0)))


@pytest.mark.parametrize("weights", [{"lm_next": 1}, {"lm": 0, "lm_next": 1}])
def test_stream_is_refused_when_its_route_no_longer_uses_the_service_that_began_it(weights):
    """Guards against streams that go on at the service that replaced the one that began them."""

    async def test(deployment):
        gateways, streams = await begin_at_split_route(deployment)
        deployment.fleet.publish(make_stream_config(2, **split(**weights)))
        for number, gateway in enumerate(gateways):
            await gateway.wait_version(2)
            await check_all_refused(deployment, [gateway], streams, attempt=number)

    run_deployment(test, make_stream_config(**split(lm=1, lm_next=0)))


@pytest.mark.parametrize("place", ["same gateway", "other gateway"])
def test_streams_of_a_plain_service_go_on_at_their_version(place):
    """Guards against streams of services without engines that go on at any version."""

    async def test(deployment):
        for number, version in enumerate(VERSIONS):
            await deployment.add(f"plain-{number}", version, "orders")
            await deployment.add(f"e{number}", version)
        gateways = await deployment.start_gateways("gateway-1", "gateway-2")
        streams = await begin_many(deployment, gateways, path=PLAIN_ROUTE)
        if place == "other gateway":
            gateways.reverse()
        await check_all_go_on(deployment, gateways, streams, path=PLAIN_ROUTE)

    run_deployment(test)


@pytest.mark.parametrize("place", ["same gateway", "other gateway"])
def test_streams_of_a_server_that_started_again_as_another_version_do_not_go_on_there(place):
    """Guards against streams that go on at a backend server since its id is the same as before."""

    async def test(deployment):
        server = await deployment.add("e1", "v1")
        await deployment.add("e2", "v2")
        gateways = await deployment.start_gateways("gateway-1", "gateway-2")
        streams = await begin_many(deployment, gateways, ["v1"])
        await deployment.restart_as(server, "v2", gateways)
        if place == "other gateway":
            gateways.reverse()
        await check_all_refused(deployment, gateways, streams)

    run_deployment(test)


def test_stream_of_a_server_whose_registration_was_old_does_not_go_on_at_that_version():
    """Guards against a wrong origin: the server had started as another version already."""

    async def test(deployment):
        server = await deployment.add("e1", "v1")
        # Gateways read the new registration only after the first events of the streams.
        deployment.true_versions["e1"] = "v2"
        await deployment.add("e2", "v1")
        gateways = await deployment.start_gateways("gateway-1", "gateway-2")
        streams = await begin_many(deployment, gateways, ["v2"])
        await deployment.restart_as(server, "v2", gateways)
        for number, call_id in enumerate(streams):
            await deployment.take_up(gateways[(number + 1) % 2], call_id)
        assert deployment.count_take_ups("e2") == 0

    run_deployment(test)


@pytest.mark.parametrize("other_serves", [True, False])
def test_stream_does_not_go_on_at_a_server_whose_registration_is_known_to_be_old(other_serves):
    """Guards against a server that started as another version, though its agent has told so."""

    async def test(deployment):
        servers = [await deployment.add(f"e{number}", "v1") for number in range(2)]
        gateways = await deployment.start_gateways("gateway-1", "gateway-2")
        streams = await begin_many(deployment, gateways, ["v1"])
        for server in servers[:1] if other_serves else servers:
            # The start is after the first events of all streams, whatever the clocks say.
            server.born_ms = int(time.time() * 1000) + 60_000
            deployment.true_versions[server.name] = "v2"
            for gateway in gateways:
                await gateway.wait_started_anew(server.name)
        if other_serves:
            await check_all_go_on(deployment, gateways[::-1], streams)
        else:
            await check_all_refused(deployment, gateways[::-1], streams)

    run_deployment(test)


def test_stream_that_began_at_a_server_with_an_old_registration_does_not_go_on():
    """Guards against an origin with a version that the agent has shown to be outdated."""

    async def test(deployment):
        server = await deployment.add("e1", "v2")
        await deployment.add("e2", "v1", agent=False)
        server.register(deployment.fleet.store, "lm", stage="decode", version="v1")
        server.born_ms = 2000
        gateways = await deployment.start_gateways("gateway-1", "gateway-2")
        for gateway in gateways:
            await gateway.wait_started_anew("e1")
        streams = await begin_many(deployment, gateways, ["v2"])
        await check_all_refused(deployment, gateways[::-1], streams)

    run_deployment(test)


async def send_head(stream, request):
    """Send the head of an answer and break off before its first event."""
    await stream.send_all(HEAD.format(request.call_id).encode())
    await stream.aclose()
    return False


async def reset(stream, _request):
    """Close the connection without an answer."""
    await stream.aclose()
    return False


async def refuse(stream, request):
    """State that the request was not run."""
    return await refusing(None, stream, request)


@pytest.mark.parametrize("fail", [refuse, reset, send_head])
def test_stream_belongs_to_the_server_whose_first_event_was_passed_on(fail):
    """Guards against the version of an attempt that brought no event as that of the stream."""

    async def test(deployment):
        for number, version in enumerate(VERSIONS):
            await deployment.add(f"e{number}", version)
        first, second = await deployment.start_gateways("gateway-1", "gateway-2")
        tried = []

        async def fail_first(server, stream, request):
            if "last-event-id" in request.headers:
                return None
            tried.append(server.name)
            return await fail(stream, request) if len(tried) == 1 else None

        deployment.override = fail_first
        async with first.open_stream(ENGINE_ROUTE, **make_options("s1")) as stream:
            body = await stream.read_events(FIRST_EVENTS)
        assert len(set(tried)) == 2
        version = deployment.true_versions[tried[1]]
        assert body == events_of(version, last=FIRST_EVENTS)
        # A second gateway prefers the same server as the first one did.
        await deployment.check_goes_on(second, "s1", version)

    run_deployment(test)
