"""Runs an example deployment on loopback: stand-ins, agents and entries from its settings files."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import TypeVar

import attrs
import trio

from figwalk.cli.admin_client import AdminClient, StatusView
from figwalk.cli.errors import AdminError
from figwalk.cli.operator_commands import Publication, publish_file
from figwalk.errors import FigwalkError
from figwalk.state.published import SERVICES_PREFIX, ServiceConfig
from figwalk.state.settings import Address, AgentSettings, EntrySettings, PlatformSettings
from figwalk.state.settings_file import (
    PublishedFile,
    dump_settings,
    load_published,
    load_settings,
)
from figwalk.transport import HttpClient
from standins.launcher import AGENT_SOCKETS, ENTRY_SOCKETS, Launcher, ProcessHandle

READY_TIMEOUT_S = 30.0
POLL_S = 0.1
ENGINE_KIND = "engine"
VM_LAG_S = 0.5
AUTHOR = "standins.deployment"

Settings = TypeVar("Settings", EntrySettings, AgentSettings)
Route = Callable[[str, Address], Awaitable[Address]]


class DeploymentError(FigwalkError):
    """The deployment did not become ready, or a process did not stop as planned."""


class Deployment:
    """The processes of one example directory.

    Args:
        directory: Directory with `entry-*.yaml`, `agent-*.yaml` and `published.yaml`.
        launcher: Starts the processes and ends what `stop` has left.
        run_directory: Where the settings that the processes read are written.
        fixed_ports: Whether the ports of the files are used; else the system chooses free ones.
        engine_options: Returns further options of the engine stand-in of a backend server.
        route: Given the name of a link and the address of its server, returns the address that
            the client is to use. Links are named after the agent, or `ENTRY-log`.
    """

    def __init__(
        self,
        directory: Path,
        launcher: Launcher,
        run_directory: Path,
        *,
        fixed_ports: bool,
        engine_options: Callable[[str], Sequence[str]] = lambda backend: (),
        route: Route | None = None,
    ) -> None:
        self._directory = directory
        self._launcher = launcher
        self._run_directory = run_directory
        self._fixed_ports = fixed_ports
        self._engine_options = engine_options
        self._route = route or _keep_address
        self._platform: PlatformSettings | None = None
        self._lives: Counter[str] = Counter()
        self._published = load_published(directory / "published.yaml")
        self._entry_settings = [
            load_settings(path, EntrySettings) for path in sorted(directory.glob("entry-*.yaml"))
        ]
        self._agent_settings = [
            load_settings(path, AgentSettings) for path in sorted(directory.glob("agent-*.yaml"))
        ]
        self._vm_addresses: dict[str, Address] = {}
        self._entries: dict[str, ProcessHandle] = {}
        self._agents: dict[str, ProcessHandle] = {}
        self._backends: dict[str, ProcessHandle] = {}

    @property
    def published(self) -> PublishedFile:
        """Configuration that `publish` publishes."""
        return self._published

    @property
    def admin_token(self) -> str:
        """Bearer token of the operator API."""
        return self._entry_settings[0].admin_token

    @property
    def entries(self) -> dict[str, ProcessHandle]:
        """Newest process of each entry by name."""
        return self._entries

    @property
    def agents(self) -> dict[str, ProcessHandle]:
        """Newest process of each agent by name."""
        return self._agents

    @property
    def backends(self) -> dict[str, ProcessHandle]:
        """Newest process of each backend server by name."""
        return self._backends

    @property
    def platform(self) -> PlatformSettings:
        """Addresses of the platform's services; valid after `start`."""
        assert self._platform is not None, "start the deployment first"
        return self._platform

    @property
    def agent_settings(self) -> list[AgentSettings]:
        """Settings of the agents as in the files."""
        return list(self._agent_settings)

    @property
    def handles(self) -> list[ProcessHandle]:
        """Entries, agents and backend servers that were started."""
        return [*self._entries.values(), *self._agents.values(), *self._backends.values()]

    @property
    def caller_addresses(self) -> list[Address]:
        """Where the entries serve callers."""
        return [handle.addresses["callers"] for handle in self._entries.values()]

    @property
    def admin_addresses(self) -> list[Address]:
        """Where the entries serve operators."""
        return [handle.addresses["admin"] for handle in self._entries.values()]

    def backend_addresses(self, service: str) -> list[Address]:
        """Return where the replicas of a service serve HTTP."""
        return [
            self._backends[settings.backend.name].addresses["http"]
            for settings in self._agent_settings
            if settings.backend.service == service
        ]

    def backend(self, name: str) -> ProcessHandle:
        """Return the process of a backend server."""
        return self._backends[name]

    async def start(self) -> None:
        """Start all processes and list their VMs.

        Raises:
            LaunchError: A process did not start.
        """
        platform = self._entry_settings[0].platform
        log = await self._launch("log", "standins.log", *self._http_port(platform.log))
        vms = await self._launch(
            "vms", "standins.vms", "--lag-s", str(VM_LAG_S), *self._http_port(platform.vms)
        )
        platform = attrs.evolve(platform, log=log.addresses["http"], vms=vms.addresses["http"])
        self._platform = platform
        await run_together([_bind(self._start_backend, s) for s in self._agent_settings])
        await run_together([_bind(self._start_agent, s) for s in self._agent_settings])
        await run_together([_bind(self._start_entry, s) for s in self._entry_settings])
        await self._list_vms(HttpClient(platform.vms.host, platform.vms.port))

    async def restart(self, name: str) -> ProcessHandle:
        """Start a process that has ended again, on its old addresses.

        Args:
            name: Name of an entry, an agent or a backend server.
        """
        for entry in self._entry_settings:
            if entry.process == name:
                await self._start_entry(entry)
                return self._entries[name]
        for agent in self._agent_settings:
            if agent.process == name:
                await self._start_agent(agent)
                return self._agents[name]
            if agent.backend.name == name:
                await self._start_backend(agent)
                return self._backends[name]
        raise DeploymentError(f"there is no process {name!r}", remedy="use a name of the files")

    async def set_vm_state(self, agent: str, state: str) -> None:
        """Show the VM of an agent as `live` or `leaving` in the VM list."""
        settings = next(s for s in self._agent_settings if s.process == agent)
        vms = HttpClient(self.platform.vms.host, self.platform.vms.port)
        await _put_vm(vms, settings, "backend", self._vm_addresses[agent], state=state)
        vms.close()

    async def publish(self) -> Publication:
        """Publish the example's configuration through the first entry."""
        path = self._directory / "published.yaml"
        client = self.admin_client(0)
        try:
            with trio.fail_after(READY_TIMEOUT_S):
                while not await _log_answers(client):
                    await trio.sleep(POLL_S)
            return await publish_file(client, path, author=AUTHOR)
        finally:
            client.close()

    async def wait_ready(self, revision: int) -> None:
        """Wait until every entry has fresh reports of all backend servers at a revision.

        Raises:
            DeploymentError: That took too long.
        """
        for index in range(len(self._entries)):
            client = self.admin_client(index)
            status = None
            with trio.move_on_after(READY_TIMEOUT_S) as scope:
                status = await client.fetch_status()
                while not self._is_ready(status, revision):
                    await trio.sleep(POLL_S)
                    status = await client.fetch_status()
            client.close()
            if scope.cancelled_caught:
                raise DeploymentError(
                    f"entry {index + 1} is not ready after {READY_TIMEOUT_S:g} s: {status}",
                    remedy=f"read the logs in {self._run_directory}",
                )

    async def stop(self) -> list[str]:
        """Stop entries, then agents, then backend servers, so that running requests finish.

        Returns:
            One line for each process that did not end by itself with status 0.
        """
        faults: list[str] = []
        for group in (self._entries, self._agents, self._backends):
            handles = list(group.values())
            for handle in handles:
                if handle.returncode is None:
                    handle.terminate()
            for handle in handles:
                status = await handle.wait()
                if status != 0:
                    faults.append(f"{handle.name} ended with status {status}; {handle.log_path}")
        return faults

    def admin_client(self, index: int) -> AdminClient:
        """Return a client of the operator API of an entry."""
        return AdminClient(f"http://{self.admin_addresses[index]}", self.admin_token)

    async def _start_backend(self, settings: AgentSettings) -> None:
        backend = settings.backend
        address = backend.address
        if backend.name in self._backends:
            address = self._backends[backend.name].addresses["http"]
            arguments = ["--name", backend.name, "--port", str(address.port)]
        else:
            arguments = ["--name", backend.name, *self._http_port(address)]
        module = "standins.service"
        if backend.kind == ENGINE_KIND:
            module = "standins.engine"
            fencing = "--checks-fencing" if backend.checks_fencing else "--no-checks-fencing"
            arguments += ["--model", self._model_of(backend.service), fencing]
            arguments += [
                "--max-running",
                str(backend.max_running),
                *self._engine_options(backend.name),
            ]
        self._backends[backend.name] = await self._launch(backend.name, module, *arguments)

    async def _start_agent(self, settings: AgentSettings) -> None:
        address = self._backends[settings.backend.name].addresses["http"]
        settings = attrs.evolve(settings, backend=attrs.evolve(settings.backend, address=address))
        settings = self._place(settings, self._agents, AGENT_SOCKETS)
        self._agents[settings.process] = await self._launch(
            settings.process,
            "figwalk.agent.main",
            self._write_settings(settings),
            listening=AGENT_SOCKETS,
        )

    async def _start_entry(self, settings: EntrySettings) -> None:
        log = await self._route(f"{settings.process}-log", self.platform.log)
        settings = attrs.evolve(settings, platform=attrs.evolve(self.platform, log=log))
        settings = self._place(settings, self._entries, ENTRY_SOCKETS)
        self._entries[settings.process] = await self._launch(
            settings.process,
            "figwalk.entry.main",
            self._write_settings(settings),
            listening=ENTRY_SOCKETS,
        )
        self._entries = dict(sorted(self._entries.items()))

    async def _launch(
        self, name: str, module: str, *arguments: str, listening: tuple[str, ...] = ("http",)
    ) -> ProcessHandle:
        self._lives[name] += 1
        life = self._lives[name]
        log_name = name if life == 1 else f"{name}.{life}"
        return await self._launcher.start(log_name, module, *arguments, listening=listening)

    def _place(
        self, settings: Settings, handles: dict[str, ProcessHandle], sockets: tuple[str, ...]
    ) -> Settings:
        """Return the settings with the addresses to listen on."""
        if settings.process in handles:
            known = handles[settings.process].addresses
            return attrs.evolve(settings, **{name: known[name] for name in sockets})
        if self._fixed_ports:
            return settings
        free = {name: _free_port(getattr(settings, name)) for name in sockets}
        return attrs.evolve(settings, **free)

    async def _list_vms(self, vms: HttpClient) -> None:
        for settings in self._agent_settings:
            address = self._agents[settings.process].addresses["peers"]
            address = await self._route(settings.process, address)
            self._vm_addresses[settings.process] = address
            await _put_vm(vms, settings, "backend", address)
        for settings in self._entry_settings:
            address = self._entries[settings.process].addresses["peers"]
            await _put_vm(vms, settings, "entry", address)
        vms.close()

    def _write_settings(self, settings: EntrySettings | AgentSettings) -> str:
        path = self._run_directory / f"{settings.process}.yaml"
        path.write_text(dump_settings(settings), encoding="utf-8")
        return str(path)

    def _http_port(self, address: Address) -> list[str]:
        return ["--port", str(address.port if self._fixed_ports else 0)]

    def _model_of(self, service: str) -> str:
        value = self._published.find(SERVICES_PREFIX + service)
        if value is None or not isinstance(value.value, ServiceConfig):
            raise DeploymentError(
                f"service {service!r} is not in published.yaml", remedy="add it under services"
            )
        return value.value.models[0]

    def _is_ready(self, status: StatusView, revision: int) -> bool:
        serving = [
            backend
            for backend in status.backends
            if backend.state == "serving" and (backend.revision or 0) >= revision
        ]
        return status.revision >= revision and len(serving) == len(self._agent_settings)


