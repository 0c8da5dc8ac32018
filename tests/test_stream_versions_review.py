"""Tests of streams and software versions that a review added."""

import time

import pytest
import trio
from support.forwarder import Forwarder
from support.mock_time import mock_time
from support.platform_fakes import refusing, render
from test_origin_exchange import ATTEMPTS, V1, V2, Gateway, Link, find_all, make_agents
from test_stream_versions import (
    ENGINE_ROUTE,
    FIRST_EVENTS,
    PLAIN_ROUTE,
    VERSIONS,
    begin_many,
    check_all_go_on,
    make_options,
    make_stream_config,
    run_deployment,
)

from figwalk.platform import BACKENDS_TOPIC
from figwalk.prompt_agent.engine_watcher import REPORT_PERIOD_S
from standins.platform_config import make_config

# Several polls of the agent and heartbeats to the gateways.
REPORTED_S = 10 * REPORT_PERIOD_S
LONG_PROMPT = ["Prefix-Hash: b2:5000,c3:40000", "Token-Counts: 45000,20", "Model: m"]


async def take_up_all(deployment, gateway, streams, **options):
    """Take up all streams at one gateway at once."""
    async with trio.open_nursery() as nursery:
        for call_id in streams:
            nursery.start_soon(lambda each: deployment.take_up(gateway, each, **options), call_id)


def list_joined(deployment, streams):
    """Return the streams that servers of another version were asked to go on with."""
    return {
        call_id
        for name, server in deployment.servers.items()
        for request in server.requests
        if (call_id := request.headers.get("resumes")) in streams
        and "stage" not in request.headers
        and streams[call_id] != deployment.true_versions[name]
    }


@pytest.mark.parametrize("restarted", ["e0", "e1"])
def test_stream_does_not_go_on_at_a_server_that_started_again_as_another_version(restarted):
    """Guards against a gateway cut off from the store that trusts its list for the target."""

    async def test(deployment):
        for number in range(2):
            await deployment.add(f"e{number}", "v1")
        fleet = deployment.fleet
        forwarder = Forwarder(fleet.store_address)
        store = await fleet.nursery.start(forwarder.run)
        gateway = await fleet.add_gateway("gateway-1", store=store, agents_port=fleet.agents.port)
        await gateway.wait_agents()
        forwarder.cut(refuse=True)
        deployment.true_versions[restarted] = "v2"
        # The store and the agent beside the server know the new start, the gateway's list does not.
        server = deployment.servers[restarted]
        server.register(fleet.store, "lm", stage="decode", version="v2", born=2000)
        server.born_ms = 2000
        await trio.sleep(REPORTED_S)
        streams = await begin_many(deployment, [gateway], ["v1"])
        await take_up_all(deployment, gateway, streams)
        assert list_joined(deployment, streams) == set()

    run_deployment(test)


async def begin_at_old_registration(deployment):
    """Begin streams at a server that gateways list as v1, though it has started again as v2."""
    server = await deployment.add("e1", "v1")
    deployment.true_versions["e1"] = "v2"
    await deployment.add("e2", "v1")
    (gateway,) = await deployment.start_gateways("gateway-1")
    streams = await begin_many(deployment, [gateway], ["v2"])
    await deployment.restart_as(server, "v2", [gateway])
    return server, gateway, streams


def test_removal_of_a_registration_does_not_make_an_origin_certain_again():
    """Guards against a newer start that is forgotten when its server crashes."""

    async def test(deployment):
        server, gateway, streams = await begin_at_old_registration(deployment)
        deployment.fleet.store.remove(BACKENDS_TOPIC, server.name)
        await gateway.wait_backends(2)
        await take_up_all(deployment, gateway, streams)
        assert list_joined(deployment, streams) == set()

    run_deployment(test)


def test_return_to_the_old_version_does_not_make_an_origin_certain_again():
    """Guards against a newer start that is forgotten when a release is undone."""

    async def test(deployment):
        server, gateway, streams = await begin_at_old_registration(deployment)
        fleet = deployment.fleet
        server.register(fleet.store, "lm", stage="decode", version="v1", born=3000)
        deployment.true_versions[server.name] = "v1"
        await deployment.add("marker-2", "v2", agent=False)
        await gateway.wait_backends(4)
        await take_up_all(deployment, gateway, streams)
        assert list_joined(deployment, streams) == set()

    run_deployment(test)


def test_gateway_that_started_after_a_change_of_version_does_not_rely_on_an_older_start():
    """Guards against an origin that is refuted only by gateways that saw both registrations."""

    async def test(deployment):
        _, gateway, streams = await begin_at_old_registration(deployment)
        await gateway.kill_gateway()
        (newer,) = await deployment.start_gateways("gateway-2")
        await take_up_all(deployment, newer, streams)
        assert list_joined(deployment, streams) == set()

    run_deployment(test)


