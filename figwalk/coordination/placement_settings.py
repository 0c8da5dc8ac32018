"""Settings of a deployment for the placement of prompts."""

from __future__ import annotations

import attrs

from figwalk.state.gateway_settings import EngineSettings


@attrs.frozen
class PlacementSettings:
    """Settings of a deployment for the placement of prompts.

    Attributes:
        engines: Assumed rates of the engines.
        short_prompt_tokens: Prompts up to this length are prefilled by the engine that answers
            them.
        admission_ratio: Share of the time to the target that a prediction may take.
    """

    engines: EngineSettings = attrs.field(factory=EngineSettings)
    short_prompt_tokens: int = 1500
    admission_ratio: float = 0.9
