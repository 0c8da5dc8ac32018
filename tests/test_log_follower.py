import trio

from figwalk.coordination.log_follower import LogFollower
from figwalk.errors import LogUnavailableError
from figwalk.events import Event, EventLog
from figwalk.timer import Timer
from tests.support.fake_log import FakeLog
from tests.support.mock_time import mock_time


def make_follower(log):
    applied, gaps, timer = [], [], Timer()
    events = EventLog("p", timer)
    follower = LogFollower(
        log,
        "s",
        lambda record: applied.append(record.offset),
        events,
        timer,
        on_truncated=gaps.append,
    )
    return follower, applied, gaps, events


def fill(log, count):
    for index in range(count):
        log.write("s", f"r{index}", b"")


@mock_time
async def test_every_record_is_applied_once_by_concurrent_reads():
    log = FakeLog()
    fill(log, 1200)
    follower, applied, _, _ = make_follower(log)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        for _ in range(5):
            nursery.start_soon(follower.read_to_head)
        await follower.wait_for(1199)
        log.write("s", "x", b"")
        await follower.wait_for(1200)
        nursery.cancel_scope.cancel()
    assert applied == list(range(1201))


@mock_time
async def test_read_to_head_does_not_share_a_read_that_started_before():
    """Guards against an order confirmed by a read that is older than the question."""
    log = FakeLog()
    follower, applied, _, _ = make_follower(log)
    reads = 0
    original = log.read

    async def read_slowly(*args, **kwargs):
        nonlocal reads
        reads += 1
        page = await original(*args, **kwargs)
        await trio.sleep(1)
        return page

    log.read = read_slowly
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.read_to_head)
        await trio.sleep(0.5)
        fill(log, 1)
        for _ in range(3):
            nursery.start_soon(follower.read_to_head)
        await follower.read_to_head()
        assert applied == [0]
    assert reads == 2, "calls that wait together share one read"


@mock_time
async def test_follower_resumes_after_an_outage_and_reports_it_once():
    log = FakeLog()
    fill(log, 1)
    follower, applied, _, events = make_follower(log)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await follower.wait_for(0)
        assert follower.available
        log.down = True
        await trio.sleep(60)
        assert not follower.available
        try:
            await follower.read_to_head()
            raise AssertionError("a read while the log is down must fail")
        except LogUnavailableError:
            pass
        log.down = False
        fill(log, 1)
        await follower.wait_changed()
        assert applied == [0, 1]
        assert follower.available
        nursery.cancel_scope.cancel()
    names = [record.name for record in events.select()]
    assert names == [e.name for e in (Event.LOG_AVAILABLE, Event.LOG_UNAVAILABLE)] + [
        Event.LOG_AVAILABLE.name
    ]


@mock_time
async def test_reader_behind_retention_starts_at_the_oldest_record():
    log = FakeLog()
    fill(log, 10)
    log.drop_before("s", 7)
    follower, applied, gaps, _ = make_follower(log)
    await follower.read_to_head()
    assert (applied, gaps, follower.offset) == ([7, 8, 9], [7], 10)
    log.drop_before("s", 10)
    late, applied, gaps, _ = make_follower(log)
    await late.read_to_head()
    assert (applied, gaps, late.offset) == ([], [10], 10)
