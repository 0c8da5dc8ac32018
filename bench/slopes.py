"""Cost of the control messages and of the state of one process, at several sizes.

`make slopes` prints JSON: processor microseconds per operation, bytes on the wire and in memory,
and the slope over the sizes. Everything runs in one process on the classes that figwalk uses, with
messages and records encoded as they are sent; only the log and the connections are left out.
"""

from __future__ import annotations

import gc
import json
import statistics
import time
import tracemalloc
import uuid
from collections.abc import Callable
from typing import TypeVar

import attrs
import trio

from figwalk.coordination.log_client import StoredRecord
from figwalk.coordination.router import PredictedPolicy, RouteRequest
from figwalk.entry.agent_link import AgentLink
from figwalk.events import EventLog
from figwalk.protocol.codec import decode_message, encode_message
from figwalk.protocol.messages import ConfigUpdate, LoadReport
from figwalk.protocol.records import (
    Change,
    Claim,
    ClaimBatch,
    Outcome,
    Publish,
    Record,
    encode_entries,
    encode_record,
)
from figwalk.state.claims import Claims
from figwalk.state.configuration import Configuration
from figwalk.state.fleet import Fleet
from figwalk.state.notifier import Notifier
from figwalk.state.prefixes import PrefixIndex
from figwalk.state.settings import Address
from figwalk.timer import Timer

FRAME_HEADER_BYTES = 5
REPEATS = 5
US_PER_S = 1_000_000
NEVER_STALE_S = 1e9  # Building a large fleet takes longer than the usual report timeout.
START_MS = 1_700_000_000_000
BACKEND_SIZES = (10, 100, 1000)
CANDIDATE_SIZES = (4, 32, 256)
ENTRY_SIZES = (100, 1000, 10_000)
KEY_SIZES = (1000, 10_000, 50_000)
BATCH_SIZES = (1, 10, 100)

T = TypeVar("T")


@attrs.frozen
class Series:
    """A cost at several sizes.

    Attributes:
        unit: Unit of the values.
        values: Value at each size.
    """

    unit: str
    values: dict[int, float]

    @property
    def slope(self) -> float:
        """Growth of the value per unit of size, by least squares."""
        if len(self.values) < 2:
            return 0.0
        return statistics.linear_regression(list(self.values), list(self.values.values())).slope

    def render(self) -> dict[str, object]:
        """Return the series for JSON."""
        values = {str(size): round(value, 3) for size, value in self.values.items()}
        return {"unit": self.unit, "values": values, "slope": round(self.slope, 6)}


def time_us(operation: Callable[[], object], count: int) -> float:
    """Return the processor microseconds per call, the minimum of several runs."""
    runs = []
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(count):
            operation()
        runs.append((time.process_time() - started) / count * US_PER_S)
    return min(runs)


