"""Stand-in for the platform's list of live and leaving VMs, which shows changes late.

Calls:
  GET    /vms        {"vms": [...]} as it was --lag-s seconds ago
  PUT    /vms/{id}   adds or replaces a VM; the JSON body has the fields of `Vm` except `id`
  DELETE /vms/{id}   removes a VM

Faults (POST /faults):
  outage     true: GET gets 503; changes are still taken
  delay_ms   GET waits this long
"""

from __future__ import annotations

import argparse
from collections import deque

import attrs
import trio

from figwalk.transport import HttpRequest, Responder, render_error
from standins.base import (
    Standin,
    build_parser,
    read_json_object,
    refuse_unknown_path,
    run_standin,
    structure,
)

MS_PER_S = 1000


@attrs.frozen
class VmsFaults:
    """Faults of the VM list; the module documentation describes them."""

    outage: bool = False
    delay_ms: float = 0.0


@attrs.frozen
class Vm:
    """A virtual machine.

    Attributes:
        id: Unique id.
        kind: `entry` or `backend`.
        state: `live` or `leaving`.
        address: IP number.
        port: TCP port for other figwalk processes.
        zone: Availability zone.
        region: Region.
        service: Service that a backend server is a replica of.
    """

    id: str
    kind: str
    state: str
    address: str
    port: int
    zone: str = ""
    region: str = ""
    service: str = ""


class LaggingList:
    """A list of VMs whose changes become visible after a lag.

    Args:
        lag_s: Seconds between a change and its visibility.
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._current: dict[str, Vm] = {}
        self._visible: dict[str, Vm] = {}
        self._pending: deque[tuple[float, dict[str, Vm]]] = deque()

    def put(self, vm: Vm) -> None:
        """Add or replace a VM."""
        self._change({**self._current, vm.id: vm})

    def remove(self, vm_id: str) -> bool:
        """Remove a VM and return whether it was there."""
        found = vm_id in self._current
        self._change({key: vm for key, vm in self._current.items() if key != vm_id})
        return found

    def visible(self) -> list[Vm]:
        """Return the list as readers see it now."""
        now = trio.current_time()
        while self._pending and self._pending[0][0] <= now:
            self._visible = self._pending.popleft()[1]
        return list(self._visible.values())

    def _change(self, vms: dict[str, Vm]) -> None:
        self._current = vms
        self._pending.append((trio.current_time() + self._lag_s, vms))


class VmsStandin(Standin):
    """The VM list service.

    Args:
        options: Parsed command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__(VmsFaults())
        self._list = LaggingList(options.lag_s)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Read or change the list."""
        vm_id = request.path.removeprefix("/vms/")
        if request.path == "/vms" and request.method == "GET":
            await self._send_list(responder)
        elif not request.path.startswith("/vms/") or not vm_id:
            await refuse_unknown_path(request, responder)
        elif request.method == "PUT":
            self._list.put(structure({**read_json_object(request.body), "id": vm_id}, Vm))
            await responder.send_json(200, {"id": vm_id})
        elif request.method == "DELETE":
            found = self._list.remove(vm_id)
            await responder.send_json(200 if found else 404, {"id": vm_id})
        else:
            await refuse_unknown_path(request, responder)

    async def _send_list(self, responder: Responder) -> None:
        await trio.sleep(self.faults.delay_ms / MS_PER_S)
        if self.faults.outage:
            body = render_error("server_error", "unavailable", "the VM list is not available")
            await responder.send_json(503, body)
            return
        vms = [attrs.asdict(vm) for vm in self._list.visible()]
        await responder.send_json(200, {"vms": vms})


def main() -> None:
    """Run the stand-in."""
    parser = build_parser("standins.vms", __doc__)
    parser.add_argument(
        "--lag-s", type=float, default=2.0, help="seconds before a change becomes visible"
    )
    options = parser.parse_args()
    run_standin(VmsStandin(options), options)


if __name__ == "__main__":
    main()
