"""Runs gateways and prompt agents on loopback against stand-ins of the users' platform."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import trio

from figwalk.errors import FigwalkError, HttpError
from figwalk.state.gateway_settings import GatewaySettings, PromptAgentSettings, RelaySettings
from figwalk.state.settings import Address
from figwalk.state.settings_file import dump_settings
from figwalk.transport import HttpClient
from standins.launcher import Launcher, ProcessHandle, choose_port
from standins.platform_backend import DEFAULT_VERSION
from standins.platform_config import make_config

REGIONS = {"a": "r", "b": "r", "c": "s"}
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
ASK_TIMEOUT_S = 1.0

Route = Callable[[str, Address], Awaitable[Address]]
AgentRoute = Callable[[str, str, Address, int], Awaitable[None]]


class PlatformDeploymentError(FigwalkError):
    """The deployment did not become ready."""


@attrs.frozen
class BackendPlan:
    """A backend server to run.

    Attributes:
        name: Its name; the id that it registers has a number appended for each start.
        service: Service that it belongs to.
        zone: Availability zone.
        host: Loopback IP of its VM, where its prompt agent listens, too.
        stage: Stage of an engine, or empty.
    """

    name: str
    service: str
    zone: str
    host: str
    stage: str = ""


@attrs.frozen
class PlatformPlan:
    """What to run.

    Attributes:
        gateways: Name and zone of each gateway.
        backends: The backend servers.
    """

    gateways: dict[str, str]
    backends: tuple[BackendPlan, ...]


def make_plan(
    *, gateways: int = 2, services: int = 2, engines: int = 3, zones: int = len(REGIONS)
) -> PlatformPlan:
    """Return a plan spread over the first zones, in which the first engine prefills.

    Gateways share reads of the store where there are at least three in a zone.
    """
    names = list(REGIONS)[:zones]
    backends = [
        BackendPlan(f"orders-{i}", "orders", names[i % zones], f"127.0.3.{i + 1}")
        for i in range(services)
    ]
    backends += [
        BackendPlan(
            f"lm-{i}", "lm", names[i % zones], f"127.0.4.{i + 1}", "decode" if i else "prefill"
        )
        for i in range(engines)
    ]
    placed = {f"gateway-{i}": names[i % zones] for i in range(gateways)}
    return PlatformPlan(placed, tuple(backends))


class PlatformDeployment:
    """The processes of one plan.

    Args:
        plan: What to run.
        launcher: Starts the processes and ends them.
        directory: For settings files and the backend servers' run logs.
        route: Given the name of a link and the address of its server, returns the address that
            clients are to use, on the same host: `GATEWAY-store`, `AGENT-store`, the name of a
            backend server.
        route_agent: Given a gateway, an agent, the agent's address and a port, forwards that port
            of the agent's host to the agent; the gateway is then told that port.
        config: Fields of the operator's configuration beside those of `make_config`.
    """

    def __init__(
        self,
        plan: PlatformPlan,
        launcher: Launcher,
        directory: Path,
        *,
        route: Route | None = None,
        route_agent: AgentRoute | None = None,
        config: dict[str, object] | None = None,
    ) -> None:
        self._plan = plan
        self._launcher = launcher
        self._directory = directory
        self._config = config or {}
        self._route = route or _keep_address
        self._store_address = Address("", 0)
        self._agents_port = choose_port()
        self._route_agent = route_agent
        self._routed_ports = {name: choose_port() for name in plan.gateways if route_agent}
        self._ports = {backend.name: choose_port(backend.host) for backend in plan.backends}
        self._versions: dict[str, str] = {}
        self._backends = {backend.name: backend for backend in plan.backends}
        self._settings: dict[str, GatewaySettings] = {}
        self._processes: dict[str, ProcessHandle] = {}
        self._starts: Counter[str] = Counter()

    @property
    def plan(self) -> PlatformPlan:
        """What is run, without the backend servers that have left."""
        return self._plan

    @property
    def store(self) -> Address:
        """Address of the store, without the links' routes."""
        return self._store_address

    @property
    def processes(self) -> dict[str, ProcessHandle]:
        """Newest process of each gateway, backend server and agent (`NAME-agent`)."""
        return self._processes

    def gateway(self, name: str) -> GatewaySettings:
        """Return the settings of a gateway."""
        return self._settings[name]

    def backend_address(self, name: str) -> Address:
        """Return the address of a backend server, without its link's route."""
        return Address(self._find_plan(name).host, self._ports[name])

    async def start(self) -> None:
        """Start everything, publish the first configuration and wait until gateways are ready."""
        store = await self._launcher.start("store", "standins.platform_store")
        self._store_address = store.addresses["http"]
        await self.publish(make_config(1))
        for backend in self._plan.backends:
            await self._start_with_agent(backend)
        for name in self._plan.gateways:
            await self.start_gateway(name)
        for name in self._plan.gateways:
            await self.wait_ready(name)

    async def publish(self, config: dict[str, object]) -> None:
        """Write a configuration, with the fields of this deployment, as the operator does.

        Raises:
            PlatformDeploymentError: The store did not take it.
        """
        value = config | self._config
        record = {"topic": "keyed.op", "key": "config", "value": value}
        client = HttpClient(self._store_address.host, self._store_address.port)
        try:
            response, _ = await client.fetch("POST", "/records", body=json.dumps(record).encode())
        finally:
            client.close()
        if response.status != 200:
            raise PlatformDeploymentError(f"the store answered {response.status} to a publication")

    def version(self, name: str) -> str:
        """Return the software version with which a backend server starts."""
        return self._versions.get(name, DEFAULT_VERSION)

    async def add_backend(self, backend: BackendPlan, version: str) -> None:
        """Start another backend server, and its agent if it is an engine.

        The plan lists it as soon as all of its processes and links are there.

        Args:
            backend: What to run; the name may be that of one that has left.
            version: Its software version.
        """
        if backend.name not in self._ports:
            self._ports[backend.name] = choose_port(backend.host)
        self._versions[backend.name] = version
        self._backends[backend.name] = backend
        await self._start_with_agent(backend)
        self._plan = attrs.evolve(self._plan, backends=(*self._plan.backends, backend))

    async def remove_backend(self, name: str) -> None:
        """Let a backend server drain and leave, and end its agent then."""
        names = [name, f"{name}-agent"] if self._find_plan(name).stage else [name]
        rest = tuple(backend for backend in self._plan.backends if backend.name != name)
        self._plan = attrs.evolve(self._plan, backends=rest)
        for process in names:
            self._processes[process].terminate()
            await self._processes[process].wait()

    async def start_backend(self, name: str, version: str | None = None) -> None:
        """Start a backend server under a new id.

        Args:
            name: Its name in the plan.
            version: Software version from now on; the present one if omitted.
        """
        backend = self._find_plan(name)
        self._starts[name] += 1
        if version is not None:
            self._versions[name] = version
        address = await self._route(name, self.backend_address(name))
        arguments = {
            "--id": f"{name}.{self._starts[name]}",
            "--service": backend.service,
            "--zone": backend.zone,
            "--host": backend.host,
            "--port": str(self._ports[name]),
            "--store": str(self._store_address),
            "--advertise": str(address),
            "--run-log": str(self.run_log(name)),
            "--version": self.version(name),
        }
        if backend.stage:
            arguments["--stage"] = backend.stage
        words = [word for pair in arguments.items() for word in pair]
        self._processes[name] = await self._launcher.start(
            name, "standins.platform_backend", *words
        )

    async def start_agent(self, name: str) -> None:
        """Start the prompt agent `NAME-agent` beside an engine."""
        engine = name.removesuffix("-agent")
        address = self.backend_address(engine)
        settings = PromptAgentSettings(
            process=name,
            zone=self._find_plan(engine).zone,
            region="r",
            peers=Address(address.host, self._agents_port),
            engine=address,
            store=await self._route(f"{name}-store", self._store_address),
        )
        path = self._directory / f"{name}.yaml"
        path.write_text(dump_settings(settings))
        self._processes[name] = await self._launcher.spawn(
            name, "figwalk.prompt_agent.main", str(path)
        )
        if self._route_agent is not None:
            for gateway, port in self._routed_ports.items():
                await self._route_agent(gateway, name, settings.peers, port)

    async def start_gateway(self, name: str) -> None:
        """Start a gateway; see `wait_ready`."""
        if name not in self._settings:
            zone = self._plan.gateways[name]
            callers, health, metrics = (Address("127.0.0.1", choose_port()) for _ in range(3))
            self._settings[name] = GatewaySettings(
                process=name,
                zone=zone,
                region=REGIONS[zone],
                regions=REGIONS,
                callers=callers,
                health=health,
                metrics=metrics,
                agents_port=self._routed_ports.get(name, self._agents_port),
                store=await self._route(f"{name}-store", self._store_address),
                relay=RelaySettings(readers_per_zone=2),
            )
            self.write_settings(self._settings[name])
        self._processes[name] = await self._launcher.spawn(
            name, "figwalk.gateway.main", str(self.settings_path(name))
        )

    def write_settings(self, settings: GatewaySettings) -> None:
        """Write the settings file of a gateway, whole at once."""
        path = self.settings_path(settings.process)
        new = path.with_suffix(".new")
        new.write_text(dump_settings(settings))
        new.replace(path)
        self._settings[settings.process] = settings

    def settings_path(self, name: str) -> Path:
        """Return the settings file of a gateway."""
        return self._directory / f"{name}.yaml"

    def run_log(self, name: str) -> Path:
        """Return the file in which a backend server notes arrivals and runs."""
        return self._directory / f"{name}.runs"

    async def is_ready(self, name: str) -> bool:
        """Return whether a gateway says that it is ready, as the balancer asks."""
        address = self._settings[name].health
        client = HttpClient(address.host, address.port)
        try:
            with trio.fail_after(ASK_TIMEOUT_S):
                response, _ = await client.fetch("GET", "/ready")
        except (HttpError, trio.TooSlowError):
            return False
        finally:
            client.close()
        return response.status == 200

    async def wait_ready(self, name: str) -> None:
        """Wait until a gateway is ready.

        Raises:
            PlatformDeploymentError: It was not within 30 seconds.
        """
        with trio.move_on_after(READY_TIMEOUT_S):
            while not await self.is_ready(name):
                await trio.sleep(POLL_S)
            return
        raise PlatformDeploymentError(
            f"{name} was not ready within {READY_TIMEOUT_S:g} s",
            remedy=f"read {self._processes[name].log_path}",
        )

    async def set_faults(self, address: Address, **faults: object) -> None:
        """Put faults of a stand-in in force.

        Raises:
            HttpError: The stand-in does not answer.
        """
        client = HttpClient(address.host, address.port)
        try:
            with trio.move_on_after(ASK_TIMEOUT_S):
                await client.fetch("POST", "/faults", body=json.dumps(faults).encode())
        finally:
            client.close()

    async def _start_with_agent(self, backend: BackendPlan) -> None:
        await self.start_backend(backend.name)
        if backend.stage:
            await self.start_agent(f"{backend.name}-agent")

    def _find_plan(self, name: str) -> BackendPlan:
        return self._backends[name]


async def _keep_address(_link: str, address: Address) -> Address:
    return address
