"""Callers list the parts of their prompts block by block; the gateways run out of memory."""

from __future__ import annotations

import os
import sys
from collections import Counter
from itertools import count
from pathlib import Path

import trio

from review.rig2.caller import Caller
from review.rig2.deployment import MEMORY_MB, CaseError, Deployment, has_trouble, run_case
from standins.platform_config import make_config

# The sheet's long prompts: 6,300 shared tokens and 2,890 of their own.
SHARED_TOKENS = 6300
OWN_TOKENS = 2890
BLOCK_TOKENS = int(os.environ.get("BLOCK_TOKENS", "16"))
MAX_HEADER_BYTES = 16384
PROMPT_CALLERS = 12
PROMPT_PAUSE_S = 0.4  # 30 prompts a second at each gateway; the sheet has 37.
ORDER_CALLERS = 10
ORDER_WORK_MS = 150
TIMEOUT_S = 2.0
PLAY_S = 45.0
SAMPLE_S = 0.1
ALLOWED = 3
ENGINE = {"slots": 128, "kv-tokens": 1529843, "kv-bytes": 96256.0, "link-mbps": 4500000.0}
ENGINES = (("lm-1", "a", "prefill"), ("lm-2", "a", "decode"), ("lm-3", "b", "decode"))
BACKENDS = {"orders-1": "a", "orders-2": "b", "orders-3": "c"}


def list_parts(number: int) -> str:
    """Return the value of Prefix-Hash for a prompt, a part for each block or only three parts."""
    if not has_trouble():
        shared = SHARED_TOKENS // 2
        return f"a0:{shared},a1:{shared},{number:x}:{OWN_TOKENS}"
    parts = [f"{0xA00000 + i:x}:{BLOCK_TOKENS}" for i in range(SHARED_TOKENS // BLOCK_TOKENS)]
    first = number << 8
    parts += [f"{first + i:x}:{BLOCK_TOKENS}" for i in range(OWN_TOKENS // BLOCK_TOKENS)]
    return ",".join(parts)


class Case:
    """Callers, the platform's limit of memory, and the check of the rule."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._ids = count(1)
        self._killed: set[int] = set()
        self.kills: Counter[str] = Counter()
        self.most_mb: Counter[str] = Counter()
        self.results: Counter[str] = Counter()
        self.unanswered: dict[str, str] = {}

    async def send_prompts(self, gateway: str) -> None:
        """Send prompts to a gateway, one after the other."""
        caller = Caller(self._deployment.gateways[gateway].callers)
        tokens = SHARED_TOKENS + OWN_TOKENS
        while True:
            number = next(self._ids)
            headers = {
                "Prefix-Hash": list_parts(number),
                "Token-Counts": f"{tokens},2",
                "Model": "m",
            }
            size = sum(len(name) + len(value) + 4 for name, value in headers.items())
            if size > MAX_HEADER_BYTES - 512:
                raise CaseError(f"the headers of a prompt have {size} bytes")
            await self._send(caller, gateway, f"prompt-{number:06d}", "long", headers)
            await trio.sleep(PROMPT_PAUSE_S)

    async def send_orders(self, gateway: str) -> None:
        """Send orders to a gateway on a kept connection, one after the other."""
        caller = Caller(self._deployment.gateways[gateway].callers)
        while True:
            await self._send(caller, gateway, f"order-{next(self._ids):06d}", "order", {})

    async def _send(
        self, caller: Caller, gateway: str, call_id: str, route: str, headers: dict[str, str]
    ) -> None:
        exchange = await caller.send(
            call_id,
            "POST",
            f"/{route}/{call_id}",
            headers | {"Deadline-Ms": str(int(TIMEOUT_S * 1000))},
            timeout_s=TIMEOUT_S + 1,
        )
        if exchange is None:
            await trio.sleep(0.2)
            return
        self.results[f"{route} {exchange.status}"] += 1
        if exchange.kept and exchange.closed and not exchange.status:
            self.unanswered[call_id] = gateway
        self._deployment.note(
            "request",
            id=call_id,
            gateway=gateway,
            kept=exchange.kept,
            status=exchange.status,
            complete=exchange.complete,
            closed=exchange.closed,
        )

    async def limit_memory(self) -> None:
        """Kill a process that exceeds its memory, as the platform does."""
        while True:
            for name in self._deployment.gateways:
                process = self._deployment.processes[name]
                used_mb = self._deployment.memory_mb(name)
                self.most_mb[name] = max(self.most_mb[name], used_mb)
                if used_mb > MEMORY_MB and process.pid not in self._killed:
                    self._killed.add(process.pid)
                    self.kills[name] += 1
                    self._deployment.note("killed above its memory", process=name, mb=used_mb)
                    process.kill()
            await trio.sleep(SAMPLE_S)

    def judge(self) -> bool:
        """Return whether the rule was broken."""
        arrived = {
            str(line["id"])
            for name in (*BACKENDS, *(engine[0] for engine in ENGINES))
            for line in self._deployment.read_runs(name)
            if line["event"] == "run"
        }
        lost = {key: name for key, name in self.unanswered.items() if key in arrived}
        for call_id, gateway in lost.items():
            self._deployment.note(
                "run, and its connection closed without an answer", id=call_id, gateway=gateway
            )
        counts = Counter(lost.values())
        self._deployment.note(
            "verdict",
            results=dict(self.results),
            most_mb=dict(self.most_mb),
            kills=dict(self.kills),
            lost=dict(counts),
            allowed=ALLOWED,
        )
        print(f"most MB {dict(self.most_mb)}; killed {dict(self.kills)}; {dict(self.results)}")
        print(f"run, connection closed without answer {dict(counts)}")
        return any(number > ALLOWED for number in counts.values())


async def play(deployment: Deployment) -> bool:
    """Run the case; return whether the rule was broken."""
    config = make_config()
    for service in config["services"]:
        if "engine" in service:
            service["engine"] |= ENGINE
    await deployment.start_store(config)
    for name, zone in BACKENDS.items():
        await deployment.start_backend(name, "orders", zone, work_ms=ORDER_WORK_MS)
    for number, (name, zone, stage) in enumerate(ENGINES, start=1):
        address = await deployment.start_backend(
            name,
            "lm",
            zone,
            host=f"127.0.8.{number}",
            stage=stage,
            slots=ENGINE["slots"],
            queue=384,
            kv_tokens=ENGINE["kv-tokens"],
            prefill_tokens_per_s=490_000,
        )
        await deployment.start_agent(f"side-{number}", zone, address)
    for name, zone in (("edge-1", "a"), ("edge-2", "b")):
        await deployment.start_gateway(name, zone)
    await deployment.wait_ready()
    case = Case(deployment)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(case.limit_memory)
        for name in deployment.gateways:
            nursery.start_soon(deployment.keep_running, name)
            for _ in range(PROMPT_CALLERS):
                nursery.start_soon(case.send_prompts, name)
            for _ in range(ORDER_CALLERS):
                nursery.start_soon(case.send_orders, name)
        await trio.sleep(PLAY_S)
        nursery.cancel_scope.cancel()
    if case.results["long 200"] < 100 or case.results["order 200"] < 100:
        raise CaseError(f"too few requests were served: {dict(case.results)}")
    return case.judge()


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
