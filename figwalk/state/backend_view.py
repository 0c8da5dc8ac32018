"""State that an entry holds about one backend server: identity, load report and sent calls."""

from __future__ import annotations

import attrs

from figwalk.protocol.messages import BackendState, LoadReport, Role
from figwalk.state.settings import Address

# A report may not include calls that were sent less than this long before the report arrived:
# twice the 12 ms latency between regions, plus the time that the agent needs to write the report.
# The agent counts a call as soon as it arrives, so the age of the engine's own figures adds
# nothing. Counting a call twice for this time is harmless; missing one makes a busy backend server
# look idle.
REPORT_TRANSIT_S = 0.05


@attrs.frozen
class SentCall:
    """A call of this entry in flight at a backend server.

    Attributes:
        call_id: The call.
        prompt_tokens: Estimated prompt tokens that the backend server has to process.
        output_tokens: Largest number of tokens that the call may generate.
        sent_at: Timer time at which the entry sent it, in seconds.
    """

    call_id: int
    prompt_tokens: int
    output_tokens: int
    sent_at: float


@attrs.frozen
class PredictedLoad:
    """Current load of a backend server, as estimated by this entry.

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
    """A change of an engine's role, detected from load reports.

    Attributes:
        backend: Backend server.
        before: Role before the change.
        after: Role after the change.
        at: Timer time at which the first report with the new role arrived, in seconds.
        unavailable_s: Seconds for which the reports gave the state as changing, so that it took no
            work.
    """

    backend: str
    before: Role
    after: Role
    at: float
    unavailable_s: float


@attrs.frozen
class LoadedModel:
    """What an engine has loaded, by its agent's reports; empty where it is unknown.

    Attributes:
        model: Name of the model.
        adapter: Name of the adapter.
        version: Version of the model's weights.
    """

    model: str = ""
    adapter: str = ""
    version: str = ""


class _CallSet:
    """Calls in flight, with token totals kept up to date so that routing does not sum them."""

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
        """Add a call; it replaces one with the same id."""
        self.discard(call.call_id)
        self._calls[call.call_id] = call
        self._prompt_tokens += call.prompt_tokens
        self._output_tokens += call.output_tokens

    def discard(self, call_id: int) -> None:
        """Remove a call; an unknown id is ignored."""
        call = self._calls.pop(call_id, None)
        if call is not None:
            self._prompt_tokens -= call.prompt_tokens
            self._output_tokens -= call.output_tokens

    def discard_until(self, sent_at: float) -> None:
        """Remove the calls that were sent at or before a time."""
        for call in self.calls:
            if call.sent_at > sent_at:
                return
            self.discard(call.call_id)


class BackendView:
    """One backend server: its identity, its newest load report and this entry's calls to it.

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
        """Loaded model, or None if it was not reported to this entry."""
        return self.loaded.model or None

    @property
    def loaded(self) -> LoadedModel:
        """What its engine has loaded, by the newest report."""
        if self._report is None:
            return LoadedModel()
        return LoadedModel(self._report.model, self._report.adapter, self._report.version)

    @property
    def report(self) -> LoadReport | None:
        """Newest load report, or None before the first one."""
        return self._report

    @property
    def reported_at(self) -> float:
        """Timer time at which the newest report arrived, in seconds."""
        return self._reported_at

    @property
    def leaving(self) -> bool:
        """Whether its agent or the VM list reported that it leaves."""
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
        """Load of the newest report plus the calls that all entries have sent since.

        Each other entry is assumed to have sent as much as this one. This entry's calls in flight
        are a lower bound of the number of calls, and half of their output tokens are a lower bound
        of the output tokens: a backend server whose report is older than it states must not look
        idle to the entry that keeps it busy.
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
        """Return the prompt tokens, sent by all entries, that can't have been processed yet.

        The estimate assumes that the engine prefills at the reported speed and that each other
        entry sends as much as this one. It does not use the reported queue, so that it is still
        valid when an engine wrongly reports an empty queue.
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
        """Apply the identity that an agent reports; return whether it is a new incarnation."""
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
        """Apply a load report; return whether it was newer than the last one."""
        if self._report is not None and report.sequence <= self._report.sequence:
            return False
        self._report = report
        self._reported_at = now
        self._unreported.discard_until(now - REPORT_TRANSIT_S)
        return True

    def pop_role_change(self, now: float) -> RoleChange | None:
        """Return the role change that the newest report completes, or None; each only once.

        The last known role is kept across incarnations of the agent, so that a change is also
        found if the agent restarts while its engine changes its role. Only reports with the state
        serving are used, because in other states the agent may not know the engine's role.
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
        unavailable_s = now - since if since is not None else 0.0
        return RoleChange(self._name, before, self._role, now, unavailable_s)

    def set_entry_count(self, count: int) -> None:
        """Set the number of entries, this one included, that send calls to the backend server."""
        self._entry_count = count

    @property
    def accepts_work(self) -> bool:
        """Whether it takes new work by its newest report, however old, and is not leaving."""
        if self._leaving or self._report is None:
            return False
        return self._report.state is BackendState.SERVING

    def set_leaving(self) -> None:
        """Mark this incarnation as leaving, so that it gets no new work."""
        self._leaving = True

    def clear_leaving(self) -> None:
        """Remove the leaving mark, so that it gets new work again."""
        self._leaving = False

    def add_call(self, call: SentCall) -> None:
        """Count a call that this entry sent."""
        self._sent_prompt_tokens = (
            self.sent_backlog_tokens(call.sent_at) + self._entry_count * call.prompt_tokens
        )
        self._sent_prompt_at = call.sent_at
        self._in_flight.add(call)
        self._unreported.add(call)

    def remove_call(self, call_id: int) -> None:
        """Stop counting a call that ended."""
        self._in_flight.discard(call_id)
        self._unreported.discard(call_id)
