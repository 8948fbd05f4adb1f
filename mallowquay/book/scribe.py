"""One member's part in writing the book: what it asks for, and what it writes while it leads. No I/O.

Whoever asks sends to the leader of the view and asks again until it is told or time is over; the leader
gathers what it is asked for into the next page, and tells once that is agreed. A change has an id, so one
that is asked for twice, also of two leaders one after the other, is carried out once (as client sessions in
Raft; Ongaro's thesis, 2014, 6.3).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

import msgspec
from msgspec import Struct

from ..fleet.model import Key, State, View
from .model import (
    EMPTY,
    BookFault,
    BookFull,
    BookLate,
    Change,
    Entry,
    Outcome,
    Pages,
    applied,
    checked,
    decode,
    encode,
)

QUEUE_MOST = 2_048  # changes that a leader is asked for and has not proposed
ASKED_MOST = 1_024  # changes that this member waits for
BATCH_MOST = 256  # changes on one page
BURST = 256.0  # changes that may come at once
PER_SECOND = 50.0  # changes a second in the long run, over the whole fleet
AGAIN = timedelta(milliseconds=250)  # an asking that nobody has answered is sent again
LATE = timedelta(seconds=6)  # then whoever asked is told that it is not known


class Ask(Struct, frozen=True, array_like=True, tag="ask"):
    """Please write this."""

    changes: tuple[Change, ...]


class Told(Struct, frozen=True, array_like=True, tag="told"):
    """What became of it."""

    outcomes: tuple[Outcome, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Ask | Told)  # type: ignore[var-annotated]

Sends = list[tuple[str, bytes]]
Hear = Callable[[Outcome], None]


@dataclass(slots=True)
class _Asked:
    change: Change
    told: Hear
    until: timedelta
    again: timedelta


class Scribe:
    """The book as one member knows it, and what it wants changed."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.pages: Pages = EMPTY  # agreed
        self.data = b""  # the same, encoded
        self._kinds: dict[str, dict[str, Entry]] = {}
        self._asked: dict[str, _Asked] = {}
        self._queue: deque[tuple[str, Change]] = deque()
        self._queued: set[str] = set()
        self._proposed: tuple[bytes, list[tuple[str, Outcome]]] | None = None
        self._tokens, self._filled = BURST, timedelta(0)
        self._looked_at: Key | None = None  # the view in which no life that is over owns anything
        self._watches: dict[str, list[Callable[[], None]]] = {}
        self.sends: Sends = []
        self.turns = False  # something is there that a leader could write at once
        self.written = self.refused = self.unreadable = 0

    # --- readers

    @property
    def last(self) -> int:
        """The number of the newest agreed change."""
        return self.pages.last

    def entries(self, kind: str) -> Mapping[str, Entry]:
        """The agreed entries of a kind, by name; replaced whole with each change, so it may be kept."""
        return self._kinds.get(kind, {})

    def watch(self, kind: str, told: Callable[[], None]) -> None:
        """`told` is called after each change of this kind's entries."""
        self._watches.setdefault(kind, []).append(told)

    # --- askers

    def submit(self, now: timedelta, change: Change, told: Hear) -> None:
        """Ask for a change; `told` hears once what became of it. Errors: BookFault, BookFull."""
        checked(change)
        if len(self._asked) >= ASKED_MOST:
            raise BookFull(f"{ASKED_MOST} changes are asked for already", f"{change.kind}/{change.name}")
        self._asked[change.id] = _Asked(change, told, now + LATE, now)

    def tick(self, now: timedelta, leader: str) -> None:
        """Ask (again) whoever leads, and give up what is late. `leader`: "" where none is known."""
        due: list[Change] = []
        for id_, asked in list(self._asked.items()):
            if now >= asked.until:
                del self._asked[id_]
                late = BookLate("no word of it came in time", f"{asked.change.kind}/{asked.change.name}")
                asked.told(Outcome(id_, 0, late.code, str(late)))
            elif leader and now >= asked.again:
                asked.again = now + AGAIN
                due.append(asked.change)
        if leader == self.name:
            for change in due:
                self._take(self.name, change)
        elif due:
            for start in range(0, len(due), 4):  # a message stays short beside the words of the view
                self.sends.append((leader, _encoder.encode(Ask(tuple(due[start : start + 4])))))

    def heard(self, name: str, data: bytes, leads: bool) -> None:
        """A message of another member."""
        try:
            message = _decoder.decode(data)
        except (msgspec.DecodeError, RecursionError):
            self.unreadable += 1
            return
        if isinstance(message, Told):
            for outcome in message.outcomes:
                self._hear(outcome)
        elif leads:
            for change in message.changes:
                self._take(name, change)

    def _hear(self, outcome: Outcome) -> None:
        asked = self._asked.pop(outcome.id, None)
        if asked is not None:
            asked.told(outcome)

    # --- the leader

    def _take(self, name: str, change: Change) -> None:
        try:
            checked(change)
            if change.id in self._queued:
                return  # it is under way
            if len(self._queue) >= QUEUE_MOST:
                raise BookFull(f"{QUEUE_MOST} changes wait already", f"{change.kind}/{change.name}")
        except BookFault as fault:
            self.refused += 1
            self._tell([(name, Outcome(change.id, 0, fault.code, str(fault)))])
            return
        self._queue.append((name, change))
        self._queued.add(change.id)
        self.turns = True

    def next_page(self, now: timedelta, view: View) -> bytes | None:
        """The next book: what was asked for, and without what belonged to lives that are over."""
        self._settle(view)
        if not self._queue and view.key == self._looked_at:
            return None
        self._looked_at = view.key
        pages = self._read(view.book)
        gone = [self._removal(entry) for entry in pages.entries if entry.owner and _is_over(entry, view)]
        self._tokens = min(BURST, self._tokens + (now - self._filled) / timedelta(seconds=1) * PER_SECOND)
        self._filled = now
        batch: list[tuple[str, Change]] = [("", change) for change in gone[:BATCH_MOST]]
        while self._queue and len(batch) < BATCH_MOST and self._tokens >= 1:
            self._tokens -= 1
            batch.append(self._queue.popleft())
            self._queued.discard(batch[-1][1].id)
        self.turns = bool(self._queue)
        if not batch:
            return None
        after, outcomes = applied(pages, [change for _, change in batch])
        told = [(name, outcome) for (name, _), outcome in zip(batch, outcomes, strict=True) if name]
        now_known = [one for one in told if not one[1].done or one[1].number <= pages.last]
        self._tell(now_known)
        if after.last == pages.last:
            return None
        data = encode(after)
        self._proposed = (data, [one for one in told if one not in now_known])
        return data

    @staticmethod
    def _removal(entry: Entry) -> Change:
        return Change(f"over/{entry.number}", entry.kind, entry.name, None, entry.number)

    def _read(self, data: bytes) -> Pages:
        return self.pages if data == self.data else decode(data)

    def agreed(self, view: View, leads: bool) -> None:
        """What is agreed now; tells whoever asked, and whoever watches."""
        if leads:
            self._settle(view)
        else:
            # What was not agreed under this leadership may be, or not: whoever asked asks the next leader.
            self._proposed, self._queue, self._queued = None, deque(), set()
        if view.book == self.data:
            return
        before = self.pages
        self.pages, self.data = decode(view.book), view.book
        self._sort(before)

    def _settle(self, view: View) -> None:
        """The page that was proposed is agreed: tell whoever asked for what is on it."""
        if self._proposed is not None and self._proposed[0] == view.book:
            outcomes, self._proposed = self._proposed[1], None
            self.written += len(outcomes)
            self._tell(outcomes)

    def _sort(self, before: Pages) -> None:
        old = set(before.entries)
        new = set(self.pages.entries)
        changed = {entry.kind for entry in old ^ new}
        for kind in changed:
            self._kinds[kind] = {e.name: e for e in self.pages.entries if e.kind == kind}
        for kind in sorted(changed):
            for told in self._watches.get(kind, ()):
                told()

    def _tell(self, outcomes: list[tuple[str, Outcome]]) -> None:
        by_name: dict[str, list[Outcome]] = {}
        for name, outcome in outcomes:
            if name == self.name:
                self._hear(outcome)
            else:
                by_name.setdefault(name, []).append(outcome)
        for name, some in by_name.items():
            self.sends.append((name, _encoder.encode(Told(tuple(some)))))


def _is_over(entry: Entry, view: View) -> bool:
    standing = view.standing(entry.owner)
    if standing is None:
        return True
    return standing.life.mark != entry.mark or standing.state in (State.DOWN, State.LEFT)