def allocate(build: Callable[[], T]) -> tuple[T, int]:
    """Return the result of a function and the number of bytes that remain allocated for it."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    retained_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, retained_bytes


def make_report(backend: str, sequence: int) -> LoadReport:
    """Return a load report of a busy engine, with one stored and one evicted cache entry."""
    return LoadReport(
        sequence,
        backend,
        running=24,
        queued=3,
        queued_prompt_tokens=9000,
        queued_output_tokens=4000,
        max_running=32,
        prefill_tokens_per_s=9000.0,
        decode_tokens_per_s=900.0,
        prompt_tokens_total=10**9 + sequence,
        generated_tokens_total=10**8 + sequence,
        order_offset=10**6,
        control_offset=10**6,
        revision=10**6,
        queue_wait_ms=120,
        engine_report_age_ms=600,
        cache_stored=[2**63 + sequence],
        cache_evicted=[2**62 + sequence],
    )


def make_fleet(timer: Timer, size: int) -> Fleet:
    """Return a fleet of one service with fresh reports."""
    fleet = Fleet(timer, report_timeout_s=NEVER_STALE_S)
    for number in range(size):
        name = f"llm-{number}"
        fleet.register(name, "llm", zone=f"zone-{number % 3}", region=f"region-{number % 3}")
        fleet.update_report(make_report(name, 1))
    return fleet


class Slopes:
    """Measures the cost of messages, records and state."""

    def __init__(self) -> None:
        self._timer = Timer()

    def run(self) -> dict[str, object]:
        """Return all series."""
        return {
            "load_report_wire_bytes": self.measure_report_bytes(),
            "load_report_encode_us": time_us(lambda: encode_message(make_report("llm-1", 9)), 2000),
            "load_report_receive_us": self.measure_report().render(),
            "route_us": self.measure_route().render(),
            "backend_memory_bytes": self.measure_backend_memory().render(),
            "agent_link_memory_bytes": self.measure_link_memory().render(),
            "config_record_apply_us": self.measure_config().render(),
            "config_record_bytes": len(encode_record(self._make_publish(1, 0))),
            "config_push_us": self.measure_config_push(),
            "config_entry_memory_bytes": self.measure_config_memory().render(),
            "claim_us": self.measure_claims().render(),
            "claim_record_bytes": self.measure_claim_bytes().render(),
            "key_memory_bytes": self.measure_key_memory().render(),
        }

    def measure_report_bytes(self) -> int:
        """Return the frame size of a load report."""
        return len(encode_message(make_report("llm-1000", 10**6))) + FRAME_HEADER_BYTES

    def measure_report(self) -> Series:
        """Measure decoding and applying a report, by the number of known backend servers."""
        values = {}
        for size in BACKEND_SIZES:
            fleet = make_fleet(self._timer, size)
            encoded_reports = [
                encode_message(make_report(f"llm-{n % size}", n + 2)) for n in range(2000)
            ]
            pending = iter(encoded_reports * REPEATS)
            values[size] = time_us(
                lambda p=pending, f=fleet: f.update_report(decode_message(next(p))),
                len(encoded_reports),
            )
        return Series("us for each report, by known backend servers", values)

    def measure_route(self) -> Series:
        """Measure one routing decision, by the number of candidates."""
        values = {}
        for size in CANDIDATE_SIZES:
            fleet = make_fleet(self._timer, size)
            policy = PredictedPolicy(PrefixIndex(), region_penalty_s=0.05, seed=1)
            request = RouteRequest("llm", "zone-0", "region-0", prompt_tokens=4000, max_tokens=200)
            values[size] = time_us(
                lambda f=fleet, p=policy, r=request: p.choose(
                    r, f.candidates("llm"), self._timer.now()
                ),
                200,
            )
        return Series("us for each decision, by candidates", values)

    def measure_backend_memory(self) -> Series:
        """Measure the memory of known backend servers."""
        values = {
            size: float(allocate(lambda s=size: make_fleet(self._timer, s))[1])
            for size in BACKEND_SIZES
        }
        return Series("bytes, by known backend servers", values)

    def measure_link_memory(self) -> Series:
        """Measure the memory of links to agents, without the kernel's socket buffers."""
        values = {
            size: float(allocate(lambda s=size: [self._make_link(n) for n in range(s)])[1])
            for size in BACKEND_SIZES
        }
        return Series("bytes, by links", values)

    def measure_config(self) -> Series:
        """Measure applying a publication, by the number of paths."""
        values = {}
        for size in ENTRY_SIZES:
            configuration = self._make_configuration(size)
            revisions = {n: n + 1 for n in range(size)}
            offset = size
            records = []
            for step in range(500 * REPEATS):
                number = step % size
                publish = self._make_publish(number, revisions[number], uuid.uuid4().hex)
                records.append(self._store(offset, publish))
                revisions[number] = offset + 1
                offset += 1
            pending = iter(records)
            values[size] = time_us(lambda c=configuration, p=pending: c.apply(next(p)), 500)
        return Series("us for each record, by paths", values)

    def measure_config_push(self) -> float:
        """Measure encoding the update of one changed path for an agent."""
        configuration = self._make_configuration(1000)
        revision = configuration.revision

        def push() -> bytes:
            entries = configuration.entries_after(revision - 1)
            return encode_message(ConfigUpdate(revision, False, encode_entries(entries)))

        return time_us(push, 200)

    def measure_config_memory(self) -> Series:
        """Measure the memory of published paths."""
        values = {
            size: float(allocate(lambda s=size: self._make_configuration(s))[1])
            for size in ENTRY_SIZES
        }
        return Series("bytes, by paths", values)

    def measure_claims(self) -> Series:
        """Measure encoding and applying a claim with its outcome, by the size of the batch."""
        values = {}
        for size in BATCH_SIZES:
            claims = Claims()
            offsets = iter(range(10**6))

            def step(claims: Claims = claims, size: int = size, offsets: object = offsets) -> None:
                claims.apply(self._store(next(offsets), self._make_batch(size)))

            values[size] = time_us(step, 200) / size
        return Series("us for each claim with its outcome, by batch size", values)

    def measure_claim_bytes(self) -> Series:
        """Measure the log bytes of a claim with its outcome, by the size of the batch."""
        values = {size: len(encode_record(self._make_batch(size))) / size for size in BATCH_SIZES}
        return Series("bytes for each claim with its outcome, by batch size", values)

    def measure_key_memory(self) -> Series:
        """Measure the memory of the claims and outcomes of keys."""
        values = {
            size: float(allocate(lambda s=size: self._make_claims(s))[1]) for size in KEY_SIZES
        }
        return Series("bytes, by remembered keys", values)

    def _make_link(self, number: int) -> AgentLink:
        return AgentLink(
            f"agent-{number}",
            Address("127.0.0.1", number),
            owner=None,
            configuration=self._shared_configuration,
            changed=self._shared_notifier,
            events=self._shared_events,
            report_timeout_s=1.0,
        )

    @property
    def _shared_configuration(self) -> Configuration:
        return _SHARED_CONFIGURATION

    @property
    def _shared_notifier(self) -> Notifier:
        return _SHARED_NOTIFIER

    @property
    def _shared_events(self) -> EventLog:
        return _SHARED_EVENTS

    def _make_configuration(self, size: int) -> Configuration:
        configuration = Configuration()
        for number in range(size):
            configuration.apply(self._store(number, self._make_publish(number, 0)))
        return configuration

    def _make_publish(self, number: int, base: int, record_id: str = "") -> Publish:
        change = Change(f"organisations/org-{number}", {"share": 1.0 + number % 7}, base)
        return Publish(record_id or f"record-{number}", "operator", [change])

    def _make_claims(self, size: int) -> Claims:
        claims = Claims()
        for offset in range(size // 100):
            claims.apply(self._store(offset, self._make_batch(100)))
        return claims

    def _make_batch(self, size: int) -> ClaimBatch:
        claims = [
            Claim(
                uuid.uuid4().hex,
                "depot",
                "depots",
                uuid.uuid4().hex,
                uuid.uuid4().hex,
                "depot-1",
                2**63,
            )
            for _ in range(size)
        ]
        headers = [("content-type", "application/json")]
        outcomes = [
            Outcome(claim.claim_id, 201, headers, "eyJvcmRlciI6IDF9" * 4) for claim in claims
        ]
        return ClaimBatch(uuid.uuid4().hex, [], claims, outcomes)

    def _store(self, offset: int, record: Record) -> StoredRecord:
        return StoredRecord(offset, START_MS + offset, record.record_id, encode_record(record))


_SHARED_CONFIGURATION = Configuration()
_SHARED_NOTIFIER = Notifier()
_SHARED_EVENTS = EventLog("slopes", Timer())


async def measure() -> dict[str, object]:
    """Run all measurements under trio, since the timer reads trio's clock."""
    return Slopes().run()


def main() -> None:
    """Print the measurements."""
    print(json.dumps(trio.run(measure), indent=2))


if __name__ == "__main__":
    main()
