"""Tests of calls of organisations' callers, which send a key, through a real gateway."""

import json

import pytest
import trio
from support.platform_fakes import (
    answering,
    any_stage,
    refusing,
    resetting,
    run_test,
    running_fleet,
    streaming,
)

from figwalk.coordination.compacted_log import KeyedRecord
from figwalk.state.gateway_settings import RevocationSettings
from standins.platform_config import make_config, make_organisation, make_route
from standins.platform_store import PlatformStoreFaults

LONG = ["Prefix-Hash: a1:2000,b2:3000,c3:40000", "Token-Counts: 45000,20", "Model: m"]
SHORT = ["Prefix-Hash: a1:50,c4:50", "Token-Counts: 100,20", "Model: m"]
ACME = make_organisation("acme", "k-one", "k-two", priority=3)
OTHER = make_organisation("other", "k-other")


def config(version=1, organisations=(ACME, OTHER), **fields):
    routes = make_config()["routes"] + [make_route("open", "idempotent", "orders", public=True)]
    return make_config(version, routes, tenants=list(organisations), **fields)


def with_organisations(test):
    """Decorate a test so that it runs with a fleet whose configuration has organisations."""

    def run():
        async def main():
            async with running_fleet() as fleet:
                fleet.publish(config())
                await test(fleet)

        run_test(main)

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


async def withdraw(fleet, *organisations, version=2):
    """Publish a configuration with other organisations, and wait until it is in force."""
    fleet.publish(config(version, organisations))
    await fleet.wait_version(version)


@with_organisations
async def test_only_calls_with_a_key_reach_backend_servers(fleet):
    """Guards against calls without a valid key that run, and valid ones that are refused."""
    backend = await fleet.add_backend("b1", answering())
    await fleet.start_gateway()
    for key in ("", "k-none", "k-on", "acme"):
        status, headers, body = await fleet.call("/check/x", key=key)
        assert (status, headers["request-id"]) == (401, "c1")
        assert b"invalid_api_key" in body
    assert not backend.requests
    for key in ("k-one", "k-two", "k-other"):
        assert (await fleet.call("/check/x", key=key))[0] == 200
    assert [request.organisation for request in backend.requests] == ["acme", "acme", "other"]
    doubled = ["X-Api-Key: k-one", "X-Api-Key: k-other"]
    assert (await fleet.call("/check/x", headers=doubled))[0] == 401
    metrics = await fleet.read_metrics()
    assert 'figwalk_refused_keys_total{reason="unknown"} 3.0' in metrics
    assert 'figwalk_refused_keys_total{reason="missing"} 2.0' in metrics
    assert "figwalk_organisation_keys 3.0" in metrics


@with_organisations
async def test_public_route_needs_no_key(fleet):
    """Guards against refused calls of public routes, and keys that reach backend servers there."""
    backend = await fleet.add_backend("b1", answering())
    await fleet.start_gateway()
    for key in ("", "k-one", "k-none"):
        assert (await fleet.call("/open/x", key=key, headers=["Tenant: forged"]))[0] == 200
    assert [request.organisation for request in backend.requests] == [None, "acme", None]
    assert not any("x-api-key" in request.headers for request in backend.requests)


