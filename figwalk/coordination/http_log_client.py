"""HTTP client of the platform's log service."""

from __future__ import annotations

import base64
import json
from http import HTTPStatus
from typing import Any

import trio

from figwalk.coordination.log_client import LogClient, LogPage, StoredRecord
from figwalk.errors import (
    HttpError,
    LogAnswerLostError,
    LogRateLimitedError,
    LogTruncatedError,
    LogUnavailableError,
)
from figwalk.state.settings import Address
from figwalk.timer import MS_PER_S
from figwalk.transport.http_client import HttpClient, HttpConnectError

RECORD_ID_HEADER = b"x-record-id"


class HttpLogClient(LogClient):
    """Appends to and reads from the log service.

    Args:
        address: Address of the log service.
        timeout_s: Seconds after which a call fails; a read may take longer by its wait time.
    """

    def __init__(self, address: Address, *, timeout_s: float = 2.0) -> None:
        self._client = HttpClient(address.host, address.port)
        self._timeout_s = timeout_s

    async def append(self, stream: str, record_id: str, data: bytes) -> int:
        """Append a record and return its offset; see `LogClient.append`."""
        headers = [(RECORD_ID_HEADER, record_id.encode())]
        try:
            with trio.fail_after(self._timeout_s):
                response, body = await self._client.fetch(
                    "POST", f"/streams/{stream}/records", headers=headers, body=data
                )
        except HttpConnectError as error:
            raise LogUnavailableError(error.message) from error
        except (HttpError, trio.TooSlowError) as error:
            raise LogAnswerLostError(f"no answer to append {record_id!r}: {error}") from error
        self._check_append_status(response.status, body)
        return _parse_offset(body)

    async def read(
        self, stream: str, offset: int, *, max_records: int = 500, wait_ms: int = 0
    ) -> LogPage:
        """Read records from an offset; see `LogClient.read`."""
        target = f"/streams/{stream}/records?from={offset}&max={max_records}&wait_ms={wait_ms}"
        try:
            with trio.fail_after(self._timeout_s + wait_ms / MS_PER_S):
                response, body = await self._client.fetch("GET", target)
        except (HttpError, trio.TooSlowError) as error:
            raise LogUnavailableError(f"no answer to read of {stream!r}: {error}") from error
        if response.status != HTTPStatus.OK:
            raise LogUnavailableError(_describe(response.status, body))
        page = _parse_page(body)
        if page.oldest > offset:
            raise LogTruncatedError(page.oldest)
        return page

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    @staticmethod
    def _check_append_status(status: int, body: bytes) -> None:
        if HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
            return
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            raise LogRateLimitedError(_describe(status, body))
        # The log sends 503 or a status from 300 to 499 only if it has not written the record. Any
        # other 5xx may come from a proxy that lost the log's response.
        if status == HTTPStatus.SERVICE_UNAVAILABLE or status < HTTPStatus.INTERNAL_SERVER_ERROR:
            raise LogUnavailableError(_describe(status, body))
        raise LogAnswerLostError(_describe(status, body))


def _describe(status: int, body: bytes) -> str:
    return f"log answered HTTP status {status}: {body[:200].decode('utf-8', 'replace')}"


def _parse_offset(body: bytes) -> int:
    try:
        return int(json.loads(body)["offset"])
    except (ValueError, KeyError, TypeError) as error:
        raise LogAnswerLostError(f"append answer can't be read: {error!r}") from error


def _parse_page(body: bytes) -> LogPage:
    try:
        content = json.loads(body)
        records = tuple(_parse_record(item) for item in content["records"])
        return LogPage(int(content["oldest"]), int(content["head"]), records)
    except (ValueError, KeyError, TypeError) as error:
        raise LogUnavailableError(f"read answer can't be read: {error!r}") from error


def _parse_record(item: dict[str, Any]) -> StoredRecord:
    data = base64.b64decode(item["data"], validate=True)
    return StoredRecord(int(item["offset"]), int(item["time_ms"]), str(item["record_id"]), data)
