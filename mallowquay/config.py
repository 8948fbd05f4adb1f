"""The one place where configuration is read, checked and given defaults; a fault names its key."""

from __future__ import annotations

import json
import secrets
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta
from math import isfinite
from typing import TYPE_CHECKING, Any

from quincestand import Settings
from quincestand.wire import read_settings

from .core.model import Server, ServerStatus

if TYPE_CHECKING:
    from . import schema
    from .schema import OperatorFile

MICROSECOND, MILLISECOND = timedelta(microseconds=1), timedelta(milliseconds=1)
OTHER = {"udp": "tcp", "tcp": "udp"}

# --- defaults ------------------------------------------------------------------------------------
END_MARGIN = timedelta(milliseconds=60)  # the module's last word comes so long before the caller gives up,
# beyond its own margin: the event loop may lag
GUARD_MARGIN = timedelta(milliseconds=10)  # and the guard of the core speaks so long before that end
SOCKETS_KEPT = 64  # descriptors kept for log servers, the coordinator and the program itself
DEFAULT_SOCKETS = 1024
SPAN_MOST = 24 * 3600 * 1_000_000  # microseconds; no call waits for longer
ATTEMPTS_MOST = 1000


class ConfigError(Exception):
    """The configuration cannot be used; the text names the key."""


@dataclass(frozen=True, slots=True)
class ClassConfig:
    """A class of calls as the fronts need it."""

    index: int
    name: str
    deadline: timedelta
    width: int = 1  # lines that a call of it may ask for
    destinations: frozenset[int] | None = None  # numbers that log servers have; None = any


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """What the platform's fronts need."""

    name: str
    listen: tuple[str, int]
    coordinator: tuple[str, int]
    known: dict[str, Any]
    inherited: int | None = None  # the descriptor of a listening socket that the platform holds
    meeting: str | None = None  # the folder in which two processes of an upgrade meet


@dataclass(frozen=True, slots=True)
class SipConfig:
    """The second front: SIP over UDP and TCP, set up by an operator's file."""

    udp: tuple[str, int] | None
    tcp: tuple[str, int] | None
    default_class: str
    t1: timedelta
    t2: timedelta
    t4: timedelta
    calls_most: int
    transactions_most: int
    servers: tuple[Server, ...]


@dataclass(frozen=True, slots=True)
class ConsulConfig:
    """Consul as the source of the server list."""

    address: tuple[str, int]
    service: str
    datacenter: str
    token: str
    wait: timedelta


@dataclass(frozen=True, slots=True)
class XdsConfig:
    """The module's ratings for other proxies: REST polls, and gRPC streams with their terms."""

    listen: tuple[str, int] | None
    cluster: str
    ads: tuple[str, int] | None = None
    districts: tuple[str, ...] = ()
    nodes: frozenset[str] = frozenset()
    lease: timedelta = timedelta(0)
    renew: timedelta = timedelta(0)
    gather: timedelta = timedelta(0)
    weight_band: float = 0.0
    changes_per_s: float = 1.0
    streams_most: int = 1
    first_pushes_per_s: float = 1.0
    catch_up: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class TrafficConfig:
    """The record of what the core sees."""

    file: str
    interval: timedelta


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
    platform: PlatformConfig | None = None
    sip: SipConfig | None = None
    servers: tuple[Server, ...] = ()  # of the file, where no front has them
    consul: ConsulConfig | None = None
    xds: XdsConfig | None = None
    control: tuple[str, int] | None = None  # the second address
    traffic: TrafficConfig | None = None
    keys: dict[str, str] = field(default_factory=dict)  # of the file, but for those of its lists, with kinds


AT_START_ONLY = ("seed", "sockets", "consul", "xds", "control", "traffic", "end_margin", "guard_margin")


def load(environment: Mapping[str, str]) -> Config:
    """The platform's configuration, which the environment names."""
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
        inherited=_descriptor(environment.get("LB_SOCKET_FD")),
        meeting=environment.get("TMPDIR"),
    )
    limits = document.get("limits", {})
    sockets = want(limits, "sockets", int, "limits.") if "sockets" in limits else DEFAULT_SOCKETS
    settings = want(document, "settings", dict)
    control = environment.get("LB_CONTROL") or document.get("control")
    return replace(
        common(settings, read_seed(document.get("seed", "0")), sockets, platform=platform),
        control=None if control is None else address(control, "control"),
        traffic=_platform_traffic(document["traffic"]) if "traffic" in document else None,
        keys=dict(_keys({key: value for key, value in document.items() if key != "known"})),
    )


