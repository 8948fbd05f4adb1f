"""Closings planned ahead, as entries of the book: what is final, and what the leader asks for next. No I/O.

An entry of kind `closing` is one occurrence, named "closing/day". Whether a change came in time is judged by
the book's own order, never by comparing clocks: one more entry, the frontier, says "of the book as of number
`seen`, the plan up to `until_us` is final". An occurrence counts if and only if

    it is frozen, its instant is not after `until_us`, and its number is not above `seen`.

Whoever knows the frontier knows every closing up to it for good, and can act alone as long as it reaches: it
moves at `freeze` before now. Nothing can change it behind:

- the leader freezes an occurrence (a change of its entry) and moves the frontier only when it has seen that
  agreed. A change that was under way expects the number before, so the book refuses it;
- nobody asks for a change of a frozen occurrence, but to remove it when it is old;
- an occurrence that lands too late has a number above `seen`: it does not count, and the frontier does not
  move on before it is removed.

So two leaders at once, or a change that is agreed hours after it was asked for, cannot make two plans.
Between two members whose books differ the one with less simply reaches less far.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from functools import lru_cache
from operator import itemgetter
from typing import Annotated, NamedTuple

import msgspec
import xxhash
from msgspec import Struct
from msgspec.structs import replace

from ..book.model import Change, Entry
from .caches import Generation
from .calendar import (
    DAY,
    MICROSECOND,
    CalendarFault,
    Closing,
    Zones,
    micros,
    moment,
    occurrences,
    packaged,
    zone_version,
)
from .clocks import Interval

KIND = "closing"
FRONTIER = "frontier"  # has no "/" as an occurrence's name has
HORIZON = timedelta(hours=48)
FREEZE = timedelta(hours=24)
STEPS = 16  # the frontier moves when it lies a sixteenth of the span behind
KEEP = timedelta(days=7)  # an occurrence stays in the book so long after its instant
FORGET = timedelta(days=366)  # the last one of a closing that there is no more of
CLOSINGS_MOST = 64  # with all that is kept they take a third of the book
NEVER = 2**62
Instant = Annotated[int, msgspec.Meta(ge=0, le=2**53)]  # what can be written as a date
CHANGES_MOST = 64  # that are asked for at a time


class Planned(Struct, frozen=True, array_like=True):
    """The body of an occurrence's entry."""

    instant_us: Instant  # UTC
    rule: str
    zone: str  # the zone data it was worked out with: see `zone_version`
    purge: tuple[str, ...] = ()
    districts: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    version: int = 1  # counts its changes
    frozen: bool = False
    cancelled: bool = False  # stays until its instant has passed, so that nothing under way brings it back


class Frontier(Struct, frozen=True, array_like=True):
    """Of the book as of number `seen` the plan is final up to and with `until_us`."""

    until_us: Instant
    seen: int


class Known(NamedTuple):
    """An occurrence as it stands in the book."""

    name: str
    number: int
    planned: Planned
    generation: Generation  # what it begins


@dataclass(frozen=True, slots=True)
class Plan:
    """The entries of the kind, read."""

    frontier: Frontier | None
    known: Mapping[str, Known]
    unreadable: tuple[str, ...]

    def counts(self, known: Known) -> bool:
        """Whether it is final: all members carry it out."""
        frontier = self.frontier
        return (
            frontier is not None
            and known.planned.frozen
            and not known.planned.cancelled
            and known.planned.instant_us <= frontier.until_us
            and known.number <= frontier.seen
        )

    def final(self) -> list[Known]:
        """Those that count, in the order in which they are carried out."""
        found = [known for known in self.known.values() if self.counts(known)]
        found.sort(key=itemgetter(3))
        return found


_body = lru_cache(4_096)(msgspec.msgpack.Decoder(Planned).decode)  # most of them stay from time to time
_frontier = msgspec.msgpack.Decoder(Frontier)
_encode = msgspec.msgpack.Encoder().encode
_FAULTS = (msgspec.DecodeError, RecursionError)


