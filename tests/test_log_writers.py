from functools import partial

import pytest
import trio

from figwalk.coordination.claim_writer import IDLE_MARKER_PERIOD_S, ClaimWriter
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
from figwalk.protocol.records import (
    Change,
    Claim,
    LeaseClaim,
    Outcome,
    Publish,
    Release,
    encode_record,
)
from figwalk.state.claims import Claims
from figwalk.state.configuration import Configuration
from figwalk.state.control import Control
from tests.support.fake_log import FakeLog, FakeTimer
from tests.support.mock_time import mock_time

TTL_S = 5.0


class Process:
    """The components of one entry that read and write the log."""

    def __init__(self, log, name="entry-1"):
        self.timer = FakeTimer()
        self.events = EventLog(name, self.timer)
        self.configuration, self.control, self.claims = Configuration(), Control(), Claims()
        self.followers = [
            self._follow(log, "config", self.configuration),
            self._follow(log, "control", self.control),
            self._follow(log, "claims", self.claims),
        ]
        self.config_follower, self.control_follower, self.claims_follower = self.followers
        common = (self.events, self.timer)
        self.publisher = Publisher(log, self.configuration, self.config_follower, *common)
        self.snapshotter = Snapshotter(self.publisher, self.configuration, *common)
        self.lease = Lease(
            log, self.control, self.control_follower, *common, holder=name, ttl_s=TTL_S
        )
        self.writer = ClaimWriter(
            log,
            self.claims,
            self.claims_follower,
            *common,
            key_memory_s=lambda: self.configuration.limits().key_memory_s,
        )

    def _follow(self, log, stream, state):
        return LogFollower(
            log, stream, state.apply, self.events, self.timer, on_truncated=state.skip_to
        )


def scenario(*, processes=1, holder=False):
    """Run a test with a fake log and running processes.

    With `holder` the first process holds the lease when the test starts.
    """

    def decorate(test):
        async def run():
            log = FakeLog()
            entries = [Process(log, f"entry-{index}") for index in range(processes)]
            async with trio.open_nursery() as nursery:
                for entry in entries:
                    for part in (*entry.followers, entry.writer):
                        nursery.start_soon(part.run)
                if holder:
                    nursery.start_soon(entries[0].lease.run)
                    await until(lambda: entries[0].lease.term is not None)
                await trio.testing.wait_all_tasks_blocked()
                await test(log, *entries)
                nursery.cancel_scope.cancel()

        # `functools.wraps` would expose the test's signature, and pytest would look for fixtures
        # named after the processes.
        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return mock_time(run)

    return decorate


async def set_limits(process, key_memory_s, base):
    change = Change("limits", {"key_memory_s": key_memory_s}, base)
    return await process.publisher.publish([change], author="x")


async def until(condition):
    while not condition():
        await trio.sleep(0.1)


async def claim(process, claim_id, key="k"):
    """Claim a key and return the claim id of its winner."""
    record = await process.writer.claim(Claim(claim_id, "depot", "org", key, "d", "svc-1", 7))
    return record.claim.claim_id


# Publisher


@scenario(processes=2)
async def test_conflict_names_the_accepted_revision_so_that_the_operator_can_merge(log, one, two):
    """Guards against two operators whose conflicting changes are both reported as accepted."""
    await set_limits(one, 10, 0)
    with pytest.raises(PublishConflictError) as caught:
        await set_limits(two, 20, 0)
    assert (caught.value.path, caught.value.revision) == ("limits", 1)
    assert await set_limits(two, 30, 1) == 3
    await one.config_follower.read_to_head()
    assert one.configuration.limits().key_memory_s == 30


@scenario()
async def test_lost_responses_are_resolved_by_record_id(log, process):
    """Guards against a record that is refused because its own first copy is in the log."""
    for index, (responses, requests) in enumerate([(1, 0), (0, 1), (2, 2)]):
        log.lost_responses, log.lost_requests = responses, requests
        assert await set_limits(process, 30, index) == index + 1
        log.lost_responses, log.lost_requests = responses, requests
        assert await claim(process, f"c{index}", f"k{index}") == f"c{index}"
    assert log.count("config") == 3
    assert len(set(log.appends)) == 6


