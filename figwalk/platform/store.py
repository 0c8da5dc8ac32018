"""Client of the platform's store."""

from __future__ import annotations

import base64
import struct
from collections.abc import Mapping
from http import HTTPStatus
from urllib.parse import urlencode

import trio

from figwalk.coordination.compacted_log import (
    AppendedRecords,
    ConditionalLog,
    KeyedPage,
    KeyedRecord,
)
from figwalk.errors import (
    HttpError,
    LogConflictError,
    LogTruncatedError,
    LogUnavailableError,
)
from figwalk.platform import headers as names
from figwalk.platform.json_fields import JsonFields, PlatformRecordError, is_count
from figwalk.state.settings import Address
from figwalk.timer import MS_PER_S
from figwalk.transport import Headers, find_header
from figwalk.transport.http_client import ConnectionOptions, HttpClient

CONFIG_TOPIC = "keyed.op"
CONFIG_COPY_TOPIC = "keyed.figwalk-config"
CONFIG_KEY = "config"
BACKENDS_TOPIC = "keyed.servers"
CRASHES_TOPIC = "keyed.figwalk-crashes"
DUTIES_TOPIC = "keyed.figwalk-duties"
USAGE_TOPIC = "keyed.figwalk-usage"

_PARTITION = 0
_OFFSETS = struct.Struct("!QQ")
_LENGTH = struct.Struct("!I")
# Limit for a store whose listing never ends; a page has at most 500 keys.
_MAX_PAGES = 1000


