"""Names, lives, views and frames of a fleet. No I/O.

All times within the fleet are spans or points of a member's own monotonic clock; a point that crosses a
link is opaque to whoever receives it and only ever comes back to its sender.
"""

from __future__ import annotations

from datetime import timedelta
from enum import IntEnum
from typing import Any

import msgspec
from msgspec import Struct

from ..errors import Fault

LOWEST_FORMAT, HIGHEST_FORMAT = 1, 1  # formats of the frames that this release speaks
MICROSECOND = timedelta(microseconds=1)


class Life(Struct, frozen=True, array_like=True, order=True):
    """One start of one member.

    `number` is counted on disk and grows with every start; `mark` is drawn at the start, so that two
    processes are never the same life; `disk` was drawn when the disk was begun, and tells an empty disk
    from the one before.
    """

    number: int
    mark: int
    disk: int

    def __str__(self) -> str:
        return f"{self.number}.{self.mark & 0xFFFF:04x}"


NOBODY = Life(0, 0, 0)  # a member that was never heard of


class State(IntEnum):
    """What is thought of a member; of two rumours with the same life and word the greater one holds."""

    UP = 0
    SUSPECTED = 1
    DOWN = 2
    LEFT = 3


class Rumour(Struct, frozen=True, array_like=True):
    """What one member says of another: SWIM's alive, suspect and confirm (Das et al., DSN 2002, 4.2).

    `word` is SWIM's incarnation number: only the member itself raises it, to deny what is said of it.
    """

    name: str
    life: Life
    word: int
    state: State
    source: str = ""  # who suspects; suspicions of different members confirm each other

    def beats(self, other: Rumour) -> bool:
        """Whether this one is the newer knowledge."""
        if self.life != other.life:
            return (self.life.number, self.life.mark) > (other.life.number, other.life.mark)
        if other.state is State.LEFT:
            return False  # the last word of a life
        if self.state is State.LEFT:
            return True
        return (self.word, self.state) > (other.word, other.state)


class Configured(Struct, frozen=True, array_like=True, order=True):
    """A member that counts to majorities. Only its life on this disk does: an empty disk has forgotten."""

    name: str
    address: str
    disk: int


class Standing(Struct, frozen=True, array_like=True):
    """A member as the view has it."""

    name: str
    life: Life
    state: State


class Key(Struct, frozen=True, array_like=True, order=True):
    """Which of two views is the newer: by the term of the leader that proposed it, then by its number.

    `entry` counts the changes of the book that the view carries; while only that changes the number stays.
    """

    term: int
    number: int
    entry: int = 0


class View(Struct, frozen=True, array_like=True):
    """What a majority of the configured members agreed on. Each view is complete and replaces those
    before.
    """

    key: Key
    leader: str
    configured: tuple[Configured, ...]
    members: tuple[Standing, ...]
    book: bytes = b""  # what all hold alike beside it; see `book/model.py`

    @property
    def number(self) -> int:
        """Counts the views that were agreed."""
        return self.key.number

    def disk_of(self, name: str) -> int | None:
        """The disk on which this member counts to majorities; None: it is not configured."""
        return next((member.disk for member in self.configured if member.name == name), None)

    def standing(self, name: str) -> Standing | None:
        """How it has this member."""
        return next((member for member in self.members if member.name == name), None)


BEFORE_ALL = View(Key(0, 0), "", (), ())


class Lasting(Struct, frozen=True, array_like=True):
    """What a member must not forget. Written whole and synced before anything that rests on it is said."""

    life: Life
    writes: int  # how often this disk was written: a copy of an earlier day has a smaller number
    term: int
    voted_for: str  # in this term; "" for nobody
    accepted: View  # the newest view that it promised to keep
    agreed: View  # the newest that it knows a majority to keep
    forced: int = 0  # by an operator who gave a lost majority up: how often


# --- frames --------------------------------------------------------------------------------------


class Hello(Struct, frozen=True, array_like=True, tag="hello"):
    """The first word of whoever dialled."""

    lowest: int
    highest: int
    name: str
    to: str
    life: Life


class Welcome(Struct, frozen=True, array_like=True, tag="welcome"):
    """The answer to it: the format from here on."""

    format: int
    name: str
    life: Life


class Ask(Struct, frozen=True, array_like=True, tag="ask"):
    """After a start: what is known of this name? See `trust.py`."""

    life: Life
    writes: int


class Known(Struct, frozen=True, array_like=True, tag="known"):
    """What the one asked knows of the name, from any life: the latest life, and how often its disk was
    written.
    """

    asked: int  # the mark of the life that asked
    life: Life
    writes: int
    blank: bool  # it has itself no view on disk
    term: int


class Refused(Struct, frozen=True, array_like=True, tag="refused"):
    """The answer to a greeting that is not taken; the link closes."""

    why: str
    known: Known | None = None  # a later life of the same name


