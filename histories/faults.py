"""Seeded schedule of faults and planned changes, one at a time or two at once."""

from __future__ import annotations

import json
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs
import trio

from figwalk.cli.operator_commands import publish_values, set_withdrawal
from figwalk.errors import FigwalkError, HttpError, SettingsError
from figwalk.state.published import PRESET_IN_FORCE_PATH
from figwalk.state.published_values import WithdrawalMode
from figwalk.state.settings import Address
from figwalk.transport import HttpClient
from histories.history import PAUSE_ENTRY, Disturbance, History, Leaving
from histories.recorder import Recorder
from standins.deployment import ENGINE_KIND, Deployment
from standins.launcher import ProcessHandle
from tests.support.forwarder import Direction, Forwarder

SHORTEST_S = 0.3
LONGEST_S = 6.0
REST_S = 1.5  # Pause between two rounds of the schedule, so that some requests meet no fault.
STOP_TIMEOUT_S = 30.0  # Above the grace time of 20 s in the settings of the example.
OPERATOR_RETRY_S = 0.5
CRASH_WAIT_S = 12.0
PRESETS = ("ordinary", "peak", "maintenance")
CLAIMS_STREAM = "claims"

Action = Callable[["FaultInjector", str, random.Random], Awaitable[None]]


@attrs.frozen
class FaultKind:
    """A kind of disturbance.

    Attributes:
        name: Its name.
        targets: Group of targets: `entry`, `agent`, `engine`, `service`, `log`, `vms`, `config`.
        action: Injects it, holds it and takes it back.
        planned: Whether it is a planned change.
    """

    name: str
    targets: str
    action: Action
    planned: bool = False


class FaultInjector:
    """Injects faults and takes each back.

    Args:
        deployment: The running deployment.
        recorder: Is told of starts and expected ends.
        history: Takes the disturbances.
        forwarders: Forwarder of each link by name.
        seed: Seed of the schedule.
        only: Names of the faults to use; all if empty.
    """

    def __init__(
        self,
        deployment: Deployment,
        recorder: Recorder,
        history: History,
        forwarders: dict[str, Forwarder],
        seed: int,
        only: frozenset[str] = frozenset(),
    ) -> None:
        self.deployment = deployment
        self.recorder = recorder
        self.history = history
        self.forwarders = forwarders
        self._seed = seed
        self._kinds = [kind for kind in FAULTS if not only or kind.name in only]
        self._busy: set[str] = set()

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Inject until told that it is over, then return once everything is taken back."""
        rng = random.Random(f"{self._seed}-faults")
        while not is_over():
            await trio.sleep(rng.uniform(0.5, 2 * REST_S))
            count = 2 if rng.random() < 0.4 else 1
            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    kind = rng.choice(self._kinds)
                    target = rng.choice(self._targets(kind))
                    own_rng = random.Random(rng.random())
                    if target not in self._busy:
                        self._busy.add(target)
                        nursery.start_soon(self._inject, kind, target, own_rng)
                        await trio.sleep(rng.uniform(0, 1.5))

    async def _inject(self, kind: FaultKind, target: str, rng: random.Random) -> None:
        index = len(self.history.disturbances)
        started = Disturbance(kind.name, target, kind.planned, time.time())
        self.history.disturbances.append(started)
        await kind.action(self, target, rng)
        self.history.disturbances[index] = attrs.evolve(started, until=time.time())
        self._busy.discard(target)

    def _targets(self, kind: FaultKind) -> list[str]:
        settings = self.deployment.agent_settings
        groups = {
            "entry": list(self.deployment.entries),
            "agent": list(self.deployment.agents),
            "engine": [s.backend.name for s in settings if s.backend.kind == ENGINE_KIND],
            "service": [s.backend.name for s in settings if s.backend.kind != ENGINE_KIND],
            "link": list(self.deployment.agents),
            "log_link": [f"{entry}-log" for entry in self.deployment.entries],
        }
        return groups.get(kind.targets, [kind.targets])

    def handle(self, name: str) -> ProcessHandle:
        """Return the newest process of a name."""
        deployment = self.deployment
        return {**deployment.entries, **deployment.agents, **deployment.backends}[name]

    def backend_of(self, agent: str) -> str:
        """Return the backend server beside an agent."""
        settings = self.deployment.agent_settings
        return next(s.backend.name for s in settings if s.process == agent)

    async def restart(self, name: str) -> None:
        """Start an ended process again."""
        self.recorder.note_start(name, await self.deployment.restart(name))

    async def set_faults(self, address: Address, **faults: object) -> None:
        """Change the faults of a stand-in."""
        client = HttpClient(address.host, address.port)
        try:
            response, body = await client.fetch("POST", "/faults", body=json.dumps(faults).encode())
        finally:
            client.close()
        if response.status != 200:
            raise RuntimeError(f"{address} refused {faults}: {body.decode()}")

    @asynccontextmanager
    async def faults(self, address: Address, **faults: object) -> AsyncIterator[None]:
        """Hold faults of a stand-in that are off by default."""
        await self.set_faults(address, **faults)
        yield
        off = {"outage": False, "report_idle": False, "hold_changes": False}
        none = {"cut_after_tokens": None, "crash_after_tokens": None}
        values = {name: {**off, **none}.get(name, 0) for name in faults}
        await self.set_faults(address, **values)

    async def operate(
        self, operation: Callable[..., Awaitable[object]], *arguments: object
    ) -> None:
        """Run an operator's command through any entry until it succeeds."""
        index = 0
        while True:
            index += 1
            client = self.deployment.admin_client(index % len(self.deployment.entries))
            try:
                await operation(client, *arguments, author="fault schedule")
            except SettingsError:
                raise  # Another try would be refused as well.
            except FigwalkError:
                await trio.sleep(OPERATOR_RETRY_S)
            else:
                return
            finally:
                client.close()


