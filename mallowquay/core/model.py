"""What the core deals in: requests, attempts, final answers, and how attempts and connections end.

Points in time are timedeltas since an arbitrary start of a clock that only advances.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

Clock = Callable[[], timedelta]


class Ending(Enum):
    """Every way in which an attempt, a standing call or the connection under it can end."""

    COMPLETED = "the call came to its end"
    FAULT = "the log server answered with a fault"
    NUMBER_BUSY = "all lines of the number called are busy"
    LINES_FULL = "no line was free"
    PROCESSOR_FULL = "the processor was full"
    MOOT = "the set-up never left"
    SETUP_RESET = "the set-up broke on its way"
    CUT = "the standing call was cut"
    TIMED_OUT = "no answer came in time"
    WITHDRAWN = "the attempt was called off"
    CALLER_LEFT = "the caller gave up or released the call"
    CONNECTION_REFUSED = "the connection was refused"
    CONNECTION_FAILED = "the connection was reset before it stood"
    CONNECTION_SILENT = "the connection was not established in time"
    CONNECTION_MUTE = "the connection stayed open and said nothing more"
    CONNECTION_RESET = "the connection was reset"
    CONNECTION_CLOSED = "the connection was closed by the far end"
    UNREADABLE = "the far end sent what cannot be read"
    SERVER_GONE = "the log server is gone from the list or started anew"


class ServerStatus(Enum):
    """What the server list says of a log server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Server:
    """A line of the server list; `started` is None for a start long ago."""

    id: str
    address: tuple[str, int]
    number: int
    status: ServerStatus
    started: timedelta | None = None
    transport: str = "tcp"
    district: str = ""


@dataclass(frozen=True, slots=True)
class Request:
    """A call that a caller asks for; `budget` runs from `taken_at`."""

    id: str
    call_class: int
    class_name: str
    number: str
    budget: timedelta
    taken_at: timedelta
    destination: int = -1
    redialled: bool = False
    tenant: int = -1  # its place in the settings; -1 = told none
    description: str = ""
    among: frozenset[int] | None = None  # numbers of the log servers that may have it; None = all

    @property
    def deadline(self) -> timedelta:
        """When the caller stops waiting."""
        return self.taken_at + self.budget


@dataclass(slots=True, eq=False)
class Attempt:
    """One set-up sent to one log server. `leg` is the server side's own state of it."""

    request: Request
    index: int
    server: str
    sent_at: timedelta
    wait: timedelta
    leg: object = field(default=None, repr=False)


class Presence(Enum):
    """Whether the caller of a set-up still waits, as far as its connection shows at this instant."""

    HERE = "nothing says otherwise"
    UNREAD = "something has come from it and is not taken yet"
    GONE = "its connection has closed"


class Verdict(Enum):
    """The kinds of final answer."""

    STANDS = "stands"
    REFUSED = "refused"  # trying again is harmless
    FAILED = "failed"  # given up after an attempt that may have run
    CANCELLED = "cancelled"  # the caller gave up; no more than a receipt
    BAD = "bad"  # what the caller sent contradicts itself


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The one final answer of a call; `retry_after` tells the caller when to come back."""

    verdict: Verdict
    description: str = ""
    retry_after: timedelta = timedelta(0)
    timed_out: bool = False


class Level(Enum):
    """How the module rates a log server."""

    NORMAL = "normal"
    WARNING = "warning"
    CRITICAL = "critical"


@dataclass(frozen=True, slots=True)
class Rating:
    """What the module thinks of a log server; `takes`: set-ups a second that this sender may give it."""

    server: str
    level: Level
    takes: float


# --- what the facade decides ---------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send an attempt of this call to a log server and wait so long for its answer."""

    request_id: str
    index: int
    server: str
    wait: timedelta


@dataclass(frozen=True, slots=True)
class Decline:
    """Give the final answer that nothing can be done: `failed` where an attempt may have run."""

    request_id: str
    retry_after: timedelta
    failed: bool


@dataclass(frozen=True, slots=True)
class Turned:
    """A gate's word that a call is to be refused before the module is asked, and when it may come back."""

    retry_after: timedelta
    why: str


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Call an attempt off."""

    request_id: str
    index: int


@dataclass(frozen=True, slots=True)
class Examine:
    """Ask a log server for a sign of life. Decided only where the settings allow probes."""

    server: str


Decision = Dispatch | Decline | Withdraw | Examine


# --- what the facade is told ---------------------------------------------------------------------

Load = dict[str, float]


@dataclass(frozen=True, slots=True)
class Stood:
    """A log server answered: the call stands."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt, or the call that it set up, came to its end."""

    attempt: Attempt
    ending: Ending
    closed: bool  # the caller has had the final answer
    load: Load = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller gave the set-up up."""

    request_id: str


@dataclass(frozen=True, slots=True)
class LoadTold:
    """Unasked word of a log server's free lines."""

    server: str
    load: Load


@dataclass(frozen=True, slots=True)
class ListTold:
    """The whole server list, or changes to it."""

    servers: tuple[Server, ...]
    whole: bool


@dataclass(frozen=True, slots=True)
class Examined:
    """How a log server answered when it was asked for a sign of life."""

    server: str
    alive: bool
    load: Load


News = Stood | Ended | CallerLeft | LoadTold | ListTold | Examined
