"""What time it can be at most and at least. No I/O.

Each source (the own wall clock, each other member's) says an interval in which UTC lies: its reading, its
stated error, and the round trip in which it was taken. Marzullo's sweep (K. Marzullo and S. Owicki, 1983, as
in NTP, RFC 5905, 11.2.1) joins them, and the monotonic clock carries the result on, wider by the drift bound
with each second; the answer is an interval as that of TrueTime (Corbett et al., Spanner, OSDI 2012).

Assumed, and nothing else: within any `SAMPLE_AGE` fewer than half of the clocks of the fleet are outside of
their own stated error (of `n` at most `(n - 1) // 2`); a monotonic clock runs true to `drift` and goes on
while a machine sleeps (CLOCK_BOOTTIME). RFC 5905 looks for the interval that most sources share. That one can
leave UTC out although the assumption holds: two wrong clocks and the fringes of two right ones can outvote
the middle of three right ones. So the answer here spans all points that so many sources share as must be
right. With few heard it can be wide; then it is bounded, and of little use until more are heard.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from .calendar import MICROSECOND

SOURCES_MOST = 1_000
STEP_LEAST = timedelta(milliseconds=128)  # STEPT of RFC 5905: less is slewed
SLEW_PPM = 500  # a wall clock that is slewed runs so far from the monotonic one at most
DRIFT_PPM = 200
SAMPLE_AGE = timedelta(seconds=60)  # an older one is not asked: it may be of a clock that was set meanwhile


class Interval(NamedTuple):
    """UTC lies in it, both ends included. Microseconds since 1970."""

    earliest: int
    latest: int


def agreed(intervals: Iterable[tuple[int, int]], clocks: int) -> tuple[int, int] | None:
    """The span of all points that enough of these intervals share, of a fleet of so many clocks.

    Enough: all but those that may be wrong, of which `clocks` allow `(clocks - 1) // 2`. None where too few
    are heard, or where no point is shared by enough.
    """
    edges: list[tuple[int, int]] = []
    heard = 0
    for low, high in intervals:
        heard += 1
        edges += ((low, 0), (high, 1))  # at one point a begin comes before an end: ends are included
    enough = heard - (clocks - 1) // 2
    if enough < 1:
        return None
    edges.sort()
    lowest = highest = None
    over = 0
    for at, ends in edges:
        if ends:
            if over >= enough:
                highest = at
            over -= 1
        else:
            over += 1
            if over >= enough and lowest is None:
                lowest = at
    return None if lowest is None or highest is None else (lowest, highest)


class _Sample(NamedTuple):
    low: int  # of UTC less the own monotonic clock, when it was taken
    high: int
    at: int  # monotonic


class BoundedClock:
    """One member's own. `stated`: how far its wall clock says that it can be off."""

    def __init__(self, clocks: int, stated: timedelta, drift_ppm: int = DRIFT_PPM) -> None:
        self.clocks, self.stated, self.drift_ppm = clocks, stated, drift_ppm
        self.steps = 0  # of the own wall clock
        self.stepped = timedelta(0)  # by how much, the last time
        self.torn = 0  # times that the sources said what the interval so far rules out
        self._samples: dict[str, _Sample] = {}
        self._own: tuple[int, int] | None = None  # wall and monotonic, of the last look
        self._held: _Sample | None = None
        self._due = True

    def heard(self, source: str, wall_us: int, error: timedelta, asked: timedelta, came: timedelta) -> None:
        """Another member's wall clock, asked at and answered by these points of the own monotonic clock.

        What cannot be (an answer before its question, an error below zero) is not taken.
        """
        if came < asked or error < timedelta(0) or not 0 <= wall_us < 2**53:
            return
        if source not in self._samples and len(self._samples) >= SOURCES_MOST:
            return
        off = error // MICROSECOND
        begun, ended = asked // MICROSECOND, came // MICROSECOND
        self._samples[source] = _Sample(wall_us - off - ended, wall_us + off - begun, ended)
        self._due = True

    def keep(self, sources: Iterable[str], clocks: int) -> None:
        """Who is configured now, this member counted in `clocks`."""
        wanted = set(sources)
        self._samples = {name: sample for name, sample in self._samples.items() if name in wanted}
        self.clocks, self._due = clocks, True

    def now(self, wall_us: int, mono: timedelta) -> Interval | None:
        """What UTC can be; None while it cannot be bounded."""
        at = mono // MICROSECOND
        self._look(wall_us, at)
        if self._due:
            self._due = False
            self._join(at)
        held = self._held
        if held is None:
            return None
        wider = (at - held.at) * self.drift_ppm // 1_000_000 + 1
        return Interval(at + held.low - wider, at + held.high + wider)

    def _look(self, wall_us: int, at: int) -> None:
        if self._own is not None:
            wall, before = self._own
            by = (wall_us - wall) - (at - before)
            if abs(by) > STEP_LEAST // MICROSECOND + (at - before) * SLEW_PPM // 1_000_000:
                self.steps += 1
                self.stepped = by * MICROSECOND
                self._due = True
        self._own = wall_us, at

    def _join(self, at: int) -> None:
        assert self._own is not None
        wall, _ = self._own
        off = self.stated // MICROSECOND
        spans = [(wall - off - at, wall + off - at)]
        for low, high, taken in self._samples.values():
            if at - taken > SAMPLE_AGE // MICROSECOND:
                continue  # what followed from it is in what is held
            wider = (at - taken) * self.drift_ppm // 1_000_000 + 1
            spans.append((low - wider, high + wider))
        found = agreed(spans, self.clocks)
        if found is None:
            return  # what is held goes on, wider and wider
        low, high = found
        if self._held is not None:
            wider = (at - self._held.at) * self.drift_ppm // 1_000_000 + 1
            narrow = max(low, self._held.low - wider), min(high, self._held.high + wider)
            if narrow[0] <= narrow[1]:
                low, high = narrow
            else:
                self.torn += 1  # one of the two broke the assumption: the newer one is believed
        self._held = _Sample(low, high, at)
