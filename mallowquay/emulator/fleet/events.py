"""Events in virtual time: machines as they are, a network that loses, clients that remember what they were
told.

Book and view are an onlooker's here: agreed at once and told late, to each member in its order. What they
promise is shown in worlds of their own. One seed gives one run.
"""

from __future__ import annotations

import heapq
import json
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from mallowquay.book.model import EMPTY, Change, Entry, Outcome, Pages, applied
from mallowquay.errors import Fault
from mallowquay.events import cursor as cursors
from mallowquay.events.desk import Client, Mode
from mallowquay.events.fields import Event, Value
from mallowquay.events.index import Index
from mallowquay.events.language import FilterUnknown, compile_filter
from mallowquay.events.machine import EventsMachine, EventTerms
from mallowquay.events.origin import Judge, KeptTerms, Matching
from mallowquay.events.wire import KIND

MILLISECOND = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
TICK, FLUSH = 50 * MILLISECOND, 10 * MILLISECOND
RESTS = 7 * SECOND  # after the last fault all that can be told is told
KINDS = ("call.offered", "call.refused", "call.stood", "server.rated")
FILTERS = (
    'kind == "call.refused"', 'kind == "call.stood" && waited_ms > 500', 'tenant in ["n1", "n2"]', "true",
    'kind.startsWith("call.") && tenant != "n3"', '!(waited_ms <= 300)', 'has(server) || tenant == "n0"',
    'kind == "call.refused" && tenant.contains("2")', "waited_ms >= 900", 'member == "m1"',
)  # fmt: skip
FAULTS = ("loss", "late", "calm", "cut", "half", "heal", "kill", "end", "start", "start", "renew")
Place = tuple[str, tuple[int, int]]  # a member and its life, as clients are told them


class WorldLanguage:
    """The language; an older release does not know `contains`."""

    def __init__(self, old: bool) -> None:
        self._old = old

    def compiled(self, text: str) -> tuple[Judge, str]:
        """As the program does it. Errors: Fault."""
        if self._old and ".contains(" in text:
            raise FilterUnknown("contains", "1")
        found = compile_filter(text)
        return found, found.text

    def index(self) -> Matching:
        """The program's index."""
        return Index[int]()


class LateBook:
    """A member's view of the book: each number of it, in order, late."""

    def __init__(self, world: EventsWorld, name: str, pages: Pages) -> None:
        self._world, self._name, self.pages = world, name, pages
        self._told: list[Callable[[], None]] = []
        self._found: dict[str, Entry] = {}
        self.take(pages)

    @property
    def last(self) -> int:
        """The newest number that this member knows."""
        return self.pages.last

    def entries(self, kind: str) -> Mapping[str, Entry]:
        """By name."""
        return self._found

    def watch(self, kind: str, told: Callable[[], None]) -> None:
        """Tell of changes."""
        self._told.append(told)

    def submit(self, change: Change, told: Callable[[Outcome], None]) -> None:
        """Ask; it may be lost, or agreed and the answer lost."""
        world, generation = self._world, self._world.members[self._name].generation

        def agreed() -> None:
            outcome = world.agree(change)
            if world.chance.random() < 0.95:
                world.later(self._name, generation, world.wait(5, 300), lambda: told(outcome))

        if world.chance.random() < 0.95:
            world.at(world.now + world.wait(5, 200), agreed)

    def take(self, pages: Pages) -> None:
        """A newer number."""
        if pages.last >= self.pages.last:
            self.pages = pages
            self._found = {entry.name: entry for entry in pages.entries if entry.kind == KIND}
            for tell in self._told:
                tell()


@dataclass
class Member:
    """A process, or the place where one was."""

    name: str
    machine: EventsMachine | None = None
    book: LateBook | None = None
    life: tuple[int, int] = (0, 0)
    generation: int = 0
    kept: Pages = EMPTY  # the book on its disk


@dataclass
class Truth:
    """What arose in one life of one member, by number; None: nobody counted it."""

    events: dict[int, dict[str, Value]] = field(default_factory=dict)


@dataclass
class Track:
    """What one client was told of one life of one member."""

    filters: list[tuple[int, str]] = field(default_factory=list)  # from which event on, which
    seen: list[int] = field(default_factory=list)
    gaps: list[tuple[int, int]] = field(default_factory=list)


class Broken(AssertionError):
    """A promise is broken."""


