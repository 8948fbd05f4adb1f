"""Logs, their entries and ensembles, and what members say to each other of them. No I/O.

A log belongs to one life of one member and is written by it alone: entry by entry, numbered from 1, each
one giving a
record a body or forgetting it. Whoever holds all entries up to a number holds the same records, and the
same chain.
"""

from __future__ import annotations

import msgspec
import xxhash
from msgspec import Struct

from ..errors import Fault

OWN_KIND = "#"  # of records that the log keeps of itself
ENSEMBLE_KEY = "ensemble"
KIND_MOST, KEY_MOST, BODY_MOST = 32, 256, 8 * 1024  # characters, characters, bytes


class RecordRefused(Fault, ValueError):
    """A record is past the bounds of its kind, its key or its body, so no copy of it can be promised."""

    code = "copies.record"
    remedy = (
        "A call's description or its headers are larger than a record may be: look at the caller that sent "
        "it."
    )


class RecordsFull(RecordRefused):
    """So many records are held that no more can be."""

    code = "copies.full"
    remedy = "Add gatekeepers, or lower sip.calls_most below what one of them can promise."


class LogId(Struct, frozen=True, array_like=True, order=True):
    """The log of one life of one member."""

    writer: str
    number: int
    mark: int

    def __str__(self) -> str:
        return f"{self.writer}/{self.number}/{self.mark:x}"

    @classmethod
    def parse(cls, text: str) -> LogId:
        """What `str` made. Errors: ValueError."""
        writer, number, mark = text.rsplit("/", 2)
        return cls(writer, int(number), int(mark, 16))


class Holder(Struct, frozen=True, array_like=True, order=True):
    """A member that keeps copies, on this very disk: an empty one has forgotten what it acknowledged."""

    name: str
    disk: int


class Ensemble(Struct, frozen=True, array_like=True):
    """Who keeps a log. Numbered, because it changes one holder at a time."""

    number: int
    holders: tuple[Holder, ...]
    write: int  # an entry is promised once so many hold it, the writer among them

    @property
    def fence(self) -> int:
        """So many holders that refuse leave too few for another promise."""
        return len(self.holders) - self.write + 1

    def names(self) -> tuple[str, ...]:
        """Its members."""
        return tuple(holder.name for holder in self.holders)


class Entry(Struct, frozen=True, array_like=True):
    """One step of a log."""

    seq: int
    kind: str
    key: str
    body: bytes | None  # None: the record is forgotten


class Seal(Struct, frozen=True, array_like=True):
    """The end of a log: its records are in another one from here on."""

    epoch: int
    into: LogId


def chained(before: int, entry: Entry) -> int:
    """The chain after an entry: tells apart two logs that went different ways at any earlier entry."""
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(entry), seed=before)


# --- between members -----------------------------------------------------------------------------


class Append(Struct, frozen=True, array_like=True, tag="append"):
    """Entries that follow on `before`; none: how far are you?"""

    log: LogId
    ensemble: Ensemble
    before: int
    chain: int  # at `before`
    entries: tuple[Entry, ...]


class Appended(Struct, frozen=True, array_like=True, tag="appended"):
    """All up to `upto` is on this holder's disk."""

    log: LogId
    holder: Holder
    upto: int
    chain: int


class Refusal(Struct, frozen=True, array_like=True, tag="refusal"):
    """The writer of this log is written off here."""

    log: LogId
    holder: Holder
    epoch: int


class Piece(Struct, frozen=True, array_like=True, tag="piece"):
    """A part of all records as of `base`, for a holder that is new or too far behind."""

    log: LogId
    ensemble: Ensemble
    base: int
    chain: int
    index: int
    entries: tuple[Entry, ...]
    last: bool


class Fence(Struct, frozen=True, array_like=True, tag="fence"):
    """Take nothing more from the writer of this log, nor from recoveries of earlier epochs."""

    log: LogId
    epoch: int


class Fenced(Struct, frozen=True, array_like=True, tag="fenced"):
    """The answer: what this holder has, and whether it refuses from now on."""

    log: LogId
    epoch: int  # that was asked
    holder: Holder
    granted: bool
    known: bool  # it has a copy; else it never had one, or dropped it
    ensemble: Ensemble | None
    last: int
    chain: int
    seal: Seal | None
    dropped: bool  # it knows that this log was taken over and done with


class Read(Struct, frozen=True, array_like=True, tag="read"):
    """All that you have of this log, please."""

    log: LogId
    epoch: int


class ReadPiece(Struct, frozen=True, array_like=True, tag="readpiece"):
    """A part of it."""

    log: LogId
    epoch: int
    base: int
    chain: int
    index: int
    entries: tuple[Entry, ...]
    last: bool


class SealIt(Struct, frozen=True, array_like=True, tag="seal"):
    """All records of this log are promised in another one: say so to whoever comes after me."""

    log: LogId
    seal: Seal


class Sealed(Struct, frozen=True, array_like=True, tag="sealed"):
    """The answer; not granted where a later recovery has fenced."""

    log: LogId
    epoch: int
    holder: Holder
    granted: bool


class Drop(Struct, frozen=True, array_like=True, tag="drop"):
    """This holder need not keep the log any more: the ensemble went on without it, or the log is done
    with.
    """

    log: LogId
    done: bool


class Yours(Struct, frozen=True, array_like=True, tag="yours"):
    """The end of this log is sealed into that one: whoever has that one acts, or says that it is done
    with.
    """

    log: LogId
    into: LogId


class Orphan(Struct, frozen=True, array_like=True, tag="orphan"):
    """I hold a log whose writer is gone."""

    log: LogId
    holder: Holder
    ensemble: Ensemble | None
    last: int


Message = (
    Append
    | Appended
    | Refusal
    | Piece
    | Fence
    | Fenced
    | Read
    | ReadPiece
    | SealIt
    | Sealed
    | Drop
    | Yours
    | Orphan
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)  # type: ignore[var-annotated]


def encode(message: Message) -> bytes:
    """As msgpack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Errors: msgspec.DecodeError."""
    found: Message = _decoder.decode(data)
    return found


# --- on disk -------------------------------------------------------------------------------------


class OpEntry(Struct, frozen=True, array_like=True, tag="e"):
    """An entry was appended."""

    log: LogId
    entry: Entry


class OpState(Struct, frozen=True, array_like=True, tag="s"):
    """From here the log's records are the `count` that follow as OpLive."""

    log: LogId
    base: int
    chain: int
    count: int


class OpLive(Struct, frozen=True, array_like=True, tag="l"):
    """One of them."""

    log: LogId
    entry: Entry


class OpMeta(Struct, frozen=True, array_like=True, tag="m"):
    """What a holder must not forget of a log beside its entries."""

    log: LogId
    ensemble: Ensemble | None
    fence: int
    seal: Seal | None


class OpDrop(Struct, frozen=True, array_like=True, tag="d"):
    """The log is no longer held; `retired`: no life of this writer up to this number is heard again."""

    log: LogId
    retired: int


Op = OpEntry | OpState | OpLive | OpMeta | OpDrop
