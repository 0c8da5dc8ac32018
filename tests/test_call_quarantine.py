"""Tests which prompts a gateway refuses because engines crash on them."""

import itertools

import pytest
from support.fake_log import FakeTimer

from figwalk.coordination.call_identity import CallIdentity
from figwalk.coordination.call_quarantine import (
    EVIDENCE_RETENTION_S,
    FIRST_HOLD_S,
    HOLD_SHARE_BETWEEN_GATEWAYS,
    MAX_PARTS_OF_REPORT,
    SOUND_BEFORE_CRASH_S,
    CallQuarantine,
)
from figwalk.coordination.crash_evidence import MAX_CRASHES, CrashId, CrashReport
from figwalk.errors import RefusalError
from figwalk.events import EventLog

PROMPT = ["head", "bad", "own"]
CALL = CallIdentity(tuple(PROMPT))


class ManualTimer(FakeTimer):
    """Timer that a test sets."""

    def __init__(self):
        super().__init__()
        self.time = 1000.0

    def now(self):
        """Return the time that the test has set."""
        return self.time


class Gateways:
    """Quarantines of several gateways that exchange their reports like records of one topic."""

    def __init__(self, count=1):
        self.timer = ManualTimer()
        self.topic = {}
        self.members = [self.make(f"g{number}") for number in range(count)]

    def make(self, name):
        """Return the quarantine of a gateway that has just started."""
        return CallQuarantine(name, EventLog(name, self.timer), self.timer)

    def exchange(self):
        """Publish all reports and have each gateway apply them, until none is new."""
        while any(member.unpublished for member in self.members):
            for member in self.members:
                reports = member.unpublished
                for report in reports:
                    self.topic[report.reporter, report.crash] = report
                member.mark_published(reports)
                for other in self.members:
                    for report in reports:
                        assert other.apply(report)
                    other.refresh()

    def crash(self, *numbers, prompts=(PROMPT,)):
        """Have the gateways notice crashes in turn."""
        for number in numbers:
            member = self.members[number % len(self.members)]
            calls = [CallIdentity(tuple(prompt)) for prompt in prompts]
            member.record_crash(CrashId(f"e{number}", 1), calls)
        self.exchange()


def is_refused(quarantine, prompt=PROMPT):
    try:
        quarantine.check(CallIdentity(tuple(prompt)))
    except RefusalError as error:
        assert (error.code, error.status) == ("deadly_prompt", 503)
        return True
    return False


def test_part_is_refused_at_all_gateways_after_three_crashes():
    """Guards against gateways that each have to see three crashes of their own."""
    gateways = Gateways(3)
    gateways.crash(0, 1)
    assert not any(is_refused(member) for member in gateways.members)
    gateways.crash(2)
    assert all(is_refused(member) for member in gateways.members)
    assert not is_refused(gateways.members[0], ["head", "other", "own"])
    assert gateways.members[0].parts == {"bad"}


def test_own_part_of_a_prompt_is_never_refused():
    """Guards against reports of parts that no other prompt can have."""
    gateways = Gateways()
    gateways.crash(1, 2, 3, prompts=[["own"], []])
    assert not gateways.members[0].unpublished
    assert not is_refused(gateways.members[0], ["own"])


def test_refusal_says_when_the_part_is_tried_again():
    """Guards against callers that come back while their prompt is still refused."""
    gateways = Gateways()
    gateways.crash(1, 2, 3)
    with pytest.raises(RefusalError) as refusal:
        gateways.members[0].admit(CALL)
    assert refusal.value.retry_after_ms == FIRST_HOLD_S * 1000
    gateways.timer.time += FIRST_HOLD_S
    assert gateways.members[0].admit(CALL)
    with pytest.raises(RefusalError):
        gateways.members[0].admit(CALL)


@pytest.mark.parametrize("count", [4, 30])
def test_gateways_try_a_part_one_after_the_other(count):
    """Guards against several engines that crash since many gateways try a part at once."""
    gateways = Gateways(count)
    gateways.crash(0, 1, 2, 3)
    tries = []
    start = gateways.timer.time
    hold_s = 2 * FIRST_HOLD_S
    while gateways.timer.time < start + 2 * hold_s - 1.0:
        gateways.timer.time += 1.0
        for member in gateways.members:
            try:
                if member.admit(CALL):
                    tries.append(gateways.timer.time)
            except RefusalError:
                continue
    assert len(tries) == 4
    assert tries[0] >= start + hold_s
    distances = [later - earlier for earlier, later in itertools.pairwise(tries)]
    assert min(distances) == pytest.approx(hold_s * HOLD_SHARE_BETWEEN_GATEWAYS, abs=1.0)


