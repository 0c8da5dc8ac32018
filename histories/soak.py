"""Soak: callers and operators against real processes on loopback while faults are injected.

    python -m histories.soak --seed 7 --seconds 120

The seed fixes the choices of callers, operators and faults; timing differs from run to run. Exits
with 1 if the history breaks a rule.
"""

from __future__ import annotations

import argparse
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import attrs
import trio
import trio.testing

from figwalk.cli.operator_commands import publish_values
from figwalk.protocol.records import JsonValue
from figwalk.state.settings import Address
from histories.checker import Violation, check_history
from histories.faults import FAULTS, FaultInjector
from histories.history import ABANDONED, Answer, History
from histories.recorder import Recorder
from histories.workload import Traffic, Workload
from standins.deployment import Deployment
from standins.launcher import ROOT, Launcher
from tests.support.forwarder import Forwarder

EXAMPLE = ROOT / "examples" / "bhumivar"
# Callers end within their longest deadline and patience.
LAST_CALLS_TIMEOUT_S = 90.0
SHOWN_VIOLATIONS = 12
SHOWN_FAILURES = 20
KEY_MEMORY_S = 60.0
# The load of a soak is too small for the adaptive policy to gain anything from a change.
ROLE_VALUES = {"role_policy": "threshold", "min_dwell_s": 3.0}
CHANGING_PRESETS = frozenset({"presets/ordinary", "presets/peak"})
ENGINE_ARGUMENTS = ("--time-scale", "0.4")

T = TypeVar("T")


@attrs.frozen
class SoakOptions:
    """What to run.

    Attributes:
        seed: Seed of all choices.
        seconds: Seconds during which faults are injected.
        faults: Number of faults after which to stop instead, or 0.
        only: Names of the faults to use; all if empty.
        traffic: Load.
    """

    seed: int
    seconds: float = 0.0
    faults: int = 0
    only: frozenset[str] = frozenset()
    traffic: Traffic = attrs.field(factory=Traffic)

    @property
    def command(self) -> str:
        """Command that runs the same choices again."""
        only = f" --only {','.join(sorted(self.only))}" if self.only else ""
        return f"python -m histories.soak --seed {self.seed} --seconds {self.seconds:g}{only}"


class Soak:
    """One run.

    Args:
        options: What to run.
        run_directory: For settings and log files.
    """

    def __init__(self, options: SoakOptions, run_directory: Path) -> None:
        self._options = options
        self._run_directory = run_directory
        self._history = History()
        self._forwarders: dict[str, Forwarder] = {}
        self._routes: dict[tuple[str, Address], Address] = {}
        self._failures: list[str] = []

    @property
    def history(self) -> History:
        """What was seen."""
        return self._history

    @property
    def failures(self) -> list[str]:
        """Unexpected errors in the logs of the processes."""
        return self._failures

    async def run(self) -> list[Violation]:
        """Run and return the violations; SIGTERM and SIGINT end the processes and then this one.

        Raises:
            KeyboardInterrupt: A signal ended the run.
        """
        return await run_until_signal(self._run)

    async def _run(self) -> list[Violation]:
        async with trio.open_nursery() as forwarding:
            async with Launcher(self._run_directory) as launcher:
                deployment = Deployment(
                    EXAMPLE,
                    launcher,
                    self._run_directory,
                    fixed_ports=False,
                    engine_options=lambda _backend: ENGINE_ARGUMENTS,
                    route=lambda link, address: self._route(forwarding, link, address),
                )
                await deployment.start()
                await self._publish(deployment)
                recorder = Recorder(deployment, self._history)
                async with trio.open_nursery() as recording:
                    await recording.start(recorder.run)
                    await self._disturb(deployment, recorder)
                    await recorder.finish()
                    await self._stop(deployment, recorder)
                    recording.cancel_scope.cancel()
                recorder.read_logs()
                self._failures = recorder.failures
            forwarding.cancel_scope.cancel()
        return check_history(self._history)

    async def _route(self, nursery: trio.Nursery, link: str, address: Address) -> Address:
        """Return the address of a forwarder to a server."""
        if (link, address) not in self._routes:
            forwarder = Forwarder(address)
            self._routes[link, address] = await nursery.start(forwarder.run)
            self._forwarders[link] = forwarder
        return self._routes[link, address]

    async def _publish(self, deployment: Deployment) -> None:
        await deployment.publish()
        client = deployment.admin_client(0)
        config = await client.fetch_config()
        values = render_soak_values({entry.path: entry.value for entry in config.entries})
        publication = await publish_values(client, values, author="soak")
        client.close()
        await deployment.wait_ready(publication.revision)

    async def _disturb(self, deployment: Deployment, recorder: Recorder) -> None:
        workload = Workload(
            self._options.seed,
            self._history,
            callers=lambda: {n: h.addresses["callers"] for n, h in deployment.entries.items()},
            admins=lambda: {n: h.addresses["admin"] for n, h in deployment.entries.items()},
            token=deployment.admin_token,
            traffic=self._options.traffic,
        )
        injector = FaultInjector(
            deployment,
            recorder,
            self._history,
            self._forwarders,
            self._options.seed,
            self._options.only,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(workload.run)
            until = time.time() + self._options.seconds
            await injector.run(lambda: self._is_over(until))
            workload.stop()
            nursery.cancel_scope.deadline = trio.current_time() + LAST_CALLS_TIMEOUT_S

    def _is_over(self, until: float) -> bool:
        if self._options.faults:
            return len(self._history.disturbances) >= self._options.faults
        return time.time() >= until

    async def _stop(self, deployment: Deployment, recorder: Recorder) -> None:
        for handle in deployment.handles:
            recorder.expect_end(handle, "stop")
        await deployment.stop()
        # The recorder notes the ends in tasks of its own.
        await trio.testing.wait_all_tasks_blocked(0.05)


async def run_until_signal(run: Callable[[], Awaitable[T]]) -> T:
    """Run a coroutine function and return its result; SIGTERM and SIGINT cancel it.

    Raises:
        KeyboardInterrupt: A signal ended the run.
    """
    results: list[T] = []
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_signal, signals, nursery.cancel_scope)
            results.append(await run())
            nursery.cancel_scope.cancel()
    if not results:
        raise KeyboardInterrupt
    return results[0]


