"""A virtual fleet: members, the network between them, their disks and clocks. One seed gives one run.

The model is FoundationDB's simulation: everything in one thread, all chance from one seed, time moves
from event to
event. The network is harsher than the links are: frames are lost, doubled and overtaken singly.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from mallowquay.fleet.member import Member, MemberTerms, Sends
from mallowquay.fleet.model import Event, Frame, Lasting, View, encode

MILLISECOND = timedelta(milliseconds=1)
BEGIN = timedelta(seconds=1000)  # clocks start above zero
CONNECT_EVERY = 300 * MILLISECOND
DISK_AGAIN = 200 * MILLISECOND
MESSAGES_MOST = 5_000_000


@dataclass(frozen=True, slots=True)
class Weather:
    """What befalls each frame."""

    loss: float = 0.0
    doubled: float = 0.0
    delay: timedelta = 1 * MILLISECOND
    jitter: timedelta = 2 * MILLISECOND


@dataclass
class Host:
    """A machine: its disk and clock stay when the process does not."""

    name: str
    address: str
    rate: float = 1.0  # of its clock against the world's
    offset: timedelta = timedelta(0)
    member: Member | None = None
    disk: Lasting | None = None
    disk_fails: bool = False
    stopped: bool = False
    held: list[tuple[Host, str, Frame]] = field(default_factory=list)  # came while it was stopped
    generation: int = 0  # of its process
    copies: list[Lasting | None] = field(default_factory=list)  # of its disk, of earlier days
    members: dict[str, str] = field(default_factory=dict)  # its file

    @property
    def running(self) -> bool:
        """Whether a process is there and moves."""
        return self.member is not None and not self.stopped


class World:
    """All of it."""

    def __init__(
        self, names: list[str], seed: int, terms: MemberTerms = MemberTerms(), drift: float = 0.0002,
        measured: bool = False,
    ) -> None:  # fmt: skip
        self.chance = random.Random(seed)
        self.now = BEGIN
        self.terms = terms
        self.weather = Weather()
        self.hosts: dict[str, Host] = {}
        members = {name: f"127.0.0.1:{7100 + index}" for index, name in enumerate(names)}
        for name, address in members.items():
            host = Host(name, address, members=dict(members))
            host.rate = 1 + self.chance.uniform(-drift, drift)
            host.offset = timedelta(seconds=self.chance.uniform(0, 1000))
            self.hosts[name] = host
        self.cuts: set[tuple[str, str]] = set()  # directed
        self.connected: set[tuple[str, str]] = set()  # ordered pairs of names
        self.watchers: list[Callable[[Host], None]] = []  # after each step of a member
        self.on_event: Callable[[Host, Event], None] = lambda host, event: None
        self.messages: Counter[str] = Counter()
        self.bytes = 0
        self._measured = measured
        self._queue: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._order = 0
        self.at(self.now, self._connect_all)

    # --- time

    def at(self, when: timedelta, action: Callable[[], None]) -> None:
        """Do something at a moment of the world's time."""
        self._order += 1
        heapq.heappush(self._queue, (when, self._order, action))

    def run(self, span: timedelta) -> None:
        """Let so much time pass."""
        until = self.now + span
        while self._queue and self._queue[0][0] <= until:
            when, _, action = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            action()
        self.now = until

    def clock(self, host: Host) -> timedelta:
        """A machine's monotonic clock."""
        return host.offset + (self.now - BEGIN) * host.rate + BEGIN

    # --- processes

    def start(self, name: str) -> None:
        """Start a process on what its disk holds."""
        host = self.hosts[name]
        assert host.member is None
        host.generation += 1
        chance = random.Random(self.chance.getrandbits(64))
        host.member = Member(name, host.members, host.disk, self.terms, chance, self.clock(host))
        host.stopped = False
        self._carry(host, [])
        if host.member.unsaved:  # a life that cannot be counted does not begin
            host.member = None
            return
        self._wake(host, host.generation)

    def kill(self, name: str) -> None:
        """SIGKILL."""
        host = self.hosts[name]
        host.member, host.stopped, host.held = None, False, []
        self.connected = {pair for pair in self.connected if name not in pair}

    def stop(self, name: str) -> None:
        """SIGSTOP."""
        self.hosts[name].stopped = True

    def go_on(self, name: str) -> None:
        """SIGCONT: what came meanwhile is read, in its order."""
        host = self.hosts[name]
        host.stopped = False
        held, host.held = host.held, []
        for sender, origin, frame in held:
            self._arrive(host, host.generation, sender, origin, frame)
        if host.member is not None:
            self._wake(host, host.generation)

    def copy_disk(self, name: str) -> None:
        """Keep a copy of a disk, for a later day."""
        host = self.hosts[name]
        host.copies = [*host.copies[-4:], host.disk]

    def _wake(self, host: Host, generation: int) -> None:
        if host.generation != generation or host.member is None or host.stopped:
            return
        member = host.member
        self._carry(host, member.tick(self.clock(host)))
        if host.member is not member:
            return
        wait = (member.next_due - self.clock(host)) / host.rate
        self.at(self.now + max(wait, MILLISECOND), lambda: self._wake(host, generation))

    def _carry(self, host: Host, sends: Sends) -> None:
        """As `Node._carry`: the disk first, then what rests on it."""
        member = host.member
        assert member is not None
        if member.unsaved:
            if host.disk_fails:
                sends = []
            else:
                host.disk = self.written(member.lasting)
                member.saved()
        for to, frame in sends:
            self._send(host, to, frame)
        if member.events:
            events, member.events = member.events, []
            for event in events:
                self.on_event(host, event)
        if member.relink:
            member.relink = False
            self.connected = {pair for pair in self.connected if host.name not in pair}
        for watch in self.watchers:
            watch(host)

    def written(self, lasting: Lasting) -> Lasting:
        """What a disk holds after a write; a planted fault may forget some of it."""
        return lasting

    # --- the network

    def _connect_all(self) -> None:
        """Greetings between all that can hear each other both ways."""
        names = [name for name, host in self.hosts.items() if host.running]
        for index, one in enumerate(names):
            for other in names[index + 1 :]:
                pair = (one, other)
                if pair in self.connected or (one, other) in self.cuts or (other, one) in self.cuts:
                    continue
                self._greet(self.hosts[one], self.hosts[other])
        self.at(self.now + CONNECT_EVERY * (0.5 + self.chance.random()), self._connect_all)

    def _greet(self, one: Host, other: Host) -> None:
        first, second = one.member, other.member
        if first is None or second is None or first.stood_down or second.stood_down:
            return
        if first.unsaved or second.unsaved:  # a life that is not on disk yet is told nobody
            return
        if other.name not in first.addresses() or one.name not in second.addresses():
            return
        for greets, host, member in ((one, other, second), (other, one, first)):
            assert greets.member is not None
            known = member.greets_old(greets.name, greets.member.life)
            if known is not None:
                self._carry(greets, greets.member.heard(self.clock(greets), host.name, known))
                return
        self.connected.add((one.name, other.name))
        self._carry(one, first.greeted(self.clock(one), other.name, second.life))
        if other.member is second:
            self._carry(other, second.greeted(self.clock(other), one.name, first.life))

    def _send(self, host: Host, to: str, frame: Frame) -> None:
        if to not in self.hosts or tuple(sorted((host.name, to))) not in self.connected:
            return
        self.messages[type(frame).__name__] += 1
        if self._measured:
            self.bytes += len(encode(frame)) + 4
        if sum(self.messages.values()) > MESSAGES_MOST:
            raise RuntimeError("the world does not come to rest")
        if (host.name, to) in self.cuts or self.chance.random() < self.weather.loss:
            return
        other = self.hosts[to]
        copies = 2 if self.chance.random() < self.weather.doubled else 1
        for _ in range(copies):
            late = self.weather.delay + self.weather.jitter * self.chance.random()
            generation = other.generation
            self.at(
                self.now + late, lambda: self._arrive(other, generation, host, host.name, frame)
            )  # fmt: skip

    def _arrive(self, host: Host, generation: int, sender: Host, origin: str, frame: Frame) -> None:
        if host.member is None or host.generation != generation:
            return
        if (origin, host.name) in self.cuts:
            return
        if host.stopped:
            host.held.append((sender, origin, frame))
            return
        self._carry(host, host.member.heard(self.clock(host), origin, frame))

    def disconnect(self, one: str, other: str) -> None:
        """Reset the connection of a pair."""
        self.connected.discard((min(one, other), max(one, other)))

    # --- what an onlooker sees

    def holders(self) -> dict[str, tuple[int, View]]:
        """Whoever may act now, by its own clock: the term of its lease, and its view."""
        found = {}
        for name, host in self.hosts.items():
            if host.member is not None:
                view = host.member.holds(self.clock(host))
                if view is not None:
                    found[name] = (host.member.views.lease_term, view)
        return found

    def told(self) -> dict[str, Any]:
        """All members' own accounts."""
        return {
            name: host.member.told(self.clock(host)) if host.member is not None else None
            for name, host in self.hosts.items()
        }  # fmt: skip
