"""Stand-in for the platform's append-only log.

Calls:
  POST /streams/{name}/records   append the body under X-Record-Id -> {"offset", "time_ms"}
  GET  /streams/{name}/records?from=&max=&wait_ms=
                                 read -> {"oldest", "head", "records"}; with wait_ms the call
                                 waits up to that time for a record at `from`

A read from an offset below `oldest` starts at `oldest`; the reader sees from the two numbers that
records are missing. Appends above the rate limit get 429 with Retry-After and are not written.
Streams are kept in memory and are lost when the process ends.

Faults (POST /faults):
  outage             true: every call gets 503 and nothing is written
  delay_ms           every call waits this long before it is carried out
  answer_delay_ms    every append waits this long after the write
  lose_answers       the next N appends are written and their connection is closed; -1 for all
  late_appends       the next N appends get no answer and are written late_append_ms later
  late_append_ms     see late_appends
  drop_oldest        {"STREAM": N}: drops the N oldest records once
"""

from __future__ import annotations

import argparse
import base64
import math
import time
from collections import deque

import attrs
import trio

from figwalk.errors import CallerError
from figwalk.transport import HttpRequest, Responder, render_error
from standins.base import (
    Standin,
    build_parser,
    read_query_number,
    refuse_unknown_path,
    run_standin,
)

MS_PER_S = 1000
MAX_PAGE_RECORDS = 1000
MAX_PAGE_BYTES = 4 * 1024 * 1024
MAX_WAIT_MS = 60_000
MAX_RECORD_BYTES = 1024 * 1024
RECORD_ID_HEADER = b"x-record-id"


@attrs.frozen
class LogFaults:
    """Faults of the log; the module documentation describes them."""

    outage: bool = False
    delay_ms: float = 0.0
    answer_delay_ms: float = 0.0
    lose_answers: int = 0
    late_appends: int = 0
    late_append_ms: float = 0.0
    drop_oldest: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class KeptRecord:
    """A record of a stream."""

    offset: int
    time_ms: int
    record_id: str
    data: bytes

    def render(self) -> dict[str, object]:
        """Return the JSON form."""
        return {
            "offset": self.offset,
            "time_ms": self.time_ms,
            "record_id": self.record_id,
            "data": base64.b64encode(self.data).decode(),
        }


class Stream:
    """Records with increasing offsets, of which the oldest are dropped.

    Args:
        retention_s: Age above which records are dropped.
        retention_records: Number of records that are kept.
    """

    def __init__(self, *, retention_s: float, retention_records: int) -> None:
        self._retention_ms = retention_s * MS_PER_S
        self._retention_records = retention_records
        self._records: deque[KeptRecord] = deque()
        self._head = 0
        self._last_time_ms = 0
        self._changed = trio.Event()

    @property
    def head(self) -> int:
        """Offset of the next record."""
        return self._head

    @property
    def oldest(self) -> int:
        """Offset of the oldest record kept."""
        return self._head - len(self._records)

    @property
    def changed(self) -> trio.Event:
        """Event that the next append sets."""
        return self._changed

    def append(self, record_id: str, data: bytes) -> KeptRecord:
        """Append a record; its time is never before that of an older record."""
        self._last_time_ms = max(self._last_time_ms, _wall_ms())
        record = KeptRecord(self._head, self._last_time_ms, record_id, data)
        self._records.append(record)
        self._head += 1
        self.expire()
        self.wake()
        return record

    def wake(self) -> None:
        """Wake the waiting reads."""
        self._changed.set()
        self._changed = trio.Event()

    def expire(self) -> None:
        """Drop records above the retention limits."""
        horizon_ms = _wall_ms() - self._retention_ms
        while self._records and (
            len(self._records) > self._retention_records or self._records[0].time_ms < horizon_ms
        ):
            self._records.popleft()

    def drop_oldest(self, count: int) -> None:
        """Drop up to `count` of the oldest records."""
        for _ in range(min(count, len(self._records))):
            self._records.popleft()

    def read(self, offset: int, max_records: int) -> list[KeptRecord]:
        """Return records from an offset, up to the page limits."""
        self.expire()
        page: list[KeptRecord] = []
        size = 0
        for position in range(max(offset, self.oldest), self._head):
            record = self._records[position - self.oldest]
            size += len(record.data)
            if page and (len(page) == max_records or size > MAX_PAGE_BYTES):
                break
            page.append(record)
        return page