class Journey:
    """One client through all its connections."""

    def __init__(self, world: EventsWorld, number: int) -> None:
        self.world, self.number = world, number
        self.tracks: dict[Place, Track] = {}
        self.last_id = ""
        self.at = ""  # the gatekeeper
        self.client: Client | None = None
        self.stream = ""
        self.filter = ""
        self.slow_until = timedelta(0)
        self.log: list[tuple[timedelta, str, str, dict[str, Any]]] = []  # for who looks into it

    def connect(self, name: str, text: str, with_cursor: bool) -> bool:
        """Ask a gatekeeper; False where it is not there."""
        machine = self.world.members[name].machine
        if machine is None:
            return False
        if not with_cursor and self.last_id:
            return False  # a journey goes on from its cursor
        self.client = machine.join(self.world.now, text, self.last_id)
        self.at, self.filter = name, text
        return True

    def drop(self, told: bool) -> None:
        """The connection is gone; whether the gatekeeper knows."""
        machine = self.world.members[self.at].machine
        if told and machine is not None and self.client is not None:
            machine.part(self.client.ticket)
        self.client = None

    def read(self) -> None:
        """Take what there is and judge it at once."""
        if self.client is None or self.world.now < self.slow_until:
            return
        machine = self.world.members[self.at].machine
        if machine is None or self.client.ticket not in machine.desk.clients:
            self.client = None
            return
        if self.client.closed:
            self.drop(told=True)
            return
        for block in machine.desk.take(self.world.now, self.client).decode().split("\n\n"):
            lines = dict(line.split(": ", 1) for line in block.splitlines() if not line.startswith(":"))
            if lines.get("id"):
                self.last_id = lines["id"]
            if "data" in lines:
                self.told(lines.get("event", ""), json.loads(lines["data"]))

    def _place(self, member: str, life: str) -> Place:
        return member, self.world.lives[member, life]

    def _track(self, place: Place) -> Track:
        return self.tracks.setdefault(place, Track())

    def told(self, what: str, data: dict[str, Any]) -> None:
        """One event of the stream."""
        self.log.append((self.world.now, self.at, what, data))
        if what == "from":
            self.stream = data["stream"]
            for member, one in data["members"].items():
                self._track(self._place(member, one["life"])).filters.append((one["from"], data["filter"]))
        elif what in ("member", "filter"):
            track = self._track(self._place(data["member"], data["life"]))
            track.filters.append((data["from"], data["filter"]))
        elif what == "gap":
            track = self._track(self._place(data["member"], data["life"]))
            if data["from"] is None:
                return
            upto = cursors.OVER if data["to"] is None else data["to"]
            track.gaps.append((data["from"], upto))
            self.world.counts["gaps"] += 1
            self.world.counts["gaps_unknown"] += data["to"] is None
            if data["lost"] is not None:
                self.world.counts["lost_told"] += data["lost"]
        else:
            self._event(data)

    def _event(self, data: dict[str, Any]) -> None:
        member, seq = data["member"], data["seq"]
        life = self.world.by_serial[data["name"]]
        track = self._track((member, life))
        truth = self.world.truths[member, life].events.get(seq)
        if truth is None or truth["name"] != data["name"]:
            raise Broken(f"journey {self.number}: {member} {seq} is not as it arose")
        if track.seen and seq <= track.seen[-1]:
            raise Broken(f"journey {self.number}: {member} {seq} after {track.seen[-1]}: twice, or late")
        if not track.filters:
            raise Broken(f"journey {self.number}: {member} {seq} before it was told to begin")
        if not matches(in_force(track, seq), truth):
            raise Broken(f"journey {self.number}: {member} {seq} does not match {in_force(track, seq)}")
        track.seen.append(seq)
        self.world.counts["delivered"] += 1

    def judge(self, live: bool) -> None:
        """At the end: whether all is there that was promised; `live`: it has read to the end."""
        told = cursors.decode(self.last_id) if self.last_id else {}
        for (member, life), track in self.tracks.items():
            if not track.filters:
                continue
            truth = self.world.truths[member, life]
            begin = min(place for place, _ in track.filters)
            place = told.get(member)
            upto = max(track.seen, default=0)
            if place is not None and place[0] == cursors.short(life):
                upto = place[1]
            elif place is not None and place[0] > cursors.short(life):
                upto = cursors.OVER
            if live and self.world.members[member].life == life and self.world.members[member].machine:
                upto = cursors.OVER
            seen = set(track.seen)
            for first, last in track.gaps:
                both = next((seq for seq in track.seen if first <= seq <= last), None)
                if both is not None:
                    raise Broken(f"journey {self.number}: {member} {both} came, and is told as missing")
            for seq, event in truth.events.items():
                if not begin <= seq <= upto or seq in seen:
                    continue
                if any(first <= seq <= last for first, last in track.gaps):
                    continue
                if matches(in_force(track, seq), event):
                    raise Broken(
                        f"journey {self.number}: {member} {life} {seq} is missing, and no gap is told"
                        f" ({track.filters} {track.gaps} {place} {live})"
                    )


