"""The one place where configuration is read, checked and given defaults; a fault names its key."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from .common import check_numbers, common
from .model import (
    OTHER,
    SOCKETS_KEPT,
    ClassConfig,
    ClosingConfig,
    Config,
    CatalogueRules,
    ConsulConfig,
    CopiesConfig,
    EventsConfig,
    FleetConfig,
    PlatformConfig,
    SipConfig,
    SiteConfig,
    SitesConfig,
    TakeoverConfig,
    Terms,
    TrafficConfig,
    XdsConfig,
)
from .platform import load, platform_config
from .reload import check_reload, fixed_changes, taken
from .values import MICROSECOND, MILLISECOND, ConfigError, flatten

__all__ = [
    "MICROSECOND", "MILLISECOND", "OTHER", "SOCKETS_KEPT", "ClassConfig", "Config", "ConfigError",
    "CatalogueRules", "ClosingConfig", "ConsulConfig", "CopiesConfig", "EventsConfig", "FleetConfig",
    "PlatformConfig", "SipConfig", "SiteConfig", "SitesConfig", "TakeoverConfig",
    "Terms", "TrafficConfig", "XdsConfig",
    "check_numbers", "check_reload", "common", "fixed_changes", "flatten", "load", "of_process",
    "platform_config", "taken",
]  # fmt: skip


def of_process(arguments: Sequence[str], environment: Mapping[str, str]) -> Config:
    """The configuration of this process: an operator's file if one is named, else the platform's."""
    if len(arguments) > 1:
        raise ConfigError(f"one file at most, not {len(arguments)}", remedy="Name one file.")
    if not arguments:
        return load(environment)
    from .operator import load_operator  # the platform's run line does not pay for the schema's library

    return load_operator(arguments[0])