def _platform_traffic(table: Any) -> TrafficConfig:
    interval = want(table, "interval_ms", int, "traffic.") if "interval_ms" in table else 1000
    if not 100 <= interval <= 3_600_000:
        raise ConfigError(f"traffic.interval_ms must lie between 100 and 3600000, not {interval}")
    return _traffic(want(table, "file", str, "traffic."), interval)


def _keys(table: dict[str, Any], above: str = "") -> Iterator[tuple[str, str]]:
    for key, value in table.items():
        yield above + key, _kind(value)
        if isinstance(value, dict):
            yield from _keys(value, f"{above}{key}.")


def _kind(value: object) -> str:
    if isinstance(value, int | float) and not isinstance(value, bool):
        return "a number" if isfinite(value) else "no number"
    return type(value).__name__


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise ConfigError(f"LB_SOCKET_FD must be the number of a descriptor, not {text!r}")
    return int(text)


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
        raise ConfigError(f"settings: {fault}") from fault
    if sockets <= SOCKETS_KEPT:
        raise ConfigError(f"limits.sockets must be above {SOCKETS_KEPT}")
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
            raise ConfigError(f"settings.extra.circuitsByClass holds no width: {width!r}")
        classes[name] = ClassConfig(index, name, kind.deadline * MICROSECOND, width, numbers)
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
        sip=sip,
        consul=consul,
        xds=xds,
    )


# --- the operator's file -------------------------------------------------------------------------

DEFAULT_RULES = {"drainGrace": 500_000, "coldFrom": 0.29, "cold": 15_000_000, "fallMultiple": 3.0}
DEFAULT_RULES |= {"fall": 3_000_000}


def load_operator(path: str) -> Config:
    """The configuration of an operator's file."""
    return operator_config(_parse(path))


def load_control_plane(path: str) -> Config:
    """The same file for the control service alone: without a front."""
    document = _parse(path)
    found = operator_config(document, alone=True)
    if found.xds is None or found.xds.ads is None:
        raise ConfigError("xds.ads is missing: the control service needs an address for its streams")
    return found


def described(path: str) -> str:
    """An operator's file as the program takes it, with every default, once it is found usable."""
    from . import schema

    document = _parse(path)
    operator_config(document)
    return schema.as_toml(schema.convert(document))


def _parse(path: str) -> dict[str, Any]:
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as fault:
        raise ConfigError(f"{path}: {fault.strerror}") from fault
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise ConfigError(f"{path} is not TOML: {fault}") from fault


def operator_config(document: dict[str, Any], alone: bool = False) -> Config:
    """Check an operator's file: every key in it must be known. `alone`: without a front."""
    from . import schema  # the platform's run line has no such file, and does not pay for its library

    try:
        file = schema.convert(document)
    except schema.SchemaFault as fault:
        raise ConfigError(str(fault)) from None
    settings = _module_settings(file)
    servers = _servers(file)
    sip = None if alone else _sip(file, servers)
    if file.consul is None and not servers:
        raise ConfigError("servers: none is given, and there is no consul to name them")
    if file.consul is not None and servers:
        raise ConfigError("servers and consul exclude each other: one source names the log servers")
    whole_file = common(
        settings,
        read_seed(file.seed or f"{secrets.randbits(64):x}"),
        file.limits.sockets,
        sip=sip,
        consul=None if file.consul is None else _consul(file.consul),
        xds=None if file.xds is None else _xds(file.xds),
    )
    traffic = None if file.traffic is None else _traffic(file.traffic.file, file.traffic.interval_ms)
    control = None if file.control is None else address(file.control, "control")
    return replace(
        whole_file, control=control, traffic=traffic, keys=dict(_keys(document)), servers=servers
    )


