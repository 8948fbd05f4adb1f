"""The platform's configuration: the JSON that the environment names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from .common import common
from .model import DEFAULT_SOCKETS, Config, PlatformConfig, TrafficConfig
from .values import MILLISECOND, ConfigError, ConfigUnread, address, keys_of, read_seed, want

NO_FILE = "Set LB_CONFIG to the platform's file, or name an operator's file: `mallowquay serve FILE`."


def load(environment: Mapping[str, str]) -> Config:
    """The platform's configuration, which the environment names."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set", "LB_CONFIG", NO_FILE)
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as fault:
        raise ConfigUnread(f"{path}: {fault.strerror}", "LB_CONFIG") from fault
    except (ValueError, RecursionError) as fault:
        raise ConfigUnread(f"{path} is not JSON: {fault}", "LB_CONFIG") from fault
    return platform_config(document, environment)


def platform_config(document: Any, environment: Mapping[str, str]) -> Config:
    """Check the platform's configuration."""
    if not isinstance(document, dict):
        raise ConfigUnread("LB_CONFIG does not hold an object", "LB_CONFIG")
    listen = environment.get("LB_LISTEN") or want(document, "listen", str)
    platform = PlatformConfig(
        name=environment.get("LB_NAME") or document.get("name", "gatekeeper"),
        listen=address(listen, "listen"),
        coordinator=address(want(document, "coordinator", str), "coordinator"),
        known=want(document, "known", dict),
        inherited=_descriptor(environment.get("LB_SOCKET_FD")),
        meeting=environment.get("TMPDIR"),
    )
    limits = want(document, "limits", dict) if "limits" in document else {}
    sockets = want(limits, "sockets", int, "limits.") if "sockets" in limits else DEFAULT_SOCKETS
    settings = want(document, "settings", dict)
    control = environment.get("LB_CONTROL") or document.get("control")
    return replace(
        common(settings, read_seed(document.get("seed", "0")), sockets, platform=platform),
        control=None if control is None else address(control, "control"),
        traffic=_platform_traffic(want(document, "traffic", dict)) if "traffic" in document else None,
        keys=dict(keys_of({key: value for key, value in document.items() if key != "known"})),
    )


def _platform_traffic(table: Any) -> TrafficConfig:
    interval = want(table, "interval_ms", int, "traffic.") if "interval_ms" in table else 1000
    if not 100 <= interval <= 3_600_000:
        key = "traffic.interval_ms"
        raise ConfigError(f"{key} must lie between 100 and 3600000, not {interval}", key)
    return TrafficConfig(want(table, "file", str, "traffic."), interval * MILLISECOND)


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise ConfigError(f"LB_SOCKET_FD must be the number of a descriptor, not {text!r}", "LB_SOCKET_FD")
    return int(text)
