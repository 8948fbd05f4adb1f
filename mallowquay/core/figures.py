"""The figures of the process, counted from its start."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import Any, Protocol

from .model import Load, Request, Verdict


class Watch(Protocol):
    """Is told of each request where the figures count it; `now` is a point of the core's clock."""

    def offered(self, request: Request, now: timedelta) -> None:
        """A request was taken, or turned away at once."""

    def answered(self, request: Request, verdict: Verdict, now: timedelta) -> None:
        """It had its final answer."""

    def over(self, request: Request, stood_at: timedelta, now: timedelta) -> None:
        """A call that stood has come to its end."""

    def load_told(self, server: str, load: Load) -> None:
        """A log server told its load."""


class Figures:
    """How requests ended, by class, and the attempts that were written whole."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._classes = dict.fromkeys(classes)
        self._ended: Counter[tuple[str, Verdict]] = Counter()
        self.attempts = 0
        self.watch: Watch | None = None

    def name(self, classes: Iterable[str]) -> None:
        """Classes that are told from the start, with 0; those of before keep their counts."""
        self._classes |= dict.fromkeys(classes)

    def offered(self, request: Request, now: timedelta) -> None:
        """A request came."""
        if self.watch is not None:
            self.watch.offered(request, now)

    def ended(self, request: Request, verdict: Verdict, now: timedelta) -> None:
        """A request had its final answer."""
        self._ended[request.class_name, verdict] += 1
        if self.watch is not None:
            self.watch.answered(request, verdict, now)

    def over(self, request: Request, stood_at: timedelta | None, now: timedelta) -> None:
        """A call that stood is over; one that came to stand in a process before has no beginning here."""
        if self.watch is not None and stood_at is not None:
            self.watch.over(request, stood_at, now)

    def load_told(self, server: str, load: Load) -> None:
        """A log server told its load."""
        if self.watch is not None:
            self.watch.load_told(server, load)

    def told(self) -> dict[str, Any]:
        """The counts under the names that operators know."""
        return {
            "completed": self._of(Verdict.STANDS),
            "rejected": self._of(Verdict.REFUSED),
            "failed": self._of(Verdict.FAILED, Verdict.BAD),
            "upstream_requests": self.attempts,
        }

    def _of(self, *verdicts: Verdict) -> dict[str, int]:
        return {name: sum(self._ended[name, verdict] for verdict in verdicts) for name in self._classes}
