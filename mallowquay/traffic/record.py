"""The record of traffic: what is counted in an interval, and the form in which it is kept. No I/O, no clock.

Figures of an interval belong to the time in which they were seen: a call offered at its end stands in the
next one. Histograms are HdrHistogram's V2 form in base 64, of milliseconds, with two digits.
"""

from __future__ import annotations

from datetime import timedelta

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from ..core.model import Load, Request, Verdict
from ..errors import Fault

MILLISECOND = timedelta(milliseconds=1)
SPAN_MOST_MS = 24 * 3600 * 1000
DIGITS = 2
SERVERS_MOST = 10_000  # log servers whose lines are kept
CLASSES_MOST = 256  # classes that are told apart; what comes under others is counted as the last


class ClassInterval(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One class in one interval. `offered` has further tries in it, `again` counts them alone."""

    offered: int = 0
    again: int = 0
    stood: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0  # the caller gave up before an answer
    ended: int = 0  # calls that had stood and came to their end
    calls_mean: float = 0.0  # calls that stand at once, over the time of the interval
    calls_square: float = 0.0  # the mean of its square
    calls_most: int = 0
    setup: str = ""  # milliseconds from set-up to answer of those that stood
    hold: str = ""  # milliseconds that calls stood


class Interval(Struct, frozen=True, forbid_unknown_fields=True):
    """One interval; `at_ms` counts from the header's start."""

    at_ms: int
    span_ms: float
    lines: int  # of all log servers that told theirs
    servers: int  # that told their lines
    classes: dict[str, ClassInterval]


class Header(Struct, frozen=True, forbid_unknown_fields=True):
    """The start of a process that records."""

    mallowquay_traffic: int
    started_unix_ms: int
    interval_ms: int
    classes: list[str]


VERSION = 1


class TrafficFault(Fault, ValueError):
    """A file cannot be read as a record of traffic; `where` is the file, with the line where it is a line."""

    code = "traffic.unreadable"
    remedy = (
        "Name a file that `[traffic] file` wrote; one that is damaged is whole up to the line before this "
        "one."
    )


def histogram() -> HdrHistogram:
    """An empty histogram of milliseconds."""
    return HdrHistogram(1, SPAN_MOST_MS, DIGITS)


def decoded(text: str) -> HdrHistogram:
    """A histogram as it was kept; "" is an empty one. Errors: TrafficFault for what is none."""
    whole = histogram()
    if text:
        try:
            whole.decode_and_add(text)
        except Exception as fault:  # the library raises whatever its parts raise on foreign bytes
            raise TrafficFault(f"no histogram: {fault}", "histogram") from None
    return whole


def _note(counts: HdrHistogram, span: timedelta) -> None:
    counts.record_value(min(max(1, round(span / MILLISECOND)), SPAN_MOST_MS))


class ClassCounts:
    """One class while its interval is open."""

    def __init__(self, now: timedelta, calls: int) -> None:
        self.counts = dict.fromkeys(("offered", "again", "stood", "refused", "failed", "left", "ended"), 0)
        self.setup, self.hold = histogram(), histogram()
        self.began = self.at = now
        self.calls = self.most = calls
        self.area = self.square = 0.0  # calls x ms, calls^2 x ms

    def move(self, now: timedelta, change: int = 0) -> None:
        """Time has passed, and so many calls more stand now."""
        span = (now - self.at) / MILLISECOND
        self.area += self.calls * span
        self.square += self.calls * self.calls * span
        self.at = now
        self.calls += change
        self.most = max(self.most, self.calls)

    def close(self, now: timedelta) -> ClassInterval:
        """What is kept of it."""
        self.move(now)
        span = max((now - self.began) / MILLISECOND, 1e-9)
        return ClassInterval(
            **self.counts,
            calls_mean=round(self.area / span, 4),
            calls_square=round(self.square / span, 4),
            calls_most=self.most,
            setup=_encoded(self.setup),
            hold=_encoded(self.hold),
        )


def _encoded(counts: HdrHistogram) -> str:
    return counts.encode().decode() if counts.get_total_count() else ""


ENDS = {
    Verdict.STANDS: "stood",
    Verdict.REFUSED: "refused",
    Verdict.FAILED: "failed",
    Verdict.BAD: "failed",
    Verdict.CANCELLED: "left",
}


class Recorder:
    """Counts what the core tells; `cut` closes an interval. Memory: one interval, whatever the load."""

    def __init__(self, started: timedelta) -> None:
        self._started = self._began = started
        self._classes: dict[str, ClassCounts] = {}
        self._lines: dict[str, int] = {}

    def _of(self, name: str, now: timedelta) -> ClassCounts:
        counts = self._classes.get(name)
        if counts is None:
            if len(self._classes) >= CLASSES_MOST:
                return next(reversed(self._classes.values()))
            counts = self._classes[name] = ClassCounts(self._began, 0)
            counts.move(now)
        return counts

    def offered(self, request: Request, now: timedelta) -> None:
        """See core.figures.Watch."""
        counts = self._of(request.class_name, now).counts
        counts["offered"] += 1
        counts["again"] += request.redialled

    def answered(self, request: Request, verdict: Verdict, now: timedelta) -> None:
        """See core.figures.Watch."""
        kind = self._of(request.class_name, now)
        kind.counts[ENDS[verdict]] += 1
        if verdict is Verdict.STANDS:
            kind.move(now, +1)
            _note(kind.setup, now - request.taken_at)

    def over(self, request: Request, stood_at: timedelta, now: timedelta) -> None:
        """See core.figures.Watch."""
        kind = self._of(request.class_name, now)
        kind.move(now, -1)
        kind.counts["ended"] += 1
        _note(kind.hold, now - stood_at)

    def load_told(self, server: str, load: Load) -> None:
        """See core.figures.Watch."""
        lines = load.get("size")
        if lines is not None and lines >= 0 and (server in self._lines or len(self._lines) < SERVERS_MOST):
            self._lines[server] = int(min(lines, 2**31))

    def cut(self, now: timedelta) -> Interval:
        """Close the interval, and open the next one with the calls that stand."""
        interval = Interval(
            at_ms=round((self._began - self._started) / MILLISECOND),
            span_ms=round((now - self._began) / MILLISECOND, 3),
            lines=sum(self._lines.values()),
            servers=len(self._lines),
            classes={name: counts.close(now) for name, counts in self._classes.items()},
        )
        # A class without a call standing is opened anew when one comes: names never grow without bound.
        self._classes = {
            name: ClassCounts(now, counts.calls) for name, counts in self._classes.items() if counts.calls
        }
        self._lines.clear()
        self._began = now
        return interval
