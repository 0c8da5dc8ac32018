from inspect import signature
from itertools import product
from types import SimpleNamespace

import attrs
import pytest
import trio

from figwalk.coordination import _role_model as model
from figwalk.coordination import role_controller
from figwalk.coordination._role_rules import can_decode, can_prefill, find_violation
from figwalk.coordination.lease import Lease
from figwalk.coordination.role_controller import (
    AdaptivePolicy,
    EngineView,
    RoleController,
    RoleDecision,
    ServiceView,
    ThresholdPolicy,
    build_service_view,
    make_role_policy,
)
from figwalk.errors import LogAnswerLostError, LogUnavailableError, SettingsError
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import BackendState, Role
from figwalk.state.demand import CallClass
from figwalk.state.fleet import PredictedLoad, RoleChange
from figwalk.state.mix import MixEstimate, TokenRates
from figwalk.state.published import Preset
from tests.policy_fakes import ManualTimer, make_fleet, make_report

# Prefill and decode speeds of the engine stand-in, in tokens per second.
PREFILL = {"prefill_tokens_per_s": 23_800, "decode_tokens_per_s": 235}
MIXED = {"prefill_tokens_per_s": 10_000, "decode_tokens_per_s": 900}
DECODE = {"prefill_tokens_per_s": 3_500, "decode_tokens_per_s": 1_780}
SPEEDS = {Role.PREFILL: PREFILL, Role.MIXED: MIXED, Role.DECODE: DECODE}
LOGS = CallClass(40_000, 400)
LOGS_ONLY = (CallClass(60_000, 100),)
CHAT = CallClass(500, 4_000)
AWAY_S = 5.0


def make_view(roles, classes=(LOGS, CHAT), changes=(), **engine_fields):
    engines = []
    for index, role in enumerate(roles):
        engines.append(EngineView(f"e{index}", role, **SPEEDS[role], **engine_fields))
    prompt = sum(item.prompt_per_s for item in classes)
    output = sum(item.output_per_s for item in classes)
    rates = TokenRates(prompt, output)
    return ServiceView(
        "llm", tuple(engines), MixEstimate(rates, rates, 600.0), tuple(classes), changes
    )


class SimulatedService:
    """Simulation of four engines under a time-dependent demand; a role change takes `AWAY_S`."""

    def __init__(self, demand):
        self.demand = demand
        self.roles = [Role.MIXED] * 4
        self.changed_at = [-1000.0] * 4
        self.changes = []

    def view(self, now):
        """Return the state of the service at a time."""
        view = make_view(self.roles, self.demand(now), tuple(self.changes))
        engines = [
            attrs.evolve(engine, since_change_s=now - at, fresh=now >= at)
            for engine, at in zip(view.engines, self.changed_at, strict=True)
        ]
        return attrs.evolve(view, engines=tuple(engines))

    def run(self, policy, until_s):
        """Run a policy every 5 s, apply its decisions, and return the number of role changes."""
        for now in range(0, until_s, 5):
            decision = policy.decide(self.view(now), now)
            if decision is not None:
                self.change(int(decision.backend[1:]), decision.role, now)
        return len(self.changes)

    def change(self, index, role, now):
        """Change the role of an engine, which is unavailable until the change is complete."""
        at = now + AWAY_S
        self.changes.append(RoleChange(f"e{index}", self.roles[index], role, at, AWAY_S))
        self.roles[index] = role
        self.changed_at[index] = at


def alternate(period_s):
    """Return a demand that alternates between prompt-heavy and output-heavy calls."""
    return lambda now: (
        (LOGS, CallClass(200, 300)) if now // period_s % 2 == 0 else (CallClass(3_000, 50), CHAT)
    )


def test_last_engine_that_can_prefill_or_decode_keeps_its_role():
    """Guards against a service that can't serve long prompts or long answers during a change."""
    for roles in product(Role, repeat=3):
        view = make_view(roles)
        for index, target in product(range(3), Role):
            others = [role for n, role in enumerate(roles) if n != index]
            suffices = any(map(can_prefill, others)) and any(map(can_decode, others))
            allowed = not find_violation(view, f"e{index}", target)
            assert allowed == (suffices and roles[index] is not target)
    assert find_violation(make_view([Role.MIXED]), "e0", Role.PREFILL)


