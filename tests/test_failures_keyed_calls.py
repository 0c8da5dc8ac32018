"""Keyed calls with real processes: at most one run, correct outcomes (invariants 5 and 6)."""

import base64

import attrs
import pytest
import trio

from figwalk.errors import HttpError
from figwalk.protocol.records import CLAIMS_STREAM, decode_record
from tests.support.forwarder import Direction
from tests.support.small_fleet import ORDER_TARGET, Answer, run_fleet_test, until

OTHER_ORDER = b'{"item": "water-calcium", "quantity": 4}'


async def read_claims(fleet):
    """Return the record batches of the claims stream."""
    page = await fleet.fetch(fleet.log, f"/streams/{CLAIMS_STREAM}/records?from=0")
    return [decode_record(base64.b64decode(record["data"])) for record in page["records"]]


async def has_claim(fleet, key):
    """Return whether the log has a claim of a key."""
    return any(c.key == key for batch in await read_claims(fleet) for c in batch.claims)


async def has_outcome(fleet):
    """Return whether the log has the outcome of a call."""
    return any(batch.outcomes for batch in await read_claims(fleet))


@attrs.define
class PendingOrder:
    """An order that the entry may not answer.

    Attributes:
        key: Idempotency key.
        answer: The answer, or None if the connection to the entry was lost.
        ended: Set once the order was answered or failed.
    """

    key: str
    answer: Answer | None = None
    ended: trio.Event = attrs.field(factory=trio.Event)

    async def place(self, caller):
        """Send the order."""
        try:
            self.answer = await caller.order(self.key)
        except HttpError:
            self.answer = None
        self.ended.set()


def check_unknown(answer, attempt):
    """Assert that a refusal reports an unknown outcome of the key and `attempt` for the request."""
    assert answer.status == 503, answer.body
    assert answer.error["outcome"] == "outcome_unknown", answer.body
    assert answer.error["attempt"] == attempt, answer.body
    assert int(answer.response.header(b"retry-after")) > 0


def test_copies_of_a_key_through_two_entries_run_once(tmp_path):
    """Guards against a second run of concurrent requests with one key, or of a reused key."""

    async def test(fleet):
        await fleet.start(entries=2, services=2)
        answers = []

        async def order(entry, key):
            answers.append(await fleet.caller(entry).order(key))

        for number in range(5):
            answers.clear()
            async with trio.open_nursery() as nursery:
                for entry in ("entry-1", "entry-2", "entry-1", "entry-2"):
                    nursery.start_soon(order, entry, f"key-{number}")
            assert {answer.status for answer in answers} == {201}
            assert len({answer.body for answer in answers}) == 1
            assert sum(not answer.replayed for answer in answers) == 1
            assert await fleet.count_runs(f"key-{number}") == 1
        for entry in fleet.entries:
            reused = await fleet.caller(entry).order("key-0", OTHER_ORDER)
            assert (reused.status, reused.error["code"]) == (422, "key_reused")
        missing = await fleet.caller().call("POST", ORDER_TARGET, OTHER_ORDER)
        assert missing.status == 400
        assert await fleet.count_runs("key-0") == 1

    run_fleet_test(tmp_path, test)


