from collections import Counter

import attrs
import pytest

from figwalk.coordination.router import ROUTING_POLICIES, PredictedPolicy, RouteRequest, make_policy
from figwalk.errors import SettingsError
from figwalk.protocol.messages import Priority, Role
from figwalk.state.prefixes import PrefixIndex
from figwalk.state.published import Preset
from tests.policy_fakes import ManualTimer, make_fleet, make_report

NAMES = ["a", "b", "c", "d"]
CHAT = RouteRequest("llm", "north-a", "north", prompt_tokens=4000, max_tokens=100)


@pytest.fixture
def timer():
    return ManualTimer()


def route(policy, fleet, timer, call_id, request=CHAT):
    choice = policy.choose(request, fleet.candidates(request.service), timer.now())
    new_tokens = request.prompt_tokens - choice.matched_tokens
    fleet.add_sent_call(
        choice.backend, call_id, new_tokens, request.max_tokens, pieces=request.pieces
    )
    return choice


def test_busy_engine_that_reports_idle_is_not_chosen_by_all_entries(timer):
    """Guards against a rush of all entries to one engine whose outdated report shows it idle."""
    picked = Counter()
    for entry in range(6):
        fleet = make_fleet(timer, NAMES)
        fleet.set_entry_count(6)
        for name in NAMES[1:]:
            busy = make_report(name, 2, running=2, queued_prompt_tokens=8000)
            fleet.update_report(busy)
        policy = PredictedPolicy(fleet.prefixes, seed=entry)
        for call_id in range(12):
            if call_id % 3 == 0:  # Further reports also show no load.
                timer.time += 0.25
                fleet.update_report(make_report("a", 2 + call_id))
            picked[route(policy, fleet, timer, call_id).backend] += 1
    assert picked["a"] <= 30
    assert min(picked.values()) >= 6


def test_entries_with_the_same_view_spread_their_first_call(timer):
    """Guards against a thundering herd of entries that all choose the same of several equals."""
    picked = Counter()
    for entry in range(40):
        fleet = make_fleet(timer, NAMES)
        picked[route(PredictedPolicy(fleet.prefixes, seed=entry), fleet, timer, 1).backend] += 1
    assert max(picked.values()) <= 20
    assert set(picked) == set(NAMES)


@pytest.mark.parametrize(("wait_ms", "first_token_s", "held"), [(0, 0.1, True), (3000, 1.1, False)])
def test_long_prompt_is_sent_to_engine_with_cached_prefix(timer, wait_ms, first_token_s, held):
    """Guards against prefill of a cached prompt, and against a long queue at the caching engine."""
    fleet = make_fleet(timer, NAMES)
    pieces = list(range(10))
    fleet.update_report(make_report("c", 2, cache_stored=pieces, queue_wait_ms=wait_ms))
    request = RouteRequest("llm", "north-a", "north", prompt_tokens=20_500, pieces=pieces)
    policy = PredictedPolicy(fleet.prefixes, seed=1)
    choice = policy.choose(request, fleet.candidates("llm"), timer.now())
    assert (choice.backend == "c", choice.matched_tokens) == (held, 20_000 if held else 0)
    assert choice.first_token_s < first_token_s


def test_unmeasured_engines_are_chosen_by_role(timer):
    """Guards against long prompts on a decode engine, and long answers on a prefill engine."""
    fleet = make_fleet(timer, ["p", "d"])
    unmeasured = {"prefill_tokens_per_s": 0, "decode_tokens_per_s": 0}
    fleet.update_report(make_report("p", 2, role=Role.PREFILL, **unmeasured))
    fleet.update_report(make_report("d", 2, role=Role.DECODE, **unmeasured))
    policy = PredictedPolicy(fleet.prefixes, seed=1)
    log = RouteRequest("llm", "north-a", "north", prompt_tokens=30_000, max_tokens=50)
    chat = RouteRequest("llm", "north-a", "north", prompt_tokens=100, max_tokens=1000)
    assert policy.choose(log, fleet.candidates("llm"), timer.now()).backend == "p"
    assert policy.choose(chat, fleet.candidates("llm"), timer.now()).backend == "d"