async def _cancel_on_signal(signals: AsyncIterator[int], scope: trio.CancelScope) -> None:
    async for _ in signals:
        scope.cancel()
        return


def render_soak_values(values: dict[str, JsonValue]) -> dict[str, JsonValue]:
    """Return the example's configuration with quick role changes and keyed payments."""
    changed: dict[str, JsonValue] = {"limits": {"key_memory_s": KEY_MEMORY_S}}
    for path, value in values.items():
        if path.startswith("presets/"):
            changed[path] = {**value, **ROLE_VALUES} if path in CHANGING_PRESETS else value
        elif path == "services/depot":
            rules = [*value["non_repeatable"], {"method": "POST", "path": "/payments"}]
            changed[path] = {**value, "non_repeatable": rules}
    return changed


def describe_result(answer: Answer | None) -> str:
    """Return the result of a request in one or a few words."""
    if answer is None:
        return "no answer"
    if not answer.connected:
        return "not connected"
    if answer.loss:
        return answer.loss if answer.loss == ABANDONED else f"lost after status {answer.status}"
    if answer.code:
        return f"{answer.status} {answer.code} {answer.outcome}".strip()
    return f"{answer.status}{' replayed' if answer.replayed else ''}"


def print_report(soak: Soak, options: SoakOptions, violations: list[Violation]) -> None:
    """Print what was run and what was found."""
    history = soak.history
    results: dict[str, Counter[str]] = {}
    for invocation in history.invocations.values():
        counts = results.setdefault(invocation.kind.value, Counter())
        counts[describe_result(history.answers.get(invocation.id))] += 1
    print(f"{len(history.invocations)} requests")
    for kind, counts in sorted(results.items()):
        print(f"  {kind}: {', '.join(f'{name}: {n}' for name, n in counts.most_common())}")
    told = Counter(record.result.value for record in history.publications)
    print(f"publications of racing operators: {dict(told)}")
    accepted = [order for order in history.engine_orders if order.result == "accepted"]
    print(f"orders: {len(history.valid_orders)} valid in the log, {len(accepted)} carried out")
    faults = Counter(fault.name for fault in history.disturbances)
    print(f"faults and changes: {dict(faults.most_common())}")
    for line in soak.failures[:SHOWN_FAILURES]:
        print(f"  in a log: {line}")
    rules = Counter(violation.rule for violation in violations)
    print(f"violations: {dict(rules) or 'none'}")
    for violation in violations[:SHOWN_VIOLATIONS]:
        print(f"\n[{violation.rule}] {violation.message}")
        for record in violation.records:
            print(f"    {record}")
    if violations:
        print(f"\nrun it again: {options.command}")


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--only", default="", help="names of faults, with commas between them")
    arguments = parser.parse_args()
    only = frozenset(filter(None, arguments.only.split(",")))
    unknown = only - {kind.name for kind in FAULTS}
    if unknown:
        parser.error(f"unknown faults: {', '.join(sorted(unknown))}")
    options = SoakOptions(arguments.seed, arguments.seconds, only=only)
    run_directory = Path(tempfile.mkdtemp(prefix="figwalk-soak-"))
    print(f"{options.command}; logs in {run_directory}", flush=True)
    soak = Soak(options, run_directory)
    violations = trio.run(soak.run)
    print_report(soak, options, violations)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
