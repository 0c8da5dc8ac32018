"""Servers that answer an upload while it is still being written, and then reset the connection."""

import os
import socket
import struct

import trio

from support.platform_fakes import HOST

# The reset is noticed by the writer or by the reader of a connection, whichever runs first.
PLAYS = 40
UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: 1\r\n\r\n"
# Larger than what the buffers of two sockets hold, so that the upload is still being written.
UPLOAD_BYTES = 12 * 1024 * 1024
SMALL_BUFFER_BYTES = 4096


def reset(sock):
    """Close a socket so that its peer receives a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def answer_and_reset(stream, answer, pause_s=0.0):
    """Send an answer, and reset the connection at once or after a pause.

    Without a pause no other task runs in between, so that the peer finds both when it runs next.
    """
    os.write(stream.socket.fileno(), answer)
    if pause_s:
        await trio.sleep(pause_s)
    reset(stream.socket)


async def serve_slowly(handle, host=HOST, *, task_status=trio.TASK_STATUS_IGNORED):
    """Run a server whose receive buffers are small, until cancelled; report its port."""
    listener = trio.socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    await listener.bind((host, 0))
    listener.listen()
    task_status.started(listener.getsockname()[1])
    await trio.serve_listeners(handle, [trio.SocketListener(listener)])


class UploadServer:
    """Resets the first connection of each call after part of an answer; answers a repeat in full.

    Args:
        part: What of the body precedes the reset.
        repeat: Returns the body for a repeat, given its `Last-Event-Id`, or 0.
    """

    def __init__(self, part, repeat=lambda _last_event_id: b"whole"):
        self.part = part
        self.repeat = repeat
        self.calls = []

    async def handle(self, stream):
        """Serve one request."""
        if not (data := await receive_head(stream)):
            return  # The gateway opened a connection that no call needed.
        head, _, body = data.partition(b"\r\n\r\n")
        call_id = read_field(head, b"request-id")
        self.calls.append(call_id)
        if self.calls.count(call_id) == 1:
            await answer_and_reset(stream, UNFRAMED % call_id + self.part)
            return
        received = len(body)
        while received < UPLOAD_BYTES:
            received += len(await stream.receive_some(65536))
        last_event_id = int(read_field(head, b"last-event-id") or 0)
        await stream.send_all(UNFRAMED % call_id + self.repeat(last_event_id))


async def receive_head(stream):
    """Return the head of a request with what follows it, or nothing if the client closes instead.

    Small reads leave most of an upload in the buffers, as a busy server does.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        if not (piece := await stream.receive_some(1024)):
            return b""
        data += piece
    return data


def read_field(head, name):
    """Return the value of a field in the head of a request, or no bytes."""
    return head.lower().partition(b"\r\n%s: " % name)[2].partition(b"\r\n")[0]
