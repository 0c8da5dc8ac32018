"""Tests of work that leaves its region, with several gateways' copies of the decisions."""

import random

import pytest
from support.fake_timer import FakeTimer
from test_backend_tracker import make_tracker
from test_prompt_placement import REGIONS, SPEC, EngineFleet, hash_shared_parts

from figwalk.coordination.backend_tracker import ReportedLoad
from figwalk.coordination.plain_placement import Distance, PlainPlacement
from figwalk.coordination.prompt_placement import PlacementSettings, PromptPlacement
from figwalk.coordination.prompt_plan import PromptCall
from figwalk.protocol.messages import Role
from figwalk.spillover.remote_spread import choose_offers

GATEWAYS = 12


def rank(fleet, seed, *, zone="a", subject="subject"):
    """Return the plans of one of the gateways in a zone for a prompt with 4,000 shared tokens."""
    distance = Distance(zone, REGIONS[zone], REGIONS)
    placement = PromptPlacement(PlacementSettings(), distance, random.Random(seed))
    call = PromptCall(((subject, 4000), (f"own-{seed}", 3000)), 0.3, 2.0)
    return placement.rank(call, list(fleet.trackers.values()), SPEC)


def choose_engines(fleet, **where):
    return {rank(fleet, seed, **where)[0].reader.entry.backend for seed in range(GATEWAYS)}


def test_gateways_spread_prompts_that_leave_the_region():
    """Guards against gateways that all send a region's peak to the same idle engine elsewhere.

    Load: the engines at home have 0.3 s of prefill queued; reports of the four others are equal or
    differ by 1 ms.
    """
    remote = {f"b{n}": ("b", Role.DECODE) for n in range(4)}
    fleet = EngineFleet(a1=("a", Role.DECODE), **remote)
    for n in range(4):
        fleet.report(f"b{n}", backlog_tokens=180 * n)
    assert choose_engines(fleet) == {"a1"}
    fleet.report("a1", backlog_tokens=54_000)
    by_subject = {
        rank(fleet, seed, subject=f"s{seed}")[0].reader.entry.backend for seed in range(40)
    }
    assert by_subject == set(remote)


@pytest.mark.parametrize(("waiting", "expected"), [(2, {"home"}), (12, {"b1", "b2", "b3"})])
def test_plain_calls_leave_the_region_when_the_wait_is_longer_than_the_way(waiting, expected):
    """Guards against calls in a queue at home, or at the same idle backend server elsewhere."""
    chosen = set()
    for seed in range(GATEWAYS):
        timer = FakeTimer()
        placement = PlainPlacement(Distance("a", "r1", REGIONS), random.Random(seed))
        trackers = [make_tracker(timer, "home", "a")]
        trackers += [make_tracker(timer, f"b{n}", "b") for n in (1, 2, 3)]
        trackers[0].start("c")
        timer.advance(0.1)
        trackers[0].record_answer("c", ReportedLoad(6, waiting, 6))
        trackers[2].start("own")
        chosen.add(placement.choose(trackers).entry.backend)
    assert chosen == expected


def test_one_more_offer_goes_to_another_region():
    """Guards against a refusal by three engines at home while another region has room."""
    ranked = ["a1", "a2", "a3", "a4", "b1", "b2"]

    def choose(ranked, *, may_help=True):
        return choose_offers(ranked, lambda _: may_help, lambda name: name[0] == "b", 3)

    assert choose(ranked) == ["a1", "a2", "a3", "b1"]
    assert choose(ranked, may_help=False) == ["a1", "a2", "a3"]
    assert choose(["b1", *ranked]) == ["b1", "a1", "a2"]


def test_each_region_has_homes_of_shared_parts_and_doubles_them():
    """Guards against shared parts that are prefilled at every engine when demand moves or grows.

    Load: one subject for all prompts, at first in one region, then more than its home prefills.
    """
    names = {f"{zone}{n}": (zone, Role.DECODE) for zone in "ab" for n in range(4)}
    fleet = EngineFleet(**names)
    (home,) = choose_engines(fleet, zone="a")
    assert home[0] == "a"
    (other,) = choose_engines(fleet, zone="b")
    assert other[0] == "b"
    call = PromptCall((("subject", 4000), ("own", 3000)), 0.3, 2.0)
    fleet.trackers[home].apply_cache_report(hash_shared_parts(call), [])
    fleet.report(home, backlog_tokens=36_000)
    (second,) = choose_engines(fleet, zone="a")
    assert second != home
    assert second[0] == "a"
    # The second one fetches the shared parts from the first.
    plan = rank(fleet, 1)[0]
    assert plan.donor is fleet.trackers[home]
    assert plan.uncached_tokens == 3000
