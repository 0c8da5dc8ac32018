import math

import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from figwalk.coordination.admission import AdmissionQueue, ServiceEstimate, Ticket, Work
from figwalk.errors import CallOutcome, RefusalError
from figwalk.protocol.messages import Priority
from figwalk.timer import Timer


class Bench:
    """A queue with one place for calls of a given prompt, at 100 prompt tokens a second."""

    def __init__(self, nursery, *, max_running=1, queue_limit=8):
        self.nursery = nursery
        self.queue = AdmissionQueue(Timer(), max_running=max_running, queue_limit=queue_limit)
        self.queue.estimate.set_engine_speeds(100, 100, 1)
        self.order = []
        self.refused = {}
        self.tickets = {}

    async def add(self, name, *, seconds=1.0, left=math.inf, **fields):
        """Ask for admission in a task of its own and let it decide or wait."""
        deadline = trio.current_time() + left
        work = Work(deadline=deadline, prompt_tokens=round(seconds * 100), **fields)
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
        """End each running call as soon as it runs, and return the order of the starts."""
        while self.tickets:
            self.queue.release(self.tickets.pop(next(iter(self.tickets))), complete=False)
            await wait_all_tasks_blocked()
        return self.order


def bench_test(**options):
    """Run an async test with a `Bench` on a mock clock."""

    def decorate(function):
        async def main():
            async with trio.open_nursery() as nursery:
                await function(Bench(nursery, **options))
                nursery.cancel_scope.cancel()

        def test():
            trio.run(main, clock=MockClock())

        test.__name__, test.__doc__ = function.__name__, function.__doc__
        return test

    return decorate


@bench_test()
async def test_priority_goes_before_deadline(bench):
    """Guards against chat that waits behind long jobs with an early deadline."""
    await bench.add("running")
    await bench.add("batch", left=100, priority=Priority.BATCH)
    await bench.add("late", left=300)
    await bench.add("early", left=200)
    await bench.add("chat", priority=Priority.INTERACTIVE)
    assert await bench.run_all() == ["running", "chat", "early", "late", "batch"]


@bench_test(queue_limit=20)
async def test_one_organisation_cannot_take_all_places(bench):
    """Guards against an organisation that starves others by many early deadlines."""
    await bench.add("running")
    for index in range(6):
        await bench.add(f"big{index}", left=100, organisation="big")
    for index in range(2):
        await bench.add(f"small{index}", left=200, organisation="small")
    order = await bench.run_all()
    assert order.index("small0") < order.index("big5")


@bench_test(queue_limit=40)
async def test_shares_are_weighted(bench):
    """Guards against published shares without effect."""
    bench.queue.set_shares({"heavy": 3.0})
    await bench.add("running")
    for index in range(12):
        await bench.add(f"heavy{index}", organisation="heavy", seconds=2.0)
        await bench.add(f"light{index}", organisation="light", seconds=2.0)
    first = (await bench.run_all())[1:13]
    assert sum(name.startswith("heavy") for name in first) >= 8


@bench_test(queue_limit=1)
async def test_full_queue_refuses_at_once_with_the_time_to_retry(bench):
    """Guards against unbounded waiting, and against a Retry-After unrelated to the queue."""
    await bench.add("running", seconds=2)
    await bench.add("waiting", seconds=3)
    await bench.add("third")
    error, _ = bench.refused["third"]
    assert (error.code, error.retry_after_ms) == ("overloaded", 5000)


@bench_test(queue_limit=1)
async def test_full_queue_of_batch_work_takes_chat(bench):
    """Guards against batch work that fills the queue and gets chat refused."""
    await bench.add("running")
    await bench.add("batch", priority=Priority.BATCH)
    await bench.add("chat", priority=Priority.INTERACTIVE)
    assert bench.refused["batch"][0].code == "overloaded"
    assert await bench.run_all() == ["running", "chat"]


@bench_test()
async def test_call_that_cannot_finish_is_refused_at_once(bench):
    """Guards against work that holds a place although its answer comes too late."""
    await bench.add("too long", seconds=5, left=4)
    await bench.add("running", seconds=10)
    await bench.add("behind", seconds=1, left=5)
    assert {name: error.code for name, (error, _) in bench.refused.items()} == {
        "too long": "deadline",
        "behind": "deadline",
    }
    assert bench.refused["behind"][0].retry_after_ms == 6000


@bench_test()
async def test_waiting_call_is_refused_when_its_deadline_can_no_longer_be_met(bench):
    """Guards against a refusal that comes only shortly before the deadline."""
    await bench.add("running", seconds=3)
    await bench.add("waiting", seconds=2, left=6)
    clock = trio.lowlevel.current_clock()
    clock.jump(3.9)
    await wait_all_tasks_blocked()
    assert not bench.refused
    clock.jump(0.2)
    await wait_all_tasks_blocked()
    assert bench.refused["waiting"][0].code == "deadline"
    assert bench.queue.queued == 0


