"""Numbered views of a fleet, agreed among a majority of the configured members. No I/O; time is an argument.

Raft (Ongaro and Ousterhout, USENIX ATC 2014; Ongaro's thesis, 2014: pre-vote 9.6, one member at a time
4.1, leases
6.4.1) over a single register in place of a log: every view is complete and replaces those before it, as the
values of CASPaxos do (Rystsov, 2018). A leader proposes the next view only once the one before it is agreed.

What differs from the papers, and why:

- A member counts by name and disk. One whose disk was lost has forgotten what it promised: it counts again
  once a view that names its new disk is agreed by a majority without it (as a replica that recovers in
  Viewstamped
  Replication Revisited, Liskov and Cowling, 2012, 4.3, which answers nobody until others have told it).
- A view that changes who is configured needs a majority of those before and of those after.
- The first view needs every configured member: no set of empty disks is taken for a new fleet.
- A leader's lease is passed on to its followers, each by a stamp of its own clock, so that whoever acts on
  a view knows by its own clock that no other majority can have formed.
- A view carries the book (`book/model.py`), so that elections, disks that were lost and changes of who is
  configured are decided for both at once; followers get what changed of it and check the whole by its hash.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from msgspec.structs import replace

from ..book import model as book
from .model import (
    MICROSECOND,
    NOBODY,
    Candidate,
    CannotGiveUp,
    Configured,
    Event,
    Follow,
    Frame,
    Key,
    Lasting,
    Lead,
    Patch,
    Standing,
    State,
    View,
    Vote,
    Wish,
    micros,
)

MILLISECOND = timedelta(milliseconds=1)
WISHES_MOST = 16
MEMBERS_MOST = 1000


@dataclass(frozen=True, slots=True)
class ViewTerms:
    """Spans of the agreement. `lease` must be well under `patience`: the difference bears the drift of
    clocks.
    """

    beat: timedelta = 150 * MILLISECOND  # a leader's word to each follower
    lease: timedelta = 900 * MILLISECOND  # from the sending of a word that a majority answered
    patience: timedelta = 1400 * MILLISECOND  # so long after a leader's word nobody votes for another
    jitter: timedelta = 1400 * MILLISECOND  # elections begin at a random moment within it
    gather: timedelta = 120 * MILLISECOND  # changes within it come as one view


class Role(Enum):
    """What a member is in its term."""

    FOLLOWER = "follower"
    TRIAL = "trial"  # asks whether it would be elected
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class _Answer:
    """What a leader last heard of a follower."""

    key: Key
    disk: int
    round: timedelta  # when the word that it answered was sent
    stamp: int
    books: bool


class Scribe(Protocol):
    """Whoever knows what is to be written into the book next; asked of the leader alone."""

    def next_page(self, now: timedelta, view: View) -> bytes | None:
        """The book as it is to be after the one of this agreed view; None: as it is."""


Sends = list[tuple[str, Frame]]
Standings = Callable[[], Mapping[str, Standing]]


def majority(configured: Iterable[Configured], having: Callable[[Configured], bool]) -> bool:
    """Whether more than half of these members have it; nobody is no majority."""
    members = list(configured)
    return 2 * sum(map(having, members)) > len(members)


class Views:
    """One member's part in agreeing on views.

    What must last is in `lasting`; while `unsaved` is true the owner writes and syncs it before anything
    that this machine returned is sent.
    """

    def __init__(
        self, name: str, lasting: Lasting, terms: ViewTerms, chance: random.Random, now: timedelta,
        founders: Iterable[tuple[str, str]],
    ) -> None:  # fmt: skip
        self.name, self.lasting, self.terms, self._chance = name, lasting, terms, chance
        self.founders = tuple(sorted(founders))
        self.unsaved = False
        self.trusted = False  # whether the disk can be believed: see trust.py
        self.may_found = False  # whether all others have said that they know of no view
        self.role = Role.FOLLOWER
        self.leader = ""
        self.wishes: tuple[Wish, ...] = ()  # of this member's own file
        self.events: list[Event] = []
        self.lease_until = now  # by this member's own clock
        self.lease_term = lasting.term  # of the leadership that the lease is of
        self._led_at = now  # a start counts as a leader's word: what was promised before it may still hold
        self._answers: dict[str, _Answer] = {}
        self._votes: dict[str, int] = {}  # to the disk of each that granted one
        self._wished: dict[str, tuple[Wish, ...]] = {}
        self.scribe: Scribe | None = None
        self._known_at: timedelta | None = None  # all that was agreed by then is known here
        self._patch: Patch | None = None  # from the view before to the one that is proposed
        self._elect_at = self._patience_ends(now)
        self._beat_at = now
        self._differs_since: timedelta | None = None
        self._held = False
        self._up_in = (lasting.agreed, lasting.life, False)  # whether that view has this life as up

    # --- what others ask of it

    @property
    def founded(self) -> bool:
        """Whether this member knows of a view that was agreed."""
        return bool(self.lasting.agreed.configured)

    def holds(self, now: timedelta) -> View | None:
        """The agreed view, if by this member's clock no other majority can have formed; else None.

        None also for a member that the view does not have as up in this life.
        """
        if self.unsaved or now >= self.lease_until:
            return None
        lasting = self.lasting
        if self._up_in[0] is not lasting.agreed or self._up_in[1] != lasting.life:
            standing = lasting.agreed.standing(self.name)
            up = standing is not None and standing.life == lasting.life and standing.state is State.UP
            self._up_in = (lasting.agreed, lasting.life, up)
        return lasting.agreed if self._up_in[2] else None

    def age(self, now: timedelta) -> timedelta | None:
        """How old what this member knows as agreed can be at most, by its own clock; None: nothing is known.

        A follower counts from its own stamp that came back with a leader's word under a lease: no other
        leader can have agreed on more by then.
        """
        if self.role is Role.LEADER:
            ends = self._lease_ends(now)
            if ends > self.terms.lease:
                self._known_at = max(ends - self.terms.lease, self._known_at or timedelta(0))
        return None if self._known_at is None else max(timedelta(0), now - self._known_at)

    @property
    def next_due(self) -> timedelta:
        """When `tick` has something to do."""
        return self._beat_at if self.role is Role.LEADER else self._elect_at

    # --- time

    def tick(self, now: timedelta, standings: Standings) -> Sends:
        """Do what is due; `standings` tells what this member's detector thinks of each, itself included."""
        sends: Sends = []
        if self.role is Role.LEADER:
            self._lead(now, standings, sends)
        elif now >= self._elect_at:
            self._stand(now, standings, sends)
        self._tell_held(now)
        return sends

    def _tell_held(self, now: timedelta) -> None:
        held = self.holds(now) is not None
        if held is not self._held:
            self._held = held
            what = "fleet_majority" if held else "fleet_minority"
            agreed = self.lasting.agreed
            self.events.append(Event(what, {"view": agreed.number, "term": agreed.key.term}))

    def _patience_ends(self, now: timedelta) -> timedelta:
        return now + self.terms.patience + self.terms.jitter * self._chance.random()

    def _write(self, **changes: object) -> None:
        self.lasting = replace(self.lasting, writes=self.lasting.writes + 1, **changes)
        self.unsaved = True

    def _counts_here(self) -> bool:
        """Whether this member, on its disk, is one of those that decide."""
        disk, lasting = self.lasting.life.disk, self.lasting
        return disk == lasting.accepted.disk_of(self.name) and disk == lasting.agreed.disk_of(self.name)

    # --- elections

    def _stand(self, now: timedelta, standings: Standings, sends: Sends) -> None:
        self._elect_at = self._patience_ends(now)
        self.role, self.leader = Role.FOLLOWER, ""
        if not self.founded:
            self._found(now, standings(), sends)
            return
        if not self.trusted or not self._counts_here():
            return
        self.role = Role.TRIAL
        self._votes = {self.name: self.lasting.life.disk}
        self._canvass(now, sends)

    def _canvass(self, now: timedelta, sends: Sends) -> None:
        trial = self.role is Role.TRIAL
        lasting = self.lasting
        term = lasting.term + 1 if trial else lasting.term
        word = Candidate(trial, term, lasting.accepted.key, lasting.life.disk)
        sends += [(name, word) for name in self._others()]
        self._count(now, sends)

    def _others(self) -> list[str]:
        """Whoever is configured in the view before or the one that is proposed, and whoever is to be
        added.
        """
        lasting = self.lasting
        names = [*lasting.accepted.configured, *lasting.agreed.configured]
        return [name for name in dict.fromkeys(member.name for member in names) if name != self.name]

    def _count(self, now: timedelta, sends: Sends) -> None:
        if not self._has_majority(lambda member: self._votes.get(member.name) == member.disk):
            return
        if self.role is Role.TRIAL:
            self.role = Role.CANDIDATE
            self._write(term=self.lasting.term + 1, voted_for=self.name)
            self._votes = {self.name: self.lasting.life.disk}
            self._canvass(now, sends)
        elif self.role is Role.CANDIDATE:
            self._take_lead(now, self.lasting.accepted, sends)

    def _has_majority(self, having: Callable[[Configured], bool]) -> bool:
        lasting = self.lasting
        if not self.founded:  # the first view needs all
            founders = lasting.accepted.configured
            return bool(founders) and all(map(having, founders))
        return majority(lasting.accepted.configured, having) and majority(lasting.agreed.configured, having)

    def _take_lead(self, now: timedelta, view: View, sends: Sends) -> None:
        self.role, self.leader = Role.LEADER, self.name
        self._answers, self._wished, self._differs_since = {}, {}, None
        self.events.append(Event("fleet_leads", {"term": self.lasting.term}))
        # As Raft's empty entry: what an earlier leader left half done is agreed with this one, or not at all.
        self._patch = None
        self._propose(now, view, sends)

    def _found(self, now: timedelta, standings: Mapping[str, Standing], sends: Sends) -> None:
        """The very first view: by the least name, once all that the file names are there with empty disks."""
        names = [name for name, _ in self.founders]
        if not names or names[0] != self.name or any(
            name not in standings or standings[name].state is not State.UP for name in names
        ):  # fmt: skip
            return
        if not self.trusted or not self.may_found:
            return
        configured = tuple(
            Configured(name, address, standings[name].life.disk) for name, address in self.founders
        )
        members = tuple(standings[name] for name in names)
        first = View(Key(0, 0), self.name, configured, members)
        self._write(term=self.lasting.term + 1, voted_for=self.name)
        self._take_lead(now, first, sends)

    # --- the leader

    def _lead(self, now: timedelta, standings: Standings, sends: Sends) -> None:
        lasting = self.lasting
        if lasting.accepted.key == lasting.agreed.key:
            self._look_for_changes(now, standings(), sends)
            self._turn_page(now, sends)
        ends = self._lease_ends(now)
        if now >= max(ends, self._led_at) + self.terms.patience:
            self._step_down(now, "no majority answers")
            return
        self.lease_until, self.lease_term = ends, lasting.term
        if now >= self._beat_at:
            self._beat_at = now + self.terms.beat
            self._speak(now, sends)

    def _lease_ends(self, now: timedelta) -> timedelta:
        """The end of the lease: a majority, before and after, answered a word that was sent so long
        before.
        """
        ends = timedelta.max
        lasting = self.lasting
        for configured in (lasting.accepted.configured, lasting.agreed.configured):
            rounds = []
            for member in configured:
                answer = self._answers.get(member.name)
                if member.name == self.name and member.disk == lasting.life.disk:
                    rounds.append(now)
                elif answer is not None and answer.disk == member.disk:
                    rounds.append(answer.round)
            wanted = len(configured) // 2 + 1
            if len(rounds) < wanted:
                return timedelta(0)
            ends = min(ends, sorted(rounds, reverse=True)[wanted - 1] + self.terms.lease)
        return ends

    def _look_for_changes(self, now: timedelta, standings: Mapping[str, Standing], sends: Sends) -> None:
        view = self.lasting.agreed
        configured = self._next_configured(view, standings)
        names = [member.name for member in configured]
        members = tuple(self._as_known(name, view, standings) for name in names)
        if configured == view.configured and members == view.members:
            self._differs_since = None
        elif self._differs_since is None:
            self._differs_since = now
        elif now >= self._differs_since + self.terms.gather:
            self._differs_since = None
            self._propose(now, replace(view, configured=configured, members=members), sends)

    @staticmethod
    def _as_known(name: str, view: View, standings: Mapping[str, Standing]) -> Standing:
        known, before = standings.get(name), view.standing(name)
        if known is None:
            return before or Standing(name, NOBODY, State.DOWN)
        if before is not None and before.state is State.DOWN and before.life == known.life:
            return before  # for good: others may act for that life by now; the member begins another one
        # A suspicion is no change yet.
        return replace(known, state=State.UP) if known.state is State.SUSPECTED else known

    def _next_configured(self, view: View, standings: Mapping[str, Standing]) -> tuple[Configured, ...]:
        """Who is configured next: one change at a time, an empty disk first."""
        for index, member in enumerate(view.configured):
            known = standings.get(member.name)
            if known is not None and known.state is State.UP and known.life.disk != member.disk:
                if known.life.number > 0:
                    again = replace(member, disk=known.life.disk)
                    return (*view.configured[:index], again, *view.configured[index + 1 :])
        for wish in (*self.wishes, *(wish for wishes in self._wished.values() for wish in wishes)):
            there = view.disk_of(wish.name) is not None
            known = standings.get(wish.name)
            if wish.address and not there and known is not None and known.state is State.UP:
                if len(view.configured) < MEMBERS_MOST:
                    new = Configured(wish.name, wish.address, known.life.disk)
                    return tuple(sorted((*view.configured, new)))
            if not wish.address and there and len(view.configured) > 1:
                return tuple(member for member in view.configured if member.name != wish.name)
        return view.configured

    def turn_page(self, now: timedelta) -> Sends:
        """The scribe may have something: propose it at once, if this member leads."""
        sends: Sends = []
        if self.role is Role.LEADER:
            self._turn_page(now, sends)
        return sends

    def _turn_page(self, now: timedelta, sends: Sends) -> bool:
        """Propose the next book with the view as it is; whether there was one."""
        lasting = self.lasting
        if self.scribe is None or self.unsaved or lasting.accepted.key != lasting.agreed.key:
            return False  # what is not synced yet is no ground for the next
        if not self._all_keep_books():
            return False
        after = self.scribe.next_page(now, lasting.agreed)
        if after is None:
            return False
        view = replace(lasting.agreed, book=after)
        changed = book.difference(lasting.agreed.book, after)
        self._patch = Patch(lasting.agreed.key, replace(view, book=b""), changed, book.digest(after))
        self._propose(now, view, sends, page=True)
        return True

    def _all_keep_books(self) -> bool:
        """Whether nobody that answers is of a release that would lose the book, and enough do answer."""
        if any(not answer.books for answer in self._answers.values()):
            return False
        members = self.lasting.agreed.configured
        return majority(members, lambda one: one.name == self.name or one.name in self._answers)

    def _propose(self, now: timedelta, view: View, sends: Sends, page: bool = False) -> None:
        lasting = self.lasting
        number = max(lasting.accepted.number, lasting.agreed.number)
        entry = max(lasting.accepted.key.entry, lasting.agreed.key.entry)
        key = Key(lasting.term, number, entry + 1) if page else Key(lasting.term, number + 1, entry)
        if not page:
            self._patch = None
        self._write(accepted=replace(view, key=key, leader=self.name))
        self._led_at = now
        self._beat_at = now + self.terms.beat
        self._agree(now)
        self._speak(now, sends)

    def _agree(self, now: timedelta) -> bool:
        """Whether the proposed view has just become agreed."""
        lasting = self.lasting
        accepted = lasting.accepted
        if accepted.key == lasting.agreed.key or accepted.key.term != lasting.term:
            return False

        def keeps(member: Configured) -> bool:
            if member.name == self.name:
                return member.disk == lasting.life.disk
            answer = self._answers.get(member.name)
            return answer is not None and answer.disk == member.disk and answer.key == accepted.key

        if not self._has_majority(keeps):
            return False
        before = lasting.agreed
        self._write(agreed=accepted)
        self._tell_view(before)
        if accepted.disk_of(self.name) is None:
            self._step_down(now, "removed")
        return True

    def _tell_view(self, before: View) -> None:
        view = self.lasting.agreed
        if view.number == before.number:
            return  # only the book has changed
        up = [member.name for member in view.members if member.state is State.UP]
        self.events.append(
            Event(
                "fleet_view",
                {"view": view.number, "term": view.key.term, "leader": view.leader, "up": up,
                 "of": len(view.configured)},
            )
        )  # fmt: skip

    def _speak(self, now: timedelta, sends: Sends) -> None:
        lasting = self.lasting
        lease = max(timedelta(0), self._lease_ends(now) - now) if self.role is Role.LEADER else timedelta(0)
        for name in self._others():
            answer = self._answers.get(name)
            told = answer is not None and answer.key == lasting.accepted.key
            patch = self._patch
            if told or patch is None or answer is None or answer.key != patch.base:
                patch = None
            sends.append((
                name,
                Lead(
                    lasting.term, lasting.accepted.key, lasting.agreed.key, micros(now),
                    answer.stamp if answer is not None else 0, micros(lease) if answer is not None else 0,
                    None if told or patch is not None else lasting.accepted, patch,
                ),
            ))  # fmt: skip
        self._patch = None  # once: whoever did not take it is sent the whole

    def _step_down(self, now: timedelta, why: str) -> None:
        self.events.append(Event("fleet_leads_no_more", {"term": self.lasting.term, "why": why}))
        self.role, self.leader = Role.FOLLOWER, ""
        self.lease_until = min(self.lease_until, now)
        self._elect_at = self._patience_ends(now)

    # --- frames

    def heard(self, now: timedelta, name: str, frame: Frame) -> Sends:
        """Take a frame of a member; what is to be sent, once `lasting` is synced, comes back."""
        sends: Sends = []
        if isinstance(frame, Candidate):
            self._candidate(now, name, frame, sends)
        elif isinstance(frame, Vote):
            self._voted(now, name, frame, sends)
        elif isinstance(frame, Lead):
            self._led(now, name, frame, sends)
        elif isinstance(frame, Follow):
            self._followed(now, name, frame, sends)
        self._tell_held(now)
        return sends

    def _newer_term(self, now: timedelta, term: int) -> None:
        if term > self.lasting.term:
            if self.role is Role.LEADER:
                self._step_down(now, "a newer term")
            self.role = Role.FOLLOWER
            self._write(term=term, voted_for="")

    def _candidate(self, now: timedelta, name: str, frame: Candidate, sends: Sends) -> None:
        lasting = self.lasting
        # Whoever heard a leader lately has promised it not to elect another: leases rest on that.
        loyal = now < self._led_at + self.terms.patience or self.role is Role.LEADER
        # An empty disk may vote: whoever stands counts it only where its own views name that very disk.
        able = self.trusted and not loyal and frame.accepted >= lasting.accepted.key
        if frame.trial:
            granted = able and frame.term > lasting.term
            term = frame.term if granted else lasting.term
            sends.append((name, Vote(True, term, granted, lasting.life.disk, lasting.writes)))
            return
        if loyal and frame.term > lasting.term:
            return
        self._newer_term(now, frame.term)
        lasting = self.lasting
        granted = able and frame.term == lasting.term and lasting.voted_for in ("", name)
        if granted and not lasting.voted_for:
            self._write(voted_for=name)
            self._elect_at = self._patience_ends(now)
        sends.append((name, Vote(False, lasting.term, granted, lasting.life.disk, self.lasting.writes)))

    def _voted(self, now: timedelta, name: str, frame: Vote, sends: Sends) -> None:
        if frame.trial:
            if self.role is not Role.TRIAL:
                return
            if frame.granted and frame.term == self.lasting.term + 1:
                self._votes[name] = frame.disk
                self._count(now, sends)
            elif not frame.granted:
                self._newer_term(now, frame.term)
            return
        self._newer_term(now, frame.term)
        if self.role is Role.CANDIDATE and frame.term == self.lasting.term and frame.granted:
            self._votes[name] = frame.disk
            self._count(now, sends)

    def _led(self, now: timedelta, name: str, frame: Lead, sends: Sends) -> None:
        if frame.term < self.lasting.term:
            self._answer(now, name, frame, sends)  # it learns of the newer term
            return
        self._newer_term(now, frame.term)
        if self.role is Role.LEADER:
            return  # two of one term: impossible while disks keep votes
        self.role, self.leader = Role.FOLLOWER, name
        self._led_at = now
        self._elect_at = self._patience_ends(now)
        lasting = self.lasting
        view = frame.view if frame.patch is None else self._patched(frame.patch, frame.key)
        if view is not None and view.key == frame.key and view.key > lasting.accepted.key:
            self._write(accepted=view)
        lasting = self.lasting
        if frame.agreed == lasting.accepted.key != lasting.agreed.key:
            before = lasting.agreed
            self._write(agreed=lasting.accepted)
            self._tell_view(before)
        if frame.lease > 0 and frame.echo > 0 and frame.agreed == lasting.agreed.key:
            # Counted from a moment of this member's own clock that lies before the word was sent.
            self.lease_until = max(self.lease_until, (frame.echo + frame.lease) * MICROSECOND)
            self.lease_term = frame.term
            self._known_at = max(self._known_at or timedelta(0), frame.echo * MICROSECOND)
        self._answer(now, name, frame, sends)

    def _patched(self, patch: Patch, key: Key) -> View | None:
        """The view of a patch; None where this member does not have the one that it is made for."""
        accepted = self.lasting.accepted
        if accepted.key != patch.base:
            return None
        after = book.patched(accepted.book, patch.changed)
        if after is None or book.digest(after) != patch.digest:
            self.events.append(Event("fleet_patch_not_taken", {"entry": key.entry}))
            return None
        return replace(patch.view, key=key, book=after)

    def _answer(self, now: timedelta, name: str, frame: Lead, sends: Sends) -> None:
        lasting = self.lasting
        sends.append((
            name,
            Follow(
                lasting.term, lasting.accepted.key, lasting.life.disk, micros(now), frame.stamp,
                lasting.writes, self.wishes, books=True,
            ),
        ))  # fmt: skip

    def _followed(self, now: timedelta, name: str, frame: Follow, sends: Sends) -> None:
        self._newer_term(now, frame.term)
        if self.role is not Role.LEADER or frame.term != self.lasting.term:
            return
        before = self._answers.get(name)
        sent = frame.round * MICROSECOND
        if sent > now or (before is not None and sent < before.round):
            return  # none of this member's words, or an answer that was overtaken
        self._answers[name] = _Answer(frame.key, frame.disk, sent, frame.stamp, frame.books)
        self._wished[name] = frame.wishes[:WISHES_MOST]
        if self._agree(now) and self.role is Role.LEADER:
            self._beat_at = now + self.terms.beat
            self._speak(now, sends)
        if self.role is Role.LEADER:
            self.lease_until, self.lease_term = self._lease_ends(now), self.lasting.term

    # --- by an operator

    def force(self, now: timedelta, without: Iterable[str]) -> None:
        """Give up members that are lost for good, without asking anybody: what only they kept is lost.

        For the one case in which no majority is left to agree. Errors: CannotGiveUp, if this member would
        not be left.
        """
        gone = set(without)
        if self.name in gone:
            raise CannotGiveUp("the member that is asked cannot be given up", "names")
        view = self.lasting.agreed
        left = tuple(member for member in view.configured if member.name not in gone)
        members = tuple(member for member in view.members if member.name not in gone)
        accepted = self.lasting.accepted
        entry = max(view.key.entry, accepted.key.entry)
        key = Key(self.lasting.term + 1, max(view.number, accepted.number) + 1, entry)
        forced = View(key, self.name, left, members, view.book)
        self._write(
            term=key.term, voted_for=self.name, accepted=forced, agreed=forced,
            forced=self.lasting.forced + 1,
        )  # fmt: skip
        self.role, self.leader = Role.FOLLOWER, ""
        self._elect_at = now
        self._tell_view(view)
