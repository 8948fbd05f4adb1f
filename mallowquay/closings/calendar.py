"""When a business day ends: occurrences of a closing as instants, out of zones, weekdays and holidays. No
I/O.

Hours that do not exist or exist twice follow RFC 5545, 3.3.5: in a gap the offset before it counts, of two
the first. A closing in a gap is kept by that rule though a recurrence (3.3.10) would leave it out: a business
day without an end is worse than one that ends an hour late. A date that a zone skipped whole has no closing.

Zones come from the package `tzdata` and never from the machine, so that one release has one set of rules.
"""

from __future__ import annotations

import importlib
import importlib.resources
import io
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import date, datetime, time, timedelta, timezone
from functools import lru_cache
from typing import Any, ClassVar
from zoneinfo import ZoneInfo

import xxhash

from ..errors import Fault

UTC = timezone.utc
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
MICROSECOND = timedelta(microseconds=1)
DAY = timedelta(days=1)
NAME_MOST = 64  # characters of a closing's name
SCOPE_MOST = 48  # districts, tenants or kinds that one closing names
WORDS_MOST = 2_048  # bytes of all of them
DATES_MOST = 400  # early and cancelled dates of one closing
SPAN_MOST = timedelta(days=370)  # that one question for occurrences may reach over
_ZONE = re.compile(r"[A-Za-z0-9_+-]{1,40}(/[A-Za-z0-9_+-]{1,40}){0,2}")
_NAME = re.compile(r"[A-Za-z0-9_.-]+")


class CalendarFault(Fault):
    """A closing that cannot be worked out."""

    code: ClassVar[str] = "closings.calendar"
    remedy: ClassVar[str] = "Correct this closing in the settings; docs/closings.md shows one with every key."


def micros(at: datetime) -> int:
    """A moment as whole microseconds since 1970 in UTC."""
    return (at - EPOCH) // MICROSECOND


def moment(at_us: int) -> datetime:
    """The other way."""
    return EPOCH + at_us * MICROSECOND


@dataclass(frozen=True, slots=True, eq=False)  # one of each: told apart as objects, which is quick
class Zones:
    """Rules of zones: their published version ("2026f") and the compiled file (RFC 8536) of each by name."""

    version: str
    read: Callable[[str], bytes]

    def __reduce__(self) -> Any:
        return (packaged, ()) if self.read is _packaged_file else (type(self), (self.version, self.read))


def _packaged_file(name: str) -> bytes:
    return importlib.resources.files("tzdata.zoneinfo").joinpath(*name.split("/")).read_bytes()


@lru_cache(1)
def packaged() -> Zones:
    """Those of the package `tzdata`."""
    return Zones(importlib.import_module("tzdata").IANA_VERSION, _packaged_file)


@lru_cache(1_000)
def _file(zones: Zones, name: str) -> bytes:
    if not _ZONE.fullmatch(name):
        raise CalendarFault(f"{name[:60]!r} is no name of a zone", "zone")
    try:
        return zones.read(name)
    except (OSError, KeyError, ModuleNotFoundError) as fault:
        raise CalendarFault(f"zone {name!r} is not in the zone data {zones.version}", "zone") from fault


@lru_cache(1_000)
def zone(name: str, zones: Zones) -> ZoneInfo:
    """Errors: CalendarFault."""
    try:
        return ZoneInfo.from_file(io.BytesIO(_file(zones, name)), key=name)
    except ValueError as fault:
        raise CalendarFault(f"the data of zone {name!r} cannot be read: {fault}", "zone") from fault


@lru_cache(1_000)
def zone_version(name: str, zones: Zones) -> str:
    """What two members compare: the published version and a hash of the zone's file ("2026f/1f0c22ab")."""
    return f"{zones.version}/{xxhash.xxh32_hexdigest(_file(zones, name))}"


