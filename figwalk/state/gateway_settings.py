"""Settings of `figwalk-gateway` and `figwalk-prompt-agent`, read by `settings_file`."""

from __future__ import annotations

import attrs

from figwalk.protocol.messages import Role
from figwalk.state.settings import Address
from figwalk.timer import MS_PER_S

# Parts of a deadline after which the store is asked again; calls to the store are billed, while a
# read that fails has to be repeated once within the deadline.
CONFIG_WAIT_SHARE = 0.4
BACKENDS_PERIOD_SHARE = 0.28


@attrs.frozen
class RetrySettings:
    """Bound of repeated attempts, over all gateways.

    Attributes:
        ratio: Repeated attempts for each request in a window.
        window_s: Length of the window in seconds.
        slack: Repeated attempts beyond the ratio in a window.
    """

    ratio: float = 0.1
    window_s: float = 10.0
    slack: float = 20.0


@attrs.frozen
class EngineSettings:
    """Speeds of the deployment's engines, from the users' sheet.

    Attributes:
        prefill_tokens_per_s: Prompt tokens that an engine with the role prefill reads a second.
        decode_prefill_ratio: Speed of reading at an engine with the role decode against that.
    """

    prefill_tokens_per_s: float = 410_000.0
    decode_prefill_ratio: float = 0.44

    def prefill_rate(self, role: Role) -> float:
        """Return the prompt tokens that an engine of a role reads a second."""
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
        callers: Where callers' HTTP is served.
        health: Where the balancer's readiness checks are served.
        metrics: Where metrics are served as text.
        agents_port: Port at which the agents beside engines serve gateways, on the engines' VMs.
        store: The platform's store.
        store_timeout_s: Seconds after which a call to the store has failed.
        config_deadline_ms: Milliseconds within which a configuration has to be in force.
        departure_deadline_ms: Milliseconds within which a departure from the list of backend
            servers has to be followed.
        grace_s: Seconds from SIGTERM until the platform ends the process.
        max_connections: Open connections of callers.
        gateways_per_zone: Processes in each availability zone, added ones included, that share
            the retry budget's slack and the backend servers' connections.
        retry: Bound of repeated attempts.
        engines: Speeds of the engines.
        log_lines_per_s: Log lines written a second at the most, with bursts of as many more.
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
        """Seconds that a read of the configuration waits for a record.

        A connection that went silent is noticed after this and the timeout of a call.
        """
        return CONFIG_WAIT_SHARE * self.config_deadline_ms / MS_PER_S

    @property
    def backends_period_s(self) -> float:
        """Seconds between two reads of the list of backend servers.

        With the timeout of a call this stays below the deadline. Backend servers write about once a
        second each, so that waiting for a record would end at once.
        """
        return BACKENDS_PERIOD_SHARE * self.departure_deadline_ms / MS_PER_S

    @property
    def gateways(self) -> int:
        """Processes of the deployment, at the most."""
        return self.gateways_per_zone * max(1, len(self.regions))


@attrs.frozen
class PromptAgentSettings:
    """Settings of `figwalk-prompt-agent`.

    Attributes:
        process: Unique name of the process.
        zone: Availability zone.
        region: Region.
        peers: Where gateways connect.
        engine: Where the engine beside the agent serves HTTP.
        engines: Speeds of the engines.
        log_lines_per_s: Log lines written a second at the most, with bursts of as many more.
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
