"""What is refused first, how room is kept for what is worth most, and when the refused come back. No I/O.

One order: worth for work of the class, less for a tenant's calls beyond its share and for calls that could
only stand late, and a redial after a first try. Levels of that order draw on one token bucket a site (Turner,
1986) down to a mark each: the lesser the call the higher its mark, as trunk reservation keeps the last lines
for direct calls (Akimaru and Kawashima, 1993). So the first calls to go are the least, within one call's time
and without any word from others; what is agreed on top makes all gatekeepers refuse the same ones.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from itertools import product

from ..core.model import Request
from .model import SECOND, ShedBody, SitesTerms

LEVELS_MOST = 16
DEPTH = timedelta(milliseconds=600)  # of a bucket, as time at its rate
DEPTH_LEAST = 2.0  # set-ups: a thin part still lets single calls through
OVERDRAW = 1.7  # of the depth, by the class that is worth most
CALM = 0.75  # of the depth: while no site is out, all marks are lower by this, so chance refuses nobody
# Of the depth, that the second level and the last must leave. What is worth most has its overdraw besides, so
# they are low: above them a bucket has to hold what chance leaves unasked for some tenths of a second.
MARK_FIRST, MARK_LAST = 0.1, 0.5
CUT_MARK = 0.35  # a level that is agreed to be refused takes only what would be lost else
MISSED_MOST = 10_000
SHARE_SPAN = 5 * SECOND  # memory of a tenant's rate
OVER_SHARE = 1.1
STAY = 3 * SECOND  # least stay of what is agreed to be refused
PART_MATTERS = 0.1
REFUSED_LEAST = 0.03  # of a class: less than this is chance
GAP_FIRST, GAP_REST = (0.15, 0.5), (0.5, 1.0)  # of the longest gap: when the refused come back


class Order:
    """The rank of every kind of call: level 0 is refused last."""

    def __init__(self, terms: SitesTerms) -> None:
        values: dict[tuple[int, bool, bool, bool], float] = {}
        for index, kind in enumerate(terms.classes):
            for late, beyond, redial in product((False, True), repeat=3):
                value = kind.worth / kind.work
                value *= (kind.late_worth if late else 1.0) * (terms.beyond_worth if beyond else 1.0)
                # Of calls worth the same the first tries go first: redials are how overload feeds itself.
                values[index, late, beyond, redial] = value * (0.999 if redial else 1.0)
        marks = sorted(set(values.values()), reverse=True)
        places = {value: min(place, LEVELS_MOST - 1) for place, value in enumerate(marks)}
        self._levels = {key: places[value] for key, value in values.items()}
        self.levels = max(self._levels.values()) + 1
        self.of_class = [self._levels[index, False, False, False] for index in range(len(terms.classes))]

    def level(self, kind: int, late: bool, beyond: bool, redial: bool) -> int:
        """The level of a call; of a class that is not known the last."""
        return self._levels.get((kind, late, beyond, redial), self.levels - 1)


class Callers:
    """What the order asks of callers: tenants' rates, and numbers that were refused a moment ago."""

    def __init__(self, terms: SitesTerms, quotas: tuple[float, ...]) -> None:
        """`quotas`: set-ups a second that each tenant may offer here."""
        self._terms, self._quotas = terms, quotas
        self._rates, self._at = [0.0] * len(quotas), [timedelta(0)] * len(quotas)
        self._missed: OrderedDict[str, timedelta] = OrderedDict()

    def beyond(self, tenant: int, now: timedelta) -> bool:
        """Count a call of a tenant; whether it is past its share."""
        if not 0 <= tenant < len(self._quotas):
            return False
        kept = max(0.0, 1.0 - (now - self._at[tenant]) / SHARE_SPAN)
        self._at[tenant] = now
        self._rates[tenant] = self._rates[tenant] * kept + SECOND / SHARE_SPAN
        return self._rates[tenant] > self._quotas[tenant] * OVER_SHARE

    def late(self, request: Request, now: timedelta) -> bool:
        """Whether it could only stand late, by its first try here."""
        first = self._missed.get(request.number) if request.number else None
        if first is None or not 0 <= request.call_class < len(self._terms.classes):
            return False
        kind = self._terms.classes[request.call_class]
        if now - first > max(request.budget * 4, 4 * kind.aim):
            del self._missed[request.number]  # another call to the same number
            return False
        return now - first > kind.aim

    def refused(self, request: Request, now: timedelta) -> None:
        """It will be dialled again."""
        if request.number and request.number not in self._missed:
            self._missed[request.number] = now
            if len(self._missed) > MISSED_MOST:
                self._missed.popitem(last=False)

    def taken(self, request: Request) -> None:
        """It was let in."""
        self._missed.pop(request.number, None)


