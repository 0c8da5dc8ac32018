"""Shows a deployment whose configuration and backend servers are kept in the platform's store."""

from __future__ import annotations

import attrs
import trio
from prometheus_client.parser import text_string_to_metric_families

from figwalk.cli.errors import UsageError
from figwalk.cli.output import Output
from figwalk.errors import FigwalkError, HttpError
from figwalk.platform import (
    BACKENDS_TOPIC,
    CONFIG_KEY,
    CONFIG_TOPIC,
    PlatformStore,
    decode_backend,
    decode_routing,
)
from figwalk.state.routing import RoutingConfig
from figwalk.state.settings import Address
from figwalk.transport import HttpClient

# The store usually answers within milliseconds, but the command has no other data source.
STORE_TIMEOUT_S = 5.0
METRICS_TIMEOUT_S = 2.0


@attrs.frozen
class RegisteredBackendView:
    """A registered backend server.

    Attributes:
        backend: Id of the backend server.
        service: Service that it serves.
        zone: Availability zone.
        address: HOST:PORT.
        role: Role of an engine; `mixed` for a backend server of a plain service.
        leaving: Whether it is about to stop and accepts no new calls.
        slots: Number of calls that it runs concurrently.
    """

    backend: str
    service: str
    zone: str
    address: str
    role: str
    leaving: bool
    slots: int


@attrs.frozen
class OrganisationView:
    """An organisation, without its keys.

    Attributes:
        name: Its name.
        priority: Priority of its calls, or None if that of their route applies.
        keys: Number of its keys.
    """

    name: str
    priority: int | None
    keys: int


@attrs.frozen
class GatewayView:
    """State of a gateway according to its metrics.

    Attributes:
        metrics: Address of the gateway's metrics endpoint.
        fault: Why the metrics could not be read; empty if they were.
        config_version: Configuration version that the gateway uses, or None.
        backends: Number of backend servers that the gateway knows, or None.
        answers: Number of answers from backend servers so far.
        refusals: Number of refused requests by error code.
    """

    metrics: str
    fault: str = ""
    config_version: int | None = None
    backends: int | None = None
    answers: int = 0
    refusals: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class FleetView:
    """The newest configuration, the backend servers and the gateways.

    Attributes:
        config_version: Version of the newest configuration, or None without one.
        routes: Number of routes in it.
        services: Names of the services in it.
        organisations: The organisations in it.
        backends: Registered backend servers.
        unreadable: Errors for registrations that could not be decoded.
        gateways: The gateways whose metrics were requested.
    """

    config_version: int | None
    routes: int
    services: list[str]
    organisations: list[OrganisationView]
    backends: list[RegisteredBackendView]
    unreadable: list[str]
    gateways: list[GatewayView]


def parse_address(text: str) -> Address:
    """Return the address of HOST:PORT.

    Raises:
        UsageError: The text does not have this form.
    """
    host, separator, port = text.rpartition(":")
    if not (separator and host and port.isascii() and port.isdigit()):
        raise UsageError(f"{text!r} is not HOST:PORT", remedy="write it as 10.0.0.1:8080")
    return Address(host.strip("[]"), int(port))


async def fetch_fleet(store: Address, gateways: list[Address]) -> FleetView:
    """Read the store and fetch the metrics of the gateways.

    Raises:
        LogUnavailableError: The store does not answer.
        PlatformRecordError: The newest configuration can't be decoded.
    """
    client = PlatformStore(store, timeout_s=STORE_TIMEOUT_S)
    try:
        config = await client.read_newest(CONFIG_TOPIC)
        registered = await client.read_newest(BACKENDS_TOPIC)
    finally:
        client.close()
    values = [record.value for record in config.records if record.key == CONFIG_KEY]
    routing = decode_routing(values[-1]) if values and values[-1] is not None else None
    backends, unreadable = [], []
    for record in registered.records:
        try:
            entry = decode_backend(record.key, record.value or b"")
        except FigwalkError as error:
            unreadable.append(str(error))
            continue
        backends.append(
            RegisteredBackendView(
                entry.backend,
                entry.service,
                entry.zone,
                str(entry.address),
                entry.role.value,
                entry.leaving,
                entry.slots,
            )
        )
    views: dict[int, GatewayView] = {}
    async with trio.open_nursery() as nursery:
        for index, address in enumerate(gateways):
            nursery.start_soon(_fetch_gateway, address, index, views)
    return FleetView(
        routing.version if routing else None,
        len(routing.routes) if routing else 0,
        sorted(routing.services) if routing else [],
        _list_organisations(routing),
        sorted(backends, key=lambda view: (view.service, view.backend)),
        unreadable,
        [views[index] for index in sorted(views)],
    )


def _list_organisations(routing: RoutingConfig | None) -> list[OrganisationView]:
    organisations = (routing.organisations if routing else None) or ()
    views = [OrganisationView(o.name, o.priority, len(o.key_digests)) for o in organisations]
    return sorted(views, key=lambda view: view.name)


def write_fleet(output: Output, view: FleetView) -> None:
    """Write the view as tables, or as JSON."""
    if output.as_json:
        output.write_json(view)
        return
    version = "none" if view.config_version is None else view.config_version
    services = ", ".join(view.services) or "none"
    output.write_line(f"configuration: {version}, {view.routes} routes, services: {services}")
    rows = [
        (b.service, b.backend, b.zone, b.address, b.role, "leaving" if b.leaving else "live")
        for b in view.backends
    ]
    columns = ("service", "backend", "zone", "address", "role", "state")
    output.write_table("Backend servers", columns, rows)
    if view.organisations:
        rows = [(o.name, o.priority, o.keys) for o in view.organisations]
        output.write_table("Organisations", ("organisation", "priority", "keys"), rows)
    for reason in view.unreadable:
        output.write_line(f"unreadable: {reason}")
    if view.gateways:
        output.write_table(
            "Gateways",
            ("metrics", "configuration", "backends", "answers", "refusals", "fault"),
            [
                (
                    gateway.metrics,
                    gateway.config_version,
                    gateway.backends,
                    gateway.answers,
                    " ".join(f"{code}={n}" for code, n in sorted(gateway.refusals.items())),
                    gateway.fault or None,
                )
                for gateway in view.gateways
            ],
        )


async def _fetch_gateway(address: Address, index: int, views: dict[int, GatewayView]) -> None:
    client = HttpClient(address.host, address.port)
    try:
        with trio.fail_after(METRICS_TIMEOUT_S):
            _, body = await client.fetch("GET", "/metrics")
        views[index] = _read_metrics(str(address), body.decode("utf-8", "replace"))
    except trio.TooSlowError:
        views[index] = GatewayView(str(address), "no answer in time")
    except (HttpError, ValueError) as error:
        views[index] = GatewayView(str(address), str(error))
    finally:
        client.close()


def _read_metrics(address: str, text: str) -> GatewayView:
    values: dict[str, float] = {}
    refusals: dict[str, int] = {}
    answers = 0
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == "figwalk_refusals_total":
                refusals[sample.labels["code"]] = int(sample.value)
            elif sample.name == "figwalk_answer_seconds_count":
                answers += int(sample.value)
            else:
                values[sample.name] = sample.value
    if "figwalk_config_version" not in values or "figwalk_backends" not in values:
        raise ValueError("the answer contains no gateway metrics")
    return GatewayView(
        address,
        config_version=int(values["figwalk_config_version"]),
        backends=int(values["figwalk_backends"]),
        answers=answers,
        refusals=refusals,
    )
