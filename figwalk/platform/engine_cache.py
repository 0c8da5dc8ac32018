"""Asks the platform's engines what they keep of prompts and reads the answers."""

from __future__ import annotations

from http import HTTPStatus

from figwalk.coordination.kept_parts import CachedPart
from figwalk.errors import HttpError
from figwalk.platform import headers as names
from figwalk.platform.json_fields import JsonFields, PlatformRecordError
from figwalk.prompt_agent.cache_follower import CacheChanges, CacheListing, EngineCacheCodec
from figwalk.timer import MS_PER_S
from figwalk.transport import HttpRequest

_LIST_FIELDS = 4  # Empty text, id, tokens, model.
_EVENT_FIELDS = 6  # Number, + or -, empty text, id, tokens kept now, model.


class PlatformEngineCacheCodec(EngineCacheCodec):
    """Reads cache listings and events of an engine."""

    def encode_listing_request(self) -> HttpRequest:
        """Return the request for all that is kept."""
        return HttpRequest("GET", "/kv-list", [])

    def decode_listing(self, status: int, body: bytes) -> CacheListing:
        """Return what a listing says; see `EngineCacheCodec.decode_listing`."""
        try:
            fields = _parse(status, body)
            rows = fields.rows("held", _LIST_FIELDS)
            return CacheListing(
                fields.integer("epoch"),
                fields.integer("next"),
                tuple(_read_part(row[1], row[2]) for row in rows),
            )
        except PlatformRecordError as error:
            raise HttpError(str(error)) from error

    def encode_changes_request(self, number: int, wait_s: float) -> HttpRequest:
        """Return the request for changes; see `EngineCacheCodec.encode_changes_request`."""
        wait_ms = str(int(wait_s * MS_PER_S)).encode()
        return HttpRequest("GET", f"/kv-events?since={number}", [(names.WAIT_MS, wait_ms)])

    def decode_changes(self, status: int, body: bytes) -> CacheChanges:
        """Return what changes say; see `EngineCacheCodec.decode_changes`."""
        try:
            fields = _parse(status, body)
            rows = fields.rows("events", _EVENT_FIELDS)
            return CacheChanges(
                fields.integer("epoch"),
                fields.integer("next"),
                not fields.flag("lost", default=False),
                # A removal states what is left of the part.
                tuple(_read_part(row[3], row[4]) for row in rows),
            )
        except PlatformRecordError as error:
            raise HttpError(str(error)) from error


def _parse(status: int, body: bytes) -> JsonFields:
    if status != HTTPStatus.OK:
        raise HttpError(f"a question about the cache was answered with HTTP status {status}")
    return JsonFields.parse(body, "what an engine keeps")


def _read_part(part_id: object, tokens: object) -> CachedPart:
    if not isinstance(part_id, str) or isinstance(tokens, bool) or not isinstance(tokens, int):
        raise PlatformRecordError(f"{part_id!r} with {tokens!r} tokens is no part of a prompt")
    return CachedPart(part_id, max(0, tokens))
