"""Settings of `figwalk-gateway` and `figwalk-prompt-agent`, which `settings_file` reads."""

from __future__ import annotations

import attrs

from figwalk.protocol.messages import Role
from figwalk.state.settings import BYTES_PER_MB, Address
from figwalk.timer import MS_PER_S

# Fractions of a deadline after which the store is read again. Calls to the store are billed, so
# reads should be rare; but a read that fails has to be repeated once within the deadline.
CONFIG_WAIT_SHARE = 0.4
BACKENDS_PERIOD_SHARE = 0.28
# Memory of a gateway that holds no bodies, under load.
BASE_MEMORY_MB = 96.0
# Share of the rest that bodies may take. Copies that are made for a moment and memory that the
# allocator does not return need the other part.
HELD_MEMORY_SHARE = 0.5
# Three bodies of the largest size that the users allow.
MIN_HELD_MB = 12.0


@attrs.frozen
class RetrySettings:
    """Limit of retries over all gateways.

    Attributes:
        ratio: Retries allowed for each request in a window.
        window_s: Length of the window in seconds.
        slack: Retries allowed in a window in addition to the ratio.
    """

    ratio: float = 0.1
    window_s: float = 10.0
    slack: float = 20.0


@attrs.frozen
class EngineSettings:
    """Prefill speeds of the deployment's engines, as specified by the users.

    Attributes:
        prefill_tokens_per_s: Prefill speed of an engine with the role prefill, in tokens a second.
        decode_prefill_ratio: Prefill speed of an engine with the role decode, as a ratio of
            `prefill_tokens_per_s`.
    """

    prefill_tokens_per_s: float = 410_000.0
    decode_prefill_ratio: float = 0.44

    def prefill_rate(self, role: Role) -> float:
        """Return the prefill speed of an engine of a role, in tokens a second."""
        if role is Role.PREFILL:
            return self.prefill_tokens_per_s
        return self.prefill_tokens_per_s * self.decode_prefill_ratio


@attrs.frozen
class LeaseSettings:
    """Lease of the process that orders and reports for all gateways.

    Attributes:
        duration_ms: Milliseconds that the lease lasts without a renewal.
        thaw_ms: Milliseconds after a pause, or after a cut link has healed, in which a call of a
            former holder does no harm.
        require_fencing: Whether receivers of orders and reports refuse a fencing token that is
            lower than one they have seen.
    """

    duration_ms: float = 3000.0
    thaw_ms: float = 300.0
    require_fencing: bool = False


@attrs.frozen
class DutySettings:
    """Calls to the platform that one process makes for all gateways.

    Attributes:
        address: Address of the platform's interface.
        tasks: Names of the duties that the deployment asks for; others are ignored.
        calls_per_s: Calls a second that the platform takes from all processes together.
        window_s: Length of the time windows of usage, in seconds.
        usage_late_s: Seconds from the end of a window until its report is late.
    """

    address: Address
    tasks: tuple[str, ...] = ()
    calls_per_s: float = 50.0
    window_s: float = 5.0
    usage_late_s: float = 10.0

    @property
    def reports_usage(self) -> bool:
        """Whether the usage of organisations is to be reported."""
        return "usage_report" in self.tasks

    @property
    def orders_servers(self) -> bool:
        """Whether numbers of backend servers are to be ordered."""
        return "scaling" in self.tasks


@attrs.frozen
class RevocationSettings:
    """How keys of organisations are treated while the store is unavailable.

    Attributes:
        strict: Whether calls that need a key are refused once the configuration is too old.
        max_age_ms: Milliseconds since the store has confirmed the configuration after which it is
            too old.
    """

    strict: bool = False
    max_age_ms: float = 5000.0


@attrs.frozen
class RelaySettings:
    """Reads of the store that gateways of one availability zone share.

    Attributes:
        readers_per_zone: Agents of the zone that read the store for its gateways, one at a time; 0
            if each gateway reads the store itself.
    """

    readers_per_zone: int = 0


