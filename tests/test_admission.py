import math

import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from figwalk.coordination.admission import AdmissionQueue, AdmissionRequest, ServiceEstimate, Ticket
from figwalk.errors import CallOutcome, RefusalError
from figwalk.protocol.messages import Priority
from figwalk.timer import Timer


class QueueHarness:
    """An admission queue at an engine that prefills 100 tokens per second, and its callers."""

    def __init__(self, nursery, *, max_running=1, queue_limit=8):
        self.nursery = nursery
        self.queue = AdmissionQueue(Timer(), max_running=max_running, queue_limit=queue_limit)
        self.queue.estimate.set_engine_speeds(100, 100, 1)
        self.order = []
        self.refused = {}
        self.tickets = {}

    async def add(self, name, *, seconds=1.0, left=math.inf, **fields):
        """Request admission in another task; return once the call runs, waits or is refused."""
        deadline = trio.current_time() + left
        work = AdmissionRequest(deadline=deadline, prompt_tokens=round(seconds * 100), **fields)
        self.nursery.start_soon(self._admit, name, work)
        await wait_all_tasks_blocked()

    async def _admit(self, name, work):
        try:
            self.tickets[name] = await self.queue.admit(work)
        except RefusalError as error:
            self.refused[name] = (error, trio.current_time())
        else:
            self.order.append(name)

    async def run_all(self):
        """End each call as soon as it runs, and return the names in the order of the starts."""
        while self.tickets:
            self.queue.release(self.tickets.pop(next(iter(self.tickets))), complete=False)
            await wait_all_tasks_blocked()
        return self.order


def harness_test(**options):
    """Run an async test with a `QueueHarness` on a mock clock."""

    def decorate(function):
        async def main():
            async with trio.open_nursery() as nursery:
                await function(QueueHarness(nursery, **options))
                nursery.cancel_scope.cancel()

        def test():
            trio.run(main, clock=MockClock())

        test.__name__, test.__doc__ = function.__name__, function.__doc__
        return test

    return decorate


@harness_test()
async def test_priority_has_precedence_over_deadline(harness):
    """Guards against interactive calls that wait behind long jobs with an early deadline."""
    await harness.add("running")
    await harness.add("batch", left=100, priority=Priority.BATCH)
    await harness.add("late", left=300)
    await harness.add("early", left=200)
    await harness.add("chat", priority=Priority.INTERACTIVE)
    assert await harness.run_all() == ["running", "chat", "early", "late", "batch"]


@harness_test(queue_limit=20)
async def test_one_organisation_cannot_take_all_slots(harness):
    """Guards against starvation of an organisation by another with many early deadlines."""
    await harness.add("running")
    for index in range(6):
        await harness.add(f"big{index}", left=100, organisation="big")
    for index in range(2):
        await harness.add(f"small{index}", left=200, organisation="small")
    order = await harness.run_all()
    assert order.index("small0") < order.index("big5")


@harness_test(queue_limit=40)
async def test_shares_are_weighted(harness):
    """Guards against published organisation weights that have no effect."""
    harness.queue.set_shares({"heavy": 3.0})
    await harness.add("running")
    for index in range(12):
        await harness.add(f"heavy{index}", organisation="heavy", seconds=2.0)
        await harness.add(f"light{index}", organisation="light", seconds=2.0)
    first = (await harness.run_all())[1:13]
    assert sum(name.startswith("heavy") for name in first) >= 8


@harness_test(queue_limit=1)
async def test_full_queue_refuses_at_once_with_retry_time(harness):
    """Guards against unbounded waits, and against a Retry-After that ignores the queue."""
    await harness.add("running", seconds=2)
    await harness.add("waiting", seconds=3)
    await harness.add("third")
    error, _ = harness.refused["third"]
    assert (error.code, error.retry_after_ms) == ("overloaded", 5000)


@harness_test(queue_limit=1)
async def test_interactive_call_displaces_batch_call_in_full_queue(harness):
    """Guards against refusal of interactive calls because batch calls fill the queue."""
    await harness.add("running")
    await harness.add("batch", priority=Priority.BATCH)
    await harness.add("chat", priority=Priority.INTERACTIVE)
    assert harness.refused["batch"][0].code == "overloaded"
    assert await harness.run_all() == ["running", "chat"]


@harness_test()
async def test_call_that_cannot_finish_is_refused_at_once(harness):
    """Guards against calls that occupy a slot although their answer would be too late."""
    await harness.add("too long", seconds=5, left=4)
    await harness.add("running", seconds=10)
    await harness.add("behind", seconds=1, left=5)
    assert {name: error.code for name, (error, _) in harness.refused.items()} == {
        "too long": "deadline",
        "behind": "deadline",
    }
    assert harness.refused["behind"][0].retry_after_ms == 6000


