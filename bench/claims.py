"""Throughput and latency of grouped claims, compared with one append for each claim.

Two writers, as in two entries, share one log stand-in that accepts 300 appends a second. Claims are
offered open loop at each rate for a few seconds; `python -m bench.claims` prints JSON.
"""

from __future__ import annotations

import json
import random
import statistics
import tempfile
import uuid
from abc import ABC, abstractmethod
from pathlib import Path

import attrs
import trio

from figwalk.coordination.claim_writer import ClaimWriter
from figwalk.coordination.http_log_client import HttpLogClient
from figwalk.coordination.log_follower import LogFollower
from figwalk.errors import LogError, RefusalError
from figwalk.events import EventLog
from figwalk.log_output import configure_logging
from figwalk.protocol.records import CLAIMS_STREAM, Claim, ClaimBatch, encode_record
from figwalk.state.claims import Claims
from figwalk.state.settings import Address
from figwalk.timer import MS_PER_S, Timer
from standins.launcher import Launcher

APPENDS_PER_S = 300
APPEND_BURST = 30
WRITERS = 2
RATES_PER_S = (50, 150, 250, 350, 700, 1500, 3000)
DURATION_S = 4.0
DRAIN_S = 3.0
SEED = 1


class Claimer(ABC):
    """A way to claim keys through the log."""

    @abstractmethod
    async def claim(self, claim: Claim) -> None:
        """Claim a key; return when the claim was read back from the log as the winner.

        Raises:
            RefusalError, LogError: The key was not claimed.
        """


class GroupedClaimer(Claimer):
    """Claims through figwalk's writer: one append in flight, later claims share the next one."""

    def __init__(self, writer: ClaimWriter) -> None:
        self._writer = writer

    async def claim(self, claim: Claim) -> None:
        """Claim through the writer."""
        await self._writer.claim(claim)


class SingleClaimer(Claimer):
    """Claims through the baseline: one append for each claim, many of them in flight."""

    def __init__(self, client: HttpLogClient, follower: LogFollower) -> None:
        self._client = client
        self._follower = follower

    async def claim(self, claim: Claim) -> None:
        """Append the claim and wait until its record is read back."""
        batch = ClaimBatch(uuid.uuid4().hex, [], [claim])
        offset = await self._client.append(CLAIMS_STREAM, batch.record_id, encode_record(batch))
        await self._follower.wait_for(offset)


@attrs.define
class Tally:
    """Result of one offered rate; `refused` includes claims that did not finish."""

    latencies_ms: list[float] = attrs.field(factory=list)
    refused: int = 0

    def render(self, rate: int) -> dict[str, float]:
        """Return the results for JSON."""
        done = self.latencies_ms or [0.0]
        return {
            "offered_per_s": rate,
            "claimed_per_s": round(len(self.latencies_ms) / DURATION_S, 1),
            "refused_or_unfinished": self.refused,
            "median_ms": round(statistics.median(done), 1),
            "p95_ms": round(statistics.quantiles(done, n=20)[-1], 1) if len(done) > 1 else 0.0,
        }


async def offer(claimers: list[Claimer], rate: int) -> Tally:
    """Offer claims with Poisson arrivals at a rate, each to a random claimer."""
    tally = Tally()
    rng = random.Random(SEED)
    with trio.move_on_after(DURATION_S + DRAIN_S):
        async with trio.open_nursery() as nursery:
            started = trio.current_time()
            due = started
            while (due := due + rng.expovariate(rate)) < started + DURATION_S:
                await trio.sleep_until(due)
                tally.refused += 1
                nursery.start_soon(claim_once, rng.choice(claimers), tally)
    return tally


async def claim_once(claimer: Claimer, tally: Tally) -> None:
    """Claim a new key and record the latency."""
    claim = Claim(uuid.uuid4().hex, "depot", "", uuid.uuid4().hex, "digest", "depot-1", 1)
    started = trio.current_time()
    try:
        await claimer.claim(claim)
    except (RefusalError, LogError):
        return
    tally.refused -= 1
    tally.latencies_ms.append((trio.current_time() - started) * MS_PER_S)


async def measure(address: Address, *, grouped: bool) -> list[dict[str, float]]:
    """Measure all rates against one log."""
    results = []
    timer = Timer()
    async with trio.open_nursery() as nursery:
        claimers: list[Claimer] = []
        for number in range(WRITERS):
            events = EventLog(f"writer-{number}", timer)
            client = HttpLogClient(address)
            claims = Claims()
            follower = LogFollower(client, CLAIMS_STREAM, claims.apply, events, timer)
            nursery.start_soon(follower.run)
            await follower.read_to_head()
            if grouped:
                writer = ClaimWriter(client, claims, follower, events, timer)
                nursery.start_soon(writer.run)
                claimers.append(GroupedClaimer(writer))
            else:
                claimers.append(SingleClaimer(client, follower))
        for rate in RATES_PER_S:
            results.append((await offer(claimers, rate)).render(rate))
        nursery.cancel_scope.cancel()
    return results


async def run() -> dict[str, object]:
    """Measure grouped and single claims, each against a new log."""
    configure_logging("json")
    directory = Path(tempfile.mkdtemp(prefix="figwalk-claims-"))
    figures: dict[str, object] = {"appends_per_s": APPENDS_PER_S, "writers": WRITERS}
    async with Launcher(directory) as launcher:
        for name, grouped in (("grouped", True), ("one_append_each", False)):
            arguments = ("--append-rate", str(APPENDS_PER_S), "--append-burst", str(APPEND_BURST))
            log = await launcher.start(f"log-{name}", "standins.log", *arguments)
            figures[name] = await measure(log.addresses["http"], grouped=grouped)
    return figures


def main() -> None:
    """Run the measurement and print its results."""
    print(json.dumps(trio.run(run), indent=2))


if __name__ == "__main__":
    main()
