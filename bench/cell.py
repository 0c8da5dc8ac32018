"""Runs one trace under one policy on a deployment of its own: `python -m bench.cell --help`.

Starts two entries, four engines with their agents, the log and the VM list on loopback from the
settings of `examples/umugati`, sends the calls of the trace, and prints the results as JSON.
"""

from __future__ import annotations

import argparse
import json
import os
import shutil
import tempfile
from pathlib import Path

import attrs
import trio
import yaml

from bench.callers import Callers
from bench.results import Cell, OutcomeClassifier, summarise
from bench.traces import TRACES, WARM_UP_S, Fault, FaultKind, Trace
from figwalk.cli.admin_client import StatusView
from figwalk.cli.operator_commands import publish_values
from figwalk.entry.tallies import FIRST_TOKEN_TARGET_S
from figwalk.state.settings import AgentSettings, EntrySettings
from figwalk.state.settings_file import dump_settings, load_settings
from figwalk.transport import HttpClient
from standins.deployment import Deployment
from standins.launcher import ROOT, Launcher

EXAMPLE = ROOT / "examples" / "umugati"
MODEL = "route-7b"
SERVICE = "route-llm"
FIRST_ENGINE = "route-llm-1"
AUTHOR = "bench"
# The holder of the lease waits for its term before it decides; a short lease keeps the warm-up
# short. The other limits are those of a deployment.
LEASE_TTL_S = 2.0
TIME_LIMIT_S = 150.0
ROLES = {"P": "prefill", "M": "mixed", "D": "decode"}
ALL_MIXED = "MMMM"


@attrs.frozen
class BenchPolicy:
    """A preset and the initial roles of the engines.

    Attributes:
        preset: Value of the preset; dwell times are engine seconds.
        roles: One letter of `ROLES` for each engine.
    """

    preset: dict[str, object]
    roles: str = ALL_MIXED

    def scaled_preset(self, time_scale: float) -> dict[str, object]:
        """Return the preset with its dwell time in real seconds."""
        dwell_s = float(self.preset.get("min_dwell_s", 30))
        return {**self.preset, "min_dwell_s": dwell_s * time_scale}


# `figwalk` has the values of Bhumivar's preset `ordinary`, `figwalk_heavy` those of Umugati's.
POLICIES = {
    "figwalk": BenchPolicy({"role_policy": "adaptive", "role_change_weight": 0.7}),
    "figwalk_heavy": BenchPolicy(
        {"role_policy": "adaptive", "role_change_weight": 2, "min_dwell_s": 120}
    ),
    "round_robin": BenchPolicy({"role_policy": "fixed", "routing_policy": "round_robin"}),
    "least_load": BenchPolicy({"role_policy": "fixed", "routing_policy": "least_load"}),
    "threshold": BenchPolicy({"role_policy": "threshold"}),
}


def find_policy(name: str) -> BenchPolicy:
    """Return a policy; `fixed-PMMD` has these fixed roles and predicted routing."""
    kind, _, roles = name.partition("-")
    if kind == "fixed" and roles:
        return BenchPolicy({"role_policy": "fixed"}, roles)
    return POLICIES[name]


