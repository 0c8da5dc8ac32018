"""Tests of the notices that backend servers send in their answers."""

import attrs
import pytest
from support.fake_timer import FakeTimer
from support.platform_fakes import answering, refusing, render, run_test, running_fleet

from figwalk.events import EventLog
from figwalk.platform import PlatformBackendCodec
from figwalk.state.backend_directory import BackendDirectory, BackendEntry
from figwalk.state.backend_notices import MAX_CLOSED_S, NOTICE_RETENTION_S
from figwalk.state.settings import Address
from standins.platform_config import make_config

ENTRY = BackendEntry("b1", "orders", Address("10.0.0.1", 80), "a", 6, False, 1000, 5)
NEXT_INSTANCE = attrs.evolve(ENTRY, born_ms=2000, sequence=1)


@pytest.fixture
def timer():
    return FakeTimer()


@pytest.fixture
def directory(timer):
    directory = BackendDirectory(EventLog("test", timer), timer)
    directory.apply(ENTRY)
    return directory


def names(directory):
    return [entry.backend for entry in directory.of_service("orders")]


def test_backend_that_announces_that_it_leaves_gets_no_new_work(directory):
    """Guards against calls to a leaving backend server before the store's list shows it."""
    directory.mark_leaving(ENTRY)
    assert names(directory) == []


def test_later_registration_of_the_same_instance_does_not_undo_leaving(directory, timer):
    """Guards against a delayed registration that puts a leaving backend server into use again."""
    directory.mark_leaving(ENTRY)
    directory.apply(attrs.evolve(ENTRY, sequence=6))
    assert names(directory) == []
    directory.set_store_available(available=True)
    directory.remove("b1")
    timer.advance(NOTICE_RETENTION_S / 2)
    directory.expire()
    directory.apply(attrs.evolve(ENTRY, sequence=7))
    assert names(directory) == []


def test_next_instance_with_the_same_id_starts_without_notices(directory):
    """Guards against a restarted backend server that stays out of use."""
    directory.mark_leaving(ENTRY)
    directory.mark_closed(ENTRY, 5.0)
    directory.apply(NEXT_INSTANCE)
    assert names(directory) == ["b1"]
    assert directory.opens_in_s(NEXT_INSTANCE) == 0


def test_late_answer_of_an_earlier_instance_does_not_affect_the_next_one(directory):
    """Guards against an old answer that takes a restarted backend server out of use."""
    directory.apply(NEXT_INSTANCE)
    directory.mark_leaving(NEXT_INSTANCE)
    directory.mark_leaving(ENTRY)
    directory.mark_closed(ENTRY, 5.0)
    assert directory.opens_in_s(NEXT_INSTANCE) == 0
    assert names(directory) == []


def test_closed_backend_opens_when_its_time_is_over(directory, timer):
    """Guards against a backend server that is called too early, or stays out of use."""
    directory.mark_closed(ENTRY, 2.0)
    directory.mark_closed(ENTRY, 0.5)
    timer.advance(1.9)
    assert directory.opens_in_s(ENTRY) == pytest.approx(0.1)
    timer.advance(0.2)
    assert directory.opens_in_s(ENTRY) == 0


def test_closed_time_is_limited(directory, timer):
    """Guards against a wrong value that takes a backend server out of use for good."""
    directory.mark_closed(ENTRY, 1e9)
    assert directory.opens_in_s(ENTRY) == MAX_CLOSED_S


def test_long_closed_time_is_kept(directory, timer):
    """Guards against calls to a backend server that asked for none for longer than a minute.

    Its registration may lapse and be renewed meanwhile.
    """
    directory.mark_closed(ENTRY, 3600.0)
    timer.advance(600.0)
    assert directory.opens_in_s(ENTRY) == pytest.approx(3000.0)
    directory.set_store_available(available=True)
    directory.remove("b1")
    timer.advance(600.0)
    directory.expire()
    directory.apply(attrs.evolve(ENTRY, sequence=6))
    assert directory.opens_in_s(ENTRY) == pytest.approx(2400.0)


def test_notices_of_removed_backends_expire(directory, timer):
    """Guards against memory that grows with each backend server that ever left."""
    directory.mark_leaving(ENTRY)
    directory.set_store_available(available=True)
    directory.remove("b1")
    timer.advance(NOTICE_RETENTION_S + 1)
    directory.expire()
    assert not directory._notices._notices


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        (b"2", 2.0),
        (b"0.25", 0.25),
        (b" 1 ", 1.0),
        (b"0", 0.0),
        (b"-1", 0.0),
        (b"nan", 0.0),
        (b"inf", 0.0),
        (b"1e3", 0.0),
        (b"", 0.0),
        (b"1,5", 0.0),
        (b"\xb2", 0.0),
        (b"9" * 400, 0.0),
        (b"999999999999", 999999999999.0),
        (b"Fri, 04 Dec 2026 09:00:00 GMT", 0.0),
    ],
)
def test_retry_after_values(text, seconds):
    """Guards against an invalid value that raises an error, or closes a backend server."""
    facts = PlatformBackendCodec().decode_answer(503, [(b"retry-after", text)])
    assert facts.closed_s == seconds