@bench_test()
async def test_slower_engine_refuses_what_no_longer_fits(bench):
    """Guards against waiting calls judged by the speed before a role change."""
    await bench.add("running", seconds=1)
    await bench.add("waiting", seconds=1, left=5)
    bench.queue.estimate.set_engine_speeds(10, 100, 1)
    bench.queue.review()
    await wait_all_tasks_blocked()
    assert bench.refused["waiting"][0].code == "deadline"


@bench_test()
async def test_closing_refuses_what_waits_and_keeps_what_runs(bench):
    """Guards against a planned stop that starts waiting calls or ends running ones."""
    await bench.add("running")
    await bench.add("waiting")
    bench.queue.close("leaving")
    await wait_all_tasks_blocked()
    await bench.add("new")
    assert {name: error.code for name, (error, _) in bench.refused.items()} == {
        "waiting": "leaving",
        "new": "leaving",
    }
    assert bench.queue.running == 1


@bench_test()
async def test_cancelled_wait_leaves_no_trace(bench):
    """Guards against a place that is lost with a caller who left."""
    await bench.add("running")
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as bench.nursery:
            await bench.add("left")
            scope.cancel()
    assert bench.queue.queued == 0
    bench.queue.release(bench.tickets["running"])
    assert bench.queue.running == 0


@bench_test(max_running=4)
async def test_call_that_would_make_running_ones_late_waits(bench):
    """Guards against a full batch in which every call misses its deadline."""
    bench.queue.estimate.set_engine_speeds(100, 100, 4)
    for name in "ab":
        await bench.add(name, seconds=0, max_tokens=100, left=2.7)
    await bench.add("c", seconds=0, max_tokens=100)
    assert bench.order == ["a", "b"]
    bench.queue.release(bench.tickets["a"], complete=False)
    await wait_all_tasks_blocked()
    assert bench.order == ["a", "b", "c"]


@bench_test(max_running=4)
async def test_chat_does_not_wait_behind_work_held_back_for_batch_deadlines(bench):
    """Guards against a lower class whose deadlines keep places empty that chat could use."""
    bench.queue.estimate.set_engine_speeds(100, 100, 4)
    for name in "abc":
        await bench.add(name, seconds=0, max_tokens=100, left=2.7, priority=Priority.BATCH)
    assert bench.order == ["a", "b"]
    await bench.add("chat", seconds=0, max_tokens=100, priority=Priority.INTERACTIVE)
    assert bench.order == ["a", "b", "chat"]


def test_cut_calls_raise_the_estimate():
    """Guards against admitting the same too long answers again and again."""
    estimate = ServiceEstimate()
    estimate.set_engine_speeds(100, 100, 1)
    work = Work(max_tokens=100, deadline=5)
    estimate.learn(Ticket(work, 0, 0, 0, generated=20), 1, 1)
    before = estimate.service_s(work, 1)
    ticket = Ticket(work, before, 75, 0, generated=90)
    estimate.learn_late(ticket, 1, 5)
    assert estimate.service_s(work, 1) > before


@bench_test()
async def test_stream_whose_first_token_would_be_late_is_refused_at_once(bench):
    """Guards against chat that waits for a place until its first token is late."""
    await bench.add("running", seconds=3.0)
    due = trio.current_time() + 1.7
    await bench.add("chat", priority=Priority.INTERACTIVE, first_token_due=due)
    error, refused_at = bench.refused["chat"]
    assert refused_at == trio.current_time()
    assert error.outcome is CallOutcome.NOT_RUN
    assert error.retry_after_ms >= 1000


@bench_test()
async def test_waiting_stream_is_refused_when_its_first_token_can_no_longer_be_in_time(bench):
    """Guards against a place that is given to a stream that can only be late."""
    await bench.add("running", seconds=0.2)
    due = trio.current_time() + 1.7
    await bench.add("chat", seconds=0.1, priority=Priority.INTERACTIVE, first_token_due=due)
    trio.lowlevel.current_clock().jump(2)
    await wait_all_tasks_blocked(0.01)
    assert "chat" in bench.refused


@bench_test(max_running=2)
async def test_chat_does_not_count_prompts_that_the_engine_processes_after_its_own(bench):
    """Guards against chat that is refused because of long jobs of a lower priority."""
    await bench.add("long job", seconds=60.0)
    due = trio.current_time() + 1.7
    await bench.add("chat", seconds=0.1, priority=Priority.INTERACTIVE, first_token_due=due)
    assert bench.order == ["long job", "chat"]
