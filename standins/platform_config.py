"""The operator's configuration as the users' platform carries it, for tests and stand-ins."""

from __future__ import annotations

CALLER_HOST = "calls.example"
_KINDS = {"idempotent": "safe", "non_repeatable": "unsafe", "stream": "streaming"}


def make_route(name: str, kind: str, service: str, **fields: object) -> dict[str, object]:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "hostname": CALLER_HOST,
        "path-prefix": f"/{name}/",
        "kind": _KINDS[kind],
        "timeout-ms": 2000,
        "target-latency-ms": 250,
        "priority": 0,
        "service": service,
        "max-attempts": 1,
    } | fields


def make_organisation(name: str, *keys: str, **fields: object) -> dict[str, object]:
    """Return an organisation of the operator's configuration, for the field `tenants`."""
    return {"name": name, "api-keys": list(keys)} | fields


def make_config(
    version: int = 1, routes: list[dict[str, object]] | None = None, **fields: object
) -> dict[str, object]:
    """Return the operator's configuration with a plain service and one with engines."""
    if routes is None:
        routes = [
            make_route("check", "idempotent", "orders", **{"max-attempts": 2}),
            make_route("order", "non_repeatable", "orders"),
            make_route("chat", "stream", "lm", sticky=True),
            make_route("long", "stream", "lm", sticky=True, resumable=True, **{"max-attempts": 2}),
        ]
    engine = {
        "slots": 8,
        "kv-tokens": 100_000,
        "kv-bytes": 1000,
        "link-mbps": 100_000.0,
        "handle-ttl-s": 5.0,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "orders", "health-path": "/healthz", "max-connections": 100},
            {"name": "lm", "health-path": "/healthz", "max-connections": 100, "engine": engine},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 100_000,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    } | fields
