"""One gatekeeper's part in all of it: the gate before the module, the watch of calls, words, entries. No I/O.

It only ever narrows: which log servers may have a call, or that none may. What the module makes of that is
its own.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any, Protocol

from ..book.model import Change, Entry, Outcome, Reader
from ..core.model import Attempt, Ending, Rating, Request, Server, ServerStatus, Turned
from ..fleet.model import State, View
from . import parts as shares
from .evidence import ANSWERED_LATELY, FRESH, Evidence, seen_of
from .model import (
    KIND_PARTS,
    KIND_PLAN,
    KIND_SHED,
    KIND_STATE,
    MILLISECOND,
    PARTS_NAME,
    PLAN_NAME,
    SECOND,
    LossPlan,
    PartsBody,
    PlanBody,
    ShedBody,
    SitesFault,
    SiteState,
    SitesTerms,
    StateBody,
    Word,
    pack,
    read_word,
    unpack,
)
from .plan import Planner, PlanInputs, Solved
from .returning import Return, Shown, cold_open
from .shed import Bucket, Callers, Order, Shedding, gap

WORD_EVERY = timedelta(milliseconds=250)
QUIET = 2 * WORD_EVERY + timedelta(milliseconds=50)  # two words are missing: enough where its site is out
TICK = timedelta(milliseconds=50)
STALL = timedelta(milliseconds=200)  # a tick this late: this process stood still, not the sites
LOAD_SPAN = 2 * SECOND  # memory of the offered load
TRICKLE = 1 * SECOND  # one call in this time, of all gatekeepers together, goes to a site that is doubted
PARTS_EVERY = timedelta(milliseconds=300)  # parts are looked at by the leader
PENDING_MOST = timedelta(seconds=2)  # a change that is not heard of for longer may be asked for anew
CHANGES_MOST = 4  # of one tick
FOLLOW = 0.25  # of the way to new parts, each `PARTS_EVERY`
COLD_COUNTS = 0.4  # of what is open of a cold site is planned with
CLAIM_MOST = 3.0  # times the median: no word claims more load
OUT_MOST = 20_000
TICKETS_MOST = 20_000
MOVES_MOST = 200  # calls taken away from a silent site in one tick
EVENTS_KEPT = 64
FULL = "no site has room for a call of this rank"


class Book(Reader, Protocol):
    """What the assembly's book is for this package."""

    def leads(self) -> bool:
        """Whether this member may number changes now."""


@dataclass(frozen=True, slots=True)
class Event:
    """For the log and for those who follow the fleet."""

    what: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Move:
    """A call is out or held at a site that does not answer: from now on these may have it."""

    request_id: str
    among: frozenset[int]


@dataclass(slots=True)
class Steps:
    """What is to be done after a tick."""

    sends: list[tuple[str, bytes]] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    moves: list[Move] = field(default_factory=list)
    job: PlanInputs | None = None  # for `plan.work_out`, beside the loop; its result goes to `solved`


@dataclass(slots=True)
class _Out:
    request: Request
    site: str
    at: timedelta
    moved: bool = False


