"""From a summary of measured traffic to a size: so many log servers, how sure, and what binds. No I/O.

1. First tries alone are demand: what was refused and dialled again is not counted twice.
2. The load of each moment, not its mean: rates of windows, smoothed by what chance alone would scatter, are
   followed through the lines in time; the loss is the mean over calls of the loss at their moment.
3. Lines by Erlang B, followed in time (peakedness by Hayward where the record is rough of itself), processors
   by the bounded wait; the larger binds. With a surge, the loss over it decides as well.
4. The size must hold while a part of the fleet is dead, and while a part is replaced and starts cold.
5. How sure: rates vary as windows do (bootstrap), at least as counts do (exact Poisson); both ends are sized.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import lru_cache
from math import ceil, sqrt

import numpy
from scipy import stats

from . import transient
from .erlang import Unanswerable, fewest, rough_loss
from .processor import Processor, meets
from .transient import Flow, Stretch

WINDOW = timedelta(seconds=5)  # mixes shift every 10 to 20 s
LEVELS_MOST = 24  # rates of windows are told apart so finely
RESAMPLES = 999
EXPECTED_LEAST = 20  # lost calls that the record must lead to expect, for a size to be called certain
CONFIDENCE = 0.95
FLOW_SEES = 0.6  # of the loss that a rising load adds at about 1%, the flow sees this part (see the tests)
WINDOWS_LEAST = 12  # a minute


@dataclass(frozen=True, slots=True)
class Demand:
    """A class as measured: first tries in each window, their rate a second, and the length of a call."""

    name: str
    windows: tuple[int, ...]
    rate: float
    hold: timedelta
    peakedness: float | None = None

    @property
    def first(self) -> int:
        """First tries in all."""
        return sum(self.windows)

    @property
    def load(self) -> float:
        """Erlang."""
        return self.rate * self.hold.total_seconds()


@dataclass(frozen=True, slots=True)
class Shape:
    """A log server, and what the fleet must hold out: `dead` of it gone; `replaced`, starting at `cold`."""

    lines: int
    processor: Processor
    dead: float = 0.15
    replaced: float = 0.26
    cold: float = 0.29


@dataclass(frozen=True, slots=True)
class Aim:
    """What is asked: the share lost, the wait for the processor that so many may exceed, the surge."""

    loss: float = 0.01
    wait: timedelta = timedelta(seconds=1)
    surge: float = 1.0
    surge_span: timedelta = timedelta(seconds=8)


@dataclass(frozen=True, slots=True)
class Size:
    """A size: log servers in all, and by what; `whole` is the same without a spare for failures."""

    servers: int
    lines: int
    processor: int
    whole: int

    @property
    def binds(self) -> str:
        """What runs short first."""
        return "lines" if self.lines > self.processor else "processor"


@dataclass(frozen=True, slots=True)
class Plan:
    """The answer: a size and its interval, what other ways of reckoning give, and what to be warned of."""

    size: Size
    least: int
    most: int
    for_mean: int  # by the mean load, as if it never moved
    for_peak: int | None  # by standing traffic at the rate of the surge
    load: float
    loss: float  # at the size, nothing broken
    use: float  # of the processors
    wait: timedelta  # the mean
    warnings: tuple[str, ...]
    classes: tuple[Demand, ...]


@dataclass(frozen=True, slots=True)
class _Load:
    """What a size is asked to carry: levels of (rate, share of calls) for processors, flows for lines."""

    levels: tuple[tuple[float, float], ...]
    flows: tuple[Flow, ...]
    rate: float
    hold: timedelta
    peakedness: float


def make(demands: Sequence[Demand], shape: Shape, aim: Aim, window: timedelta = WINDOW) -> Plan:
    """The plan. Errors: Unanswerable, where there is no traffic or no size can do."""
    demands = [demand for demand in demands if demand.first > 0 and demand.hold > timedelta(0)]
    if not demands:
        raise Unanswerable("the record holds no call that stood and ended: there is nothing to size for")
    moving, mean = _moving(demands, window), _mean(demands)
    size = _size(moving, shape, aim)
    low, high = _interval(demands, window)
    steady = Aim(aim.loss, aim.wait)
    peak = _scaled(moving, aim.surge)
    loss, use, wait = _at(moving, shape, size.servers)
    return Plan(
        size=size,
        least=_size(_scaled(moving, low), shape, aim).servers,
        most=_size(_scaled(moving, high), shape, aim).servers,
        for_mean=_size(mean, shape, steady).servers,
        for_peak=_size(peak, shape, steady).servers if aim.surge > 1 else None,
        load=sum(demand.load for demand in demands),
        loss=loss,
        use=use,
        wait=wait,
        warnings=tuple(_warnings(demands, aim)),
        classes=tuple(demands),
    )


def _mean(demands: Sequence[Demand], alone: bool = True) -> _Load:
    """The mean load as Poisson traffic; unless that is looked at `alone`, as rough as the record has it."""
    rate, load = sum(d.rate for d in demands), sum(d.load for d in demands)
    known = [] if alone else [(d.peakedness, d.load) for d in demands if d.peakedness is not None]
    rough = sum(p * weight for p, weight in known) / sum(w for _, w in known) if known else 1.0
    hold = timedelta(seconds=load / rate)
    return _Load(((rate, 1.0),), (Flow(hold, rate, hold),), rate, hold, rough)


def smoothed(counts: Sequence[int]) -> list[float]:
    """Counts of windows drawn to their mean as far as chance alone would scatter them (James, Stein 1961)."""
    values = numpy.asarray(counts, dtype=float)
    centre = float(values.mean())
    spread = float(values.var(ddof=1)) if len(values) > 1 else 0.0
    kept = max(0.0, 1 - centre / spread) if spread > 0 else 0.0
    return [centre + kept * (value - centre) for value in values.tolist()]


def _moving(demands: Sequence[Demand], window: timedelta) -> _Load:
    """The load of each window; what moves there is not rough traffic as well."""
    length = window.total_seconds()
    own = numpy.array([[count / length for count in smoothed(demand.windows)] for demand in demands])
    # What an unlimited group would carry of each class: how long the calls of that moment are, and how rough
    # the moving load alone makes the record look.
    carried = numpy.array([
        transient.modified_load([Stretch(window, rate) for rate in rates], demand.hold, demand.load)
        for rates, demand in zip(own.tolist(), demands)
    ])  # fmt: skip
    ends = sum(loads / demand.hold.total_seconds() for loads, demand in zip(carried, demands))
    rates, loads = own.sum(axis=0), carried.sum(axis=0)
    flows = tuple(
        Flow(window, rate, timedelta(seconds=load / end))
        for rate, load, end in zip(rates.tolist(), loads.tolist(), numpy.asarray(ends).tolist())
    )
    levels = []
    for part in numpy.array_split(numpy.sort(rates), min(LEVELS_MOST, len(rates))):
        levels.append((float(part.mean()), float(part.sum() / max(rates.sum(), 1e-300))))
    mean = _mean(demands, alone=False)
    moves = float(loads.var() / loads.mean()) if len(loads) > 1 else 0.0
    # What the moving load explains, and what a record so short scatters, is no roughness of its own.
    spread = sqrt(2 * mean.hold / (len(loads) * window))
    rough = mean.peakedness - moves - 2 * spread * mean.peakedness
    smooth = mean.peakedness + 2 * spread * mean.peakedness
    peakedness = max(1.0, rough) if mean.peakedness > 1 else min(1.0, smooth)
    return _Load(tuple(levels), flows, mean.rate, mean.hold, peakedness)


def _scaled(load: _Load, factor: float) -> _Load:
    levels = tuple((rate * factor, share) for rate, share in load.levels)
    flows = tuple(Flow(flow.span, flow.rate * factor, flow.hold) for flow in load.flows)
    return _Load(levels, flows, load.rate * factor, load.hold, load.peakedness)


@lru_cache(maxsize=4096)
def _met(processor: Processor, rate: float, wait: timedelta) -> tuple[float, float, float, timedelta]:
    try:
        met = meets(processor, rate, wait)
    except Unanswerable:
        return 1.0, 1.0, 1.0, processor.limit
    return met.loss, met.longer, met.use, met.wait


def _lines_loss(load: _Load, lines: float, flows: Sequence[Flow] | None = None) -> float:
    """The mean over calls of the loss that they find."""
    flows = load.flows if flows is None else flows
    start = load.rate * load.hold.total_seconds()
    lost = transient.flow_losses(flows, lines, start, load.peakedness)
    calls = [flow.rate * flow.span.total_seconds() for flow in flows]
    moving = sum(loss * weight for loss, weight in zip(lost, calls)) / max(sum(calls), 1e-300)
    standing = rough_loss(start, lines, load.peakedness)
    return min(1.0, standing + (moving - standing) / FLOW_SEES) if moving > standing else moving


def _processor_misses(load: _Load, shape: Shape, servers: float, wait: timedelta) -> float:
    """The share that is lost, or waits longer than asked, whichever is more."""
    lost = late = 0.0
    for rate, share in load.levels:
        if rate > 0:
            loss, longer, _, _ = _met(shape.processor, rate / servers, wait)
            lost, late = lost + share * loss, late + share * longer
    return max(lost, late)


def _surge(load: _Load, aim: Aim) -> list[Stretch]:
    """The usual rate for the length of a call, the surge, and the time that its calls take to end."""
    after = max(load.hold, timedelta(seconds=1))
    peak = Stretch(aim.surge_span / 4, load.rate * aim.surge)
    return [Stretch(after, load.rate), *[peak] * 4, Stretch(after, load.rate)]


def _lines_enough(load: _Load, shape: Shape, aim: Aim, servers: float) -> bool:
    lines = int(servers * shape.lines)
    if lines < 1 or _lines_loss(load, lines) > aim.loss:
        return False
    if aim.surge <= 1:
        return True
    surge = [Flow(aim.surge_span, load.rate * aim.surge, load.hold)]
    return _lines_loss(load, lines, surge) <= aim.loss


def _processor_enough(load: _Load, shape: Shape, aim: Aim, servers: float) -> bool:
    if servers <= 0 or _processor_misses(load, shape, servers, aim.wait) > aim.loss:
        return False
    if aim.surge <= 1:
        return True
    lost, longest = transient.fluid_loss(_surge(load, aim), load.hold, shape.processor, servers)
    return lost <= aim.loss and longest <= aim.wait


def left(servers: int, shape: Shape) -> tuple[float, float]:
    """What a fleet can do in its worst allowed state: log servers' worth of lines, and of processors.

    A part of a log server does not die: parts are rounded up to whole ones.
    """
    alive = servers - ceil(shape.dead * servers - 1e-9)
    warm = servers - (1 - shape.cold) * ceil(shape.replaced * servers - 1e-9)
    return float(alive), min(float(alive), warm)


def _size(load: _Load, shape: Shape, aim: Aim) -> Size:
    lines = fewest(lambda n: _lines_enough(load, shape, aim, left(n, shape)[0]), 1)
    processor = fewest(lambda n: _processor_enough(load, shape, aim, left(n, shape)[1]), 1)
    whole = fewest(lambda n: _lines_enough(load, shape, aim, n) and _processor_enough(load, shape, aim, n), 1)
    return Size(max(lines, processor), lines, processor, whole)


def _at(load: _Load, shape: Shape, servers: int) -> tuple[float, float, timedelta]:
    """Loss, use and mean wait at a size of which nothing is broken."""
    lost, use, wait = 0.0, 0.0, timedelta(0)
    for rate, share in load.levels:
        if rate > 0:
            loss, _, used, mean = _met(shape.processor, rate / servers, timedelta(0))
            lost, use, wait = lost + share * loss, use + share * used, wait + share * mean
    return max(lost, _lines_loss(load, servers * shape.lines)), use, wait


# --- how sure ------------------------------------------------------------------------------------


def _interval(demands: Sequence[Demand], window: timedelta) -> tuple[float, float]:
    """Between which multiples of the measured load the true one lies, with CONFIDENCE."""
    weights = numpy.array([demand.hold.total_seconds() for demand in demands])
    counts = numpy.array([demand.windows for demand in demands], dtype=float)
    total = int(counts.sum())
    tail = (1 - CONFIDENCE) / 2
    # Exact for Poisson counts (F. Garwood 1936), of as many calls as weigh alike.
    effective = float((weights @ counts.sum(axis=1)) ** 2 / (weights**2 @ counts.sum(axis=1)))
    low = float(stats.chi2.ppf(tail, 2 * effective)) / 2 / effective
    high = float(stats.chi2.ppf(1 - tail, 2 * effective + 2)) / 2 / effective
    loads = weights @ counts
    if len(loads) > 4 and loads.std() > 0 and total:
        result = stats.bootstrap(
            (loads,), numpy.mean, confidence_level=CONFIDENCE, n_resamples=RESAMPLES, method="percentile",
            rng=numpy.random.default_rng(1),
        )  # fmt: skip
        mean = float(loads.mean())
        low = min(low, float(result.confidence_interval.low) / mean)
        high = max(high, float(result.confidence_interval.high) / mean)
    return max(low, 1e-6), high


def _warnings(demands: Sequence[Demand], aim: Aim) -> list[str]:
    warnings = []
    total = sum(demand.first for demand in demands)
    if total * aim.loss < EXPECTED_LEAST:
        warnings.append(
            f"{total} first tries are too few for a loss of {aim.loss:g}: "
            f"{EXPECTED_LEAST / aim.loss:.0f} are wanted; the interval is wide"
        )
    windows = len(demands[0].windows)
    if windows < WINDOWS_LEAST:
        warnings.append(f"the record has {windows} windows of 5 s only: how the load moves is not known")
    return warnings
