"""Entries of the book, changes to it, and its whole as bytes that travel and last. No I/O.

The book is carried in the fleet's own register, beside the view: see `docs/book.md`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import ClassVar, Protocol

import msgspec
import xxhash
from msgspec import Struct

from ..core.model import Clock
from ..errors import Fault

ENTRIES_MOST = 4_096
BODY_MOST = 4_096  # bytes of one entry's body
NAME_MOST = 128  # characters of a kind's or an entry's name
BYTES_MOST = 512 * 1024  # of the whole book, encoded
RECENT_MOST = 512  # ids of changes that are remembered: more than can come while one is asked for
__all__ = ["Clock"]


class Entry(Struct, frozen=True, array_like=True, order=True):
    """One fact that all hold alike. `kind` and `name` are its key; a later change replaces it whole."""

    kind: str
    name: str
    number: int  # the place of its last change in the book's one order, from 1 up
    body: bytes  # of the kind's own making, msgpack by custom; a kind that is not known is kept as it is
    owner: str = ""  # goes with the life of this member, if one is named
    mark: int = 0  # the mark of that life
    change: str = ""  # the id of the change that made it


class Change(Struct, frozen=True, array_like=True):
    """What somebody wants changed. An entry without a body is to go.

    `expect`: the number that the entry must still have, 0 for none that is there, None for whatever there is.
    `id` names the asking; a change that is asked for twice is carried out once.
    """

    id: str
    kind: str
    name: str
    body: bytes | None
    expect: int | None = None
    owner: str = ""
    mark: int = 0


class Pages(Struct, frozen=True, array_like=True):
    """The whole book."""

    last: int = 0  # the number of the newest change
    entries: tuple[Entry, ...] = ()  # ordered by kind and name
    recent: tuple[tuple[str, int], ...] = ()  # ids and numbers of the newest changes, oldest first


class BookFault(Fault):
    """A change that the book does not take."""

    code: ClassVar[str] = "book.change"
    remedy: ClassVar[str] = "Correct the change and ask again."


class BookFull(BookFault):
    """No room."""

    code: ClassVar[str] = "book.full"
    remedy: ClassVar[str] = "Remove entries that nobody needs, or ask for less; docs/book.md has the bounds."


class BookConflict(BookFault):
    """Somebody else changed the entry first."""

    code: ClassVar[str] = "book.conflict"
    remedy: ClassVar[str] = "Read the entry as it is now and decide anew."


class BookLate(BookFault):
    """It could not be agreed in time; it may be agreed all the same, later."""

    code: ClassVar[str] = "book.late"
    remedy: ClassVar[str] = "Look at /fleet: without a majority nothing is agreed. Then read the book."


class Outcome(Struct, frozen=True, array_like=True):
    """What became of a change: `number` of the agreed one, or the code and text of why not."""

    id: str
    number: int = 0
    code: str = ""
    fault: str = ""

    @property
    def done(self) -> bool:
        """It is agreed."""
        return not self.code


class Reader(Protocol):
    """What the parts on the book may ask of it, whoever carries it (a process, a virtual fleet, a test)."""

    def entries(self, kind: str) -> Mapping[str, Entry]:
        """The agreed entries of a kind, by name. An own copy is not needed: it is replaced, never changed."""

    @property
    def last(self) -> int:
        """The number of the newest agreed change that this member knows."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Pages)
EMPTY = Pages()


def encode(pages: Pages) -> bytes:
    """The whole as bytes; the empty book is no bytes at all."""
    return b"" if pages == EMPTY else _encoder.encode(pages)


def decode(data: bytes) -> Pages:
    """Errors: BookFault."""
    if not data:
        return EMPTY
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as fault:
        raise BookFault(f"not a book: {fault}", "book") from fault


def digest(data: bytes) -> int:
    """What two members compare: 64 bits over the encoded whole."""
    return xxhash.xxh3_64_intdigest(data)


