"""Each gatekeeper's part of each site, so that the sum keeps its limit though nobody hears everybody.

The parts are one entry of the book. A member is lowered first, and what it gave up is given to others only
when it has said that it goes by the lower part, or can no longer go by the higher one: what each may still be
using (`held`) is part of the entry, and the sum of that is what keeps the limit. This is the demarcation
protocol (Barbará and Garcia-Molina, 1992) with the book's order in place of messages between pairs.

Who has no lease claims nothing of others' sites. Of its own district's it keeps its part while all of the
district that was up lacks the lease as well, for then it is cut off as a whole and nobody else has these
parts; one that is cut off alone falls to an n-th of it, for good until it has a lease again.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from .model import SECOND, PartBody, PartsBody, SitesTerms

LONE_PART = 0.5  # of its part is left to a home member that is cut off alone
LONE_AFTER = 5 * SECOND  # without a lease, and somebody of the district has one or is not heard
SPLIT_LOAD = 3.0  # set-ups a second that each is taken to offer besides what is seen
STANDBY = 0.5  # of the room below the ceiling is in others' hands ahead of any loss
MATTERS = 0.03  # of a site's capacity: smaller changes, all together, are not written
MARGIN = 1.25  # on spans of other members' clocks


def home_even(capacity: float, members: int) -> float:
    """A home member's part while there is no entry."""
    return capacity / members


def home_least(capacity: float, members: int) -> float:
    """What a home member may always use: the n-th of an n-th. No entry gives it less."""
    return capacity / members**2


@dataclass(frozen=True, slots=True)
class Gone:
    """A member that the held view does not have up."""

    name: str
    no_lease: bool  # for so long that its lease has surely run out
    alone: bool  # one of its district that was up with it has held a lease ever since, past LONE_AFTER


def targets(
    terms: SitesTerms, districts: Mapping[str, str], loads: Mapping[str, float], up: Iterable[str],
    flows: Mapping[tuple[str, str], float], limits: Mapping[str, float], open_: Mapping[str, float],
    origins: Mapping[str, str] = {},
) -> dict[tuple[str, str], float]:  # fmt: skip
    """The parts that are wanted, of whole capacity.

    `loads`: by member, set-ups offered a second; `flows`: from origin to site, as planned for now; `origins`:
    of members that are planned for by themselves;
    `limits`: by site; `open_`: the part of a site that is open, which scales its parts where they are used.
    """
    there = set(up)
    by_district: dict[str, list[str]] = {}
    for name, district in sorted(districts.items()):
        if name in there:
            by_district.setdefault(origins.get(name, district), []).append(name)
    names = sorted({*(site.name for site in terms.sites), *by_district})
    district_of = {origin: districts.get(origin, origin) for origin in names}
    found: dict[tuple[str, str], float] = {}
    for site in terms.sites:
        limit = limits[site.name]
        here = sorted(name for name, district in districts.items() if district == site.name)
        usable = open_.get(site.name, 1.0)
        given = 0.0
        shut = usable < 1.0 or not any(name in there for name in here) and bool(here)
        if not shut:
            through = {o: flows.get((o, site.name), 0.0) for o in names if district_of[o] != site.name}
            below = min(limit, terms.ceiling * site.capacity)
            own = sum(flows.get((o, site.name), 0.0) for o in names if district_of[o] == site.name)
            room = max(0.0, below - own)
            least = sum(home_least(site.capacity, len(here)) for _ in here)
            scale = min(1.0, max(0.0, limit - least) / (sum(through.values()) or 1.0))
            spare = max(0.0, min(room - sum(through.values()), limit - least - sum(through.values())))
            others = [origin for origin in through if by_district.get(origin)]
            for origin in others:
                part = through[origin] * scale + spare * STANDBY / len(others)
                for name, share in _split(by_district[origin], loads):
                    found[name, site.name] = part * share
                    given += part * share
        home = [name for name in here if name in there]  # also one that is planned for by itself
        floor = home_least(site.capacity, len(here)) if here else 0.0
        for name in here:
            found[name, site.name] = floor
        left = max(0.0, limit - given - floor * len(here))
        for name, share in _split(home, loads):
            found[name, site.name] = floor + left * share
    return found


def _split(members: list[str], loads: Mapping[str, float]) -> list[tuple[str, float]]:
    """By offered load, but as if each had some more than is seen: a thin one may get a call any time."""
    total = sum(loads.get(name, 0.0) + SPLIT_LOAD for name in members)
    return [(name, (loads.get(name, 0.0) + SPLIT_LOAD) / total) for name in members]


