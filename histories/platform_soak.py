"""Soak on the platform's protocol: gateways and agents against its stand-ins under faults.

    python -m histories.platform_soak --seed 7 --seconds 60

The seed fixes the choices of callers and faults; timing differs from run to run. Faults overlap,
also with releases of another software version of the engines, which come in series. Callers take
streams that broke off up again at other gateways.
Faults end after the given seconds, and calls have to be served again within the time that the
users' sheet allows. Exits with 1 if a rule is broken; settings and logs are then kept.
"""

from __future__ import annotations

import argparse
import json
import random
import shutil
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from weakref import WeakSet

import attrs
import trio

from figwalk.state.settings import Address
from histories.checker import Violation
from histories.platform_call import CallKind, PlatformCall
from histories.platform_caller import CallerConnection
from histories.platform_faults import FAULTS, RELEASES, Action, FaultTarget
from histories.platform_history import (
    RECOVER_S,
    PlatformHistory,
    RetryBound,
    check_platform_history,
    count_take_ups,
)
from histories.platform_page import draw_page
from histories.soak import run_until_signal
from standins.launcher import Launcher
from standins.platform_config import make_config, make_organisation, make_route
from standins.platform_deployment import PlatformDeployment, make_plan
from tests.support.forwarder import Forwarder

CALLERS = 24
STREAM_CALLERS = 12  # They ask for long streams only, so that some are open at each fault.
MEAN_PAUSE_S = 0.16  # About a hundred calls a second from all callers.
REUSE_RATIO = 0.5
ABANDON_RATIO = 0.03
LONG_STREAM_ABANDON_RATIO = 0.1  # These callers come back for the rest.
MAX_TAKE_UPS = 5
TAKE_UP_PAUSE_S = 0.4
SHORT_PATIENCE_S = 2.0
LONG_PATIENCE_S = 10.0
FAULT_TASKS = 5  # Faults in force at the same time.
CALM_CALLS_S = 3.0
TICK_S = 0.05
STALL_S = 0.5  # A tick this late is beyond what a busy machine of ours shows.
LAST_CALLS_S = LONG_PATIENCE_S + 5.0
SHOWN_VIOLATIONS = 5  # Of each rule.
ORGANISATIONS = [
    make_organisation("large", "key-1", "key-2", priority=1),
    make_organisation("small", "key-3"),
]
FAILURE_EVENTS = frozenset({"TASK_FAILED"})


@attrs.frozen
class SoakOptions:
    """What to run.

    Attributes:
        seed: Seed of all choices.
        seconds: Seconds during which faults are injected.
        gateways: Gateways to run.
        engines: Engines, each with its agent.
        zones: Availability zones; gateways share reads of the store if a zone has three of them.
        only: Names of the faults to use; all if empty.
        awaits_recovery: Whether calls go on until service has to be whole again.
    """

    seed: int
    seconds: float
    gateways: int = 3
    engines: int = 4
    zones: int = 3
    only: frozenset[str] = frozenset()
    awaits_recovery: bool = True


