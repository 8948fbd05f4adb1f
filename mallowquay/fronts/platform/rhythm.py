"""The even gaps at which a log server tells its free lines, and when a word of them is missed. No I/O."""

from __future__ import annotations

from datetime import timedelta

LATE_WORD = 0.3  # a word of free lines is missed when it is late by this part of the usual gap,
LATE_LEAST = timedelta(milliseconds=150)  # or by this, and nothing else has come for as long
GAP_UNKNOWN = timedelta(seconds=2)
GAP_MEMORY = 0.1
# A log server that drains tells nothing more, and the list may say so seconds later: each connection that
# falls mute after one that did gets twice the time, up to this many times as much.
PATIENCE_MOST = 8


class Rhythm:
    """Words of one log server, over all the connections to it."""

    def __init__(self) -> None:
        self._opened_at: timedelta | None = None
        self._told_at: timedelta | None = None  # on this connection
        self._words = 0  # on this connection
        self.gap: timedelta | None = None  # how long they are usually apart
        self._patience = 1

    def opened(self, now: timedelta) -> None:
        """A new connection is up."""
        self._opened_at, self._told_at, self._words = now, None, 0

    def told(self, now: timedelta) -> None:
        """A word of free lines has come.

        The first on a connection comes because it is new, in between the even ones: from it to the next is
        any part of a gap, and says nothing of how long they are apart.
        """
        before, self._told_at = self._told_at, now
        self._words += 1
        if before is None or self._words <= 2:
            return
        # One that came when it was overdue already, and on a connection that was kept all the same, is that
        # of a process here that stood still: it says no more than that the next word was missed.
        gap, usual = min(now - before, sum(self._overdue(), timedelta(0))), self.gap or timedelta(0)
        self.gap = max(gap, usual + (gap - usual) * GAP_MEMORY)
        self._patience = 1

    def missed(self, now: timedelta, heard_at: timedelta) -> bool:
        """Whether the next word is overdue; `heard_at`: when anything has come last from this log server."""
        if self._opened_at is None:
            return False
        gap, late = self._overdue()
        since = self._opened_at if self._told_at is None else self._told_at
        return now - since >= gap + late and now - max(heard_at, self._opened_at) >= late

    def _overdue(self) -> tuple[timedelta, timedelta]:
        gap = (self.gap or GAP_UNKNOWN) * self._patience
        return gap, max(gap * LATE_WORD, LATE_LEAST)

    def mute(self) -> None:
        """The connection is left because a word was missed."""
        self._patience = min(2 * self._patience, PATIENCE_MOST)
