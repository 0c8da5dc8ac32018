"""Tests of `figwalk fleet`, which shows a deployment on the platform."""

import json

import trio
from support.platform_fakes import answering, run_test, running_fleet
from typer.testing import CliRunner

from figwalk.cli.fleet_view import fetch_fleet
from figwalk.cli.main import app
from figwalk.state.settings import Address
from standins.launcher import choose_port
from standins.platform_config import make_config, make_organisation


def test_view_shows_configuration_backends_and_gateways():
    """Guards against a view that omits data of the store or of a gateway's metrics."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config(7))
            await fleet.add_backend("o1", answering())
            await fleet.add_backend("e1", answering(), service="lm", stage="prefill")
            fleet.store.put("keyed.servers", "odd", b"no JSON")
            await fleet.start_gateway()
            assert (await fleet.call("/check/1"))[0] == 200
            assert (await fleet.call("/nowhere/"))[0] == 404
            unreachable = Address("127.0.0.1", choose_port())
            view = await fetch_fleet(fleet.store_address, [fleet.metrics, unreachable])
        assert (view.config_version, view.routes, view.services) == (7, 4, ["lm", "orders"])
        shown = [(b.backend, b.role, b.leaving) for b in view.backends]
        assert shown == [("e1", "prefill", False), ("o1", "mixed", False)]
        assert "odd" in view.unreadable[0]
        gateway, missing = view.gateways
        assert (gateway.config_version, gateway.answers) == (7, 1)
        assert gateway.refusals == {"no_route": 1}
        assert "connect" in missing.fault

    run_test(main)


def test_view_without_a_configuration_is_empty():
    """Guards against a command that fails on a new deployment."""

    async def main():
        async with running_fleet() as fleet:
            view = await fetch_fleet(fleet.store_address, [])
        assert (view.config_version, view.backends) == (None, [])

    run_test(main)


def test_organisations_are_shown_without_their_keys():
    """Guards against a view without the organisations, or with their keys."""
    tenants = [make_organisation("b", "k-1", "k-2", priority=2), make_organisation("a")]
    results = []

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config(7, tenants=tenants))
            for options in ([], ["--json"]):
                arguments = ["fleet", "--store", str(fleet.store_address), *options]
                results.append(await trio.to_thread.run_sync(CliRunner().invoke, app, arguments))

    run_test(main)
    table, as_json = (result.stdout for result in results)
    assert "b\t2\t2" in table
    shown = json.loads(as_json)["organisations"]
    assert [(o["name"], o["priority"], o["keys"]) for o in shown] == [("a", None, 0), ("b", 2, 2)]
    assert "k-" not in table + as_json


def test_invalid_address_and_unreachable_store_are_reported():
    """Guards against a traceback when the operator mistypes the address of the store."""
    result = CliRunner().invoke(app, ["fleet", "--store", "nowhere"])
    assert result.exit_code == 2
    port = choose_port()
    result = CliRunner().invoke(app, ["fleet", "--store", f"127.0.0.1:{port}", "--json"])
    assert result.exit_code == 1
    assert "cannot connect" in json.loads(result.stdout)["error"]["message"]


def test_command_writes_tables():
    """Guards against a command that only works with `--json`."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config(7))
            await fleet.add_backend("o1", answering())
            await fleet.start_gateway()
            arguments = ["fleet", "--store", str(fleet.store_address)]
            arguments += ["--gateway", str(fleet.metrics)]
            return await trio.to_thread.run_sync(CliRunner().invoke, app, arguments)

    results = []

    async def collect_result():
        results.append(await main())

    run_test(collect_result)
    assert results[0].exit_code == 0
    assert "configuration: 7, 4 routes" in results[0].stdout
    assert "orders\to1\ta\t" in results[0].stdout
