"""Tests of the lease of the duties as a state machine, under seeded interleavings."""

import heapq
import itertools
import random

import attrs
import pytest

from figwalk.coordination.compacted_log import AppendedRecords, KeyedPage, KeyedRecord
from figwalk.duties.lease import LEASE_KEY, DutyLease, LeaseStep
from figwalk.state.gateway_settings import LeaseSettings

DURATION_S = 3.0
SETTINGS = LeaseSettings(duration_ms=DURATION_S * 1000)


class Log:
    """A topic with an era that can go back to an older copy."""

    def __init__(self):
        self.era = 1
        self.records = []

    def append(self, end, key, value):
        """Append if the log ends there; return the result or None."""
        if len(self.records) != end:
            return None
        self.records.append((key, value))
        return AppendedRecords(end, end + 1, self.era)

    def page(self, start):
        """Return an answer to a read, or None if the offset is gone."""
        if start is not None and start > len(self.records):
            return None
        newest = {key: i for i, (key, _) in enumerate(self.records)}
        chosen = sorted(newest.values()) if start is None else range(start, len(self.records))
        records = tuple(KeyedRecord(i, *self.records[i]) for i in chosen)
        return KeyedPage(len(self.records), records, self.era)

    def restore(self, lost):
        """Come back from a copy that lacks the newest records."""
        self.era += 1
        del self.records[max(0, len(self.records) - lost) :]


@attrs.define
class Action:
    """A call with a fencing token that a holder made."""

    at: float
    holder: str
    fence: int