class CellRun:
    """One run of a trace.

    Args:
        trace: The trace.
        policy: Name of the policy.
        seed: Seed of the trace.
        time_scale: Real seconds per engine second.
        directory: Directory for settings and logs.
    """

    def __init__(
        self, trace: Trace, policy: str, seed: int, time_scale: float, directory: Path
    ) -> None:
        self._trace = trace
        self._policy_name = policy
        self._policy = find_policy(policy)
        self._seed = seed
        self._time_scale = time_scale
        self._directory = directory
        self._initial_roles: dict[str, str] = {}

    async def run(self) -> Cell:
        """Run the trace and return its results."""
        self._write_settings()
        async with Launcher(self._directory) as launcher:
            deployment = Deployment(
                self._directory,
                launcher,
                self._directory / "run",
                fixed_ports=False,
                engine_options=self._list_engine_options,
            )
            await deployment.start()
            publication = await deployment.publish()
            await deployment.wait_ready(publication.revision)
            return await self._measure(deployment)

    async def _measure(self, deployment: Deployment) -> Cell:
        callers = Callers(deployment.caller_addresses, MODEL, self._time_scale)
        start = trio.current_time() + WARM_UP_S * self._time_scale
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._inject_faults, deployment, start)
            await callers.run(self._trace.arrivals(self._seed), start)
        states = await self._fetch_states(deployment)
        figures = summarise(
            callers.outcomes,
            OutcomeClassifier(self._time_scale),
            duration_s=self._trace.duration_s,
            time_scale=self._time_scale,
        )
        return Cell(
            trace=self._trace.name,
            policy=self._policy_name,
            seed=self._seed,
            role_changes=[
                f"{change.backend} {change.role}: {change.reason}"
                for change in states[0].role_changes
            ],
            region_bytes=sum(state.region_bytes for state in states),
            machine_load=round(os.getloadavg()[0], 1),
            **figures,
        )

    async def _fetch_states(self, deployment: Deployment) -> list[StatusView]:
        states = []
        for index in range(len(deployment.admin_addresses)):
            client = deployment.admin_client(index)
            states.append(await client.fetch_status())
            client.close()
        return states

    async def _inject_faults(self, deployment: Deployment, start: float) -> None:
        for fault in self._trace.faults:
            await trio.sleep_until(start + fault.at_s * self._time_scale)
            await self._inject(deployment, fault)

    async def _inject(self, deployment: Deployment, fault: Fault) -> None:
        engine = deployment.backend(FIRST_ENGINE)
        match fault.kind:
            case FaultKind.CRASH:
                engine.kill()
            case FaultKind.RESTART:
                await deployment.restart(FIRST_ENGINE)
            case FaultKind.REPORT_IDLE | FaultKind.REPORT_RIGHT:
                idle = fault.kind is FaultKind.REPORT_IDLE
                address = engine.addresses["http"]
                client = HttpClient(address.host, address.port)
                body = json.dumps({"report_idle": idle}).encode()
                await client.fetch("POST", "/faults", body=body)
                client.close()
            case FaultKind.WITHDRAW | FaultKind.RESTORE:
                value = {"mode": "withdraw"} if fault.kind is FaultKind.WITHDRAW else None
                admin = deployment.admin_client(0)
                await publish_values(admin, {f"withdrawn/{FIRST_ENGINE}": value}, author=AUTHOR)
                admin.close()

    def _write_settings(self) -> None:
        (self._directory / "run").mkdir(parents=True)
        agents = sorted(EXAMPLE.glob(f"agent-{SERVICE}-*.yaml"))
        for path, letter in zip(agents, self._policy.roles, strict=True):
            settings = load_settings(path, AgentSettings)
            self._initial_roles[settings.backend.name] = ROLES[letter]
            (self._directory / path.name).write_text(dump_settings(settings))
        for path in EXAMPLE.glob("entry-*.yaml"):
            settings = attrs.evolve(load_settings(path, EntrySettings), lease_ttl_s=LEASE_TTL_S)
            (self._directory / path.name).write_text(dump_settings(settings))
        published = yaml.safe_load((EXAMPLE / "published.yaml").read_text())
        published["services"] = {SERVICE: published["services"][SERVICE]}
        published["services"][SERVICE]["first_token_s"] = FIRST_TOKEN_TARGET_S * self._time_scale
        published["presets"] = {"bench": self._policy.scaled_preset(self._time_scale)}
        published["preset_in_force"] = "bench"
        (self._directory / "published.yaml").write_text(yaml.safe_dump(published))

    def _list_engine_options(self, backend: str) -> list[str]:
        options = ["--time-scale", str(self._time_scale), "--role", self._initial_roles[backend]]
        return [*options, "--seed", str(self._seed)]


def main() -> None:
    """Run one cell and print it as JSON."""
    parser = argparse.ArgumentParser(prog="bench.cell", description=__doc__)
    parser.add_argument("--trace", choices=sorted(TRACES), required=True)
    parser.add_argument("--policy", required=True, help=f"fixed-PMMD or {', '.join(POLICIES)}")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--time-scale", type=float, default=1.0)
    parser.add_argument("--keep-logs", action="store_true", help="keep the process logs")
    options = parser.parse_args()
    directory = Path(tempfile.mkdtemp(prefix="figwalk-goodput-"))
    run = CellRun(
        TRACES[options.trace], options.policy, options.seed, options.time_scale, directory
    )
    cell = trio.run(_limit_time, run)
    if options.keep_logs:
        print(f"logs are in {directory}")
    else:
        shutil.rmtree(directory)
    print(json.dumps(attrs.asdict(cell)))


async def _limit_time(run: CellRun) -> Cell:
    with trio.fail_after(TIME_LIMIT_S):
        return await run.run()


if __name__ == "__main__":
    main()