async def run_together(steps: list[Callable[[], Awaitable[None]]]) -> None:
    """Run coroutine functions at once; the first error is raised as it is."""
    errors: list[Exception] = []

    async def run(step: Callable[[], Awaitable[None]], scope: trio.CancelScope) -> None:
        try:
            await step()
        except Exception as error:
            errors.append(error)
            scope.cancel()

    async with trio.open_nursery() as nursery:
        for step in steps:
            nursery.start_soon(run, step, nursery.cancel_scope)
    if errors:
        raise errors[0]


def _bind(function: Callable[..., Awaitable[None]], *arguments: object) -> Callable[[], Awaitable]:
    return lambda: function(*arguments)


async def _keep_address(_link: str, address: Address) -> Address:
    return address


def _free_port(address: Address) -> Address:
    return attrs.evolve(address, port=0)


async def _log_answers(client: AdminClient) -> bool:
    try:
        return (await client.fetch_status()).log_available
    except AdminError:
        return False


async def _put_vm(
    vms: HttpClient,
    settings: EntrySettings | AgentSettings,
    kind: str,
    address: Address,
    *,
    state: str = "live",
) -> None:
    service = settings.backend.service if isinstance(settings, AgentSettings) else ""
    vm = {
        "kind": kind,
        "state": state,
        "address": address.host,
        "port": address.port,
        "zone": settings.zone,
        "region": settings.region,
        "service": service,
    }
    response, body = await vms.fetch(
        "PUT", f"/vms/{settings.process}", body=json.dumps(vm).encode()
    )
    if response.status != 200:
        raise DeploymentError(
            f"the VM list refused {settings.process}: {body.decode()}",
            remedy="use the stand-in of this version",
        )
