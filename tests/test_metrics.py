import re
from pathlib import Path

import attrs
import trio
from agent_fakes import HOST, run_test, running_agent

from figwalk.entry.tallies import Tallies
from figwalk.metrics import Metrics
from figwalk.state.settings import Address
from figwalk.timer import Timer

PAGE = Path(__file__).parent.parent / "docs" / "metrics.md"


@attrs.define
class Receiver:
    """A statsd receiver that collects metric names."""

    socket: trio.socket.SocketType
    metrics: dict = attrs.field(factory=dict)

    @property
    def address(self):
        """Address of the receiver."""
        return Address(*self.socket.getsockname())

    async def read_until(self, name):
        """Receive until a metric has arrived."""
        while name not in self.metrics:
            data, _ = await self.socket.recvfrom(65536)
            for line in data.decode().splitlines():
                key, _, value = line.partition(":")
                self.metrics[key] = value


async def open_receiver():
    socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    await socket.bind((HOST, 0))
    return Receiver(socket)


def read_documented_names(section):
    """Return the metric names in a section of the page."""
    text = PAGE.read_text().split(f"## {section}\n")[1].split("\n## ")[0]
    return set(re.findall(r"^\| `([^`]+)` \|", text, re.MULTILINE))


def test_agent_sends_the_documented_metrics():
    """Guards against a metric whose name differs from the page, or that is never sent."""

    async def main():
        receiver = await open_receiver()
        async with running_agent(statsd=receiver.address) as running:
            entry = await running.connect()
            await entry.call()
            await entry.result()
            await receiver.read_until("figwalk.agent.llm-1.serving")
        prefix = "figwalk.agent.llm-1."
        assert {name.removeprefix(prefix) for name in receiver.metrics} == read_documented_names(
            "Agent"
        )
        assert receiver.metrics[f"{prefix}calls.ended"] == "1|c"
        assert receiver.metrics[f"{prefix}serving"] == "1|g"

    run_test(main)


def test_entry_sends_the_documented_metrics():
    """Guards against a metric whose name differs from the page, or that is never sent."""

    async def main():
        receiver = await open_receiver()
        timer = Timer()
        metrics = Metrics(receiver.address, prefix="figwalk.entry.entry-1", timer=timer)
        tallies = Tallies(metrics, timer)
        tallies.record_answered(in_time=True)
        tallies.record_refusal("<code>")
        tallies.record_region_bytes(5)
        await metrics.flush()
        prefix = "figwalk.entry.entry-1."
        await receiver.read_until(f"{prefix}region_bytes")
        assert {name.removeprefix(prefix) for name in receiver.metrics} == read_documented_names(
            "Entry"
        )
        assert receiver.metrics[f"{prefix}region_bytes"] == "5|c"

    run_test(main)
