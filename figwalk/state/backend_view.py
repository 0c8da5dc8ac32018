"""One backend server as an entry knows it."""

from __future__ import annotations

import attrs

from figwalk.protocol.messages import BackendState, LoadReport, Role
from figwalk.state.settings import Address

# A call sent this long before a report arrived may not be counted in it: twice the 12 ms between
# regions, and the time the agent takes to write the report. The agent counts a call when it
# arrives, so that the age of the engine's own figures does not matter. Counting a call twice for
# that time is harmless, missing it makes a busy backend server look idle.
REPORT_TRANSIT_S = 0.05


@attrs.frozen
class SentCall:
    """A call of this entry in flight at a backend server.

    Attributes:
        call_id: The call.
        prompt_tokens: Estimated prompt tokens to be processed.
        output_tokens: Tokens that may be generated.
        sent_at: When it was sent.
    """

    call_id: int
    prompt_tokens: int
    output_tokens: int
    sent_at: float


@attrs.frozen
class PredictedLoad:
    """Load of a backend server now, as far as this entry can tell.

    Attributes:
        calls: Calls running or waiting.
        prompt_tokens: Prompt tokens still to be processed.
        output_tokens: Tokens still to be generated.
    """

    calls: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0


@attrs.frozen
class RoleChange:
    """A change of role that load reports showed.

    Attributes:
        backend: Backend server.
        before: Role until then.
        after: Role since then.
        at: When the first report with the new role arrived.
        away_s: Seconds that the backend server was reported as changing.
    """

    backend: str
    before: Role
    after: Role
    at: float
    away_s: float


class _CallSet:
    """Calls in flight with running totals, so that a routing decision sums nothing."""

    def __init__(self) -> None:
        self._calls: dict[int, SentCall] = {}
        self._prompt_tokens = 0
        self._output_tokens = 0

    def __len__(self) -> int:
        return len(self._calls)

    @property
    def calls(self) -> list[SentCall]:
        """The calls in the order in which they were added."""
        return list(self._calls.values())

    @property
    def prompt_tokens(self) -> int:
        """Prompt tokens of all calls."""
        return self._prompt_tokens

    @property
    def output_tokens(self) -> int:
        """Output tokens of all calls."""
        return self._output_tokens

    def add(self, call: SentCall) -> None:
        """Add a call, in place of one with the same id."""
        self.discard(call.call_id)
        self._calls[call.call_id] = call
        self._prompt_tokens += call.prompt_tokens
        self._output_tokens += call.output_tokens

    def discard(self, call_id: int) -> None:
        """Remove a call if it is there."""
        call = self._calls.pop(call_id, None)
        if call is not None:
            self._prompt_tokens -= call.prompt_tokens
            self._output_tokens -= call.output_tokens

    def discard_until(self, sent_at: float) -> None:
        """Remove the calls sent up to a time."""
        for call in self.calls:
            if call.sent_at > sent_at:
                return
            self.discard(call.call_id)


