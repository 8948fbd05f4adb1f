"""Who of a fleet is up: SWIM with suspicion, and Lifeguard's local health. No I/O; the time is an argument.

Sources: Das, Gupta, Motivala, 'SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol' (DSN 2002); Dadgar, Phillips, Currey, 'Lifeguard: Local Health Awareness for More Accurate
Failure Detection'
(DSN 2018): the health of the one who judges (3.1), suspicions that others confirm (3.2), word to the
suspect (3.3).

One member is asked in each period, all of them in a shuffled turn. One that does not answer is asked again
through others; if that fails too it is suspected, and everybody hears of it; if it does not deny that in
time it is taken as down. Whoever was itself held up (a stop, a busy processor) does not hold that against
others.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from math import ceil, log

from .model import NOBODY, Ack, Event, Frame, Life, Nack, Ping, PingFor, Rumour, State, Table

MILLISECOND = timedelta(milliseconds=1)
HEALTH_WORST = 8  # Lifeguard's S: a judge that is held up waits up to nine times as long
RUMOURS_MOST = 24  # in one frame
OPEN_ASKS_MOST = 512


@dataclass(frozen=True, slots=True)
class Terms:
    """Spans and numbers of the detector."""

    period: timedelta = 400 * MILLISECOND  # one member is asked so often
    answer_within: timedelta = 120 * MILLISECOND  # else others are asked to ask it
    helpers: int = 3
    # periods, times log10 of the fleet's size: with all confirmations that are wanted
    suspicion_least: int = 3
    suspicion_most: int = 6  # times the least, without any
    spread: int = 4  # a rumour is told so often, times log10 of the fleet's size
    table_every: int = 16  # periods: all that is known goes to one other
    held_up: timedelta = 300 * MILLISECOND  # a step that comes so late was held up


@dataclass(slots=True)
class Peer:
    """What is known of one other member."""

    rumour: Rumour
    heard: timedelta | None = None  # when any frame of it came last
    answered: timedelta | None = None  # when it answered a ping of ours directly
    round_trip: timedelta | None = None
    failures: int = 0  # direct pings without an answer since the last one
    suspected_at: timedelta | None = None
    sources: set[str] = field(default_factory=set)  # who suspects it
    writes: int = 0
    facts: bytes = b""


@dataclass(slots=True)
class _Asked:
    """A ping that is out."""

    name: str
    sent: timedelta
    helped: bool = False  # helpers were asked
    nacks: int = 0
    wanted_nacks: int = 0
    for_whom: str = ""  # asked on behalf of this member
    their_number: int = 0


Sends = list[tuple[str, Frame]]


class Detector:
    """One member's judgement of the others."""

    def __init__(
        self, name: str, life: Life, others: Iterable[str], terms: Terms, chance: random.Random,
        now: timedelta,
    ) -> None:  # fmt: skip
        self.name, self.terms, self._chance = name, terms, chance
        self.own = Rumour(name, life, 0, State.UP)
        self.peers = {
            other: Peer(Rumour(other, NOBODY, 0, State.DOWN)) for other in sorted(others) if other != name
        }
        self.health = 0
        self.writes = 0
        self.facts = b""
        self.events: list[Event] = []
        self.replaced_by: Life | None = None  # a newer life of this member's own name
        self._turn: list[str] = []
        self._periods = 0
        self._suspected: set[str] = set()
        self._asked: dict[int, _Asked] = {}
        self._number = 0
        self._told: dict[str, int] = {name: 0}  # how often the latest rumour of each was told
        self._next = now + terms.period * chance.random()
        self._stepped = now

    # --- what others ask of it

    @property
    def size(self) -> int:
        """Members, this one included."""
        return len(self.peers) + 1

    def state(self, name: str) -> State:
        """What is thought of a member."""
        if name == self.name:
            return self.own.state
        peer = self.peers.get(name)
        return State.DOWN if peer is None else peer.rumour.state

    def rumour(self, name: str) -> Rumour | None:
        """The latest of a member."""
        if name == self.name:
            return self.own
        peer = self.peers.get(name)
        return None if peer is None else peer.rumour

    def link_state(self, name: str, now: timedelta) -> str:
        """How the two hear each other: both, unanswered (it hears nothing of us), unheard, or nothing."""
        peer = self.peers[name]
        lately = 4 * self.terms.period * max(1, self.size / 8)  # each is asked once in size periods
        heard = peer.heard is not None and now - peer.heard <= lately
        answers = peer.answered is not None and peer.failures < 2
        if heard:
            return "both" if answers else "unanswered"
        return "unheard" if peer.rumour.state is State.UP else "nothing"

    @property
    def next_due(self) -> timedelta:
        """When `tick` has something to do."""
        due = [self._next]
        for asked in self._asked.values():
            due.append(asked.sent + self._answer_within() * (1 if not asked.helped else 3))
        due += [self._suspicion_ends(self.peers[name]) for name in self._suspected]
        return min(due)

    def _answer_within(self) -> timedelta:
        return self.terms.answer_within * (1 + self.health)

    def suspicion_span(self, confirmations: int) -> timedelta:
        """Lifeguard, 3.2: from the longest towards the shortest, by the logarithm of the confirmations."""
        least = self.terms.period * self.terms.suspicion_least * max(1.0, log(max(self.size, 2), 10))
        most = least * self.terms.suspicion_most
        wanted = min(self.terms.helpers, max(1, self.size - 2))
        share = log(confirmations + 1) / log(wanted + 1)
        return max(least, most - (most - least) * share)

    def _suspicion_ends(self, peer: Peer) -> timedelta:
        assert peer.suspected_at is not None
        return peer.suspected_at + self.suspicion_span(max(0, len(peer.sources) - 1))

    # --- members that come and go by configuration

    def configure(self, names: Iterable[str]) -> None:
        """The members are these from now on."""
        wanted = set(names) - {self.name}
        for gone in sorted(set(self.peers) - wanted):
            del self.peers[gone]
            self._suspected.discard(gone)
            self._told.pop(gone, None)
            self._asked = {n: asked for n, asked in self._asked.items() if asked.name != gone}
        for new in sorted(wanted - set(self.peers)):
            self.peers[new] = Peer(Rumour(new, NOBODY, 0, State.DOWN))

    # --- time

    def tick(self, now: timedelta) -> Sends:
        """Do what is due."""
        sends: Sends = []
        late = now - self._stepped
        if late > self.terms.period + self.terms.held_up:
            self._was_held_up(now, late)
        self._stepped = now
        for number, asked in list(self._asked.items()):
            if number in self._asked:
                self._overdue(number, asked, now, sends)
        for name in list(self._suspected):
            peer = self.peers[name]
            if now >= self._suspicion_ends(peer):
                down = Rumour(name, peer.rumour.life, peer.rumour.word, State.DOWN, self.name)
                self._take(down, now)
        if now >= self._next:
            # Slower as well, but never so slow that it would take long to be well again.
            self._next = now + self.terms.period * (1 + self.health / HEALTH_WORST)
            self._ask_next(now, sends)
            self._periods += 1
            if self._periods % self.terms.table_every == 0:
                self._tell_all(sends)
        return sends

    def _was_held_up(self, now: timedelta, late: timedelta) -> None:
        """This member stood still: what it did not hear meanwhile says nothing of others."""
        self._asked.clear()
        self._worse()
        for name in self._suspected:
            peer = self.peers[name]
            assert peer.suspected_at is not None
            peer.suspected_at += late
        self.events.append(Event("fleet_held_up", {"ms": round(late / MILLISECOND)}))

    def _worse(self) -> None:
        self.health = min(HEALTH_WORST, self.health + 1)

    def _better(self) -> None:
        self.health = max(0, self.health - 1)

    def _ask_next(self, now: timedelta, sends: Sends) -> None:
        for _ in range(2 * len(self.peers) + 1):
            if not self._turn:
                self._turn = sorted(self.peers)
                self._chance.shuffle(self._turn)
                if not self._turn:
                    return
            name = self._turn.pop()
            peer = self.peers.get(name)
            if peer is not None and peer.rumour.state in (State.UP, State.SUSPECTED):
                self._ask(name, now, sends)
                return

    def _tell_all(self, sends: Sends) -> None:
        """All that is known, to one other: a rumour whose every telling was lost gets through in the end."""
        up = [name for name, peer in self.peers.items() if peer.rumour.state is not State.LEFT]
        if up:
            sends.append((self._chance.choice(up), self.table()))

    def _ask(self, name: str, now: timedelta, sends: Sends, for_whom: str = "", number: int = 0) -> None:
        if len(self._asked) >= OPEN_ASKS_MOST:
            return
        self._number += 1
        self._asked[self._number] = _Asked(name, now, for_whom=for_whom, their_number=number)
        sends.append((name, Ping(self._number, self.writes, self._gossip(name))))

    def _overdue(self, number: int, asked: _Asked, now: timedelta, sends: Sends) -> None:
        span = self._answer_within()
        if asked.for_whom:
            if now >= asked.sent + span:
                del self._asked[number]
                sends.append((asked.for_whom, Nack(asked.their_number)))
            return
        peer = self.peers.get(asked.name)
        if peer is None:
            del self._asked[number]
        elif not asked.helped:
            if now >= asked.sent + span:
                asked.helped = True
                peer.failures += 1
                self._ask_helpers(number, asked, sends)
        elif now >= asked.sent + 3 * span:
            del self._asked[number]
            self._worse()
            # helpers that say nothing: it is this member that hears badly
            if asked.nacks < asked.wanted_nacks:
                self._worse()
            rumour = peer.rumour
            if rumour.state in (State.UP, State.SUSPECTED):
                self._take(Rumour(asked.name, rumour.life, rumour.word, State.SUSPECTED, self.name), now)

    def _ask_helpers(self, number: int, asked: _Asked, sends: Sends) -> None:
        able = [name for name, peer in self.peers.items()
                if name != asked.name and peer.rumour.state is State.UP]  # fmt: skip
        for helper in self._chance.sample(able, min(self.terms.helpers, len(able))):
            asked.wanted_nacks += 1
            sends.append((helper, PingFor(number, asked.name, self._gossip(helper))))

    # --- frames

    def heard(self, now: timedelta, name: str, frame: Frame) -> Sends:
        """Take a frame of a member; what is to be sent comes back."""
        peer = self.peers.get(name)
        sends: Sends = []
        if peer is None:
            return sends
        peer.heard = now
        if isinstance(frame, Ping):
            peer.writes = max(peer.writes, frame.writes)
            self._take_all(frame.rumours, now)
            sends.append((name, Ack(frame.number, self.writes, self._gossip(name), self.facts)))
        elif isinstance(frame, Ack):
            self._acked(now, name, peer, frame, sends)
        elif isinstance(frame, Nack):
            if (asked := self._asked.get(frame.number)) is not None:
                asked.nacks += 1
        elif isinstance(frame, PingFor):
            self._take_all(frame.rumours, now)
            if frame.target in self.peers:
                self._ask(frame.target, now, sends, for_whom=name, number=frame.number)
        elif isinstance(frame, Table):
            self._take_all(frame.rumours, now)
        return sends

    def _acked(self, now: timedelta, name: str, peer: Peer, frame: Ack, sends: Sends) -> None:
        self._take_all(frame.rumours, now)
        asked = self._asked.get(frame.number)
        if asked is None:
            return
        if asked.name != name:  # passed on by a helper: the target lives, its own link to here is in doubt
            if asked.helped:
                del self._asked[frame.number]
                self._better()
            return
        del self._asked[frame.number]
        peer.writes = max(peer.writes, frame.writes)
        peer.facts = frame.facts
        if asked.for_whom:
            sends.append((asked.for_whom, Ack(asked.their_number, frame.writes, (), frame.facts)))
            return
        peer.answered, peer.round_trip, peer.failures = now, now - asked.sent, 0
        self._better()

    def table(self) -> Table:
        """All that is known, for a link that has just come up."""
        known = [peer.rumour for peer in self.peers.values() if peer.rumour.life != NOBODY]
        return Table((self.own, *known))

    def greeted(self, now: timedelta, name: str, life: Life) -> None:
        """A link to this life of a member came up: it is there."""
        peer = self.peers.get(name)
        if peer is None:
            return
        peer.heard, peer.failures = now, 0
        if (life.number, life.mark) > (peer.rumour.life.number, peer.rumour.life.mark):
            self._take(Rumour(name, life, 0, State.UP), now)

    # --- rumours

    def _gossip(self, to: str) -> tuple[Rumour, ...]:
        """The rumours that were told least often; first of all what is said of the one who hears them."""
        limit = self.terms.spread * ceil(log(self.size + 1, 10)) + 1
        first = [to] if self.state(to) is not State.UP and self.rumour(to) is not None else []
        rest = sorted((name for name, told in self._told.items() if told < limit), key=self._told.__getitem__)
        chosen = list(dict.fromkeys([*first, *rest]))[:RUMOURS_MOST]
        found = []
        for name in chosen:
            rumour = self.rumour(name)
            if rumour is not None and rumour.life != NOBODY:
                self._told[name] = self._told.get(name, limit) + 1
                found.append(rumour)
        return tuple(found)

    def _take_all(self, rumours: tuple[Rumour, ...], now: timedelta) -> None:
        for rumour in rumours[: 4 * RUMOURS_MOST + self.size]:
            self._take(rumour, now)

    def _take(self, rumour: Rumour, now: timedelta) -> None:
        if rumour.name == self.name:
            self._about_me(rumour)
            return
        peer = self.peers.get(rumour.name)
        if peer is None or rumour.life == NOBODY:
            return
        before = peer.rumour
        if rumour.state is State.SUSPECTED is before.state and rumour.life == before.life:
            if rumour.word == before.word and rumour.source not in peer.sources:
                # Another member suspects it too: worth telling on, up to the number that is wanted.
                if len(peer.sources) <= self.terms.helpers:
                    peer.sources.add(rumour.source)
                    peer.rumour = rumour
                    self._told[rumour.name] = 0
                return
        if not rumour.beats(before):
            return
        if rumour.life != before.life:
            peer.writes = 0
        peer.rumour = rumour
        self._told[rumour.name] = 0
        if rumour.state is State.SUSPECTED:
            peer.suspected_at, peer.sources = now, {rumour.source}
            self._suspected.add(rumour.name)
        else:
            peer.suspected_at, peer.sources = None, set()
            self._suspected.discard(rumour.name)
        if rumour.state is not before.state or rumour.life != before.life:
            self.events.append(
                Event(
                    "fleet_member",
                    {"member": rumour.name, "life": str(rumour.life), "state": rumour.state.name.lower(),
                     "by": rumour.source},
                )
            )  # fmt: skip

    def _about_me(self, rumour: Rumour) -> None:
        own = self.own
        if (rumour.life.number, rumour.life.mark) > (own.life.number, own.life.mark):
            if self.replaced_by is None or rumour.life.number > self.replaced_by.number:
                self.replaced_by = rumour.life
            return
        if rumour.life != own.life or own.state is State.LEFT:
            return
        if rumour.state is not State.UP and rumour.word < own.word:
            self._told[self.name] = 0  # the denial has not got there yet
        if rumour.state is not State.UP and rumour.word >= own.word:
            # SWIM's refutation: only the member itself raises its word.
            self.own = Rumour(self.name, own.life, rumour.word + 1, State.UP)
            self._told[self.name] = 0
            self._worse()
            said = rumour.state.name.lower()
            self.events.append(Event("fleet_denied", {"said": said, "by": rumour.source}))

    def leave(self) -> None:
        """This member ends in order."""
        self.own = Rumour(self.name, self.own.life, self.own.word, State.LEFT, self.name)
        self._told[self.name] = 0

    def left(self, name: str, life: Life, now: timedelta) -> None:
        """Another one said that it ends in order."""
        peer = self.peers.get(name)
        if peer is not None and peer.rumour.life == life:
            self._take(Rumour(name, life, peer.rumour.word, State.LEFT, name), now)
