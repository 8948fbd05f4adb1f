"""The operator's file as a schema: every key, its kind, its bounds and its default. `operator.py` reads it.

Keys carry their unit; `operator.py` turns them into spans and addresses. Only an operator's file needs this
module, so the platform's run line does not load it.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from enum import Enum
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from ..errors import Fault
from .model import ATTEMPTS_MOST, SPAN_MOST

Count = Annotated[int, Meta(gt=0)]
Span = Annotated[int, Meta(gt=0, le=SPAN_MOST // 1000)]  # milliseconds
Day = Literal["mon", "tue", "wed", "thu", "fri", "sat", "sun"]
Address = Annotated[str, Meta(description="host:port")]


class TransportName(Enum):
    """Over what a log server is reached."""

    UDP = "udp"
    TCP = "tcp"


class ServerState(Enum):
    """Whether a log server of the file takes new calls."""

    READY = "ready"
    DRAINING = "draining"


class Table(Struct, frozen=True, forbid_unknown_fields=True):
    """A table: a misspelt key must not pass for its default."""


class Sip(Table, frozen=True):
    """`[sip]`: the second front."""

    udp: Address | None = None
    tcp: Address | None = None
    default_class: str | None = None  # else the first class
    t1_ms: Count = 500
    t2_ms: Count = 4000
    t4_ms: Count = 5000
    calls_most: Count = 8_000
    transactions_most: Count = 24_000


class CallClass(Table, frozen=True):
    """`[[classes]]`."""

    name: str
    aim_ms: Span
    deadline_ms: Span
    worth: float = 1.0
    late_worth: float = 0.0
    hold_ms: Count = 10_000


class LogServer(Table, frozen=True):
    """`[[servers]]`."""

    id: str
    address: Address
    number: int | None = None  # else its place in the file
    transport: TransportName = TransportName.UDP
    state: ServerState = ServerState.READY
    district: str = ""


class Limits(Table, frozen=True):
    """`[limits]`."""

    sockets: Count = 1024
    attempts: Annotated[int, Meta(gt=0, le=ATTEMPTS_MOST)] = 4
    retry_after_ms: Count = 2000
    release_wait_ms: Count = 300
    connect_timeout_ms: Count = 500


class Consul(Table, frozen=True):
    """`[consul]`: the catalogue as the source of the list."""

    address: Address
    service: str
    datacenter: str = ""
    token_file: str | None = None
    wait_ms: Count = 60_000
    age_ms: Annotated[int, Meta(ge=2000, le=3_600_000)] = 5000  # asked for anew before the list is older
    failing_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 3000  # a check that fails for so long: it is gone
    # Answers without most of the list count after so long, and so many of them.
    confirm_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 3000
    confirm_answers: Annotated[int, Meta(ge=1, le=100)] = 3


class Xds(Table, frozen=True):
    """`[xds]`: the module's ratings for other proxies. `listen`: REST polls; `ads`: gRPC streams."""

    listen: Address | None = None
    ads: Address | None = None
    cluster: str = "log-servers"
    districts: list[str] = []  # the order of priorities; without it all districts are alike
    nodes: list[str] = []  # node ids that may come; all if none is named
    lease_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 450  # 0: what proxies hold never runs out
    renew_ms: Annotated[int, Meta(ge=10, le=3_600_000)] = 150
    gather_ms: Annotated[int, Meta(ge=0, le=10_000)] = 20
    weight_band: Annotated[float, Meta(ge=0, le=1)] = 0.2
    changes_per_s: Annotated[float, Meta(gt=0, le=1000)] = 2.0
    streams_most: Annotated[int, Meta(gt=0, le=100_000)] = 2000
    first_pushes_per_s: Annotated[float, Meta(gt=0, le=100_000)] = 500.0
    catch_up_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 10_000


class Traffic(Table, frozen=True):
    """`[traffic]`: the record of what the core sees."""

    file: str
    interval_ms: Annotated[int, Meta(ge=100, le=3_600_000)] = 1000


class FleetMember(Table, frozen=True):
    """`[[fleet.members]]`: this member, too."""

    name: Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.-]+$")]
    address: Address
    district: str = ""


