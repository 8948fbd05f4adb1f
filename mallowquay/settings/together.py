"""What a fleet does together, checked: sites, events and closings."""

from __future__ import annotations

from datetime import date, time
from typing import get_args

from . import schema
from .model import ClosingConfig, EventsConfig, SiteConfig, SitesConfig
from .schema import OperatorFile
from .values import MILLISECOND, ConfigError, address

DAYS = get_args(schema.Day)  # in the order of date.weekday()
SECOND = 1000 * MILLISECOND


def _of_a_fleet(file: OperatorFile, key: str) -> None:
    if file.fleet is None:
        raise ConfigError(f"there is no fleet that holds it alike; give [fleet], or remove {key}", key)


def sites(file: OperatorFile) -> SitesConfig:
    """`[sites]`. Errors: ConfigError."""
    table = file.sites
    assert table is not None
    _of_a_fleet(file, "sites")
    names = [site.name for site in table.site]
    if len(set(names)) < len(names):
        raise ConfigError("a name is given twice", "sites.site")
    for index, site in enumerate(table.site):
        for other in site.cost_ms:
            if other not in names or other == site.name:
                key = f"sites.site.{index}.cost_ms.{other}"
                raise ConfigError(f"{key} names no other site", key)
    assert file.fleet is not None
    for index, member in enumerate(file.fleet.members):
        if member.district not in names:
            key = f"fleet.members.{index}.district"
            raise ConfigError(f"{member.district!r} is none of sites.site", key)
    return SitesConfig(
        tuple(
            SiteConfig(
                site.name, site.set_ups_per_s,
                {other: cost * MILLISECOND for other, cost in site.cost_ms.items()},
            )
            for site in table.site
        ),
        table.ceiling,
        table.doubt_ms * MILLISECOND,
        table.step_ms * MILLISECOND,
        table.hold_down_ms * MILLISECOND,
    )  # fmt: skip


def events(file: OperatorFile) -> EventsConfig:
    """`[events]`. Errors: ConfigError."""
    table = file.events
    assert table is not None
    host, port = address(table.listen, "events.listen")
    if not host.startswith("127.") and host not in ("localhost", "::1"):
        raise ConfigError(f"{host} is not loopback, and the listener has no sign-in yet", "events.listen")
    return EventsConfig(
        (host, port), table.clients_most, table.queue_most, table.kept_most, table.kept_s * SECOND
    )


def closings(file: OperatorFile) -> tuple[ClosingConfig, ...]:
    """`[[closings]]`. Errors: ConfigError."""
    _of_a_fleet(file, "closings")
    found = tuple(_closing(table, f"closings.{index}") for index, table in enumerate(file.closings))
    if len({one.name for one in found}) < len(found):
        raise ConfigError("a name is given twice", "closings")
    return found


def _closing(table: schema.ClosingTable, key: str) -> ClosingConfig:
    from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

    try:
        ZoneInfo(table.zone)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise ConfigError(f"no time zone has the name {table.zone!r}", f"{key}.zone") from None
    if table.holidays:
        import holidays

        if table.holidays not in holidays.list_supported_countries():
            raise ConfigError(f"no calendar has the name {table.holidays!r}", f"{key}.holidays")
    return ClosingConfig(
        name=table.name,
        zone=table.zone,
        close=time.fromisoformat(table.close),
        days=frozenset(map(DAYS.index, table.days)),
        holidays=table.holidays,
        early={_day(day, f"{key}.early"): _time(at, f"{key}.early.{day}") for day, at in table.early.items()},
        cancelled=frozenset(_day(day, f"{key}.cancelled") for day in table.cancelled),
        districts=tuple(table.districts),
        tenants=tuple(table.tenants),
        purge=tuple(table.purge),
        clock_error=table.clock_error_ms * MILLISECOND,
        freeze=table.freeze_s * SECOND,
    )


def _day(text: str, key: str) -> date:
    try:
        return date.fromisoformat(text)
    except ValueError:
        raise ConfigError(f"must be a day like 2026-12-24, not {text!r}", key) from None


def _time(text: str, key: str) -> time:
    try:
        return time.fromisoformat(text)
    except ValueError:
        raise ConfigError(f"must be a time like 12:00, not {text!r}", key) from None