def test_crash_of_a_try_prolongs_the_quarantine():
    """Guards against engines that crash again and again after equal times."""
    gateways = Gateways()
    gateways.crash(1, 2, 3)
    gateways.timer.time += FIRST_HOLD_S
    assert gateways.members[0].admit(CALL)
    gateways.crash(4)
    with pytest.raises(RefusalError) as refusal:
        gateways.members[0].admit(CALL)
    assert refusal.value.retry_after_ms == 2 * FIRST_HOLD_S * 1000


def test_answered_try_ends_the_quarantine_everywhere():
    """Guards against sound prompts that stay refused after engines crashed for other reasons."""
    gateways = Gateways(2)
    gateways.crash(1, 2, 3)
    gateways.timer.time += FIRST_HOLD_S
    gateways.members[0].record_answered(CALL, gateways.timer.time)
    gateways.exchange()
    assert not any(is_refused(member) for member in gateways.members)


def test_part_answered_shortly_before_a_crash_is_no_suspect():
    """Guards against parts in great demand that are refused since they are always in progress."""
    gateways = Gateways(2)
    popular = CallIdentity(("head", "popular", "x"))
    for number in range(6):
        gateways.members[0].record_answered(popular, gateways.timer.time)
        gateways.timer.time += SOUND_BEFORE_CRASH_S / 2
        gateways.crash(number, prompts=[["head", "popular", "y"]])
    assert not any(member.parts for member in gateways.members)


def test_part_that_becomes_deadly_after_answers_is_refused():
    """Guards against a part that counts as sound for ever because it was answered once."""
    gateways = Gateways()
    gateways.members[0].record_answered(CALL, gateways.timer.time)
    gateways.timer.time += SOUND_BEFORE_CRASH_S + 0.1
    gateways.crash(1, 2, 3)
    assert is_refused(gateways.members[0])


def test_answer_that_began_long_before_the_crashes_proves_nothing():
    """Guards against a long stream that ends after crashes and clears its parts."""
    gateways = Gateways()
    began_at = gateways.timer.time - 10.0
    gateways.crash(1, 2, 3)
    gateways.members[0].record_answered(CALL, began_at)
    assert is_refused(gateways.members[0])


def test_new_gateway_learns_from_the_log_what_others_know():
    """Guards against a gateway that sends deadly prompts on after its start."""
    gateways = Gateways(2)
    gateways.crash(1, 2, 3)
    started = gateways.make("g9")
    for report in gateways.topic.values():
        started.apply(report)
    started.refresh()
    assert is_refused(started)
    assert not started.unpublished


def test_restarted_gateway_keeps_the_reports_under_its_name():
    """Guards against a gateway that overwrites what it had reported before its restart."""
    gateways = Gateways()
    gateways.crash(1, 2, 3)
    restarted = gateways.make("g0")
    for report in gateways.topic.values():
        restarted.apply(report)
    restarted.refresh()
    assert is_refused(restarted)
    restarted.publish_all()
    assert len(restarted.unpublished) == 3


def test_delayed_append_of_an_older_report_is_written_again():
    """Guards against a log that keeps the older form of a report after a late append."""
    gateways = Gateways()
    member = gateways.members[0]
    gateways.crash(1, prompts=[["a", "x"]])
    older = next(iter(gateways.topic.values()))
    gateways.crash(1, prompts=[["b", "x"]])
    member.apply(older)
    (report,) = member.unpublished
    assert report.prompts == {("a",), ("b",)}


def test_evidence_expires():
    """Guards against parts that stay refused for good when no gateway asks for them."""
    gateways = Gateways()
    gateways.crash(1, 2, 3)
    gateways.timer.time += EVIDENCE_RETENTION_S + 1
    assert len(gateways.members[0].expire()) == 3
    assert not is_refused(gateways.members[0])