def checked(change: Change) -> Change:
    """A change within its own bounds. Errors: BookFault, BookFull."""
    where = f"{change.kind}/{change.name}"
    if not 0 < len(change.kind) <= NAME_MOST or not 0 < len(change.name) <= NAME_MOST:
        raise BookFault(f"kind and name take 1 to {NAME_MOST} characters", where[:NAME_MOST])
    if not change.id or len(change.id) > NAME_MOST:
        raise BookFault(f"an id takes 1 to {NAME_MOST} characters", where)
    if change.body is not None and len(change.body) > BODY_MOST:
        raise BookFull(f"{len(change.body)} bytes, and {BODY_MOST} are the most of an entry", where)
    return change


def applied(pages: Pages, changes: Iterable[Change]) -> tuple[Pages, list[Outcome]]:
    """The book after these changes, in their order, and what became of each."""
    found = {(entry.kind, entry.name): entry for entry in pages.entries}
    last, outcomes = pages.last, list[Outcome]()
    recent = dict(pages.recent)
    size = sum(_size(entry) for entry in pages.entries)
    for change in changes:
        key = change.kind, change.name
        before = found.get(key)
        try:
            checked(change)
            if change.id in recent:  # it was asked for twice
                outcomes.append(Outcome(change.id, recent[change.id]))
                continue
            if change.expect is not None and change.expect != (before.number if before else 0):
                at = before.number if before else 0
                raise BookConflict(f"it has number {at}, not {change.expect}", "/".join(key))
            after = None
            if change.body is not None:
                after = Entry(*key, last + 1, change.body, change.owner, change.mark, change.id)
            grown = size + (_size(after) if after else 0) - (_size(before) if before else 0)
            if after is not None and (
                grown > BYTES_MOST or (before is None and len(found) >= ENTRIES_MOST)
            ):
                raise BookFull(f"{len(found)} entries in {size} bytes leave no room", "/".join(key))
        except BookFault as fault:
            outcomes.append(Outcome(change.id, 0, fault.code, str(fault)))
            continue
        last, size = last + 1, grown
        recent[change.id] = last
        if after is not None:
            found[key] = after
        else:
            found.pop(key, None)
        outcomes.append(Outcome(change.id, last))
    kept = tuple(recent.items())[-RECENT_MOST:]
    return Pages(last, tuple(found[key] for key in sorted(found)), kept), outcomes


class _Difference(Struct, frozen=True, array_like=True):
    last: int
    set: tuple[Entry, ...]
    gone: tuple[tuple[str, str], ...]
    recent: tuple[tuple[str, int], ...]  # new ones
    forgotten: int  # how many of the oldest are no longer kept


_differences = msgspec.msgpack.Decoder(_Difference)


def difference(before: bytes, after: bytes) -> bytes:
    """What `patched` makes the later book of the earlier one by."""
    old, new = decode(before), decode(after)
    known = set(old.entries)
    names = {(entry.kind, entry.name) for entry in new.entries}
    gone = tuple((e.kind, e.name) for e in old.entries if (e.kind, e.name) not in names)
    had = set(old.recent)
    added = tuple(one for one in new.recent if one not in had)
    forgotten = len(old.recent) + len(added) - len(new.recent)
    changed = tuple(entry for entry in new.entries if entry not in known)
    return _encoder.encode(_Difference(new.last, changed, gone, added, forgotten))


def patched(before: bytes, changed: bytes) -> bytes | None:
    """The later book; None where the bytes are no difference. The caller compares its digest."""
    try:
        told = _differences.decode(changed)
        found = {(entry.kind, entry.name): entry for entry in decode(before).entries}
        recent = (*decode(before).recent, *told.recent)[max(0, told.forgotten) :]
    except (msgspec.DecodeError, RecursionError, BookFault):
        return None
    for key in told.gone:
        found.pop(key, None)
    found.update(((entry.kind, entry.name), entry) for entry in told.set)
    return encode(Pages(told.last, tuple(found[key] for key in sorted(found)), recent))


def _size(entry: Entry) -> int:
    return len(entry.kind) + len(entry.name) + len(entry.body) + len(entry.owner) + len(entry.change) + 32
