"""A deterministic queue model of backend servers, called by several copies of a decision."""

import heapq
import itertools
import random

import attrs

from figwalk.coordination.backend_tracker import AttemptOutcome, BackendTracker, ReportedLoad
from figwalk.coordination.plain_placement import Distance, PlainPlacement
from figwalk.events import EventLog
from figwalk.pacing.service_pacing import ServicePacing
from figwalk.state.backend_directory import BackendEntry
from figwalk.state.settings import Address
from support.fake_timer import FakeTimer

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}


@attrs.define
class Load:
    """What reaches the servers: calls per second, seconds, and slots of each server.

    The functions take the name of a server and the time: how long work takes there as a multiple of
    the usual, what it reports about that, and whether it fails a call at once.
    """

    rate: float
    work_s: float
    target_s: float
    seconds: float
    begins: float = 0.0
    slots: int = 6
    slowdown: object = lambda _server, _now: 1.0
    reported: object = lambda _server, _now: 1.0
    fails: object = lambda _server, _now: False


class Cell:
    """Gateways, each with its own trackers and placement, before the same servers."""

    def __init__(self, load, gateways, servers, *, seed=1):
        self.load = load
        self.rng = random.Random(seed)
        self.timer = FakeTimer(0.0)
        self.events = EventLog("test", self.timer)
        self.gateways = []
        self.running, self.waiting = {}, {}
        # Server, time sent, seconds, and whether it succeeded, of each ended call.
        self.done = []
        self._agenda, self._order = [], itertools.count()
        for _, zone in zip(range(gateways), itertools.cycle(ZONES), strict=False):
            distance, rng = Distance(zone, ZONES[zone], ZONES), random.Random(self.rng.random())
            pacing = ServicePacing.create(self.events, self.timer, rng)
            self.gateways.append((distance, self._make_placement(distance, rng), pacing, {}))
        for number, zone in zip(range(servers), itertools.cycle(ZONES), strict=False):
            self.add(f"s{number}", zone)

    def add(self, name, zone):
        """Add a server, of which all gateways learn now."""
        self.running[name], self.waiting[name] = 0, []
        entry = BackendEntry(name, "x", Address("h", 1), zone, self.load.slots, False, 1, 1)
        for distance, _, pacing, trackers in self.gateways:
            pacing.add(name)
            options = {"pacing": pacing, "network_s": distance.round_trip_s(zone)}
            trackers[name] = self._make_tracker(entry, **options)

    def disable(self, *, speeds=False, limits=False):
        """Let gateways decide without speeds, or without limits for new servers."""
        for _, _, pacing, _ in self.gateways:
            if speeds:
                pacing.speeds.factor = lambda _: 1.0
            if limits:
                pacing.limiter.allows = lambda *_: True

    def at(self, when, action, *args):
        """Run an action at a time."""
        heapq.heappush(self._agenda, (when, next(self._order), action, args))

    def run(self):
        """Play the load to its end and return this cell."""
        when = self.load.begins
        while (when := when + self.rng.expovariate(self.load.rate)) < self.load.seconds:
            self.at(when, self._send, self.rng.choice(self.gateways))
        while self._agenda:
            self.timer.time, _, action, args = heapq.heappop(self._agenda)
            action(*args)
        return self

    def count_late(self, server=None, since=0.0):
        """Return how many calls, at one server or all, failed or were late."""
        return sum(
            not (ok and took_s <= self.load.target_s)
            for name, sent_at, took_s, ok in self.done
            if sent_at >= since and server in (None, name)
        )

    def _make_placement(self, distance, rng):
        return PlainPlacement(distance, rng)

    def _make_tracker(self, entry, **options):
        return BackendTracker(entry, self.timer, self.events, **options)

    def _choose(self, placement, trackers):
        return placement.choose(trackers), None

    def _record(self, tracker, plan, took_s):
        pass

    def _send(self, gateway):
        _, placement, _, trackers = gateway
        tracker, plan = self._choose(placement, list(trackers.values()))
        call = (object(), tracker, plan, self.timer.time)
        tracker.start(call)
        tracker.record_sent(call, "x")
        self.at(self.timer.time + tracker.network_s / 2, self._arrive, call)

    def _arrive(self, call):
        name = call[1].entry.backend
        if self.load.fails(name, self.timer.time):
            self._answer(name, call, False)
        elif self.running[name] < self.load.slots:
            self._begin(name, call)
        else:
            self.waiting[name].append(call)

    def _begin(self, name, call):
        self.running[name] += 1
        seconds = self.load.work_s * self.load.slowdown(name, self.timer.time)
        self.at(self.timer.time + seconds, self._end, name, call)

    def _end(self, name, call):
        self.running[name] -= 1
        if self.waiting[name]:
            self._begin(name, self.waiting[name].pop(0))
        self._answer(name, call, True)

    def _answer(self, name, call, ok):
        slowdown = self.load.reported(name, self.timer.time)
        load = ReportedLoad(self.running[name], len(self.waiting[name]), self.load.slots, slowdown)
        self.at(self.timer.time + call[1].network_s / 2, self._receive, name, call, load, ok)

    def _receive(self, name, call, load, ok):
        _, tracker, plan, sent_at = call
        took_s = self.timer.time - sent_at
        tracker.record_answer(call, load, succeeded=ok)
        if ok:
            self._record(tracker, plan, took_s - tracker.network_s)
        tracker.finish(call, AttemptOutcome.ANSWERED if ok else AttemptOutcome.FAILED)
        self.done.append((name, sent_at, took_s, ok))
