"""Settings, events and actions: everything that crosses the border of the decision module.

Times are whole microseconds of one clock that only advances. Nothing here decides.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, fields
from enum import Enum

ServerId = str  # opaque: says nothing of zone, kind or age
CallId = int


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls: set up within `aim` it earns `worth`, later only the part `late_worth`."""

    aim: int
    deadline: int
    worth: float
    late_worth: float
    repeatable: bool  # a set-up that may have run may be sent again
    mean_hold: int  # usual length of a call; 0 = unknown
    pools: tuple[int, ...] | None  # numbers of the core servers that may take it; None = any


@dataclass(frozen=True, slots=True)
class CallerGroup:
    """A tenant: its usual rate over all gateways, and its part of the service."""

    quota_per_s: float
    fraction: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told at its start."""

    group_size: int  # gateways that share the core servers
    classes: tuple[CallClass, ...]
    groups: tuple[CallerGroup, ...]  # () = callers are not grouped
    over_share_worth: float  # part of the worth left to a group's calls beyond its quota
    own_number: int | None  # number of the own exchange; None = the servers are pools
    max_attempts: int
    max_retry_after: int  # 0 = callers are not told a wait
    may_probe: bool
    may_cancel: bool
    list_on_request: bool  # the server list must be subscribed to
    report_fields: tuple[str, ...]  # of: free, size, queue, busy, delay_ms, can_take, hold_back, in_work
    repeat_interval: int  # a waiting set-up is repeated after this, then at doubling gaps; 0 = never
    release_wait: int  # no new attempt sooner after a timeout, reset or cancel
    drain_grace: int
    cold_from: float  # a started server can do at least this part of its work
    cold_time: int  # and all of it after this time
    fall_multiple: float  # sent more than this multiple of its present capacity
    fall_time: int  # for this time, a cold server falls over

    def __post_init__(self) -> None:
        """Raise ValueError naming the first setting that cannot be."""
        for name in ("group_size", "max_attempts", "cold_from", "fall_multiple", "fall_time"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be above 0")
        for field in fields(self):
            value = getattr(self, field.name)
            if field.name != "own_number" and isinstance(value, (int, float)) and not 0 <= value < 2**62:
                raise ValueError(f"{field.name} must be 0 or more and finite")
        if self.cold_from > 1:
            raise ValueError("cold_from must be 1 or less")
        if not self.classes:
            raise ValueError("classes must name at least one class")
        for number, kind in enumerate(self.classes):
            if not 0 < kind.aim <= kind.deadline:
                raise ValueError(f"classes[{number}].aim must be above 0 and within the deadline")
            if not 0 < kind.worth < float("inf"):
                raise ValueError(f"classes[{number}].worth must be above 0 and finite")
            if not 0 <= kind.late_worth <= 1:
                raise ValueError(f"classes[{number}].late_worth must be from 0 to 1")
        for number, group in enumerate(self.groups):
            if not 0 <= group.quota_per_s < float("inf"):
                raise ValueError(f"groups[{number}].quota_per_s must be 0 or more and finite")
            if not 0 <= group.fraction <= 1:
                raise ValueError(f"groups[{number}].fraction must be from 0 to 1")


class ServerState(Enum):
    """What the server list says of a core server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a server list came."""

    FULL = "full"
    CHANGES = "changes"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt ended."""

    ENDED = "ended"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A line of the server list."""

    server: ServerId
    number: int
    state: ServerState
    boot_time: int  # 0 = in a distant past


# --- events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ServerList:
    """The whole list, changes to it, or word that asking for it failed."""

    kind: ListKind
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A caller asks for a call; a final answer is owed before `budget` has passed."""

    call: CallId
    call_class: int
    group: int
    called: int  # the number dialled; 0 = unknown
    budget: int
    destination: int  # number of the core server of first choice
    redialled: bool
    in_transit: bool
    among: Container[int] | None = None  # numbers of the core servers that may have it; None = all


@dataclass(frozen=True, slots=True)
class CallStands:
    """The set-up succeeded."""

    call: CallId
    attempt: int
    delay: int
    server: ServerId


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt. `closed`: the call has had its final answer."""

    call: CallId
    attempt: int
    server: ServerId
    outcome: Outcome
    delay: int
    closed: bool
    processor_full: bool
    number_busy: bool  # every line of the number dialled is taken
    report: tuple[float, ...]  # as in Settings.report_fields; () = none


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller left; nothing is owed any more."""

    call: CallId


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set with SetTimer."""

    token: int


@dataclass(frozen=True, slots=True)
class ServerReport:
    """Answer to a probe, or unasked word of free lines (`asked` is False)."""

    server: ServerId
    ok: bool
    asked: bool
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class NewSettings:
    """The settings change; calls offered before keep their class and number of attempts."""

    settings: Settings


Event = (
    ServerList | CallOffered | CallStands | AttemptEnded | CallerGone | TimerDue | ServerReport | NewSettings
)


# --- actions ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; it times out after `timeout`."""

    call: CallId
    server: ServerId
    timeout: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused; `retry_after` asks the caller to stay away so long (0 = no advice)."""

    call: CallId
    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up; `retry_after` as in Refuse, where the front can tell it."""

    call: CallId
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; its outcome still comes."""

    call: CallId
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerDue after `delay`."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for a sign of life and a report."""

    server: ServerId


@dataclass(frozen=True, slots=True)
class WatchList:
    """Subscribe to changes of the server list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for on-call staff."""

    text: str


Action = Send | Refuse | Fail | CancelAttempt | SetTimer | Probe | WatchList | Log
