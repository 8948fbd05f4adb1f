"""What both files share: the module's settings and what is drawn from them."""

from __future__ import annotations

import resource
from math import isfinite
from typing import Any

from quincestand.wire import read_settings

from .model import (
    ATTEMPTS_MOST,
    AWAY_GAP,
    END_MARGIN,
    GUARD_MARGIN,
    SOCKETS_KEPT,
    SPAN_MOST,
    ClassConfig,
    Config,
    ConsulConfig,
    PlatformConfig,
    SipConfig,
    Terms,
    XdsConfig,
)
from .values import MICROSECOND, ConfigError, flatten, want


def common(
    settings: dict[str, Any],
    seed: int,
    sockets: int,
    platform: PlatformConfig | None = None,
    sip: SipConfig | None = None,
    consul: ConsulConfig | None = None,
    xds: XdsConfig | None = None,
) -> Config:
    """What both fronts share: the module's settings and what is drawn from them."""
    check_numbers(settings)
    try:
        module = read_settings(flatten(settings))
    except ValueError as fault:
        raise ConfigError(str(fault), "settings") from fault
    sockets = granted(sockets)
    if sockets <= SOCKETS_KEPT:
        least = f"limits.sockets, and what the system grants, must be above {SOCKETS_KEPT}, not {sockets}"
        raise ConfigError(least, "limits.sockets")
    services = settings["services"]
    pools = [kind.pools for kind in module.classes if kind.pools is not None]
    numbers = frozenset().union(*pools) if len(pools) == len(module.classes) else None
    extra = want(settings, "extra", dict, "settings.")
    widths = want(extra, "circuitsByClass", list, "settings.extra.") if "circuitsByClass" in extra else []
    classes = {}
    for index, kind in enumerate(module.classes):
        name = want(services[index], "name", str, f"settings.services.{index}.")
        width = widths[index] if index < len(widths) else 1
        if not isinstance(width, int) or width < 1:
            key = "settings.extra.circuitsByClass"
            raise ConfigError(f"{key} holds no width: {width!r}", key)
        classes[name] = ClassConfig(index, name, kind.deadline * MICROSECOND, width, numbers)
    limits = want(settings, "limits", dict, "settings.")
    dial = want(limits, "dialTimeout", int, "settings.limits.")
    if not 0 <= dial <= SPAN_MOST:
        key = "settings.limits.dialTimeout"
        raise ConfigError(f"{key} must lie between 0 and {SPAN_MOST}, not {dial}", key)
    # Where callers may not be told when to come back, none is: neither a decided gap nor a usual one.
    longest_gap = module.max_retry_after * MICROSECOND
    return Config(
        settings=module,
        terms=Terms(classes, _tenants(settings), min(AWAY_GAP, longest_gap)),
        seed=seed,
        release_wait=module.release_wait * MICROSECOND,
        connect_timeout=dial * MICROSECOND,
        default_gap=longest_gap / 2,
        end_margin=END_MARGIN,
        guard_margin=GUARD_MARGIN,
        sockets=sockets,
        platform=platform,
        sip=sip,
        consul=consul,
        xds=xds,
    )


def granted(sockets: int) -> int:
    """As many descriptors as the file names, or as the system grants where that is less."""
    try:
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    except OSError:  # where it may not be asked, the file is believed
        return sockets
    return sockets if limit == resource.RLIM_INFINITY else min(sockets, limit)


def _tenants(settings: dict[str, Any]) -> dict[str, int]:
    """Places of the tenants, by name, as the module counts them."""
    told = want(settings, "tenants", list, "settings.") if settings.get("tenants") else []
    names = [want(tenant, "name", str, f"settings.tenants.{place}.") for place, tenant in enumerate(told)]
    if len(set(names)) < len(names):
        raise ConfigError("a name is given twice", "settings.tenants")
    return {name: place for place, name in enumerate(names)}


def check_numbers(settings: dict[str, Any]) -> None:
    """Text and truth values that would pass for numbers, and numbers that are none."""
    limits = want(settings, "limits", dict, "settings.")
    whole(limits, "mostTries", "settings.limits.", ATTEMPTS_MOST)
    services = want(settings, "services", list, "settings.")
    for index, kind in enumerate(services):
        above = f"settings.services.{index}."
        for key in ("onTime", "deadline"):
            whole(kind, key, above, SPAN_MOST)
        for key in ("worth", "lateWorth"):
            value = want(kind, key, object, above)
            if not isinstance(value, int | float) or isinstance(value, bool) or not isfinite(value):
                raise ConfigError(f"{above}{key} must be a number, not {value!r}", f"{above}{key}")
        want(kind, "name", str, above)
        want(kind, "effect", str, above)
    names = [kind["name"] for kind in services]
    if len(set(names)) < len(names):
        raise ConfigError("a name is given twice", "settings.services")


def whole(table: Any, key: str, above: str, most: int) -> None:
    """A whole number above 0 and within reason, as a number; 2.0 is written 2."""
    value = want(table, key, object, above)
    if isinstance(value, float) and value.is_integer():
        value = table[key] = int(value)
    if not isinstance(value, int) or isinstance(value, bool) or not 0 < value <= most:
        raise ConfigError(f"{above}{key} must be a whole number above 0, not {value!r}", f"{above}{key}")
