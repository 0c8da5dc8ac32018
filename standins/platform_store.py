"""Stand-in for the store of the users' platform: topics that keep the newest record of each key.

Calls:
  GET /log-read?topic=&part=0&from=&wait-ms=   16 bytes with end and first offset, then records of
                                               4 bytes length, 1 byte key length, key, value
  GET /log-newest?topic=&part=0&after=         {"items": [{"key", "value", "offset"}], "truncated",
                                               "end"}
  POST /log-append?topic=&part=0               records as in an answer to a read, without offsets
  POST /records   {"topic", "key", "value", "ttl_s"}: writes a record as operators and backend
                  servers do; a value of null removes the key, and a record with a time to live
                  lapses unless it is written again

Each answer states the era of the content in `Store-Era`. `put`, `remove` and `restore`, which goes
back to an older copy, work from the same process. Faults (POST /faults):
  refuse_status      status of every call instead of an answer, 0 for none
  silent             true: no call gets an answer
"""

from __future__ import annotations

import base64
import json
import struct
from typing import Any

import attrs
import trio

from figwalk.transport import Headers, HttpRequest, Responder
from standins.base import (
    Standin,
    build_parser,
    read_json_object,
    read_query_number,
    refuse_unknown_path,
    run_standin,
    structure,
)

MS_PER_S = 1000
PAGE_KEYS = 50
LAPSE_CHECK_S = 0.2
_OFFSETS = struct.Struct("!QQ")
_LENGTH = struct.Struct("!I")


@attrs.frozen
class PlatformStoreFaults:
    """Faults of the store; the module documentation describes them."""

    refuse_status: int = 0
    silent: bool = False


@attrs.frozen
class RecordWrite:
    """Body of `POST /records`.

    Attributes:
        topic: Topic to append to.
        key: Key of the record.
        value: JSON value, or None to remove the key.
        ttl_s: Seconds after which the key is removed unless it is written again; 0 keeps it.
    """

    topic: str
    key: str
    value: Any = None
    ttl_s: float = 0.0


