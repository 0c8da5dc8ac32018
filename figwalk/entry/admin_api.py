"""HTTP interface for operators, behind a bearer token."""

from __future__ import annotations

import hmac
import json
import urllib.parse
from collections.abc import Awaitable, Callable

import attrs

from figwalk.coordination.publisher import Publisher
from figwalk.entry.status import StatusReporter
from figwalk.entry.timeline import Timeline
from figwalk.errors import (
    CallerError,
    LogAnswerLostError,
    LogError,
    PublishConflictError,
    SettingsError,
)
from figwalk.events import Event, EventLog
from figwalk.protocol.records import Change
from figwalk.state.configuration import Configuration
from figwalk.transport import HttpRequest, Responder, render_error

ADMIN_PREFIX = "/admin/v1"
AUTHORIZATION_HEADER = b"authorization"
BEARER = "Bearer "
MAX_CHANGES = 1000

AdminHandler = Callable[[HttpRequest, Responder], Awaitable[None]]


class AdminApi:
    """Dispatches operators' requests by method and path.

    Args:
        token: Bearer token; must not be empty.
        configuration: Published configuration.
        publisher: Publishes changes.
        status: Renders the status of the fleet.
        timeline: Gathers the events of a request.
        events: Event log.
    """

    def __init__(
        self,
        token: str,
        configuration: Configuration,
        publisher: Publisher,
        status: StatusReporter,
        timeline: Timeline,
        events: EventLog,
    ) -> None:
        self._token = token.encode()
        self._configuration = configuration
        self._publisher = publisher
        self._status = status
        self._timeline = timeline
        self._events = events
        self._routes: dict[tuple[str, str], AdminHandler] = {
            ("GET", "/config"): self._get_config,
            ("POST", "/publish"): self._publish,
            ("GET", "/status"): self._get_status,
            ("GET", "/timeline"): self._get_timeline,
        }

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request.

        Raises:
            CallerError: The request is not valid, or has no valid token.
        """
        self._check_token(request)
        route = (request.method, request.path.removeprefix(ADMIN_PREFIX))
        handler = self._routes.get(route)
        if handler is None or not request.path.startswith(ADMIN_PREFIX):
            raise CallerError(404, "not_found", f"there is no {request.method} {request.path}")
        await handler(request, responder)

    def _check_token(self, request: HttpRequest) -> None:
        given = request.header(AUTHORIZATION_HEADER)
        token = given.removeprefix(BEARER).encode("latin-1") if given.startswith(BEARER) else b""
        if not hmac.compare_digest(token, self._token):
            raise CallerError(
                401, "unauthorized", "send the operator token as 'Authorization: Bearer TOKEN'"
            )

    async def _get_config(self, _request: HttpRequest, responder: Responder) -> None:
        entries = [attrs.asdict(entry) for entry in self._configuration.entries()]
        await responder.send_json(
            200, {"revision": self._configuration.revision, "entries": entries}
        )

    async def _publish(self, request: HttpRequest, responder: Responder) -> None:
        author, changes = _parse_publication(request.body)
        try:
            revision = await self._publisher.publish(changes, author=author)
        except PublishConflictError as error:
            body = render_error(
                "conflict_error",
                "conflict",
                str(error),
                path=error.path,
                revision=error.revision,
            )
            await responder.send_json(409, body)
        except SettingsError as error:
            body = render_error(
                "invalid_request_error", "invalid_configuration", str(error), faults=error.faults
            )
            self._events.record(Event.CONFIG_REJECTED, author=author, faults=len(error.faults))
            await responder.send_json(422, body)
        except LogAnswerLostError as error:
            # The log may have stored the publication. `log_unavailable` would make an operator
            # conclude that nothing changed.
            body = render_error("server_error", "publication_unknown", str(error))
            await responder.send_json(503, body, [(b"retry-after", b"2")])
        except LogError as error:
            body = render_error("server_error", "log_unavailable", str(error))
            await responder.send_json(503, body, [(b"retry-after", b"2")])
        else:
            await responder.send_json(200, {"revision": revision})

    async def _get_status(self, _request: HttpRequest, responder: Responder) -> None:
        await responder.send_json(200, self._status.render())

    async def _get_timeline(self, request: HttpRequest, responder: Responder) -> None:
        query = urllib.parse.parse_qs(request.query)
        request_id = query.get("request_id", [""])[0]
        records = await self._timeline.gather(request_id)
        await responder.send_json(200, {"events": [attrs.asdict(record) for record in records]})


def _parse_publication(data: bytes) -> tuple[str, list[Change]]:
    try:
        body = json.loads(data)
        author = body["author"]
        changes = [Change(item["path"], item["value"], item["base"]) for item in body["changes"]]
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise CallerError(
            400,
            "invalid_publication",
            'send {"author", "changes": [{"path", "value", "base"}]}; ' + repr(error),
        ) from error
    valid = isinstance(author, str) and all(
        isinstance(change.path, str) and type(change.base) is int for change in changes
    )
    if not valid or not 0 < len(changes) <= MAX_CHANGES:
        raise CallerError(
            400,
            "invalid_publication",
            f"author and path must be text, base a number, with 1 to {MAX_CHANGES} changes",
        )
    return author, changes
