"""Decodes the record with the operator's routing configuration."""

from __future__ import annotations

import math

from figwalk.platform.json_fields import JsonFields, PlatformRecordError
from figwalk.state.organisation_keys import digest_key
from figwalk.state.routing import (
    Autoscaling,
    CallerLimits,
    CallKind,
    EngineSpec,
    Organisation,
    Route,
    RoutingConfig,
    ServiceSpec,
    WeightedService,
)
from figwalk.timer import MS_PER_S

_KINDS = {
    "safe": CallKind.IDEMPOTENT,
    "unsafe": CallKind.NON_REPEATABLE,
    "streaming": CallKind.STREAM,
}
# Latency objective of routes that state none. It is meant to exceed their timeouts, so that every
# answer within its deadline meets it.
_DEFAULT_TARGET_MS = 60_000.0
_DEFAULT_HANDLE_TTL_S = 5.0
_DEFAULT_SWITCH_S = 3.0
# Callers abandon a stream after a gap, also before its first event, of two seconds, four times the
# latency objective or eight times `gap-aim-ms`, whichever is longest.
_MIN_FIRST_EVENT_TIMEOUT_S = 2.0
_TIMEOUT_PER_TARGET = 4.0
_TIMEOUT_PER_GAP = 8.0


def decode_routing(data: bytes) -> RoutingConfig:
    """Decode the value of the configuration record.

    Raises:
        PlatformRecordError: The value is not a valid configuration.
    """
    fields = JsonFields.parse(data, "configuration")
    services = [_decode_service(item) for item in fields.objects("services")]
    return RoutingConfig(
        fields.integer("version"),
        tuple(_decode_route(item) for item in fields.objects("routes")),
        {service.name: service for service in services},
        _decode_limits(fields.object("limits")),
        _decode_organisations(fields),
    )


def _decode_route(fields: JsonFields) -> Route:
    kind = fields.text("kind")
    if kind not in _KINDS:
        raise PlatformRecordError(f"route kind {kind!r} is not known")
    target_s = fields.number("target-latency-ms", _DEFAULT_TARGET_MS) / MS_PER_S
    gap_s = fields.number("gap-aim-ms", 0.0) / MS_PER_S
    return Route(
        name=fields.text("name"),
        host=fields.text("hostname").lower(),
        path_prefix=fields.text("path-prefix"),
        kind=_KINDS[kind],
        services=_decode_shares(fields),
        timeout_s=fields.number("timeout-ms") / MS_PER_S,
        target_s=target_s,
        max_backends=max(1, fields.integer("max-attempts", 1)),
        priority=fields.integer("priority", 0),
        # `sticky` marks routes whose requests name a model and the parts of their prompt.
        is_model_call=fields.flag("sticky", default=False),
        resumable=fields.flag("resumable", default=False),
        first_event_timeout_s=max(
            _MIN_FIRST_EVENT_TIMEOUT_S, _TIMEOUT_PER_TARGET * target_s, _TIMEOUT_PER_GAP * gap_s
        ),
        is_public=fields.flag("public", default=False),
        gap_s=gap_s if gap_s > 0 else math.inf,
    )


def _decode_shares(fields: JsonFields) -> tuple[WeightedService, ...]:
    if not fields.has("traffic-split"):
        return (WeightedService(fields.text("service"), 1.0),)
    shares = tuple(
        WeightedService(item.text("service"), item.number("weight"))
        for item in fields.objects("traffic-split")
    )
    if not shares:
        raise PlatformRecordError("a traffic split has no services")
    return shares


def _decode_service(fields: JsonFields) -> ServiceSpec:
    engine = _decode_engine(fields.object("engine")) if fields.has("engine") else None
    autoscaling = _decode_autoscaling(fields) if fields.has("autoscaling") else None
    return ServiceSpec(fields.text("name"), fields.integer("max-connections"), engine, autoscaling)


def _decode_autoscaling(fields: JsonFields) -> Autoscaling:
    bounds = fields.object("autoscaling")
    return Autoscaling(bounds.integer("min"), bounds.integer("max"), bounds.number("boot-s", 0.0))


def _decode_engine(fields: JsonFields) -> EngineSpec:
    return EngineSpec(
        slots=fields.integer("slots"),
        kv_tokens=fields.integer("kv-tokens"),
        kv_bytes_per_token=fields.number("kv-bytes"),
        link_mbps=fields.number("link-mbps"),
        handle_ttl_s=fields.number("handle-ttl-s", _DEFAULT_HANDLE_TTL_S),
        switch_s=fields.number("switch-s", _DEFAULT_SWITCH_S),
    )


def _decode_limits(fields: JsonFields) -> CallerLimits:
    return CallerLimits(
        fields.integer("max-header-bytes"),
        fields.integer("max-body-bytes"),
        # The platform limits the time for the headers; figwalk, that for the whole request.
        fields.number("header-timeout-ms") / MS_PER_S,
        fields.number("idle-timeout-ms") / MS_PER_S,
    )


def _decode_organisations(fields: JsonFields) -> tuple[Organisation, ...] | None:
    if not fields.has("tenants"):
        return None
    return tuple(_decode_organisation(item) for item in fields.objects("tenants"))


def _decode_organisation(fields: JsonFields) -> Organisation:
    keys = fields.items("api-keys")
    if not all(isinstance(key, str) for key in keys):
        raise PlatformRecordError("a key of an organisation is not text")
    return Organisation(
        fields.token("name"),
        fields.integer("priority") if fields.has("priority") else None,
        frozenset(digest_key(str(key)) for key in keys),
    )
