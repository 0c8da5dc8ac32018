"""HTTP client of the agent for its backend server.

The agent is the only process of the system that sends requests to the backend server.
"""

from __future__ import annotations

import json
import secrets
from typing import Any, TypeVar

import attrs
import cattrs
import trio

from figwalk.errors import HttpError, HttpStatusError
from figwalk.protocol.messages import Call, Desired, Role
from figwalk.state.settings import BackendSettings
from figwalk.transport import (
    Headers,
    HttpClient,
    HttpExchange,
    HttpRequest,
    HttpResponse,
    strip_hop_by_hop,
)

CONTROL_TIMEOUT_S = 2.0
# Entries avoid an agent that has sent nothing for 1 s. An unresponsive backend server counts as
# down after the same time.
HEALTH_TIMEOUT_S = 1.0
REQUEST_ID_HEADER = b"x-request-id"
PRIORITY_HEADER = b"x-priority"
# The agent sets the first two itself. It could not split a compressed stream at event boundaries.
# The client never waits for 100 Continue.
_DROPPED_HEADERS = frozenset({REQUEST_ID_HEADER, PRIORITY_HEADER, b"accept-encoding", b"expect"})
# Load reports carry the names, and are sent several times a second.
MAX_NAME_CHARS = 1024
HTTP_OK = 200
HTTP_ACCEPTED = 202
_T = TypeVar("_T")
_CONVERTER = cattrs.Converter(forbid_extra_keys=False)


class ForeignAnswerError(HttpError):
    """The backend server's answer belongs to another request."""


def _check_name(_state: object, attribute: attrs.Attribute[str], name: str) -> None:
    """Check that a name can be sent in load reports; JSON strings need not have a UTF-8 form."""
    if len(name) > MAX_NAME_CHARS:
        raise ValueError(f"{attribute.name} is longer than {MAX_NAME_CHARS} characters")
    name.encode()


@attrs.frozen
class EngineState:
    """Body of `GET /state`."""

    role: Role
    state: str
    model: str = attrs.field(validator=_check_name)
    order: int
    incarnation: Any
    adapter: str = attrs.field(default="", validator=_check_name)
    version: str = attrs.field(default="", validator=_check_name)

    @property
    def ready(self) -> bool:
        """Whether no role change is in progress."""
        return self.state == "ready"


@attrs.frozen
class EngineLoad:
    """Body of `GET /load`."""

    age_ms: float
    running: int
    queued: int = 0
    queued_prompt_tokens: int = 0
    queued_output_tokens: int = 0
    max_running: int = 0
    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0
    prompt_tokens_total: int = 0
    generated_tokens_total: int = 0


@attrs.frozen
class CacheEvent:
    """One event in `CacheEvents`."""

    seq: int
    piece: int
    stored: bool


@attrs.frozen
class CacheEvents:
    """Response of an engine to `GET /cache/events?after=N`.

    Attributes:
        next: Value of `after` for the next request; a lower one than before means that the engine
            restarted.
        events: Events after N, in order.
    """

    next: int
    events: list[CacheEvent]


@attrs.frozen
class OrderAnswer:
    """Answer to `POST /orders`."""

    status: int
    busy: bool

    @property
    def accepted(self) -> bool:
        """Whether the engine accepted the order."""
        return self.status == HTTP_ACCEPTED


