"""Tests of how calls share the connections to one server in bursts."""

import math
from types import SimpleNamespace

import pytest
import trio
from support.fake_timer import FakeTimer
from support.mock_time import mock_time
from test_backend_tracker import make_tracker

from figwalk.coordination.backend_tracker import AttemptOutcome
from figwalk.events import EventLog
from figwalk.timer import Timer
from figwalk.transport import HttpClient, HttpServer
from figwalk.transport.connection_pool import (
    ConnectionOptions,
    ConnectionPool,
    HttpConnectError,
    HttpConnectTimeoutError,
)

OPTIONS = ConnectionOptions(connect_timeout_s=0.3, max_opening=2)


class Server:
    """A server that accepts one connection after the other, or refuses them all."""

    def __init__(self, accept_s=0.05, error=None, gateways=1):
        self.accept_s = accept_s
        self.error = error
        self.accepting = trio.Lock()
        self.pools = [ConnectionPool(self.open, "server", OPTIONS) for _ in range(gateways)]
        self.pool = self.pools[0]

    async def open(self):
        """Open a connection."""
        async with self.accepting:
            await trio.sleep(self.accept_s)
        if self.error:
            raise self.error
        return SimpleNamespace(usable=lambda *_limits: True)

    async def call(self, pool=None):
        """Use a connection for 30 ms."""
        pool = pool or self.pool
        connection = await pool.check_out()
        await trio.sleep(0.03)
        pool.check_in(connection)


@mock_time
async def test_burst_of_all_gateways_opens_connections_in_time():
    """Guards against a burst of connections that makes a server time out, though it works.

    Load: 25 gateways with 16 calls of 30 ms each at once, without idle connections; the server
    accepts one connection a millisecond, 300 within the time for which calls wait.
    """
    server = Server(accept_s=0.001, gateways=25)
    async with trio.open_nursery() as nursery:
        for pool in (pool for pool in server.pools for _ in range(16)):
            nursery.start_soon(server.call, pool)
    assert sum(pool.opened for pool in server.pools) < 250
    assert trio.current_time() < 0.25


@mock_time
async def test_connection_that_a_call_no_longer_needs_serves_the_next():
    """Guards against opened connections that are lost with callers who leave."""
    server = Server()
    with trio.move_on_after(0.04):
        await server.call()
    await trio.sleep(0.02)
    assert server.pool.opened == 1
    assert server.pool.has_idle


@mock_time
async def test_calls_do_not_wait_for_ever():
    """Guards against calls that hang at a silent or refusing server, or hold up later ones."""
    server = Server(accept_s=math.inf)
    with pytest.raises(HttpConnectTimeoutError):
        await server.call()
    server.accept_s, server.error = 0.0, HttpConnectError("refused")
    for _ in range(3):
        with pytest.raises(HttpConnectError, match="refused"):
            await server.call()


def test_idle_connections_are_kept_as_long_as_the_server_states():
    """Guards against connections opened anew for each call, or reused when the server closes them.

    Requests that must not meet a closing connection reuse it for half of that time.
    """

    async def main():
        async def respond(_request, responder):
            await responder.send(200, [(b"keep-alive", b"timeout=10.0, max=100")], b"")

        async with trio.open_nursery() as nursery:
            port = await nursery.start(HttpServer(respond, EventLog("t", Timer())).serve, "::1", 0)
            client = HttpClient("::1", port, options=ConnectionOptions(idle_limit_s=4.0))
            await client.fetch("GET", "/")
            (connection,) = client._pool._idle
            for idle_s, for_any, for_cautious in ((4.5, 1, 1), (7.0, 1, 0), (9.0, 0, 0)):
                connection._idle_since = trio.current_time() - idle_s
                assert connection.usable(4.0) == for_any
                assert connection.usable(4.0, 1.0) == for_cautious
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_backend_without_connection_is_avoided_only_on_further_evidence():
    """Guards against a busy backend server that is avoided since it opens connections slowly."""
    timer = FakeTimer()
    tracker = make_tracker(timer)

    def fail(call, outcome=AttemptOutcome.UNCONNECTED, *, answer=False):
        tracker.start(call)
        timer.advance(0.3)
        if answer:
            tracker.record_answer("open", None)
        tracker.finish(call, outcome)
        return tracker.is_avoided()

    for call in range(10):
        assert not fail(call, answer=True)
    assert not fail("first")
    timer.advance(10.0)
    assert not fail("much later")
    assert fail("second")
    timer.advance(1.0)
    tracker.record_answer("open", None)
    assert not fail("broken", AttemptOutcome.BROKEN)
    assert fail("alone")