class Ping(Struct, frozen=True, array_like=True, tag="ping"):
    """Are you there? (SWIM)"""

    number: int
    writes: int
    rumours: tuple[Rumour, ...] = ()


class Ack(Struct, frozen=True, array_like=True, tag="ack"):
    """I am; with what was asked for on behalf of another: SWIM's ack, direct or passed on."""

    number: int
    writes: int
    rumours: tuple[Rumour, ...] = ()
    facts: bytes = b""  # versions of list, settings and program, for people


class PingFor(Struct, frozen=True, array_like=True, tag="pingfor"):
    """Ask `target` for me (SWIM's ping-req)."""

    number: int
    target: str
    rumours: tuple[Rumour, ...] = ()


class Nack(Struct, frozen=True, array_like=True, tag="nack"):
    """I hear you, but `target` did not answer me in time (Lifeguard, Dadgar et al., DSN 2018, 3.1)."""

    number: int


class Table(Struct, frozen=True, array_like=True, tag="table"):
    """All that a member knows of all, on a new link: what was said while the two could not hear each
    other.
    """

    rumours: tuple[Rumour, ...]


class Candidate(Struct, frozen=True, array_like=True, tag="cand"):
    """Give me your vote for this term; `trial`: would you? (Raft, with the pre-vote of Ongaro's thesis,
    9.6)
    """

    trial: bool
    term: int
    accepted: Key
    disk: int


class Vote(Struct, frozen=True, array_like=True, tag="vote"):
    """The answer."""

    trial: bool
    term: int
    granted: bool
    disk: int
    writes: int


class Patch(Struct, frozen=True, array_like=True):
    """A view whose book is given by what changed since an earlier one."""

    base: Key
    view: View  # without its book
    changed: bytes
    digest: int  # of the book that must come of it


class Lead(Struct, frozen=True, array_like=True, tag="lead"):
    """The leader's word: which view to keep, which is agreed, and for how long this leadership is good."""

    term: int
    key: Key
    agreed: Key
    stamp: int  # the leader's clock as this leaves, microseconds
    echo: int  # the follower's own stamp that its last answer carried: its clock, microseconds
    lease: int  # microseconds from the sending of this word; 0 where no majority answers
    view: View | None = None  # left out where the follower has it
    patch: Patch | None = None  # in its place, for a follower that has the one before


class Wish(Struct, frozen=True, array_like=True):
    """A member to add or, without an address, to remove: what changed in an operator's file."""

    name: str
    address: str


class Follow(Struct, frozen=True, array_like=True, tag="follow"):
    """The answer: what this member keeps."""

    term: int
    key: Key
    disk: int
    stamp: int  # this member's clock as this leaves, microseconds
    round: int  # the stamp of the word that this answers
    writes: int
    wishes: tuple[Wish, ...] = ()
    books: bool = False  # this release keeps the book that a view carries


class Carry(Struct, frozen=True, array_like=True, tag="carry"):
    """A message of a subsystem."""

    channel: str
    data: bytes


class Bulk(Struct, frozen=True, array_like=True, tag="bulk"):
    """The same, where it may wait: a piece of something long."""

    channel: str
    data: bytes


class Leave(Struct, frozen=True, array_like=True, tag="leave"):
    """The last word of a member that ends in order."""

    life: Life


Frame = (
    Hello | Welcome | Refused | Ask | Known | Ping | Ack | PingFor | Nack | Table | Candidate | Vote
    | Lead | Follow | Carry | Bulk | Leave
)  # fmt: skip

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)  # type: ignore[var-annotated]


class Garbled(Fault, ValueError):
    """Bytes of a link between members that are no frame; the link is cut and made anew."""

    code = "fleet.frame"
    remedy = (
        "See that nothing but members reaches fleet.listen, and that all run releases that know each other."
    )


class CannotGiveUp(Fault, ValueError):
    """Members cannot be given up for lost as things stand."""

    code = "fleet.give-up"
    remedy = (
        "Look at `mallowquay fleet show` on each member: only members of its view that are down are given "
        "up, said to another one, and only where no majority is left."
    )


def encode(frame: Frame) -> bytes:
    """A frame as msgpack, without its length."""
    return _encoder.encode(frame)


def decode(data: bytes | bytearray | memoryview) -> Frame:
    """The frame. Errors: Garbled."""
    try:
        found: Frame = _decoder.decode(data)
        return found
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise Garbled(str(fault), "frame") from fault


def micros(span: timedelta) -> int:
    """Whole microseconds, as they cross a link."""
    return span // MICROSECOND


class Event(Struct, frozen=True):
    """Something that on-call staff, the log and the rig are to see."""

    what: str
    fields: dict[str, Any]
