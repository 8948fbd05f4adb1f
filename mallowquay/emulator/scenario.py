"""What is played: an emulation file, checked. No I/O but reading that file."""

from __future__ import annotations

import tomllib
from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from ..settings import flatten
from ..settings.schema import SchemaFault, Table, explained

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(gt=0)]


class Spread(Enum):
    """How times are spread round their mean."""

    EXPONENTIAL = "exponential"
    FIXED = "fixed"


class Kind(Enum):
    """What happens to a log server."""

    DIES = "dies"  # its calls are cut, it refuses connections; `for_s` later it starts cold
    DRAINS = "drains"  # the list says so; `for_s` later it is ready again
    SLOWS = "slows"  # its work takes `times` as long
    SILENT = "silent"  # cut off: nothing comes through


class Refusal(Enum):
    """What a log server that has no room answers."""

    FULL = "full"  # no line, or processor full: whoever decides tries another, and holds back
    BUSY = "busy"  # the number's lines are busy: nobody else can help, and nothing is thought of the server


class Decider(Enum):
    """Who decides: the module, or a baseline that takes any free line and gives up at the first failure."""

    MODULE = "module"
    DIRECT = "direct"


class CallerClass(Table, frozen=True):
    """`[[classes]]`: `share` of all first tries."""

    name: str
    share: Positive = 1.0
    hold_s: Positive = 10.0
    aim_ms: Count = 2000
    deadline_ms: Count = 9000
    worth: Positive = 1.0
    late_worth: NotNegative = 0.25


class Callers(Table, frozen=True):
    """`[callers]`: `rate` first tries a second, Poisson; `again` of the lost dial again `redials` times."""

    rate: Positive
    redials: Annotated[int, Meta(ge=0, le=10)] = 0
    again: Share = 0.0
    again_after_s: Positive = 3.0
    first_choice: bool = True  # a call names a log server, each as often
    patience_share: Annotated[float, Meta(gt=0, le=1)] = 1.0  # of the deadline, until a try is given up


class Servers(Table, frozen=True):
    """`[servers]`: all alike. Work is milliseconds of the processor's one line."""

    count: Count
    lines: Count = 1000
    setup_ms: NotNegative = 0.0
    answer_ms: NotNegative = 0.0
    release_ms: NotNegative = 0.0
    refusal_ms: NotNegative = 0.0
    wait_limit_ms: Positive = 3000.0
    work: Spread = Spread.EXPONENTIAL
    told_ms: Count = 200  # free lines are told, and `eps` is refreshed, so often
    tells_eps: bool = False
    tells_lines: bool = True
    refuses: Refusal = Refusal.FULL
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.29
    cold_s: Positive = 15.0


class Surge(Table, frozen=True):
    """`[[surges]]`: the rate is `times` as much."""

    at_s: NotNegative
    for_s: Positive
    times: Positive


class Mix(Table, frozen=True):
    """`[[mixes]]`: from here on the classes have these shares."""

    at_s: NotNegative
    shares: list[NotNegative]


class Incident(Table, frozen=True):
    """`[[incidents]]`: what happens to a log server, and when the list tells of it."""

    at_s: NotNegative
    server: Annotated[int, Meta(ge=0)]
    kind: Kind
    for_s: Positive = 10.0
    times: Positive = 3.0
    told_after_ms: NotNegative = 1000.0


class Scenario(Table, frozen=True):
    """The whole emulation file."""

    callers: Callers
    servers: Servers
    classes: list[CallerClass]
    seconds: Positive = 600.0
    warmup_s: NotNegative = 60.0
    seed: int = 1
    seeds: Annotated[int, Meta(ge=1, le=10_000)] = 1  # runs, each with the next seed
    gatekeepers: Count = 1
    decides: Decider = Decider.MODULE
    delay_ms: NotNegative = 1.0  # one way
    attempts: Annotated[int, Meta(ge=1, le=4)] = 4
    release_wait_ms: Count = 300
    hold_spread: Spread = Spread.EXPONENTIAL
    surges: list[Surge] = []
    mixes: list[Mix] = []
    incidents: list[Incident] = []
    record: str | None = None  # a record of the first run's traffic is written here


NO_FILE = "See that the file is there, that you may read it, and that it is whole TOML."


def load(path: str | Path) -> Scenario:
    """Read an emulation file. Errors: SchemaFault, naming the key."""
    try:
        document = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as fault:
        raise SchemaFault(str(fault.strerror or fault), str(path), NO_FILE) from fault
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise SchemaFault(f"{path} is not TOML: {fault}", str(path), NO_FILE) from fault
    try:
        scenario = msgspec.convert(document, Scenario)
    except msgspec.ValidationError as fault:
        raise explained(str(fault), document, Scenario) from None
    check(scenario)
    return scenario


def check(scenario: Scenario) -> None:
    """What the schema cannot say. Errors: SchemaFault."""
    if not scenario.classes:
        raise SchemaFault("none is given", "classes")
    if scenario.warmup_s >= scenario.seconds:
        raise SchemaFault("warmup_s must be below seconds", "warmup_s")
    for index, mix in enumerate(scenario.mixes):
        if len(mix.shares) != len(scenario.classes) or sum(mix.shares) <= 0:
            key = f"mixes.{index}.shares"
            raise SchemaFault(f"{key} must have a share for each class, not all 0", key)
    for index, incident in enumerate(scenario.incidents):
        if incident.server >= scenario.servers.count:
            raise SchemaFault(f"there are {scenario.servers.count}", f"incidents.{index}.server")


def settings_text(scenario: Scenario) -> str:
    """The module's settings for this scenario, in the form in which it reads them."""
    return flatten(
        {
            "groupSize": scenario.gatekeepers,
            "services": [
                {
                    "name": kind.name,
                    "onTime": 1000 * kind.aim_ms,
                    "deadline": 1000 * kind.deadline_ms,
                    "worth": kind.worth,
                    "lateWorth": kind.late_worth,
                    "effect": "read_like",
                }
                for kind in scenario.classes
            ],
            "overShareWorth": 1.0,
            "registryMode": "pushed",
            "limits": {"mostTries": scenario.attempts, "retryAfter": True, "maxRetryAfter": 2_000_000,
                       "mayProbe": False, "cancelling": True},
            "telemetry": {"fields": ["free", "size", "hold_back"]},
            "extra": {"layout": "pools", "repeat": 0, "release": 1000 * scenario.release_wait_ms,
                      "meanHold": [round(1e6 * kind.hold_s) for kind in scenario.classes]},
            "rules": {"drainGrace": 500_000, "coldFrom": scenario.servers.cold_from,
                      "cold": round(1e6 * scenario.servers.cold_s), "fallMultiple": 3.0, "fall": 3_000_000},
        }
    )  # fmt: skip
