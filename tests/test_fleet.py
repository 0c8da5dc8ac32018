import pytest

from figwalk.protocol.messages import BackendState
from figwalk.state.mix import MixEstimator
from figwalk.state.prefixes import PrefixIndex
from tests.policy_fakes import ManualTimer, make_fleet, make_report


@pytest.fixture
def timer():
    return ManualTimer()


@pytest.fixture
def fleet(timer):
    return make_fleet(timer, ["a", "b"])


def names(views):
    return sorted(view.name for view in views)


def test_sent_calls_count_until_a_report_can_include_them(fleet, timer):
    """Guards against a call not counted before a report can include it, or counted twice after."""
    fleet.add_sent_call("a", 1, 4000, 100)
    timer.time += 0.04
    fleet.update_report(make_report("a", 2))
    assert fleet.find("a").predicted.prompt_tokens == 4000
    fleet.set_entry_count(3)
    assert fleet.find("a").predicted.prompt_tokens == 12_000
    timer.time += 0.25
    late = {"running": 1, "queued_prompt_tokens": 1500, "engine_report_age_ms": 400}
    fleet.update_report(make_report("a", 3, **late))
    assert fleet.find("a").predicted.prompt_tokens == 1500
    assert fleet.find("a").predicted.calls == 1


def test_own_calls_are_a_lower_bound(fleet, timer):
    """Guards against an entry that takes its own busy backend server for idle by a wrong report."""
    for call_id in range(5):
        fleet.add_sent_call("a", call_id, 100, 100)
    timer.time += 1
    fleet.update_report(make_report("a", 2, running=0))
    assert fleet.find("a").predicted.calls == 5
    for call_id in range(5):
        fleet.remove_call("a", call_id)
        fleet.remove_call("a", call_id)
    assert fleet.find("a").predicted.calls == 0


@pytest.mark.parametrize("state", [s for s in BackendState if s is not BackendState.SERVING])
def test_only_serving_backends_are_candidates(fleet, state):
    """Guards against new work for a backend server that reported that it takes none."""
    fleet.update_report(make_report("a", 2, state=state))
    assert names(fleet.candidates("llm")) == ["b"]


def test_backends_excluded_from_candidates(fleet, timer):
    """Covers earlier attempts, another model, withdrawal, missing reports and leaving."""
    assert names(fleet.candidates("llm", excluded={"b"})) == ["a"]
    fleet.update_report(make_report("a", 2, model="m1"))
    assert names(fleet.candidates("llm", "m2")) == ["b"]
    assert names(fleet.candidates("llm", "m1")) == ["a", "b"]
    fleet.set_withdrawn({"b"})
    assert names(fleet.candidates("llm")) == ["a"]
    fleet.set_withdrawn(set())
    timer.time += 1.1
    fleet.update_report(make_report("b", 2))
    assert names(fleet.candidates("llm")) == ["b"]
    fleet.mark_leaving("b")
    fleet.update_report(make_report("b", 3))
    assert fleet.candidates("llm") == []


def test_new_incarnation_resets_state_and_old_reports_are_ignored(fleet):
    """Guards against a restarted agent that stays avoided, and old reports that hide new ones."""
    fleet.update_report(make_report("a", 500, state=BackendState.DOWN))
    assert not fleet.update_report(make_report("a", 499))
    assert names(fleet.candidates("llm")) == ["b"]
    fleet.mark_leaving("a")
    fleet.add_sent_call("a", 1, 100, 100)
    fleet.register("a", "llm", incarnation=2)
    assert not fleet.update_report(make_report("a", 501), incarnation=1)
    assert fleet.update_report(make_report("a", 1), incarnation=2)
    assert names(fleet.candidates("llm")) == ["a", "b"]
    assert fleet.find("a").predicted.calls == 0


def test_prefix_match_survives_one_lost_event_but_not_an_eviction():
    """Guards against lost cache events that hide a cached prefix, and evicted pieces that count."""
    index = PrefixIndex()
    index.record_stored("a", [1, 3, 6], 0.0)
    assert index.count_matched("a", [1, 2, 3, 4, 5, 6], 0.0) == 3
    index.record_evicted("a", [1], 1.0)
    assert index.count_matched("a", [1, 2, 3], 1.0) == index.count_matched("b", [1], 1.0) == 0


def test_prefix_index_is_bounded_and_expires():
    """Guards against unbounded memory, and index entries kept longer than the engine's cache."""
    index = PrefixIndex(max_entries=10, max_age_s=5.0)
    index.record_stored("a", range(100), 0.0)
    assert len(index) == 10
    assert index.count_matched("a", [99], 5.1) == 0
    index.record_stored("a", [7], 5.1)
    assert len(index) == 1


def test_fast_average_follows_a_change_that_the_slow_one_damps():
    """Guards against a mix estimate that follows load too late, or keeps no long-term average."""
    mix = MixEstimator(fast_s=10, slow_s=120)
    prompt = output = 0
    for second in range(600):
        prompt += 900 if second < 570 else 100
        output += 100 if second < 570 else 900
        report = make_report("a", prompt_tokens_total=prompt, generated_tokens_total=output)
        mix.observe(report, float(second))
    estimate = mix.estimate(599.0)
    assert estimate.fast.prompt_share < 0.2
    assert estimate.slow.prompt_share > 0.6


def test_counter_reset_and_late_reports_do_not_distort_the_rate():
    """Guards against a burst of tokens computed from a restart or a long gap between reports."""
    mix = MixEstimator(fast_s=10)
    total = 1_000_000
    for second in (*range(60), 120):
        report = make_report("a", prompt_tokens_total=total + 1000 * second)
        mix.observe(report, float(second))
    assert mix.estimate(120.0).fast.prompt_per_s == pytest.approx(1000, rel=0.05)
    mix.observe(make_report("a", prompt_tokens_total=1000), 121.0)
    assert mix.estimate(121.0).fast.prompt_per_s == pytest.approx(1000, rel=0.05)


def test_refused_calls_count_as_demand_of_the_whole_service(fleet, timer):
    """Guards against an overload that the role policy misses because its calls were refused."""
    fleet.set_entry_count(2)
    fleet.add_refused_call("llm", 4000, 100)
    refused = fleet.refused("llm")
    assert refused.prompt_per_s == pytest.approx(40 * refused.output_per_s)
    assert refused.prompt_per_s == pytest.approx(2 * 4000 / 20)
    assert fleet.refused("other").prompt_per_s == 0