@dataclass(frozen=True, slots=True)
class Closing:
    """A closing as the operator writes it. `days`: 0 is Monday. `holidays`: a country, or country-part
    ("DE-BY").

    On a holiday, on a date in `cancelled` and on other weekdays there is no closing, an `early` hour or not.
    Without districts all are meant, likewise tenants. Errors: CalendarFault.
    """

    name: str
    zone: str
    close: time
    days: frozenset[int] = frozenset(range(5))
    holidays: str = ""
    early: Mapping[date, time] = field(default_factory=dict)
    cancelled: frozenset[date] = frozenset()
    districts: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    purge: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        where = f"closings.{self.name[:NAME_MOST]}"
        words = (*self.districts, *self.tenants, *self.purge)
        faults = {
            f"a name takes 1 to {NAME_MOST} letters, digits and . _ -": len(self.name) > NAME_MOST
            or not _NAME.fullmatch(self.name),
            "`days` names no weekday": not self.days or not self.days <= set(range(7)),
            "`purge` names nothing that is to go": not self.purge,
            f"at most {SCOPE_MOST} districts, tenants or kinds": max(
                len(self.districts), len(self.tenants), len(self.purge)
            )
            > SCOPE_MOST,
            f"districts, tenants and kinds take {WORDS_MOST} bytes at most": sum(
                len(word.encode()) + 2 for word in words
            )
            > WORDS_MOST,
            "an empty district, tenant or kind": not all(words),
            f"at most {DATES_MOST} early and cancelled dates": len(self.early) + len(self.cancelled)
            > DATES_MOST,
            "hours are local and have no offset of their own": any(
                hour.tzinfo is not None for hour in (self.close, *self.early.values())
            ),
        }
        for fault, found in faults.items():
            if found:
                raise CalendarFault(fault, where)

    def checked(self, zones: Zones) -> Closing:
        """With what only the libraries know. Errors: CalendarFault."""
        zone(self.zone, zones)
        holidays_of(self.holidays, 2026)
        return self


@dataclass(frozen=True, slots=True)
class Occurrence:
    """One end of a business day; `day` is its local date, `rule` says how the instant came about."""

    name: str
    day: date
    instant: datetime
    rule: str


@lru_cache(2_000)
def holidays_of(where: str, year: int) -> frozenset[date]:
    """Public holidays of a country or a part of it. Errors: CalendarFault."""
    if not where:
        return frozenset()
    import holidays  # the library is large: only who has closings loads it

    country, _, part = where.partition("-")
    try:
        found = holidays.country_holidays(country, subdiv=part or None, years=year)
    except NotImplementedError as fault:
        raise CalendarFault(f"no holidays are known for {where[:20]!r}", "holidays") from fault
    return frozenset(found)


def occurrences(
    closing: Closing, after: datetime, until: datetime, zones: Zones | None = None
) -> list[Occurrence]:
    """Those whose instant lies after `after` and not after `until`, in order. Errors: CalendarFault."""
    zones = zones or packaged()
    if until - after > SPAN_MOST:
        raise CalendarFault(f"{until - after} is more than {SPAN_MOST}", f"closings.{closing.name}")
    found = []
    day, last = (after - DAY).date(), (until + DAY).date()  # a local date is never two days off
    while day <= last:
        if hour := hour_of(closing, day):
            instant, rule = _instant(closing.zone, day, hour, zones)
            if instant is not None and after < instant <= until:
                kind = "early" if day in closing.early else "close"
                found.append(Occurrence(closing.name, day, instant, f"{kind} {rule}"))
        day += DAY
    return sorted(found, key=lambda occurrence: (occurrence.instant, occurrence.day))


def hour_of(closing: Closing, day: date) -> time | None:
    """The local hour at which this business day ends, if it is one."""
    if day.weekday() not in closing.days or day in closing.cancelled:
        return None
    if day in holidays_of(closing.holidays, day.year):
        return None
    return closing.early.get(day, closing.close)


@lru_cache(20_000)
def _instant(name: str, day: date, hour: time, zones: Zones) -> tuple[datetime | None, str]:
    here = zone(name, zones)

    def local(at: time, fold: int = 0) -> datetime:
        return datetime.combine(day, at, here).replace(fold=fold)

    def back(at: datetime) -> datetime:
        return at.astimezone(UTC).astimezone(here)

    if back(local(time.min)).date() != day and back(local(time.max)).date() != day:
        return None, "skipped"
    first = local(hour)
    rule = f"{hour.isoformat('auto').removesuffix(':00')} {name}"
    if back(first).replace(tzinfo=None) != first.replace(tzinfo=None):
        rule += " gap"  # PEP 495: fold=0 has the offset before it, as RFC 5545 asks
    elif first.utcoffset() != local(hour, 1).utcoffset():
        rule += " first of two"
    return first.astimezone(UTC), rule
