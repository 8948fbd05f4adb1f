"""Every order of events for three members that agree on views, to a stated depth.

As specifications in TLA+ do: a frame that was sent stays among those that may arrive, so that it comes at
any later
moment, any number of times, or never; what arrives without an effect is no step. An election may begin at
any moment,
and a member may start anew on its disk or on an empty one. Time stands still: what leases add rests on
clocks and is
explored by seed (`schedule.py`). The trial of an election is left out, since it promises nothing. States
that were
seen before are not entered again.
"""

from __future__ import annotations

import copy
import random
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from msgspec.structs import replace

from mallowquay.book.model import Change, applied, decode, encode
from mallowquay.fleet.model import (
    BEFORE_ALL,
    Configured,
    Follow,
    Frame,
    Key,
    Lasting,
    Lead,
    Life,
    Standing,
    State,
    View,
    Vote,
)
from mallowquay.fleet.views import Role, Views, ViewTerms

from .invariants import Broken

NAMES = ("a", "b", "c")
NOW = timedelta(seconds=1000)
STILL = ViewTerms(beat=timedelta(0), lease=timedelta(seconds=1), patience=timedelta(0), jitter=timedelta(0))


@dataclass(frozen=True, slots=True, kw_only=True)
class Budget:
    """How much of each may happen in one history, and how many steps it has."""

    elections: int = 2
    changes: int = 1  # of who is up, seen by a leader
    pages: int = 0  # changes of the book
    restarts: int = 1
    wipes: int = 0
    depth: int = 14


Agreed = dict[tuple[int, int], View]  # by number, and by change of the book within it


class _Writer:
    """Writes one entry."""

    def __init__(self, name: str) -> None:
        self._name = name

    def next_page(self, now: timedelta, view: View) -> bytes | None:
        """The book with one more entry."""
        pages, _ = applied(decode(view.book), [Change(self._name, "note", self._name, b"")])
        return encode(pages)


class _State:
    """One moment of a history."""

    __slots__ = ("views", "keys", "sent", "left")

    def __init__(
        self, views: dict[str, Views], keys: dict[str, Any], sent: frozenset[Any], left: tuple[int, ...]
    ) -> None:
        self.views, self.keys, self.sent, self.left = views, keys, sent, left

    def with_one(self, name: str) -> tuple[_State, Views]:
        """A copy in which one member may change."""
        before = self.views[name]
        one = copy.copy(before)
        one._answers, one._votes = dict(before._answers), dict(before._votes)
        one._wished, one.events = {}, []
        return _State({**self.views, name: one}, self.keys, self.sent, self.left), one

    @property
    def key(self) -> Any:
        return (*self.keys.values(), self.sent, self.left)


def _key_of(one: Views) -> Any:
    """All of a member that a later step depends on."""
    last = one.lasting
    answers = tuple(sorted((name, answer.key, answer.disk) for name, answer in one._answers.items()))
    return (last.life, last.term, last.voted_for, last.accepted, last.agreed, one.role, answers,
            tuple(sorted(one._votes.items())))  # fmt: skip


def _plain(frame: Frame) -> Frame:
    """A frame without what rests on clocks and counters."""
    if isinstance(frame, Lead):
        return replace(frame, stamp=0, echo=0, lease=0)
    if isinstance(frame, Follow):
        return replace(frame, stamp=0, round=0, writes=0)
    return replace(frame, writes=0) if isinstance(frame, Vote) else frame