@scenario()
async def test_abandoned_publication_is_looked_up_and_not_sent_again(log, process):
    """Guards against a change that takes effect minutes after its publication failed."""
    log.lost_requests = 10**6
    with pytest.raises(LogAnswerLostError):
        await set_limits(process, 30, 0)
    log.lost_requests = 0
    await process.publisher.publish([Change("withdrawn/llm-1", {"mode": "drain"}, 0)], author="x")
    assert process.configuration.get("limits") is None
    log.down = True
    with pytest.raises(LogUnavailableError):
        await set_limits(process, 30, 0)


@scenario()
async def test_active_preset_cannot_be_deleted(log, process):
    """Guards against an active preset that does not exist, also after concurrent changes."""
    publish = process.publisher.publish
    presets = [Change("presets/a", {}, 0), Change("presets/b", {}, 0)]
    await publish([*presets, Change("preset_in_force", "a", 0)], author="x")
    with pytest.raises(SettingsError):
        await publish([Change("presets/a", None, 1)], author="x")
    bad = [Change("presets/c", {"retry_ratio": 2}, 0), Change("preset_in_force", 3, 1)]
    with pytest.raises(SettingsError) as caught:
        await publish(bad, author="x")
    assert len(caught.value.faults) == 2
    await publish([Change("preset_in_force", "b", 1)], author="x")
    stale = Publish("stale", "x", [Change("presets/b", None, 1)])
    log.write("config", "stale", encode_record(stale))
    await process.config_follower.read_to_head()
    assert not process.configuration.result("stale").accepted


@scenario()
async def test_new_entry_starts_from_the_snapshot(log, process):
    """Guards against a new entry that has no configuration once the log dropped old records."""
    assert not await process.snapshotter.append_if_due()
    for base in range(3):
        await set_limits(process, base + 1, base)
    assert await process.snapshotter.append_if_due()
    assert not await process.snapshotter.append_if_due()
    log.drop_before("config", 3)
    late = Process(log)
    await late.config_follower.read_to_head()
    assert late.configuration.limits().key_memory_s == 3
    await set_limits(process, 30, 3)
    await late.config_follower.read_to_head()
    assert late.configuration.entries() == process.configuration.entries()


# Lease


@scenario(processes=2)
async def test_lease_is_renewed_and_taken_over_when_its_holder_stops_renewing(log, one, two):
    async with trio.open_nursery() as outer:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one.lease.run)
            await until(lambda: one.lease.term is not None)
            outer.start_soon(two.lease.run)
            term = one.lease.term
            await trio.sleep(10 * TTL_S)
            assert (one.lease.term, two.lease.term) == (term, None)
            with pytest.raises(LeaseNotHeldError):
                await two.lease.append_order("llm-1", Role.DECODE)
            nursery.cancel_scope.cancel()
        await until(lambda: two.lease.term is not None)
        assert await two.lease.append_order("llm-1", Role.DECODE) > two.lease.term > term
        outer.cancel_scope.cancel()


@scenario(holder=True)
async def test_order_of_a_replaced_holder_has_no_effect(log, process):
    """Guards against an order of a holder that was paused and replaced before the append."""

    async def replace_holder():
        log.before_append = trio.lowlevel.checkpoint
        other = LeaseClaim("other", "entry-9", process.control.last_lease_offset, TTL_S)
        log.write("control", "other", encode_record(other))

    log.before_append = replace_holder
    with pytest.raises(LeaseNotHeldError):
        await process.lease.append_order("llm-1", Role.DECODE)
    assert process.lease.term is None
    assert process.control.holder == "entry-9"
    assert process.control.desired("llm-1").order_offset == -1


@scenario()
async def test_lease_time_starts_before_its_record_is_sent(log, process):
    """Guards against a holder that counts its lease from a slow or lost response."""
    log.before_append = partial(trio.sleep, 0.8 * TTL_S)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(process.lease.run)
        await until(lambda: process.lease.term is not None)
        acquired = trio.current_time()
        log.lost_requests = 10**6
        await until(lambda: process.lease.term is None)
        assert trio.current_time() - acquired <= 0.2 * TTL_S + 0.2
        log.lost_requests = 0
        log.before_append = partial(trio.sleep, 0.2 * TTL_S)
        await until(lambda: process.lease.term is not None)
        records = log.count("control")
        await until(lambda: log.count("control") > records)
        renewed = trio.current_time()
        log.down = True
        await until(lambda: process.lease.term is None)
        assert trio.current_time() - renewed <= 0.8 * TTL_S + 0.2
        nursery.cancel_scope.cancel()


