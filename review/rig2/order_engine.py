"""A model replica that takes orders to change its stage, and doesn't check fence numbers.

It answers `GET /report`, `GET /kv-list`, `GET /kv-events` and `POST /order` as the protocol says,
and every other request with 503 and `Not-Executed`, as a full one does. Each order that arrives is
noted in the run log before it is answered.
"""

from __future__ import annotations

import argparse
import json
import os
import time

import h11
import trio

from figwalk.errors import HttpError
from figwalk.transport import HttpClient

HEARTBEAT_S = 1.0
MISSED_HEARTBEATS = 3
SWITCH_S = 3.0
EVENTS_WAIT_S = 1.0


class OrderEngine:
    """The replica.

    Args:
        options: Parsed command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._stage = options.stage
        self._busy = False
        self._orders = 0
        self._born_ms = int(time.time() * 1000)
        self._registrations = 0
        host, _, port = options.store.rpartition(":")
        self._store = HttpClient(host, int(port))
        self._runs = os.open(options.run_log, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Serve until the parent ends or the process is told to stop."""
        parent = os.getppid()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            listeners = await trio.open_tcp_listeners(self._options.port, host=self._options.host)
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            nursery.start_soon(self._keep_registered)
            print(f"listening http {self._options.host}:{self._options.port}", flush=True)
            while os.getppid() == parent:
                await trio.sleep(1)
            nursery.cancel_scope.cancel()

    async def _keep_registered(self) -> None:
        while True:
            await self._register()
            await trio.sleep(HEARTBEAT_S)

    async def _register(self) -> None:
        self._registrations += 1
        value = {
            "service": self._options.service,
            "address": self._options.advertise,
            "zone": self._options.zone,
            "version": "v1",
            "slots": self._options.slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": self._registrations,
            "born": self._born_ms,
            "stage": self._stage,
        }
        record = {"topic": "keyed.servers", "key": self._options.id, "value": value}
        record["ttl_s"] = MISSED_HEARTBEATS * HEARTBEAT_S
        try:
            with trio.fail_after(HEARTBEAT_S):
                await self._store.fetch("POST", "/records", body=json.dumps(record).encode())
        except (HttpError, trio.TooSlowError):
            pass  # The next one follows.

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        request: h11.Request | None = None
        body = b""
        try:
            async with stream:
                while True:
                    event = connection.next_event()
                    if event is h11.NEED_DATA:
                        connection.receive_data(await stream.receive_some(65536))
                    elif isinstance(event, h11.Request):
                        request, body = event, b""
                    elif isinstance(event, h11.Data):
                        body += event.data
                    elif isinstance(event, h11.EndOfMessage) and request is not None:
                        status, headers, answer = await self._answer(request, body)
                        headers.append((b"content-length", str(len(answer)).encode()))
                        response = h11.Response(status_code=status, headers=headers)
                        data = connection.send(response) + connection.send(h11.Data(data=answer))
                        await stream.send_all(data + connection.send(h11.EndOfMessage()))
                        connection.start_next_cycle()
                    else:
                        return
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            return

    async def _answer(
        self, request: h11.Request, body: bytes
    ) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        fields = dict(request.headers)
        path = request.target.partition(b"?")[0]
        headers = [(b"content-type", b"application/json")]
        if fields.get(b"expect-instance", b"").decode() not in ("", self._options.id):
            return 421, [*headers, (b"not-executed", b"1")], b"{}"
        if path == b"/report":
            return 200, headers, json.dumps(self._report()).encode()
        if path == b"/kv-list":
            content = {"epoch": self._born_ms, "next": 0, "held": []}
            return 200, headers, json.dumps(content).encode()
        if path == b"/kv-events":
            await trio.sleep(EVENTS_WAIT_S)
            content = {"epoch": self._born_ms, "next": 0, "lost": False, "events": []}
            return 200, headers, json.dumps(content).encode()
        if path == b"/order":
            return self._take_order(json.loads(body)), headers, b"{}"
        headers.append((b"request-id", fields.get(b"request-id", b"")))
        return 503, [*headers, (b"not-executed", b"1")], b"{}"

    def _take_order(self, order: dict[str, object]) -> int:
        status = self._judge(order)
        note = {"event": "order", "at": time.time(), "engine": self._options.id, "status": status}
        os.write(self._runs, json.dumps(note | order).encode() + b"\n")
        if status == 202:
            self._orders += 1
            self._busy = True
            self._nursery.start_soon(self._change_stage, str(order["stage"]))
        return status

    def _judge(self, order: dict[str, object]) -> int:
        if order.get("operation") != "stage" or not order.get("holder"):
            return 400
        if not order.get("fencing-token"):
            return 400
        if self._busy or order.get("precondition", self._orders) != self._orders:
            return 409
        return 200 if order["stage"] == self._stage else 202

    async def _change_stage(self, stage: str) -> None:
        await trio.sleep(SWITCH_S)
        self._stage, self._busy = stage, False
        await self._register()

    def _report(self) -> dict[str, object]:
        return {
            "stage": self._stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self._busy,
            "sequence": self._orders,
            "born": self._born_ms,
            "waiting": 0,
            "running": 0,
            "kv-used": 0,
            "kv-total": 400_000,
            "handles": 0,
        }


def main() -> None:
    """Run the replica."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("--id", "--service", "--zone", "--host", "--store", "--advertise", "--run-log"):
        parser.add_argument(name, required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--stage", choices=["prefill", "decode"], required=True)
    parser.add_argument("--slots", type=int, default=64)
    trio.run(OrderEngine(parser.parse_args()).run)


if __name__ == "__main__":
    main()
