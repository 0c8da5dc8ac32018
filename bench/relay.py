"""Bare HTTP relay with h11, the baseline for the processor time of entry and agent.

It forwards each request to one server over a keep-alive connection and each chunk of the answer as
it arrives, without routing, limits, retries, identifiers or logs.
"""

from __future__ import annotations

import argparse
from functools import partial

import h11
import trio

RECEIVE_BYTES = 65536
HOP_HEADERS = frozenset({b"connection", b"host", b"transfer-encoding", b"content-length"})


async def relay_connection(target: tuple[str, int], caller: trio.SocketStream) -> None:
    """Relay the requests of one caller connection over one upstream connection."""
    upstream = await trio.open_tcp_stream(*target)
    server = h11.Connection(h11.SERVER)
    client = h11.Connection(h11.CLIENT)
    async with caller, upstream:
        while await relay_request(server, client, caller, upstream):
            server.start_next_cycle()
            client.start_next_cycle()


async def relay_request(
    server: h11.Connection,
    client: h11.Connection,
    caller: trio.SocketStream,
    upstream: trio.SocketStream,
) -> bool:
    """Relay one request and its answer; return whether the connections stay open."""
    while True:
        event = await next_event(server, caller)
        if isinstance(event, h11.Request):
            headers = [(b"host", b"upstream"), *event.headers]
            headers = [header for header in headers if header[0] != b"connection"]
            headers = dict(headers) | {b"host": b"upstream"}
            request = h11.Request(
                method=event.method, target=event.target, headers=list(headers.items())
            )
            data = client.send(request) or b""
        elif isinstance(event, h11.Data):
            data += client.send(h11.Data(data=event.data)) or b""
        elif isinstance(event, h11.EndOfMessage):
            await upstream.send_all(data + (client.send(h11.EndOfMessage()) or b""))
            break
        else:
            return False
    data = b""
    while True:
        event = await next_event(client, upstream)
        if isinstance(event, h11.Response):
            head = h11.Response(status_code=event.status_code, headers=event.headers)
            data = server.send(head) or b""
        elif isinstance(event, h11.Data):
            data += server.send(h11.Data(data=event.data)) or b""
            await caller.send_all(data)
            data = b""
        elif isinstance(event, h11.EndOfMessage):
            await caller.send_all(data + (server.send(h11.EndOfMessage()) or b""))
            return server.our_state is h11.DONE and client.our_state is h11.DONE
        else:
            return False


async def next_event(connection: h11.Connection, stream: trio.SocketStream) -> h11.Event:
    """Return the next event; receive data until there is one."""
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await stream.receive_some(RECEIVE_BYTES))


async def serve(host: str, port: int) -> None:
    """Relay to a server, listening on a free loopback port, until cancelled."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    bound = listeners[0].socket.getsockname()
    print(f"listening http {bound[0]}:{bound[1]}", flush=True)
    await trio.serve_listeners(partial(relay_connection, (host, port)), listeners)


def main() -> None:
    """Run the relay."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    options = parser.parse_args()
    trio.run(serve, options.host, options.port)


if __name__ == "__main__":
    main()
