"""The one place where configuration is read, checked and given defaults; a fault names its key."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from quincestand import Settings
from quincestand.wire import read_settings

MICROSECOND = timedelta(microseconds=1)

# --- defaults ------------------------------------------------------------------------------------
END_MARGIN = timedelta(milliseconds=40)  # the module's last word comes so long before the caller gives up,
# beyond its own margin: the event loop may lag
GUARD_MARGIN = timedelta(milliseconds=10)  # and the guard of the core speaks so long before that end
SOCKETS_KEPT = 96  # descriptors kept for log servers, the coordinator and the program itself
DEFAULT_SOCKETS = 1024


class ConfigError(Exception):
    """The configuration cannot be used; the text names the key."""


@dataclass(frozen=True, slots=True)
class ClassConfig:
    """A class of calls as the fronts need it."""

    index: int
    name: str
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """What the platform's fronts need."""

    name: str
    listen: tuple[str, int]
    coordinator: tuple[str, int]
    known: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Config:
    """All that the program is told."""

    settings: Settings
    classes: dict[str, ClassConfig]
    seed: int
    release_wait: timedelta
    connect_timeout: timedelta
    default_gap: timedelta
    end_margin: timedelta
    guard_margin: timedelta
    sockets: int
    platform: PlatformConfig | None


def load(environment: Mapping[str, str]) -> Config:
    """The configuration that the environment names."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as fault:
        raise ConfigError(f"LB_CONFIG: {path}: {fault.strerror}") from fault
    except ValueError as fault:
        raise ConfigError(f"LB_CONFIG: {path} is not JSON: {fault}") from fault
    return platform_config(document, environment)


def platform_config(document: Any, environment: Mapping[str, str]) -> Config:
    """Check the platform's configuration."""
    if not isinstance(document, dict):
        raise ConfigError("LB_CONFIG does not hold an object")
    listen = environment.get("LB_LISTEN") or want(document, "listen", str)
    platform = PlatformConfig(
        name=environment.get("LB_NAME") or document.get("name", "gatekeeper"),
        listen=address(listen, "listen"),
        coordinator=address(want(document, "coordinator", str), "coordinator"),
        known=want(document, "known", dict),
    )
    limits = document.get("limits", {})
    sockets = want(limits, "sockets", int, "limits.") if "sockets" in limits else DEFAULT_SOCKETS
    return common(want(document, "settings", dict), read_seed(document.get("seed", "0")), sockets, platform)


def common(
    settings: dict[str, Any], seed: int, sockets: int, platform: PlatformConfig | None = None
) -> Config:
    """What both fronts share: the module's settings and what is drawn from them."""
    try:
        module = read_settings(flatten(settings))
    except ValueError as fault:
        raise ConfigError(f"settings: {fault}") from fault
    if sockets <= SOCKETS_KEPT:
        raise ConfigError(f"limits.sockets must be above {SOCKETS_KEPT}")
    services = settings["services"]
    classes = {}
    for index, kind in enumerate(module.classes):
        name = want(services[index], "name", str, f"settings.services.{index}.")
        classes[name] = ClassConfig(index, name, kind.deadline * MICROSECOND)
    limits = want(settings, "limits", dict, "settings.")
    return Config(
        settings=module,
        classes=classes,
        seed=seed,
        release_wait=module.release_wait * MICROSECOND,
        connect_timeout=want(limits, "dialTimeout", int, "settings.limits.") * MICROSECOND,
        default_gap=max(module.max_retry_after, 1_000_000) * MICROSECOND / 2,
        end_margin=END_MARGIN,
        guard_margin=GUARD_MARGIN,
        sockets=sockets,
        platform=platform,
    )


def want(values: Any, key: str, kind: type, above: str = "") -> Any:
    """The value of a key that must be there and of this kind."""
    if not isinstance(values, dict) or key not in values:
        raise ConfigError(f"{above}{key} is missing")
    value = values[key]
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise ConfigError(f"{above}{key} must be {kind.__name__}, not {value!r}")
    return value


def address(text: str, key: str) -> tuple[str, int]:
    """Host and port of `host:port`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{key} must be host:port, not {text!r}")
    return host, int(port)


def read_seed(text: object) -> int:
    """The seed for random numbers: hex digits."""
    try:
        return int(str(text), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {text!r}") from None


def flatten(settings: dict[str, Any]) -> str:
    """Nested settings as the path=value lines of the simulator's first message."""
    lines: list[str] = []

    def walk(path: str, value: Any) -> None:
        if isinstance(value, dict):
            for key, inner in value.items():
                walk(f"{path}.{key}" if path else key, inner)
        elif isinstance(value, list) and any(isinstance(inner, (dict, list)) for inner in value):
            lines.append(f"{path}.count={len(value)}")
            for index, inner in enumerate(value):
                walk(f"{path}.{index}", inner)
        elif isinstance(value, list):
            lines.append(f"{path}={','.join(map(_plain, value))}")
        else:
            lines.append(f"{path}={_plain(value)}")

    walk("", settings)
    return "\n".join(lines)


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value).replace(" ", "_").replace(",", "_").replace("\n", "_")


def from_environment() -> Config:
    """The configuration of this process."""
    return load(os.environ)
