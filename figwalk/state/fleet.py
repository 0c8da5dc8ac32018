"""State that one entry holds about all backend servers, and the choice of candidates for a call."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Sequence

from figwalk.protocol.messages import LoadReport
from figwalk.state.backend_view import (
    BackendView,
    LoadedModel,
    PredictedLoad,
    RoleChange,
    SentCall,
)
from figwalk.state.demand import CallClass, DemandProfile
from figwalk.state.mix import MixEstimate, MixEstimator, TokenRates
from figwalk.state.prefixes import PrefixIndex
from figwalk.state.settings import Address
from figwalk.timer import Timer

__all__ = ["BackendView", "Fleet", "LoadedModel", "PredictedLoad", "RoleChange", "SentCall"]

MAX_ROLE_CHANGES = 64  # For each service; the role policy evaluates about the last ten minutes.


class Fleet:
    """The backend servers known to an entry, their reports, and this entry's calls in flight.

    Args:
        timer: Source of time.
        report_timeout_s: Seconds without a report after which a backend server is avoided.
        prefixes: Index that is updated from the cache events in reports.
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
        self._profiles: dict[str, DemandProfile] = {}
        self._refused: dict[str, DemandProfile] = {}
        self._role_changes: dict[str, deque[RoleChange]] = {}
        self._withdrawn: frozenset[str] = frozenset()
        self._entry_count = 1

    @property
    def prefixes(self) -> PrefixIndex:
        """Index of the prefix pieces in the cache of each backend server."""
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
        """Add a backend server, or update it from its agent's `Hello`.

        If the agent has a new incarnation, the old report, the calls in flight and the leaving
        mark are dropped.
        """
        view = self._backends.get(name)
        if view is not None and view.service != service:
            self.remove(name)
            view = None
        if view is None:
            view = BackendView(
                name, service, zone=zone, region=region, address=address, incarnation=incarnation
            )
            view.set_entry_count(self._entry_count)
            self._backends[name] = view
            self._by_service.setdefault(service, {})[name] = view
            return view
        view.update_identity(zone=zone, region=region, address=address, incarnation=incarnation)
        return view

    def remove(self, backend: str) -> None:
        """Drop all state of a backend server that is gone."""
        view = self._backends.pop(backend, None)
        if view is None:
            return
        del self._by_service[view.service][backend]
        self._prefixes.forget(backend)
        if view.service in self._mixes:
            self._mixes[view.service].forget(backend)

    def find(self, backend: str) -> BackendView | None:
        """Return a backend server by name, or None if it is not known."""
        return self._backends.get(backend)

    def backends(self, service: str | None = None) -> list[BackendView]:
        """Return all backend servers, or those of one service."""
        if service is None:
            return list(self._backends.values())
        return list(self._by_service.get(service, {}).values())

    def update_report(self, report: LoadReport, *, incarnation: int | None = None) -> bool:
        """Apply a load report with its cache events and token counters.

        Args:
            report: Report from a control connection or from the end of an answer.
            incarnation: Incarnation of the agent that sent it, if known. A late report of an
                earlier incarnation would otherwise hide those of the new one.

        Returns:
            Whether it was newer than the last one of a known backend server.
        """
        view = self._backends.get(report.backend)
        if view is None or incarnation not in (None, view.incarnation):
            return False
        now = self._timer.now()
        self._prefixes.record_evicted(report.backend, report.cache_evicted, now)
        self._prefixes.record_stored(report.backend, report.cache_stored, now)
        if not view.update_report(report, now):
            return False
        self._mixes.setdefault(view.service, MixEstimator()).observe(report, now)
        change = view.pop_role_change(now)
        if change is not None:
            history = self._role_changes.setdefault(view.service, deque(maxlen=MAX_ROLE_CHANGES))
            history.append(change)
        return True

    def add_sent_call(
        self,
        backend: str,
        call_id: int,
        prompt_tokens: int,
        output_tokens: int,
        *,
        pieces: Sequence[int] = (),
    ) -> None:
        """Count a call that this entry is about to send.

        Args:
            backend: Backend server that gets the call.
            call_id: The call.
            prompt_tokens: Prompt tokens that are not expected in the cache.
            output_tokens: Largest number of tokens that the call may generate.
            pieces: Prefix pieces of the prompt, which the backend server will soon have cached.
        """
        view = self._backends.get(backend)
        if view is None:
            return
        now = self._timer.now()
        view.add_call(SentCall(call_id, prompt_tokens, output_tokens, now))
        profile = self._profiles.setdefault(view.service, DemandProfile())
        profile.record_call(prompt_tokens, output_tokens, now)
        if pieces:
            self._prefixes.record_stored(backend, pieces, now)

    def add_refused_call(self, service: str, prompt_tokens: int, output_tokens: int) -> None:
        """Count the tokens of a call that no backend server took; no load report includes them."""
        profile = self._refused.setdefault(service, DemandProfile())
        profile.record_call(prompt_tokens, output_tokens, self._timer.now())

    def remove_call(self, backend: str, call_id: int) -> None:
        """Stop counting a call, however it ended; an unknown call is ignored."""
        view = self._backends.get(backend)
        if view is not None:
            view.remove_call(call_id)

    def mark_leaving(self, backend: str) -> None:
        """Exclude a backend server from new work until `clear_leaving` or a new incarnation."""
        view = self._backends.get(backend)
        if view is not None:
            view.set_leaving()

    def clear_leaving(self, backend: str) -> None:
        """Allow new work again for a backend server that announced to leave but serves again."""
        view = self._backends.get(backend)
        if view is not None:
            view.clear_leaving()

    def set_entry_count(self, count: int) -> None:
        """Set the number of live entries.

        The load balancer spreads callers evenly, so each other entry has sent about as much since
        the last report as this one. If an entry ignored the others' calls, all entries would choose
        the engine that looks idle and overload it together before its next report.
        """
        self._entry_count = max(1, count)
        for view in self._backends.values():
            view.set_entry_count(self._entry_count)

    def set_withdrawn(self, backends: Collection[str]) -> None:
        """Set the backend servers that are withdrawn by the configuration in force."""
        self._withdrawn = frozenset(backends)

    def candidates(
        self,
        service: str,
        model: str | None = None,
        excluded: Collection[str] = frozenset(),
        loaded: LoadedModel | None = None,
    ) -> list[BackendView]:
        """Return the backend servers that may get a new call.

        Args:
            service: Service to be called.
            model: Model to be used; a backend server whose model is not known may have it.
            excluded: Backend servers that this request has already tried.
            loaded: What a backend server must have loaded, or None for anything. What is unknown
                equals only what is unknown too.
        """
        views = self._by_service.get(service, {})
        # If all reports are old, this entry was paused or disconnected. It then uses the last
        # reports, because the agents still admit or refuse each call. A single fresh report shows
        # that the connection works and that the unresponsive backend servers are gone.
        now = self._timer.now()
        fresh = {name for name, view in views.items() if view.is_fresh(now, self._report_timeout_s)}
        return [
            view
            for name, view in views.items()
            if name not in excluded
            and name not in self._withdrawn
            and (model is None or view.model in (None, model))
            and (loaded is None or view.loaded == loaded)
            and (name in fresh or not fresh)
            and view.accepts_work
        ]

    def mix(self, service: str) -> MixEstimate:
        """Return the prompt-to-output mix of a service."""
        estimator = self._mixes.get(service)
        return estimator.estimate(self._timer.now()) if estimator else MixEstimate()

    def call_classes(self, service: str) -> tuple[CallClass, ...]:
        """Return the calls that this entry sends to a service, by prompt-to-output ratio."""
        profile = self._profiles.get(service)
        return profile.classes(self._timer.now()) if profile else ()

    def refused(self, service: str) -> TokenRates:
        """Return the tokens a second of refused calls at all entries, estimated from this one."""
        profile = self._refused.get(service)
        if profile is None:
            return TokenRates()
        own_rates = profile.total(self._timer.now())
        return TokenRates(
            own_rates.prompt_per_s * self._entry_count, own_rates.output_per_s * self._entry_count
        )

    def role_changes(self, service: str) -> tuple[RoleChange, ...]:
        """Return the recent role changes of a service, oldest first."""
        return tuple(self._role_changes.get(service, ()))

    def is_fresh(self, view: BackendView) -> bool:
        """Return whether the backend server's newest report arrived within the timeout."""
        return view.is_fresh(self._timer.now(), self._report_timeout_s)