class PlatformSoak(FaultTarget):
    """One run.

    Args:
        options: What to run.
        directory: For settings and log files.
    """

    def __init__(self, options: SoakOptions, directory: Path) -> None:
        self._options = options
        self._directory = directory
        self._forwarders: dict[str, Forwarder] = {}
        self._addresses: dict[str, Address] = {}
        self._open: defaultdict[str, WeakSet[CallerConnection]] = defaultdict(WeakSet)
        self._taken: set[str] = set()
        self._stopping = False
        self._calm = False
        self._numbers = 0
        self._version = 1
        self._history = PlatformHistory(RetryBound(0.0, 1.0, 0.0))
        self._deployment: PlatformDeployment | None = None

    @property
    def history(self) -> PlatformHistory:
        """What was seen."""
        return self._history

    @property
    def deployment(self) -> PlatformDeployment:
        """The processes; valid while `run` goes on."""
        assert self._deployment is not None, "run the soak first"
        return self._deployment

    async def run(self) -> list[Violation]:
        """Run and return the violations; SIGTERM and SIGINT end the processes and then this one.

        Raises:
            KeyboardInterrupt: A signal ended the run.
        """
        return await run_until_signal(self._run)

    async def _run(self) -> list[Violation]:
        options = self._options
        async with trio.open_nursery() as forwarding, Launcher(self._directory) as launcher:

            async def route(link: str, address: Address) -> Address:
                if link not in self._forwarders:
                    self._forwarders[link] = Forwarder(address)
                    self._addresses[link] = await forwarding.start(self._forwarders[link].run)
                return self._addresses[link]

            async def route_agent(gateway: str, agent: str, address: Address, port: int) -> None:
                link = f"{gateway}>{agent}"
                if link not in self._forwarders:
                    self._forwarders[link] = _PortForwarder(address, port)
                    await forwarding.start(self._forwarders[link].run)

            plan = make_plan(
                gateways=options.gateways,
                services=3,
                engines=options.engines,
                zones=options.zones,
            )
            self._deployment = PlatformDeployment(
                plan,
                launcher,
                self._directory,
                route=route,
                route_agent=route_agent,
                config={"tenants": ORGANISATIONS},
            )
            await self.deployment.start()
            retry = self.deployment.gateway("gateway-0").retry
            self._history.bound = RetryBound(retry.ratio, retry.window_s, retry.slack)
            await self._play()
            forwarding.cancel_scope.cancel()
        for path in sorted(self._directory.glob("*.runs")):
            self._history.read_run_log(path.read_text().splitlines())
        self._history.failures = _read_failures(self._directory)
        return check_platform_history(self._history)

    async def _play(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_stalls)
            seed = self._options.seed
            for number in range(CALLERS + STREAM_CALLERS):
                rng = random.Random(f"{seed}/{number}")
                nursery.start_soon(self._run_caller, rng, number >= CALLERS)
            until = time.time() + self._options.seconds
            async with trio.open_nursery() as faults:
                for number in range(FAULT_TASKS):
                    rng = random.Random(f"{seed}/fault/{number}")
                    faults.start_soon(self._run_faults, rng, until, FAULTS)
                rng = random.Random(f"{seed}/release")
                faults.start_soon(self._run_faults, rng, until, RELEASES)
            if self._options.awaits_recovery:
                await trio.sleep(RECOVER_S)
                self._calm = True
                await trio.sleep(CALM_CALLS_S)
            self._stopping = True
            nursery.cancel_scope.deadline = trio.current_time() + LAST_CALLS_S

    async def _watch_stalls(self) -> None:
        """Note when this process did not run, from ticks that are late."""
        last = time.time()
        while not self._stopping:
            await trio.sleep(TICK_S)
            now = time.time()
            if now - last > STALL_S:
                self._history.stalls.append((last, now))
            last = now

    async def _run_faults(
        self, rng: random.Random, until: float, kinds: tuple[tuple[str, str, Action], ...]
    ) -> None:
        kinds = tuple(k for k in kinds if not self._options.only or k[0] in self._options.only)
        while kinds and time.time() < until:
            await trio.sleep(rng.uniform(0.0, 1.5))
            name, group, action = rng.choice(kinds)
            targets = [t for t in self._find_targets(group) if t not in self._taken]
            if not targets:
                continue
            target = rng.choice(targets)
            with self.claim(name, target):
                await action(self, target, rng)

    @contextmanager
    def claim(self, fault: str, *targets: str) -> Iterator[list[str]]:
        """Keep other faults off those targets that none acts on, and return these."""
        free = [target for target in targets if target not in self._taken]
        self._taken.update(free)
        started = time.time()
        try:
            yield free
        finally:
            self._taken.difference_update(free)
            for target in free:
                self._history.disturbances.append((fault, target, started, time.time()))

    def _find_targets(self, group: str) -> list[str]:
        plan = self.deployment.plan
        engines = [backend.name for backend in plan.backends if backend.stage]
        return {
            "gateway": list(plan.gateways),
            "gateways": ["gateways"],
            "backend": [backend.name for backend in plan.backends],
            "engine": engines,
            "agent": [f"{name}-agent" for name in engines],
            "agent_link": [
                *(f"{name}-agents" for name in plan.gateways),
                *(f"{name}-agent-gateways" for name in engines),
            ],
            "store_link": [
                *(f"{name}-store" for name in plan.gateways),
                *(f"{name}-agent-store" for name in engines),
            ],
            "store": ["store"],
            "config": ["config"],
            "lm": ["lm"],
        }[group]

    async def _run_caller(self, rng: random.Random, long_streams: bool) -> None:
        connections: dict[str, CallerConnection] = {}
        while not self._stopping:
            await trio.sleep(rng.expovariate(1 / MEAN_PAUSE_S))
            gateway = rng.choice(list(self.deployment.plan.gateways))
            if long_streams:
                call = self._make_long_stream(rng, gateway)
            else:
                call = self._make_call(rng, gateway)
            connection = connections.pop(gateway, None)
            # A caller stays on an open connection, also while its gateway is about to stop.
            if connection is None or not connection.is_open or rng.random() > REUSE_RATIO:
                connection = await self._connect(gateway)
            if connection is None:
                continue
            ratio = LONG_STREAM_ABANDON_RATIO if long_streams else ABANDON_RATIO
            await self._send(connection, call, rng, ratio)
            if connection.reusable and not call.abandoned:
                connections[gateway] = connection
            if call.kind.is_resumable and not call.whole:
                await self._take_up(call, rng)

    async def _take_up(self, first: PlatformCall, rng: random.Random) -> None:
        """Ask other gateways for the rest of a stream, until it is whole or time is over."""
        call, events, sent = first, first.whole_events, 0
        until = first.sent_at + first.patience_s
        while events and not (call.status == 200 and call.whole) and sent < MAX_TAKE_UPS:
            await trio.sleep(rng.uniform(0.0, TAKE_UP_PAUSE_S))
            others = [name for name in self.deployment.plan.gateways if name != call.gateway]
            gateway = rng.choice(others or [call.gateway])
            connection = await self._connect(gateway)
            now = time.time()
            if now >= until or self._stopping:
                return
            if connection is None:
                continue
            call = attrs.evolve(
                self._make_call(rng, gateway),
                kind=first.kind,
                target=first.target,
                patience_s=until - now,
                prompt=first.prompt,
                events=first.events,
                key=first.key,
                organisation=first.organisation,
                resumes=first.call_id,
                after=events,
            )
            await self._send(connection, call, rng, LONG_STREAM_ABANDON_RATIO)
            connection.close(reset=False)
            events += call.whole_events
            sent += 1

    async def _connect(self, gateway: str) -> CallerConnection | None:
        """Connect to a gateway as a balancer does, or return None if it is not ready."""
        if not await self.deployment.is_ready(gateway):
            return None
        connection = await CallerConnection.open(self.deployment.gateway(gateway).callers)
        if connection is not None:
            self._open[gateway].add(connection)
        return connection

    async def _send(
        self,
        connection: CallerConnection,
        call: PlatformCall,
        rng: random.Random,
        abandon_ratio: float,
    ) -> None:
        leave_s = rng.uniform(0.0, 0.3) if rng.random() < abandon_ratio else None
        call.sent_at = time.time()
        call.calm = self._calm and leave_s is None and not call.resumes
        self._history.calls[call.call_id] = call
        with trio.move_on_after(leave_s if leave_s is not None else float("inf")) as scope:
            await connection.exchange(call)
        call.abandoned = scope.cancelled_caught
        call.ended_at = time.time()
        if call.abandoned:
            connection.close(reset=rng.random() < 0.5)

    def reset_callers(self, gateway: str) -> None:
        """Reset the callers' connections to a gateway."""
        for connection in self._open[gateway]:
            connection.close(reset=True)

    def _make_call(self, rng: random.Random, gateway: str) -> PlatformCall:
        self._numbers += 1
        kind = rng.choice(list(CallKind))
        patience_s = LONG_PATIENCE_S if kind is CallKind.CHAT else SHORT_PATIENCE_S
        call_id = f"{self._numbers:x}-{rng.getrandbits(32):x}"
        call = PlatformCall(
            call_id, kind, f"/{kind.value}/{self._numbers}", gateway, 0.0, patience_s
        )
        organisation = rng.choice(ORGANISATIONS)
        call.key, call.organisation = rng.choice(organisation["api-keys"]), organisation["name"]
        if kind.is_stream:
            shared = f"{rng.randint(1, 5):x}:2000" if kind is CallKind.LONG else "c:60"
            own = rng.randint(500, 4000) if kind is CallKind.LONG else rng.randint(20, 200)
            call.prompt = f"{shared},{rng.getrandbits(40):x}:{own}"
            call.events = rng.randint(1, 4) if kind is CallKind.LONG else rng.randint(5, 60)
        return call

    def _make_long_stream(self, rng: random.Random, gateway: str) -> PlatformCall:
        call = self._make_call(rng, gateway)
        return attrs.evolve(
            call,
            kind=CallKind.LONG,
            target=f"/{CallKind.LONG.value}/{self._numbers}",
            patience_s=LONG_PATIENCE_S,
            prompt=f"{rng.randint(1, 5):x}:2000,{rng.getrandbits(40):x}:{rng.randint(50, 500)}",
            events=rng.randint(40, 120),
        )

    async def publish(self, rng: random.Random) -> None:
        """Publish another version of the configuration, in which some routes come and go."""
        self._version += 1
        config = make_config(self._version)
        extra = [
            make_route(f"extra-{n}", "idempotent", "orders") for n in range(rng.randint(0, 60))
        ]
        await self.deployment.publish(config | {"routes": [*config["routes"], *extra]})

    def links(self, name: str) -> list[Forwarder]:
        """Return the forwarder of a link, or those between a gateway or an agent and others."""
        if name.endswith("-agents"):
            prefix = name.removesuffix("-agents") + ">"
            return [self._forwarders[link] for link in self._forwarders if link.startswith(prefix)]
        if name.endswith("-gateways"):
            suffix = ">" + name.removesuffix("-gateways")
            return [self._forwarders[link] for link in self._forwarders if link.endswith(suffix)]
        return [self._forwarders[name]]


