"""The agent's access to its backend server; nothing else in the system talks to it."""

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
# Entries avoid an agent that is silent for 1 s, so a silent backend server counts as down then.
HEALTH_TIMEOUT_S = 1.0
REQUEST_ID_HEADER = b"x-request-id"
PRIORITY_HEADER = b"x-priority"
# The agent sets the first two itself; a compressed stream could not be cut at event bounds;
# the client never waits for 100 Continue.
_DROPPED_HEADERS = frozenset({REQUEST_ID_HEADER, PRIORITY_HEADER, b"accept-encoding", b"expect"})
HTTP_OK = 200
HTTP_ACCEPTED = 202
_T = TypeVar("_T")
_CONVERTER = cattrs.Converter(forbid_extra_keys=False)


class ForeignAnswerError(HttpError):
    """The backend server's answer belongs to another request."""


@attrs.frozen
class EngineState:
    """Body of `GET /state`."""

    role: Role
    state: str
    model: str
    order: int
    incarnation: Any
    adapter: str = ""
    version: str = ""

    @property
    def ready(self) -> bool:
        """Whether no change is under way."""
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
    """One element of `GET /cache/events`."""

    seq: int
    piece: int
    stored: bool


@attrs.frozen
class CacheEvents:
    """Body of `GET /cache/events`."""

    next: int
    events: list[CacheEvent]


@attrs.frozen
class OrderAnswer:
    """Answer to `POST /orders`."""

    status: int
    busy: bool

    @property
    def accepted(self) -> bool:
        """Whether the engine carries the order out."""
        return self.status == HTTP_ACCEPTED


class BackendClient:
    """Sends calls and control requests to the backend server.

    Args:
        settings: The backend server.
    """

    def __init__(self, settings: BackendSettings) -> None:
        self._settings = settings
        self._calls = HttpClient(settings.address.host, settings.address.port)
        self._control = HttpClient(settings.address.host, settings.address.port)

    @property
    def is_engine(self) -> bool:
        """Whether it is a model engine and not a plain service."""
        return self._settings.kind == "engine"

    def open_call(self, call: Call) -> HttpExchange:
        """Send a call and give its answer.

        Raises:
            HttpConnectError: Nothing was sent.
            HttpError: The exchange broke after sending began.
        """
        headers = [
            header for header in strip_hop_by_hop(call.headers) if header[0] not in _DROPPED_HEADERS
        ]
        headers.append((REQUEST_ID_HEADER, render_call_id(call.call_id).encode()))
        headers.append((PRIORITY_HEADER, call.priority.encode()))
        return self._calls.open(HttpRequest(call.method, call.target, headers, call.body))

    async def cancel(self, call_id: int) -> None:
        """Ask the engine to stop a call; failures are harmless because its connection is closed."""
        try:
            await self._fetch("DELETE", f"/requests/{render_call_id(call_id)}")
        except HttpError:
            return

    async def check_health(self) -> bool:
        """Return whether the backend server answers."""
        try:
            status, _ = await self._fetch("GET", "/healthz", timeout_s=HEALTH_TIMEOUT_S)
        except HttpError:
            return False
        return status == HTTP_OK

    async def read_state(self) -> EngineState:
        """Return the engine's real role and order number.

        Raises:
            HttpError: The engine does not give them.
        """
        return await self._read("/state", EngineState)

    async def read_load(self) -> EngineLoad:
        """Return the engine's lagging load figures.

        Raises:
            HttpError: The engine does not give them.
        """
        return await self._read("/load", EngineLoad)

    async def read_cache_events(self, after: int) -> CacheEvents:
        """Return the cache events after a sequence number.

        Raises:
            HttpError: The engine does not give them.
        """
        return await self._read(f"/cache/events?after={after}", CacheEvents)

    async def send_order(self, desired: Desired) -> OrderAnswer:
        """Order a role; the order's log offset is its fencing number.

        Raises:
            HttpError: The answer is lost; the engine may or may not carry the order out.
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
    """Return the form of a call id in `X-Request-Id`."""
    return f"{call_id:016x}"


def check_echo(response: HttpResponse, request_id: str, *, required: bool = True) -> None:
    """Check that an answer belongs to a request; raising closes the connection.

    Args:
        response: Answer whose body has not been read.
        request_id: Identifier that was sent with the request.
        required: Whether an answer without identifier is refused too.

    Raises:
        ForeignAnswerError: It belongs to another request.
    """
    echo = response.header(REQUEST_ID_HEADER)
    if echo != request_id and (echo or required):
        raise ForeignAnswerError(f"the answer to {request_id} carries the id {echo!r}")
