"""An operator's file, checked: what its schema takes, and what no schema can say.

The platform's run line has no such file: it loads neither this module nor the schema's library.
"""

from __future__ import annotations

import secrets
import tomllib
from dataclasses import replace
from ipaddress import ip_address
from math import isfinite
from typing import Any

from ..core.model import Server, ServerStatus
from . import schema, together
from .common import common
from .model import (
    CatalogueRules,
    Config,
    ConsulConfig,
    CopiesConfig,
    FleetConfig,
    SipConfig,
    TakeoverConfig,
    TrafficConfig,
    XdsConfig,
)
from .schema import OperatorFile
from .values import MILLISECOND, ConfigError, ConfigUnread, address, keys_of, read_seed

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
        missing = "xds.ads is missing: the control service needs an address for its streams"
        raise ConfigError(missing, "xds.ads")
    return found


def described(path: str) -> str:
    """An operator's file as the program takes it, with every default, once it is found usable."""
    document = _parse(path)
    operator_config(document)
    return schema.as_toml(schema.convert(document))


def _parse(path: str) -> dict[str, Any]:
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as fault:
        raise ConfigUnread(str(fault.strerror), path) from fault
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise ConfigUnread(f"{path} is not TOML: {fault}", path) from fault


def operator_config(document: dict[str, Any], alone: bool = False) -> Config:
    """Check an operator's file: every key in it must be known. `alone`: without a front."""
    try:
        file = schema.convert(document)
    except schema.SchemaFault as fault:
        raise ConfigError(fault.what, fault.where, fault.do) from None
    settings = _module_settings(file)
    servers = _servers(file)
    sip = None if alone else _sip(file, servers)
    if file.consul is None and not servers:
        raise ConfigError("none is given, and there is no consul to name them", "servers")
    if file.consul is not None and servers:
        both = "servers and consul exclude each other: one source names the log servers"
        raise ConfigError(both, "servers")
    whole_file = common(
        settings,
        read_seed(file.seed or f"{secrets.randbits(64):x}"),
        file.limits.sockets,
        sip=sip,
        consul=None if file.consul is None else _consul(file.consul),
        xds=None if file.xds is None else _xds(file.xds),
    )
    traffic = (
        None
        if file.traffic is None
        else TrafficConfig(file.traffic.file, file.traffic.interval_ms * MILLISECOND)
    )
    control = None if file.control is None else address(file.control, "control")
    return replace(
        whole_file,
        control=control,
        traffic=traffic,
        fleet=None if file.fleet is None else _fleet(file.fleet),
        copies=None if file.copies is None else _copies(file),
        takeover=None if file.takeover is None else _takeover(file),
        sites=None if file.sites is None else together.sites(file),
        events=None if file.events is None else together.events(file),
        closings=together.closings(file) if file.closings else (),
        keys=dict(keys_of(document)),
        servers=servers,
    )


def _fleet(table: schema.Fleet) -> FleetConfig:
    members: dict[str, tuple[str, int]] = {}
    for index, member in enumerate(table.members):
        key = f"fleet.members.{index}"
        if member.name in members:
            raise ConfigError(f"{member.name!r} is given twice", f"{key}.name")
        members[member.name] = loopback(member.address, f"{key}.address")
    if table.name not in members:
        raise ConfigError(f"{table.name!r} is none of fleet.members", "fleet.name")
    if len(set(members.values())) < len(members):
        raise ConfigError("an address is given twice", "fleet.members")
    if 4 * table.lease_ms > 3 * table.patience_ms:
        # What lies between bears the drift of clocks and a member that is late to look at its own.
        key = "fleet.lease_ms"
        raise ConfigError(f"{key} must be three quarters of fleet.patience_ms at most", key)
    if 3 * table.beat_ms > table.lease_ms:
        raise ConfigError("fleet.beat_ms must be a third of fleet.lease_ms at most", "fleet.beat_ms")
    if 2 * table.answer_ms > table.period_ms:
        raise ConfigError("fleet.answer_ms must be half of fleet.period_ms at most", "fleet.answer_ms")
    return FleetConfig(
        name=table.name,
        listen=loopback(table.listen, "fleet.listen"),
        disk=table.disk,
        members=members,
        period=table.period_ms * MILLISECOND,
        answer=table.answer_ms * MILLISECOND,
        beat=table.beat_ms * MILLISECOND,
        lease=table.lease_ms * MILLISECOND,
        patience=table.patience_ms * MILLISECOND,
        districts={member.name: member.district for member in table.members},
    )


