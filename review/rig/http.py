"""Minimal HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 64 * 1024


@dataclass
class Message:
    """A request or response.

    Attributes:
        start: Words of the start line.
        headers: Values by lower-case name; the last one wins.
        body: Complete body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start[1]

    @property
    def path(self) -> str:
        """Path of a request."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Query of a request."""
        pairs = [item.partition("=") for item in self.target.partition("?")[2].split("&") if item]
        return {name: value for name, _, value in pairs}

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])

    def header(self, name: str, default: str = "") -> str:
        """Return a header's value."""
        return self.headers.get(name, default)


@dataclass
class Answer:
    """A response that a handler returns.

    Attributes:
        status: HTTP status.
        headers: Further headers.
        body: Complete body.
    """

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the start line and headers; return None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ConnectionError("the connection ended inside a head") from error
    lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a chunked body; the last one is empty."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read a body with a length or in chunks; raise an error if it is truncated."""
    if "chunked" in message.header("transfer-encoding"):
        parts = []
        while data := await read_chunk(reader):
            parts.append(data)
        return b"".join(parts)
    length = message.header("content-length")
    if length:
        return await reader.readexactly(int(length))
    return b""


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a complete request."""
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message)
    return message


def render_answer(answer: Answer) -> bytes:
    """Return the bytes of a complete response."""
    headers = {"Content-Length": str(len(answer.body)), **answer.headers}
    lines = [f"HTTP/1.1 {answer.status} X", *(f"{n}: {v}" for n, v in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + answer.body


def render_request(
    method: str, target: str, host: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request; a body has a length."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
