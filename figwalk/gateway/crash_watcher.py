"""Notices backend servers that end, and which calls of this gateway they held."""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs
import trio

from figwalk.coordination.backend_tracker import RESPONSE_TIMEOUT_S, AttemptOutcome
from figwalk.coordination.call_identity import CallIdentity
from figwalk.coordination.call_quarantine import CallQuarantine
from figwalk.coordination.crash_evidence import CrashId
from figwalk.events import Event, EventLog
from figwalk.gateway.gateway_metrics import GatewayMetrics
from figwalk.gateway.stream_timing import StreamTiming
from figwalk.state.backend_directory import BackendDirectory, BackendEntry
from figwalk.state.settings import Address
from figwalk.timer import Timer
from figwalk.transport.listening import PortState, probe_port

# The longest round trip between regions is 24 ms.
CHECK_TIMEOUT_S = 0.5
# A registration lapses some seconds after the backend server's last heartbeat.
MAX_PENDING_S = 10.0
MAX_WAITING_CHECKS = 1000
# A check opens a connection, so a server that breaks many calls is not checked for each.
CHECK_PERIOD_S = 0.3
# Bounds the memory for calls that ended without an answer at one backend server. The first ones are
# kept: later ones were sent to a server that was silent already.
MAX_ENDED_CALLS = 512
# A backend server that was frozen or cut off is registered again within this time.
WITHDRAWAL_S = 60.0
# One heartbeat may have been written before the crash and read after it.
HEARTBEATS_AFTER_CRASH = 2
# The registrations are compared several times a second. A longer time is a pause of this process,
# during which answers may have arrived unread.
MAX_UPDATE_PAUSE_S = 1.0
# The backend server answered, or never received the call.
_NOT_HELD = frozenset(
    {
        AttemptOutcome.FAILED,
        AttemptOutcome.REFUSED,
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.UNCONNECTED,
    }
)


@attrs.define(eq=False)
class HeldCall:
    """A call that was sent to a backend server and is not answered.

    Attributes:
        instance: The backend server.
        identity: What may have crashed it.
        timing: Shows whether the caller's stream has had a complete event.
        sent_at: Timer time at which it was sent.
        ended_at: Timer time at which the gateway stopped waiting, or None.
        broken: Whether the exchange broke.
    """

    instance: _Instance
    identity: CallIdentity
    timing: StreamTiming
    sent_at: float
    ended_at: float | None = None
    broken: bool = False


@attrs.define(eq=False)
class _Instance:
    """Calls that one instance of a backend server holds, or held when it last showed life.

    Attributes:
        entry: Registration of the backend server.
        open: Calls in progress.
        ended: Calls that ended without an answer.
        seen_at: Timer time of its latest answer.
        crashed_at: Timer time at which its end was noticed, or None.
        refused: Whether its port then refused connections.
        lapsed: Whether its registration had ended at some time since then.
        crash_sequence: Newest sequence of its registration that was known then.
        check_waits: Whether a check is to begin.
        checked_at: Timer time at which the last check began.
    """

    entry: BackendEntry
    open: set[HeldCall] = attrs.field(factory=set)
    ended: list[HeldCall] = attrs.field(factory=list)
    seen_at: float = -math.inf
    crashed_at: float | None = None
    refused: bool = False
    lapsed: bool = False
    crash_sequence: int = 0
    check_waits: bool = False
    checked_at: float = -math.inf

    @property
    def crash_id(self) -> CrashId:
        """Id of the crash that may end this instance."""
        return CrashId(self.entry.backend, self.entry.born_ms)

    @property
    def has_broken(self) -> bool:
        """Whether an exchange broke."""
        return any(call.broken for call in self.ended)

    def forget_before(self, sent_before: float) -> None:
        """Forget the calls that were sent before a time."""
        self.open = {call for call in self.open if call.sent_at >= sent_before}
        self.ended = [call for call in self.ended if call.sent_at >= sent_before]

    def forget_ended(self, now: float) -> None:
        """Forget calls that ended long ago, or after which the backend server answered others."""
        cutoff = now - MAX_PENDING_S
        self.ended = [
            call
            for call in self.ended[:MAX_ENDED_CALLS]
            if call.ended_at >= cutoff and (call.broken or call.ended_at > self.seen_at)
        ]

    def find_silence(self, now: float) -> float | None:
        """Return since when the backend server has left a call unanswered for long, or None."""
        waits = (
            (max(call.sent_at, self.seen_at), now if call.ended_at is None else call.ended_at)
            for call in (*self.open, *self.ended)
            if not (call.timing.has_event or (self.refused and call.broken))
        )
        return min(
            (start for start, end in waits if end - start >= RESPONSE_TIMEOUT_S), default=None
        )

    def find_suspects(self, now: float) -> tuple[list[CallIdentity], float]:
        """Return the calls that may have ended the backend server, and when it ended.

        Calls that were sent after it had been silent for `RESPONSE_TIMEOUT_S` came too late to be
        the cause. If its port refuses connections, those that broke did so when it ended.
        """
        silence = self.find_silence(now)
        since = now if silence is None else silence
        suspects = [
            call.identity
            for call in (*self.open, *self.ended)
            if not call.timing.has_event
            and ((self.refused and call.broken) or call.sent_at <= since + RESPONSE_TIMEOUT_S)
        ]
        return suspects, now if self.refused else since


