"""Transport layer: frames between figwalk processes, and an HTTP client and server."""

from figwalk.transport.byte_budget import ByteBudget, ByteCharge
from figwalk.transport.connection_pool import (
    ConnectionOptions,
    HttpConnectError,
    HttpConnectTimeoutError,
)
from figwalk.transport.frame_stream import Frame, FrameStream, FrameType
from figwalk.transport.http_client import HttpClient, HttpExchange, HttpResponse
from figwalk.transport.http_server import HttpServer
from figwalk.transport.http_types import (
    Headers,
    HttpLimits,
    HttpRequest,
    find_header,
    render_error,
    strip_hop_by_hop,
)
from figwalk.transport.responder import ClientDisconnectedError, Responder

__all__ = [
    "ByteBudget",
    "ByteCharge",
    "ClientDisconnectedError",
    "ConnectionOptions",
    "Frame",
    "FrameStream",
    "FrameType",
    "Headers",
    "HttpClient",
    "HttpConnectError",
    "HttpConnectTimeoutError",
    "HttpExchange",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "Responder",
    "find_header",
    "render_error",
    "strip_hop_by_hop",
]
