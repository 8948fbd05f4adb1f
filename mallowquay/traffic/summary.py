"""What a record says of its traffic as a whole: rates, shares, means, and how rough it is. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from hdrh.histogram import HdrHistogram

from .record import ClassInterval, Interval, TrafficFault, decoded, histogram

MILLISECOND = timedelta(milliseconds=1)
NOTHING = ClassInterval()


@dataclass(frozen=True, slots=True)
class ClassSummary:
    """One class over a record. Rates are a second; `load` is erlang of first tries, all of them carried.

    `again_share`: of the tries that did not stand, how many were dialled again. `peakedness`: variance over
    mean of the calls that stand at once; None where too little was seen of them.
    """

    name: str
    offered: int
    again: int
    stood: int
    refused: int
    failed: int
    left: int
    rate: float
    again_share: float
    loss: float
    setup_mean: timedelta
    setup_p95: timedelta
    hold: timedelta
    load: float
    calls_mean: float
    calls_most: int
    peakedness: float | None

    @property
    def first(self) -> int:
        """First tries."""
        return self.offered - self.again


@dataclass(frozen=True, slots=True)
class Summary:
    """A record as a whole."""

    span: timedelta
    intervals: int
    servers: int  # log servers that told their lines, at most
    lines: int  # lines of a log server, by what they told
    classes: tuple[ClassSummary, ...]


def merged(parts: Iterable[str]) -> HdrHistogram:
    """Several kept histograms as one."""
    whole = histogram()
    for part in parts:
        if part:
            whole.add(decoded(part))
    return whole


def mean(counts: HdrHistogram) -> timedelta:
    """The mean of what a histogram holds; 0 of an empty one."""
    return counts.get_mean_value() * MILLISECOND if counts.get_total_count() else timedelta(0)


def summarise(intervals: list[Interval]) -> Summary:
    """All intervals as one. Errors: TrafficFault if there is no time in them."""
    span_ms = sum(interval.span_ms for interval in intervals)
    if span_ms <= 0:
        raise TrafficFault("the record holds no interval")
    names = list(dict.fromkeys(name for interval in intervals for name in interval.classes))
    told = [interval for interval in intervals if interval.servers]
    return Summary(
        span=span_ms * MILLISECOND,
        intervals=len(intervals),
        servers=max((interval.servers for interval in told), default=0),
        lines=max((interval.lines // interval.servers for interval in told), default=0),
        classes=tuple(_class(name, intervals, span_ms) for name in names),
    )


def _class(name: str, intervals: list[Interval], span_ms: float) -> ClassSummary:
    parts = [interval.classes.get(name, NOTHING) for interval in intervals]
    spans = [interval.span_ms for interval in intervals]
    total = {key: sum(getattr(part, key) for part in parts)
             for key in ("offered", "again", "stood", "refused", "failed", "left")}  # fmt: skip
    setup, hold = merged(part.setup for part in parts), merged(part.hold for part in parts)
    lost = total["refused"] + total["failed"]
    calls = sum(part.calls_mean * span for part, span in zip(parts, spans)) / span_ms
    square = sum(part.calls_square * span for part, span in zip(parts, spans)) / span_ms
    mean_hold = mean(hold)
    if not hold.get_total_count() and total["stood"]:  # none has ended yet: Little's law tells the least
        mean_hold = calls * span_ms / total["stood"] * MILLISECOND
    rate = (total["offered"] - total["again"]) / span_ms * 1000
    return ClassSummary(
        name=name,
        **total,
        rate=rate,
        again_share=min(1.0, total["again"] / (lost + total["left"])) if lost + total["left"] else 0.0,
        loss=lost / max(1, total["offered"]),
        setup_mean=mean(setup),
        setup_p95=setup.get_value_at_percentile(95) * MILLISECOND,
        hold=mean_hold,
        load=rate * mean_hold.total_seconds(),
        calls_mean=calls,
        calls_most=max((part.calls_most for part in parts), default=0),
        peakedness=_peakedness(calls, square, span_ms * MILLISECOND, mean_hold, lost, total["offered"]),
    )


SPANS_LEAST = 20  # lengths of a call that a record must last before the variance of the calls means anything
LOSS_MOST = 0.01  # refusals cut the peaks off: what is left looks smooth, and says nothing of the demand


def _peakedness(
    calls: float, square: float, span: timedelta, hold: timedelta, lost: int, offered: int
) -> float | None:
    if calls <= 0 or hold <= timedelta(0) or span < SPANS_LEAST * hold or lost > LOSS_MOST * offered:
        return None
    return max(0.0, square - calls * calls) / calls


def windows(intervals: list[Interval], name: str, length: timedelta) -> list[int]:
    """First tries of a class in windows of this length; what is left over at the end is no window."""
    counts: list[int] = []
    first, reached = 0, timedelta(0)
    for interval in intervals:
        kind = interval.classes.get(name, NOTHING)
        first += kind.offered - kind.again
        reached += interval.span_ms * MILLISECOND
        while reached >= length:
            counts.append(first)
            first, reached = 0, reached - length
    return counts or [first]