class CrashWatcher:
    """Tells calls without an answer at a backend server that goes on from those at one that ended.

    A backend server has ended if

    - it breaks calls and its port refuses connections afterwards, or its registration ends;
    - its registration ends while calls are unanswered there, and it can't be reached;
    - another instance is registered at its address, and calls stay unanswered there.

    Calls that were sent before a pause of this process are no evidence. A backend server that has
    announced that it leaves ends as planned. One that is registered again
    as the same instance, or that goes on with its heartbeats, was frozen or cut off: its crash is
    withdrawn.

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
        self._instances: dict[CrashId, _Instance] = {}
        self._updated_at: float | None = None
        self._resumed_at = -math.inf
        self._checks_send, self._checks_receive = trio.open_memory_channel[_Instance](
            MAX_WAITING_CHECKS
        )

    async def run(self) -> None:
        """Check backend servers that left calls unanswered, until cancelled."""
        async with trio.open_nursery() as nursery:
            async for instance in self._checks_receive:
                nursery.start_soon(self._check, instance)

    def start(self, entry: BackendEntry, identity: CallIdentity, timing: StreamTiming) -> HeldCall:
        """Record that a call is sent to a backend server.

        Args:
            entry: Registration that is used for the call.
            identity: What the call has in common with others.
            timing: Shows when the caller's stream has had a complete event.
        """
        instance = self._instances.setdefault(
            CrashId(entry.backend, entry.born_ms), _Instance(entry)
        )
        held = HeldCall(instance, identity, timing, self._timer.now())
        instance.open.add(held)
        return held

    def record_answer(self, held: HeldCall) -> None:
        """Record that the head of a backend server's answer has arrived."""
        held.instance.seen_at = self._timer.now()

    def finish(self, held: HeldCall, outcome: AttemptOutcome) -> None:
        """Record the end of a call.

        Args:
            held: The call.
            outcome: How it ended; `ANSWERED` only if the answer was complete.
        """
        instance = held.instance
        instance.open.discard(held)
        if outcome is AttemptOutcome.ANSWERED:
            instance.seen_at = self._timer.now()
        if outcome is AttemptOutcome.ANSWERED or outcome in _NOT_HELD:
            return
        if held.sent_at < self._resumed_at or held.timing.has_event:
            return
        if instance.crashed_at is not None or self._directory.is_leaving(instance.entry):
            return  # Calls that were open at the crash are reported; later ones came too late.
        held.ended_at = self._timer.now()
        held.broken = outcome is AttemptOutcome.BROKEN
        instance.ended.append(held)
        if held.broken:
            # Also if an earlier check found it alive: it may have ended since.
            self._request_check(instance)

    def update(self) -> None:
        """Compare the backend servers that hold calls with the registrations."""
        now = self._timer.now()
        updated_at, self._updated_at = self._updated_at, now
        if updated_at is not None and now - updated_at > MAX_UPDATE_PAUSE_S:
            self._resumed_at = now
            for instance in self._instances.values():
                instance.forget_before(now)
        if not self._instances:
            return
        others: dict[Address, list[BackendEntry]] = {}
        for entry in self._directory.entries():
            others.setdefault(entry.address, []).append(entry)
        for crash, instance in list(self._instances.items()):
            if self._directory.is_leaving(instance.entry):
                del self._instances[crash]
                continue
            instance.forget_ended(now)
            if instance.crashed_at is not None:
                self._update_crashed(instance, now)
            elif not instance.open and not instance.ended:
                del self._instances[crash]
            else:
                self._compare(instance, others.get(instance.entry.address, ()))

    def _compare(self, instance: _Instance, at_address: Sequence[BackendEntry]) -> None:
        registered = self._directory.is_registered(instance.entry)
        replaced = any(
            (entry.backend, entry.born_ms) != (instance.entry.backend, instance.entry.born_ms)
            and (not registered or entry.born_ms > instance.entry.born_ms)
            for entry in at_address
        )
        # A registration at a foreign address says nothing about the server that answers there.
        if replaced and (not registered or instance.find_silence(self._timer.now()) is not None):
            self._record_crash(instance, "replaced by another instance")
        elif not registered and instance.has_broken:
            self._record_crash(instance, "registration ended")
        elif not registered:
            self._request_check(instance)

    def _update_crashed(self, instance: _Instance, now: float) -> None:
        known = self._directory.find(instance.entry.backend)
        if known is None or not known.is_same_instance(instance.entry):
            instance.lapsed = True
        elif instance.lapsed or (
            known.sequence >= instance.crash_sequence + HEARTBEATS_AFTER_CRASH
        ):
            self._metrics.record_withdrawn_crash()
            self._events.record(
                Event.CRASH_WITHDRAWN,
                backend=instance.entry.backend,
                born_ms=instance.entry.born_ms,
                age_s=round(now - instance.crashed_at, 3),
            )
            del self._instances[instance.crash_id]
            self._quarantine.withdraw_crash(instance.crash_id)
            return
        if now - instance.crashed_at > WITHDRAWAL_S:
            del self._instances[instance.crash_id]

    def _request_check(self, instance: _Instance) -> None:
        if instance.check_waits:
            return
        try:
            self._checks_send.send_nowait(instance)
            instance.check_waits = True
        except trio.WouldBlock:
            backend = instance.entry.backend
            self._events.record(
                Event.TASK_FAILED,
                task="crash check",
                error=f"too many checks wait; {backend} is judged by its registration only",
            )

    async def _check(self, instance: _Instance) -> None:
        await trio.sleep(self._timer.left_s(instance.checked_at + CHECK_PERIOD_S))
        instance.check_waits = False
        if self._instances.get(instance.crash_id) is not instance:
            return  # After a pause of the process, the calls may have been forgotten meanwhile.
        instance.checked_at = self._timer.now()
        address = instance.entry.address
        state = await probe_port(address.host, address.port, timeout_s=CHECK_TIMEOUT_S)
        if instance.crashed_at is not None or self._directory.is_leaving(instance.entry):
            return
        if state is PortState.REFUSES and instance.has_broken:
            instance.refused = True
            self._record_crash(instance, "connection refused")
        elif not self._directory.is_registered(instance.entry) and state.is_away:
            self._record_crash(instance, "registration ended and not reachable")

    def _record_crash(self, instance: _Instance, reason: str) -> None:
        now = self._timer.now()
        suspects, ended_at = instance.find_suspects(now)
        if not suspects:
            return
        instance.crashed_at = now
        known = self._directory.find(instance.entry.backend)
        instance.lapsed = not self._directory.is_registered(instance.entry)
        instance.crash_sequence = (known or instance.entry).sequence
        self._metrics.record_engine_crash()
        self._events.record(
            Event.ENGINE_CRASHED,
            backend=instance.entry.backend,
            born_ms=instance.entry.born_ms,
            reason=reason,
            calls=len(suspects),
            silent_s=round(now - instance.seen_at, 3) if instance.seen_at > 0 else None,
        )
        self._quarantine.record_crash(instance.crash_id, suspects, ended_at)