def _duration(rng: random.Random) -> float:
    return rng.uniform(SHORTEST_S, LONGEST_S)


async def _kill(injector: FaultInjector, target: str, rng: random.Random) -> None:
    handle = injector.handle(target)
    if target in injector.deployment.backends:
        await injector.recorder.collect(target)
    injector.recorder.expect_end(handle, "kill")
    handle.kill()
    await handle.wait()
    await trio.sleep(rng.choice([0.0, _duration(rng)]))
    await injector.restart(target)


async def _pause(injector: FaultInjector, target: str, rng: random.Random) -> None:
    handle = injector.handle(target)
    handle.pause()
    # Some pauses outlast the lease of 5 s.
    await trio.sleep(rng.choice([0.2, 1.5, 4.0, 9.0]))
    handle.resume()


async def _stop(injector: FaultInjector, target: str, rng: random.Random) -> None:
    handle = injector.handle(target)
    is_agent = target in injector.deployment.agents
    shows_leaving = is_agent and rng.random() < 0.5
    if shows_leaving:
        await injector.deployment.set_vm_state(target, "leaving")
    injector.recorder.expect_end(handle, "stop")
    since = time.time()
    handle.terminate()
    with trio.move_on_after(STOP_TIMEOUT_S) as scope:
        await handle.wait()
    if scope.cancelled_caught:
        handle.kill()
        await handle.wait()
    await trio.sleep(rng.choice([0.0, _duration(rng)]))
    if is_agent:
        leaving = Leaving(injector.backend_of(target), "SIGTERM", since, time.time())
        injector.history.leavings.append(leaving)
    await injector.restart(target)
    if shows_leaving:
        await injector.deployment.set_vm_state(target, "live")


async def _withdraw(injector: FaultInjector, target: str, rng: random.Random) -> None:
    backend = injector.backend_of(target)
    mode = rng.choice(list(WithdrawalMode))
    await injector.operate(set_withdrawal, backend, mode)
    since = time.time()
    await trio.sleep(rng.uniform(1.0, 9.0))
    injector.history.leavings.append(Leaving(backend, mode.value, since, time.time()))
    await injector.operate(set_withdrawal, backend, None)


async def _use_preset(injector: FaultInjector, _target: str, rng: random.Random) -> None:
    await injector.operate(publish_values, {PRESET_IN_FORCE_PATH: rng.choice(PRESETS)})


async def _cut_link(injector: FaultInjector, target: str, rng: random.Random) -> None:
    forwarder = injector.forwarders[target]
    forwarder.cut(refuse=True)
    await trio.sleep(rng.choice([0.0, _duration(rng)]))
    forwarder.forward()


async def _hold_link(injector: FaultInjector, target: str, rng: random.Random) -> None:
    forwarder = injector.forwarders[target]
    directions = rng.choice([(), (Direction.TO_SERVER,), (Direction.TO_CLIENT,)])
    forwarder.hold(*directions)
    await trio.sleep(_duration(rng))
    forwarder.forward()


async def _slow_link(injector: FaultInjector, target: str, rng: random.Random) -> None:
    forwarder = injector.forwarders[target]
    forwarder.delay(rng.uniform(0.05, 0.8))
    await trio.sleep(_duration(rng))
    forwarder.delay(0.0)


