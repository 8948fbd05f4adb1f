"""The book on the real links and the real clock."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

import structlog

from ..core.model import Clock
from ..fleet.node import Node
from ..fleet.views import Role
from .kinds import KINDS
from .model import Change, Entry, Outcome, digest
from .scribe import Scribe

log = structlog.get_logger(part=__name__)

CHANNEL = "book"
MILLISECOND = timedelta(milliseconds=1)


class BookNode:
    """What the parts on the book go by, in one process."""

    def __init__(self, fleet: Node, clock: Clock) -> None:
        self._fleet, self._clock = fleet, clock
        self.scribe = Scribe(fleet.name)
        self._mark = secrets.token_hex(4)
        self._asked = 0
        fleet.channel(CHANNEL, self._heard)
        fleet.on_begun.append(lambda: fleet.member.write_with(self.scribe))
        fleet.on_step.append(self._step)

    # --- for the parts

    def entries(self, kind: str) -> Mapping[str, Entry]:
        """The agreed entries of a kind, by name."""
        return self.scribe.entries(kind)

    @property
    def last(self) -> int:
        """The number of the newest agreed change that is known here."""
        return self.scribe.last

    def age(self) -> timedelta | None:
        """How old what is known here can be at most; None: nothing is known yet."""
        return self._fleet.member.views.age(self._clock()) if self.catch_up() else None

    def catch_up(self) -> bool:
        """What the member knows as agreed is what readers see; False where it is not on disk yet."""
        member = self._fleet.member
        if member.unsaved:
            return False
        self.scribe.agreed(member.lasting.agreed, self._leads())
        return True

    def leads(self) -> bool:
        """Whether this member leads the view, and may act on it."""
        return self._leads() and self._fleet.holds() is not None

    def watch(self, kind: str, told: Callable[[], None]) -> None:
        """`told` is called after each change of this kind's entries."""
        self.scribe.watch(kind, told)

    def change(
        self, kind: str, name: str, body: bytes | None, expect: int | None = None, owned: bool = False
    ) -> Change:  # fmt: skip
        """A change with an id of its own; `owned`: the entry goes with this life of this member."""
        self._asked += 1
        life = self._fleet.member.life
        owner, mark = (self._fleet.name, life.mark) if owned else ("", 0)
        return Change(f"{self._mark}-{self._asked:x}", kind, name, body, expect, owner, mark)

    def submit(self, change: Change, told: Callable[[Outcome], None] | None = None) -> None:
        """Ask for a change. Errors: BookFault, BookFull."""
        self.scribe.submit(self._clock(), change, told or _log_failure)
        self._fleet.later(self._step)

    # --- time and messages

    def _leads(self) -> bool:
        return self._fleet.member.views.role is Role.LEADER

    def _step(self) -> None:
        member, scribe = self._fleet.member, self.scribe
        if self.catch_up():
            scribe.tick(self._clock(), member.views.leader or (self._fleet.name if self._leads() else ""))
            if scribe.turns and self._leads():
                self._fleet.turn_page()
        sends, scribe.sends = scribe.sends, []
        for name, data in sends:
            self._fleet.carry(name, CHANNEL, data)

    def _heard(self, name: str, data: bytes) -> None:
        self.scribe.heard(name, data, self._leads())
        self._step()

    # --- for people

    def told(self) -> dict[str, Any]:
        """What this member holds, for `/book`."""
        age = self.age()  # first: what is shown is of this age
        pages = self.scribe.pages
        counts: dict[str, int] = {}
        for entry in pages.entries:
            counts[entry.kind] = counts.get(entry.kind, 0) + 1
        book = self.scribe.data  # what `last` is of: the member may have agreed on more since
        return {
            "last": pages.last,
            "entries": counts,
            "unknown_kinds": sorted(set(counts) - set(KINDS)),
            "bytes": len(book),
            "digest": f"{digest(book):016x}",
            "age_ms": None if age is None else round(age / MILLISECOND),
            "leads": self._leads(),
            "written": self.scribe.written,
            "refused": self.scribe.refused,
            "unreadable": self.scribe.unreadable,
            "notes": {name: one.body.decode(errors="replace") for name, one in self.entries("note").items()},
            "numbers": {f"{entry.kind}/{entry.name}": entry.number for entry in pages.entries[:SHOWN_MOST]},
        }


SHOWN_MOST = 500


def _log_failure(outcome: Outcome) -> None:
    if not outcome.done:
        log.warning("book_change_not_made", change=outcome.id, code=outcome.code, fault=outcome.fault)