class BackendClient:
    """Sends calls and control requests to the backend server.

    Args:
        settings: Address and kind of the backend server.
    """

    def __init__(self, settings: BackendSettings) -> None:
        self._settings = settings
        self._calls = HttpClient(settings.address.host, settings.address.port)
        self._control = HttpClient(settings.address.host, settings.address.port)

    @property
    def is_engine(self) -> bool:
        """Whether the backend server is a model engine and not a plain service."""
        return self._settings.kind == "engine"

    def open_call(self, call: Call) -> HttpExchange:
        """Send a call; the returned exchange provides the response.

        Raises:
            HttpConnectError: Nothing was sent.
            HttpError: The exchange failed after sending had started.
        """
        headers = [
            header for header in strip_hop_by_hop(call.headers) if header[0] not in _DROPPED_HEADERS
        ]
        headers.append((REQUEST_ID_HEADER, render_call_id(call.call_id).encode()))
        headers.append((PRIORITY_HEADER, call.priority.encode()))
        return self._calls.open(HttpRequest(call.method, call.target, headers, call.body))

    async def cancel(self, call_id: int) -> None:
        """Ask the engine to stop a call.

        Errors are ignored: the connection of the call is closed in any case.
        """
        try:
            await self._fetch("DELETE", f"/requests/{render_call_id(call_id)}")
        except HttpError:
            return

    async def check_health(self) -> bool:
        """Return whether the backend server responds to its health check with status 200."""
        try:
            status, _ = await self._fetch("GET", "/healthz", timeout_s=HEALTH_TIMEOUT_S)
        except HttpError:
            return False
        return status == HTTP_OK

    async def read_state(self) -> EngineState:
        """Return the state of the engine, with its actual role and order number.

        Raises:
            HttpError: The request failed, or its response is invalid.
        """
        return await self._read("/state", EngineState)

    async def read_load(self) -> EngineLoad:
        """Return the load figures of the engine, which are some time old (`age_ms`).

        Raises:
            HttpError: The request failed, or its response is invalid.
        """
        return await self._read("/load", EngineLoad)

    async def read_cache_events(self, after: int) -> CacheEvents:
        """Return the cache events after a sequence number.

        Raises:
            HttpError: The request failed, or its response is invalid.
        """
        return await self._read(f"/cache/events?after={after}", CacheEvents)

    async def send_order(self, desired: Desired) -> OrderAnswer:
        """Send an order for a role; its log offset is its fencing number.

        Raises:
            HttpError: The response is lost; the engine may or may not apply the order.
        """
        content = {
            "order": desired.order_offset,
            "role": desired.role.value,
            "model": desired.model,
            "adapter": desired.adapter,
            "version": desired.version,
        }
        status, body = await self._fetch("POST", "/orders", json.dumps(content).encode())
        return OrderAnswer(status, b"busy" in body)

    def close(self) -> None:
        """Close all idle connections."""
        self._calls.close()
        self._control.close()

    async def _read(self, target: str, cls: type[_T]) -> _T:
        status, body = await self._fetch("GET", target)
        if status != HTTP_OK:
            raise HttpStatusError(status, body)
        try:
            return _CONVERTER.structure(json.loads(body), cls)
        except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
            raise HttpError(f"answer to {target} is not a {cls.__name__}: {error!r}") from error

    async def _fetch(
        self, method: str, target: str, body: bytes = b"", *, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> tuple[int, bytes]:
        request_id = secrets.token_hex(8)
        headers: Headers = [(REQUEST_ID_HEADER, request_id.encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
        request = HttpRequest(method, target, headers, body)
        with trio.move_on_after(timeout_s):
            async with self._control.open(request) as response:
                check_echo(response, request_id, required=False)
                return response.status, await response.read()
        raise HttpError(f"{method} {target} got no answer within {timeout_s} s")


def render_call_id(call_id: int) -> str:
    """Return a call id in the format of the header `X-Request-Id`."""
    return f"{call_id:016x}"


def check_echo(response: HttpResponse, request_id: str, *, required: bool = True) -> None:
    """Check that a response belongs to a request; an exception closes the connection.

    Args:
        response: Response whose body has not been read.
        request_id: Identifier that was sent with the request.
        required: Whether a response without identifier is rejected too.

    Raises:
        ForeignAnswerError: The response belongs to another request.
    """
    echo = response.header(REQUEST_ID_HEADER)
    if echo != request_id and (echo or required):
        raise ForeignAnswerError(f"the answer to {request_id} carries the id {echo!r}")