def _standin_fault(**faults: Callable[[random.Random], object]) -> Action:
    """Return an action that holds faults of the log, the VM list or a backend server."""

    async def act(injector: FaultInjector, target: str, rng: random.Random) -> None:
        platform = {
            "log": injector.deployment.platform.log,
            "vms": injector.deployment.platform.vms,
        }
        address = platform.get(target) or injector.handle(target).addresses["http"]
        values = {name: choose(rng) for name, choose in faults.items()}
        async with injector.faults(address, **values):
            await trio.sleep(_duration(rng))

    return act


async def _drop_records(injector: FaultInjector, _target: str, rng: random.Random) -> None:
    count = rng.randint(1, 200)
    await injector.set_faults(injector.deployment.platform.log, drop_oldest={CLAIMS_STREAM: count})


async def _crash_in_change(injector: FaultInjector, target: str, rng: random.Random) -> None:
    """Let the engine crash in its next change, if one comes, and start it again."""
    handle = injector.handle(target)
    injector.recorder.expect_end(handle, "crash")
    fault = rng.choice([{"crash_in_change": True}, {"crash_after_tokens": rng.randint(1, 30)}])
    await injector.set_faults(handle.addresses["http"], **fault)
    with trio.move_on_after(CRASH_WAIT_S) as scope:
        await handle.wait()
    if scope.cancelled_caught:
        try:
            await injector.set_faults(
                handle.addresses["http"], crash_in_change=False, crash_after_tokens=None
            )
        except HttpError:
            await handle.wait()
    if handle.returncode is None:
        injector.recorder.expect_end(handle, "")
        return
    await trio.sleep(rng.choice([0.0, _duration(rng)]))
    await injector.restart(target)


def _up_to(limit: int) -> Callable[[random.Random], int]:
    return lambda rng: rng.randint(1, limit)


def _milliseconds(least: float, most: float) -> Callable[[random.Random], float]:
    return lambda rng: round(rng.uniform(least, most), 1)


def _on(_rng: random.Random) -> bool:
    return True


FAULTS: tuple[FaultKind, ...] = (
    FaultKind("kill_entry", "entry", _kill),
    FaultKind("kill_agent", "agent", _kill),
    FaultKind("kill_engine", "engine", _kill),
    FaultKind(PAUSE_ENTRY, "entry", _pause),
    FaultKind("pause_agent", "agent", _pause),
    FaultKind("pause_engine", "engine", _pause),
    FaultKind("cut_link", "link", _cut_link),
    FaultKind("hold_link", "link", _hold_link),
    FaultKind("slow_link", "link", _slow_link),
    FaultKind("cut_log_link", "log_link", _cut_link),
    FaultKind("hold_log_link", "log_link", _hold_link),
    FaultKind("log_outage", "log", _standin_fault(outage=_on)),
    FaultKind("slow_log", "log", _standin_fault(delay_ms=_milliseconds(100, 1500))),
    FaultKind("slow_log_answers", "log", _standin_fault(answer_delay_ms=_milliseconds(100, 3000))),
    FaultKind("lost_log_answers", "log", _standin_fault(lose_answers=_up_to(6))),
    FaultKind(
        "late_appends",
        "log",
        _standin_fault(late_appends=_up_to(4), late_append_ms=_milliseconds(500, 5000)),
    ),
    FaultKind("drop_records", "log", _drop_records),
    FaultKind("late_vms", "vms", _standin_fault(delay_ms=_milliseconds(500, 4000))),
    FaultKind("vms_outage", "vms", _standin_fault(outage=_on)),
    FaultKind("engine_crash", "engine", _crash_in_change),
    FaultKind("cut_streams", "engine", _standin_fault(cut_after_tokens=_up_to(40))),
    FaultKind("wrong_answers", "engine", _standin_fault(wrong_answers=_up_to(3))),
    FaultKind("lost_order_answers", "engine", _standin_fault(lose_order_answers=_up_to(2))),
    FaultKind("failing_changes", "engine", _standin_fault(failing_changes=_up_to(2))),
    FaultKind("idle_report", "engine", _standin_fault(report_idle=_on)),
    FaultKind("lost_service_answers", "service", _standin_fault(lose_answers=_up_to(4))),
    FaultKind("wrong_service_answers", "service", _standin_fault(wrong_answers=_up_to(2))),
    FaultKind("slow_service", "service", _standin_fault(delay_ms=_milliseconds(100, 4000))),
    FaultKind("stop_entry", "entry", _stop, planned=True),
    FaultKind("stop_agent", "agent", _stop, planned=True),
    FaultKind("withdraw", "agent", _withdraw, planned=True),
    FaultKind("use_preset", "config", _use_preset, planned=True),
)
