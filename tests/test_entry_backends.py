import attrs
import trio

from figwalk.coordination.membership import Vm, VmKind, VmState
from figwalk.coordination.router import LeastLoadPolicy, RouteRequest
from figwalk.entry.backends import Backends
from figwalk.events import EventLog
from figwalk.protocol.messages import BackendState, ConnectionKind, Hello, Leaving, LoadReport
from figwalk.state.configuration import Configuration
from figwalk.state.control import Control
from figwalk.state.fleet import Fleet
from figwalk.state.notifier import Notifier
from figwalk.state.settings import Address, EntrySettings, PlatformSettings
from figwalk.timer import Timer

ADDRESS = Address("127.0.0.1", 1)
SETTINGS = EntrySettings(
    "entry-1",
    "rajkot-a",
    "saurashtra",
    ADDRESS,
    ADDRESS,
    ADDRESS,
    PlatformSettings(ADDRESS, ADDRESS),
)
VM = Vm("agent-1", VmKind.BACKEND, VmState.LIVE, "127.0.0.1", 1, service="llm")


@attrs.frozen
class FakeLink:
    """Link to a connected agent."""

    peer: Hello
    vm: str = "agent-1"
    address: Address = ADDRESS
    connected: bool = True


def run_with_backends(check, *, pause_s=0):
    async def main():
        timer = Timer()
        fleet = Fleet(timer)
        backends = Backends(
            SETTINGS,
            configuration=Configuration(),
            control=Control(),
            control_follower=None,
            fleet=fleet,
            changed=Notifier(),
            events=EventLog("entry-1", timer),
            timer=timer,
            incarnation=1,
        )
        backends.add_vm(VM)
        link = FakeLink(Hello(ConnectionKind.CONTROL, "agent-1", 7, backend="llm-1", service="llm"))
        backends.on_connected(link)
        backends.on_report(link, LoadReport(1, "llm-1"))
        await trio.sleep(pause_s)
        check(backends, fleet, link)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_restored_backend_receives_requests_again():
    """Guards against a withdrawn backend server that receives no requests after `restore`."""

    def check(backends, fleet, link):
        backends.on_report(link, LoadReport(2, "llm-1"))
        backends.on_leaving(link, Leaving("llm-1", 1000))
        backends.on_report(link, LoadReport(3, "llm-1", state=BackendState.WITHDRAWN))
        assert not fleet.candidates("llm")
        backends.on_report(link, LoadReport(4, "llm-1"))
        assert [view.name for view in fleet.candidates("llm")] == ["llm-1"]

    run_with_backends(check)


def test_vm_listed_as_leaving_receives_no_requests():
    """Guards against a load report that makes the entry ignore that the platform removes a VM."""

    def check(backends, fleet, link):
        backends.mark_leaving(VM)
        backends.on_report(link, LoadReport(1, "llm-1"))
        assert not fleet.candidates("llm")

    run_with_backends(check)


def test_agent_that_was_never_reached_counts_as_an_engine_of_its_service():
    """Guards against a role change while another engine of the service is unavailable.

    The controller would not know of an engine whose agent this entry has never reached.
    """

    def check(backends, fleet, link):
        backends.add_vm(attrs.evolve(VM, id="agent-2"))
        assert sorted(view.name for view in fleet.backends("llm")) == ["agent-2", "llm-1"]

    run_with_backends(check)


def test_entry_that_was_paused_routes_by_its_last_reports():
    """Guards against an entry that refuses all requests after a pause of its process.

    Its last load reports are then old, and the next ones have not been read yet.
    """

    def check(backends, fleet, link):
        backends.set_policy(LeastLoadPolicy(fleet.prefixes))
        route = RouteRequest("llm", "rajkot-a", "saurashtra")
        assert backends.choose(route, frozenset()).backend == "llm-1"
        assert backends.choose(route, frozenset({"llm-1"})) is None
        fleet.mark_leaving("llm-1")
        assert backends.choose(route, frozenset()) is None

    run_with_backends(check, pause_s=9)