@pytest.mark.parametrize(
    "fields",
    [{"state": state} for state in (BackendState.CHANGING, BackendState.DOWN, BackendState.LEAVING)]
    + [{"fresh": False}, {"newest_order": 7, "applied_order": 3}],
    ids=str,
)
def test_no_engine_changes_while_another_is_unavailable_or_has_an_open_order(fields):
    """Guards against two engines of a service that are unavailable at the same time."""
    view = make_view([Role.MIXED] * 4)
    engines = (*view.engines[:3], attrs.evolve(view.engines[3], **fields))
    view = attrs.evolve(view, engines=engines)
    for index in range(4):
        assert find_violation(view, f"e{index}", Role.PREFILL)


def test_withdrawn_engine_is_not_changed_and_does_not_block_or_count():
    """Guards against a withdrawn engine that is changed, relied upon, or blocks the others."""
    view = make_view([Role.MIXED, Role.PREFILL, Role.MIXED])
    withdrawn = attrs.evolve(view.engines[0], withdrawn=True)
    view = attrs.evolve(view, engines=(withdrawn, *view.engines[1:]))
    assert "withdrawn" in find_violation(view, "e0", Role.PREFILL)
    assert "decode" in find_violation(view, "e2", Role.PREFILL)
    assert not find_violation(view, "e1", Role.MIXED)


def test_specialised_roles_are_better_for_different_calls_but_not_for_uniform_ones():
    """Guards against specialised roles when each call has a long prompt and a long answer."""
    groups = {
        role: model.EngineGroup(model.EngineSpeed(*speed.values()), 2)
        for role, speed in SPEEDS.items()
    }
    split = [groups[Role.PREFILL], groups[Role.DECODE]]
    mixed = [attrs.evolve(groups[Role.MIXED], count=4)]
    apart, uniform = (LOGS, CHAT), (CallClass(30_400, 3_300),)
    assert model.estimate_utilisation(split, apart) < model.estimate_utilisation(mixed, apart)
    assert model.estimate_utilisation(split, uniform) > model.estimate_utilisation(mixed, uniform)


def test_utilisation_is_ratio_of_work_to_capacity():
    """Guards against a search that does not converge to the analytically known value."""
    mixed = [model.EngineGroup(model.EngineSpeed(10_000, 900), 4)]
    assert model.estimate_utilisation(mixed, (CallClass(10_000, 900),)) == pytest.approx(
        0.5, abs=1e-4
    )
    assert model.estimate_goodput(0.0, 4) == 1.0
    assert model.estimate_goodput(1.0, 4) == pytest.approx(8 / 9)
    assert model.estimate_goodput(4.0, 4) == pytest.approx(0.25, abs=0.01)


def test_adaptive_policy_follows_a_lasting_change_of_the_demand():
    """Guards against unsuitable roles that persist while the service can't meet the demand."""
    service = SimulatedService(lambda _: LOGS_ONLY)
    assert service.run(AdaptivePolicy(), 300) == service.roles.count(Role.PREFILL) == 3


def test_adaptive_policy_changes_no_role_at_low_load():
    """Guards against role changes that make an engine unavailable without any gain."""
    service = SimulatedService(lambda _: (CallClass(5_000, 50), CallClass(50, 300)))
    assert service.run(AdaptivePolicy(), 600) == 0


@pytest.mark.parametrize(("period_s", "limit"), [(20, 10), (45, 10), (90, 15)])
def test_no_flapping_under_an_oscillating_demand(period_s, limit):
    """Guards against a role change in each phase of an oscillating demand.

    There are 90, 40 and 20 phases. Those of 90 s are longer than the horizon, so that it is
    worthwhile to follow some of them.
    """
    changes = SimulatedService(alternate(period_s)).run(AdaptivePolicy(), 1800)
    baseline = SimulatedService(alternate(period_s)).run(ThresholdPolicy(), 1800)
    assert 0 < changes <= limit
    assert changes < baseline / 2


def test_higher_weight_gives_fewer_changes():
    """Guards against a weight without effect; users differ in what a role change costs them."""
    counts = [
        SimulatedService(alternate(120)).run(AdaptivePolicy(role_change_weight=weight), 3600)
        for weight in (0.5, 2.0, 50.0)
    ]
    assert counts[0] > counts[1] > counts[2] == 0