def test_stream_that_began_before_the_agent_reported_a_new_start_does_not_go_on():
    """Guards against a gateway cut off from the store that relies on an origin it knows is old."""

    async def test(deployment):
        server = await deployment.add("e1", "v1")
        await deployment.add("e2", "v1")
        fleet = deployment.fleet
        forwarder = Forwarder(fleet.store_address)
        store = await fleet.nursery.start(forwarder.run)
        gateway = await fleet.add_gateway("gateway-1", store=store, agents_port=fleet.agents.port)
        await gateway.wait_agents()
        forwarder.cut(refuse=True)
        deployment.true_versions["e1"] = "v2"
        streams = await begin_many(deployment, [gateway], ["v2"])
        server.born_ms = 2000
        await trio.sleep(REPORTED_S)
        await take_up_all(deployment, gateway, streams)
        assert list_joined(deployment, streams) == set()

    run_deployment(test)


async def take_up_during_registration(deployment):
    """Take streams up whose origin a registration refutes while their prompts are prefilled.

    Returns the server of the old version and the statuses of the answers.
    """
    server = await deployment.add("e1", "v1", agent=False)
    deployment.true_versions["e1"] = "v2"
    other = await deployment.add("e2", "v1", agent=False)
    reader = await deployment.add("reader", "v1", agent=False, stage="prefill")
    (gateway,) = await deployment.start_gateways("gateway-1")
    streams = await begin_many(deployment, [gateway], ["v2"])
    is_registered = trio.Event()
    statuses = []

    async def prefill(asked, stream, request):
        if asked is not reader:
            return None
        await is_registered.wait()
        body = b'{"transfer-handle":"h1","tokens":45000,"version":1}'
        await stream.send_all(render(request, body, signed=False))
        return True

    deployment.override = prefill

    async def take_up(call_id):
        names = [f"Last-Event-Id: {FIRST_EVENTS}", f"Resumes: {call_id}"]
        options = make_options(f"{call_id}-2") | {"headers": [*LONG_PROMPT, *names]}
        status, _, _ = await gateway.call(ENGINE_ROUTE, **options)
        statuses.append(status)

    async with trio.open_nursery() as nursery:
        for call_id in streams:
            nursery.start_soon(take_up, call_id)
        await reader.arrived.wait()
        await deployment.restart_as(server, "v2", [gateway])
        is_registered.set()
    return other, statuses


def test_origin_that_becomes_uncertain_during_the_prefill_is_noticed():
    """Guards against a registration that arrives between the take-up and the sending."""

    async def test(deployment):
        other, _ = await take_up_during_registration(deployment)
        # Calls with this header were sent after the prefill, so after the registration was read.
        assert [r.call_id for r in other.requests if "kv-source" in r.headers] == []

    run_deployment(test)


def test_stream_whose_origin_becomes_uncertain_before_the_sending_is_refused_as_not_run():
    """Guards against a 502, which promises nothing, for a call that was sent nowhere."""

    async def test(deployment):
        _, statuses = await take_up_during_registration(deployment)
        assert set(statuses) <= {200, 503}

    run_deployment(test)


def test_streams_of_a_server_that_was_replaced_later_go_on_at_other_servers():
    """Guards against refused streams (rule LOST) in a release that keeps the ids of servers."""

    async def test(deployment):
        servers = [await deployment.add(f"e{n}", "v1") for n in range(3)]
        gateways = await deployment.start_gateways("gateway-1", "gateway-2")

        async def refuse_others(server, stream, request):
            if server is servers[0] or "last-event-id" in request.headers:
                return None
            return await refusing(server, stream, request)

        deployment.override = refuse_others
        streams = await begin_many(deployment, gateways, ["v1"])
        deployment.override = None
        # The server started well after the first events of all streams.
        born = int(time.time() * 1000) + 10_000
        fields = {"stage": "decode", "version": "v2", "born": born}
        servers[0].register(deployment.fleet.store, "lm", **fields)
        deployment.true_versions["e0"] = "v2"
        await deployment.add("marker", "v2", agent=False)
        for gateway in gateways:
            await gateway.wait_backends(4)
        await check_all_go_on(deployment, gateways, streams)

    run_deployment(test)


def test_caller_of_a_gateway_that_does_not_know_the_version_yet_may_come_back_soon():
    """Guards against callers that a gateway out of step sends away for seconds (rule LOST)."""

    async def test(deployment):
        await deployment.add("old", "v1")
        fleet = deployment.fleet
        forwarder = Forwarder(fleet.store_address)
        store = await fleet.nursery.start(forwarder.run)
        stale = await fleet.add_gateway("gateway-2", store=store, agents_port=fleet.agents.port)
        await stale.wait_agents()
        forwarder.cut(refuse=True)
        await deployment.add("new", "v2")
        (current,) = await deployment.start_gateways("gateway-1")
        await deployment.begin(current, "s1", "v2")
        status, headers, _ = await deployment.take_up(stale, "s1")
        assert status == 503
        # As long as for an origin that is not known: other gateways can let the stream go on.
        assert float(headers["retry-after"]) <= 0.3

    run_deployment(test)


