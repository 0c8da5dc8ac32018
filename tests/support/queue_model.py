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


@attrs.define(eq=False)
class Server:
    """A backend server: `slots` calls at once, the rest in a queue."""

    name: str
    zone: str
    slots: int
    waiting: list = attrs.field(factory=list)
    running: int = 0
    most_running: int = 0


@attrs.define
class Load:
    """What reaches the servers. Times in seconds, `rate` in calls per second."""

    rate: float
    work_s: float
    target_s: float
    slots: int = 6
    seconds: float = 10.0


@attrs.frozen
class Done:
    """An ended call."""

    server: str
    sent_at: float
    took_s: float
    ok: bool


class Cell:
    """Gateways, each with its own trackers and placement, before the same servers.

    Subclasses say how slow a server is, what it reports, and which calls it fails.
    """

    def __init__(self, load, *, gateways, servers, seed, reports=True):
        self.load, self.reports = load, reports
        self.rng = random.Random(seed)
        self.timer = FakeTimer(0.0)
        self.events = EventLog("test", self.timer)
        zones = itertools.cycle(ZONES)
        self.servers = {}
        self.gateways = []
        self.done = []
        self._agenda = []
        self._order = itertools.count()
        for _ in range(gateways):
            zone = next(zones)
            distance = Distance(zone, ZONES[zone], ZONES)
            placement = self.make_gateway(distance, random.Random(self.rng.random()))
            self.gateways.append((distance, placement, ServicePacing.create(self.timer), {}))
        for number, zone in zip(range(servers), itertools.cycle(ZONES), strict=False):
            self.add(f"s{number}", zone)

    def make_gateway(self, distance, rng):
        """Return the placement of a gateway."""
        return PlainPlacement(distance, rng)

    def make_tracker(self, entry, **options):
        """Return a gateway's tracker of a server."""
        return BackendTracker(entry, self.timer, self.events, **options)

    def choose(self, placement, trackers):
        """Return the tracker that a call is sent to, or None, and the plan if there is one."""
        return placement.choose(trackers), None

    def record(self, tracker, plan, took_s, network_s):
        """Record an answer beyond what trackers of plain servers do."""

    def disable_speeds(self):
        """Let all gateways take all servers as equally fast."""
        for _, _, pacing, _ in self.gateways:
            pacing.speeds.factor = lambda _: 1.0

    def slowdown(self, _server):
        """Return the seconds of work as a multiple of the usual, now."""
        return 1.0

    def reported(self, server):
        """Return the slowdown that a server reports."""
        return self.slowdown(server)

    def fails(self, _server):
        """Return whether a server fails the call that arrives now."""
        return False

    def add(self, name, zone, **fields):
        """Add a server, of which all gateways learn now."""
        self.servers[name] = Server(name, zone, self.load.slots)
        entry = BackendEntry(
            name, "x", Address("h", 1), zone, self.load.slots, False, 1, 1, **fields
        )
        for distance, _, pacing, trackers in self.gateways:
            network_s = distance.round_trip_s(zone)
            trackers[name] = self.make_tracker(entry, pacing=pacing, network_s=network_s)

    def at(self, when, action, *args):
        """Run an action at a time."""
        heapq.heappush(self._agenda, (when, next(self._order), action, args))

    def run(self):
        """Play the load to its end and return this cell."""
        when = 0.0
        while (when := when + self.rng.expovariate(self.load.rate)) < self.load.seconds:
            self.at(when, self._send, self.rng.choice(self.gateways))
        while self._agenda:
            self.timer.time, _, action, args = heapq.heappop(self._agenda)
            action(*args)
        return self

    def _send(self, gateway):
        distance, placement, _, trackers = gateway
        tracker, plan = self.choose(placement, trackers.values())
        if tracker is None:
            return
        call = (object(), plan)
        tracker.start(call)
        tracker.record_sent(call, "x")
        server = self.servers[tracker.entry.backend]
        one_way_s = distance.round_trip_s(server.zone) / 2
        self.at(self.timer.time + one_way_s, self._arrive, server, tracker, call, one_way_s)

    def _arrive(self, server, tracker, call, one_way_s):
        entered = (tracker, call, one_way_s, self.timer.time - one_way_s)
        if self.fails(server):
            self._answer(server, *entered, False)
        elif server.running < server.slots:
            self._begin(server, entered)
        else:
            server.waiting.append(entered)

    def _begin(self, server, entered):
        server.running += 1
        server.most_running = max(server.most_running, server.running)
        seconds = self.load.work_s * self.slowdown(server)
        self.at(self.timer.time + seconds, self._end, server, entered)

    def _end(self, server, entered):
        server.running -= 1
        if server.waiting:
            self._begin(server, server.waiting.pop(0))
        self._answer(server, *entered, True)

    def _answer(self, server, tracker, call, one_way_s, sent_at, ok):
        slowdown = self.reported(server) if self.reports else 1.0
        load = ReportedLoad(server.running, len(server.waiting), server.slots, slowdown)
        when = self.timer.time + one_way_s
        self.at(when, self._receive, server, tracker, call, load, sent_at, ok)

    def _receive(self, server, tracker, call, load, sent_at, ok):
        tracker.record_answer(call, load, succeeded=ok)
        if ok:
            network_s = tracker.network_s
            self.record(tracker, call[1], self.timer.time - sent_at, network_s)
        tracker.finish(call, AttemptOutcome.ANSWERED if ok else AttemptOutcome.FAILED)
        self.done.append(Done(server.name, sent_at, self.timer.time - sent_at, ok))

    def select(self, server=None, since=0.0, until=float("inf")):
        """Return the ended calls of one server or all that were sent in a span of time."""
        return [
            d
            for d in self.done
            if since <= d.sent_at < until and (server is None or d.server == server)
        ]

    def share_in_time(self, *args, **span):
        """Return the share of the selected calls that succeeded within the target."""
        calls = self.select(*args, **span)
        return sum(d.ok and d.took_s <= self.load.target_s for d in calls) / max(1, len(calls))
