"""Fakes for tests of routing, role and retry decisions."""

from figwalk.protocol.messages import LoadReport
from figwalk.state.fleet import Fleet
from figwalk.timer import Timer

ENGINE_SPEEDS = {"max_running": 8, "prefill_tokens_per_s": 20_000, "decode_tokens_per_s": 400}


class ManualTimer(Timer):
    """Timer whose time changes only when a test sets it."""

    def __init__(self, now=1000.0):
        super().__init__()
        self.time = now

    def now(self):
        """Return the time that the test has set."""
        return self.time

    def wall_ms(self):
        """Return the time that the test has set in milliseconds, as wall-clock time."""
        return int(self.time * 1000)


def make_report(backend, sequence=1, **fields):
    return LoadReport(sequence, backend, **{**ENGINE_SPEEDS, **fields})


def make_fleet(timer, names, service="llm", region="north", zone="north-a"):
    fleet = Fleet(timer)
    for name in names:
        fleet.register(name, service, zone=zone, region=region, incarnation=1)
        fleet.update_report(make_report(name))
    return fleet
