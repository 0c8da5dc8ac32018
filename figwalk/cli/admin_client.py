"""Client of the operator API of an entry."""

from __future__ import annotations

import json
from typing import Any, TypeVar
from urllib.parse import quote, urlsplit

import attrs
import cattrs
import trio

from figwalk.cli.errors import (
    AdminAnswerLostError,
    AdminError,
    AdminRefusedError,
    AdminTokenError,
    AdminUnavailableError,
    UsageError,
)
from figwalk.errors import FigwalkError, HttpError, PublishConflictError, SettingsError
from figwalk.events import EventRecord
from figwalk.protocol.records import Change, ConfigEntry
from figwalk.transport import HttpClient, HttpConnectError

T = TypeVar("T")

API_PREFIX = "/admin/v1"
# Longer than an entry waits for the log, so that its error response arrives before the timeout.
TIMEOUT_S = 15.0
UNKNOWN_PUBLICATION_CODE = "publication_unknown"
PUBLISH_AGAIN_REMEDY = "run the command again; it leaves out changes that are in effect already"

_CONVERTER = cattrs.Converter(detailed_validation=False)


@attrs.frozen
class ConfigView:
    """The configuration at a revision.

    Attributes:
        revision: Revision of the newest change.
        entries: All paths; a deleted path may be present with the value None.
    """

    revision: int
    entries: list[ConfigEntry]

    def find(self, path: str) -> ConfigEntry | None:
        """Return the entry of a path."""
        return next((entry for entry in self.entries if entry.path == path), None)

    def base(self, path: str) -> int:
        """Return the base revision for a change of a path, 0 if the path has no entry."""
        entry = self.find(path)
        return entry.revision if entry else 0

    def value(self, path: str) -> Any:
        """Return the JSON value of a path, None if there is none."""
        entry = self.find(path)
        return entry.value if entry else None


@attrs.frozen
class LeaseView:
    """The controller lease; holder and term are None while no process holds it."""

    holder: str | None = None
    term: int | None = None


@attrs.frozen
class BackendView:
    """A backend server as known to one entry; its load is None before the first report."""

    name: str
    service: str
    zone: str
    region: str
    state: str
    role: str | None = None
    running: int | None = None
    queued: int | None = None
    queue_wait_ms: float | None = None
    report_age_ms: float | None = None
    revision: int | None = None


@attrs.frozen
class GoodputView:
    """Number of answers of one entry, and of those that met their deadline."""

    answered: int = 0
    in_deadline: int = 0
    goodput_per_s: float = 0.0


@attrs.frozen
class RoleChangeView:
    """A role change ordered by the controller; `offset` is its position in the control stream."""

    backend: str
    role: str
    reason: str
    offset: int


@attrs.frozen
class StatusView:
    """State of the fleet as known to one entry."""

    process: str
    revision: int
    preset_in_force: str | None = None
    lease: LeaseView = attrs.field(factory=LeaseView)
    log_available: bool = True
    backends: list[BackendView] = attrs.field(factory=list)
    goodput: GoodputView = attrs.field(factory=GoodputView)
    refusals: dict[str, int] = attrs.field(factory=dict)
    role_changes: list[RoleChangeView] = attrs.field(factory=list)
    region_bytes: int = 0


@attrs.frozen
class _Published:
    revision: int


@attrs.frozen
class _Timeline:
    events: list[EventRecord]


