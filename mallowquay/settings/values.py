"""Values of either file: kinds, addresses, seeds, and the fault that names a key."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta
from math import isfinite
from typing import Any

from ..errors import Fault

MICROSECOND, MILLISECOND = timedelta(microseconds=1), timedelta(milliseconds=1)


class ConfigError(Fault):
    """The configuration cannot be used; `where` is the key, or the file or variable that names it."""

    code = "settings.unusable"
    remedy = (
        "Correct this key, and try the file with `mallowquay check FILE`; a running program keeps its "
        "settings."
    )


class ConfigUnread(ConfigError):
    """A file of the configuration cannot be read, or is not of its format."""

    code = "settings.unread"
    remedy = (
        "See that the file is there, that the program's user may read it, and that it is whole TOML or "
        "JSON."
    )


class ConfigFixed(ConfigError):
    """A new file, taken under calls, changes what a start alone can change."""

    code = "settings.fixed"
    remedy = (
        "Put the key back as it was, or start the program anew with the new file; until then the old one "
        "counts."
    )


def want(values: Any, key: str, kind: type, above: str = "") -> Any:
    """The value of a key that must be there and of this kind."""
    if not isinstance(values, dict) or key not in values:
        raise ConfigError(f"{above}{key} is missing", f"{above}{key}")
    value = values[key]
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise ConfigError(f"{above}{key} must be {kind.__name__}, not {value!r}", f"{above}{key}")
    return value


def address(text: object, key: str) -> tuple[str, int]:
    """Host and port of `host:port`."""
    if not isinstance(text, str):
        raise ConfigError(f"{key} must be host:port, not {text!r}", key)
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{key} must be host:port, not {text!r}", key)
    return host, int(port)


def read_seed(text: object) -> int:
    """The seed for random numbers: hex digits."""
    try:
        return int(str(text), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {text!r}", "seed") from None


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


def keys_of(table: dict[str, Any], above: str = "") -> Iterator[tuple[str, str]]:
    for key, value in table.items():
        yield above + key, kind_of(value)
        if isinstance(value, dict):
            yield from keys_of(value, f"{above}{key}.")


def kind_of(value: object) -> str:
    if isinstance(value, int | float) and not isinstance(value, bool):
        return "a number" if isfinite(value) else "no number"
    return type(value).__name__