@harness_test()
async def test_waiting_call_is_refused_when_its_deadline_can_no_longer_be_met(harness):
    """Guards against a refusal only shortly before the deadline, too late for a retry."""
    await harness.add("running", seconds=3)
    await harness.add("waiting", seconds=2, left=6)
    clock = trio.lowlevel.current_clock()
    clock.jump(3.9)
    await wait_all_tasks_blocked()
    assert not harness.refused
    clock.jump(0.2)
    await wait_all_tasks_blocked()
    assert harness.refused["waiting"][0].code == "deadline"
    assert harness.queue.queued == 0


@harness_test()
async def test_slower_engine_leads_to_refusal_of_waiting_call(harness):
    """Guards against predictions that use the engine speed from before a role change."""
    await harness.add("running", seconds=1)
    await harness.add("waiting", seconds=1, left=5)
    harness.queue.estimate.set_engine_speeds(10, 100, 1)
    harness.queue.refresh_predictions()
    await wait_all_tasks_blocked()
    assert harness.refused["waiting"][0].code == "deadline"


@harness_test()
async def test_closing_refuses_waiting_calls_and_keeps_running_ones(harness):
    """Guards against a planned stop that starts waiting calls or cuts running ones."""
    await harness.add("running")
    await harness.add("waiting")
    harness.queue.close("leaving")
    await wait_all_tasks_blocked()
    await harness.add("new")
    assert {name: error.code for name, (error, _) in harness.refused.items()} == {
        "waiting": "leaving",
        "new": "leaving",
    }
    assert harness.queue.running == 1


@harness_test()
async def test_cancelled_wait_frees_its_queue_entry(harness):
    """Guards against a queue entry or slot that is never freed after its caller has gone."""
    await harness.add("running")
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as harness.nursery:
            await harness.add("left")
            scope.cancel()
    assert harness.queue.queued == 0
    harness.queue.release(harness.tickets["running"])
    assert harness.queue.running == 0


@harness_test(max_running=4)
async def test_call_that_would_delay_running_ones_past_deadline_waits(harness):
    """Guards against a batch so large that every call in it misses its deadline."""
    harness.queue.estimate.set_engine_speeds(100, 100, 4)
    for name in "ab":
        await harness.add(name, seconds=0, max_tokens=100, left=2.7)
    await harness.add("c", seconds=0, max_tokens=100)
    assert harness.order == ["a", "b"]
    harness.queue.release(harness.tickets["a"], complete=False)
    await wait_all_tasks_blocked()
    assert harness.order == ["a", "b", "c"]


@harness_test(max_running=4)
async def test_interactive_call_starts_while_batch_calls_wait_for_batch_deadlines(harness):
    """Guards against slots that stay empty for batch deadlines while interactive calls wait."""
    harness.queue.estimate.set_engine_speeds(100, 100, 4)
    for name in "abc":
        await harness.add(name, seconds=0, max_tokens=100, left=2.7, priority=Priority.BATCH)
    assert harness.order == ["a", "b"]
    await harness.add("chat", seconds=0, max_tokens=100, priority=Priority.INTERACTIVE)
    assert harness.order == ["a", "b", "chat"]


def test_calls_cut_at_deadline_raise_the_estimate():
    """Guards against repeated admission of calls whose answers are too long for their deadline."""
    estimate = ServiceEstimate()
    estimate.set_engine_speeds(100, 100, 1)
    work = AdmissionRequest(max_tokens=100, deadline=5)
    estimate.learn(Ticket(work, 0, 0, 0, generated=20), 1, 1)
    before = estimate.service_s(work, 1)
    ticket = Ticket(work, before, 75, 0, generated=90)
    estimate.learn_cut_call(ticket, 1, 5)
    assert estimate.service_s(work, 1) > before


@harness_test()
async def test_stream_whose_first_token_would_be_late_is_refused_at_once(harness):
    """Guards against a call that waits for a slot until its first token is late."""
    await harness.add("running", seconds=3.0)
    due = trio.current_time() + 1.7
    await harness.add("chat", priority=Priority.INTERACTIVE, first_token_due=due)
    error, refused_at = harness.refused["chat"]
    assert refused_at == trio.current_time()
    assert error.outcome is CallOutcome.NOT_RUN
    assert error.retry_after_ms >= 1000


@harness_test()
async def test_waiting_stream_is_refused_when_first_token_can_no_longer_be_in_time(harness):
    """Guards against a slot given to a stream whose first token can only be late."""
    await harness.add("running", seconds=0.2)
    due = trio.current_time() + 1.7
    await harness.add("chat", seconds=0.1, priority=Priority.INTERACTIVE, first_token_due=due)
    trio.lowlevel.current_clock().jump(2)
    await wait_all_tasks_blocked(0.01)
    assert "chat" in harness.refused


@harness_test(max_running=2)
async def test_wait_excludes_prompts_that_the_engine_prefills_after_the_call(harness):
    """Guards against refusal of interactive calls because of long jobs of a lower priority."""
    await harness.add("long job", seconds=60.0)
    due = trio.current_time() + 1.7
    await harness.add("chat", seconds=0.1, priority=Priority.INTERACTIVE, first_token_due=due)
    assert harness.order == ["long job", "chat"]
