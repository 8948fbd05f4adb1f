"""One member of a fleet as a whole: detector, views and trust, and the life that they go by. No I/O.

The owner (`node.py` on sockets, the emulated fleet in virtual time) passes in time, frames and what
became of links,
writes `lasting` whenever `unsaved`, and only then sends what came back.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from .detector import Detector, Terms
from .model import (
    BEFORE_ALL,
    NOBODY,
    Ack,
    Ask,
    Candidate,
    CannotGiveUp,
    Event,
    Follow,
    Frame,
    Key,
    Known,
    Lasting,
    Lead,
    Leave,
    Life,
    Nack,
    Ping,
    PingFor,
    Rumour,
    Standing,
    State,
    Table,
    View,
    Vote,
    Wish,
)
from .trust import Memory, Question, Trust
from .views import WISHES_MOST, Scribe, Views, ViewTerms, majority

MILLISECOND = timedelta(milliseconds=1)
IDLE = timedelta(milliseconds=50)  # the longest between two steps


@dataclass(frozen=True, slots=True)
class MemberTerms:
    """All spans of a member."""

    detector: Terms = Terms()
    views: ViewTerms = ViewTerms()


Sends = list[tuple[str, Frame]]


class Member:
    """What one gatekeeper is in its fleet."""

    def __init__(
        self, name: str, members: Mapping[str, str], before: Lasting | None, terms: MemberTerms,
        chance: random.Random, now: timedelta,
    ) -> None:  # fmt: skip
        """`members`: the addresses of all that the file names, by name, this one included."""
        self.name, self.terms, self._chance = name, terms, chance
        self.members = dict(members)
        self.events: list[Event] = []
        self.relink = False  # the life changed: links are to be greeted anew
        self.stood_down: Life | None = None  # the newer life that took this member's name
        self.leaving = False
        self._followed: tuple[Key, Key, int] | None = None  # by which views and file the names were taken
        self._memories: dict[str, tuple[Memory, Memory]] = {}  # of its life, and of the one before that
        self.facts = b""
        self.scribe: Scribe | None = None
        self._begin(before, now)

    def _begin(self, before: Lasting | None, now: timedelta, least: int = 0) -> None:
        """Begin a life: after the one on disk or, without a disk that can be believed, on an empty one."""
        draw = self._chance.getrandbits
        if before is None:
            life = Life(least + 1, draw(62) | 1, draw(62) | 1)
            lasting = Lasting(life, 1, 0, "", BEFORE_ALL, BEFORE_ALL)
            self.events.append(Event("fleet_disk_empty", {"life": str(life)}))
        else:
            life = Life(before.life.number + 1, draw(62) | 1, before.life.disk)
            lasting = Lasting(
                life, before.writes + 1, before.term, before.voted_for, before.accepted, before.agreed,
                before.forced,
            )  # fmt: skip
        founders = list(self.members.items())
        self.views = Views(self.name, lasting, self.terms.views, self._chance, now, founders)
        self.views.unsaved = True
        self.views.scribe = self.scribe
        names = self._names()
        self.detector = Detector(self.name, life, names, self.terms.detector, self._chance, now)
        self.detector.writes, self.detector.facts = lasting.writes, self.facts
        self.question = Question(self.name, before, life, names, self.terms.views.patience, now)
        self.events.append(Event("fleet_life", {"life": str(life), "disk": f"{life.disk & 0xFFFF:04x}"}))

    def _names(self) -> set[str]:
        """Everybody who may speak: whom the file names, and whom the views do."""
        lasting = self.views.lasting
        configured = (*lasting.accepted.configured, *lasting.agreed.configured)
        return {*self.members, *(member.name for member in configured)}

    def addresses(self) -> dict[str, str]:
        """Where the others are: by the file, and by the view for those that the file does not have."""
        lasting = self.views.lasting
        found = {member.name: member.address for member in lasting.accepted.configured}
        found.update(self.members)
        found.pop(self.name, None)
        return found

    # --- what others ask of it

    @property
    def life(self) -> Life:
        """This life."""
        return self.views.lasting.life

    @property
    def lasting(self) -> Lasting:
        """What must be on disk."""
        return self.views.lasting

    @property
    def unsaved(self) -> bool:
        """Whether `lasting` is to be written and synced before anything is sent."""
        return self.views.unsaved

    def saved(self) -> None:
        """It was."""
        self.views.unsaved = False

    def holds(self, now: timedelta) -> View | None:
        """The agreed view, while no other majority can have formed; see `Views.holds`."""
        return None if self.stood_down is not None else self.views.holds(now)

    @property
    def next_due(self) -> timedelta:
        """When `tick` has something to do."""
        due = min(self.detector.next_due, self.views.next_due)
        if self.question.status is Trust.ASKING:
            due = min(due, self.question.next_due)
        return due

    def known_of(self, name: str) -> Memory:
        """What this member remembers of another's latest life."""
        rumour = self.detector.rumour(name)
        life = NOBODY if rumour is None else rumour.life
        standing = self.views.lasting.agreed.standing(name)
        if standing is not None and standing.life.number > life.number:
            life = standing.life
        heard = self._memories.get(name, (Memory(NOBODY, 0),))[0]
        return heard if heard.life.number >= life.number else Memory(life, 0)

    def _note(self, name: str) -> None:
        """Remember what a member has just shown of its disk; of the life before, too."""
        peer = self.detector.peers.get(name)
        if peer is None or peer.rumour.life == NOBODY:
            return
        found = Memory(peer.rumour.life, peer.writes)
        latest, before = self._memories.get(name, (Memory(NOBODY, 0), Memory(NOBODY, 0)))
        if found.life != latest.life:
            if found.life.number >= latest.life.number:
                self._memories[name] = (found, latest)
        elif found.writes > latest.writes:
            self._memories[name] = (found, before)

    # --- time and links

    def tick(self, now: timedelta) -> Sends:
        """Do what is due."""
        if self.stood_down is not None:
            return []
        sends: Sends = []
        sends += self.question.tick(now, self.lasting.writes)
        self._settle_trust(now)
        self.detector.writes, self.detector.facts = self.lasting.writes, self.facts
        sends += self.detector.tick(now)
        self.views.wishes = self._open_wishes()
        sends += self.views.tick(now, self._standings)
        self._gather_events()
        return sends

    def _settle_trust(self, now: timedelta) -> None:
        if self.question.status is Trust.OLD:
            latest = self.question.latest
            self.events.append(
                Event("fleet_disk_old", {"life": str(self.life), "known": latest, "view":
                      self.lasting.agreed.number})
            )  # fmt: skip
            self._begin(None, now, least=latest)
            self.relink = True
        elif self.question.status is Trust.TRUSTED and not self.views.trusted:
            self.views.trusted = True
            self.events.append(Event("fleet_disk_trusted", {"life": str(self.life)}))
        if not self.views.founded:
            self.views.may_found = self.question.all_blank or len(self.members) == 1

    def _standings(self) -> dict[str, Standing]:
        detector = self.detector
        own = detector.own
        found = {self.name: Standing(self.name, own.life, own.state)}
        for name, peer in detector.peers.items():
            found[name] = Standing(name, peer.rumour.life, peer.rumour.state)
        return found

    def _gather_events(self) -> None:
        self.events += self.detector.events
        self.events += self.views.events
        self.detector.events, self.views.events = [], []

    def greeted(self, now: timedelta, name: str, life: Life) -> Sends:
        """A link to this life of a member came up."""
        if self.stood_down is not None:
            return []
        self.detector.greeted(now, name, life)
        self._note(name)
        sends: Sends = [(name, self.detector.table())]
        if self.question.status is Trust.ASKING:
            sends.append((name, Ask(self.life, self.lasting.writes)))
        self._gather_events()
        return sends

    def greets_old(self, name: str, life: Life) -> Known | None:
        """What to tell whoever greets with a life that another one of the same name has followed; else
        None.
        """
        memory = self.known_of(name)
        if (life.number, life.mark) < (memory.life.number, memory.life.mark):
            return self._answer_about(memory, life)
        return None

    def _answer_about(self, memory: Memory, life: Life) -> Known:
        lasting = self.views.lasting
        return Known(life.mark, memory.life, memory.writes, not self.views.founded, lasting.term)

    def heard(self, now: timedelta, name: str, frame: Frame) -> Sends:
        """Take a frame of another member; what is to be sent comes back."""
        if self.stood_down is not None:
            return []
        sends: Sends = []
        if isinstance(frame, Ask):
            memory = self.known_of(name)
            if memory.life == frame.life:  # its disk is to be compared with what the life before showed
                memory = self._memories.get(name, (memory, Memory(NOBODY, 0)))[1]
            sends.append((name, self._answer_about(memory, frame.life)))
        elif isinstance(frame, Known):
            self._known(now, name, frame)
        elif isinstance(frame, Ping | Ack | Nack | PingFor | Table):
            sends += self.detector.heard(now, name, frame)
        elif isinstance(frame, Candidate | Vote | Lead | Follow):
            self.detector.heard(now, name, frame)
            if isinstance(frame, Vote | Follow) and (peer := self.detector.peers.get(name)) is not None:
                peer.writes = max(peer.writes, frame.writes)
            sends += self.views.heard(now, name, frame)
            self._follow_view()
            standing = self.lasting.agreed.standing(self.name)
            if standing is not None and standing.life == self.life and standing.state is State.DOWN:
                if not self.leaving:
                    self.events.append(Event("fleet_taken_for_lost", {"life": str(self.life)}))
                    self.renew(now)
                    return []
        elif isinstance(frame, Leave):
            self.detector.left(name, frame.life, now)
        self._note(name)
        newer = self.detector.replaced_by
        if newer is not None and self.question.status is Trust.TRUSTED:
            self._stand_down(newer)
        elif newer is not None:
            self.question.outdone(newer)
        self._settle_trust(now)
        self._gather_events()
        return sends

    def _known(self, now: timedelta, name: str, frame: Known) -> None:
        later = (frame.life.number, frame.life.mark) > (self.life.number, self.life.mark)
        if self.question.status is not Trust.TRUSTED:
            self.question.heard(now, name, frame)
        elif later and frame.asked == self.life.mark:
            self._stand_down(frame.life)

    def _stand_down(self, newer: Life) -> None:
        """Another process has this member's name, and is the newer one."""
        self.stood_down = newer
        self.events.append(Event("fleet_stood_down", {"life": str(self.life), "newer": str(newer)}))

    def _follow_view(self) -> None:
        lasting = self.lasting
        keys = (lasting.accepted.key, lasting.agreed.key, len(self.members))
        if keys == self._followed:
            return
        self._followed = keys
        names = self._names()
        if names != {self.name, *self.detector.peers}:
            self.detector.configure(names)
            self.question.configure(names)

    # --- the book

    def write_with(self, scribe: Scribe) -> None:
        """Whoever knows what goes into the book next, in this life and those after it."""
        self.scribe = self.views.scribe = scribe

    def turn_page(self, now: timedelta) -> Sends:
        """The scribe may have something to write."""
        if self.stood_down is not None:
            return []
        sends = self.views.turn_page(now)
        self._gather_events()
        return sends

    # --- by an operator

    def reload(self, members: Mapping[str, str]) -> None:
        """The file names these members now: who is new or missing is wished for, not yet so."""
        self.members = dict(members)
        self._followed = None
        self._follow_view()

    def _open_wishes(self) -> tuple[Wish, ...]:
        """What the file has and the view has not. At a start the view holds: only a change of the file
        counts.
        """
        return tuple(wish for wish in self._wishes if self._is_open(wish))[:WISHES_MOST]

    _wishes: tuple[Wish, ...] = ()

    def _is_open(self, wish: Wish) -> bool:
        there = self.lasting.agreed.disk_of(wish.name) is not None
        return there is not bool(wish.address)

    def wish(self, before: Mapping[str, str], after: Mapping[str, str]) -> None:
        """What changed between two files."""
        added = [Wish(name, at) for name, at in sorted(after.items()) if name not in before]
        removed = [Wish(name, "") for name in sorted(before) if name not in after]
        named = {wish.name for wish in (*added, *removed)}
        kept = [wish for wish in self._wishes if wish.name not in named]
        self._wishes = tuple([*kept, *added, *removed][-WISHES_MOST:])

    def renew(self, now: timedelta) -> None:
        """Begin another life on the same disk: the present one was taken for lost, and others go on for
        it.
        """
        self._begin(self.lasting, now)
        self.relink = True
        self._gather_events()

    def leave(self) -> Sends:
        """End in order: the others need not find out."""
        self.leaving = True
        self.detector.leave()
        return [(name, Leave(self.life)) for name in self.detector.peers]

    def give_up(self, now: timedelta, lost: Iterable[str]) -> None:
        """Go on without members that are lost for good, where no majority is left. Errors: CannotGiveUp."""
        gone = set(lost)
        view = self.lasting.agreed
        unknown = gone - {member.name for member in view.configured}
        if unknown:
            raise CannotGiveUp(f"not in the view: {', '.join(sorted(unknown))}", "names")
        answering = [name for name in gone if self.detector.state(name) is State.UP]
        if answering:
            raise CannotGiveUp(f"still up: {', '.join(sorted(answering))}", "names")
        left = {member.name for member in view.configured} - gone
        if majority(view.configured, lambda member: member.name in left) and self.holds(now) is not None:
            raise CannotGiveUp("a majority is left: take them out of the file and reload", "names")
        self.views.force(now, gone)
        self.members = {name: at for name, at in self.members.items() if name not in gone}
        self._followed = None
        self._follow_view()
        self._gather_events()

    # --- for people

    def told(self, now: timedelta) -> dict[str, Any]:
        """The fleet as this member sees it."""
        view, lasting, detector = self.lasting.agreed, self.lasting, self.detector
        left = max(timedelta(0), self.views.lease_until - now)
        return {
            "name": self.name,
            "life": str(self.life),
            "number": self.life.number,
            "disk_mark": f"{self.life.disk:016x}",
            "stood_down": None if self.stood_down is None else str(self.stood_down),
            "trust": self.question.status.value,
            "role": self.views.role.value,
            "leader": self.views.leader,
            "term": lasting.term,
            "view": view.number,
            "view_term": view.key.term,
            "forced": lasting.forced,
            "majority": self.holds(now) is not None,
            "lease_ms": round(left / MILLISECOND),
            "lease_term": self.views.lease_term,
            "configured": [member.name for member in view.configured],
            "up": [one.name for one in view.members if one.state is State.UP],
            "lives": {one.name: str(one.life) for one in view.members},
            "health": detector.health,
            "members": [self._told_of(name, now) for name in sorted({self.name, *detector.peers})],
        }

    def _told_of(self, name: str, now: timedelta) -> dict[str, Any]:
        rumour: Rumour | None = self.detector.rumour(name)
        assert rumour is not None
        found: dict[str, Any] = {"name": name, "life": str(rumour.life), "state": rumour.state.name.lower()}
        if name == self.name:
            return {**found, "link": "self", "facts": self.facts.decode(errors="replace")}
        peer = self.detector.peers[name]
        heard, trip = peer.heard, peer.round_trip
        return {
            **found,
            "link": self.detector.link_state(name, now),
            "round_trip_ms": None if trip is None else round(trip / MILLISECOND, 2),
            "heard_ms": None if heard is None else round((now - heard) / MILLISECOND),
            "facts": peer.facts.decode(errors="replace"),
        }
