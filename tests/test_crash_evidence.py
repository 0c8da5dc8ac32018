"""Tests which prompt parts are found to crash engines."""

import pytest

from figwalk.coordination import crash_evidence
from figwalk.coordination.crash_evidence import (
    MAX_CRASHES,
    REQUEST_PREFIX,
    CrashEvidence,
    CrashId,
    CrashReport,
)


def make_report(number, *prompts, reporter="g1", sound=(), requests=()):
    """Return a report on crash `number`; each prompt is a text with its parts."""
    parts = frozenset(tuple(prompt.split()) for prompt in prompts)
    ids = frozenset(REQUEST_PREFIX + name for name in requests)
    return CrashReport(reporter, CrashId(f"e{number}", 1000), 0, parts, frozenset(sound), ids)


def find_deadly(*reports):
    evidence = CrashEvidence()
    for at, report in enumerate(reports):
        evidence.add(report, float(at))
    return set(evidence.find_causes())


def test_part_in_work_at_every_crash_is_found():
    """Guards against engines that crash on one part for as long as it is asked for."""
    prompts = ["head bad", "head s1"], ["head bad", "head s2"], ["head bad", "head s1"]
    assert find_deadly(*(make_report(n, *p) for n, p in enumerate(prompts))) == {"bad"}


def test_two_crashes_are_not_enough():
    """Guards against a part that is refused because two engines crashed by chance."""
    assert find_deadly(make_report(1, "bad"), make_report(2, "bad")) == set()


def test_crashes_of_one_engine_are_told_apart_by_its_start():
    """Guards against crashes that count once because the engine keeps its id."""
    crashes = [CrashId("e", born_ms) for born_ms in (1, 2, 3)]
    reports = [CrashReport("g", crash, 0, frozenset({("bad",)})) for crash in crashes]
    assert find_deadly(*reports) == {"bad"}


def test_reports_of_several_gateways_on_one_crash_count_once():
    """Guards against one crash that counts as often as gateways report it."""
    assert find_deadly(*(make_report(1, "bad", reporter=f"g{n}") for n in range(5))) == set()


def test_no_gateway_needs_to_have_seen_all_crashes():
    """Guards against evidence that is judged by each gateway alone."""
    assert find_deadly(*(make_report(n, "bad", reporter=f"g{n}") for n in range(3))) == {"bad"}


@pytest.mark.parametrize("count", [3, 4, 7])
def test_earlier_parts_of_the_same_prompts_stay_open(count):
    """Guards against sound prompts that are refused for a part they share with deadly ones."""
    reports = [make_report(n, "head subject bad", f"head s{n}") for n in range(count)]
    assert find_deadly(*reports) == {"bad"}


def test_two_deadly_parts_are_found_behind_a_common_one():
    """Guards against a common part that is refused because it is in progress at more crashes."""
    parts = ["bad1", "bad2"] * 3
    assert find_deadly(*(make_report(n, f"head {p}") for n, p in enumerate(parts))) == {
        "bad1",
        "bad2",
    }


def test_common_part_with_crashes_of_its_own_is_found():
    """Guards against a deadly first part that later parts, which are in demand, hide."""
    reports = [make_report(n, "bad popular") for n in range(3)]
    reports += [make_report(n, f"bad s{n}") for n in range(3, 6)]
    assert find_deadly(*reports) == {"bad", "popular"}


def test_part_that_other_crashes_explain_is_not_found():
    """Guards against a sound part that is refused since it was often beside a deadly one."""
    reports = [make_report(n, "head bad", "head popular") for n in range(4)]
    reports.append(make_report(4, "head bad"))
    assert find_deadly(*reports) == {"bad"}


def test_part_reported_as_sound_is_not_found():
    """Guards against a part in demand that is refused after crashes with another cause."""
    reports = [make_report(n, "popular") for n in range(3)]
    sound = [make_report(n, reporter="g2", sound=["popular"]) for n in range(1)]
    assert find_deadly(*reports, *sound) == set()
    assert find_deadly(*sound, *reports) == set()


def test_report_adds_to_an_earlier_one_of_the_same_gateway():
    """Guards against evidence that is lost when a gateway reports in steps or out of order."""
    evidence = CrashEvidence()
    assert evidence.add(make_report(1, "a"), 0.0)
    assert evidence.add(make_report(1, "b", sound=["a"]), 1.0)
    assert not evidence.add(make_report(1, "a"), 2.0)
    found = evidence.find(CrashId("e1", 1000), "g1")
    assert found.prompts == {("a",), ("b",)}
    assert (evidence.crash_count("a"), evidence.crash_count("b")) == (0, 1)
    assert evidence.crashes_with("b") == [(CrashId("e1", 1000), 0.0)]


