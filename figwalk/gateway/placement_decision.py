"""The decision whether to send a prompt by a plan, and which component made it."""

from __future__ import annotations

from enum import Enum

import attrs

from figwalk.coordination.prompt_plan import PromptPlan
from figwalk.gateway.prompt_offers import Grant


class AdmissionDecider(Enum):
    """Component or rule that decided whether a prompt is sent by a plan."""

    AGENT = "agent"  # The agent beside the prefill engine.
    BACKLOG = "backlog"  # The reported backlog is too large for the deadline.
    GATEWAY = "gateway"  # This process: no answer of the agent, or a short prompt.


@attrs.define(eq=False)
class PlacementDecision:
    """A plan for a prompt and whether the prompt is admitted.

    Attributes:
        plan: Engines and predicted times.
        judge: Component or rule that decided.
        admitted: Whether the prompt is sent by the plan.
        grant: Grant of the agent beside the prefill engine, or None if there is none or its end was
            already reported.
        retry_s: Predicted seconds until the organisation's share leaves room; 0 if it does.
    """

    plan: PromptPlan
    judge: AdmissionDecider
    admitted: bool = attrs.field(kw_only=True)
    grant: Grant | None = attrs.field(default=None, kw_only=True)
    retry_s: float = attrs.field(default=0.0, kw_only=True)

    def end(self, *, read: bool, took_s: float = 0.0) -> None:
        """Report to the agent that its grant has ended; further calls do nothing.

        Args:
            read: Whether the engine completed the prefill.
            took_s: Seconds that the prefill took at the engine, or 0 if unknown.
        """
        grant, self.grant = self.grant, None
        if grant is not None:
            grant.end(read=read, took_s=took_s)

    def describe(self) -> str:
        """Return prefill engine, judge and predicted seconds as a short text for logs."""
        plan = self.plan
        return f"{plan.reader.entry.backend}:{self.judge.value}:{plan.predicted_s:.3f}"
