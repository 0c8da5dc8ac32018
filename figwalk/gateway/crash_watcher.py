"""Notices backend servers that crash, and which calls of this gateway were in progress there."""

from __future__ import annotations

import math

import attrs
import trio

from figwalk.coordination.call_identity import CallIdentity
from figwalk.coordination.call_quarantine import CallQuarantine
from figwalk.coordination.crash_evidence import CrashId
from figwalk.events import Event, EventLog
from figwalk.gateway.gateway_metrics import GatewayMetrics
from figwalk.state.backend_directory import BackendDirectory, BackendEntry
from figwalk.timer import Timer
from figwalk.transport.listening import refuses_connections

# The longest round trip between regions is 24 ms; a backend server whose machine is silent is not
# one that crashed under a call.
CHECK_TIMEOUT_S = 0.5
# A registration lapses some seconds after the backend server's last heartbeat.
MAX_PENDING_S = 10.0
MAX_WAITING_CHECKS = 1000
# A check opens a connection, so a server that breaks many calls is not checked for each.
CHECK_PERIOD_S = 0.3


@attrs.define
class _BrokenCalls:
    """Calls that broke at one instance of a backend server.

    Attributes:
        entry: Registration of the backend server.
        broke_at: Timer time of the first of them.
        calls: What may have crashed the backend server.
        crashed: Whether it is known to have crashed.
        check_waits: Whether a check is to begin.
        checked_at: Timer time at which the last check began.
    """

    entry: BackendEntry
    broke_at: float
    calls: list[CallIdentity] = attrs.field(factory=list)
    crashed: bool = False
    check_waits: bool = False
    checked_at: float = -math.inf


class CrashWatcher:
    """Tells broken calls at a backend server that goes on from those at one that crashed.

    A backend server has crashed if it breaks calls and its port refuses connections afterwards, or
    if its registration ends without an announced departure.

    Args:
        directory: The registered backend servers.
        quarantine: Receives the crashes.
        metrics: Counts the crashes.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self,
        directory: BackendDirectory,
        quarantine: CallQuarantine,
        metrics: GatewayMetrics,
        events: EventLog,
        timer: Timer,
    ) -> None:
        self._directory = directory
        self._quarantine = quarantine
        self._metrics = metrics
        self._events = events
        self._timer = timer
        self._broken: dict[CrashId, _BrokenCalls] = {}
        self._checks_send, self._checks_receive = trio.open_memory_channel[CrashId](
            MAX_WAITING_CHECKS
        )

    async def run(self) -> None:
        """Check backend servers that broke calls, until cancelled."""
        async with trio.open_nursery() as nursery:
            async for crash in self._checks_receive:
                nursery.start_soon(self._check, crash)

    def record_broken(self, entry: BackendEntry, call: CallIdentity) -> None:
        """Record that a backend server broke a call off before the first event of its answer.

        Args:
            entry: Registration that was used for the call.
            call: The call.
        """
        if self._directory.is_leaving(entry):
            return
        crash = CrashId(entry.backend, entry.born_ms)
        broken = self._broken.get(crash)
        if broken is None:
            broken = self._broken[crash] = _BrokenCalls(entry, self._timer.now())
        broken.calls.append(call)
        if broken.crashed:
            self._quarantine.record_crash(crash, broken.calls)
        elif not broken.check_waits:
            # Also if an earlier check found it alive: it may have crashed since.
            self._request_check(crash, broken)

    def update(self) -> None:
        """Look for ended registrations of servers that broke calls, and forget old calls."""
        cutoff = self._timer.now() - MAX_PENDING_S
        for crash, broken in list(self._broken.items()):
            if not broken.crashed and not self._directory.is_registered(broken.entry):
                self._record_crash(crash, broken, "registration ended")
            if broken.broke_at < cutoff:
                del self._broken[crash]

    def _request_check(self, crash: CrashId, broken: _BrokenCalls) -> None:
        try:
            self._checks_send.send_nowait(crash)
            broken.check_waits = True
        except trio.WouldBlock:
            self._events.record(
                Event.TASK_FAILED,
                task="crash check",
                error=f"too many checks wait; {crash.backend} is judged by its registration only",
            )

    async def _check(self, crash: CrashId) -> None:
        broken = self._broken.get(crash)
        if broken is None:
            return  # After a pause of the process, the calls may have been forgotten meanwhile.
        await trio.sleep(self._timer.left_s(broken.checked_at + CHECK_PERIOD_S))
        broken.check_waits = False
        broken.checked_at = self._timer.now()
        address = broken.entry.address
        refused = await refuses_connections(address.host, address.port, timeout_s=CHECK_TIMEOUT_S)
        if refused and not broken.crashed:
            self._record_crash(crash, broken, "connection refused")

    def _record_crash(self, crash: CrashId, broken: _BrokenCalls, reason: str) -> None:
        broken.crashed = True
        self._metrics.record_engine_crash()
        self._events.record(
            Event.ENGINE_CRASHED,
            backend=crash.backend,
            born_ms=crash.born_ms,
            reason=reason,
            calls=len(broken.calls),
            age_s=round(self._timer.now() - broken.broke_at, 3),
        )
        self._quarantine.record_crash(crash, broken.calls)