class BackendView:
    """One backend server as this entry knows it.

    Args:
        name: Unique name.
        service: Service that it is a replica of.
        zone: Its availability zone.
        region: Its region.
        address: Where its agent listens.
        incarnation: Incarnation of its agent.
    """

    def __init__(
        self,
        name: str,
        service: str,
        *,
        zone: str = "",
        region: str = "",
        address: Address | None = None,
        incarnation: int = 0,
    ) -> None:
        self._name = name
        self._service = service
        self._zone = zone
        self._region = region
        self._address = address
        self._incarnation = incarnation
        self._model: str | None = None
        self._report: LoadReport | None = None
        self._reported_at = 0.0
        self._leaving = False
        self._in_flight = _CallSet()
        self._unreported = _CallSet()
        self._entry_count = 1
        self._sent_prompt_tokens = 0.0
        self._sent_prompt_at = 0.0
        self._role: Role | None = None
        self._changing_since: float | None = None

    @property
    def name(self) -> str:
        """Unique name."""
        return self._name

    @property
    def service(self) -> str:
        """Service that it is a replica of."""
        return self._service

    @property
    def zone(self) -> str:
        """Availability zone."""
        return self._zone

    @property
    def region(self) -> str:
        """Region."""
        return self._region

    @property
    def address(self) -> Address | None:
        """Where its agent listens."""
        return self._address

    @property
    def incarnation(self) -> int:
        """Incarnation of its agent."""
        return self._incarnation

    @property
    def model(self) -> str | None:
        """Loaded model, or None if this entry was not told."""
        return self._model

    @property
    def report(self) -> LoadReport | None:
        """Newest load report, or None before the first one."""
        return self._report

    @property
    def reported_at(self) -> float:
        """When the newest report arrived."""
        return self._reported_at

    @property
    def leaving(self) -> bool:
        """Whether its agent or the VM list said that it leaves."""
        return self._leaving

    @property
    def in_flight(self) -> list[SentCall]:
        """Calls of this entry at the backend server, oldest first."""
        return self._in_flight.calls

    @property
    def in_flight_count(self) -> int:
        """Number of calls of this entry at the backend server."""
        return len(self._in_flight)

    @property
    def predicted(self) -> PredictedLoad:
        """The newest report and what the entries have sent since, as much each as this one.

        What this entry has in flight is a lower bound of the number of calls, and half of its
        tokens of the output: a backend server whose report lags by more than it says must not
        look idle to the one that keeps it busy.
        """
        report = self._report or LoadReport(0, self._name)
        reported_calls = report.running + report.queued
        entries = self._entry_count
        return PredictedLoad(
            max(reported_calls + entries * len(self._unreported), len(self._in_flight)),
            report.queued_prompt_tokens + entries * self._unreported.prompt_tokens,
            max(
                report.queued_output_tokens + entries * self._unreported.output_tokens,
                self._in_flight.output_tokens // 2,
            ),
        )

    def sent_backlog_tokens(self, now: float) -> float:
        """Return the prompt tokens of the entries that can't have been processed yet.

        It takes the reported speed, and the other entries' calls to be as many as this one's, but
        not the reported queue, so that it holds when an engine wrongly reports none.
        """
        speed = self._report.prefill_tokens_per_s if self._report else 0.0
        if speed <= 0:
            return 0.0
        processed = speed * (now - self._sent_prompt_at)
        return max(0.0, self._sent_prompt_tokens - processed)

    def is_fresh(self, now: float, report_timeout_s: float) -> bool:
        """Return whether a report arrived within the timeout."""
        return self._report is not None and now - self._reported_at <= report_timeout_s

    def update_identity(
        self, *, zone: str, region: str, address: Address | None, incarnation: int
    ) -> bool:
        """Take over what an agent says of itself; return whether it is a new incarnation."""
        self._zone = zone
        self._region = region
        self._address = address
        if incarnation == self._incarnation:
            return False
        self._incarnation = incarnation
        self._report = None
        self._leaving = False
        self._in_flight = _CallSet()
        self._unreported = _CallSet()
        self._sent_prompt_tokens = 0.0
        return True

    def update_report(self, report: LoadReport, now: float) -> bool:
        """Take over a report; return whether it was newer than the last one."""
        if self._report is not None and report.sequence <= self._report.sequence:
            return False
        self._report = report
        self._reported_at = now
        self._unreported.discard_until(now - REPORT_TRANSIT_S)
        return True

    def take_role_change(self, now: float) -> RoleChange | None:
        """Return the change of role that the newest report completes, once.

        The role outlives the agent's incarnation, so that an agent that restarts while its engine
        changes hides no change. Only a serving agent surely knows its engine's role.
        """
        if self._report.state is BackendState.CHANGING:
            if self._changing_since is None:
                self._changing_since = now
            return None
        if self._report.state is not BackendState.SERVING:
            return None
        before, self._role = self._role, self._report.role
        since, self._changing_since = self._changing_since, None
        if before in (None, self._role):
            return None
        away_s = now - since if since is not None else 0.0
        return RoleChange(self._name, before, self._role, now, away_s)

    def set_model(self, model: str | None) -> None:
        """Set the loaded model."""
        self._model = model

    def set_entry_count(self, count: int) -> None:
        """Set how many entries send calls to the backend server."""
        self._entry_count = count

    @property
    def takes_work(self) -> bool:
        """Whether its newest report, however old, says that it takes new work."""
        if self._leaving or self._report is None:
            return False
        return self._report.state is BackendState.SERVING

    def set_leaving(self) -> None:
        """Give no new work to this incarnation."""
        self._leaving = True

    def clear_leaving(self) -> None:
        """Give work again."""
        self._leaving = False

    def add_call(self, call: SentCall) -> None:
        """Add a call that this entry sent."""
        self._sent_prompt_tokens = (
            self.sent_backlog_tokens(call.sent_at) + self._entry_count * call.prompt_tokens
        )
        self._sent_prompt_at = call.sent_at
        self._in_flight.add(call)
        self._unreported.add(call)

    def remove_call(self, call_id: int) -> None:
        """Remove a call that ended."""
        self._in_flight.discard(call_id)
        self._unreported.discard(call_id)
