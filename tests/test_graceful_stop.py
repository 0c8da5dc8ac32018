"""Graceful shutdown: of the HTTP server, and of a real entry process."""
# ruff: noqa: D102

import base64
import http.client
import json
import socket
import threading

import pytest
import trio
from deployment_thread import MODEL, DeploymentThread
from trio.testing import wait_all_tasks_blocked

from figwalk.events import EventLog
from figwalk.timer import Timer
from figwalk.transport import HttpServer

HOST = "127.0.0.1"
REQUEST = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody"
ENTRY, CLAIMS = "entry-1", "/streams/claims/records?from=0&max=1000"


class Running:
    """An HTTP server that is drained and then cancelled, as the entry process does it."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.server = HttpServer(self.answer, EventLog("test", Timer()))
        self.port = 0
        self.stopped = trio.Event()

    async def answer(self, request, responder):
        await responder.send(200, [], request.body)

    async def start(self):
        self.port = await self.nursery.start(self.server.serve, HOST, 0)

    async def stop(self):
        await self.server.drain()
        self.stopped.set()
        self.nursery.cancel_scope.cancel()

    def begin_stop(self):
        self.nursery.start_soon(self.stop)

    def connect(self):
        """Connect without yielding to the server's tasks."""
        return socket.create_connection((HOST, self.port))


def check_complete_answer(data):
    assert data.startswith(b"HTTP/1.1 200")
    assert data.endswith(b"body")


async def read_to_end(stream):
    return b"".join([part async for part in stream])


async def send_rest_during_drain(running):
    """The request is still being received when the drain begins."""
    stream = await trio.open_tcp_stream(HOST, running.port)
    await stream.send_all(REQUEST[:-2])
    await wait_all_tasks_blocked()
    running.begin_stop()
    await wait_all_tasks_blocked()
    await stream.send_all(REQUEST[-2:])
    data = await read_to_end(stream)
    assert b"connection: close" in data.lower()
    return data


async def send_first_request_during_drain(running):
    """The connection is open, and its first request is in transit when the drain begins."""
    stream = await trio.open_tcp_stream(HOST, running.port)
    await wait_all_tasks_blocked()
    running.begin_stop()
    await wait_all_tasks_blocked()
    await stream.send_all(REQUEST)
    return await read_to_end(stream)


async def send_on_reused_connection(running):
    """The next request on a keep-alive connection has arrived but has not been read yet."""
    kept = running.connect()
    kept.sendall(REQUEST)
    await trio.lowlevel.wait_readable(kept)
    assert kept.recv(65536).endswith(b"body")
    await wait_all_tasks_blocked()
    kept.sendall(REQUEST)
    running.begin_stop()
    return await read_socket(kept)


async def send_before_accept(running):
    """The connection has not been accepted when the drain begins."""
    fresh = running.connect()
    fresh.sendall(REQUEST)
    running.begin_stop()
    return await read_socket(fresh)


async def read_socket(sock):
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
    sock.setblocking(False)
    return await read_to_end(stream)


@pytest.mark.parametrize(
    "scenario",
    [
        send_rest_during_drain,
        send_first_request_during_drain,
        send_on_reused_connection,
        send_before_accept,
    ],
)
def test_drain_cuts_no_request(scenario):
    """Guards against a planned stop that drops a request while it arrives (invariant 8)."""
    answers = []

    async def client(running):
        # Shielded, because stopping the server cancels the nursery that the client runs in.
        with trio.CancelScope(shield=True):
            answers.append(await scenario(running))

    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                running = Running(nursery)
                await running.start()
                nursery.start_soon(client, running)

    trio.run(main)
    check_complete_answer(answers[0])


def test_drain_closes_idle_connections_at_once():
    """Guards against a stop that waits for clients that keep idle connections open."""

    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                running = Running(nursery)
                await running.start()
                stream = await trio.open_tcp_stream(HOST, running.port)
                await stream.send_all(REQUEST)
                while not (await stream.receive_some()).endswith(b"body"):
                    pass
                await wait_all_tasks_blocked()
                await running.server.drain()
                assert await stream.receive_some() == b""
                nursery.cancel_scope.cancel()

    trio.run(main)