@pytest.mark.parametrize("status", [200, 429, 421, 502])
def test_only_a_503_closes_a_backend(status):
    """Guards against a backend server closed by a header that means something else."""
    facts = PlatformBackendCodec().decode_answer(status, [(b"retry-after", b"3")])
    assert facts.closed_s == 0


def test_notice_of_another_backend_at_the_address_is_ignored():
    """Guards against a successor's notice applied to the backend server that was called."""
    headers = [(b"server-leaving", b"1"), (b"server-load", b"1,0,6")]
    facts = PlatformBackendCodec().decode_answer(421, headers)
    assert (facts.leaving, facts.load) == (False, None)


def run_with_orders(test, *scripts):
    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            backends = [await fleet.add_backend(f"b{i}", s) for i, s in enumerate(scripts)]
            await fleet.start_gateway()
            await test(fleet, *backends)

    run_test(main)


def test_call_after_an_answer_with_leaving_goes_elsewhere():
    """Guards against a request sent to a backend server after it announced that it leaves."""

    async def test(fleet, leaving, staying):
        for i in range(12):
            status, _, _ = await fleet.call("/check/x", call_id=f"c{i}")
            assert status == 200
        assert len(leaving.requests) <= 1
        assert len(staying.requests) >= 11

    run_with_orders(test, answering(Server_Leaving=1), answering())


def closing(seconds):
    """Return a script that answers 503, call not executed, with a Retry-After time."""

    async def script(_backend, stream, request):
        headers = {"Not_Executed": 1, "Retry_After": seconds}
        await stream.send_all(render(request, b"", status=503, signed=False, **headers))
        return True

    return script


def test_closed_backend_gets_no_calls_and_callers_get_its_retry_after():
    """Guards against calls to a backend server that asked for none with Retry-After."""

    async def test(fleet, backend):
        for i in range(4):
            status, headers, _ = await fleet.call("/order/x", method="POST", call_id=f"c{i}")
            assert status == 503
            assert 0 < float(headers["retry-after"]) <= 7
        assert float(headers["retry-after"]) > 5
        assert len(backend.requests) == 1

    run_with_orders(test, closing(7))


def test_calls_continue_at_a_backend_that_is_open():
    """Guards against a service refused because one of its backend servers is closed."""

    async def test(fleet, closed, _open):
        answers = [await fleet.call("/check/x", call_id=f"c{i}") for i in range(8)]
        assert {status for status, _, _ in answers} == {200}
        assert len(closed.requests) <= 1

    run_with_orders(test, closing(7), answering())


def test_refusal_without_a_time_does_not_close_a_backend():
    """Guards against a backend server closed because it was full for a moment."""

    async def test(fleet, backend):
        for i in range(3):
            await fleet.call("/order/x", method="POST", call_id=f"c{i}")
        assert len(backend.requests) == 3

    run_with_orders(test, refusing)


@pytest.mark.parametrize(
    ("text", "limit"),
    [
        ("8", 8.0),
        (" 7.5 ", 7.5),
        ("0", 0.0),
        ("", None),
        ("-1", None),
        ("nan", None),
        ("1e3", None),
    ],
)
def test_request_limits_in_answers(text, limit):
    """Guards against a limit that is missed, or taken from a header that means something else."""
    headers = [(b"server-limit", text.encode())]
    assert PlatformBackendCodec().decode_answer(200, headers).requests_per_s == limit
    assert PlatformBackendCodec().decode_answer(421, headers).requests_per_s is None


def limits(directory, *answers):
    """Apply answers, given as limit and time of sending; return the limits that are logged."""
    logged = []
    directory._events.record = lambda _event, **fields: logged.append(fields["requests_per_s"])
    for limit, sent_at in answers:
        directory.mark_limit(ENTRY, limit, sent_at)
    return logged


def test_answer_to_a_call_sent_before_a_limit_was_named_does_not_lift_it(directory, timer):
    """Guards against a limit that is lost because an earlier answer arrives after it."""
    named_at = timer.now()
    assert limits(directory, (None, named_at - 1), (8.0, named_at - 1), (None, named_at - 0.5)) == [
        8.0
    ]
    timer.advance(1.0)
    assert limits(directory, (7.0, named_at)) == [7.0]
    assert limits(directory, (None, named_at + 0.9), (None, named_at + 1.5)) == [None]
