"""A plan for a prompt, and who decided on it."""

from __future__ import annotations

from enum import Enum

import attrs

from figwalk.coordination.prompt_plan import PromptPlan
from figwalk.gateway.prompt_offers import Grant


class Judge(Enum):
    """Who decided whether a prompt is sent by a plan."""

    AGENT = "agent"  # The agent beside the reader.
    BACKLOG = "backlog"  # The backlog that it stated, which leaves no hope.
    GATEWAY = "gateway"  # This process, without the agent or for a short prompt.


@attrs.define(eq=False)
class Placed:
    """A plan and the decision on it.

    Attributes:
        plan: The plan.
        judge: Who decided.
        admitted: Whether it is to be followed.
        grant: What the agent beside the reader granted, until its end was told.
    """

    plan: PromptPlan
    judge: Judge
    admitted: bool = attrs.field(kw_only=True)
    grant: Grant | None = attrs.field(default=None, kw_only=True)

    def end(self, *, read: bool, took_s: float = 0.0) -> None:
        """Tell the agent that the prompt was read or given up, once.

        Args:
            read: Whether the reader read it to its end.
            took_s: Seconds that it took there, or 0 if that is not known.
        """
        grant, self.grant = self.grant, None
        if grant is not None:
            grant.end(read=read, took_s=took_s)

    def describe(self) -> str:
        """Return reader, judge and prediction in short, for logs."""
        plan = self.plan
        return f"{plan.reader.entry.backend}:{self.judge.value}:{plan.predicted_s:.3f}"
