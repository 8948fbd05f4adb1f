"""What gatekeepers say to each other of events: one msgpack array a message, on the fleet's links. No I/O.

`Batch` and `Past` go from the member where events arise to the gatekeeper that clients are at; `Ask` and
`Since` go the other way. Known names of fields travel as small numbers. A later release may append to an
array; what has an unknown tag is dropped and counted.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import ClassVar

import msgspec
from msgspec import Raw, Struct

from ..errors import Fault
from .cursor import Life

CHANNEL = "events"  # of the fleet's links
KIND = "subscription"  # of the book's entries
Value = str | int | float | bool
Fields = Mapping[str, Value]

# By their place in this list; new ones come at its end, and none ever leaves.
FIELDS = (
    "kind", "at_ms", "class", "tenant", "district", "server", "cause", "attempts", "waited_ms", "stood_ms",
    "level", "from", "to", "name", "day",
)  # fmt: skip
_NUMBERS: dict[str, int] = {name: place for place, name in enumerate(FIELDS)}


class Floor(IntEnum):
    """Why a range begins where it does."""

    NONE = 0  # it follows the one before
    KNOWN = 1  # nothing older is kept, and each number before it was one event
    UNKNOWN = 2  # nothing older is kept, and some of what was before was not even counted


class Subscription(Struct, frozen=True, array_like=True):
    """The body of an entry of the book."""

    filter: str
    gatekeeper: str


class Batch(Struct, frozen=True, array_like=True, tag="batch"):
    """All events of `life` from `first` to `upto` are judged; these match. `upto` is `first` - 1: a sign of
    life.

    `took`: subscriptions, by the number of their entry, from which event on they are judged, and whether the
    receiver is to judge them itself. `ended`: from which event on they are not judged any more.
    """

    life: Life
    first: int
    upto: int
    book: int  # the number of the book by which the last of them was judged
    took: tuple[tuple[int, int, bool], ...] = ()
    ended: tuple[tuple[int, int], ...] = ()
    events: tuple[tuple[int, tuple[int, ...], Raw], ...] = ()  # number, subscriptions, fields
    floor: Floor = Floor.NONE
    last: bool = False  # the life ends in order with `upto`


class Ask(Struct, frozen=True, array_like=True, tag="ask"):
    """All up to `judged` has come. `hole`: go on from there again. `want`: since when are these judged?"""

    life: Life
    judged: int
    hole: bool = False
    want: tuple[int, ...] = ()


class Since(Struct, frozen=True, array_like=True, tag="since"):
    """What is kept from `first` on and matches this subscription, at most so many events."""

    life: Life
    ticket: int  # of whoever asked; it comes back
    subscription: int
    first: int
    most: int


class Past(Struct, frozen=True, array_like=True, tag="past"):
    """The answer: from `first` to `upto` these match. `open`: they are all there were, and not judged."""

    life: Life
    ticket: int
    subscription: int
    first: int
    upto: int
    events: tuple[tuple[int, Raw], ...] = ()
    floor: Floor = Floor.NONE
    open: bool = False


Message = Batch | Ask | Since | Past

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)  # type: ignore[arg-type]
_fields: msgspec.msgpack.Decoder[dict[int | str, Value]] = msgspec.msgpack.Decoder(dict[int | str, Value])
_body = msgspec.msgpack.Decoder(Subscription)


class EventsGarbled(Fault):
    """Another member's word of events that cannot be read."""

    code: ClassVar[str] = "events.garbled"
    remedy: ClassVar[str] = "Look which release that member runs."


def encode(message: Message) -> bytes:
    """A message as bytes."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """A message whose ranges hold together. Errors: EventsGarbled."""
    try:
        found = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as fault:
        raise EventsGarbled(str(fault), CHANNEL) from None
    if isinstance(found, Batch | Past):
        before = found.first - 1
        if before < 0 or found.upto < before:
            raise EventsGarbled(f"a range from {found.first} to {found.upto}", CHANNEL)
        for event in found.events:
            if not before < event[0] <= found.upto:
                raise EventsGarbled(f"event {event[0]} is out of its order or range", CHANNEL)
            before = event[0]
    return found


def packed(fields: Fields) -> Raw:
    """The fields of an event; its member is known to whoever receives it."""
    named = {_NUMBERS.get(name, name): value for name, value in fields.items() if name != "member"}
    return Raw(_encoder.encode(named))


def unpacked(raw: Raw, member: str) -> dict[str, Value]:
    """The fields again. Numbers of fields that this release does not know are left out. Errors:
    EventsGarbled.
    """
    try:
        found = _fields.decode(raw)
    except (msgspec.DecodeError, RecursionError) as fault:
        raise EventsGarbled(str(fault), CHANNEL) from None
    named: dict[str, Value] = {"member": member}
    for key, value in found.items():
        if isinstance(key, str):
            named[key] = value
        elif 0 <= key < len(FIELDS):
            named[FIELDS[key]] = value
    return named


def subscription(body: bytes) -> Subscription | None:
    """The body of an entry; None where it cannot be read."""
    try:
        return _body.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return None
