"""Tests of how an agent tracks the prefix cache of the engine on its VM."""

import json
from contextlib import asynccontextmanager

import pytest
import trio
from support.platform_fakes import HOST, run_test

from figwalk.coordination.cached_parts import CachedParts
from figwalk.errors import HttpError
from figwalk.events import EventLog
from figwalk.platform import PlatformEngineCacheCodec
from figwalk.prompt_agent.cache_follower import CacheFollower
from figwalk.timer import Timer
from figwalk.transport import HttpClient, HttpServer

HEAD = (("head", 2500),)


class Engine:
    """An engine that reports its prefix cache."""

    def __init__(self):
        self.epoch = 7
        self.held = {"head": 2500}
        self.events = []
        self.lost = False
        self.broken = False
        self.listings = 0

    async def answer(self, request, responder):
        """Answer a request for the listing or for changes."""
        if self.broken:
            await responder.send(200, [], b"[]")
        elif request.path == "/kv-list":
            self.listings += 1
            held = [["", name, tokens, "m"] for name, tokens in self.held.items()]
            body = {"epoch": self.epoch, "next": len(self.events), "held": held}
            await responder.send_json(200, body)
        else:
            since = int(request.target.partition("since=")[2])
            await trio.sleep(0.01)
            body = {
                "epoch": self.epoch,
                "next": len(self.events),
                "lost": self.lost,
                "events": self.events[since:],
            }
            self.lost = False
            await responder.send_json(200, body)

    def change(self, name, tokens):
        """Cache a part, or evict it if no tokens are given."""
        sign = "+" if tokens else "-"
        self.events.append([len(self.events) + 1, sign, "", name, tokens, "m"])
        self.held[name] = tokens


@asynccontextmanager
async def following():
    """Run an engine and a `CacheFollower` that polls it."""
    engine, timer = Engine(), Timer()
    events = EventLog("test", timer)
    async with trio.open_nursery() as nursery:
        server = HttpServer(engine.answer, events)
        port = await nursery.start(server.serve, HOST, 0)
        parts = CachedParts(timer)
        client = HttpClient(HOST, port)
        follower = CacheFollower(client, PlatformEngineCacheCodec(), parts, events, timer)
        nursery.start_soon(follower.run)
        yield engine, parts
        nursery.cancel_scope.cancel()
    client.close()


async def wait_until(condition):
    """Wait for a condition; `run_test` bounds the time."""
    while not condition():
        await trio.sleep(0.01)


def test_listing_and_changes_are_followed():
    """Guards against an agent that misses parts its engine cached, fetched or evicted."""

    async def test():
        async with following() as (engine, parts):
            await wait_until(lambda: parts.cached_tokens(HEAD))
            engine.change("fetched", 4000)
            await wait_until(lambda: parts.cached_tokens((("fetched", 4000),)))
            engine.change("head", 0)
            await wait_until(lambda: not parts.cached_tokens(HEAD))
            assert engine.listings == 1

    run_test(test)


@pytest.mark.parametrize("how", ["lost", "restart"])
def test_missed_changes_are_recovered_by_a_listing(how):
    """Guards against a view of the cache that stays wrong after changes were missed."""

    async def test():
        async with following() as (engine, parts):
            await wait_until(lambda: parts.cached_tokens(HEAD))
            engine.held = {"other": 100}
            if how == "lost":
                engine.lost = True
            else:
                engine.epoch += 1
            await wait_until(lambda: parts.cached_tokens((("other", 100),)))
            assert not parts.cached_tokens(HEAD)

    run_test(test)


def test_engine_is_polled_again_after_a_malformed_response():
    """Guards against an agent that exits, or stops polling, after one malformed response."""

    async def test():
        async with following() as (engine, parts):
            await wait_until(lambda: parts.cached_tokens(HEAD))
            engine.broken = True
            await trio.sleep(0.4)
            engine.broken = False
            engine.change("head", 0)
            await wait_until(lambda: not parts.cached_tokens(HEAD))

    run_test(test)


@pytest.mark.parametrize(
    "content",
    [
        {"epoch": 1, "next": 2},
        {"epoch": 1, "next": 2, "held": [["", "a"]]},
        {"epoch": 1, "next": 2, "held": [["", 5, 1, "m"]]},
        {"epoch": 1, "next": 2, "held": [["", "a", "1", "m"]]},
        {"epoch": -1, "next": 2, "held": []},
        [],
    ],
)
def test_malformed_listing_is_an_http_error(content):
    """Guards against an agent that exits because of a malformed listing."""
    with pytest.raises(HttpError):
        PlatformEngineCacheCodec().decode_listing(200, json.dumps(content).encode())
    with pytest.raises(HttpError):
        PlatformEngineCacheCodec().decode_listing(429, b"{}")