def test_calls_are_forwarded_as_before_without_organisations():
    """Guards against headers that are dropped, or calls refused, where keys have no meaning."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            backend = await fleet.add_backend("b1", answering())
            await fleet.start_gateway()
            assert (await fleet.call("/check/x", key="own", headers=["Tenant: own"]))[0] == 200
            headers = backend.requests[0].headers
            assert (headers["x-api-key"], headers["tenant"]) == ("own", "own")

    run_test(main)


def first_time(script, later):
    """Return a script for several backend servers, of which one uses another script once."""
    scripts = [later, script]

    async def run(backend, stream, request):
        return await (scripts.pop() if len(scripts) > 1 else later)(backend, stream, request)

    return run


BROKEN_STREAM = streaming(4, break_after=2)
# Target, headers, stage and script of two backend servers, and the requests that they get.
PATHS = {
    "retry": ("/check/x", [], [("", resetting, answering())] * 2, 2),
    "prefill": ("/chat/x", LONG, [("prefill", None, any_stage), ("decode", None, any_stage)], 2),
    "release": ("/chat/x", LONG, [("prefill", None, any_stage), ("decode", None, refusing)], 3),
    "resumed": ("/long/x", SHORT, [("decode", BROKEN_STREAM, streaming(4))] * 2, 2),
}


@pytest.mark.parametrize("path", PATHS)
def test_backend_servers_get_the_name_and_never_the_key(path):
    """Guards against a way to a backend server that passes on the key or a forged name."""
    target, headers, backends, expected = PATHS[path]

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(config())
            fakes, once = [], first_time(*backends[0][1:])
            for name, (stage, broken, script) in enumerate(backends):
                service, fields = ("lm", {"stage": stage}) if stage else ("orders", {})
                script = once if broken else script
                fakes.append(await fleet.add_backend(f"b{name}", script, service, **fields))
            await fleet.start_gateway()
            await fleet.call(target, key="k-one", headers=[*headers, "Tenant: a", "Tenant: b"])
            requests = [request for fake in fakes for request in fake.requests]
            assert [request.organisation for request in requests] == ["acme"] * expected
            assert not any("k-one" in str(request) for request in requests)

    run_test(main)


@with_organisations
async def test_key_is_withdrawn_and_added_on_an_open_connection(fleet):
    """Guards against a connection whose callers keep the keys that were valid at its start."""
    await fleet.add_backend("b1", answering())
    await fleet.start_gateway()
    async with fleet.connect() as connection:
        assert (await connection.call("/check/x", key="k-one"))[0] == 200
        await withdraw(fleet, make_organisation("acme", "k-two"), make_organisation("new", "k-new"))
        assert (await connection.call("/check/x", key="k-one"))[0] == 401
        assert (await connection.call("/check/x", key="k-two"))[0] == 200
        assert (await connection.call("/check/x", key="k-new"))[0] == 200
        # The last key of an organisation.
        await withdraw(fleet, make_organisation("acme"), version=3)
        assert (await connection.call("/check/x", key="k-two"))[0] == 401
        await withdraw(fleet, version=4)
        assert (await connection.call("/check/x", key="k-new"))[0] == 401


@with_organisations
async def test_call_whose_key_is_withdrawn_before_its_retry_is_not_sent_again(fleet):
    """Guards against a call that runs although its key was withdrawn while it waited."""

    async def refuse_after_withdrawal(backend, stream, request):
        await withdraw(fleet, OTHER)
        return await refusing(backend, stream, request)

    backends = [await fleet.add_backend(f"b{i}", refuse_after_withdrawal) for i in range(2)]
    await fleet.start_gateway()
    status, headers, body = await fleet.call("/check/x", key="k-one")
    assert (status, headers["request-id"]) == (401, "c1")
    assert b"invalid_api_key" in body
    assert sum(len(backend.requests) for backend in backends) == 1
    assert 'figwalk_refused_keys_total{reason="withdrawn"} 1.0' in await fleet.read_metrics()


@with_organisations
async def test_prompt_whose_key_is_withdrawn_during_its_prefill_does_not_run(fleet):
    """Guards against a prompt that runs after its key was withdrawn, or KV cache left behind."""

    async def prefill(backend, stream, request):
        if request.method != "DELETE":
            await withdraw(fleet, OTHER)
        return await any_stage(backend, stream, request)

    reader = await fleet.add_backend("e1", prefill, "lm", stage="prefill")
    runner = await fleet.add_backend("e2", any_stage, "lm", stage="decode")
    await fleet.start_gateway()
    status, _, _ = await fleet.call("/chat/x", key="k-one", headers=LONG)
    assert (status, runner.requests) == (401, [])
    assert [request.method for request in reader.requests] == ["GET", "DELETE"]


@with_organisations
async def test_stream_is_not_resumed_after_its_key_was_withdrawn(fleet):
    """Guards against a 401 in the middle of a stream, or a stream that goes on without a key."""

    async def cut(backend, stream, request):
        await withdraw(fleet, OTHER)
        return await streaming(4, break_after=2)(backend, stream, request)

    engines = [await fleet.add_backend(f"e{i}", cut, "lm", stage="decode") for i in range(2)]
    await fleet.start_gateway()
    with pytest.raises(Exception, match="peer"):
        await fleet.call("/long/x", key="k-one", headers=SHORT)
    assert sum(len(engine.requests) for engine in engines) == 1


@with_organisations
async def test_call_keeps_its_key_secret_when_organisations_are_taken_away(fleet):
    """Guards against a key passed on because a newer configuration has no organisations."""

    async def refuse_after_change(backend, stream, request):
        if len(backend.requests) == 1:
            fleet.publish(make_config(2))
            await fleet.wait_version(2)
        return await refusing(backend, stream, request)

    first = await fleet.add_backend("b1", refuse_after_change)
    second = await fleet.add_backend("b2", refuse_after_change)
    await fleet.start_gateway()
    await fleet.call("/check/x", key="k-one")
    requests = first.requests + second.requests
    assert {request.organisation for request in requests} == {"acme", None}
    assert not any("k-one" in str(request) for request in requests)


@pytest.mark.parametrize(("strict", "expected"), [(False, 200), (True, 503)])
def test_keys_while_the_store_is_away(strict, expected):
    """Guards against refusals while the store is away, and withdrawn keys under strict rules."""

    async def main():
        async with running_fleet() as fleet:
            fleet.settings["revocation"] = RevocationSettings(strict=strict, max_age_ms=60_000)
            fleet.publish(config())
            await fleet.add_backend("b1", answering())
            await fleet.start_gateway()
            assert (await fleet.call("/check/x", key="k-one"))[0] == 200
            fleet.store.set_faults(PlatformStoreFaults(refuse_status=503))
            # As after a suspension of the VM, which only this clock counts.
            timer = fleet.process._timer
            boot_now = timer.boot_now
            timer.boot_now = lambda: boot_now() + 100
            status, headers, _ = await fleet.call("/check/x", key="k-one")
            assert status == expected
            assert strict == ("retry-after" in headers)
            assert (await fleet.call("/open/x"))[0] == 200
            fleet.store.set_faults(PlatformStoreFaults())
            while (await fleet.call("/check/x", key="k-one"))[0] != 200:
                await trio.sleep(0.02)

    run_test(main)


def test_keys_are_never_shown(capsys):
    """Guards against keys in logs, metrics, answers or representations of objects."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(config())
            await fleet.add_backend("b1", resetting)
            await fleet.start_gateway()
            answers = [await fleet.call("/check/x", key=key) for key in ("k-one", "k-secret")]
            answers.append(await fleet.call("/check/x", headers=["X-Api Key: k-secret"]))
            assert [status for status, _, _ in answers] == [502, 401, 400]
            fleet.publish(config(2, [{"name": "acme", "api-keys": "k-secret"}]))
            await withdraw(fleet, OTHER, version=3)
            process = fleet.process
            shown = [capsys.readouterr(), answers, await fleet.read_metrics()]
            shown += [process._routing.current, vars(process._access), vars(process._events)]
            for text in map(repr, shown):
                assert "k-one" not in text
                assert "secret" not in text

    run_test(main)


