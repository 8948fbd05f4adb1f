"""Copies in the virtual fleet: journals that lose what was not synced, clients that are told what is
promised.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from mallowquay.copies.machine import Batch, Copies, CopyTerms
from mallowquay.copies.model import Message, Op, encode
from mallowquay.fleet.member import MemberTerms

from .invariants import HEALS_WITHIN, Broken, Invariants, await_healing
from .schedule import Play, Step
from .world import Host, World

MILLISECOND = timedelta(milliseconds=1)
TICK = 50 * MILLISECOND
JOURNAL_MOST = 4000  # operations, before the journal is written anew
KIND = "lease"


@dataclass
class Side:
    """What copies add to a machine."""

    copies: Copies | None = None
    journal: list[Op] = field(default_factory=list)  # synced
    disk: int = 0  # the mark of the disk that the journal is on
    writing: Batch | None = None
    generation: int = 0
    waiting: list[tuple[int, Callable[[], None]]] = field(default_factory=list)  # promised at this number
    old_journals: dict[int, list[Op]] = field(default_factory=dict)  # with the copies of the disk


class CopiesWorld(World):
    """A virtual fleet whose members keep copies."""

    def __init__(
        self, names: list[str], seed: int, copy_terms: CopyTerms = CopyTerms(),
        terms: MemberTerms = MemberTerms(),
    ) -> None:  # fmt: skip
        super().__init__(names, seed, terms)
        self.copy_terms = copy_terms
        self.sides = {name: Side() for name in names}
        self.owners: dict[str, set[str]] = {}  # key to whoever acts for it, as the machines say
        self.copies_messages: Counter[str] = Counter()
        self.copies_bytes = 0
        self.syncs = 0
        self.watchers.append(self._follow)

    # --- processes

    def start(self, name: str) -> None:
        """Start a process; its journal goes with its disk."""
        super().start(name)
        self._follow(self.hosts[name])

    def kill(self, name: str) -> None:
        """SIGKILL: what was not synced is lost, but for a part of it that had reached the disk."""
        side = self.sides[name]
        if side.writing is not None:
            ops = list(side.writing.ops)
            side.journal += ops[: self.chance.randint(0, len(ops))]
        side.copies, side.writing, side.waiting = None, None, []
        side.generation += 1
        super().kill(name)

    def copy_disk(self, name: str) -> None:
        """The journal is copied along."""
        super().copy_disk(name)
        host, side = self.hosts[name], self.sides[name]
        if host.disk is not None:
            side.old_journals[id(host.disk)] = list(side.journal)

    def _follow(self, host: Host) -> None:
        """A life began, or another one after it: its copies begin with it."""
        member, side = host.member, self.sides[host.name]
        if member is None:
            return
        if side.copies is not None and side.copies.life == member.life:
            return
        if side.disk != member.life.disk:
            # An empty disk, or one that was begun anew because it was old.
            side.journal, side.disk = [], member.life.disk
            loaded: list[Op] = []
        elif side.copies is not None:
            loaded = list(side.copies.keeper.dump())
            side.journal = list(loaded)  # written whole, in place of what was under way
        else:
            loaded = side.journal
        chance = random.Random(self.chance.getrandbits(64))
        side.copies = Copies(host.name, member.life, loaded, self.copy_terms, chance, self.clock(host))
        side.writing, side.waiting = None, []
        side.generation += 1
        self._tick_copies(host, side.generation)

    def _tick_copies(self, host: Host, generation: int) -> None:
        side = self.sides[host.name]
        if side.generation != generation or side.copies is None:
            return
        member = host.member
        if member is not None and not host.stopped:
            now = self.clock(host)
            if side.copies.fenced and member.stood_down is None and member.question.status.value == "trusted":
                member.renew(now)
                self._carry(host, [])
                return
            side.copies.tick(now, member.holds(now), {})
            self.carry_copies(host)
        self.at(self.now + TICK, lambda: self._tick_copies(host, generation))

    def carry_copies(self, host: Host) -> None:
        """Send what may leave; give the disk what is to be written."""
        side = self.sides[host.name]
        copies = side.copies
        if copies is None:
            return
        sends, copies.sends = copies.sends, []
        for sent in sends:
            self._send_copies(host, sent.to, sent.message)
        if copies.adopted:
            adopted, copies.adopted = copies.adopted, []
            for one in adopted:
                self.acts(host, one.key)
        while side.waiting and side.waiting[0][0] <= copies.promised:
            side.waiting.pop(0)[1]()
        if side.writing is None and not host.disk_fails:
            batch = copies.take()
            if batch is not None:
                side.writing = batch
                generation = side.generation
                slow = 200 if batch.ops and self.chance.random() < 0.05 else 1  # a disk that stalls
                span = timedelta(microseconds=slow * self.chance.randint(100, 2000) if batch.ops else 1)
                self.at(self.now + span, lambda: self._synced(host, generation, batch))

    def _synced(self, host: Host, generation: int, batch: Batch) -> None:
        side = self.sides[host.name]
        if side.generation != generation or side.copies is None:
            return
        if host.stopped or host.disk_fails:
            self.at(self.now + 20 * MILLISECOND, lambda: self._synced(host, generation, batch))
            return
        self.syncs += bool(batch.ops)
        side.journal += self.kept(batch.ops)
        if len(side.journal) > JOURNAL_MOST and len(side.journal) > 3 * self._live(side.copies):
            side.journal = list(self._as_synced(side))
        side.writing = None
        side.copies.synced(self.clock(host), batch)
        self.carry_copies(host)

    def kept(self, ops: tuple[Op, ...]) -> tuple[Op, ...]:
        """What a disk has after a sync; a planted fault may forget some of it."""
        return ops

    @staticmethod
    def _live(copies: Copies) -> int:
        return sum(len(held.live) for held in copies.keeper.logs.values()) + 100

    def _as_synced(self, side: Side) -> list[Op]:
        """A journal of its own that brings back what this one does: what a compaction writes."""
        from mallowquay.copies.keeper import Keeper

        assert side.copies is not None
        again = Keeper(side.copies.keeper.holder, [], lambda to, message: None)
        again.load(side.journal)
        return list(again.dump())

    # --- the network

    def _send_copies(self, host: Host, to: str, message: Message) -> None:
        pair = (min(host.name, to), max(host.name, to))
        if to not in self.hosts or pair not in self.connected or (host.name, to) in self.cuts:
            return
        self.copies_messages[type(message).__name__] += 1
        self.copies_bytes += len(encode(message)) + 12
        if self.chance.random() < self.weather.loss:
            return
        other, side = self.hosts[to], self.sides[to]
        for _ in range(2 if self.chance.random() < self.weather.doubled else 1):
            late = self.weather.delay + self.weather.jitter * self.chance.random()
            generation = side.generation
            self.at(self.now + late, lambda: self._arrive_copies(other, generation, host.name, message))

    def _arrive_copies(self, host: Host, generation: int, origin: str, message: Message) -> None:
        side = self.sides[host.name]
        if side.copies is None or side.generation != generation or (origin, host.name) in self.cuts:
            return
        if host.stopped:
            self.at(
                self.now + 20 * MILLISECOND, lambda: self._arrive_copies(host, generation, origin, message)
            )
            return
        side.copies.heard(self.clock(host), origin, message)
        self.carry_copies(host)

    # --- who acts

    def may_act(self, name: str) -> bool:
        """Whether a member may act for its records at this moment, by its own clock."""
        host, copies = self.hosts[name], self.sides[name].copies
        member = host.member
        return (
            member is not None and copies is not None and not copies.fenced and not host.stopped
            and member.holds(self.clock(host)) is not None
        )  # fmt: skip

    def acts(self, host: Host, key: str) -> None:
        """A member begins to act for a record: nobody else may at this moment."""
        for name, side in self.sides.items():
            if name != host.name and side.copies is not None and (KIND, key) in side.copies.records:
                if self.may_act(name):
                    raise Broken(f"{key} is acted on by {name}, and {host.name} begins to")


@dataclass
class Client:
    """Puts records at members, lets them end, and remembers only what it was told."""

    world: CopiesWorld
    chance: random.Random
    every: timedelta = 25 * MILLISECOND
    put: int = 0
    promised: dict[str, str] = field(default_factory=dict)  # key to the member that said so
    ending: set[str] = field(default_factory=set)  # asked to end, not told yet
    ended: set[str] = field(default_factory=set)
    waits: list[float] = field(default_factory=list)  # milliseconds until a promise
    running: bool = True

    def begin(self) -> None:
        """Go on until told otherwise."""
        self.world.at(self.world.now + self.every, self._step)

    def _step(self) -> None:
        if not self.running:
            return
        world, chance = self.world, self.chance
        names = [name for name, side in world.sides.items() if side.copies is not None]
        if names:
            name = chance.choice(names)
            if world.hosts[name].running:
                if self.promised and chance.random() < 0.45:
                    self._end(name)
                else:
                    self._begin_one(name)
        world.at(world.now + self.every * (0.5 + chance.random()), self._step)

    def _begin_one(self, name: str) -> None:
        side = self.world.sides[name]
        copies = side.copies
        assert copies is not None
        if copies.fenced:
            return
        self.put += 1
        key, begun = f"k{self.put}", self.world.now

        def told() -> None:
            self.promised[key] = name
            self.waits.append((self.world.now - begun) / MILLISECOND)

        side.waiting.append((copies.put(KIND, key, b"x" * self.chance.randint(1, 300)), told))
        copies.flush(self.world.clock(self.world.hosts[name]))
        self.world.carry_copies(self.world.hosts[name])

    def _end(self, name: str) -> None:
        """End a record that this member acts for."""
        side = self.world.sides[name]
        copies = side.copies
        assert copies is not None
        if not self.world.may_act(name):
            return
        mine = [key for key in list(self.promised)[:200] if (KIND, key) in copies.records]
        mine = [key for key in mine if key not in self.ending]
        if not mine:
            return
        key = self.chance.choice(mine)
        self.ending.add(key)
        side.waiting.append((copies.forget(KIND, key), lambda: self._ended(key)))
        copies.flush(self.world.clock(self.world.hosts[name]))
        self.world.carry_copies(self.world.hosts[name])

    def _ended(self, key: str) -> None:
        self.promised.pop(key, None)
        self.ended.add(key)

    def judge(self) -> str:
        """What is amiss once all is well: "" if every promise is kept."""
        held: Counter[str] = Counter()
        for side in self.world.sides.values():
            if side.copies is not None:
                held.update(key for kind, key in side.copies.records if kind == KIND)
        lost = [key for key in self.promised if key not in self.ending and not held[key]]
        back = [key for key in self.ended if held[key]]
        twice = [key for key, count in held.items() if count > 1]
        if lost or back or twice:
            return f"lost {lost[:5]} of {len(self.promised)}, came back {back[:5]}, twice {twice[:5]}"
        return ""


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a run came to."""

    healed_after: timedelta
    promised: int
    ended: int
    waits: tuple[float, ...]


