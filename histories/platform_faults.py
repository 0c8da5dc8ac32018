"""Faults and planned changes of the platform soak."""

from __future__ import annotations

import random
import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager

import attrs
import trio

from figwalk.errors import HttpError
from histories.platform_history import GRACE_S, PlannedStop, PlatformHistory
from standins.launcher import ProcessHandle
from standins.platform_deployment import BackendPlan, PlatformDeployment
from tests.support.forwarder import Direction, Forwarder

SHORTEST_S, LONGEST_S = 0.2, 5.0
VERSIONS = ("v1", "v2")
# Suffixes of the names of engines that replace each other, and the networks of their VMs.
ENGINE_PLACES = (("", "127.0.4"), ("b", "127.0.5"), ("c", "127.0.6"))


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
    def links(self, name: str) -> list[Forwarder]:
        """Return the forwarders of a link; agents have one for each gateway, and vice versa."""

    @abstractmethod
    def claim(self, fault: str, *targets: str) -> AbstractContextManager[list[str]]:
        """Keep other faults off those targets that none acts on, and return these.

        They are noted as disturbed by the fault.
        """

    @abstractmethod
    def reset_callers(self, gateway: str) -> None:
        """Reset the callers' connections to a gateway."""

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
        forwarders = soak.links(target)
        state = rng.getstate()
        for forwarder in forwarders:
            rng.setstate(state)  # Each link gets the same fault.
            disturb(forwarder, rng)
        await trio.sleep(_duration(rng))
        for forwarder in forwarders:
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


async def _kill_all_gateways(soak: FaultTarget, _target: str, rng: random.Random) -> None:
    deployment = soak.deployment
    with soak.claim("kill_gateway", *deployment.plan.gateways) as names:
        for name in names:
            deployment.processes[name].kill()
        for name in names:
            await deployment.processes[name].wait()
        await trio.sleep(rng.choice([0.0, rng.uniform(0.0, 2.0)]))
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(_start, soak, name)


async def _reset_callers(soak: FaultTarget, target: str, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 3)):
        soak.reset_callers(target)
        await trio.sleep(rng.uniform(0.0, 0.5))


async def _replace_in_place(soak: FaultTarget, target: str, rng: random.Random) -> None:
    """Restart an engine as the other version, on the same VM."""
    handle = soak.deployment.processes[target]
    if rng.random() < 0.3:
        handle.kill()
    else:
        handle.terminate()
    with trio.move_on_after(GRACE_S):
        await handle.wait()
    if handle.returncode is None:
        handle.kill()
        await handle.wait()
    await trio.sleep(rng.choice([0.0, 1.0]))
    other = _other_version(soak.deployment.version(target))
    await soak.deployment.start_backend(target, other)


async def _release(soak: FaultTarget, target: str, rng: random.Random) -> None:
    """Let engines of another version join, sometimes while gateways are paused, and old ones leave.

    Some releases replace only some of the engines, and some are rolled back.
    """
    deployment = soak.deployment
    engines = [backend for backend in deployment.plan.backends if backend.service == target]
    versions = {deployment.version(engine.name) for engine in engines}
    version = rng.choice(VERSIONS)
    if versions == {version}:
        version = _other_version(version)
    old = [engine for engine in engines if deployment.version(engine.name) != version]
    old = rng.sample(old, rng.choice([len(old), rng.randint(1, len(old))]))
    paused = rng.sample(list(deployment.plan.gateways), rng.choice([0, 0, 1, 2]))
    joined: list[tuple[str, str]] = []
    async with trio.open_nursery() as nursery:
        for name in paused:
            nursery.start_soon(_pause_if_free, soak, name, rng)
        for engine in old:
            nursery.start_soon(_join, soak, engine, version, joined)
    await trio.sleep(rng.uniform(0.0, 3.0))
    is_rolled_back = rng.random() < 0.25
    gap_s = rng.choice([0.0, 0.0, rng.uniform(0.2, 1.0)])
    async with trio.open_nursery() as nursery:
        for old_name, new_name in joined:
            nursery.start_soon(_leave, soak, new_name if is_rolled_back else old_name)
            await trio.sleep(gap_s)


async def _pause_if_free(soak: FaultTarget, gateway: str, rng: random.Random) -> None:
    with soak.claim("pause_gateway", gateway) as free:
        if free:
            await _pause(soak, gateway, rng)


async def _join(
    soak: FaultTarget, old: BackendPlan, version: str, joined: list[tuple[str, str]]
) -> None:
    """Start an engine beside an old one, on another VM; without a free one, do nothing."""
    stem = old.name.rstrip("".join(suffix for suffix, _ in ENGINE_PLACES))
    number = old.host.rpartition(".")[2]
    present = {backend.name for backend in soak.deployment.plan.backends}
    for suffix, network in ENGINE_PLACES:
        name = stem + suffix
        if name in present:
            continue
        new = attrs.evolve(old, name=name, host=f"{network}.{number}")
        with soak.claim("join_backend", name, f"{name}-agent") as free:
            if len(free) < 2:
                continue  # Another engine takes that place.
            await soak.deployment.add_backend(new, version)
        joined.append((old.name, name))
        return


async def _leave(soak: FaultTarget, name: str) -> None:
    """Let an engine drain and leave, unless another fault acts on it or on its agent."""
    with soak.claim("leave_backend", name, f"{name}-agent") as free:
        if len(free) == 2:
            await soak.deployment.remove_backend(name)


def _other_version(version: str) -> str:
    return VERSIONS[1 - VERSIONS.index(version)]


async def _publish(soak: FaultTarget, _target: str, rng: random.Random) -> None:
    for _ in range(rng.choice([1, 1, 12])):
        await soak.publish(rng)
        await trio.sleep(0.2)


def _few(rng: random.Random) -> int:
    return rng.randint(1, 6)


FAULTS: tuple[tuple[str, str, Action], ...] = (
    ("kill_gateway", "gateway", _kill),
    ("kill_all_gateways", "gateways", _kill_all_gateways),
    ("reset_callers", "gateway", _reset_callers),
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
    ("cut_agent_links", "agent_link", _disturb_link(_cut)),
    ("hold_agent_links", "agent_link", _disturb_link(_hold)),
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
# These run in series beside the faults.
RELEASES: tuple[tuple[str, str, Action], ...] = (
    ("release", "lm", _release),
    ("replace_in_place", "engine", _replace_in_place),
)
