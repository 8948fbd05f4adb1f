"""Events of one gatekeeper as a whole: what arises here, who asked, and the entries of the book between
them. No I/O.

The owner passes in events, messages, the book's and the view's word and the time; it carries what `send` is
given, and writes to clients what `take` returns.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, ClassVar, Protocol

import msgspec
import structlog
import xxhash

from ..book.model import EMPTY, Change, Entry, Outcome, applied
from ..errors import Fault
from .cursor import Life, decode, short
from .desk import Client, Desk, Lives, life_text
from .origin import Judge, KeptTerms, Matching, Origin, Subscribed
from .wire import (
    KIND,
    Ask,
    Batch,
    EventsGarbled,
    Fields,
    Message,
    Past,
    Since,
    Subscription,
    encode,
    subscription,
)
from .wire import decode as decode_message

log = structlog.get_logger(part=__name__)

LINGER = timedelta(seconds=10)  # an entry stays for so long after its last client has left
SUBMIT_AGAIN = timedelta(seconds=5)  # where nothing is heard of a change
FAULT_AGAIN = timedelta(seconds=1)  # after a change that was not taken
BEGINS = timedelta(seconds=10)  # of a life: events are kept, though nobody may have asked yet
TEXTS_MOST = 8_192  # filters that are kept compiled


class EventsFull(Fault):
    """More clients than the file allows."""

    code: ClassVar[str] = "events.full"
    remedy: ClassVar[str] = "Ask another gatekeeper, or raise events.clients_most."


class EventsLate(Fault):
    """A subscription that the fleet has not agreed on."""

    code: ClassVar[str] = "events.late"
    remedy: ClassVar[str] = "Look at /fleet: without a majority nothing is agreed. Then ask again."


class StreamUnknown(Fault):
    """A stream that is not open at this gatekeeper."""

    code: ClassVar[str] = "events.stream"
    remedy: ClassVar[str] = "Take stream and gatekeeper from the stream's event `from`."


class Language(Protocol):
    """The filter language and its index."""

    def compiled(self, text: str) -> tuple[Judge, str]:
        """The filter, and its text as the language writes it. Errors: Fault."""

    def index(self) -> Matching:
        """An index of nothing."""


class Book(Protocol):
    """What all hold alike, as far as it is needed here."""

    @property
    def last(self) -> int:
        """The number of the newest agreed change."""

    def entries(self, kind: str) -> Mapping[str, Entry]:
        """The agreed entries of a kind, by name."""

    def watch(self, kind: str, told: Callable[[], None]) -> None:
        """Tell when entries of the kind change."""

    def submit(self, change: Change, told: Callable[[Outcome], None]) -> None:
        """Ask for a change."""


class OwnBook:
    """The book of a gatekeeper that is alone: what it asks for is agreed at once."""

    def __init__(self) -> None:
        self._pages = EMPTY
        self._told: list[Callable[[], None]] = []

    @property
    def last(self) -> int:
        """The number of the newest change."""
        return self._pages.last

    def entries(self, kind: str) -> Mapping[str, Entry]:
        """The entries of a kind, by name."""
        return {entry.name: entry for entry in self._pages.entries if entry.kind == kind}

    def watch(self, kind: str, told: Callable[[], None]) -> None:
        """Tell of changes; there is one kind."""
        self._told.append(told)

    def submit(self, change: Change, told: Callable[[Outcome], None]) -> None:
        """Carry a change out."""
        self._pages, outcomes = applied(self._pages, [change])
        told(outcomes[0])
        for tell in self._told:
            tell()


@dataclass(frozen=True, slots=True)
class EventTerms:
    """Bounds and spans."""

    clients_most: int = 256
    queue_most: int = 2_000
    kept: KeptTerms = KeptTerms()


@dataclass(slots=True)
class Wanted:
    """An entry that is to be in the book, or to leave it."""

    name: str
    asked: timedelta | None = None  # a change is under way since then
    idle: timedelta | None = None  # no client has needed it since then
    quiet_until: timedelta = timedelta(0)
    fault: Outcome | None = None


Carry = Callable[[str, bytes], bool]


class EventsMachine:
    """Origin, desk, and the book between them."""

    def __init__(
        self, name: str, language: Language, terms: EventTerms, carry: Carry, book: Book, chance:
        random.Random, alone: bool = False,
    ) -> None:  # fmt: skip
        """`alone`: there are no other members, so nobody can have asked before this one knows of it."""
        self.name, self.terms = name, terms
        self._language, self._carry, self._book, self._chance = language, carry, book, chance
        self.desk = Desk(name, terms.queue_most, self._send)
        self.origin: Origin | None = None
        self.life: tuple[int, int] | None = None  # in full, as the book has it
        self._alone = alone
        self.wanted = not alone  # whether events are to be recorded
        self.counts: Counter[str] = Counter()
        self.bytes_out = 0
        self._now = timedelta(0)
        self._wants: dict[str, Wanted] = {}  # by the text of the filter
        self._bodies: dict[int, Subscribed | None] = {}
        self._texts: dict[str, Judge | None] = {}
        self._numbers: dict[str, int] = {}  # own entries in the book, by text
        self._asked_at: timedelta | None = None  # when somebody last had a subscription
        self._begun_at = timedelta(0)
        self._view: Mapping[str, tuple[Life, bool]] = {}
        self._stale = False  # the book or the view has changed
        self._own: list[Message] = []
        book.watch(KIND, self.book_told)

    # --- lives

    def begin(self, now: timedelta, number: int, mark: int) -> None:
        """A life begins, or another one after it."""
        self._now = now
        if self.origin is not None:
            self.origin.leave(now, self._send)
            self._deliver_own(now)
        self.life = number, mark
        self.origin = Origin(self.name, short(self.life), self._language.index(), self.terms.kept, now)
        self._begun_at, self._stale = now, True
        self._wants.clear()
        self.tick(now)

    def viewed(self, now: timedelta, view: Lives) -> None:
        """The agreed view: lives in full."""
        self._now = now
        self._view = dict(view)
        self.desk.viewed({name: (short(life), up) for name, (life, up) in view.items()})
        self._stale = True

    def book_told(self) -> None:
        """The book has changed: the next look takes it."""
        self._stale = True

    def leave(self, now: timedelta) -> None:
        """The program ends in order: what arose is told, and that it was the last."""
        if self.origin is not None:
            self.origin.leave(now, self._send)
            self._deliver_own(now)

    # --- what arises here

    def event(self, now: timedelta, fields: Fields) -> None:
        """Something happened. Costs a call no more than a place in a list; ask `wanted` first."""
        if self.wanted and self.origin is not None:
            self.origin.record(now, {"member": self.name, **fields})

    def purge(self, now: timedelta) -> None:
        """Forget what is kept for those that come back. What is under way is told as missing."""
        if self.origin is not None:
            self.flush(now)
            self.origin.forget(counted=True)

    # --- what others say

    def heard(self, now: timedelta, member: str, data: bytes) -> None:
        """A message of another member."""
        self._now = now
        try:
            message = decode_message(data)
        except EventsGarbled:
            self.counts["garbled"] += 1
            return
        self._take(now, member, message, len(data))

    def _take(self, now: timedelta, member: str, message: Message, size: int) -> None:
        if isinstance(message, Batch | Past):
            self.desk.heard(now, member, message, size)
        elif self.origin is not None:
            if isinstance(message, Since):
                self.origin.since_asked(member, message)
            else:
                self.origin.asked(now, member, message)

    def linked(self, now: timedelta, member: str) -> None:
        """A link to a member came up."""
        if self.origin is not None:
            self.origin.linked(now, member)

    def _send(self, to: str, message: Message) -> int:
        if to == self.name:
            self._own.append(message)
            return 1
        data = encode(message)
        if not self._carry(to, data):
            self.counts["not_carried"] += 1
            return 0
        self.counts[type(message).__name__.lower()] += 1
        self.bytes_out += len(data)
        return len(data)

    def _deliver_own(self, now: timedelta) -> None:
        """What this member says to itself."""
        for _ in range(64):  # a question and its answer; the rest at the next look
            if not self._own:
                return
            own, self._own = self._own, []
            for message in own:
                self._take(now, self.name, message, 0)

    # --- time

    def flush(self, now: timedelta) -> None:
        """Judge and send what has arisen."""
        self._now = now
        if self._stale:
            self._agree(now)
        if self.origin is not None:
            self.origin.flush(now, self._send)
            self._deliver_own(now)

    def tick(self, now: timedelta) -> None:
        """Do what is due: every 50 ms while anybody is served, half a second else."""
        self.flush(now)
        self.desk.tick(now)
        self._deliver_own(now)
        self._reconcile(now)
        if self._stale:
            self._agree(now)
        self._look_whether_wanted(now)

    def _look_whether_wanted(self, now: timedelta) -> None:
        origin = self.origin
        if origin is None:
            return
        if origin.subscriptions:
            self._asked_at = now
        recent = self._asked_at is not None and now - self._asked_at <= self.terms.kept.span
        begins = not self._alone and now - self._begun_at <= BEGINS
        self._want(bool(origin.subscriptions) or recent or begins)

    def _want(self, wanted: bool) -> None:
        """Record from here on, or not."""
        if self.origin is not None and wanted is not self.wanted:
            self.origin.forget()  # nobody counted what arose before, or nobody will from here on
        self.wanted = wanted

    # --- the book

    def _agree(self, now: timedelta) -> None:
        """Take the book's entries."""
        self._stale = False
        found: dict[int, Subscribed] = {}
        numbers: dict[str, int] = {}
        for entry in self._book.entries(KIND).values():
            life = self._view.get(entry.owner)
            if life is not None and (entry.mark != life[0][1] or not life[1]) and entry.owner != self.name:
                continue  # of a life that is over
            body = subscription(entry.body)
            if body is None:
                continue
            if entry.owner == self.name:
                if self.life is None or entry.mark != self.life[1]:
                    continue
                numbers[body.filter] = entry.number
            if entry.number not in self._bodies:
                self._bodies[entry.number] = Subscribed(body.gatekeeper, self._judge(body.filter))
            one = self._bodies[entry.number]
            if one is not None:
                found[entry.number] = one
        for number in self._bodies.keys() - found.keys():
            del self._bodies[number]
        self._numbers = numbers
        for client in list(self.desk.clients.values()):
            number = numbers.get(client.text, 0)
            judge = self._judge(client.text) if number else None
            if number and judge is not None:
                self.desk.numbered(now, client, number, judge)
        if self.origin is not None:
            if found and not self.wanted:
                self._want(True)
            self.origin.subscribed(now, self._book.last, found)

    def _judge(self, text: str) -> Judge | None:
        """The filter; None where this release cannot judge it: whoever serves the client does."""
        if text not in self._texts:
            if len(self._texts) >= TEXTS_MOST:
                self._texts.clear()
            try:
                self._texts[text] = self._language.compiled(text)[0]
            except Fault as fault:
                log.info("subscription_not_judged_here", **fault.told())
                self._texts[text] = None
        return self._texts[text]

    def _reconcile(self, now: timedelta) -> None:
        """Bring the book's entries from here to what clients need."""
        if self.life is None:
            return
        texts = self.desk.texts()
        for text in sorted((texts | self._numbers.keys()) - self._wants.keys()):
            self._wants[text] = Wanted(self._entry_name(text))
        for text, want in list(self._wants.items()):
            if text in texts:
                want.idle = None
            elif want.idle is None:
                want.idle = now
            there = text in self._numbers
            if there == (text in texts):
                want.asked = want.fault = None
                if not there:
                    del self._wants[text]
                continue
            if (want.asked is not None and now - want.asked < SUBMIT_AGAIN) or now < want.quiet_until:
                continue
            if there and want.idle is not None and now - want.idle < LINGER:
                continue
            self._submit(now, text, want, text in texts)

    def _entry_name(self, text: str) -> str:
        return f"{self.name[:100]}.{xxhash.xxh64_hexdigest(text.encode())}"

    def _submit(self, now: timedelta, text: str, want: Wanted, there: bool) -> None:
        assert self.life is not None
        body = msgspec.msgpack.encode(Subscription(text, self.name)) if there else None
        id_ = f"{self._chance.getrandbits(62):016x}"
        change = Change(id_, KIND, want.name, body, None, self.name, self.life[1])
        want.asked = now

        def told(outcome: Outcome) -> None:
            self._stale = True
            if not outcome.done:  # else the book is to show it
                want.asked, want.fault, want.quiet_until = None, outcome, self._now + FAULT_AGAIN

        try:
            self._book.submit(change, told)
        except Fault as fault:
            told(Outcome(id_, 0, fault.code, str(fault)))

    # --- clients

    def join(self, now: timedelta, text: str, since: str = "") -> Client:
        """A client asks. Errors: EventsFull, the language's faults, CursorFault."""
        if len(self.desk.clients) >= self.terms.clients_most:
            raise EventsFull(f"{self.terms.clients_most} clients are served", "events.clients_most")
        canonical = self._language.compiled(text)[1]
        cursor = decode(since) if since else None
        client = self.desk.join(now, f"{self._chance.getrandbits(64):016x}", canonical, cursor)
        self._stale = True
        self.tick(now)
        return client

    def change(self, now: timedelta, stream: str, text: str) -> Client:
        """A client wants another filter. Errors: StreamUnknown, the language's faults."""
        client = next((one for one in self.desk.clients.values() if one.name == stream), None)
        if client is None:
            raise StreamUnknown(f"no stream {stream[:32]!r} is open at {self.name}", "stream")
        canonical = self._language.compiled(text)[1]
        if canonical != client.text:
            self.desk.change(client, canonical)
            self._stale = True
            self.tick(now)
        return client

    def part(self, ticket: int) -> None:
        """A client has gone."""
        self.desk.leave(ticket)

    def refused(self, client: Client) -> Outcome | None:
        """Why the book does not take this client's filter, if it does not."""
        want = self._wants.get(client.text)
        return None if want is None or client.number else want.fault

    # --- for people

    def told(self) -> dict[str, Any]:
        """Who is served, by what, and how far it has come."""
        origin, desk = self.origin, self.desk
        shown: dict[str, Any] = {
            "life": "" if self.life is None else life_text(self.life),
            "recording": self.wanted,
            "book": self._book.last,
            "clients": len(desk.clients),
            "judged_for_others": desk.judged_here,
            "garbled": desk.garbled + self.counts["garbled"],
            "not_carried": self.counts["not_carried"],
            "messages": {key: self.counts[key] for key in ("batch", "past", "ask", "since")},
            "bytes_out": self.bytes_out,
            "members": {
                member: {"life": life_text(one.life), "judged": one.judged, "hole": one.hole is not None}
                for member, one in sorted(desk.streams.items())
            },
            "streams": [
                {
                    "filter": one.text, "subscription": one.number, "events": one.events, "gaps": one.gaps,
                    "waiting": len(one.queue), "begun": one.begun,
                }
                for one in list(desk.clients.values())[:64]
            ],
        }  # fmt: skip
        if origin is not None:
            asked = Counter(one.gatekeeper for one in origin.subscriptions.values())
            shown["events"] = {
                "last": origin.last, "kept": len(origin.kept), "kept_bytes": origin.kept_bytes,
                "oldest": origin.oldest,
            }  # fmt: skip
            shown["subscriptions"] = {
                name: {"entries": asked[name], "behind": origin.judged - there.sent}
                for name, there in sorted(origin.destinations.items())
            }
        return shown




__all__ = ["Ask", "Book", "EventTerms", "EventsMachine", "OwnBook"]
