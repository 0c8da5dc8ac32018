"""Tests of the command that shows a deployment on the platform."""

import json

import trio
from support.platform_fakes import answering, run_test, running_fleet
from typer.testing import CliRunner

from figwalk.cli.fleet_view import fetch_fleet
from figwalk.cli.main import app
from figwalk.state.settings import Address
from standins.launcher import choose_port
from standins.platform_config import make_config


def test_view_shows_configuration_backends_and_gateways():
    """Guards against a view that leaves out what the store or a gateway says."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config(7))
            await fleet.add_backend("o1", answering())
            await fleet.add_backend("e1", answering(), service="lm", stage="prefill")
            fleet.store.put("keyed.servers", "odd", b"no JSON")
            await fleet.start_gateway()
            assert (await fleet.call("/check/1"))[0] == 200
            assert (await fleet.call("/nowhere/"))[0] == 404
            silent = Address("127.0.0.1", choose_port())
            view = await fetch_fleet(fleet.store_address, [fleet.metrics, silent])
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


def test_wrong_address_and_silent_store_are_clear_errors():
    """Guards against a traceback for what an operator mistypes."""
    result = CliRunner().invoke(app, ["fleet", "--store", "nowhere"])
    assert result.exit_code == 2
    port = choose_port()
    result = CliRunner().invoke(app, ["fleet", "--store", f"127.0.0.1:{port}", "--json"])
    assert result.exit_code == 1
    assert "cannot connect" in json.loads(result.stdout)["error"]["message"]


def test_command_writes_tables():
    """Guards against a command that only works as JSON."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config(7))
            await fleet.add_backend("o1", answering())
            await fleet.start_gateway()
            arguments = ["fleet", "--store", str(fleet.store_address)]
            arguments += ["--gateway", str(fleet.metrics)]
            return await trio.to_thread.run_sync(CliRunner().invoke, app, arguments)

    results = []

    async def keep():
        results.append(await main())

    run_test(keep)
    assert results[0].exit_code == 0
    assert "configuration: 7, 4 routes" in results[0].stdout
    assert "orders\to1\ta\t" in results[0].stdout
