"""Settings of the test run."""

from hypothesis import settings

# The same examples in every run: CI must give the same verdict for the same commit.
settings.register_profile("ci", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("ci")