class AdminClient:
    """Calls the operator API of one entry.

    Args:
        url: `http://HOST:PORT` of the operator API.
        token: Bearer token.
        timeout_s: Seconds that a call may take.

    Raises:
        UsageError: The URL is not valid.
    """

    def __init__(self, url: str, token: str, *, timeout_s: float = TIMEOUT_S) -> None:
        self._http = _open_client(url)
        self._token = token
        self._timeout_s = timeout_s

    async def fetch_config(self) -> ConfigView:
        """Return the whole configuration."""
        return await self._get("/config", ConfigView)

    async def fetch_status(self) -> StatusView:
        """Return the state of the fleet."""
        return await self._get("/status", StatusView)

    async def fetch_timeline(self, request_id: str) -> list[EventRecord]:
        """Return the events of a request in all processes, in causal order."""
        target = f"/timeline?request_id={quote(request_id, safe='')}"
        return (await self._get(target, _Timeline)).events

    async def publish(self, changes: list[Change], *, author: str) -> int:
        """Publish changes together and return their revision.

        Raises:
            PublishConflictError: Another publication changed one of the paths first.
            SettingsError: A value is not valid.
            AdminAnswerLostError: The publication may or may not be in effect.
            AdminError: The operator API refused the call or could not be reached.
        """
        content = {"author": author, "changes": _CONVERTER.unstructure(changes)}
        body = json.dumps(content).encode()
        try:
            result = await self._call("POST", "/publish", body)
        except (HttpError, trio.TooSlowError) as error:
            raise AdminAnswerLostError(
                f"{self._http.address} sent no answer to the publication: {_describe(error)}",
                remedy=PUBLISH_AGAIN_REMEDY,
            ) from error
        return self._structure(result, _Published).revision

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def _get(self, target: str, cls: type[T]) -> T:
        try:
            result = await self._call("GET", target)
        except (HttpError, trio.TooSlowError) as error:
            raise AdminUnavailableError(
                f"{self._http.address} sent no answer: {_describe(error)}",
                remedy="try again, or use --admin with another entry",
            ) from error
        return self._structure(result, cls)

    async def _call(self, method: str, target: str, body: bytes = b"") -> Any:
        """Send a request and return the JSON content of its response, which must have status 200.

        Raises:
            HttpError: The connection broke after the request was sent.
            trio.TooSlowError: No response arrived within the timeout.
            AdminError: The entry could not be reached or refused the call.
        """
        headers = [(b"authorization", b"Bearer " + self._token.encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
        try:
            with trio.fail_after(self._timeout_s):
                response, data = await self._http.fetch(
                    method, API_PREFIX + target, headers=headers, body=body
                )
        except HttpConnectError as error:
            raise AdminUnavailableError(
                error.message,
                remedy="check --admin, and that the entry runs with an admin token in its settings",
            ) from error
        content = _parse_json(data)
        if response.status != 200:
            raise _parse_error(response.status, content)
        return content

    def _structure(self, content: Any, cls: type[T]) -> T:
        try:
            return _CONVERTER.structure(content, cls)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            raise AdminError(
                f"the answer of {self._http.address} is not a valid {cls.__name__}: {error!r}",
                remedy="use the figwalk version that the entry runs",
            ) from error


def _open_client(url: str) -> HttpClient:
    remedy = "write --admin as http://HOST:PORT, for example http://127.0.0.1:8090"
    try:
        parts = urlsplit(url)
        port = parts.port
    except ValueError as error:
        raise UsageError(f"{url!r} is not a URL: {error}", remedy=remedy) from error
    if parts.scheme != "http" or not parts.hostname or not port:
        raise UsageError(f"{url!r} is not the URL of an operator API", remedy=remedy)
    return HttpClient(parts.hostname, port)


def _describe(error: BaseException) -> str:
    return "the request timed out" if isinstance(error, trio.TooSlowError) else str(error)


def _parse_json(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return None


def _parse_error(status: int, content: Any) -> FigwalkError:
    """Return the typed error for a response whose status is not 200."""
    error = content.get("error") if isinstance(content, dict) else None
    error = error if isinstance(error, dict) else {}
    code = str(error.get("code", f"http_{status}"))
    message = str(error.get("message", f"the entry answered with HTTP status {status}"))
    if status in (401, 403):
        return AdminTokenError(
            "the entry rejected the token",
            remedy="set FIGWALK_TOKEN or --token to the entry's admin_token",
        )
    if status == 409 and "path" in error and isinstance(error.get("revision"), int):
        return PublishConflictError(str(error["path"]), error["revision"])
    if status == 422 and error.get("faults"):
        return SettingsError([str(fault) for fault in error["faults"]])
    if code == UNKNOWN_PUBLICATION_CODE:
        return AdminAnswerLostError(message, remedy=PUBLISH_AGAIN_REMEDY)
    remedy = "try again later; nothing was published" if status == 503 else "correct the call"
    return AdminRefusedError(status, code, message, remedy=remedy)
