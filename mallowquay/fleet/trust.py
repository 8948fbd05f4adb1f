"""Whether a member's own disk can be believed after a start. No I/O; time is an argument.

A disk may be empty, or a copy of an earlier day. Either has forgotten votes, so the member must not vote as
if it remembered. After each start it asks the others what they know of its name: how its last life was
numbered and how often its disk was written. Anybody who knows more than the disk does proves it old; then
the disk is begun anew, and the member counts to majorities once the others have agreed on that (`views.py`).

An old disk is noticed unless every one that knew better is unreachable for the whole question. What a
majority had been promised is known to as many others as the fleet bears losses, so an old disk that passes
counts as a loss beyond those that are borne.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from .model import Ask, Frame, Known, Lasting, Life

MILLISECOND = timedelta(milliseconds=1)
ASK_AGAIN = 200 * MILLISECOND


class Trust(Enum):
    """What has come out so far."""

    ASKING = "asking"
    TRUSTED = "trusted"
    OLD = "old"  # somebody knows more than the disk does


@dataclass(frozen=True, slots=True)
class Memory:
    """What one member remembers of another's disk."""

    life: Life
    writes: int


class Question:
    """The question that a start begins with."""

    def __init__(
        self, name: str, before: Lasting | None, life: Life, others: Iterable[str], least: timedelta,
        now: timedelta,
    ) -> None:  # fmt: skip
        self.name, self.life, self._before = name, life, before
        self._others = set(others) - {name}
        self._answers: dict[str, Known] = {}
        self._least_until = now + least
        self._ask_at = now
        self.status = Trust.ASKING
        self.latest = life.number  # the greatest number of a life of this name that anybody knows

    @property
    def next_due(self) -> timedelta:
        """When `tick` has something to do."""
        return self._ask_at

    @property
    def _wanted(self) -> int:
        """Answers that make a majority together with this member."""
        return (len(self._others) + 1) // 2

    @property
    def all_blank(self) -> bool:
        """Whether every other one has answered, and none knows of a view."""
        answers = self._answers
        return self._others <= set(answers) and all(answers[name].blank for name in self._others)

    def configure(self, names: Iterable[str]) -> None:
        """The members are these from now on."""
        self._others = set(names) - {self.name}

    def tick(self, now: timedelta, writes: int) -> list[tuple[str, Frame]]:
        """Ask whoever has not answered."""
        if self.status is not Trust.ASKING or now < self._ask_at:
            return []
        self._ask_at = now + ASK_AGAIN
        self._settle(now)
        missing = sorted(self._others - set(self._answers))
        return [(name, Ask(self.life, writes)) for name in missing]

    def heard(self, now: timedelta, name: str, known: Known) -> None:
        """An answer."""
        if known.asked != self.life.mark or name not in self._others:
            return  # to an earlier life
        self._answers[name] = known
        later = known.life.number > self.life.number
        other = known.life.number == self.life.number and known.life.mark != self.life.mark
        if later or other:
            self.outdone(known.life)
        elif self._before is not None and known.life.number == self._before.life.number:
            if known.life.mark != self._before.life.mark or known.writes > self._before.writes:
                self.status = Trust.OLD
        self._settle(now)

    def outdone(self, life: Life) -> None:
        """There is a later life of this name than the one on this disk."""
        self.latest = max(self.latest, life.number)
        self.status = Trust.OLD

    def _settle(self, now: timedelta) -> None:
        if self.status is not Trust.ASKING or now < self._least_until:
            return
        # Who has no view knows of no vote: its answer does not count, save where all begin together.
        counted = sum(not known.blank for known in self._answers.values())
        if counted >= self._wanted or self.all_blank or not self._others:
            self.status = Trust.TRUSTED
