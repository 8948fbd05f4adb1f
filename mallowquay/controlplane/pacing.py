"""When proxies hear of a change: drains at once, the rest gathered, weights where they matter. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..core.model import Level, Rating, Server, ServerStatus

WEIGHT_MOST = 100
SECOND = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Pace:
    """`gather`: how long changes are gathered; `band`: by what part a weight must move; changes a second."""

    gather: timedelta = timedelta(milliseconds=20)
    band: float = 0.2
    changes_per_s: float = 2.0


@dataclass(frozen=True, slots=True)
class Shown:
    """One log server as proxies are to see it; `weight` 1 to WEIGHT_MOST."""

    server: Server
    level: Level
    weight: int

    @property
    def draining(self) -> bool:
        """Nothing new may go there."""
        return self.server.status is not ServerStatus.READY


class Board:
    """What proxies are shown, and when it is to be told anew."""

    def __init__(self, pace: Pace) -> None:
        self._pace = pace
        self.shown: dict[str, Shown] = {}
        self.withdrawn = 0  # Unix milliseconds of the newest drain or removal
        self.alarm: str | None = None  # what on-call staff are to know of the list
        self._due: timedelta | None = None
        self._budget, self._budget_at = 1.0, timedelta(0)

    def due(self) -> timedelta | None:
        """When what is shown is to be told, if it has changed."""
        return self._due

    def told(self) -> None:
        """It has been told."""
        self._due = None

    def list_told(self, servers: Iterable[Server], now: timedelta, unix_ms: int) -> None:
        """The list as it is now; what is withdrawn is due at once."""
        listed = {server.id: server for server in servers if server.status is not ServerStatus.GONE}
        gone = self.shown.keys() - listed.keys()
        drained = {
            name
            for name, server in listed.items()
            if server.status is not ServerStatus.READY
            and (name not in self.shown or not self.shown[name].draining)
        }
        before = self.shown
        self.shown = {
            name: Shown(server, before[name].level, before[name].weight)
            if name in before
            else Shown(server, Level.NORMAL, WEIGHT_MOST)
            for name, server in sorted(listed.items())
        }
        if gone or drained:
            self.withdrawn = max(self.withdrawn + 1, unix_ms)
            self._due = now
        elif self.shown != before:
            self._later(now)
        ready = sum(not one.draining for one in self.shown.values())
        self.alarm = None
        if not self.shown:
            self.alarm = "the list names no log server"
        elif not ready:
            self.alarm = f"all {len(self.shown)} log servers drain"

    def rated(self, ratings: Iterable[Rating], now: timedelta) -> None:
        """The module's ratings, past the dead band and within the limit on changes a second."""
        known = [rating for rating in ratings if rating.server in self.shown]
        most = max((rating.takes for rating in known), default=0.0)
        changed: dict[str, Shown] = {}
        for rating in known:
            one = self.shown[rating.server]
            weight = max(1, round(WEIGHT_MOST * rating.takes / most)) if most > 0 else WEIGHT_MOST
            moved = abs(weight - one.weight) > self._pace.band * one.weight
            if rating.level is not one.level or moved:
                changed[rating.server] = Shown(one.server, rating.level, weight)
        if changed and self._allowed(now):
            self.shown = {name: changed.get(name, one) for name, one in self.shown.items()}
            self._later(now)

    def _allowed(self, now: timedelta) -> bool:
        earned = (now - self._budget_at) / SECOND * self._pace.changes_per_s
        self._budget, self._budget_at = min(1.0, self._budget + earned), now
        if self._budget < 1.0:
            return False
        self._budget = 0.0
        return True

    def _later(self, now: timedelta) -> None:
        due = now + self._pace.gather
        self._due = due if self._due is None else min(self._due, due)
