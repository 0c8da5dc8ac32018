"""A replica of a plain service whose answers, from some time on, never end.

Until then it serves as the others do. After that, the head of each answer is sound, and its body
goes on, in chunks of --chunk-bytes, until the caller closes the connection.
"""

from __future__ import annotations

import argparse
import json
import math
import os
import time

import h11
import trio

from figwalk.errors import HttpError
from figwalk.transport import HttpClient

HEARTBEAT_S = 1.0
MISSED_HEARTBEATS = 3
SEND_BYTES = 16384


class EndlessBackend:
    """The replica.

    Args:
        options: Parsed command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._born_ms = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self._slots = trio.Semaphore(options.slots)
        host, _, port = options.store.rpartition(":")
        self._store = HttpClient(host, int(port))
        self._runs = os.open(options.run_log, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    async def register(self) -> None:
        """Register again and again."""
        sequence = 0
        while True:
            sequence += 1
            value = {
                "service": self._options.service,
                "address": f"{self._options.host}:{self._options.port}",
                "zone": self._options.zone,
                "version": "v1",
                "slots": self._options.slots,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": sequence,
                "born": self._born_ms,
            }
            record = {"topic": "keyed.servers", "key": self._options.id, "value": value}
            record["ttl_s"] = MISSED_HEARTBEATS * HEARTBEAT_S
            try:
                with trio.fail_after(HEARTBEAT_S):
                    await self._store.fetch("POST", "/records", body=json.dumps(record).encode())
            except (HttpError, trio.TooSlowError):
                pass  # The next one follows.
            await trio.sleep(HEARTBEAT_S)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve the requests of one connection."""
        connection = h11.Connection(h11.SERVER)
        request: h11.Request | None = None
        try:
            async with stream:
                while True:
                    event = connection.next_event()
                    if event is h11.NEED_DATA:
                        connection.receive_data(await stream.receive_some(65536))
                    elif isinstance(event, h11.Request):
                        request = event
                    elif isinstance(event, h11.EndOfMessage) and request is not None:
                        await self._answer(stream, connection, request)
                        connection.start_next_cycle()
                    elif isinstance(event, h11.ConnectionClosed):
                        return
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            return

    async def _answer(
        self, stream: trio.SocketStream, connection: h11.Connection, request: h11.Request
    ) -> None:
        fields = dict(request.headers)
        call_id = fields.get(b"request-id", b"")
        headers = [(b"request-id", call_id)]
        expected = fields.get(b"expect-instance", b"").decode()
        if expected not in ("", self._options.id):
            headers += [(b"not-executed", b"1"), (b"content-length", b"0")]
            await stream.send_all(connection.send(h11.Response(status_code=421, headers=headers)))
            await stream.send_all(connection.send(h11.EndOfMessage()) or b"")
            return
        async with self._slots:
            note = {"event": "run", "id": call_id.decode(), "backend": self._options.id}
            os.write(self._runs, json.dumps(note).encode() + b"\n")
            await trio.sleep(self._options.work_ms / 1000)
            headers.append((b"server-stamp", self._options.id.encode()))
            is_endless = time.monotonic() - self._started_at >= self._options.endless_after_s
            if is_endless:
                headers.append((b"transfer-encoding", b"chunked"))
            else:
                headers.append((b"content-length", b"2"))
            await stream.send_all(connection.send(h11.Response(status_code=200, headers=headers)))
            if is_endless:
                chunk = connection.send(h11.Data(data=b"x" * self._options.chunk_bytes)) or b""
                while True:
                    await stream.send_all(chunk * (SEND_BYTES // len(chunk)))
            await stream.send_all(connection.send(h11.Data(data=b"ok")) or b"")
            await stream.send_all(connection.send(h11.EndOfMessage()) or b"")


async def run(options: argparse.Namespace) -> None:
    """Serve until the parent ends or the process is told to stop."""
    backend = EndlessBackend(options)
    parent = os.getppid()
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(options.port, host=options.host)
        nursery.start_soon(trio.serve_listeners, backend.serve, listeners)
        nursery.start_soon(backend.register)
        print(f"listening http {options.host}:{options.port}", flush=True)
        while os.getppid() == parent:
            await trio.sleep(1)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run the replica."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("--id", "--service", "--zone", "--host", "--store", "--advertise", "--run-log"):
        parser.add_argument(name, required=name != "--advertise")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--chunk-bytes", type=int, default=16)
    parser.add_argument("--endless-after-s", type=float, default=math.inf)
    trio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
