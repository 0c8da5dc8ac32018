"""Tests of how an agent follows what the engine beside it keeps."""

import json
from contextlib import asynccontextmanager

import pytest
import trio
from support.platform_fakes import HOST, run_test

from figwalk.coordination.kept_parts import KeptParts
from figwalk.errors import HttpError
from figwalk.events import EventLog
from figwalk.platform import PlatformEngineCacheCodec
from figwalk.prompt_agent.cache_follower import CacheFollower
from figwalk.timer import Timer
from figwalk.transport import HttpClient, HttpServer

HEAD = (("head", 2500),)


class Engine:
    """An engine that says what it keeps."""

    def __init__(self):
        self.epoch = 7
        self.held = {"head": 2500}
        self.events = []
        self.lost = False
        self.broken = False
        self.listings = 0

    async def answer(self, request, responder):
        """Answer a question about the cache."""
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
        """Begin or cease to keep a part."""
        sign = "+" if tokens else "-"
        self.events.append([len(self.events) + 1, sign, "", name, tokens, "m"])
        self.held[name] = tokens


@asynccontextmanager
async def following():
    """Run a follower of an engine."""
    engine, timer = Engine(), Timer()
    events = EventLog("test", timer)
    async with trio.open_nursery() as nursery:
        server = HttpServer(engine.answer, events)
        port = await nursery.start(server.serve, HOST, 0)
        parts = KeptParts(timer)
        client = HttpClient(HOST, port)
        follower = CacheFollower(client, PlatformEngineCacheCodec(), parts, events, timer)
        nursery.start_soon(follower.run)
        yield engine, parts
        nursery.cancel_scope.cancel()
    client.close()


async def wait_until(condition):
    """Wait for a condition; the test's own bound ends it."""
    while not condition():
        await trio.sleep(0.01)


def test_listing_and_changes_are_followed():
    """Guards against an agent that does not know what its engine kept, fetched or dropped."""

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
def test_gap_in_the_changes_is_closed_by_a_listing(how):
    """Guards against a belief that differs for ever from what the engine keeps."""

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


def test_engine_that_answers_nonsense_is_asked_again():
    """Guards against an agent that ends, or stops following, with one answer that it can't read."""

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
def test_listing_that_cannot_be_read_is_an_http_error(content):
    """Guards against an agent that ends because of a listing with odd content."""
    with pytest.raises(HttpError):
        PlatformEngineCacheCodec().decode_listing(200, json.dumps(content).encode())
    with pytest.raises(HttpError):
        PlatformEngineCacheCodec().decode_listing(429, b"{}")
