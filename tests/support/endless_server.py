"""Servers whose answers do not end, and what they cost the process that reads them."""

from pathlib import Path

import trio

# The server stops after this, so that a client without a bound fails a test instead of exhausting
# the memory of the machine.
MAX_ENDLESS_BYTES = 96 * 1024 * 1024
# Memory of the VM of an entry or a gateway at the current deployments.
VM_MEMORY_MB = 300
PIECE = b"x" * 65536
CHUNK = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)


async def send_endless_answer(stream, fields):
    """Send an answer with some fields in its head, and chunks until the client closes it.

    The body has no line break, so that it is no event of a stream either.
    """
    try:
        await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n" % fields)
        for _ in range(MAX_ENDLESS_BYTES // len(PIECE)):
            await stream.send_all(CHUNK)
    except trio.BrokenResourceError:
        pass


def read_peak_memory_mb(pid):
    """Return the largest resident size that a process has had so far."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024