def test_report_that_is_too_old_is_not_applied():
    """Guards against reports of gateways that are gone, which no one removes."""
    gateways = Gateways()
    age_ms = int((EVIDENCE_RETENTION_S + 1) * 1000)
    report = CrashReport("g7", CrashId("e", 1), gateways.timer.wall_ms() - age_ms)
    assert not gateways.members[0].apply(report)


def test_long_part_ids_are_reported_in_bounded_length():
    """Guards against reports that are larger than a record of the log may be."""
    gateways = Gateways()
    prompt = ["h" * 5000, "b" * 5000, "own"]
    gateways.crash(1, 2, 3, prompts=[prompt])
    assert is_refused(gateways.members[0], prompt)
    assert max(len(part) for part in gateways.members[0].parts) <= 32


def test_request_is_refused_at_all_gateways_and_tested_after_a_while():
    """Guards against a request without a prompt that no quarantine can name."""
    gateways = Gateways(3)
    order = CallIdentity((), "order")
    for number in range(3):
        gateways.members[number].record_crash(CrashId(f"e{number}", 1), [order])
        gateways.exchange()
    for member in gateways.members:
        assert member.requests == {"request:order"}
        with pytest.raises(RefusalError) as refusal:
            member.admit(order)
        assert (refusal.value.code, refusal.value.status) == ("deadly_request", 503)
        assert refusal.value.retry_after_ms >= FIRST_HOLD_S * 1000
        assert not member.admit(CallIdentity((), "other order"))
    gateways.timer.time += 2 * FIRST_HOLD_S
    assert gateways.members[0].admit(order)
    gateways.members[0].record_answered(order, gateways.timer.time)
    gateways.exchange()
    assert not any(member.requests for member in gateways.members)


def test_reports_above_the_limit_are_removed_from_the_log():
    """Guards against a log that keeps reports which the gateway has forgotten."""
    gateways = Gateways()
    member = gateways.members[0]
    for number in range(MAX_CRASHES + 5):
        member.record_crash(CrashId(f"e{number}", 1), [CALL])
    assert [report.crash.backend for report in member.expire()] == [f"e{n}" for n in range(5)]
    assert len(member._unpublished) == len(member.unpublished) == MAX_CRASHES


def test_check_of_a_long_prompt_takes_hardly_longer_than_that_of_a_short_one():
    """Guards against a check at each send whose work grows with the number of parts."""

    class CountingDict(dict):
        lookups = 0

        def __contains__(self, key):
            CountingDict.lookups += 1
            return super().__contains__(key)

    gateways = Gateways()
    gateways.crash(1, 2, 3)
    member = gateways.members[0]
    member._causes = CountingDict(member._causes)
    for count in (3, 400):
        member.check(CallIdentity(tuple(f"p{number}" for number in range(count))))
        assert CountingDict.lookups == 0


def test_report_on_many_long_prompts_is_bounded_and_keeps_the_part_that_crashes():
    """Guards against reports without bound, and a part that all of them leave out."""
    gateways = Gateways()
    member = gateways.members[0]
    for number in range(12):
        prompts = [[f"{number}-{n}-{m}" for m in range(400)] for n in range(20)]
        prompts[number][number * 30] = "bad"
        calls = [CallIdentity((*prompt, "own")) for prompt in prompts]
        member.record_crash(CrashId(f"e{number}", 1), calls)
    sizes = [sum(map(len, report.prompts)) for report in member.unpublished]
    assert max(sizes) <= MAX_PARTS_OF_REPORT
    assert member.parts == {"bad"}


def test_answered_parts_are_left_out_of_a_report_before_those_never_answered():
    """Guards against a deadly part that is left out of a report for many sound ones."""
    gateways = Gateways()
    member = gateways.members[0]
    sound = [f"s{number}" for number in range(2 * MAX_PARTS_OF_REPORT)]
    member.record_answered(CallIdentity((*sound, "own")), gateways.timer.time)
    gateways.timer.time += SOUND_BEFORE_CRASH_S + 1.0
    member.record_crash(CrashId("e", 1), [CallIdentity((*sound, "bad", "own"))])
    (report,) = member.unpublished
    (prompt,) = report.prompts
    assert "bad" in prompt
    assert len(prompt) == MAX_PARTS_OF_REPORT