def in_force(track: Track, seq: int) -> str:
    """The filter by which an event is judged: the last that was told with a place not after it."""
    found = track.filters[0][1]
    for place, text in track.filters:
        if place <= seq:
            found = text
    return found


def matches(text: str, event: Event) -> bool:
    """Judged by the language alone."""
    return compile_cached(text).matches(event)


_compiled: dict[str, Judge] = {}


def compile_cached(text: str) -> Judge:
    """A filter, once."""
    if text not in _compiled:
        _compiled[text] = compile_filter(text)
    return _compiled[text]


class EventsWorld:
    """All of it."""

    def __init__(self, seed: int, members: int = 5, queue_most: int = 60, kept_most: int = 400) -> None:
        self.chance = random.Random(seed)
        self.now = 1000 * SECOND
        self.terms = EventTerms(64, queue_most, KeptTerms(kept_most, 20 * SECOND))
        self.members = {f"m{number}": Member(f"m{number}") for number in range(members)}
        self.old = {name for name in self.members if self.chance.random() < 0.2}  # of an older release
        self.pages = EMPTY
        self.view: dict[str, tuple[tuple[int, int], bool]] = {}
        self.truths: dict[tuple[str, tuple[int, int]], Truth] = {}
        self.lives: dict[tuple[str, str], tuple[int, int]] = {}  # by the text that clients are told
        self.by_serial: dict[str, tuple[int, int]] = {}
        self.journeys: list[Journey] = []
        self.cuts: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.late = 0.0  # how often a message is overtaken
        self.counts: Counter[str] = Counter()
        self._queue: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._order = 0
        self._busy: dict[tuple[str, str], timedelta] = {}
        self.rate = 20.0
        self.silent = False  # nothing arises any more

    # --- time

    def at(self, when: timedelta, action: Callable[[], None]) -> None:
        """Do something at a moment."""
        self._order += 1
        heapq.heappush(self._queue, (when, self._order, action))

    def later(self, name: str, generation: int, span: timedelta, action: Callable[[], None]) -> None:
        """Do something in a process, if it is still there."""

        def there() -> None:
            if self.members[name].generation == generation and self.members[name].machine is not None:
                action()

        self.at(self.now + span, there)

    def wait(self, least: float, most: float) -> timedelta:
        """A span in milliseconds."""
        return self.chance.uniform(least, most) * MILLISECOND

    def run(self, span: timedelta) -> None:
        """Let time pass."""
        until = self.now + span
        while self._queue and self._queue[0][0] <= until:
            when, _, action = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            action()
        self.now = until

    # --- book and view

    def agree(self, change: Change) -> Outcome:
        """The majority takes a change; all hear of it, late."""
        life = self.view.get(change.owner)
        if change.body is not None and life is not None and (life[0][1] != change.mark or not life[1]):
            return Outcome(change.id, 0, "book.owner", "that life is over")
        self.pages, outcomes = applied(self.pages, [change])
        self.counts["changes"] += 1
        self._spread()
        return outcomes[0]

    def _spread(self) -> None:
        pages, view = self.pages, dict(self.view)
        for member in self.members.values():
            slow = 3000 if self.chance.random() < 0.1 else 150
            self.later(
                member.name, member.generation, self.wait(1, slow),
                lambda m=member: self._hear(m, pages, view),  # type: ignore[misc]
            )  # fmt: skip

    def _hear(self, member: Member, pages: Pages, view: dict[str, tuple[tuple[int, int], bool]]) -> None:
        if member.book is None or member.machine is None or pages.last < member.book.last:
            return
        member.book.take(pages)
        member.kept = pages
        newer = {**view}
        for name, (life, up) in self.seen_view.get(member.name, {}).items():
            if name in newer and (newer[name][0] < life or (newer[name][0] == life and not up)):
                newer[name] = life, up
        self.seen_view[member.name] = newer
        member.machine.viewed(self.now, newer)

    seen_view: dict[str, dict[str, tuple[tuple[int, int], bool]]]

    def _judge_view(self, name: str, life: tuple[int, int], up: bool) -> None:
        known = self.view.get(name)
        if known is not None and (known[0] > life or (known[0] == life and not known[1])):
            return
        self.view[name] = life, up
        gone = [
            entry for entry in self.pages.entries if entry.owner == name and (entry.mark != life[1] or not up)
        ]
        changes = [Change(f"gone.{one.number}", one.kind, one.name, None, one.number) for one in gone]
        self.pages, _ = applied(self.pages, changes)
        self._spread()

    # --- processes

    def start(self, name: str) -> None:
        """Start a process, on the book that its disk has."""
        member = self.members[name]
        member.generation += 1
        member.life = member.life[0] + 1, self.chance.getrandbits(62) | 1
        self._lived(name, member.life)
        self.seen_view[name] = {}
        member.book = LateBook(self, name, member.kept)
        generation = member.generation
        chance = random.Random(self.chance.getrandbits(64))
        member.machine = EventsMachine(
            name, WorldLanguage(name in self.old), self.terms,
            lambda to, data: self._carry(name, generation, to, data), member.book, chance,
        )  # fmt: skip
        member.machine.begin(self.now, *member.life)
        self.at(self.now + self.wait(20, 1500), lambda life=member.life: self._judge_view(name, life, True))  # type: ignore[misc]
        self._tick(name, generation)
        self._arise(name, generation)
        self._link(name)

    def _lived(self, name: str, life: tuple[int, int]) -> None:
        self.truths[name, life] = Truth()
        self.lives[name, f"{life[0]}.{life[1] & 0xFFFF:04x}"] = life

    def kill(self, name: str, clean: bool = False) -> None:
        """SIGKILL, or an end in order."""
        member = self.members[name]
        if member.machine is None:
            return
        if clean:
            member.machine.leave(self.now)
        for journey in self.journeys:
            if journey.at == name:
                if clean:
                    journey.read()
                journey.client = None
        life = member.life
        member.machine = None
        member.generation += 1
        wait = self.wait(3000, 5000) if clean else self.wait(1500, 4000)
        self.at(self.now + wait, lambda: self._judge_view(name, life, False))

    def renew(self, name: str) -> None:
        """The fleet took it for lost; it begins another life in the same process."""
        member = self.members[name]
        if member.machine is None:
            return
        self._judge_view(name, member.life, False)
        member.life = member.life[0] + 1, self.chance.getrandbits(62) | 1
        self._lived(name, member.life)
        member.machine.begin(self.now, *member.life)
        self.at(self.now + self.wait(20, 500), lambda life=member.life: self._judge_view(name, life, True))  # type: ignore[misc]

    def _tick(self, name: str, generation: int) -> None:
        member = self.members[name]
        if member.machine is None or member.generation != generation:
            return
        member.machine.tick(self.now)
        self.at(self.now + TICK, lambda: self._tick(name, generation))

    def _arise(self, name: str, generation: int) -> None:
        """An event, and some time later the next."""
        member = self.members[name]
        machine = member.machine
        if machine is None or member.generation != generation or self.silent:
            return
        chance = self.chance
        for _ in range(1 if chance.random() < 0.9 else chance.randint(2, 40)):
            self.counts["arisen"] += 1
            event: dict[str, Value] = {"kind": chance.choice(KINDS), "name": f"e{self.counts['arisen']}"}
            if chance.random() < 0.8:
                event["tenant"] = f"n{chance.randint(0, 3)}"
            if chance.random() < 0.7:
                event["waited_ms"] = chance.randint(0, 1000)
            if chance.random() < 0.2:
                event["server"] = "s1"
            if machine.wanted and machine.origin is not None:
                machine.event(self.now, event)
                life = member.life
                self.truths[name, life].events[machine.origin.last] = {"member": name, **event}
                self.by_serial[str(event["name"])] = life
        self.later(name, generation, FLUSH, lambda: machine.flush(self.now))
        self.at(self.now + self.wait(0, 2000 / self.rate), lambda: self._arise(name, generation))

    # --- the network

    def _link(self, name: str) -> None:
        for other, member in self.members.items():
            if other != name and member.machine is not None and (name, other) not in self.cuts:
                member.machine.linked(self.now, name)
                machine = self.members[name].machine
                if machine is not None:
                    machine.linked(self.now, other)

    def _carry(self, origin: str, generation: int, to: str, data: bytes) -> bool:
        other = self.members.get(to)
        if other is None or other.machine is None or self.members[origin].generation != generation:
            return False
        if (origin, to) in self.cuts and self.chance.random() < 0.5:
            return False
        self.counts["messages"] += 1
        self.counts["bytes"] += len(data)
        if (origin, to) in self.cuts or self.chance.random() < self.loss:
            return True
        when = self.now + self.wait(1, 4)
        if self.chance.random() < self.late:
            when += self.wait(1, 400)
        else:
            when = max(when, self._busy.get((origin, to), when) + timedelta(microseconds=10))
            self._busy[origin, to] = when
        target = other.generation
        for _ in range(2 if self.chance.random() < self.late / 4 else 1):
            self.at(when, lambda: self._arrive(origin, to, target, data))
        return True

    def _arrive(self, origin: str, to: str, generation: int, data: bytes) -> None:
        member = self.members[to]
        if member.machine is not None and member.generation == generation and (origin, to) not in self.cuts:
            member.machine.heard(self.now, origin, data)

    # --- the play

    def play(self, span: timedelta = 40 * SECOND, clients: int = 8) -> None:
        """Faults and clients for so long, then rest; then everything is judged. Errors: Broken."""
        self.seen_view = {}
        for name in self.members:
            self.start(name)
        self.run(2 * SECOND)
        self.journeys = [Journey(self, number) for number in range(clients)]
        for journey in self.journeys:
            self._live(journey)
        until = self.now + span
        while self.now < until:
            if not self.calm:
                self._fault()
            self.run(self.wait(200, 2500))
        self.loss = self.late = 0.0
        self.cuts.clear()
        for name, member in self.members.items():
            if member.machine is None:
                self.start(name)
            self._link(name)
        self._resting = True
        for journey in self.journeys:
            journey.slow_until = timedelta(0)
        self.run(RESTS)
        self.silent = True
        self.run(RESTS / 3)
        for _ in range(60):
            if not any(
                seat.mode is not Mode.LIVE
                for one in self.journeys if one.client is not None for seat in one.client.seats.values()
            ):  # fmt: skip
                break
            self.run(SECOND)
        self.run(2 * SECOND)
        for journey in self.journeys:
            journey.judge(journey.client is not None)

    _resting = calm = False

    def _fault(self) -> None:
        chance = self.chance
        names = list(self.members)
        one, other = chance.sample(names, 2)
        match chance.choice(FAULTS):
            case "loss":
                self.loss = chance.choice((0.02, 0.1, 0.3))
            case "late":
                self.late = chance.choice((0.02, 0.1, 0.3))
            case "calm":
                self.loss = self.late = 0.0
            case "cut":
                self.cuts |= {(one, other), (other, one)}
            case "half":
                self.cuts.add((one, other))
            case "heal":
                self.cuts.clear()
                for name in names:
                    self._link(name)
            case "kill":
                self.kill(one)
            case "end":
                self.kill(one, clean=True)
            case "start":
                for name in names:
                    if self.members[name].machine is None:
                        self.start(name)
                        break
            case "renew":
                self.renew(one)

    def _live(self, journey: Journey) -> None:
        """A client reads, is slow, changes its filter, goes and comes back."""
        chance = self.chance
        journey.read()
        if journey.client is None:
            name = journey.at if journey.at and chance.random() < 0.3 else chance.choice(list(self.members))
            text = journey.filter if journey.filter and chance.random() < 0.7 else chance.choice(FILTERS)
            try:
                journey.connect(name, text, bool(journey.last_id))
            except Fault:
                if name not in self.old:
                    raise
                self.counts["old_refused"] += 1
        elif not self._resting:
            draw = chance.random()
            machine = self.members[journey.at].machine
            if draw < 0.003:
                journey.drop(told=chance.random() < 0.7)
                self.counts["came_back"] += 1
            elif draw < 0.007 and journey.client.begun and machine is not None:
                text = chance.choice(FILTERS)
                if journey.at not in self.old or ".contains(" not in text:
                    machine.change(self.now, journey.client.name, text)
                    journey.filter = text
                    self.counts["filters_changed"] += 1
            elif draw < 0.010:
                journey.slow_until = self.now + self.wait(500, 8000)
        self.at(self.now + self.wait(5, 60), lambda: self._live(journey))


def explore(
    seed: int, span: timedelta = 40 * SECOND, calm: bool = False, clients: int = 8
) -> tuple[Counter[str], str]:  # fmt: skip
    """One world; what was counted, and what was broken in it, if anything. `calm`: nothing fails."""
    chance = random.Random(seed)
    sizes = chance.randint(2, 6), chance.choice((8, 60, 500)), chance.choice((50, 400, 5000))
    world = EventsWorld(seed, *((sizes[0], 5_000, 50_000) if calm else sizes))
    world.calm = calm
    try:
        world.play(span, clients)
    except Broken as broken:
        return world.counts, f"seed {seed}: {broken}"
    return world.counts, ""
