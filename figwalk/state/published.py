"""Classes of published configuration values, one for each kind of path.

Paths: `presets/<name>`, `preset_in_force`, `services/<name>`, `organisations/<name>`,
`withdrawn/<backend>`, `limits`.
"""

from __future__ import annotations

import attrs

PRESETS_PREFIX = "presets/"
PRESET_IN_FORCE_PATH = "preset_in_force"
SERVICES_PREFIX = "services/"
ORGANISATIONS_PREFIX = "organisations/"
WITHDRAWN_PREFIX = "withdrawn/"
LIMITS_PATH = "limits"

MAX_KEY_MEMORY_S = 31_536_000  # One year.


@attrs.frozen
class CallRule:
    """Rule that selects calls of a plain service that may not be repeated.

    Attributes:
        method: HTTP method.
        path: Path below the service, starting with a slash; a trailing `*` matches any rest.
    """

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule applies to a call."""
        if method != self.method:
            return False
        if self.path.endswith("*"):
            return path.startswith(self.path[:-1])
        return path == self.path


@attrs.frozen
class ServiceConfig:
    """Value of `services/<name>`.

    Attributes:
        kind: `model` or `plain`.
        models: Model names served, for kind `model`.
        non_repeatable: Calls that need an idempotency key, for kind `plain`.
        timeout_s: Seconds that a call may take if the caller gives no deadline.
        first_token_s: Seconds within which an interactive stream must start; a call that cannot
            meet this is refused at once.
        max_output_tokens: Largest `max_tokens` accepted.
        max_prompt_tokens: Largest prompt accepted, in tokens.
    """

    kind: str
    models: list[str] = attrs.field(factory=list)
    non_repeatable: list[CallRule] = attrs.field(factory=list)
    timeout_s: float = 60.0
    first_token_s: float = 1.7
    max_output_tokens: int = 4096
    max_prompt_tokens: int = 131072

    def needs_key(self, method: str, path: str) -> bool:
        """Return whether a call needs an idempotency key because it may not be repeated."""
        return any(rule.matches(method, path) for rule in self.non_repeatable)


@attrs.frozen
class Preset:
    """Value of `presets/<name>`.

    Attributes:
        description: Text for operators.
        role_change_weight: Weight of an engine second lost to a role change, relative to a second
            of useful engine time; above 1 the controller changes roles less often.
        role_policy: Name of the role policy: `adaptive`, `threshold` or `fixed`.
        routing_policy: Name of the routing policy: `predicted`, `least_load` or `round_robin`.
        region_penalty_ms: Milliseconds that routing adds to the cost of a call to another region.
        retry_ratio: Retries allowed for each first attempt, 0 to 1.
        min_dwell_s: Shortest time between two role changes of an engine, in seconds.
    """

    description: str = ""
    role_change_weight: float = 1.0
    role_policy: str = "adaptive"
    routing_policy: str = "predicted"
    region_penalty_ms: float = 50.0
    retry_ratio: float = 0.1
    min_dwell_s: float = 30.0


@attrs.frozen
class OrganisationConfig:
    """Value of `organisations/<name>`.

    Attributes:
        share: Weight of the organisation relative to the others when calls are queued.
    """

    share: float = 1.0


@attrs.frozen
class Limits:
    """Value of `limits`.

    Attributes:
        key_memory_s: Seconds for which an idempotency key is stored.
    """

    key_memory_s: float = 86400.0