class PlatformStore(ConditionalLog):
    """Reads and writes the keyed topics of the platform's store.

    Args:
        address: Address of the store.
        timeout_s: Seconds after which a call fails; the wait time of a read is added.
    """

    def __init__(self, address: Address, *, timeout_s: float) -> None:
        options = ConnectionOptions(connect_timeout_s=timeout_s, max_idle=2)
        self._client = HttpClient(address.host, address.port, options=options)
        self._timeout_s = timeout_s

    async def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key; see `CompactedLog.read_newest`."""
        records: list[KeyedRecord] = []
        end: int | None = None
        era: int | None = None
        query: dict[str, object] = {"topic": topic, "part": _PARTITION}
        for _ in range(_MAX_PAGES):
            _status, page_era, body = await self._get("/log-newest", query, 0.0)
            if records and page_era != era:
                raise LogUnavailableError(f"the store was restored while {topic!r} was listed")
            era = page_era
            try:
                fields = JsonFields.parse(body, f"newest records of {topic!r}")
                records += [_decode_item(item) for item in fields.items("items")]
                # Pages are not a snapshot: records after the end of the first page are read again.
                end = fields.integer("end") if end is None else end
                last_key = next((r.key for r in reversed(records) if r.key), None)
                if not fields.flag("truncated", default=False) or last_key is None:
                    return KeyedPage(end, tuple(records), era)
            except PlatformRecordError as error:
                raise LogUnavailableError(str(error)) from error
            query["after"] = last_key
        raise LogUnavailableError(f"listing {topic!r} did not end")

    async def read(self, topic: str, offset: int, *, wait_s: float = 0.0) -> KeyedPage:
        """Return the records from an offset; see `CompactedLog.read`."""
        query: dict[str, object] = {"topic": topic, "part": _PARTITION, "from": offset}
        if wait_s > 0:
            query["wait-ms"] = int(wait_s * MS_PER_S)
        status, era, body = await self._get("/log-read", query, wait_s)
        if status == HTTPStatus.GONE:
            raise LogTruncatedError(_decode_first_offset(body))
        return _decode_page(topic, offset, body, era)

    async def append(self, topic: str, records: Mapping[str, bytes | None]) -> None:
        """Append a record for each key; see `CompactedLogWriter.append`."""
        status, _, _ = await self._append({"topic": topic, "part": _PARTITION}, records)
        if status != HTTPStatus.OK:
            raise LogUnavailableError(f"/log-append was answered with HTTP status {status}")

    async def append_if_end(
        self, topic: str, end: int, records: Mapping[str, bytes | None]
    ) -> AppendedRecords:
        """Append records if a topic ends at an offset; see `ConditionalLog.append_if_end`."""
        query = {"topic": topic, "part": _PARTITION, "at": end}
        status, headers, body = await self._append(query, records)
        if status not in (HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED):
            raise LogUnavailableError(f"/log-append was answered with HTTP status {status}")
        try:
            fields = JsonFields.parse(body, "answer to an append")
            if status == HTTPStatus.PRECONDITION_FAILED:
                raise LogConflictError(fields.integer("end"))
            return AppendedRecords(
                fields.integer("offset"), fields.integer("end"), _parse_era(headers)
            )
        except PlatformRecordError as error:
            raise LogUnavailableError(str(error)) from error

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    async def _append(
        self, query: dict[str, object], records: Mapping[str, bytes | None]
    ) -> tuple[int, Headers, bytes]:
        body = b"".join(_encode_record(key, value) for key, value in records.items())
        return await self._call("POST", f"/log-append?{urlencode(query)}", body=body)

    async def _get(
        self, path: str, query: dict[str, object], wait_s: float
    ) -> tuple[int, int | None, bytes]:
        """Return the status, era and body of a response."""
        status, headers, body = await self._call("GET", f"{path}?{urlencode(query)}", wait_s=wait_s)
        if status not in (HTTPStatus.OK, HTTPStatus.GONE):
            raise LogUnavailableError(f"{path} was answered with HTTP status {status}")
        return status, _parse_era(headers), body

    async def _call(
        self, method: str, target: str, *, body: bytes = b"", wait_s: float = 0.0
    ) -> tuple[int, Headers, bytes]:
        try:
            with trio.fail_after(self._timeout_s + wait_s):
                response, content = await self._client.fetch(method, target, body=body)
        except (HttpError, trio.TooSlowError) as error:
            reason = "no answer in time" if isinstance(error, trio.TooSlowError) else error
            path = target.partition("?")[0]
            raise LogUnavailableError(f"{path} failed: {reason}") from error
        return response.status, response.headers, content


def _parse_era(headers: Headers) -> int | None:
    """Return the era in the headers of a response, or None if it is missing or malformed."""
    text = find_header(headers, names.STORE_ERA).strip()
    return int(text) if is_count(text) else None


def _decode_item(item: object) -> KeyedRecord:
    """Return the record of a listed item.

    Key and value are empty if they can't be read, so that one strange item does not hide the
    others; the reader of the topic reports and skips it.
    """
    key, offset, value = "", 0, b""
    try:
        fields = JsonFields(item, "listed item")
        key = fields.text("key")
        offset = fields.integer("offset")
        value = base64.b64decode(fields.text("value"), validate=True)
    except (PlatformRecordError, ValueError):
        return KeyedRecord(offset, key, b"")
    return KeyedRecord(offset, key, value)


def _decode_first_offset(body: bytes) -> int:
    try:
        return JsonFields.parse(body, "answer to a read").integer("first")
    except PlatformRecordError:
        return 0  # The offset is only logged; the newest records are read anyway.


def _decode_page(topic: str, offset: int, body: bytes, era: int | None) -> KeyedPage:
    if len(body) < _OFFSETS.size:
        raise LogUnavailableError(
            f"answer to a read of {topic!r} has {len(body)} bytes, fewer than the {_OFFSETS.size}"
            " of its header"
        )
    records = []
    position = _OFFSETS.size
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            break
        records.append(_decode_record(offset, body[position : position + length]))
        position += length
        offset += 1
    return KeyedPage(offset, tuple(records), era)


def _encode_record(key: str, value: bytes | None) -> bytes:
    name = key.encode()
    content = bytes([len(name)]) + name + (value or b"")
    return _LENGTH.pack(len(content)) + content


def _decode_record(offset: int, content: bytes) -> KeyedRecord:
    """Split a record into its key and value; the key is empty if the record is not keyed."""
    if not content or len(content) < 1 + content[0]:
        return KeyedRecord(offset, "", b"")
    end = 1 + content[0]
    return KeyedRecord(offset, content[1:end].decode("utf-8", "replace"), content[end:] or None)
