"""Tests which ends of backend servers, and which of the calls there, count as crash evidence."""

import itertools
import socket
from pathlib import Path

import attrs
import pytest
import trio
from support.fake_timer import FakeTimer
from support.platform_fakes import HOST, answering, any_stage, run_test, running_fleet

from figwalk.coordination.backend_tracker import AttemptOutcome
from figwalk.coordination.call_identity import CallIdentity
from figwalk.coordination.call_quarantine import CallQuarantine
from figwalk.events import EventLog
from figwalk.gateway import crash_watcher
from figwalk.gateway.crash_watcher import CrashWatcher
from figwalk.gateway.gateway_metrics import GatewayMetrics
from figwalk.gateway.process import UPKEEP_PERIOD_S
from figwalk.gateway.stream_timing import StreamTiming
from figwalk.platform import BACKENDS_TOPIC
from figwalk.state.backend_directory import BackendDirectory, BackendEntry
from figwalk.state.settings import Address
from figwalk.transport.listening import PortState, probe_port
from standins.platform_config import make_config

ENTRY = BackendEntry("e1", "lm", Address(HOST, 1), "a", 8, False, 1, 1)
HELD = {AttemptOutcome.BROKEN, AttemptOutcome.SILENT, AttemptOutcome.CANCELLED}
AWAY = (PortState.SILENT, PortState.REFUSES)


class Gateway:
    """The watcher of one gateway, whose checks of a port find what the test has set."""

    def __init__(self, monkeypatch):
        self.timer = FakeTimer()
        events = EventLog("g1", self.timer)
        self.directory = BackendDirectory(events, self.timer)
        self.quarantine = CallQuarantine("g1", events, self.timer)
        self.watcher = CrashWatcher(
            self.directory, self.quarantine, GatewayMetrics(), events, self.timer
        )
        self.port = PortState.SILENT
        self.directory.apply(ENTRY)

        async def probe(_host, _port, *, timeout_s):
            return self.port

        monkeypatch.setattr(crash_watcher, "probe_port", probe)

    def send(self, name="bad"):
        """Send a call with a prompt part."""
        identity = CallIdentity(("head", name, "own"), name)
        return self.watcher.start(ENTRY, identity, StreamTiming())

    def wait(self, seconds):
        """Let time pass while the watcher compares registrations."""
        for _ in range(round(seconds / UPKEEP_PERIOD_S)):
            self.timer.advance(UPKEEP_PERIOD_S)
            self.watcher.update()

    def look(self):
        """Let some time pass, and have the watcher compare registrations and check ports."""
        self.timer.advance(0.5)

        async def check():
            self.watcher.update()
            with trio.move_on_after(1.0):
                await self.watcher.run()

        trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))

    @property
    def suspects(self):
        """Requests that are suspects, by the reports of the gateway."""
        reports = self.quarantine.unpublished
        found = {request for report in reports for request in report.requests - report.sound}
        return {request.removeprefix("request:") for request in found}


@pytest.fixture
def gateway(monkeypatch):
    return Gateway(monkeypatch)


@pytest.mark.parametrize("port", AWAY)
@pytest.mark.parametrize("outcome", [None, *AttemptOutcome])
def test_end_of_a_registration_makes_suspects_of_the_calls_without_an_answer(
    gateway, outcome, port
):
    """Guards against calls at a dark server that are no suspects because of how they ended."""
    held = gateway.send()
    gateway.wait(1.0)
    if outcome is not None:
        gateway.watcher.finish(held, outcome)
    gateway.port = port
    gateway.directory.remove("e1")
    gateway.look()
    assert gateway.suspects == ({"bad"} if outcome is None or outcome in HELD else set())


def test_instance_replaced_at_its_address_has_ended(gateway):
    """Guards against a crash that does not show since the restarted server accepts connections."""
    gateway.send()
    gateway.port = PortState.ACCEPTS
    gateway.look()
    assert not gateway.suspects
    gateway.directory.apply(attrs.evolve(ENTRY, backend="e2", born_ms=2))
    gateway.look()
    assert gateway.suspects == {"bad"}


