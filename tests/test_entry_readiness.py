from types import SimpleNamespace

import pytest

from figwalk.coordination.membership import Vm, VmKind, VmState
from figwalk.entry.readiness import FIRST_REPORTS_TIMEOUT_S, Readiness
from figwalk.state.fleet import Fleet
from tests.policy_fakes import ManualTimer, make_report

VMS = (
    Vm("agent-a", VmKind.BACKEND, VmState.LIVE, "127.0.0.1", 1, service="llm"),
    Vm("agent-b", VmKind.BACKEND, VmState.LIVE, "127.0.0.1", 2, service="depot"),
    Vm("entry-1", VmKind.ENTRY, VmState.LIVE, "127.0.0.1", 3),
)


class Entry:
    """The parts that readiness depends on."""

    def __init__(self):
        self.timer = ManualTimer()
        self.fleet = Fleet(self.timer)
        self.configuration = SimpleNamespace(revision=1)
        self.membership = SimpleNamespace(vms=VMS)
        self.readiness = Readiness(self.configuration, self.membership, self.fleet, self.timer)

    def report(self, backend, service):
        """Register a backend server and apply a load report of it."""
        self.fleet.register(backend, service)
        self.fleet.update_report(make_report(backend))


@pytest.fixture
def entry():
    return Entry()


def test_new_entry_is_ready_once_each_service_has_a_backend_server(entry):
    """Guards against requests that a newly started entry refuses for lack of load reports."""
    assert not entry.readiness.is_ready()
    entry.report("a", "llm")
    assert not entry.readiness.is_ready()
    entry.report("b", "depot")
    assert entry.readiness.is_ready()


def test_entry_without_vm_list_or_configuration_is_not_ready(entry):
    """Guards against requests to an entry that knows no backend server to route them to."""
    entry.membership.vms = ()
    entry.timer.time += 10 * FIRST_REPORTS_TIMEOUT_S
    assert not entry.readiness.is_ready()
    entry.membership.vms = VMS
    entry.report("a", "llm")
    entry.report("b", "depot")
    entry.configuration.revision = 0
    assert not entry.readiness.is_ready()


def test_service_that_is_down_delays_readiness_only_for_a_limited_time(entry):
    """Guards against a new entry that never serves models because the plain service is down."""
    entry.report("a", "llm")
    assert not entry.readiness.is_ready()
    entry.timer.time += FIRST_REPORTS_TIMEOUT_S
    assert entry.readiness.is_ready()


def test_ready_entry_stays_ready_until_it_stops(entry):
    """Guards against a load balancer that removes all entries when backend servers are lost."""
    entry.report("a", "llm")
    entry.report("b", "depot")
    assert entry.readiness.is_ready()
    entry.timer.time += 60
    assert entry.readiness.is_ready()
    entry.readiness.stop()
    assert not entry.readiness.is_ready()
