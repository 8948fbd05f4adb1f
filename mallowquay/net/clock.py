"""The clock of the program, and the one timer that drives the core."""

from __future__ import annotations

import time
from datetime import timedelta

from tornado.ioloop import IOLoop

from ..core.calls import Calls
from ..core.model import Clock

POINTS_MOST = 4096  # starts of log servers that are remembered as they were told
STEP_LEAST = timedelta(milliseconds=1)  # as fine as starts are told: a wall clock off by less has not stepped


def monotonic() -> timedelta:
    """Time since an arbitrary start; only advances."""
    return timedelta(microseconds=time.monotonic_ns() // 1000)


def wall_clock() -> timedelta:
    """Time since 1970; may be set, and then steps."""
    return timedelta(microseconds=time.time_ns() // 1000)


class UnixTime:
    """Turns Unix milliseconds into points of the monotonic clock; a step of the wall clock is followed.

    What was told once has the same point ever after: a wall clock that steps makes no start a new one.
    Without a step, starts are as far apart as they were told, also if this process stands still between
    its readings of the two clocks.
    """

    def __init__(self, wall: Clock = wall_clock, clock: Clock = monotonic) -> None:
        self._wall, self._clock = wall, clock
        self._held = wall() - clock()
        self._points: dict[int, timedelta] = {}  # by what was told; the oldest first
        self._told: dict[timedelta, int] = {}  # the other way round

    def point(self, unix_ms: int) -> timedelta | None:
        """The point on the monotonic clock; None for 0, a start long ago."""
        if not unix_ms:
            return None
        point = self._points.get(unix_ms)
        if point is None:
            point = timedelta(milliseconds=unix_ms) - self._offset()
            if len(self._points) >= POINTS_MOST:
                self._told.pop(self._points.pop(next(iter(self._points))), None)
            self._points[unix_ms], self._told[point] = point, unix_ms
        return point

    def milliseconds(self, point: timedelta | None) -> int:
        """The Unix milliseconds of a point that `point` gave."""
        if point is None:
            return 0
        told = self._told.get(point)
        return round((point + self._offset()) / timedelta(milliseconds=1)) if told is None else told

    def _offset(self) -> timedelta:
        """From the monotonic clock to the wall clock; the one held, if it lies within what was read."""
        before, wall, after = self._clock(), self._wall(), self._clock()
        if not wall - after - STEP_LEAST < self._held < wall - before + STEP_LEAST:
            self._held = wall - after
        return self._held


# A timer that is late by this much says that this process was stopped (SIGSTOP, no core), or had much to do.
LATE = timedelta(milliseconds=20)


class Metronome:
    """Calls Calls.tick when something is due: one timer of the loop at a time.

    One that is late lets go first what has been read meanwhile: an answer that came in time, or the end of
    the caller, counts before a timeout or a further attempt.
    """

    def __init__(self, loop: IOLoop, calls: Calls) -> None:
        self._loop, self._calls = loop, calls
        self._waited = False  # a turn, for what had been read
        self._handle: object | None = None
        self._due: timedelta | None = None
        calls.wake = self.wake
        self.wake()

    def wake(self) -> None:
        """Set the timer to the next due time."""
        due = self._calls.next_due()
        if due == self._due:
            return
        if self._handle is not None:
            self._loop.remove_timeout(self._handle)
        self._handle, self._due = None, due
        if due is not None:
            self._handle = self._loop.add_timeout(max(due - monotonic(), timedelta(0)), self._tick)

    def _tick(self) -> None:
        if not self._waited and self._due is not None and monotonic() - self._due >= LATE:
            self._waited = True
            self._handle = self._loop.add_timeout(timedelta(0), self._tick)
            return
        self._handle, self._due, self._waited = None, None, False
        self._calls.tick()
        self.wake()