class Fleet(Table, frozen=True):
    """`[fleet]`: the other gatekeepers, and what this one is among them."""

    name: str
    listen: Address
    disk: str  # a folder that lasts; made if missing
    members: Annotated[list[FleetMember], Meta(min_length=1, max_length=1000)]
    period_ms: Annotated[int, Meta(ge=50, le=60_000)] = 400  # one other member is asked so often
    answer_ms: Annotated[int, Meta(ge=10, le=10_000)] = 120  # then others are asked to ask it
    beat_ms: Annotated[int, Meta(ge=20, le=10_000)] = 150  # the leader's word to each
    lease_ms: Annotated[int, Meta(ge=100, le=60_000)] = 900  # for how long a view holds without it
    patience_ms: Annotated[int, Meta(ge=150, le=120_000)] = 1400  # before another is elected


class WhenLate(Enum):
    """What becomes of a caller whose call is not copied in time."""

    REFUSE = "refuse"
    ANSWER = "answer"


class Copies(Table, frozen=True):
    """`[copies]`: what this gatekeeper promised stands on others, too."""

    copies: Annotated[int, Meta(ge=1, le=9)] = 3  # machines that keep each record, this one included
    write: Annotated[int, Meta(ge=1, le=9)] = 2  # of them that have it on disk before it is promised
    promise: Literal["copied", "off"] = "copied"  # a caller's 200 waits for that, or not
    wait_ms: Annotated[int, Meta(ge=1, le=5000)] = 50  # for so long at most
    late: WhenLate = WhenLate.REFUSE
    copied_kb_per_s: Annotated[int, Meta(ge=10, le=1_000_000)] = 4000  # of copies that are made anew
    scrub_s: Annotated[int, Meta(ge=1, le=1_000_000)] = 3600  # all files are read again so often


class Addresses(Enum):
    """What becomes of a lost machine's addresses."""

    STAY = "stay"


class Takeover(Table, frozen=True):
    """`[takeover]`: calls of a lost machine are ended in order on both sides."""

    addresses: Addresses = Addresses.STAY
    hold_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = (
        1000  # from the adoption of a call until its end is sent
    )
    within_ms: Annotated[int, Meta(ge=100, le=3_600_000)] = (
        30_000  # and all of them by then, whatever the pace
    )


