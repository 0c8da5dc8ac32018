"""Makes the calls of the duties to the platform's address."""

from __future__ import annotations

import json
from collections.abc import Mapping
from http import HTTPStatus

import trio

from figwalk.duties.duty import Authority, CallOutcome, CallResult, DutyClient
from figwalk.errors import FigwalkError, HttpError
from figwalk.platform import headers as names
from figwalk.platform.backend_codec import read_retry_after_s
from figwalk.state.settings import Address
from figwalk.transport import HttpRequest
from figwalk.transport.http_client import (
    ConnectionOptions,
    HttpClient,
    HttpConnectError,
    HttpResponse,
)

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Calls follow each other after seconds; a connection that was idle so long may be closed or cut.
IDLE_LIMIT_S = 1.0
MAX_ANSWER_BYTES = 64 * 1024


class _NoAuthorityError(FigwalkError):
    """The lease ended before the call was sent."""


class PlatformDutyClient(DutyClient):
    """Reports usage to the platform and orders backend servers from it.

    Args:
        address: The platform's address.
        holder: Name of this process's VM.
    """

    def __init__(self, address: Address, *, holder: str) -> None:
        options = ConnectionOptions(
            connect_timeout_s=CONNECT_TIMEOUT_S, max_idle=1, idle_limit_s=IDLE_LIMIT_S
        )
        self._client = HttpClient(address.host, address.port, options=options)
        self._holder = holder

    async def report_usage(
        self, window: int, counts: Mapping[str, int], authority: Authority
    ) -> CallOutcome:
        """Report the calls of each organisation; see `DutyClient.report_usage`."""
        return await self._call("/usage", {"window-id": window, "counts": dict(counts)}, authority)

    async def order_servers(
        self, service: str, zone: str, count: int, authority: Authority
    ) -> CallOutcome:
        """Order a number of backend servers; see `DutyClient.order_servers`."""
        content = {"service": service, "zone": zone, "desired-count": count}
        return await self._call("/scale", content, authority)

    async def _call(
        self, target: str, content: Mapping[str, object], authority: Authority
    ) -> CallOutcome:
        fence = authority.fence()
        headers = [
            (names.LEASE_HOLDER, self._holder.encode()),
            (names.FENCING_TOKEN, str(fence).encode()),
            (b"content-type", b"application/json"),
        ]
        request = HttpRequest("POST", target, headers, json.dumps(content).encode())
        outcome = await send_with_authority(self._client, request, fence, authority)
        if isinstance(outcome, CallOutcome):
            return outcome
        return _read_outcome(outcome.status, outcome.headers)


async def send_with_authority(
    client: HttpClient, request: HttpRequest, fence: int | None, authority: Authority
) -> HttpResponse | CallOutcome:
    """Send a request if this process holds the lease at that moment, and read its whole answer.

    Args:
        client: The receiver.
        request: The request, which bears the fencing token.
        fence: Fencing token in the request, or None if the lease was not held.
        authority: Tells whether it is still in force.

    Returns:
        The response, or the outcome of a call that got none.
    """
    if fence is None:
        return CallOutcome(CallResult.REFUSED, "the lease is not held")

    def check_authority() -> None:
        # After a pause of the process, the lease may have ended while it connected.
        if authority.fence() != fence:
            raise _NoAuthorityError("the lease ended before the call was sent")

    try:
        with trio.fail_after(min(CALL_TIMEOUT_S, authority.left_s())):
            async with client.open(request, before_send=check_authority) as response:
                await response.read(MAX_ANSWER_BYTES)
                return response
    except _NoAuthorityError as error:
        return CallOutcome(CallResult.REFUSED, error.message)
    except trio.TooSlowError:
        return CallOutcome(CallResult.UNKNOWN, "no answer in time")
    except HttpConnectError as error:
        return CallOutcome(CallResult.UNREACHABLE, error.message)
    except HttpError as error:
        return CallOutcome(CallResult.UNKNOWN, error.message)


def _read_outcome(status: int, headers: list[tuple[bytes, bytes]]) -> CallOutcome:
    if status == HTTPStatus.OK:
        return CallOutcome(CallResult.DONE)
    detail = f"HTTP status {status}"
    if status in (HTTPStatus.CONFLICT, HTTPStatus.PRECONDITION_FAILED):
        return CallOutcome(CallResult.FENCED, detail)
    # A 503 or 429 names no time, or one by which the call is repeated later.
    retry_after_s = read_retry_after_s(HTTPStatus.SERVICE_UNAVAILABLE, headers)
    return CallOutcome(CallResult.REFUSED, detail, retry_after_s)