class RateLimit:
    """Token bucket.

    Args:
        per_s: Appends a second; 0 for no limit.
        burst: Appends that may come at once.
    """

    def __init__(self, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._updated: float | None = None

    def take(self) -> float:
        """Take a token, or return the seconds until there is one."""
        if not self._per_s:
            return 0.0
        now = trio.current_time()
        if self._updated is not None:
            refill = (now - self._updated) * self._per_s
            self._tokens = min(self._burst, self._tokens + refill)
        self._updated = now
        if self._tokens < 1:
            return (1 - self._tokens) / self._per_s
        self._tokens -= 1
        return 0.0


class LogStandin(Standin):
    """The log service.

    Args:
        options: Parsed command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__(LogFaults())
        self._options = options
        self._streams: dict[str, Stream] = {}
        self._rate_limit = RateLimit(options.append_rate, options.append_burst)
        self._late_writes: trio.Nursery | None = None

    async def run(self) -> None:
        """Carry out late writes and wake the waiting reads at the stop."""
        async with trio.open_nursery() as nursery:
            self._late_writes = nursery
            await self.stopping.wait()
            self._wake_reads()
            await trio.sleep_forever()

    def set_faults(self, faults: LogFaults) -> None:
        """Drop the records asked for, and let waiting reads see an outage."""
        for name, count in faults.drop_oldest.items():
            self._stream(name).drop_oldest(count)
        super().set_faults(attrs.evolve(faults, drop_oldest={}))
        self._wake_reads()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Append or read."""
        await trio.sleep(self.faults.delay_ms / MS_PER_S)
        if self.faults.outage:
            await _refuse(responder, 503, "unavailable", "the log is not available")
            return
        parts = request.path.split("/")
        if len(parts) != 4 or parts[1] != "streams" or parts[3] != "records" or not parts[2]:
            await refuse_unknown_path(request, responder)
        elif request.method == "POST":
            await self._append(parts[2], request, responder)
        elif request.method == "GET":
            await self._read(parts[2], request, responder)
        else:
            await refuse_unknown_path(request, responder)

    async def _append(self, name: str, request: HttpRequest, responder: Responder) -> None:
        record_id = request.header(RECORD_ID_HEADER)
        if not record_id:
            raise CallerError(400, "no_record_id", "the append has no X-Record-Id header")
        if len(request.body) > MAX_RECORD_BYTES:
            raise CallerError(413, "too_large", f"a record has at most {MAX_RECORD_BYTES} bytes")
        wait_s = self._rate_limit.take()
        if wait_s:
            headers = [(b"retry-after", str(math.ceil(wait_s)).encode())]
            body = render_error("rate_limit_error", "too_many_appends", "append rate exceeded")
            await responder.send_json(429, body, headers)
            return
        if self.use_up("late_appends") and self._late_writes is not None:
            self._late_writes.start_soon(self._write_late, name, record_id, request.body)
            return
        record = self._stream(name).append(record_id, request.body)
        await trio.sleep(self.faults.answer_delay_ms / MS_PER_S)
        if self.use_up("lose_answers"):
            return
        await responder.send_json(200, {"offset": record.offset, "time_ms": record.time_ms})

    async def _write_late(self, name: str, record_id: str, data: bytes) -> None:
        await trio.sleep(self.faults.late_append_ms / MS_PER_S)
        self._stream(name).append(record_id, data)

    async def _read(self, name: str, request: HttpRequest, responder: Responder) -> None:
        offset = read_query_number(request, "from", 0)
        max_records = min(read_query_number(request, "max", MAX_PAGE_RECORDS), MAX_PAGE_RECORDS)
        wait_ms = min(read_query_number(request, "wait_ms", 0), MAX_WAIT_MS)
        stream = self._stream(name)
        with trio.move_on_after(wait_ms / MS_PER_S):
            while stream.head <= offset and not self.stopping.is_set() and not self.faults.outage:
                await stream.changed.wait()
        if self.faults.outage:
            await _refuse(responder, 503, "unavailable", "the log is not available")
            return
        records = [record.render() for record in stream.read(offset, max(max_records, 1))]
        content = {"oldest": stream.oldest, "head": stream.head, "records": records}
        await responder.send_json(200, content)

    def _stream(self, name: str) -> Stream:
        if name not in self._streams:
            self._streams[name] = Stream(
                retention_s=self._options.retention_s,
                retention_records=self._options.retention_records,
            )
        return self._streams[name]

    def _wake_reads(self) -> None:
        for stream in self._streams.values():
            stream.wake()


async def _refuse(responder: Responder, status: int, code: str, message: str) -> None:
    await responder.send_json(status, render_error("server_error", code, message))


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


def main() -> None:
    """Run the stand-in."""
    parser = build_parser("standins.log", __doc__)
    parser.add_argument(
        "--append-rate", type=float, default=300.0, help="appends a second; 0 for no limit"
    )
    parser.add_argument(
        "--append-burst", type=float, default=300.0, help="appends that may come at once, >= 1"
    )
    parser.add_argument(
        "--retention-s", type=float, default=7 * 86400.0, help="seconds that records are kept"
    )
    parser.add_argument(
        "--retention-records", type=int, default=1_000_000, help="records kept in a stream"
    )
    options = parser.parse_args()
    run_standin(LogStandin(options), options)


if __name__ == "__main__":
    main()
