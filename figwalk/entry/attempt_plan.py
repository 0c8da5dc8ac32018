"""Chooses the backend server for each attempt of a request, one attempt after the other."""

from __future__ import annotations

from figwalk.coordination.retry_budget import RetryBudget
from figwalk.coordination.router import RouteRequest
from figwalk.entry.attempt_target import Target
from figwalk.entry.backends import Backends
from figwalk.errors import CallOutcome, RefusalError
from figwalk.events import Event, EventLog
from figwalk.state.fleet import LoadedModel

# A retry after one of these refusals uses no retry budget: a planned change, such as a role change,
# must not fail a request.
FREE_RETRY_CODES = frozenset({"leaving", "changing", "withdrawn"})
NO_BACKEND_RETRY_MS = 1000


class AttemptPlan:
    """Plans the attempts of one request.

    Args:
        backends: Backend servers that this entry is connected to.
        budget: Retry budget of the entry.
        route: Properties of the request that the routing policy uses.
        request_id: Identifies the request in events.
        events: Event log.
    """

    def __init__(
        self,
        backends: Backends,
        budget: RetryBudget,
        route: RouteRequest,
        request_id: str,
        events: EventLog,
    ) -> None:
        self._backends = backends
        self._budget = budget
        self._route = route
        self._request_id = request_id
        self._events = events
        self._excluded: set[str] = set()
        self._refusals: list[RefusalError] = []
        self._retry_is_free = True
        self._loaded: LoadedModel | None = None
        budget.record_first_attempt()

    @property
    def route(self) -> RouteRequest:
        """Properties of the request that the routing policy uses."""
        return self._route

    def next_target(self) -> Target:
        """Choose the next backend server.

        Raises:
            RefusalError: No backend server remains to be tried, or the retry budget is exhausted.
        """
        choice = self._backends.choose(self._route, frozenset(self._excluded), self._loaded)
        if choice is None:
            raise self._final_refusal()
        if not self._retry_is_free and not self._budget.try_retry():
            self._events.record(Event.RETRY_BUDGET_EMPTY, request_id=self._request_id)
            raise self._final_refusal()
        if self._excluded:
            self._events.record(
                Event.REQUEST_RETRIED, request_id=self._request_id, backend=choice.backend
            )
        self._excluded.add(choice.backend)
        self._events.record(
            Event.REQUEST_ROUTED,
            request_id=self._request_id,
            backend=choice.backend,
            reason=choice.reason,
        )
        return self._backends.target(choice, self._route.pieces)

    def record_refusal(self, error: RefusalError) -> None:
        """Record that the last target refused the call."""
        self._refusals.append(error)
        self._retry_is_free = error.code in FREE_RETRY_CODES

    def record_loss(self, error: Exception) -> None:
        """Record that the connection to the last target, or its answer, was lost."""
        self._refusals.append(RefusalError("backend_lost", str(error), outcome=CallOutcome.UNKNOWN))
        self._retry_is_free = False

    def allow_resume(self, loaded: LoadedModel) -> None:
        """Let the next attempt resume an interrupted stream without using the retry budget.

        It and all later ones go only to engines that have the same loaded as the one that began
        the stream: the texts of two models, adapters or versions do not fit together.

        Args:
            loaded: What the engine that began the stream had loaded.
        """
        self._loaded = loaded
        self._retry_is_free = True

    def _final_refusal(self) -> RefusalError:
        if not self._refusals:
            return RefusalError(
                "no_backend",
                f"no backend server of service {self._route.service!r} takes work now",
                retry_after_ms=NO_BACKEND_RETRY_MS,
            )
        soonest = min(self._refusals, key=lambda error: error.retry_after_ms)
        if all(error.outcome is CallOutcome.NOT_RUN for error in self._refusals):
            return soonest
        # At least one attempt may have run, so the outcome of the request as a whole is unknown.
        return RefusalError(
            soonest.code,
            soonest.message,
            status=soonest.status,
            outcome=CallOutcome.UNKNOWN,
            retry_after_ms=soonest.retry_after_ms,
        )
