import json
from types import SimpleNamespace

import attrs
import pytest
import trio
import trio.testing

from figwalk.coordination.membership import Membership, Vm, VmKind, VmState
from figwalk.errors import HttpError
from figwalk.events import Event, EventLog
from figwalk.timer import Timer
from figwalk.transport import HttpClient, HttpServer
from tests.policy_fakes import ManualTimer

A = Vm("a", VmKind.BACKEND, VmState.LIVE, "127.0.0.1", 7001, "north-a", "north", "llm")
B = attrs.evolve(A, id="b", port=7002)


def render(*vms):
    return json.dumps({"vms": [attrs.asdict(vm) for vm in vms]}).encode()


class FakeClient:
    """Returns prepared bodies and statuses, or raises prepared errors, in order."""

    address = "127.0.0.1:9"

    def __init__(self, *responses):
        self._responses = list(responses)

    async def fetch(self, method, target):
        """Return the next response; wait forever if it is None."""
        assert (method, target) == ("GET", "/vms")
        response = self._responses.pop(0)
        if response is None:
            await trio.sleep_forever()
        if isinstance(response, Exception):
            raise response
        if isinstance(response, int):
            return SimpleNamespace(status=response), b"{}"
        return SimpleNamespace(status=200), response


def poll_all(*responses):
    """Return the changes after all responses, the membership and its events."""
    events = EventLog("entry-1", ManualTimer())
    membership = Membership(FakeClient(*responses), ManualTimer(), events)
    changes = []
    membership.subscribe(lambda change: changes.append(f"{change.kind} {change.vm.id}"))

    async def poll():
        for _ in responses:
            await membership.poll()

    trio.run(poll, clock=trio.testing.MockClock(autojump_threshold=0))
    return changes, membership, events


def test_subscribers_are_notified_once_of_each_change():
    """Guards against missed and repeated calls of subscribers."""
    leaving = attrs.evolve(A, state=VmState.LEAVING)
    responses = [render(A), render(A, B), render(leaving, B), render(leaving, B), *[render(B)] * 3]
    changes, membership, _ = poll_all(*responses)
    assert changes == ["joined a", "joined b", "leaving a", "gone a"]
    assert membership.vms == (B,)


@pytest.mark.parametrize(
    "fault",
    [503, HttpError("reset"), None, b"not json", b"[]", b'{"vms": [{"id": "a"}]}', b"\xff"],
    ids=repr,
)
def test_last_list_remains_while_polls_fail(fault):
    """Guards against removing the whole fleet when the platform's list is unavailable."""
    changes, membership, events = poll_all(render(A, B), fault, fault, fault)
    assert changes == ["joined a", "joined b"]
    assert membership.vms == (A, B)
    assert not membership.available
    numbers = [record.number for record in events.select()]
    assert numbers.count(Event.MEMBER_LIST_UNAVAILABLE.number) == 1


def test_one_incomplete_list_removes_no_vm():
    """Guards against failing the calls of live VMs that are absent from a single list."""
    changes, _, _ = poll_all(render(A, B), render(), render(A, B), render(B), render(A, B))
    assert changes == ["joined a", "joined b"]


def test_replaced_and_restarted_vms_join_again():
    """Guards against calls to an old address, and against avoiding a restarted VM."""
    moved = attrs.evolve(A, address="127.0.0.2")
    leaving = attrs.evolve(moved, state=VmState.LEAVING)
    changes, _, _ = poll_all(render(A), render(moved), render(leaving), render(moved))
    assert changes == ["joined a", "gone a", "joined a", "leaving a", "gone a", "joined a"]


def test_late_subscriber_is_notified_of_known_vms():
    """Guards against a component that subscribes after the first poll and gets no VMs."""
    _, membership, _ = poll_all(render(A, attrs.evolve(B, state=VmState.LEAVING)))
    changes = []
    membership.subscribe(lambda change: changes.append(f"{change.kind} {change.vm.id}"))
    assert changes == ["joined a", "joined b", "leaving b"]


def test_timer_polls_over_http():
    """Guards against a poll that is never scheduled or a request that the server refuses."""

    async def main():
        timer = Timer()
        events = EventLog("entry-1", timer)
        joined = trio.Event()

        async def respond(request, responder):
            assert (request.method, request.target) == ("GET", "/vms")
            await responder.send(200, [], render(A))

        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                port = await nursery.start(HttpServer(respond, events).serve, "127.0.0.1", 0)
                client = HttpClient("127.0.0.1", port)
                membership = Membership(client, timer, events, poll_s=0.01)
                membership.subscribe(lambda _: joined.set())
                membership.start()
                nursery.start_soon(timer.run)
                await joined.wait()
                nursery.cancel_scope.cancel()
        assert membership.vms == (A,)

    trio.run(main)
