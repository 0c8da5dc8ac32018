from contextlib import asynccontextmanager

import pytest
import trio

from figwalk.coordination.claim_writer import MARKER_PERIOD_S, ClaimWriter
from figwalk.coordination.lease import Lease, LeaseNotHeldError
from figwalk.coordination.log_follower import LogFollower
from figwalk.coordination.publisher import Publisher, Snapshotter
from figwalk.errors import (
    CallOutcome,
    LogAnswerLostError,
    LogUnavailableError,
    PublishConflictError,
    RefusalError,
    SettingsError,
)
from figwalk.events import EventLog
from figwalk.protocol.messages import Role
from figwalk.protocol.records import Change, Claim, ClaimBatch, Outcome, Publish, Release
from figwalk.state.claims import Claims
from figwalk.state.configuration import Configuration
from figwalk.state.control import Control
from tests.support.fake_log import FakeLog, FakeTimer
from tests.support.mock_time import mock_time

TTL_S = 5.0


class Process:
    """The parts of one entry that work on the log."""

    def __init__(self, log, name="entry-1"):
        self.timer = FakeTimer()
        self.events = EventLog(name, self.timer)
        self.configuration, self.control, self.claims = Configuration(), Control(), Claims()
        self.config_follower = self._follow(log, "config", self.configuration)
        self.control_follower = self._follow(log, "control", self.control)
        self.claims_follower = self._follow(log, "claims", self.claims)
        common = (self.events, self.timer)
        self.publisher = Publisher(log, self.configuration, self.config_follower, *common)
        self.snapshotter = Snapshotter(self.publisher, self.configuration, *common)
        self.lease = Lease(
            log, self.control, self.control_follower, *common, holder=name, ttl_s=TTL_S
        )
        self.writer = ClaimWriter(log, self.claims, self.claims_follower, *common)

    def _follow(self, log, stream, fold):
        return LogFollower(
            log, stream, fold.apply, self.events, self.timer, on_truncated=fold.skip_to
        )


@asynccontextmanager
async def running(*processes, lease=False):
    async with trio.open_nursery() as nursery:
        for process in processes:
            for part in (process.config_follower, process.control_follower):
                nursery.start_soon(part.run)
            nursery.start_soon(process.claims_follower.run)
            nursery.start_soon(process.writer.run)
            if lease:
                nursery.start_soon(process.lease.run)
        await trio.testing.wait_all_tasks_blocked()
        yield
        nursery.cancel_scope.cancel()


async def until(condition):
    while not condition():
        await trio.sleep(0.1)


def count_records(log, stream, record_id=None):
    records = log.records(stream)
    return len([r for r in records if record_id is None or r.record_id == record_id])


def claim(claim_id, key="k"):
    return Claim(claim_id, "depot", "org", key, "digest", "svc-1", 7)


# Publisher


@mock_time
async def test_losing_operator_is_told_the_winner_and_can_merge():
    log = FakeLog()
    one, two = Process(log), Process(log, "entry-2")
    async with running(one, two):
        results = []

        async def publish(process, value):
            try:
                change = Change("limits", {"key_memory_s": value}, 0)
                results.append(await process.publisher.publish([change], author="x"))
            except PublishConflictError as error:
                results.append((error.path, error.revision))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(publish, one, 10)
            nursery.start_soon(publish, two, 20)
        assert sorted(results, key=str) == [("limits", 1), 1]
        winner = one.configuration.limits()
        await two.publisher.publish([Change("limits", {"key_memory_s": 30}, 1)], author="x")
        await until(lambda: one.configuration.revision == 3)
        assert winner.key_memory_s in (10, 20)
        assert one.configuration.limits().key_memory_s == 30


@pytest.mark.parametrize(("answers", "requests"), [(1, 0), (0, 1), (2, 2)])
@mock_time
async def test_lost_answer_of_a_publication_is_resolved_by_its_record_id(answers, requests):
    """Guards against an accepted publication that its operator sees as a conflict with itself."""
    log, process = FakeLog(), None
    process = Process(log)
    log.lost_answers, log.lost_requests = answers, requests
    async with running(process):
        change = Change("limits", {"key_memory_s": 30}, 0)
        assert await process.publisher.publish([change], author="x") == 1
        assert count_records(log, "config") == 1


@mock_time
async def test_publication_given_up_is_looked_up_and_not_sent_again():
    """Guards against a change that takes effect minutes after its operator saw it fail."""
    log = FakeLog()
    process = Process(log)
    async with running(process):
        log.lost_requests = 10**6
        with pytest.raises(LogAnswerLostError):
            await process.publisher.publish([Change("limits", {}, 0)], author="x")
        log.lost_requests = 0
        await process.publisher.publish([Change("withdrawn/llm-1", True, 0)], author="x")
        assert process.configuration.get("limits") is None
        log.down = True
        with pytest.raises(LogUnavailableError):
            await process.publisher.publish([Change("limits", {}, 0)], author="x")


