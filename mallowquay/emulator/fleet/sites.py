"""Virtual worlds for the loss of sites: nine gatekeepers in three districts, log servers and callers there.

Real gates, real `Calls` and the real module in virtual time; log servers, callers, links, the view and the
book are modelled. Everything comes from one seed. The same seed plays with and without sites.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from itertools import count

from quincestand import CallClass, Settings

from ...book.model import EMPTY, Change, Entry, Pages, applied
from ...core.calls import Call, Calls
from ...core.decisions import Decisions
from ...core.figures import Figures
from ...core.model import Attempt, Ending, FinalAnswer, ListTold, Load, Request, Server, ServerStatus, Verdict
from ...fleet.model import NOBODY, Key, Standing, State, View
from ...settings import ClassConfig
from ...sites import machine as sites_machine
from ...sites.machine import SitesMachine
from ...sites.model import (
    ClassTerms,
    ColdTerms,
    Seen,
    SiteTerms,
    SitesTerms,
    StateBody,
    Word,
    pack,
    read_word,
    unpack,
)
from ...sites.plan import least_cost, work_out

MILLISECOND = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
DISTRICTS = ("reykjavik", "akureyri", "isafjordur")
MEMBERS_A_SITE = 3
CAPACITY = 40.0
WAY = 10 * MILLISECOND  # to a log server and back, half of it each
FLEET_WAY = 8 * MILLISECOND
LEASE = 900 * MILLISECOND
DOWN_AFTER = 2_500 * MILLISECOND  # until a view has a silent member down
ELECT = 1_400 * MILLISECOND
AGREE = 60 * MILLISECOND  # a change of the book
SPREAD = 40 * MILLISECOND  # until a member that hears the leader has it
LINES = 2_000
WAIT_LIMIT = 3 * SECOND  # a longer line is refused
KINDS = (("update", 2.0, 1_500), ("lookup", 1.0, 2_000))  # worth; milliseconds that are in time
LATE_WORTH = 0.25
DEADLINE = 9 * SECOND
FALL_TIME = 3 * SECOND
REDIAL = 0.5  # of those refused, once


def settings_of(members: int) -> Settings:
    """What the module is told, as of an operator's file."""
    classes = tuple(
        CallClass(aim * 1000, DEADLINE // MICROSECOND, worth, LATE_WORTH, True, 10_000_000, None)
        for _, worth, aim in KINDS
    )
    return Settings(
        group_size=members, classes=classes, groups=(), over_share_worth=1.0, own_number=None, max_attempts=4,
        max_retry_after=2_000_000, may_probe=False, may_cancel=True, list_on_request=False,
        report_fields=("free", "size"), repeat_interval=0, release_wait=300_000, drain_grace=500_000,
        cold_from=0.29, cold_time=15_000_000, fall_multiple=3.0, fall_time=3_000_000,
    )  # fmt: skip


MICROSECOND = timedelta(microseconds=1)


def terms_of(ceiling: float = 0.9) -> SitesTerms:
    """What the gate is told."""
    ms = MILLISECOND
    costs = {"reykjavik": {"akureyri": 9 * ms, "isafjordur": 22 * ms}, "akureyri": {"isafjordur": 12 * ms}}
    return SitesTerms(
        tuple(SiteTerms(name, CAPACITY, costs.get(name, {})) for name in DISTRICTS),
        tuple(ClassTerms(name, worth, LATE_WORTH, aim * ms) for name, worth, aim in KINDS),
        ceiling=ceiling, lease=LEASE, cold=ColdTerms(0.29, 15 * SECOND, 3.0), most_gap=2 * SECOND,
    )  # fmt: skip


@dataclass(slots=True)
class LogServer:
    """One processor with a line of work, which warms up after a start."""

    id: str
    number: int
    site: str
    capacity: float
    alive: bool = True
    slow: timedelta = timedelta(0)  # added to each answer
    started: timedelta | None = None
    busy_until: timedelta = timedelta(0)
    lines: int = 0
    arrivals: deque[timedelta] = field(default_factory=deque)  # of the last FALL_TIME
    fell: int = 0  # how often it was pushed over while cold
    life: int = 0

    def ability(self, now: timedelta) -> float:
        """The part of its capacity that it has."""
        age = None if self.started is None else (now - self.started) / (15 * SECOND)
        return 1.0 if age is None or age >= 1 else 0.29 + 0.71 * age

    def load(self) -> Load:
        """What an answer tells."""
        return {"free": float(LINES - self.lines), "size": float(LINES)}


@dataclass(slots=True)
class Tally:
    """What became of one call, as its caller saw it."""

    kind: int
    at: timedelta
    district: str
    done: timedelta | None = None
    verdict: Verdict | None = None
    process: Gatekeeper | None = None  # that has the call

    def worth(self) -> float:
        """What it earned."""
        if self.verdict is not Verdict.STANDS or self.done is None:
            return 0.0
        name, worth, aim = KINDS[self.kind]
        return worth if self.done - self.at <= aim * MILLISECOND else worth * LATE_WORTH

    def in_time(self) -> bool:
        """It stood by its aim."""
        return self.worth() == KINDS[self.kind][1]


class Gatekeeper:
    """One process: module, calls, and with sites the gate."""

    def __init__(self, world: SitesWorld, name: str, district: str, seed: int) -> None:
        self.world, self.name, self.district = world, name, district
        self.decisions = Decisions(world.settings, seed, world.clock)
        names = {kind: ClassConfig(i, kind, DEADLINE) for i, (kind, _, _) in enumerate(KINDS)}
        self.calls = Calls(
            self.decisions, world.clock, 300 * MILLISECOND, 10 * MILLISECOND, SECOND, Figures(names)
        )
        self.calls.attach(self)
        self.calls.wake = self._wake
        self.wake_at: timedelta | None = None
        self.alive = True
        self.view: View | None = None
        self.lease_until = timedelta(0)
        self.pages: Pages = EMPTY
        self.legs: dict[int, tuple[LogServer, int]] = {}
        self.machine: SitesMachine | None = None
        if world.with_sites:
            self.machine = SitesMachine(
                name, world.terms, world.districts, random.Random(seed + 1), world.now
            )
            self.calls.gate = self.machine
            self.calls.watches.append(self.machine)
            self.machine.book_told(self, world.now)
        self.calls.list_told(ListTold(tuple(world.listed()), True))
        if self.machine is not None:
            self.machine.list_told({server.id: server for server in world.listed()}, world.now)

    # the book as this member has it

    def entries(self, kind: str) -> Mapping[str, Entry]:
        """The agreed entries of a kind."""
        return {entry.name: entry for entry in self.pages.entries if entry.kind == kind}

    @property
    def last(self) -> int:
        """The newest number known here."""
        return self.pages.last

    def leads(self) -> bool:
        """Whether it leads the view."""
        return self.world.leader is self and self.holds() is not None

    def holds(self) -> View | None:
        """The view while its lease runs."""
        return self.view if self.world.now < self.lease_until else None

    # the side for log servers

    def _wake(self) -> None:
        due = self.calls.next_due()
        if due is not None and (self.wake_at is None or due < self.wake_at):
            self.wake_at = due
            self.world.at(max(due, self.world.now), self._tick)

    def _tick(self) -> None:
        if self.wake_at is not None and self.world.now >= self.wake_at:
            self.wake_at = None
            if self.alive:
                self.calls.tick()
                self._wake()

    def start(self, attempt: Attempt) -> None:
        """Send a set-up."""
        self.world.set_up(self, attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Give it up: a line that it holds comes free."""
        leg = self.legs.pop(id(attempt), None)
        if leg is not None and leg[0].life == leg[1]:
            leg[0].lines -= 1

    def release(self, attempt: Attempt, cause: int) -> None:
        """The same for a call that stands."""
        self.withdraw(attempt)

    def examine(self, server: str) -> None:
        """Never asked for: the settings allow no probes."""

    # the caller's side

    def answer(self, call: Call, answer: FinalAnswer) -> None:
        """The final answer."""
        self.world.answered(call.request, answer)
        if answer.verdict is Verdict.STANDS and call.attempt is not None:
            attempt = call.attempt
            self.world.at(
                self.world.now + SECOND * self.world.chance.expovariate(0.1), lambda: self._over(attempt)
            )

    def _over(self, attempt: Attempt) -> None:
        if self.alive:
            self.calls.caller_released(attempt.request.id, 16)
        else:
            self.withdraw(attempt)

    def closed(self, call: Call, ending: Ending) -> None:
        """A standing call ended."""


@dataclass(slots=True)
class Findings:
    """What a world showed."""

    violations: list[str] = field(default_factory=list)
    states: list[tuple[timedelta, str, str, str]] = field(default_factory=list)  # of the leader's entries
    sent: dict[str, list[timedelta]] = field(default_factory=dict)  # set-ups that reached a live site


class SitesWorld:
    """All of it."""

    def __init__(
        self, seed: int, with_sites: bool = True, hook: bool = True, ceiling: float = 0.9,
        members: int = MEMBERS_A_SITE, down_after: timedelta = DOWN_AFTER, redial: float = REDIAL,
    ) -> None:  # fmt: skip
        self.down_after, self.redial = down_after, redial
        self.chance = random.Random(seed)
        self.callers = random.Random(seed + 7)  # of their own: the same with and without sites
        self.now = 1000 * SECOND
        self.begin = self.now
        self.with_sites, self.hook = with_sites, hook
        self.districts = {
            f"{district[0]}{index + 1}": district for district in DISTRICTS for index in range(members)
        }
        self.settings = settings_of(len(self.districts))
        self.terms = terms_of(ceiling)
        self._queue: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._order = count()
        self.servers = [
            LogServer(f"log-{d[0]}", n, d, CAPACITY) for n, d in enumerate(DISTRICTS)
        ]
        self.by_id = {server.id: server for server in self.servers}
        self.cut: set[str] = set()  # districts cut off from all others
        self.fleet_deaf = False  # no words, no leases: nobody hears anybody
        self.mute_words = False
        self.drop_server: set[tuple[str, str]] = set()  # member, server: a bad link
        self.liar: str | None = None
        self.leader: Gatekeeper | None = None
        self.down: set[str] = set()
        self.silent_since: dict[str, timedelta] = {}
        self.view_number = 1
        self.book: Pages = EMPTY
        self._elect_at: timedelta | None = None
        self.tallies: dict[str, Tally] = {}
        self._calls = 0
        self.rates: dict[str, tuple[float, ...]] = {}
        self.found = Findings(sent={district: [] for district in DISTRICTS})
        self.gatekeepers: dict[str, Gatekeeper] = {}
        for index, (name, district) in enumerate(self.districts.items()):
            self.gatekeepers[name] = Gatekeeper(self, name, district, seed * 100 + index)
        self.leader = self.gatekeepers["a1"]
        self._look()
        for name in self.gatekeepers:
            self.at(self.now + sites_machine.TICK * self.chance.random(), partial(self._step, name))

    def clock(self) -> timedelta:
        """Everybody's clock."""
        return self.now

    def at(self, when: timedelta, action: Callable[[], None]) -> None:
        """Do it then."""
        heapq.heappush(self._queue, (when, next(self._order), action))

    def run(self, span: timedelta) -> None:
        """Let so much time pass."""
        until = self.now + span
        while self._queue and self._queue[0][0] <= until:
            when, _, action = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            action()
        self.now = until

    # --- the list, the view, the book

    def listed(self) -> list[Server]:
        """The server list: who is there, dead or not."""
        at = "127.0.0.1"
        return [
            Server(s.id, (at, 5000 + s.number), s.number, ServerStatus.READY, s.started, "udp", s.site)
            for s in self.servers
        ]

    def tell_list(self) -> None:
        """A change of the list reaches all."""
        told = ListTold(tuple(self.listed()), True)
        for one in self.gatekeepers.values():
            if one.alive:
                one.calls.list_told(told)
                if one.machine is not None:
                    one.machine.list_told({server.id: server for server in told.servers}, self.now)

    def hears(self, one: Gatekeeper, other: Gatekeeper) -> bool:
        """Whether two processes hear each other."""
        if not one.alive or not other.alive or self.fleet_deaf:
            return False
        return one.district == other.district or not {one.district, other.district} & self.cut

    def _look(self) -> None:
        """The fleet's view, as a model: leases by the leader's word, down after a silence, elections."""
        leader = self.leader
        all_of = list(self.gatekeepers.values())
        majority = len(all_of) // 2 + 1
        if leader is not None and sum(self.hears(leader, one) or one is leader for one in all_of) < majority:
            self.leader = leader = None
        if leader is None:
            if self._elect_at is None:
                self._elect_at = self.now + ELECT
            if self.now >= self._elect_at:
                for one in all_of:
                    if one.alive and sum(self.hears(one, o) or o is one for o in all_of) >= majority:
                        self.leader, self._elect_at = one, None
                        self.view_number += 1
                        break
        if leader is not None:
            for one in all_of:
                if one is leader or self.hears(leader, one):
                    self.silent_since.pop(one.name, None)
                    if one.name in self.down:
                        self.down.discard(one.name)
                        self.view_number += 1
                else:
                    since = self.silent_since.setdefault(one.name, self.now)
                    if self.now - since >= self.down_after and one.name not in self.down:
                        self.down.add(one.name)
                        self.view_number += 1
            members = tuple(
                Standing(name, NOBODY, State.DOWN if name in self.down else State.UP)
                for name in self.districts
            )
            view = View(Key(1, self.view_number), leader.name, (), members)
            for one in all_of:
                if one.name not in self.down and (one is leader or self.hears(leader, one)):
                    one.view, one.lease_until = view, self.now + LEASE
                    pages = self.book
                    if one.pages is not pages:
                        later = self.now + SPREAD * self.chance.random()
                        self.at(later, partial(self._page, one, pages))
        self.at(self.now + 100 * MILLISECOND, self._look)

    def _page(self, one: Gatekeeper, pages: Pages) -> None:
        if one.alive and pages.last > one.pages.last:
            one.pages = pages
            if one.machine is not None:
                one.machine.book_told(one, self.now)

    def _ask(self, one: Gatekeeper, change: Change) -> None:
        def agree() -> None:
            if not one.leads():
                return  # it hears nothing of it
            self.book, outcomes = applied(self.book, [change])
            for entry in self.book.entries:
                if entry.kind == "site-state" and entry.change == change.id:
                    body = unpack(StateBody, entry.body)
                    self.found.states.append((self.now - self.begin, entry.name, body.state, body.why))
                    able = max(s.ability(self.now) for s in self.servers if s.site == entry.name)
                    if body.open > able + 0.02:
                        told = f"{entry.name} is open to {body.open} and can do {able:.2f}"
                        self.found.violations.append(told)
            self._page(one, self.book)
            if one.machine is not None:
                one.machine.outcome(outcomes[0])

        self.at(self.now + AGREE, agree)

    def _step(self, name: str) -> None:
        one = self.gatekeepers[name]
        self.at(self.now + sites_machine.TICK, lambda: self._step(name))
        if not one.alive or one.machine is None:
            return
        one.machine.view_told(one.holds(), self.now)
        steps = one.machine.tick(self.now)
        for to, data in steps.sends:
            if name == self.liar:
                data = self._lie(data)
            if self.hears(one, self.gatekeepers[to]) and not self.mute_words:
                self.at(self.now + FLEET_WAY, partial(self._word, name, to, data))
        for change in steps.changes:
            self._ask(one, change)
        for move in steps.moves if self.hook else ():
            one.calls.rethink(move.request_id, move.among)
        if steps.job is not None:
            solved = work_out(self.terms, steps.job)
            machine = one.machine
            self.at(self.now + 30 * MILLISECOND, lambda: machine.solved(solved, self.now))

    def _lie(self, data: bytes) -> bytes:
        word = read_word(data)
        seen = tuple(
            Seen(one.site, one.sent + 100, one.answers, 900_000, 5_000, 5_000, True)
            for one in word.seen
        )
        return pack(
            Word(word.number, word.holds, word.parts, tuple(500.0 for _ in word.load), seen)
        )

    def _word(self, name: str, to: str, data: bytes) -> None:
        one = self.gatekeepers[to]
        if one.alive and one.machine is not None:
            one.machine.heard(name, data, self.now)

    # --- log servers

    def reaches(self, one: Gatekeeper, server: LogServer) -> bool:
        """Whether a message between the two arrives."""
        if (one.name, server.id) in self.drop_server:
            return False
        return one.district == server.site or not {one.district, server.site} & self.cut

    def set_up(self, one: Gatekeeper, attempt: Attempt) -> None:
        """A set-up on its way; what nobody answers is just silent, as over UDP."""
        server = self.by_id[attempt.server]
        cost = self.terms.cost(one.district, server.site) * MILLISECOND
        way = WAY / 2 + cost / 2
        self.at(self.now + way, lambda: self._arrives(one, attempt, server, way))

    def _arrives(self, one: Gatekeeper, attempt: Attempt, server: LogServer, way: timedelta) -> None:
        if not server.alive or not self.reaches(one, server):
            return
        self.found.sent[server.site].append(self.now)
        server.arrivals.append(self.now)
        while server.arrivals and server.arrivals[0] < self.now - FALL_TIME:
            server.arrivals.popleft()
        able = server.capacity * server.ability(self.now)
        if server.ability(self.now) < 1 and len(server.arrivals) > able * 3.0 * (FALL_TIME / SECOND):
            server.fell += 1
            self.found.violations.append(f"{server.id} was pushed over while cold")
            server.arrivals.clear()
        life = server.life
        wait = max(server.busy_until - self.now, timedelta(0))
        if wait > WAIT_LIMIT or server.lines >= LINES:
            ending = Ending.PROCESSOR_FULL if wait > WAIT_LIMIT else Ending.LINES_FULL
            self.at(self.now + way + server.slow, lambda: self._fails(one, attempt, server, life, ending))
            return
        server.busy_until = self.now + wait + SECOND / able
        server.lines += 1
        one.legs[id(attempt)] = server, life
        done = server.busy_until + server.slow + way
        self.at(done, lambda: self._answers(one, attempt, server, life))

    def _fails(
        self, one: Gatekeeper, attempt: Attempt, server: LogServer, life: int, ending: Ending
    ) -> None:  # fmt: skip
        if one.alive and server.alive and server.life == life and self.reaches(one, server):
            one.calls.ended(attempt, ending, server.load())

    def _answers(self, one: Gatekeeper, attempt: Attempt, server: LogServer, life: int) -> None:
        if not (one.alive and server.alive and server.life == life and self.reaches(one, server)):
            return
        if id(attempt) in one.legs:
            one.calls.stood(attempt, "", server.load())

    # --- callers

    def callers_offer(self, rates: Mapping[str, tuple[float, ...]]) -> None:
        """From now on: set-ups a second by district and class. They go where gatekeepers live."""
        fresh = not self.rates
        self.rates = dict(rates)
        if fresh:
            for district in rates:
                for kind in range(len(KINDS)):
                    self._next(district, kind)

    def _next(self, district: str, kind: int) -> None:
        rate = self.rates[district][kind]
        gap = SECOND * min(self.callers.expovariate(max(rate, 1e-9)), 1e5)
        self.at(self.now + gap, lambda: self._dial(district, kind))

    def _dial(self, district: str, kind: int) -> None:
        self._next(district, kind)
        self._calls += 1
        name = f"c{self._calls}"
        self.tallies[name] = Tally(kind, self.now, district)
        place = self.callers.random()
        again = self.callers.random() < self.redial
        self._offer(name, kind, district, place, 1 if again else 0, self._calls)

    def _offer(self, name: str, kind: int, district: str, place: float, redials: int, number: int) -> None:
        tally = self.tallies[name.partition("/")[0]]
        there = [g for g in self.gatekeepers.values() if g.alive and g.district == district]
        there = there or [g for g in self.gatekeepers.values() if g.alive]
        if not there:
            tally.verdict = Verdict.FAILED
            return
        one = there[int(place * len(there))]
        tally.process = one
        label, _, _ = KINDS[kind]
        request = Request(
            name, kind, label, f"{number:x}", DEADLINE, self.now, redialled="/" in name,
            description=f"{district} {place} {redials}",
        )  # fmt: skip
        one.calls.offer(request, _Caller(one))
        one._wake()

    def answered(self, request: Request, answer: FinalAnswer) -> None:
        """A caller has its answer; one that is refused may dial once more."""
        name = request.id.partition("/")[0]
        tally = self.tallies[name]
        district, place, redials = request.description.split()
        if answer.verdict is Verdict.REFUSED and redials == "1":
            if answer.retry_after > self.terms.most_gap:
                self.found.violations.append("a refusal tells a longer gap than the settings allow")
            self.at(
                self.now + answer.retry_after,
                lambda: self._offer(f"{name}/2", request.call_class, district, float(place), 0,
                                    int(request.number, 16)),
            )  # fmt: skip
            return
        tally.verdict, tally.done = answer.verdict, self.now

    # --- faults

    def kill(self, district: str, servers: bool = True, gatekeepers: bool = True) -> None:
        """Processes die, with all that they know."""
        for one in self.gatekeepers.values():
            if one.district == district and gatekeepers:
                one.alive = False
        for server in self.servers:
            if server.site == district and servers:
                server.alive = False
                server.life += 1
                server.lines = 0

    def restart(self, district: str, servers: bool = True, gatekeepers: bool = True) -> None:
        """New processes, on empty disks, and cold log servers; the list tells of their starts."""
        for server in self.servers:
            if server.site == district and servers:
                server.alive, server.started, server.busy_until = True, self.now, self.now
                server.life += 1
                server.lines = 0
        if gatekeepers:
            for index, (name, one) in enumerate(list(self.gatekeepers.items())):
                if one.district == district:
                    self.gatekeepers[name] = Gatekeeper(self, name, district, 7_000 + index + self._calls)
                    self.down.add(name)  # another life: the view has it up when it is heard again
                    self.silent_since[name] = self.now
        self.tell_list()

    # --- judging

    def served(self, start: timedelta, end: timedelta, kind: int | None = None) -> tuple[float, float, int]:
        """Of calls first dialled in this span of the world: in time, worth earned, how many there were."""
        chosen = [
            t for t in self.tallies.values()
            if start <= t.at - self.begin < end and (kind is None or t.kind == kind)
        ]  # fmt: skip
        timely = sum(t.in_time() for t in chosen)
        return timely / max(1, len(chosen)), sum(t.worth() for t in chosen), len(chosen)

    def best(self, start: timedelta, end: timedelta, alive: tuple[str, ...]) -> float:
        """The worth that the least-cost flow could have had in hindsight from the calls of this span."""
        span = (end - start) / SECOND
        loads: dict[str, list[float]] = {d: [0.0] * len(KINDS) for d in DISTRICTS}
        for t in self.tallies.values():
            if start <= t.at - self.begin < end:
                loads[t.district][t.kind] += 1 / span
        capacities = {d: CAPACITY if d in alive else 0.0 for d in DISTRICTS}
        lost = tuple(d for d in DISTRICTS if d not in alive)
        plan = least_cost(self.terms, {d: tuple(r) for d, r in loads.items()}, capacities, lost)
        return sum(KINDS[f.kind][1] * f.rate for f in plan.flows) * span

    def over_ceiling(
        self, site: str, start: timedelta, end: timedelta, part: float, span: timedelta
    ) -> float:  # fmt: skip
        """The most set-ups within any `span`, against what `part` of the capacity allows in it."""
        times = [t for t in self.found.sent[site] if start <= t - self.begin < end]
        most, first = 0, 0
        for index, at in enumerate(times):
            while times[first] < at - span:
                first += 1
            most = max(most, index - first + 1)
        return most / (CAPACITY * part * (span / SECOND))


class _Caller:
    def __init__(self, gatekeeper: Gatekeeper) -> None:
        self._gatekeeper = gatekeeper

    def answer(self, call: Call, answer: FinalAnswer) -> None:
        """The final answer."""
        if self._gatekeeper.alive:
            self._gatekeeper.answer(call, answer)

    def release(self, call: Call, ending: Ending) -> None:
        """The call is over."""
        self._gatekeeper.closed(call, ending)
