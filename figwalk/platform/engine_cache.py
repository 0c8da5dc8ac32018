"""Encodes requests for the prefix cache of the platform's engines and decodes the responses."""

from __future__ import annotations

from http import HTTPStatus

from figwalk.coordination.cached_parts import CachedPart
from figwalk.errors import HttpError
from figwalk.platform import headers as names
from figwalk.platform.json_fields import JsonFields, PlatformRecordError
from figwalk.prompt_agent.cache_follower import CacheChanges, CacheListing, EngineCacheCodec
from figwalk.timer import MS_PER_S
from figwalk.transport import HttpRequest

_LISTING_COLUMNS = 4  # Empty text, id, tokens, model.
_EVENT_COLUMNS = 6  # Number, + or -, empty text, id, tokens cached now, model.


class PlatformEngineCacheCodec(EngineCacheCodec):
    """Decodes the listings and change events of an engine's prefix cache."""

    def encode_listing_request(self) -> HttpRequest:
        """Return the request for all cached parts."""
        return HttpRequest("GET", "/kv-list", [])

    def decode_listing(self, status: int, body: bytes) -> CacheListing:
        """Decode a listing; see `EngineCacheCodec.decode_listing`."""
        try:
            fields = _parse(status, body)
            rows = fields.rows("held", _LISTING_COLUMNS)
            return CacheListing(
                fields.integer("epoch"),
                fields.integer("next"),
                tuple(_parse_part(row[1], row[2]) for row in rows),
            )
        except PlatformRecordError as error:
            raise HttpError(str(error)) from error

    def encode_changes_request(self, number: int, wait_s: float) -> HttpRequest:
        """Return the request for changes; see `EngineCacheCodec.encode_changes_request`."""
        wait_ms = str(int(wait_s * MS_PER_S)).encode()
        return HttpRequest("GET", f"/kv-events?since={number}", [(names.WAIT_MS, wait_ms)])

    def decode_changes(self, status: int, body: bytes) -> CacheChanges:
        """Decode change events; see `EngineCacheCodec.decode_changes`."""
        try:
            fields = _parse(status, body)
            rows = fields.rows("events", _EVENT_COLUMNS)
            return CacheChanges(
                fields.integer("epoch"),
                fields.integer("next"),
                not fields.flag("lost", default=False),
                # The event of a removal has the remaining tokens of the part.
                tuple(_parse_part(row[3], row[4]) for row in rows),
            )
        except PlatformRecordError as error:
            raise HttpError(str(error)) from error


def _parse(status: int, body: bytes) -> JsonFields:
    if status != HTTPStatus.OK:
        raise HttpError(f"request for the prefix cache was answered with HTTP status {status}")
    return JsonFields.parse(body, "prefix cache of an engine")


def _parse_part(part_id: object, tokens: object) -> CachedPart:
    if not isinstance(part_id, str) or isinstance(tokens, bool) or not isinstance(tokens, int):
        raise PlatformRecordError(f"{part_id!r} with {tokens!r} tokens is no valid prompt part")
    return CachedPart(part_id, max(0, tokens))