def play(world: CopiesWorld, steps: list[Step], every: timedelta = 25 * MILLISECOND) -> Outcome:
    """A fleet under faults, with a client; then everything is mended and judged. Errors: Broken."""
    invariants = Invariants(world)
    for name in world.hosts:
        world.start(name)
    await_healing(world, invariants)
    client = Client(world, random.Random(world.chance.getrandbits(64)), every)
    client.begin()
    hand = CopiesPlay(world)
    for step in steps:
        world.run(step.wait_ms * MILLISECOND)
        hand.step(step)
    client.running = False
    hand.mend()
    begun = world.now
    await_healing(world, invariants)
    amiss = ""
    while world.now - begun < 2 * HEALS_WITHIN:
        world.run(timedelta(milliseconds=200))
        amiss = client.judge() or unrecovered(world)
        if not amiss:
            break
    if amiss:
        raise Broken(
            f"{amiss}; {[side.copies.told() if side.copies else None for side in world.sides.values()]}"
        )
    return Outcome(world.now - begun, len(client.promised), len(client.ended), tuple(client.waits))


def unrecovered(world: CopiesWorld) -> str:
    """Logs of lives that are over and still held, or ensembles that are not whole."""
    present = {side.copies.log for side in world.sides.values() if side.copies is not None}
    for name, side in world.sides.items():
        copies = side.copies
        if copies is None:
            continue
        left = sorted(set(copies.keeper.logs) - present)
        if left:
            return f"{name} still holds {left[0]}"
        if copies.writer.promised < copies.writer.seq:
            return f"{name} has promised {copies.writer.promised} of {copies.writer.seq}"
    return ""


