"""Notes what processes and stand-ins see during a run."""

from __future__ import annotations

import json
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
import trio

from figwalk.cli.admin_client import StatusView
from figwalk.errors import FigwalkError, HttpError
from figwalk.state.settings import Address
from figwalk.transport import HttpClient
from histories.history import (
    BackendCall,
    EngineOrder,
    History,
    ProcessEnd,
    Refused,
    RevisionInForce,
    Run,
    RunCount,
)
from histories.log_reader import LogReader
from standins.deployment import ENGINE_KIND, Deployment
from standins.launcher import ProcessHandle

STATUS_PERIOD_S = 0.25
COLLECT_PERIOD_S = 1.0
CALL_TIMEOUT_S = 3.0
CONVERGENCE_TIMEOUT_S = 45.0
MS_PER_S = 1000


@attrs.frozen
class Life:
    """One process under the name of an entry, agent or backend server."""

    process: str
    number: int
    handle: ProcessHandle


class Recorder:
    """Follows processes, backend servers and the log.

    Args:
        deployment: The running deployment.
        history: Takes what is seen.
    """

    def __init__(self, deployment: Deployment, history: History) -> None:
        self._deployment = deployment
        self._history = history
        self._log = LogReader(deployment.platform.log, history)
        self._lives: list[Life] = []
        self._counts: Counter[str] = Counter()
        self._expected: dict[int, str] = {}
        self._orders: dict[tuple[str, int], list[EngineOrder]] = {}
        self._calls: dict[tuple[str, int], list[BackendCall]] = {}
        self._nursery: trio.Nursery | None = None
        self._failures: list[str] = []

    @property
    def failures(self) -> list[str]:
        """Log lines of processes that tell of an unexpected error."""
        return self._failures

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Record until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for group in self._groups():
                for name, handle in group.items():
                    self.note_start(name, handle)
            nursery.start_soon(self._log.run)
            nursery.start_soon(self._collect_periodically)
            for entry in self._deployment.entries:
                nursery.start_soon(self._watch_status, entry)
            task_status.started()

    def note_start(self, name: str, handle: ProcessHandle) -> None:
        """Note that a process was started."""
        self._counts[name] += 1
        life = Life(name, self._counts[name], handle)
        self._lives.append(life)
        assert self._nursery is not None, "run the recorder first"
        self._nursery.start_soon(self._watch_end, life)

    def expect_end(self, handle: ProcessHandle, reason: str) -> None:
        """Note that a process is about to end: `kill`, `stop` or `crash`."""
        self._expected[handle.pid] = reason

    async def collect(self, backend: str) -> None:
        """Read what a backend server has counted."""
        handle = self._deployment.backends[backend]
        if handle.returncode is not None:
            return
        place = (backend, self._counts[backend])
        address = handle.addresses["http"]
        if self._is_engine(backend):
            orders = await _fetch(address, "/orders")
            calls = await _fetch(address, "/calls")
            if orders is not None:
                self._orders[place] = [
                    EngineOrder(*place, o["order"], o["role"], o["result"], o["interrupted"])
                    for o in orders["orders"]
                ]
            if calls is not None:
                self._calls[place] = [
                    BackendCall(backend, c["id"], c["at"]) for c in calls["calls"]
                ]

    async def finish(self) -> None:
        """Read everything once more, after all faults were taken back and callers stopped."""
        await self._wait_converged()
        for backend in self._deployment.backends:
            await self.collect(backend)
            if not self._is_engine(backend):
                await self._collect_runs(backend)
        for orders in self._orders.values():
            self._history.engine_orders += orders
        for calls in self._calls.values():
            self._history.backend_calls += calls

    def read_logs(self) -> None:
        """Read the log files of all entries and agents; call it once they have ended."""
        cut: set[tuple[str, int]] = set()
        for life in self._lives:
            if life.process in self._deployment.backends:
                continue
            for event in self._read_events(life.handle.log_path):
                self._take_event(life, event, cut)
        self._history.ends = [
            attrs.evolve(end, cut=(end.process, end.life) in cut) for end in self._history.ends
        ]

    def _groups(self) -> list[dict[str, ProcessHandle]]:
        deployment = self._deployment
        return [deployment.entries, deployment.agents, deployment.backends]

    def _is_engine(self, backend: str) -> bool:
        return any(
            settings.backend.name == backend and settings.backend.kind == ENGINE_KIND
            for settings in self._deployment.agent_settings
        )

    async def _watch_end(self, life: Life) -> None:
        status = await life.handle.wait()
        reason = self._expected.get(life.handle.pid, "")
        self._history.ends.append(
            ProcessEnd(life.process, life.number, time.time(), status, reason)
        )
        if not reason:
            # The platform replaces what ends by itself; the end is a violation all the same.
            self.note_start(life.process, await self._deployment.restart(life.process))

    async def _watch_status(self, entry: str) -> None:
        while True:
            life = self._counts[entry]
            handle = self._deployment.entries[entry]
            status = await self._fetch_status(entry)
            # A new process listens on the address before the end of its start is noted.
            if status is not None and handle.returncode is None:
                self._history.revisions.append(
                    RevisionInForce(entry, life, time.time(), status.revision, "status")
                )
            await trio.sleep(STATUS_PERIOD_S)

    async def _fetch_status(self, entry: str) -> StatusView | None:
        index = list(self._deployment.entries).index(entry)
        client = self._deployment.admin_client(index)
        status = None
        with trio.move_on_after(CALL_TIMEOUT_S):
            try:
                status = await client.fetch_status()
            except FigwalkError:
                status = None
        client.close()
        return status

    async def _collect_periodically(self) -> None:
        while True:
            for backend in self._deployment.backends:
                await self.collect(backend)
            await trio.sleep(COLLECT_PERIOD_S)

    async def _collect_runs(self, backend: str) -> None:
        address = self._deployment.backends[backend].addresses["http"]
        content = await _fetch(address, "/runs")
        if content is None:
            raise RuntimeError(f"{backend} does not give its runs")
        for start in content["starts"]:
            self._history.backend_calls.append(BackendCall(backend, start["attempt"], start["at"]))
            if start["key"]:
                self._history.runs.append(Run(backend, start["key"], start["attempt"], start["at"]))
        for key, count in content["runs"].items():
            self._history.run_counts.append(RunCount(backend, key, count))

    async def _wait_converged(self) -> None:
        with trio.move_on_after(CONVERGENCE_TIMEOUT_S):
            while not await self._is_converged():
                await trio.sleep(STATUS_PERIOD_S)

    async def _is_converged(self) -> bool:
        whole = await self._log.read_to_head()
        head = self._history.head_revision
        found: dict[str, int] = {}
        serving = True
        for entry in self._deployment.entries:
            status = await self._fetch_status(entry)
            found[entry] = status.revision if status else -1
            views = status.backends if status else []
            for settings in self._deployment.agent_settings:
                view = next((v for v in views if v.name == settings.backend.name), None)
                found[f"{settings.process} at {entry}"] = (view.revision or 0) if view else -1
                serving = serving and view is not None and view.state == "serving"
        self._history.final_revisions = found
        return whole and serving and all(revision == head for revision in found.values())

    def _read_events(self, path: Path) -> Iterator[dict[str, Any]]:
        for line in path.read_text("utf-8", "replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                event = None
            if isinstance(event, dict) and "event" in event:
                yield event
            elif line.strip():
                self._failures.append(f"{path.name}: {line}")

    def _take_event(self, life: Life, event: dict[str, Any], cut: set[tuple[str, int]]) -> None:
        at = event["time_ms"] / MS_PER_S
        name = event["event"]
        if name == "CONFIG_ADOPTED":
            self._history.revisions.append(
                RevisionInForce(life.process, life.number, at, int(event["revision"]), "log event")
            )
        elif name == "REQUEST_REFUSED":
            request_id = event["request_id"]
            self._history.refused[request_id] = Refused(
                request_id, at, event["code"], event["outcome"]
            )
        elif name == "PROCESS_STOP_CUT":
            cut.add((life.process, life.number))
        elif name in {"TASK_FAILED", "ANSWER_MISMATCH", "PEER_FRAME_REJECTED"}:
            self._failures.append(f"{life.handle.log_path.name}: {json.dumps(event)}")


async def _fetch(address: Address, target: str) -> Any:
    """Return the JSON content of a stand-in's answer, or None if there is none."""
    client = HttpClient(address.host, address.port)
    content = None
    with trio.move_on_after(CALL_TIMEOUT_S):
        try:
            response, body = await client.fetch("GET", target)
            content = json.loads(body) if response.status == 200 else None
        except HttpError:
            content = None
    client.close()
    return content
