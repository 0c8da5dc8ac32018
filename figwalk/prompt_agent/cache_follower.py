"""Follows which parts of prompts the engine beside the agent keeps."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs
import trio

from figwalk.coordination.backoff import Backoff
from figwalk.coordination.kept_parts import CachedPart, KeptParts
from figwalk.errors import HttpError
from figwalk.events import Event, EventLog
from figwalk.timer import Timer
from figwalk.transport import HttpClient, HttpRequest

# The longest time that an engine keeps a call for changes waiting.
WAIT_S = 1.0
# Beyond that; an engine on the same VM answers within a few milliseconds.
ANSWER_TIMEOUT_S = 1.0
# Least time between two answers. Gateways are told up to ten times a second; a part that is read
# for the first time is expected before the engine says so.
PERIOD_S = 0.25
# A few changes are never told. Listing all delays the engine's work and is billed.
LIST_PERIOD_S = 30.0
# Some hundred parts of 50 bytes each; an engine that keeps far more answers nothing useful.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0


@attrs.frozen
class CacheListing:
    """All that an engine keeps.

    Attributes:
        epoch: Changes when the engine starts anew.
        next_number: What to ask for the changes after it with.
        parts: Kept parts.
    """

    epoch: int
    next_number: int
    parts: tuple[CachedPart, ...]


@attrs.frozen
class CacheChanges:
    """What an engine keeps differently than before.

    Attributes:
        epoch: Changes when the engine starts anew.
        next_number: What to ask for the changes after them with.
        complete: Whether no change before them is missing.
        parts: Changed parts, with the tokens that are kept now, in order.
    """

    epoch: int
    next_number: int
    complete: bool
    parts: tuple[CachedPart, ...]


class EngineCacheCodec(ABC):
    """Asks what an engine keeps and reads the answers."""

    @abstractmethod
    def encode_listing_request(self) -> HttpRequest:
        """Return the request for all that is kept."""

    @abstractmethod
    def decode_listing(self, status: int, body: bytes) -> CacheListing:
        """Return what a listing says.

        Raises:
            HttpError: It can't be read.
        """

    @abstractmethod
    def encode_changes_request(self, number: int, wait_s: float) -> HttpRequest:
        """Return the request for changes from a number on, kept waiting until there are some."""

    @abstractmethod
    def decode_changes(self, status: int, body: bytes) -> CacheChanges:
        """Return what an answer to a request for changes says.

        Raises:
            HttpError: It can't be read.
        """


class CacheFollower:
    """Keeps the kept parts true to what the engine says.

    Args:
        client: The engine.
        codec: Its protocol.
        parts: Takes what it says.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self,
        client: HttpClient,
        codec: EngineCacheCodec,
        parts: KeptParts,
        events: EventLog,
        timer: Timer,
    ) -> None:
        self._client = client
        self._codec = codec
        self._parts = parts
        self._events = events
        self._timer = timer
        self._epoch = 0
        self._next: int | None = None
        self._list_at = 0.0
        self._known = False

    async def run(self) -> None:
        """Follow the engine until cancelled."""
        backoff = Backoff(first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S)
        while True:
            started = self._timer.now()
            try:
                with trio.fail_after(WAIT_S + ANSWER_TIMEOUT_S):
                    await self._step()
            except (HttpError, trio.TooSlowError) as error:
                self._note_known(known=False, detail=repr(error))
                self._next = None
                await trio.sleep(backoff.next_delay())
            else:
                self._note_known(known=True)
                backoff.reset()
                await trio.sleep(self._timer.left_s(started + PERIOD_S))

    async def _step(self) -> None:
        if self._next is None or self._timer.now() >= self._list_at:
            await self._list()
            return
        request = self._codec.encode_changes_request(self._next, WAIT_S)
        status, body = await self._fetch(request)
        changes = self._codec.decode_changes(status, body)
        if changes.epoch != self._epoch or not changes.complete:
            self._next = None
            return
        for part in changes.parts:
            self._parts.confirm(part)
        self._next = changes.next_number

    async def _list(self) -> None:
        status, body = await self._fetch(self._codec.encode_listing_request())
        listing = self._codec.decode_listing(status, body)
        self._parts.replace(listing.parts)
        self._epoch, self._next = listing.epoch, listing.next_number
        self._list_at = self._timer.now() + LIST_PERIOD_S

    async def _fetch(self, request: HttpRequest) -> tuple[int, bytes]:
        response, body = await self._client.fetch(
            request.method,
            request.target,
            headers=request.headers,
            max_bytes=MAX_ANSWER_BYTES,
        )
        return response.status, body

    def _note_known(self, *, known: bool, detail: str = "") -> None:
        if known != self._known:
            self._known = known
            event = Event.CACHE_FOLLOWED if known else Event.CACHE_UNKNOWN
            self._events.record(event, epoch=self._epoch, next=self._next, detail=detail)
