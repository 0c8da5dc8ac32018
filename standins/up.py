"""Keeps the example of Bhumivar Ballast Labs running on loopback until Ctrl-C.

The ports are those of the files in examples/bhumivar.
"""

from __future__ import annotations

import shutil
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

import trio

from figwalk.errors import FigwalkError
from standins.deployment import Deployment
from standins.launcher import ROOT, Launcher, ProcessHandle

EXAMPLE = ROOT / "examples" / "bhumivar"


async def run_until_signal(run_directory: Path) -> list[str]:
    """Run the deployment until SIGINT or SIGTERM and return the faults of its shutdown."""
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with Launcher(run_directory) as launcher:
            deployment = Deployment(EXAMPLE, launcher, run_directory, fixed_ports=True)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_signal, signals, nursery.cancel_scope)
                await deployment.start()
                await deployment.wait_ready((await deployment.publish()).revision)
                _print_access(deployment, run_directory)
                for handle in deployment.handles:
                    nursery.start_soon(_report_end, handle)
            print("stopping: entries, agents, backend servers", flush=True)
            return await deployment.stop()


async def _cancel_on_signal(signals: AsyncIterator[int], scope: trio.CancelScope) -> None:
    async for _ in signals:
        scope.cancel()
        return


async def _report_end(handle: ProcessHandle) -> None:
    status = await handle.wait()
    print(f"{handle.name} ended with status {status}; read {handle.log_path}", flush=True)


def _print_access(deployment: Deployment, run_directory: Path) -> None:
    for address in deployment.caller_addresses:
        print(f"callers:  http://{address}")
    for address in deployment.admin_addresses:
        print(f"operator: http://{address}")
    print(f"token:    {deployment.admin_token}")
    print(f"logs:     {run_directory}")
    print()
    print(f"export FIGWALK_ADMIN=http://{deployment.admin_addresses[0]}")
    print(f"export FIGWALK_TOKEN={deployment.admin_token}")
    print("figwalk status")
    print()
    print("Ctrl-C stops everything.", flush=True)


def main() -> None:
    """Run the example."""
    run_directory = Path(tempfile.mkdtemp(prefix="figwalk-up-"))
    try:
        faults = trio.run(run_until_signal, run_directory)
    except* FigwalkError as group:
        for error in group.exceptions:
            print(f"up: {error}", file=sys.stderr)
        sys.exit(1)
    for fault in faults:
        print(f"up: {fault}", file=sys.stderr)
    if faults:
        sys.exit(1)
    shutil.rmtree(run_directory)


if __name__ == "__main__":
    main()
