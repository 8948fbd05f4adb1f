"""Faults of a virtual fleet, drawn from a seed; the same kinds that the rig causes between processes."""

from __future__ import annotations

import random
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

import msgspec

from .invariants import Invariants, await_healing
from .world import Weather, World

MILLISECOND = timedelta(milliseconds=1)


class Fault(Enum):
    """What can happen."""

    CUT = "cut"  # a pair, both ways
    CUT_ONE_WAY = "cut_one_way"
    SPLIT = "split"  # the fleet, into two
    ISOLATE = "isolate"
    HEAL = "heal"
    RESET = "reset"
    LOSS = "loss"
    CALM = "calm"
    SLOW = "slow"
    STALLS = "stalls"  # frames come up to some seconds late, past elections
    STOP = "stop"
    GO_ON = "go_on"
    KILL = "kill"
    START = "start"
    WIPE = "wipe"
    OLD_DISK = "old_disk"
    COPY_DISK = "copy_disk"
    DISK_FAILS = "disk_fails"
    DISK_WORKS = "disk_works"
    ALL_AT_ONCE = "all_at_once"


class Step(msgspec.Struct, frozen=True):
    """One fault: how long after the one before, which, and to whom."""

    wait_ms: int
    fault: Fault
    names: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a run came to."""

    healed_after: timedelta
    checks: int
    messages: int
    views: int


def draw(seed: int, names: list[str], steps: int, kinds: list[Fault] | None = None) -> list[Step]:
    """A schedule. Swarm testing (Groce et al., ISSTA 2012): each leaves some kinds of faults out."""
    chance = random.Random(seed)
    every = [fault for fault in Fault if fault not in (Fault.HEAL, Fault.CALM, Fault.GO_ON, Fault.START)]
    chosen = kinds or [fault for fault in every if chance.random() < 0.6] or [Fault.KILL]
    ends = {
        Fault.LOSS: Fault.CALM,
        Fault.SLOW: Fault.CALM,
        Fault.STALLS: Fault.CALM,
        Fault.STOP: Fault.GO_ON,
        Fault.KILL: Fault.START,
    }
    found = []
    for _ in range(steps):
        fault = chance.choice(chosen)
        if chance.random() < 0.45:
            fault = ends.get(fault, Fault.HEAL)
        names_of = tuple(
            chance.sample(names, 2 if fault in (Fault.CUT, Fault.CUT_ONE_WAY, Fault.RESET) else 1)
        )
        if fault is Fault.SPLIT:
            names_of = tuple(chance.sample(names, chance.randint(1, len(names) - 1)))
        found.append(Step(round(chance.expovariate(1 / 700)), fault, names_of))
    return found


class Play:
    """Plays a schedule in a world, within the number of disks that may be lost at once."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._names = list(world.hosts)
        self._lost_most = (len(self._names) - 1) // 2

    def _forgetful(self) -> set[str]:
        """Members whose present disk does not count yet: one more loss of a disk may be one too many."""
        agreed = max(
            (host.disk.agreed for host in self._world.hosts.values() if host.disk is not None),
            key=lambda view: view.key, default=None,
        )  # fmt: skip
        if agreed is None:
            return set(self._names)
        found = set()
        for name, host in self._world.hosts.items():
            if host.disk is None or host.disk.life.disk != agreed.disk_of(name):
                found.add(name)
        return found

    def step(self, step: Step) -> None:
        """Let a fault happen, where it may."""
        world, fault, names = self._world, step.fault, step.names
        host = world.hosts[names[0]] if names else None
        if fault is Fault.CUT:
            world.cuts |= {(names[0], names[1]), (names[1], names[0])}
        elif fault is Fault.CUT_ONE_WAY:
            world.cuts.add((names[0], names[1]))
        elif fault is Fault.ISOLATE:
            self._split(set(names))
        elif fault is Fault.SPLIT:
            self._split(set(names))
        elif fault is Fault.HEAL:
            world.cuts.clear()
        elif fault is Fault.RESET:
            world.disconnect(*names)
        elif fault is Fault.LOSS:
            world.weather = Weather(loss=0.2, doubled=0.1, jitter=30 * MILLISECOND)
        elif fault is Fault.SLOW:
            world.weather = Weather(delay=40 * MILLISECOND, jitter=400 * MILLISECOND)
        elif fault is Fault.STALLS:
            world.weather = Weather(doubled=0.1, jitter=timedelta(seconds=4))
        elif fault is Fault.CALM:
            world.weather = Weather()
        elif fault is Fault.ALL_AT_ONCE:
            self._all_at_once()
        elif host is not None:
            self._to_host(fault, host.name)

    def _split(self, group: set[str]) -> None:
        for one in self._names:
            for other in self._names:
                if (one in group) is not (other in group):
                    self._world.cuts.add((one, other))

    def _all_at_once(self) -> None:
        """Power is lost and comes back."""
        for name, host in self._world.hosts.items():
            host.disk_fails = False
            self._world.kill(name)
        for name in self._names:
            self._world.start(name)

    def _to_host(self, fault: Fault, name: str) -> None:
        world, host = self._world, self._world.hosts[name]
        if fault is Fault.STOP and host.running:
            world.stop(name)
        elif fault is Fault.GO_ON and host.stopped:
            world.go_on(name)
        elif fault is Fault.KILL and host.member is not None:
            world.kill(name)
        elif fault is Fault.START and host.member is None:
            world.start(name)
        elif fault is Fault.COPY_DISK:
            world.copy_disk(name)
        elif fault is Fault.DISK_FAILS:
            host.disk_fails = True
        elif fault is Fault.DISK_WORKS:
            host.disk_fails = False
        elif fault is Fault.WIPE and self._may_lose(name):
            world.kill(name)
            host.disk, host.disk_fails = None, False
            world.start(name)
        elif fault is Fault.OLD_DISK and host.copies and self._may_lose(name) and self._quiet(name):
            world.kill(name)
            host.disk, host.disk_fails = host.copies[0], False
            world.start(name)
            world.run(3 * world.terms.views.patience)

    def _may_lose(self, name: str) -> bool:
        return len(self._forgetful() | {name}) <= self._lost_most

    def _quiet(self, name: str) -> bool:
        """Whether whoever knows better than an old disk can say so: see trust.py."""
        world = self._world
        others = [host for other, host in world.hosts.items() if other != name]
        if world.cuts or not all(host.running and not host.disk_fails for host in others):
            return False
        return world.weather == Weather() and not self._forgetful()

    def mend(self) -> None:
        """End every fault."""
        world = self._world
        world.cuts.clear()
        world.weather = Weather()
        for name, host in world.hosts.items():
            host.disk_fails = False
            if host.stopped:
                world.go_on(name)
            if host.member is None:
                world.start(name)


def play(world: World, steps: list[Step]) -> Outcome:
    """Start a fleet, let a schedule happen, mend everything. Errors: Broken."""
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
    return Outcome(healed, invariants.checks, sum(world.messages.values()), len(invariants.agreed))
