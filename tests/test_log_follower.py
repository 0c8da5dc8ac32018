import pytest
import trio

from figwalk.coordination.log_follower import LogFollower
from figwalk.errors import LogUnavailableError
from figwalk.events import EventLog
from tests.support.fake_log import FakeLog, FakeTimer
from tests.support.mock_time import mock_time


class Reader:
    """A follower that records the offsets of the records it applied."""

    def __init__(self, log):
        self.applied, self.gaps, timer = [], [], FakeTimer()
        self.events = EventLog("p", timer)
        self.follower = LogFollower(
            log,
            "s",
            lambda record: self.applied.append(record.offset),
            self.events,
            timer,
            on_truncated=self.gaps.append,
        )


def make_log(count):
    log = FakeLog()
    for index in range(count):
        log.write("s", f"r{index}")
    return log


@mock_time
async def test_every_record_is_applied_once_by_concurrent_reads():
    log = make_log(1200)
    reader = Reader(log)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reader.follower.run)
        for _ in range(5):
            nursery.start_soon(reader.follower.read_to_head)
        await reader.follower.wait_for(1199)
        log.write("s", "x")
        await reader.follower.wait_for(1200)
        nursery.cancel_scope.cancel()
    assert reader.applied == list(range(1201))


@mock_time
async def test_read_to_head_does_not_share_a_read_that_started_before():
    """Guards against an order that is confirmed by a read that began before the request."""
    log, reads = make_log(0), []
    reader, original = Reader(log), log.read

    async def read_slowly(*args, **kwargs):
        reads.append(trio.current_time())
        page = await original(*args, **kwargs)
        await trio.sleep(1)
        return page

    log.read = read_slowly
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reader.follower.read_to_head)
        await trio.sleep(0.5)
        log.write("s", "x")
        for _ in range(3):
            nursery.start_soon(reader.follower.read_to_head)
        await reader.follower.read_to_head()
        assert reader.applied == [0]
    assert len(reads) == 2, "concurrent calls share one read"


@mock_time
async def test_follower_resumes_after_an_outage_and_records_it_once():
    log = make_log(1)
    reader = Reader(log)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reader.follower.run)
        await reader.follower.wait_for(0)
        log.down = True
        await trio.sleep(60)
        assert not reader.follower.available
        with pytest.raises(LogUnavailableError):
            await reader.follower.read_to_head()
        log.down = False
        log.write("s", "x")
        await reader.follower.wait_changed()
        assert reader.applied == [0, 1]
        assert reader.follower.available
        nursery.cancel_scope.cancel()
    names = [record.name for record in reader.events.select()]
    assert names == ["LOG_AVAILABLE", "LOG_UNAVAILABLE", "LOG_AVAILABLE"]


@pytest.mark.parametrize("oldest", [7, 10])
@mock_time
async def test_follower_of_truncated_log_starts_at_the_oldest_record(oldest):
    log = make_log(10)
    log.drop_before("s", oldest)
    reader = Reader(log)
    await reader.follower.read_to_head()
    assert (reader.applied, reader.gaps) == (list(range(oldest, 10)), [oldest])
    assert reader.follower.offset == 10
