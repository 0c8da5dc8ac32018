"""Polls the backend server's health, load and cache events."""

from __future__ import annotations

from collections import deque

from figwalk.agent.backend_client import BackendClient, EngineLoad, EngineState
from figwalk.agent.cache_tracker import CacheTracker
from figwalk.agent.serving_state import ServingState
from figwalk.coordination.admission import AdmissionQueue
from figwalk.errors import HttpError
from figwalk.timer import MS_PER_S, Timer

POLL_PERIOD_S = 0.25
CACHE_POLL_PERIOD_S = 0.5
# History of this agent's running calls, for the comparison with older figures of the engine.
HISTORY_S = 5.0
# A foreign call counts only if this many consecutive reports of the engine contain it: one report
# may fall between the end of a call at the engine and its end at the agent.
FOREIGN_REPORTS = 4


class BackendMonitor:
    """Stores the last known state and load of the backend server, and adapts admission to them.

    Foreign calls, which the engine reports but this agent did not send, reduce the admission
    capacity. They come for example from an agent that was killed.

    Args:
        backend: Access to the backend server.
        serving: Receives whether the backend server responds.
        admission: Receives speeds and capacity.
        cache: Receives cache events.
        timer: Source of time.
    """

    def __init__(
        self,
        backend: BackendClient,
        serving: ServingState,
        admission: AdmissionQueue,
        cache: CacheTracker,
        timer: Timer,
    ) -> None:
        self._backend = backend
        self._serving = serving
        self._admission = admission
        self._cache = cache
        self._timer = timer
        self._engine_state: EngineState | None = None
        self._load: EngineLoad | None = None
        self._load_at = 0.0
        self._own_running: deque[tuple[float, int]] = deque()
        self._surplus: deque[int] = deque(maxlen=FOREIGN_REPORTS)

    @property
    def engine_state(self) -> EngineState | None:
        """Newest state of the engine, or None before the first response."""
        return self._engine_state

    @property
    def load(self) -> EngineLoad | None:
        """Newest load figures of the engine, or None before the first response."""
        return self._load

    @property
    def load_age_ms(self) -> int:
        """Present age of the load figures, in milliseconds, or 0 if there are none."""
        if self._load is None:
            return 0
        return round(self._load.age_ms + (self._timer.now() - self._load_at) * MS_PER_S)

    @property
    def foreign_running(self) -> int:
        """Number of calls at the engine that this agent did not send."""
        if len(self._surplus) < FOREIGN_REPORTS:
            return 0
        return min(self._surplus)

    def start(self) -> None:
        """Start the periodic polls."""
        self._timer.subscribe("backend health and load", POLL_PERIOD_S, self.poll)
        if self._backend.is_engine:
            self._timer.subscribe("cache events", CACHE_POLL_PERIOD_S, self.poll_cache)

    async def poll(self) -> None:
        """Check the health of the backend server, and read the load of an engine."""
        healthy = await self._backend.check_health()
        if healthy and self._backend.is_engine:
            healthy = await self._poll_engine()
        self._serving.set_up(healthy)
        self._admission.refresh_predictions()

    async def poll_cache(self) -> None:
        """Read the engine's new cache events, and retry at the next poll after an error."""
        if not self._serving.up:
            return
        try:
            self._cache.apply(await self._backend.read_cache_events(self._cache.after))
        except HttpError:
            return

    def set_engine_state(self, state: EngineState) -> None:
        """Store a state of the engine; a new incarnation starts with an empty cache."""
        known = self._engine_state
        self._engine_state = state
        if not state.ready:
            self._serving.set_changing(True)
        if known is not None and known.incarnation != state.incarnation:
            self._cache.reset()
            self._surplus.clear()

    async def _poll_engine(self) -> bool:
        """Read the load; return whether the engine's state, which calls need, is known."""
        try:
            if self._engine_state is None or not self._serving.up:
                # An engine that was down may have started again with another model or role.
                self.set_engine_state(await self._backend.read_state())
        except HttpError:
            return False
        try:
            load = await self._backend.read_load()
        except HttpError:
            # The engine keeps serving if only its load figures are late or missing.
            return True
        now = self._timer.now()
        self._load = load
        self._load_at = now
        self._record_surplus(load, now)
        calls = load.max_running or self._admission.max_running
        self._admission.estimate.set_engine_speeds(
            load.prefill_tokens_per_s, load.decode_tokens_per_s, calls
        )
        self._admission.set_capacity(calls - self.foreign_running)
        return True

    def _record_surplus(self, load: EngineLoad, now: float) -> None:
        self._own_running.append((now, self._admission.running))
        while self._own_running[0][0] < now - HISTORY_S:
            self._own_running.popleft()
        measured_at = now - load.age_ms / MS_PER_S
        near = [
            running
            for at, running in self._own_running
            if abs(at - measured_at) <= 2 * POLL_PERIOD_S
        ]
        self._surplus.append(load.running + load.queued - max(near, default=load.running))
        if self._surplus[-1] < 0:
            self._surplus[-1] = 0
