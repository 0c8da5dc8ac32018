"""Tests of reads of the store that gateways of a zone share; no test uses a network."""

import itertools

import pytest
import trio
from support.fake_timer import FakeTimer
from support.fake_topics import Topics
from support.mock_time import mock_time
from support.relay_fakes import BACKENDS, CONFIG, CRASHES, ClockTimer, WaitingTopics, Zone

from figwalk.coordination.compacted_log import KeyedPage
from figwalk.errors import LogTruncatedError, LogUnavailableError
from figwalk.events import EventLog
from figwalk.organisations.config_confirmation import ConfigConfirmation, ConfirmingLog
from figwalk.protocol.messages import ConnectionKind, Hello
from figwalk.relay.read_limits import ReadLimits
from figwalk.relay.reader_choice import FIRST_AVOID_S, ReaderChoice
from figwalk.relay.relayed_log import RelayedLog
from figwalk.relay.shared_topic import MAX_PAGE_BYTES, SharedTopic
from figwalk.state.gateway_settings import RevocationSettings

FAULTS = {
    "killed": lambda agent: agent.kill(),
    "frozen": lambda agent: agent.set_links(cut=True),
    "slow": lambda agent: agent.set_links(delay_s=1.5),
    "cut_from_store": lambda agent: agent.set_clients(cut=True),
    "somewhat_behind": lambda agent: agent.set_clients(late_s=0.2),
    "far_behind": lambda agent: agent.set_clients(late_s=1.2),
}


async def count_calls(readers, **options):
    """Return the calls to the store and the messages of a zone in 30 s, with a write a second."""
    async with trio.open_nursery() as nursery:
        zone = Zone(nursery, Topics(), readers=readers, **options)
        await zone.start()

        def count_messages():
            return sum(end.sent for agent in zone.agents for end in agent.ends)

        calls, messages = zone.count_calls(), count_messages()
        for second in range(30):
            zone.write(BACKENDS, second)
            await trio.sleep(1)
        assert all(len(g.applied[BACKENDS].values) >= 28 for g in zone.gateways)
        nursery.cancel_scope.cancel()
    return zone.count_calls() - calls, count_messages() - messages


@mock_time
async def test_zone_of_four_gateways_reads_the_store_once():
    """Guards against a relay that saves no calls, or costs more messages than it saves."""
    (before, no_messages), (after, messages) = await count_calls(0), await count_calls(2)
    print(f"\nstore calls of four gateways in 30 s: {before} before, {after} after; {messages=}")
    assert no_messages == 0
    assert after < 0.3 * before
    # A call to the store is a request and an answer, too.
    assert messages + 2 * after <= 1.25 * 2 * before


@pytest.mark.parametrize("options", [{"gateways": 2}, {"relays": False}])
@mock_time
async def test_relay_is_not_used_where_it_saves_nothing_or_is_unknown(options):
    """Guards against relayed reads for two gateways, and messages that an old agent can't read."""
    direct, _ = await count_calls(0, **options)
    relayed, messages = await count_calls(2, **options)
    assert messages == 0
    assert abs(relayed - direct) <= 2


@pytest.mark.parametrize("deadline_ms", [2500, 4000])
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("after_s", [0.0, 0.7])
@mock_time
async def test_deadlines_hold_when_the_reader_fails(fault, deadline_ms, after_s):
    """Guards against configurations and departures that come late because of the relay.

    Each phase of the reads is met by one of the records.
    """
    async with trio.open_nursery() as nursery:
        zone = Zone(nursery, Topics(), deadline_ms=deadline_ms)
        await zone.start()
        reader, late = zone.reader, []

        async def check(topic, value):
            zone.write(topic, value)
            await trio.sleep(deadline_ms / 1000)
            late.extend(
                (topic, value) for g in zone.gateways if value not in g.applied[topic].values
            )

        FAULTS[fault](reader)
        await trio.sleep(after_s)
        for value in range(40):
            nursery.start_soon(check, CONFIG, value)
            nursery.start_soon(check, BACKENDS, value)
            await trio.sleep(0.13)
        await trio.sleep(deadline_ms / 1000 + 1)
        assert late == []
        # Another agent reads for all.
        for gateway in zone.gateways:
            assert "relay" in gateway.sources[-4:]
            for applied in gateway.applied.values():
                assert applied.values == sorted(applied.values)
                assert applied.outages == 0
        nursery.cancel_scope.cancel()