def test_engine_keeps_its_role_for_the_dwell_time():
    """Guards against a second role change of an engine right after its first."""
    view = make_view([Role.MIXED] * 4, LOGS_ONLY, since_change_s=29.0)
    assert AdaptivePolicy(min_dwell_s=30.0).decide(view, 0.0) is None
    assert AdaptivePolicy(min_dwell_s=20.0).decide(view, 0.0) is not None


def test_busy_engine_is_not_chosen_while_an_idle_one_has_the_same_role():
    """Guards against a role change of the engine that takes the longest to drain."""
    view = make_view([Role.MIXED] * 4, LOGS_ONLY)
    busy = [
        attrs.evolve(engine, load=PredictedLoad(9, 10_000, 9_000)) for engine in view.engines[:3]
    ]
    view = attrs.evolve(view, engines=(*busy, view.engines[3]))
    assert AdaptivePolicy().decide(view, 0.0).backend == "e3"


def test_preset_selects_policy_by_name():
    """Guards against a preset that selects another policy than the one that it names."""
    assert isinstance(make_role_policy(Preset()), AdaptivePolicy)
    assert isinstance(make_role_policy(Preset(role_policy="threshold")), ThresholdPolicy)
    fixed = make_role_policy(Preset(role_policy="fixed"))
    assert fixed.decide(make_view([Role.MIXED] * 4, LOGS_ONLY), 0.0) is None
    with pytest.raises(SettingsError, match="role_policy"):
        make_role_policy(Preset(role_policy="static"))


def test_service_view_shows_orders_changes_and_leaving_engines():
    """Guards against a service view that lacks data which the invariants need."""
    timer = ManualTimer()
    fleet = make_fleet(timer, ["a", "b", "c"])
    fleet.register("d", "llm")
    fleet.update_report(make_report("a", 2, state=BackendState.CHANGING))
    timer.time += 0.4
    fleet.update_report(make_report("a", 3, role=Role.PREFILL, order_offset=5))
    fleet.update_report(make_report("a", 4, state=BackendState.DOWN, role=Role.MIXED))
    fleet.update_report(make_report("a", 5, role=Role.PREFILL, order_offset=5))
    fleet.mark_leaving("b")
    timer.time += 0.5
    view = build_service_view(fleet, "llm", lambda name: 9 if name == "a" else -1, timer.now())
    a, b, c, d = view.engines
    assert (a.role, a.has_open_order, a.since_change_s) == (Role.PREFILL, True, pytest.approx(0.5))
    assert [change.unavailable_s for change in view.changes] == [pytest.approx(0.4)]
    assert b.state is BackendState.LEAVING
    assert (c.fresh, d.fresh) == (True, False)


class FakeAppender:
    """Records appended orders, and raises `error` if it is set.

    It accepts only the arguments of `Lease.append_order`. A controller that passed the reason by
    position ended the entry process at the first role change.
    """

    def __init__(self):
        self.orders = []
        self.error = None

    async def append_order(self, *arguments, **options):
        """Record an order."""
        given = signature(Lease.append_order).bind(self, *arguments, **options).arguments
        assert given["reason"]
        self.orders.append((given["backend"], given["role"]))
        if self.error is not None:
            raise self.error


class ControllerHarness:
    """A controller with fakes, and with a policy that always decides on the same change."""

    def __init__(self, monkeypatch, roles):
        self.timer = ManualTimer()
        self.events = EventLog("entry-1", self.timer)
        self.lease = SimpleNamespace(term=3)
        self.appender = FakeAppender()
        self.view = make_view(roles, LOGS_ONLY)
        fake_policy = SimpleNamespace(decide=lambda *_: RoleDecision("e0", Role.DECODE, "test"))
        monkeypatch.setattr(role_controller, "make_role_policy", lambda _: fake_policy)
        given = {"services": lambda: ["llm"], "view": lambda _: self.view, "preset": Preset}
        fakes = (self.timer, self.events, self.lease, self.appender)
        self.controller = RoleController(*fakes, **given)
        self.pass_new_term_wait()

    def control(self, rounds=1):
        """Run control rounds, and return the total number of appended orders."""
        for _ in range(rounds):
            trio.run(self.controller.control)
        return len(self.appender.orders)

    def pass_new_term_wait(self):
        """Advance the time by the delay before the first decision of a new lease holder."""
        assert self.control() == len(self.appender.orders)
        self.timer.time += 5

    def decisions(self):
        """Return the fields of the recorded decision events."""
        return [e.fields for e in self.events.select() if e.number == Event.ROLE_DECIDED.number]