@attrs.define
class Topic:
    """One topic with a single partition.

    Attributes:
        records: Key and value of each record; None as value removes the key.
        first: Offset of the oldest record that is still kept.
    """

    records: list[tuple[str, bytes | None]] = attrs.field(factory=list)
    first: int = 0

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of each key."""
        items: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records):
            if value is None:
                items.pop(key, None)
            else:
                items[key] = (offset, value)
        return items


class PlatformStore(Standin):
    """The store."""

    def __init__(self) -> None:
        super().__init__(PlatformStoreFaults())
        self._topics: dict[str, Topic] = {}
        self._written = trio.Event()
        self._calls = 0
        self._era = 1
        self._lapse_at: dict[tuple[str, str], float] = {}

    @property
    def calls(self) -> int:
        """Calls answered or refused so far."""
        return self._calls

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return its offset."""
        return self._append(topic, key, value)

    def remove(self, topic: str, key: str) -> int:
        """Append the removal of a key and return its offset."""
        return self._append(topic, key, None)

    def records(self, topic: str) -> list[tuple[str, bytes | None]]:
        """Return key and value of each record of a topic, also of those that were dropped."""
        return list(self._topic(topic).records)

    def forget(self, topic: str) -> None:
        """Drop all records but the newest of each key."""
        kept = self._topic(topic)
        kept.first = len(kept.records)

    def restore(self, lost: int) -> None:
        """Come back from an older copy, which lacks the newest records of each topic.

        Args:
            lost: Number of records that each topic loses.
        """
        self._era += 1
        for topic in self._topics.values():
            del topic.records[max(0, len(topic.records) - lost) :]
            topic.first = min(topic.first, len(topic.records))

    async def run(self) -> None:
        """Remove the records whose time to live is over, also while calls get no answer."""
        while True:
            await trio.sleep(LAPSE_CHECK_S)
            now = trio.current_time()
            for (topic, key), lapse_at in list(self._lapse_at.items()):
                if lapse_at <= now:
                    del self._lapse_at[topic, key]
                    self._append(topic, key, None)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        self._calls += 1
        if request.path == "/records" and request.method == "POST":
            record = structure(read_json_object(request.body), RecordWrite)
            if not record.ttl_s:  # Outages don't reach operators.
                await self._write(record, responder)
                return
        if self.faults.silent:
            await trio.sleep_forever()
        if self.faults.refuse_status:
            await responder.send(self.faults.refuse_status, [])
        elif request.path == "/log-read":
            await self._read(request, responder)
        elif request.path == "/log-newest":
            await self._list(request, responder)
        elif request.path == "/log-append" and request.method == "POST":
            await self._append_all(request, responder)
        elif request.path == "/records" and request.method == "POST":
            await self._write(record, responder)
        else:
            await refuse_unknown_path(request, responder)

    async def _write(self, record: RecordWrite, responder: Responder) -> None:
        place = (record.topic, record.key)
        self._lapse_at.pop(place, None)
        if record.ttl_s > 0 and record.value is not None:
            self._lapse_at[place] = trio.current_time() + record.ttl_s
        value = None if record.value is None else json.dumps(record.value).encode()
        newest = self._topic(record.topic).newest().get(record.key)
        if newest is None or newest[1] != value:
            self._append(record.topic, record.key, value)
        await responder.send_json(200, {})

    async def _append_all(self, request: HttpRequest, responder: Responder) -> None:
        topic = _read_query(request, "topic")
        first = len(self._topic(topic).records)
        if read_query_number(request, "at", first) != first:
            await responder.send_json(412, {"end": first}, self._era_header())
            return
        position = 0
        while position < len(request.body):
            (length,) = _LENGTH.unpack_from(request.body, position)
            position += _LENGTH.size
            content = request.body[position : position + length]
            position += length
            end = 1 + content[0]
            self._append(topic, content[1:end].decode(), content[end:] or None)
        answer = {"offset": first, "end": len(self._topic(topic).records)}
        await responder.send_json(200, answer, self._era_header())

    def _append(self, topic: str, key: str, value: bytes | None) -> int:
        records = self._topic(topic).records
        records.append((key, value))
        self._written.set()
        self._written = trio.Event()
        return len(records) - 1

    def _topic(self, name: str) -> Topic:
        return self._topics.setdefault(name, Topic())

    async def _read(self, request: HttpRequest, responder: Responder) -> None:
        topic = self._topic(_read_query(request, "topic"))
        offset = int(read_query_number(request, "from", 0))
        wait_s = read_query_number(request, "wait-ms", 0) / MS_PER_S
        if not topic.first <= offset <= len(topic.records):
            await responder.send_json(410, {"first": topic.first}, self._era_header())
            return
        with trio.move_on_after(wait_s):
            while offset >= len(topic.records):
                await self._written.wait()
        body = _OFFSETS.pack(len(topic.records), topic.first)
        for key, value in topic.records[offset:]:
            name = key.encode()
            content = bytes([len(name)]) + name + (value or b"")
            body += _LENGTH.pack(len(content)) + content
        await responder.send(200, self._era_header(), body)

    async def _list(self, request: HttpRequest, responder: Responder) -> None:
        topic = self._topic(_read_query(request, "topic"))
        after = _read_query(request, "after")
        names = sorted(name for name in topic.newest() if name > after)
        newest = topic.newest()
        items = [
            {
                "key": name,
                "value": base64.b64encode(newest[name][1]).decode(),
                "offset": newest[name][0],
            }
            for name in names[:PAGE_KEYS]
        ]
        content = {
            "items": items,
            "truncated": len(names) > PAGE_KEYS,
            "end": len(topic.records),
        }
        await responder.send_json(200, content, self._era_header())

    def _era_header(self) -> Headers:
        return [(b"store-era", str(self._era).encode())]


def _read_query(request: HttpRequest, name: str) -> str:
    for item in request.query.split("&"):
        key, _, value = item.partition("=")
        if key == name:
            return value
    return ""


def main() -> None:
    """Run the stand-in."""
    options = build_parser("platform_store", __doc__).parse_args()
    run_standin(PlatformStore(), options)


if __name__ == "__main__":
    main()
