"""A timer whose time a test sets."""

from figwalk.timer import Timer


class FakeTimer(Timer):
    """Gives the time that the test has set.

    Args:
        now: Seconds at the start.
    """

    def __init__(self, now=100.0):
        super().__init__()
        self.time = now

    def now(self):
        """Return the time set."""
        return self.time

    def boot_now(self):
        """Return the time set."""
        return self.time

    def advance(self, seconds):
        """Let time pass."""
        self.time += seconds