def test_registration_at_a_foreign_address_makes_no_suspects(gateway):
    """Guards against calls at a sound server that become suspects by a false registration."""
    gateway.directory.apply(attrs.evolve(ENTRY, backend="e2", born_ms=2))
    for _ in range(20):
        held = gateway.send()
        gateway.look()
        gateway.watcher.finish(held, AttemptOutcome.ANSWERED)
    assert not gateway.suspects


@pytest.mark.parametrize("port", PortState)
def test_server_that_is_silent_but_registered_has_not_ended(gateway, port):
    """Guards against sound calls that become suspects when a link is cut."""
    gateway.watcher.finish(gateway.send(), AttemptOutcome.SILENT)
    gateway.port = port
    for _ in range(30):
        gateway.look()
    assert not gateway.suspects


@pytest.mark.parametrize("port", [PortState.ACCEPTS, PortState.UNKNOWN])
def test_server_without_a_registration_that_can_be_reached_has_not_ended(gateway, port):
    """Guards against a server whose link to the store is cut, which counts as a crash."""
    gateway.send()
    gateway.directory.remove("e1")
    gateway.port = port
    gateway.look()
    assert not gateway.suspects


@pytest.mark.parametrize("outcome", [None, *HELD])
def test_server_that_left_as_announced_has_not_ended(gateway, outcome):
    """Guards against planned stops that count as crashes, also when both are read at once."""
    held = gateway.send()
    if outcome is not None:
        gateway.watcher.finish(held, outcome)
    gateway.directory.apply(attrs.evolve(ENTRY, leaving=True, sequence=2))
    gateway.watcher.update()
    gateway.directory.remove("e1")
    gateway.look()
    assert not gateway.suspects


@pytest.mark.parametrize("outcome", [None, *HELD])
def test_frozen_server_that_is_back_has_not_crashed(gateway, outcome):
    """Guards against calls at a frozen server that stay suspects."""
    held = gateway.send()
    gateway.wait(1.0)
    if outcome is not None:
        gateway.watcher.finish(held, outcome)
    gateway.directory.remove("e1")
    gateway.look()
    assert gateway.suspects == {"bad"}
    gateway.directory.apply(attrs.evolve(ENTRY, sequence=2))
    gateway.look()
    assert not gateway.suspects


def test_link_that_refuses_connections_is_told_from_a_crash_by_heartbeats(gateway):
    """Guards against sound calls that stay suspects after a link was cut with refusals."""
    gateway.port = PortState.REFUSES
    gateway.watcher.finish(gateway.send(), AttemptOutcome.BROKEN)
    gateway.look()
    assert gateway.suspects == {"bad"}
    gateway.directory.apply(attrs.evolve(ENTRY, sequence=2))
    gateway.look()
    assert gateway.suspects == {"bad"}
    gateway.directory.apply(attrs.evolve(ENTRY, sequence=3))
    gateway.look()
    assert not gateway.suspects


def test_sound_calls_beside_the_crash_are_no_suspects(gateway):
    """Guards against sound calls that are refused since they were sent to a dark server."""
    answered, begun, left = (gateway.send(name) for name in ("answered", "begun", "left"))
    gateway.watcher.finish(left, AttemptOutcome.CANCELLED)
    gateway.timer.advance(0.1)
    gateway.watcher.record_answer(answered)
    gateway.watcher.finish(answered, AttemptOutcome.ANSWERED)
    begun.timing.events = 1
    gateway.send("bad")
    gateway.wait(2.0)
    gateway.send("late")
    gateway.directory.remove("e1")
    gateway.look()
    assert gateway.suspects == {"bad"}


