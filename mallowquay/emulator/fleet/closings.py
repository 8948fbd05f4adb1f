"""Virtual worlds for closings: members whose clocks are off and step, a book that delivers late, kills, wiped
disks.

One seed gives one world. The book is a plain object here: whether the fleet agrees on it is shown elsewhere.
What it makes hard is all there: anybody may think that it leads, with an old state of the book and with old
settings, and a change may be agreed hours after it was asked for, or never. Judged is what readers get, in
the order of the world's own time, which no member knows.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import datetime, time, timedelta

import msgspec

from mallowquay.book.model import Change, Entry, Pages, applied
from mallowquay.closings.caches import Caches, Generation, Handle, Purge, Scope, Sliced
from mallowquay.closings.calendar import UTC, Closing, hour_of, micros, moment, occurrences
from mallowquay.closings.clocks import BoundedClock, Interval
from mallowquay.closings.counts import DayCounts
from mallowquay.closings.ledger import Ledger, decode, encode, joined
from mallowquay.closings.machine import ClosingsMachine, Standing
from mallowquay.closings.plan import FRONTIER, KIND, Frontier, Planned, due_changes

from .invariants import Broken

SECOND = 1_000_000
MINUTE, HOUR, DAY = 60 * SECOND, 3_600 * SECOND, 86_400 * SECOND
FREEZE, HORIZON = timedelta(hours=24), timedelta(hours=48)
STATED = timedelta(milliseconds=500)
BEGINS = (  # a quiet week, both changes of the clock in Europe, a leap day, one in Chatham
    datetime(2026, 1, 12, 3, tzinfo=UTC),
    datetime(2026, 3, 27, 5, tzinfo=UTC),
    datetime(2026, 10, 23, 7, tzinfo=UTC),
    datetime(2028, 2, 27, 11, tzinfo=UTC),
    datetime(2026, 4, 3, 2, tzinfo=UTC),
)
DISTRICTS, TENANTS = ("north", "south"), ("n1", "n2")
EVERY_DAY = frozenset(range(7))
CALENDAR = (
    Closing("iceland", "Atlantic/Reykjavik", time(17), EVERY_DAY, purge=("ratings", "day-counts", "events")),
    Closing(
        "london", "Europe/London", time(17), EVERY_DAY, districts=("north",), purge=("ratings", "events")
    ),
    Closing("india", "Asia/Kolkata", time(17, 30), EVERY_DAY, tenants=("n1",), purge=("day-counts",)),
    Closing("chatham", "Pacific/Chatham", time(2, 50), EVERY_DAY, districts=("south",), purge=("ratings",)),
    Closing(
        "berlin", "Europe/Berlin", time(2, 30), EVERY_DAY, tenants=("n2",), purge=("day-counts", "events")
    ),
    Closing("lisbon", "Europe/Lisbon", time(17), EVERY_DAY, purge=("day-counts",)),
)
SCOPES = tuple(Scope(district, tenant) for district in DISTRICTS for tenant in TENANTS)


@dataclass
class Process:
    """What one process holds in memory."""

    machine: ClosingsMachine
    clock: BoundedClock
    caches: Caches
    ratings: Sliced[tuple[int, Generation]]
    counts: DayCounts
    begun: Generation  # how far its disk was at its start
    done: list[Generation] = field(default_factory=list)
    kept: list[Handle] = field(default_factory=list)  # handles that somebody holds on to
    writing: Ledger | None = None  # on its way to the disk


@dataclass
class Host:
    """A machine: its clocks, and its disk with the ledger, the book and one cache that lasts."""

    name: str
    rate: float
    begin: int
    off: int  # of the wall clock, microseconds
    right: int  # what `off` is when nobody has spoilt it
    life: int = 0
    ledger: bytes = b""
    entries: Mapping[str, Entry] = field(default_factory=dict)
    events: Sliced[tuple[int, Generation]] = field(default_factory=lambda: Sliced("events"))
    processes: list[Process] = field(default_factory=list)
    cut_until: int = 0
    served: Generation = Generation()  # the newest that was opened to readers in this life


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a world came to."""

    fired: int
    missed: int  # of these, carried out more than a minute late
    reads: int
    withheld: int
    cancelled: int  # days that were cancelled in the settings
    near: int  # reads within 20 s of an instant


