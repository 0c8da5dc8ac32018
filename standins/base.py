"""Shared base of the stand-ins: options, HTTP server, faults, start-up line and shutdown.

Every stand-in answers `GET /healthz`, `GET /faults` (the present faults) and `POST /faults`, whose
JSON object changes the named faults and leaves the others as they are.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import sys
from abc import ABC, abstractmethod
from typing import Any
from urllib.parse import parse_qs

import attrs
import cattrs
import structlog
import trio

from figwalk.errors import CallerError
from figwalk.events import Event, EventLog
from figwalk.timer import Timer
from figwalk.transport import (
    Headers,
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpServer,
    Responder,
    render_error,
)

LOOPBACK = "127.0.0.1"
DEFAULT_GRACE_S = 5.0
PARENT_CHECK_S = 1.0
MAX_BODY_BYTES = 8 * 1024 * 1024
REQUEST_ID_HEADER = b"x-request-id"

_CONVERTER = cattrs.Converter(forbid_extra_keys=True, detailed_validation=False)


class FaultSwitch:
    """The faults in force.

    Args:
        values: attrs object with the faults.
    """

    def __init__(self, values: Any) -> None:
        self._values = values
        self._changed = trio.Event()

    @property
    def values(self) -> Any:
        """Attrs object with the faults."""
        return self._values

    @property
    def changed(self) -> trio.Event:
        """Event that the next `replace` sets."""
        return self._changed

    def replace(self, values: Any) -> None:
        """Put other faults in force."""
        self._values = values
        self._changed.set()
        self._changed = trio.Event()

    def use_up(self, fault: str) -> bool:
        """Return whether a counted fault applies to the present call, and count the call.

        Args:
            fault: Name of a fault whose value is the number of calls left; -1 is for all calls.
        """
        left = getattr(self._values, fault)
        if left > 0:
            self._values = attrs.evolve(self._values, **{fault: left - 1})
        return left != 0


class Standin(ABC):
    """One stand-in process.

    Args:
        faults: attrs object with the faults that `POST /faults` changes.
    """

    def __init__(self, faults: Any) -> None:
        self._switch = FaultSwitch(faults)
        self._stopping = trio.Event()

    @abstractmethod
    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a request; returning without an answer closes the connection."""

    async def run(self) -> None:
        """Do background work until cancelled."""
        await trio.sleep_forever()

    async def leave(self) -> None:
        """Serve on after SIGTERM until new requests may be refused; by default no longer."""
        await trio.lowlevel.checkpoint()

    def set_faults(self, faults: Any) -> None:
        """Put the faults of a `POST /faults` in force."""
        self._switch.replace(faults)

    @property
    def switch(self) -> FaultSwitch:
        """Holder of the faults, for the parts of the stand-in."""
        return self._switch

    @property
    def faults(self) -> Any:
        """Faults in force."""
        return self._switch.values

    def use_up(self, fault: str) -> bool:
        """Return whether a counted fault applies to the present call, and count the call."""
        return self._switch.use_up(fault)

    @property
    def stopping(self) -> trio.Event:
        """Set when the process has been told to stop; long waits end then."""
        return self._stopping

    async def answer(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a request; also a refusal of a malformed one echoes its id."""
        try:
            await self._dispatch(request, responder)
        except CallerError as error:
            body = render_error("invalid_request_error", error.code, error.message)
            await responder.send_json(error.status, body, echo_headers(request))

    async def _dispatch(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/healthz":
            await responder.send_json(200, {"status": "ok"}, echo_headers(request))
        elif request.path == "/faults":
            if request.method == "POST":
                self.set_faults(change_faults(self.faults, request.body))
            await responder.send_json(200, attrs.asdict(self.faults))
        else:
            await self.handle(request, responder)


def change_faults(faults: Any, body: bytes) -> Any:
    """Return the faults with those changed that the JSON object names.

    Raises:
        CallerError: The body is not a JSON object, or a fault or its value is unknown.
    """
    changes = read_json_object(body)
    known = sorted(field.name for field in attrs.fields(type(faults)))
    unknown = sorted(set(changes) - set(known))
    if unknown:
        raise CallerError(
            400, "unknown_fault", f"unknown faults {unknown}; known faults are {known}"
        )
    return structure({**attrs.asdict(faults), **changes}, type(faults))


def structure(content: object, cls: type) -> Any:
    """Return an attrs object from JSON values.

    Raises:
        CallerError: A key is missing or unknown, or a value has the wrong type.
    """
    try:
        return _CONVERTER.structure(content, cls)
    except (ValueError, TypeError, KeyError, cattrs.errors.ForbiddenExtraKeysError) as error:
        raise CallerError(400, "invalid_value", f"invalid {cls.__name__}: {error!r}") from error


def read_json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object of a request body.

    Raises:
        CallerError: The body is not a JSON object.
    """
    try:
        content = json.loads(body)
    except ValueError as error:
        raise CallerError(400, "invalid_json", f"the body is not JSON: {error}") from error
    if not isinstance(content, dict):
        raise CallerError(400, "invalid_json", "the body is not a JSON object")
    return content


def read_query_number(request: HttpRequest, name: str, default: int) -> int:
    """Return a whole number of the query.

    Raises:
        CallerError: The value is not a whole number of at least 0.
    """
    values = parse_qs(request.query).get(name)
    if not values:
        return default
    if not values[0].isdecimal():
        raise CallerError(400, "invalid_query", f"{name} is {values[0]!r}, not a whole number")
    return int(values[0])


def make_client(address: str) -> HttpClient:
    """Return a client of the server at HOST:PORT."""
    host, _, port = address.rpartition(":")
    return HttpClient(host, int(port))


def echo_headers(request: HttpRequest) -> Headers:
    """Return the header that names the request an answer belongs to, if the client sent one."""
    request_id = request.header(REQUEST_ID_HEADER)
    return [(REQUEST_ID_HEADER, request_id.encode("latin-1"))] if request_id else []


async def refuse_unknown_path(request: HttpRequest, responder: Responder) -> None:
    """Answer 404."""
    message = f"no such call: {request.method} {request.path}"
    body = render_error("invalid_request_error", "not_found", message)
    await responder.send_json(404, body, echo_headers(request))


def build_parser(module: str, description: str | None) -> argparse.ArgumentParser:
    """Return a parser with the options that all stand-ins share.

    Args:
        module: Name to run it by, for example `standins.log`.
        description: Documentation of the module.
    """
    parser = argparse.ArgumentParser(
        prog=f"python -m {module}",
        description=description,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--host", default=LOOPBACK, help="IP number to listen on")
    parser.add_argument("--port", type=int, default=0, help="TCP port; 0 lets the system choose")
    parser.add_argument("--name", default=module, help="process name in the log lines")
    parser.add_argument(
        "--exit-with-parent",
        action="store_true",
        help="end when the process that started this one has ended",
    )
    parser.add_argument(
        "--grace-s",
        type=float,
        default=DEFAULT_GRACE_S,
        help="seconds that running calls may take after SIGTERM",
    )
    return parser


def run_standin(standin: Standin, options: argparse.Namespace) -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    trio.run(_serve, standin, options)


async def _exit_with_parent(parent: int, scope: trio.CancelScope) -> None:
    while os.getppid() == parent:
        await trio.sleep(PARENT_CHECK_S)
    scope.cancel()


async def _serve(standin: Standin, options: argparse.Namespace) -> None:
    events = EventLog(options.name, Timer())
    server = HttpServer(standin.answer, events, limits=HttpLimits(max_body_bytes=MAX_BODY_BYTES))
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(standin.run)
            if options.exit_with_parent:
                nursery.start_soon(_exit_with_parent, os.getppid(), nursery.cancel_scope)
            port = await nursery.start(server.serve, options.host, options.port)
            events.record(Event.PROCESS_STARTED, host=options.host, port=port)
            print(f"listening http {options.host}:{port}", flush=True)
            await anext(signals)
            events.record(Event.PROCESS_STOPPING)
            standin.stopping.set()
            await standin.leave()
            with trio.move_on_after(options.grace_s) as grace:
                await server.drain()
            stopped = Event.PROCESS_STOP_CUT if grace.cancelled_caught else Event.PROCESS_STOPPED
            events.record(stopped)
            nursery.cancel_scope.cancel()
