"""Transport layer: frames between figwalk processes, and an HTTP client and server."""

from figwalk.transport.byte_budget import ByteBudget, ByteCharge
from figwalk.transport.frame_stream import Frame, FrameStream, FrameType
from figwalk.transport.http_client import (
    ConnectionOptions,
    HttpClient,
    HttpConnectError,
    HttpExchange,
    HttpResponse,
)
from figwalk.transport.http_server import HttpServer, render_error
from figwalk.transport.http_types import (
    Headers,
    HttpLimits,
    HttpRequest,
    find_header,
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