class World:
    """All of it. Errors: Broken."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        chance = self.chance
        self.begin = self.t = micros(chance.choice(BEGINS))
        self.end = self.begin + (chance.choice((3, 4)) * DAY if chance.random() < 0.98 else 11 * DAY)
        self.settings = chance.sample(CALENDAR, chance.choice((2, 2, 3)))
        self.begun = tuple(self.settings)
        self.before = list(self.settings)  # settings that some still read
        self.changed: set[str] = set()
        self.changed_at = self.begin
        self.hosts = [self._host(f"g{index + 1}") for index in range(chance.choice((3, 3, 4, 5)))]
        self.pages = Pages()
        self.book: Mapping[str, Entry] = {}
        self.older: Mapping[str, Entry] = {}
        self.under_way: list[tuple[int, list[Change]]] = []
        self.truth: dict[Generation, Planned] = {}
        self.names: dict[str, Generation] = {}
        self.first = self.until = 0  # what the plan is final up to, at first and now
        self.cancels: list[tuple[int, str, bool]] = []  # when, which, whether it was final by then
        self.stale: list[int] = []  # one that had old settings asked for changes by them
        self.clean: list[int] = []  # a leader with the settings of now had seen all agreed
        self.acted: dict[tuple[str, Scope], Generation] = {}
        self.counted: dict[tuple[Scope, Generation], int] = defaultdict(int)
        self.mended_at = self.begin
        self.fired = self.missed = self.reads = self.withheld = self.near = 0
        for host in self.hosts:
            self._wipe(host)
            self._start(host)

    def _host(self, name: str) -> Host:
        chance = self.chance
        off = int(chance.uniform(-1, 1) * (STATED / timedelta(microseconds=1)))
        return Host(name, 1 + chance.uniform(-1e-4, 1e-4), chance.randrange(1, HOUR), off, off)

    # --- time and processes

    def mono(self, host: Host, t: int) -> timedelta:
        """Of a machine's monotonic clock, at this time."""
        return timedelta(microseconds=host.begin + int((t - self.begin) * host.rate) + HOUR)

    def _wipe(self, host: Host) -> None:
        host.life = self.chance.getrandbits(60)
        host.ledger, host.entries = b"", {}
        host.events, host.served = Sliced("events"), Generation()

    def _start(self, host: Host) -> None:
        ledger = decode(host.ledger) if host.ledger else Ledger(host.life)
        if ledger.mark < host.served:
            raise Broken(f"{host.name} has served {host.served} and its disk does not know it")
        caches = Caches()
        ratings: Sliced[tuple[int, Generation]] = Sliced("ratings")
        counts = DayCounts(host.name, self.chance.getrandbits(60))
        for cache in (ratings, counts, host.events):
            caches.add(cache)
        machine = ClosingsMachine(ledger)
        if host.entries:
            machine.learn(host.entries)
        clock = BoundedClock(len(self.hosts), STATED)
        host.processes.append(Process(machine, clock, caches, ratings, counts, ledger.mark))

    # --- the book

    def plan(self, host: Host, process: Process, now: Interval | None) -> None:
        """This one thinks that it leads."""
        if now is None or self.t < host.cut_until:
            return
        fresh = self.chance.random() < 0.8 or self.t - self.changed_at > 6 * HOUR
        entries = host.entries
        changes = due_changes(now, self.settings if fresh else self.before, entries, HORIZON, FREEZE)
        chance = self.chance.random()
        if fresh and entries is self.book and not changes and not self.under_way:
            self.clean.append(self.t)
        if not fresh and changes:
            self.stale.append(self.t)
        if not changes or chance < 0.07:
            return  # nothing, or lost
        delay = SECOND // 10 if chance < 0.5 else self.chance.randrange(MINUTE)
        if chance > 0.93:
            delay = self.chance.randrange(30 * HOUR)
        if chance > 0.85 and len(changes) > 1:  # not all in one
            at = self.chance.randrange(1, len(changes))
            self.under_way.append((self.t + self.chance.randrange(10 * HOUR), changes[at:]))
            changes = changes[:at]
        self.under_way.append((self.t + delay, changes))

    def agree(self) -> None:
        """What was asked for arrives."""
        due = [(at, changes) for at, changes in self.under_way if at <= self.t]
        if not due:
            return
        self.under_way = [(at, changes) for at, changes in self.under_way if at > self.t]
        before = self.pages
        for _, changes in sorted(due, key=lambda pair: pair[0]):
            self.pages, _ = applied(self.pages, changes)
            if any(change.name == FRONTIER for change in changes) and self.pages.last != before.last:
                self._frontier()
        if self.pages.last != before.last:
            self.older = self.book
            self.book = {entry.name: entry for entry in self.pages.entries if entry.kind == KIND}

    def _frontier(self) -> None:
        """What is final by the rule, against what was final before."""
        entries = {entry.name: entry for entry in self.pages.entries}
        if FRONTIER not in entries:
            return
        frontier = msgspec.msgpack.decode(entries[FRONTIER].body, type=Frontier)
        if frontier.until_us == self.until:
            return
        if frontier.until_us < self.until:
            raise Broken(f"the frontier went back by {self.until - frontier.until_us} us")
        found = {}
        for name, entry in entries.items():
            if name != FRONTIER and entry.number <= frontier.seen:
                planned = msgspec.msgpack.decode(entry.body, type=Planned)
                if planned.instant_us <= frontier.until_us and planned.frozen and not planned.cancelled:
                    found[Generation(planned.instant_us, name)] = planned
        for generation, planned in found.items():
            if generation not in self.truth and generation.instant_us <= self.until:
                raise Broken(f"{generation} was added behind the frontier")
            if self.truth.get(generation, planned) != planned:
                raise Broken(f"{generation} was changed behind the frontier")
            if self.names.setdefault(generation.name, generation) != generation:
                raise Broken(f"{generation.name} twice")
        old = self.t - 6 * DAY
        lost = [one for one in self.truth if one not in found and one.instant_us > old]
        if lost:
            raise Broken(f"{lost[0]} was final and is gone")
        self.truth.update(found)
        self.first = self.first or frontier.until_us
        self.until = frontier.until_us

    # --- a member moves

    def touch(self, host: Host, process: Process, saves: bool = True) -> Interval | None:
        """It hears what it can, and acts."""
        t, chance = self.t, self.chance
        heard = t >= host.cut_until
        if heard and chance.random() < 0.85:
            trip = int(chance.random() ** 3 * SECOND)
            asked, came = self.mono(host, t - trip), self.mono(host, t)
            for peer in self.hosts:
                if peer is not host and t >= peer.cut_until and peer.processes:
                    there = t - int(trip * chance.random())
                    process.clock.heard(peer.name, there + peer.off, STATED, asked, came)
        if heard and self.book is not host.entries and chance.random() < 0.9:
            host.entries = self.book
        if process.machine.plan.frontier is None or chance.random() < 0.9:
            process.machine.learn(host.entries)
        elif chance.random() < 0.3:
            process.machine.learn(self.older if heard else host.entries)  # twice, or one of before
        now = process.clock.now(t + host.off, self.mono(host, t))
        if now is not None and not now.earliest <= t <= now.latest:
            raise Broken(f"{host.name} believes {now.earliest - t}..{now.latest - t} us off the truth")
        for purge in process.machine.tick(now):
            self._fire(process, purge, heard)
            process.caches.carry_out(purge)
        if process.writing is not None:  # what a slow disk had before it
            self._write(host, process, process.writing)
        process.writing = process.machine.ledger if process.machine.unsaved else None
        if saves and process.writing is not None:
            self._write(host, process, process.writing)
        if chance.random() < 0.2:
            self._whole(process, now)
        return now

    def _write(self, host: Host, process: Process, ledger: Ledger) -> None:
        host.ledger = encode(joined(ledger, decode(host.ledger) if host.ledger else None))
        process.machine.saved(ledger)
        process.writing = None

    def _fire(self, process: Process, purge: Purge, heard: bool) -> None:
        generation = purge.generation
        if generation not in self.truth:
            raise Broken(f"{generation} was carried out and is not agreed")
        if generation.instant_us > self.t:
            raise Broken(f"{generation} was carried out {generation.instant_us - self.t} us too early")
        if generation <= (process.done[-1] if process.done else process.begun):
            raise Broken(f"{generation} was carried out again, or out of order")
        process.done.append(generation)
        self.fired += 1
        self.missed += purge.late_us > MINUTE

    def _whole(self, process: Process, now: Interval | None) -> None:
        """A member that is ready has carried out each that it should have, once."""
        machine = process.machine
        if machine.standing(now) is not Standing.READY:
            return
        assert now is not None
        old = self.t - 6 * DAY
        begun, earliest = process.begun, now.earliest
        due = [one for one in self.truth if begun < one and old < one.instant_us <= earliest]
        if missing := set(due) - set(process.done):
            raise Broken(f"ready, and {sorted(missing)[0]} is not carried out")

    # --- readers

    def look(self, host: Host, process: Process, now: Interval | None) -> None:
        """Somebody reads, writes, and counts."""
        chance, machine, t = self.chance, process.machine, self.t
        kind, scope = chance.choice(("ratings", "day-counts", "events")), chance.choice(SCOPES)
        handle = machine.handle(kind, scope, now)
        self.reads += 1
        self.near += any(abs(one.instant_us - t) < 20 * SECOND for one in self.truth)
        if handle is None:
            self.withheld += 1
            self._justly(host, process, now)
        else:
            self._act(kind, scope, handle.generation)
            host.served = max(host.served, handle.generation)
            process.kept.append(handle)
        if kind == "day-counts":
            before = process.counts.uncounted
            process.counts.count(handle, now, 1, timedelta(seconds=1))
            if handle is not None and process.counts.uncounted == before:
                self.counted[scope, handle.generation] += 1
            self._total(process, scope, handle, now)
        elif handle is not None:
            cache = host.events if kind == "events" else process.ratings
            self._value(handle, cache.get(handle, now))
            cache.put(handle, now, (t, handle.generation))
        if process.kept and chance.random() < 0.3:  # one that somebody kept
            handle = process.kept.pop(chance.randrange(len(process.kept)))
            if handle.kind != "day-counts":
                cache = host.events if handle.kind == "events" else process.ratings
                self._value(handle, cache.get(handle, now))

    def _act(self, kind: str, scope: Scope, generation: Generation) -> None:
        newest = self.acted.get((kind, scope), Generation())
        if generation < newest:
            raise Broken(f"{kind} of {scope}: {generation} is read after {newest} was")
        if generation.instant_us > self.t:
            raise Broken(f"{generation} is read {generation.instant_us - self.t} us before it is")
        self.acted[kind, scope] = generation

    def _value(self, handle: Handle, value: tuple[int, Generation] | None) -> None:
        if value is None:
            return
        at, generation = value
        newest = self.acted.get((handle.kind, handle.scope), Generation())
        if at < newest.instant_us or generation != newest:
            raise Broken(f"{handle.kind} of {generation} is read after {newest} was opened")

    def _total(self, process: Process, scope: Scope, handle: Handle | None, now: Interval | None) -> None:
        total = process.counts.total(handle, now)
        if handle is None or total is None:
            return
        counted = self.counted[scope, handle.generation]
        if total.calls > counted:
            raise Broken(f"{total.calls} calls of {scope} in {handle.generation}, and there were {counted}")

    def _justly(self, host: Host, process: Process, now: Interval | None) -> None:
        """Nothing is withheld but for a reason."""
        machine = process.machine
        if now is None or machine.unsaved or now.latest >= machine.until_us:
            return
        if any(one > machine.ledger.mark and one.instant_us <= now.latest for one in self.truth):
            return
        raise Broken(f"{host.name} withholds without need")

    def merge(self) -> None:
        """Counts travel, whatever day they are of."""
        giver, taker = self.chance.sample(self.hosts, 2)
        if not giver.processes or not taker.processes:
            return
        if self.t < max(giver.cut_until, taker.cut_until):
            return
        process = taker.processes[-1]
        now = process.clock.now(self.t + taker.off, self.mono(taker, self.t))
        for data in giver.processes[-1].counts.encode():
            process.counts.merge(data, lambda scope: process.machine.handle("day-counts", scope, now), now)

    # --- what befalls them

    def fault(self) -> None:
        """One of it."""
        chance, t = self.chance, self.t
        host = chance.choice(self.hosts)
        which = chance.random()
        if which < 0.2:
            host.cut_until = t + chance.choice((MINUTE, HOUR, 12 * HOUR, 50 * HOUR))
        elif which < 0.45:  # killed, before or after its ledger is written
            if host.processes:
                self.touch(host, host.processes[-1], saves=chance.random() < 0.5)
            host.processes.clear()
            if chance.random() < 0.3:
                self._wipe(host)
            if chance.random() < 0.7:
                self._start(host)
        elif which < 0.6:  # an upgrade: two processes on one disk
            if len(host.processes) < 2:
                self._start(host)
            else:
                host.processes.pop(0)
        elif which < 0.85:
            self._clocks()
        else:
            self._change()

    def _clocks(self) -> None:
        """Fewer than half are spoilt, and they step; then they are set right for a while."""
        spoilt = [host for host in self.hosts if host.off != host.right]
        if spoilt and self.chance.random() < 0.5:
            for host in spoilt:
                host.off = host.right
            self.mended_at = self.t
        else:
            if not spoilt and self.t - self.mended_at < 5 * MINUTE:
                return
            most = (len(self.hosts) - 1) // 2
            for host in spoilt or self.chance.sample(self.hosts, self.chance.randint(1, most)):
                far = self.chance.choice((2 * SECOND, MINUTE, HOUR, 40 * DAY))
                host.off = int(self.chance.uniform(-far, far))

    def _change(self) -> None:
        """A coming day of a closing is cancelled, or a later one ends early."""
        place = self.chance.randrange(len(self.settings))
        closing = self.settings[place]
        day = (datetime.fromtimestamp(self.t / SECOND, UTC) + timedelta(days=self.chance.randrange(4))).date()
        if hour_of(closing, day) is None or day in closing.early:
            return
        self.before = list(self.settings)
        name = f"{closing.name}/{day.isoformat()}"
        self.changed.add(name)
        if self.chance.random() < 0.6:
            self.cancels.append((self.t, name, name in self.names))
            self.settings[place] = replace(closing, cancelled=closing.cancelled | {day})
        else:
            hour = time(self.chance.randrange(9, 23), self.chance.choice((0, 30)))
            self.settings[place] = replace(closing, early={**closing.early, day: hour})
        self.changed_at = self.t

    # --- all of it

    def run(self) -> Outcome:
        """Until the end, and then all is mended and judged."""
        chance = self.chance
        at = self.begin
        moments: list[tuple[int, str]] = []
        while at < self.end:
            moments.append((at, "plan"))
            moments.append((at + chance.randrange(6 * HOUR), "look"))
            at += chance.randrange(3 * HOUR, 7 * HOUR)
        for _ in range(chance.randrange(4, 14)):
            moments.append((chance.randrange(self.begin + DAY // 4, self.end), "fault"))
        moments += [(chance.randrange(self.begin, self.end), "merge") for _ in range(6)]
        moments.sort(reverse=True)
        near: set[Generation] = set()
        while moments:
            at, what = moments.pop()
            self.t = max(self.t, at)
            self.agree()
            if what == "plan":
                self._lead()
            elif what == "fault":
                self.fault()
            elif what == "merge":
                self.merge()
            else:
                self._someone()
            fresh = [one for one in self.truth if one not in near and one.instant_us > self.t]
            for one in fresh:
                near.add(one)
                moments += self._around(one.instant_us)
            if fresh:
                moments.sort(reverse=True)
        self._judge()
        return Outcome(self.fired, self.missed, self.reads, self.withheld, len(self.cancels), self.near)

    def _around(self, instant: int) -> list[tuple[int, str]]:
        chance = self.chance
        spans = (5 * MINUTE, 2 * SECOND, SECOND, SECOND, SECOND, SECOND // 2, 5 * SECOND, 20 * SECOND)
        found = [(instant + int(chance.uniform(-1, 1) * span), "look") for span in spans]
        if chance.random() < 0.3:
            found.append((instant + int(chance.uniform(-2, 2) * SECOND), "fault"))
        if chance.random() < 0.5:
            found.append((instant + int(chance.uniform(0, 5) * SECOND), "merge"))
        return [moment for moment in found if self.t < moment[0] < self.end]

    def _lead(self) -> None:
        for _ in range(1 if self.chance.random() < 0.8 else 2):  # two may think that they lead
            host = self.chance.choice(self.hosts)
            if not host.processes:
                self._start(host)
            now = self.touch(host, host.processes[-1])
            self.plan(host, host.processes[-1], now)
            if self.chance.random() < 0.5:
                self.t += SECOND
                self.agree()

    def _someone(self) -> None:
        for host in self.chance.sample(self.hosts, self.chance.choice((1, 1, 2))):
            if not host.processes:
                continue
            process = self.chance.choice(host.processes)
            if self.chance.random() < 0.2:  # a reader that comes between two ticks
                now = process.clock.now(self.t + host.off, self.mono(host, self.t))
            else:
                now = self.touch(
                    host, process, saves=self.chance.random() < (0.9 if len(host.processes) == 1 else 0.4)
                )
            self.look(host, process, now)

    def _judge(self) -> None:
        for host in self.hosts:
            host.off, host.cut_until = host.right, 0
        self.t = max([self.t, self.end, *(at for at, _ in self.under_way)]) + MINUTE
        self.agree()
        for host in self.hosts:
            if not host.processes:
                self._start(host)
        for _ in range(40):  # leaders follow each other until nothing is left to ask for
            host = self.hosts[0]
            self.t += 2 * MINUTE
            host.entries = self.book
            now = self._ready(host, host.processes[-1])
            changes = due_changes(now, self.settings, self.book, HORIZON, FREEZE)
            if not changes:
                break
            self.under_way.append((self.t, changes))
            self.agree()
        else:
            raise Broken("the plan does not come to rest")
        if self.until < self.t + 22 * HOUR:
            raise Broken(f"the frontier is {(self.until - self.t) / HOUR:.1f} h ahead")
        self.t += 10 * MINUTE
        for host in self.hosts:
            host.entries = self.book
            for process in host.processes:
                now = self._ready(host, process)
                if process.machine.standing(now) is not Standing.READY:
                    raise Broken(f"{host.name} is mended and {process.machine.standing(now).value}")
                self._whole(process, now)
                for kind in ("ratings", "day-counts", "events"):
                    for scope in SCOPES:
                        handle = process.machine.handle(kind, scope, now)
                        if handle is None:
                            self._justly(host, process, now)
                        else:
                            self._act(kind, scope, handle.generation)
        self._cancellations()
        self._all_planned()

    def _ready(self, host: Host, process: Process) -> Interval:
        process.machine.learn(self.book)
        for _ in range(40):
            now = self.touch(host, process)
            if now is not None and now.latest - now.earliest < MINUTE and not process.machine.unsaved:
                return now
        raise Broken(f"{host.name} hears all and cannot bound its clock, or write its ledger")

    def _all_planned(self) -> None:
        """Days that nobody changed have their closing."""
        for closing in self.begun:
            for found in occurrences(closing, moment(self.first), moment(self.until)):
                name = f"{closing.name}/{found.day.isoformat()}"
                if name not in self.changed and self.names.get(name, (0,))[0] != micros(found.instant):
                    raise Broken(f"{name} was never planned, or at another instant")

    def _cancellations(self) -> None:
        for at, name, final in self.cancels:
            generation = self.names.get(name)
            if final and generation not in self.truth:
                raise Broken(f"{name} was final, was cancelled too late, and is gone")
            freeze = FREEZE // timedelta(microseconds=1)
            if generation is None:
                continue
            last = generation.instant_us - freeze - MINUTE
            undone = max([at, *(stale for stale in self.stale if stale < generation.instant_us)])
            if any(undone < clean < last for clean in self.clean):
                raise Broken(f"{name} was cancelled in time and is carried out")


def play(seed: int) -> Outcome:
    """One world. Errors: Broken."""
    return World(seed).run()