@pytest.mark.parametrize(
    ("priority", "expected"), [(Priority.INTERACTIVE, "soon"), (Priority.BATCH, "fast")]
)
def test_priority_weights_first_token_against_token_interval(timer, priority, expected):
    """Guards against interactive calls queued at a fast engine, and batch calls at the idle one."""
    fleet = make_fleet(timer, ["soon", "fast"])
    fleet.update_report(make_report("soon", 2, decode_tokens_per_s=100))
    fleet.update_report(make_report("fast", 2, queued_prompt_tokens=20_000))
    request = attrs.evolve(CHAT, max_tokens=1000, priority=priority)
    policy = PredictedPolicy(fleet.prefixes, seed=1)
    assert policy.choose(request, fleet.candidates("llm"), timer.now()).backend == expected


@pytest.mark.parametrize(("penalty_ms", "expected"), [(0, "far"), (2000, "near")])
def test_region_penalty_decides_when_to_cross_regions(timer, penalty_ms, expected):
    """Guards against billed traffic that the preset avoids, and against a disregard of load."""
    fleet = make_fleet(timer, ["near"])
    fleet.register("far", "llm", zone="south-a", region="south")
    fleet.update_report(make_report("far"))
    fleet.update_report(make_report("near", 2, queued_prompt_tokens=20_000))
    preset = Preset(region_penalty_ms=penalty_ms)
    policy = make_policy("predicted", prefixes=fleet.prefixes, preset=preset, seed=1)
    choice = policy.choose(CHAT, fleet.candidates("llm"), timer.now())
    assert choice.backend == expected
    assert choice.crosses_region == (expected == "far")


def test_deadline_excludes_slow_engines_while_one_can_meet_it(timer):
    """Guards against sending a long job to an engine that starts it sooner but ends it too late."""
    fleet = make_fleet(timer, ["slow", "fast"])
    fleet.update_report(make_report("slow", 2, decode_tokens_per_s=100))
    fleet.update_report(make_report("fast", 2, queued_prompt_tokens=80_000))
    policy = PredictedPolicy(fleet.prefixes, seed=1)
    for deadline_s, expected in ((30, "fast"), (None, "slow")):
        deadline = None if deadline_s is None else timer.now() + deadline_s
        request = RouteRequest("llm", "north-a", "north", None, 100, 2000, deadline=deadline)
        assert policy.choose(request, fleet.candidates("llm"), timer.now()).backend == expected


@pytest.mark.parametrize("name", ROUTING_POLICIES)
def test_calls_to_plain_services_are_spread(timer, name):
    """Guards against a policy that can't rank backend servers when calls have no tokens."""
    fleet = make_fleet(timer, NAMES)
    request = RouteRequest("llm", "north-a", "north")
    policy = make_policy(name, prefixes=PrefixIndex(), preset=Preset(), seed=3)
    picked = Counter(route(policy, fleet, timer, n, request).backend for n in range(200))
    assert min(picked.values()) >= 30
    assert policy.choose(request, [], timer.now()) is None


def test_unknown_policy_name_is_a_settings_error():
    """Guards against a misspelt policy name that silently selects another policy."""
    with pytest.raises(SettingsError, match="routing_policy"):
        make_policy("least-load", prefixes=PrefixIndex(), preset=Preset())


@pytest.mark.parametrize("seed", range(10))
def test_equal_engines_get_equal_work(timer, seed):
    """Guards against so wide a near-best range that one batch fills before the others."""
    fleet = make_fleet(timer, NAMES)
    speeds = {"prefill_tokens_per_s": 10_000, "decode_tokens_per_s": 700, "max_running": 16}
    for name in NAMES:
        fleet.update_report(make_report(name, 2, running=8, queued_output_tokens=640, **speeds))
    policy = PredictedPolicy(fleet.prefixes, seed=seed)
    chat = attrs.evolve(CHAT, prompt_tokens=300, max_tokens=160, priority=Priority.INTERACTIVE)
    picked = Counter()
    for call_id in range(24):
        timer.time += 0.03
        picked[route(policy, fleet, timer, call_id, chat).backend] += 1
    assert max(picked.values()) - min(picked[name] for name in NAMES) <= 1