class World:
    """Processes with one log, driven by seeded events; each call may be lost or late.

    A frozen process takes no step; its clock goes on. Calls of a holder are made at any moment at
    which it believes that it holds the lease.
    """

    def __init__(self, seed, holders):
        self.rng = random.Random(seed)
        self.log = Log()
        self.now = 0.0
        self.queue = []
        self.sequence = itertools.count()
        self.actions = []
        self.frozen_until = {}
        self.leases = {}
        self.faults = True
        for name in holders:
            self.start(name)

    def start(self, name):
        """Start a process, in place of one that was killed."""
        lease = self.leases[name] = DutyLease(name, f"{name}@{self.now}", SETTINGS)
        self.after(self.rng.uniform(0, 1), self.step, name, lease)

    def after(self, delay_s, function, *args):
        """Call a function later."""
        entry = (self.now + delay_s, next(self.sequence), function, args)
        heapq.heappush(self.queue, entry)

    def run(self, until):
        """Let time pass."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.queue)
            function(*args)

    def resume(self, name, lease, function, *args):
        """Run the part of a process that follows an answer, once it is not frozen."""
        if self.leases[name] is not lease:
            return  # Killed meanwhile.
        wait_s = self.frozen_until.get(name, 0.0) - self.now
        if wait_s > 0:
            self.after(wait_s, self.resume, name, lease, function, *args)
        else:
            function(name, lease, *args)

    def step(self, name, lease):
        """Carry out what the lease plans."""
        if self.leases[name] is not lease:
            return
        if self.frozen_until.get(name, 0.0) > self.now:
            self.resume(name, lease, self.step)
            return
        fence = lease.fence(self.now)
        if fence is not None:
            self.actions.append(Action(self.now, name, fence))
        action = lease.plan(self.now, wanted=True, candidates=len(self.leases))
        if action.at > self.now:
            self.after(min(action.at - self.now, 0.3), self.step, name, lease)
            return
        sent_s, back_s = self.rng.expovariate(20), self.rng.expovariate(20)
        if self.faults and self.rng.random() < 0.1:
            sent_s += self.rng.uniform(0, 4)
        is_lost = self.faults and self.rng.random() < 0.1
        if action.step is LeaseStep.READ:
            start = lease.read_from
            self.after(sent_s, self.serve_read, name, lease, start, back_s, is_lost)
            return
        append = lease.make_append(action.step, self.now, int(self.now * 1000))
        self.after(sent_s, self.serve_append, name, lease, append, back_s, is_lost)
        if sent_s + back_s > 1:
            self.after(1, self.resume, name, lease, self.lose_append)

    def serve_read(self, name, lease, start, back_s, is_lost):
        """Answer a read at the log."""
        page = None if is_lost else self.log.page(start)
        self.after(back_s, self.resume, name, lease, self.take_page, page, is_lost)

    def take_page(self, name, lease, page, is_lost):
        """Apply an answer to a read."""
        if is_lost:
            lease.record_read_failed(self.now)
        elif page is None:
            lease.record_truncated()
        else:
            lease.apply_page(page, self.now, int(self.now * 1000))
        self.step(name, lease)

    def serve_append(self, name, lease, append, back_s, is_lost):
        """Carry out an append, also one that nobody waits for any more."""
        result = self.log.append(append.end, LEASE_KEY, append.record.encode())
        if self.now + back_s > append.sent_at + 1:
            return  # The process no longer waits for the answer.
        function = self.lose_append if is_lost else self.take_result
        args = () if is_lost else (append, result)
        self.after(back_s, self.resume, name, lease, function, *args)

    def lose_append(self, name, lease):
        """Handle that an append got no answer."""
        lease.record_unknown(self.now)
        self.step(name, lease)

    def take_result(self, name, lease, append, result):
        """Apply the answer to an append."""
        if result is None:
            lease.record_conflict(append)
        else:
            lease.record_appended(append, result, self.now)
        self.step(name, lease)

    def disturb(self):
        """Freeze or kill a process, or restore the log."""
        name = self.rng.choice(sorted(self.leases))
        kind = self.rng.choice(["freeze", "freeze", "kill", "restore", "foreign"])
        if kind == "freeze":
            self.frozen_until[name] = self.now + self.rng.uniform(0.5, 8)
        elif kind == "kill":
            self.start(name)
        elif kind == "restore":
            self.log.restore(self.rng.randrange(8))
        else:
            self.log.append(len(self.log.records), "usage/1", b"{}")
        self.after(self.rng.expovariate(0.3), self.disturb)


def check_actions(actions):
    """Check the rules of section 3 for the calls that holders made, in order of time."""
    for earlier, later in itertools.pairwise(actions):
        assert later.fence >= earlier.fence
        assert later.holder == earlier.holder or later.fence > earlier.fence
    last_other = {}
    for earlier, later in itertools.pairwise(actions):
        if earlier.holder != later.holder:
            left_at = last_other.get(later.holder)
            assert left_at is None or later.at - left_at >= DURATION_S
            last_other[earlier.holder] = earlier.at


@pytest.mark.parametrize("seed", range(150))
def test_no_two_holders_act_at_once_under_faults(seed):
    """Guards against equal, falling or alternating fencing tokens after any sequence of faults."""
    world = World(seed, ["a", "b", "c"][: 2 + seed % 2])
    world.after(4, world.disturb)
    world.run(120)
    check_actions(world.actions)
    assert len({action.fence for action in world.actions}) > 1


def test_a_killed_holder_is_replaced_within_two_leases():
    """Guards against candidates that check so rarely that reports become late."""
    for seed in range(20):
        world = World(seed, [f"g{i}" for i in range(21)])
        world.faults = False
        world.run(30)
        killed = world.actions[-1].holder
        del world.leases[killed]
        world.leases[killed] = None
        world.run(30 + 2 * DURATION_S)
        assert world.actions[-1].holder != killed


def test_reads_of_all_candidates_together_are_few():
    """Guards against candidates that each poll the store, which is priced."""
    world = World(1, [f"g{i}" for i in range(21)])
    world.faults = False
    world.run(20)
    reads = []
    serve_read = world.serve_read
    world.serve_read = lambda *args: (reads.append(1), serve_read(*args))
    end = len(world.log.records)
    world.run(80)
    assert len(reads) <= 60 * 3.0
    assert len(world.log.records) - end <= 61