def test_old_crashes_are_dropped():
    """Guards against evidence that grows without bound or counts for ever."""
    evidence = CrashEvidence()
    for number in range(MAX_CRASHES + 10):
        evidence.add(make_report(number, "bad"), float(number))
    assert evidence.crash_count("bad") == MAX_CRASHES
    # The ten that were above the limit are among them, so that their records are removed too.
    assert len(evidence.drop_before(MAX_CRASHES)) == MAX_CRASHES
    assert evidence.crash_count("bad") == 10
    assert evidence.reporters == {"g1"}


def test_part_in_work_at_a_few_of_many_crashes_is_not_found():
    """Guards against parts in demand that are refused after a whole zone of engines crashed."""
    reports = [make_report(n, f"s{n % 8}", f"t{n}") for n in range(24)]
    assert find_deadly(*reports) == set()
    assert find_deadly(*reports, *(make_report(30 + n, "bad") for n in range(4))) == {"bad"}


def test_request_in_work_at_three_crashes_is_found():
    """Guards against a request that crashes one server after another, without any prompt parts."""
    reports = [make_report(n, requests=["bad", f"sound{n}"]) for n in range(3)]
    assert find_deadly(*reports[:2]) == set()
    assert find_deadly(*reports) == {"request:bad"}


def test_request_beside_a_deadly_one_at_all_crashes_does_not_hide_it():
    """Guards against a deadly request that is sent on since another one explains its crashes."""
    reports = [make_report(n, requests=["bad", "unlucky"]) for n in range(3)]
    assert find_deadly(*reports) == {"request:bad", "request:unlucky"}


def test_parts_of_a_deadly_request_stay_open():
    """Guards against sound prompts that are refused for a part they share with one request."""
    reports = [make_report(n, "head subject", "head other", requests=["bad"]) for n in range(3)]
    assert find_deadly(*reports) == {"request:bad"}
    assert find_deadly(*reports, make_report(3, "head subject")) == {"request:bad"}


def test_deadly_part_is_found_although_one_request_with_it_came_three_times():
    """Guards against a deadly part that a repeated request with it hides."""
    reports = [make_report(n, "head bad", requests=["first"]) for n in range(3)]
    reports += [make_report(n, "head bad", requests=[f"r{n}"]) for n in range(3, 5)]
    assert find_deadly(*reports) == {"request:first", "bad"}


def test_request_reported_as_sound_is_not_found():
    """Guards against a request in demand that is refused after crashes with another cause."""
    reports = [make_report(n, requests=["popular"]) for n in range(3)]
    sound = make_report(1, reporter="g2", sound=["request:popular"])
    assert find_deadly(*reports, sound) == set()


def test_request_in_work_at_three_of_many_crashes_is_found():
    """Guards against a deadly request that the crash of a whole zone hides."""
    reports = [make_report(n, requests=[f"s{n}"]) for n in range(60)]
    reports[10:13] = [make_report(n, requests=["bad", f"s{n}"]) for n in range(10, 13)]
    reports.append(make_report(70, requests=["bad"]))
    assert find_deadly(*reports) == {"request:bad"}


def test_memory_is_bounded_by_the_suspects_with_the_fewest_crashes(monkeypatch):
    """Guards against a gateway that runs out of memory, or forgets the part that crashes."""
    monkeypatch.setattr(crash_evidence, "MAX_SUSPECTS", 100)
    evidence = CrashEvidence()
    found = []
    for number in range(40):
        own = " ".join(f"{number}-{n}" for n in range(30))
        evidence.add(make_report(number, f"bad {own}" if number % 2 else own), float(number))
        assert len(evidence._crash_counts) <= 100
        found.append(set(evidence.find_causes()))
    assert found[5:] == [{"bad"}] * 35
    assert sum(len(report.prompts) for report in evidence.reports_by("g1")) < 40
    evidence.drop_before(100.0)
    assert evidence._entries == 0


@pytest.mark.parametrize("others", [5, 10, 50])
def test_part_that_causes_a_small_share_of_the_crashes_is_found(others):
    """Guards against a deadly part that many crashes of other kinds hide."""
    reports = []
    for number in range(5):
        reports.append(make_report(f"bad{number}", f"bad s{number}", "popular"))
        reports += [make_report(f"{number}-{n}", f"t{number}-{n}") for n in range(others)]
        reports.append(make_report(f"bad{number}", reporter="g2", sound=["popular"]))
    assert find_deadly(*reports) == {"bad"}


def test_parts_in_work_when_many_servers_crash_at_once_are_not_found():
    """Guards against parts in demand that are refused when a whole zone crashes in a moment."""
    evidence = CrashEvidence()
    for number in range(64):
        evidence.add(make_report(number, f"head s{number % 8}"), number * 0.01)
    assert evidence.find_causes() == {}


def test_part_in_work_at_crashes_by_chance_does_not_hide_their_cause():
    """Guards against a deadly part that one in demand hides, though it explains too few crashes."""
    reports = [make_report(n, "popular" if n == 0 else f"t{n}") for n in range(28)]
    reports += [make_report(n, "popular", "bad") for n in range(28, 31)]
    assert find_deadly(*reports) == {"bad"}