@pytest.mark.parametrize("path", [ENGINE_ROUTE, PLAIN_ROUTE])
def test_stream_does_not_go_on_elsewhere_once_its_route_is_not_resumable(path):
    """Guards against a configuration that takes the version check off streams under way."""

    async def test(deployment):
        for number, version in enumerate(VERSIONS):
            await deployment.add(f"e{number}", version)
            await deployment.add(f"plain-{number}", version, "orders")
        (gateway,) = await deployment.start_gateways("gateway-1")
        streams = await begin_many(deployment, [gateway], path=path)
        config = make_stream_config(2)
        routes = [route | {"resumable": False} for route in config["routes"]]
        deployment.fleet.publish(make_config(2, routes) | {"services": config["services"]})
        await gateway.wait_version(2)
        await take_up_all(deployment, gateway, streams, path=path)
        assert list_joined(deployment, streams) == set()

    run_deployment(test)


def make_long_options(call_id, own_part, *names):
    """Return the options of a request with a long prompt that shares no part with others."""
    headers = [f"Prefix-Hash: {own_part}:20000", "Token-Counts: 20000,20", "Model: m", *names]
    return make_options(call_id) | {"headers": headers}


def test_long_streams_go_on_at_busy_engines_of_their_version():
    """Guards against take-ups that are refused as too late for a first event that they have had."""

    async def test(deployment):
        for number, version in enumerate(["v1", "v1", "v2", "v2"]):
            await deployment.add(f"e{number}", version, agent=False)
        (gateway,) = await deployment.start_gateways("gateway-1")
        deployment.open_versions = {"v1"}
        for number in range(12):
            options = make_long_options(f"s{number}", f"a{number}")
            async with gateway.open_stream(ENGINE_ROUTE, **options) as stream:
                await stream.read_events(FIRST_EVENTS)

        async def hold(server, stream, request):
            if not request.call_id.startswith("load"):
                return None
            if deployment.true_versions[server.name] == "v1":
                await trio.sleep_forever()
            return await refusing(server, stream, request)

        deployment.override = hold
        statuses = []
        async with trio.open_nursery() as nursery:
            for number in range(12):
                options = make_long_options(f"load-{number}", f"b{number}")
                nursery.start_soon(lambda each: gateway.call(ENGINE_ROUTE, **each), options)
                await trio.sleep(0.02)
            deployment.open_versions = {"v2"}
            for number in range(12):
                options = make_long_options(f"n{number}", f"c{number}")
                async with gateway.open_stream(ENGINE_ROUTE, **options) as stream:
                    await stream.read_events(FIRST_EVENTS)  # All new streams begin.
            for number in range(12):
                names = [f"Last-Event-Id: {FIRST_EVENTS}", f"Resumes: s{number}"]
                options = make_long_options(f"s{number}-2", f"a{number}", *names)
                status, _, _ = await gateway.call(ENGINE_ROUTE, **options)
                statuses.append(status)
            nursery.cancel_scope.cancel()
        assert statuses.count(200) >= len(statuses) / 2

    run_deployment(test, make_stream_config(**{"target-latency-ms": 250}))


class SlowLink(Link):
    """A connection to an agent on a busy VM, which answers after 150 ms."""

    async def ask(self, attempt):
        """Ask the agent."""
        await trio.sleep(0.15)
        return await super().ask(attempt)


@mock_time
async def test_answers_of_slow_agents_are_used_while_a_caller_waits_for_them():
    """Guards against answers that are discarded since each round of questions starts anew."""
    agents = make_agents()
    first, second = Gateway(agents), Gateway(agents)
    first.begin(*ATTEMPTS)
    await trio.sleep(1)
    second.links = [SlowLink(agent) for agent in agents]
    assert await find_all(second) == [V1] * len(ATTEMPTS)


@mock_time
async def test_agent_that_was_told_two_versions_outweighs_one_that_was_told_one():
    """Guards against an origin that is uncertain at one agent and certain at another."""
    agents = make_agents(4)
    first, second = Gateway(agents), Gateway(agents)
    first.begin(*ATTEMPTS)
    # The second gateway reaches other agents, so that some are told of both versions.
    second.links = second.links[1:]
    second.begin(*ATTEMPTS, origin=V2)
    await trio.sleep(1)
    origins = await find_all(Gateway(agents))
    assert [origin.software_version for origin in origins] == [""] * len(ATTEMPTS)


@mock_time
async def test_agent_with_several_connections_counts_once():
    """Guards against origins that only one agent knows, as several engines have its address."""
    agents = make_agents()
    first = Gateway([agents[0], *agents])
    first.begin(*ATTEMPTS)
    assert len(first.links) == len(agents) + 1
    await trio.sleep(1)
    told = [sum(agent.origins.find(each) == V1 for agent in agents) for each in ATTEMPTS]
    assert min(told) == 3
