"""Consumers send the largest bodies that the limits allow, and gateways run out of memory."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from pathlib import Path

from rig.case import Case, run_case
from rig.consumer import Channel
from rig.http import Answer, Message, render_answer
from rig.processes import Gateway, Hosts, choose_port
from rig.replica import Replica, sign, work_while_connected
from rig.store import Store

HOST = "calls.example"
MEMORY_MB = 300.0
MEMORY_CHECK_S = 0.005
RESTART_S = 1.0
GATEWAYS = 2
REPLICAS = 3
CONSUMERS = 40  # Of each gateway; they send the large orders.
SMALL_CONSUMERS = 20  # Of each gateway; they send small orders one after the other.
WAVES = 3
CALM_S = 5.0
WAVE_S = 12.0
SMALL_BYTES = 600
SMALL_PAUSE_S = 0.02
LARGE_BYTES = 4_194_304
DEADLINE_MS = 2000
WORK_S = 0.09
QUEUE = 24
ALLOWED_CUTS = 3


class Depot(Replica):
    """A sound replica of a plain service."""

    def __init__(self, *args: object, world: World, **options: object) -> None:
        super().__init__(*args, **options)
        self._world = world
        self._places = asyncio.Semaphore(self.slots)
        self._waiting = 0

    async def answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request in one of the slots."""
        call = request.header("request-id")
        self._world.record_arrival(call, self)
        if self._waiting >= QUEUE:
            headers = {"Request-Id": call, "Not-Executed": "1"}
            writer.write(render_answer(Answer(503, headers)))
            return
        self._waiting += 1
        try:
            await self._places.acquire()
        finally:
            self._waiting -= 1
        try:
            await work_while_connected(reader, WORK_S)
        finally:
            self._places.release()
        writer.write(render_answer(Answer(200, sign(self, request), b"done")))


class World:
    """What was sent, what arrived and what was answered."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self._ids = itertools.count()
        self.arrived: set[str] = set()
        self.cut: list[str] = []
        self.kills: Counter[str] = Counter()
        self.ends: Counter[str] = Counter()

    def make_id(self) -> str:
        """Return the id of a new request."""
        return f"order-{next(self._ids)}"

    def record_arrival(self, call: str, replica: Depot) -> None:
        """Record that a request reaches a replica."""
        self.arrived.add(call)
        self._case.note(f"{call} reaches {replica.name}")

    def record_end(self, call: str, size: int, result: str, *, kept: bool) -> None:
        """Record what the consumer of a request got."""
        self.ends[f"{size} B: {result}"] += 1
        self._case.note(f"{call} of {size} B ends: {result}")
        if result == "closed" and kept and call in self.arrived:
            self.cut.append(call)


def make_config() -> dict[str, object]:
    """Return the operator's configuration."""
    route = {
        "name": "r-order",
        "hostname": HOST,
        "path-prefix": "/order/",
        "kind": "unsafe",
        "timeout-ms": DEADLINE_MS,
        "target-latency-ms": 415,
        "priority": 2,
        "service": "depot",
        "max-attempts": 1,
    }
    service = {
        "name": "depot",
        "health-path": "/healthz",
        "max-connections": 110,
        "protocol": "h1",
        "tls": False,
    }
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": LARGE_BYTES,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }
    return {"version": 1, "routes": [route], "services": [service], "limits": limits}


async def enforce_memory(case: Case, world: World, gateway: Gateway) -> None:
    """Kill a process over the memory of its machine, and start it again, as the platform does."""
    while True:
        await asyncio.sleep(MEMORY_CHECK_S)
        resident_mb = gateway.resident_mb() if gateway.running else 0.0
        if resident_mb <= MEMORY_MB:
            continue
        world.kills[gateway.name] += 1
        case.say(f"{gateway.name} has {resident_mb:.0f} MB, over {MEMORY_MB:.0f}, and is killed")
        gateway.kill()
        await gateway.process.wait()
        await asyncio.sleep(RESTART_S)
        await gateway.start()


async def ask(world: World, channel: Channel, size: int) -> None:
    """Send one order and record its end."""
    call = world.make_id()
    kept = channel.is_open
    headers = {"Request-Id": call, "Deadline-Ms": str(DEADLINE_MS)}
    try:
        async with asyncio.timeout(2 * DEADLINE_MS / 1000):
            answer = await channel.ask("POST", f"/order/{call}", HOST, headers, b"x" * size)
        world.record_end(call, size, str(answer.status), kept=kept)
    except ConnectionError:
        world.record_end(call, size, "closed", kept=kept)
    except TimeoutError:
        world.record_end(call, size, "given up", kept=kept)


async def consume(case: Case, world: World, gateway: Gateway, number: int) -> None:
    """Send small orders on a kept channel, and in each wave one of the largest size."""
    channel = Channel(gateway.front)
    loop = asyncio.get_running_loop()
    started = loop.time()
    for wave in range(WAVES):
        wave_at = started + CALM_S + wave * WAVE_S
        await asyncio.sleep(max(0.0, wave_at - 2.0 - loop.time()) + number / CONSUMERS)
        await ask(world, channel, SMALL_BYTES)
        await asyncio.sleep(max(0.0, wave_at - loop.time()))
        await ask(world, channel, LARGE_BYTES if case.trouble else SMALL_BYTES)
    channel.close()


async def send_small_orders(world: World, gateway: Gateway) -> None:
    """Send small orders on a kept channel until cancelled."""
    channel = Channel(gateway.front)
    try:
        while True:
            await ask(world, channel, SMALL_BYTES)
            await asyncio.sleep(SMALL_PAUSE_S)
    finally:
        channel.close()


async def play(case: Case) -> bool:
    """Play the case; return whether the rule held."""
    store, world, hosts = Store(), World(case), Hosts()
    await store.start("127.0.0.1")
    store.put("keyed.op", "config", make_config())
    for number in range(REPLICAS):
        Depot(f"depot-{number}", "depot", hosts.take(), store, case.note, world=world).start()
    port = choose_port("127.0.0.1")
    gateways = [
        Gateway(f"edge-{n}", hosts.take(), case.folder, store.address, port)
        for n in range(GATEWAYS)
    ]
    for gateway in gateways:
        await case.start(gateway)
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(5.0)  # The machines are in touch from now on.
    watchers = [asyncio.ensure_future(enforce_memory(case, world, g)) for g in gateways]
    watchers += [
        asyncio.ensure_future(send_small_orders(world, gateway))
        for gateway in gateways
        for _ in range(SMALL_CONSUMERS)
    ]
    await asyncio.gather(
        *(consume(case, world, gateway, n) for gateway in gateways for n in range(CONSUMERS))
    )
    for watcher in watchers:
        watcher.cancel()
    case.say(f"ends: {dict(sorted(world.ends.items()))}")
    case.say(f"Fault: processes ended over the memory limit: {dict(world.kills)}")
    case.say(
        f"LOST: {len(world.cut)} orders were passed on from kept channels that were then closed"
        f" without an answer; {ALLOWED_CUTS} are allowed"
    )
    return len(world.cut) <= ALLOWED_CUTS


if __name__ == "__main__":
    run_case(play, Path(__file__).with_name("record.txt"), limit_s=110.0)