class Bucket:
    """Set-ups that this gatekeeper may send to one site."""

    __slots__ = ("rate", "tokens", "depth", "marks", "at", "least", "calm")

    def __init__(self, levels: int, now: timedelta) -> None:
        self.rate, self.at = 0.0, now
        self.depth, self.tokens = 0.0, 0.0
        step = (MARK_LAST - MARK_FIRST) / max(1, levels - 2)
        self.marks = [0.0] + [MARK_FIRST + step * place for place in range(max(1, levels - 1))]
        self.least = 0.0
        self.calm = 0.0

    def tune(self, rate: float, now: timedelta, calm: bool = False) -> None:
        """Go on at another rate. A raise gives nothing at once; a fall takes what is above the new depth.

        `calm`: no site is out, so what comes in bunches may wait at the log servers as it did before.
        """
        self._fill(now)
        was, ends = self.depth, self.calm > 0 and not calm
        self.calm = CALM if calm else 0.0
        self.rate = rate
        self.depth = max(rate * (DEPTH / SECOND), DEPTH_LEAST) if rate > 0 else 0.0
        self.least = -OVERDRAW * self.depth
        if not was and self.depth:
            self.tokens = self.depth * 0.5
        if ends:  # what calm lent is not asked back by refusing all that comes as a site is lost
            self.tokens = max(self.tokens, self.marks[1] * self.depth)
        self.tokens = max(min(self.tokens, self.depth), self.least)

    def _fill(self, now: timedelta) -> None:
        if now > self.at:
            self.tokens = min(self.depth, self.tokens + self.rate * ((now - self.at) / SECOND))
            self.at = now

    def take(self, level: int, now: timedelta, cut: bool = False) -> bool:
        """Whether a call of this level may go; it is charged."""
        if self.rate <= 0:
            return False
        self._fill(now)
        if level == 0:
            if self.tokens - 1.0 < self.least:
                return False
        elif cut:
            if self.tokens < CUT_MARK * self.depth:
                return False
        elif self.tokens - 1.0 < (self.marks[level] - self.calm) * self.depth:
            return False
        self.tokens -= 1.0
        return True

    def charge(self, now: timedelta) -> None:
        """A set-up left that was not asked for here: another attempt, or the module's own choice."""
        self._fill(now)
        self.tokens = max(self.tokens - 1.0, self.least)

    def give_back(self) -> None:
        """What was asked for did not go here."""
        self.tokens = min(self.depth, self.tokens + 1.0)


def gap(level: int, most: timedelta, chance: random.Random) -> timedelta:
    """When a refused call is to come back: spread, sooner for what is worth most, never beyond `most`."""
    low, high = GAP_FIRST if level == 0 else GAP_REST
    return most * chance.uniform(low, high)


@dataclass(slots=True)
class Shedding:
    """What is agreed to be refused at one site, as the leader decides it: hysteresis and a least stay."""

    agreed: ShedBody | None = None
    at: timedelta | None = None  # since when

    def look(
        self, order: Order, offered: tuple[float, ...], refused: tuple[float, ...], now: timedelta
    ) -> tuple[bool, ShedBody | None]:  # fmt: skip
        """Whether to change what is agreed, and to what; rates by class of the calls that come in there."""
        wanted: ShedBody | None = None
        for kind in sorted(range(len(offered)), key=lambda k: order.of_class[k]):
            if offered[kind] > 0 and refused[kind] > REFUSED_LEAST * offered[kind]:
                wanted = ShedBody(order.of_class[kind], round(1.0 - refused[kind] / offered[kind], 2))
                break
        if wanted == self.agreed:
            return False, self.agreed
        stayed = self.at is None or now - self.at >= STAY
        harder = wanted is not None and (self.agreed is None or wanted.level < self.agreed.level)
        if not harder and not stayed:
            return False, self.agreed
        if wanted is not None and self.agreed is not None and wanted.level == self.agreed.level:
            if abs(wanted.part - self.agreed.part) < PART_MATTERS:
                return False, self.agreed
        self.agreed, self.at = wanted, now
        return True, wanted