@pytest.mark.parametrize("fault", ["killed", "paused"])
def test_delayed_call_does_not_run_after_its_retry(tmp_path, fault):
    """Guards against a second run after the first entry fails between claim and delivery.

    That entry is killed or paused while its call is delayed on the way to the agent. A retry
    through the other entry runs the order, and the delayed call arrives only after that.
    """

    async def test(fleet):
        await fleet.start(entries=1, services=1)
        async with trio.open_nursery() as nursery:
            forwarder = await fleet.start_forwarded_entry("entry-2", "depot-1", nursery)
            # Opens the call connection that the delayed call uses later.
            assert (await fleet.caller("entry-2").order("before")).status == 201
            forwarder.hold(Direction.TO_SERVER)
            received = forwarder.link(Direction.TO_SERVER).received_bytes
            first = PendingOrder("delayed")
            nursery.start_soon(first.place, fleet.caller("entry-2"))
            await forwarder.wait_received(Direction.TO_SERVER, received + 1)
            await until(lambda: has_claim(fleet, "delayed"))
            if fault == "killed":
                fleet.entries["entry-2"].kill()
            else:
                fleet.entries["entry-2"].pause()
            retry = await fleet.caller().order("delayed")
            assert (retry.status, retry.replayed) == (201, False), retry.body
            forwarder.forward()
            if fault == "paused":
                # The entry's connections are still open, and it still waits for its call's answer.
                await forwarder.wait_forwarded(Direction.TO_SERVER, received + 1)
                fleet.entries["entry-2"].resume()
            await first.ended.wait()
            if fault == "paused":
                assert (first.answer.status, first.answer.body) == (201, retry.body)
            else:
                assert first.answer is None
            assert (await fleet.caller().order("delayed")).body == retry.body
            assert await fleet.count_runs("delayed") == 1
            nursery.cancel_scope.cancel()

    run_fleet_test(tmp_path, test)


def test_call_of_an_entry_killed_after_the_send_is_answered_by_the_other(tmp_path):
    """Guards against a second run, or a wrong answer, of a call whose entry was killed."""

    async def test(fleet):
        await fleet.start(entries=2, services=2)
        await fleet.hold_runs(hold=True)
        async with trio.open_nursery() as nursery:
            first = PendingOrder("key")
            nursery.start_soon(first.place, fleet.caller("entry-1"))
            await wait_running(fleet, "entry-2")
            fleet.entries["entry-1"].kill()
        assert first.answer is None
        early = await fleet.caller("entry-2").order("key", deadline_ms=500)
        assert (early.status, early.error["code"]) == (409, "in_progress"), early.body
        assert early.error["attempt"] == "not_run", early.body
        await fleet.hold_runs(hold=False)
        retry = await fleet.caller("entry-2").order("key")
        assert (retry.status, retry.replayed) == (201, True), retry.body
        assert await fleet.count_runs("key") == 1

    run_fleet_test(tmp_path, test)


