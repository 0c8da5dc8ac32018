"""Tracks which prompt parts are in the prefix cache of the engine on the agent's VM."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs
import trio

from figwalk.coordination.backoff import Backoff
from figwalk.coordination.cached_parts import CachedPart, CachedParts
from figwalk.errors import HttpError
from figwalk.events import Event, EventLog
from figwalk.timer import Timer
from figwalk.transport import HttpClient, HttpRequest

# Longest time for which an engine holds a request for changes until there are some.
LONG_POLL_S = 1.0
# Added to LONG_POLL_S; an engine on the same VM answers within a few milliseconds.
RESPONSE_TIMEOUT_S = 1.0
# Least time between the starts of two requests. Digests go to gateways up to ten times a second,
# but need no faster polling: from the grant of a prompt on, they also list its shared parts as
# expected, before the engine reports them as cached.
MIN_POLL_PERIOD_S = 0.25
# The engine never reports a few of the changes, so that the full listing is read periodically. A
# listing delays the engine's work and is billed.
LISTING_PERIOD_S = 30.0
# Listings have some hundred parts of 50 bytes each; a far longer one is of no use.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0


@attrs.frozen
class CacheListing:
    """All prompt parts in an engine's prefix cache.

    Attributes:
        epoch: Id that changes when the engine restarts.
        next_number: Number from which to request the changes after this listing.
        parts: Cached parts.
    """

    epoch: int
    next_number: int
    parts: tuple[CachedPart, ...]


@attrs.frozen
class CacheChanges:
    """Changes of an engine's prefix cache.

    Attributes:
        epoch: Id that changes when the engine restarts.
        next_number: Number from which to request the changes after these.
        complete: Whether no earlier change is missing.
        parts: Changed parts in order, with the tokens that are cached now.
    """

    epoch: int
    next_number: int
    complete: bool
    parts: tuple[CachedPart, ...]


class EngineCacheCodec(ABC):
    """Encodes requests for the state of an engine's prefix cache and decodes the responses."""

    @abstractmethod
    def encode_listing_request(self) -> HttpRequest:
        """Return the request for all cached parts."""

    @abstractmethod
    def decode_listing(self, status: int, body: bytes) -> CacheListing:
        """Decode a listing.

        Raises:
            HttpError: The listing is malformed, or the status is not 200.
        """

    @abstractmethod
    def encode_changes_request(self, number: int, wait_s: float) -> HttpRequest:
        """Return the request for changes from a number on.

        Args:
            number: `next_number` of the previous listing or changes.
            wait_s: Seconds for which the engine may hold the request until there are changes.
        """

    @abstractmethod
    def decode_changes(self, status: int, body: bytes) -> CacheChanges:
        """Decode the response to a request for changes.

        Raises:
            HttpError: The response is malformed, or the status is not 200.
        """


class CacheFollower:
    """Applies the listings and changes of an engine's prefix cache to the agent's `CachedParts`.

    Args:
        client: HTTP client of the engine.
        codec: Codec of the engine's listings and changes.
        parts: Cached parts to be updated.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self,
        client: HttpClient,
        codec: EngineCacheCodec,
        parts: CachedParts,
        events: EventLog,
        timer: Timer,
    ) -> None:
        self._client = client
        self._codec = codec
        self._parts = parts
        self._events = events
        self._timer = timer
        self._epoch = 0
        self._next_number: int | None = None
        self._next_listing_at = 0.0
        self._known = False

    async def run(self) -> None:
        """Poll the engine until cancelled; after a failure, back off and read a full listing."""
        backoff = Backoff(first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S)
        while True:
            started = self._timer.now()
            try:
                with trio.fail_after(LONG_POLL_S + RESPONSE_TIMEOUT_S):
                    await self._poll()
            except (HttpError, trio.TooSlowError) as error:
                self._set_known(known=False, detail=repr(error))
                self._next_number = None
                await trio.sleep(backoff.next_delay())
            else:
                self._set_known(known=True)
                backoff.reset()
                await trio.sleep(self._timer.left_s(started + MIN_POLL_PERIOD_S))

    async def _poll(self) -> None:
        if self._next_number is None or self._timer.now() >= self._next_listing_at:
            await self._reload()
            return
        request = self._codec.encode_changes_request(self._next_number, LONG_POLL_S)
        status, body = await self._fetch(request)
        changes = self._codec.decode_changes(status, body)
        if changes.epoch != self._epoch or not changes.complete:
            self._next_number = None
            return
        for part in changes.parts:
            self._parts.apply_report(part)
        self._next_number = changes.next_number

    async def _reload(self) -> None:
        status, body = await self._fetch(self._codec.encode_listing_request())
        listing = self._codec.decode_listing(status, body)
        self._parts.replace(listing.parts)
        self._epoch, self._next_number = listing.epoch, listing.next_number
        self._next_listing_at = self._timer.now() + LISTING_PERIOD_S

    async def _fetch(self, request: HttpRequest) -> tuple[int, bytes]:
        response, body = await self._client.fetch(
            request.method,
            request.target,
            headers=request.headers,
            max_bytes=MAX_RESPONSE_BYTES,
        )
        return response.status, body

    def _set_known(self, *, known: bool, detail: str = "") -> None:
        if known != self._known:
            self._known = known
            event = Event.CACHE_FOLLOWED if known else Event.CACHE_UNKNOWN
            self._events.record(event, epoch=self._epoch, next=self._next_number, detail=detail)