class Site(Table, frozen=True):
    """`[[sites.site]]`: a district with its log servers."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    set_ups_per_s: Annotated[float, Meta(gt=0, le=1_000_000)]  # what its log servers can do together
    cost_ms: dict[str, Annotated[float, Meta(ge=0, le=60_000)]] = {}  # of the way to the other sites


class Sites(Table, frozen=True):
    """`[sites]`: a plan for the loss of a whole site."""

    site: Annotated[list[Site], Meta(min_length=2, max_length=16)]
    ceiling: Annotated[float, Meta(gt=0, le=1)] = 0.9  # of its capacity, with others' calls
    doubt_ms: Annotated[int, Meta(ge=50, le=60_000)] = 400  # a site that owes all its answers for so long
    step_ms: Annotated[int, Meta(ge=100, le=600_000)] = 2_000  # least stay at each step of a return
    hold_down_ms: Annotated[int, Meta(ge=100, le=3_600_000)] = 5_000  # first span that a flapping site waits


class Events(Table, frozen=True):
    """`[events]`: events of the fleet for those who asked."""

    listen: Address
    clients_most: Annotated[int, Meta(gt=0, le=10_000)] = 256
    queue_most: Annotated[int, Meta(gt=0, le=1_000_000)] = 2_000  # events that wait for one slow client
    kept_most: Annotated[int, Meta(gt=0, le=10_000_000)] = 50_000  # events kept for those that come back
    kept_s: Annotated[int, Meta(gt=0, le=86_400)] = 300


class ClosingTable(Table, frozen=True):
    """`[[closings]]`: the end of a business day."""

    name: Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.-]+$")]
    zone: str
    close: Annotated[str, Meta(pattern=r"^([01]\d|2[0-3]):[0-5]\d(:[0-5]\d)?$")]
    days: Annotated[list[Day], Meta(min_length=1)] = field(
        default_factory=lambda: ["mon", "tue", "wed", "thu", "fri"]
    )
    holidays: str = ""
    early: dict[str, str] = {}
    cancelled: list[str] = []
    districts: list[str] = []
    tenants: list[str] = []
    purge: list[str] = field(default_factory=lambda: ["ratings", "day-counts", "events"])
    clock_error_ms: Annotated[int, Meta(ge=1, le=60_000)] = 250  # by which a healthy wall clock may be off
    freeze_s: Annotated[int, Meta(ge=1, le=604_800)] = 86_400  # changes that come later count for the next


class OperatorFile(Table, frozen=True):
    """The whole file."""

    classes: Annotated[list[CallClass], Meta(min_length=1)]
    sip: Sip | None = None  # `control-plane` needs none
    servers: list[LogServer] = []
    limits: Limits = Limits()
    gatekeepers: Count = 1
    seed: str | int | None = None
    consul: Consul | None = None
    xds: Xds | None = None
    control: Address | None = None
    traffic: Traffic | None = None
    fleet: Fleet | None = None
    copies: Copies | None = None
    takeover: Takeover | None = None
    sites: Sites | None = None
    events: Events | None = None
    closings: Annotated[list[ClosingTable], Meta(max_length=64)] = []


class SchemaFault(Fault, ValueError):
    """A file does not fit its schema; `where` is the key."""

    code = "settings.schema"
    remedy = (
        "Correct this key: its kind, its bounds or its spelling; then check again, for a file is read to "
        "its first fault."
    )


def convert(document: Mapping[str, Any]) -> OperatorFile:
    """A parsed file, checked. Errors: SchemaFault."""
    try:
        return msgspec.convert(document, OperatorFile)
    except msgspec.ValidationError as fault:
        raise explained(str(fault), document, OperatorFile) from None


FAULT = re.compile(r"(?P<what>.*?)(?: - at (?P<name>`key` in )?`\$(?P<where>.*)`)?$", re.DOTALL)
FIELD = re.compile(r"Object (?P<how>contains unknown|missing required) field `(?P<key>.*)`")
ANY = ".[any]"  # some key of a table whose keys are the operator's own: the library does not say which


def explained(text: str, document: Any, schema: type) -> SchemaFault:
    """msgspec's message with the key in front, as it stands in the file: `servers.1.transport`."""
    match = FAULT.match(text)
    assert match is not None, "the pattern takes any text"
    path = re.sub(r"\[(\d+)\]", r".\1", match["where"] or "").replace("[...]", ANY).lstrip(".")
    missed = FIELD.match(match["what"])
    if missed is not None:
        key = f"{path}.{missed['key']}".lstrip(".")
        what = "not known" if missed["how"].startswith("contains") else "missing"
        return SchemaFault(f"{key} is {what}", key)
    key, under, beyond = path.partition(ANY)
    value = document
    for name in key.split(".") if key else ():
        value = value[int(name)] if isinstance(value, list) else dict(value or {}).get(name)
    allowed = _allowed(schema, path) if match["what"].startswith("Invalid enum value") else []
    what = match["what"][:1].lower() + match["what"][1:].replace("`", "")
    if allowed:
        what = f"must be {' or '.join(filter(None, [', '.join(allowed[:-1]), allowed[-1]]))}"
    at = f" under one of its keys{beyond.replace(ANY, '')}" if under else ""
    return SchemaFault(f"{'a name in it: ' if match['name'] else ''}{what}{at}, not {value!r}", key)


def _allowed(schema: type, path: str) -> list[str]:
    """The values that an enumeration takes, as they are written in the file."""
    from msgspec import inspect

    kinds: list[Any] = [inspect.type_info(schema)]
    for name in path.split("."):
        kinds = [inner for kind in kinds for inner in _below(kind, name)]
    found: list[str] = []
    for kind in _plain(kinds):
        if isinstance(kind, inspect.EnumType):
            found += [repr(one.value) for one in kind.cls]
        elif isinstance(kind, inspect.LiteralType):
            found += map(repr, kind.values)
    return found


def _below(kind: Any, name: str) -> list[Any]:
    from msgspec import inspect

    found: list[Any] = []
    for one in _plain([kind]):
        if isinstance(one, inspect.StructType):
            found += [inner.type for inner in one.fields if inner.encode_name == name]
        elif isinstance(one, inspect.ListType | inspect.VarTupleType):
            found.append(one.item_type)
        elif isinstance(one, inspect.DictType):
            found.append(one.value_type)
    return found


def _plain(kinds: list[Any]) -> list[Any]:
    """Without what is wrapped round them: alternatives, and notes on a kind."""
    from msgspec import inspect

    found: list[Any] = []
    for kind in kinds:
        if isinstance(kind, inspect.UnionType):
            found += _plain(list(kind.types))
        elif isinstance(kind, inspect.Metadata):
            found += _plain([kind.type])
        else:
            found.append(kind)
    return found


def as_toml(file: OperatorFile) -> str:
    """The file with every default filled in, as TOML."""
    import tomli_w

    def told(value: Any) -> Any:
        if isinstance(value, dict):
            return {key: told(inner) for key, inner in value.items() if inner is not None}
        return [told(inner) for inner in value] if isinstance(value, list) else value

    return tomli_w.dumps(told(msgspec.to_builtins(file)))