@with_organisations
async def test_call_without_a_valid_key_is_refused_before_its_body_has_come(fleet):
    """Guards against bodies received, and memory held, for callers without a valid key."""
    backend = await fleet.add_backend("b1", answering())
    await fleet.start_gateway()
    lengths = [["Content-Length: 90000"], ["Content-Length: 9", "Expect: 100-continue"]]
    for headers in lengths:
        status, headers, _ = await fleet.call("/order/x", headers=headers, key="k-none")
        assert (status, headers["request-id"], headers["connection"]) == (401, "c1", "close")
    status, _, _ = await fleet.call("/order/x", method="POST", body=b"1" * 90_000, key="k-one")
    assert (status, len(backend.requests[0].body)) == (200, 90_000)


@with_organisations
async def test_key_withdrawn_before_a_restore_stays_withdrawn_at_a_new_gateway(fleet):
    """Guards against a key valid again at a gateway that starts from the store's older copy."""
    backend = await fleet.add_backend("b1", answering())
    await fleet.start_gateway()
    other = await fleet.add_gateway("gateway-2")
    for gateway in (fleet, other):
        await gateway.wait_version(1)
    await withdraw(fleet, OTHER)
    await other.wait_version(2)
    fleet.store.restore(1)
    while not fleet.store.records("keyed.figwalk-config"):
        await trio.sleep(0.02)
    backend.register(fleet.store, "orders")
    restarted = await fleet.add_gateway("gateway-3")
    await restarted.wait_version(2)
    assert (await restarted.call("/check/x", key="k-one"))[0] == 401
    assert (await restarted.call("/check/x", key="k-other"))[0] == 200
    assert len(fleet.store.records("keyed.figwalk-config")) == 1


@pytest.mark.parametrize(
    ("owner", "status", "sent"), [("none", 401, []), ("other", 200, ["other"])]
)
def test_key_changed_while_a_connection_is_opened(owner, status, sent):
    """Guards against a call sent for a withdrawn key, or in the name of a former organisation."""
    changed = config(2, [OTHER] if owner == "none" else [make_organisation(owner, "k-one")])

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(config())
            backends = [await fleet.add_backend(f"b{i}", answering()) for i in range(2)]
            await fleet.start_gateway()
            access, routing = fleet.process._access, fleet.process._routing
            check_again = access.check_again

            def change_after_check(call):
                name = check_again(call)
                routing.apply(KeyedRecord(9, "config", json.dumps(changed).encode()))
                return name

            access.check_again = change_after_check
            assert (await fleet.call("/check/x", key="k-one"))[0] == status
            requests = [request for backend in backends for request in backend.requests]
            assert [request.organisation for request in requests] == sent

    run_test(main)
