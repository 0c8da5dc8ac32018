"""Settings of the entry and agent processes, which `settings_file` reads from YAML files.

The name of every duration and size ends with its unit.
"""

from __future__ import annotations

import attrs

from figwalk.transport.http_types import HttpLimits

BYTES_PER_MB = 1_000_000


@attrs.frozen
class Address:
    """An IP address and a TCP or UDP port; for listening, the system chooses a port if it is 0."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class PlatformSettings:
    """Addresses of the platform's services, and the timing of calls to them.

    Attributes:
        log: Address of the append-only log.
        vms: Address of the list of live and leaving VMs.
        statsd: Metrics receiver (UDP), or None for no metrics.
        vms_poll_s: Seconds between two reads of the VM list.
        log_timeout_s: Timeout of a call to the log, in seconds.
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
        callers: Listening address of the HTTP server for callers.
        peers: Listening address for other figwalk processes.
        admin: Listening address of the operator API.
        platform: Addresses of the platform's services.
        admin_token: Bearer token of the operator API; if empty, its port stays closed.
        limits: Limits of the callers' HTTP server.
        grace_s: Seconds that running requests may still take after SIGTERM.
        lease_ttl_s: Seconds after which the controller lease expires without renewal.
        report_timeout_s: Seconds without a report after which a backend server is avoided.
        max_held_mb: Largest size of all requests and answers that the process holds together, in
            MB.
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
    max_held_mb: float = 100.0
    log_format: str = "json"

    @property
    def max_held_bytes(self) -> int:
        """Largest number of bytes of all requests and answers that the process holds."""
        return int(self.max_held_mb * BYTES_PER_MB)


@attrs.frozen
class BackendSettings:
    """The backend server beside an agent.

    Attributes:
        name: Unique name of the backend server.
        service: Service that it is a replica of.
        kind: `engine` for a model engine, `plain` for a plain service.
        address: Address of its HTTP server.
        checks_fencing: Whether it refuses an order with an outdated fencing number.
        max_running: Largest number of calls that it runs at once.
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
        peers: Listening address for entries.
        health: Listening address of `/healthz` and `/readyz`.
        backend: The backend server beside the agent.
        statsd: Metrics receiver (UDP), or None for no metrics.
        report_s: Seconds between two load reports.
        grace_s: Seconds that running calls may still take after SIGTERM.
        queue_limit: Largest number of calls that wait for admission.
        key_memory_limit: Number of claimed calls that the agent remembers before it starts a new
            incarnation.
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
