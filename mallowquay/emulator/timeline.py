"""Virtual time: events in order, and a clock for the core."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from datetime import timedelta
from itertools import count

SECOND = 1_000_000  # microseconds: the unit of all points of time in here


class Timeline:
    """Runs events in the order of their times, and of their entry where those are the same."""

    def __init__(self) -> None:
        self.now = 0
        self._point = timedelta(0)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()

    def clock(self) -> timedelta:
        """The time as the core knows it."""
        return self._point

    def at(self, when: int, event: Callable[[], None]) -> None:
        """Have an event at a point of time, or now if it has passed."""
        heapq.heappush(self._events, (max(when, self.now), next(self._order), event))

    def after(self, span: float, event: Callable[[], None]) -> None:
        """Have an event so many microseconds from now."""
        self.at(self.now + round(span), event)

    def run(self, until: int) -> None:
        """Let time pass."""
        events = self._events
        while events and events[0][0] <= until:
            when, _, event = heapq.heappop(events)
            if when != self.now:
                self.now, self._point = when, timedelta(microseconds=when)
            event()
        self.now, self._point = until, timedelta(microseconds=until)