def test_part_answered_just_before_the_silence_is_no_suspect(gateway):
    """Guards against parts in demand that are suspects since the crash is noticed late."""
    gateway.quarantine.record_answered(CallIdentity(("head", "x"), "r"), gateway.timer.now())
    gateway.wait(1.0)
    gateway.send()
    gateway.wait(4.0)
    gateway.directory.remove("e1")
    gateway.look()
    (report,) = gateway.quarantine.unpublished
    assert report.prompts == {("bad",)}


@pytest.mark.parametrize("outcome", [None, *HELD])
def test_calls_from_before_a_pause_of_the_gateway_are_no_suspects(gateway, outcome):
    """Guards against sound calls whose answers a paused gateway has not read."""
    gateway.watcher.update()
    held = gateway.send()
    gateway.timer.advance(5.0)
    if outcome is not None:
        gateway.watcher.finish(held, outcome)
    gateway.directory.apply(attrs.evolve(ENTRY, backend="e2", born_ms=2))
    gateway.look()
    gateway.directory.remove("e1")
    gateway.look()
    assert not gateway.suspects


def test_state_of_a_port():
    """Guards against a dark VM that counts as reachable, and a lack of descriptors as dark."""

    async def main():
        listener = socket.socket()
        listener.bind((HOST, 0))
        listener.listen(8)
        port = listener.getsockname()[1]
        assert await probe_port(HOST, port, timeout_s=5.0) is PortState.ACCEPTS
        listener.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex((HOST, port))
        assert await probe_port(HOST, port, timeout_s=0.05) is PortState.SILENT
        for each in (listener, *fillers):
            each.close()
        assert await probe_port(HOST, port, timeout_s=5.0) is PortState.REFUSES

    run_test(main)


@pytest.mark.parametrize("path", ["/check/x", "/order/x", "/chat/x", "/long/x"])
def test_request_that_turns_servers_dark_stops_reaching_them_from_any_gateway(path):
    """Guards against a request that crashes server after server while connections stay open."""
    prompt = ["Prefix-Hash: head:50,subject:50,own:50", "Token-Counts: 150,20", "Model: m"]
    bodies = (b"sound%d" % number for number in itertools.count())

    async def main():
        async with running_fleet() as fleet:
            service, sound = (
                ("lm", any_stage)
                if path in ("/chat/x", "/long/x")
                else (
                    "orders",
                    answering(),
                )
            )
            crashes = []

            async def script(backend, stream, request):
                if request.body != b"deadly":
                    return await sound(backend, stream, request)
                crashes.append(backend.name)
                fleet.store.remove(BACKENDS_TOPIC, backend.name)
                backend.name = f"{service}-again-{len(crashes)}"
                backend.register(fleet.store, service, born=1000 + len(crashes))
                await trio.sleep_forever()
                return False

            fleet.publish(make_config())
            for number in range(2):
                await fleet.add_backend(f"{service}-{number}", script, service)
            await fleet.start_gateway()
            gateways = [fleet, await fleet.add_gateway("gateway-2")]

            async def ask(gateway, body):
                options = {"method": "POST", "body": body, "headers": prompt, "deadline_ms": 400}
                status, _, answer = await gateway.call(path, **options)
                return status, answer

            for gateway in itertools.cycle(gateways):
                if b"deadly_request" in (await ask(gateway, b"deadly"))[1]:
                    break
            before = len(crashes)
            for gateway in gateways:
                while b"deadly_request" not in (await ask(gateway, b"deadly"))[1]:
                    pass
                while (await ask(gateway, next(bodies)))[0] != 200:
                    pass
            assert len(crashes) - before <= 3

    run_test(main)


def test_page_states_which_outcomes_are_evidence():
    """Guards against an outcome of attempts that the page on the design leaves out."""
    page = (Path(__file__).parent.parent / "docs" / "design.md").read_text()
    rows = [line.split("|")[1:3] for line in page.splitlines() if line.startswith("| `")]
    stated = {name.strip(): text.strip().startswith("yes") for name, text in rows}
    for outcome in AttemptOutcome:
        assert stated[f"`{outcome.name}`"] == (outcome in HELD)