def _copies(file: OperatorFile) -> CopiesConfig:
    table = file.copies
    assert table is not None
    if file.fleet is None:
        raise ConfigError("there is no fleet to keep them", "copies")
    if 2 * table.write <= table.copies or table.write > table.copies:
        # Else a writer that was given up could have its entries promised by others still.
        raise ConfigError(
            f"copies.write must be more than half of copies.copies, and that at most, not {table.write}",
            "copies.write",
        )
    return CopiesConfig(
        copies=table.copies,
        write=table.write,
        promise=table.promise == "copied",
        wait=table.wait_ms * MILLISECOND,
        refuse_late=table.late is schema.WhenLate.REFUSE,
        copied_per_s=1000 * table.copied_kb_per_s,
        scrub=1000 * table.scrub_s * MILLISECOND,
    )


def _takeover(file: OperatorFile) -> TakeoverConfig:
    table = file.takeover
    assert table is not None
    if file.copies is None or file.copies.promise != "copied":
        raise ConfigError('there are no copies of calls to take over (copies.promise = "copied")', "takeover")
    return TakeoverConfig(table.hold_ms * MILLISECOND, table.within_ms * MILLISECOND)


def loopback(text: str, key: str) -> tuple[str, int]:
    """An address that no other machine reaches: links between members have neither sign-in nor TLS yet."""
    host, port = address(text, key)
    try:
        near = ip_address(host).is_loopback
    except ValueError:
        near = False
    if not near:
        raise ConfigError(f"{host} is not a loopback address, and links have no sign-in yet", key)
    return host, port


def _xds(table: schema.Xds) -> XdsConfig:
    if table.listen is None and table.ads is None:
        raise ConfigError("xds.listen or xds.ads must be given", "xds.listen")
    ads = None if table.ads is None else address(table.ads, "xds.ads")
    # Whoever reaches the streams is told where the log servers are and which of them drain.
    if ads is not None and not ads[0].startswith("127.") and ads[0] not in ("localhost", "::1"):
        raise ConfigError(f"{ads[0]} is not loopback, and the streams have no TLS", "xds.ads")
    if table.lease_ms and table.renew_ms > table.lease_ms / 2:
        key = "xds.renew_ms"
        raise ConfigError(f"{key} must be half of xds.lease_ms at most: one renewal may be lost", key)
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


def _module_settings(file: OperatorFile) -> dict[str, Any]:
    """What the module is told: an operator's file in the form of the platform's settings."""
    for index, kind in enumerate(file.classes):
        for key in ("worth", "late_worth"):
            if not isfinite(getattr(kind, key)):
                where = f"classes.{index}.{key}"
                raise ConfigError(f"{where} must be a number, not {getattr(kind, key)}", where)
    names = [kind.name for kind in file.classes]
    if len(set(names)) < len(names):
        raise ConfigError("a name is given twice", "classes")
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
            raise ConfigUnread(f"{table.token_file}: {fault}", "consul.token_file") from fault
    return ConsulConfig(
        address=address(table.address, "consul.address"),
        service=table.service,
        datacenter=table.datacenter,
        token=token,
        wait=table.wait_ms * MILLISECOND,
        rules=CatalogueRules(
            failing=table.failing_ms * MILLISECOND,
            confirm=table.confirm_ms * MILLISECOND,
            confirm_answers=table.confirm_answers,
        ),
        age=table.age_ms * MILLISECOND,
    )


def _servers(file: OperatorFile) -> tuple[Server, ...]:
    entries = tuple(_server(entry, index) for index, entry in enumerate(file.servers))
    if len({server.id for server in entries}) < len(entries):
        raise ConfigError("an id is given twice", "servers")
    return entries


def _sip(file: OperatorFile, entries: tuple[Server, ...]) -> SipConfig:
    table = file.sip
    if table is None:
        raise ConfigError("sip is missing", "sip")
    given = {"udp": table.udp, "tcp": table.tcp}
    listen = {key: address(value, f"sip.{key}") for key, value in given.items() if value is not None}
    if not listen:
        raise ConfigError("sip.udp or sip.tcp must be given", "sip.udp")
    default_class = table.default_class if table.default_class is not None else file.classes[0].name
    if default_class not in [kind.name for kind in file.classes]:
        raise ConfigError(f"sip.default_class names no class: {default_class!r}", "sip.default_class")
    for index, server in enumerate(entries):
        if server.transport not in listen:  # its requests to us would find nobody
            raise ConfigError(f"sip.{server.transport} is off", f"servers.{index}.transport")
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
    return Server(entry.id, where, number, status, transport=entry.transport.value, district=entry.district)
