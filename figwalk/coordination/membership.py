"""Membership of the fleet, polled from the platform's eventually consistent VM list."""

from __future__ import annotations

import json
from collections.abc import Callable
from enum import StrEnum

import attrs
import cattrs
import trio

from figwalk.errors import HttpError, HttpStatusError
from figwalk.events import Event, EventLog
from figwalk.timer import Subscription, Timer
from figwalk.transport import HttpClient

VMS_TARGET = "/vms"
HTTP_OK = 200
POLL_TIMEOUT_S = 2.0

# A VM is removed after it is absent from this many consecutive lists: a list that was just restored
# may be incomplete, and removing a live VM fails its calls.
ABSENT_LISTS_UNTIL_REMOVAL = 2


class VmKind(StrEnum):
    """What runs on a VM."""

    ENTRY = "entry"
    BACKEND = "backend"


class VmState(StrEnum):
    """State of a VM in the list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """One VM of the list.

    Attributes:
        id: Unique id.
        kind: What runs on it.
        state: Whether it is live or leaving.
        address: IP number.
        port: TCP port for other figwalk processes.
        zone: Availability zone.
        region: Region.
        service: Service that a backend server is a replica of, or an empty string.
    """

    id: str
    kind: VmKind
    state: VmState
    address: str
    port: int
    zone: str = ""
    region: str = ""
    service: str = ""


class VmChangeKind(StrEnum):
    """How the list changed."""

    JOINED = "joined"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen
class VmChange:
    """One change of the list; a VM that is first listed as leaving causes JOINED, then LEAVING."""

    kind: VmChangeKind
    vm: Vm


VmSubscriber = Callable[[VmChange], None]

_EVENTS = {
    VmChangeKind.JOINED: Event.MEMBER_JOINED,
    VmChangeKind.LEAVING: Event.MEMBER_LEAVING,
    VmChangeKind.GONE: Event.MEMBER_GONE,
}


@attrs.frozen
class _VmList:
    """Body of the response to `GET /vms`."""

    vms: list[Vm]


class Membership:
    """Polls the VM list and notifies subscribers of changes.

    If a poll fails, times out or returns a malformed list, the last valid list remains in effect.

    Args:
        client: Client of the server that provides the list.
        timer: Timer that schedules the polls.
        events: Event log that records the changes.
        poll_s: Seconds between two polls.
    """

    def __init__(
        self, client: HttpClient, timer: Timer, events: EventLog, *, poll_s: float = 1.0
    ) -> None:
        self._client = client
        self._timer = timer
        self._events = events
        self._poll_s = poll_s
        self._vms: dict[str, Vm] = {}
        self._consecutive_absences: dict[str, int] = {}
        self._subscribers: list[VmSubscriber] = []
        self._available = True

    @property
    def vms(self) -> tuple[Vm, ...]:
        """VMs of the last valid list, and absent ones that have not been removed yet."""
        return tuple(self._vms.values())

    @property
    def available(self) -> bool:
        """Whether the last poll succeeded; True before the first one."""
        return self._available

    def subscribe(self, subscriber: VmSubscriber) -> None:
        """Call a function for each VM that is already known, and for each later change."""
        self._subscribers.append(subscriber)
        for vm in self.vms:
            subscriber(VmChange(VmChangeKind.JOINED, vm))
            if vm.state is VmState.LEAVING:
                subscriber(VmChange(VmChangeKind.LEAVING, vm))

    def start(self) -> Subscription:
        """Subscribe to the timer."""
        return self._timer.subscribe("membership", self._poll_s, self.poll)

    async def poll(self) -> None:
        """Read the list once and apply it."""
        try:
            with trio.fail_after(POLL_TIMEOUT_S):
                vms = await self._fetch()
        except (HttpError, trio.TooSlowError, ValueError, cattrs.BaseValidationError) as error:
            self._set_unavailable(error)
            return
        self._available = True
        self._apply(vms)

    async def _fetch(self) -> dict[str, Vm]:
        response, body = await self._client.fetch("GET", VMS_TARGET)
        if response.status != HTTP_OK:
            raise HttpStatusError(response.status, body)
        listed = cattrs.structure(json.loads(body), _VmList)
        return {vm.id: vm for vm in listed.vms}

    def _set_unavailable(self, error: Exception) -> None:
        if self._available:
            self._events.record(
                Event.MEMBER_LIST_UNAVAILABLE, server=self._client.address, error=repr(error)
            )
        self._available = False

    def _apply(self, listed: dict[str, Vm]) -> None:
        for known in self.vms:
            self._consecutive_absences[known.id] = (
                0 if known.id in listed else self._consecutive_absences[known.id] + 1
            )
            replaced = known.id in listed and _is_replaced(known, listed[known.id])
            if replaced or self._consecutive_absences[known.id] >= ABSENT_LISTS_UNTIL_REMOVAL:
                self._remove(known)
        for vm in listed.values():
            self._update(vm)

    def _remove(self, vm: Vm) -> None:
        del self._vms[vm.id]
        del self._consecutive_absences[vm.id]
        self._notify(VmChangeKind.GONE, vm)

    def _update(self, vm: Vm) -> None:
        known = self._vms.get(vm.id)
        self._vms[vm.id] = vm
        if known is None:
            self._consecutive_absences[vm.id] = 0
            self._notify(VmChangeKind.JOINED, vm)
        was_leaving = known is not None and known.state is VmState.LEAVING
        if vm.state is VmState.LEAVING and not was_leaving:
            self._notify(VmChangeKind.LEAVING, vm)

    def _notify(self, kind: VmChangeKind, vm: Vm) -> None:
        self._events.record(_EVENTS[kind], vm=vm.id, service=vm.service, address=vm.address)
        for subscriber in self._subscribers:
            subscriber(VmChange(kind, vm))


def _is_replaced(known: Vm, listed: Vm) -> bool:
    """Return whether a listed VM replaces the known VM of the same id.

    A leaving VM that is live again was restarted, so subscribers that avoid the old one have to
    handle it as a new VM.
    """
    if known.state is VmState.LEAVING and listed.state is VmState.LIVE:
        return True
    return attrs.evolve(known, state=listed.state) != listed
