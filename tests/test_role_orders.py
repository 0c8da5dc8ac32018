"""Tests of the orders by which engines change their role."""

import json

import pytest
import trio
from support.platform_fakes import any_stage, render, run_test, running_fleet

from figwalk.duties import role_need
from figwalk.duties.duty import Authority, CallResult
from figwalk.duties.role_need import ABSENCE_S, FIRST_ABSENCE_S, KnownEngine, RoleNeed
from figwalk.platform import DUTIES_TOPIC, PlatformDutyClient
from figwalk.protocol.messages import Role
from figwalk.state.gateway_settings import LeaseSettings
from figwalk.state.settings import Address
from standins.platform_config import make_config

PREFILL = KnownEngine("p1", Role.PREFILL, False, 3)
AVOIDED = KnownEngine("p0", Role.PREFILL, True, 0)
DECODE = KnownEngine("d1", Role.DECODE, False, 0)


def test_a_role_is_ordered_only_where_no_prompt_can_run():
    """Guards against orders while decode engines restart, and while a deployment starts."""
    need = RoleNeed()
    assert need.update("lm", [PREFILL, AVOIDED], 0.0) is None
    assert need.update("lm", [PREFILL, AVOIDED], FIRST_ABSENCE_S - 0.1) is None
    assert need.update("lm", [PREFILL, AVOIDED, DECODE], 20.0) is None
    assert need.update("lm", [PREFILL, AVOIDED], 21.0) is None
    assert need.update("lm", [PREFILL, AVOIDED], 21.0 + ABSENCE_S).backend == "p1"
    assert need.update("lm", [DECODE], 30.0) is None


class Engine:
    """Script of an engine that carries out orders, with faults that a test sets."""

    def __init__(self, *, role="prefill", busy=False):
        self.role = role
        self.busy = busy
        self.sequence = 4
        self.orders = []
        self.lost_answers = 0
        self.statuses = []

    async def __call__(self, backend, stream, request):
        """Answer one request."""
        if request.target == "/report":
            report = {"stage": self.role, "busy": self.busy, "sequence": self.sequence}
            await stream.send_all(render(request, json.dumps(report).encode()))
            return True
        if request.target != "/order":
            return await any_stage(backend, stream, request)
        order = json.loads(request.body)
        self.orders.append(order)
        status = self.statuses.pop(0) if self.statuses else 202
        if status == 202 and order["precondition"] == self.sequence:
            self.sequence += 1
            self.role = order["stage"]
            backend.register(self.store, "lm", stage=self.role, sequence=self.sequence)
        if self.lost_answers:
            self.lost_answers -= 1
            await stream.aclose()
            return False
        await stream.send_all(render(request, b"", status=status))
        return True


async def start_with_lost_decoder(fleet, engines, gateways=1):
    """Start gateways and prefill engines, whose only decode engine then leaves for good."""
    fleet.publish(make_config())
    fleet.settings["lease"] = LeaseSettings(duration_ms=300)
    for number, engine in enumerate(engines):
        engine.store = fleet.store
        await fleet.add_backend(f"p{number}", engine, service="lm", stage="prefill")
    await fleet.add_backend("d", any_stage, service="lm", stage="decode")
    await fleet.start_gateway()
    for number in range(1, gateways):
        await fleet.add_gateway(f"gateway-{number + 1}")
    fleet.store.remove("keyed.servers", "d")


async def wait_decode(engines):
    """Wait until an engine has the role decode."""
    while not any(engine.role == "decode" for engine in engines):
        await trio.sleep(0.05)
    await trio.sleep(1.5)


@pytest.mark.parametrize("fault", ["none", "lost_answer", "fenced", "busy_elsewhere"])
def test_prompts_run_again_after_all_decode_engines_are_gone(monkeypatch, fault):
    """Guards against services that refuse all prompts, and against orders that are repeated."""
    monkeypatch.setattr(role_need, "ABSENCE_S", 0.3)

    async def test():
        engines = [Engine(), Engine(), Engine()]
        async with running_fleet() as fleet:
            if fault == "lost_answer":
                engines[0].lost_answers = 1
            elif fault == "fenced":
                engines[0].statuses = [412]
            elif fault == "busy_elsewhere":
                engines[2].busy = True
            await start_with_lost_decoder(fleet, engines, gateways=2)
            if fault == "busy_elsewhere":
                await trio.sleep(5)
                assert not any(engine.orders for engine in engines)
                engines[2].busy = False
            await wait_decode(engines)
            orders = [order for engine in engines for order in engine.orders]
            fences = [order["fencing-token"] for order in orders]
            assert [engine.role for engine in engines].count("decode") == 1
            assert len(orders) == (2 if fault == "fenced" else 1)
            assert fences == sorted(set(fences))
            status, _, _ = await fleet.call(
                "/chat/1", method="POST", headers=("Prefix-Hash: aa:60", "Token-Counts: 60,2")
            )
            assert status == 200

    run_test(test)


def test_gateways_without_duties_never_touch_the_lease():
    """Guards against priced calls to the store in deployments that ask for no duty."""

    async def test():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            await fleet.add_backend("p", any_stage, service="lm", stage="prefill")
            await fleet.add_backend("d", any_stage, service="lm", stage="decode")
            await fleet.start_gateway()
            await trio.sleep(1.5)
            assert not fleet.store._topic(DUTIES_TOPIC).records

    run_test(test)


class EndingAuthority(Authority):
    """A lease that ends while the process connects, as it does for a frozen process."""

    def __init__(self):
        self.fences = [7, None]

    def fence(self):
        """Return the next answer."""
        return self.fences.pop(0)

    def left_s(self):
        """Return a second."""
        return 1.0

    def record_refused(self, fence):
        """Not used."""

    def step_aside(self):
        """Not used."""

    def notify(self):
        """Not used."""


def test_nothing_is_sent_after_the_lease_has_ended():
    """Guards against a call of a process that was frozen between its decision and its sending."""

    async def test():
        received = []

        async def serve(stream):
            received.append(await stream.receive_some())

        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            address = Address(*listener.socket.getsockname()[:2])
            client = PlatformDutyClient(address, holder="g1")
            outcome = await client.report_usage(1, {"a": 1}, EndingAuthority())
            assert outcome.result is CallResult.REFUSED
            assert not any(received)
            nursery.cancel_scope.cancel()

    run_test(test)
