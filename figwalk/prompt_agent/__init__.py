"""Composition of `figwalk-prompt-agent`: admits prompts to the engine beside it."""
