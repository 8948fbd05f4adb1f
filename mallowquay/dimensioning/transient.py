"""Loads that change faster than calls end: what a surge or a shifting mix really offers to the lines.

With calls of exponential length h, an unlimited group carries m(t), dm/dt = rate(t) - m/h: the modified
offered load (D. Jagerman 1975; W. Massey, W. Whitt 1994). A surge shorter than a call moves it by a part,
where a formula for standing traffic at the peak rate assumes that it lasts for ever.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import lru_cache
from math import exp

import numpy
from scipy.sparse import diags
from scipy.sparse.linalg import expm_multiply

from .erlang import Unanswerable, erlang_b
from .processor import Processor

# Steps in the length of a call; more where the loss rises steeply with busy lines.
FLOW_STEPS_LEAST, FLOW_STEPS_MOST = 40, 240
GRID = 256
FLUID_STEP = 0.02  # seconds


@dataclass(frozen=True, slots=True)
class Stretch:
    """A stretch of time with one rate of first tries, a second."""

    span: timedelta
    rate: float


def modified_load(stretches: Sequence[Stretch], hold: timedelta, start: float) -> list[float]:
    """The load in erlang at the end of each stretch; `start` is that before the first."""
    length, load, loads = hold.total_seconds(), start, []
    for stretch in stretches:
        towards = stretch.rate * length
        load = towards + (load - towards) * exp(-stretch.span.total_seconds() / length)
        loads.append(load)
    return loads


@dataclass(frozen=True, slots=True)
class Flow:
    """A stretch of traffic of several classes: first tries a second, and the mean length of calls there."""

    span: timedelta
    rate: float
    hold: timedelta


def losses(flows: Sequence[Flow], lines: int, start: float, points: int = 9) -> list[float]:
    """The mean loss in each flow of calls that find `lines`; before the first, traffic stood at `start`.

    From the distribution of busy lines itself (Kolmogorov's forward equations): exact for exponential
    lengths, and slow for thousands of lines, where `flow_losses` does.
    """
    if lines < 1 or not start > 0:
        raise Unanswerable("lines and the load before must be above 0")
    busy = numpy.arange(lines + 1)
    weights = numpy.concatenate([[0.0], numpy.cumsum(numpy.log(start / busy[1:]))])
    state = numpy.exp(weights - weights.max())
    state /= state.sum()
    result = []
    for flow in flows:
        up = numpy.full(lines + 1, flow.rate)
        up[-1] = 0.0
        down = busy / flow.hold.total_seconds()
        moves = diags([up[:-1], -(up + down), down[1:]], [-1, 0, 1], format="csc")
        span = flow.span.total_seconds()
        states = expm_multiply(moves, state, start=0.0, stop=span, num=points, endpoint=True)
        result.append(float(numpy.trapezoid(states[:, -1], dx=1 / (points - 1))))
        state = states[-1]
    return result


@lru_cache(maxsize=256)
def _closure(lines: float, peakedness: float) -> tuple[numpy.ndarray, numpy.ndarray]:
    """Busy lines of standing traffic, and its loss, from light load to far too much."""
    loads = numpy.concatenate([
        numpy.linspace(0, 1.5, GRID // 2 + 1)[1:], numpy.geomspace(1.52, 1e4, GRID // 2)
    ]) * max(lines, 1.0)  # fmt: skip
    lost = numpy.array([erlang_b(load / peakedness, lines / peakedness) for load in loads.tolist()])
    return numpy.maximum.accumulate(loads * (1 - lost)), lost


def flow_losses(flows: Sequence[Flow], lines: float, start: float, peakedness: float = 1.0) -> list[float]:
    """The mean loss in each flow; before the first, traffic stood at a load of `start` erlang.

    Busy lines follow dq/dt = rate (1 - loss) - q/h, where the loss is that of standing traffic which keeps
    as many lines busy (pointwise stationary fluid flow, W. Wang, D. Tipper, S. Banerjee 1996). Unlike Erlang
    B at the modified offered load it holds where more comes than the lines can take.
    """
    busy, lost = _closure(float(lines), peakedness)
    q = start * (1 - erlang_b(start / peakedness, lines / peakedness))
    result = []
    for flow in flows:
        length, span = flow.hold.total_seconds(), flow.span.total_seconds()
        each = min(FLOW_STEPS_MOST, max(FLOW_STEPS_LEAST, 6 * lines**0.5))
        steps = max(4, int(span / length * each) + 1)
        step, total = span / steps, 0.0
        for _ in range(steps):
            loss = float(numpy.interp(q, busy, lost))
            if q >= busy[-1]:
                loss = 1.0
            total += loss
            q += step * (flow.rate * (1 - loss) - q / length)
            q = min(q, float(busy[-1]))
        result.append(total / steps)
    return result


def fluid_loss(
    stretches: Sequence[Stretch], hold: timedelta, processor: Processor, servers: float
) -> tuple[float, timedelta]:
    """Loss over all stretches and the longest wait at the processors of `servers`, work taken as a fluid.

    Set-ups and answers come with the rate, releases with the calls that end; what would wait past the limit
    is turned away. Chance is left out: of a surge that is what counts, of standing traffic it is not.
    """
    now = processor.setup.mean.total_seconds() + processor.answer.mean.total_seconds()
    later, refused = processor.release.mean.total_seconds(), processor.refusal.mean.total_seconds()
    length, limit = hold.total_seconds(), processor.limit.total_seconds()
    calls = stretches[0].rate * length if stretches else 0.0
    backlog = longest = offered = lost = 0.0
    for stretch in stretches:
        for _ in range(max(1, round(stretch.span.total_seconds() / FLUID_STEP))):
            fixed = later * calls / length / servers - 1
            work = stretch.rate * now / servers + fixed
            turned = 0.0
            if backlog >= limit and work > 0:  # as many are turned away as keep the line at its limit
                saved = (now - refused) / servers
                turned = min(stretch.rate, work / saved) if saved > 0 else stretch.rate
                work -= turned * saved
            backlog = max(0.0, backlog + work * FLUID_STEP)
            longest = max(longest, backlog)
            offered += stretch.rate * FLUID_STEP
            lost += turned * FLUID_STEP
            calls += (stretch.rate - turned - calls / length) * FLUID_STEP
    return lost / offered if offered else 0.0, timedelta(seconds=longest)
