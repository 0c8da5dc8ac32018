"""The operator's command line `figwalk`.

Exit codes: 0 for success; 2 for an error in the command line, the settings or the values to
publish; 1 for any other error, such as a refused call or a conflict with another publication.
"""

from __future__ import annotations

import getpass
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, TypeVar

import attrs
import trio
import typer

from figwalk.cli.admin_client import AdminClient
from figwalk.cli.errors import UsageError
from figwalk.cli.fleet_view import fetch_fleet, parse_address, write_fleet
from figwalk.cli.operator_commands import (
    Publication,
    publish_file,
    set_withdrawal,
    use_preset,
)
from figwalk.cli.output import Output
from figwalk.cli.views import write_presets, write_status, write_timeline
from figwalk.errors import FigwalkError, SettingsError
from figwalk.state.published_values import WithdrawalMode
from figwalk.state.settings_file import check_file

T = TypeVar("T")

EXIT_REFUSED = 1
EXIT_USAGE = 2

Admin = Annotated[
    str,
    typer.Option("--admin", envvar="FIGWALK_ADMIN", help="Operator API, http://HOST:PORT."),
]
Token = Annotated[
    str,
    typer.Option(
        "--token",
        envvar="FIGWALK_TOKEN",
        show_envvar=True,
        help="Bearer token; the environment keeps it out of process lists.",
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Write one JSON document.")]
Author = Annotated[
    str,
    typer.Option(
        "--author",
        envvar="FIGWALK_AUTHOR",
        default_factory=lambda: _default_author(),
        show_default="user name",
        help="Recorded with the publication.",
    ),
]
Unlisted = Annotated[
    bool, typer.Option("--unlisted", help="Accept a name that the entry does not know.")
]
Backend = Annotated[str, typer.Argument(help="Name of the backend server.")]

app = typer.Typer(
    help="Operate a figwalk deployment.", no_args_is_help=True, pretty_exceptions_enable=False
)
settings_app = typer.Typer(help="Settings files.", no_args_is_help=True)
preset_app = typer.Typer(help="Presets, of which one is in force.", no_args_is_help=True)
app.add_typer(settings_app, name="settings")
app.add_typer(preset_app, name="preset")


@settings_app.command("check")
def check_settings(
    files: Annotated[list[Path], typer.Argument(help="YAML files of any kind.")],
    as_json: AsJson = False,
) -> None:
    """Check files of settings or published configuration and name every fault."""
    output = Output(as_json=as_json)
    results = [_check_file(path) for path in files]
    if as_json:
        output.write_json({"files": results})
    else:
        for result in results:
            for fault in result.faults:
                output.write_line(fault)
            if not result.faults:
                output.write_line(f"{result.file}: valid, kind {result.kind}")
    if any(result.faults for result in results):
        raise typer.Exit(EXIT_USAGE)


@app.command("publish")
def publish(
    file: Annotated[Path, typer.Argument(help="YAML file of kind published.")],
    admin: Admin,
    token: Token,
    author: Author,
    as_json: AsJson = False,
) -> None:
    """Publish the values of a file together; values in effect already are left out."""
    _publish(admin, token, as_json, lambda client: publish_file(client, file, author=author))


@preset_app.command("list")
def list_presets(admin: Admin, token: Token, as_json: AsJson = False) -> None:
    """List the presets."""
    with _reporting_errors(as_json) as output:
        write_presets(output, _run_command(admin, token, lambda client: client.fetch_config()))


@preset_app.command("use")
def use(
    name: Annotated[str, typer.Argument(help="Name of the preset.")],
    admin: Admin,
    token: Token,
    author: Author,
    as_json: AsJson = False,
) -> None:
    """Put a preset in force instead of the present one."""
    _publish(admin, token, as_json, lambda client: use_preset(client, name, author=author))


@app.command("drain")
def drain(
    backend: Backend,
    admin: Admin,
    token: Token,
    author: Author,
    unlisted: Unlisted = False,
    as_json: AsJson = False,
) -> None:
    """Give a backend server no new work and let its running calls end in their own time."""
    _withdraw(admin, token, author, backend, WithdrawalMode.DRAIN, unlisted, as_json)


@app.command("withdraw")
def withdraw(
    backend: Backend,
    admin: Admin,
    token: Token,
    author: Author,
    unlisted: Unlisted = False,
    as_json: AsJson = False,
) -> None:
    """Give a backend server no new work and move its streams away after the grace time."""
    _withdraw(admin, token, author, backend, WithdrawalMode.WITHDRAW, unlisted, as_json)


@app.command("restore")
def restore(
    backend: Backend,
    admin: Admin,
    token: Token,
    author: Author,
    unlisted: Unlisted = False,
    as_json: AsJson = False,
) -> None:
    """Give a drained or withdrawn backend server work again."""
    _withdraw(admin, token, author, backend, None, unlisted, as_json)


@app.command("status")
def status(admin: Admin, token: Token, as_json: AsJson = False) -> None:
    """Show preset, lease, backend servers, goodput, refusals and role changes."""
    with _reporting_errors(as_json) as output:
        write_status(output, _run_command(admin, token, lambda client: client.fetch_status()))


@app.command("timeline")
def timeline(
    request_id: Annotated[str, typer.Argument(help="Request, as in X-Request-Id.")],
    admin: Admin,
    token: Token,
    as_json: AsJson = False,
) -> None:
    """Show the events of a request in all processes, in causal order."""
    with _reporting_errors(as_json) as output:
        events = _run_command(admin, token, lambda client: client.fetch_timeline(request_id))
        if not events:
            raise FigwalkError(
                f"no process has a record of request {request_id!r}",
                remedy="check the id; processes only keep their newest events",
            )
        write_timeline(output, events)


@app.command("fleet")
def fleet(
    store: Annotated[
        str,
        typer.Option("--store", envvar="FIGWALK_STORE", help="The platform's store, HOST:PORT."),
    ],
    gateways: Annotated[
        list[str] | None,
        typer.Option("--gateway", help="Metrics address of a gateway, HOST:PORT; repeatable."),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Show configuration, backend servers with roles, and what gateways answered and refused."""
    with _reporting_errors(as_json) as output:
        addresses = [parse_address(text) for text in gateways or []]
        write_fleet(output, trio.run(fetch_fleet, parse_address(store), addresses))


def main() -> None:
    """Run the command line."""
    app()


@attrs.frozen
class _FileResult:
    """Result of the check of one file."""

    file: str
    kind: str | None
    faults: list[str]


def _check_file(path: Path) -> _FileResult:
    try:
        return _FileResult(str(path), check_file(path).value, [])
    except SettingsError as error:
        return _FileResult(str(path), None, list(error.faults))


def _withdraw(
    admin: str,
    token: str,
    author: str,
    backend: str,
    mode: WithdrawalMode | None,
    unlisted: bool,
    as_json: bool,
) -> None:
    _publish(
        admin,
        token,
        as_json,
        lambda client: set_withdrawal(client, backend, mode, author=author, unlisted=unlisted),
    )


def _publish(
    admin: str,
    token: str,
    as_json: bool,
    command: Callable[[AdminClient], Awaitable[Publication]],
) -> None:
    with _reporting_errors(as_json) as output:
        publication = _run_command(admin, token, command)
        if as_json:
            output.write_json(publication)
        else:
            output.write_line(publication.summary)


def _run_command(admin: str, token: str, command: Callable[[AdminClient], Awaitable[T]]) -> T:
    client = AdminClient(admin, token)

    async def run() -> T:
        try:
            return await command(client)
        finally:
            client.close()

    return trio.run(run)


@contextmanager
def _reporting_errors(as_json: bool) -> Iterator[Output]:
    """Write a `FigwalkError` with its remedy and exit with the code for it."""
    output = Output(as_json=as_json)
    try:
        yield output
    except FigwalkError as error:
        output.write_error(error)
        is_usage_error = isinstance(error, SettingsError | UsageError)
        raise typer.Exit(EXIT_USAGE if is_usage_error else EXIT_REFUSED) from error


def _default_author() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"


if __name__ == "__main__":
    main()