def read(entries: Mapping[str, Entry]) -> Plan:
    """Never fails. Where an entry that may count cannot be read nothing is final."""
    frontier, known, unreadable = None, {}, []
    for name, entry in entries.items():
        try:
            if name == FRONTIER:
                frontier = _frontier.decode(entry.body)
            else:
                planned = _body(entry.body)
                known[name] = Known(name, entry.number, planned, Generation(planned.instant_us, name))
        except _FAULTS:
            unreadable.append(name)
    if unreadable and frontier is not None:
        if any(entries[name].number <= frontier.seen for name in unreadable):
            frontier = None
    return Plan(frontier, known, tuple(sorted(unreadable)))


def _change(name: str, body: bytes | None, expect: int, frontier: int = 0) -> Change:
    # The same asking by two leaders has one id. The book carries out an id once: what was removed behind the
    # frontier and is to come again has another one, as the frontier has moved between.
    found = xxhash.xxh3_64_hexdigest(_encode((name, body, expect, frontier)))
    return Change(f"{KIND}/{name}#{found}", KIND, name, body, expect)


def differences(closings: Iterable[Closing], plan: Plan, zones: Zones | None = None) -> list[str]:
    """Occurrences that were planned with other zone data than this member has, to be told."""
    zones = zones or packaged()
    own = {closing.name: zone_version(closing.zone, zones) for closing in closings}
    found = []
    for name, known in sorted(plan.known.items()):
        mine = own.get(name.rpartition("/")[0])
        if mine is not None and mine.partition("/")[2] != known.planned.zone.partition("/")[2]:
            found.append(f"{name}: planned with zone data {known.planned.zone}, here are {mine}")
    return found


class _Asking:
    """One look at the plan by a leader."""

    def __init__(
        self, now: Interval, plan: Plan, entries: Mapping[str, Entry], horizon: timedelta, freeze: timedelta
    ) -> None:
        self.plan, self.entries = plan, entries
        self.target = now.earliest + freeze // MICROSECOND
        self.reach = now.latest + max(horizon, freeze) // MICROSECOND
        back = now.earliest - KEEP // MICROSECOND
        self.final = plan.frontier.until_us if plan.frontier else -1
        self.open = max(self.final, back) if plan.frontier else now.latest  # what is added lies after it
        self.step = freeze // STEPS // MICROSECOND
        self.now = now
        self.frontier = entries[FRONTIER].number if FRONTIER in entries else 0
        self.found: list[tuple[int, Change]] = []  # by the instant for which it matters

    def ask(self, name: str, planned: Planned | None, matters_us: int) -> None:
        """A change of an occurrence, None to remove it."""
        entry = self.entries.get(name)
        body = None if planned is None else _encode(planned)
        change = _change(name, body, entry.number if entry else 0, self.frontier)
        self.found.append((matters_us, change))

    def consider(self, name: str, wanted: Planned | None, newer: bool) -> None:
        """What the settings want of a day (None: no closing), against what is planned."""
        known = self.plan.known.get(name)
        if known is not None:
            planned, at = known.planned, known.planned.instant_us
            if self.plan.counts(known):
                return
            if at > self.final:
                if planned.frozen:
                    return  # agreed to be so, and the frontier will have it
                if at > self.target and self._differs(planned, wanted, newer):
                    if wanted is None:
                        changed = replace(planned, cancelled=True, version=planned.version + 1)
                        return self.ask(name, changed, at)
                    if wanted.instant_us > self.target:
                        changed = replace(wanted, version=planned.version + 1)
                        return self.ask(name, changed, min(at, wanted.instant_us))
                if at <= self.target and not planned.cancelled:  # as it is: it is too late for a change
                    self.ask(name, replace(planned, frozen=True), at)
                return
            if planned.cancelled:
                return self.ask(name, None, NEVER)
            # it landed after the frontier had passed its instant, and so does not count
            if wanted is not None and wanted.instant_us <= self.open and planned.version > 1:
                # the move itself came too late and what it replaced is gone: the day ends late, but it ends
                at_us, version = self.target + self.step, planned.version + 1
                wanted = replace(wanted, instant_us=at_us, version=version, rule=f"{wanted.rule} late")
            if wanted is None or wanted.instant_us <= self.open:
                return self.ask(name, None, at)
            self.ask(name, replace(wanted, frozen=wanted.instant_us <= self.target), at)
        elif wanted is not None and self.open < wanted.instant_us <= self.reach:
            soon = wanted.instant_us <= self.target
            self.ask(name, replace(wanted, frozen=soon), wanted.instant_us)

    @staticmethod
    def _differs(planned: Planned, wanted: Planned | None, newer: bool) -> bool:
        if wanted is None or planned.cancelled:
            return not planned.cancelled or wanted is not None
        like = replace(wanted, version=planned.version, zone=planned.zone, frozen=planned.frozen)
        if like == planned:
            return False
        # only the zone data differ: older ones do not undo what newer ones have worked out
        return newer or replace(like, instant_us=planned.instant_us) != planned

    def sweep(self) -> None:
        """Old occurrences go, but for the last of each closing: a new member learns its generation by it."""
        latest: dict[tuple[object, ...], int] = {}
        passed = [known for known in self.plan.final() if known.planned.instant_us <= self.now.earliest]
        for known in passed:
            latest[_alike(known)] = known.planned.instant_us
        for known in passed:
            age = (self.now.earliest - known.planned.instant_us) * MICROSECOND
            if age > FORGET or (age > KEEP and latest[_alike(known)] > known.planned.instant_us):
                self.ask(known.name, None, NEVER)

    def move(self) -> None:
        """The frontier, up to the first occurrence that is not settled yet."""
        before = self.plan.frontier
        open_us = min((at for at, _ in self.found), default=NEVER)
        until = min(self.target, open_us - 1)
        behind = self.target - before.until_us if before else self.step
        if behind < self.step or (before is not None and until <= before.until_us):
            return
        seen = max((entry.number for entry in self.entries.values()), default=0)
        body = _encode(Frontier(until, seen))
        self.found.append((until, _change(FRONTIER, body, self.frontier)))