@mock_time
async def test_active_preset_cannot_be_deleted_in_a_race():
    """Guards against an active preset that does not exist."""
    log = FakeLog()
    one, two = Process(log), Process(log, "entry-2")
    async with running(one, two):
        presets = [Change("presets/a", {}, 0), Change("presets/b", {}, 0)]
        await one.publisher.publish([*presets, Change("preset_in_force", "a", 0)], author="x")
        with pytest.raises(SettingsError):
            await one.publisher.publish([Change("presets/a", None, 1)], author="x")
        with pytest.raises(SettingsError) as caught:
            await one.publisher.publish(
                [Change("presets/c", {"retry_ratio": 2}, 0), Change("preset_in_force", 3, 1)],
                author="x",
            )
        assert len(caught.value.faults) == 2
        await two.config_follower.read_to_head()
        await one.publisher.publish([Change("preset_in_force", "b", 1)], author="x")
        two.configuration = one.configuration
        stale = Publish("stale", "x", [Change("presets/b", None, 1)])
        log.put("config", stale)
        await one.config_follower.read_to_head()
        assert not one.configuration.result("stale").accepted


@mock_time
async def test_new_entry_starts_from_the_snapshot():
    log = FakeLog()
    process = Process(log)
    async with running(process):
        assert not await process.snapshotter.append_if_due()
        for base in range(3):
            change = Change("limits", {"key_memory_s": base + 1}, base)
            await process.publisher.publish([change], author="x")
        assert await process.snapshotter.append_if_due()
        assert not await process.snapshotter.append_if_due()
    log.drop_before("config", 3)
    late = Process(log, "entry-2")
    async with running(late):
        await late.config_follower.read_to_head()
        assert late.configuration.limits().key_memory_s == 3
        assert await late.publisher.publish([Change("limits", {}, 3)], author="x") == 5


# Lease


@mock_time
async def test_one_process_holds_the_lease_and_another_takes_over():
    log = FakeLog()
    one, two = Process(log), Process(log, "entry-2")
    async with running(two, lease=True), running(one):
        await until(lambda: two.lease.term is not None)
        term = two.lease.term
        await trio.sleep(10 * TTL_S)
        assert two.lease.term == term, "the holder renews its lease"
        with pytest.raises(LeaseNotHeldError):
            await one.lease.append_order("llm-1", Role.DECODE)
    async with running(one, lease=True):
        await until(lambda: one.lease.term is not None)
        offset = await one.lease.append_order("llm-1", Role.DECODE)
        assert offset > one.lease.term > term
        assert one.control.desired("llm-1").order_offset == offset


@mock_time
async def test_order_of_a_holder_that_was_paused_is_void():
    """Guards against an order that is sent after a pause by a holder that was replaced."""
    log = FakeLog()
    one, two = Process(log), Process(log, "entry-2")
    async with running(one, two, lease=False), trio.open_nursery() as nursery:
        holder_scope = trio.CancelScope()

        async def hold():
            with holder_scope:
                await one.lease.run()

        nursery.start_soon(hold)
        await until(lambda: one.lease.term is not None)
        holder_scope.cancel()

        async def pause():
            log.before_append = trio.lowlevel.checkpoint
            nursery.start_soon(two.lease.run)
            with trio.CancelScope(shield=True):
                await until(lambda: two.lease.term is not None)

        log.before_append = pause
        with pytest.raises((LeaseNotHeldError, LogAnswerLostError)):
            await one.lease.append_order("llm-1", Role.DECODE)
        assert one.lease.term is None
        await until(lambda: one.control.offset == two.control.offset)
        assert count_records(log, "control") == 3
        for process in (one, two):
            assert process.control.desired("llm-1").order_offset == -1
        nursery.cancel_scope.cancel()


@mock_time
async def test_lease_ends_by_time_counted_from_before_the_send():
    """Guards against a holder that counts its lease from a slow answer."""
    log = FakeLog()
    process = Process(log)

    async def be_slow():
        await trio.sleep(0.8 * TTL_S)

    log.before_append = be_slow
    async with running(process, lease=True):
        await until(lambda: process.lease.term is not None)
        acquired = trio.current_time()
        log.down = True
        await until(lambda: process.lease.term is None)
        assert trio.current_time() - acquired <= 0.2 * TTL_S + 0.2


@mock_time
async def test_lost_answers_past_the_deadline_lose_the_lease():
    log = FakeLog()
    process = Process(log)
    async with running(process, lease=True):
        await until(lambda: process.lease.term is not None)
        log.lost_requests = 10**6
        await trio.sleep(TTL_S + 0.1)
        assert process.lease.term is None
        log.lost_requests = 0
        await until(lambda: process.lease.term is not None)


