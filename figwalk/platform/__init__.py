"""Adapter to the users' platform: the only package that knows the platform's names.

It decodes the records, requests and responses of the platform, its operators, callers and backend
servers into figwalk's own types, and encodes what figwalk sends to them. It makes no routing
decisions and has no state.
"""

from figwalk.platform.backend_codec import PlatformBackendCodec
from figwalk.platform.backend_records import decode_backend
from figwalk.platform.caller_codec import PlatformCallerCodec
from figwalk.platform.duty_client import PlatformDutyClient
from figwalk.platform.engine_cache import PlatformEngineCacheCodec
from figwalk.platform.engine_orders import PlatformEngineOrders
from figwalk.platform.engine_report import PlatformEngineReportCodec
from figwalk.platform.routing_records import decode_routing
from figwalk.platform.store import (
    BACKENDS_TOPIC,
    CONFIG_COPY_TOPIC,
    CONFIG_KEY,
    CONFIG_TOPIC,
    CRASHES_TOPIC,
    DUTIES_TOPIC,
    USAGE_TOPIC,
    PlatformStore,
)

__all__ = [
    "BACKENDS_TOPIC",
    "CONFIG_COPY_TOPIC",
    "CONFIG_KEY",
    "CONFIG_TOPIC",
    "CRASHES_TOPIC",
    "DUTIES_TOPIC",
    "USAGE_TOPIC",
    "PlatformBackendCodec",
    "PlatformCallerCodec",
    "PlatformDutyClient",
    "PlatformEngineCacheCodec",
    "PlatformEngineOrders",
    "PlatformEngineReportCodec",
    "PlatformStore",
    "decode_backend",
    "decode_routing",
]
