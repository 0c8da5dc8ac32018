"""Stand-in for the platform's address for reports of usage and orders of backend servers.

Calls:
  POST /usage  {"window-id", "counts"}                 takes the report of a window
  POST /scale  {"service", "zone", "desired-count"}    takes an order

Each call carries `Lease-Holder` and `Fencing-Token`. With --require-fencing, a call whose token is
below the highest one seen for its subject gets 409. All windows form one subject; each pair of a
service and a zone forms one. Calls beyond --calls-per-s in a second get 429. `GET /calls` lists the
calls as they were carried out, from the same process `carried_out` does.

Faults (POST /faults):
  refuse_status      status of every call instead of an answer, 0 for none
  lose_answers       the next N calls are carried out and get no answer
  lose_requests      the next N calls are not carried out and get no answer
  delay_ms           every call is carried out this much later
"""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import Any

import attrs
import trio

from figwalk.transport import HttpRequest, Responder
from standins.base import (
    Standin,
    build_parser,
    read_json_object,
    refuse_unknown_path,
    run_standin,
)

MS_PER_S = 1000
DEFAULT_CALLS_PER_S = 50.0


@attrs.frozen
class PlatformDutyFaults:
    """Faults of the platform's address; the module documentation describes them."""

    refuse_status: int = 0
    lose_answers: int = 0
    lose_requests: int = 0
    delay_ms: float = 0.0


@attrs.frozen
class DutyCall:
    """A call that reached the platform.

    Attributes:
        at: Time of trio's clock at which it was carried out or refused.
        subject: Subject whose fencing token it carries.
        holder: Name of the sender's VM.
        fence: Its fencing token.
        content: Its content.
        status: HTTP status of the answer.
    """

    at: float
    subject: str
    holder: str
    fence: int
    content: dict[str, Any]
    status: int


class PlatformDuties(Standin):
    """The platform's address.

    Args:
        require_fencing: Whether lower fencing tokens are refused.
        calls_per_s: Calls a second that are taken.
    """

    def __init__(
        self, *, require_fencing: bool = False, calls_per_s: float = DEFAULT_CALLS_PER_S
    ) -> None:
        super().__init__(PlatformDutyFaults())
        self._require_fencing = require_fencing
        self._calls_per_s = calls_per_s
        self._highest: dict[str, int] = {}
        self._calls: list[DutyCall] = []
        self._second = (0, 0)

    @property
    def calls(self) -> list[DutyCall]:
        """All calls in the order in which they were carried out or refused."""
        return self._calls

    def reports(self) -> dict[int, dict[str, int]]:
        """Return the counts of each window that was reported.

        Raises:
            ValueError: A window was reported with different counts.
        """
        reports: dict[int, dict[str, int]] = {}
        for call in self._calls:
            if call.subject != "usage" or call.status != HTTPStatus.OK:
                continue
            window, counts = call.content["window-id"], call.content["counts"]
            if reports.setdefault(window, counts) != counts:
                raise ValueError(f"window {window}: {counts} after {reports[window]}")
        return reports

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        if request.path == "/calls":
            await responder.send_json(200, {"calls": [attrs.asdict(c) for c in self._calls]})
            return
        if request.path not in ("/usage", "/scale") or request.method != "POST":
            await refuse_unknown_path(request, responder)
            return
        if self.use_up("lose_requests"):
            return
        delay_s = self.faults.delay_ms / MS_PER_S
        is_lost = self.use_up("lose_answers")
        with trio.CancelScope(shield=True):  # Carried out also if the sender has left meanwhile.
            await trio.sleep(delay_s)
            status = self._carry_out(request)
        if not is_lost:
            await responder.send(status, [], json.dumps({}).encode())

    def _carry_out(self, request: HttpRequest) -> int:
        content = read_json_object(request.body)
        subject = "usage"
        if request.path == "/scale":
            subject = f"scale {content['service']} {content['zone']}"
        fence = int(request.header(b"fencing-token"))
        status = self._judge(subject, fence)
        holder = request.header(b"lease-holder")
        now = trio.current_time()
        self._calls.append(DutyCall(now, subject, holder, fence, content, status))
        return status

    def _judge(self, subject: str, fence: int) -> int:
        if self.faults.refuse_status:
            return self.faults.refuse_status
        second, count = self._second
        now = int(trio.current_time())
        self._second = (now, count + 1 if now == second else 1)
        if self._second[1] > self._calls_per_s:
            return HTTPStatus.TOO_MANY_REQUESTS
        if self._require_fencing and fence < self._highest.get(subject, 0):
            return HTTPStatus.CONFLICT
        self._highest[subject] = max(fence, self._highest.get(subject, 0))
        return HTTPStatus.OK


def main() -> None:
    """Run the stand-in."""
    parser = build_parser("platform_duties", __doc__)
    parser.add_argument("--require-fencing", action="store_true")
    parser.add_argument("--calls-per-s", type=float, default=DEFAULT_CALLS_PER_S)
    options = parser.parse_args()
    duties = PlatformDuties(
        require_fencing=options.require_fencing, calls_per_s=options.calls_per_s
    )
    run_standin(duties, options)


if __name__ == "__main__":
    main()
