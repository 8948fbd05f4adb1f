"""How far a client has come, as a text that any gatekeeper can read: a place in each member's order. No I/O.

The text is opaque to clients: base64 (RFC 4648, section 5, without padding) of a version, msgpack and a
checksum.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Mapping
from typing import ClassVar

import msgspec
import xxhash

from ..errors import Fault

VERSION = 1
MEMBERS_MOST = 256
TEXT_MOST = 7 * 1024  # characters; a request's head takes 8 KiB
OVER = 2**53 - 1  # the place behind the last event of a life that has ended
MARK_BITS = 0xFFFFFFFF  # of a life's mark that a cursor keeps

Life = tuple[int, int]  # number and mark of one start of a member; a greater one is later
Place = tuple[Life, int]  # all events of the life up to this number are behind
Places = Mapping[str, Place]


class CursorFault(Fault):
    """A cursor that no gatekeeper of this release has given out."""

    code: ClassVar[str] = "events.cursor"
    remedy: ClassVar[str] = "Give the id of the last event as it came, or no `since` to begin anew."


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[tuple[str, int, int, int]])


def short(life: Life) -> Life:
    """A life as cursors and streams name it."""
    return life[0], life[1] & MARK_BITS


def encode(places: Places) -> str:
    """The cursor of these places. Beyond `MEMBERS_MOST` members the first by name are kept."""
    rows = [(name, *places[name][0], places[name][1]) for name in sorted(places)[:MEMBERS_MOST]]
    data = bytes((VERSION,)) + _encoder.encode(rows)
    whole = data + xxhash.xxh32_digest(data)
    return base64.urlsafe_b64encode(whole).rstrip(b"=").decode()


def decode(text: str) -> dict[str, Place]:
    """The places of a cursor. Errors: CursorFault."""
    if len(text) > TEXT_MOST:
        raise CursorFault(f"{len(text)} characters, and {TEXT_MOST} are the most", "since")
    try:
        whole = base64.b64decode(text.encode("ascii") + b"=" * (-len(text) % 4), b"-_", validate=True)
    except (ValueError, binascii.Error):
        raise CursorFault("not a cursor", "since") from None
    data, sum_ = whole[:-4], whole[-4:]
    if len(whole) < 6 or xxhash.xxh32_digest(data) != sum_:
        raise CursorFault("not whole: its checksum differs", "since")
    if data[0] != VERSION:
        raise CursorFault(f"version {data[0]}, and {VERSION} is read here", "since")
    try:
        rows = _decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError):
        raise CursorFault("not readable", "since") from None
    wrong = any(min(number, mark, at) < 0 or at > OVER for _, number, mark, at in rows)
    if wrong or len(rows) > MEMBERS_MOST:
        raise CursorFault("out of its bounds", "since")
    return {name: ((number, mark), at) for name, number, mark, at in rows}
