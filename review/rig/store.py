"""Stand-in for the platform's store: keyed topics with one partition."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from urllib.parse import unquote_plus

from rig.http import Answer, Message, read_request, render_answer

OFFSETS = struct.Struct("!QQ")
LENGTH = struct.Struct("!I")
PAGE_ITEMS = 500


class Store:
    """The store, in this process."""

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[str, bytes | None]]] = {}
        self._written = asyncio.Event()
        self.era = 1
        self.address = ""
        self._away = False
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, host, 0, backlog=512)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Write a record as operators and replicas do; None removes the key."""
        self._append(topic, key, None if value is None else json.dumps(value).encode())

    def records(self, topic: str) -> list[tuple[str, bytes | None]]:
        """Return all records of a topic."""
        return self._topics.setdefault(topic, [])

    def copy(self) -> dict[str, int]:
        """Return the end of each topic, as a copy of the store at this moment has it."""
        return {topic: len(records) for topic, records in self._topics.items()}

    def leave(self) -> None:
        """Reset all connections, also new ones, until `restore`."""
        self._away = True
        for writer in self._writers:
            writer.transport.abort()

    def restore(self, copy: dict[str, int]) -> dict[str, list[tuple[str, bytes | None]]]:
        """Come back from an older copy; return the records of each topic that it lacks."""
        lost = {}
        for topic, records in self._topics.items():
            end = copy.get(topic, 0)
            lost[topic] = records[end:]
            del records[end:]
        self.era += 1
        self._away = False
        return lost

    def write_again(self, topic: str, key: str, value: bytes | None) -> None:
        """Write a record again as it was."""
        self._append(topic, key, value)

    def _append(self, topic: str, key: str, value: bytes | None) -> None:
        self.records(topic).append((key, value))
        self._written.set()
        self._written = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if self._away:
                writer.transport.abort()
            while (request := await read_request(reader)) is not None:
                answer = await self._answer(request)
                answer.headers["Store-Era"] = str(self.era)
                writer.write(render_answer(answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> Answer:
        query = {name: unquote_plus(value) for name, value in request.query.items()}
        topic = query.get("topic", "")
        if request.path == "/log-read":
            return await self._read(topic, query)
        if request.path == "/log-newest":
            return self._list(topic, query.get("after", ""))
        if request.path == "/log-append":
            first = len(self.records(topic))
            self._append_all(topic, request.body)
            content = {"offset": first, "end": len(self.records(topic))}
            return Answer(body=json.dumps(content).encode())
        return Answer(404)

    async def _read(self, topic: str, query: dict[str, str]) -> Answer:
        offset = int(query["from"])
        if offset > len(self.records(topic)):
            return Answer(410, body=b'{"first":0}')
        deadline = asyncio.get_running_loop().time() + int(query.get("wait-ms", "0")) / 1000
        while offset >= len(self.records(topic)):
            left_s = deadline - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._written.wait(), left_s)
            except TimeoutError:
                break
        body = OFFSETS.pack(len(self.records(topic)), 0)
        for key, value in self.records(topic)[offset:]:
            name = key.encode()
            content = bytes([len(name)]) + name + (value or b"")
            body += LENGTH.pack(len(content)) + content
        return Answer(body=body)

    def _list(self, topic: str, after: str) -> Answer:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records(topic)):
            if value is None:
                newest.pop(key, None)
            else:
                newest[key] = (offset, value)
        names = sorted(name for name in newest if name > after)
        items = [
            {
                "key": name,
                "value": base64.b64encode(newest[name][1]).decode(),
                "offset": newest[name][0],
            }
            for name in names[:PAGE_ITEMS]
        ]
        content = {
            "items": items,
            "truncated": len(names) > PAGE_ITEMS,
            "end": len(self.records(topic)),
        }
        return Answer(body=json.dumps(content).encode())

    def _append_all(self, topic: str, body: bytes) -> None:
        position = 0
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            content = body[position : position + length]
            position += length
            end = 1 + content[0]
            self._append(topic, content[1:end].decode(), content[end:] or None)
