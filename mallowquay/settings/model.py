"""What the program is told, once it is checked, and the defaults that no file sets."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import date, time, timedelta
from typing import Any

from quincestand import Settings

from ..core.model import Server

OTHER = {"udp": "tcp", "tcp": "udp"}

# --- defaults ------------------------------------------------------------------------------------
END_MARGIN = timedelta(milliseconds=60)  # the module's last word comes so long before the caller gives up,
# beyond its own margin: the event loop may lag
GUARD_MARGIN = timedelta(milliseconds=10)  # and the guard of the core speaks so long before that end
SOCKETS_KEPT = 64  # descriptors kept for log servers, the coordinator and the program itself
SERVERS_KEPT = 24  # log servers for which that is enough; each more on the list takes one from callers
DEFAULT_SOCKETS = 1024
AWAY_GAP = timedelta(milliseconds=500)  # callers that are sent away come back so much later, elsewhere
SPAN_MOST = 24 * 3600 * 1_000_000  # microseconds; no call waits for longer
ATTEMPTS_MOST = 1000


@dataclass(frozen=True, slots=True)
class ClassConfig:
    """A class of calls as the fronts need it."""

    index: int
    name: str
    deadline: timedelta
    width: int = 1  # lines that a call of it may ask for
    destinations: frozenset[int] | None = None  # numbers that log servers have; None = any


@dataclass(frozen=True, slots=True)
class Terms:
    """What callers may name, and what they may be told."""

    classes: dict[str, ClassConfig]
    tenants: dict[str, int]  # name to place; empty where callers are not told apart
    away_gap: timedelta  # callers that are sent away are told to come back so much later; 0 = told nothing


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
class CatalogueRules:
    """When the catalogue's word counts."""

    failing: timedelta  # an instance whose check has failed for so long is gone
    confirm: timedelta  # most of the list is gone once answers have said so for so long
    confirm_answers: int  # and so many of them


@dataclass(frozen=True, slots=True)
class ConsulConfig:
    """Consul as the source of the server list."""

    address: tuple[str, int]
    service: str
    datacenter: str
    token: str
    wait: timedelta
    rules: CatalogueRules
    age: timedelta  # the list is asked for anew before it is older


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
class FleetConfig:
    """The other gatekeepers, and what this one is among them."""

    name: str
    listen: tuple[str, int]
    disk: str
    members: dict[str, tuple[str, int]]
    period: timedelta
    answer: timedelta
    beat: timedelta
    lease: timedelta
    patience: timedelta
    districts: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CopiesConfig:
    """What is promised stands on further gatekeepers."""

    copies: int
    write: int
    promise: bool  # a caller's 200 waits for its copies
    wait: timedelta
    refuse_late: bool
    copied_per_s: int  # bytes
    scrub: timedelta


@dataclass(frozen=True, slots=True)
class TakeoverConfig:
    """What becomes of the calls of a lost machine."""

    hold: timedelta
    within: timedelta


@dataclass(frozen=True, slots=True)
class SiteConfig:
    """A district and what its log servers can do together."""

    name: str
    set_ups_per_s: float
    costs: dict[str, timedelta]  # of the way to each of the other sites


@dataclass(frozen=True, slots=True)
class SitesConfig:
    """A plan for the loss of a whole site."""

    sites: tuple[SiteConfig, ...]
    ceiling: float
    doubt: timedelta
    step: timedelta
    hold_down: timedelta


@dataclass(frozen=True, slots=True)
class EventsConfig:
    """Events of the fleet for those who asked."""

    listen: tuple[str, int]
    clients_most: int
    queue_most: int
    kept_most: int
    kept: timedelta


@dataclass(frozen=True, slots=True)
class ClosingConfig:
    """The end of a business day: its rule as the file has it, checked."""

    name: str
    zone: str
    close: time
    days: frozenset[int]  # 0: Monday
    holidays: str
    early: dict[date, time]
    cancelled: frozenset[date]
    districts: tuple[str, ...]
    tenants: tuple[str, ...]
    purge: tuple[str, ...]
    clock_error: timedelta
    freeze: timedelta


@dataclass(frozen=True, slots=True)
class Config:
    """All that the program is told."""

    settings: Settings
    terms: Terms
    seed: int
    release_wait: timedelta
    connect_timeout: timedelta
    default_gap: timedelta  # where no other is decided; 0 = callers are told none
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
    fleet: FleetConfig | None = None
    copies: CopiesConfig | None = None
    takeover: TakeoverConfig | None = None
    sites: SitesConfig | None = None
    events: EventsConfig | None = None
    closings: tuple[ClosingConfig, ...] = ()
    keys: dict[str, str] = field(default_factory=dict)  # of the file, but for those of its lists, with kinds

    def kept(self, servers: int) -> int:
        """How many descriptors callers may not have while so many log servers are on the list."""
        return SOCKETS_KEPT + max(servers - SERVERS_KEPT, 0)

    @property
    def classes(self) -> dict[str, ClassConfig]:
        """The classes of calls, by name."""
        return self.terms.classes