@mock_time
async def test_store_that_refuses_one_gateway_is_read_through_the_relay():
    """Guards against a gateway that stays cut off from the store though an agent is not."""
    async with trio.open_nursery() as nursery:
        zone = Zone(nursery, Topics())
        await zone.start()
        for client in zone.gateways[0].clients:
            client.cut = True
        zone.reader.kill()
        await trio.sleep(10)
        zone.write(CONFIG, 1)
        await trio.sleep(4)
        assert zone.gateways[0].applied[CONFIG].values == [1]
        nursery.cancel_scope.cancel()


@mock_time
async def test_nothing_goes_back_after_a_restored_store():
    """Guards against records of an older era that an agent passes on after a gateway's listing."""
    async with trio.open_nursery() as nursery:
        zone = Zone(nursery, Topics())
        await zone.start()
        for value in range(5):
            zone.write(CONFIG, value)
        await trio.sleep(5)
        calls = zone.count_calls()
        zone.topics.restore({CONFIG: 2})
        await trio.sleep(1)
        zone.write(CONFIG, 7)
        await trio.sleep(6)
        assert zone.count_calls() - calls < 50
        for gateway in zone.gateways:
            assert gateway.applied[CONFIG].values == [0, 1, 2, 3, 4, 7]
            assert gateway.applied[CONFIG].listed == 2
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "answer",
    [KeyedPage(3, (), 1), KeyedPage(3, (), None), KeyedPage(2, (), 2), KeyedPage(3, (), 2, 9.9)],
)
@mock_time
async def test_unfit_answer_of_an_agent_is_replaced_by_a_read_of_the_store(answer):
    """Guards against an older era, an earlier end and an old answer that a gateway applies.

    The store is then read without waiting, since the relayed read has taken the time for that.
    """
    waits = []

    class Store(WaitingTopics):
        async def read(self, topic, offset, *, wait_s=0.0):
            waits.append(wait_s)
            return await super().read(topic, offset)

    class Link:
        agent = Hello(ConnectionKind.PROMPT, "x", 1, zone="a")
        gateways = 3

        async def read(self, *_arguments):
            return answer

    topics = Topics(era=2)
    topics.records[CONFIG] += [("k", b"%d" % n) for n in range(3)]
    timer = ClockTimer()
    log = RelayedLog(
        Store(topics), lambda: [Link()], ReaderChoice("a", 2, timer), ReadLimits(1.6, 1.6),
        EventLog("test", timer), timer, zone="a", on_read=lambda _source: None,
    )  # fmt: skip
    assert (await log.read_newest(CONFIG)).era == 2
    page = await log.read(CONFIG, 3, wait_s=1.6)
    assert (page.next_offset, page.era, page.age_s) == (3, 2, 0.0)
    await log.read(CONFIG, 3, wait_s=1.6)
    assert waits == [0.0, 1.6]


@mock_time
async def test_reads_of_a_topic_end_when_nobody_asks():
    """Guards against an agent that goes on to read the store after all gateways have left."""
    async with trio.open_nursery() as nursery:
        zone = Zone(nursery, Topics())
        await zone.start()
        reader = zone.reader
        for connection in list(reader.server._gateways):
            reader.server.drop(connection)
        await trio.sleep(0.1)
        made = reader.server.store_reads
        await trio.sleep(20)
        assert reader.server.store_reads == made
        nursery.cancel_scope.cancel()


@mock_time
async def test_shared_topic_serves_others_when_the_first_gateway_leaves():
    """Guards against gateways that wait for a read that ended with another one's connection."""
    topics = Topics()
    shared = SharedTopic(WaitingTopics(topics), CONFIG, ClockTimer())
    limits = ReadLimits(wait_s=1.6, hold_s=1.6)
    scope, pages = trio.CancelScope(), []

    async def leave():
        with scope:
            await shared.read(0, 1, limits)

    async def stay():
        pages.append(await shared.read(0, 1, limits))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(leave)
        await trio.sleep(0.1)
        nursery.start_soon(stay)
        await trio.sleep(0.1)
        scope.cancel()
        await trio.sleep(0.1)
        topics.records[CONFIG] += [("k", b"v")]
    assert [record.value for record in pages[0].records] == [b"v"]
    assert shared.reads == 2


