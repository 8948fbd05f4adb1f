"""Which adopted calls are ended when. No I/O; time is an argument.

Where a lost machine's addresses stay with it (`addresses = "stay"`) nobody can reach whoever adopted
its calls: neither the caller's release nor the log server's comes any more. What is owed then is an end
in order on both sides, after a stated hold, and never a call that hangs. Releases are work for a log
server, so they are paced by what the module thinks of it; within a stated time all are sent all the
same.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from ..core.model import Level

SECOND = timedelta(seconds=1)
BURST = 0.1  # of a second's releases may leave at once
CALLS_MOST = 100_000


@dataclass(frozen=True, slots=True)
class PlanTerms:
    """Spans and paces."""

    hold: timedelta  # from the adoption: calls that end by themselves meanwhile need nothing
    within: timedelta  # from the end of the hold; then all are sent, whatever the pace
    normal_per_s: float = 400.0  # releases a second to a log server that the module thinks well of
    warning_per_s: float = 100.0
    critical_per_s: float = 20.0

    def pace(self, level: Level | None) -> float:
        """Releases a second; one that the module does not know is treated with care."""
        if level is Level.NORMAL:
            return self.normal_per_s
        return self.critical_per_s if level is Level.CRITICAL else self.warning_per_s


@dataclass(slots=True)
class _Server:
    """The calls that wait for one log server's turn."""

    waiting: list[tuple[int, str]] = field(default_factory=list)  # when it began, its id: the oldest first
    ready: list[tuple[timedelta, int, str]] = field(default_factory=list)  # by the end of its hold
    tokens: float = 0.0
    filled_at: timedelta | None = None
    late_from: timedelta | None = None  # when the first of those that wait is overdue


class Plan:
    """All adopted calls of one survivor, until their ends are sent."""

    def __init__(self, terms: PlanTerms) -> None:
        self._terms = terms
        self._servers: dict[str, _Server] = {}
        self._known: dict[str, str] = {}
        self.adopted = self.ended = self.dropped = 0

    def __len__(self) -> int:
        return len(self._known)

    def adopt(self, now: timedelta, call: str, server: str, began_ms: int) -> bool:
        """A call is this survivor's to end; False for one that it has, or for want of room."""
        if call in self._known:
            return False
        if len(self._known) >= CALLS_MOST:
            self.dropped += 1
            return False
        self._known[call] = server
        self.adopted += 1
        one = self._servers.setdefault(server, _Server())
        heapq.heappush(one.ready, (now + self._terms.hold, began_ms, call))
        return True

    def over(self, call: str) -> None:
        """It ended by itself."""
        self._known.pop(call, None)

    def due(self, now: timedelta, levels: Mapping[str, Level]) -> list[str]:
        """The calls whose ends are sent now, on both sides; they are this machine's no more."""
        found: list[str] = []
        for name, one in list(self._servers.items()):
            self._turn(now, one, levels.get(name), found)
            if not one.waiting and not one.ready:
                del self._servers[name]
        return found

    def _turn(self, now: timedelta, one: _Server, level: Level | None, found: list[str]) -> None:
        while one.ready and one.ready[0][0] <= now:
            _, began, call = heapq.heappop(one.ready)
            heapq.heappush(one.waiting, (began, call))
        if not one.waiting:
            one.filled_at = one.late_from = None
            one.tokens = 0.0
            return
        if one.late_from is None:
            one.late_from = now + self._terms.within
        left = max((one.late_from - now) / SECOND, 0.0)
        # As fast as the log server bears it, or as all that waits needs to be through in time.
        pace = max(self._terms.pace(level), len(one.waiting) / left if left > 0 else float(len(one.waiting)))
        span = 0.0 if one.filled_at is None else (now - one.filled_at) / SECOND
        one.tokens = min(one.tokens + pace * span, max(1.0, pace * BURST)) if one.filled_at else 1.0
        one.filled_at = now
        if left <= 0:
            one.tokens = float(len(one.waiting))
        while one.waiting and one.tokens >= 1:
            _, call = heapq.heappop(one.waiting)
            if self._known.pop(call, None) is not None:
                one.tokens -= 1
                self.ended += 1
                found.append(call)
