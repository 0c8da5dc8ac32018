"""Settings of `figwalk-gateway` and `figwalk-prompt-agent`, which `settings_file` reads."""

from __future__ import annotations

import attrs

from figwalk.protocol.messages import Role
from figwalk.state.settings import Address
from figwalk.timer import MS_PER_S

# Fractions of a deadline after which the store is read again. Calls to the store are billed, so
# reads should be rare; but a read that fails has to be repeated once within the deadline.
CONFIG_WAIT_SHARE = 0.4
BACKENDS_PERIOD_SHARE = 0.28


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
    log_lines_per_s: int = 400
    log_format: str = "json"

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
        log_lines_per_s: Largest number of log lines a second; a burst may add as many again.
        log_format: `json` or `console`.
    """

    process: str
    zone: str
    region: str
    peers: Address
    engine: Address
    engines: EngineSettings = attrs.field(factory=EngineSettings)
    log_lines_per_s: int = 400
    log_format: str = "json"
