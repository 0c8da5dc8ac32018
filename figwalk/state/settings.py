"""Settings of the processes, read from YAML files by `settings_file`.

Every duration and size has its unit at the end of its name. Addresses are IP number and port.
"""

from __future__ import annotations

import attrs

from figwalk.transport.http_types import HttpLimits


@attrs.frozen
class Address:
    """An IP number and a TCP or UDP port; port 0 lets the system choose when listening."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class PlatformSettings:
    """Where the platform's services are.

    Attributes:
        log: The append-only log.
        vms: The list of live and leaving VMs.
        statsd: Metrics receiver (UDP), or None for no metrics.
        vms_poll_s: Seconds between two reads of the VM list.
        log_timeout_s: Seconds after which a call to the log has failed.
    """

    log: Address
    vms: Address
    statsd: Address | None = None
    vms_poll_s: float = 1.0
    log_timeout_s: float = 2.0


@attrs.frozen
class EntrySettings:
    """Settings of `figwalk-entry`.

    Attributes:
        process: Unique name of the process.
        zone: Availability zone.
        region: Region.
        callers: Where callers' HTTP is served.
        peers: Where other figwalk processes connect.
        admin: Where the operator API is served.
        platform: Where the platform's services are.
        admin_token: Bearer token of the operator API; empty keeps the port closed.
        limits: Limits of the callers' HTTP server.
        grace_s: Seconds that running requests may take after SIGTERM.
        lease_ttl_s: Seconds that the controller lease lasts without renewal.
        report_timeout_s: Seconds without a report after which a backend server is avoided.
        log_format: `json` or `console`.
    """

    process: str
    zone: str
    region: str
    callers: Address
    peers: Address
    admin: Address
    platform: PlatformSettings
    admin_token: str = attrs.field(default="", repr=False)
    limits: HttpLimits = attrs.field(factory=HttpLimits)
    grace_s: float = 60.0
    lease_ttl_s: float = 5.0
    report_timeout_s: float = 1.0
    log_format: str = "json"


@attrs.frozen
class BackendSettings:
    """The backend server beside an agent.

    Attributes:
        name: Unique name of the backend server.
        service: Service that it is a replica of.
        kind: `engine` for a model engine, `plain` for a plain service.
        address: Where it serves HTTP.
        checks_fencing: Whether it refuses an order with an old fencing number.
        max_running: Calls that it takes at once.
    """

    name: str
    service: str
    kind: str
    address: Address
    checks_fencing: bool = False
    max_running: int = 32


@attrs.frozen
class AgentSettings:
    """Settings of `figwalk-agent`.

    Attributes:
        process: Unique name of the process.
        zone: Availability zone.
        region: Region.
        peers: Where entries connect.
        health: Where `/healthz` and `/readyz` are served.
        backend: The backend server beside the agent.
        statsd: Metrics receiver (UDP), or None for no metrics.
        report_s: Seconds between two load reports.
        grace_s: Seconds that running calls may take after SIGTERM.
        queue_limit: Calls that may wait for admission.
        key_memory_limit: Claimed calls remembered before a new incarnation is drawn.
        log_format: `json` or `console`.
    """

    process: str
    zone: str
    region: str
    peers: Address
    health: Address
    backend: BackendSettings
    statsd: Address | None = None
    report_s: float = 0.25
    grace_s: float = 60.0
    queue_limit: int = 256
    key_memory_limit: int = 20000
    log_format: str = "json"