def test_controller_appends_nothing_without_the_lease(monkeypatch):
    """Guards against orders from a process that does not hold the lease."""
    harness = ControllerHarness(monkeypatch, [Role.MIXED] * 4)
    harness.lease.term = None
    assert harness.control() == 0


def test_controller_rejects_decisions_that_violate_the_invariants(monkeypatch):
    """Guards against a faulty policy that changes the role of the last prefill engine."""
    harness = ControllerHarness(monkeypatch, [Role.PREFILL, Role.DECODE, Role.DECODE])
    assert harness.control() == 0
    assert "last engine" in harness.decisions()[0]["detail"]


def test_controller_waits_until_its_order_is_read_back(monkeypatch):
    """Guards against a second order while the log follower has not yet read the first."""
    harness = ControllerHarness(monkeypatch, [Role.MIXED] * 4)
    assert harness.control(rounds=5) == 1
    assert harness.decisions()[0]["gain_s"] == "0.000"
    engine = attrs.evolve(harness.view.engines[0], newest_order=8, applied_order=8)
    harness.view = attrs.evolve(harness.view, engines=(engine, *harness.view.engines[1:]))
    assert harness.control() == 2


LOST_ORDERS = [(LogUnavailableError("not written"), 5), (LogAnswerLostError("perhaps"), 60)]


@pytest.mark.parametrize(("error", "rounds_until_retry"), LOST_ORDERS, ids=str)
def test_order_without_answer_blocks_the_next_one(monkeypatch, error, rounds_until_retry):
    """Guards against a second order while an unanswered first one may still reach the log."""
    harness = ControllerHarness(monkeypatch, [Role.MIXED] * 4)
    harness.appender.error = error
    harness.control()
    for _ in range(rounds_until_retry - 1):
        harness.timer.time += 1
        assert harness.control() == 1
    harness.timer.time += 1
    assert harness.control() == 2


def test_new_term_discards_pending_orders_of_the_old_one(monkeypatch):
    """Guards against an endless wait for an order that is ignored because its term is stale."""
    harness = ControllerHarness(monkeypatch, [Role.MIXED] * 4)
    harness.control()
    harness.lease.term = 12
    harness.pass_new_term_wait()
    assert harness.control() == 2


def test_refused_calls_count_as_demand():
    """Guards against keeping unsuitable roles because the calls that need others are refused."""
    view = make_view([Role.MIXED, Role.DECODE, Role.DECODE, Role.DECODE], [CHAT])
    before = AdaptivePolicy(role_change_weight=0.01).decide(view, 0.0)
    refused = attrs.evolve(view, refused=TokenRates(60_000.0, 100.0))
    after = AdaptivePolicy(role_change_weight=0.01).decide(refused, 0.0)
    assert before is None
    assert after.role in (Role.MIXED, Role.PREFILL)
    assert after.figures.prompt_per_s == pytest.approx(60_500)


def test_change_must_remain_worthwhile_until_it_is_confirmed():
    """Guards against a role change because of a peak of a few seconds."""
    preset = Preset(role_change_weight=0.01, min_dwell_s=0.0)
    policy = make_role_policy(preset)
    peak = make_view([Role.MIXED, Role.DECODE, Role.DECODE, Role.DECODE], LOGS_ONLY)
    calm = make_view([Role.MIXED, Role.DECODE, Role.DECODE, Role.DECODE], [CallClass(50, 400)])
    assert policy.decide(peak, 0.0) is None
    assert policy.decide(peak, 10.0) is None
    assert policy.decide(calm, 11.0) is None
    assert policy.decide(peak, 16.0) is None
    assert policy.decide(peak, 30.0) is None
    assert policy.decide(peak, 31.0) is not None