def whole(side: Side) -> bool:
    """Whether every holder of a member's log has all of it."""
    copies = side.copies
    if copies is None or copies.writer.ensemble is None or copies.writer.next is not None:
        return False
    return copies.writer.protection() == len(copies.writer.ensemble.holders)


class CopiesPlay(Play):
    """A copy of the disk is put back with its journal."""

    def __init__(self, world: CopiesWorld) -> None:
        super().__init__(world)
        self._copies_world = world
        self._lost: set[str] = set()  # disks, since all was copied again

    def _may_lose(self, name: str) -> bool:
        """Disks that are lost before all is copied again: one fewer than hold each entry when it is
        promised.
        """
        world = self._copies_world
        if not unrecovered(world) and all(whole(side) for side in world.sides.values()):
            self._lost.clear()
        wanted = self._lost | {name}
        if len(wanted) >= world.copy_terms.write or not super()._may_lose(name):
            return False
        self._lost = wanted
        return True

    def _to_host(self, fault: object, name: str) -> None:
        world = self._world
        assert isinstance(world, CopiesWorld)
        side, host = world.sides[name], world.hosts[name]
        before = host.copies[0] if host.copies else None
        journal = side.journal
        if before is not None and id(before) in side.old_journals:
            journal = side.old_journals[id(before)]
        from .schedule import Fault

        if fault is Fault.OLD_DISK and before is not None and self._quiet(name) and self._may_lose(name):
            world.kill(name)
            side.journal = list(journal)
        super()._to_host(fault, name)  # type: ignore[arg-type]
