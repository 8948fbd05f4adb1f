"""SIGHUP: what a new file may change under calls, and what waits for the next start."""

from __future__ import annotations

from dataclasses import replace

from .model import Config
from .values import ConfigFixed

AT_START_ONLY = (
    "seed",
    "sockets",
    "consul",
    "xds",
    "control",
    "traffic",
    "copies",
    "sites",
    "events",
    "end_margin",
    "guard_margin",
)


def check_reload(before: Config, after: Config) -> None:
    """What a file at SIGHUP must not be: of another front or source, or without a key that was there."""
    if (before.sip is None) != (after.sip is None) or (before.consul is None) != (after.consul is None):
        raise ConfigFixed("the source of the list changes at a start only", "servers")
    for key, kind in before.keys.items():
        if key not in after.keys:
            raise ConfigFixed(f"{key} is missing: the file before had it", key)
        if after.keys[key] != kind:
            raise ConfigFixed(f"{key} must be {kind}, as in the file before, not {after.keys[key]}", key)


def taken(before: Config, after: Config) -> Config:
    """What holds after a reload: what changes at a start only stays as it was."""
    fleet = before.fleet
    if fleet is not None and after.fleet is not None:
        fleet = replace(fleet, members=after.fleet.members, districts=after.fleet.districts)
    return replace(after, fleet=fleet, **{name: getattr(before, name) for name in AT_START_ONLY})


def fixed_changes(before: Config, after: Config) -> list[str]:
    """The keys whose new values wait for the next start."""
    pairs: list[tuple[str, object, object]] = [
        ("limits.sockets", before.sockets, after.sockets),
        ("consul", before.consul, after.consul),
        ("xds", before.xds, after.xds),
        ("control", before.control, after.control),
        ("traffic", before.traffic, after.traffic),
        ("sites", before.sites, after.sites),
        ("events", before.events, after.events),
    ]
    if before.fleet is not None and after.fleet is not None:
        old, new = (replace(one, members={}, districts={}) for one in (before.fleet, after.fleet))
        pairs.append(("fleet", old, new))
        pairs.append(("copies", before.copies, after.copies))
        pairs.append(("takeover", before.takeover, after.takeover))
    if before.platform is not None and after.platform is not None:
        pairs.append(("listen", before.platform.listen, after.platform.listen))
    if before.sip is not None and after.sip is not None:
        pairs.append(("sip", replace(before.sip, servers=()), replace(after.sip, servers=())))
    return [key for key, old, new in pairs if old != new]
