"""Faults and planned changes of the platform soak."""

from __future__ import annotations

import random
import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

import attrs
import trio

from figwalk.errors import HttpError
from histories.platform_history import GRACE_S, PlannedStop, PlatformHistory
from standins.launcher import ProcessHandle
from standins.platform_deployment import PlatformDeployment
from tests.support.forwarder import Direction, Forwarder

SHORTEST_S, LONGEST_S = 0.2, 5.0


class FaultTarget(ABC):
    """What faults act on."""

    @property
    @abstractmethod
    def history(self) -> PlatformHistory:
        """What was seen."""

    @property
    @abstractmethod
    def deployment(self) -> PlatformDeployment:
        """The processes."""

    @abstractmethod
    def link(self, name: str) -> Forwarder:
        """Return the forwarder of a link."""

    @abstractmethod
    async def publish(self, rng: random.Random) -> None:
        """Publish another version of the configuration."""


Action = Callable[["FaultTarget", str, random.Random], Awaitable[None]]


def _duration(rng: random.Random) -> float:
    return rng.uniform(SHORTEST_S, LONGEST_S)


async def _start(soak: FaultTarget, target: str) -> None:
    if target in soak.deployment.plan.gateways:
        await soak.deployment.start_gateway(target)
        await soak.deployment.wait_ready(target)
    elif target.endswith("-agent"):
        await soak.deployment.start_agent(target)
    else:
        await soak.deployment.start_backend(target)


async def _kill(soak: FaultTarget, target: str, rng: random.Random) -> None:
    handle = soak.deployment.processes[target]
    handle.kill()
    await handle.wait()
    await trio.sleep(rng.choice([0.0, _duration(rng)]))
    await _start(soak, target)


async def _stop(soak: FaultTarget, target: str, rng: random.Random) -> None:
    handle = soak.deployment.processes[target]
    since = time.time()
    handle.terminate()
    if rng.random() < 0.3:
        await trio.sleep(0.5)
        handle.hang_up()
    with trio.move_on_after(GRACE_S + 2.0):
        await handle.wait()
    if target in soak.deployment.plan.gateways:
        status = handle.returncode if handle.returncode is not None else -1
        soak.history.stops.append(PlannedStop(target, since, time.time() - since, status))
    if handle.returncode is None:
        handle.kill()
        await handle.wait()
    await _start(soak, target)


async def _pause(soak: FaultTarget, target: str, rng: random.Random) -> None:
    handle = soak.deployment.processes[target]
    handle.pause()
    await trio.sleep(_duration(rng))
    handle.resume()


async def _kill_while_paused(soak: FaultTarget, target: str, rng: random.Random) -> None:
    soak.deployment.processes[target].pause()
    await trio.sleep(_duration(rng))
    await _kill(soak, target, rng)


async def _change_settings(soak: FaultTarget, target: str, rng: random.Random) -> None:
    handle: ProcessHandle = soak.deployment.processes[target]
    for _ in range(rng.randint(1, 4)):
        settings = soak.deployment.gateway(target)
        if rng.random() < 0.3:
            soak.deployment.settings_path(target).write_text("kind: gateway\n")
        else:
            lines = rng.randint(300, 500)
            soak.deployment.write_settings(attrs.evolve(settings, log_lines_per_s=lines))
        if rng.random() < 0.7:
            handle.hang_up()
        await trio.sleep(rng.uniform(0.0, 0.5))
    soak.deployment.write_settings(soak.deployment.gateway(target))


def _disturb_link(disturb: Callable[[Forwarder, random.Random], None]) -> Action:
    async def act(soak: FaultTarget, target: str, rng: random.Random) -> None:
        forwarder = soak.link(target)
        disturb(forwarder, rng)
        await trio.sleep(_duration(rng))
        forwarder.delay(0.0)
        forwarder.forward()

    return act


def _cut(forwarder: Forwarder, rng: random.Random) -> None:
    forwarder.cut(refuse=rng.random() < 0.5)


def _hold(forwarder: Forwarder, rng: random.Random) -> None:
    forwarder.hold(*rng.choice([(), (Direction.TO_SERVER,), (Direction.TO_CLIENT,)]))


def _delay(forwarder: Forwarder, rng: random.Random) -> None:
    forwarder.delay(rng.uniform(0.02, 0.6))


def _standin_fault(**faults: tuple[Callable[[random.Random], object], object]) -> Action:
    """Return an action that holds faults of a stand-in: for each its value and the one without."""

    async def act(soak: FaultTarget, target: str, rng: random.Random) -> None:
        deployment = soak.deployment
        address = deployment.store if target == "store" else deployment.backend_address(target)
        try:
            await deployment.set_faults(
                address, **{name: choose(rng) for name, (choose, _) in faults.items()}
            )
            await trio.sleep(_duration(rng))
            await deployment.set_faults(address, **{name: off for name, (_, off) in faults.items()})
        except HttpError:
            return  # The process has been stopped by another fault.

    return act


async def _publish(soak: FaultTarget, _target: str, rng: random.Random) -> None:
    for _ in range(rng.choice([1, 1, 12])):
        await soak.publish(rng)
        await trio.sleep(0.2)


def _few(rng: random.Random) -> int:
    return rng.randint(1, 6)


FAULTS: tuple[tuple[str, str, Action], ...] = (
    ("kill_gateway", "gateway", _kill),
    ("stop_gateway", "gateway", _stop),
    ("pause_gateway", "gateway", _pause),
    ("change_settings", "gateway", _change_settings),
    ("kill_agent", "agent", _kill),
    ("stop_agent", "agent", _stop),
    ("pause_agent", "agent", _pause),
    ("kill_backend", "backend", _kill),
    ("stop_backend", "backend", _stop),
    ("pause_backend", "backend", _pause),
    ("kill_paused_backend", "backend", _kill_while_paused),
    ("cut_backend_link", "backend", _disturb_link(_cut)),
    ("hold_backend_link", "backend", _disturb_link(_hold)),
    ("slow_backend_link", "backend", _disturb_link(_delay)),
    ("cut_store_link", "store_link", _disturb_link(_cut)),
    ("hold_store_link", "store_link", _disturb_link(_hold)),
    ("slow_store_link", "store_link", _disturb_link(_delay)),
    ("store_refuses", "store", _standin_fault(refuse_status=(lambda _: 503, 0))),
    ("store_silent", "store", _standin_fault(silent=(lambda _: True, False))),
    ("refusing_backend", "backend", _standin_fault(refuse=(_few, 0))),
    ("lost_answers", "backend", _standin_fault(lose_answers=(_few, 0))),
    ("wrong_answers", "backend", _standin_fault(wrong_answers=(_few, 0))),
    ("errors", "backend", _standin_fault(errors=(_few, 0))),
    ("slow_backend", "backend", _standin_fault(delay_ms=(lambda r: r.uniform(50, 2500), 0.0))),
    ("cut_streams", "engine", _standin_fault(cut_after=(_few, None))),
    ("lost_handles", "engine", _standin_fault(drop_handles=(_few, 0))),
    ("publish", "config", _publish),
)