class Explorer:
    """Walks all histories within a budget, the shortest first."""

    def __init__(self, budget: Budget, states_most: int = 1_000_000) -> None:
        self._budget, self._states_most = budget, states_most
        self.states = self.deepest = 0
        self.complete = False  # whether every history within the budget was walked
        self._chance = random.Random(0)

    def _fresh(self, name: str, lasting: Lasting) -> Views:
        founders = [(member, "127.0.0.1:1") for member in NAMES]
        views = Views(name, lasting, STILL, self._chance, NOW, founders)
        views.trusted = True
        return views

    def _begin(self) -> _State:
        lives = {name: Life(1, index + 1, index + 1) for index, name in enumerate(NAMES)}
        configured = tuple(Configured(name, "127.0.0.1:1", lives[name].disk) for name in NAMES)
        members = tuple(Standing(name, lives[name], State.UP) for name in NAMES)
        first = View(Key(1, 1), "a", configured, members)
        views = {name: self._fresh(name, Lasting(lives[name], 1, 1, "a", first, first)) for name in NAMES}
        budget = self._budget
        keys = {name: _key_of(one) for name, one in views.items()}
        left = (budget.elections, budget.changes, budget.restarts, budget.wipes, budget.pages)
        return _State(views, keys, frozenset(), left)

    def walk(self) -> int:
        """The number of states seen. Errors: Broken, with the history that broke it."""
        begin = self._begin()
        seen = {begin.key}
        edge: list[tuple[_State, dict[tuple[int, int], View], tuple[str, ...]]] = [
            (begin, {(1, 0): begin.views["a"].lasting.agreed}, ())
        ]
        while edge and self.deepest < self._budget.depth:
            fresh = []
            self.deepest += 1
            for state, agreed, path in edge:
                for label, after in self._moves(state):
                    if after.key in seen:
                        continue
                    seen.add(after.key)
                    self.states = len(seen)
                    known = self._judge(after, agreed, (*path, label))
                    fresh.append((after, known, (*path, label)))
                if len(seen) >= self._states_most:
                    return len(seen)
            edge = fresh
        self.complete = not edge
        return len(seen)

    @staticmethod
    def _judge(state: _State, agreed: Agreed, path: tuple[str, ...]) -> Agreed:
        for one in state.views.values():
            view = one.lasting.agreed
            number = (view.number, view.key.entry)
            if view.number and agreed.get(number, view) != view:
                raise Broken(f"two views agreed as number {number} after {' '.join(path)}")
            if view.number and number not in agreed:
                agreed = {**agreed, number: view}
        return agreed

    def _moves(self, state: _State) -> list[tuple[str, _State]]:
        found: list[tuple[str, _State] | None] = []
        elections, changes, restarts, wipes, pages = state.left
        for name in NAMES:
            role = state.views[name].role
            if elections and role is not Role.LEADER:
                found.append(self._elect(state, name))
            if changes and role is Role.LEADER:
                found += [self._change(state, name, other) for other in NAMES if other != name]
            if pages and role is Role.LEADER:
                found.append(self._page(state, name))
            if restarts:
                found.append(self._restart(state, name))
            if wipes:
                found.append(self._wipe(state, name))
        for origin, to, frame in state.sent:
            found.append(self._deliver(state, origin, to, frame))
        return [move for move in found if move is not None]

    @staticmethod
    def _spend(state: _State, which: int) -> None:
        left = list(state.left)
        left[which] -= 1
        state.left = tuple(left)

    def _standings(self, state: _State, down: str = "") -> dict[str, Standing]:
        return {
            name: Standing(name, one.lasting.life, State.DOWN if name == down else State.UP)
            for name, one in state.views.items()
        }

    @staticmethod
    def _stepped(state: _State, name: str, sends: list[tuple[str, Frame]]) -> None:
        """The member synced its disk, then sent."""
        state.views[name].unsaved = False
        state.keys = {**state.keys, name: _key_of(state.views[name])}
        if sends:
            state.sent = state.sent | {(name, to, _plain(frame)) for to, frame in sends}

    def _elect(self, state: _State, name: str) -> tuple[str, _State] | None:
        if not state.views[name]._counts_here():
            return None
        after, one = state.with_one(name)
        self._spend(after, 0)
        one.role = Role.CANDIDATE
        one._write(term=one.lasting.term + 1, voted_for=name)
        one._votes = {name: one.lasting.life.disk}
        sends: list[tuple[str, Frame]] = []
        one._canvass(NOW, sends)
        self._stepped(after, name, sends)
        return f"elect:{name}", after

    def _change(self, state: _State, name: str, down: str) -> tuple[str, _State] | None:
        one = state.views[name]
        if one.lasting.accepted.key != one.lasting.agreed.key:
            return None
        after, one = state.with_one(name)
        self._spend(after, 1)
        one._differs_since = NOW - timedelta(seconds=10)
        sends: list[tuple[str, Frame]] = []
        one._look_for_changes(NOW, self._standings(after, down), sends)
        self._stepped(after, name, sends)
        return f"down:{name}:{down}", after

    def _page(self, state: _State, name: str) -> tuple[str, _State] | None:
        """The leader writes a page: one entry, named by who writes and when."""
        one = state.views[name]
        if one.lasting.accepted.key != one.lasting.agreed.key:
            return None
        after, one = state.with_one(name)
        self._spend(after, 4)
        one.scribe = _Writer(f"{name}{one.lasting.term}.{one.lasting.agreed.key.entry}")
        sends: list[tuple[str, Frame]] = []
        one.unsaved = False
        if not one._turn_page(NOW, sends):
            return None
        one.scribe = None
        self._stepped(after, name, sends)
        return f"page:{name}", after

    def _restart(self, state: _State, name: str) -> tuple[str, _State]:
        after, one = state.with_one(name)
        self._spend(after, 2)
        last = one.lasting
        life = replace(last.life, number=last.life.number + 1)
        after.views[name] = self._fresh(name, self.written(replace(last, life=life)))
        self._stepped(after, name, [])
        return f"restart:{name}", after

    def written(self, lasting: Lasting) -> Lasting:
        """What a disk gives back; a planted fault may forget some of it."""
        return lasting

    def _wipe(self, state: _State, name: str) -> tuple[str, _State]:
        after, one = state.with_one(name)
        self._spend(after, 3)
        last = one.lasting
        life = Life(last.life.number + 1, last.life.mark, last.life.disk + 10)
        after.views[name] = self._fresh(name, Lasting(life, 1, 0, "", BEFORE_ALL, BEFORE_ALL))
        self._stepped(after, name, [])
        return f"wipe:{name}", after

    def _deliver(self, state: _State, origin: str, to: str, frame: Frame) -> tuple[str, _State] | None:
        after, one = state.with_one(to)
        sends = one.heard(NOW, origin, frame)
        before = state.keys[to]
        self._stepped(after, to, sends)
        if after.keys[to] == before and after.sent == state.sent:
            return None
        return f"{type(frame).__name__}:{origin}>{to}", after