class SitesMachine:
    """Gate and watch of one gatekeeper, and its voice in what all agree on."""

    def __init__(
        self, name: str, terms: SitesTerms, districts: Mapping[str, str], chance: random.Random,
        now: timedelta, quotas: tuple[float, ...] = (),
    ) -> None:  # fmt: skip
        self.name, self.terms, self.districts = name, terms.checked(), dict(districts)
        self.home = districts.get(name, "")
        self._chance = chance
        self.sites = [site.name for site in terms.sites]
        self._capacity = {site.name: site.capacity for site in terms.sites}
        self.evidence = Evidence(name, terms, self.districts)
        self.order = Order(terms)
        self.callers = Callers(terms, quotas)
        self.parts = shares.OwnParts(name, terms, self.districts)
        self.buckets = {site: Bucket(self.order.levels, now) for site in self.sites}
        self.returns = {site: Return(terms) for site in self.sites}
        self.open = dict.fromkeys(self.sites, 1.0)
        others = [site for site in self.sites if site != self.home]
        by_cost = sorted(others, key=lambda site: terms.cost(self.home, site))
        self._ways = ([self.home] if self.home in self.sites else []) + by_cost
        self._among: dict[tuple[str, int], frozenset[int]] = {}
        self._of_number: dict[int, str] = {}
        self._siteless: frozenset[int] = frozenset()
        self._in_list = False
        self._held = False
        self._mates_up: list[str] = []  # by the last view that held
        self._home_kept: bool | None = None  # None until the book is read
        self._book: Book | None = None
        self._read: dict[tuple[str, str], int] = {}
        self._plans: dict[str, PlanBody] = {}
        self._parts_entry: tuple[int, PartsBody | None] = (0, None)
        self._shed: dict[str, ShedBody] = {}
        self._out: dict[tuple[str, int], _Out] = {}
        self._tickets: dict[str, tuple[str, Request]] = {}  # admitted and not yet sent: the site charged
        self._counts = [0] * len(terms.classes)
        self.load = [0.0] * len(terms.classes)
        self._ticked: timedelta | None = None
        self._measured = timedelta(0)
        self._word_due, self._word_number = now, 0
        self._trickle = {site: now for site in self.sites}
        self._trying: dict[str, str] = {}  # the call that last went to find out, until it is sent
        self._ratings: dict[str, Rating] = {}
        # The leader's.
        self._planner = Planner()
        self._solved: Solved | None = None
        self._sheds = {site: Shedding() for site in self.sites}
        self._waiting: list[tuple[str, str, bytes]] = []  # plan entries that are to be written
        self._pending: dict[tuple[str, str], tuple[str, timedelta]] = {}
        self._parts_due = now
        self._wanted: dict[tuple[str, str], float] = {}
        self._wanted_for: object = None
        self._up_since: dict[str, timedelta] = {}
        self._gone_since: dict[str, timedelta] = {}
        self._silent: set[str] = set()
        self._holding_since: dict[str, timedelta] = {}
        # Figures.
        self.admitted = self.refused = self.spoilt = self.moved = self.trickled = self.words = 0
        self.refused_of = [0] * len(terms.classes)
        self.recent: list[Event] = []

    # --- the gate

    def admit(self, request: Request, now: timedelta) -> Request | Turned:
        """The request with the log servers that may have it, or when its caller may come back."""
        kind = request.call_class
        known = 0 <= kind < len(self._counts)
        if known and not request.redialled:
            self._counts[kind] += 1
        if not self._in_list:
            return request  # nothing is known of any site: nothing is decided
        beyond = self.callers.beyond(request.tenant, now)
        late = self.callers.late(request, now)
        level = self.order.level(kind, late, beyond, request.redialled or late)
        found = self._place(request, level, now)
        if found is not None:
            site, among = found
            if site and len(self._tickets) < TICKETS_MOST:
                self._tickets[request.id] = site, request
            self.admitted += 1
            self.callers.taken(request)
            return replace(request, among=among)
        self.refused += 1
        if known:
            self.refused_of[kind] += 1
        self.callers.refused(request, now)
        return Turned(gap(level, self.terms.most_gap, self._chance), FULL)

    def _place(self, request: Request, level: int, now: timedelta) -> tuple[str, frozenset[int]] | None:
        """A site with room, charged, and the log servers; the site is empty for those that have none."""
        cut = self._cut(level)
        wished = self._of_number.get(request.destination, "") if request.destination >= 0 else ""
        ways = self._ways if not wished or wished == self._ways[0] else [wished, *self._ways]
        for site in ways:
            if self.open[site] > 0 and self.buckets[site].rate > 0:
                among = self._numbers(site, request)
                if among and self.buckets[site].take(level, now, cut):
                    return site, among if self.open[site] >= 1.0 else among | self._besides(site, request)
        if level > 0 or self.order.levels == 1:
            for site in ways:
                if self._tries(site, request, now) and (among := self._numbers(site, request)):
                    self.trickled += 1
                    self._trying[site] = request.id
                    return site, among
        free = self._siteless if request.among is None else self._siteless & request.among
        return ("", free) if free else None

    def _besides(self, site: str, request: Request) -> frozenset[int]:
        """For a call that goes to a cold site: others with room, should the module's own budget be spent."""
        found = _NONE
        for other in self._ways:
            if other != site and self.open[other] >= 1.0 and self.buckets[other].tokens >= 1.0:
                found |= self._numbers(other, request)
        return found

    def _numbers(self, site: str, request: Request) -> frozenset[int]:
        among = self._among.get((site, request.call_class), _NONE)
        return among if request.among is None else among & request.among

    def _cut(self, level: int) -> bool:
        agreed = self._shed.get(self.home)
        if agreed is None or level < agreed.level or level == 0:
            return False
        return level > agreed.level or self._chance.random() >= agreed.part

    def _tries(self, site: str, request: Request, now: timedelta) -> bool:
        """Whether this call may find out if a silent site answers again: few do, and none that matters."""
        opinion = self.evidence.opinions[site]
        # At home also who never doubted it, or does no longer: else none might ever hear that it is back.
        shut = opinion.own_doubt or site == self.home and opinion.state is SiteState.LOST
        if not shut or now < self._trickle[site] or not self._held and site != self.home:
            return False
        if not self._repeatable(request):
            return False
        alone = opinion.heard_alive  # then it is this gatekeeper's own way that fails
        span = TRICKLE if alone else TRICKLE * max(len(self.districts), 1)
        self._trickle[site] = now + span * self._chance.uniform(0.5, 1.5)
        return True

    def _repeatable(self, request: Request) -> bool:
        kind = request.call_class
        return 0 <= kind < len(self.terms.classes) and self.terms.classes[kind].repeatable

    # --- the watch

    def offered(self, call: Any, now: timedelta) -> None:
        """A call was taken; the gate counts it."""

    def sent(self, attempt: Attempt, now: timedelta) -> None:
        """An attempt leaves."""
        key = attempt.request.id, attempt.index
        site = self.evidence.sent(key, attempt.server, now)
        if site is not None and self._trying.get(site) == attempt.request.id:
            del self._trying[site]
        ticket = self._tickets.pop(attempt.request.id, None)
        if ticket is not None and ticket[0] == site:
            pass  # it was charged when it was let in
        else:
            if ticket is not None:
                self.buckets[ticket[0]].give_back()
            if site is not None:
                self.buckets[site].charge(now)
        if site is not None and len(self._out) < OUT_MOST:
            self._out[key] = _Out(attempt.request, site, now)

    def attempt_over(self, attempt: Attempt, ending: Ending | None, now: timedelta) -> None:
        """It came to stand (no ending), or failed."""
        key = attempt.request.id, attempt.index
        self._out.pop(key, None)
        self.evidence.over(key, attempt.server, ending, now)

    def answered(self, call: Any, answer: Any, attempt: Attempt | None, why: str, now: timedelta) -> None:
        """It had its final answer: one that was never sent gives its place back."""
        ticket = self._tickets.pop(call.request.id, None)
        if ticket is not None:
            self.buckets[ticket[0]].give_back()
        for site in [site for site, request_id in self._trying.items() if request_id == call.request.id]:
            # The module did not send it, as of a log server that it holds for bad: the next one may find out.
            del self._trying[site]
            self._trickle[site] = now

    def over(self, call: Any, attempt: Attempt, ending: Ending, now: timedelta) -> None:
        """A call that stood is over: nothing is asked of it, nothing is done to it."""

    # --- what is told

    def list_told(self, servers: Mapping[str, Server], now: timedelta) -> None:
        """The whole list as it is now."""
        self.evidence.list_told(servers)
        self._tables(now)

    def ratings_told(self, ratings: Iterable[Rating]) -> None:
        """What the module thinks of each log server: for the page."""
        self._ratings = {rating.server: rating for rating in ratings}

    def view_told(self, view: View | None, now: timedelta) -> None:
        """The agreed view while this member may act on it."""
        self.evidence.view, self._held = view, view is not None
        if view is None:
            self._holding_since.pop(self.name, None)
            return
        self._holding_since.setdefault(self.name, now)
        up = {s.name for s in view.members if s.state in (State.UP, State.SUSPECTED)}
        self._mates_up = [name for name in up if self.districts.get(name) == self.home]
        for name in self.districts:
            if name in up:
                self._up_since.setdefault(name, now)
                self._gone_since.pop(name, None)
            else:
                self._up_since.pop(name, None)
                self._gone_since.setdefault(name, now)

    def heard(self, member: str, data: bytes, now: timedelta) -> None:
        """A word of another gatekeeper; what cannot be read is counted and dropped."""
        try:
            word = read_word(data)
        except SitesFault:
            self.spoilt += 1
            return
        if member not in self.districts or member == self.name:
            self.spoilt += 1
            return
        self.words += 1
        self.evidence.heard(member, word, now)
        if word.holds:
            self._holding_since.setdefault(member, now)
        else:
            self._holding_since.pop(member, None)

    def book_told(self, book: Book, now: timedelta) -> None:
        """The book has changed, or is there."""
        self._book = book
        for kind in (KIND_STATE, KIND_PLAN, KIND_PARTS, KIND_SHED):
            entries = book.entries(kind)
            for name, entry in entries.items():
                if self._read.get((kind, name)) != entry.number:
                    self._read[kind, name] = entry.number
                    try:
                        self._take(kind, name, entry, now)
                    except SitesFault:
                        self.spoilt += 1  # what went before it holds on
            for key in [key for key in self._read if key[0] == kind and key[1] not in entries]:
                del self._read[key]
                self._shed.pop(key[1], None) if kind == KIND_SHED else None
                self._plans.pop(key[1], None) if kind == KIND_PLAN else None
        for key in [key for key in self._pending if self._read.get(key)]:
            entry_id = self._pending[key][0]
            made = book.entries(key[0]).get(key[1])
            if made is not None and made.change == entry_id:
                del self._pending[key]

    def _take(self, kind: str, name: str, entry: Entry, now: timedelta) -> None:
        if kind == KIND_STATE and name in self.returns:
            body = unpack(StateBody, entry.body)
            if body.state not in _STATES or not 0.0 <= body.open <= 1.0:
                raise SitesFault("a state that nobody knows", f"{kind}/{name}")
            self.returns[name].told(body, now)
            if name == self.home and body.state == SiteState.WHOLE.value:
                self._home_kept = True
        elif kind == KIND_PLAN:
            self._plans[name] = unpack(PlanBody, entry.body)
        elif kind == KIND_PARTS and name == PARTS_NAME:
            parts = unpack(PartsBody, entry.body)
            if not all(0.0 <= part.part <= 1e7 for part in parts.parts):
                raise SitesFault("a part is no rate", f"{kind}/{name}")
            self._parts_entry = entry.number, parts
            self.parts.book(entry.number, parts)
        elif kind == KIND_SHED and name in self._sheds:
            shed = unpack(ShedBody, entry.body)
            self._shed[name] = self._sheds[name].agreed = shed

    def outcome(self, outcome: Outcome) -> None:
        """What became of a change."""
        for key in [key for key, (change, _) in self._pending.items() if change == outcome.id]:
            del self._pending[key]

    # --- time

    def tick(self, now: timedelta) -> Steps:
        """All that is due; to be called every `TICK`."""
        steps = Steps()
        span = TICK if self._ticked is None else now - self._ticked
        self._ticked = now
        if span > STALL:
            self.evidence.forgive(span)
        self._measure(span)
        changed = self.evidence.judge(now)
        for site, before, after, why in changed:
            steps.events.append(
                Event("site.changed", {"site": site, "from": before.value, "to": after.value, "cause": why})
            )
        for member in [m for m in self._holding_since if m != self.name]:
            heard = self.evidence.words.get(member)
            if heard is None or now - heard.at > FRESH:
                del self._holding_since[member]
        if self._home_kept is None and self._held and self.parts.entitled and self.home in self.returns:
            # A life that begins at a site that is lost goes by the steps of its return like the others.
            self._home_kept = self.returns[self.home].agreed.state == SiteState.WHOLE.value
        without = [member for member, word, _ in self.evidence.fresh(now) if not word.holds]
        self.parts.look(now, self._held, self._mates_up, without)
        self._tables(now)
        self._move(now, steps)
        if changed or now >= self._word_due:
            self._word_due = now + WORD_EVERY
            self._say(now, steps)
        if self._book is not None and self._held and self._book.leads():
            self._lead(now, steps)
        self.recent = (self.recent + steps.events)[-EVENTS_KEPT:]
        return steps

    def _measure(self, span: timedelta) -> None:
        # At first by what little has been seen, not by the nothing before it.
        self._measured = min(self._measured + span, LOAD_SPAN)
        weight = min(1.0, span / max(self._measured, 4 * TICK))
        for kind, count in enumerate(self._counts):
            self.load[kind] += (count * (SECOND / span) - self.load[kind]) * weight if span else 0.0
        self._counts = [0] * len(self._counts)

    def _tables(self, now: timedelta) -> None:
        """What the gate goes by until the next tick."""
        servers = self.evidence.servers
        ready = [server for server in servers.values() if server.status is ServerStatus.READY]
        self._in_list = any(server.district in self._capacity for server in servers.values())
        self._of_number = {s.number: s.district for s in ready if s.district in self._capacity}
        self._siteless = frozenset(s.number for s in ready if s.district not in self._capacity)
        calm = not self._out_of_any()
        for site in self.sites:
            here = [server for server in ready if server.district == site]
            well = [s.number for s in here if not self.evidence.mute(s.id, now)] or [s.number for s in here]
            numbers = frozenset(well)
            for kind, terms in enumerate(self.terms.classes):
                self._among[site, kind] = numbers if terms.pools is None else numbers & terms.pools
            self.open[site] = self._opened(site, here, now)
            rate = self.parts.rate(site, self._held) * self.open[site]
            if not here:
                rate = 0.0
            elif self._others_out(site):
                rate = min(rate, self.parts.rate(site, self._held) * self._ceiling(site, now))
            # Only the own site's line may grow so: others' parts are small, and many use them.
            self.buckets[site].tune(rate, now, calm and site == self.home)

    def _ceiling(self, site: str, now: timedelta) -> float:
        """Of its part, what each may use so that those who are there load the site to its ceiling together.

        What is held for members that are out with their site is used by nobody: it is taken off the capacity
        first, and only what is then left above the ceiling off the others' parts.
        """
        body = self._parts_entry[1]
        if body is None:
            return self.terms.ceiling
        used = sum(part.held for part in body.parts if part.site == site and not self._away(part.member, now))
        return min(1.0, self.terms.ceiling * self._capacity[site] / used) if used > 0 else self.terms.ceiling

    def _away(self, member: str, now: timedelta) -> bool:
        """Its site is out, and it says nothing, or that it has no lease: it uses no part of others' sites."""
        district = self.districts.get(member, "")
        if member == self.name or district not in self._capacity or not self._is_out(district):
            return False
        heard = self.evidence.words.get(member)
        return heard is None or now - heard.at > FRESH or not heard.word.holds

    def _others_out(self, site: str) -> bool:
        """Callers of another site may come in here: from the first sign on, the ceiling is what counts."""
        return any(other != site and self._is_out(other) for other in self.sites)

    def _is_out(self, site: str) -> bool:
        out = self.evidence.opinions[site].state in (SiteState.LOST, SiteState.DOUBTED)
        return out or self.returns[site].agreed.state != SiteState.WHOLE.value

    def _out_of_any(self) -> bool:
        """A site is out, or as many calls come in as all sites can take."""
        return bool(self._shed) or any(self._is_out(site) for site in self.sites)

    def _opened(self, site: str, here: list[Server], now: timedelta) -> float:
        opinion, agreed = self.evidence.opinions[site], self.returns[site].agreed
        if site == self.home and opinion.own_doubt:
            self._home_kept = False
        if opinion.own_doubt:
            return 0.0
        listed = cold_open(self.terms.cold, (server.started for server in here), now)
        new = self._home_kept is None and (not self._held or agreed.state == SiteState.WHOLE.value)
        if site == self.home and (self._home_kept or new):
            return listed  # it was never lost for its own: what others think of it is theirs
        if opinion.state is SiteState.LOST:
            return 0.0
        if agreed.state == SiteState.LOST.value:
            return 0.0
        return min(agreed.open, self.returns[site].cold(listed, now))

    def _move(self, now: timedelta, steps: Steps) -> None:
        """Calls at a site that does not answer go elsewhere, as far as they may be sent twice and fit."""
        shut = {site for site in self.sites if self.open[site] <= 0.0}
        if not shut:
            return
        for key, out in self._out.items():
            if out.site not in shut or out.moved or len(steps.moves) >= MOVES_MOST:
                continue
            doubted = self.evidence.opinions[out.site].own_doubt and now - out.at >= self.terms.doubt
            if not doubted or not self._repeatable(out.request):
                continue
            out.moved = self._moved_one(out.request, now, steps)
        for site, request in list(self._tickets.values()):
            if site in shut and len(steps.moves) < MOVES_MOST:
                if self._moved_one(request, now, steps):
                    self.buckets[site].give_back()

    def _moved_one(self, request: Request, now: timedelta, steps: Steps) -> bool:
        level = self.order.level(request.call_class, False, False, request.redialled)
        for site in self._ways:
            if self.open[site] > 0 and (among := self._numbers(site, request)):
                if self.buckets[site].take(level, now):
                    self._tickets[request.id] = site, request
                    steps.moves.append(Move(request.id, among))
                    self.moved += 1
                    return True
        return False

    def _say(self, now: timedelta, steps: Steps) -> None:
        self._word_number += 1
        seen = tuple(
            seen_of(
                site, self.evidence.sights[site], self.evidence.opinions[site], now,
                site == self.home and self._home_kept is True,
            )
            for site in self.sites
        )  # fmt: skip
        load = tuple(round(rate, 3) for rate in self.load)
        word = pack(Word(self._word_number, self._held, self.parts.number, load, seen))
        steps.sends += [(member, word) for member in self.districts if member != self.name]

    def districts_told(self, districts: Mapping[str, str]) -> None:
        """Members that are new in the file or missing from it; its own district stays."""
        self.districts = self.evidence.districts = dict(districts)
        self.parts.districts_told(districts)

    # --- what the leader does

    def _change(self, kind: str, name: str, body: bytes | None, now: timedelta, steps: Steps) -> bool:
        """Ask for a change; one at a time of each entry, and only over what it was decided from."""
        asked = self._pending.get((kind, name))
        if asked is not None and now - asked[1] < PENDING_MOST or len(steps.changes) >= CHANGES_MOST:
            return False
        change = f"{self.name}-{self._chance.getrandbits(64):016x}"
        self._pending[kind, name] = change, now
        steps.changes.append(Change(change, kind, name, body, expect=self._read.get((kind, name), 0)))
        return True

    def _lead(self, now: timedelta, steps: Steps) -> None:
        told = {member: (word, age) for member, word, age in self.evidence.fresh(now)}
        # Whose site is out and who says nothing is likely lost with it, though the view is yet to say so:
        # nothing is kept ready for it that those who are there could use.
        self._silent = {
            member
            for member, district in self.districts.items()
            if member != self.name and district in self._capacity and self._is_out(district)
            and (member not in told or told[member][1] > QUIET)
        }  # fmt: skip
        told = {member: one for member, one in told.items() if member not in self._silent}
        for site in self.sites:
            body = self.returns[site].look(self._shown(site, told, now), now)
            if body is not None and self._change(KIND_STATE, site, pack(body), now, steps):
                fields = {"site": site, "to": body.state, "level": body.open, "cause": body.why}
                steps.events.append(Event("site.agreed", fields))
        loads = self._loads(told)
        usable = {site: self._usable(site) for site in self.sites}
        origins, barred = self._origins(told)
        by_origin: dict[str, list[float]] = {}
        for member, rates in loads.items():
            origin = origins.get(member, self.districts[member])
            total = by_origin.setdefault(origin, [0.0] * len(self.load))
            for kind, rate in enumerate(rates[: len(total)]):
                total[kind] += rate
        inputs = PlanInputs(
            {name: tuple(round(rate, 2) for rate in rates) for name, rates in sorted(by_origin.items())},
            {site: self._capacity[site] * self._counted(site, usable[site]) for site in self.sites},
            tuple(site for site in self.sites if usable[site] <= 0.0),
            districts={member: self.districts[member] for member in origins}, barred=barred,
        )  # fmt: skip
        steps.job = self._planner.replan(inputs, now)
        while self._waiting and len(steps.changes) < CHANGES_MOST:
            self._change(*self._waiting.pop(0), now, steps)
        if self._solved is not None and now >= self._parts_due:
            self._parts_due = now + PARTS_EVERY
            self._share(self._solved.now, loads, usable, told, now, steps)
            self._agree_shed(self._solved, now, steps)

    def _usable(self, site: str) -> float:
        agreed, opinion = self.returns[site].agreed, self.evidence.opinions[site]
        if opinion.state in (SiteState.LOST, SiteState.DOUBTED) or agreed.state == SiteState.LOST.value:
            return 0.0
        return agreed.open

    def _counted(self, site: str, usable: float) -> float:
        """The modules of gatekeepers that know nothing take less of a cold site than is open."""
        return usable * COLD_COUNTS if 0 < usable < 1 and self.returns[site].agreed.step else usable

    def _loads(self, told: Mapping[str, tuple[Word, timedelta]]) -> dict[str, tuple[float, ...]]:
        """By member; a word that claims far more than all others do counts for no more than a busy one."""
        loads = {member: word.load for member, (word, _) in told.items() if member in self._up_since}
        loads[self.name] = tuple(self.load)
        sums = sorted(sum(rates) for rates in loads.values())
        even = sum(self._capacity.values()) / max(1, len(self.districts))
        most = max(CLAIM_MOST * sums[(len(sums) - 1) // 2], even)
        return {
            member: rates if sum(rates) <= most else tuple(rate * most / sum(rates) for rate in rates)
            for member, rates in loads.items()
        }

    def _origins(
        self, told: Mapping[str, tuple[Word, timedelta]]
    ) -> tuple[dict[str, str], frozenset[tuple[str, str]]]:
        """Members that do not reach sites which others reach: they are planned for by themselves."""
        barred = {
            (member, one.site)
            for member, (word, _) in told.items()
            for one in word.seen
            if one.doubted and one.site in self._capacity and member in self._up_since
        }
        barred |= {(self.name, site) for site in self.sites if self.evidence.opinions[site].own_doubt}
        # A site that nobody reaches bars nobody from the others: its doubters are like their neighbours.
        barred = {(member, site) for member, site in barred if self._usable(site) > 0}
        return {member: member for member, _ in barred}, frozenset(barred)

    def _shown(self, site: str, told: Mapping[str, tuple[Word, timedelta]], now: timedelta) -> Shown:
        opinion, sight = self.evidence.opinions[site], self.evidence.sights[site]
        sent, answers = sight.sent, sight.answers
        warm, doubters = False, int(opinion.own_doubt)
        for member, (word, age) in told.items():
            for one in word.seen:
                if one.site != site:
                    continue
                sent, answers = sent + one.sent, answers + one.answers
                doubters += one.doubted
                lately = 0 <= one.answered_ms and one.answered_ms * MILLISECOND + age <= ANSWERED_LATELY
                warm |= one.kept and lately and self.districts.get(member) == site
        warm |= site == self.home and self._home_kept is True and sight.answered_lately(now)
        home = max(1, len(self.evidence.members_of(site)))
        # One that doubts may have a bad link of its own: a step is worse only by the word of several.
        pressed = doubters >= min(2, home) or sight.slow(self.terms.doubt)
        started = [s.started for s in self.evidence.servers.values() if s.district == site]
        cold = cold_open(self.terms.cold, started, now)
        return Shown(opinion.state, opinion.why, opinion.heard_alive, warm, sent, answers, pressed, cold)

    def limits(self, now_plan: LossPlan | None, usable: Mapping[str, float]) -> dict[str, float]:
        """What the parts of each site add up to at most."""
        out = any(part < 1.0 for part in usable.values())
        receives = now_plan.receives if now_plan is not None else ()
        # Of whole capacity: the ceiling is kept at each gatekeeper while a site is out.
        return {
            site: self._capacity[site] * (self.terms.ceiling if site in receives and not out else 1.0)
            for site in self.sites
        }

    def _share(
        self, plan: LossPlan, loads: Mapping[str, tuple[float, ...]], usable: Mapping[str, float],
        told: Mapping[str, tuple[Word, timedelta]], now: timedelta, steps: Steps,
    ) -> None:  # fmt: skip
        flows: dict[tuple[str, str], float] = {}
        # While a site is out each gatekeeper uses no more of its parts than the ceiling.
        scale = 1.0 / self.terms.ceiling if any(part < 1.0 for part in usable.values()) else 1.0
        for flow in plan.flows:
            work = self.terms.classes[flow.kind].work * scale
            flows[flow.origin, flow.site] = flows.get((flow.origin, flow.site), 0.0) + flow.rate * work
        limits = self.limits(plan, usable)
        wanted = shares.targets(
            self.terms, self.districts, {m: sum(rates) for m, rates in loads.items()},
            self._up_since.keys() - self._silent,
            flows, limits, usable, self._origins(told)[0],
        )  # fmt: skip
        # A least-cost flow sits in a corner, and chance in the loads moves it to another: parts follow,
        # but slowly; and at once where a site or somebody's way to it comes or goes.
        why = plan.lost, tuple(usable.values()), self._origins(told)[1], tuple(sorted(self._up_since))
        if why == self._wanted_for:
            for key in wanted.keys() | self._wanted.keys():
                old = self._wanted.get(key, 0.0)
                self._wanted[key] = old + (wanted.get(key, 0.0) - old) * FOLLOW
        else:
            self._wanted, self._wanted_for = wanted, why
        wanted = self._wanted
        number, before = self._parts_entry
        acked = [member for member, (word, _) in told.items() if before is not None and word.parts == number]
        if before is not None and self.parts.number == number:
            acked.append(self.name)
        after = shares.next_parts(
            self.terms, self.districts, before, acked, self._gone(now), wanted, limits,
            self._solved.inputs.version if self._solved else 0,
        )  # fmt: skip
        if shares.differs(self.terms, before, after):
            self._change(KIND_PARTS, PARTS_NAME, pack(after), now, steps)

    def _gone(self, now: timedelta) -> list[shares.Gone]:
        found = []
        for name, since in self._gone_since.items():
            no_lease = now - since >= self.terms.lease * shares.MARGIN + TICK
            witnesses = [
                mate for mate in self._up_since
                if self.districts.get(mate) == self.districts.get(name)
                and self._up_since[mate] <= since and self._holding_since.get(mate, now) <= since
            ]  # fmt: skip
            alone = now - since >= (shares.LONE_AFTER + self.terms.lease) * shares.MARGIN + FRESH
            found.append(shares.Gone(name, no_lease, bool(witnesses) and alone))
        return found

    def _agree_shed(self, solved: Solved, now: timedelta, steps: Steps) -> None:
        for site in self.sites:
            offered, refused = [0.0] * len(self.load), [0.0] * len(self.load)
            for origin, rates in solved.inputs.loads.items():
                if solved.inputs.districts.get(origin, origin) == site:
                    offered = [a + b for a, b in zip(offered, rates)]
            for flow in solved.now.remainder:
                if solved.inputs.districts.get(flow.origin, flow.origin) == site:
                    refused[flow.kind] += flow.rate
            before = replace_shed(self._sheds[site])
            changed, body = self._sheds[site].look(self.order, tuple(offered), tuple(refused), now)
            data = None if body is None else pack(body)
            if changed and not self._change(KIND_SHED, site, data, now, steps):
                self._sheds[site] = before

    def solved(self, result: Solved | None, now: timedelta) -> None:
        """The plan is worked out; None where it failed: the one before holds on."""
        self._planner.pending = False
        if result is None:
            return
        self._solved = result
        self._parts_due = now
        for body in result.losses:
            name = "+".join(body.losses[0].lost) or PLAN_NAME
            known = self._plans.get(name)
            same = known is not None and known.capacities == body.capacities and _alike(known, body)
            if not same and len(self._waiting) < 256:
                self._waiting = [one for one in self._waiting if one[1] != name]
                self._waiting.append((KIND_PLAN, name, pack(body)))

    # --- for people

    def told(self, now: timedelta) -> dict[str, Any]:
        """The page `/sites`."""
        sites = {}
        for site in self.sites:
            opinion, sight = self.evidence.opinions[site], self.evidence.sights[site]
            agreed, bucket = self.returns[site].agreed, self.buckets[site]
            plan = self._plans.get(site)
            sites[site] = {
                "state": opinion.state.value,
                "why": opinion.why,
                "since_ms": (now - opinion.since) // MILLISECOND,
                "agreed": {
                    "state": agreed.state, "open": agreed.open, "why": agreed.why, "step": agreed.step,
                },
                "open": round(self.open[site], 3),
                "own_part_per_s": round(self.parts.rate(site, self._held), 3),
                "own_rate_per_s": round(bucket.rate, 3),
                "room": round(bucket.tokens, 2),
                "sent": sight.sent,
                "answers": sight.answers,
                "owed": len(sight.owed),
                "delay_ms": sight.delay // MILLISECOND,
                "doubted": opinion.own_doubt,
                "ratings": {
                    name: rating.level.value
                    for name, rating in self._ratings.items()
                    if self.evidence.site_of(name) == site
                },
                "if_lost": None if plan is None else _plan_told(plan, self.terms),
                "refused_from_level": self._shed[site].level if site in self._shed else None,
            }
        return {
            "home": self.home,
            "lease": self._held,
            "parts": self.parts.number,
            "fallen": self.parts.fallen,
            "sites": sites,
            "offered_per_s": {k.name: round(r, 2) for k, r in zip(self.terms.classes, self.load)},
            "admitted": self.admitted,
            "refused": self.refused,
            "refused_of": {k.name: n for k, n in zip(self.terms.classes, self.refused_of)},
            "moved": self.moved,
            "trickled": self.trickled,
            "words": self.words,
            "words_unreadable": self.spoilt,
            "recent": [{"what": event.what, **event.fields} for event in self.recent],
        }


_NONE: frozenset[int] = frozenset()
_STATES = frozenset(state.value for state in SiteState)
FLOW_MATTERS = 1.0  # set-ups a second: a plan that differs by less is not written anew


def replace_shed(shed: Shedding) -> Shedding:
    """A copy, for a change that finds no room."""
    return replace(shed)


def _alike(one: PlanBody, other: PlanBody) -> bool:
    first, second = one.losses[0], other.losses[0]
    for mine, theirs in ((first.flows, second.flows), (first.remainder, second.remainder)):
        rates = {(f.origin, f.site, f.kind): f.rate for f in mine}
        for f in theirs:
            if abs(rates.pop((f.origin, f.site, f.kind), 0.0) - f.rate) > FLOW_MATTERS:
                return False
        if any(rate > FLOW_MATTERS for rate in rates.values()):
            return False
    return first.receives == second.receives


def _plan_told(plan: PlanBody, terms: SitesTerms) -> dict[str, Any]:
    loss = plan.losses[0]
    return {
        "version": plan.version,
        "flows": [[f.origin, f.site, terms.classes[f.kind].name, f.rate] for f in loss.flows],
        "nobody": [[f.origin, terms.classes[f.kind].name, f.rate] for f in loss.remainder],
    }