def _xds(table: schema.Xds) -> XdsConfig:
    if table.listen is None and table.ads is None:
        raise ConfigError("xds.listen or xds.ads must be given")
    ads = None if table.ads is None else address(table.ads, "xds.ads")
    # Whoever reaches the streams is told where the log servers are and which of them drain.
    if ads is not None and not ads[0].startswith("127.") and ads[0] not in ("localhost", "::1"):
        raise ConfigError(f"xds.ads: {ads[0]} is not loopback, and the streams have no TLS")
    if table.lease_ms and table.renew_ms > table.lease_ms / 2:
        raise ConfigError("xds.renew_ms must be half of xds.lease_ms at most: one renewal may be lost")
    return XdsConfig(
        listen=None if table.listen is None else address(table.listen, "xds.listen"),
        cluster=table.cluster,
        ads=ads,
        districts=tuple(table.districts),
        nodes=frozenset(table.nodes),
        lease=table.lease_ms * MILLISECOND,
        renew=table.renew_ms * MILLISECOND,
        gather=table.gather_ms * MILLISECOND,
        weight_band=table.weight_band,
        changes_per_s=table.changes_per_s,
        streams_most=table.streams_most,
        first_pushes_per_s=table.first_pushes_per_s,
        catch_up=table.catch_up_ms * MILLISECOND,
    )


def _traffic(file: str, interval_ms: int) -> TrafficConfig:
    return TrafficConfig(file, interval_ms * MILLISECOND)


def _module_settings(file: OperatorFile) -> dict[str, Any]:
    """What the module is told: an operator's file in the form of the platform's settings."""
    for index, kind in enumerate(file.classes):
        for key in ("worth", "late_worth"):
            if not isfinite(getattr(kind, key)):
                raise ConfigError(f"classes.{index}.{key} must be a number, not {getattr(kind, key)}")
        for key in ("aim_ms", "deadline_ms"):
            if getattr(kind, key) > SPAN_MOST // 1000:
                raise ConfigError(f"classes.{index}.{key} must be {SPAN_MOST // 1000} at most")
    names = [kind.name for kind in file.classes]
    if not names:
        raise ConfigError("classes: none is given")
    if len(set(names)) < len(names):
        raise ConfigError("classes: a name is given twice")
    if file.limits.attempts > ATTEMPTS_MOST:
        raise ConfigError(f"limits.attempts must be {ATTEMPTS_MOST} at most")
    return {
        "groupSize": file.gatekeepers,
        "services": [
            {
                "name": kind.name,
                "onTime": 1000 * kind.aim_ms,
                "deadline": 1000 * kind.deadline_ms,
                "worth": kind.worth,
                "lateWorth": kind.late_worth,
                "effect": "read_like",
            }
            for kind in file.classes
        ],
        "overShareWorth": 1.0,
        "registryMode": "pushed",
        "limits": {
            "mostTries": file.limits.attempts,
            "retryAfter": True,
            "maxRetryAfter": 1000 * file.limits.retry_after_ms,
            "mayProbe": False,
            "cancelling": True,
            "dialTimeout": 1000 * file.limits.connect_timeout_ms,
        },
        "telemetry": {"fields": ["free", "size", "hold_back"]},
        "extra": {
            "layout": "pools",
            "repeat": 0,
            "release": 1000 * file.limits.release_wait_ms,
            "meanHold": [1000 * kind.hold_ms for kind in file.classes],
        },
        "rules": DEFAULT_RULES,
    }


def _consul(table: schema.Consul) -> ConsulConfig:
    token = ""
    if table.token_file is not None:
        try:
            with open(table.token_file, encoding="utf-8") as file:
                token = file.read().strip()
        except (OSError, UnicodeDecodeError) as fault:
            raise ConfigError(f"consul.token_file: {table.token_file}: {fault}") from fault
    return ConsulConfig(
        address=address(table.address, "consul.address"),
        service=table.service,
        datacenter=table.datacenter,
        token=token,
        wait=table.wait_ms * MILLISECOND,
    )


def _servers(file: OperatorFile) -> tuple[Server, ...]:
    entries = tuple(_server(entry, index) for index, entry in enumerate(file.servers))
    if len({server.id for server in entries}) < len(entries):
        raise ConfigError("servers: an id is given twice")
    return entries