def _alike(known: Known) -> tuple[object, ...]:
    planned = known.planned
    return known.name.rpartition("/")[0], planned.purge, planned.districts, planned.tenants


def due_changes(
    now: Interval, closings: Iterable[Closing], entries: Mapping[str, Entry],
    horizon: timedelta = HORIZON, freeze: timedelta = FREEZE, zones: Zones | None = None,
) -> list[Change]:  # fmt: skip
    """What the leader asks the book for now, most urgent first; nothing when the plan is as it should be.

    `entries` are the agreed ones of the kind, of one state of the book. To be called again when they have
    changed, and each `freeze / STEPS` at the latest. Without a bound on its clock a leader plans nothing.
    Occurrences that nobody could plan (no majority for long) are planned behind: nobody has served anything
    past the frontier. Errors: CalendarFault.
    """
    zones = zones or packaged()
    closings = list(closings)
    if len(closings) > CLOSINGS_MOST:
        raise CalendarFault(f"{len(closings)} closings, and {CLOSINGS_MOST} are the most", "closings")
    if len({closing.name for closing in closings}) < len(closings):
        raise CalendarFault("two closings of one name", "closings")
    plan = read(entries)
    if plan.unreadable:
        return []  # of a newer release, which knows better; `told` names it
    asking = _Asking(now, plan, entries, horizon, freeze)
    names = set(plan.known)
    begin, end = moment(asking.open) - 2 * DAY, moment(asking.reach) + DAY
    for closing in closings:
        version = zone_version(closing.zone, zones)
        for found in occurrences(closing, begin, end, zones):
            name = f"{closing.name}/{found.day.isoformat()}"
            names.discard(name)
            planned = plan.known.get(name)
            newer = planned is None or version.partition("/")[0] > planned.planned.zone.partition("/")[0]
            wanted = Planned(
                micros(found.instant), found.rule, version, closing.purge, closing.districts, closing.tenants
            )
            asking.consider(name, wanted, newer)
    for name in sorted(names):
        asking.consider(name, None, True)
    asking.move()
    asking.sweep()
    asking.found.sort(key=lambda pair: (pair[0], pair[1].name))
    return [change for _, change in asking.found[:CHANGES_MOST]]