@mock_time
async def test_lost_order_is_settled_before_the_next_one():
    """Guards against an older order that reaches the log after a newer one."""
    log = FakeLog()
    process = Process(log)
    async with running(process, lease=True):
        await until(lambda: process.lease.term is not None)
        log.lost_requests = 1
        first = await process.lease.append_order("llm-1", Role.DECODE)
        log.lost_answers = 1
        second = await process.lease.append_order("llm-1", Role.PREFILL)
        assert process.control.desired("llm-1").order_offset == second > first


# Claim writer


@mock_time
async def test_of_two_claims_for_a_key_both_entries_see_the_first():
    log = FakeLog()
    one, two = Process(log), Process(log, "entry-2")
    winners = []

    async def take(process, claim_id):
        record = await process.writer.claim(claim(claim_id))
        winners.append(record.claim.claim_id)

    async with running(one, two):
        async with trio.open_nursery() as nursery:
            for index in range(10):
                nursery.start_soon(take, (one, two)[index % 2], f"c{index}")
        assert len(winners) == 10
        assert len(set(winners)) == 1
        assert count_records(log, "claims") <= 4, "claims that arrive together share an append"
        one.writer.release(Release(winners[0]))
        await one.writer.flush()
        await two.claims_follower.read_to_head()
        assert (await two.writer.claim(claim("again"))).claim.claim_id == "again"


@pytest.mark.parametrize(("answers", "requests"), [(1, 0), (0, 2), (3, 3)])
@mock_time
async def test_lost_answer_of_a_claim_is_resolved_by_its_record_id(answers, requests):
    """Guards against a claim that is taken for lost though it won."""
    log = FakeLog()
    process = Process(log)
    log.lost_answers, log.lost_requests = answers, requests
    async with running(process):
        assert (await process.writer.claim(claim("a"))).claim.claim_id == "a"
        assert len(set(log.appends)) == 1


@mock_time
async def test_claim_that_was_given_up_is_refused_and_released_later():
    """Guards against a key that stays taken by a call that nobody sends."""
    log = FakeLog()
    process = Process(log)
    async with running(process):
        log.lost_requests = 10**6
        with pytest.raises(RefusalError) as caught:
            await process.writer.claim(claim("a"))
        assert caught.value.attempt is CallOutcome.NOT_RUN
        assert caught.value.outcome is CallOutcome.UNKNOWN
        log.lost_requests = 0
        await process.writer.flush()
        assert count_records(log, "claims") == 2
        assert process.claims.find("depot", "org", "k") is None
        assert (await process.writer.claim(claim("b"))).claim.claim_id == "b"


@mock_time
async def test_cancelled_claim_is_released():
    """Guards against a key held by a caller that went away while the claim was written."""
    log = FakeLog()
    process = Process(log)

    async def be_slow():
        await trio.sleep(1)

    log.before_append = be_slow
    async with running(process):
        with trio.move_on_after(0.5):
            await process.writer.claim(claim("a"))
        await process.writer.flush()
        assert process.claims.find("depot", "org", "k") is None
        assert count_records(log, "claims") == 2


@mock_time
async def test_outcomes_wait_for_the_log_while_claims_are_refused_at_once():
    log = FakeLog()
    process = Process(log)
    async with running(process):
        await process.writer.claim(claim("a"))
        log.down = True
        process.writer.record_outcome(Outcome("a", 201, [], "e30="))
        started = trio.current_time()
        with pytest.raises(RefusalError):
            await process.writer.claim(claim("b", "other"))
        await until(lambda: not process.claims_follower.available)
        with pytest.raises(RefusalError):
            await process.writer.claim(claim("c", "other"))
        assert trio.current_time() - started < 5
        log.down = False
        await process.writer.flush()
        assert process.claims.find("depot", "org", "k").outcome.status == 201
        assert count_records(log, "claims") == 2


@mock_time
async def test_oversize_outcome_does_not_block_the_stream():
    """Guards against a record that the log always refuses at the head of the queue."""
    log = FakeLog()
    process = Process(log)
    async with running(process):
        process.writer.record_outcome(Outcome("a", 200, [], "x" * 600_000))
        await process.writer.flush()
        assert log.appends == []


@mock_time
async def test_keyed_calls_are_refused_behind_a_gap_until_the_memory_is_covered():
    """Guards against a second run of a key whose claim the log dropped before it was read."""
    log = FakeLog()
    log.put("claims", ClaimBatch("old", [], [claim("old")]))
    log.put("claims", ClaimBatch("1"))
    log.drop_before("claims", 1)
    process = Process(log)
    async with running(process):
        with pytest.raises(RefusalError) as caught:
            await process.writer.claim(claim("a"))
        assert caught.value.code == "claims_incomplete"
        await trio.sleep(86_400 + 3 * MARKER_PERIOD_S)
        assert (await process.writer.claim(claim("a"))).claim.claim_id == "a"