def _sip(file: OperatorFile, entries: tuple[Server, ...]) -> SipConfig:
    table = file.sip
    if table is None:
        raise ConfigError("sip is missing")
    given = {"udp": table.udp, "tcp": table.tcp}
    listen = {key: address(value, f"sip.{key}") for key, value in given.items() if value is not None}
    if not listen:
        raise ConfigError("sip.udp or sip.tcp must be given")
    default_class = table.default_class if table.default_class is not None else file.classes[0].name
    if default_class not in [kind.name for kind in file.classes]:
        raise ConfigError(f"sip.default_class names no class: {default_class!r}")
    for index, server in enumerate(entries):
        if server.transport not in listen:  # its requests to us would find nobody
            raise ConfigError(f"servers.{index}.transport: sip.{server.transport} is off")
    return SipConfig(
        udp=listen.get("udp"),
        tcp=listen.get("tcp"),
        default_class=default_class,
        t1=table.t1_ms * MILLISECOND,
        t2=table.t2_ms * MILLISECOND,
        t4=table.t4_ms * MILLISECOND,
        calls_most=table.calls_most,
        transactions_most=table.transactions_most,
        servers=entries,
    )


def _server(entry: schema.LogServer, index: int) -> Server:
    where = address(entry.address, f"servers.{index}.address")
    number = index if entry.number is None else entry.number
    status = ServerStatus(entry.state.value)
    return Server(
        entry.id, where, number, status, transport=entry.transport.value, district=entry.district
    )


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
                raise ConfigError(f"{above}{key} must be a number, not {value!r}")
        want(kind, "name", str, above)
        want(kind, "effect", str, above)
    names = [kind["name"] for kind in services]
    if len(set(names)) < len(names):
        raise ConfigError("settings.services: a name is given twice")


def whole(table: Any, key: str, above: str, most: int) -> None:
    """A whole number above 0 and within reason, as a number; 2.0 is written 2."""
    value = want(table, key, object, above)
    if isinstance(value, float) and value.is_integer():
        value = table[key] = int(value)
    if not isinstance(value, int) or isinstance(value, bool) or not 0 < value <= most:
        raise ConfigError(f"{above}{key} must be a whole number above 0, not {value!r}")


# --- values --------------------------------------------------------------------------------------


def want(values: Any, key: str, kind: type, above: str = "") -> Any:
    """The value of a key that must be there and of this kind."""
    if not isinstance(values, dict) or key not in values:
        raise ConfigError(f"{above}{key} is missing")
    value = values[key]
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise ConfigError(f"{above}{key} must be {kind.__name__}, not {value!r}")
    return value


def address(text: object, key: str) -> tuple[str, int]:
    """Host and port of `host:port`."""
    if not isinstance(text, str):
        raise ConfigError(f"{key} must be host:port, not {text!r}")
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


def of_process(arguments: Sequence[str], environment: Mapping[str, str]) -> Config:
    """The configuration of this process: an operator's file if one is named, else the platform's."""
    if len(arguments) > 1:
        raise ConfigError(f"one file at most, not {len(arguments)}")
    return load_operator(arguments[0]) if arguments else load(environment)


def check_reload(before: Config, after: Config) -> None:
    """What a file at SIGHUP must not be: of another front or source, or without a key that was there."""
    if (before.sip is None) != (after.sip is None) or (before.consul is None) != (after.consul is None):
        raise ConfigError("servers: the source of the list changes at a start only")
    for key, kind in before.keys.items():
        if key not in after.keys:
            raise ConfigError(f"{key} is missing: the file before had it")
        if after.keys[key] != kind:
            raise ConfigError(f"{key} must be {kind}, as in the file before, not {after.keys[key]}")


def taken(before: Config, after: Config) -> Config:
    """What holds after a reload: what changes at a start only stays as it was."""
    return replace(after, **{name: getattr(before, name) for name in AT_START_ONLY})


def fixed_changes(before: Config, after: Config) -> list[str]:
    """The keys whose new values wait for the next start."""
    pairs: list[tuple[str, object, object]] = [
        ("limits.sockets", before.sockets, after.sockets),
        ("consul", before.consul, after.consul),
        ("xds", before.xds, after.xds),
        ("control", before.control, after.control),
        ("traffic", before.traffic, after.traffic),
    ]
    if before.platform is not None and after.platform is not None:
        pairs.append(("listen", before.platform.listen, after.platform.listen))
    if before.sip is not None and after.sip is not None:
        pairs.append(("sip", replace(before.sip, servers=()), replace(after.sip, servers=())))
    return [key for key, old, new in pairs if old != new]