def call(address, method, path, content=None, headers=None):
    """Send a request and return the response, whose body has not been read."""
    connection = http.client.HTTPConnection(*address, timeout=30)
    body = None if content is None else json.dumps(content)
    connection.request(method, path, body, headers or {})
    return connection.getresponse()


def read_stream(address, first_seen, bodies):
    content = {"model": MODEL, "max_tokens": 300, "stream": True}
    content |= {"messages": [{"role": "user", "content": "hi"}]}
    answer = call(address, "POST", "/v1/chat/completions", content)
    head = answer.read(10)
    first_seen.set()
    bodies.append(head + answer.read())


def place_order(address, statuses):
    headers = {"idempotency-key": "k1"}
    content = {"item": "calcium", "quantity": 1}
    path = "/services/depot/orders/water-calcium"
    statuses.append(call(address, "POST", path, content, headers).status)


def wait_for_claim_record(log, kind):
    """Wait until the log has a batch with records of `kind`: claims or outcomes."""
    records = []
    while not any(json.loads(base64.b64decode(r["data"])).get(kind) for r in records):
        records = json.load(call(log, "GET", CLAIMS)).get("records", [])


def place_order_before_log_outage(running):
    """Place an order whose claim is in the log, and whose outcome is not, due to an outage."""
    entry, log = running.address(ENTRY, "callers"), running.address("log", "http")
    call(running.address("depot-1", "http"), "POST", "/faults", {"delay_ms": 1000})
    statuses = []
    ordering = threading.Thread(target=place_order, args=(entry, statuses))
    ordering.start()
    wait_for_claim_record(log, "claims")
    call(log, "POST", "/faults", {"outage": True})
    ordering.join()
    assert statuses == [201]


def test_entry_stops_only_after_streams_and_outcomes(tmp_path):
    """Guards against a stop that cuts a stream, or loses an outcome not yet in the log."""
    with DeploymentThread(tmp_path) as running:
        entry, log = running.address(ENTRY, "callers"), running.address("log", "http")
        bodies, first_seen = [], threading.Event()
        place_order_before_log_outage(running)
        streaming = threading.Thread(target=read_stream, args=(entry, first_seen, bodies))
        streaming.start()
        assert first_seen.wait(30)
        running.handles[ENTRY].terminate()
        while "PROCESS_STOPPING" not in running.events(ENTRY):
            pass
        call(log, "POST", "/faults", {"outage": False})
        wait_for_claim_record(log, "outcomes")
        streaming.join()
        assert bodies[0].endswith(b"data: [DONE]\n\n")
        assert running.wait_end(ENTRY) == 0
    assert running.faults == []
    assert running.events(ENTRY)[-1] == "PROCESS_STOPPED"


def test_stop_during_log_outage_reports_an_unrecorded_outcome(tmp_path):
    """Guards against a stop that loses an outcome but logs that nothing was cut."""
    with DeploymentThread(tmp_path, grace_s=2) as running:
        place_order_before_log_outage(running)
        running.handles[ENTRY].terminate()
        assert running.wait_end(ENTRY) == 0
        assert running.events(ENTRY)[-1] == "PROCESS_STOP_CUT"


def test_order_without_an_answer_at_the_end_of_a_stop_gets_a_final_one(tmp_path):
    """Guards against a caller whose connection ends without an answer, and who can't tell why."""
    with DeploymentThread(tmp_path, grace_s=2) as running:
        entry, log = running.address(ENTRY, "callers"), running.address("log", "http")
        call(running.address("depot-1", "http"), "POST", "/faults", {"delay_ms": 20_000})
        statuses = []
        ordering = threading.Thread(target=place_order, args=(entry, statuses))
        ordering.start()
        wait_for_claim_record(log, "claims")
        running.handles[ENTRY].terminate()
        ordering.join()
        assert running.wait_end(ENTRY) == 0
    assert statuses == [504]
