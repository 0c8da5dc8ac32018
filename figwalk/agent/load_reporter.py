"""Builds load reports, which also serve as the agent's heartbeat."""

from __future__ import annotations

import itertools

from figwalk.agent.agent_config import AgentConfig
from figwalk.agent.backend_client import EngineLoad
from figwalk.agent.backend_monitor import BackendMonitor
from figwalk.agent.desired_role import DesiredRole
from figwalk.agent.metrics import Metrics
from figwalk.agent.serving_state import ServingState
from figwalk.coordination.admission import AdmissionQueue
from figwalk.protocol.messages import NO_OFFSET, LoadReport, Role
from figwalk.timer import MS_PER_S, Timer

# A report in every `End` would cost about as much as the rest of the message.
PIGGYBACK_PERIOD_S = 0.05


class LoadReporter:
    """Combines the engine's load figures, which are some time old, with those of the agent.

    Args:
        backend: Name of the backend server.
        serving: State of the backend server.
        admission: Queue of calls for the backend server.
        monitor: Source of the engine's own figures.
        desired: Desired role of the engine.
        config: Configuration in force.
        metrics: Counters.
        timer: Source of time.
    """

    def __init__(
        self,
        backend: str,
        *,
        serving: ServingState,
        admission: AdmissionQueue,
        monitor: BackendMonitor,
        desired: DesiredRole,
        config: AgentConfig,
        metrics: Metrics,
        timer: Timer,
    ) -> None:
        self._backend = backend
        self._serving = serving
        self._admission = admission
        self._monitor = monitor
        self._desired = desired
        self._config = config
        self._metrics = metrics
        self._timer = timer
        self._sequence = itertools.count(1)
        self._piggybacked_at: dict[str, float] = {}

    def build(
        self, stored: list[int] | None = None, evicted: list[int] | None = None
    ) -> LoadReport:
        """Return a report of the present load.

        Args:
            stored: Prefix pieces stored since the previous report on the same connection.
            evicted: Prefix pieces evicted since then.
        """
        admission = self._admission
        engine = self._monitor.engine_state
        load = self._monitor.load
        prompt_pending, output_pending = self._combine_pending(load)
        prompt_done, output_done = admission.processed_tokens()
        return LoadReport(
            sequence=next(self._sequence),
            backend=self._backend,
            role=engine.role if engine else Role.MIXED,
            state=self._serving.state,
            running=admission.running + self._monitor.foreign_running,
            queued=admission.queued,
            queued_prompt_tokens=prompt_pending,
            queued_output_tokens=output_pending,
            max_running=admission.capacity + self._monitor.foreign_running,
            prefill_tokens_per_s=load.prefill_tokens_per_s if load else 0.0,
            decode_tokens_per_s=load.decode_tokens_per_s if load else 0.0,
            prompt_tokens_total=self._metrics.prompt_tokens + prompt_done,
            generated_tokens_total=self._metrics.generated_tokens + output_done,
            order_offset=engine.order if engine else NO_OFFSET,
            control_offset=self._desired.control_offset,
            revision=self._config.revision,
            queue_wait_ms=round(admission.predicted_wait_s() * MS_PER_S),
            engine_report_age_ms=self._monitor.load_age_ms,
            cache_stored=stored or [],
            cache_evicted=evicted or [],
            model=engine.model if engine else "",
            adapter=engine.adapter if engine else "",
            version=engine.version if engine else "",
        )

    def _combine_pending(self, load: EngineLoad | None) -> tuple[int, int]:
        """Return the prompt and output tokens still to be processed.

        The estimate subtracts from the engine's figures what the engine has processed since its
        report. The larger of the agent's and the engine's figure is used: with a late report, the
        engine may seem idle, and only the engine knows of calls that this agent did not send.
        """
        prompt, output = self._admission.pending_tokens()
        if load is None:
            return prompt, output
        age_s = self._monitor.load_age_ms / MS_PER_S
        engine_prompt = load.queued_prompt_tokens - load.prefill_tokens_per_s * age_s
        engine_output = load.queued_output_tokens - load.decode_tokens_per_s * age_s
        return max(prompt, round(engine_prompt)), max(output, round(engine_output))

    def piggyback(self, entry: str) -> LoadReport | None:
        """Return a report for an `End` or `Refusal`, or None if the entry has just received one."""
        now = self._timer.now()
        if now - self._piggybacked_at.get(entry, 0.0) < PIGGYBACK_PERIOD_S:
            return None
        self._piggybacked_at[entry] = now
        return self.build()

    def remove_entry(self, entry: str) -> None:
        """Remove the state of an entry whose control connection closed."""
        self._piggybacked_at.pop(entry, None)