@mock_time
async def test_shared_topic_behind_a_gateway_is_not_used():
    """Guards against a gateway that waits for an agent whose store has fewer records."""
    shared = SharedTopic(WaitingTopics(Topics()), BACKENDS, ClockTimer())
    await shared.read(0, 1, ReadLimits(period_s=1.1))
    with pytest.raises(LogUnavailableError, match="before 3"):
        await shared.read(3, 1, ReadLimits(period_s=1.1))


@mock_time
async def test_read_in_progress_at_a_restore_adds_no_records_of_the_new_era():
    """Guards against skipped records where the restored store has grown past the read's offset."""
    topics = Topics()
    topics.records[CONFIG] += [("k", b"%d" % n) for n in range(10)]
    shared = SharedTopic(WaitingTopics(topics), CONFIG, ClockTimer())
    limits, pages = ReadLimits(wait_s=1.6, hold_s=1.6), {}
    await shared.read(9, 1, limits)

    async def read(offset, era):
        pages[era] = await shared.read(offset, era, limits)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read, 10, 1)
        await trio.sleep(0.1)
        topics.restore({CONFIG: 5})
        nursery.start_soon(read, 5, 2)
        await trio.sleep(0.01)
        topics.records[CONFIG] += [("k", b"%d" % n) for n in range(100, 108)]
    assert [record.offset for record in pages[2].records] == list(range(5, 13))
    assert pages[1].era == 2


@mock_time
async def test_shared_topic_leaves_what_it_lacks_to_the_store():
    """Guards against skipped records: those before the first read, and those too large to relay."""
    topics = Topics()
    topics.records[CONFIG] += [("k", b"0"), ("k", b"1"), ("k", b"2")]
    shared = SharedTopic(WaitingTopics(topics), CONFIG, ClockTimer())
    limits = ReadLimits(wait_s=1.6, hold_s=1.6)
    assert (await shared.read(2, 1, limits)).next_offset == 3
    with pytest.raises(LogTruncatedError):
        await shared.read(1, 1, limits)
    topics.records[CONFIG] += [("k", b"x" * (MAX_PAGE_BYTES + 1)), ("k", b"4")]
    with pytest.raises(LogTruncatedError):
        await shared.read(3, 1, limits)
    assert [record.value for record in (await shared.read(4, 1, limits)).records] == [b"4"]
    topics.records[CONFIG] += [("k", b"y" * (MAX_PAGE_BYTES // 2))] * 3
    page = await shared.read(5, 1, limits)
    assert page.next_offset == 5 + len(page.records) < 8


def test_all_gateways_choose_the_same_reader():
    """Guards against gateways of a zone that choose different agents, or one that failed."""
    timer = FakeTimer()
    agents = ["x", "y", "z"]
    choice = ReaderChoice("a", 2, timer)
    first = choice.choose(agents)
    assert {ReaderChoice("a", 2, timer).choose(p) for p in itertools.permutations(agents)} == {
        first
    }
    choice.mark_failed(first, timer.now())
    second = choice.choose(agents)
    assert second not in (first, None)
    choice.mark_failed(second, timer.now())
    assert choice.choose(agents) is None
    timer.advance(FIRST_AVOID_S)
    assert choice.choose(agents) == first
    assert choice.mark_failed(first, timer.now() - 1) == 0
    assert choice.mark_failed(first, timer.now()) == 2 * FIRST_AVOID_S
    assert ReaderChoice("a", 0, timer).choose(agents) is None


def test_relayed_read_confirms_as_of_the_read_of_the_store():
    """Guards against keys that strict revocation trusts for longer since an agent read earlier."""
    timer = FakeTimer()
    settings = RevocationSettings(strict=True, max_age_ms=5000)
    confirmation = ConfigConfirmation(settings, EventLog("test", timer), timer)

    class AgedLog(WaitingTopics):
        async def read_newest(self, _topic):
            return KeyedPage(1, (), 1, age_s=2.0)

        async def read(self, _topic, _offset, *, wait_s=0.0):
            return KeyedPage(1, (), 1, age_s=2.0)

    log = ConfirmingLog(AgedLog(Topics()), confirmation, timer)
    for read in (log.read_newest(CRASHES), log.read(CRASHES, 1)):
        with pytest.raises(StopIteration):
            read.send(None)
        timer.advance(2.9)
        assert not confirmation.is_too_old
        timer.advance(0.2)
        assert confirmation.is_too_old
