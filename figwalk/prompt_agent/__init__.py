"""Implementation of `figwalk-prompt-agent`, which admits prompts to the engine on its VM."""