@scenario(holder=True)
async def test_lost_order_is_resolved_before_the_next_one(log, process):
    """Guards against an older order that reaches the log after a newer one."""

    async def lose_request_and_go_down():
        log.before_append = trio.lowlevel.checkpoint
        log.down = True
        raise LogAnswerLostError("request lost")

    log.before_append = lose_request_and_go_down
    appends = len(log.appends)
    with pytest.raises(LogAnswerLostError):
        await process.lease.append_order("llm-1", Role.MIXED)
    log.down, log.lost_requests = False, 1
    first = await process.lease.append_order("llm-1", Role.DECODE)
    assert log.appends[appends] == log.appends[appends + 1]
    log.lost_responses = 1
    second = await process.lease.append_order("llm-1", Role.PREFILL)
    assert process.control.desired("llm-1").order_offset == second > first


# Claim writer


@scenario(processes=2)
async def test_entries_agree_on_the_first_claim_of_a_key(log, one, two):
    """Guards against two entries that both send the call of one key."""
    winners = set()

    async def take(process, claim_id):
        winners.add(await claim(process, claim_id))

    async with trio.open_nursery() as nursery:
        for index in range(10):
            nursery.start_soon(take, (one, two)[index % 2], f"c{index}")
    assert len(winners) == 1
    assert log.count("claims") <= 4, "concurrent claims share an append"
    one.writer.release(Release(winners.pop()))
    await one.writer.flush()
    assert await claim(two, "again") == "again"


@scenario()
async def test_claim_that_timed_out_is_refused_and_released_later(log, process):
    """Guards against a key that stays claimed although no entry sends its call."""
    log.lost_requests = 10**6
    with pytest.raises(RefusalError) as caught:
        await claim(process, "a")
    refusal = caught.value
    assert (refusal.attempt, refusal.outcome) == (CallOutcome.NOT_RUN, CallOutcome.UNKNOWN)
    log.lost_requests = 0
    await process.writer.flush()
    assert log.count("claims") == 2
    assert await claim(process, "b") == "b"


@scenario()
async def test_cancelled_claim_is_released(log, process):
    """Guards against a key that stays claimed if its caller disconnects during the append."""
    log.before_append = partial(trio.sleep, 1)
    with trio.move_on_after(0.5):
        await claim(process, "a")
    await process.writer.flush()
    assert process.claims.find("depot", "org", "k") is None
    assert log.count("claims") == 2


@scenario()
async def test_outcomes_wait_for_the_log_while_claims_are_refused_at_once(log, process):
    await claim(process, "a")
    log.down = True
    process.writer.record_outcome(Outcome("a", 201, [], "e30="))
    process.writer.record_outcome(Outcome("b", 201, [], "x" * 600_000))  # Above the log's limit.
    with pytest.raises(RefusalError):
        await claim(process, "b", "other")
    await until(lambda: not process.claims_follower.available)
    appends = len(log.appends)
    with pytest.raises(RefusalError):
        await claim(process, "c", "other")
    assert len(log.appends) == appends
    log.down = False
    await process.writer.flush()
    assert process.claims.find("depot", "org", "k").outcome.status == 201
    assert log.count("claims") == 2


@scenario()
async def test_claims_wait_while_the_log_limits_appends(log, process):
    """Guards against refusing the claims of a burst that the next batch could contain."""
    log.rate_limited = 3
    assert await claim(process, "a") == "a"
    assert log.count("claims") == 1


@scenario()
async def test_keyed_calls_are_refused_after_a_gap_until_the_key_memory_has_passed(log, process):
    """Guards against running a key twice if the log dropped its claim before it was read."""
    process.claims.skip_to(1)
    log.write("claims", "dropped")
    log.write("claims", "kept")
    await process.claims_follower.read_to_head()
    with pytest.raises(RefusalError) as caught:
        await claim(process, "a")
    assert caught.value.code == "claims_incomplete"
    await set_limits(process, IDLE_MARKER_PERIOD_S, 0)
    await trio.sleep(4 * IDLE_MARKER_PERIOD_S)
    assert await claim(process, "b") == "b"