def test_call_of_an_agent_killed_after_the_send_is_unknown_for_ever(tmp_path):
    """Guards against a second run, or a false `not_run`, of a call whose agent was killed."""

    async def test(fleet):
        await fleet.start(services=2)
        await fleet.hold_runs(hold=True)
        answers = []

        async def order():
            answers.append(await fleet.caller().order("key"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(order)
            victim = await wait_running(fleet, "entry-1")
            fleet.agents[victim].kill()
        check_unknown(answers[0], "outcome_unknown")
        check_unknown(await fleet.caller().order("key"), "not_run")
        await fleet.agents[victim].wait()
        await fleet.restart_agent(victim)
        await until(lambda: serves_again(fleet, victim))
        check_unknown(await fleet.caller().order("key"), "not_run")
        await fleet.hold_runs(hold=False)
        await until(lambda: fleet.count_runs("key"))
        check_unknown(await fleet.caller().order("key"), "not_run")
        assert await fleet.count_runs("key") == 1

    run_fleet_test(tmp_path, test)


def test_call_that_still_runs_is_not_called_not_run(tmp_path):
    """Guards against a false `not_run` for a call whose connection was lost while it ran."""

    async def test(fleet):
        await fleet.start(services=1)
        await fleet.hold_runs(hold=True)
        answers = []

        async def order():
            answers.append(await fleet.caller("entry-2").order("key", deadline_ms=500))

        async with trio.open_nursery() as nursery:
            forwarder = await fleet.start_forwarded_entry("entry-2", "depot-1", nursery)
            async with trio.open_nursery() as calls:
                calls.start_soon(order)
                await wait_running(fleet, "entry-2")
                forwarder.cut_newest()
            assert answers[0].status in {409, 503}, answers[0].body
            assert answers[0].error["attempt"] == "outcome_unknown", answers[0].body
            assert answers[0].error["outcome"] == "outcome_unknown", answers[0].body
            await fleet.hold_runs(hold=False)
            retry = await until_answered(fleet, "entry-1", "key")
            assert retry.replayed
            assert await fleet.count_runs("key") == 1
            nursery.cancel_scope.cancel()

    run_fleet_test(tmp_path, test)


@pytest.mark.parametrize("answers", [1, -1])
def test_lost_answers_of_the_log_run_no_call_twice(tmp_path, answers):
    """Guards against a claim that is written twice, or abandoned, when the log's answer is lost."""

    async def test(fleet):
        await fleet.start(entries=2, services=2)
        await fleet.set_faults(fleet.log, lose_answers=answers)
        first = await fleet.caller("entry-1").order("key")
        assert first.status == 201, first.body
        second = await until_answered(fleet, "entry-2", "key")
        assert (second.body, second.replayed) == (first.body, True)
        assert await fleet.count_runs("key") == 1

    run_fleet_test(tmp_path, test)


def test_without_the_log_known_outcomes_are_replayed_and_others_refused(tmp_path):
    """Guards against keyed calls that run without a claim, or wait for the log to return."""

    async def test(fleet):
        await fleet.start(services=1)
        known = await fleet.caller().order("known")
        assert known.status == 201
        await until(lambda: has_outcome(fleet))
        await fleet.set_faults(fleet.log, outage=True)
        await fleet.wait_status("entry-1", lambda status: not status.log_available)
        replay = await fleet.caller().order("known")
        assert (replay.status, replay.body, replay.replayed) == (201, known.body, True)
        assert (await fleet.caller().order("known", OTHER_ORDER)).status == 422
        check_unknown(await fleet.caller().order("new"), "not_run")
        assert await fleet.count_runs("new") == 0
        await fleet.set_faults(fleet.log, outage=False)
        answer = await until_answered(fleet, "entry-1", "new")
        assert not answer.replayed
        assert await fleet.count_runs("new") == 1

    run_fleet_test(tmp_path, test)


def test_refusal_that_says_not_run_is_true(tmp_path):
    """Guards against a key reported as `not_run` or unknown when the log proves otherwise."""

    async def test(fleet):
        await fleet.start(services=1)
        await fleet.publish({"withdrawn/depot-1": {}})
        await fleet.wait_backend("depot-1", lambda view: view.state == "withdrawn")
        refused = await fleet.caller().order("key")
        assert refused.status == 503, refused.body
        assert (refused.error["outcome"], refused.error["attempt"]) == ("not_run", "not_run")
        assert await fleet.count_runs("key") == 0
        await fleet.publish({"withdrawn/depot-1": None})
        assert not (await until_answered(fleet, "entry-1", "key")).replayed
        # The service runs the call and its answer is lost, so that the outcome is unknown.
        await fleet.set_faults(fleet.backends["depot-1"], lose_answers=1)
        check_unknown(await fleet.caller().order("lost"), "outcome_unknown")
        check_unknown(await fleet.caller().order("lost"), "not_run")
        assert await fleet.count_runs("lost") == 1

    run_fleet_test(tmp_path, test)


async def wait_running(fleet, entry):
    """Wait until a backend server is running a call, and return its name."""
    status = await fleet.wait_status(entry, lambda s: any(b.running for b in s.backends))
    return next(b.name for b in status.backends if b.running)


async def serves_again(fleet, backend):
    """Return whether an entry has a recent load report of a restarted agent that is serving."""
    status = await fleet.status()
    view = next(b for b in status.backends if b.name == backend)
    return view.state == "serving" and view.report_age_ms < 1000


async def until_answered(fleet, entry, key):
    """Retry an order until it is answered with 201, as a caller does after `Retry-After`."""

    async def check():
        answer = await fleet.caller(entry).order(key)
        return answer if answer.status == 201 else None

    return await until(check)
