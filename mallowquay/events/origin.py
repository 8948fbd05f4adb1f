"""Where events arise: numbered, judged once against all subscriptions, kept for a while, told to who asked.
No I/O.

Each gatekeeper with a subscriber has a place in the one row of kept events: what is sent goes on from there,
and an `Ask` sets it back (go-back-N). So there is no queue for each of them, and what a link loses is sent
again for as long as it is kept. What an event matched is kept with it: sent again, it is judged by the book
of its own moment.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

from msgspec import Raw

from .cursor import Life
from .fields import Event
from .wire import Ask, Batch, Floor, Message, Past, Since, packed, unpacked

MILLISECOND = timedelta(milliseconds=1)
BATCH_BYTES, BATCH_EVENTS = 12 * 1024, 256  # of one message; a piece on a link takes 16 KiB
WINDOW = 96 * 1024  # bytes on their way to one gatekeeper that it has not answered for
BATCHES_A_FLUSH = 8  # to one gatekeeper
HEARTBEAT = 500 * MILLISECOND
FRESH_MOST = 4_096  # events that wait to be judged
KEPT_BYTES = 32 * 1024 * 1024
PAST_A_FLUSH = 512  # kept events that are judged anew between two looks at calls
SINCE_MOST = 1_024  # questions that wait for it
ENDED_MOST = 4_096  # ends of subscriptions that are remembered
DESTINATION_STAYS = timedelta(seconds=30)  # after its last subscription


class Judge(Protocol):
    """A filter."""

    def matches(self, event: Event, /) -> bool:
        """Whether the whole of it is true."""


class Matching(Protocol):
    """Many filters at once, by the numbers of their entries."""

    def add(self, key: int, filter_: Any, /) -> None:
        """Judge by this one, too."""

    def remove(self, key: int, /) -> None:
        """Not any more."""

    def match(self, event: Event, /) -> set[int]:
        """The keys of those that match."""


@dataclass(frozen=True, slots=True)
class Subscribed:
    """An entry of the book: who asks, and its filter; None: this release cannot judge it."""

    gatekeeper: str
    judge: Judge | None


@dataclass(frozen=True, slots=True)
class KeptTerms:
    """How much is kept."""

    most: int = 50_000
    span: timedelta = timedelta(seconds=300)


@dataclass(slots=True)
class Record:
    """An event that is kept."""

    at: timedelta
    raw: Raw
    to: dict[str, tuple[int, ...]]  # who asked for it, by which subscriptions


@dataclass(slots=True)
class Destination:
    """A gatekeeper that asked."""

    begun: int  # what was before it is not told as its own
    sent: int  # all up to here has left
    scanned: int  # between that and here nothing is for it; it is told so with what follows, or in time
    told_at: timedelta
    live: dict[int, None] = field(default_factory=dict)  # its subscriptions, the newest last
    greet: bool = True  # say of all its subscriptions since when they are judged
    flying: deque[tuple[int, int]] = field(default_factory=deque)  # number, bytes
    flown: int = 0
    empty_at: timedelta | None = None  # its last subscription went
    floor: Floor = Floor.NONE  # what comes next does not follow what it has
    ended: dict[int, int] = field(default_factory=dict)  # subscriptions, from which event on


Send = Callable[[str, Message], int]  # to whom; bytes that it took, 0 where it is not taken


class Origin:
    """The events of one life of one member."""

    def __init__(self, name: str, life: Life, index: Matching, terms: KeptTerms, now: timedelta) -> None:
        self.name, self.life, self.terms = name, life, terms
        self._index = index
        self.last = self.judged = 0  # numbers of the newest event, and of the newest that is judged
        self.kept: dict[int, Record] = {}
        self.kept_bytes = 0
        self.oldest = 1  # the first number that is kept; `judged` + 1 where none is
        self.blind = 0  # up to here some events were not even counted
        self.book = 0
        self.subscriptions: dict[int, Subscribed] = {}
        self.since: dict[int, int] = {}  # of each subscription: from which event on it is judged
        self.destinations: dict[str, Destination] = {}
        self._open: dict[str, set[int]] = {}  # subscriptions that cannot be judged here, by gatekeeper
        self._fresh: deque[tuple[timedelta, Event]] = deque()
        self._asked: deque[tuple[str, Since]] = deque()
        self._leaving = False

    # --- events

    def record(self, now: timedelta, event: Event) -> None:
        """An event arose: it has its number, and is judged at the next look."""
        self.last += 1
        self._fresh.append((now, event))
        if len(self._fresh) > FRESH_MOST:
            self.judge()

    def judge(self) -> None:
        """Judge what has come since."""
        while self._fresh:
            at, event = self._fresh.popleft()
            to: dict[str, tuple[int, ...]] = dict.fromkeys(self._open, ())
            for number in sorted(self._index.match(event)) if self.subscriptions else ():
                gatekeeper = self.subscriptions[number].gatekeeper
                to[gatekeeper] = (*to.get(gatekeeper, ()), number)
            raw = packed(event)
            self.judged += 1
            self.kept[self.judged] = Record(at, raw, to)
            self.kept_bytes += len(memoryview(raw))
        while len(self.kept) > self.terms.most or self.kept_bytes > KEPT_BYTES:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        self.kept_bytes -= len(memoryview(self.kept.pop(self.oldest).raw))
        self.oldest += 1

    def forget(self, counted: bool = False) -> None:
        """Keep nothing of before. Unless all was counted, a number stands for what was not."""
        self.judge()
        self.kept.clear()
        self.kept_bytes = 0
        if not counted:
            self.last = self.judged = self.blind = self.judged + 1
        self.oldest = self.judged + 1

    # --- subscriptions

    def subscribed(self, now: timedelta, book: int, found: Mapping[int, Subscribed]) -> None:
        """All subscriptions of the book under this number."""
        self.judge()  # what was before is judged by the book of before
        self.book = book
        for number in [number for number in self.subscriptions if number not in found]:
            self._end(now, number)
        for number in sorted(found.keys() - self.subscriptions.keys()):
            one = self.subscriptions[number] = found[number]
            self.since[number] = self.judged + 1
            there = self.destinations.get(one.gatekeeper)
            if there is None:
                there = Destination(self.judged, self.judged, self.judged, now - HEARTBEAT)
                there.floor = Floor.UNKNOWN if self.blind else Floor.KNOWN  # of what it may have had before
                self.destinations[one.gatekeeper] = there
            there.live[number] = None
            there.empty_at = None
            there.told_at = min(there.told_at, now - HEARTBEAT)
            if one.judge is None:
                self._open.setdefault(one.gatekeeper, set()).add(number)
            else:
                self._index.add(number, one.judge)

    def _end(self, now: timedelta, number: int) -> None:
        one = self.subscriptions.pop(number)
        del self.since[number]
        there = self.destinations[one.gatekeeper]
        there.ended[number] = self.judged + 1
        if len(there.ended) > ENDED_MOST:  # it has not been heard for long: it begins anew
            there.ended.clear()
            there.begun = there.sent = there.scanned = self.judged
            there.floor = Floor.KNOWN
        there.live.pop(number, None)
        there.told_at = min(there.told_at, now - HEARTBEAT)
        if not there.live:
            there.empty_at = now
        if one.judge is None:
            self._open[one.gatekeeper].discard(number)
            if not self._open[one.gatekeeper]:
                del self._open[one.gatekeeper]
        else:
            self._index.remove(number)

    # --- what is told

    @property
    def pressing(self) -> bool:
        """Whether `flush` has something to do at once."""
        return bool(self._fresh or self._asked) or any(
            there.scanned < self.judged and there.flown < WINDOW for there in self.destinations.values()
        )

    def flush(self, now: timedelta, send: Send) -> None:
        """Judge what is fresh, and send each gatekeeper what it asked for, as far as its window goes."""
        self.judge()
        while self.kept and now - self.kept[self.oldest].at > self.terms.span:
            self._drop_oldest()
        for name, there in list(self.destinations.items()):
            if there.empty_at is not None and now - there.empty_at > DESTINATION_STAYS:
                del self.destinations[name]
                continue
            for _ in range(BATCHES_A_FLUSH):
                due = now - there.told_at >= HEARTBEAT or there.greet or self._leaving
                if not (due or there.scanned < self.judged) or not self._send_on(now, name, there, send):
                    break
        budget = PAST_A_FLUSH
        while self._asked and budget > 0:
            to, asked = self._asked.popleft()
            past, spent = self._past(to, asked)
            budget -= spent
            if past is not None:
                send(to, past)

    def leave(self, now: timedelta, send: Send) -> None:
        """The life ends in order: what is there is said, and that it was the last."""
        self._leaving = True
        self.flush(now, send)

    def _send_on(self, now: timedelta, name: str, there: Destination, send: Send) -> bool:
        """One message on; False where nothing more is to be sent now."""
        least = max(self.oldest - 1, there.begun)
        if max(there.sent, there.scanned) < least:
            there.floor = Floor.UNKNOWN if there.sent < self.blind else Floor.KNOWN
            there.sent = least
        there.scanned = max(there.scanned, there.sent)
        first, upto = there.sent + 1, there.sent
        found: list[tuple[int, tuple[int, ...], Raw]] = []
        size = 0
        if there.flown < WINDOW or name == self.name:
            upto = there.scanned
            for seq in range(there.scanned + 1, self.judged + 1):
                record = self.kept[seq]
                matched = record.to.get(name)
                if matched is not None:
                    found.append((seq, matched, record.raw))
                    size += len(memoryview(record.raw)) + 8
                upto = seq
                if size >= BATCH_BYTES or len(found) >= BATCH_EVENTS:
                    break
        took = self._taken(there, first, upto)
        ended = tuple((number, at) for number, at in there.ended.items() if first <= at <= upto + 1)
        if not found:
            there.scanned = max(there.scanned, upto)
        quiet = not (found or took or ended) and there.floor is Floor.NONE
        if quiet and not self._leaving and now - there.told_at < HEARTBEAT:
            return False
        last = self._leaving and upto == self.judged
        batch = Batch(self.life, first, upto, self.book, took, ended, tuple(found), there.floor, last)
        taken = send(name, batch)
        if not taken:
            return False
        there.greet, there.told_at, there.floor = False, now, Floor.NONE
        if upto >= first:
            there.sent = there.scanned = upto
            if name != self.name:
                there.flying.append((upto, taken))
                there.flown += taken
        return upto < self.judged and upto >= first

    def _taken(self, there: Destination, first: int, upto: int) -> tuple[tuple[int, int, bool], ...]:
        """Its subscriptions that are judged from an event of this range on; all of before where it is
        greeted.
        """
        whole = there.greet or there.floor is not Floor.NONE
        found = []
        for number in reversed(there.live):
            since = self.since[number]
            if since < first and not whole:
                break
            if since <= upto + 1:
                found.append((number, since, self.subscriptions[number].judge is None))
        return tuple(reversed(found))

    # --- what is asked

    def asked(self, now: timedelta, to: str, ask: Ask) -> None:
        """A gatekeeper says how far it has come."""
        there = self.destinations.get(to)
        if there is None or ask.life != self.life or ask.judged > self.judged:
            return
        while there.flying and there.flying[0][0] <= ask.judged:
            there.flown -= there.flying.popleft()[1]
        for number in [number for number, at in there.ended.items() if at <= ask.judged]:
            del there.ended[number]
        if ask.hole and ask.judged < there.sent:
            there.sent = there.scanned = ask.judged
            there.flying.clear()
            there.flown = 0
        if ask.want and any(number in there.live for number in ask.want):
            there.greet = True

    def linked(self, now: timedelta, to: str) -> None:
        """A link came up anew: what flew on the one before has landed or is lost."""
        there = self.destinations.get(to)
        if there is not None:
            there.greet = True
            there.flying.clear()
            there.flown = 0

    def since_asked(self, to: str, asked: Since) -> None:
        """A gatekeeper asks for what is kept. Beyond the bound it is dropped, and asked again."""
        if asked.life == self.life and len(self._asked) < SINCE_MOST:
            self._asked.append((to, asked))

    def _past(self, to: str, asked: Since) -> tuple[Past | None, int]:
        number = asked.subscription
        one = self.subscriptions.get(number)
        if one is None or one.gatekeeper != to or asked.first > self.judged + 1 or asked.first < 1:
            return None, 1
        first = max(asked.first, self.oldest)
        floor = Floor.NONE
        if first > asked.first:
            floor = Floor.UNKNOWN if asked.first <= self.blind else Floor.KNOWN
        upto = first - 1
        found: list[tuple[int, Raw]] = []
        size, most = 0, min(asked.most, BATCH_EVENTS)
        for seq, record in self._from(first):
            if size >= BATCH_BYTES or len(found) >= most or seq - first >= BATCH_EVENTS:
                break
            upto = seq
            if self._matches(one, number, to, seq, record):
                found.append((seq, record.raw))
                size += len(memoryview(record.raw)) + 4
        past = Past(self.life, asked.ticket, number, first, upto, tuple(found), floor, one.judge is None)
        return past, upto - first + 2

    def _from(self, first: int) -> Iterator[tuple[int, Record]]:
        return ((seq, self.kept[seq]) for seq in range(first, self.judged + 1))

    def _matches(self, one: Subscribed, number: int, to: str, seq: int, record: Record) -> bool:
        if one.judge is None:
            return True
        if seq >= self.since[number]:
            return number in record.to.get(to, ())
        return one.judge.matches(unpacked(record.raw, self.name))