@attrs.frozen
class GatewaySettings:
    """Settings of `figwalk-gateway`.

    Attributes:
        process: Unique name of the process.
        zone: Availability zone.
        region: Region.
        regions: Region of each availability zone of the deployment.
        callers: Listening address of the HTTP server for callers.
        health: Listening address for the load balancer's readiness checks.
        metrics: Listening address of the metrics endpoint, which serves text.
        agents_port: Port on the engines' VMs at which the agents beside the engines serve gateways.
        store: Address of the platform's store.
        store_timeout_s: Timeout of a call to the store, in seconds.
        config_deadline_ms: Milliseconds within which a new configuration has to be in force.
        departure_deadline_ms: Milliseconds within which the gateway has to stop using a backend
            server that was removed from the list.
        grace_s: Seconds from SIGTERM until the platform kills the process.
        max_connections: Largest number of open connections of callers.
        gateways_per_zone: Gateway processes in each availability zone, added ones included, that
            share the retry budget's slack and the backend servers' connections.
        retry: Limit of retries.
        engines: Prefill speeds of the engines.
        lease: Lease of the process that orders and reports for all gateways.
        duties: Calls to the platform that one process makes for all, or None if there are none.
        revocation: How keys of organisations are treated while the store is unavailable.
        relay: Reads of the store that gateways of one availability zone share.
        memory_mb: Memory that the process may use, in MB.
        max_held_mb: Largest size of all requests and answers that the process holds together, in
            MB, or None to derive it from `memory_mb`.
        max_backend_mb: Largest size of the requests that the process has in flight at one backend
            server, in MB; a single larger request is sent.
        log_lines_per_s: Largest number of log lines a second; a burst may add as many again.
        log_format: `json` or `console`.
    """

    process: str
    zone: str
    region: str
    regions: dict[str, str]
    callers: Address
    health: Address
    metrics: Address
    agents_port: int
    store: Address
    store_timeout_s: float = 1.0
    config_deadline_ms: float = 2500.0
    departure_deadline_ms: float = 2500.0
    grace_s: float = 8.0
    max_connections: int = 3000
    gateways_per_zone: int = 4
    retry: RetrySettings = attrs.field(factory=RetrySettings)
    engines: EngineSettings = attrs.field(factory=EngineSettings)
    lease: LeaseSettings = attrs.field(factory=LeaseSettings)
    duties: DutySettings | None = None
    revocation: RevocationSettings = attrs.field(factory=RevocationSettings)
    relay: RelaySettings = attrs.field(factory=RelaySettings)
    memory_mb: float = 300.0
    max_held_mb: float | None = None
    max_backend_mb: float = 16.0
    log_lines_per_s: int = 400
    log_format: str = "json"

    @property
    def max_held_bytes(self) -> int:
        """Largest number of bytes of all requests and answers that the process holds."""
        held_mb = self.max_held_mb
        if held_mb is None:
            held_mb = max(MIN_HELD_MB, HELD_MEMORY_SHARE * (self.memory_mb - BASE_MEMORY_MB))
        return int(held_mb * BYTES_PER_MB)

    @property
    def max_backend_bytes(self) -> int:
        """Largest number of bytes of the requests in flight at one backend server."""
        return int(self.max_backend_mb * BYTES_PER_MB)

    @property
    def config_wait_s(self) -> float:
        """Seconds for which a read of the configuration waits for a new record.

        A connection that stops responding is detected after this time plus the store timeout.
        """
        return CONFIG_WAIT_SHARE * self.config_deadline_ms / MS_PER_S

    @property
    def backends_period_s(self) -> float:
        """Seconds between two reads of the list of backend servers.

        The period plus the store timeout is shorter than the deadline. The gateway polls the list
        because each backend server writes to it about once a second, so that a read that waits for
        a new record would return at once.
        """
        return BACKENDS_PERIOD_SHARE * self.departure_deadline_ms / MS_PER_S

    @property
    def gateways(self) -> int:
        """Largest number of gateway processes of the deployment."""
        return self.gateways_per_zone * max(1, len(self.regions))


@attrs.frozen
class PromptAgentSettings:
    """Settings of `figwalk-prompt-agent`.

    Attributes:
        process: Unique name of the process.
        zone: Availability zone.
        region: Region.
        peers: Listening address for gateways.
        engine: Address of the HTTP server of the engine beside the agent.
        engines: Prefill speeds of the engines.
        store: Address of the platform's store, which the agent reads for gateways, or None.
        store_timeout_s: Timeout of a call to the store, in seconds.
        log_lines_per_s: Largest number of log lines a second; a burst may add as many again.
        log_format: `json` or `console`.
    """

    process: str
    zone: str
    region: str
    peers: Address
    engine: Address
    engines: EngineSettings = attrs.field(factory=EngineSettings)
    store: Address | None = None
    store_timeout_s: float = 1.0
    log_lines_per_s: int = 400
    log_format: str = "json"
