"""One member's closings: what it carries out when, and what may be read meanwhile. No I/O; time is an
argument.

The owner needs five calls:

    machine = ClosingsMachine(ledger)          # of its disk; or Ledger(life) with a new mark of life
    machine.learn(entries)                     # the agreed ones of kind `closing`, when the book has changed
    for purge in machine.tick(now):            # now: of BoundedClock; at least at `machine.wake_us`, often
        caches.carry_out(purge)                #   while that has passed, and after learn
    if machine.unsaved: ...                    # write and sync joined(machine.ledger, disk); then saved(it)
    handle = machine.handle(kind, scope, now)  # None: it is not there. For each read and each write

From the moment that an instant may have come (`now.latest`) on, what it sweeps is not there; it is carried
out when the instant has surely come (`now.earliest`): the commit wait of Spanner (Corbett et al., OSDI 2012,
4.1.2). So who reads by the old day does so before the instant and who reads by the new one after it, on all
members alike, without a word between them. How old the book is is not asked: its frontier says how far it is
final (plan.py). At the frontier's end, without a bound on the clock, and before the ledger is saved, nothing
is there.

A handle is kept as short as the loop's turn: what was read is as old as the reading of the clock it was read
by.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any

from ..book.model import Entry
from .caches import Generation, Handle, Purge, Scope
from .calendar import moment
from .clocks import Interval
from .ledger import Ledger, carried
from .plan import FRONTIER, Known, Plan, read

SLICES_MOST = 10_000
NEVER = 2**62


class Standing(Enum):
    """How a member stands to its closings. At its start the owner waits for READY, but not for ever: in the
    other states nothing old can be read, and calls need nothing of it.
    """

    READY = "ready"
    MISSED = "closings that were missed are not carried out and saved yet"
    NO_CLOCK = "the clock cannot be bounded"
    NO_PLAN = "the plan that is known does not reach to now"


class ClosingsMachine:
    """See above."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.plan = Plan(None, {}, ())
        self._saved = ledger.mark
        self._entries: Mapping[str, Entry] | None = None
        self._number = -1  # of the frontier that is known
        self._final: list[Known] = []  # not carried out yet, in order
        self._slices: dict[tuple[str, Scope], tuple[Generation, int]] = {}

    @property
    def unsaved(self) -> bool:
        """Whether `ledger` must be made lasting before what it opened is served."""
        return self.ledger.mark > self._saved

    @property
    def until_us(self) -> int:
        """Up to when this member knows every closing; 0: none."""
        return self.plan.frontier.until_us if self.plan.frontier else 0

    @property
    def wake_us(self) -> int:
        """The next instant at which something changes, in UTC."""
        return min(self._final[0].planned.instant_us if self._final else NEVER, self.until_us or NEVER)

    def learn(self, entries: Mapping[str, Entry]) -> None:
        """What is agreed. An older state of the book than one that was learned says nothing."""
        if entries is self._entries:
            return
        entry = entries.get(FRONTIER)
        number = entry.number if entry else 0
        if number < self._number:
            return
        self._number, self._entries = number, entries
        self.plan, mark = read(entries), self.ledger.mark
        self._final = [known for known in self.plan.final() if known.generation > mark]
        self._slices.clear()

    def tick(self, now: Interval | None) -> list[Purge]:
        """What is to be swept now, in order. Nothing of it is readable before the ledger is saved."""
        done = []
        while now is not None and self._final and self._final[0].planned.instant_us <= now.earliest:
            self.ledger, purge = carried(self.ledger, self._final.pop(0), now.earliest)
            if purge is not None:
                done.append(purge)
                self._slices.clear()
        return done

    def saved(self, ledger: Ledger) -> None:
        """This ledger is lasting now."""
        if ledger.life == self.ledger.life:
            self._saved = max(self._saved, ledger.mark)

    def handle(self, kind: str, scope: Scope, now: Interval | None) -> Handle | None:
        """The right to read and write what is held of this, or None: it is not there."""
        generation, until = self._slice(kind, scope)
        if now is None or now.latest >= until or generation > self._saved:
            return None
        return Handle(kind, scope, generation, until)

    def withheld(self, kind: str, scope: Scope, now: Interval | None) -> str:
        """Why it is not there; empty where it is."""
        generation, until = self._slice(kind, scope)
        if now is None:
            return Standing.NO_CLOCK.value
        if now.latest >= self.until_us:
            return Standing.NO_PLAN.value
        if now.latest >= until:
            return "a closing may have come"
        return "a closing is being saved" if generation > self._saved else ""

    def standing(self, now: Interval | None) -> Standing:
        """For the start, and for what is told."""
        if now is None:
            return Standing.NO_CLOCK
        if self.unsaved or (self._final and self._final[0].planned.instant_us <= now.earliest):
            return Standing.MISSED
        return Standing.NO_PLAN if now.latest >= self.until_us else Standing.READY

    def told(self, now: Interval | None) -> dict[str, Any]:
        """For `/closings`."""
        frontier = self.until_us
        return {
            "standing": self.standing(now).name.lower(),
            "clock": None
            if now is None
            else {"earliest": _written(now.earliest), "width_ms": (now.latest - now.earliest) / 1000},
            "final_until": _written(frontier) if frontier else None,
            "carried_out": self.ledger.count,
            "last": self.ledger.name,
            "unreadable": list(self.plan.unreadable),
            "planned": [
                {
                    "name": known.name,
                    "instant": _written(known.planned.instant_us),
                    "rule": known.planned.rule,
                    "zone_data": known.planned.zone,
                    "version": known.planned.version,
                    "final": self.plan.counts(known),
                    "purge": list(known.planned.purge),
                }
                for known in sorted(self.plan.known.values(), key=lambda known: known.generation)
                if known.generation > self.ledger.mark
            ],
        }

    def _slice(self, kind: str, scope: Scope) -> tuple[Generation, int]:
        found = self._slices.get((kind, scope))
        if found is None:
            until = self.until_us
            for known in self._final:
                planned = known.planned
                purge = Purge(known.generation, planned.purge, planned.districts, planned.tenants, 0)
                if purge.covers(kind, scope):
                    until = min(until, planned.instant_us)
                    break
            if len(self._slices) >= SLICES_MOST:
                self._slices.clear()
            found = self._slices[kind, scope] = self.ledger.generation(kind, scope), until
        return found


def _written(at_us: int) -> str:
    try:
        return moment(at_us).isoformat(timespec="milliseconds")
    except OverflowError:
        return str(at_us)