class _PortForwarder(Forwarder):
    """A forwarder that listens on a given port of the server's host.

    Args:
        target: Address of the server.
        port: TCP port.
    """

    def __init__(self, target: Address, port: int) -> None:
        super().__init__(target)
        self._port = port

    async def run(
        self, *, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen and forward until cancelled; reports the address when started."""
        listeners = await trio.open_tcp_listeners(self._port, host=self._target.host)
        task_status.started(Address(self._target.host, self._port))
        await trio.serve_listeners(self._serve, listeners)


def _read_failures(directory: Path) -> list[str]:
    """Return log lines of the product's processes that tell of an error in its code."""
    failures = []
    for path in sorted(directory.glob("*.log")):
        if not path.name.startswith("gateway") and "-agent" not in path.name:
            continue
        for line in path.read_text(errors="replace").splitlines():
            is_event = line.startswith("{")
            if not is_event or json.loads(line).get("event") in FAILURE_EVENTS:
                failures.append(f"{path.name}: {line}")
    return failures


def print_report(soak: PlatformSoak, violations: list[Violation]) -> None:
    """Print what was run and what was found."""
    history = soak.history
    results: dict[str, Counter[str]] = {}
    for call in history.calls.values():
        whole = "" if call.whole else " cut" if call.status else ""
        result = "abandoned" if call.abandoned else f"{call.status or 'no answer'}{whole}"
        results.setdefault(call.kind.value, Counter())[result] += 1
    print(f"{len(history.calls)} calls, {sum(call.calm for call in history.calls.values())} calm")
    for kind, counts in sorted(results.items()):
        print(f"  {kind}: {', '.join(f'{name}: {n}' for name, n in counts.most_common())}")
    counts = count_take_ups(history)
    taken_up = {call.resumes for call in history.calls.values() if call.resumes}
    print(
        f"{len(taken_up)} streams taken up; without a fault of the gateway and with engines of the "
        f"version {len(counts.went_on)} of {counts.judged} went on, "
        f"{counts.begun} of {counts.new} new ones began"
    )
    faults = Counter(name for name, *_ in history.disturbances)
    print(f"faults: {dict(faults.most_common())}")
    rules = Counter(violation.rule for violation in violations)
    if history.stalls:
        total = sum(end - start for start, end in history.stalls)
        print(f"callers did not run {len(history.stalls)} times, {total:.1f} s in all")
    print(f"violations: {dict(rules) or 'none'}")
    shown: Counter[str] = Counter()
    for violation in violations:
        shown[violation.rule] += 1
        if shown[violation.rule] > SHOWN_VIOLATIONS:
            continue
        print(f"\n[{violation.rule}] {violation.message}")
        for record in violation.records:
            print(f"    {record}")


def main() -> None:
    """Run the soak from the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m histories.platform_soak",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0, help="seconds with faults")
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--only", default="", help="names of the faults to use, with commas")
    parser.add_argument("--page", type=Path, help="HTML file to draw the run into")
    arguments = parser.parse_args()
    only = frozenset(filter(None, arguments.only.split(",")))
    options = SoakOptions(
        arguments.seed,
        arguments.seconds,
        arguments.gateways,
        arguments.engines,
        arguments.zones,
        only,
    )
    directory = Path(tempfile.mkdtemp(prefix="figwalk-soak-"))
    soak = PlatformSoak(options, directory)
    violations = trio.run(soak.run)
    print_report(soak, violations)
    if arguments.page:
        arguments.page.write_text(draw_page(soak.history, violations))
    if violations:
        print(f"settings and logs: {directory}")
        sys.exit(1)
    shutil.rmtree(directory)


if __name__ == "__main__":
    main()
