"""Reads the roles of the platform's engines and orders changes."""

from __future__ import annotations

import json
from http import HTTPStatus

import trio

from figwalk.duties.duty import Authority, CallOutcome, CallResult
from figwalk.duties.role_duty import EngineOrders, EngineRoleState
from figwalk.errors import HttpError
from figwalk.platform import headers as names
from figwalk.platform.duty_client import send_with_authority
from figwalk.platform.engine_report import ROLES
from figwalk.platform.json_fields import JsonFields, PlatformRecordError
from figwalk.protocol.messages import Role
from figwalk.state.backend_directory import BackendEntry
from figwalk.transport import HttpRequest
from figwalk.transport.http_client import ConnectionOptions, HttpClient

REPORT_TIMEOUT_S = 0.5
MAX_REPORT_BYTES = 256 * 1024
_STAGES = {role: stage for stage, role in ROLES.items()}
_REFUSALS: dict[int, str] = {
    HTTPStatus.CONFLICT: "another order is in progress, or another one came first",
    HTTPStatus.MISDIRECTED_REQUEST: "another instance has the address",
}


class PlatformEngineOrders(EngineOrders):
    """Reads and orders the roles of engines.

    Args:
        holder: Name of this process's VM.
    """

    def __init__(self, *, holder: str) -> None:
        self._holder = holder

    async def read_state(self, engine: BackendEntry) -> EngineRoleState | None:
        """Return the state of an engine's role; see `EngineOrders.read_state`."""
        client = _make_client(engine)
        try:
            with trio.fail_after(REPORT_TIMEOUT_S):
                headers = [(names.EXPECTED_BACKEND, engine.backend.encode())]
                response, body = await client.fetch(
                    "GET", "/report", headers=headers, max_bytes=MAX_REPORT_BYTES
                )
            if response.status != HTTPStatus.OK:
                return None
            fields = JsonFields.parse(body, "report of an engine")
            return EngineRoleState(
                ROLES.get(fields.text("stage"), Role.MIXED),
                fields.flag("busy"),
                fields.integer("sequence"),
            )
        except (HttpError, PlatformRecordError, trio.TooSlowError):
            return None  # Another engine is ordered; calls show what is wrong with this one.
        finally:
            client.close()

    async def order_role(
        self, engine: BackendEntry, role: Role, sequence: int, authority: Authority
    ) -> CallOutcome:
        """Order a role; see `EngineOrders.order_role`."""
        fence = authority.fence()
        content = {
            "operation": "stage",
            "stage": _STAGES[role],
            "holder": self._holder,
            "fencing-token": fence,
            "precondition": sequence,
        }
        headers = [
            (names.EXPECTED_BACKEND, engine.backend.encode()),
            (b"content-type", b"application/json"),
        ]
        request = HttpRequest("POST", "/order", headers, json.dumps(content).encode())
        client = _make_client(engine)
        try:
            outcome = await send_with_authority(client, request, fence, authority)
        finally:
            client.close()
        if isinstance(outcome, CallOutcome):
            return outcome
        if outcome.status in (HTTPStatus.OK, HTTPStatus.ACCEPTED):
            return CallOutcome(CallResult.DONE)
        if outcome.status == HTTPStatus.PRECONDITION_FAILED:
            return CallOutcome(CallResult.FENCED, "a higher fencing token was seen")
        detail = _REFUSALS.get(outcome.status, "")
        return CallOutcome(CallResult.REFUSED, f"HTTP status {outcome.status}; {detail}")


def _make_client(engine: BackendEntry) -> HttpClient:
    options = ConnectionOptions(connect_timeout_s=REPORT_TIMEOUT_S, max_idle=0)
    return HttpClient(engine.address.host, engine.address.port, options=options)
