"""A log server's line of work alone: no callers, no core, no wires; some 30 times the emulator's speed.

It is what the processor's formula is about and nothing more, for losses so small that the emulator would need
hours. That both play the same line is shown where both can: the emulator's points of the same check.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

import numpy
from scipy import stats

BATCHES = 20
SETTLE = 200.0  # seconds before the first batch


@dataclass(frozen=True)
class Line:
    """Seconds of exponential work; `limit`: the wait past which a set-up is turned away; `hold`: a call."""

    setup: float
    answer: float
    release: float
    refusal: float
    limit: float
    hold: float = 8.0


def play(line: Line, rate: float, calls: int, seed: int) -> list[tuple[float, ...]]:
    """Batches of: lost, and what is 0 on average: calls and work above their means, growth of the open."""
    chance = random.Random(seed).expovariate
    span = calls / rate / BATCHES
    events: list[tuple[float, int]] = [(chance(rate), 0)]
    busy = off = edge = 0.0
    came = lost = owed = 0
    edge = SETTLE
    before: tuple[float, int] | None = None
    batches: list[tuple[float, ...]] = []
    means = (line.setup, line.answer, line.release)
    while len(batches) < BATCHES:
        now, kind = heapq.heappop(events)
        if now >= edge:
            state = (max(0.0, busy - edge), owed)
            if before is not None:
                batches.append((lost, came - rate * span, off, state[0] - before[0], state[1] - before[1]))
            before, came, lost, off, edge = state, 0, 0, 0.0, edge + span
        begins, mean = max(busy, now), means[kind]
        if kind == 0:
            heapq.heappush(events, (now + chance(rate), 0))
            came += 1
            if busy - now > line.limit:
                lost += 1
                mean = line.refusal
        work = chance(1 / mean)
        off += work - mean
        busy = begins + work
        if kind == 0 and mean is not line.refusal:  # its answer joins the line when it has been worked on
            heapq.heappush(events, (busy, 1))
            owed += 1
        elif kind == 1:
            heapq.heappush(events, (busy + chance(1 / line.hold), 2))
        elif kind == 2:
            owed -= 1
    return batches


def loss(batches: list[tuple[float, ...]], rate: float, calls: int) -> tuple[float, float]:
    """The share lost and half of its 95% interval, by regression on what is known to be 0 on average."""
    rows = numpy.array(batches, dtype=float)
    share = rows[:, 0] * BATCHES / calls
    design = numpy.column_stack([numpy.ones(len(rows)), rows[:, 1:]])
    fitted, *_ = numpy.linalg.lstsq(design, share, rcond=None)
    rest = share - design @ fitted
    freedom = len(rows) - design.shape[1]
    spread = (rest @ rest / freedom * numpy.linalg.inv(design.T @ design)[0, 0]) ** 0.5
    return float(fitted[0]), float(stats.t.ppf(0.975, freedom) * spread)
