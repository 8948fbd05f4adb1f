"""The book in the virtual fleet: clients that ask any member, and remember what they were told."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from mallowquay.book.model import BookFault, Change, Entry, Outcome, decode
from mallowquay.book.scribe import Scribe
from mallowquay.fleet.member import MemberTerms
from mallowquay.fleet.views import Role

from .invariants import HEALS_WITHIN, Broken, Invariants, await_healing
from .schedule import Play, Step
from .world import Host, World

MILLISECOND = timedelta(milliseconds=1)
TICK = 50 * MILLISECOND
NAMES = tuple(f"note-{number}" for number in range(6))
KIND, UNKNOWN_KIND = "note", "of-a-later-release"


@dataclass
class Told:
    """What a client was told is agreed, when, and what it had asked for."""

    change: Change
    number: int
    at: timedelta


@dataclass
class Ledger:
    """All that clients know."""

    told: list[Told] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    asked: int = 0


class BookWorld(World):
    """A virtual fleet whose members write and read a book."""

    def __init__(self, names: list[str], seed: int, terms: MemberTerms = MemberTerms()) -> None:
        super().__init__(names, seed, terms)
        self.scribes: dict[str, Scribe] = {}
        self.ledger = Ledger()
        self.book_messages = self.book_bytes = 0
        self.asks_every = 120 * MILLISECOND
        self.ages: list[timedelta] = []
        self._numbers: dict[int, Entry] = {}  # agreed entries by their number, whoever showed them
        self._changes: dict[str, int] = {}  # the number that each change has, once it was seen
        self._last: dict[str, tuple[int, int]] = {}  # the newest change that each life knew
        self._seen: dict[str, bytes] = {}
        self.watchers.append(self._look)
        self.at(self.now, self._tick_all)
        self.at(self.now, self._ask)

    # --- processes

    def start(self, name: str) -> None:
        """A process begins with an empty scribe."""
        self.scribes[name] = Scribe(name)
        super().start(name)
        member = self.hosts[name].member
        if member is not None:
            member.write_with(self.scribes[name])

    def kill(self, name: str) -> None:
        """What it was asked for and had not agreed is gone with it."""
        super().kill(name)
        self.scribes.pop(name, None)

    def _tick_all(self) -> None:
        for host in self.hosts.values():
            if host.running:
                self.step_book(host)
        self.at(self.now + TICK, self._tick_all)

    def step_book(self, host: Host) -> None:
        """As `BookNode._step`."""
        member, scribe = host.member, self.scribes.get(host.name)
        if member is None or scribe is None or member.stood_down is not None:
            return
        if not member.unsaved:
            leads = member.views.role is Role.LEADER
            scribe.agreed(member.lasting.agreed, leads)
            scribe.tick(self.clock(host), member.views.leader or (host.name if leads else ""))
            if scribe.turns and leads:
                self._carry(host, member.turn_page(self.clock(host)))
        sends, scribe.sends = scribe.sends, []
        for to, data in sends:
            self._send_book(host, to, data)

    def _send_book(self, host: Host, to: str, data: bytes) -> None:
        if to not in self.hosts or tuple(sorted((host.name, to))) not in self.connected:
            return
        self.book_messages += 1
        self.book_bytes += len(data)
        if (host.name, to) in self.cuts or self.chance.random() < self.weather.loss:
            return
        other = self.hosts[to]
        generation = other.generation
        for _ in range(2 if self.chance.random() < self.weather.doubled else 1):
            late = self.weather.delay + self.weather.jitter * self.chance.random()
            self.at(self.now + late, lambda: self._arrive_book(other, generation, host.name, data))

    def _arrive_book(self, host: Host, generation: int, origin: str, data: bytes) -> None:
        scribe, member = self.scribes.get(host.name), host.member
        if host.generation != generation or not host.running or scribe is None or member is None:
            return
        if (origin, host.name) in self.cuts:
            return
        scribe.heard(origin, data, member.views.role is Role.LEADER)
        self.step_book(host)

    # --- clients

    def _ask(self) -> None:
        running = [host for host in self.hosts.values() if host.running and host.member is not None]
        if running:
            self.ask(self.chance.choice(running))
        self.at(self.now + self.asks_every * (0.5 + self.chance.random()), self._ask)

    def ask(self, host: Host) -> None:
        """A client asks a member for a change."""
        ledger, draw = self.ledger, self.chance.random()
        ledger.asked += 1
        name = self.chance.choice(NAMES)
        scribe = self.scribes[host.name]
        known = scribe.entries(KIND).get(name)
        body = None if draw < 0.15 else f"{host.name} {ledger.asked}".encode()
        expect = known.number if known is not None and (draw > 0.7 or body is None) else None
        kind = UNKNOWN_KIND if draw > 0.95 else KIND
        owned = host.member is not None and draw > 0.9
        assert host.member is not None
        change = Change(
            f"c{ledger.asked}", kind, name, body, expect if kind == KIND else None,
            host.name if owned else "", host.member.life.mark if owned else 0,
        )  # fmt: skip

        def told(outcome: Outcome) -> None:
            ledger.outcomes[outcome.code or "done"] += 1
            if outcome.done:
                ledger.told.append(Told(change, outcome.number, self.now))

        try:
            scribe.submit(self.clock(host), change, told)
        except BookFault as fault:
            ledger.outcomes[fault.code] += 1

    # --- what must hold

    def _look(self, host: Host) -> None:
        member = host.member
        assert member is not None
        view = member.lasting.agreed
        life = member.life.mark
        if self._seen.get(host.name) is not view.book:
            self._seen[host.name] = view.book
            pages = decode(view.book)
            before = self._last.get(host.name, (0, 0))
            if before[0] == life and pages.last < before[1]:
                raise Broken(f"{host.name} went back from change {before[1]} to {pages.last}")
            self._last[host.name] = (life, pages.last)
            for entry in pages.entries:
                known = self._numbers.setdefault(entry.number, entry)
                if known != entry:
                    raise Broken(f"two changes have number {entry.number}: {known} and {entry}")
                if self._changes.setdefault(entry.change, entry.number) != entry.number:
                    raise Broken(f"{entry} was carried out before, as {self._changes[entry.change]}")
            self._keeps(host, {(e.kind, e.name): e for e in pages.entries}, pages.last)
        if self.chance.random() < 0.05:
            self._fresh(host)

    def _keeps(self, host: Host, entries: dict[tuple[str, str], Entry], last: int) -> None:
        """What a client was told is agreed is in each later book, or something newer is."""
        for told in self.ledger.told[-200:]:
            if told.number > last:
                continue
            found = entries.get((told.change.kind, told.change.name))
            if found is not None and found.number < told.number:
                raise Broken(f"{host.name} brings back {found}, after {told.change} as {told.number}")

    def _fresh(self, host: Host) -> None:
        """Whatever was agreed before the age of what a member knows, it knows."""
        member = host.member
        assert member is not None
        if member.unsaved:
            return
        age = member.views.age(self.clock(host))
        if age is None:
            return
        self.ages.append(age)
        since = self.now - age / host.rate - MILLISECOND
        last = decode(member.lasting.agreed.book).last
        for told in reversed(self.ledger.told[-100:]):
            if told.at < since and told.number > last:
                raise Broken(f"{host.name} knows up to {last}, {age} old at most; {told.number} was told")

    def settled(self) -> str:
        """What is amiss with nothing failing."""
        books = {decode(h.member.lasting.agreed.book) for h in self.hosts.values() if h.member is not None}
        if len(books) != 1:
            return f"{len(books)} books: {sorted(book.last for book in books)}"
        book = next(iter(books))
        newest = max((told.number for told in self.ledger.told), default=0)
        if book.last < newest:
            return f"{newest} was told as agreed, the book ends with {book.last}"
        entries = {(entry.kind, entry.name): entry for entry in book.entries}
        latest: dict[tuple[str, str], Told] = {}
        for told in self.ledger.told:
            key = told.change.kind, told.change.name
            if key not in latest or latest[key].number < told.number:
                latest[key] = told
        for key, told in latest.items():
            found = entries.get(key)
            if found is not None and found.number < told.number:
                return f"{key} is {found}, and {told.change} was told as {told.number}"
            if found is None and told.change.body is not None and not told.change.owner:
                removed = [t for t in self.ledger.told if t.change.body is None and t.number > told.number]
                unknown = self.ledger.outcomes["book.late"] or self.ledger.asked > len(self.ledger.told)
                if not removed and not unknown:
                    return f"{key} is gone, and {told.change} was told as {told.number}"
        return ""


@dataclass(frozen=True, slots=True)
class BookOutcome:
    """What a run came to."""

    healed_after: timedelta
    asked: int
    agreed: int
    late: int
    conflicts: int
    checks: int


def play_book(world: BookWorld, steps: list[Step]) -> BookOutcome:
    """Start a fleet, let clients write while a schedule happens, mend everything. Errors: Broken."""
    invariants = Invariants(world)
    for name in world.hosts:
        world.start(name)
    await_healing(world, invariants)
    hand = Play(world)
    for step in steps:
        world.run(step.wait_ms * MILLISECOND)
        hand.step(step)
    hand.mend()
    healed = await_healing(world, invariants)
    world.asks_every = HEALS_WITHIN * 100  # no more: all is told, or late, before the last look
    world.run(timedelta(seconds=8))
    amiss = world.settled()
    if amiss:
        raise Broken(amiss)
    outcomes = world.ledger.outcomes
    return BookOutcome(
        healed, world.ledger.asked, len(world.ledger.told), outcomes["book.late"], outcomes["book.conflict"],
        invariants.checks,
    )  # fmt: skip
