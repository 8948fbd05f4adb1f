"""Where clients are: what other members tell of their events becomes one stream for each client. No I/O.

A client has a seat at each member: how far it has come in that member's order, and under which subscription.
Live events are one stream from each member for all clients here; what a client wants of before, it catches
up by itself (`Since`), a slice at a time, and joins the live stream where the two meet.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Any

import msgspec

from .cursor import OVER, Life, Place, encode
from .fields import Event
from .origin import Judge
from .wire import Ask, Batch, EventsGarbled, Floor, Message, Past, Since, unpacked

MILLISECOND = timedelta(milliseconds=1)
ASK_AGAIN = 300 * MILLISECOND
FROM_WITHIN = 2000 * MILLISECOND  # after it is agreed, a subscription begins without those that say nothing
ANSWER_EVERY = 32 * 1024  # bytes of one member, or
ANSWER_WITHIN = 100 * MILLISECOND
SLICE_MOST = 256  # events of before that are asked for at once
ALIVE_EVERY = timedelta(seconds=5)
WRITE_MOST = 32 * 1024  # bytes that are written to a client at once
CONTROL_MOST = 1_000  # gaps and notes that wait for a client beside its events, then it is let go


def life_text(life: Life) -> str:
    """A life as pages and logs of the fleet name it."""
    return f"{life[0]}.{life[1] & 0xFFFF:04x}"


class Mode(Enum):
    """How a seat gets its events."""

    WAITING = "the member has not said since when it judges"
    PAST = "it catches up"
    LIVE = "from the stream"


@dataclass(slots=True)
class Seat:
    """One client at one life of one member."""

    life: Life
    at: int | None  # all up to here is behind; None: it begins when the member judges for it
    mode: Mode = Mode.WAITING
    number: int = 0  # the subscription that it follows
    text: str = ""  # and its filter
    begun: int | None = None  # the first event that it is promised
    asked: timedelta | None = None  # when it last asked for what it waits for


@dataclass(frozen=True, slots=True)
class Item:
    """One event of a client's stream but for its id."""

    member: str
    place: Place | None  # where the client is once it has this
    data: bytes
    control: bool = False


@dataclass(slots=True)
class Lost:
    """What a full queue did not take of one member."""

    first: int
    upto: int
    count: int


@dataclass(slots=True, eq=False)
class Client:
    """One client's stream."""

    ticket: int
    name: str  # of its stream, for whoever wants to change its filter
    text: str  # its filter, as the language writes it
    cursor: dict[str, Place] | None  # what it came with, of members that were not met yet
    number: int = 0  # the subscription that it is to follow
    agreed: timedelta | None = None
    before: set[str] = field(default_factory=set)  # filters that its seats may still follow
    seats: dict[str, Seat] = field(default_factory=dict)
    lives: dict[str, Life] = field(default_factory=dict)  # the last one that it had a seat at
    queue: deque[Item] = field(default_factory=deque)
    controls: int = 0
    lost: dict[tuple[str, Life], Lost] = field(default_factory=dict)
    told: dict[str, Place] = field(default_factory=dict)  # its cursor
    begun: bool = False
    following: frozenset[int] = frozenset()
    spoke: timedelta = timedelta(0)
    events: int = 0
    gaps: int = 0
    closed: str = ""  # why it is let go


@dataclass(slots=True)
class Stream:
    """One life of one member as it is heard here."""

    life: Life
    judged: int
    taken: dict[int, tuple[int, bool]] = field(default_factory=dict)  # since when, whether judged here
    hole: timedelta | None = None
    answered: int = -1
    answered_at: timedelta = timedelta(0)
    bytes: int = 0  # since the last answer
    complete: bool = False  # it ended in order, and all of it is here
    alive: bool = False  # it asks for an answer


Send = Callable[[str, Message], int]
Lives = Mapping[str, tuple[Life, bool]]  # of the view: each member's life, and whether it is up


