"""What one entry knows of the backend servers."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import attrs

from figwalk.protocol.messages import BackendState, LoadReport
from figwalk.state.mix import MixEstimate, MixEstimator
from figwalk.state.prefixes import PrefixIndex
from figwalk.state.settings import Address
from figwalk.timer import MS_PER_S, Timer

# A call sent this long before a report arrived may not be counted in it: twice the 12 ms between
# regions, and the time the agent takes to write the report. Counting a call twice for that time
# is harmless, missing it makes a busy backend server look idle.
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
        """The newest report and what this entry has sent since.

        What this entry has in flight is a lower bound of the number of calls: a backend server
        whose report lags by more than it says must not look idle to the one that keeps it busy.
        """
        report = self._report or LoadReport(0, self._name)
        reported_calls = report.running + report.queued
        return PredictedLoad(
            max(reported_calls + len(self._unreported), len(self._in_flight)),
            report.queued_prompt_tokens + self._unreported.prompt_tokens,
            report.queued_output_tokens + self._unreported.output_tokens,
        )

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
        return True

    def update_report(self, report: LoadReport, now: float) -> bool:
        """Take over a report; return whether it was newer than the last one."""
        if self._report is not None and report.sequence <= self._report.sequence:
            return False
        self._report = report
        self._reported_at = now
        age_s = report.engine_report_age_ms / MS_PER_S
        self._unreported.discard_until(now - age_s - REPORT_TRANSIT_S)
        return True

    def set_model(self, model: str | None) -> None:
        """Set the loaded model."""
        self._model = model

    def set_leaving(self) -> None:
        """Give no new work to this incarnation."""
        self._leaving = True

    def add_call(self, call: SentCall) -> None:
        """Add a call that this entry sent."""
        self._in_flight.add(call)
        self._unreported.add(call)

    def remove_call(self, call_id: int) -> None:
        """Remove a call that ended."""
        self._in_flight.discard(call_id)
        self._unreported.discard(call_id)


class Fleet:
    """The backend servers known to an entry, their reports, and this entry's calls in flight.

    Args:
        timer: Source of time.
        report_timeout_s: Seconds without a report after which a backend server is avoided.
        prefixes: Index to fill from the cache events in reports.
    """

    def __init__(
        self, timer: Timer, *, report_timeout_s: float = 1.0, prefixes: PrefixIndex | None = None
    ) -> None:
        self._timer = timer
        self._report_timeout_s = report_timeout_s
        self._prefixes = prefixes if prefixes is not None else PrefixIndex()
        self._backends: dict[str, BackendView] = {}
        self._by_service: dict[str, dict[str, BackendView]] = {}
        self._mixes: dict[str, MixEstimator] = {}
        self._withdrawn: frozenset[str] = frozenset()

    @property
    def prefixes(self) -> PrefixIndex:
        """Which backend server holds which prefix piece."""
        return self._prefixes

    @property
    def withdrawn(self) -> frozenset[str]:
        """Backend servers withdrawn by configuration."""
        return self._withdrawn

    def register(
        self,
        name: str,
        service: str,
        *,
        zone: str = "",
        region: str = "",
        address: Address | None = None,
        incarnation: int = 0,
    ) -> BackendView:
        """Add a backend server or take over what its agent's `Hello` says.

        A new incarnation of the agent forgets the old report, the calls in flight and that it
        was leaving.
        """
        view = self._backends.get(name)
        if view is not None and view.service != service:
            self.remove(name)
            view = None
        if view is None:
            view = BackendView(
                name, service, zone=zone, region=region, address=address, incarnation=incarnation
            )
            self._backends[name] = view
            self._by_service.setdefault(service, {})[name] = view
            return view
        view.update_identity(zone=zone, region=region, address=address, incarnation=incarnation)
        return view

    def remove(self, backend: str) -> None:
        """Forget a backend server that is gone."""
        view = self._backends.pop(backend, None)
        if view is None:
            return
        del self._by_service[view.service][backend]
        self._prefixes.forget(backend)
        if view.service in self._mixes:
            self._mixes[view.service].forget(backend)

    def find(self, backend: str) -> BackendView | None:
        """Return a backend server by name."""
        return self._backends.get(backend)

    def backends(self, service: str | None = None) -> list[BackendView]:
        """Return all backend servers, or those of one service."""
        if service is None:
            return list(self._backends.values())
        return list(self._by_service.get(service, {}).values())

    def update_report(self, report: LoadReport, *, incarnation: int | None = None) -> bool:
        """Take over a load report, its cache events and its token counters.

        Args:
            report: From a control connection or the end of an answer.
            incarnation: Incarnation of the agent that sent it, if known. A late report of an
                earlier incarnation would otherwise hide the new ones.

        Returns:
            Whether it was newer than the last one of a known backend server.
        """
        view = self._backends.get(report.backend)
        if view is None or incarnation not in (None, view.incarnation):
            return False
        now = self._timer.now()
        self._prefixes.note_evicted(report.backend, report.cache_evicted, now)
        self._prefixes.note_stored(report.backend, report.cache_stored, now)
        if not view.update_report(report, now):
            return False
        self._mixes.setdefault(view.service, MixEstimator()).observe(report, now)
        return True

    def note_sent(
        self,
        backend: str,
        call_id: int,
        prompt_tokens: int,
        output_tokens: int,
        *,
        pieces: Sequence[int] = (),
    ) -> None:
        """Count a call that this entry is sending.

        Args:
            backend: Where it goes.
            call_id: The call.
            prompt_tokens: Prompt tokens that are not expected in the cache.
            output_tokens: Tokens that may be generated.
            pieces: Prefix pieces of the prompt, which the backend server will hold soon.
        """
        view = self._backends.get(backend)
        if view is None:
            return
        now = self._timer.now()
        view.add_call(SentCall(call_id, prompt_tokens, output_tokens, now))
        self._prefixes.note_stored(backend, pieces, now)

    def note_finished(self, backend: str, call_id: int) -> None:
        """Stop counting a call, however it ended; an unknown call is ignored."""
        view = self._backends.get(backend)
        if view is not None:
            view.remove_call(call_id)

    def mark_leaving(self, backend: str) -> None:
        """Give a backend server no new work until its agent has a new incarnation."""
        view = self._backends.get(backend)
        if view is not None:
            view.set_leaving()

    def set_model(self, backend: str, model: str | None) -> None:
        """Set the model that a backend server has loaded."""
        view = self._backends.get(backend)
        if view is not None:
            view.set_model(model)

    def set_withdrawn(self, backends: Collection[str]) -> None:
        """Set the backend servers that the configuration in force withdraws."""
        self._withdrawn = frozenset(backends)

    def candidates(
        self, service: str, model: str | None = None, excluded: Collection[str] = frozenset()
    ) -> list[BackendView]:
        """Return the backend servers that may get a new call.

        Args:
            service: Service to be called.
            model: Model to be used; a backend server whose model is not known may have it.
            excluded: Backend servers that this request has already tried.
        """
        now = self._timer.now()
        return [
            view
            for name, view in self._by_service.get(service, {}).items()
            if name not in excluded
            and name not in self._withdrawn
            and (model is None or view.model in (None, model))
            and self._takes_work(view, now)
        ]

    def mix(self, service: str) -> MixEstimate:
        """Return the prompt-to-output mix of a service."""
        estimator = self._mixes.get(service)
        return estimator.estimate(self._timer.now()) if estimator else MixEstimate()

    def _takes_work(self, view: BackendView, now: float) -> bool:
        if view.leaving or not view.is_fresh(now, self._report_timeout_s):
            return False
        return view.report.state is BackendState.SERVING