def next_parts(
    terms: SitesTerms, districts: Mapping[str, str], before: PartsBody | None, acked: Iterable[str],
    gone: Iterable[Gone], wanted: Mapping[tuple[str, str], float], limits: Mapping[str, float], plan: int,
) -> PartsBody:  # fmt: skip
    """The entry after `before`: all that is to fall falls, and what is free by then is given.

    `acked`: who says that it goes by `before`; `limits`: what the sum of each site's `held` must keep.
    """
    said, away = set(acked), {one.name: one for one in gone}
    old = {(p.member, p.site): p for p in before.parts} if before is not None else {}
    made: list[PartBody] = []
    for site in terms.sites:
        here = [name for name, district in districts.items() if district == site.name]
        floor = home_least(site.capacity, len(here)) if here else 0.0
        using: dict[str, float] = {}
        for name, district in districts.items():
            known = old.get((name, site.name))
            if known is None:
                first = before is None and district == site.name
                using[name] = home_even(site.capacity, len(here)) if first else 0.0
            else:
                using[name] = known.part if name in said else known.held
            lost = away.get(name)
            if lost is not None and district != site.name and lost.no_lease:
                using[name] = 0.0
            if lost is not None and district == site.name and lost.alone:
                using[name] = min(using[name], max(using[name] * LONE_PART, floor))
            if district == site.name:
                using[name] = max(using[name], floor)
        now_part = {name: min(using[name], wanted.get((name, site.name), 0.0)) for name in districts}
        for name in here:
            now_part[name] = max(now_part[name], floor)
        room = max(0.0, limits[site.name] - sum(using.values()))
        raises = {
            name: wanted.get((name, site.name), 0.0) - using[name]
            for name in districts
            if name not in away and wanted.get((name, site.name), 0.0) > using[name]
        }
        scale = min(1.0, room / sum(raises.values())) if raises else 0.0
        for name, more in raises.items():
            now_part[name] = using[name] + more * scale
        for name in sorted(districts):
            part, held = now_part[name], max(using[name], now_part[name])
            if held > 0:
                made.append(PartBody(name, site.name, _down(part), _up(held)))
    return PartsBody(plan, tuple(made))


def _down(rate: float) -> float:
    return int(rate * 1000) / 1000


def _up(rate: float) -> float:
    down = int(rate * 1000) / 1000
    return down if down >= rate else (int(rate * 1000) + 1) / 1000


def differs(terms: SitesTerms, before: PartsBody | None, after: PartsBody) -> bool:
    """Whether the change is worth an entry."""
    if before is None:
        return True
    old = {(p.member, p.site): p for p in before.parts}
    new = {(p.member, p.site): p for p in after.parts}
    none = PartBody("", "", 0.0, 0.0)
    for site in terms.sites:
        moved = 0.0
        for key in old.keys() | new.keys():
            if key[1] == site.name:
                was, now = old.get(key, none), new.get(key, none)
                moved += max(abs(was.part - now.part), abs(was.held - now.held))
        if moved > MATTERS * site.capacity:
            return True
    return False


class OwnParts:
    """What one member may use, whatever it has heard."""

    def __init__(self, name: str, terms: SitesTerms, districts: Mapping[str, str]) -> None:
        self.name, self._terms, self._districts = name, terms, dict(districts)
        self.home = districts.get(name, "")
        self._members = max(1, sum(district == self.home for district in districts.values()))
        self.number = 0  # of the entry that it goes by
        self._parts: dict[str, float] = {}
        self._known = False
        self._ever_held = False
        self._lost_at: timedelta | None = None  # when the lease was seen to be gone
        self._again_at: timedelta | None = None  # when it was seen to be there again
        self.entitled = False
        self.fallen = False

    def districts_told(self, districts: Mapping[str, str]) -> None:
        """Members that are new in the file or missing from it."""
        self._districts = dict(districts)
        self._members = max(1, sum(district == self.home for district in districts.values()))

    def book(self, number: int, body: PartsBody) -> None:
        """A newer entry; an older one says nothing."""
        if number > self.number:
            self.number, self._known = number, True
            self._parts = {p.site: p.part for p in body.parts if p.member == self.name}

    def look(self, now: timedelta, holds: bool, mates_up: Iterable[str], without: Iterable[str]) -> None:
        """Whether the lease is there; `mates_up`: of the district by the last view; `without`: who says that
        it has no lease either."""
        if holds:
            if not self._ever_held or self._lost_at is not None:
                self._again_at = now
            self._ever_held, self._lost_at, self.fallen = True, None, False
            # What it had of others' sites may be theirs by now: a lease long it only hears.
            self.entitled = self._again_at is None or now - self._again_at >= self._terms.lease
            return
        self.entitled = False
        if self._lost_at is None:
            self._lost_at = now
        if now - self._lost_at >= LONE_AFTER and not set(mates_up) - {self.name} <= set(without):
            self.fallen = True

    def rate(self, site: str, holds: bool) -> float:
        """Set-ups a second that it may send there, of the site's whole capacity."""
        if site != self.home:
            return self._parts.get(site, 0.0) if holds and self.entitled else 0.0
        capacity = next((one.capacity for one in self._terms.sites if one.name == site), 0.0)
        least = home_least(capacity, self._members)
        if not self._known:
            return home_even(capacity, self._members) if holds else least
        part = max(self._parts.get(site, 0.0), least)
        if holds:
            return part
        if not self._ever_held:
            return least  # its disk may be older than what it once agreed to
        return max(part * LONE_PART, least) if self.fallen else part