class Desk:
    """All clients of one gatekeeper."""

    def __init__(self, name: str, queue_most: int, send: Send) -> None:
        self.name, self._most, self._send = name, queue_most, send
        self.clients: dict[int, Client] = {}
        self.streams: dict[str, Stream] = {}
        self.filters: dict[int, Judge] = {}  # of own subscriptions, by number
        self.written: set[int] = set()  # tickets with something to write
        self.view: Lives = {}
        self.judged_here = self.garbled = 0
        self._followers: dict[int, set[int]] = {}
        self._restless: dict[tuple[int, str], None] = {}  # seats that wait for a word
        self._unbegun: dict[int, None] = {}
        self._tickets = 0
        self._ended: dict[str, Life] = {}  # the last life of each member that is told to be over

    # --- clients

    def join(self, now: timedelta, name: str, text: str, cursor: dict[str, Place] | None) -> Client:
        """A client comes; its stream begins once its filter has a number."""
        self._tickets += 1
        client = Client(self._tickets, name, text, cursor, spoke=now)
        self.clients[client.ticket] = client
        self._unbegun[client.ticket] = None
        if cursor is not None:
            client.told = dict(cursor)
            self._settle(client)
        for member, stream in self.streams.items():
            self._seat(client, member, stream)
        return client

    def leave(self, ticket: int) -> None:
        """A client goes."""
        client = self.clients.pop(ticket, None)
        if client is None:
            return
        self._follow(client, frozenset())
        self._unbegun.pop(ticket, None)
        self.written.discard(ticket)
        for member in client.seats:
            self._restless.pop((ticket, member), None)

    def change(self, client: Client, text: str) -> None:
        """A client wants another filter: the one before counts until the new one does, at each member."""
        client.before.add(client.text)
        client.text, client.number = text, 0

    def numbered(self, now: timedelta, client: Client, number: int, judge: Judge) -> None:
        """The book has this client's filter under a number, a new one or another one than before."""
        if client.number == number:
            return
        client.number, client.before = number, set()
        client.agreed = now if client.agreed is None else client.agreed
        self.filters[number] = judge
        self._refollow(client)
        for member, stream in self.streams.items():
            if number in stream.taken:
                self._took_one(now, client, member, stream)
            elif member in client.seats:
                self._restless[client.ticket, member] = None

    def texts(self) -> set[str]:
        """The filters that the book is to have from here."""
        return {text for client in self.clients.values() for text in (client.text, *client.before)}

    def _follow(self, client: Client, numbers: frozenset[int]) -> None:
        for number in client.following - numbers:
            left = self._followers[number]
            left.discard(client.ticket)
            if not left:
                del self._followers[number]
                self.filters.pop(number, None)
        for number in numbers - client.following:
            self._followers.setdefault(number, set()).add(client.ticket)
        client.following = numbers

    def _refollow(self, client: Client) -> None:
        numbers = {client.number, *(seat.number for seat in client.seats.values())}
        self._follow(client, frozenset(numbers - {0}))

    # --- seats

    def _seat(self, client: Client, member: str, stream: Stream) -> None:
        """A client meets a life of a member."""
        at: int | None = None
        came = client.cursor.get(member) if client.cursor is not None else None
        if came is not None and client.cursor is not None:
            life, place = came
            if life <= stream.life:
                del client.cursor[member]
            if life == stream.life:
                at = place
            elif life < stream.life:
                if place != OVER:
                    self._gap(client, member, life, place + 1, None, None)
                at = 0
            else:
                at = OVER  # this one is over: the cursor knows of a later one, which is waited for
        elif client.lives.get(member, stream.life) != stream.life or client.cursor is not None:
            at = 0
        known = came[0] if came is not None else client.lives.get(member, stream.life)
        if at != OVER and known[0] + 1 < stream.life[0]:
            self._gap(client, member, known, None, None, None)  # lives between them were not heard of
        client.lives[member] = stream.life
        client.seats[member] = Seat(stream.life, at)
        self._restless[client.ticket, member] = None

    def _took_one(self, now: timedelta, client: Client, member: str, stream: Stream) -> None:
        """The member judges by what this client is to follow: begin, go on, or change over, here."""
        seat = client.seats.get(member)
        number = client.number
        if seat is None or seat.number == number and seat.mode is not Mode.WAITING:
            return
        live_from = max(stream.taken[number][0], stream.judged + 1)
        before, seat.number, seat.text = seat.text, number, client.text
        self._refollow(client)
        if seat.at is None:
            seat.at = live_from - 1
        if seat.mode is Mode.LIVE:
            seat.at = max(seat.at, stream.judged)
        if seat.begun is None:
            seat.begun = seat.at + 1
            if client.begun and seat.at < OVER:
                self._note(client, member, "member", seat, seat.begun)
        elif before != client.text:
            self._note(client, member, "filter", seat, seat.at + 1)
        if seat.mode is not Mode.LIVE:
            seat.mode = Mode.LIVE if seat.at + 1 >= live_from else Mode.PAST
        seat.asked = None
        if seat.mode is Mode.PAST:
            self._restless[client.ticket, member] = None
            self._ask_past(now, client, member, seat)
        else:
            self._restless.pop((client.ticket, member), None)

    def _ended_one(
        self, now: timedelta, client: Client, member: str, stream: Stream, number: int, place: int
    ) -> None:  # fmt: skip
        """The member does not judge by this subscription any more, from this event on."""
        seat = client.seats.get(member)
        if seat is None or seat.number != number or seat.mode is Mode.WAITING:
            return
        if seat.mode is Mode.LIVE:
            assert seat.at is not None
            seat.at = max(seat.at, place - 1)
        seat.mode, seat.asked = Mode.WAITING, None
        self._restless[client.ticket, member] = None
        if client.number != number and client.number in stream.taken:
            self._took_one(now, client, member, stream)

    def _ask_past(self, now: timedelta, client: Client, member: str, seat: Seat) -> None:
        """Ask for the next slice, if the client has room for it."""
        room = self._most // 2 - len(client.queue)
        if client.lost or room <= 0 or seat.at is None:
            return
        seat.asked = now
        most = min(SLICE_MOST, room)
        self._send(member, Since(seat.life, client.ticket, seat.number, seat.at + 1, most))

    # --- what members tell

    def heard(self, now: timedelta, member: str, message: Batch | Past, size: int) -> None:
        """A member's word of its events."""
        if isinstance(message, Past):
            self._past(now, member, message)
            return
        stream = self._stream(now, member, message)
        if stream is None:
            return
        stream.bytes += size
        if message.upto < message.first:
            stream.alive = True
        if message.first > stream.judged + 1:
            if message.floor is Floor.NONE:
                self._hole(now, member, stream)
                return
            self._skipped(now, member, stream, message)
        if message.upto > stream.judged or message.took or message.ended:
            self._judged(now, member, stream, message)
        if message.upto >= stream.judged:
            stream.hole = None
        if message.last and message.upto == stream.judged:
            stream.complete = True

    def _stream(self, now: timedelta, member: str, message: Batch) -> Stream | None:
        stream = self.streams.get(member)
        if stream is not None and stream.life == message.life:
            return stream
        if stream is not None and message.life < stream.life:
            return None
        known = self.view.get(member)
        over = self._ended.get(member, (-1, 0))
        if message.life <= over or (known is not None and message.life < known[0]):
            return None
        if stream is not None:
            self._close(member, stream)
        stream = self.streams[member] = Stream(message.life, message.first - 1)
        for client in self.clients.values():
            self._seat(client, member, stream)
        return stream

    def _hole(self, now: timedelta, member: str, stream: Stream) -> None:
        if stream.hole is None or now - stream.hole >= ASK_AGAIN:
            stream.hole = now
            self._send(member, Ask(stream.life, stream.judged, hole=True))

    def _skipped(self, now: timedelta, member: str, stream: Stream, batch: Batch) -> None:
        """What came before this one is not kept any more; it names all subscriptions that it is judged by."""
        for client in self.clients.values():
            seat = client.seats.get(member)
            if seat is not None and seat.mode is Mode.LIVE and seat.at is not None:
                first = max(seat.at, stream.judged) + 1
                if first < batch.first:
                    self._gap(client, member, stream.life, first, batch.first - 1, batch.floor)
        stream.judged = batch.first - 1
        for number in stream.taken.keys() - {number for number, _, _ in batch.took}:
            self._mark(now, member, stream, (batch.first, 1, number, False))

    def _judged(self, now: timedelta, member: str, stream: Stream, batch: Batch) -> None:
        marks = [(since, 0, number, here) for number, since, here in batch.took if since <= batch.upto + 1]
        for number, place in batch.ended:
            if stream.judged < place <= batch.upto + 1:
                marks.append((place, 1, number, False))
        marks.sort()
        coming = iter(marks)
        mark = next(coming, None)
        for seq, numbers, raw in batch.events:
            if seq <= stream.judged:
                continue
            while mark is not None and mark[0] <= seq:
                stream.judged = max(stream.judged, mark[0] - 1)
                self._mark(now, member, stream, mark)
                mark = next(coming, None)
            stream.judged = seq
            self._deliver(member, stream, seq, numbers, raw)
        while mark is not None:
            stream.judged = max(stream.judged, min(mark[0] - 1, batch.upto))
            self._mark(now, member, stream, mark)
            mark = next(coming, None)
        stream.judged = max(stream.judged, batch.upto)

    def _mark(self, now: timedelta, member: str, stream: Stream, mark: tuple[int, int, int, bool]) -> None:
        place, ends, number, here = mark
        followers = [self.clients[ticket] for ticket in sorted(self._followers.get(number, ()))]
        if ends:
            stream.taken.pop(number, None)
            for client in followers:
                self._ended_one(now, client, member, stream, number, place)
            return
        stream.taken[number] = place, here
        for client in followers:
            if client.number == number:
                self._took_one(now, client, member, stream)

    def _deliver(
        self, member: str, stream: Stream, seq: int, numbers: Iterable[int], raw: msgspec.Raw
    ) -> None:
        event: Event | None = None
        data = b""
        found = list(numbers)
        for number, (_, here) in stream.taken.items():
            if here and number in self.filters:
                event = event or self._read(raw, member)
                self.judged_here += 1
                if event is not None and self.filters[number].matches(event):
                    found.append(number)
        for number in found:
            for ticket in sorted(self._followers.get(number, ())):
                client = self.clients[ticket]
                seat = client.seats[member]
                if seat.number != number or seat.mode is not Mode.LIVE or seq <= (seat.at or 0):
                    continue
                if not data:
                    event = event or self._read(raw, member)
                    data = b"" if event is None else written(seq, event)
                self._give(client, member, stream.life, seq, data)

    def _read(self, raw: msgspec.Raw, member: str) -> Event | None:
        try:
            return unpacked(raw, member)
        except EventsGarbled:
            self.garbled += 1
            return None

    def _past(self, now: timedelta, member: str, past: Past) -> None:
        client, stream = self.clients.get(past.ticket), self.streams.get(member)
        if client is None or stream is None:
            return
        seat = client.seats.get(member)
        if (
            seat is None or seat.mode is not Mode.PAST or seat.life != past.life
            or seat.number != past.subscription or seat.at is None
        ):  # fmt: skip
            return
        if past.first > seat.at + 1:
            if past.floor is Floor.NONE:
                return
            self._gap(client, member, seat.life, seat.at + 1, past.first - 1, past.floor)
            seat.at = past.first - 1
        for seq, raw in past.events:
            if seq <= seat.at:
                continue
            event = self._read(raw, member)
            if event is not None and (not past.open or self._matches_here(seat.number, event)):
                self._give(client, member, seat.life, seq, written(seq, event))
        seat.at, seat.asked = max(seat.at, past.upto), None
        if seat.at >= stream.judged:
            seat.mode = Mode.LIVE
            self._restless.pop((client.ticket, member), None)
            self._begin(now, client)
        else:
            self._ask_past(now, client, member, seat)

    def _matches_here(self, number: int, event: Event) -> bool:
        self.judged_here += 1
        return number in self.filters and self.filters[number].matches(event)

    # --- lives

    def viewed(self, view: Lives) -> None:
        """The agreed view."""
        self.view = view
        for member, (life, up) in view.items():
            stream = self.streams.get(member)
            if not up:
                self._ended[member] = max(life, self._ended.get(member, life))
            if stream is not None and (stream.life < life or (stream.life == life and not up)):
                self._close(member, stream)
        for client in self.clients.values():
            if client.cursor:
                self._settle(client)

    def _settle(self, client: Client) -> None:
        """Of lives in a client's cursor that the view has as over nothing will be heard."""
        assert client.cursor is not None
        for member, (life, place) in list(client.cursor.items()):
            there = self.view.get(member)
            if self.view and (there is None or (not there[1] and life <= there[0])):
                del client.cursor[member]
                client.lives[member] = life
                if place != OVER:
                    self._gap(client, member, life, place + 1, None, None)

    def _close(self, member: str, stream: Stream) -> None:
        """A life is over: what it did not say is lost."""
        del self.streams[member]
        self._ended[member] = max(stream.life, self._ended.get(member, stream.life))
        for client in self.clients.values():
            seat = client.seats.pop(member, None)
            self._restless.pop((client.ticket, member), None)
            if seat is None:
                continue
            self._refollow(client)
            if seat.at is None or seat.at >= OVER:
                continue
            if not client.begun:  # nothing of this life has been promised yet but what its cursor asks for
                self._unqueue(client, member, stream.life)
                life, place = client.told.get(member, (stream.life, 0))
                earlier = life < stream.life or (life == stream.life and place != OVER)
                if client.cursor is not None and earlier:
                    first = place + 1 if life == stream.life else 1
                    self._gap(client, member, stream.life, first, None, None)
                continue
            first = max(seat.at, stream.judged if seat.mode is Mode.LIVE else 0) + 1
            if not stream.complete or first <= stream.judged:
                self._gap(client, member, stream.life, first, None, None)

    @staticmethod
    def _unqueue(client: Client, member: str, life: Life) -> None:
        kept: deque[Item] = deque()
        for item in client.queue:
            if item.member == member and item.place is not None and item.place[0] == life:
                client.controls -= item.control
            else:
                kept.append(item)
        client.queue = kept
        client.lost.pop((member, life), None)

    # --- what clients get

    def _give(self, client: Client, member: str, life: Life, seq: int, data: bytes) -> None:
        if not data:
            return
        key = member, life
        if client.lost or len(client.queue) - client.controls >= self._most:
            lost = client.lost.get(key)
            if lost is None:
                client.lost[key] = Lost(seq, seq, 1)
            else:
                lost.upto, lost.count = seq, lost.count + 1
            return
        client.queue.append(Item(member, (life, seq), data))
        self.written.add(client.ticket)

    def _gap(
        self, client: Client, member: str, life: Life, first: int | None, upto: int | None, floor: Floor |
        None, lost: int | None = None,
    ) -> None:  # fmt: skip
        """Tell that events are missing: `lost` of those that match, else at most so many, else unknown."""
        most = None
        if lost is not None:
            most = lost
        elif first is not None and upto is not None and floor is Floor.KNOWN:
            most = upto - first + 1
        told = {
            "member": member, "life": life_text(life), "from": first, "to": upto, "lost": lost, "most": most,
        }  # fmt: skip
        self._control(client, member, (life, OVER if upto is None else upto), "gap", told)
        client.gaps += 1

    def _note(self, client: Client, member: str, what: str, seat: Seat, first: int) -> None:
        """From this event of the member on its events are judged by this filter."""
        assert seat.at is not None
        told = {
            "member": member, "life": life_text(seat.life), "from": first, "number": seat.number,
            "filter": seat.text,
        }  # fmt: skip
        self._control(client, member, (seat.life, seat.at), what, told)

    def _control(self, client: Client, member: str, place: Place, what: str, told: dict[str, Any]) -> None:
        self._tell_lost(client, member)
        if client.controls >= CONTROL_MOST:
            client.closed = client.closed or "it reads nothing"
        else:
            client.queue.append(Item(member, place, named(what, told), control=True))
            client.controls += 1
        self.written.add(client.ticket)

    def _tell_lost(self, client: Client, member: str | None = None) -> None:
        """What the queue did not take, where it belongs in the member's order."""
        for key in [key for key in client.lost if member is None or key[0] == member]:
            lost = client.lost.pop(key, None)
            if lost is not None:
                self._gap(client, key[0], key[1], lost.first, lost.upto, None, lost.count)

    def _begin(self, now: timedelta, client: Client) -> None:
        """Say from when on the stream holds, once all that can be heard have said so, or in time."""
        if client.begun or client.agreed is None:
            return
        waiting = [
            member for member, (_, up) in self.view.items()
            if up and ((seat := client.seats.get(member)) is None or seat.begun is None)
        ]  # fmt: skip
        if waiting and now - client.agreed < FROM_WITHIN:
            return
        client.begun = True
        self._unbegun.pop(client.ticket, None)
        members = {}
        for member, seat in sorted(client.seats.items()):
            if seat.begun is not None and seat.begun <= OVER:
                client.told.setdefault(member, (seat.life, seat.begun - 1))
                members[member] = {"life": life_text(seat.life), "from": seat.begun}
        told = {
            "stream": client.name, "number": client.number, "filter": client.text, "gatekeeper": self.name,
            "members": members, "unheard": sorted(waiting),
        }  # fmt: skip
        client.queue.appendleft(Item("", None, named("from", told), control=True))
        client.controls += 1
        self.written.add(client.ticket)

    def take(self, now: timedelta, client: Client, most: int = WRITE_MOST) -> bytes:
        """What is to be written to a client now."""
        if not client.begun:
            return b""
        parts: list[bytes] = []
        size = 0
        while client.queue and size < most:
            item = client.queue.popleft()
            if item.control:
                client.controls -= 1
            else:
                client.events += 1
            if item.place is not None:
                client.told[item.member] = item.place
            if not client.queue:
                self._come_to_now(client)
            part = b"".join((b"id: ", encode(client.told).encode(), b"\n", item.data, b"\n\n"))
            parts.append(part)
            size += len(part)
        if client.lost and len(client.queue) <= self._most // 2:
            self._tell_lost(client)
        if not parts and now - client.spoke >= ALIVE_EVERY:
            self._come_to_now(client)
            # An id without data sets the last event's id and is no event (WHATWG HTML, 9.2.6).
            parts.append(b"".join((b": alive\nid: ", encode(client.told).encode(), b"\n\n")))
        if parts:
            client.spoke = now
        if not client.queue:
            self.written.discard(client.ticket)
        return b"".join(parts)

    def _come_to_now(self, client: Client) -> None:
        """Nothing waits: the client is where its seats are."""
        if client.lost:
            return
        for member, seat in client.seats.items():
            if seat.begun is not None and seat.at is not None and seat.at < OVER:
                live = self.streams[member].judged if seat.mode is Mode.LIVE else 0
                client.told[member] = seat.life, max(seat.at, live)

    # --- time

    def tick(self, now: timedelta) -> None:
        """Ask again for what did not come; answer those that wait for it."""
        for ticket in list(self._unbegun):
            self._begin(now, self.clients[ticket])
        wanted: dict[str, set[int]] = {}
        for ticket, member in list(self._restless):
            client = self.clients[ticket]
            seat = client.seats[member]
            if seat.asked is not None and now - seat.asked < ASK_AGAIN:
                continue
            if seat.mode is Mode.PAST:
                self._ask_past(now, client, member, seat)
            elif client.number:
                if seat.asked is None:
                    seat.asked = now  # it may say so unasked
                elif client.number not in self.streams[member].taken:
                    seat.asked = now
                    wanted.setdefault(member, set()).add(client.number)
        for member, stream in self.streams.items():
            if stream.hole is not None:
                self._hole(now, member, stream)
            due = stream.bytes and now - stream.answered_at >= ANSWER_WITHIN
            if member in wanted or stream.alive or due or stream.bytes >= ANSWER_EVERY:
                want = tuple(sorted(wanted.get(member, ())))
                stream.bytes, stream.alive, stream.answered_at = 0, False, now
                self._send(member, Ask(stream.life, stream.judged, want=want))


def written(seq: int, event: Event) -> bytes:
    """An event as clients get it."""
    return b"data: " + msgspec.json.encode({**event, "seq": seq})


def named(what: str, told: dict[str, Any]) -> bytes:
    """What is no event of the fleet: `from`, `member`, `filter`, `gap`."""
    return b"event: " + what.encode() + b"\ndata: " + msgspec.json.encode(told)
